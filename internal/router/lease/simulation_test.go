package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// simulation runs candidates and grantors with clocks that drift, over a network that delays, loses and duplicates messages.
// After each event it checks, in simulated real time, that no two candidates hold the lease.
type simulation struct {
	t      rapid.TB
	random *rand.Rand
	// reliable makes the network deliver each message once, without long delays.
	reliable bool
	// lowLatency bounds the delays to 5 ms, as in a network within one site.
	lowLatency bool
	config     Config
	now        time.Duration
	queue      []event
	lastOrder  int
	candidates []*simulatedCandidate
	grantors   map[string]*simulatedGrantor
	// partition holds the processes on one side of a network partition; empty means that there is none.
	partition     map[string]bool
	voters        []string
	previous      []string
	setsChangedAt time.Duration
	incarnations  int
	// leases counts the leases seen, highestTerm is the highest term among them.
	leases      int
	holder      string
	holderTerm  Term
	highestTerm Term
}

// event is a scheduled event. Those at the same time run by order.
type event struct {
	at    time.Duration
	order int
	run   func()
}

func (s *simulation) Len() int { return len(s.queue) }
func (s *simulation) Less(i, j int) bool {
	if s.queue[i].at != s.queue[j].at {
		return s.queue[i].at < s.queue[j].at
	}
	return s.queue[i].order < s.queue[j].order
}
func (s *simulation) Swap(i, j int) { s.queue[i], s.queue[j] = s.queue[j], s.queue[i] }
func (s *simulation) Push(x any)    { s.queue = append(s.queue, x.(event)) }
func (s *simulation) Pop() any {
	last := s.queue[len(s.queue)-1]
	s.queue = s.queue[:len(s.queue)-1]
	return last
}

// clock is a process's clock, which has its own speed and origin.
type clock struct {
	speed  float64
	origin time.Duration
}

func (c clock) read(now time.Duration) time.Duration {
	return c.origin + time.Duration(float64(now)*c.speed)
}

type simulatedCandidate struct {
	name      string
	clock     clock
	candidate *Candidate
	paused    bool
	// deferred are the events that arrived while the candidate was paused.
	deferred []func()
	// stale candidates are not told of changes of the grantor sets.
	stale bool
	// ineligible candidates do not compete.
	ineligible bool
}

type simulatedGrantor struct {
	name    string
	clock   clock
	grantor *Grantor
	// processCandidate is the candidate in the same process; nil if there is none.
	processCandidate *simulatedCandidate
}

const (
	modelDuration = 2 * time.Second
	modelDrift    = 0.1
	// slowest and fastest bound the speeds of clocks, which differ by less than modelDrift.
	slowest = 0.96
	fastest = 1.04
	// minJointDuration is the minimum time between two steps of a change of the grantor sets, maxUpdateDelay the maximum delay
	// until a grantor learns of one.
	minJointDuration = 300 * time.Millisecond
	maxUpdateDelay   = modelDuration / 2
)

func newSimulation(t rapid.TB, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), config: Config{Duration: modelDuration, Drift: modelDrift}, grantors: map[string]*simulatedGrantor{}}
	for i := range 6 {
		name := fmt.Sprintf("grantor-%d", i)
		s.grantors[name] = &simulatedGrantor{name: name, clock: s.newClock()}
	}
	s.voters = []string{"grantor-0", "grantor-1", "grantor-2"}
	for _, name := range s.grantorNames() {
		s.startGrantor(s.grantors[name])
	}
	for i := range 3 {
		s.candidates = append(s.candidates, &simulatedCandidate{name: fmt.Sprintf("candidate-%d", i), clock: s.newClock()})
		s.startCandidate(s.candidates[i])
	}
	return s
}

func (s *simulation) grantorNames() []string {
	names := make([]string, 0, len(s.grantors))
	for name := range s.grantors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) newClock() clock {
	speed := slowest + (fastest-slowest)*s.random.Float64()
	return clock{speed: speed, origin: time.Duration(s.random.IntN(1000)) * time.Second}
}

