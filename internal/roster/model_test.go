package roster

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 0, 0) }

// naive works everything out anew from each source's plain map, and knows no queue, slice, index or dirty mark.
type naive struct {
	cfg     Settings
	now     time.Duration
	sources []*plainSource
	doubts  map[string]*plainDoubt
	view    map[string]Change
	up      map[string]bool // by the words
	ours    bool
}

type plainSource struct {
	words              map[string]*plainWord
	heard, open, guard bool
	at, back, lostAt   time.Duration
	guardEnd           time.Duration
	health             Health
	standing           Standing
	rev, most, openRev int64
	ref                int
	named              map[string]bool
}

type plainWord struct {
	Entry
	raw, until, last     time.Duration // last: the start of what has ended
	rev                  int64
	held, doubt, missing bool
}

type plainDoubt struct { // of a node that connects fail to
	fails                    int
	from, pause, turn, heard time.Duration
	failing, trial           bool
}

func newNaive(s Settings) *naive {
	m := &naive{cfg: s, doubts: map[string]*plainDoubt{}, view: map[string]Change{}, up: map[string]bool{}}
	for range s.Sources {
		m.sources = append(m.sources, &plainSource{words: map[string]*plainWord{}})
	}
	return m
}

func (s *plainSource) live() (n int) {
	for _, w := range s.words {
		if w.State != Gone {
			n++
		}
	}
	return n
}

func (m *naive) able(i int) bool {
	s := m.sources[i]
	return (s.health == Fresh || s.health == Stale) && s.back == 0
}

func (m *naive) lead(role Role) int {
	most, held := 0, false
	for i, s := range m.sources {
		if m.cfg.Sources[i].Role != Joined && m.able(i) {
			most = max(most, s.live())
		}
		held = held || m.cfg.LossShare > 0 && m.cfg.Sources[i].Role != Joined && s.standing == Decides && s.live() > 0
	}
	for _, want := range []Health{Fresh, Stale} {
		for i, s := range m.sources {
			thin := most >= leastGuarded && float64(s.live()) < m.cfg.LossShare*float64(most) || held && s.live() == 0
			if m.cfg.Sources[i].Role == role && m.able(i) && s.health == want && !thin {
				return i
			}
		}
	}
	return -1
}

func (m *naive) stand() {
	primaries, joined := false, false
	for i, s := range m.sources {
		c := m.cfg.Sources[i]
		age := m.now - s.at
		was := s.health
		switch {
		case !s.heard:
			s.health = Never
		case c.Lost > 0 && age >= c.Lost:
			s.health = Lost
		case age >= c.Stale:
			s.health = Stale
		default:
			s.health = Fresh
		}
		if s.health == Lost && was != Lost {
			s.lostAt, s.back = s.at+c.Lost, 0
		}
		if s.back <= m.now {
			s.back = 0
		}
		primaries = primaries || c.Role == Primary
		joined = joined || c.Role == Joined && m.able(i)
		if s.guard && s.guardEnd <= m.now {
			m.guardEnds(s)
		}
	}
	main := m.lead(Primary)
	if main < 0 && (primaries || !joined) {
		main = m.lead(Fallback)
	}
	if main < 0 {
		for i, s := range m.sources {
			if s.heard && !(m.cfg.Sources[i].Role == Joined && primaries) && (main < 0 || s.at > m.sources[main].at) {
				main = i
			}
		}
		for i := len(m.sources) - 1; i >= 0; i-- {
			if m.sources[i].standing == Decides && m.cfg.Sources[i].Role != Joined {
				main = i
			}
		}
	}
	for i, s := range m.sources {
		switch {
		case i == main || m.cfg.Sources[i].Role == Joined && m.able(i):
			s.standing = Decides
		case m.able(i) && s.health == Fresh:
			s.standing = Standby
		case m.able(i) || s.back > 0 || s.health == Lost && m.now < s.lostAt+m.cfg.Hold:
			s.standing = DrainsOnly
		default:
			s.standing = Out
		}
	}
}

