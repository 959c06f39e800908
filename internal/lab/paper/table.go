package paper

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/result"
)

// Budget says how much is run.
type Budget struct {
	Seeds  int    `json:"seeds"`
	Jobs   int    `json:"jobs"`             // of a run; a tenth is not counted
	Tables []int  `json:"tables,omitempty"` // 1, 2, and 3 for the variations; none: all
	Rows   string `json:"rows,omitempty"`   // only rows whose name has this
	First  uint64 `json:"first_seed"`
}

// experiment is a row to be run, with what the paper has for it.
type experiment struct {
	table  int
	name   string
	system System
	ks     []int              // of static K
	more   []string           // further policies
	paper  map[string]float64 // by policy, seconds
}

// table1: the bursts are as long as D and bring nine jobs of ten. Longer ones let greedy off: with 6 s its strong row is
// a quarter of the paper's, since each D has its own top.
func table1(dispersion float64) System {
	return System{Sites: 16, Delay: 1, Load: 0.5, Dispersion: dispersion, Burst: 1, Share: 0.9, Service: "exponential",
		Gap: gap, Balancers: 1}
}

// table2: 6 s and 51 % are the paper's. I is read back from random's 1109 s at 16 sites,
// which is the wait that it gives.
func table2(sites int, delay, load float64) System {
	return System{Sites: sites, Delay: delay, Load: load, Dispersion: 220, Burst: 6, Share: 0.51, Service: "exponential",
		Gap: gap, Balancers: 1}
}

func two(random, greedy float64) map[string]float64 {
	return map[string]float64{"random": random, "greedy": greedy}
}

// four are the figures of a row of Table II. Ours stands beside the paper's online rule, its ancestor.
func four(random, online, greedy float64) map[string]float64 {
	return map[string]float64{"random": random, "greedy": greedy, policy.Ours: online}
}

func experiments() []experiment {
	free := []string{"greedy" + redrawn}
	all := []experiment{
		{1, "strong bursts", table1(313.5), []int{4, 8, 14}, free, two(1520.9, 6541.5)},
		{1, "weak bursts", table1(32.25), []int{4, 8, 14}, free, two(168.5, 466.5)},
		{1, "no bursts", table1(1), []int{2, 4, 8}, free, two(80.5, 7.6)},
		{2, "16 sites, D 1 s, load 0.5", table2(16, 1, 0.5), []int{8, 14}, nil, four(1109.33, 1059.00, 1244.32)},
		{2, "8 sites", table2(8, 1, 0.5), []int{4, 7}, nil, four(1089.25, 1064.66, 1101.02)},
		{2, "32 sites", table2(32, 1, 0.5), []int{16, 28}, nil, four(1148.38, 1051.21, 1751.43)},
		{2, "D 2 s", table2(16, 2, 0.5), []int{8, 14}, nil, four(1111.07, 1062.97, 1692.26)},
		{2, "D 6 s", table2(16, 6, 0.5), []int{8, 14}, nil, four(1110.77, 1070.57, 3653.21)},
		{2, "load 0.3", table2(16, 1, 0.3), []int{8, 14}, nil, four(487.83, 473.04, 606.62)},
		{2, "load 0.8", table2(16, 1, 0.8), []int{8, 14}, nil, four(4220.09, 3968.77, 4138.34)},
	}
	vary := func(name string, dispersion float64, change func(*System)) {
		s := table1(dispersion)
		change(&s)
		all = append(all, experiment{table: 3, name: name, system: s})
	}
	for _, level := range []struct {
		name string
		i    float64
	}{{"strong", 313.5}, {"weak", 32.25}, {"no bursts", 1}} {
		vary(level.name+", constant service", level.i, func(s *System) { s.Service = "constant" })
		vary(level.name+", hyperexponential, CV 2", level.i, func(s *System) { s.Service, s.CV = "hyperexponential", 2 })
		// Table I as responses: no time is near 7 s and 80 s at once unless the services differ by far.
		vary(level.name+", mean 7 s, CV 4.5", level.i, func(s *System) {
			s.Service, s.CV, s.Gap = "hyperexponential", 4.5, 0.875
		})
		vary(level.name+", 3 balancers", level.i, func(s *System) { s.Balancers = 3 })
	}
	vary("strong, bursts of 6 s with 51 %", 313.5, func(s *System) { s.Burst, s.Share = 6, 0.51 })
	vary("weak, bursts of 6 s with 51 %", 32.25, func(s *System) { s.Burst, s.Share = 6, 0.51 })
	return all
}

