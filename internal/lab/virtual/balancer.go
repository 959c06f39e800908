package virtual

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/brain"
	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/roster"
)

// Figures of the shells, which the model takes over; the constants there say why.
const (
	ClockStart    = 24 * time.Hour         // cmd/pewterrudder: the zero of the clock means "long ago" in lists
	watchPatience = 4 * time.Second        // internal/registry: for the head of a watch
	watchSilence  = 4 * time.Second        // internal/registry: without a line
	acceptFor     = 720 * time.Millisecond // internal/acceptor: after the notice to end
	// readerWakes is from the end of a connection to the reducer's hearing of it: what is picked meanwhile is not
	// written. A goroutine's wake-up and its turn in the queue of events.
	readerWakes = 50 * time.Microsecond
)

var (
	errRefused  = errors.New("connection refused")
	errTimeout  = errors.New("i/o timeout")
	errReset    = errors.New("connection reset by peer")
	errSilent   = errors.New("no line for too long")
	errEnded    = errors.New("discovery ended it")
	errHead     = errors.New("timeout awaiting response headers")
	errStalled  = errors.New("the answer stopped in its middle")
	errNoSuchIP = errors.New("no route to host")
)

// balancer is one seat's process: a real reducer, and its shells as events and effects.
type balancer struct {
	run   *run
	index int

	red      *reducer.Reducer
	decider  brain.Decider
	life     int // counts processes; what an earlier one had set off means nothing to the next
	up       bool
	serving  bool // it has had its first event
	draining bool
	closed   bool // connections of clients without a call have been ended
	exiting  bool

	effects []reducer.Effect
	calls   map[uint64]*world.Ask
	conns   map[uint64]*conn
	watch   *watch
	timers  int // armed and not due
	moved   int // of discovery's address
	report  []float64
}

// conn is a connection to an app node as the delegation has it.
type conn struct {
	b     *balancer
	life  int
	id    uint64
	link  *world.Link
	up    bool
	busy  bool
	flows bool
	ended bool // the app node's side is over, of which the reducer is yet to hear
	ask   *world.Ask
	shot  bool
	stall time.Duration
	flow  time.Duration
	timer timeline.Timer // of the dial, or of a stop in an answer
}

func newBalancer(run *run, index int) *balancer { return &balancer{run: run, index: index} }

// ---- the process ----

func (b *balancer) Start(known world.List) {
	r := b.run
	b.life++
	b.up, b.serving, b.draining, b.closed, b.exiting = true, false, false, false, false
	b.calls, b.conns, b.watch, b.timers, b.moved = map[uint64]*world.Ask{}, map[uint64]*conn{}, nil, 0, 0
	life := b.life
	r.clock.After(r.sc.Balancers.ReadyIn.D(), timeline.Func(func() {
		if b.life != life || !b.up {
			return
		}
		b.serving = true
		cfg := r.settings(b.index)
		seed := r.src.Number("balancers/" + strconv.Itoa(b.index) + "/" + strconv.Itoa(life))
		decider, err := r.opt.Policy(cfg, seed)
		if err != nil { // the settings come from a checked scenario, so this is the lab's own fault
			panic("virtual: " + err.Error())
		}
		_, _, budget := config.Limits{MemoryMB: 192, Sockets: r.sc.Balancers.Sockets}.Budget()
		b.decider = decider
		if r.opt.Layout == nil {
			b.red = reducer.NewWithDecider(cfg, decider, budget)
		} else {
			b.red = b.laid(cfg, seed, budget)
		}
		if r.opt.Roster != nil {
			m, err := roster.New(r.opt.Roster())
			if err != nil {
				panic("virtual: " + err.Error()) // they were good a moment ago
			}
			b.red.UseRoster(m, 0)
		}
		list := b.list(&known)
		b.handle(reducer.Started{Known: list, Discovery: "discovery:0"})
	}))
}