func (m *naive) guardEnds(s *plainSource) {
	s.guardEnd = m.now + m.cfg.LossFor
	doubted := 0
	for _, w := range s.words {
		if w.doubt {
			doubted++
		}
	}
	if s.health != Fresh || s.live() == doubted {
		return
	}
	for id, w := range s.words {
		if d := m.doubts[id]; w.doubt && !(d != nil && d.heard > 0 && m.now-d.heard < m.cfg.LossFor) {
			m.remove(w, s.rev, true)
			doubted--
		}
	}
	s.guard = doubted > 0
}

func (m *naive) alive(i int, moved bool) {
	s := m.sources[i]
	if moved {
		s.back = 0
	} else if lost := m.cfg.Sources[i].Lost; s.heard && lost > 0 && m.now-s.at >= lost && len(m.sources) > 1 {
		s.back = m.now + m.cfg.Hold
	}
	s.heard, s.at = true, m.now
	m.stand()
}

func (m *naive) begin(i int, rev int64) {
	s := m.sources[i]
	s.open, s.openRev, s.named = true, rev, map[string]bool{}
	if !s.guard {
		s.ref = s.live()
	}
}

func (m *naive) commit(i int) {
	s := m.sources[i]
	s.open, s.rev, s.most = false, s.openRev, max(s.most, s.openRev)
	short := m.cfg.LossShare > 0 && s.ref > 0 && (len(s.named) == 0 ||
		s.ref >= leastGuarded && float64(len(s.named)) < m.cfg.LossShare*float64(s.ref))
	if short && !s.guard {
		s.guardEnd = m.now + m.cfg.LossFor
	}
	s.guard = short
	for id, w := range s.words {
		if !s.named[id] && w.State != Gone {
			if short {
				w.doubt = true
			} else {
				m.remove(w, s.rev, true)
			}
		}
	}
}

func (m *naive) remove(w *plainWord, rev int64, missing bool) {
	if !missing || !w.held {
		w.until = m.now + m.cfg.Hold
	}
	w.missing = missing && w.State == Up && !w.held
	w.State, w.held, w.doubt = Gone, false, false
	w.rev, w.last = max(w.rev, rev), max(w.last, w.raw)
}

func (m *naive) learn(i int, e Entry, rev int64) {
	s := m.sources[i]
	w := s.words[e.ID]
	if w == nil {
		w = &plainWord{}
		w.State = Gone
		if e.State == Gone {
			for _, o := range m.sources {
				if o.words[e.ID] != nil {
					w.Address = o.words[e.ID].Address
				}
			}
			if len(m.sources) > 1 || rev != 0 {
				s.words[e.ID], w.last = w, m.now
				m.remove(w, rev, false)
			}
			return
		}
		s.words[e.ID] = w
	}
	if e.State == Gone {
		m.remove(w, rev, false)
		delete(s.named, e.ID)
		return
	}
	if s.open {
		s.named[e.ID] = true
	}
	ended := w.State != Up || w.held
	held := ended && e.State == Up && rev != 0 && rev < w.rev && m.now < w.until && e.Started <= w.last
	started, again := w.Started, w.State == Draining && w.raw == e.Started
	if w.State == Gone && !held || w.raw != e.Started {
		started = min(e.Started, m.now)
	}
	if e.State == Draining {
		if !again {
			w.until = m.now + m.cfg.Hold
		}
		w.rev, w.last = max(w.rev, rev), max(w.last, e.Started)
	} else if !held {
		w.rev, w.until, w.last = 0, 0, 0
	}
	w.Entry, w.raw, w.held, w.doubt, w.missing = e, e.Started, held, false, false
	w.Started = started
}

func (m *naive) changes(i int, rev int64, entries []Entry) {
	s := m.sources[i]
	older := rev != 0 && rev < s.rev
	m.alive(i, !older && rev > s.most)
	if !older {
		s.rev, s.most = rev, max(s.most, rev)
	}
	for _, e := range entries {
		if !older || e.State != Up {
			m.learn(i, e, rev)
		}
	}
	m.stand()
}