// Cell is one policy in one row. Halves are of the 95 % interval over the seeds.
type Cell struct {
	Policy       string  `json:"policy"`
	Response     float64 `json:"response_s"`
	ResponseHalf float64 `json:"response_half"`
	Wait         float64 `json:"wait_s"`
	WaitHalf     float64 `json:"wait_half"`
	Paper        float64 `json:"paper_s,omitempty"` // a wait, by what it fits; 0: there is none
}

// Row is one setting under all policies.
type Row struct {
	Table    int    `json:"table"`
	Name     string `json:"name"`
	System   System `json:"system"`
	Cells    []Cell `json:"cells"`
	Greedy   string `json:"greedy_against_random"`
	Ours     string `json:"ours_against_the_better"` // of the two
	Lost     bool   `json:"lost"`                    // ours is worse than the better, and the interval tells it
	Unserved uint64 `json:"unserved"`
}

// Result is all that was run.
type Result struct {
	Budget Budget  `json:"budget"`
	Scale  float64 `json:"scale"` // seconds here for one of the paper's
	Rows   []Row   `json:"rows"`
}

// experiments gives those that the budget asks for.
func (b Budget) experiments() (todo []experiment, err error) {
	if b.Seeds < 2 || b.Jobs < 100 {
		return nil, fmt.Errorf("paper: %d seeds of %d jobs tell nothing: from 2 seeds and 100 jobs on", b.Seeds, b.Jobs)
	}
	for _, t := range b.Tables {
		if t < 1 || t > 3 {
			return nil, fmt.Errorf("paper: there is no table %d, but 1, 2, and 3 for the variations", t)
		}
	}
	for _, e := range experiments() {
		if (len(b.Tables) == 0 || slices.Contains(b.Tables, e.table)) && strings.Contains(e.name, b.Rows) {
			todo = append(todo, e)
		}
	}
	if len(todo) == 0 {
		return nil, fmt.Errorf("paper: no row of the tables has %q in its name", b.Rows)
	}
	return todo, nil
}

// Check finds a budget that cannot be run.
func (b Budget) Check() error {
	_, err := b.experiments()
	return err
}

// Run plays every experiment of the budget's tables. Equal budgets give equal results. progress, where not nil, is told of
// the share done, by one goroutine at a time.
func Run(b Budget, progress func(share float64)) (*Result, error) {
	todo, err := b.experiments()
	if err != nil {
		return nil, err
	}
	return run(todo, b, progress)
}

func run(todo []experiment, b Budget, progress func(share float64)) (*Result, error) {
	type task struct {
		system System
		policy string
		seed   uint64
	}
	var tasks []task
	for i := range todo {
		for _, p := range todo[i].policies() {
			for s := range b.Seeds {
				tasks = append(tasks, task{todo[i].system, p, b.First + uint64(s)})
			}
		}
	}
	done := make([]figures, len(tasks))
	err := each(len(tasks), func(i int) (err error) {
		t := &tasks[i]
		if done[i], err = play(t.system, policyOf(t.policy), t.seed, b.Jobs); err != nil {
			err = fmt.Errorf("%w (%s)", err, t.policy)
		}
		return err
	}, progress)
	if err != nil {
		return nil, err
	}
	r := &Result{Budget: b, Scale: scale}
	for i := range todo {
		n := b.Seeds * len(todo[i].policies())
		r.Rows = append(r.Rows, todo[i].row(done[:n], b.Seeds))
		done = done[n:]
	}
	return r, nil
}

