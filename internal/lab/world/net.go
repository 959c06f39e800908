package world

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
)

// Role is a kind of party on the network. With its zone it makes a place, and cuts and delays lie between places.
type Role uint8

const (
	Balancers Role = iota
	AppNodes
	ClientSide
	DiscoverySide
	roles
)

// Place is a role in a zone.
type Place int

// Net carries messages. Those on one connection keep their order. What is sent into a cut waits there and arrives
// after it, as it does where TCP sends again; only the connection's ends may be gone by then.
type Net struct {
	clock timeline.Clock
	rng   *rand.Rand
	zones int
	base  []time.Duration // between places
	extra []time.Duration
	cuts  []int
	held  [][]func(more time.Duration) // what was sent into a cut, in order
	// Loss of a machine is not a cut: what was sent to it is gone.
	jitter float64
	rate   float64 // bytes a nanosecond
	grain  time.Duration
	free   []*parcel
	links  int // open at either end
}

// firstFlow is the size up to which an answer comes in one piece; a larger one is seen to flow once so much has come.
const firstFlow = 64 << 10

// resend is how long after a cut the first of what waited comes through: half of what a sender's pauses have grown
// to, which double, so as a share of the cut.
const resend = 0.25

func newNet(clock timeline.Clock, sc *scenario.Scenario, rng *rand.Rand) *Net {
	zones := len(sc.Zones)
	n := &Net{clock: clock, rng: rng, zones: zones, jitter: sc.Network.Jitter, rate: sc.Network.Rate * 1e6 / 1e9}
	size := int(roles) * zones
	n.base = make([]time.Duration, size*size)
	n.extra = make([]time.Duration, size*size)
	n.cuts = make([]int, size*size)
	n.held = make([][]func(time.Duration), size*size)
	n.grain = draw(rng, sc.Network.Grain)
	same, cross, client := draw(rng, sc.Network.Same), draw(rng, sc.Network.Cross), draw(rng, sc.Network.Client)
	for a := range size {
		for b := range size {
			d := same
			if a%zones != b%zones {
				d = cross
			}
			if Role(a/zones) == ClientSide || Role(b/zones) == ClientSide {
				d += client
			}
			n.base[a*size+b] = d
		}
	}
	return n
}

func draw(rng *rand.Rand, s scenario.Span) time.Duration {
	u := rng.Float64() // drawn in any case, so that a fixed figure in a file moves no other draw
	return s[0].D() + time.Duration(u*float64(s[1]-s[0]))
}

func drawRange(rng *rand.Rand, r scenario.Range) float64 {
	return r[0] + rng.Float64()*(r[1]-r[0])
}

// At names a place.
func (n *Net) At(r Role, zone int) Place { return Place(int(r)*n.zones + zone) }

func (n *Net) path(a, b Place) int { return int(a)*int(roles)*n.zones + int(b) }

// Cut says whether nothing passes from a to b.
func (n *Net) Cut(a, b Place) bool { return n.cuts[n.path(a, b)] > 0 }

// delay draws the time of a message.
func (n *Net) delay(a, b Place) time.Duration {
	p := n.path(a, b)
	d := float64(n.base[p]) * (1 + n.jitter*(2*n.rng.Float64()-1))
	return n.Coarse(time.Duration(d) + n.extra[p])
}

// Coarse lengthens a wait so that it ends at a multiple of the grain.
func (n *Net) Coarse(d time.Duration) time.Duration {
	if n.grain <= 0 {
		return d
	}
	now := n.clock.Now()
	return (now+d+n.grain-1)/n.grain*n.grain - now
}

// each calls fn for the paths between two sides; a side is a zone's name, a role's, or empty for all.
func (n *Net) each(from, to string, zones []string, fn func(path int)) {
	size := int(roles) * n.zones
	for a := range size {
		for b := range size {
			if n.stands(Place(a), from, zones) && n.stands(Place(b), to, zones) {
				fn(a*size + b)
			}
		}
	}
}

func (n *Net) stands(p Place, side string, zones []string) bool {
	switch side {
	case "":
		return true
	case "balancers":
		return Role(int(p)/n.zones) == Balancers
	case "nodes":
		return Role(int(p)/n.zones) == AppNodes
	case "clients":
		return Role(int(p)/n.zones) == ClientSide
	case "discovery":
		return Role(int(p)/n.zones) == DiscoverySide
	}
	// A zone is its machines; clients stand outside and reach it over a path of their own.
	return zones[int(p)%n.zones] == side && Role(int(p)/n.zones) != ClientSide
}

// cut begins or ends a cut of one path. What waited goes out in its order after the cut.
func (n *Net) cut(path int, on bool, lasted time.Duration) {
	if on {
		n.cuts[path]++
		return
	}
	n.cuts[path]--
	if n.cuts[path] > 0 {
		return
	}
	held := n.held[path]
	n.held[path] = nil
	for _, fn := range held {
		fn(time.Duration(resend * float64(lasted) * n.rng.Float64()))
	}
}

