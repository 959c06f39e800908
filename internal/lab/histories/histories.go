// Package histories owns random histories of a store of app nodes, and of one or two clients of it that are broken off,
// stalled and lied to, in virtual time. Each drives the real roster and holds what it tells against the store and against
// what the clients were told. It must never know the roster's rules better than its package says them, nor run any part of
// a history by the clock or in an order that a seed does not fix.
//
// What must hold:
//
//   - quiet: once the faults are over, the list equals the store within 2 s. Until the times for it have run out an entry
//     may still be draining, if its end was told of late, if it is a suspect, or if a list is in doubt; then it must be equal.
//   - gone: what a source has told to be draining or gone is not up, until that source says otherwise at that revision or
//     a later one, or the time for which ends hold is over and it says so at an earlier one.
//   - share: suspects are never more than their share of the list.
//   - empty: with the guard on, a list that had entries is never empty but by entries that were told to be gone.
package histories

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"time"

	"pewterrudder/internal/roster"
)

const (
	step     = 50 * time.Millisecond
	start    = time.Hour // of the clock: by then a start at 0 is long ago
	faultFor = 25 * time.Second
	quietFor = 2 * time.Second // within which the list must equal the store
	lease    = 3 * time.Second
	// restFor is past every time that the settings below can make an entry wait.
	restFor = 25 * time.Second
)

// settings of a roster whose times are short, so that each runs out many times in a history.
func settings(rng *rand.Rand, sources int) roster.Settings {
	s := roster.Settings{Hold: 4 * time.Second}
	for i := range sources {
		role := roster.Primary
		if i > 0 {
			role = roster.Role(rng.IntN(3))
		}
		s.Sources = append(s.Sources, roster.Source{Name: strconv.Itoa(i), Role: role, Stale: 3 * time.Second, Lost: 8 * time.Second})
	}
	if rng.IntN(2) == 0 {
		s.LossShare, s.LossFor = 0.5, 6*time.Second
	}
	if rng.IntN(2) == 0 {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = 3, 300*time.Millisecond, 0.5
		s.TrialFirst, s.TrialMost, s.TrialFor = time.Second, 4*time.Second, 250*time.Millisecond
	}
	return s
}

// Tally is what histories held.
type Tally struct {
	Changes, Restarts, Compactions         int // of the store
	Breaks, Stalls, Lies, Words, Told      int // words: entries that clients were told; told: changes that the roster told
	Doubts, Suspects, Holds, Late, Outages int // late: entries not equal after 2 s, each with its reason
}

func (t *Tally) add(o *Tally) {
	for _, p := range []struct{ to, from *int }{{&t.Changes, &o.Changes}, {&t.Restarts, &o.Restarts}, {&t.Compactions, &o.Compactions},
		{&t.Breaks, &o.Breaks}, {&t.Stalls, &o.Stalls}, {&t.Lies, &o.Lies}, {&t.Words, &o.Words}, {&t.Told, &o.Told},
		{&t.Doubts, &o.Doubts}, {&t.Suspects, &o.Suspects}, {&t.Holds, &o.Holds}, {&t.Late, &o.Late}, {&t.Outages, &o.Outages}} {
		*p.to += *p.from
	}
}

// last is what a source has last told of an id.
type last struct {
	state   roster.State
	ever    bool
	at      time.Duration // when its end was told
	rev     int64
	started time.Duration
	undone  bool          // told to be up again, at an earlier revision
	late    time.Duration // when any end of it was told, or a whole list lacked it
}

type history struct {
	Tally
	rng     *rand.Rand
	now     time.Duration
	cfg     roster.Settings
	r       *roster.Roster
	store   *store
	clients []*client
	view    [fleetMost]roster.Change
	words   [][fleetMost]last
	named   [][fleetMost]bool // by the whole list that is being told
	outage  time.Duration     // no connect succeeds until then
	err     error
}

// Play plays the history of a seed. An error names the rule that it breaks.
func Play(seed uint64) (Tally, uint64, error) {
	rng := rand.New(rand.NewPCG(seed, 0x726f73746572))
	sources := 1 + rng.IntN(2)
	h := &history{rng: rng, now: start, cfg: settings(rng, sources), store: newStore(), words: make([][fleetMost]last, sources),
		named: make([][fleetMost]bool, sources)}
	for i := range h.view {
		h.view[i].State = roster.Gone
	}
	var err error
	if h.r, err = roster.New(h.cfg); err != nil {
		return h.Tally, 0, err
	}
	for i := range sources {
		h.clients = append(h.clients, &client{source: i, polls: rng.IntN(3) == 0, slices: rng.IntN(2) == 0, next: h.now + delay(rng)})
	}
	for i := range 2 + rng.IntN(fleetMost-2) {
		h.store.start(rng, h.now-time.Minute, i)
	}
	rough := rng.Float64() // how much goes wrong
	for h.now < start+faultFor {
		if rng.IntN(10) == 0 {
			h.store.happen(rng, h.now)
			h.Changes++
		}
		if rng.IntN(20) == 0 {
			h.store.register(rng, h.now)
		}
		if rng.IntN(40) == 0 {
			h.store.backups = append(h.store.backups, h.store.snapshot)
		}
		if rng.Float64() < rough/150 {
			h.store.trouble(rng, h.now, &h.Tally)
		}
		for _, c := range h.clients {
			if rng.Float64() < rough/25 {
				c.fault(h)
			}
		}
		if rng.Float64() < rough/400 {
			h.Outages++
			h.outage = h.now + time.Duration(rng.IntN(4000))*time.Millisecond
		}
		h.step()
	}
	h.quiet()
	digest := fnv.New64a()
	fmt.Fprint(digest, h.Tally, h.view, h.err)
	return h.Tally, digest.Sum64(), h.err
}