// laid makes the state with pools; the first of them has the decider that there is.
func (b *balancer) laid(cfg brain.Settings, seed uint64, budget int) *reducer.Reducer {
	layout, err := b.run.opt.Layout(cfg)
	if err != nil {
		panic("virtual: " + err.Error())
	}
	first := true
	red, err := reducer.NewWithDeciders(cfg, budget, layout, func(pool string) brain.Decider {
		if first {
			first = false
			return b.decider
		}
		own := cfg
		own.AskDiscovery = false // the list is the same for all, and the first asks for it
		d, err := b.run.opt.Policy(own, seed^xxhash.Sum64String(pool))
		if err != nil {
			panic("virtual: " + err.Error())
		}
		return d
	})
	if err != nil {
		panic("virtual: " + err.Error())
	}
	return red
}

func (b *balancer) Kill() { b.stop() }

// stop ends the process: its sockets close with it.
func (b *balancer) stop() {
	ids := make([]uint64, 0, len(b.conns))
	for id := range b.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids) // a map's order must not show in the log
	b.up, b.serving = false, false
	b.life++
	for _, id := range ids {
		k := b.conns[id]
		k.timer.Stop()
		k.link.Close()
	}
	if b.watch != nil {
		b.watch.close()
	}
	b.red, b.decider, b.calls, b.conns, b.watch = nil, nil, nil, nil, nil
}

// Term is the notice to end: answers end their connections from now on, new ones are taken for a while, and the
// process ends once all that it took is answered.
func (b *balancer) Term() {
	life := b.life
	b.draining = true
	b.run.clock.After(acceptFor, timeline.Func(func() {
		if b.life == life && b.up {
			b.closed = true
			b.mayExit()
		}
	}))
}

func (b *balancer) mayExit() {
	if !b.closed || b.exiting || len(b.calls) > 0 {
		return
	}
	b.exiting = true
	life := b.life
	b.run.clock.After(0, timeline.Func(func() {
		if b.life == life && b.up {
			b.stop()
			b.run.world.Exited(b.index)
		}
	}))
}

func (b *balancer) Reload() {
	if b.serving {
		b.moved++
		b.handle(reducer.Reloaded{Discovery: "discovery:" + strconv.Itoa(b.moved)})
	}
}

// ---- the acceptor ----

func (b *balancer) Ask(a *world.Ask) bool {
	if !b.serving || b.closed {
		return false
	}
	now := b.now()
	c := &reducer.Call{ID: a.ID, ClientID: strconv.FormatUint(a.ID, 16), Class: a.Op.Class, Tenant: a.Op.Tenant, Retry: a.Retry,
		Work: a.Op.Hint, Deadline: now + a.Deadline - a.Sent, StreamedBody: a.Op.Upload > held, Message: a}
	if c.Tenant >= 0 {
		c.Quota = b.run.sc.Tenants[c.Tenant].Quota
	}
	b.calls[a.ID] = a
	b.handle(reducer.Arrived{Call: c})
	return true
}

// bodyGone marks a request whose body has been read off its client's connection, on its way to an app node.
var bodyGone = new(struct{ _ byte })

// held is the size up to which bodies are kept whole, either way.
const held = 64 << 10

func (b *balancer) Leave(a *world.Ask) {
	if !b.serving || b.calls[a.ID] != a {
		return
	}
	delete(b.calls, a.ID)
	b.handle(reducer.ClientGone{Call: a.ID})
	b.mayExit()
}

func (b *balancer) answer(e reducer.Answer) {
	a := b.calls[e.Call]
	if a == nil {
		b.run.oracle.Break(oracle.Answers, "balancer %d answers request %d, which has its answer or whose client has left",
			b.index, e.Call)
		return
	}
	o := world.Outcome{After: e.Reply.RetryAfter, Closes: b.draining}
	switch e.Reply.Kind {
	case reducer.Served:
		o.Kind = world.Served
	case reducer.Refused:
		o.Kind = world.Refused
	default:
		o.Kind = world.Failed
	}
	if m, ok := e.Reply.Message.(*flowing); ok {
		o.Answer, o.Flows = m.answer, true
		m.k.flows, m.k.ask = true, a
		b.run.world.Answer(a, o)
		return // the call is the acceptor's until its last byte
	}
	o.Answer, _ = e.Reply.Message.(*world.Answer)
	delete(b.calls, e.Call)
	b.run.world.Answer(a, o)
	b.mayExit()
}

// ---- the reducer ----

func (b *balancer) now() time.Duration { return ClockStart + b.run.clock.Now() }