// send carries a message that is no connection's to an app node: at once, or after the cut that it was sent into.
func (n *Net) send(a, b Place, fn func(takes time.Duration)) {
	if path := n.path(a, b); n.cuts[path] > 0 {
		n.held[path] = append(n.held[path], func(more time.Duration) { fn(n.delay(a, b) + more) })
		return
	}
	fn(n.delay(a, b))
}

// ---- connections to app nodes ----

// Peer is a balancer's end of its connections to app nodes.
type Peer interface {
	LinkUp(l *Link)
	LinkRefused(l *Link)
	// LinkHalts: an answer has begun, and stops in its middle.
	LinkHalts(l *Link)
	// LinkFlows: the answer is larger than what is held, and so much of it is there.
	LinkFlows(l *Link, a *Answer)
	// LinkAnswered: the last byte is there.
	LinkAnswered(l *Link, a *Answer)
	// LinkEnded: the app node, or what is left of it, has ended the connection.
	LinkEnded(l *Link)
}

// Answer is what an app node says to a request.
type Answer struct {
	Op     *Op
	Ask    uint64 // the id of the request that it answers
	End    JobEnd
	Node   *Node
	Bytes  float64
	Report Report
	Loaded bool // a report is there
	Halts  bool // it stops in its middle
}

// Link is a connection from a balancer to an app node. Each end closes its own half of the story.
type Link struct {
	ID       uint64
	Balancer int
	Node     *Node
	Data     any // the balancer's own
	Busy     bool
	Made     time.Duration // when the balancer dialled
	net      *Net
	world    *World
	peer     Peer
	at, to   Place
	here     bool // the balancer has it open
	there    bool // the app node has
	began    bool // the handshake is done
	epoch    int
	place    int    // among the node's links
	own      Job    // serves as long as requests come one at a time
	jobs     []*Job // sent and not answered, in order
	came     int    // how many of them have arrived; the app node works at the first alone
	answer   Answer // likewise
	said     []*Answer
	used     time.Duration
	idle     timeline.Timer
	lastOut  time.Duration // arrival of the latest message, either way: the order of a connection
	lastIn   time.Duration
	body     timeline.Timer // the rest of an answer that flows
	wholeAt  time.Duration  // when the last byte of the request has left
	torn     bool           // the balancer closed before
	stuck    bool           // a cut holds the request, which is in the sender's kernel until it has been acknowledged
}

type parcelKind uint8

const (
	pDial parcelKind = iota
	pUp
	pRefused
	pRequest
	pFlow
	pHalt
	pAnswer
	pHang // the balancer has closed
	pReset
	pRested // a handshake's round trips are over
)

// parcel is a message under way.
type parcel struct {
	link *Link
	kind parcelKind
	out  bool // towards the app node
}

func (p *parcel) Run() {
	l, k := p.link, p.kind
	n := l.net
	p.link = nil
	n.free = append(n.free, p)
	l.deliver(k)
}

func (l *Link) post(kind parcelKind, out bool, more time.Duration) {
	n := l.net
	var p *parcel
	if k := len(n.free); k > 0 {
		p, n.free = n.free[k-1], n.free[:k-1]
	} else {
		p = new(parcel)
	}
	*p = parcel{l, kind, out}
	a, b := l.at, l.to
	if !out {
		a, b = b, a
	}
	path := n.path(a, b)
	if n.cuts[path] > 0 {
		l.stuck = l.stuck || kind == pRequest
		n.held[path] = append(n.held[path], func(later time.Duration) { n.ship(p, n.delay(a, b)+more+later) })
		return
	}
	n.ship(p, n.delay(a, b)+more)
}

func (n *Net) ship(p *parcel, d time.Duration) {
	l := p.link
	last := &l.lastIn
	if p.out {
		last = &l.lastOut
	}
	at := max(n.clock.Now()+d, *last+1)
	*last = at
	n.clock.After(at-n.clock.Now(), p)
}

// Dial opens a connection to an address; the peer hears of it, or of nothing where the machine is silent.
func (w *World) Dial(balancer int, address int, peer Peer) *Link {
	node := w.at(address)
	l := &Link{ID: w.lastLink + 1, Balancer: balancer, Node: node, Made: w.Clock.Now(), net: w.Net, world: w, peer: peer, here: true,
		at: w.Net.At(Balancers, w.BalancerZone(balancer)), to: w.Net.At(AppNodes, node.Zone)}
	w.lastLink++
	w.Net.links++
	w.Journal.Note(w.Clock.Now(), Dialed, uint64(balancer), uint64(node.Index), l.ID)
	l.post(pDial, true, 0)
	return l
}

