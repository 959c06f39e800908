package brain

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/burst"
)

// The state of a node. The logic that acts on it is in the files listed under policy in deploy/balancer.toml.

// server is a node's state of one server.
type server struct {
	Member
	size             float64 // relative capacity
	tieBreak         uint32  // orders equal scores; random, so that nodes differ
	inSample         bool
	loadScore        float64 // rank criterion, see setLoadScore
	slowness         float64 // smoothed answer time relative to the class mean
	reportedHeld     float64 // requests held according to the last report, received at reportAt
	hasReport        bool
	inFlight         int           // this node's attempts
	lastAnsweredSent time.Duration // latest send time of any answered attempt
	ownLoad          float64       // attempts in flight, each weighted by its class's relative time
	ownLoadAtReport  float64       // the part of ownLoad that the last report includes
	laggedLoad       float64       // ownLoad smoothed over reportLag, as of ownLoadAt
	health           []health      // by class: a server may fail for one class only
	failedProbes     int           // failed probes in a row
	probing          bool
	coldTokens       float64 // token bucket of a cold server, as of coldAt
	answers          float64 // successful answers since the last ranking

	listedEpoch, serial int // listEpoch when the server was last listed; position in order of first listing

	reportAt, ownLoadAt, coldAt, probedAt time.Duration
}

// health is the outcome history of a server for one class.
type health struct {
	errorRate float64 // smoothed share of bad outcomes
	ejections int     // ejections in a row
	onTrial   bool    // ejected, and no success since
	pauses    int     // pauses in a row without an answer in between
	inFlight  int

	waitingSince, ejectedUntil, pausedUntil time.Duration
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server      *server
	sent        time.Duration
	scoreAtSend float64 // the server's load score
	cost        float64 // its part of the server's ownLoad
	ended       bool
	mayHaveRun  bool
	overdue     bool // far past its expected time
	working     bool // the server is processing it: not during the upload, nor while the answer streams
}

// request is a request until it is answered and all of its attempts have ended.
type request struct {
	Request
	usefulUntil            time.Duration // an answer after this is worth nothing
	outstanding            int           // attempts in flight
	attempts               []attempt
	done, queued, streamed bool // no answer owed any more; held until a server is available; answer has begun
}

// classState is a class and its learned state.
type classState struct {
	Class
	measured  bool    // mean and dev come from answers rather than from the aim
	mean, dev float64 // mean time of successful attempts and its deviation, in seconds
	limit     float64 // highest acceptable expected time, as a multiple of mean
}

// Node makes the decisions of one balancer node. It implements Decider.
type Node struct {
	cfg          Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []Action
	started      bool
	classes      []classState
	tenants      arrivalCounts
	hasSafeClass bool // a Safe class that is not Gone exists

	byID                  map[string]*server
	fleet                 []*server          // ready or draining, in order of first listing
	newServers            []*server          // listed since the last refill of the sample
	goneServers           []*server          // removed by the current update
	listEpoch, serversMet int                // number of full lists; number of servers ever listed
	maxWeightByKind       map[string]float64 // for live weights: the largest weight seen of each kind
	askArmed              bool

	ranked             []*server // the sample, lowest load score first
	scratch            []*server // reused by pick
	rankedAt, rotateAt time.Duration
	ring               []ringPoint // ordered by position; nil: must be rebuilt
	overloaded         bool        // the last pick rejected a server because no answer was expected in time

	detector       *burst.Detector
	arrivalsAtRank int  // detector.Arrivals at the last ranking
	inBurst        bool // as of the last ranking

	requests                 map[string]*request
	queue                    []*request // held until a server is available
	checks                   overdueChecks
	queueArmed, overdueArmed bool // timers that are set

	inFlight                               int        // attempts in flight
	answerRate, meanInFlight               float64    // answers per second per size of a warm server; smoothed inFlight
	repeatTokens, retryTokens, probeTokens float64    // token buckets
	meanTime                               float64    // mean answer time over all requests, in seconds
	timeByLoad                             regression // answer time relative to the class mean, by the load score at the send
}
