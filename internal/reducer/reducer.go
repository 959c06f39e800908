// Package reducer holds the complete state of a balancer: the deciders that choose app nodes, the calls with their
// attempts, and the connections to app nodes. All changes go through Handle, which takes one event and returns the
// effects to carry out. A single goroutine drives it. The package must not use sockets, clocks or locks, and must never
// block.
//
// A connection is dialing, busy, flowing, idle or closed. It is opened only by a Dial effect and released only by a
// Close effect; after Close its ID is invalid and late events for it are ignored. A call gets exactly one Answer effect,
// the first. Call IDs are never reused.
//
// An attempt whose answer is larger than the buffer asks to be committed (Flowing). The first attempt to ask is
// committed: its answer is streamed to the client, the other attempts are cancelled, and no further attempt is made for
// that call. Until the flow ends the call stays open and counts as in flight at its app node.
//
// The package does not know the wire format: calls and answers pass through as opaque Message values.
//
// Each of calls.go, delegations.go (attempts), connections.go, servers.go, pools.go and peers.go holds one kind of
// state. The work per event does not grow with the number of app nodes, pools or open calls: a list is processed in
// slices, one event per slice, and notifies only the pools that it affects.
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

const (
	// answerMargin is how long before the client's deadline a call is answered at the latest. The client's clock started
	// when it sent the call, before we read it, and the answer still has to travel back.
	answerMargin = 12 * time.Millisecond
	// idleMargin is how long before the app node's idle timeout we stop using a connection. The app node counts from its
	// last write, and a request in transit when it closes would end in a reset.
	idleMargin = 500 * time.Millisecond
	// reuseDelay is how long a connection is left unused after an answer if another one is available. An app node may
	// close the connection right after the answer; a call written before the close is noticed ends in a reset and may
	// have run.
	reuseDelay = 10 * time.Millisecond
	// idleSweepInterval is how often expired idle connections are closed.
	idleSweepInterval = time.Second
	// maxWatchPause is the longest delay before a broken watch is reopened where the decider does not ask for the list
	// itself. Everything the discovery agent knows counts as announced meanwhile, so the delay uses up part of the grace
	// period for drains: it is 1/watchPauseDivisor of it, but at least minWatchPause.
	maxWatchPause, watchPauseDivisor, minWatchPause = time.Second, 8, 20 * time.Millisecond
	// clientIDRetention is how long the client ID of a finished call is remembered at least, and maxClientIDs bounds the
	// number of IDs per generation, which shortens the time at high call rates. An ID seen again within that time is a
	// duplicate.
	clientIDRetention = 3 * time.Second
	maxClientIDs      = 20000
	// An answer that stalls in the middle is first given half of the class's latency target (Aim), later a learned time:
	// at least a tenth of the target, to tolerate a brief pause of the machine, and at most half of the deadline. A flow
	// can no longer be retried on another app node, so its timeout is 4 times as long and at least minFlowStall, so as
	// not to cut off an answer that is still arriving.
	initialStallShare, minStallShare, maxStallShare = 0.5, 0.1, 0.5
	flowStallFactor                                 = 4
	minFlowStall                                    = 10 * time.Second
	// keyWindowMargin is how long before the end of a key's window the last attempt may be sent: the app node counts
	// from the arrival of the first attempt. The decider keeps a larger margin, so this applies only where dialing took
	// long.
	keyWindowMargin = 20 * time.Millisecond
	// brokenLogInterval is the minimum time between log lines about answers that broke off midway.
	brokenLogInterval = time.Second
)

// Call is a client's request as read by the acceptor.
type Call struct {
	ID           uint64
	ClientID     string // as sent by the client; another client may have copied it
	Class        int
	Tenant       int     // stable number of the tenant, or -1
	Quota        float64 // the tenant's limit in requests per second over all balancers; 0: unlimited
	Retry        bool
	Key          string
	Work         float64
	Deadline     time.Duration // when the client gives up, on the reducer's clock
	StreamedBody bool          // body streamed from the client, so sent only once; the deadline counts from Uploaded
	Message      any           // opaque; for the code that writes the call
}

