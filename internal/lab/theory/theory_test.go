package theory

import (
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
)

func TestClosedForms(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"M/M/1", MM1(0.9), 9},
		{"Erlang C of one server is the load", ErlangC(1, 0.7), 0.7},
		{"Erlang C, 2 servers: 2 r^2/(1+r)", ErlangC(2, 0.8), 2 * 0.64 / 1.8},
		// Written out: (a^c/c!)/(1-r) over the sum of a^k/k! below c and that, a = 3.2, c = 4.
		{"Erlang C, 4 servers", ErlangC(4, 0.8), 0.596431},
		{"M/M/c with one server", MMc(1, 0.8), MM1(0.8)},
		{"M/M/4", MMc(4, 0.8), 0.745539},
		{"M/G/1, exponential", MG1(0.8, 1), MM1(0.8)},
		{"M/D/1 waits half as long", MG1(0.8, 0), MM1(0.8) / 2},
		{"one choice", Choices(1, 0.8), MM1(0.8) + 1},
		// Mitzenmacher's predictions for two and three choices (his table of simulations against them).
		{"two choices at 0.9", Choices(2, 0.9), 2.6141},
		{"two choices at 0.99", Choices(2, 0.99), 5.4320},
		{"three choices at 0.9", Choices(3, 0.9), 1 + math.Pow(0.9, 3) + math.Pow(0.9, 12) + math.Pow(0.9, 39)},
		// Two different servers of 100 that are hardly ever busy: both are with a chance of load^2, and then one waits.
		{"among 100 at 0.01", (ChoicesOf(100, 0.01) - 1) * 100, 0.01},
		{"among very many servers", ChoicesOf(1e9, 0.9), 2.6141},
	} {
		if math.Abs(c.got-c.want) > 1e-4 {
			t.Errorf("%s: %.6f, want %.6f", c.name, c.got, c.want)
		}
	}
}

// Short is what every build runs; its bounds follow from its intervals.
func TestNodesAgreeWithTheoryOnAShortBudget(t *testing.T) {
	rows, err := Run(Short, nil)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	Write(&table, rows)
	for _, r := range rows {
		if !r.Within {
			t.Fatalf("%s at %g: mean %s is out of its bound\n%s", r.System, r.Load, r.Mean, table.String())
		}
	}
	t.Logf("\n%s", table.String())
}

func TestAWrongQueueIsFoundOut(t *testing.T) {
	var wrong []system
	for _, s := range systems() {
		s.load *= 0.93 // the table still says what theory does of the full load
		wrong = append(wrong, s)
	}
	rows, err := run(wrong, Short, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Within && r.Mean == waiting {
			t.Errorf("%s: %.3f passes for %.3f, bound %.3f", r.System, r.Measured, r.Theory, r.Bound)
		}
	}
}

func TestSameRowsOnAnyNumberOfCores(t *testing.T) {
	budget := Budget{Seed: 3, Requests: 16_000}
	first, err := Run(budget, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if second, _ := Run(budget, nil); !reflect.DeepEqual(first, second) {
		t.Error("one core gives other rows")
	}
}

func TestABudgetTooSmallIsSaid(t *testing.T) {
	if _, err := Run(Budget{Requests: 10}, nil); err == nil {
		t.Error("ten requests passed for a budget")
	}
	rows, err := Run(Budget{Seed: 1, Requests: 160}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Bound > widest {
			t.Errorf("%s: a bound of %.2f tells nothing", r.System, r.Bound)
		}
	}
}
