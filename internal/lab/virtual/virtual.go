// Package virtual owns the lab's virtual mode: it drives the real reducer, around the real module or another Decider,
// through a world under a clock that jumps from event to event. Acceptor, delegation and registry are modelled at the
// level of the reducer's events and effects. A run is one goroutine and shares nothing with other runs: the same
// scenario, seed and policy give the same log of events to the byte. It must never open a socket, read the machine's
// clock for anything but the time that a run took, or decide what the reducer decides.
//
// What it takes over of the shells, and where: connect timeouts, what has been written when a connection breaks, idle
// connections that close under a call, answers that stop in their middle, answers and bodies that flow, the patience
// and the silence of a watch, the notice to end. What it leaves to sockets: bytes and their parsing, the client's
// connections as a resource (budgets, patience with heads and bodies, slow readers), memory and descriptors, copied
// ids, the time that the program itself takes, and all that a kernel does between two programs on one machine.
package virtual

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/roster"
)

// ErrRigged: lines and processes are things of real processes.
var ErrRigged = errors.New("it has faults of lines or processes, which virtual time does not have: play it on sockets, or with 'fleet'")

// Policy makes the decisions of one balancer.
type Policy func(cfg brain.Settings, seed uint64) (brain.Decider, error)

// Ours is the module.
func Ours(cfg brain.Settings, seed uint64) (brain.Decider, error) { return brain.New(cfg, seed) }

// Options of a run.
type Options struct {
	Seed     uint64
	Policy   Policy        // nil: Ours
	Recorder Recorder      // nil: nobody
	Sample   time.Duration // between Recorder.Sample; 0: never
	Log      io.Writer     // the whole log of events and the balancers' lines; nil: only a digest is kept
	// Layout divides the fleet of a balancer with these settings over pools and zones; nil: one pool without zones. Each
	// pool has a decider of the policy.
	Layout func(cfg brain.Settings) (reducer.Layout, error)
	// Roster has what discovery says go through a roster with these settings, as its one source; nil: its word is the list.
	Roster func() roster.Settings
	// Line is told of each line of discovery's that a balancer hears, at which moment; nil for the list is a blank one.
	Line    func(balancer int, at time.Duration, l *world.List)
	InOrder bool // tasks due at one instant run as they were set, instead of in an order drawn from the seed
}

// Recorder hears of what results are made of, as it happens, so that nothing need be kept.
type Recorder interface {
	// Settled: a wish is over. Its latency is at - op.Due.
	Settled(op *world.Op, how world.Kind, at time.Duration)
	// Sample: the state at a moment. It is used again afterwards.
	Sample(s *Sample)
}

// Sample is the state of a run at a moment.
type Sample struct {
	At        time.Duration
	Nodes     []NodeSample
	Balancers []BalancerSample
}

// NodeSample is one app node's state.
type NodeSample struct {
	Up, Cold       bool
	Held, Waiting  int
	Conns          int
	Cores          int
	Busy, Capacity float64 // cores busy since the last sample, on average; cores of standard speed that it has
}

// BalancerSample is one balancer's state.
type BalancerSample struct {
	Up    bool
	Open  int // calls
	Conns int // to app nodes
	K     int // see Burster; 0: not told
	Burst bool
}

// Burster is a Decider that tells the state of its detector of bursts: among how many of the least loaded it picks.
type Burster interface{ Burst() (k int, on bool) }

// Record is what a run came to.
type Record struct {
	Scenario string
	Seed     uint64
	Digest   uint64 // of the log of events
	Events   uint64 // in it
	Handled  uint64 // events that reducers have handled
	Logged   uint64 // lines that balancers have logged
	Counts   oracle.Counts
	Breaks   []oracle.Break // the first few
	Broken   uint64         // all
	Episodes []*world.Episode
	Begin    time.Duration // of the requests, on the run's clock
	End      time.Duration // of the requests
	Lasted   time.Duration // on the run's clock
	Took     time.Duration // on the machine's
	Speedup  float64       // time during which requests came, over that
}

// OK says whether no rule was broken.
func (r *Record) OK() bool { return r.Broken == 0 }

