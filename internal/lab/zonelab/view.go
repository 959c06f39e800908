package zonelab

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

const (
	// sliceWidth is how finely the work that app nodes are sent is counted; pressure is that of pressureOver, the
	// time after which a cold one falls over.
	sliceWidth   = 200 * time.Millisecond
	pressureOver = 10 // slices
	// backOver is the time over which goodput is taken to be back: some hundred calls and more.
	backOver = 10 // seconds
	// warmUp is left out of the calm figure.
	warmUp = 5
)

// second is what became of the calls due in it.
type second struct {
	wishes        int
	asked, earned float64
	rest, restGot float64   // the same of what is not the lost pool's
	worth, work   []float64 // asked, by class; work in core-seconds
}

// slice is what an app node was sent in a slice, in ms of work, and what it could do then.
type slice struct {
	work, could float64
	cold        bool
}

// view gathers one run: from the recorder what clients got, from the log what app nodes were sent.
type view struct {
	sc      *scenario.Scenario
	lost    func(*world.Op) bool // whether a wish is the lost pool's; nil: there are no pools
	seconds []second
	nodes   [][]slice // by node and slice
	mean    float64   // work of a request, as the classes come
}

func newView(sc *scenario.Scenario) (*view, error) {
	if len(sc.Faults) == 0 {
		return nil, fmt.Errorf("%s: nothing goes wrong in it", sc.Name)
	}
	return &view{sc: sc}, nil
}

func (v *view) Settled(op *world.Op, how world.Kind, at time.Duration) {
	i := int((op.Due - world.Lead) / time.Second)
	for len(v.seconds) <= i {
		v.seconds = append(v.seconds, second{worth: make([]float64, len(v.sc.Classes)), work: make([]float64, len(v.sc.Classes))})
	}
	s := &v.seconds[i]
	s.wishes++
	s.asked += op.Worth
	s.worth[op.Class] += op.Worth
	s.work[op.Class] += op.Work / 1000
	c, got := &v.sc.Classes[op.Class], 0.0
	if how == world.Served {
		if got = op.Worth; at-op.Due > c.Aim.D() {
			got *= c.Late
		}
	}
	s.earned += got
	if v.lost == nil || !v.lost(op) {
		s.rest += op.Worth
		s.restGot += got
	}
}

func (v *view) slot(node, i int) *slice {
	for len(v.nodes) <= node {
		v.nodes = append(v.nodes, nil)
	}
	for len(v.nodes[node]) <= i {
		v.nodes[node] = append(v.nodes[node], slice{})
	}
	return &v.nodes[node][i]
}

func (v *view) Sample(s *virtual.Sample) {
	i := int(s.At / sliceWidth)
	for k := range s.Nodes {
		n := &s.Nodes[k]
		at := v.slot(k, i)
		at.could, at.cold = n.Capacity*float64(sliceWidth/time.Millisecond), n.Cold
	}
}

// Write takes the log, a line at a time. Only what comes to app nodes counts: "time came to node NODE ASK WORK/1000".
func (v *view) Write(line []byte) (int, error) {
	f := bytes.Fields(line)
	if len(f) == 7 && string(f[1]) == "came" && string(f[2]) == "to" {
		at, e1 := strconv.ParseFloat(string(f[0]), 64)
		node, e2 := strconv.Atoi(string(f[4]))
		work, e3 := strconv.ParseFloat(string(f[6]), 64)
		if e1 == nil && e2 == nil && e3 == nil {
			v.slot(node, int(at/sliceWidth.Seconds())).work += work / 1000
		}
	}
	return len(line), nil
}