func (e *experiment) policies() []string {
	names := []string{"random", "greedy"}
	names = append(names, e.more...)
	for _, k := range e.ks {
		names = append(names, fmt.Sprintf("static-k=%d", k))
	}
	return append(names, policy.Ours)
}

func (e *experiment) row(all []figures, seeds int) Row {
	r := Row{Table: e.table, Name: e.name, System: e.system}
	waits := map[string][]float64{}
	for i, p := range e.policies() {
		var response, wait []float64
		for _, f := range all[i*seeds : (i+1)*seeds] {
			response, wait = append(response, f.response), append(wait, f.wait)
			r.Unserved += f.unserved
		}
		c := Cell{Policy: p, Paper: e.paper[p]}
		c.Response, c.ResponseHalf = result.Interval(response, result.Confidence)
		c.Wait, c.WaitHalf = result.Interval(wait, result.Confidence)
		r.Cells = append(r.Cells, c)
		waits[p] = wait
	}
	r.Greedy, _ = against(waits["greedy"], waits["random"], "random")
	better := "random"
	if mean(waits["greedy"]) < mean(waits["random"]) {
		better = "greedy"
	}
	r.Ours, r.Lost = against(waits[policy.Ours], waits[better], better)
	return r
}

func mean(v []float64) (m float64) {
	for _, x := range v {
		m += x / float64(len(v))
	}
	return m
}

// against compares in pairs: both met the same arrivals and the same jobs. The difference is told as a share of the
// other's mean wait.
func against(mine, other []float64, name string) (text string, lost bool) {
	diffs := make([]float64, len(mine))
	for i := range mine {
		diffs[i] = mine[i] - other[i]
	}
	d, half := result.Interval(diffs, result.Confidence)
	base := mean(other) / 100
	switch {
	case math.Abs(d) <= half:
		return "not told apart from " + name, false
	case d > 0:
		return fmt.Sprintf("worse than %s by %.1f %% ± %.1f", name, d/base, half/base), true
	}
	return fmt.Sprintf("better than %s by %.1f %% ± %.1f", name, -d/base, half/base), false
}

// Lost are the rows that ours has lost, leaving out the variations, which bind nobody.
func (r *Result) Lost() (names []string) {
	for i := range r.Rows {
		if r.Rows[i].Lost && r.Rows[i].Table < 3 {
			names = append(names, r.Rows[i].Name)
		}
	}
	return names
}

var titles = []string{"", "Table I: 16 sites at half load, D = 1 s", "Table II: sites, D and load, bursts of 6 s with 51 % of the jobs",
	"Variations on Table I"}

// Table prints the rows.
func (r *Result) Table(w io.Writer) {
	fmt.Fprintf(w, "Mean times in the paper's seconds, ± of the 95 %% interval over %d seeds of %d jobs. The paper's figures "+
		"are waits, by what they fit.\n", r.Budget.Seeds, r.Budget.Jobs)
	last := 0
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Table != last {
			last = row.Table
			fmt.Fprintf(w, "\n%s\n", titles[last])
		}
		s := &row.System
		fmt.Fprintf(w, "\n%s: I = %g, mean service %.4g s, %s\n", row.Name, s.Dispersion, s.Mean(), s.Service)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "\tresponse\t±\twait\t±\tpaper\t")
		for _, c := range row.Cells {
			theirs := ""
			if c.Paper > 0 {
				theirs = fmt.Sprintf("%.1f", c.Paper)
			}
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t\n", c.Policy, c.Response, c.ResponseHalf, c.Wait, c.WaitHalf, theirs)
		}
		t.Flush()
		lost := ""
		if row.Lost {
			lost = "  LOST"
		}
		fmt.Fprintf(w, "  greedy is %s; ours is %s%s\n", row.Greedy, row.Ours, lost)
		if row.Unserved > 0 {
			fmt.Fprintf(w, "  %d jobs were not served, and are missing from the means\n", row.Unserved)
		}
	}
}

// Save writes the result into a folder, as a table and as JSON.
func (r *Result) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "paper.json"), append(raw, '\n'), 0o644); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "paper.txt"))
	if err != nil {
		return err
	}
	r.Table(f)
	return f.Close()
}
