package capacity

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

// A line through points that lie on one is that line, and its farthest point says how far it is asked beyond.
func TestFitOfALine(t *testing.T) {
	l, err := Fit([]Point{{1000, 12}, {2000, 14}, {8000, 26}})
	if err != nil {
		t.Fatal(err)
	}
	if !near(l.At0, 10) || !near(l.Each, 0.002) || l.Residual > 1e-9 || !near(l.R2, 1) || l.From != 1000 || l.To != 8000 {
		t.Errorf("the line is %+v", l)
	}
	if !near(l.At(26_000), 62) || !near(l.Beyond(24_000), 3) || l.Bent() {
		t.Errorf("at 26,000 it is %v, at 24,000 %v beyond, bent %v", l.At(26_000), l.Beyond(24_000), l.Bent())
	}
}

// Points that are no line say so by their distance from it.
func TestFitOfACurve(t *testing.T) {
	l, err := Fit([]Point{{0, 0}, {10, 100}, {20, 400}})
	if err != nil {
		t.Fatal(err)
	}
	// By hand: the slope is 20, the line at 0 is -100/3, and the middle point lies 200/3 below it, of 400.
	if !near(l.Each, 20) || !near(l.At0, -100.0/3) || !near(l.Residual, 200.0/3/400) || !l.Bent() {
		t.Errorf("the line is %+v, bent %v", l, l.Bent())
	}
}

// One place is no line, and a flat one has nothing left to explain.
func TestFitOfTooLittle(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}}, {{5, 1}, {5, 2}}} {
		if l, err := Fit(points); err == nil {
			t.Errorf("%v give %+v", points, l)
		}
	}
	if l, err := Fit([]Point{{1, 3}, {2, 3}}); err != nil || l.R2 != 1 || l.Each != 0 || l.Residual != 0 {
		t.Errorf("a flat line is %+v, %v", l, err)
	}
}

// A budget is kept up to its last bit. What nothing carries is missing whatever its figure, and what was not measured is
// never kept.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		row     Row
		verdict Verdict
		off     string
	}{
		{Row{Amount: known(16), Budget: 64, By: "x"}, Kept, "25 % of it"},
		{Row{Amount: known(64), Budget: 64, By: "x"}, Kept, "100 % of it"},
		{Row{Amount: known(64.1), Budget: 64, By: "x"}, Missed, "just over the budget"},
		{Row{Amount: known(1106), Budget: 64, By: "x"}, Missed, "17.3 times the budget"},
		{Row{Amount: known(1), Budget: 64}, Missing, "2 % of it"},
		{Row{Amount: known(1106), Budget: 64}, Missing, "17.3 times the budget"},
		{Row{Amount: unknown("refused"), Budget: 64, By: "x"}, Unmeasured, ""},
		{Row{Amount: unknown("refused"), Budget: 64}, Missing, ""},
		{Row{Amount: known(5), By: "x"}, NotGiven, ""},
	} {
		if v, off := c.row.Verdict(), c.row.Off(); v != c.verdict || off != c.off {
			t.Errorf("%+v: %s, %q; want %s, %q", c.row, v, off, c.verdict, c.off)
		}
	}
}

// A sum with a part that is not known is not known, and says which.
func TestAmounts(t *testing.T) {
	a := known(3).plus(known(4).because("far"))
	if !a.Known || a.Value != 7 || a.Why != "far" {
		t.Errorf("3 and 4 make %+v", a)
	}
	if a = known(3).plus(unknown("pools: refused"), known(9)); a.Known || a.Value != 0 || a.Why != "pools: refused" {
		t.Errorf("a part that is not known makes %+v", a)
	}
}