// handle drives the reducer with one event and carries out what follows. What that sets off comes back later, as
// events of their own, just as it does through the real one's queue.
func (b *balancer) handle(ev reducer.Event) {
	r := b.run
	r.handled++
	effects := b.red.Handle(b.now(), ev, b.effects[:0])
	b.effects = effects
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.Answer:
			b.answer(e)
		case reducer.Exchange:
			b.exchange(e)
		case reducer.Dial:
			b.dial(e)
		case reducer.Close:
			b.close(e)
		case reducer.Watch:
			b.openWatch(e)
		case reducer.StartTimer:
			b.timers++
			r.arm(b, e.After, e.Event)
		case reducer.Ready:
			r.world.Ready(b.index)
		case reducer.Log:
			r.logged++
			if r.opt.Log != nil {
				r.say(b.index, e.Text)
			}
		}
	}
	clear(effects)
}

// armed is a timer of a reducer's; they are used again.
type armed struct {
	b    *balancer
	life int
	ev   reducer.Event
}

func (t *armed) Run() {
	b, life, ev := t.b, t.life, t.ev
	*t = armed{}
	b.run.freeArmed = append(b.run.freeArmed, t)
	if b.life == life && b.serving {
		b.timers--
		b.handle(ev)
	}
}

func (r *run) arm(b *balancer, after time.Duration, ev reducer.Event) {
	var t *armed
	if n := len(r.freeArmed); n > 0 {
		t, r.freeArmed = r.freeArmed[n-1], r.freeArmed[:n-1]
	} else {
		t = new(armed)
	}
	*t = armed{b, b.life, ev}
	r.clock.After(r.world.Net.Coarse(after), t)
}

// later hands an event to the reducer after a moment, as one that comes from another goroutine.
func (b *balancer) later(after time.Duration, ev reducer.Event) {
	life := b.life
	b.run.clock.After(after, timeline.Func(func() {
		if b.life == life && b.serving {
			b.handle(ev)
		}
	}))
}

// ---- the delegation ----

func (b *balancer) dial(e reducer.Dial) {
	k := &conn{b: b, life: b.life, id: e.Conn}
	address, ok := b.run.world.AddressOf(e.Address)
	if !ok {
		b.later(readerWakes, reducer.Dialed{Conn: e.Conn, Err: errNoSuchIP})
		return
	}
	b.conns[e.Conn] = k
	k.link = b.run.world.Dial(b.index, address, (*peer)(b))
	k.link.Data = k
	k.timer = b.run.clock.After(e.Timeout, dialTimeout{k})
}

type dialTimeout struct{ k *conn }

func (t dialTimeout) Run() {
	k := t.k
	if !k.live() || k.up {
		return
	}
	k.link.Close()
	k.b.handle(reducer.Dialed{Conn: k.id, Err: errTimeout})
}

// live: the process that opened it runs, and the reducer has not given it back.
func (k *conn) live() bool { return k.life == k.b.life && k.b.serving && k.b.conns[k.id] == k }

func (b *balancer) exchange(e reducer.Exchange) {
	k := b.conns[e.Conn]
	if k == nil || !k.up {
		b.run.oracle.Break(oracle.Sound, "balancer %d uses connection %d, which it has given back or not yet made", b.index, e.Conn)
		return
	}
	a := e.Call.Message.(*world.Ask)
	if k.ended || !k.link.Open() { // closed while the reducer picked it
		b.later(readerWakes, reducer.Exchanged{Conn: e.Conn, Written: reducer.WroteNothing, Err: errReset})
		return
	}
	if e.Call.StreamedBody {
		if a.Data == bodyGone {
			b.run.oracle.Break(oracle.Sound, "balancer %d sends request %d again, whose body is gone", b.index, a.ID)
		}
		a.Data = bodyGone
		b.later(readerWakes, reducer.Uploaded{Call: e.Call.ID}) // bodies take no time here
	}
	k.busy, k.flows, k.ask, k.shot, k.stall, k.flow = true, false, nil, e.Call.StreamedBody, e.ReadTimeout, e.FlowReadTimeout
	k.link.Send(a.Op, a.ID, e.TimeLeft)
}

