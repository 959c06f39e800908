package world

import (
	"math"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/lab/timeline"
)

// NodeSpec is what an app node is made of. Work is in milliseconds on a standard core.
type NodeSpec struct {
	ID    string
	Kind  string
	Zone  int
	Cell  int
	Size  float64 // as discovery has it
	Cores int
	Slots int     // requests in work at once; 0: one a core
	Queue int     // places to wait; a request beyond is turned away; below 0: no bound
	Speed float64 // of a core; 0: 1

	CrowdFrom float64 // requests held for each core from which on efficiency is lost
	CrowdLoss float64 // at twice that many it is 1/(1+CrowdLoss), and so on

	ColdFrom float64 // share of the capacity right after a start
	ColdFor  time.Duration

	Handshake float64 // work of a new connection
	Trips     float64 // round trips before the first request on it can start
	MaxConns  int     // most connections; 0: no bound
	ConnTax   float64 // share of the capacity that a full table of connections takes
	IdleClose time.Duration

	ReportEvery time.Duration // 0: reports are of the moment
	ReportDelay time.Duration
	ReportNoise float64 // standard deviation, as a share

	Errors    float64 // share that fails at once on an ordinary day
	Cancels   bool    // work ends when its connection closes
	Expires   bool    // a request past the time that the balancer states is dropped when its turn comes
	HangEvery time.Duration
	HangFor   time.Duration // the machine stands still for so long, at random moments that far apart on average
}

// JobEnd is how a job ends at its app node.
type JobEnd uint8

const (
	Finished JobEnd = iota
	Errored         // it failed, and may have had its effect
	Full            // turned away unseen: no place to wait
	Leaving         // turned away unseen: draining
	Expired         // turned away unseen: its time was over before its turn
)

// Waiter hears of the end of a job. A job that is lost or dropped has none.
type Waiter interface{ JobDone(j *Job, end JobEnd) }

// Job is one request at one app node. It belongs to whoever made it; the node lets go of it at its end.
type Job struct {
	Work    float64 // ms on a standard core
	Class   int
	Expires time.Duration // the clock's moment at which the balancer gives up; 0: never
	To      Waiter
	Op      *Op           // what the client wants; nil where nobody keeps count
	Ask     uint64        // the client's try that it is for
	Sent    time.Duration // by the balancer
	Run     int           // which of its runs; a watcher's own

	Arrived time.Duration
	Began   time.Duration // when its turn came; valid once State is working or later
	state   jobState
	finish  float64 // the node's service count at which it is done
	place   int     // in the heap of those in work
	ahead   *Job    // in the queue
	behind  *Job
	bare    bool // a handshake: work without a request
}

type jobState uint8

const (
	jobNew jobState = iota
	jobWaiting
	jobWorking
	jobLost // swallowed: the app node says nothing
	jobOver
)

// Report is a load report, by the columns that balancers may ask for.
type Report struct {
	Held, Waiting, Busy, TookMs, PerSecond, ErrorsPerSecond float64
}

// Node is an app node: a machine with cores, a queue and a process that can fail. All requests in work share the
// cores evenly, so with as many slots as cores it serves first come first served, and with more it shares.
type Node struct {
	NodeSpec
	Before  *Node // at its address, if it has taken that over
	Address int   // by which it is reached; a replacement takes it over
	Index   int   // among all nodes that there ever were
	Group   int   // of the scenario
	Doomed  bool  // leaves, or has left, for good

	clock timeline.Clock
	rng   *rand.Rand
	seen  NodeWatcher

	Up       bool          // the process runs
	Dark     bool          // the machine says nothing
	Draining bool          // it turns away what is new
	Started  time.Duration // of the process; 0: long ago
	Epoch    int           // counts starts: connections to an earlier process are no good
	conns    int
	links    []*Link // open here
	ghosts   []*Link // of a former self, open at the other end alone

	slow    float64   // times slower
	stolen  float64   // share of the machine that another program takes
	hung    int       // reasons to stand still
	stalled bool      // swallows requests
	Halt    float64   // share of the answers that stop in their middle
	fail    []float64 // by class: share that fails at once
	lose    []float64 // by class: share that is swallowed

	served   float64 // ms of work done for each job in work since the start: the service count
	servedAt time.Duration
	pace     float64 // of the service count, ms in a ms
	working  []*Job  // heap by finish
	bare     int     // handshakes among them
	first    *Job    // the queue
	last     *Job
	waiting  int
	lostJobs map[*Job]struct{} // swallowed and not yet given up by their senders
	timer    timeline.Timer
	hang     timeline.Timer
	warming  timeline.Timer
	handFree []*Job

	busySum float64 // seconds of busy cores
	busyAt  time.Duration
	reports [reportsKept]stamped
	head    int
	report  timeline.Timer
	since   struct { // the last report
		at           time.Duration
		busy         float64
		done, failed int
		took         float64
	}
}