func (s *simulation) startGrantor(g *simulatedGrantor) {
	s.incarnations++
	g.grantor = NewGrantor(g.clock.read(s.now), s.config, uint64(s.incarnations))
	g.grantor.SetGrantors(s.voters, s.previous)
}

func (s *simulation) startCandidate(c *simulatedCandidate) {
	s.createCandidate(c)
	s.scheduleTick(c, c.candidate)
}

func (s *simulation) createCandidate(c *simulatedCandidate) {
	s.incarnations++
	c.paused = false
	c.stale = false
	c.deferred = nil
	c.candidate = NewCandidate(c.clock.read(s.now), c.name, s.config, s.random.Float64)
	c.candidate.SetGrantors(c.clock.read(s.now), s.voters, s.previous)
}

// termSeed reads a wall clock in milliseconds, which makes terms increase over restarts.
func (s *simulation) termSeed() Term { return Term(s.now / time.Millisecond) }

func (s *simulation) schedule(after time.Duration, run func()) {
	s.lastOrder++
	heap.Push(s, event{at: s.now + after, order: s.lastOrder, run: run})
}

// scheduleTick ticks a candidate repeatedly until a new process replaces it.
func (s *simulation) scheduleTick(c *simulatedCandidate, candidate *Candidate) {
	now := c.clock.read(s.now)
	wait := max(candidate.NextAt(now)-now, time.Millisecond)
	if c.ineligible {
		wait = modelDuration
	}
	s.schedule(min(wait, modelDuration/4), func() {
		if c.candidate != candidate {
			return
		}
		s.deliver(c, func() {
			s.tick(c, candidate)
			s.scheduleTick(c, candidate)
		})
	})
}

// deliver runs an event at a candidate, or defers it while the candidate is paused.
func (s *simulation) deliver(c *simulatedCandidate, run func()) {
	if c.paused {
		c.deferred = append(c.deferred, run)
		return
	}
	run()
}

func (s *simulation) tick(c *simulatedCandidate, candidate *Candidate) {
	if c.ineligible {
		return
	}
	for _, message := range candidate.Tick(c.clock.read(s.now), s.termSeed()) {
		s.send(c, candidate, message)
	}
}

func (s *simulation) send(c *simulatedCandidate, candidate *Candidate, message Message) {
	g := s.grantors[message.To]
	if s.isSeparated(c.name, g.name) {
		return
	}
	for range s.drawCopies() {
		s.schedule(s.drawDelay(), func() { s.deliverRequest(g, func() { s.handle(c, candidate, g, message.Request) }) })
	}
}

// isSeparated reports whether two processes are on different sides of the partition.
func (s *simulation) isSeparated(from, to string) bool {
	return len(s.partition) > 0 && s.partition[from] != s.partition[to]
}

// deliverRequest runs the arrival of a request at a grantor. It is deferred if the grantor's process is paused.
func (s *simulation) deliverRequest(g *simulatedGrantor, arrive func()) {
	if g.processCandidate != nil {
		s.deliver(g.processCandidate, arrive)
		return
	}
	arrive()
}

func (s *simulation) handle(c *simulatedCandidate, candidate *Candidate, g *simulatedGrantor, request Request) {
	response := s.answer(g, request)
	if s.isSeparated(c.name, g.name) {
		return
	}
	for range s.drawCopies() {
		s.schedule(s.drawDelay(), func() { s.respond(c, candidate, g.name, response) })
	}
}

func (s *simulation) answer(g *simulatedGrantor, request Request) Response {
	now := g.clock.read(s.now)
	if request.Probe {
		return g.grantor.HandleProbe(now, request, g.processCandidate.candidate.Idle(now, request))
	}
	if request.Release && g.processCandidate != nil {
		g.processCandidate.candidate.RetrySoon(now, request)
	}
	return g.grantor.Handle(now, request)
}