func (b *balancer) close(e reducer.Close) {
	k := b.conns[e.Conn]
	if k == nil {
		return
	}
	delete(b.conns, e.Conn)
	k.timer.Stop()
	if k.link != nil {
		k.link.Close()
	}
	k.flowEnded(false)
}

// flowEnded has the client's side see the end of an answer that flowed to it.
func (k *conn) flowEnded(whole bool) {
	if !k.flows || k.ask == nil {
		return
	}
	a := k.ask
	k.flows, k.ask = false, nil
	if k.b.calls[a.ID] == a {
		delete(k.b.calls, a.ID)
	}
	k.b.run.world.FlowEnded(a, whole)
	k.b.mayExit()
}

// peer is a balancer as its connections to app nodes see it.
type peer balancer

// flowing stands for an answer that is to flow.
type flowing struct {
	k      *conn
	answer *world.Answer
}

func connOf(l *world.Link) *conn {
	if k := l.Data.(*conn); k.live() {
		return k
	}
	return nil
}

func (p *peer) LinkUp(l *world.Link) {
	if k := connOf(l); k != nil {
		k.up = true
		k.timer.Stop()
		k.b.handle(reducer.Dialed{Conn: k.id})
	}
}

func (p *peer) LinkRefused(l *world.Link) {
	if k := connOf(l); k != nil {
		k.timer.Stop()
		k.b.handle(reducer.Dialed{Conn: k.id, Err: errRefused})
	}
}

func (p *peer) LinkFlows(l *world.Link, a *world.Answer) {
	k := connOf(l)
	if k == nil || !k.busy {
		return
	}
	k.timer.Stop()
	k.timer = p.run.clock.After(l.Rest()+k.flow, stopped{k})
	k.b.handle(reducer.Flowing{Conn: k.id, Result: reducer.ResultGood, Message: &flowing{k, a}})
}

func (p *peer) LinkHalts(l *world.Link) {
	if k := connOf(l); k != nil && k.busy {
		k.timer.Stop()
		k.timer = p.run.clock.After(k.stall, stopped{k})
	}
}

// stopped: the next bytes of an answer have been waited for long enough.
type stopped struct{ k *conn }

func (t stopped) Run() {
	k := t.k
	if !k.live() || !k.busy {
		return
	}
	k.busy = false
	k.flowEnded(false)
	k.b.handle(reducer.Exchanged{Conn: k.id, Written: reducer.WroteAll, Result: reducer.ResultStalled, BodyUsed: k.shot,
		Err: errStalled})
}

func (p *peer) LinkAnswered(l *world.Link, a *world.Answer) {
	k := connOf(l)
	if k == nil || !k.busy {
		return
	}
	k.busy = false
	k.timer.Stop()
	e := reducer.Exchanged{Conn: k.id, Written: reducer.WroteAll, Reusable: true, BodyUsed: k.shot}
	switch a.End {
	case world.Finished:
		e.Result = reducer.ResultGood
		if !k.flows {
			e.Message = a
		}
	case world.Errored:
		e.Result = reducer.ResultAppError
	default:
		e.Result = reducer.ResultShed
	}
	if a.Loaded && p.run.sc.Reports.How == "answers" {
		e.Report = (*balancer)(p).values(&a.Report)
	}
	k.flowEnded(true)
	k.b.handle(e)
}

// values gives a report the form that the settings name; it is used again for the next one.
func (b *balancer) values(r *world.Report) []float64 {
	if len(b.run.columns) == 0 {
		return nil
	}
	b.report = b.report[:0]
	for _, column := range b.run.columns {
		b.report = append(b.report, column(r))
	}
	return b.report
}

func (p *peer) LinkEnded(l *world.Link) {
	k := connOf(l)
	switch {
	case k == nil:
	case !k.up:
		k.timer.Stop()
		k.b.handle(reducer.Dialed{Conn: k.id, Err: errReset})
	case k.busy:
		k.busy, k.ended = false, true
		k.timer.Stop()
		e := reducer.Exchanged{Conn: k.id, Written: reducer.WroteAll, Result: reducer.ResultBroken, BodyUsed: k.shot, Err: errReset}
		if !l.Whole() {
			e.Written = reducer.WrotePart
		}
		k.flowEnded(false)
		k.b.handle(e)
	default:
		k.ended = true
		k.b.later(readerWakes, reducer.Lost{Conn: k.id})
	}
}

