package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simulation simulates a fleet of routers in virtual time: tenants' requests arrive at the routers, and the routers
// exchange reports with a coordinator over a network that delays and loses messages and can be partitioned.
type simulation struct {
	random      *rand.Rand
	rule        Rule
	limits      map[string]Limit
	routers     []*simRouter
	tenants     []simTenant
	coordinator *Coordinator
	frozen      bool
	queue       eventQueue
	now         time.Duration
	lossRate    float64
	liveRouters func(s *simulation) int
	requests    []simRequest
	incarnation uint64
	term        uint64
	left        int // routers that have left
}

// simRouter is one router with its traffic weight and the state of its connection.
type simRouter struct {
	name         string
	admission    *Admission
	weight       float64
	partitioned  bool
	down         bool
	lastReportAt time.Duration
	nextReportAt time.Duration
	limits       map[string]Limit
	// keeper is true if the router stores floor tables; disk is the table stored.
	keeper bool
	disk   FloorTable
}

// simTenant sends the given number of requests per second, times a factor that depends on the time. size draws the
// amount of a request.
type simTenant struct {
	name     string
	requests float64
	factor   func(now time.Duration) float64
	size     func(random *rand.Rand) float64
}

// simRequest is one request and its outcome.
type simRequest struct {
	at       time.Duration
	tenant   string
	amount   float64
	admitted bool
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue struct {
	events []event
	order  uint64
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].order < q.events[j].order
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

const (
	simReportInterval = 250 * time.Millisecond
	simUrgentInterval = 50 * time.Millisecond
	// simKeepers is the number of routers with a disk; a write takes simDiskDelay.
	simKeepers   = 3
	simDiskDelay = 3 * time.Millisecond
)

func newSimulation(seed uint64, routers int, rule Rule) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)),
		rule:   rule,
		limits: map[string]Limit{},
	}
	s.liveRouters = func(s *simulation) int { return len(s.routers) - s.left }
	for i := range routers {
		r := &simRouter{name: fmt.Sprintf("router-%d", i), weight: 0.3 + s.random.ExpFloat64(), keeper: i < simKeepers}
		s.routers = append(s.routers, r)
	}
	return s
}

// addTenant adds a tenant whose limit is a multiple of its usual demand, but at least leastLimit.
func (s *simulation) addTenant(name string, requests, limitFactor, leastLimit float64) {
	mean := requests * meanRequestSize
	perSecond := max(leastLimit, limitFactor*mean)
	s.limits[name] = Limit{PerSecond: perSecond, Burst: perSecond}
	phase := s.random.Float64() * 2 * math.Pi
	s.tenants = append(s.tenants, simTenant{
		name:     name,
		requests: requests,
		size:     drawSize,
		factor: func(now time.Duration) float64 {
			return 1 + 0.15*math.Sin(phase+2*math.Pi*now.Seconds()/11)
		},
	})
}

// drawSize draws an amount from a mix of large prompts, short prompts and plain requests.
func drawSize(random *rand.Rand) float64 {
	kind := random.Float64()
	switch {
	case kind < 0.75:
		return 2000 + min(55000, 2890*math.Exp(random.NormFloat64()-0.5)+6300*(0.5+random.Float64()))
	case kind < 0.80:
		return 3400 * (0.2 + 1.6*random.Float64())
	default:
		return 200
	}
}

// meanRequestSize is approximately the mean of drawSize.
const meanRequestSize = 0.75*11000 + 0.05*3400 + 0.2*200

func (s *simulation) at(at time.Duration, run func()) {
	s.queue.order++
	heap.Push(&s.queue, event{at: at, order: s.queue.order, run: run})
}

// start starts all routers, and the traffic after the given time.
func (s *simulation) start(lead time.Duration) {
	for _, r := range s.routers {
		s.startRouter(r)
	}
	for _, tenant := range s.tenants {
		s.at(lead, func() { s.scheduleRequest(tenant) })
	}
}

func (s *simulation) startRouter(r *simRouter) {
	s.incarnation++
	r.down = false
	r.admission = NewAdmission(s.rule, s.incarnation)
	r.admission.SetRouters(s.now, s.liveRouters(s), s.left)
	r.admission.SetLimits(s.limits)
	if r.keeper {
		r.admission.SetKeptFloors(r.name, r.disk)
	}
	s.scheduleReport(r, s.now+time.Duration(s.random.Int64N(int64(simReportInterval))))
}

// leave stops a router for good: it tells the coordinator that it leaves, and the other routers know of it.
func (s *simulation) leave(r *simRouter) {
	report := r.admission.NextReport(s.now)
	report.Leaving = true
	s.send(r, func() {
		if s.coordinator != nil && !s.frozen {
			s.coordinator.HandleReport(s.now, r.name, report)
		}
	})
	r.down = true
	s.left++
}

func (s *simulation) startCoordinator() {
	s.term++
	s.frozen = false
	s.coordinator = NewCoordinator(s.now, s.rule, s.term)
	s.coordinator.SetRouters(s.now, s.liveRouters(s), s.left)
	s.coordinator.SetLimits(s.now, s.limits)
	var keepers []string
	for _, r := range s.routers {
		if r.keeper {
			keepers = append(keepers, r.name)
		}
	}
	s.coordinator.SetFloorKeepers(keepers)
}

