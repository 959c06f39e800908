// Package reducer owns every state of a balancer: the node that decides, each call with its delegations, and
// each connection to an app node. All changes go through Handle, which takes one event and names the effects
// that follow; one goroutine drives it. It must never touch a socket, a clock or a lock, and never block.
//
// A connection is dialing, busy, flowing, idle or closed. It is opened by a Dial effect and given back by a Close
// effect and nowhere else: once Close is asked for, its id means nothing any more and late events about it
// are passed over. A call gets one Answer effect, the first; ids of calls are never used twice.
//
// A delegation whose answer is larger than what is held asks to be committed (Flowing). The first to ask gets the
// call: its answer begins to flow to the client, other copies are called off, and nothing is sent for that call any
// more. Until the flow has ended the call is open and the app node counts as busy with it.
//
// What calls and answers look like on a wire is not known here: they pass as Message, which is never looked at.
// calls.go, delegations.go, connections.go, servers.go, pools.go and words.go hold one kind of state each. The work for an event does
// not grow with the fleet, nor with the pools or the calls that are open: a list is worked through in slices, an event for each, and
// tells the pools that it touches.
package reducer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
	"pewterrudder/internal/fleet/view"
	"pewterrudder/internal/patience"
	"pewterrudder/internal/roster"
	"pewterrudder/internal/selector"
)

// Tunables.
const (
	// answerMargin is how long before the client's deadline a call is answered at the latest: the client
	// counted from its sending, which is earlier than our reading, and the answer has to travel back.
	answerMargin = 12 * time.Millisecond
	// idleMargin is how long before the app node's idle limit a connection is no longer used: the app node
	// counts from the moment it wrote, and a request under way when it closes would end as a reset.
	idleMargin = 500 * time.Millisecond
	// settleFor is how long a connection rests after an answer while another will do: an app node may close it
	// right behind the answer, and a call written before that is noticed ends as a reset, which may have run.
	settleFor = 10 * time.Millisecond
	// sweepEvery is how often idle connections are looked through for old ones.
	sweepEvery = time.Second
	// watchAgain is the longest pause before a broken watch is opened again where the node does not ask by itself. What its
	// agent has counts as told all the while, so the pause is a part of the grace for drains, and not under watchLeast.
	watchAgain, watchPart, watchLeast = time.Second, 8, 20 * time.Millisecond
	// idKept is how long the client's id of a call that is over is remembered at the least, and idsMost bounds
	// how many are: an id that comes back within that time is a copy.
	idKept  = 3 * time.Second
	idsMost = 20000
	// An answer that stops in its middle is first waited for half the class's aim, later for what has been learned: at
	// least a tenth of the aim, so that a moment's pause of a machine is forgiven, at most half the deadline. Once it
	// flows, no other app node can be asked any more: the wait is four times as long, and some seconds at the least, since
	// what an app node still gives must not be cut off.
	stallFirst, stallLeast, stallMost = 0.5, 0.1, 0.5
	flowStalls                        = 4
	flowStallLeast                    = 10 * time.Second
	// keyMargin is how long before a key is forgotten its call goes out for the last time: the app node counts from when
	// the first attempt came. The module decides with more to spare, so this binds only where a connection was long in the making.
	keyMargin = 20 * time.Millisecond
	// sayBrokenEvery bounds the lines on answers that broke off in their middle.
	sayBrokenEvery = time.Second
)

// Call is a client's request as the acceptor read it.
type Call struct {
	ID       uint64
	ClientID string // as the client wrote it; another client may have copied it
	Class    int
	Tenant   int     // a number that stays with whoever asks, or -1
	Quota    float64 // of that tenant, in requests per second over all balancers; 0: without bound
	Retry    bool
	Key      string
	Work     float64
	Deadline time.Duration // when the client leaves, on the node's clock
	OneShot  bool          // its body is read off the client's connection as it is sent: once; its time counts from Uploaded
	Message  any           // for the delegation
}

// Kind says what a final answer is.
type Kind uint8

const (
	Served   Kind = iota // Message is an app node's answer
	Rejected             // Message is an app node's answer, which says that the call is at fault
	Refused              // trying again is harmless, best after After
	Failed               // it may have run
	Conflict             // the client's id is in use; it is no refusal, since the call of that id may have run
)

