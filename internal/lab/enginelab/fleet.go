package enginelab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/sightings"
)

// Setup is one run.
type Setup struct {
	Engine    EngineSpec
	Instances int
	Zones     int
	Routers   int
	Clients   int // each sends all its requests to one router
	Kinds     []Kind
	Faults    []Fault
	Length    time.Duration
	CountFrom time.Duration // requests that arrive earlier are not counted, nor is what is read earlier
	// SightingsAgain is the time within which reading a shared block again is waste; 0: routers don't tell each other where
	// blocks are sent, and reading again is always waste.
	SightingsAgain time.Duration
	Selection      selection.Options // Zone, clock and messages are the lab's
	Seed           uint64
}

const (
	backendName    = "engines"
	modelName      = "m"
	reportEvery    = time.Second
	reportLag      = 200 * time.Millisecond
	sightingsDelay = 100 * time.Millisecond
	sameZoneHop    = 200 * time.Microsecond
	otherZoneHop   = 900 * time.Microsecond
)

var epoch = time.Unix(1_000_000, 0)

// fleet is a run under way.
type fleet struct {
	setup    *Setup
	clock    clock
	random   *rand.Rand
	machines []*machine
	byID     map[string]*machine
	routers  []*router
	clients  []*router // by client
	result   Result
	wasRead  map[uint64]bool // shared blocks, anywhere
}

type machine struct {
	info   *instances.Instance
	engine *engine
	past   protocol.Report // as of the last look
}

type router struct {
	zone     string
	selector *selection.Selector
}

// Run plays one day.
func Run(setup Setup) *Result {
	f := &fleet{
		setup: &setup, random: rand.New(rand.NewPCG(setup.Seed, 1)),
		clock: newClock(), byID: map[string]*machine{}, wasRead: map[uint64]bool{},
		result: Result{Kinds: map[string]*KindResult{}},
	}
	f.buildMachines()
	f.buildRouters()
	f.startReports()
	for i, kind := range setup.Kinds {
		f.result.Kinds[kind.Name] = &KindResult{}
		from := newSource(kind, i, f.random)
		f.clock.after(0, func() { f.arrive(from) })
	}
	for _, fault := range setup.Faults {
		f.clock.after(fault.At, func() { f.begin(fault) })
	}
	f.clock.Run(setup.Length)
	f.result.finish(f.machines)
	return &f.result
}

func (f *fleet) wallClock() time.Time { return epoch.Add(f.clock.Now()) }

func (f *fleet) buildMachines() {
	for i := range f.setup.Instances {
		info := &instances.Instance{
			ID: fmt.Sprintf("i-%d-%d", f.setup.Seed, i), Backend: backendName, Zone: fmt.Sprint(i % f.setup.Zones),
			Slots: f.setup.Engine.Slots, State: protocol.StateReady,
		}
		built := &machine{info: info, engine: newEngine(&f.setup.Engine, f.clock)}
		built.engine.onRead = f.noteRead
		f.machines = append(f.machines, built)
		f.byID[info.ID] = built
	}
}

func (f *fleet) snapshot() *instances.Snapshot {
	var all []*instances.Instance
	for _, present := range f.machines {
		if !present.engine.isGone {
			all = append(all, present.info)
		}
	}
	return instances.NewSnapshot(all)
}

func (f *fleet) buildRouters() {
	engine := &f.setup.Engine
	config := selection.BackendConfig{
		Slots: engine.Slots, KVCapacity: int64(engine.Capacity), HasEngine: true,
	}
	for i := range f.setup.Routers {
		options := f.setup.Selection
		options.Zone = fmt.Sprint(i % f.setup.Zones)
		options.Random = rand.NewPCG(f.setup.Seed, uint64(i)+2).Uint64
		options.Clock = f.wallClock
		options.Routers = func() int { return f.setup.Routers }
		options.Assigned = func(*instances.Instance) bool { return false }
		if f.setup.SightingsAgain > 0 {
			options.Sightings = f.sightingOptions(i)
		}
		built := &router{zone: options.Zone, selector: selection.New(options)}
		built.selector.SetBackends(map[string]selection.BackendConfig{backendName: config})
		built.selector.SetInstances(f.snapshot())
		f.routers = append(f.routers, built)
	}
	for range f.setup.Clients {
		f.clients = append(f.clients, f.routers[f.random.IntN(len(f.routers))])
	}
}

// sightingOptions have a router's sightings reach all others a little later.
func (f *fleet) sightingOptions(from int) *selection.SightingOptions {
	announce := func(sighting sightings.Sighting) {
		f.clock.after(sightingsDelay, func() {
			for i, hearing := range f.routers {
				if i != from {
					hearing.selector.RecordRemoteSightings(f.wallClock(), []sightings.Sighting{sighting})
				}
			}
		})
	}
	return &selection.SightingOptions{
		Announce:        announce,
		IsCurrent:       func(time.Time) bool { return true },
		Recent:          func(time.Time) []sightings.Sighting { return nil },
		DuplicateWindow: f.setup.SightingsAgain,
	}
}

// startReports has each instance's report reach all routers once a second, each at its own moment, with its lag.
func (f *fleet) startReports() {
	for _, reporting := range f.machines {
		offset := time.Duration(f.random.Int64N(int64(reportEvery)))
		f.clock.after(offset, func() {
			f.clock.every(reportEvery, func() { f.report(reporting) })
		})
	}
}

