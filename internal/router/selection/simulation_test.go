package selection

import (
	"cmp"
	"container/heap"
	"container/list"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/balance"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
)

// The simulation plays several routers, each with its own Selector, against model instances that work in batches, read
// prompts in pieces, keep prefixes and report late. It compares load figures and widths of the pick.

// simSetup is one run.
type simSetup struct {
	options   Options
	instances int
	slots     int
	routers   int
	perSecond float64
	longShare float64 // of requests: few prompt tokens, a long answer
	hotShare  float64 // of the other requests: one chain
	length    time.Duration
	burst     float64 // factor of the rate in every second two seconds
	noHeader  bool
	plain     bool // instances without an engine: slots work side by side
	seed      uint64
}

// simResult is what a run showed after its first quarter.
type simResult struct {
	requests   int
	inAim      int
	firstMs    []float64
	readTokens float64 // of shared blocks that were in use anywhere not long ago
	rejected   int
	busiest    float64 // tokens read by the busiest instance against the mean
}

func (r *simResult) aimShare() float64 { return float64(r.inAim) / float64(max(1, r.requests)) }

func (r *simResult) percentile(share float64) float64 {
	if len(r.firstMs) == 0 {
		return math.NaN()
	}
	return r.firstMs[int(share*float64(len(r.firstMs)-1))]
}

const (
	simStepMs        = 0.6
	simStepPerSlotMs = 0.02
	simTokensPerMs   = 300.0
	simChunk         = 2048
	simCapacity      = 1_000_000
	simReportLag     = 200 * time.Millisecond
	simAim           = 250 * time.Millisecond
	simAgain         = 5500 * time.Millisecond
	simChains        = 742
	simRoots         = 4
	simRootTokens    = 2520
	simChainTokens   = 3780
	simQueue         = 192
	simPlainMs       = 15.0
	simHop           = 900 * time.Microsecond
)

type simRequest struct {
	pick    *Pick
	router  int
	arrived time.Duration
	blocks  []prefixcache.Block
	prompt  int
	output  int
	toRead  int
	made    int
}

type simInstance struct {
	info     *instances.Instance
	cache    *simCache
	queue    []*simRequest // waiting or being read, in order
	running  []*simRequest
	stepping bool
	read     float64
	history  []simLoad
}

type simLoad struct {
	at              time.Duration
	queued, running int
}

// simCache is a plain LRU of blocks by tokens.
type simCache struct {
	order  *list.List
	byID   map[uint64]*list.Element
	tokens int
}

func newSimCache() *simCache { return &simCache{order: list.New(), byID: map[uint64]*list.Element{}} }

func (c *simCache) missing(blocks []prefixcache.Block) []prefixcache.Block {
	for i, block := range blocks {
		if c.byID[block.ID] == nil {
			return blocks[i:]
		}
	}
	return nil
}

func (c *simCache) use(blocks []prefixcache.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := c.byID[blocks[i].ID]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.byID[blocks[i].ID] = c.order.PushFront(blocks[i])
		c.tokens += blocks[i].Tokens
	}
	for c.tokens > simCapacity {
		last := c.order.Back()
		block := c.order.Remove(last).(prefixcache.Block)
		delete(c.byID, block.ID)
		c.tokens -= block.Tokens
	}
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	setup     simSetup
	rng       *rand.Rand
	now       time.Duration
	events    simEvents
	order     int
	routers   []*Selector
	machines  map[string]*simInstance
	ordered   []*simInstance
	lastUse   map[uint64]time.Duration // of shared blocks, anywhere
	nextOwnID uint64
	result    simResult
}

func simulate(setup simSetup) *simResult {
	s := &simulation{
		setup: setup, rng: rand.New(rand.NewPCG(setup.seed, 1)), machines: map[string]*simInstance{},
		lastUse: map[uint64]time.Duration{}, nextOwnID: 1 << 32,
	}
	s.build()
	s.at(0, s.arrive)
	for _, router := range s.routers {
		s.at(0, func() { s.pollLoop(router) })
	}
	for _, machine := range s.ordered {
		s.at(0, func() { s.remember(machine) })
	}
	for len(s.events) > 0 && s.now < setup.length {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	slices.Sort(s.result.firstMs)
	mean, most := 0.0, 0.0
	for _, machine := range s.ordered {
		mean += machine.read / float64(len(s.ordered))
		most = max(most, machine.read)
	}
	if mean > 0 {
		s.result.busiest = most / mean
	}
	return &s.result
}

func (s *simulation) at(when time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: when, order: s.order, run: run})
}

