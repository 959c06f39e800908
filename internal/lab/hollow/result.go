package hollow

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"
)

// Result of a play.
type Result struct {
	Form     string    `json:"form"` // "sockets", "virtual" or "settings"
	Go       string    `json:"go"`
	CPUs     int       `json:"cpus"`
	AppNodes int       `json:"app_nodes,omitempty"`
	Sockets  *Sockets  `json:"sockets,omitempty"`
	Virtual  *Virtual  `json:"virtual,omitempty"`
	Settings *Settings `json:"settings,omitempty"`
	Cost     *Cost     `json:"cost_of_one,omitempty"`
	Scenes   []Scene   `json:"scenes"`
	Verdicts []Verdict `json:"verdicts"`
}

// Scene is what one of them showed.
type Scene struct {
	Name            string  `json:"name"`
	Entries         int     `json:"entries_changed,omitempty"` // 0: nothing is changed
	Steady          bool    `json:"steady,omitempty"`
	Reached         int     `json:"balancers_that_have_it"`
	Of              int     `json:"balancers"`
	Lasts           Spread  `json:"until_in_force_s"`
	Seconds         float64 `json:"seconds"`
	CPUMsEach       float64 `json:"cpu_ms_each"`
	CoreShare       float64 `json:"core_share_each,omitempty"`
	BytesEach       float64 `json:"bytes_each"`
	BytesSecondEach float64 `json:"bytes_a_second_each,omitempty"`
	Source          Load    `json:"source"`
	WatchesEnded    int     `json:"watches_ended"`
	PeakResidentMB  float64 `json:"peak_resident_mb"`
}

// Spread of times, in seconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Verdict holds a figure against what is allowed.
type Verdict struct {
	What   string  `json:"what"`
	Figure float64 `json:"figure"`
	Most   float64 `json:"most"`
	Unit   string  `json:"unit"`
	Holds  bool    `json:"holds"`
}

func summarize(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	times = slices.Sorted(slices.Values(times))
	at := func(q float64) float64 { return times[min(len(times)-1, int(q*float64(len(times))))].Seconds() }
	return Spread{at(0.5), at(0.99), times[len(times)-1].Seconds()}
}

func (r *Result) add(s Scene) { r.Scenes = append(r.Scenes, s) }

// finish holds the scenes against the budget.
func (r *Result) finish() {
	r.Go, r.CPUs = runtime.Version(), runtime.GOMAXPROCS(0)
	judge := func(what string, figure, most float64, unit string) {
		r.Verdicts = append(r.Verdicts, Verdict{what, figure, most, unit, figure <= most})
	}
	missing := 0
	for i := range r.Scenes {
		s := &r.Scenes[i]
		missing += s.Of - s.Reached
		if s.Entries > 0 {
			judge(s.Name+": until the last has it", s.Lasts.Max, InForce.Seconds(), "s")
		}
		if s.Entries == 1 { // the budget is that of one change; a lost zone is some thousand
			judge(s.Name+": CPU of a balancer", s.CPUMsEach, ms(ChangeCPU), "ms")
		}
		if s.Steady {
			judge(s.Name+": CPU of a balancer", 100*s.CoreShare, 100*CoreShare, "% of a core")
		}
		if s.BytesSecondEach > 0 { // not in virtual time, where lines without news are not played
			judge(s.Name+": bytes to a balancer", s.BytesSecondEach, BytesSecond, "B/s")
		}
	}
	judge("balancers that were left without", float64(missing), 0, "")
	if r.Cost != nil {
		r.judgeCost()
	}
}

// judgeCost adds what a balancer's list takes of its memory, the garbage of one reading with it.
func (r *Result) judgeCost() {
	mb := float64(r.Cost.HeldBytes)/(1<<20) + r.Cost.DecodePeakMB
	r.Verdicts = append(r.Verdicts, Verdict{"the list in a balancer's memory, with a whole reading under way", mb, MemoryMB, "MB", mb <= MemoryMB})
}

// WithCost adds the cost of one balancer's list.
func (r *Result) WithCost(c *Cost) {
	r.Cost = c
	r.judgeCost()
}

// Broken names the verdicts that do not hold.
func (r *Result) Broken() (names []string) {
	for _, v := range r.Verdicts {
		if !v.Holds {
			names = append(names, v.What)
		}
	}
	return names
}

// Table writes the result for people.
func (r *Result) Table(to io.Writer) {
	switch {
	case r.Sockets != nil:
		fmt.Fprintf(to, "on sockets: %d balancers at once; %d hold the whole list of %d app nodes, the others one in %d\n",
			r.Sockets.Balancers, r.Sockets.Whole, r.AppNodes, r.Sockets.Every)
	case r.Settings != nil:
		w, p := r.Settings.Entries, r.Settings.Part
		fmt.Fprintf(to, "entries of the catalog, on sockets: %d followers at once; %d hold %d routes, %d pools and %d tenants, the others %d, %d and %d\n",
			r.Settings.Followers, r.Settings.Whole, w.Routes, w.Pools, w.Tenants, p.Routes, p.Pools, p.Tenants)
	case r.Virtual != nil:
		fmt.Fprintf(to, "in virtual time: %d of %d balancers played, %d at a time, each with the whole list of %d app nodes\n",
			r.Virtual.Played, r.Virtual.Balancers, r.Virtual.Batch, r.AppNodes)
	}
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scene\thave it\tmedian s\t99 % s\tlast s\tCPU ms each\tbytes each\tsource MB\tmost MB/s\tcalls\tmost calls/s\tresident MB\t")
	for _, s := range r.Scenes {
		fmt.Fprintf(t, "%s\t%d of %d\t%.3f\t%.3f\t%.3f\t%.2f\t%.0f\t%.1f\t%.1f\t%d\t%d\t%.0f\t\n", s.Name, s.Reached, s.Of, s.Lasts.P50, s.Lasts.P99,
			s.Lasts.Max, s.CPUMsEach, s.BytesEach, float64(s.Source.Bytes)/1e6, float64(s.Source.BytesMostInS)/1e6, s.Source.Calls,
			s.Source.CallsMostInS, s.PeakResidentMB)
	}
	t.Flush()
	if c := r.Cost; c != nil {
		fmt.Fprintf(to, "one balancer's list of %d in %d pools: %.2f MB on the wire, %.2f MB decoded, %.2f MB held; CPU: %.0f ms to decode, %.0f ms to take up, %.0f ms again, %.0f us a change\n",
			c.AppNodes, c.Pools, float64(c.WireBytes)/1e6, float64(c.DecodedBytes)/1e6, float64(c.HeldBytes)/1e6, c.DecodeMs, c.TakeMs, c.AgainMs, c.ChangeUs)
	}
	for _, v := range r.Verdicts {
		word := "holds"
		if !v.Holds {
			word = "BROKEN"
		}
		fmt.Fprintf(to, "%-6s  %s: %.3g %s of %.3g at the most\n", word, v.What, v.Figure, v.Unit, v.Most)
	}
}