func (s *simulation) respond(c *simulatedCandidate, candidate *Candidate, from string, response Response) {
	if c.candidate != candidate {
		return
	}
	s.deliver(c, func() {
		now := c.clock.read(s.now)
		candidate.Receive(now, from, response)
		if candidate.NextAt(now) <= now {
			s.tick(c, candidate)
		}
	})
}

// drawCopies draws how often a message arrives: mostly once.
func (s *simulation) drawCopies() int {
	if s.reliable {
		return 1
	}
	switch s.random.IntN(20) {
	case 0, 1:
		return 0
	case 2:
		return 2
	default:
		return 1
	}
}

// drawDelay draws a message's delay: mostly short, sometimes longer than a lease.
func (s *simulation) drawDelay() time.Duration {
	if s.lowLatency {
		return time.Duration(s.random.IntN(1000)) * 5 * time.Microsecond
	}
	if !s.reliable && s.random.IntN(10) == 0 {
		return time.Duration(s.random.IntN(1000)) * 4 * time.Millisecond
	}
	return time.Duration(s.random.IntN(1000)) * 100 * time.Microsecond
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(s).(event)
		s.now = next.at
		next.run()
		s.check()
	}
	s.now = until
	s.check()
}

// check fails if two candidates hold the lease. Paused ones count too: a paused holder's lease must have expired when it
// resumes.
func (s *simulation) check() {
	var holders []string
	for _, c := range s.candidates {
		term, held := c.candidate.Held(c.clock.read(s.now))
		if !held {
			continue
		}
		holders = append(holders, c.name)
		s.checkTerm(c.name, term)
	}
	if len(holders) > 1 {
		s.t.Fatalf("at %v the lease is held by %v", s.now, holders)
	}
}

// checkTerm fails unless each new lease has a higher term than all earlier ones.
func (s *simulation) checkTerm(name string, term Term) {
	if name == s.holder && term == s.holderTerm {
		return
	}
	if term <= s.highestTerm {
		s.t.Fatalf("%s holds the lease under term %d after term %d", name, term, s.highestTerm)
	}
	s.leases++
	s.holder, s.holderTerm, s.highestTerm = name, term, term
}

// injectFault pauses or restarts a process, changes the grantor sets, or the like.
func (s *simulation) injectFault() {
	c := s.candidates[s.random.IntN(len(s.candidates))]
	names := s.grantorNames()
	g := s.grantors[names[s.random.IntN(len(names))]]
	switch s.random.IntN(8) {
	case 0:
		c.paused = true
	case 1, 2:
		s.resume(c)
	case 3:
		s.startCandidate(c)
	case 4:
		s.startGrantor(g)
	case 5:
		s.deliver(c, func() { c.candidate.Resign(c.clock.read(s.now)) })
	case 6:
		s.changeSets()
	case 7:
		c.stale = !c.stale
		s.updateCandidate(c)
	}
}

func (s *simulation) resume(c *simulatedCandidate) {
	c.paused = false
	deferred := c.deferred
	c.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// changeSets begins a joint change of the grantor sets, or completes the one in progress.
func (s *simulation) changeSets() {
	if s.now-s.setsChangedAt < minJointDuration {
		return
	}
	if len(s.previous) > 0 {
		s.previous = nil
	} else {
		s.previous = s.voters
		s.voters = s.drawVoters()
	}
	s.setsChangedAt = s.now
	for _, c := range s.candidates {
		s.updateCandidate(c)
	}
	voters, previous := s.voters, s.previous
	for _, name := range s.grantorNames() {
		g := s.grantors[name]
		late := time.Duration(s.random.IntN(1000)) * maxUpdateDelay / 1000
		s.schedule(late, func() { g.grantor.SetGrantors(voters, previous) })
	}
}

func (s *simulation) drawVoters() []string {
	names := s.grantorNames()
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:3]
}

func (s *simulation) updateCandidate(c *simulatedCandidate) {
	if c.stale {
		return
	}
	voters, previous := s.voters, s.previous
	s.deliver(c, func() { c.candidate.SetGrantors(c.clock.read(s.now), voters, previous) })
}
