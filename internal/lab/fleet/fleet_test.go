package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/sockets"
)

var program string // the real balancer

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "fleet-test-")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "pewterrudder")
		build := exec.Command("go", "build", "-o", program, "pewterrudder/cmd/pewterrudder")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Printf("%v: %s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// patient is a bound that a busy machine keeps: what these tests claim does not hang on the rig's being in time.
var patient = sockets.Bound{Worst: time.Minute, Often: time.Minute, Starved: 1000}

// small is a short day for three processes, whose balancer 0 is hit from 1 to 3 s. Its patience is long, so that a machine
// that keeps a process waiting breaks no rule.
const small = `{
	"name": "small", "length": "4s", "zones": ["a", "b"], "balancers": {"count": 3},
	"nodes": [{"count": 4, "cores": 4}],
	"classes": [
		{"name": "look", "share": 0.6, "work": {"mean": 4}, "aim": "400ms", "deadline": "900ms"},
		{"name": "order", "share": 0.4, "work": {"mean": 8}, "repeat": "keyed", "window": "2s", "aim": "400ms", "deadline": "900ms"},
	],
	"traffic": {"rate": 240}, "clients": {"connections": 20, "churn": 0.2}, "discovery": {"capacity": 100},
	"rules": {"grace": "1s", "drain_grace": "10s"},
}`

// run is a day and what its processes said.
type seen struct {
	*Done
	log string
}

func play(t *testing.T, faults string, set ...string) seen {
	t.Helper()
	sc, err := scenario.Parse("small", []byte(small), append([]string{"faults=[" + faults + "]"}, set...)...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var log lockedBuffer
	d, err := Play(ctx, sc, Options{Seed: 3, Balancer: program, Log: &log, Bound: patient})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range d.Breaks {
		t.Error(b)
	}
	return seen{d, log.String()}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// within adds up what a balancer did between two moments, in seconds.
func (s seen) within(of []int, from, to float64) int {
	return int(sum(of[s.History.slotOf(from):s.History.slotOf(to)]))
}

// took is the mean time of a balancer's answers between two moments, in ms.
func (s seen) took(balancer int, from, to float64) float64 {
	l := &s.History.Lanes[balancer]
	all := 0.0
	for _, t := range l.Took[s.History.slotOf(from):s.History.slotOf(to)] {
		all += t
	}
	return 1000 * all / float64(max(1, s.within(l.Served, from, to)))
}

// Each fault of the rig bites the balancer that it is meant for, and leaves the others alone. Without its fault each of these
// days fails here: see TestADayWithoutAFaultBitesNobody.
var bites = []struct {
	kind, faults string
	bitten       func(s seen) string // empty: it was
}{
	{"freeze", `{"kind": "freeze", "at": "1s", "for": "2s", "balancers": [0]}`, silent},
	{"line_cut", `{"kind": "line_cut", "at": "1s", "for": "2s", "balancers": [0], "from": "balancers", "to": "nodes"}`, nothingSent},
	{"line_cut_one_way", `{"kind": "line_cut_one_way", "at": "1s", "for": "2s", "balancers": [0], "from": "nodes", "to": "balancers"}`,
		func(s seen) string {
			l := &s.History.Lanes[0]
			if n := s.within(l.Attempts, 1, 2); n == 0 { // what has a connection is heard
				return "nothing that it sent came"
			}
			return silent(s)
		}},
	{"line_stall", `{"kind": "line_stall", "at": "1s", "for": "2s", "balancers": [0], "from": "clients", "to": "balancers"}`, silent},
	{"line_delay", `{"kind": "line_delay", "at": "1s", "for": "2s", "balancers": [0], "size": 60, "from": "balancers", "to": "nodes"}`, slower(100)},
	{"line_loss", `{"kind": "line_loss", "at": "1s", "for": "2s", "balancers": [0], "size": 0.3, "from": "clients", "to": "balancers"}`, slower(60)},
	{"line_trickle", `{"kind": "line_trickle", "at": "1s", "for": "2s", "balancers": [0], "size": 15000, "from": "clients", "to": "balancers"}`, slower(15)},
	{"line_resets", `{"kind": "line_resets", "at": "1s", "for": "2s", "every": "20ms", "balancers": [0], "size": 60, "from": "balancers", "to": "nodes"}`,
		func(s seen) string {
			hit, other := s.dials(0, 1, 3), s.dials(1, 1, 3)
			if hit < 3*max(other, 5) {
				return fmt.Sprintf("it dialled %d times, and another balancer %d times", hit, other)
			}
			return ""
		}},
	{"starve", `{"kind": "starve", "at": "1s", "for": "2s", "balancers": [0], "size": 0.9}`, slower(10)},
	{"descriptors", `{"kind": "descriptors", "at": "1s", "for": "2s", "balancers": [0], "size": 12}`,
		func(s seen) string {
			if hit, other := s.within(s.History.Lanes[0].Refused, 1, 3), s.within(s.History.Lanes[1].Refused, 1, 3); hit < 3 || other > hit/3 {
				return fmt.Sprintf("it turned %d away, and another balancer %d", hit, other)
			}
			return ""
		}},
	{"old_list", `{"kind": "line_cut", "at": "900ms", "for": "2100ms", "balancers": [0], "from": "balancers", "to": "discovery"},
		{"kind": "old_list", "at": "1s", "for": "200ms", "balancers": [0]}`,
		func(s seen) string { // it serves though it reaches no discovery
			if n := s.within(s.History.Lanes[0].Served, 1, 3); n == 0 || !strings.Contains(s.log, "balancer started 0 2 0") {
				return fmt.Sprintf("%d answers from what the list of the first day has", n)
			}
			return ""
		}},
	{"damaged_list", `{"kind": "line_cut", "at": "900ms", "for": "2100ms", "balancers": [0], "from": "balancers", "to": "discovery"},
		{"kind": "damaged_list", "at": "1s", "for": "200ms", "balancers": [0]}`,
		func(s seen) string {
			if !strings.Contains(s.log, " known: registry: ") {
				return "it has not complained of its list"
			}
			return silent(s)
		}},
}

// silent: the balancer answers nothing while it is hit, the others do, and afterwards it does.
func silent(s seen) string {
	hit, other, end := &s.History.Lanes[0], &s.History.Lanes[1], float64(s.History.length)*s.History.Slot
	if n := s.within(hit.Served, 1.4, 3); n > 0 {
		return fmt.Sprintf("it served %d while it was hit", n)
	}
	if n := s.within(other.Served, 1.4, 3); n < 20 {
		return fmt.Sprintf("another one served %d", n)
	}
	if n := s.within(hit.Served, 3.3, end); n == 0 {
		return "it serves nothing afterwards"
	}
	return ""
}

func nothingSent(s seen) string {
	if n := s.within(s.History.Lanes[0].Attempts, 1.2, 3); n > 0 {
		return fmt.Sprintf("%d of its attempts came to app nodes", n)
	}
	return silent(s)
}

// slower: its answers take so many ms longer than those of another balancer, or of itself before.
func slower(ms float64) func(s seen) string {
	return func(s seen) string {
		hit, other, before := s.took(0, 1.2, 3), s.took(1, 1.2, 3), s.took(0, 0, 1)
		if hit < other+ms || hit < before+ms {
			return fmt.Sprintf("it took %.1f ms, before %.1f, and another balancer %.1f", hit, before, other)
		}
		return ""
	}
}

// dials counts the connections to app nodes that came up, off the world's log, whose clock begins some seconds earlier.
func (s seen) dials(balancer int, from, to float64) (n int) {
	for _, line := range strings.Split(s.log, "\n") {
		var at float64
		var b, node int
		if k, _ := fmt.Sscanf(line, "%f dialed %d %d", &at, &b, &node); k == 3 && b == balancer && since(time.Duration(at*1e9)) >= from &&
			since(time.Duration(at*1e9)) < to {
			n++
		}
	}
	return n
}

func TestEachFaultBites(t *testing.T) {
	kinds := map[string]bool{}
	for _, b := range bites {
		kinds[b.kind] = true
	}
	for _, k := range scenario.Kinds {
		if k.Rigged() && !kinds[k.Name] {
			t.Errorf("nobody has seen %s bite", k.Name)
		}
	}
	beside := make(chan struct{}, 4)
	for _, b := range bites {
		t.Run(b.kind, func(t *testing.T) {
			t.Parallel()
			beside <- struct{}{}
			defer func() { <-beside }()
			length := "4s"
			if b.kind == "damaged_list" { // it has to find discovery again
				length = "8s"
			}
			if why := b.bitten(play(t, b.faults, "length="+length)); why != "" {
				t.Error(why)
			}
		})
	}
}

// The other side of the same checks: on a day without faults none of them finds anything.
func TestADayWithoutAFaultBitesNobody(t *testing.T) {
	t.Parallel()
	s := play(t, "")
	for _, b := range bites {
		if why := b.bitten(s); why == "" && b.kind != "old_list" {
			t.Errorf("%s is found where it is not", b.kind)
		}
	}
	if s.Goodput < 0.9 || s.First != 0 && s.First < 0 {
		t.Errorf("a day without faults has figures %+v", s.Figures)
	}
}

func TestCasesAreDays(t *testing.T) {
	names := map[string]bool{}
	for i := range Cases {
		c := &Cases[i]
		if _, err := c.Day(); err != nil || names[c.Name] || c.About == "" {
			t.Errorf("%s: %v", c.Name, err)
		}
		names[c.Name] = true
	}
	if len(Cases) < 17 || CaseOf("freeze") == nil || CaseOf("luck") != nil {
		t.Error(len(Cases))
	}
}