// What a line is asked for says if it was not measured, lies beyond its points, or is no line.
func TestWhatALineIsAskedFor(t *testing.T) {
	r := new(Results)
	r.add(&Slope{Name: "straight", Points: []Point{{0, 1}, {100, 3}}}, &Slope{Name: "bent", Points: []Point{{0, 0}, {10, 100}, {20, 400}}},
		&Slope{Name: "refused", Points: []Point{{1, 2}}, Refused: "550 are more than 64"}, &Slope{Name: "single", Points: []Point{{1, 2}}})
	for _, c := range []struct {
		name  string
		x     float64
		value float64
		known bool
		why   string
	}{
		{"straight", 100, 3, true, ""},
		{"straight", 300, 7, true, "3 times beyond the points of straight"},
		{"bent", 20, 1100.0 / 3, true, "no line (17 % off)"},
		{"refused", 550, 0, false, "550 are more than 64"},
		{"single", 1, 0, false, "too few points"},
		{"none", 1, 0, false, "none was not measured"},
	} {
		if a := r.at(c.name, c.x); !near(a.Value, c.value) || a.Known != c.known || !strings.Contains(a.Why, c.why) || (c.why == "") != (a.Why == "") {
			t.Errorf("%s at %v is %+v", c.name, c.x, a)
		}
	}
	if a := r.each("straight", 100); !near(a.Value, 2) {
		t.Errorf("100 more cost %+v", a)
	}
	if a, b := r.point("bent", 10), r.point("bent", 11); a.Value != 100 || !a.Known || b.Known {
		t.Errorf("at 10 it was %+v, at 11 %+v", a, b)
	}
	if r.add(&Slope{Name: "cases", Cases: true, Points: []Point{{192, 1}, {4096, 2}}}); r.at("cases", 192).Known {
		t.Errorf("cases apart are a line: %+v", r.slope("cases").Line)
	}
}

// fixed are results by hand: everything is a line.
func fixed(catalog bool) *Results {
	r := &Results{Machine: Machine{CPU: "a processor", Cores: 8, Used: 4, Go: "go1.26", Load: "1.50"}, Took: 61 * time.Second,
		Probes: []Probe{{Name: "catalog", Taken: catalog, Why: "settings file: unknown key"}, {Name: "pools", Why: "pools: 550 are more than 64"}}}
	line := func(name, group string, at0, each, far float64) {
		r.add(&Slope{Name: name, Group: group, What: "what", X: "sizes", Unit: "units", Points: []Point{{0, at0}, {far, at0 + each*far}}})
	}
	line("list.memory", "list", 20, 0.001, 26_000)
	line("list.idle", "list", 1, 0.0001, 26_000)
	line("list.change_cpu", "list", 0, 100, 100)
	line("list.burst_cpu", "list", 0, 0.05, 3000)
	line("list.bytes", "list", 60, 150, 26_000)
	line("routes.memory", "settings", 0, 0.001, 10_000)
	line("routes.reload_cpu", "settings", 5, 0.01, 10_000)
	line("routes.match", "settings", 300, 0, 10_000)
	line("tenants.memory", "settings", 0, 0.0004, 300_000)
	line("tenants.reload_cpu", "settings", 100, 0.006, 300_000)
	line("tenants.idle_after", "settings", 0, 0.001, 300_000)
	line("calls.cpu", "calls", 1, 0.08, 400)
	line("peers.cpu", "peers", 1, 0.01, 100)
	line("peers.memory", "peers", 10, 0.01, 100)
	line("peers.bytes", "peers", 100, 1, 100)
	line("subset.memory", "subset", 0, 0.0001, 3000)
	line("subset.held", "subset", 27, 0, 3000)
	line("subset.enter", "subset", 0, 0.02, 26_000)
	line("source.change_bytes", "source", 0, 300, 250)
	line("source.change_cpu", "source", 10, 20, 250)
	line("source.idle_bytes", "source", 0, 100, 250)
	line("source.whole_bytes", "source", 500, 200, 50_000)
	line("source.whole_cpu", "source", 1, 0.02, 50_000)
	line("catalog.change_cpu", "catalog", 500, 0, 310_550)
	line("catalog.memory", "catalog", 12, 0.0001, 300_000)
	r.add(&Slope{Name: "pools.memory", Group: "settings", Points: []Point{{1, 20}}, Refused: "pools: 550 are more than 64"},
		&Slope{Name: "calls.added_p99", Group: "calls", Points: []Point{{50, 0.4}, {223, 0.7}, {446, 0.9}}})
	return r
}