// Send writes a request; the answer comes to the peer. wait is how long the balancer will, as it tells the app node.
func (l *Link) Send(op *Op, ask uint64, wait time.Duration) {
	w := l.world
	now := w.Clock.Now()
	l.Busy = true
	l.torn, l.stuck = false, false
	l.wholeAt = now + time.Duration(max(0, op.Upload-firstFlow)/l.net.rate)
	j := &l.own
	if len(l.jobs) > 0 || j.To != nil { // no balancer should, and then the answers come in this order
		j = new(Job)
	}
	*j = Job{Class: op.Class, Op: op, To: l, Ask: ask, Sent: now, Expires: now + wait}
	l.jobs = append(l.jobs, j)
	w.Journal.Note(now, Wrote, uint64(l.Balancer), uint64(l.Node.Index), ask)
	w.Seen.Wrote(l.Balancer, l.Node, op)
	l.post(pRequest, true, time.Duration(op.Upload/l.net.rate))
}

// Whole says whether the last byte of the request has left; what a socket's buffer takes leaves at once.
func (l *Link) Whole() bool { return l.world.Clock.Now() >= l.wholeAt }

// Open says whether the balancer's side is open.
func (l *Link) Open() bool { return l.here }

// Rest is the time from now until the last byte of an answer that flows, if nothing holds it up.
func (l *Link) Rest() time.Duration {
	if len(l.said) == 0 {
		return 0
	}
	return time.Duration(max(0, l.said[0].Bytes-firstFlow) / l.net.rate)
}

// Close ends the balancer's side, whatever is under way.
func (l *Link) Close() {
	if !l.here {
		return
	}
	l.here = false
	l.torn = !l.Whole() || l.stuck // the program resets what it gives up, so that nothing is sent again
	l.world.Journal.Note(l.world.Clock.Now(), LinkEnded, uint64(l.Balancer), uint64(l.Node.Index), l.ID)
	l.post(pHang, true, 0)
	l.gone()
}

// gone counts a link out once neither end has it.
func (l *Link) gone() {
	if !l.here && !l.there {
		l.net.links--
	}
}

// alive: the process that took the connection still runs.
func (l *Link) alive() bool { return l.there && l.Node.Up && l.Node.Epoch == l.epoch }

func (l *Link) deliver(kind parcelKind) {
	n := l.Node
	w := l.world
	if n.Dark && (kind == pRequest || kind == pHang || kind == pRested) {
		return // to a machine that is not there
	}
	switch kind {
	case pDial:
		l.Node = w.Addresses[n.Address] // whoever is there by now
		n = l.Node
		switch {
		case n.Dark:
		case !n.Up:
			l.post(pRefused, false, 0)
		case !n.Accept():
			l.post(pReset, false, 0)
		default:
			l.there, l.epoch = true, n.Epoch
			l.place = len(n.links)
			n.links = append(n.links, l)
			l.used = w.Clock.Now()
			l.armIdle()
			l.post(pUp, false, 0)
			n.Shake(l)
		}
	case pRequest:
		if l.torn {
			return
		}
		if !l.alive() {
			l.post(pReset, false, 0)
			return
		}
		l.used = w.Clock.Now()
		j := l.jobs[l.came]
		l.came++
		j.Work = w.attemptWork(j.Op, n)
		w.jobCame(l, j)
		if l.began && l.came == 1 {
			n.Take(j)
		}
	case pRested:
		if l.alive() {
			l.began = true
			if l.came > 0 {
				n.Take(l.jobs[0])
			}
		}
	case pHang:
		if l.alive() {
			l.leave()
		}
	case pUp:
		if l.here {
			l.peer.LinkUp(l)
		}
	case pRefused:
		if l.here {
			l.here = false
			l.gone()
			l.peer.LinkRefused(l)
		}
	case pFlow:
		if l.here {
			l.peer.LinkFlows(l, l.said[0])
		}
	case pHalt:
		if l.here {
			l.peer.LinkHalts(l)
		}
	case pAnswer:
		if l.here {
			l.Busy = len(l.jobs) > 0
			a := l.said[0]
			l.said = l.said[:copy(l.said, l.said[1:])]
			l.peer.LinkAnswered(l, a)
		}
	case pReset:
		if l.here {
			l.here = false
			l.gone()
			w.Journal.Note(w.Clock.Now(), LinkEnded, uint64(l.Balancer), uint64(n.Index), l.ID)
			l.peer.LinkEnded(l)
		}
	}
}

// leave ends the app node's side.
func (l *Link) leave() {
	l.there = false
	l.idle.Stop()
	l.body.Stop()
	n := l.Node
	first := l.first()
	l.jobs, l.came = nil, 0
	end := len(n.links) - 1
	n.links[l.place] = n.links[end]
	n.links[l.place].place = l.place
	n.links[end] = nil
	n.links = n.links[:end]
	n.Release()
	if first != nil {
		n.Drop(first)
	}
	l.gone()
}