func (f *fleet) report(of *machine) {
	if of.engine.isGone {
		return
	}
	report := protocol.Report{Queued: len(of.engine.waiting), Running: len(of.engine.running), KVTotal: int64(f.setup.Engine.Capacity)}
	f.clock.after(reportLag, func() {
		for _, hearing := range f.routers {
			hearing.selector.RecordRemoteReport(of.info.ID, &report)
		}
	})
}

// noteRead counts shared tokens that were read before, somewhere, and are read again.
func (f *fleet) noteRead(shared, missing []prefixcache.Block) {
	for _, block := range prefixcache.SharedBlocks(missing) {
		if f.wasRead[block.ID] && f.clock.Now() >= f.setup.CountFrom {
			f.result.ReadAgain += float64(block.Tokens)
		}
	}
	for _, block := range shared {
		f.wasRead[block.ID] = true
	}
}

// begin puts a fault in place.
func (f *fleet) begin(fault Fault) {
	struck := int(fault.Share * float64(len(f.machines)))
	for _, at := range f.random.Perm(len(f.machines))[:max(0, min(struck, len(f.machines)))] {
		hit := f.machines[at]
		switch fault.Kind {
		case Slow:
			hit.engine.slowness = fault.Factor
			f.clock.after(fault.For, func() { hit.engine.slowness = 1 })
		case Gone:
			hit.engine.isGone = true
		}
	}
	if fault.Kind == Gone {
		f.tellInstances()
	}
}

func (f *fleet) tellInstances() {
	snapshot := f.snapshot()
	for _, told := range f.routers {
		told.selector.SetInstances(snapshot)
	}
}

// rate is a kind's requests a second at this moment, and the share of them that is about one thing.
func (f *fleet) rate(kind *Kind) (perSecond, hot float64) {
	perSecond = kind.PerSecond
	for i := range f.setup.Faults {
		fault := &f.setup.Faults[i]
		if fault.Of != kind.Name || !fault.isOn(f.clock.Now()) {
			continue
		}
		switch fault.Kind {
		case Burst:
			perSecond *= fault.Factor
		case HotThing:
			hot = fault.Share
		}
	}
	return perSecond, hot
}

// arrive sends one request of a kind and waits for the next.
func (f *fleet) arrive(from *source) {
	perSecond, hot := f.rate(&from.kind)
	f.clock.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() { f.arrive(from) })
	blocks := from.draw(hot)
	events := max(1, int(from.kind.Events.draw(f.random)))
	counted := f.result.Kinds[from.kind.Name]
	if f.clock.Now() < f.setup.CountFrom {
		counted = &KindResult{}
	}
	f.send(&exchange{
		kind:    &from.kind,
		result:  counted,
		at:      f.clients[f.random.IntN(len(f.clients))],
		arrived: f.clock.Now(),
		job:     &job{blocks: blocks, prompt: prefixcache.TotalTokens(blocks), output: events * f.setup.Engine.StrideTokens},
	})
}

// exchange is one request at a router.
type exchange struct {
	kind    *Kind
	result  *KindResult
	at      *router
	arrived time.Duration
	job     *job
	pick    *selection.Pick
	lastAt  time.Duration // of the last event; 0: none yet
	isLate  bool
}

func (f *fleet) send(request *exchange) {
	request.result.Requests++
	pick, err := request.at.selector.Select(selection.Request{
		Backend: backendName, Model: modelName, PromptTokens: request.job.prompt, OutputTokens: request.job.output,
		Prefix: request.job.blocks, Now: f.wallClock(),
	})
	if err != nil {
		request.result.Refused++
		return
	}
	request.pick = pick
	to := f.byID[pick.Instance().ID]
	hop := otherZoneHop
	if to.info.Zone == request.at.zone {
		hop = sameZoneHop
	}
	request.job.onEvent = func() { f.clock.after(hop, func() { f.event(request, to) }) }
	request.job.onEnd = func() { f.clock.after(hop, func() { f.end(request) }) }
	f.clock.after(hop+milliseconds(f.setup.Engine.FirstMs), func() {
		if !to.engine.enter(request.job) {
			request.result.Refused++
			pick.Done(f.wallClock(), selection.Outcome{Result: selection.Rejected})
		}
	})
}

// event passes an event of the answer on.
func (f *fleet) event(request *exchange, from *machine) {
	now := f.clock.Now()
	if request.lastAt == 0 {
		request.result.FirstMs = append(request.result.FirstMs, float64(now-request.arrived)/float64(time.Millisecond))
		request.pick.FirstByte(f.wallClock())
		request.pick.ReportLoad(f.wallClock(), selection.Load{
			Running: len(from.engine.running), Waiting: len(from.engine.waiting), Slots: f.setup.Engine.Slots,
		})
		if now-request.arrived > request.kind.Aim {
			request.result.LateFirst++
			request.isLate = true
		}
	} else if pause := now - request.lastAt; pause > request.kind.PauseAim && !request.isLate {
		request.result.LatePause++
		request.isLate = true
	}
	request.lastAt = now
}

func (f *fleet) end(request *exchange) {
	request.result.Ended++
	request.pick.Done(f.wallClock(), selection.Outcome{Result: selection.Succeeded, Total: f.clock.Now() - request.arrived})
}