// NodeWatcher sees what happens at app nodes.
type NodeWatcher interface {
	// JobKept: it waits or is in work from now on.
	JobKept(n *Node, j *Job)
	// JobBegan: the work has begun, so the effect may be had.
	JobBegan(n *Node, j *Job)
}

// reportsKept bounds how many reports can be under way: a delay of more than so many periods shows as that.
const reportsKept = 4

type stamped struct {
	visible time.Duration
	Report
}

// warmStep is how often the pace of a cold node is set anew: it is a line in truth, and steps of 1/100 of a climb
// of 10 s and more are as good.
const warmStep = 100 * time.Millisecond

// NewNode makes an app node that has run for long and starts its reports and hangs. seen may be nil.
func NewNode(clock timeline.Clock, spec NodeSpec, rng *rand.Rand, classes int, seen NodeWatcher) *Node {
	if spec.Slots == 0 {
		spec.Slots = spec.Cores
	}
	if spec.Speed == 0 {
		spec.Speed = 1
	}
	n := &Node{NodeSpec: spec, clock: clock, rng: rng, seen: seen, Up: true, slow: 1,
		fail: make([]float64, classes), lose: make([]float64, classes), lostJobs: map[*Job]struct{}{}}
	n.servedAt, n.busyAt = clock.Now(), clock.Now()
	n.setPace()
	if n.ReportEvery > 0 {
		n.report = clock.After(time.Duration(rng.Float64()*float64(n.ReportEvery)), timeline.Func(n.takeReport))
	}
	n.armHang()
	return n
}

// Held is the number of requests in work or waiting.
func (n *Node) Held() int { return len(n.working) - n.bare + n.waiting }

// Waiting is the number of requests that wait.
func (n *Node) Waiting() int { return n.waiting }

// Conns is the number of open connections.
func (n *Node) Conns() int { return n.conns }

// ---- capacity ----

// Capacity is what the node can do now, in cores of standard speed.
func (n *Node) Capacity() float64 {
	if !n.Up || n.hung > 0 || n.stalled {
		return 0
	}
	c := float64(n.Cores) * n.Speed * n.Warmth() / n.slow * (1 - n.stolen)
	if n.taxed() {
		c *= 1 - n.ConnTax*float64(n.conns)/float64(n.MaxConns)
	}
	if n.CrowdLoss > 0 {
		if held := float64(n.Held()) / float64(n.Cores); held > n.CrowdFrom {
			c /= 1 + n.CrowdLoss*(held-n.CrowdFrom)/n.CrowdFrom
		}
	}
	return c
}

// taxed says whether the number of connections matters to the capacity.
func (n *Node) taxed() bool { return n.ConnTax > 0 && n.MaxConns > 0 }

// Warmth is the share of its capacity that a node has by its age.
func (n *Node) Warmth() float64 {
	age := n.clock.Now() - n.Started
	if n.Started == 0 || n.ColdFor <= 0 || age >= n.ColdFor {
		return 1
	}
	return n.ColdFrom + (1-n.ColdFrom)*float64(age)/float64(n.ColdFor)
}

// settle brings the service count up to now.
func (n *Node) settle() {
	now := n.clock.Now()
	n.served += n.pace * float64(now-n.servedAt) / 1e6
	n.servedAt = now
	n.countBusy()
}

func (n *Node) countBusy() {
	now := n.clock.Now()
	if k := min(len(n.working), n.Cores); k > 0 {
		n.busySum += float64(k) * (now - n.busyAt).Seconds()
	}
	n.busyAt = now
}

