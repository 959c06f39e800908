// Package brain makes the load-balancing decisions of one proxy node.
//
// This file declares the interface: the configuration of a node (Settings), its inputs (Event) and its
// outputs (Action). A Decider is driven by one goroutine; it starts none, reads no wall clock and does no
// I/O, so the same events always produce the same actions.
//
// The decision logic, in reading order: settings (tuning constants); node (event dispatch and timers); discovery
// (the server list); sample (the subset of servers that a node uses); ranking (load scores); picking (uniform
// among the K lowest scores, K set by the burst detector; key affinity; eligibility of servers); attempts
// (sending, retries, final answers); overdue (second copies); health (ejection for each class, relative to the
// other servers); slowstart; shedding (lowest worth first); probing.
package brain

import (
	"errors"
	"fmt"
	"time"
)

// All times are durations on the embedder's monotonic clock. Its zero point is arbitrary; it never goes backwards.

// Repeat says whether a request may be attempted again after an attempt that may have been executed.
type Repeat uint8

const (
	Safe   Repeat = iota // idempotent: may be executed any number of times
	Keyed                // a group of servers (Class.Scope) deduplicates repeats for Class.Window
	Unsafe               // must never be executed twice
)

// Scope is the group of servers within which repeats of a keyed class are deduplicated.
type Scope uint8

const (
	ScopeAll  Scope = iota // all servers
	ScopeZone              // servers of the same zone
	ScopeCell              // servers of the same cell
)

// Class describes a request class.
type Class struct {
	Name     string
	Repeat   Repeat
	Scope    Scope         // Keyed only
	Window   time.Duration // Keyed only: how long repeats are deduplicated, from the first attempt that may have run
	Aim      time.Duration // target latency: an answer within it has the full worth
	Deadline time.Duration // how long the client waits, over all its attempts
	Worth    float64       // value of an answer in time, relative to other classes
	Late     float64       // share of the worth left after the aim
	Gone     bool          // removed: no new requests, but some may still be in flight
	Stream   bool          // the answer is a stream; StreamBegun events are sent
}

// ReportMode says where load reports come from.
type ReportMode uint8

const (
	ReportsOff     ReportMode = iota
	ReportsInline             // in attempt outcomes and probe results
	ReportsOnProbe            // in probe results only
)

// Column is the meaning of one value of a load report.
type Column uint8

const (
	ColUnknown     Column = iota
	ColInFlight           // requests held by the server
	ColQueue              // requests waiting
	ColUtilization        // share of the CPU in use, 0 to 1
	ColLatency            // recent service time in ms
	ColRate               // requests served per second
	ColErrors             // errors per second
)

// WeightKind says what Member.Weight means.
type WeightKind uint8

const (
	WeightOff     WeightKind = iota // ignored: all servers count as equal
	WeightNominal                   // relative capacity
	WeightRough                     // approximate relative capacity
	WeightLive                      // size / (1 + requests held per core), delayed
)

// Prices are the shares of the result that one unit of each cost takes away.
type Prices struct {
	Connection, CrossZone, Handshake, Probe, Waste, LateFail float64
}

// Rules are the parameters of the four rules that a node must obey: one final answer for each request in time (1), no
// repeat that may execute an Unsafe request twice or a Keyed one outside its scope and window (2), nothing sent to
// servers that drain or are gone (3), and no overload of cold servers (4).
type Rules struct {
	AnswerGrace    time.Duration // rule 1: how long after its deadline a request may be answered
	DrainGrace     time.Duration // rule 3: how long a server may still get requests after the node was told that it is leaving
	AskEvery       time.Duration // nominal interval of discovery calls
	ColdFrom       float64       // share of its capacity that a server has at least when it starts
	ColdFor        time.Duration // time until a started server has its full capacity; 0: servers are never cold
	OverloadFactor float64       // rule 4: a cold server must be sent less than this multiple of its present capacity
	FallFor        time.Duration
}

// Settings configure a node. They apply until a Retuned event replaces them.
type Settings struct {
	Nodes   int // balancer nodes in front of the same fleet
	Sample  int // minimum size of the sample of servers that the node uses; 0: chosen by the module
	Zone    string
	Classes []Class

	OverQuotaWorth float64 // worth of a request over its tenant's quota, as a share of its class's worth
	WorthByWork    bool    // worth is per unit of work rather than per request

	AskDiscovery bool // the node must ask discovery for the list; otherwise changes are pushed
	MaxAttempts  int
	SecondCopies bool // two attempts of a request may be in flight at once
	CanCancel    bool // attempts can be cancelled
	CanProbe     bool // servers can be probed
	RetryAfter   bool // refusals tell clients how long to wait before they try again

	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	IdleClose      time.Duration
	StreamsPerConn int
	WarmKeys       bool // a server that has served a key recently needs less work for it

	Reports ReportMode
	Columns []Column
	Weights WeightKind
	Prices  Prices
	Rules   Rules

	GoalWorstClass  float64
	GoalWorstTenant float64
}