func (s *simulation) clock() time.Time { return testStart.Add(s.now) }

func (s *simulation) build() {
	var all []*instances.Instance
	for i := range s.setup.instances {
		info := &instances.Instance{
			ID: fmt.Sprintf("i-%d-%d", s.setup.seed, i), Backend: "b", Zone: fmt.Sprint(i % 3),
			Slots: s.setup.slots, State: protocol.StateReady,
		}
		machine := &simInstance{info: info, cache: newSimCache()}
		all = append(all, info)
		s.machines[info.ID] = machine
		s.ordered = append(s.ordered, machine)
	}
	snapshot := instances.NewSnapshot(all)
	for i := range s.setup.routers {
		options := s.setup.options
		options.Zone = fmt.Sprint(i % 3)
		options.Random = rand.NewPCG(s.setup.seed, uint64(i)+2).Uint64
		options.Clock = s.clock
		options.Routers = func() int { return s.setup.routers }
		options.Poll = func(_ context.Context, instance *instances.Instance) (*protocol.Report, error) {
			return s.report(s.machines[instance.ID]), nil
		}
		if s.setup.burst > 1 && s.setup.options.Detector == nil {
			options.Detector = simDetector{s}
		}
		router := New(options)
		router.SetBackends(map[string]BackendConfig{"b": {Slots: s.setup.slots, KVCapacity: simCapacity, HasEngine: !s.setup.plain}})
		router.SetInstances(snapshot)
		s.routers = append(s.routers, router)
	}
}

// simDetector knows the bursts, a little late.
type simDetector struct{ s *simulation }

func (simDetector) Arrive(time.Duration) {}
func (d simDetector) Evaluate(time.Duration) bool {
	return d.s.bursting(d.s.now) && d.s.bursting(d.s.now-200*time.Millisecond)
}

func (s *simulation) bursting(at time.Duration) bool {
	return s.setup.burst > 1 && int(at.Seconds())%4 >= 2
}

func (s *simulation) rate() float64 {
	if s.bursting(s.now) {
		return s.setup.perSecond * s.setup.burst
	}
	return s.setup.perSecond
}

func (s *simulation) pollLoop(router *Selector) {
	for _, due := range router.takeDue(s.clock()) {
		router.poll(context.Background(), due)
	}
	s.at(s.now+router.options.Window/ticksPerWindow, func() { s.pollLoop(router) })
}

func (s *simulation) remember(machine *simInstance) {
	const every = 20 * time.Millisecond
	machine.history = append(machine.history, simLoad{s.now, len(machine.queue), len(machine.running)})
	if keep := int(simReportLag / every); len(machine.history) > keep {
		machine.history = machine.history[len(machine.history)-keep:]
	}
	s.at(s.now+every, func() { s.remember(machine) })
}

func (s *simulation) report(machine *simInstance) *protocol.Report {
	old := machine.history[0]
	return &protocol.Report{Queued: old.queued, Running: old.running, KVTotal: simCapacity}
}

func (s *simulation) arrive() {
	s.at(s.now+time.Duration(s.rng.ExpFloat64()/s.rate()*float64(time.Second)), s.arrive)
	request := s.makeRequest()
	router := s.routers[request.router]
	pick, err := router.Select(Request{
		Backend: "b", Model: "m", PromptTokens: request.prompt, OutputTokens: request.output,
		Prefix: request.blocks, Now: s.clock(),
	})
	if err != nil {
		s.result.rejected++
		return
	}
	request.pick = pick
	machine := s.machines[pick.Instance().ID]
	hop := simHop
	if machine.info.Zone == router.options.Zone {
		hop /= 9
	}
	s.at(s.now+hop, func() { s.enter(machine, request) })
}

