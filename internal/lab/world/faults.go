package world

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
)

// Episode is one fault of the run, drawn.
type Episode struct {
	Kind  string
	From  time.Duration
	To    time.Duration // equal to From for what has no length
	Size  float64
	Nodes []int // app nodes that it has hit, by index
	Seats []int // balancers

	w     *World
	f     *scenario.Fault
	name  string // of its draws
	nth   int
	rng   *rand.Rand
	class int
	every time.Duration
	share float64
	count int
	nodes []*Node
	on    bool
	delay time.Duration // from the first request, or from what it waits for
	wait  int           // how often that has still to happen
}

// drainFor is how long an app node that drains stays, where nothing else is said.
const drainFor = 5 * time.Second

// armFaults draws the faults and sets their times.
func (w *World) armFaults() {
	for i := range w.Sc.Faults {
		f := &w.Sc.Faults[i]
		name := f.Draw
		if name == "" {
			name = strconv.Itoa(i)
		}
		src := w.Chance.Under("faults/" + name)
		rng := src.Stream("which")
		if rng.Float64() >= f.Chance {
			continue
		}
		for k := range int(math.Round(drawRange(rng, f.Times))) {
			k += f.Nth
			rng := src.Stream(strconv.Itoa(k))
			e := &Episode{Kind: f.Kind, w: w, f: f, rng: rng, class: -1, name: name, nth: k}
			e.delay = draw(rng, f.At)
			e.From = Lead + e.delay
			e.To = e.From
			if scenario.KindOf(f.Kind).Lasts {
				e.To += draw(rng, f.For)
			}
			e.every = draw(rng, f.Every)
			e.Size = drawRange(rng, f.Size)
			e.share = drawRange(rng, f.Part)
			e.count = int(math.Round(drawRange(rng, f.Count)))
			if e.count == 0 && e.share == 0 && f.Part[1]+f.Count[1] > 0 {
				continue // nobody is hit
			}
			e.class = slices.IndexFunc(w.Sc.Classes, func(c scenario.Class) bool { return c.Name == f.Class })
			if f.When.Event != "" {
				e.wait = max(1, f.When.Count)
				w.waiting = append(w.waiting, e)
				continue
			}
			w.Clock.After(e.From-w.Clock.Now(), timeline.Func(e.begin))
		}
	}
}

// Happened has the faults begin that wait for it. What happens before the first request is part of the start, and counts
// for nothing; a fault that begins at once has begun when this returns.
func (w *World) Happened(event string, balancer int) {
	now := w.Clock.Now()
	if now < Lead {
		return
	}
	for i := 0; i < len(w.waiting); i++ {
		e := w.waiting[i]
		if on := &e.f.When; on.Event != event || len(on.Balancers) > 0 && !slices.Contains(on.Balancers, balancer) {
			continue
		}
		if e.wait--; e.wait > 0 {
			continue
		}
		w.waiting = slices.Delete(w.waiting, i, i+1)
		i--
		e.From, e.To = now+e.delay, now+e.delay+(e.To-e.From)
		if e.delay == 0 {
			e.begin()
		} else {
			w.Clock.After(e.delay, timeline.Func(e.begin))
		}
	}
}

// tell is Happened for what the world itself is in the middle of.
func (w *World) tell(event string, balancer int) {
	if len(w.waiting) > 0 {
		w.Clock.After(0, timeline.Func(func() { w.Happened(event, balancer) }))
	}
}

// Waiting names a fault whose event has not come, if there is one: a day in which it is left out is not the day that was meant.
func (w *World) Waiting() (kind, event string) {
	if len(w.waiting) == 0 {
		return "", ""
	}
	return w.waiting[0].Kind, w.waiting[0].f.When.Event
}

// Fault is the episode as a fault of its own, with nothing left to draw but what it drew. In its place among others it
// has the very same course, so that a run can be played again without some of them.
func (e *Episode) Fault() scenario.Fault {
	f := *e.f
	one := func(d time.Duration) scenario.Span { return scenario.Span{scenario.Duration(d), scenario.Duration(d)} }
	same := func(v float64) scenario.Range { return scenario.Range{v, v} }
	f.Draw, f.Nth, f.Times, f.Chance = e.name, e.nth, same(1), 1
	f.At, f.For, f.Every = one(e.delay), one(e.To-e.From), one(e.every)
	f.Size, f.Part, f.Count = same(e.Size), same(e.share), same(float64(e.count))
	return f
}

