package rosterlab

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// Outages are the ways in which discovery fails here.
var Outages = []string{"discovery_down", "discovery_silent", "discovery_cuts"}

const (
	outageAt                = 10 * time.Second
	outageLeast, outageMost = time.Second, time.Minute
	heardWithin             = 20 * time.Second // far beyond what any call and pause take
	crowdSize, crowdServed  = 1000, 5          // balancers, and calls of theirs that discovery serves in a second
	// crowdOutage comes when each of the crowd has had its list, some four times what a queue without losses takes.
	crowdOutage, crowdDown = 800 * time.Second, 12 * time.Second
)

// Blind is how long balancers heard nothing once discovery was back, for one kind of outage: over all seeds and three
// balancers each. Times in seconds.
type Blind struct {
	Outage string  `json:"outage"`
	Seeds  int     `json:"seeds"`
	Of     int     `json:"recoveries"` // by balancer
	Half   float64 `json:"half"`
	Most95 float64 `json:"most_of_95"`
	Most   float64 `json:"most"`
	Over15 float64 `json:"share_over_1.5"`
	Over3  float64 `json:"share_over_3"`
	// What the mean is made of: a call that was out at the recovery and came to nothing, pauses, and the call that
	// brought the list, with discovery's own time for it.
	Mean  float64 `json:"mean"`
	Stuck float64 `json:"mean_stuck"`
	Pause float64 `json:"mean_pause"`
	Turn  float64 `json:"mean_turn"`
	Never int     `json:"never"` // not within 20 s
}

// Crowd is how a thousand balancers come to a discovery that serves five calls a second. Times in seconds.
type Crowd struct {
	When     string  `json:"when"`
	Calls    int     `json:"calls"`        // until the last has its list
	Mean     float64 `json:"calls_mean_s"` // in a second
	Most     int     `json:"calls_most_s"` // in any second
	FirstSec int     `json:"calls_first_s"`
	Half     float64 `json:"half_hear_s"`
	Most95   float64 `json:"95_hear_s"`
	Last     float64 `json:"last_hears_s"`
	Never    int     `json:"never"`
}

// Pacing is both.
type Pacing struct {
	Blind []*Blind `json:"blind"`
	Crowd []*Crowd `json:"crowd"`
}

