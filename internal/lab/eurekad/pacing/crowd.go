package pacing

import (
	"fmt"
	"io"
	"slices"
	"time"

	"pewterrudder/internal/registry/eureka"
)

// counter works through calls in turn, and refuses connections before it is open.
type counter struct {
	c        *clock
	opens    time.Duration
	each     time.Duration
	forDead  bool // it also works for those who have left
	waiting  []*call
	busy     bool
	worked   int
	wasted   int
	deepest  int
	answered func()
}

func (r *counter) take(k *call) {
	if r.c.now < r.opens {
		r.c.at(r.c.now+time.Millisecond, func() { k.fail(0) })
		return
	}
	r.waiting = append(r.waiting, k)
	r.deepest = max(r.deepest, len(r.waiting))
	r.next()
}

func (r *counter) next() {
	if r.busy {
		return
	}
	for len(r.waiting) > 0 {
		k := r.waiting[0]
		r.waiting = r.waiting[1:]
		if k.stopped && !r.forDead {
			continue
		}
		r.busy = true
		r.c.at(r.c.now+r.each, func() {
			r.busy = false
			r.worked++
			if k.stopped {
				r.wasted++
			} else {
				k.answer()
			}
			r.next()
		})
		return
	}
}

// Crowd is how a crowd came back to a registry.
type Crowd struct {
	Balancers int        `json:"balancers"`
	PerSecond float64    `json:"served_per_second"`
	Rows      []CrowdRow `json:"rows"`
}

// CrowdRow is one way to come back.
type CrowdRow struct {
	Told        bool    `json:"told"`          // the clients know how many they are and what is served
	ForDead     bool    `json:"works_for_all"` // the registry works for calls that were given up as well
	FirstSecond int     `json:"calls_in_first_second"`
	Busiest     int     `json:"calls_in_busiest_second"`
	Calls       int     `json:"calls_until_last"`
	Wasted      int     `json:"worked_for_nobody"`
	Deepest     int     `json:"longest_queue"`
	MedianS     float64 `json:"median_s"`
	LastS       float64 `json:"last_s"`   // the last has its list
	SecondS     float64 `json:"second_s"` // the last has been answered a second time
}

// MeasureCrowd lets n balancers that lost a registry 30 s ago come back to it once it serves again, so many calls a
// second in turn.
func MeasureCrowd(set eureka.Pacing, n int, perSecond float64, seed uint64) Crowd {
	out := Crowd{Balancers: n, PerSecond: perSecond}
	for _, told := range []bool{false, true} {
		for _, forDead := range []bool{false, true} {
			s := set
			if told {
				s.Balancers, s.Served = n, perSecond
			}
			out.Rows = append(out.Rows, crowd(s, n, perSecond, forDead, told, seed))
		}
	}
	return out
}

const crowdLimit = 30 * time.Minute

func crowd(set eureka.Pacing, n int, perSecond float64, forDead, told bool, seed uint64) CrowdRow {
	c := &clock{}
	r := &counter{c: c, opens: 30 * time.Second, each: time.Duration(float64(time.Second) / perSecond), forDead: forDead}
	row := CrowdRow{Told: told, ForDead: forDead}
	var firsts, seconds []time.Duration
	bySecond := map[int]int{}
	for i := range n {
		cl := newClient(c, set, 1, seed<<20|uint64(i), r)
		answers := 0
		cl.onAnswer = func() {
			switch answers++; answers {
			case 1:
				firsts = append(firsts, c.now-r.opens)
			case 2:
				seconds = append(seconds, c.now-r.opens)
			}
		}
		cl.onBeginAt = func() {
			if c.now >= r.opens && len(firsts) < n {
				row.Calls++
				bySecond[int((c.now-r.opens)/time.Second)]++
			}
		}
		c.at(time.Duration(i)*time.Second/time.Duration(n), cl.step) // they lost it within a second
	}
	c.run(r.opens+crowdLimit, func() bool { return len(seconds) == n })
	row.FirstSecond = bySecond[0]
	for _, v := range bySecond {
		row.Busiest = max(row.Busiest, v)
	}
	row.Wasted, row.Deepest = r.wasted, r.deepest
	row.MedianS = at(firsts, n, n/2)
	row.LastS, row.SecondS = at(firsts, n, n-1), at(seconds, n, n-1)
	return row
}

// at is the i-th of n times in order; where it was not reached, the time that was played.
func at(times []time.Duration, n, i int) float64 {
	slices.Sort(times)
	if i >= len(times) {
		return crowdLimit.Seconds()
	}
	return times[i].Seconds()
}

// Table writes it for people.
func (c Crowd) Table(w io.Writer) {
	fmt.Fprintf(w, "%d balancers come back to a registry that serves %g calls a second in turn\n", c.Balancers, c.PerSecond)
	fmt.Fprintf(w, "%-10s %-14s %8s %8s %8s %8s %8s %8s %8s %8s\n", "clients", "registry", "1st s", "busiest", "calls",
		"wasted", "queue", "median", "last", "2nd time")
	for _, r := range c.Rows {
		clients, registry := "untold", "skips the gone"
		if r.Told {
			clients = "told"
		}
		if r.ForDead {
			registry = "works for all"
		}
		fmt.Fprintf(w, "%-10s %-14s %8d %8d %8d %8d %8d %6.0f s %6.0f s %6.0f s\n", clients, registry, r.FirstSecond,
			r.Busiest, r.Calls, r.Wasted, r.Deepest, r.MedianS, r.LastS, r.SecondS)
	}
}