// Reply is the final answer of a call.
type Reply struct {
	Kind    Kind
	After   time.Duration // 0: no advice
	Message any
}

// Event is one of the structs below.
type Event interface{ event() }

type (
	// Started opens the day with the list as it was last held and the address of discovery.
	Started struct {
		Known     List
		Discovery string
		Figures   bool // they are to be published
	}
	// Reloaded: a new configuration is in force. Without a layout or settings those there are stay.
	Reloaded struct {
		Discovery string
		Layout    *Layout
		Settings  *brain.Settings
		Tag       any // comes back with Retuned
	}
	// TurnedDown: a new configuration was not taken.
	TurnedDown struct{}
	// Arrived: a call was read whole.
	Arrived struct{ Call *Call }
	// Uploaded: the last byte of a OneShot body has been read off the client's connection. It came at Last or later: what
	// waits in a socket may have done so for a while.
	Uploaded struct {
		Call uint64
		Last time.Duration
	}
	// ClientGone: the client's connection ended before the answer.
	ClientGone struct{ Call uint64 }
	// Dialed: a connection was made, or not.
	Dialed struct {
		Conn uint64
		Err  error
	}
	// Flowing: the answer is larger than what is held. The delegation reads no further until the call is answered with
	// Message, or the connection is closed; Exchanged is its end.
	Flowing struct {
		Conn    uint64
		Result  Result // Good or Unusable
		Message any
	}
	// Exchanged: the one end of an Exchange.
	Exchanged struct {
		Conn    uint64
		Written Written
		Result  Result
		Message any           // the answer, whole; none after Flowing
		Report  []float64     // the load report, if any
		Reuse   bool          // the connection can carry another call
		Pause   time.Duration // the longest inside the answer; 0: it came in one piece
		Spent   bool          // a part of a OneShot body has been taken from the client
		Err     error
	}
	// Lost: an idle connection was closed by the app node.
	Lost struct{ Conn uint64 }
	// Listed: discovery wrote a list or changes to it.
	Listed struct {
		Watch uint64
		List  List
	}
	// Said, Heard and SourceBroke come from registries other than the platform's discovery: a list or changes of it, a sign of
	// life, and that one cannot be heard. They need a roster.
	Said struct {
		Source   int
		Whole    bool
		Revision int64
		Entries  []roster.Entry
	}
	Heard       struct{ Source int }
	SourceBroke struct {
		Source int
		Err    error
	}
	// Operator: what operators want has changed. It is in force once Handle returns, which Done is told.
	Operator struct {
		Changes []control.Change
		Done    func()
	}
	// Look asks for what is seen, app nodes from an id on.
	Look struct {
		From string
		To   func(View)
	}
	// WatchEnded: the watch broke or could not be opened.
	WatchEnded struct {
		Watch uint64
		Err   error
	}

	timer struct {
		pool   *pool
		cookie uint64
	}
	deadline struct{ call uint64 }
	sweep    struct{}
	rewatch  struct{}
	more     struct{}

	zoneClock  struct{}
	rosterTick struct{}
)

// Written says how far a request came.
type Written uint8

const (
	Nothing Written = iota // the connection had ended before
	Partly                 // it broke before the last byte: the request cannot run
	Whole                  // it may have run
)

// Result is what came back.
type Result uint8

const (
	Broke    Result = iota // no answer, or one that broke off or makes no sense
	Stalled                // it stopped in its middle for longer than is waited
	Good                   // an answer for the client
	Errored                // the app node says that it failed
	Shed                   // the app node says that it never ran
	Unusable               // the app node says that the call is at fault
	NoRoom                 // it is larger than what is held, and there was no memory for it to flow
	Left                   // the client's side gave it up, while the answer flowed, the body was still to come or nothing was written yet
)

// List is discovery's word in the node's terms.
type List struct {
	Revision  int64
	Complete  bool
	Members   []brain.Member
	Addresses []string // by member
}

// Effect is one of the structs below, to be carried out in order.
type Effect interface{ effect() }