// run is one run.
type run struct {
	opt       Options
	sc        *scenario.Scenario
	src       chance.Source
	clock     *timeline.Virtual
	world     *world.World
	oracle    *oracle.Oracle
	balancers []*balancer
	columns   []func(*world.Report) float64
	cfg       brain.Settings
	freeArmed []*armed
	handled   uint64
	logged    uint64
	sample    Sample
	busy      []float64
}

// seen joins the oracle and the recorder.
type seen struct {
	*oracle.Oracle
	to Recorder
}

func (s seen) Settled(op *world.Op, how world.Kind, at time.Duration) {
	s.Oracle.Settled(op, how, at)
	if s.to != nil {
		s.to.Settled(op, how, at)
	}
}

// Run runs a scenario from its beginning to its end.
func Run(sc *scenario.Scenario, opt Options) (*Record, error) {
	cfg, err := Settings(sc)
	if err != nil {
		return nil, err
	}
	if sc.Rigged() {
		return nil, fmt.Errorf("%s: %w", sc.Name, ErrRigged)
	}
	if opt.Policy == nil {
		opt.Policy = Ours
	}
	if _, err := opt.Policy(cfg, opt.Seed); err != nil {
		return nil, fmt.Errorf("%s: %w", sc.Name, err)
	}
	if opt.Roster != nil {
		if s := opt.Roster(); len(s.Sources) != 1 {
			return nil, fmt.Errorf("%s: a roster of %d sources, where there is discovery alone", sc.Name, len(s.Sources))
		} else if _, err := roster.New(s); err != nil {
			return nil, fmt.Errorf("%s: %w", sc.Name, err)
		}
	}
	r := &run{opt: opt, sc: sc, src: chance.New(opt.Seed), cfg: cfg}
	order := uint64(0)
	if !opt.InOrder {
		order = r.src.Number("order") | 1
	}
	r.clock = timeline.NewVirtual(order)
	r.oracle = oracle.New(sc)
	journal := world.NewJournal()
	journal.Out = opt.Log
	r.world = world.New(sc, r.clock, r.src, journal, seen{r.oracle, opt.Recorder})
	r.oracle.Watch(r.world)
	for _, c := range sc.Reports.Columns {
		r.columns = append(r.columns, column[c])
	}
	seats := make([]world.Balancer, sc.Balancers.Count)
	for i := range seats {
		b := newBalancer(r, i)
		r.balancers = append(r.balancers, b)
		seats[i] = b
	}
	began := time.Now()
	r.play(seats)
	took := time.Since(began)
	rec := &Record{Scenario: sc.Name, Seed: opt.Seed, Digest: journal.Digest(), Events: journal.Count, Handled: r.handled,
		Logged: r.logged, Counts: r.oracle.Counts, Breaks: r.oracle.Breaks, Episodes: r.world.Episodes, Begin: world.Lead,
		End: r.world.End, Lasted: r.clock.Now(), Took: took, Speedup: sc.Length.D().Seconds() / took.Seconds()}
	for _, n := range r.oracle.ByRule {
		rec.Broken += n
	}
	return rec, nil
}

// play runs it all. A panic of the reducer or the module is a finding and has its place in the log.
func (r *run) play(seats []world.Balancer) {
	defer func() {
		if p := recover(); p != nil {
			r.oracle.Break(oracle.Sound, "panic: %v\n%s", p, debug.Stack())
		}
	}()
	r.world.Open(seats)
	if r.opt.Recorder != nil && r.opt.Sample > 0 {
		r.armSample()
	}
	if r.sc.Reports.How == "polled" {
		r.world.Poll(r.polled)
	}
	r.clock.Run(r.world.End)
	r.finish()
	r.oracle.Close()
}

// afterwards is added to the longest time that a request can still take once the last has come: longer than an app node is
// waited for that has stopped in the middle of an answer.
const afterwards = 12 * time.Second

