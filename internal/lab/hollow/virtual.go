package hollow

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/kvrig"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry"
)

// Virtual says what is played in virtual time.
type Virtual struct {
	Balancers int     `json:"balancers"` // of the fleet
	Played    int     `json:"balancers_played"`
	Batch     int     `json:"at_a_time"`
	AppNodes  int     `json:"app_nodes"`
	Pools     int     `json:"pools"`
	Rate      float64 `json:"source_bytes_a_second"` // that the source can give; a batch has its share of it
	Seed      uint64  `json:"seed"`
	Threads   int     `json:"threads"`
}

// What the model takes over from others, which say why.
const (
	oneWay      = 2 * time.Millisecond    // between two regions; sockets and the source's own work are not modelled beyond it
	besideAfter = 2500 * time.Millisecond // internal/registry: a call beside a watch that is silent
	besideEvery = time.Second             // and how often then
	blankMost   = 2 * time.Second         // between two lines of discovery, as its protocol says
	startSpread = time.Second             // processes that are started at once do not come up in one moment
)

// nowhere is the address of the source in virtual time: a configuration needs one.
const nowhere = "127.0.0.1:1"

// The timeline that feeds all of them.
const (
	firstChange  = 60 * time.Second
	changeEvery  = 33 * time.Second
	changesMade  = 8
	zoneLost     = 340 * time.Second
	zoneBack     = 400 * time.Second
	apartFrom    = 460 * time.Second
	apartFor     = 3 * time.Minute
	restartsAt   = 700 * time.Second // a third of all
	rollingFrom  = 760 * time.Second // all, a tenth at a time
	rollingEvery = 20 * time.Second
	dayEnds      = 980 * time.Second
)

// Names of its scenes.
const (
	steadily    = "steady, nothing changes"
	lostName    = "a zone is lost"
	backName    = "the zone is back"
	returnName  = "the region is back"
	thirdName   = "a third restarts at once"
	rollingName = "rolling restart of all, a tenth at a time"
	missed      = 5 // changes, by the region that is apart
)

func changeName(k int) string { return fmt.Sprintf("change %d", k+1) }

// feed is the source in virtual time: the calls to it, and the one line that its bytes leave by, one text after the other.
type feed struct {
	clock   *timeline.Virtual
	list    *list
	rate    float64
	free    time.Duration // when the line has sent all that is on it
	told    map[*member]int64
	seconds []int64
	calls   []int64
	apart   func(*member) bool
}

// member is a balancer that hears the feed.
type member struct {
	replica
	index    int
	feed     *feed
	rng      *rand.Rand
	life     int
	revision int64 // heard
	busy     time.Duration
	idleCPU  time.Duration
	marks    map[int64]time.Duration // when a revision was in force
	pending  int64                   // the revision that is being taken up
	restarts []time.Duration         // from each start to its list in force
	from     time.Duration
	left     int // watches that fell silent
	make     func() (*reducer.Reducer, error)
}

func (f *feed) bin(to *[]int64, at time.Duration, n int64) {
	for i := int(at / time.Second); ; {
		if i < len(*to) {
			(*to)[i] += n
			return
		}
		*to = append(*to, 0)
	}
}

// open answers a call: the changes since, or the whole list.
func (f *feed) open(m *member, since int64) {
	life := m.life
	if f.apart(m) { // nothing comes; the registry asks again beside it
		f.clock.After(besideEvery, timeline.Func(func() {
			if m.life == life {
				f.open(m, since)
			}
		}))
		return
	}
	f.bin(&f.calls, f.clock.Now(), 1)
	f.clock.After(2*oneWay, timeline.Func(func() { // the call's way, and that of the connection
		if m.life != life {
			return
		}
		texts, now := f.list.after(since)
		for _, text := range texts {
			f.send(m, text)
		}
		f.told[m] = now
	}))
}

func (f *feed) send(m *member, text []byte) {
	begun := max(f.free, f.clock.Now())
	f.free = begun + time.Duration(float64(len(text))/f.rate*1e9)
	f.bin(&f.seconds, begun, int64(len(text)))
	life := m.life
	f.clock.After(f.free+oneWay-f.clock.Now(), timeline.Func(func() {
		if m.life == life && !f.apart(m) {
			m.hear(text)
		}
	}))
}

// turn makes a change and tells it.
func (f *feed) turn(all []*member, at []int, gone bool) {
	f.list.turn(at, gone)
	f.tellOn(all)
}