type (
	// Answer is the final answer of a call.
	Answer struct {
		Call  uint64
		Reply Reply
	}
	// Dial opens a connection; Dialed follows.
	Dial struct {
		Conn    uint64
		Address string
		Timeout time.Duration
	}
	// Exchange writes a call on an idle connection and reads the answer; Exchanged follows, unless Close
	// comes first.
	Exchange struct {
		Conn      uint64
		Call      *Call
		Wait      time.Duration // until the call's deadline
		Stall     time.Duration // for the next bytes, inside an answer
		FlowStall time.Duration // the same once it flows
	}
	// Close gives a connection back.
	Close struct{ Conn uint64 }
	// Watch opens a watch on the list from a version on, in place of any earlier one.
	Watch struct {
		ID        uint64
		Discovery string
		Since     int64
	}
	// Refetch: a registry's changes do not follow on what was held of it, so that its whole list is needed.
	Refetch struct{ Source int }
	// Tell has somebody who waits for it hear something, outside this goroutine's state.
	Tell struct{ Do func() }
	// Arm returns the event after a while.
	Arm struct {
		After time.Duration
		Event Event
	}
	// Ready: the balancer can serve.
	Ready struct{}
	// Log is a line for the operator.
	Log struct{ Text string }
)

type connState uint8

const (
	dialing connState = iota
	busy
	flowing
	idle
	closed
)

type conn struct {
	id        uint64
	srv       *server
	state     connState
	doomed    bool // the app node has moved: close at the end of the dial or call
	delg      *delegation
	idleSince time.Duration

	older, newer *conn // among the idle ones of all servers
}

type server struct {
	id, address string
	told        brain.Member // by the list
	member      brain.Member // as it counts
	answered    time.Duration
	failed      time.Duration
	leftAt      time.Duration // when it was last heard to be in service no more
	takes       []uint16      // the pools that ask for it, by their places, in rising order; many servers may share these
	pools       []uint16      // those of them that use it
	seen        uint64        // the latest list that named it
	at          int           // in Reducer.ordered
	gone        bool          // off the list and out of the state: only what is still out refers to it
	idle        []*conn       // latest used last
	conns       map[uint64]*conn
}

type delegation struct {
	call    *call
	attempt int
	server  string  // as the node named it
	srv     *server // nil: there is none of that name
	conn    *conn
	sent    time.Duration
	asked   time.Duration // when it was handed to a connection; 0: it was not, or never ran
	begun   time.Duration // when its answer was committed
	shot    bool          // it may have taken a part of a OneShot body
	ours    bool          // it failed for want of our own descriptors
	over    bool
}

type call struct {
	*Call
	pool        *pool
	deadline    time.Duration // of ours
	came        time.Duration
	wait        time.Duration // of the client's, from the last byte of its body
	open        bool          // its body is on its way to an app node: no time runs
	brainID     string
	delegations []*delegation
	out         int
	done        bool        // nothing is owed any more
	flow        *delegation // the one whose answer flows to the client
	waiting     bool        // behind an open call with the same client's id
	rejected    bool        // the app node could not use it, so it is no proof of what the id stands for
	behind      []*call     // those that wait for this one
}