// ---- the registry ----

// watch is the registry's one watch: one call, and others beside it while nothing is heard.
type watch struct {
	b     *balancer
	life  int
	id    uint64
	since int64
	sides []*side
	again timeline.Timer
	over  bool
}

// side is one call of a watch.
type side struct {
	w      *watch
	stream *world.Stream
	quiet  timeline.Timer
	over   bool
}

// As internal/registry has them: the first call beside one without a head goes out just before its patience ends.
const (
	askBeside    = time.Second
	silentBeside = 2500 * time.Millisecond
	headBeside   = watchPatience - 100*time.Millisecond
)

func (b *balancer) openWatch(e reducer.Watch) {
	if b.watch != nil {
		b.watch.close()
	}
	w := &watch{b: b, life: b.life, id: e.ID, since: e.Since}
	b.watch = w
	w.call()
}

func (w *watch) call() {
	if w.over || w.life != w.b.life {
		return
	}
	s := &side{w: w}
	w.sides = append(w.sides, s)
	s.quiet = w.b.run.clock.After(watchPatience, timeline.Func(func() { s.end(errHead) }))
	s.stream = w.b.run.world.Discovery.Watch(w.b.index, w.since, s)
	if len(w.sides) == 1 {
		w.rearm(headBeside)
	} else {
		w.rearm(askBeside)
	}
}

func (w *watch) rearm(after time.Duration) {
	w.again.Stop()
	w.again = w.b.run.clock.After(after, timeline.Func(w.call))
}

func (w *watch) close() {
	w.over = true
	w.again.Stop()
	for _, s := range w.sides {
		s.close()
	}
}

func (s *side) close() {
	s.over = true
	s.quiet.Stop()
	s.stream.Close()
}

func (s *side) end(err error) {
	w := s.w
	if s.over || w.over || w.life != w.b.life {
		return
	}
	s.close()
	w.sides = slices.DeleteFunc(w.sides, func(o *side) bool { return o == s })
	if len(w.sides) == 0 {
		w.close()
		w.b.handle(reducer.WatchEnded{Watch: w.id, Err: err})
	}
}

func (s *side) Opened() {}

func (s *side) Line(l *world.List) {
	w := s.w
	if s.over || w.over || w.life != w.b.life {
		return
	}
	for _, o := range w.sides {
		if o != s {
			o.close()
		}
	}
	w.sides = append(w.sides[:0], s)
	s.quiet.Stop()
	s.quiet = w.b.run.clock.After(watchSilence, timeline.Func(func() { s.end(errSilent) }))
	w.rearm(silentBeside)
	if line := w.b.run.opt.Line; line != nil {
		line(w.b.index, w.b.run.clock.Now(), l)
	}
	if l == nil {
		if w.b.run.opt.Roster != nil {
			w.b.handle(reducer.SourceAlive{Source: 0})
		}
		return
	}
	w.since = l.Revision
	if l.Complete {
		w.b.run.world.Knows(w.b.index, *l)
	}
	w.b.handle(reducer.Listed{Watch: w.id, List: w.b.list(l)})
}

func (s *side) Closed() {
	s.end(errEnded)
	if !s.w.over {
		s.w.rearm(headBeside) // it speaks: the calls that are out have their turn coming
	}
}

// list puts a list in the node's terms.
func (b *balancer) list(l *world.List) reducer.List {
	zones := b.run.sc.Zones
	out := reducer.List{Revision: l.Revision, Complete: l.Complete, Members: make([]brain.Member, 0, len(l.Entries)),
		Addresses: make([]string, 0, len(l.Entries))}
	for i := range l.Entries {
		e := &l.Entries[i]
		m := brain.Member{Server: e.Node.ID, Zone: zones[e.Node.Zone], Kind: e.Node.Kind, Cell: e.Node.Cell, Weight: e.Weight}
		if e.Started != 0 {
			m.Started = ClockStart + e.Started
		}
		switch e.State {
		case world.Draining:
			m.State = brain.Draining
		case world.Gone:
			m.State = brain.Gone
		}
		out.Members = append(out.Members, m)
		out.Addresses = append(out.Addresses, world.AddressName(e.Node.Address))
	}
	return out
}