func (s *simulation) makeRequest() *simRequest {
	s.nextOwnID++
	request := &simRequest{router: s.rng.IntN(s.setup.routers), arrived: s.now}
	if s.setup.plain {
		return request
	}
	if s.rng.Float64() < s.setup.longShare {
		root, chain := s.rng.Uint64N(20), s.rng.Uint64N(49)
		request.blocks = []prefixcache.Block{{ID: 1<<20 + root, Tokens: 48}, {ID: 1<<21 + chain, Tokens: 32}, {ID: s.nextOwnID, Tokens: 141}}
		request.output = 3000
	} else {
		chain := uint64(float64(simChains) * math.Pow(s.rng.Float64(), 1/0.7)) // zipf of skew 0.3
		if s.rng.Float64() < s.setup.hotShare {
			chain = 0
		}
		own := min(39600, int(1750*math.Exp(s.rng.NormFloat64())))
		request.blocks = []prefixcache.Block{
			{ID: chain % simRoots, Tokens: simRootTokens},
			{ID: 1000 + chain, Tokens: simChainTokens},
			{ID: s.nextOwnID, Tokens: own},
		}
		request.output = 52
	}
	request.prompt = prefixcache.Tokens(request.blocks)
	return request
}

func (s *simulation) enter(machine *simInstance, request *simRequest) {
	if len(machine.queue)+len(machine.running) >= s.setup.slots+simQueue {
		s.result.rejected++
		request.pick.Done(s.clock(), Outcome{Result: Rejected})
		return
	}
	machine.queue = append(machine.queue, request)
	if s.setup.plain {
		s.startPlain(machine)
		return
	}
	request.toRead = -1
	if !machine.stepping {
		s.step(machine)
	}
}

// step reads a piece of the first prompts in the queue, makes a token for each running request, and goes on after the
// time that this takes.
func (s *simulation) step(machine *simInstance) {
	machine.stepping = len(machine.queue)+len(machine.running) > 0
	if !machine.stepping {
		return
	}
	tookMs := simStepMs + simStepPerSlotMs*float64(len(machine.running))
	budget := simChunk
	begun := 0
	for i := 0; i < len(machine.queue) && budget > 0 && len(machine.running)+begun < s.setup.slots; i++ {
		request := machine.queue[i]
		if request.toRead < 0 {
			s.begin(machine, request)
		}
		piece := min(budget, request.toRead)
		request.toRead -= piece
		budget -= piece
		tookMs += float64(piece) / simTokensPerMs
		if request.toRead == 0 {
			begun++
		}
	}
	s.at(s.now+milliseconds(tookMs), func() { s.finishStep(machine, begun) })
}

func (s *simulation) begin(machine *simInstance, request *simRequest) {
	missing := machine.cache.missing(request.blocks)
	request.toRead = max(1, prefixcache.Tokens(missing))
	machine.read += float64(request.toRead)
	counted := s.now > s.setup.length/4
	for _, block := range missing {
		if used, known := s.lastUse[block.ID]; known && s.now-used < simAgain && counted {
			s.result.readTokens += float64(block.Tokens)
		}
	}
	for _, block := range prefixcache.Shared(request.blocks) {
		s.lastUse[block.ID] = s.now
	}
	machine.cache.use(request.blocks)
}

func (s *simulation) finishStep(machine *simInstance, begun int) {
	still := machine.running[:0]
	for _, request := range machine.running {
		request.made++
		if request.made < request.output {
			still = append(still, request)
			continue
		}
		request.pick.Done(s.clock(), Outcome{Result: Succeeded, Total: s.now - request.arrived})
	}
	machine.running = still
	first := machine.queue[:begun]
	machine.running = append(machine.running, first...)
	machine.queue = slices.Delete(machine.queue, 0, begun)
	for _, request := range machine.running[len(still):] {
		s.firstToken(machine, request)
	}
	s.step(machine)
}

func (s *simulation) firstToken(machine *simInstance, request *simRequest) {
	request.pick.FirstByte(s.clock())
	if !s.setup.noHeader {
		request.pick.ReportLoad(s.clock(), Load{Running: len(machine.running), Waiting: len(machine.queue), Slots: s.setup.slots})
	}
	if request.arrived < s.setup.length/4 {
		return
	}
	took := s.now - request.arrived
	s.result.requests++
	s.result.firstMs = append(s.result.firstMs, float64(took)/float64(time.Millisecond))
	if took <= simAim {
		s.result.inAim++
	}
}

// startPlain has waiting requests begin while there are slots.
func (s *simulation) startPlain(machine *simInstance) {
	for len(machine.queue) > 0 && len(machine.running) < s.setup.slots {
		request := machine.queue[0]
		machine.queue = machine.queue[1:]
		machine.running = append(machine.running, request)
		s.at(s.now+milliseconds(simPlainMs*s.rng.ExpFloat64()), func() { s.finishPlain(machine, request) })
	}
}