func (s *simulation) scheduleRequest(tenant simTenant) {
	rate := tenant.requests * tenant.factor(s.now)
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.at(s.now+gap, func() {
		s.request(tenant)
		s.scheduleRequest(tenant)
	})
}

func (s *simulation) request(tenant simTenant) {
	r := s.pickRouter()
	if r == nil {
		return
	}
	amount := tenant.size(s.random)
	ok, _ := r.admission.Admit(s.now, tenant.name, amount)
	s.requests = append(s.requests, simRequest{at: s.now, tenant: tenant.name, amount: amount, admitted: ok})
	s.reportIfUrgent(r)
}

func (s *simulation) reportIfUrgent(r *simRouter) {
	if r.admission.TakeUrgent() {
		s.scheduleReport(r, max(s.now, r.lastReportAt+simUrgentInterval))
	}
}

func (s *simulation) pickRouter() *simRouter {
	total := 0.0
	for _, r := range s.routers {
		if !r.down {
			total += r.weight
		}
	}
	pick := s.random.Float64() * total
	for _, r := range s.routers {
		if r.down {
			continue
		}
		pick -= r.weight
		if pick <= 0 {
			return r
		}
	}
	return nil
}

func (s *simulation) scheduleReport(r *simRouter, at time.Duration) {
	if r.nextReportAt > s.now && r.nextReportAt <= at {
		return
	}
	r.nextReportAt = at
	admission := r.admission
	s.at(at, func() {
		if r.down || r.admission != admission || r.nextReportAt != at {
			return
		}
		s.report(r)
	})
}

func (s *simulation) report(r *simRouter) {
	r.lastReportAt = s.now
	r.admission.SetRouters(s.now, s.liveRouters(s), s.left)
	report := r.admission.NextReport(s.now)
	admission := r.admission
	s.scheduleReport(r, s.now+simReportInterval)
	s.send(r, func() {
		if s.coordinator == nil || s.frozen {
			return
		}
		s.coordinator.SetRouters(s.now, s.liveRouters(s), s.left)
		answer := s.coordinator.HandleReport(s.now, r.name, report)
		s.send(r, func() {
			if !r.down && r.admission == admission {
				admission.ApplyAnswer(s.now, answer)
				s.keepFloors(r)
				s.reportIfUrgent(r)
			}
		})
	})
}

// keepFloors writes the floor table that the coordinator wants stored, if there is one.
func (s *simulation) keepFloors(r *simRouter) {
	admission := r.admission
	table := admission.PendingFloors()
	if table == nil {
		return
	}
	s.at(s.now+simDiskDelay, func() {
		if r.down || r.admission != admission || !table.After(r.disk) {
			return
		}
		r.disk = *table
		admission.SetKeptFloors(r.name, r.disk)
		s.scheduleReport(r, max(s.now, r.lastReportAt+simUrgentInterval))
	})
}

// send delivers a message after a delay, unless it is lost.
func (s *simulation) send(r *simRouter, deliver func()) {
	if r.partitioned || s.random.Float64() < s.lossRate {
		return
	}
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	s.at(s.now+delay, func() {
		if !r.partitioned {
			deliver()
		}
	})
}

func (s *simulation) run(until time.Duration) {
	for s.queue.Len() > 0 && s.queue.events[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// result is the outcome for one tenant.
type result struct {
	// reference is the amount that a single token bucket of rate and burst would admit, and served the amount admitted,
	// at most the reference.
	reference, served float64
	// asked is the amount of all requests, admitted that of the admitted ones.
	asked, admitted float64
	// worst is the greatest amount within a window, as a fraction of the rule's bound.
	worst float64
}

func (r result) servedFraction() float64 { return r.served / r.reference }

// results evaluates the requests of all tenants.
func (s *simulation) results() map[string]result {
	results := map[string]result{}
	for _, tenant := range s.tenants {
		results[tenant.name] = s.evaluate(tenant.name)
	}
	return results
}

func (s *simulation) evaluate(tenant string) result {
	limit := s.limits[tenant]
	var r result
	bucket := referenceBucket{level: limit.Burst, limit: limit}
	var window []simRequest
	inWindow := 0.0
	for _, request := range s.requests {
		if request.tenant != tenant {
			continue
		}
		r.asked += request.amount
		if bucket.take(request.at, request.amount) {
			r.reference += request.amount
		}
		if !request.admitted {
			continue
		}
		r.admitted += request.amount
		window = append(window, request)
		inWindow += request.amount
		for request.at-window[0].at >= s.rule.Window {
			inWindow -= window[0].amount
			window = window[1:]
		}
		r.worst = max(r.worst, inWindow/s.rule.bound(limit))
	}
	r.served = min(r.admitted, r.reference)
	return r
}

// referenceBucket is a single token bucket for the whole fleet.
type referenceBucket struct {
	level float64
	at    time.Duration
	limit Limit
}

func (b *referenceBucket) take(now time.Duration, amount float64) bool {
	b.level = min(b.limit.Burst, b.level+b.limit.PerSecond*(now-b.at).Seconds())
	b.at = now
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}