func (m *naive) connect(id string, ok bool) {
	if _, listed := m.view[id]; !listed {
		return
	}
	d := m.doubts[id]
	if d == nil {
		d = &plainDoubt{}
		m.doubts[id] = d
	}
	switch {
	case ok:
		*d = plainDoubt{heard: max(m.now, 1)}
	case m.cfg.SuspectFails == 0:
	case d.failing && d.trial:
		d.pause = min(2*d.pause, m.cfg.TrialMost)
		d.trial, d.turn = false, m.now+d.pause
	case !d.failing:
		if d.fails++; d.fails == 1 {
			d.from = m.now
		}
		if m.up[id] && d.fails >= m.cfg.SuspectFails && m.now-d.from >= m.cfg.SuspectOver {
			d.failing, d.pause, d.turn = true, m.cfg.TrialFirst, m.now+m.cfg.TrialFirst
		}
	}
}

func (m *naive) tick() {
	m.stand()
	for _, s := range m.sources {
		for id, w := range s.words {
			if w.until > m.now {
				continue
			}
			if w.held {
				w.held, w.rev, w.last = false, 0, 0
			}
			if w.State == Gone {
				delete(s.words, id)
			}
		}
	}
	for _, d := range m.doubts {
		if d.failing && d.turn <= m.now {
			if d.trial = !d.trial && !m.ours; d.trial {
				d.turn = m.now + m.cfg.TrialFor
			} else {
				d.turn = m.now + d.pause
			}
		}
	}
}

// best is the source whose word decides on an id, or -1.
func (m *naive) best(id string) int {
	best := -1
	for i, s := range m.sources {
		if w := s.words[id]; w != nil && w.State != Gone && s.standing >= DrainsOnly &&
			(best < 0 || s.standing > m.sources[best].standing) {
			best = i
		}
	}
	return best
}

func (m *naive) ends(s *plainSource, w *plainWord) bool {
	return s.standing != Out && w != nil && (w.held || w.State == Draining || w.State == Gone && !w.missing && m.now < w.until)
}

func (m *naive) lists(i int, id string) bool {
	w := m.sources[i].words[id]
	return w != nil && w.State != Gone
}

// behind says that a is b under another id.
func (m *naive) behind(a, b string) bool {
	x, y := m.best(a), m.best(b)
	if a == b || x < 0 || y < 0 || x == y {
		return false
	}
	if s, o := m.sources[x], m.sources[y]; s.standing > o.standing || s.standing == o.standing && x < y ||
		s.words[a].Address != o.words[b].Address {
		return false
	}
	for i := range m.sources {
		if m.lists(i, a) && m.lists(i, b) {
			return false
		}
	}
	return true
}