// setPace sets how fast the service count rises and when the next job is done. settle must have come before.
func (n *Node) setPace() {
	n.timer.Stop()
	k := len(n.working)
	if k == 0 {
		n.pace = 0
		return
	}
	n.pace = n.Capacity() / float64(max(k, n.Cores))
	if n.pace <= 0 {
		return
	}
	left := max(0, n.working[0].finish-n.served) / n.pace * 1e6
	n.timer = n.clock.After(time.Duration(math.Ceil(min(left, 1e17))), (*nodeDone)(n))
}

// change does something that bears on the capacity.
func (n *Node) change(fn func()) {
	n.settle()
	fn()
	n.setPace()
}

// nodeDone is the node as the task that ends the jobs that are done.
type nodeDone Node

func (t *nodeDone) Run() {
	n := (*Node)(t)
	n.settle()
	// A nanosecond's share of work is what rounding the time up can leave or add.
	const rounding = 2e-6
	for len(n.working) > 0 && n.working[0].finish <= n.served+rounding*max(n.pace, 1) {
		j := n.working[0]
		n.takeOut(j)
		if j.bare {
			n.bare--
			n.endBare(j)
			continue
		}
		n.fill()
		j.state = jobOver
		n.since.done++
		n.since.took += float64(n.clock.Now() - j.Arrived)
		if n.chance(n.Errors) {
			n.since.failed++
			j.To.JobDone(j, Errored)
		} else {
			j.To.JobDone(j, Finished)
		}
	}
	n.fill()
	n.setPace()
}

func (n *Node) chance(p float64) bool { return p > 0 && n.rng.Float64() < p }

// ---- jobs ----

// Take hands the node a request that has arrived whole.
func (n *Node) Take(j *Job) {
	j.Arrived = n.clock.Now()
	j.state = jobOver
	switch {
	case n.stalled || n.chance(n.lose[j.Class]):
		j.state = jobLost
		n.lostJobs[j] = struct{}{}
	case n.Draining:
		j.To.JobDone(j, Leaving)
	case n.chance(n.fail[j.Class]):
		n.since.failed++
		if n.seen != nil { // it fails fast, yet who knows after what
			n.seen.JobKept(n, j)
			n.seen.JobBegan(n, j)
		}
		j.To.JobDone(j, Errored)
	case len(n.working)-n.bare < n.Slots:
		n.keep(j)
		n.settle()
		n.start(j)
		n.setPace()
	case n.Queue >= 0 && n.waiting >= n.Queue:
		j.To.JobDone(j, Full)
	default:
		n.keep(j)
		if n.CrowdLoss > 0 {
			n.settle()
		}
		j.state, j.ahead, j.behind = jobWaiting, n.last, nil
		if n.last != nil {
			n.last.behind = j
		} else {
			n.first = j
		}
		n.last = j
		n.waiting++
		if n.CrowdLoss > 0 {
			n.setPace()
		}
	}
}

func (n *Node) keep(j *Job) {
	if n.seen != nil {
		n.seen.JobKept(n, j)
	}
}

// Drop takes a job away whose sender has given it up: its connection has closed. Without Cancels the work goes on,
// and the sender must then not use the job again: it is told so.
func (n *Node) Drop(j *Job) (free bool) {
	switch j.state {
	case jobLost:
		delete(n.lostJobs, j)
	case jobWaiting:
		if !n.Cancels {
			return false
		}
		n.settle()
		n.unqueue(j)
		n.setPace()
	case jobWorking:
		if !n.Cancels {
			return false
		}
		n.settle()
		n.takeOut(j)
		n.fill()
		n.setPace()
	}
	j.state = jobOver
	return true
}

func (n *Node) unqueue(j *Job) {
	if j.ahead != nil {
		j.ahead.behind = j.behind
	} else {
		n.first = j.behind
	}
	if j.behind != nil {
		j.behind.ahead = j.ahead
	} else {
		n.last = j.ahead
	}
	j.ahead, j.behind = nil, nil
	n.waiting--
}

