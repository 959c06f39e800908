// Package world owns the lab's model of everything around the balancers: app nodes, clients, the front, discovery,
// the network, and what goes wrong with them. It runs on a timeline.Clock and on streams of chance, so that the same
// world stands around simulated balancers in virtual time and, node by node, around real ones on sockets. It must
// never open a socket, read another clock, or know what a balancer believes.
package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
)

// Lead is the time from the start of the balancers to the first request: the front admits them meanwhile.
const Lead = 3 * time.Second

// Balancer is one balancer as the world sees it; the mode that drives real or simulated ones implements it.
type Balancer interface {
	// Ask: a request has arrived whole. False: the connection is closed, and the request was not read.
	Ask(a *Ask) bool
	// Leave: the client has closed the connection of a request that is not answered.
	Leave(a *Ask)
	// Start starts the process with the list that it is given.
	Start(known List)
	// Kill ends it without a word, Term with notice: World.Exited follows.
	Kill()
	Term()
	// Reload has it read its configuration again, which names another address of discovery.
	Reload()
}

// Watcher sees all that happens in the world that a verdict or a result may rest on.
type Watcher interface {
	NodeWatcher
	// JobCame: a request of a balancer has arrived whole at an app node, before anything is done with it.
	JobCame(n *Node, j *Job, balancer int)
	// Wished: a client's wish comes up.
	Wished(op *Op)
	// Taken: a balancer has read a request whole.
	Taken(a *Ask)
	// Answered: a balancer has written its final answer; it is whole at the client at that moment, if nothing is cut.
	Answered(a *Ask, o Outcome, at time.Duration)
	// Over: a request that a balancer has taken is over without an answer. why: Left, Crashed or Lost.
	Over(a *Ask, why Kind)
	// Settled: the client has what it wanted, or has given up (not Served).
	Settled(op *Op, how Kind, at time.Duration)
	// Wrote: a balancer has written the first byte of an attempt.
	Wrote(balancer int, n *Node, op *Op)
	// Called: a balancer calls discovery for a watch.
	Called(balancer int)
	// Knew: discovery has learned of a state. Told: a line with it has reached a balancer.
	Knew(n *Node, s State)
	Told(balancer int, e Entry)
	// Reached says whether a balancer that runs can be told anything by discovery from now on.
	Reached(balancer int, can bool)
	// Broken: something happened that must never do.
	Broken(text string)
}

// World is all of it. Its methods belong to the clock's goroutine.
type World struct {
	Sc        *scenario.Scenario
	Clock     timeline.Clock
	Chance    chance.Source
	Journal   *Journal
	Seen      Watcher
	Net       *Net
	Nodes     []*Node // all that there ever were
	Addresses []*Node // who is, or was last, at each address
	Discovery *Discovery
	Clients   *Clients
	Front     *Front
	Balancers []*Seat
	Episodes  []*Episode // faults, in the order of their beginnings
	Classes   []Class
	Capacity  float64 // cores of standard speed of all app nodes of the first day
	End       time.Duration
	Rig       Rig // nil in virtual time

	waiting   []*Episode // faults whose event has not come
	zoneIndex map[string]int
	byAddress map[string]int
	lastLink  uint64
	nodeRng   *rand.Rand
	workRng   *rand.Rand
	sizeRng   *rand.Rand
}

// Class is a class of requests, drawn for the run.
type Class struct {
	*scenario.Class
	Work       chance.Dist
	noiseMu    float64 // of the logarithm of the factor between attempts
	noiseSigma float64
}

// Seat is the place of a balancer: its name and address stay, whatever process runs there.
type Seat struct {
	Index   int
	Zone    int
	B       Balancer
	Up      bool
	Term    bool // it was given notice
	Life    int  // counts starts
	Known   List // what it would be started with
	asks    []*Ask
	termAt  time.Duration
	reached bool
}

