package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pewterrudder/brain"
)

const (
	// tries is how often a request is sent at the most: once, and once more after a failure, as proxies do by default.
	tries = 2
	// travel is how long before the end of its window a keyed request is repeated at the latest: the repeat has to
	// arrive while the group still remembers the first.
	travel = 30 * time.Millisecond
	// pollEvery is the paper's information query delay D, where reports come on probes alone.
	pollEvery = time.Second
	// askFirst and askMost bound the pause before discovery is asked, doubled at each failure.
	askFirst, askMost = time.Second, 16 * time.Second
)

// Cookies of the two timers.
const (
	cookieAsk = iota + 1
	cookiePoll
)

type server struct {
	brain.Member
	listed int     // epoch of the last whole list that named it
	out    int     // own attempts out
	report float64 // the last load report; 0 before the first
}

type attempt struct {
	srv  *server
	sent time.Duration
	over bool
	ran  bool // may have run
}

type request struct {
	brain.Request
	class    *brain.Class
	attempts []attempt
	out      int
	done     bool // nothing owed any more
	streamed bool // the answer has begun: it is the client's now
}

// node keeps the contract for every rule.
type node struct {
	cfg  brain.Settings
	rule rule
	rng  *rand.Rand
	now  time.Duration
	acts []brain.Action
	turn uint64

	byID  map[string]*server
	fleet []*server // in order of arrival
	ready []*server // those of the fleet that may be sent requests
	epoch int

	reqs    map[string]*request
	left    []*server // scratch: the servers that a repeat may go to
	figures []float64 // scratch of lowestReports

	asking, polling bool // a timer is armed
	askFails        int
}

var _ brain.Decider = (*node)(nil)

func newNode(cfg brain.Settings, seed uint64, r rule) *node {
	rng := rand.New(rand.NewPCG(seed, 0x706c61696e))
	return &node{cfg: cfg, rule: r, rng: rng, turn: rng.Uint64() >> 1, byID: map[string]*server{},
		reqs: map[string]*request{}}
}

// Burst tells of how many servers one is drawn now (K), which the lab plots over time; no plain policy looks for
// bursts.
func (n *node) Burst() (k int, on bool) { return n.rule.choices(len(n.ready)), false }

// Handle takes one event and appends the actions it calls for.
func (n *node) Handle(now time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	n.now, n.acts = now, actions
	switch e := ev.(type) {
	case *brain.Request:
		n.onRequest(e)
	case *brain.AttemptEnded:
		n.onEnded(e)
	case *brain.FleetUpdate:
		n.onFleet(e)
	case *brain.ProbeEnded:
		if s := n.byID[e.Server]; s != nil && n.cfg.Reports != brain.ReportsOff {
			n.read(s, e.Report)
		}
	case *brain.TimerFired:
		n.onTimer(e.Cookie)
	case *brain.ClientGone:
		if r := n.reqs[e.ID]; r != nil && !r.done {
			n.finish(r)
		}
	case *brain.StreamBegun:
		if r := n.reqs[e.ID]; r != nil {
			r.streamed = true
		}
	}
	actions, n.acts = n.acts, nil
	return actions
}

func (n *node) emit(a brain.Action) { n.acts = append(n.acts, a) }

// ---- requests ----

func (n *node) onRequest(e *brain.Request) {
	if n.reqs[e.ID] != nil || e.Class < 0 || e.Class >= len(n.cfg.Classes) {
		return
	}
	r := &request{Request: *e, class: &n.cfg.Classes[e.Class]}
	n.reqs[e.ID] = r
	n.dispatch(r)
}

// dispatch sends a request, or ends it where there is no time, no attempt or no server left: nobody waits here, and
// the client is told at once.
func (n *node) dispatch(r *request) {
	from := n.candidates(r)
	if len(from) == 0 || len(r.attempts) >= min(tries, n.cfg.MaxAttempts) || n.now >= r.Deadline {
		n.giveUp(r)
		return
	}
	s := n.rule.pick(n, from)
	s.out++
	r.out++
	r.attempts = append(r.attempts, attempt{srv: s, sent: n.now})
	n.emit(brain.Action{Kind: brain.Send, ID: r.ID, Server: s.Server})
}

// candidates are the ready servers that may be sent the request now: all at first; at a repeat none that had it
// already, and after an attempt that may have run none (unsafe), or those of its group within its window (keyed).
func (n *node) candidates(r *request) []*server {
	if len(r.attempts) == 0 {
		return n.ready
	}
	n.left = n.left[:0]
	for _, s := range n.ready {
		if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !n.mayFollow(r, a, s) }) {
			n.left = append(n.left, s)
		}
	}
	return n.left
}

func (n *node) mayFollow(r *request, a attempt, s *server) bool {
	switch c := r.class; {
	case a.srv.Server == s.Server:
		return false
	case !a.ran || c.Repeat == brain.Safe:
		return true
	case c.Repeat == brain.Unsafe || n.now-a.sent > c.Window-travel:
		return false
	case c.Scope == brain.ScopeZone:
		return s.Zone == a.srv.Zone
	case c.Scope == brain.ScopeCell:
		return s.Cell == a.srv.Cell
	}
	return true
}