// quiet ends all faults and holds the list against the store.
func (h *history) quiet() {
	h.outage = 0
	for _, c := range h.clients {
		c.stalled = min(c.stalled, h.now)
		c.next = min(c.next, h.now+time.Second)
		for i := range c.way { // what was stalled comes now
			c.way[i].at = min(c.way[i].at, h.now+100*time.Millisecond)
		}
	}
	for i := range h.store.alive { // the living are listed again, the dead are not
		switch in := h.store.table[i].in; {
		case h.store.alive[i] && !in:
			h.store.start(h.rng, h.now, i)
		case !h.store.alive[i] && in:
			h.store.end(i)
		}
	}
	if len(h.store.table.entries()) == 0 {
		h.store.start(h.rng, h.now, 0)
	}
	for from := h.now; h.now < from+quietFor; {
		h.step()
	}
	h.compare(false)
	for from := h.now; h.now < from+restFor; {
		h.step()
	}
	h.compare(true)
}

// step is one step of time.
func (h *history) step() {
	h.now += step
	h.store.expire(h.now)
	h.connects()
	for _, c := range h.clients {
		c.serve(h)
		c.read(h)
	}
	for n := 0; ; n++ {
		due, ok := h.r.NextTick()
		if !ok || due > h.now {
			break
		}
		h.take(h.r.Tick(h.now))
		if n > 1000 {
			h.breaks("due: Tick has had nothing left to do for long, and Due still says %v", due)
			break
		}
	}
	for _, c := range h.clients {
		if c.whole {
			c.whole = false
			h.lacked(c.source)
		}
	}
	h.check()
}

// connects has some of the listed app nodes tried.
func (h *history) connects() {
	for range 3 {
		v := &h.view[h.rng.IntN(fleetMost)]
		if v.State == roster.Up {
			i, _ := strconv.Atoi(v.ID[1:])
			ok := h.store.alive[i] && h.now >= h.outage && v.Address == h.store.table[i].Address
			h.r.Connect(h.now, v.ID, ok)
		}
	}
}

// take enters what the roster tells.
func (h *history) take(all []roster.Change) {
	for _, c := range all {
		i, _ := strconv.Atoi(c.ID[1:])
		if c.Suspect && !h.view[i].Suspect {
			h.Suspects++
		}
		h.view[i] = c
		h.Told++
	}
}

// lacked notes the end of a whole list. What it lacks was not told to be gone, unless it was draining before.
func (h *history) lacked(source int) {
	doubted := h.r.Sources()[source].Doubted > 0
	for i := range h.words[source] {
		l := &h.words[source][i]
		if l.ever && !h.named[source][i] {
			l.late = h.now
		}
		if !l.ever || h.named[source][i] || l.state != roster.Draining || l.undone && h.now >= l.at+h.cfg.Hold {
			continue
		}
		if l.state = roster.Gone; !doubted && !l.undone { // else it goes at some later time
			l.at = h.now
		}
	}
}

// told notes what a client was told.
func (h *history) told(source int, whole bool, rev int64, entries []roster.Entry) {
	h.Words += len(entries)
	for _, e := range entries {
		i, _ := strconv.Atoi(e.ID[1:])
		h.named[source][i] = true
		l := &h.words[source][i]
		if l.state == roster.Gone && h.now >= l.at+h.cfg.Hold {
			*l = last{late: l.late}
		}
		ended := l.ever && l.state != roster.Up && !(l.undone && h.now >= l.at+h.cfg.Hold)
		switch {
		case e.State != roster.Up:
			if !ended || l.undone || l.state != e.State {
				l.at = h.now
			}
			l.rev, l.started = max(rev, l.rev*b2i(ended)), max(l.started, e.Started)
			l.state, l.ever, l.undone, l.late = e.State, true, false, h.now
		case h.older(source, whole, rev):
		case ended && rev != 0 && rev < l.rev && e.Started <= l.started && h.now < l.at+h.cfg.Hold:
			l.undone = true
		default:
			*l = last{state: roster.Up, ever: true, started: e.Started, late: l.late}
		}
	}
}