// ReplyKind is the kind of a final answer.
type ReplyKind uint8

const (
	Served   ReplyKind = iota // Message is an app node's answer
	Rejected                  // Message is an app node's answer that blames the call
	Refused                   // retrying is harmless, preferably after After
	Failed                    // the call may have run
	Conflict                  // the client ID is in use; not a refusal, since the call with that ID may have run
)

// Reply is the final answer of a call.
type Reply struct {
	Kind       ReplyKind
	RetryAfter time.Duration // 0: no hint
	Message    any
}

// Event is implemented by the event structs below.
type Event interface{ event() }

type (
	// Started is the first event, with the list as last saved and the address of discovery.
	Started struct {
		Known     List
		Discovery string
		Figures   bool // publish figures regularly
	}
	// Reloaded reports that a new configuration is in force. A nil Layout or Settings keeps the current one.
	Reloaded struct {
		Discovery string
		Layout    *Layout
		Settings  *brain.Settings
		Tag       any // returned in SettingsChanged
	}
	// ReloadRejected reports that a new configuration was rejected.
	ReloadRejected struct{}
	// Arrived reports a call that has been read completely.
	Arrived struct{ Call *Call }
	// Uploaded reports that the last byte of a streamed body was read from the client's connection. The byte arrived at
	// Last or later: data may have waited in the socket.
	Uploaded struct {
		Call uint64
		Last time.Duration
	}
	// ClientGone reports that the client's connection ended before the answer.
	ClientGone struct{ Call uint64 }
	// Dialed is the result of a Dial.
	Dialed struct {
		Conn uint64
		Err  error
	}
	// Flowing reports an answer larger than the buffer. The attempt reads no further until the call is answered with
	// Message or the connection is closed. Exchanged follows at the end.
	Flowing struct {
		Conn    uint64
		Result  Result // ResultGood or ResultInvalidCall
		Message any
	}
	// Exchanged is the single result of an Exchange.
	Exchanged struct {
		Conn         uint64
		Written      WriteProgress
		Result       Result
		Message      any           // the complete answer; nil after Flowing
		Report       []float64     // the load report, if any
		Reusable     bool          // the connection can carry another call
		LongestPause time.Duration // the longest pause within the answer; 0: it came in one piece
		BodyUsed     bool          // a part of a streamed body has been read from the client
		Err          error
	}
	// Lost reports that the app node closed an idle connection.
	Lost struct{ Conn uint64 }
	// Listed carries a list, or changes to it, from discovery.
	Listed struct {
		Watch uint64
		List  List
	}
	// SourceList, SourceAlive and SourceFailed come from registries other than the platform's discovery: a list or changes
	// to it, a sign of life, and a failure to reach the registry. They need a roster.
	SourceList struct {
		Source   int
		Complete bool
		Revision int64
		Entries  []roster.Entry
	}
	SourceAlive  struct{ Source int }
	SourceFailed struct {
		Source int
		Err    error
	}
	// OverridesChanged carries changed operator overrides. They are in force when Handle returns; Done is then called.
	OverridesChanged struct {
		Changes []control.Change
		Done    func()
	}
	// Inspect asks for a Snapshot, with the app nodes whose IDs sort after From.
	Inspect struct {
		From string
		Done func(Snapshot)
	}
	// WatchEnded reports that the watch broke or could not be opened.
	WatchEnded struct {
		Watch uint64
		Err   error
	}

	deciderTimer struct {
		pool   *pool
		cookie uint64
	}
	callDeadline     struct{ call uint64 }
	idleSweepTimer   struct{}
	reopenWatchTimer struct{}
	nextSlice        struct{}

	zoneTimer   struct{}
	rosterTimer struct{}
)

// WriteProgress says how much of a request was written.
type WriteProgress uint8