// New makes a world from a scenario and a seed. Attach must follow, then Open.
func New(sc *scenario.Scenario, clock timeline.Clock, src chance.Source, journal *Journal, seen Watcher) *World {
	w := &World{Sc: sc, Clock: clock, Chance: src, Journal: journal, Seen: seen, zoneIndex: map[string]int{},
		byAddress: map[string]int{}, End: Lead + sc.Length.D()}
	for i, z := range sc.Zones {
		w.zoneIndex[z] = i
	}
	w.Net = newNet(clock, sc, src.Stream("network"))
	w.nodeRng, w.workRng, w.sizeRng = src.Stream("nodes"), src.Stream("work"), src.Stream("sizes")
	draws := src.Stream("classes")
	for i := range sc.Classes {
		c := &sc.Classes[i]
		k := Class{Class: c, Work: distOf(&c.Work, drawRange(draws, c.Work.Mean))}
		if cv := c.Work.Noise; cv > 0 {
			s2 := math.Log(1 + cv*cv)
			k.noiseMu, k.noiseSigma = -s2/2, math.Sqrt(s2)
		}
		w.Classes = append(w.Classes, k)
	}
	w.Discovery = newDiscovery(w)
	inZone := 0
	for g := range sc.Nodes {
		for range sc.Nodes[g].Count {
			zone := inZone % len(sc.Zones)
			if z := sc.Nodes[g].Zone; z != "" {
				zone = w.zoneIndex[z]
			} else {
				inZone++
			}
			n := w.addNode(g, zone, -1)
			w.Capacity += float64(n.Cores) * n.Speed
			w.Discovery.state(n, Ready)
		}
	}
	w.Discovery.restart()
	for i := range sc.Balancers.Count {
		w.Balancers = append(w.Balancers, &Seat{Index: i, Zone: i % len(sc.Zones)})
	}
	w.Front = newFront(w)
	w.Clients = newClients(w)
	return w
}

func distOf(k *scenario.Work, mean float64) chance.Dist {
	switch k.Dist {
	case "constant":
		return chance.Constant(mean)
	case "lognormal":
		return chance.NewLognormal(mean, k.CV)
	case "hyperexponential":
		return chance.NewHyperexponential(mean, k.CV)
	case "trace":
		return chance.Trace(k.Trace)
	}
	return chance.Exponential(mean)
}

// addNode makes an app node of a group, at an address of its own or at one that it takes over.
func (w *World) addNode(group, zone, address int) *Node {
	g, rng := &w.Sc.Nodes[group], w.nodeRng
	index := len(w.Nodes)
	spec := NodeSpec{ID: NodeID(w.Chance, index), Kind: g.Kind,
		Zone: zone, Cell: index/g.CellSize*len(w.Sc.Zones) + zone, Size: g.Size, Cores: g.Cores, Slots: g.Slots, Queue: g.Queue,
		Speed: drawRange(rng, g.Speed), CrowdFrom: g.CrowdFrom, CrowdLoss: g.CrowdLoss,
		ColdFrom: drawRange(rng, g.ColdFrom), ColdFor: draw(rng, g.ColdFor), Handshake: g.Handshake, Trips: g.Trips,
		MaxConns: g.MaxConns, ConnTax: g.ConnTax, IdleClose: w.Sc.Limits.IdleClose.D(),
		ReportEvery: draw(rng, w.Sc.Reports.Every), ReportDelay: draw(rng, w.Sc.Reports.Delay),
		ReportNoise: drawRange(rng, w.Sc.Reports.Noise), Errors: drawRange(rng, g.Errors), Cancels: g.Cancels,
		Expires: g.Expires, HangEvery: draw(rng, g.HangEvery), HangFor: draw(rng, g.HangFor)}
	if w.Sc.Reports.How == "polled" {
		spec.ReportEvery = 0 // a sample begins a new stretch, and the polls' are the ones that count
	}
	n := NewNode(w.Clock, spec, w.Chance.Stream("nodes/"+strconv.Itoa(index)), len(w.Classes), w)
	n.Index, n.Group = index, group
	if address < 0 {
		address = len(w.Addresses)
		w.Addresses = append(w.Addresses, n)
		w.byAddress[AddressName(address)] = address
	} else {
		n.Before = w.Addresses[address]
		n.Cell = n.Before.Cell // a place and its stores stay where they are, whatever process runs there
		w.Addresses[address] = n
	}
	n.Address = address
	w.Nodes = append(w.Nodes, n)
	return n
}

// NodeID is the id of an app node in a run.
func NodeID(src chance.Source, index int) string {
	return fmt.Sprintf("s-%08x", uint32(src.Number("nodes/"+strconv.Itoa(index))))
}

// AddressName is an address as discovery writes it.
func AddressName(address int) string { return "node-" + strconv.Itoa(address) + ":80" }

// AddressOf is the reverse; false where no such machine ever was.
func (w *World) AddressOf(name string) (int, bool) {
	a, ok := w.byAddress[name]
	return a, ok
}

func (w *World) at(address int) *Node { return w.Addresses[address] }

// BalancerZone is the zone of a balancer's machine.
func (w *World) BalancerZone(i int) int { return w.Balancers[i].Zone }

func (w *World) jobCame(l *Link, j *Job) {
	w.Journal.Note(w.Clock.Now(), CameToNode, uint64(l.Node.Index), j.Ask, uint64(j.Work*1e3))
	w.Seen.JobCame(l.Node, j, l.Balancer)
}