// fill gives free slots to those that wait.
func (n *Node) fill() {
	for n.first != nil && len(n.working)-n.bare < n.Slots {
		j := n.first
		n.unqueue(j)
		if n.Expires && j.Expires > 0 && j.Expires <= n.clock.Now() {
			j.state = jobOver
			j.To.JobDone(j, Expired)
			continue
		}
		n.start(j)
	}
}

// start puts a job to work; the service count must be up to date, and the pace is the caller's to set.
func (n *Node) start(j *Job) {
	j.state, j.Began = jobWorking, n.clock.Now()
	j.finish = n.served + j.Work
	n.putIn(j)
	if n.seen != nil && !j.bare {
		n.seen.JobBegan(n, j)
	}
}

// Shake starts the work of a new connection's handshake; to.JobDone follows, unless the process ends before.
func (n *Node) Shake(to Waiter) {
	if n.Handshake <= 0 {
		to.JobDone(nil, Finished)
		return
	}
	var j *Job
	if k := len(n.handFree); k > 0 {
		j, n.handFree = n.handFree[k-1], n.handFree[:k-1]
	} else {
		j = new(Job)
	}
	*j = Job{Work: n.Handshake, bare: true, To: to}
	n.settle()
	n.bare++
	n.start(j)
	n.setPace()
}

func (n *Node) endBare(j *Job) {
	to := j.To
	j.state, j.To = jobOver, nil
	n.handFree = append(n.handFree, j)
	to.JobDone(nil, Finished)
}

// The heap of jobs in work, by the count at which they are done; equal ones in order of their places.

func (n *Node) putIn(j *Job) {
	n.working = append(n.working, j)
	j.place = len(n.working) - 1
	n.rise(j.place)
}

func (n *Node) takeOut(j *Job) {
	i, end := j.place, len(n.working)-1
	n.swap(i, end)
	n.working[end] = nil
	n.working = n.working[:end]
	if i < end {
		n.sink(i)
		n.rise(i)
	}
}

func (n *Node) swap(i, k int) {
	w := n.working
	w[i], w[k] = w[k], w[i]
	w[i].place, w[k].place = i, k
}

func (n *Node) rise(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if n.working[i].finish >= n.working[p].finish {
			return
		}
		n.swap(i, p)
		i = p
	}
}

func (n *Node) sink(i int) {
	for {
		c := 2*i + 1
		if c >= len(n.working) {
			return
		}
		if c+1 < len(n.working) && n.working[c+1].finish < n.working[c].finish {
			c++
		}
		if n.working[c].finish >= n.working[i].finish {
			return
		}
		n.swap(i, c)
		i = c
	}
}

// ---- reports ----

func (n *Node) sample() Report {
	n.countBusy()
	now := n.clock.Now()
	r := Report{Held: float64(n.Held()), Waiting: float64(n.waiting)}
	if dt := (now - n.since.at).Seconds(); dt > 0 {
		r.Busy = (n.busySum - n.since.busy) / dt / float64(n.Cores)
		r.PerSecond, r.ErrorsPerSecond = float64(n.since.done)/dt, float64(n.since.failed)/dt
	}
	if n.since.done > 0 {
		r.TookMs = n.since.took / float64(n.since.done) / 1e6
	}
	n.since.at, n.since.busy, n.since.done, n.since.failed, n.since.took = now, n.busySum, 0, 0, 0
	for _, v := range []*float64{&r.Held, &r.Waiting, &r.Busy, &r.TookMs, &r.PerSecond, &r.ErrorsPerSecond} {
		if n.ReportNoise > 0 && *v != 0 {
			*v = max(0, *v*(1+n.ReportNoise*n.rng.NormFloat64()))
		}
	}
	return r
}

func (n *Node) takeReport() {
	if n.Up && n.hung == 0 {
		n.head = (n.head + 1) % reportsKept
		n.reports[n.head] = stamped{n.clock.Now() + n.ReportDelay, n.sample()}
	}
	n.report = n.clock.After(n.ReportEvery, timeline.Func(n.takeReport))
}

// Load is the report that an answer carries now; none before the first has become visible.
func (n *Node) Load() (Report, bool) {
	if n.ReportEvery <= 0 {
		return n.sample(), true
	}
	for i := range reportsKept {
		s := &n.reports[(n.head-i+reportsKept)%reportsKept]
		if s.visible > 0 && s.visible <= n.clock.Now() {
			return s.Report, true
		}
	}
	return Report{}, false
}