// Reducer is the whole state. Make it with New.
type Reducer struct {
	cfg     brain.Settings
	decide  func(pool string) brain.Decider // makes the node of a new pool
	now     time.Duration
	out     []Effect
	acts    []brain.Action
	pending []word // for the nodes, from the actions just carried out

	pools     []*pool // by their places; nil: free
	freed     []uint16
	selectors selector.Index
	byName    map[string]*pool // those that are wanted
	asked     map[int]*pool    // the same by ID, once all that is under way is in force
	targets   []*pool          // of the routes, by rising IDs
	route     func(*Call) int
	asker     *pool       // whose node asks for the list
	changed   []*pool     // that have changes to be told
	untold    []*pool     // whose regions have not heard of all
	turned    []*share    // subsets that may have moved
	found     [2][]uint16 // scratch of belongs
	latest    []uint16    // the set of places that was made last

	view       *view.View // of the other balancers; nil: the settings tell their number
	listSaid   int        // the size of our list as the others were told it
	listSaidAt time.Duration

	subsetSize int             // app nodes that a pool uses, on average; 0: all
	sharing    map[string]bool // the other balancers that the subsets know of
	moves      []string        // those who are to enter or leave
	moving     bool            // an event for the next is under way

	calls    map[uint64]*call
	byBrain  map[string]*call
	byClient map[string]*call       // the open calls, by the client's id
	used     [2]map[string]struct{} // ids of calls that are over: of late, and before that
	usedFrom time.Duration
	servers  map[string]*server
	ordered  []*server // the same, so that effects do not follow a map's order
	conns    map[uint64]*conn
	lastConn uint64
	budget   int // connections to app nodes, all told
	whole    int // the same where no other process shares it

	byAddress map[string][]*server
	zoneBits  map[string]uint64
	ready     int // servers
	zoned     bool

	roster          *roster.Roster // nil: discovery's word is the list
	discoverySource int
	wants           []bool        // by source: it has been asked for its whole list
	rosterAt        time.Duration // when the roster's next moment is armed for; 0: none is

	counts  Counts
	tallies map[string]*ended // by the names of classes

	avoided, avoiding, avoidAt int // servers: by the last walk; by the one under way, and where it is
	applied, rejected          uint64

	places  []place // of classes
	retuned bool    // the settings are no more those of the start

	retuning   bool   // pools are being told of settings
	retuneAt   int    // the place of the next
	retuneThen Effect // what follows

	away     bool // clients are sent away
	awayFrom time.Duration
	turn     uint64          // how often that has changed
	wishes   map[string]wish // by app node
	caps     map[string]int  // by pool
	epoch    uint64
	feeds    []*feed // the first is being worked through
	touched  []*server
	oldest   *conn // of the idle ones, which lead on to newer
	newest   *conn

	discovery         string
	revision          int64
	watch             uint64 // the latest; what is heard of an earlier one is passed over
	watching          bool
	sweeping, readied bool
	sayFullAt         time.Duration
	stalls            []*patience.Estimator // by class
	stallFixed        time.Duration         // 0: they learn
	broken            int                   // answers that broke off in their middle, not yet said
	sayBrokenAt       time.Duration
}

// New makes the state of a balancer that may hold budget connections to app nodes.
func New(cfg brain.Settings, seed uint64, budget int) (*Reducer, error) {
	return NewLaid(cfg, seed, budget, onePool())
}

// NewLaid makes the state of a balancer with pools. Each has a node of its own, with the same settings and a seed that
// follows from its name; only the first asks for the list, which is the same for all.
func NewLaid(cfg brain.Settings, seed uint64, budget int, l Layout) (*Reducer, error) {
	if _, err := brain.New(cfg, seed); err != nil {
		return nil, err
	}
	first := true
	return NewPools(cfg, budget, l, func(pool string) brain.Decider {
		own, s := cfg, seed
		if !first {
			own.AskDiscovery = false
			s ^= xxhash.Sum64String(pool)
		}
		first = false
		node, err := brain.New(own, s)
		if err != nil {
			panic(err) // the same settings were good a moment ago
		}
		return node
	})
}

// NewWith makes the state around a decider that is not the module.
func NewWith(cfg brain.Settings, node brain.Decider, budget int) *Reducer {
	r, err := NewPools(cfg, budget, onePool(), func(string) brain.Decider { return node })
	if err != nil {
		panic(err) // one pool is a layout
	}
	return r
}

// NewPools makes the state of pools around deciders that decide makes, one for each pool.
func NewPools(cfg brain.Settings, budget int, l Layout, decide func(string) brain.Decider) (*Reducer, error) {
	r := &Reducer{cfg: cfg, decide: decide, budget: budget, whole: budget, calls: map[uint64]*call{}, byBrain: map[string]*call{},
		byClient: map[string]*call{}, used: [2]map[string]struct{}{{}, {}},
		servers: map[string]*server{}, conns: map[uint64]*conn{}, byAddress: map[string][]*server{}, zoneBits: map[string]uint64{},
		byName: map[string]*pool{}, asked: map[int]*pool{}, wishes: map[string]wish{}, caps: map[string]int{}, tallies: map[string]*ended{}}
	if err := r.lay(l); err != nil {
		return nil, err
	}
	for i := range cfg.Classes {
		r.stalls = append(r.stalls, r.stallOf(&cfg.Classes[i]))
	}
	r.places = make([]place, len(cfg.Classes))
	return r, nil
}