func (s *simulation) finishPlain(machine *simInstance, request *simRequest) {
	at := slices.Index(machine.running, request)
	machine.running = slices.Delete(machine.running, at, at+1)
	s.startPlain(machine)
	s.firstToken(machine, request)
	request.pick.Done(s.clock(), Outcome{Result: Succeeded})
}

// simArm is one way to pick.
type simArm struct {
	name   string
	change func(*simSetup)
}

func withWidths(widths balance.Widths) func(*simSetup) {
	return func(s *simSetup) { s.options.Widths = widths }
}

func withWeights(change func(*balance.Weights)) func(*simSetup) {
	return func(s *simSetup) {
		changed := balance.DefaultWeights
		if s.options.Weights != nil {
			changed = *s.options.Weights
		}
		change(&changed)
		s.options.Weights = &changed
	}
}

func withHomes(shares HomeShares) func(*simSetup) {
	return func(s *simSetup) { s.options.Homes = &shares }
}

func withAll(changes ...func(*simSetup)) func(*simSetup) {
	return func(s *simSetup) {
		for _, change := range changes {
			change(s)
		}
	}
}

func simArms() []simArm {
	readAgain := func(x float64) func(*simSetup) {
		return withWeights(func(w *balance.Weights) { w.ReadAgain = x })
	}
	occupancy := func(x float64) func(*simSetup) {
		return withWeights(func(w *balance.Weights) { w.EngineOccupancy = x })
	}
	return []simArm{
		{"uniform over all", withWidths(balance.Widths{Rest: 1000})},
		{"queue and slots alone", withAll(withHomes(HomeShares{}), withWeights(func(w *balance.Weights) { w.IgnorePrompt = true }))},
		{"with prompts, no homes", withHomes(HomeShares{})},
		{"first home alone", withHomes(HomeShares{First: 1})},
		{"second home 0.5", withHomes(HomeShares{First: 1, Second: 0.5})},
		{"second home 0.8", withHomes(HomeShares{First: 1, Second: 0.8})},
		{"default", func(*simSetup) {}},
		{"ths 2", withWidths(balance.Widths{Rest: 2, PrefixBurst: 2})},
		{"ths 3, thl half", withWidths(balance.Widths{Rest: 3, BurstShare: 0.5, PrefixBurst: 3})},
		{"thl a quarter", withWidths(balance.Widths{Rest: 1, BurstShare: 0.25, PrefixBurst: 2})},
		{"thl all", withWidths(balance.Widths{Rest: 1, BurstShare: 0.5, PrefixBurst: 12})},
		{"thl 1", withWidths(balance.Widths{Rest: 1, PrefixBurst: 1})},
		{"thl 6 (half)", withWidths(balance.Widths{Rest: 1, BurstShare: 0.5, PrefixBurst: 6})},
		{"thl 3", withWidths(balance.Widths{Rest: 1, BurstShare: 0.5, PrefixBurst: 3})},
		{"D 0.25 s", func(s *simSetup) { s.options.Window = 250 * time.Millisecond }},
		{"D 2 s", func(s *simSetup) { s.options.Window = 2 * time.Second }},
		{"read again 0", readAgain(0)},
		{"read again 1", readAgain(1)},
		{"read again 3", readAgain(3)},
		{"read again 6", readAgain(6)},
		{"read again 20", readAgain(20)},
		{"occupancy 0", occupancy(0)},
		{"occupancy 0.2", occupancy(0.2)},
		{"occupancy 1", occupancy(1)},
		{"hop 5", withWeights(func(w *balance.Weights) { w.ZoneHopMs = 5 })},
		{"no load header", func(s *simSetup) { s.noHeader = true }},
		{"no load header, D 0.25 s", func(s *simSetup) { s.noHeader, s.options.Window = true, 250*time.Millisecond }},
	}
}

type simScene struct {
	name  string
	setup simSetup
}