func find(t *testing.T, rows []Row, role, what string) Row {
	t.Helper()
	for _, row := range rows {
		if row.Role == role && strings.HasPrefix(row.What, what) {
			return row
		}
	}
	t.Fatalf("%s: there is no row of %q", role, what)
	return Row{}
}

// Rows are the lines at the coming size, against the budget.
func TestRows(t *testing.T) {
	rows := fixed(false).Rows(Coming)
	for _, c := range []struct {
		role, what string
		value      float64
		verdict    Verdict
	}{
		{Balancer, "the process alone", 20, Kept},
		{Balancer, "the list", 26, Kept},
		{Balancer, "tenants", 120, Missed},
		{Balancer, "other balancers, in each pool's subset", 0.0001 * 2999 * 550, Missed},
		{Balancer, "pools", 0, Missing},
		{Balancer, "all of these", 0, Unmeasured},
		{Balancer, "carrying its calls", 1 + 0.08*670_000/3000, NotGiven},
		{Balancer, "at rest after a reload", 300, Missed},
		{Balancer, "added to a call", 0.7, Kept},
		{Balancer, "settings", 0, Missing},
		{AppNode, "calls", 670_000.0 / 26_000, NotGiven},
		{AppNode, "app nodes of one balancer, with subsets", 27 * 550, Missed},
		{Discovery, "the list", (60 + 150*26_000.0) / (1 << 20), NotGiven},
		{Source, "entries", 310_550, Missing},
		{Peers, "at rest", 1 + 0.01*2999, Missed},
		{Peers, "sent", 100 + 2999, Kept},
	} {
		row := find(t, rows, c.role, c.what)
		if !near(row.Amount.Value, c.value) || row.Verdict() != c.verdict {
			t.Errorf("%s, %s: %v, %s; want %v, %s", c.role, c.what, row.Amount, row.Verdict(), c.value, c.verdict)
		}
	}
	// A reload is a sum with the pools in it, which cannot be measured.
	if row := find(t, rows, Balancer, "a change of settings in force"); row.Amount.Known || row.By != byFile {
		t.Errorf("a change of settings by a file is %+v", row)
	}
}

// Where the program follows a store, a change costs one entry and no file.
func TestRowsWithACatalog(t *testing.T) {
	r := fixed(true)
	row := find(t, r.Rows(Coming), Balancer, "a change of settings in force")
	if !near(row.Amount.Value, 0.5) || row.By != byCatalog || row.Verdict() != Kept {
		t.Errorf("a change of settings by entry is %+v, %s", row, row.Verdict())
	}
	if row = find(t, r.Rows(Coming), Balancer, "tenants"); !near(row.Amount.Value, 30) || row.From != "catalog.memory" {
		t.Errorf("tenants by entry are %+v", row)
	}
	if row = find(t, r.Rows(Coming), Source, "entries"); row.Verdict() != NotGiven {
		t.Errorf("the entries are %s", row.Verdict())
	}
	if row = find(t, r.Rows(Coming), Source, "a change to all its watches"); !near(row.Amount.Value, 300*0.25) {
		t.Errorf("a change to 250 watches sends %+v", row.Amount)
	}
}

// What an event costs is what changes with it.
func TestCosts(t *testing.T) {
	costs := map[string]Cost{}
	for _, c := range fixed(true).Costs(Coming) {
		costs[c.Name] = c
	}
	c := costs["an app node is restarted or replaced"]
	if !near(c.BalancerCPU.Value, 0.3) || !near(c.BalancerBytes.Value, 0.45) || !near(c.AtPeak.Value, 0.3*8100/28_800) {
		t.Errorf("a replacement costs %+v", c)
	}
	c = costs["a zone goes and comes back"]
	entries, fellows := 2*2889.0, 2*334.0
	if c.Entries != int(entries) || !near(c.BalancerCPU.Value, entries*0.05+fellows*0.02*26_000/1000) || c.AtPeak.Value != 0 {
		t.Errorf("a zone costs %+v", c)
	}
	if c = costs["a change of settings"]; !near(c.BalancerCPU.Value, 0.5) || !near(c.MachineCPU.Value, 5.01) {
		t.Errorf("a change of settings costs %+v", c)
	}
}