// FixStall sets how long an answer that stops in its middle is waited for, in place of what would be learned. It
// belongs before the first event.
func (r *Reducer) FixStall(wait time.Duration) {
	r.stallFixed = wait
	for i := range r.stalls {
		r.stalls[i] = r.stallOf(&r.cfg.Classes[i])
	}
}

// Open is the number of calls that are owed an answer or have a delegation out.
func (r *Reducer) Open() int { return len(r.calls) }

// Handle takes one event at a moment of the node's clock and appends the effects.
func (r *Reducer) Handle(now time.Duration, ev Event, effects []Effect) []Effect {
	r.now, r.out = now, effects
	r.awake()
	switch e := ev.(type) {
	case Word:
		r.onWord(&e)
	case Started:
		r.discovery = e.Discovery
		if r.zoned {
			r.emit(Arm{zoneTick, zoneClock{}})
		}
		if r.roster != nil && len(e.Known.Members) > 0 { // the word of discovery, or of the source that is trusted most
			r.said(max(0, r.discoverySource), true, e.Known.Revision, entries(&e.Known), brain.UpdateRestored)
		} else {
			r.onList(e.Known, brain.UpdateRestored)
		}
		if !r.cfg.AskDiscovery {
			r.openWatch()
		}
		if e.Figures {
			r.onPublish()
		}
	case TurnedDown:
		r.rejected++
	case Reloaded:
		r.applied++
		if e.Settings != nil {
			r.onRetuned(*e.Settings, e.Tag)
		}
		// Discovery has moved: the new one is asked at once, without the node's pause, since what it has to
		// tell counts as told soon. The list in hand stays until the new one has spoken. Versions are each
		// discovery's own, so the whole list is asked for.
		if e.Discovery != r.discovery {
			r.discovery, r.revision = e.Discovery, 0
			r.openWatch()
		}
		if e.Layout != nil {
			if err := r.lay(*e.Layout); err != nil {
				r.emit(Log{"pools: " + err.Error() + "; the old ones stay"})
			} else {
				r.enqueue(&feed{deal: true})
			}
		}
	case Adjusted:
		r.onAdjusted(&e)
	case Arrived:
		r.onArrived(e.Call)
	case ClientGone:
		if c := r.calls[e.Call]; c != nil && !c.done {
			r.onClientGone(c)
		}
	case Uploaded:
		if c := r.calls[e.Call]; c != nil {
			r.onUploaded(c, e.Last)
		}
	case Dialed:
		r.onDialed(e)
	case Flowing:
		r.onFlowing(e)
	case Exchanged:
		r.onExchanged(e)
	case Lost:
		if c := r.conns[e.Conn]; c != nil && c.state == idle {
			r.close(c) // a busy one ends with its Exchanged
		}
	case Listed:
		if e.Watch == r.watch {
			switch {
			case r.roster != nil && r.discoverySource >= 0:
				r.revision = max(r.revision, e.List.Revision)
				if e.List.Complete {
					r.revision = e.List.Revision
				}
				r.said(r.discoverySource, e.List.Complete, e.List.Revision, entries(&e.List), brain.UpdateChanges)
			case r.roster != nil:
			case e.List.Complete:
				r.onList(e.List, brain.UpdateFull)
			default:
				r.onList(e.List, brain.UpdateChanges)
			}
		}
	case WatchEnded:
		if e.Watch != r.watch {
			break
		}
		r.watching = false
		r.emit(Log{"registry: watch ended: " + e.Err.Error()})
		r.onSourceBroke(r.discoverySource, e.Err)
		if r.cfg.AskDiscovery {
			r.tell(r.asker, &brain.FleetUpdate{Kind: brain.UpdateAskFailed})
		} else {
			r.emit(Arm{r.watchPause(), rewatch{}})
		}
	case timer:
		r.tell(e.pool, &brain.TimerFired{Cookie: e.cookie})
	case deadline:
		r.onDeadline(e.call)
	case sweep:
		r.onSweep()
	case rewatch:
		if !r.watching {
			r.openWatch()
		}
	case regroup:
		r.onRegroup()
	case more:
		if len(r.feeds) > 0 {
			r.feedOn()
		}
	case retuneRest:
		r.onRetuneRest()
	case zoneClock:
		r.onZoneTick()
	case Operator:
		r.onOperator(e.Changes)
		if e.Done != nil {
			r.emit(Tell{e.Done})
		}
	case Look:
		v := r.look(e.From)
		r.emit(Tell{func() { e.To(v) }})
	case Said:
		if r.roster != nil {
			r.said(e.Source, e.Whole, e.Revision, e.Entries, brain.UpdateChanges)
		}
	case Heard:
		if r.roster != nil {
			r.roster.Heard(r.now, e.Source)
			r.rosterNext()
		}
	case SourceBroke:
		r.onSourceBroke(e.Source, e.Err)
	case rosterTick:
		r.onRosterTick()
	case Drain:
		r.onTurn(true, e.Done)
	case Activate:
		r.onTurn(false, e.Done)
	case Beside:
		r.onBeside(e.Others)
	case part:
		r.onPart(e.turn)
	case publish:
		r.onPublish()
	}
	effects, r.out = r.out, nil
	return effects
}