// finish lets all that was asked for be answered, and then all that is left without use be given back.
func (r *run) finish() {
	longest := time.Duration(0)
	for i := range r.sc.Classes {
		longest = max(longest, r.sc.Classes[i].Deadline.D())
	}
	r.clock.Run(r.world.End + longest + r.sc.Rules.Grace.D() + afterwards)
	for i, b := range r.balancers {
		if !b.serving {
			continue
		}
		if n := b.red.OpenCalls(); n > 0 {
			r.oracle.Break(oracle.Leaks, "balancer %d holds %d calls though nobody waits for any", i, n)
		}
		if n := len(b.calls); n > 0 {
			r.oracle.Break(oracle.Leaks, "the acceptor of balancer %d holds %d calls", i, n)
		}
		busy := 0
		for _, k := range b.conns {
			if k.busy {
				busy++
			}
		}
		if busy > 0 {
			r.oracle.Break(oracle.Leaks, "balancer %d holds %d connections as busy", i, busy)
		}
	}
	for _, n := range r.world.Nodes {
		n.End()
	}
	// Connections without use are closed by the limit at the latest, and timers run out; faults that are still on end.
	last := r.clock.Now()
	for _, e := range r.world.Episodes {
		last = max(last, e.To)
	}
	r.clock.Run(last + r.sc.Limits.IdleClose.D() + longest + 2*afterwards)
	if n := r.world.Net.Links(); n > 0 {
		r.oracle.Break(oracle.Leaks, "%d connections to app nodes are open long after the last use", n)
	}
	for i, b := range r.balancers {
		if !b.serving {
			continue
		}
		if n := len(b.conns); n > 0 {
			r.oracle.Break(oracle.Leaks, "balancer %d holds %d connections long after the last use", i, n)
		}
		if b.timers > timersLeft {
			r.oracle.Break(oracle.Leaks, "balancer %d has %d timers running with nothing to do", i, b.timers)
		}
	}
}

// timersLeft is what a balancer without work may have armed: the pause before a watch, and one round of what looks
// after held and overdue requests and idle connections.
const timersLeft = 4

func (r *run) say(balancer int, text string) {
	fmt.Fprintf(r.opt.Log, "%12.6f balancer %d: %s\n", r.clock.Now().Seconds(), balancer, text)
}

// polled hands every balancer's decider the load of an app node, as the answer to a probe. It goes past the reducer,
// which knows no probes, so a decider must not want anything done at that moment.
func (r *run) polled(n *world.Node, report *world.Report) {
	for _, b := range r.balancers {
		if !b.serving {
			continue
		}
		ev := &brain.ProbeEnded{Server: n.ID, Outcome: brain.OK, Report: b.values(report)}
		if len(b.decider.Handle(b.now(), ev, nil)) > 0 {
			panic("virtual: a decider acts on a report that was polled")
		}
	}
}

// ---- samples ----

// TakeNodes fills in the app nodes. busy holds how long each had worked at the last sample, a width ago; it is given back
// as of now.
func (s *Sample) TakeNodes(w *world.World, busy []float64, width time.Duration) []float64 {
	s.Nodes = s.Nodes[:0]
	for i, n := range w.Nodes {
		if i == len(busy) {
			busy = append(busy, 0)
		}
		now := n.BusySeconds()
		s.Nodes = append(s.Nodes, NodeSample{Up: n.Up, Cold: n.Warmth() < 1, Held: n.Held(), Waiting: n.Waiting(),
			Conns: n.Conns(), Cores: n.Cores, Busy: (now - busy[i]) / width.Seconds(), Capacity: n.Capacity()})
		busy[i] = now
	}
	return busy
}

func (r *run) armSample() {
	r.clock.After(r.opt.Sample, timeline.Func(func() {
		if r.clock.Now() <= r.world.End {
			r.takeSample()
			r.armSample()
		}
	}))
}

func (r *run) takeSample() {
	s := &r.sample
	s.At = r.clock.Now()
	s.Balancers = s.Balancers[:0]
	r.busy = s.TakeNodes(r.world, r.busy, r.opt.Sample)
	for _, b := range r.balancers {
		bs := BalancerSample{Up: b.serving}
		if b.serving {
			bs.Open, bs.Conns = b.red.OpenCalls(), len(b.conns)
			if d, ok := b.decider.(Burster); ok {
				bs.K, bs.Burst = d.Burst()
			}
		}
		s.Balancers = append(s.Balancers, bs)
	}
	r.opt.Recorder.Sample(s)
}