// check returns an error that names the first invalid setting.
func (s *Settings) check() error {
	switch {
	case s.Nodes < 1:
		return errors.New("brain: Nodes must be at least 1")
	case len(s.Classes) == 0:
		return errors.New("brain: Classes is empty")
	case s.MaxAttempts < 1:
		return errors.New("brain: MaxAttempts must be at least 1")
	case s.Rules.ColdFor > 0 && (s.Rules.ColdFrom <= 0 || s.Rules.ColdFrom > 1):
		return errors.New("brain: Rules.ColdFrom must lie in (0, 1]")
	case s.Rules.ColdFor > 0 && s.Rules.OverloadFactor <= 0:
		return errors.New("brain: Rules.OverloadFactor must be positive")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.Aim <= 0 {
			return fmt.Errorf("brain: Classes[%d] needs an Aim and a Deadline above zero", i)
		}
		if c.Repeat == Keyed && c.Window <= 0 {
			return fmt.Errorf("brain: Classes[%d] is keyed and needs a Window above zero", i)
		}
	}
	return nil
}

// Event is a pointer to one of the event types below. A Decider keeps no reference to it.
type Event interface{ event() }

// UpdateKind says what a FleetUpdate contains.
type UpdateKind uint8

const (
	UpdateChanges   UpdateKind = iota // only the entries that changed
	UpdateFull                        // the whole list
	UpdateRestored                    // the last list before a restart, possibly outdated
	UpdateAskFailed                   // the call failed or the subscription broke; the old list stays in use
)

// Readiness is the state of a server according to discovery.
type Readiness uint8

const (
	Ready Readiness = iota
	Draining
	Gone
)

// Member is one entry of the server list.
type Member struct {
	Server  string
	Zone    string
	Kind    string
	Cell    int
	Weight  float64
	Started time.Duration // when the process started; 0: long ago
	State   Readiness
	Bit     uint64 // bit of its group in Request.First and Later; 0: in no group
}

// FleetUpdate is an update of the server list from discovery.
type FleetUpdate struct {
	Kind    UpdateKind
	Members []Member
}

// Request is a client's request. The node owes it exactly one final answer.
type Request struct {
	ID       string
	Class    int     // index into Settings.Classes
	Tenant   int     // stable number of the tenant, or -1; its state is dropped after a time without requests
	Quota    float64 // the tenant's quota in requests per second over all nodes; 0: unlimited
	Retry    bool    // the client has tried before
	Key      string  // affinity key; empty: unknown
	Work     float64 // expected work in ms on a standard core; 0: unknown
	Deadline time.Duration

	// Upload marks a request whose body arrives while it is forwarded, to a single server. Once sent it has no deadline
	// until Uploaded sets one.
	Upload bool

	// First and Later are sets of Member.Bit: the servers allowed for the first attempt and for later ones.
	// 0: any server. A request with First equal to Nowhere is answered at once without an attempt.
	First, Later uint64
}

// Nowhere is a group set that no server belongs to.
const Nowhere = uint64(1) << 63

// Outcome is the result of an attempt or a probe.
type Outcome uint8

const (
	OK Outcome = iota
	AppError
	Shed
	TimedOut
	ConnectFailed
	Dropped
	Cancelled
	NeverSent
)

// AttemptEnded reports the end of an attempt, exactly once for each.
type AttemptEnded struct {
	ID      string
	Attempt int // index of the attempt, in the order of the Send actions
	Server  string
	Outcome Outcome
	Took    time.Duration
	Final   bool      // the request is finished
	Report  []float64 // load report, in the order of Settings.Columns; empty: none
}

// StreamBegun reports that the answer has started to arrive. From then on the attempt has no deadline.
type StreamBegun struct {
	ID      string
	Attempt int
	Server  string
	Took    time.Duration
}

// Uploaded reports that the whole body of an Upload request has been sent. Its time limits apply from then on.
type Uploaded struct {
	ID       string
	Deadline time.Duration
}

// Retuned replaces the settings, which must be valid for New. A class must keep its index while a request of it is in
// flight; learned state follows the class by its name.
type Retuned struct{ Settings Settings }

// ClientGone reports that the client has disconnected. The request needs no answer any more.
type ClientGone struct{ ID string }

// ProbeEnded reports the result of a Probe action.
type ProbeEnded struct {
	Server  string
	Outcome Outcome
	Took    time.Duration
	Report  []float64
}

// TimerFired reports that the timer of a SetTimer action has expired.
type TimerFired struct{ Cookie uint64 }

func (*FleetUpdate) event()  {}
func (*Request) event()      {}
func (*AttemptEnded) event() {}
func (*StreamBegun) event()  {}
func (*Uploaded) event()     {}
func (*Retuned) event()      {}
func (*ClientGone) event()   {}
func (*ProbeEnded) event()   {}
func (*TimerFired) event()   {}

// ActionKind is the kind of an Action. The comments list the fields that each kind uses.
type ActionKind uint8

const (
	Send      ActionKind = iota // ID, Server, At: start an attempt and abandon it At (0: at the client's deadline)
	Cancel                      // ID, Attempt: stop waiting for an attempt
	Refuse                      // ID, After: final answer; the client may safely try again, after After if that is set
	Fail                        // ID: final answer; trying again may not be safe
	SetTimer                    // After, Cookie: deliver TimerFired with Cookie after After
	Probe                       // Server: send a probe
	CloseIdle                   // Server: close this node's idle connections to it
	Subscribe                   // ask discovery for the list and its changes from now on
	Note                        // Text: write to the log
)

// Action is an instruction to the embedder, carried out at once and in the order given.
type Action struct {
	Kind    ActionKind
	Attempt int
	ID      string
	Server  string
	Text    string
	At      time.Duration
	After   time.Duration
	Cookie  uint64
}

// Decider is the interface through which an embedder drives a node.
type Decider interface {
	// Handle processes an event at time now and appends the resulting actions to the slice.
	Handle(now time.Duration, ev Event, actions []Action) []Action
}