const (
	WroteNothing WriteProgress = iota // the connection had ended before
	WrotePart                         // it broke before the last byte: the request cannot run
	WroteAll                          // it may have run
)

// Result is the outcome of an Exchange.
type Result uint8

const (
	ResultBroken      Result = iota // no answer, or an incomplete or invalid one
	ResultStalled                   // it stalled for longer than the stall timeout
	ResultGood                      // an answer for the client
	ResultAppError                  // the app node reports that it failed
	ResultShed                      // the app node reports that it did not run the call
	ResultInvalidCall               // the app node reports that the call is invalid
	ResultNoMemory                  // the answer is larger than the buffer, and there was no memory to stream it
	ResultClientLeft                // the client left during the flow, during the upload, or before anything was written
)

// List is a list of app nodes from discovery, in the decider's terms.
type List struct {
	Revision  int64
	Complete  bool
	Members   []brain.Member
	Addresses []string // by index in Members
}

// Effect is implemented by the effect structs below, which are to be carried out in order.
type Effect interface{ effect() }

type (
	// Answer gives a call its final answer.
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
	// Exchange writes a call on an idle connection and reads the answer; Exchanged follows, unless Close comes first.
	Exchange struct {
		Conn            uint64
		Call            *Call
		TimeLeft        time.Duration // until the call's deadline
		ReadTimeout     time.Duration // the longest pause within an answer before it counts as stalled
		FlowReadTimeout time.Duration // the same once the answer flows
	}
	// Close closes and releases a connection.
	Close struct{ Conn uint64 }
	// Watch opens a watch on the list from a revision on and replaces any earlier watch.
	Watch struct {
		ID        uint64
		Discovery string
		Since     int64
	}
	// Refetch asks a source for its complete list, because its changes do not follow on the revision held.
	Refetch struct{ Source int }
	// RunCallback calls a callback outside the reducer's state.
	RunCallback struct{ Do func() }
	// StartTimer delivers Event after a delay.
	StartTimer struct {
		After time.Duration
		Event Event
	}
	// Ready reports that the balancer can serve.
	Ready struct{}
	// Log is a log line for the operator.
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
	id            uint64
	srv           *server
	state         connState
	closeWhenDone bool // the app node has moved: close at the end of the dial or call
	attempt       *attempt
	idleSince     time.Duration

	older, newer *conn // neighbours in the list of the idle connections of all servers
}

type server struct {
	id, address   string
	listed        brain.Member // as listed by discovery
	member        brain.Member // with operator overrides applied
	lastAnswer    time.Duration
	lastFailure   time.Duration
	notReadySince time.Duration // when it last stopped being ready
	matchingPools []uint16      // indexes of the pools whose selectors match, ascending; servers may share the slice
	usingPools    []uint16      // those of matchingPools whose subset contains it
	listEpoch     uint64        // epoch of the latest list that named it
	position      int           // index in Reducer.serverList
	removed       bool          // no longer in the state; only running attempts and open connections refer to it
	idle          []*conn       // most recently used last
	conns         map[uint64]*conn
}

type attempt struct {
	call             *call
	index            int
	server           string  // as named by the decider
	srv              *server // nil: there is no server of that name
	conn             *conn
	startedAt        time.Duration
	mayHaveRunSince  time.Duration // when it was handed to a connection; 0: it never was, or never ran
	committedAt      time.Duration // when its answer began to flow to the client
	bodyUsed         bool          // it may have consumed part of a streamed body
	outOfDescriptors bool          // it failed because the connection budget was used up
	ended            bool
}

type call struct {
	*Call
	pool        *pool
	deadline    time.Duration // answerMargin before the client's
	arrivedAt   time.Duration
	timeout     time.Duration // the client's time limit, which for an upload counts from the last byte
	uploading   bool          // its body is being sent to an app node: the deadline does not run
	deciderID   string
	attempts    []*attempt
	outstanding int
	done        bool     // nothing is owed any more: the answer was given, and its flow has ended, or the client left
	committed   *attempt // the attempt whose answer flows to the client
	waiting     bool     // queued behind an open call with the same client ID
	rejected    bool     // the app node rejected it, so it does not prove that the client ID is taken
	duplicates  []*call  // later calls with the same client ID, which wait for this one
}