// ---- settings ----

var column = map[string]func(*world.Report) float64{
	"held":              func(r *world.Report) float64 { return r.Held },
	"waiting":           func(r *world.Report) float64 { return r.Waiting },
	"busy":              func(r *world.Report) float64 { return r.Busy },
	"took_ms":           func(r *world.Report) float64 { return r.TookMs },
	"per_second":        func(r *world.Report) float64 { return r.PerSecond },
	"errors_per_second": func(r *world.Report) float64 { return r.ErrorsPerSecond },
}

var columns = map[string]brain.Column{"held": brain.ColInFlight, "waiting": brain.ColQueue, "busy": brain.ColUtilization,
	"took_ms": brain.ColLatency, "per_second": brain.ColRate, "errors_per_second": brain.ColErrors}

// Settings are what the balancers of a scenario are told; the zone is each one's own.
func Settings(sc *scenario.Scenario) (brain.Settings, error) {
	s := brain.Settings{Nodes: sc.Balancers.Count, Zone: sc.Zones[0], OverQuotaWorth: sc.Rules.OverQuotaWorth,
		WorthByWork: sc.Rules.WorthBy == "work", AskDiscovery: sc.Discovery.Ask, MaxAttempts: sc.Limits.MaxAttempts,
		SecondCopies: sc.Limits.SecondCopies, CanCancel: sc.Limits.Cancel, RetryAfter: sc.Limits.RetryAfter,
		MaxRetryAfter: sc.Limits.MaxRetryAfter.D(), ConnectTimeout: sc.Limits.ConnectTimeout.D(),
		IdleClose: sc.Limits.IdleClose.D(), StreamsPerConn: 1,
		Prices: brain.Prices{Connection: sc.Prices.Connection, CrossZone: sc.Prices.CrossZone, Handshake: sc.Prices.Handshake,
			Waste: sc.Prices.Waste, LateFail: sc.Prices.LateFail},
		Rules: brain.Rules{AnswerGrace: sc.Rules.Grace.D(), DrainGrace: sc.Rules.DrainGrace.D(),
			AskEvery: sc.Rules.AskEvery.D(), ColdFrom: sc.Rules.ColdFrom, ColdFor: sc.Rules.ColdFor.D(), OverloadFactor: sc.Rules.OverloadFactor,
			FallFor: sc.Rules.FallFor.D()}}
	if len(sc.Reports.Columns) > 0 {
		s.Reports = brain.ReportsInline
		if sc.Reports.How == "polled" { // by somebody else: it is not the balancers' to ask
			s.Reports = brain.ReportsOnProbe
		}
		for _, c := range sc.Reports.Columns {
			s.Columns = append(s.Columns, columns[c])
		}
	}
	s.Weights = map[string]brain.WeightKind{"off": brain.WeightOff, "nominal": brain.WeightNominal, "rough": brain.WeightRough,
		"live": brain.WeightLive}[sc.Discovery.Weights]
	for i := range sc.Classes {
		c := &sc.Classes[i]
		k := brain.Class{Name: c.Name, Window: c.Window.D(), Aim: c.Aim.D(), Deadline: c.Deadline.D(), Worth: c.Worth,
			Late: c.Late}
		k.Repeat = map[string]brain.Repeat{"safe": brain.Safe, "keyed": brain.Keyed, "unsafe": brain.Unsafe}[c.Repeat]
		k.Scope = map[string]brain.Scope{"all": brain.ScopeAll, "zone": brain.ScopeZone, "cell": brain.ScopeCell}[c.Scope]
		s.Classes = append(s.Classes, k)
	}
	if len(s.Classes) == 0 {
		return s, fmt.Errorf("%s: no classes", sc.Name)
	}
	return s, nil
}

// settings are those of one balancer.
func (r *run) settings(balancer int) brain.Settings {
	s := r.cfg
	s.Zone = r.sc.Zones[r.world.BalancerZone(balancer)]
	return s
}

// Name of a run, for messages.
func (r *Record) Name() string { return r.Scenario + " seed " + strconv.FormatUint(r.Seed, 10) }