func (m *naive) resolve() map[string]Change {
	ids := map[string]bool{}
	for _, s := range m.sources {
		for id := range s.words {
			ids[id] = true
		}
	}
	next, up := map[string]Change{}, map[string]bool{}
	for id := range ids {
		best := m.best(id)
		hidden := false
		for o := range ids {
			hidden = hidden || m.behind(id, o)
		}
		if best < 0 || hidden {
			continue
		}
		is := Change{Entry: m.sources[best].words[id].Entry}
		if m.sources[best].standing == DrainsOnly {
			is.State = Draining
		}
		for i, s := range m.sources {
			if m.ends(s, s.words[id]) {
				is.State = Draining
			}
			if m.lists(i, id) {
				continue
			}
			says, end := false, false // that others at the address are up, or at their end
			for o, w := range s.words {
				if o != id && m.place(o) == is.Address {
					end = end || m.ends(s, w)
					says = says || w.State == Up && !w.held && s.standing != Out
				}
			}
			if end && !says {
				is.State = Draining
			}
		}
		was, listed := m.view[id]
		up[id] = is.State == Up
		if d := m.doubts[id]; d != nil && (!up[id] || !listed || !m.up[id] || was.Started != is.Started || was.Address != is.Address) {
			*d = plainDoubt{heard: d.heard}
		}
		next[id] = is
	}
	failing, listed := 0, 0
	for id, d := range m.doubts {
		if _, listed := next[id]; !listed {
			delete(m.doubts, id)
		} else if !up[id] && d.failing {
			*d = plainDoubt{heard: d.heard}
		} else if d.failing {
			failing++
		}
	}
	for _, is := range up {
		if is {
			listed++
		}
	}
	most := max(1, int(m.cfg.SuspectShare*float64(listed)))
	if listed < 2 {
		most = 0
	}
	ours := failing > most
	for id, d := range m.doubts {
		if ours != m.ours && d.failing && d.trial {
			d.trial, d.turn = false, m.now+d.pause
		}
		if d.failing && !ours {
			is := next[id]
			is.Suspect = true
			if !d.trial {
				is.State = Draining
			}
			next[id] = is
		}
	}
	m.view, m.up, m.ours = next, up, ours
	return next
}

// place is where an id counts: at the address of the word that decides, or, of one that only ends are told of, that of any
// word; the test gives each id one address at all sources, or none other.
func (m *naive) place(id string) string {
	if best := m.best(id); best >= 0 {
		return m.sources[best].words[id].Address
	}
	for _, s := range m.sources {
		if w := s.words[id]; w != nil && w.Address != "" {
			return w.Address
		}
	}
	return ""
}

func testSettings(t *rapid.T) Settings {
	s := Settings{Hold: 4 * time.Second}
	for i := range rapid.IntRange(1, 3).Draw(t, "sources") {
		src := Source{Name: strconv.Itoa(i), Role: Role(rapid.IntRange(0, 2).Draw(t, "role")), Stale: 3 * time.Second}
		if rapid.Bool().Draw(t, "loses") {
			src.Lost = 6 * time.Second
		}
		s.Sources = append(s.Sources, src)
	}
	if rapid.Bool().Draw(t, "guard") {
		s.LossShare, s.LossFor = 0.5, 5*time.Second
	}
	if rapid.Bool().Draw(t, "suspects") {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = 2, time.Second, 0.4
		s.TrialFirst, s.TrialMost, s.TrialFor = 2*time.Second, 8*time.Second, time.Second
	}
	return s
}

func testEntries(t *rapid.T, ids int) (all []Entry) {
	for i := range ids {
		if !rapid.Bool().Draw(t, "named") {
			continue
		}
		e := Entry{ID: "n" + strconv.Itoa(i), Address: "at" + strconv.Itoa(i/2), Zone: "a",
			State: State(max(0, rapid.IntRange(-2, 2).Draw(t, "state")))}
		e.Started = []time.Duration{0, 50 * time.Second, 200 * time.Second}[rapid.IntRange(0, 2).Draw(t, "started")] // the last lies ahead
		if rapid.IntRange(0, 9).Draw(t, "label") == 0 {
			e.Labels = map[string]string{"v": "2"}
		}
		all = append(all, e)
	}
	return all
}