// BusySeconds is the time that cores have been busy, all told.
func (n *Node) BusySeconds() float64 { n.countBusy(); return n.busySum }

// ---- what goes wrong ----

// Slow makes the machine so many times slower than it was at the beginning; 1 heals it.
func (n *Node) Slow(times float64) { n.change(func() { n.slow = times }) }

// Steal lets another program take a share of the machine.
func (n *Node) Steal(share float64) { n.change(func() { n.stolen = share }) }

// Fail has a share of a class's requests fail at once; class below 0: of all.
func (n *Node) Fail(class int, share float64) { set(n.fail, class, share) }

// Lose has a share of a class's requests vanish without a word; class below 0: of all.
func (n *Node) Lose(class int, share float64) { set(n.lose, class, share) }

func set(by []float64, class int, share float64) {
	for i := range by {
		if class < 0 || class == i {
			by[i] = share
		}
	}
}

// Stall has the process take requests and say nothing; what is in work stands still meanwhile, and what it was sent
// meanwhile is never answered.
func (n *Node) Stall(on bool) { n.change(func() { n.stalled = on }) }

// Hang has the machine stand still; each call with true needs one with false.
func (n *Node) Hang(on bool) {
	n.change(func() {
		if on {
			n.hung++
		} else {
			n.hung--
		}
	})
}

// HangOnce has the machine stand still for a while.
func (n *Node) HangOnce(d time.Duration) {
	n.Hang(true)
	n.clock.After(d, timeline.Func(func() { n.Hang(false) }))
}

// armHang sets the next of the ordinary hangs.
func (n *Node) armHang() {
	if n.HangEvery <= 0 || n.NodeSpec.HangFor <= 0 {
		return
	}
	n.hang = n.clock.After(time.Duration(n.rng.ExpFloat64()*float64(n.HangEvery)), timeline.Func(func() {
		if n.Up {
			n.HangOnce(time.Duration((0.5 + n.rng.Float64()) * float64(n.NodeSpec.HangFor)))
		}
		n.armHang()
	}))
}

// Stop ends the process: what it had is gone, without a word to those who wait.
func (n *Node) Stop() {
	n.settle()
	n.timer.Stop()
	n.warming.Stop()
	for _, j := range n.working {
		j.state = jobOver
	}
	for j := n.first; j != nil; j = j.behind {
		j.state = jobOver
	}
	for j := range n.lostJobs {
		j.state = jobOver
	}
	clear(n.lostJobs)
	clear(n.working)
	n.working, n.first, n.last, n.waiting, n.bare, n.conns = n.working[:0], nil, nil, 0, 0, 0
	n.Up, n.Draining, n.pace = false, false, 0
	n.reports = [reportsKept]stamped{}
}

// Start starts a process, cold.
func (n *Node) Start() {
	n.settle()
	n.Up, n.Draining, n.stalled = true, false, false
	n.Started = max(1, n.clock.Now())
	n.Epoch++
	n.since.at, n.since.busy, n.since.done, n.since.failed, n.since.took = n.clock.Now(), n.busySum, 0, 0, 0
	n.setPace()
	n.warm()
}

// warm keeps the pace of a cold node up to its warmth.
func (n *Node) warm() {
	if n.Warmth() >= 1 {
		return
	}
	n.warming = n.clock.After(warmStep, timeline.Func(func() {
		n.settle()
		n.setPace()
		n.warm()
	}))
}

// End stops the node's own timers: it never comes back.
func (n *Node) End() {
	n.hang.Stop()
	n.report.Stop()
	n.warming.Stop()
}

// ---- connections ----

// Accept takes a connection, unless the table is full.
func (n *Node) Accept() bool {
	if n.MaxConns > 0 && n.conns >= n.MaxConns {
		return false
	}
	n.connChange(1)
	return true
}

// Release gives a connection's place back.
func (n *Node) Release() { n.connChange(-1) }

func (n *Node) connChange(by int) {
	if !n.taxed() {
		n.conns += by
		return
	}
	n.settle()
	n.conns += by
	n.setPace()
}