func (f *feed) tellOn(all []*member) {
	for _, m := range all {
		since, watches := f.told[m]
		if !watches || f.apart(m) {
			continue
		}
		texts, now := f.list.after(since)
		for _, text := range texts {
			f.send(m, text)
		}
		f.told[m] = now
	}
}

// hear reads a text with the real decoder and has the real reducer take it up. Its one core does one thing after another.
func (m *member) hear(text []byte) {
	from := onCPU()
	l, err := registry.Decode(text, started)
	took := onCPU() - from
	m.used += took
	if err != nil {
		panic(fmt.Sprintf("hollow: the source's own list: %v", err))
	}
	m.work(took)
	m.revision = l.Revision
	m.pending = l.Revision
	m.tell(reducer.Listed{Watch: m.watch, List: l})
}

func (m *member) work(took time.Duration) { m.busy = max(m.busy, m.clock.Now()) + took }

// tell hands an event over and notes when a list is in force.
func (m *member) tell(ev reducer.Event) {
	from := m.used
	m.handle(ev)
	m.work(m.used - from)
	if m.slices == 0 && m.pending != 0 {
		at := m.busy
		if _, ok := m.marks[m.pending]; !ok {
			m.marks[m.pending] = at
		}
		if m.from >= 0 {
			m.restarts = append(m.restarts, at-m.from)
			m.from = -1
		}
		m.pending = 0
	}
}

// start a process: it has no list.
func (m *member) start() error {
	m.life++
	life := m.life
	red, err := m.make()
	if err != nil {
		return err
	}
	m.red, m.slices, m.pending, m.revision = red, 0, 0, 0
	m.from = m.clock.Now()
	delete(m.feed.told, m)
	m.asked = func(e reducer.Watch) {
		delete(m.feed.told, m)
		m.feed.open(m, e.Since)
	}
	m.post = func(after time.Duration, ev reducer.Event, slice bool) {
		m.clock.After(after, timeline.Func(func() {
			if m.life != life {
				return
			}
			if slice {
				m.slices--
			}
			m.tell(ev)
		}))
	}
	m.clock.After(time.Duration(m.rng.Int64N(int64(startSpread))), timeline.Func(func() {
		if m.life == life {
			m.from = m.clock.Now()
			m.tell(reducer.Started{Discovery: nowhere})
		}
	}))
	return nil
}

// silent has the registry ask beside a watch that says nothing. Its last line without news came some time before.
func (m *member) silent() {
	m.left++
	life := m.life
	delete(m.feed.told, m)
	m.clock.After(besideAfter-time.Duration(m.rng.Int64N(int64(blankMost))), timeline.Func(func() {
		if m.life == life {
			m.feed.open(m, m.revision)
		}
	}))
}

// share is what the play of a batch gave.
type share struct {
	members        []*member
	seconds, calls []int64
	cpu            map[string]time.Duration // by scene, of all
	revisions      map[string]int64
	moments        map[string]time.Duration
	revised        int64
	err            error
}

// PlayVirtual plays the timeline for some balancers of the fleet, some at a time.
func PlayVirtual(plan Virtual, folder string, progress func(string)) (*Result, error) {
	if plan.Played < 1 || plan.Played > plan.Balancers || plan.Batch < 1 || plan.Threads < 1 || plan.Rate <= 0 || plan.AppNodes < Zones {
		return nil, errors.New("hollow: some balancers, of the fleet's, in batches, with a rate and app nodes are needed")
	}
	r := &Result{Form: "virtual", Virtual: &plan, AppNodes: plan.AppNodes}
	if err := divide(folder, plan.Pools); err != nil {
		return nil, err
	}
	var batches [][]int
	for i := range plan.Played {
		if i%plan.Batch == 0 {
			batches = append(batches, nil)
		}
		last := &batches[len(batches)-1]
		// A sample is spread over the fleet, so that each zone has its part.
		*last = append(*last, i*plan.Balancers/plan.Played)
	}
	shares := make([]*share, len(batches))
	next, over := make(chan int), sync.WaitGroup{}
	for t := range plan.Threads {
		over.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for k := range next {
				shares[k] = playBatch(plan, folder, t, batches[k])
				progress(fmt.Sprintf("batch %d of %d", k+1, len(batches)))
			}
		})
	}
	for k := range batches {
		next <- k
	}
	close(next)
	over.Wait()
	return r, r.sum(plan, shares)
}