func (e *Episode) begin() {
	w := e.w
	e.on = true
	w.Episodes = append(w.Episodes, e)
	w.Journal.Note(w.Clock.Now(), FaultBegan, uint64(len(w.Episodes)), uint64(e.To), math.Float64bits(e.Size))
	switch scenario.KindOf(e.Kind).On {
	case "nodes":
		e.chooseNodes()
		e.beginNodes()
	case "balancers":
		e.beginBalancers()
	case "network":
		e.beginNetwork()
	case "lines", "processes", "disks":
		e.beginRig()
	default:
		e.beginRest()
	}
}

// later does something at the end of the episode.
func (e *Episode) later(fn func()) {
	e.w.Clock.After(e.To-e.w.Clock.Now(), timeline.Func(func() {
		e.on = false
		e.w.Journal.Note(e.w.Clock.Now(), FaultEnded, uint64(e.From), 0, 0)
		fn()
	}))
}

// chooseNodes draws the targets among those that run and are to stay.
func (e *Episode) chooseNodes() {
	w := e.w
	for _, n := range w.Nodes {
		if n.Up && !n.Draining && !n.Doomed && (e.f.Zone == "" || w.Sc.Zones[n.Zone] == e.f.Zone) &&
			(len(e.f.Nodes) == 0 || slices.Contains(e.f.Nodes, n.Index)) {
			e.nodes = append(e.nodes, n)
		}
	}
	e.rng.Shuffle(len(e.nodes), func(i, k int) { e.nodes[i], e.nodes[k] = e.nodes[k], e.nodes[i] })
	if n := e.wanted(len(e.nodes), len(e.f.Nodes) > 0); n < len(e.nodes) {
		e.nodes = e.nodes[:n]
	}
	if e.Kind == "join" {
		e.nodes = nil
	}
	for _, n := range e.nodes {
		e.Nodes = append(e.Nodes, n.Index)
	}
}

// wanted is how many of so many targets are hit: those that are named, a number, a share of them (at least one), or all.
func (e *Episode) wanted(of int, named bool) int {
	switch {
	case e.count > 0:
		return e.count
	case e.share > 0:
		return max(1, int(math.Round(e.share*float64(of))))
	case named || e.Kind == "deploy" || e.f.Zone != "":
		return of
	}
	return 1
}

func (e *Episode) beginNodes() {
	w := e.w
	each := func(on, off func(n *Node)) {
		for _, n := range e.nodes {
			on(n)
		}
		if off != nil {
			e.later(func() {
				for _, n := range e.nodes {
					off(n)
				}
			})
		}
	}
	switch e.Kind {
	case "slow":
		each(func(n *Node) { n.Slow(n.slow * e.Size) }, func(n *Node) { n.Slow(max(1, n.slow/e.Size)) })
	case "errors":
		each(func(n *Node) { n.Fail(e.class, e.Size) }, func(n *Node) { n.Fail(e.class, 0) })
	case "lose":
		each(func(n *Node) { n.Lose(e.class, e.Size) }, func(n *Node) { n.Lose(e.class, 0) })
	case "halt":
		each(func(n *Node) { n.Halt = e.Size }, func(n *Node) { n.Halt = 0 })
	case "pauses":
		each(e.pauses, nil)
		e.later(func() {})
	case "neighbour":
		each(func(n *Node) { e.neighbour(n, true) }, func(n *Node) { n.Steal(0) })
	case "stall":
		each(func(n *Node) { n.Stall(true) }, func(n *Node) { n.Stall(false) })
	case "crash":
		each(func(n *Node) { n.Doomed = true; w.crash(n) }, nil)
	case "restart":
		each(w.crash, w.comeBack)
	case "vanish":
		each(w.vanish, func(n *Node) { w.appear(n) })
	case "drain":
		each(func(n *Node) { w.drain(n, false, 0) }, nil)
		e.later(func() {})
	case "replace":
		each(func(n *Node) { w.drain(n, true, e.To-e.From) }, nil)
		e.later(func() {})
	case "deploy":
		e.deploy(0)
		e.later(func() {})
	case "join":
		for range max(1, e.count) {
			w.join(0, -1)
		}
	case "discovery_lies":
		each(func(n *Node) { w.Discovery.lie(n, true) }, func(n *Node) { w.Discovery.lie(n, false) })
	}
}

func (e *Episode) pauses(n *Node) {
	e.w.Clock.After(time.Duration(e.rng.ExpFloat64()*float64(e.every)), timeline.Func(func() {
		if e.on {
			n.HangOnce(time.Duration((0.5 + e.rng.Float64()) * e.Size * float64(time.Millisecond)))
			e.pauses(n)
		}
	}))
}