func (n *node) onEnded(e *brain.AttemptEnded) {
	r := n.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].over {
		return
	}
	a := &r.attempts[e.Attempt]
	a.over = true
	a.ran = e.Outcome != brain.Shed && e.Outcome != brain.ConnectFailed && e.Outcome != brain.NeverSent
	a.srv.out--
	r.out--
	if n.cfg.Reports == brain.ReportsInline {
		n.read(a.srv, e.Report)
	}
	switch {
	case r.done:
		n.forget(r)
	case e.Final || e.Outcome == brain.OK:
		n.finish(r)
	case r.streamed: // part of an answer is with the client: a second one cannot follow it
		n.emit(brain.Action{Kind: brain.Fail, ID: r.ID})
		n.finish(r)
	default:
		n.dispatch(r)
	}
}

// giveUp refuses where that is legal, since a refusal says that a further try is harmless, else it fails.
func (n *node) giveUp(r *request) {
	ran := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ran })
	a := brain.Action{Kind: brain.Fail, ID: r.ID}
	if c := r.class; !ran || c.Repeat == brain.Safe || c.Repeat == brain.Keyed && c.Scope == brain.ScopeAll {
		a.Kind = brain.Refuse
		if n.cfg.RetryAfter { // spread, or those refused together come back together
			a.After = time.Duration((0.5 + n.rng.Float64()/2) * float64(n.cfg.MaxRetryAfter))
		}
	}
	n.emit(a)
	n.finish(r)
}

// finish: nothing more is owed; what is still out is called off.
func (n *node) finish(r *request) {
	r.done = true
	for i := range r.attempts {
		if !r.attempts[i].over && n.cfg.CanCancel && !r.streamed {
			n.emit(brain.Action{Kind: brain.Cancel, ID: r.ID, Attempt: i})
		}
	}
	n.forget(r)
}

func (n *node) forget(r *request) {
	if r.done && r.out == 0 {
		delete(n.reqs, r.ID)
	}
}

// ---- servers ----

func (n *node) onFleet(u *brain.FleetUpdate) {
	if n.cfg.AskDiscovery {
		n.followDiscovery(u.Kind)
	}
	if u.Kind == brain.UpdateAskFailed {
		return
	}
	whole := u.Kind != brain.UpdateChanges
	if whole {
		n.epoch++
	}
	for _, m := range u.Members {
		s := n.byID[m.Server]
		if s == nil {
			if m.State == brain.Gone {
				continue
			}
			s = &server{}
			n.byID[m.Server] = s
			n.fleet = append(n.fleet, s)
		} else if s.Started != m.Started { // another process: what the old one reported holds no more
			s.report = 0
		}
		s.Member, s.listed = m, n.epoch
	}
	n.fleet = slices.DeleteFunc(n.fleet, func(s *server) bool {
		gone := s.State == brain.Gone || whole && s.listed != n.epoch
		if gone {
			delete(n.byID, s.Server) // attempts still out keep the old entry
		}
		return gone
	})
	n.ready = n.ready[:0]
	for _, s := range n.fleet {
		if s.State == brain.Ready {
			n.ready = append(n.ready, s)
		}
	}
	n.armPoll()
}

// followDiscovery keeps one subscription where the list must be asked for; chance spreads the balancers.
func (n *node) followDiscovery(k brain.UpdateKind) {
	switch k {
	case brain.UpdateRestored:
		n.armAsk(min(n.cfg.Rules.AskEvery/8, askFirst))
	case brain.UpdateAskFailed:
		n.armAsk(min(askFirst<<min(n.askFails, 8), askMost, max(n.cfg.Rules.AskEvery, askFirst)))
		n.askFails++
	default:
		n.askFails = 0
	}
}

func (n *node) armAsk(most time.Duration) {
	if !n.asking {
		n.asking = true
		n.emit(brain.Action{Kind: brain.SetTimer, Cookie: cookieAsk,
			After: time.Duration((0.5 + n.rng.Float64()/2) * float64(most))})
	}
}

func (n *node) onTimer(cookie uint64) {
	switch {
	case cookie == cookieAsk && n.asking:
		n.asking = false
		n.emit(brain.Action{Kind: brain.Subscribe})
	case cookie == cookiePoll && n.polling:
		n.polling = false
		for _, s := range n.ready {
			n.emit(brain.Action{Kind: brain.Probe, Server: s.Server})
		}
		n.armPoll()
	}
}

// ---- load reports ----

// armPoll keeps the paper's query of all servers each D going, where a rule needs reports and probes alone bring them.
func (n *node) armPoll() {
	if n.rule.reports && n.cfg.Reports == brain.ReportsOnProbe && n.cfg.CanProbe && !n.polling && len(n.ready) > 0 {
		n.polling = true
		n.emit(brain.Action{Kind: brain.SetTimer, Cookie: cookiePoll, After: pollEvery})
	}
}

// read enters a load report: the requests held where that is told, as a site's queue is in the paper, else those that
// wait, else the share in use. Where reports tell none of these the rule sees ties alone, and is random.
func (n *node) read(s *server, report []float64) {
	for _, want := range []brain.Column{brain.ColInFlight, brain.ColQueue, brain.ColUtilization} {
		if i := slices.Index(n.cfg.Columns, want); i >= 0 {
			if i < len(report) && !math.IsNaN(report[i]) {
				s.report = report[i]
			}
			return
		}
	}
}