// The page has every role, every slope with its points, the verdicts, and no blank of a figure that was not measured.
func TestPage(t *testing.T) {
	var out bytes.Buffer
	if err := fixed(false).Page(&out, Coming); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"# Capacity", "a processor, 8 cores of which 4 for the command, go1.26, with a load of 1.50", "3,000 balancers, 26,000 app nodes",
		"## A balancer", "## An app node's view", "## Discovery", "## A machine of control", "## Among balancers", "## What a day brings",
		"- catalog: refused: `settings file: unknown key`", "| memory | tenants | 120 MB | 64 | missed, 1.88 times the budget | tenants.memory |",
		"- A balancer, memory: tenants comes to 120 MB, 1.88 times the budget.", "missing: the program refuses 550 pools: pools: 550 are more than 64",
		"| `list.memory` | what, units by sizes | 0 → 20, 26,000 → 46 | 20 | 0.001 | 0 % | 1.000 |  |",
		"--only peers`", "30 times beyond the points of peers.cpu"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "|") && strings.Contains(line, "NaN") {
			t.Errorf("no number: %s", line)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

// What is missing for one cause is said once.
func TestAimsNameACauseOnce(t *testing.T) {
	var out bytes.Buffer
	if err := fixed(false).Page(&out, Coming); err != nil {
		t.Fatal(err)
	}
	aims, _, _ := strings.Cut(out.String(), "What the program takes")
	if n := strings.Count(aims, "the program follows no store of settings"); n != 1 {
		t.Errorf("it is named %d times:\n%s", n, aims)
	}
}

// Why a program refuses something is told without the machine's paths.
func TestRefusals(t *testing.T) {
	for said, want := range map[string]string{
		"some/program: it has ended: 03:22 started\npewterrudder: settings file: /var/x-1/settings.json: pools: 200 are more than 64": "settings file: pools: 200 are more than 64",
		"/some/program: it has ended: pewterrudder: settings file: \"a:1\" is no URL of the form http://HOST:PORT":                    "settings file: \"a:1\" is no URL of the form http://HOST:PORT",
	} {
		if got := refusal(errors.New(said)); got != want {
			t.Errorf("it refuses by %q, not %q", got, want)
		}
	}
}

func TestNumbers(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.001234: "0.00123", 12.345: "12.3", 123.4: "123", 1234: "1,234", 310_550: "310,550",
		26_000_000: "26,000,000", -4321: "-4,321"} {
		if got := number(v); got != want {
			t.Errorf("%v is written %s, not %s", v, got, want)
		}
	}
}

// A slope that drowns in its points' scatter says so, and is never a gain.
func TestASlopeLostInScatter(t *testing.T) {
	r := new(Results)
	r.add(&Slope{Name: "falls", Points: []Point{{1, 63.8}, {16, 70.5}, {60, 56.4}}}, &Slope{Name: "rises", Points: []Point{{0, 10}, {50, 21}, {100, 30}}},
		&Slope{Name: "flat", Points: []Point{{0, 0}, {50, 0}, {100, 0}}})
	if a := r.each("falls", 550); a.Value != 0 || !a.Known || !strings.Contains(a.Why, "lost in the scatter of falls") {
		t.Errorf("a slope that falls by chance costs %+v", a)
	}
	for _, name := range []string{"rises", "flat"} {
		if a := r.each(name, 100); !a.Known || a.Why != "" {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// What a busy machine adds is not laid to the balancer, nor taken for a kept budget.
func TestABusyMachineShowsNoAddedTime(t *testing.T) {
	for _, c := range []struct {
		alone   float64
		verdict Verdict
	}{{1, Kept}, {79, Unmeasured}} {
		r := fixed(false)
		r.add(&Slope{Name: "calls.straight_p99", Group: "calls", Points: []Point{{223, c.alone}}})
		if row := find(t, r.Rows(Coming), Balancer, "added to a call"); row.Verdict() != c.verdict {
			t.Errorf("where calls alone take %v ms at 99 %% it is %s: %+v", c.alone, row.Verdict(), row.Amount)
		}
	}
}