// Reducer is the complete state of a balancer. Create it with New.
type Reducer struct {
	cfg           brain.Settings
	newDecider    func(pool string) brain.Decider // creates the decider of a new pool
	now           time.Duration
	effects       []Effect
	actions       []brain.Action
	deciderEvents []deciderEvent // queue of events for the deciders

	pools          []*pool // by index; nil: free
	freeIndexes    []uint16
	selectors      selector.Index
	poolsByName    map[string]*pool // the wanted pools
	poolsByID      map[int]*pool    // the wanted pools by ID, including those of adjustments that are not in force yet
	routedPools    []*pool          // the pools in force, by ascending ID
	route          func(*Call) int
	discoveryPool  *pool         // the pool whose decider asks discovery for the list
	changedPools   []*pool       // pools with changes to send to their deciders
	staleZonePools []*pool       // pools whose zoneView lacks changes of the current list
	changedSubsets []*poolSubset // subsets that may have changed
	matchBuffers   [2][]uint16   // scratch space of matchPools
	lastIndexSet   []uint16      // the index set created last, for sharing

	peerView          *view.View // of the other balancers; nil: the settings give their number
	announcedListSize int        // our list's size as last announced to the others
	announcedAt       time.Duration

	subsetSize      int             // average number of app nodes per pool; 0: all
	subsetPeers     map[string]bool // addresses of the other balancers that the subsets take into account
	pendingPeers    []string        // addresses still to be added to or removed from subsetPeers
	peerChangeArmed bool            // a nextPeerChange event is scheduled

	calls                map[uint64]*call
	callsByDeciderID     map[string]*call
	callsByClientID      map[string]*call       // open calls by client ID
	recentClientIDs      [2]map[string]struct{} // client IDs of finished calls: the recent generation and the one before
	recentClientIDsSince time.Duration
	servers              map[string]*server
	serverList           []*server // the values of servers, in an order that makes the effects deterministic
	conns                map[uint64]*conn
	lastConnID           uint64
	connBudget           int // maximum number of connections to app nodes
	fullConnBudget       int // connBudget while no other process shares the machine

	serversByAddress map[string][]*server
	zoneBits         map[string]uint64
	readyServers     int // app nodes in state Ready
	hasZones         bool

	roster          *roster.Roster // nil: the list comes from discovery alone
	discoverySource int
	refetching      []bool        // by source: its complete list has been requested
	rosterTimerAt   time.Duration // when the next rosterTimer fires; 0: not armed

	counts      Counts
	classCounts map[string]*classCount // by class name

	avoidedServers, avoidedSoFar, avoidedScanPos int // last complete scan; current scan; its position in serverList
	reloadsApplied, reloadsRejected              uint64

	classSlots      []classSlot // by class index
	settingsChanged bool        // the settings differ from those of the start

	retuning    bool   // a nextRetuneSlice event is scheduled
	nextRetuned int    // index of the next pool to notify
	afterRetune Effect // emitted after the last pool

	clientsDraining      bool // clients are being sent away
	clientsDrainingSince time.Duration
	drainEpoch           uint64                  // incremented each time clientsDraining changes
	nodeOverrides        map[string]nodeOverride // by app node
	poolCaps             map[string]int          // by pool name
	lastListEpoch        uint64
	jobs                 []*fleetJob // the first is being processed
	movedServers         []*server
	oldestIdle           *conn // the least recently used idle connection; conn.newer leads on
	newestIdle           *conn

	discoveryAddress          string
	listRevision              int64
	watchID                   uint64 // the latest watch; events of earlier ones are ignored
	watchOpen                 bool
	idleSweepArmed, readySent bool
	nextBudgetLog             time.Duration
	stallEstimators           []*patience.Estimator // by class index
	fixedStall                time.Duration         // 0: learned per class
	brokenAnswers             int                   // answers that broke off midway, not logged yet
	nextBrokenLog             time.Duration
}