func (e *Episode) neighbour(n *Node, on bool) {
	if !e.on {
		return
	}
	if on {
		n.Steal(e.Size)
	} else {
		n.Steal(0)
	}
	e.w.Clock.After(time.Duration((0.5+e.rng.Float64())*float64(e.every)), timeline.Func(func() { e.neighbour(n, !on) }))
}

// deploy replaces the targets, some at each step, while the episode lasts.
func (e *Episode) deploy(from int) {
	if !e.on {
		return
	}
	to := min(len(e.nodes), from+max(1, int(e.Size)))
	for _, n := range e.nodes[from:to] {
		if n.Up {
			e.w.drain(n, true, drainFor)
		}
	}
	if to < len(e.nodes) {
		e.w.Clock.After(e.every, timeline.Func(func() { e.deploy(to) }))
	}
}

// chooseSeats draws the balancers that are hit among those that run.
func (e *Episode) chooseSeats() (seats []*Seat) {
	w := e.w
	for _, s := range w.Balancers {
		if s.Up && !s.Term && (len(e.f.Balancers) == 0 || slices.Contains(e.f.Balancers, s.Index)) &&
			(e.f.Zone == "" || w.Sc.Zones[s.Zone] == e.f.Zone) {
			seats = append(seats, s)
		}
	}
	e.rng.Shuffle(len(seats), func(i, k int) { seats[i], seats[k] = seats[k], seats[i] })
	if n := e.wanted(len(seats), len(e.f.Balancers) > 0); n < len(seats) {
		seats = seats[:n]
	}
	for _, s := range seats {
		e.Seats = append(e.Seats, s.Index)
	}
	return seats
}

func (e *Episode) beginBalancers() {
	w := e.w
	seats := e.chooseSeats()
	for _, s := range seats {
		switch e.Kind {
		case "reload":
			s.B.Reload()
		case "balancer_crash":
			w.kill(s)
		case "balancer_restart":
			w.term(s)
		}
	}
	if e.Kind != "reload" {
		e.later(func() {
			for _, s := range seats {
				w.restart(s)
			}
		})
	}
}

// term gives a balancer notice; it is killed where it has not ended by itself a while later.
func (w *World) term(s *Seat) {
	s.Term, s.termAt = true, w.Clock.Now()
	life := s.Life
	longest := 3 * time.Second
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline.D())
	}
	w.Front.leaving(s, 200*time.Millisecond+time.Duration(w.Front.rng.Float64()*float64(200*time.Millisecond)))
	w.Clock.After(longest+noticeTaken, timeline.Func(func() {
		if s.Up && s.Life == life {
			w.kill(s)
		}
	}))
	s.B.Term()
}

// restart starts a balancer again, as soon as the last process has ended.
func (w *World) restart(s *Seat) {
	if s.Up {
		if s.Term {
			w.Clock.After(100*time.Millisecond, timeline.Func(func() { w.restart(s) }))
		}
		return
	}
	w.startBalancer(s)
}

func (e *Episode) beginNetwork() {
	w, net := e.w, e.w.Net
	var paths []int
	add := func(p int) { paths = append(paths, p) }
	switch e.Kind {
	case "dark":
		net.each(e.f.Zone, "", w.Sc.Zones, add)
		net.each("", e.f.Zone, w.Sc.Zones, func(p int) {
			if !slices.Contains(paths, p) {
				add(p)
			}
		})
	case "cut_one_way":
		net.each(e.f.From, e.f.To, w.Sc.Zones, add)
	default:
		net.each(e.f.From, e.f.To, w.Sc.Zones, add)
		net.each(e.f.To, e.f.From, w.Sc.Zones, func(p int) {
			if !slices.Contains(paths, p) {
				add(p)
			}
		})
	}
	switch e.Kind {
	case "reset":
		w.resetPath(e.f.From, e.f.To)
		return
	case "latency":
		more := time.Duration(e.Size * float64(time.Millisecond))
		for _, p := range paths {
			net.extra[p] += more
		}
		e.later(func() {
			for _, p := range paths {
				net.extra[p] -= more
			}
		})
		return
	}
	for _, p := range paths {
		net.cut(p, true, 0)
	}
	w.reachAll()
	e.later(func() {
		for _, p := range paths {
			net.cut(p, false, e.To-e.From)
		}
		w.reachAll()
	})
	if e.Kind == "dark" { // the front sees the zone's balancers die and come back
		for _, s := range w.Balancers {
			if w.Sc.Zones[s.Zone] == e.f.Zone {
				w.Front.gone(s)
			}
		}
		e.later(func() {
			for _, s := range w.Balancers {
				if w.Sc.Zones[s.Zone] == e.f.Zone && s.Up && !s.Term {
					w.Front.ready(s)
				}
			}
		})
	}
}