func b2i(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// older says that changes are of a lower revision than what the client holds: what they say to be up does not count.
func (h *history) older(source int, whole bool, rev int64) bool {
	c := h.clients[source]
	return !whole && c.open == nil && rev != 0 && rev < c.rev
}

func (h *history) breaks(format string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf("at %v: "+format, append([]any{h.now - start}, args...)...)
	}
}

// check is what must hold at all times.
func (h *history) check() {
	views := h.r.Sources()
	up, suspects := 0, 0
	for i := range h.view {
		v := &h.view[i]
		if v.Suspect {
			suspects++
		}
		if v.State == roster.Up || v.Suspect {
			up++
		}
		if v.State != roster.Up {
			continue
		}
		for source := range h.words {
			l := &h.words[source][i]
			if !l.ever || l.state == roster.Up || views[source].Standing == roster.Out {
				continue
			}
			within := h.now < l.at+h.cfg.Hold
			if within || !l.undone && (len(h.words) == 1 || l.state == roster.Draining) {
				h.breaks("gone: n%d is up, and source %d said %v at revision %d, %v ago; %s", i, source, l.state, l.rev, h.now-l.at,
					h.r.Explain(v.ID))
			}
		}
	}
	if most := max(1, int(h.cfg.SuspectShare*float64(up))); suspects > most {
		h.breaks("share: %d suspects of %d", suspects, up)
	}
	for _, s := range views {
		if s.Doubted > 0 {
			h.Doubts++
		}
	}
	if h.cfg.LossShare > 0 && up == 0 && len(h.words) == 1 {
		for i := range h.words[0] {
			if l := &h.words[0][i]; l.ever && l.state == roster.Up && views[0].Doubted == 0 && views[0].Entries == 0 {
				h.breaks("empty: nobody is listed, and n%d was never told to be gone", i)
			}
		}
	}
}

// compare holds the list against the store; where it is exact nothing may be pending any more.
func (h *history) compare(exact bool) {
	doubted := 0
	for _, s := range h.r.Sources() {
		doubted += s.Doubted
	}
	for i := range h.view {
		v, want := h.view[i], h.store.table[i]
		same := v.State == roster.Gone && !want.in || want.in && v.Address == want.Address && v.Zone == want.Zone &&
			v.Weight == want.Weight && v.Started == want.Started && fmt.Sprint(v.Labels) == fmt.Sprint(want.Labels) && v.State == want.State
		if same {
			continue
		}
		h.Late++
		recent := false
		for source := range h.words {
			l := &h.words[source][i]
			recent = recent || l.late > 0 && h.now < l.late+h.cfg.Hold
		}
		if recent {
			h.Holds++
		}
		switch {
		case exact:
		case want.in && want.State == roster.Up && v.State == roster.Draining && (v.Suspect || recent):
			continue
		case !want.in && doubted > 0:
			continue
		}
		h.breaks("quiet: exact %v: the list has n%d as %+v, and the store as %+v; %s", exact, i, v, want, h.r.Explain("n"+strconv.Itoa(i)))
	}
}

// Break is a history that breaks a rule.
type Break struct {
	Seed uint64 `json:"seed"`
	Text string `json:"text"`
}

// Report is what came of many histories.
type Report struct {
	Runs   int     `json:"runs"`
	From   uint64  `json:"from"`
	Tally  Tally   `json:"tally"`
	Broken int     `json:"broken"`
	First  []Break `json:"first,omitempty"` // of the broken, by seed
	Digest string  `json:"digest"`          // of all histories, in any order
	Took   float64 `json:"took_s"`
}

const breaksMost = 10

// Go plays histories on all cores that there are; the digest does not hang on how many.
func Go(from uint64, runs int, progress func(float64)) *Report {
	began := time.Now()
	r := &Report{Runs: runs, From: from}
	var digest uint64
	var mu sync.Mutex
	var wait sync.WaitGroup
	next, done := 0, 0
	const batch = 100
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for {
				mu.Lock()
				at := next
				next += batch
				mu.Unlock()
				if at >= runs {
					return
				}
				var sum Tally
				var sums uint64
				var found []Break
				for i := at; i < min(runs, at+batch); i++ {
					t, d, err := Play(from + uint64(i))
					sum.add(&t)
					sums += d
					if err != nil {
						found = append(found, Break{from + uint64(i), err.Error()})
					}
				}
				mu.Lock()
				r.Tally.add(&sum)
				digest += sums
				r.Broken += len(found)
				r.First = append(r.First, found...)
				done += batch
				if progress != nil {
					progress(float64(min(done, runs)) / float64(runs))
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	r.sort()
	r.Digest = fmt.Sprintf("%016x", digest)
	r.Took = time.Since(began).Seconds()
	return r
}
