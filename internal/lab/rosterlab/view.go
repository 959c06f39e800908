package rosterlab

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// view gathers one run: from the recorder what clients got, from the log who is dead and who called discovery, from the
// deciders where calls were sent.
type view struct {
	sc       *scenario.Scenario
	src      chance.Source
	from, to time.Duration // the fault, on the run's clock
	dead     map[string]bool

	asked, earned           float64
	faultAsked, faultEarned float64
	wishes, refused         int
	calls, touched          int
	sends, sentToDead       int
	lists                   [][]time.Duration // by balancer: a list came
	opened, ended           [][]time.Duration // by balancer: it called for a watch; one ended, by its own word
}

func newView(sc *scenario.Scenario, seed uint64, from, to time.Duration) *view {
	n := sc.Balancers.Count
	return &view{sc: sc, src: chance.New(seed), from: world.Lead + from, to: world.Lead + to, dead: map[string]bool{},
		lists: make([][]time.Duration, n), opened: make([][]time.Duration, n), ended: make([][]time.Duration, n)}
}

func (v *view) in(at time.Duration) bool { return at >= v.from && at < v.to }

func (v *view) Sample(*virtual.Sample) {}

func (v *view) Settled(op *world.Op, how world.Kind, at time.Duration) {
	c, got := &v.sc.Classes[op.Class], 0.0
	if how == world.Served {
		if got = op.Worth; at-op.Due > c.Aim.D() {
			got *= c.Late
		}
	}
	v.asked += op.Worth
	v.earned += got
	if !v.in(op.Due) {
		return
	}
	v.faultAsked += op.Worth
	v.faultEarned += got
	v.wishes++
	if how == world.Refused {
		v.refused++
	}
}

func (v *view) line(balancer int, at time.Duration, l *world.List) {
	if l != nil {
		v.lists[balancer] = append(v.lists[balancer], at)
	}
}

// Write takes the log, a line at a time: "time node changed NODE WHAT EPOCH", "time watch opened BALANCER SINCE 0" and
// "time balancer N: registry: watch ended: why".
func (v *view) Write(line []byte) (int, error) {
	f := bytes.Fields(line)
	if len(f) < 5 {
		return len(line), nil
	}
	switch {
	case string(f[1]) == "node" && string(f[2]) == "changed":
		if n, err := strconv.Atoi(string(f[3])); err == nil {
			v.change(n, string(f[4]))
		}
	case string(f[1]) == "watch" && string(f[2]) == "opened":
		note(v.opened, f[0], f[3])
	case string(f[1]) == "balancer" && string(f[3]) == "registry:":
		note(v.ended, f[0], bytes.TrimSuffix(f[2], []byte(":")))
	}
	return len(line), nil
}

// change follows who lives; the figures are those of world.World: 0, 2 and 4 end a process, 1 and 5 start one.
func (v *view) change(node int, what string) {
	switch id := world.NodeID(v.src, node); what {
	case "0", "2", "4":
		v.dead[id] = true
	case "1", "5":
		delete(v.dead, id)
	}
}

func note(to [][]time.Duration, at, balancer []byte) {
	t, e1 := strconv.ParseFloat(string(at), 64)
	b, e2 := strconv.Atoi(string(balancer))
	if e1 == nil && e2 == nil && b < len(to) {
		to[b] = append(to[b], time.Duration(t*1e6+0.5)*time.Microsecond)
	}
}

// witness is the module, and sees where it sends calls.
type witness struct {
	brain.Decider
	v    *view
	open map[string]bool // calls that count, and whether one of its attempts went to a dead app node
}

func (v *view) policy(cfg brain.Settings, seed uint64) (brain.Decider, error) {
	d, err := brain.New(cfg, seed)
	return &witness{Decider: d, v: v, open: map[string]bool{}}, err
}

func (w *witness) Handle(now time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	v, at := w.v, now-virtual.ClockStart
	if e, ok := ev.(*brain.Request); ok && v.in(at) {
		v.calls++
		w.open[e.ID] = false
	}
	first := len(actions)
	actions = w.Decider.Handle(now, ev, actions)
	for i := range actions[first:] {
		a := &actions[first+i]
		if a.Kind != brain.Send || !v.in(at) {
			continue
		}
		v.sends++
		if !v.dead[a.Server] {
			continue
		}
		v.sentToDead++
		if touched, counts := w.open[a.ID]; counts && !touched {
			w.open[a.ID] = true
			v.touched++
		}
	}
	return actions
}

// outages are the stretches in which discovery could tell nobody the truth.
func outages(episodes []*world.Episode) (all []*world.Episode) {
	for _, e := range episodes {
		if strings.HasPrefix(e.Kind, "discovery_") && e.Kind != "discovery_late" && e.Kind != "discovery_lies" {
			all = append(all, e)
		}
	}
	return all
}

// blind is what passed from a recovery of discovery's to the first list, and what of it: a call that was out and came to
// nothing, the pauses, and the call that brought the list.
type blind struct{ all, stuck, pause, turn time.Duration }

// blinds gives one for each balancer and recovery; again counts those after which discovery failed again first.
func (v *view) blinds(rec *virtual.Record) (all []blind, again int) {
	return v.blindsOf(outages(rec.Episodes), rec.End)
}

func (v *view) blindsOf(out []*world.Episode, end time.Duration) (all []blind, again int) {
	for _, e := range out {
		if slices.ContainsFunc(out, func(o *world.Episode) bool { return o != e && o.From <= e.To && e.From <= o.To }) {
			continue // of two that overlap the world heals at the end of either
		}
		next := end
		for _, o := range out {
			if o.From > e.To {
				next = min(next, o.From)
			}
		}
		for b := range v.lists {
			at := first(v.lists[b], e.To)
			switch {
			case at < 0 || at > next:
				again++
			default:
				all = append(all, v.split(b, e.To, at))
			}
		}
	}
	return all, again
}

// first is the first of the times from a moment on; below 0: none.
func first(times []time.Duration, from time.Duration) time.Duration {
	if i, _ := slices.BinarySearch(times, from); i < len(times) {
		return times[i]
	}
	return -1
}

// split goes back from the list to the recovery.
func (v *view) split(b int, from, at time.Duration) blind {
	x := blind{all: at - from}
	opened, ended := v.opened[b], v.ended[b]
	for t := from; t < at; {
		// At t either a call is out, or there is a pause.
		i, _ := slices.BinarySearch(opened, t+1) // calls up to t
		k, _ := slices.BinarySearch(ended, t+1)
		out := i > 0 && (k == 0 || ended[k-1] < opened[i-1])
		until := at
		if out && k < len(ended) && ended[k] < at {
			until = ended[k]
			x.stuck += until - t
		} else if out {
			x.turn += until - t
		} else {
			if i < len(opened) {
				until = min(at, opened[i])
			}
			x.pause += until - t
		}
		t = until
	}
	return x
}

// row makes the figures.
func (v *view) row(rec *virtual.Record) *Row {
	share := func(a, b int) float64 { return float64(a) / float64(max(1, b)) }
	r := &Row{Goodput: v.earned / v.asked, Fault: v.faultEarned / v.faultAsked, Calls: share(v.touched, v.calls),
		Attempts: share(v.sentToDead, v.sends), Refused: share(v.refused, v.wishes), Broken: rec.Broken}
	if len(rec.Breaks) > 0 {
		r.First = rec.Breaks[0].String()
	}
	all, again := v.blinds(rec)
	r.Again = again
	for _, x := range all {
		r.blinds = append(r.blinds, x.all)
	}
	return r
}