// The roster tells what a naive model works out, whatever is said, and Due never misses a moment.
func TestItTellsWhatANaiveModelWorksOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testSettings(t)
		r, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		m := newNaive(cfg)
		m.now = 100 * time.Second
		view := map[string]Change{}
		take := func(all []Change) {
			for _, c := range all {
				if view[c.ID] = c; c.State == Gone {
					delete(view, c.ID)
				}
			}
		}
		now := 100 * time.Second
		settle := func(what string) {
			m.resolve()
			for {
				at, ok := r.Due()
				if !ok || at > now {
					break
				}
				take(r.Tick(now))
			}
			if !maps.EqualFunc(view, m.view, func(a, b Change) bool { return a.same(&b.Entry) && a.Suspect == b.Suspect }) {
				t.Fatalf("after %s at %v:\n%v\nthe model has\n%v%s", what, now, show(view), show(m.view), differs(r, m, view))
			}
			if shown := r.Entries(); len(shown) != len(view) {
				t.Fatalf("%d entries are shown, of %d", len(shown), len(view))
			}
			for i, s := range r.Sources() {
				if s.Entries != m.sources[i].live() || s.Health != m.sources[i].health || s.Standing != m.sources[i].standing {
					t.Fatalf("after %s: source %d is shown as %+v", what, i, s)
				}
			}
		}
		const ids = 6
		lists := make([]int64, len(cfg.Sources)) // the highest revision of each, or -1: without
		for i := range lists {
			lists[i] = int64(rapid.IntRange(-1, 5).Draw(t, "revision"))
		}
		revision := func(i int) int64 {
			if lists[i] < 0 {
				return 0
			}
			if n := rapid.IntRange(-3, 2).Draw(t, "on"); n < -1 {
				return max(1, lists[i]+int64(n))
			} else if n > 0 {
				lists[i]++
			}
			return max(1, lists[i])
		}
		t.Repeat(map[string]func(*rapid.T){
			"whole": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				rev, entries := revision(i), testEntries(t, ids)
				m.alive(i, rev > m.sources[i].most)
				m.begin(i, rev)
				for _, e := range entries {
					m.learn(i, e, rev)
				}
				m.commit(i)
				m.stand()
				take(r.Said(now, i, true, rev, entries))
				settle("a whole list")
			},
			"changes": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				rev, entries := revision(i), testEntries(t, ids)
				m.changes(i, rev, entries)
				take(r.Said(now, i, false, rev, entries))
				settle("changes")
			},
			"slices": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				rev, s := revision(i), m.sources[i]
				m.begin(i, rev)
				nobody := true
				for _, o := range m.sources {
					nobody = nobody && o.standing != Decides
				}
				if nobody {
					m.alive(i, true)
				}
				r.Begin(now, i, rev)
				for range rapid.IntRange(0, 2).Draw(t, "slices") {
					entries := testEntries(t, ids)
					for _, e := range entries {
						m.learn(i, e, rev)
					}
					take(r.Add(now, i, entries))
					m.stand()
					settle("a slice")
				}
				if rapid.Bool().Draw(t, "whole") {
					m.alive(i, rev > s.most)
					m.commit(i)
					m.stand()
					take(r.Commit(now, i))
					settle("a list in slices")
				} else {
					s.open = false
					r.Broke(now, i, "broken")
				}
			},
			"heard": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				if m.sources[i].heard {
					m.alive(i, false)
				}
				r.Heard(now, i)
				settle("a sign of life")
			},
			"connect": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "times") {
					id, ok := "n"+strconv.Itoa(rapid.IntRange(0, ids-1).Draw(t, "id")), rapid.IntRange(0, 5).Draw(t, "ok") == 0
					m.connect(id, ok)
					r.Connect(now, id, ok)
					settle("a connect to " + id)
				}
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "seconds") {
					now += time.Second
					m.now = now
					at, ok := r.Due()
					m.tick()
					all := r.Tick(now)
					if len(all) > 0 && !(ok && at <= now) {
						t.Fatalf("%v changes at %v, and Due said %v, %v", all, now, at, ok)
					}
					take(all)
					settle("a second")
				}
			},
		})
	})
}

func show(view map[string]Change) (s string) {
	for _, id := range slices.Sorted(maps.Keys(view)) {
		s += fmt.Sprintf("  %+v\n", view[id])
	}
	return s
}

// differs says why the roster holds what the model does not.
func differs(r *Roster, m *naive, view map[string]Change) (s string) {
	for i := range 10 {
		id := "n" + strconv.Itoa(i)
		if a, b := view[id], m.view[id]; !a.same(&b.Entry) || a.Suspect != b.Suspect {
			s += r.Why(id) + "\n"
		}
	}
	return s
}