// New creates the state of a balancer with one pool and at most budget connections to app nodes.
func New(cfg brain.Settings, seed uint64, budget int) (*Reducer, error) {
	return NewWithLayout(cfg, seed, budget, defaultLayout())
}

// NewWithLayout creates the state of a balancer with the pools of a layout. Each pool has its own decider with the same
// settings and a seed derived from the pool's name. Only the first asks for the list, which is the same for all.
func NewWithLayout(cfg brain.Settings, seed uint64, budget int, l Layout) (*Reducer, error) {
	if _, err := brain.New(cfg, seed); err != nil {
		return nil, err
	}
	first := true
	return NewWithDeciders(cfg, budget, l, func(pool string) brain.Decider {
		poolCfg, s := cfg, seed
		if !first {
			poolCfg.AskDiscovery = false
			s ^= xxhash.Sum64String(pool)
		}
		first = false
		decider, err := brain.New(poolCfg, s)
		if err != nil {
			panic(err) // brain.New accepted the same settings above
		}
		return decider
	})
}

// NewWithDecider creates the state of a balancer with one pool and the given decider.
func NewWithDecider(cfg brain.Settings, decider brain.Decider, budget int) *Reducer {
	r, err := NewWithDeciders(cfg, budget, defaultLayout(), func(string) brain.Decider { return decider })
	if err != nil {
		panic(err) // a layout with one pool is always valid
	}
	return r
}

// NewWithDeciders creates the state of a balancer with the pools of a layout. newDecider creates the decider of each
// pool.
func NewWithDeciders(cfg brain.Settings, budget int, l Layout, newDecider func(string) brain.Decider) (*Reducer, error) {
	r := &Reducer{cfg: cfg, newDecider: newDecider, connBudget: budget, fullConnBudget: budget,
		calls: map[uint64]*call{}, callsByDeciderID: map[string]*call{}, callsByClientID: map[string]*call{}, recentClientIDs: [2]map[string]struct{}{{}, {}},
		servers: map[string]*server{}, conns: map[uint64]*conn{}, serversByAddress: map[string][]*server{}, zoneBits: map[string]uint64{},
		poolsByName: map[string]*pool{}, poolsByID: map[int]*pool{}, nodeOverrides: map[string]nodeOverride{},
		poolCaps: map[string]int{}, classCounts: map[string]*classCount{}}
	if err := r.applyLayout(l); err != nil {
		return nil, err
	}
	for i := range cfg.Classes {
		r.stallEstimators = append(r.stallEstimators, r.newStallEstimator(&cfg.Classes[i]))
	}
	r.classSlots = make([]classSlot, len(cfg.Classes))
	return r, nil
}

// SetFixedStallTimeout sets a fixed stall timeout for answers in place of the learned ones. It must be called before
// the first event.
func (r *Reducer) SetFixedStallTimeout(wait time.Duration) {
	r.fixedStall = wait
	for i := range r.stallEstimators {
		r.stallEstimators[i] = r.newStallEstimator(&r.cfg.Classes[i])
	}
}

// OpenCalls returns the number of calls that still wait for an answer or have attempts that have not ended.
func (r *Reducer) OpenCalls() int { return len(r.calls) }