func playBatch(plan Virtual, folder string, thread int, indices []int) *share {
	s := &share{cpu: map[string]time.Duration{}, revisions: map[string]int64{}, moments: map[string]time.Duration{}}
	clock := timeline.NewVirtual(0)
	part := float64(len(indices)) / float64(plan.Balancers)
	src := chance.New(plan.Seed)
	region := func(m *member) int { return m.index % Zones / 3 }
	f := &feed{clock: clock, list: newList(plan.AppNodes, 1, plan.Pools), rate: plan.Rate * part, told: map[*member]int64{}}
	cut := -1
	f.apart = func(m *member) bool { return region(m) == cut }
	for _, i := range indices {
		m := &member{index: i, feed: f, rng: src.Stream(fmt.Sprintf("hollow/%d", i)), marks: map[int64]time.Duration{}, from: -1}
		m.clock = clock
		m.make = func() (*reducer.Reducer, error) {
			cfg, err := configure(folder, thread*plan.Balancers+i, plan.Balancers, nowhere)
			if err != nil {
				return nil, err
			}
			return state(cfg)
		}
		s.members = append(s.members, m)
	}
	at := func(when time.Duration, name string, do func()) {
		clock.After(when, timeline.Func(func() {
			s.moments[name] = clock.Now()
			do()
		}))
	}
	begin := func(m *member) {
		if s.err == nil {
			s.err = m.start()
		}
	}
	turn := func(name string, when time.Duration, which func() []int, gone bool) {
		at(when, name, func() {
			f.turn(s.members, which(), gone)
			s.revisions[name] = f.list.revision
		})
	}
	at(0, "first start of all", func() {
		for _, m := range s.members {
			begin(m)
		}
	})
	for k := range changesMade {
		turn(changeName(k), firstChange+time.Duration(k)*changeEvery, func() []int { return []int{k} }, false)
	}
	inZone := func() []int { return f.list.inZone(4) }
	turn(lostName, zoneLost, inZone, true)
	turn(backName, zoneBack, inZone, false)
	at(apartFrom, "a region is apart", func() {
		cut = 2
		for _, m := range s.members {
			if f.apart(m) {
				m.silent()
			}
		}
	})
	for k := range missed { // that the region misses
		when := apartFrom + time.Duration(k+1)*changeEvery
		turn(fmt.Sprintf("missed %d", k+1), when, func() []int { return []int{100 + k} }, false)
	}
	at(apartFrom+apartFor, returnName, func() {
		cut = -1
		s.revisions[returnName] = f.list.revision
	})
	at(restartsAt, thirdName, func() {
		for _, m := range s.members {
			if m.index%3 == 1 {
				begin(m)
			}
		}
	})
	for step := range 10 {
		at(rollingFrom+time.Duration(step)*rollingEvery, fmt.Sprintf("rolling %d", step), func() {
			for _, m := range s.members {
				if m.index/3%10 == step {
					begin(m)
				}
			}
		})
	}
	// CPU is read between the scenes; each of them is over long before the next one begins.
	used := time.Duration(0)
	read := func(name string, until time.Duration) {
		if s.err == nil {
			clock.Run(until)
		}
		sum := time.Duration(0)
		for _, m := range s.members {
			sum += m.used
		}
		s.cpu[name], used = sum-used, sum
	}
	read("first start of all", 30*time.Second)
	read(steadily, firstChange-time.Second)
	read("changes", zoneLost-30*time.Second)
	read("", zoneLost-time.Second)
	read(lostName, zoneLost+20*time.Second)
	read("", zoneBack-time.Second)
	read(backName, zoneBack+20*time.Second)
	read("", apartFrom+apartFor-time.Second)
	read(returnName, apartFrom+apartFor+20*time.Second)
	read("", restartsAt-time.Second)
	read(thirdName, rollingFrom-time.Second)
	read(rollingName, dayEnds)
	s.seconds, s.calls, s.revised = f.seconds, f.calls, f.list.revision
	for _, m := range s.members {
		m.red, m.asked, m.post = nil, nil, nil
	}
	return s
}

