package world

import (
	"time"

	"pewterrudder/internal/lab/timeline"
)

// Op is what a client wants, over all its tries: the world counts worth, latency and effects by it.
type Op struct {
	Serial  uint64
	Class   int
	Tenant  int // -1: none
	Zone    int // of the client
	Work    float64
	Upload  float64       // bytes of the request's body
	Hint    float64       // of the work, as the request tells it; 0: not told
	Due     time.Duration // when the first try was due; latency counts from here
	Until   time.Duration // when the client's patience ends, over all tries
	Worth   float64       // of an answer in time
	Tries   int
	Settled bool
	Runs    []Run // where it may have had its effect; kept for classes that may not be repeated freely
}

// Run is one group of app nodes at which an Op was taken, which drops repeats for the class's window.
type Run struct {
	Group int
	Ask   uint64        // the client's latest try there
	At    time.Duration // when the first attempt of that was sent
	Began bool
}

// Kind is how a request ends.
type Kind uint8

const (
	Served  Kind = iota
	Refused      // a further try is harmless
	Failed
	Unreached // no balancer took it
	Left      // the client went away before its time
	Crashed   // the balancer that had taken it died
	Lost      // nobody answered in time
)

var kindNames = [...]string{"served", "refused", "failed", "unreached", "left", "crashed", "lost"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is a final answer.
type Outcome struct {
	Kind   Kind
	After  time.Duration // a refusal's advice
	Answer *Answer       // of the app node, where there is one
	Closes bool          // the connection ends with it
	Flows  bool          // it has only begun; World.FlowEnded follows
}

// Ask is one try of a client at a balancer.
type Ask struct {
	ID       uint64
	Op       *Op
	Retry    bool
	Balancer int
	Life     int
	Sent     time.Duration
	Deadline time.Duration // the client leaves then
	Took     time.Duration // when the balancer had read it
	Data     any           // the mode's own

	home     *World
	conn     *clientConn
	timer    timeline.Timer
	leaves   timeline.Timer
	place    int // among the asks of its seat; -1: none
	moved    bool
	taken    bool
	over     bool          // as the client sees it
	written  bool          // the balancer has given its answer
	answered bool          // that, or nobody waits for one any more
	stayed   bool          // past its deadline
	flows    bool          // the answer is under way
	begun    time.Duration // when that had begun to flow; 0: it came in one piece
	outcome  Outcome
}

func (a *Ask) world() *World { return a.home }

// Taken says whether a balancer has read the request.
func (a *Ask) Taken() bool { return a.taken }