// Handle processes one event at time now on the reducer's clock and appends the effects to carry out.
func (r *Reducer) Handle(now time.Duration, ev Event, effects []Effect) []Effect {
	r.now, r.effects = now, effects
	r.detectPause()
	switch e := ev.(type) {
	case PeerEvent:
		r.onPeerEvent(&e)
	case Started:
		r.discoveryAddress = e.Discovery
		if r.hasZones {
			r.emit(StartTimer{zoneTickInterval, zoneTimer{}})
		}
		// The saved list counts as that of discovery or, without discovery, of the first source.
		if r.roster != nil && len(e.Known.Members) > 0 {
			r.enqueueSourceList(max(0, r.discoverySource), true, e.Known.Revision, rosterEntries(&e.Known), brain.UpdateRestored)
		} else {
			r.onList(e.Known, brain.UpdateRestored)
		}
		if !r.cfg.AskDiscovery {
			r.openWatch()
		}
		if e.Figures {
			r.onPublish()
		}
	case ReloadRejected:
		r.reloadsRejected++
	case Reloaded:
		r.reloadsApplied++
		if e.Settings != nil {
			r.onRetuned(*e.Settings, e.Tag)
		}
		// A changed discovery address is watched at once, without the decider's usual delay, because what the new
		// discovery knows soon counts as announced. The current list is kept until the new one has arrived. Revisions
		// are specific to each discovery, so the complete list is requested.
		if e.Discovery != r.discoveryAddress {
			r.discoveryAddress, r.listRevision = e.Discovery, 0
			r.openWatch()
		}
		if e.Layout != nil {
			if err := r.applyLayout(*e.Layout); err != nil {
				r.emit(Log{"pools: " + err.Error() + "; keeping the current pools"})
			} else {
				r.enqueue(&fleetJob{reassign: true})
			}
		}
	case PoolsChanged:
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
		if cn := r.conns[e.Conn]; cn != nil && cn.state == idle {
			r.close(cn) // a busy connection ends with its Exchanged event
		}
	case Listed:
		if e.Watch == r.watchID {
			switch {
			case r.roster != nil && r.discoverySource >= 0:
				r.listRevision = max(r.listRevision, e.List.Revision)
				if e.List.Complete {
					r.listRevision = e.List.Revision
				}
				r.enqueueSourceList(r.discoverySource, e.List.Complete, e.List.Revision, rosterEntries(&e.List), brain.UpdateChanges)
			case r.roster != nil:
			case e.List.Complete:
				r.onList(e.List, brain.UpdateFull)
			default:
				r.onList(e.List, brain.UpdateChanges)
			}
		}
	case WatchEnded:
		if e.Watch != r.watchID {
			break
		}
		r.watchOpen = false
		r.emit(Log{"registry: watch ended: " + e.Err.Error()})
		r.onSourceBroke(r.discoverySource, e.Err)
		if r.cfg.AskDiscovery {
			r.notify(r.discoveryPool, &brain.FleetUpdate{Kind: brain.UpdateAskFailed})
		} else {
			r.emit(StartTimer{r.watchPause(), reopenWatchTimer{}})
		}
	case deciderTimer:
		r.notify(e.pool, &brain.TimerFired{Cookie: e.cookie})
	case callDeadline:
		r.onDeadline(e.call)
	case idleSweepTimer:
		r.onSweep()
	case reopenWatchTimer:
		if !r.watchOpen {
			r.openWatch()
		}
	case nextPeerChange:
		r.onNextPeerChange()
	case nextSlice:
		if len(r.jobs) > 0 {
			r.runJobSlice()
		}
	case nextRetuneSlice:
		r.retuneNextSlice()
	case zoneTimer:
		r.onZoneTick()
	case OverridesChanged:
		r.onOperator(e.Changes)
		if e.Done != nil {
			r.emit(RunCallback{e.Done})
		}
	case Inspect:
		v := r.buildView(e.From)
		r.emit(RunCallback{func() { e.Done(v) }})
	case SourceList:
		if r.roster != nil {
			r.enqueueSourceList(e.Source, e.Complete, e.Revision, e.Entries, brain.UpdateChanges)
		}
	case SourceAlive:
		if r.roster != nil {
			r.roster.RecordContact(r.now, e.Source)
			r.pollRoster()
		}
	case SourceFailed:
		r.onSourceBroke(e.Source, e.Err)
	case rosterTimer:
		r.onRosterTick()
	case Drain:
		r.setDraining(true, e.Done)
	case Activate:
		r.setDraining(false, e.Done)
	case ProcessesChanged:
		r.onProcessesChanged(e.Others)
	case closeClientsTimer:
		r.onCloseClients(e.epoch)
	case publishTimer:
		r.onPublish()
	}
	effects, r.effects = r.effects, nil
	return effects
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// deciderEvent is an event for the decider of a pool.
type deciderEvent struct {
	pool *pool
	ev   brain.Event
}

// notify sends an event to the decider of a pool and executes the resulting actions, including those of events that
// these actions trigger in turn.
func (r *Reducer) notify(p *pool, ev brain.Event) {
	r.deciderEvents = append(r.deciderEvents, deciderEvent{p, ev})
	if len(r.deciderEvents) > 1 {
		return // the loop of the outer call of notify handles it
	}
	for i := 0; i < len(r.deciderEvents); i++ {
		next := r.deciderEvents[i]
		actions := next.pool.decider.Handle(r.now, next.ev, r.actions[:0])
		r.actions = actions
		for j := range actions {
			r.execute(next.pool, &actions[j])
		}
	}
	clear(r.deciderEvents)
	r.deciderEvents = r.deciderEvents[:0]
}

func (r *Reducer) execute(p *pool, a *brain.Action) {
	switch a.Kind {
	case brain.Send:
		r.startAttempt(r.callsByDeciderID[a.ID], a)
	case brain.Cancel:
		if c := r.callsByDeciderID[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			if att := c.attempts[a.Attempt]; !att.ended && att != c.committed {
				r.abandon(att)
				r.endAttempt(att, brain.Cancelled, nil)
			}
		}
	case brain.Refuse:
		r.answer(r.callsByDeciderID[a.ID], Reply{Kind: Refused, RetryAfter: a.After})
	case brain.Fail:
		r.answer(r.callsByDeciderID[a.ID], Reply{Kind: Failed})
	case brain.SetTimer:
		r.emit(StartTimer{a.After, deciderTimer{p, a.Cookie}})
	case brain.CloseIdle:
		if s := r.servers[a.Server]; s != nil {
			for len(s.idle) > 0 {
				r.close(s.idle[0])
			}
		}
	case brain.Subscribe:
		if !r.watchOpen { // a Reloaded event may have opened it already
			r.openWatch()
		}
	case brain.Note:
		r.emit(Log{"node: " + a.Text})
	case brain.Probe: // never allowed by our platforms; the settings keep the decider from probing
		r.notify(p, &brain.ProbeEnded{Server: a.Server, Outcome: brain.NeverSent})
	}
}

func (Started) event()          {}
func (Reloaded) event()         {}
func (ReloadRejected) event()   {}
func (Arrived) event()          {}
func (Uploaded) event()         {}
func (ClientGone) event()       {}
func (Dialed) event()           {}
func (Flowing) event()          {}
func (Exchanged) event()        {}
func (Lost) event()             {}
func (Listed) event()           {}
func (WatchEnded) event()       {}
func (deciderTimer) event()     {}
func (callDeadline) event()     {}
func (idleSweepTimer) event()   {}
func (reopenWatchTimer) event() {}
func (nextSlice) event()        {}
func (zoneTimer) event()        {}
func (OverridesChanged) event() {}
func (Inspect) event()          {}
func (SourceList) event()       {}
func (SourceAlive) event()      {}
func (SourceFailed) event()     {}
func (rosterTimer) event()      {}

func (Answer) effect()      {}
func (Dial) effect()        {}
func (Exchange) effect()    {}
func (Close) effect()       {}
func (Watch) effect()       {}
func (RunCallback) effect() {}
func (Refetch) effect()     {}
func (StartTimer) effect()  {}
func (Ready) effect()       {}
func (Log) effect()         {}