func simScenes(length time.Duration) []simScene {
	base := simSetup{instances: 12, slots: 64, routers: 9, perSecond: 210, longShare: 0.06, length: length}
	vary := func(name string, change func(*simSetup)) simScene {
		changed := base
		change(&changed)
		return simScene{name, changed}
	}
	return []simScene{
		vary("210/s", func(*simSetup) {}),
		vary("600/s", func(s *simSetup) { s.perSecond = 600 }),
		vary("bursts 210/s x 3", func(s *simSetup) { s.burst = 3 }),
		vary("hot chain 28%", func(s *simSetup) { s.hotShare, s.perSecond = 0.28, 300 }),
		vary("hot chain 28%, 700/s", func(s *simSetup) { s.hotShare, s.perSecond = 0.28, 700 }),
		vary("plain, 62% busy", func(s *simSetup) { s.plain, s.slots, s.instances, s.perSecond = true, 6, 12, 3000 }),
		vary("plain, 85% busy", func(s *simSetup) { s.plain, s.slots, s.instances, s.perSecond = true, 6, 12, 4080 }),
		vary("plain, bursts x 3", func(s *simSetup) {
			s.plain, s.slots, s.instances, s.perSecond, s.burst = true, 6, 12, 1300, 3
		}),
		vary("plain, 3 instances, 50/s", func(s *simSetup) { s.plain, s.slots, s.instances, s.perSecond = true, 6, 3, 50 }),
		vary("8 slots", func(s *simSetup) { s.slots, s.instances, s.perSecond = 8, 24, 250 }),
	}
}

// BenchmarkLoadFigures is the comparison that the defaults were chosen by; one run each, "-benchtime 1x", is enough.
func BenchmarkLoadFigures(b *testing.B) {
	for _, scene := range simScenes(30 * time.Second) {
		for _, arm := range simArms() {
			b.Run(scene.name+"/"+arm.name, func(b *testing.B) {
				setup := scene.setup
				setup.seed = 7
				arm.change(&setup)
				var r *simResult
				for b.Loop() {
					r = simulate(setup)
				}
				b.ReportMetric(r.aimShare(), "in-aim")
				b.ReportMetric(r.percentile(0.5), "p50-ms")
				b.ReportMetric(r.percentile(0.9), "p90-ms")
				b.ReportMetric(r.percentile(0.99), "p99-ms")
				b.ReportMetric(r.readTokens/float64(max(1, r.requests)), "read-again/request")
				b.ReportMetric(r.busiest, "busiest/mean")
				b.ReportMetric(float64(r.rejected), "rejected")
			})
		}
	}
}

// testLength is the length of the shorter tests.
const testLength = 5 * time.Second

// TestHomesSpareReading keeps what the comparison has shown: without homes, routers that see a small part of the requests
// have shared blocks read again all the time, and a load that the homes bear is too much.
func TestHomesSpareReading(t *testing.T) {
	calm := simScenes(8 * time.Second)[0].setup
	withHomesResult := simulate(calm)
	withHomes(HomeShares{})(&calm)
	without := simulate(calm)
	assert.Assert(t, withHomesResult.readTokens < 0.1*without.readTokens, "%v, %v", withHomesResult.readTokens, without.readTokens)
	assert.Assert(t, withHomesResult.percentile(0.5) < 0.7*without.percentile(0.5))

	loaded := simScenes(8 * time.Second)[1].setup
	assert.Assert(t, simulate(loaded).aimShare() > 0.98)
	withHomes(HomeShares{})(&loaded)
	assert.Assert(t, simulate(loaded).aimShare() < 0.8)
}

func TestHotPrefixDoesNotDrownItsHome(t *testing.T) {
	hot := simScenes(testLength)[4].setup
	assert.Equal(t, hot.hotShare, 0.28)
	r := simulate(hot)
	assert.Assert(t, r.aimShare() > 0.95, "%v", r.aimShare())
	assert.Assert(t, r.busiest < 2, "%v", r.busiest)
}

// TestBurstsReadLittleAgain: a burst widens the pick to those that keep the prefix alone, and a wider pick would read much again.
func TestBurstsReadLittleAgain(t *testing.T) {
	inService := simScenes(testLength)[2].setup
	narrow, wide := inService, inService
	withWidths(balance.Widths{Rest: 1})(&narrow)
	withWidths(balance.Widths{Rest: 6})(&wide)
	widened, unwidened := simulate(inService), simulate(narrow)
	assert.Assert(t, widened.aimShare() > 0.98, "%v", widened.aimShare())
	assert.Assert(t, widened.readTokens < 1.1*unwidened.readTokens, "%v, %v", widened.readTokens, unwidened.readTokens)
	assert.Assert(t, simulate(wide).readTokens > 1.5*widened.readTokens)
}