// JobKept and JobBegan pass on what nodes see.
func (w *World) JobKept(n *Node, j *Job) { w.Seen.JobKept(n, j) }

func (w *World) JobBegan(n *Node, j *Job) {
	w.Journal.Note(w.Clock.Now(), WorkBegan, uint64(n.Index), j.Op.Serial, 0)
	w.Seen.JobBegan(n, j)
}

// attemptWork is what a request costs at one app node: each attempt differs a little.
func (w *World) attemptWork(op *Op, n *Node) float64 {
	if k := &w.Classes[op.Class]; k.noiseSigma > 0 {
		return op.Work * math.Exp(k.noiseMu+k.noiseSigma*n.rng.NormFloat64())
	}
	return op.Work
}

func (w *World) answerBytes(op *Op) float64 { return drawSize(w.sizeRng, w.Classes[op.Class].Bytes) }

// drawSize draws a size, evenly over the powers between the bounds.
func drawSize(rng *rand.Rand, b scenario.Range) float64 {
	if b[0] == b[1] {
		return b[0]
	}
	return b[0] * math.Pow(b[1]/b[0], rng.Float64())
}

// Poll takes the load of all app nodes every so often, all at one moment, and hands each on.
func (w *World) Poll(to func(n *Node, r *Report)) {
	every := draw(w.nodeRng, w.Sc.Reports.Every)
	w.Clock.After(every, timeline.Func(func() {
		for _, n := range w.Nodes {
			if n.Up && !n.Draining {
				report := n.sample()
				to(n, &report)
			}
		}
		if w.Clock.Now() < w.End {
			w.Poll(to)
		}
	}))
}

// ---- balancers' lives ----

// Open starts the balancers, the clients and the faults.
func (w *World) Open(balancers []Balancer) {
	for i, b := range balancers {
		s := w.Balancers[i]
		s.B = b
		if w.Sc.Balancers.Known == "last" {
			s.Known = w.Discovery.List()
		}
		w.startBalancer(s)
	}
	w.Clients.open()
	w.armFaults()
}

func (w *World) startBalancer(s *Seat) {
	if s.Up {
		return
	}
	s.Up, s.Term = true, false
	s.Life++
	w.Journal.Note(w.Clock.Now(), BalancerStarted, uint64(s.Index), uint64(s.Life), 0)
	w.reach(s)
	s.B.Start(s.Known)
}

// reach tells whether discovery can tell a balancer anything.
func (w *World) reach(s *Seat) {
	a, b := w.Net.At(Balancers, s.Zone), w.Net.At(DiscoverySide, 0)
	can := s.Up && !w.Discovery.mute() && !w.Net.Cut(a, b) && !w.Net.Cut(b, a) && !w.severed(s.Index)
	if can != s.reached {
		s.reached = can
		w.Seen.Reached(s.Index, can)
	}
}

func (w *World) reachAll() {
	for _, s := range w.Balancers {
		w.reach(s)
	}
}

// Ready: a balancer answers its health check.
func (w *World) Ready(balancer int) {
	w.Journal.Note(w.Clock.Now(), BalancerReady, uint64(balancer), 0, 0)
	w.Front.ready(w.Balancers[balancer])
	w.tell("balancer_ready", balancer)
}

// Exited: a balancer that was given notice has ended.
func (w *World) Exited(balancer int) {
	s := w.Balancers[balancer]
	w.Journal.Note(w.Clock.Now(), BalancerEnded, uint64(balancer), uint64(s.Life), 1)
	w.endBalancer(s)
}

// kill ends a balancer's process at once.
func (w *World) kill(s *Seat) {
	if !s.Up {
		return
	}
	w.Journal.Note(w.Clock.Now(), BalancerEnded, uint64(s.Index), uint64(s.Life), 0)
	s.B.Kill()
	w.endBalancer(s)
}

// endBalancer resets the connections of clients: what it had taken is over.
func (w *World) endBalancer(s *Seat) {
	s.Up, s.reached = false, true // so that its end is told in any case
	w.reach(s)
	w.Front.gone(s)
	asks := s.asks
	s.asks = nil
	for _, a := range asks {
		a.place = -1
		w.Clients.crashed(a, s.Term)
	}
	w.tell("balancer_ended", s.Index)
}

// Knows is what a balancer would be started with: the list as it had it last.
func (w *World) Knows(balancer int, l List) {
	if w.Sc.Balancers.Known == "last" {
		w.Balancers[balancer].Known = l
	}
}