// row makes the figures.
func (v *view) row(rec *virtual.Record) *Row {
	r := &Row{Broken: rec.Broken}
	v.mean = rec.Counts.MeanWork
	from, to := math.Inf(1), 0.0
	hit := map[int]bool{}
	for _, e := range rec.Episodes {
		from, to = min(from, (e.From-world.Lead).Seconds()), max(to, (e.To-world.Lead).Seconds())
		for _, n := range e.Nodes {
			hit[n] = true
		}
	}
	if len(hit) == 0 { // a fault of the network: south is what is lost
		zones := len(v.sc.Zones)
		spread := 0
		for _, g := range v.sc.Nodes {
			for range g.Count {
				if g.Zone == "south" || g.Zone == "" && v.sc.Zones[spread%zones] == "south" {
					hit[spread] = true
				}
				spread++
			}
		}
	}
	whole := v.sum(0, len(v.seconds))
	r.Goodput = whole.earned / whole.asked
	calm := v.sum(warmUp, int(from))
	r.Calm = calm.earned / calm.asked
	gone := v.sum(int(from), int(to))
	r.Dark = gone.earned / gone.asked
	r.Rest = gone.restGot / gone.rest
	if gone.asked > gone.rest {
		r.Part = (gone.earned - gone.restGot) / (gone.asked - gone.rest)
	}
	lit := 0.0 // cores: as warm, at the beginning
	begin := int((world.Lead.Seconds() + warmUp) / sliceWidth.Seconds())
	for n := range v.nodes {
		if !hit[n] && begin < len(v.nodes[n]) {
			most := 0.0
			for _, s := range v.nodes[n][begin:min(len(v.nodes[n]), begin+25)] { // the most: it may just hang
				most = max(most, s.could)
			}
			lit += most / float64(sliceWidth/time.Millisecond)
		}
	}
	best := v.best(gone, lit*(to-from))
	r.Best = best / gone.asked
	r.Of = gone.earned / best
	late := v.sum(int(from)+3, int(to))
	r.OfLate = late.earned / v.best(late, lit*(to-from-3))
	r.Back = math.Inf(1)
	for t := int(to); t+backOver <= len(v.seconds); t++ {
		if w := v.sum(t, t+backOver); w.earned/w.asked >= r.Calm-0.02 {
			r.Back = float64(t) - to
			break
		}
	}
	if math.IsInf(r.Back, 1) {
		r.Back = float64(len(v.seconds)) - to
	}
	at := func(sec float64) int { return int((world.Lead.Seconds() + sec) / sliceWidth.Seconds()) }
	for n := range v.nodes {
		if hit[n] {
			warm, cold := v.pressure(n, at(to), at(to+60))
			r.Peak, r.Cold = max(r.Peak, warm), max(r.Cold, cold)
		} else {
			warm, _ := v.pressure(n, at(from), at(to))
			r.Other = max(r.Other, warm)
		}
	}
	r.Attempts = float64(rec.Counts.Attempts) / float64(max(1, whole.wishes))
	return r
}

func (v *view) sum(from, to int) second {
	s := second{worth: make([]float64, len(v.sc.Classes)), work: make([]float64, len(v.sc.Classes))}
	for i := max(0, from); i < min(to, len(v.seconds)); i++ {
		o := &v.seconds[i]
		s.wishes += o.wishes
		s.asked += o.asked
		s.earned += o.earned
		s.rest += o.rest
		s.restGot += o.restGot
		for k := range o.worth {
			s.worth[k] += o.worth[k]
			s.work[k] += o.work[k]
		}
	}
	return s
}

// best is the worth that so many core-seconds can carry of what was asked, the dearest by work first: a fluid, which
// neither waits nor comes in pieces, so that no balancer can quite reach it.
func (v *view) best(s second, able float64) float64 {
	order := make([]int, len(s.worth))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		da, db := s.worth[a]*s.work[b], s.worth[b]*s.work[a]
		if da > db {
			return -1
		}
		return 1
	})
	sum := 0.0
	for _, k := range order {
		if s.work[k] > 0 {
			part := min(1, able/s.work[k])
			sum += part * s.worth[k]
			able -= part * s.work[k]
		}
	}
	return sum
}

// pressure is the highest share of what an app node could do that it was sent in a window; while it warms, of what its
// rule allows.
func (v *view) pressure(node, from, to int) (warm, cold float64) {
	s := v.nodes[node]
	for i := from; i+pressureOver <= min(to, len(s)); i++ {
		work, could, young := 0.0, 0.0, false
		for _, x := range s[i : i+pressureOver] {
			work, could, young = work+x.work, could+x.could, young || x.cold
		}
		if could <= 0 {
			continue
		}
		if young {
			cold = max(cold, work/v.mean/oracle.Bears(v.sc.Rules.OverloadFactor*could/v.mean))
		} else {
			warm = max(warm, work/could)
		}
	}
	return warm, cold
}