func (e *Episode) beginRest() {
	d := e.w.Discovery
	switch e.Kind {
	case "discovery_late":
		more := time.Duration(e.Size * float64(time.Second))
		d.late += more
		e.later(func() { d.late -= more })
	case "discovery_down":
		d.setDown(true)
		e.later(func() { d.setDown(false) })
	case "discovery_silent":
		d.setSilent(true)
		e.later(func() { d.setSilent(false) })
	case "discovery_restarts":
		d.setDown(true)
		e.later(func() { d.restart(); d.setDown(false) })
	case "discovery_cuts":
		d.setCuts(true)
		e.later(func() { d.setCuts(false) })
	case "discovery_empty":
		d.setEmpty(true)
		e.later(func() { d.setEmpty(false) })
	case "surge":
		c := e.w.Clients
		c.setSurge(c.surge * e.Size)
		e.later(func() { c.setSurge(c.surge / e.Size) })
	}
}

// ---- lives of app nodes ----

func (w *World) changed(n *Node, what uint64) {
	w.Journal.Note(w.Clock.Now(), NodeChanged, uint64(n.Index), what, uint64(n.Epoch))
}

// crash ends a process; its machine goes on and says so to all that are connected.
func (w *World) crash(n *Node) {
	if !n.Up {
		return
	}
	w.changed(n, 0)
	n.Stop()
	w.resetLinks(n, false)
	w.Discovery.learn(n, Gone, draw(w.Discovery.rng, w.Sc.Discovery.Silent))
}

// comeBack starts a process again on its machine, under its id.
func (w *World) comeBack(n *Node) {
	if n.Up || w.Addresses[n.Address] != n {
		return
	}
	w.Clock.After(w.Sc.Nodes[n.Group].StartsIn.D(), timeline.Func(func() {
		if n.Up || w.Addresses[n.Address] != n {
			return
		}
		n.Start()
		w.changed(n, 1)
		w.Discovery.learn(n, Ready, draw(w.Discovery.rng, w.Sc.Discovery.Add))
	}))
}

// vanish takes a machine off the network, and appear brings it back with a new process.
func (w *World) vanish(n *Node) {
	if !n.Up {
		return
	}
	w.changed(n, 2)
	n.Stop()
	n.Dark = true
	w.resetLinks(n, true)
	w.Discovery.learn(n, Gone, draw(w.Discovery.rng, w.Sc.Discovery.Silent))
}

func (w *World) appear(n *Node) {
	n.Dark = false
	w.raise(n)
	w.comeBack(n)
}

// drain has an app node turn away what is new, finish its work and leave; another may then start at its address.
func (w *World) drain(n *Node, replace bool, within time.Duration) {
	if !n.Up || n.Doomed {
		return
	}
	if within <= 0 {
		within = drainFor
	}
	n.Doomed = true
	epoch := n.Epoch
	w.changed(n, 3)
	// Half-way it begins to turn away what is new, as a balancer that has not heard by then will see.
	w.Clock.After(within/2, timeline.Func(func() {
		if n.Up && n.Epoch == epoch {
			n.Draining = true
		}
	}))
	w.Discovery.learn(n, Draining, draw(w.Discovery.rng, w.Sc.Discovery.Notice))
	w.Clock.After(within, timeline.Func(func() {
		if n.Up && n.Epoch == epoch {
			w.changed(n, 4)
			n.Stop()
			w.resetLinks(n, false)
			w.Discovery.learn(n, Gone, draw(w.Discovery.rng, w.Sc.Discovery.Notice))
		}
		n.End()
		if replace {
			w.Clock.After(w.Sc.Nodes[n.Group].StartsIn.D(), timeline.Func(func() { w.join(n.Group, n.Address) }))
		}
	}))
}

// join starts a further app node, cold, at an address of its own or at one that was left.
func (w *World) join(group, address int) {
	zone := len(w.Nodes) % len(w.Sc.Zones)
	if z := w.Sc.Nodes[group].Zone; z != "" {
		zone = w.zoneIndex[z]
	}
	if address >= 0 {
		zone = w.Addresses[address].Zone
	}
	n := w.addNode(group, zone, address)
	n.Start()
	w.changed(n, 5)
	w.Discovery.learn(n, Ready, draw(w.Discovery.rng, w.Sc.Discovery.Add))
}

// Topple has a cold app node that was pushed over stay down.
func (w *World) Topple(n *Node) {
	n.Doomed = true
	w.Clock.After(0, timeline.Func(func() { w.crash(n) })) // not inside what it is just doing
}