// Pace measures the pacing of asks: outages of each kind over seeds 1 to so many, and a crowd.
func Pace(seeds int, progress func(share float64)) (*Pacing, error) {
	p := &Pacing{}
	var all []blind
	never := 0
	for i, kind := range Outages {
		xs := make([][]blind, seeds)
		lost := make([]int, seeds)
		err := each(seeds, func(i int) (err error) {
			xs[i], lost[i], err = outage(kind, uint64(i+1))
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", kind, err)
		}
		sum := 0
		for _, n := range lost {
			sum += n
		}
		never += sum
		joined := slices.Concat(xs...)
		all = append(all, joined...)
		p.Blind = append(p.Blind, sumUp(kind, seeds, joined, sum))
		progress(float64(i+1) / 4)
	}
	p.Blind = append(p.Blind, sumUp("all", len(Outages)*seeds, all, never))
	crowds := make([][]*Crowd, len(Outages))
	err := each(len(Outages), func(i int) error {
		start, back, err := crowd(Outages[i], 1)
		crowds[i] = []*Crowd{back}
		if i == 0 {
			crowds[i] = []*Crowd{start, back}
		}
		return err
	})
	p.Crowd = slices.Concat(crowds...)
	return p, err
}

// site is a calm one with little traffic, since calls do not matter here.
func site(balancers, calls int, length time.Duration, faults string) (*scenario.Scenario, error) {
	return scenario.Load("calm", fmt.Sprintf("length=%v", length), fmt.Sprintf("balancers.count=%d", balancers),
		"traffic.rate=5", fmt.Sprintf("discovery.capacity=%d", calls), "faults="+faults)
}

// outage plays one, as long as the seed says.
func outage(kind string, seed uint64) ([]blind, int, error) {
	long := outageLeast + time.Duration(chance.New(seed).Stream("outage").Float64()*float64(outageMost-outageLeast))
	sc, err := site(3, 4, outageAt+long+heardWithin, fmt.Sprintf(`[{"kind": %q, "at": "%v", "for": "%v"}]`, kind, outageAt, long))
	if err != nil {
		return nil, 0, err
	}
	v := newView(sc, seed, 0, 0)
	rec, err := virtual.Run(sc, virtual.Options{Seed: seed, Log: v, Line: v.line})
	if err != nil {
		return nil, 0, err
	}
	all, never := v.blinds(rec)
	return all, never, nil
}

func sumUp(kind string, seeds int, xs []blind, never int) *Blind {
	b := &Blind{Outage: kind, Seeds: seeds, Of: len(xs), Never: never}
	var times []time.Duration
	n := float64(max(1, len(xs)))
	for _, x := range xs {
		times = append(times, x.all)
		b.Mean += x.all.Seconds() / n
		b.Stuck += x.stuck.Seconds() / n
		b.Pause += x.pause.Seconds() / n
		b.Turn += x.turn.Seconds() / n
		if x.all > 1500*time.Millisecond {
			b.Over15 += 1 / n
		}
		if x.all > 3*time.Second {
			b.Over3 += 1 / n
		}
	}
	slices.Sort(times)
	b.Half, b.Most95, b.Most = part(times, 0.5), part(times, 0.95), part(times, 1)
	return b
}

// crowd starts a thousand balancers at once, and later takes discovery from them for a while.
func crowd(kind string, seed uint64) (start, back *Crowd, err error) {
	sc, err := site(crowdSize, crowdServed, 2*crowdOutage, fmt.Sprintf(`[{"kind": %q, "at": "%v", "for": "%v"}]`, kind,
		crowdOutage, crowdDown))
	if err != nil {
		return nil, nil, err
	}
	v := newView(sc, seed, 0, 0)
	if _, err := virtual.Run(sc, virtual.Options{Seed: seed, Log: v, Line: v.line}); err != nil {
		return nil, nil, err
	}
	at := world.Lead + crowdOutage
	return v.crowd("all start", 0, at), v.crowd("after "+kind, at+crowdDown, world.Lead+2*crowdOutage), nil
}

// crowd looks at what came to pass from a moment to another.
func (v *view) crowd(when string, from, to time.Duration) *Crowd {
	c := &Crowd{When: when}
	var heard []time.Duration
	for b := range v.lists {
		if at := first(v.lists[b], from); at >= 0 && at < to {
			heard = append(heard, at-from)
		} else {
			c.Never++
		}
	}
	slices.Sort(heard)
	c.Half, c.Most95, c.Last = part(heard, 0.5), part(heard, 0.95), part(heard, 1)
	seconds := make([]int, int(c.Last)+1)
	for b := range v.opened {
		for _, at := range v.opened[b] {
			if i := int((at - from) / time.Second); at >= from && i < len(seconds) {
				seconds[i]++
				c.Calls++
			}
		}
	}
	c.FirstSec, c.Most, c.Mean = seconds[0], slices.Max(seconds), float64(c.Calls)/float64(len(seconds))
	return c
}

// Write prints both for a reader.
func (p *Pacing) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "outage\tseeds\tof\tblind half s\t95%\tmost\tover 1.5 s %\tover 3 s %\tmean\tstuck\tpause\tturn\tnever\t")
	for _, b := range p.Blind {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t\n", b.Outage, b.Seeds, b.Of, b.Half, b.Most95,
			b.Most, 100*b.Over15, 100*b.Over3, b.Mean, b.Stuck, b.Pause, b.Turn, b.Never)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%d balancers, %d calls served a second\n", crowdSize, crowdServed)
	fmt.Fprintln(t, "when\tcalls\ta second\tfirst second\tmost\thalf hear s\t95%\tlast\tnever\t")
	for _, c := range p.Crowd {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t\n", c.When, c.Calls, c.Mean, c.FirstSec, c.Most, c.Half, c.Most95, c.Last, c.Never)
	}
	return t.Flush()
}
