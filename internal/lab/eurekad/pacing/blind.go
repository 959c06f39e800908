package pacing

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"pewterrudder/internal/registry/eureka"
)

// Outage is what a registry does while it is not well.
type Outage string

const (
	Refuses   Outage = "refuses"    // connections are refused
	Vanishes  Outage = "vanishes"   // connections time out
	Cuts      Outage = "cuts"       // answers break off
	Busy      Outage = "busy"       // 503, Retry-After: 5
	Stalls    Outage = "stalls"     // accepts and never answers, also what it had accepted once it is well
	StallsCut Outage = "stalls-cut" // the same, and cuts that off once it is well
	Thaws     Outage = "thaws"      // the same, and answers that once it is well
	Slow      Outage = "slow"       // answers after 30 s
)

// Outages are all kinds.
var Outages = []Outage{Refuses, Vanishes, Cuts, Busy, Stalls, StallsCut, Thaws, Slow}

// troubled is a registry at several addresses, all out together; the first to be well again is well alone.
type troubled struct {
	c        *clock
	rnd      *rand.Rand
	kind     Outage
	from, to time.Duration
	well     int // the address that is well first
	others   time.Duration
}

func (r *troubled) take(k *call) {
	now, to := r.c.now, r.to
	if k.at != r.well {
		to += r.others
	}
	quick := time.Duration(1+r.rnd.IntN(40)) * time.Millisecond
	if now < r.from || now >= to {
		r.c.at(now+quick, k.answer)
		return
	}
	switch r.kind {
	case Refuses:
		r.c.at(now+time.Millisecond, func() { k.fail(0) })
	case Vanishes:
		r.c.at(now+time.Second, func() { k.fail(0) }) // the client's time-out for a connection
	case Cuts:
		r.c.at(now+quick, func() { k.fail(0) })
	case Busy:
		r.c.at(now+quick, func() { k.fail(5 * time.Second) })
	case StallsCut:
		r.c.at(to, func() { k.fail(0) })
	case Thaws:
		r.c.at(to+quick, k.answer)
	case Slow:
		r.c.at(now+30*time.Second, k.answer)
	}
}

// BlindOnce plays one outage of 1 to 60 s and gives how long after it the client still had no answer: 0 where it missed
// none, since nothing was asked meanwhile.
func BlindOnce(set eureka.Pacing, kind Outage, addresses int, seed uint64) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, uint64(len(kind))<<8|uint64(addresses)))
	c := &clock{}
	r := &troubled{c: c, rnd: rnd, kind: kind, well: rnd.IntN(addresses), others: time.Minute}
	r.from = time.Duration(rnd.Float64() * float64(40*time.Second))
	r.to = r.from + time.Second + time.Duration(rnd.Float64()*float64(59*time.Second))
	cl := newClient(c, set, addresses, seed, r)
	heard := time.Duration(-1)
	c.at(r.from, func() { cl.missed = false })
	cl.onAnswer = func() {
		switch {
		case c.now < r.to:
			cl.missed = false
		case heard < 0:
			heard = c.now
		}
	}
	c.at(0, cl.step)
	c.run(r.to, func() bool { return false })
	if !cl.missed && len(cl.out) == 0 {
		return 0
	}
	c.run(r.to+10*time.Minute, func() bool { return heard >= 0 })
	if heard < 0 {
		return 10 * time.Minute
	}
	return heard - r.to
}

// Blind is a table of blind times.
type Blind struct {
	Seeds int        `json:"seeds"`
	Rows  []BlindRow `json:"rows"`
}

// BlindRow is one kind of outage.
type BlindRow struct {
	Outage    Outage  `json:"outage"`
	Addresses int     `json:"addresses"`
	MedianS   float64 `json:"median_s"`
	P95S      float64 `json:"p95_s"`
	LongestS  float64 `json:"longest_s"`
}

// MeasureBlind plays each kind over so many seeds, with one address and with three of which one is well a minute before
// the others. The last row of each has the kinds mixed.
func MeasureBlind(set eureka.Pacing, seeds int) Blind {
	b := Blind{Seeds: seeds}
	for _, n := range []int{1, 3} {
		var all []time.Duration
		for i, kind := range Outages {
			var times []time.Duration
			for s := range seeds {
				d := BlindOnce(set, kind, n, uint64(s))
				times = append(times, d)
				if s%len(Outages) == i {
					all = append(all, d)
				}
			}
			b.Rows = append(b.Rows, row(kind, n, times))
		}
		b.Rows = append(b.Rows, row("mixed", n, all))
	}
	return b
}

func row(kind Outage, n int, times []time.Duration) BlindRow {
	slices.Sort(times)
	at := func(share float64) float64 {
		return times[min(len(times)-1, int(share*float64(len(times))))].Seconds()
	}
	return BlindRow{kind, n, at(0.5), at(0.95), times[len(times)-1].Seconds()}
}

// Table writes it for people.
func (b Blind) Table(w io.Writer) {
	fmt.Fprintf(w, "blind after recovery, outages of 1 to 60 s, %d seeds each\n", b.Seeds)
	fmt.Fprintf(w, "%-11s %9s %8s %8s %8s\n", "outage", "addresses", "median", "95 %", "longest")
	for _, r := range b.Rows {
		fmt.Fprintf(w, "%-11s %9d %6.2f s %6.2f s %6.2f s\n", r.Outage, r.Addresses, r.MedianS, r.P95S, r.LongestS)
	}
}