func (r *Reducer) emit(e Effect) { r.out = append(r.out, e) }

// word is an event for the node of a pool.
type word struct {
	pool *pool
	ev   brain.Event
}

// tell hands the node of a pool an event, carries out what it asks for, and goes on with what that brings about.
func (r *Reducer) tell(p *pool, ev brain.Event) {
	r.pending = append(r.pending, word{p, ev})
	if len(r.pending) > 1 {
		return // the loop below, further up the stack, takes it in turn
	}
	for i := 0; i < len(r.pending); i++ {
		w := r.pending[i]
		acts := w.pool.node.Handle(r.now, w.ev, r.acts[:0])
		r.acts = acts
		for j := range acts {
			r.act(w.pool, &acts[j])
		}
	}
	clear(r.pending)
	r.pending = r.pending[:0]
}

func (r *Reducer) act(p *pool, a *brain.Action) {
	switch a.Kind {
	case brain.Send:
		r.send(r.byBrain[a.ID], a)
	case brain.Cancel:
		if c := r.byBrain[a.ID]; c != nil && a.Attempt < len(c.delegations) {
			if d := c.delegations[a.Attempt]; !d.over && d != c.flow {
				r.abandon(d)
				r.end(d, brain.Cancelled, nil)
			}
		}
	case brain.Refuse:
		r.answer(r.byBrain[a.ID], Reply{Kind: Refused, After: a.After})
	case brain.Fail:
		r.answer(r.byBrain[a.ID], Reply{Kind: Failed})
	case brain.SetTimer:
		r.emit(Arm{a.After, timer{p, a.Cookie}})
	case brain.CloseIdle:
		if s := r.servers[a.Server]; s != nil {
			for len(s.idle) > 0 {
				r.close(s.idle[0])
			}
		}
	case brain.Subscribe:
		if !r.watching { // a reload may have come first
			r.openWatch()
		}
	case brain.Note:
		r.emit(Log{"node: " + a.Text})
	case brain.Probe: // no platform of ours permits it; the settings keep the node from asking
		r.tell(p, &brain.ProbeEnded{Server: a.Server, Outcome: brain.NeverSent})
	}
}

func (Started) event()     {}
func (Reloaded) event()    {}
func (TurnedDown) event()  {}
func (Arrived) event()     {}
func (Uploaded) event()    {}
func (ClientGone) event()  {}
func (Dialed) event()      {}
func (Flowing) event()     {}
func (Exchanged) event()   {}
func (Lost) event()        {}
func (Listed) event()      {}
func (WatchEnded) event()  {}
func (timer) event()       {}
func (deadline) event()    {}
func (sweep) event()       {}
func (rewatch) event()     {}
func (more) event()        {}
func (zoneClock) event()   {}
func (Operator) event()    {}
func (Look) event()        {}
func (Said) event()        {}
func (Heard) event()       {}
func (SourceBroke) event() {}
func (rosterTick) event()  {}

func (Answer) effect()   {}
func (Dial) effect()     {}
func (Exchange) effect() {}
func (Close) effect()    {}
func (Watch) effect()    {}
func (Tell) effect()     {}
func (Refetch) effect()  {}
func (Arm) effect()      {}
func (Ready) effect()    {}
func (Log) effect()      {}