// sum makes scenes of what the batches gave. The source's loads are summed over the batches, second by second, and told
// for the whole fleet.
func (r *Result) sum(plan Virtual, shares []*share) error {
	var members []*member
	cpu := map[string]time.Duration{}
	var seconds, calls []int64
	for _, s := range shares {
		if s.err != nil {
			return s.err
		}
		members = append(members, s.members...)
		for name, d := range s.cpu {
			cpu[name] += d
		}
		for to, from := range map[*[]int64][]int64{&seconds: s.seconds, &calls: s.calls} {
			for i, n := range from {
				if i == len(*to) {
					*to = append(*to, 0)
				}
				(*to)[i] += n
			}
		}
	}
	scale := float64(plan.Balancers) / float64(len(members))
	load := func(from, to time.Duration) (l Load) {
		for i := int(from / time.Second); i < int(to/time.Second); i++ {
			if i < len(seconds) {
				l.Bytes += int64(float64(seconds[i]) * scale)
				l.BytesMostInS = max(l.BytesMostInS, int64(float64(seconds[i])*scale))
			}
			if i < len(calls) {
				l.Calls += int64(float64(calls[i]) * scale)
				l.CallsMostInS = max(l.CallsMostInS, int64(float64(calls[i])*scale))
			}
		}
		return l
	}
	scene := func(name string, entries int, among func(*member) bool, when []func(*member) (time.Duration, bool), used time.Duration, from, to time.Duration) {
		var times []time.Duration
		of := 0
		for _, m := range members {
			if !among(m) {
				continue
			}
			for _, f := range when {
				of++
				if d, ok := f(m); ok {
					times = append(times, d)
				}
			}
		}
		l := load(from, to)
		r.add(Scene{Name: name, Entries: entries, Reached: len(times), Of: of, Lasts: summarize(times), Seconds: (to - from).Seconds(),
			CPUMsEach: ms(used) / float64(max(1, of)), BytesEach: float64(l.Bytes) / scale / float64(max(1, of)), Source: l, PeakResidentMB: kvrig.Resident("VmHWM")})
	}
	type when = []func(*member) (time.Duration, bool)
	all := func(*member) bool { return true }
	life := func(n int) when { // from the n-th start to its list in force; -1: the last
		return when{func(m *member) (time.Duration, bool) {
			if len(m.restarts) <= max(n, 0) {
				return 0, false
			}
			if n < 0 {
				return m.restarts[len(m.restarts)-1], true
			}
			return m.restarts[n], true
		}}
	}
	mark := func(name string, at time.Duration) func(*member) (time.Duration, bool) {
		return func(m *member) (time.Duration, bool) {
			d, ok := m.marks[shares[0].revisions[name]]
			return d - at, ok
		}
	}
	// What a scene took beyond the idle time that it holds.
	idle := firstChange - time.Second - 30*time.Second
	beyond := func(name string, last time.Duration) time.Duration {
		return cpu[name] - time.Duration(float64(cpu[steadily])*float64(last)/float64(idle))
	}
	scene("first start of all", 0, all, life(0), cpu["first start of all"], 0, 30*time.Second)
	each := ms(cpu[steadily]) / float64(len(members))
	r.add(Scene{Name: steadily, Steady: true, Seconds: idle.Seconds(), CPUMsEach: each, CoreShare: each / ms(idle),
		Source: load(30*time.Second, 30*time.Second+idle), PeakResidentMB: kvrig.Resident("VmHWM")})
	var marks when
	for k := range changesMade {
		marks = append(marks, mark(changeName(k), firstChange+time.Duration(k)*changeEvery))
	}
	const after = 20 * time.Second // that the reading of CPU goes on behind a change
	scene(fmt.Sprintf("%d changes of one app node, one in %v", changesMade, changeEvery), 1, all, marks,
		beyond("changes", zoneLost-30*time.Second-firstChange+time.Second), firstChange, zoneLost-30*time.Second)
	zone := plan.AppNodes / Zones
	scene(lostName, zone, all, when{mark(lostName, zoneLost)}, beyond(lostName, after), zoneLost, zoneLost+after)
	scene(backName, zone, all, when{mark(backName, zoneBack)}, beyond(backName, after), zoneBack, zoneBack+after)
	returned := apartFrom + apartFor
	scene("a region was apart for 3 minutes, and is back", missed, func(m *member) bool { return m.left > 0 },
		when{mark(returnName, returned)}, beyond(returnName, after), returned, returned+after)
	scene(thirdName, 0, func(m *member) bool { return m.index%3 == 1 }, life(1), beyond(thirdName, rollingFrom-restartsAt), restartsAt, rollingFrom-time.Second)
	scene(rollingName, 0, all, life(-1), beyond(rollingName, dayEnds-rollingFrom), rollingFrom, dayEnds)
	r.finish()
	return nil
}