// first is the request that the app node has in hand.
func (l *Link) first() *Job {
	if l.came == 0 {
		return nil
	}
	return l.jobs[0]
}

// JobDone: the machine is done with the handshake (nil) or with the request.
func (l *Link) JobDone(j *Job, end JobEnd) {
	w := l.world
	if j == nil {
		if l.alive() {
			trips := time.Duration(max(0, l.Node.Trips-1) * 2 * float64(l.net.base[l.net.path(l.at, l.to)]))
			w.Clock.After(trips, rested{l})
		}
		return
	}
	w.Journal.Note(w.Clock.Now(), WorkEnded, uint64(l.Node.Index), j.Ask, uint64(end))
	if !l.there { // work that went on after its connection had ended
		return
	}
	j.To = nil
	l.jobs = l.jobs[:copy(l.jobs, l.jobs[1:])]
	if l.came--; l.came > 0 {
		w.Clock.After(0, timeline.Func(func() {
			if l.alive() {
				l.Node.Take(l.jobs[0])
			}
		}))
	}
	l.used = w.Clock.Now()
	a := &l.answer
	if len(l.said) > 0 {
		a = new(Answer)
	}
	l.said = append(l.said, a)
	*a = Answer{Op: j.Op, Ask: j.Ask, End: end, Node: l.Node, Bytes: 200}
	if w.Sc.Reports.How == "answers" {
		a.Report, a.Loaded = l.Node.Load()
	}
	if end == Finished {
		a.Bytes = w.answerBytes(j.Op)
	}
	halts := l.Node.chance(l.Node.Halt)
	if a.Bytes <= firstFlow && halts {
		l.post(pHalt, false, 0)
		return
	}
	if a.Bytes <= firstFlow {
		l.post(pAnswer, false, time.Duration(a.Bytes/l.net.rate))
		return
	}
	l.post(pFlow, false, time.Duration(firstFlow/l.net.rate))
	if a.Halts = halts; halts {
		return
	}
	// The rest comes as the line gives; it ends where the process or the connection does.
	l.body = w.Clock.After(time.Duration((a.Bytes-firstFlow)/l.net.rate), timeline.Func(func() {
		l.used = w.Clock.Now()
		l.post(pAnswer, false, time.Duration(firstFlow/l.net.rate))
	}))
}

type rested struct{ l *Link }

func (r rested) Run() { r.l.deliver(pRested) }

// armIdle has the app node close a connection without use.
func (l *Link) armIdle() {
	limit := l.Node.IdleClose
	if limit <= 0 {
		return
	}
	l.idle = l.world.Clock.After(max(0, limit-(l.world.Clock.Now()-l.used)), idleCheck{l})
}

type idleCheck struct{ l *Link }

func (c idleCheck) Run() {
	l := c.l
	if !l.alive() {
		return
	}
	if l.came > 0 || l.world.Clock.Now()-l.used < l.Node.IdleClose {
		l.used = max(l.used, l.world.Clock.Now()-l.Node.IdleClose+time.Second)
		l.armIdle()
		return
	}
	l.leave()
	l.post(pReset, false, 0)
}

// resetLinks ends all connections of a process that has died. silent: the machine is gone, so nobody hears of it
// until it is back.
func (w *World) resetLinks(n *Node, silent bool) {
	for _, l := range n.links {
		if silent && l.here {
			n.ghosts = append(n.ghosts, l)
		}
		l.there, l.jobs, l.came = false, nil, 0
		l.idle.Stop()
		l.body.Stop()
		if !silent {
			l.post(pReset, false, 0)
		}
		l.gone()
	}
	clear(n.links)
	n.links = n.links[:0]
}

// raise has a machine that is back answer what was sent to its former self again and again.
func (w *World) raise(n *Node) {
	for _, l := range n.ghosts {
		if l.here && l.Busy {
			l.post(pReset, false, time.Duration(l.net.rng.Float64()*float64(time.Second)))
		}
	}
	n.ghosts = nil
}

// resetPath resets all connections that are open between two sides.
func (w *World) resetPath(from, to string) {
	for _, n := range w.Nodes {
		for i := len(n.links) - 1; i >= 0; i-- {
			l := n.links[i]
			if w.Net.stands(l.at, from, w.Sc.Zones) && w.Net.stands(l.to, to, w.Sc.Zones) ||
				w.Net.stands(l.at, to, w.Sc.Zones) && w.Net.stands(l.to, from, w.Sc.Zones) {
				l.leave()
				l.post(pReset, false, 0)
			}
		}
	}
}

// Links is the number of connections to app nodes that either end has open.
func (n *Net) Links() int { return n.links }
