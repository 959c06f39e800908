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

// model is a reference implementation: it recomputes everything from plain maps per source, without timers, slices,
// indexes or dirty flags.
type model struct {
	cfg        Settings
	now        time.Duration
	sources    []*modelSource
	connects   map[string]*modelConnects
	view       map[string]Change
	reportedUp map[string]bool // by the sources' reports
	localFault bool
}

// modelSource is a source of the model.
type modelSource struct {
	reports                       map[string]*modelReport
	heard, listOpen, guarded      bool
	lastSeen, returnUntil, lostAt time.Duration
	guardEnd                      time.Duration
	health                        Health
	standing                      Standing
	rev, maxRev, listRev          int64
	guardBaseline                 int
	listed                        map[string]bool
}

// modelReport is the latest report of a source about an id.
type modelReport struct {
	Entry
	reportedStart, holdUntil, endedStart time.Duration // endedStart: start of the process that drained or was removed
	endRev                               int64
	overruled, doubted, omitted          bool
}

// modelConnects holds the connect results of a node.
type modelConnects struct {
	failures                                  int
	failingSince, trialPause, trialAt, lastOK time.Duration
	failing, onTrial                          bool
}

func newModel(s Settings) *model {
	m := &model{cfg: s, connects: map[string]*modelConnects{}, view: map[string]Change{}, reportedUp: map[string]bool{}}
	for range s.Sources {
		m.sources = append(m.sources, &modelSource{reports: map[string]*modelReport{}})
	}
	return m
}

func (s *modelSource) live() (n int) {
	for _, rep := range s.reports {
		if rep.State != Gone {
			n++
		}
	}
	return n
}

func (m *model) eligible(i int) bool {
	s := m.sources[i]
	return (s.health == Fresh || s.health == Stale) && s.returnUntil == 0
}

func (m *model) pickDecider(role Role) int {
	most, held := 0, false
	for i, s := range m.sources {
		if m.cfg.Sources[i].Role != Joined && m.eligible(i) {
			most = max(most, s.live())
		}
		held = held || m.cfg.LossShare > 0 && m.cfg.Sources[i].Role != Joined && s.standing == Decides && s.live() > 0
	}
	for _, want := range []Health{Fresh, Stale} {
		for i, s := range m.sources {
			tooShort := most >= minGuardedEntries && float64(s.live()) < m.cfg.LossShare*float64(most) || held && s.live() == 0
			if m.cfg.Sources[i].Role == role && m.eligible(i) && s.health == want && !tooShort {
				return i
			}
		}
	}
	return -1
}

func (m *model) updateStandings() {
	primaries, joined := false, false
	for i, s := range m.sources {
		c := m.cfg.Sources[i]
		age := m.now - s.lastSeen
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
			s.lostAt, s.returnUntil = s.lastSeen+c.Lost, 0
		}
		if s.returnUntil <= m.now {
			s.returnUntil = 0
		}
		primaries = primaries || c.Role == Primary
		joined = joined || c.Role == Joined && m.eligible(i)
		if s.guarded && s.guardEnd <= m.now {
			m.guardExpired(s)
		}
	}
	main := m.pickDecider(Primary)
	if main < 0 && (primaries || !joined) {
		main = m.pickDecider(Fallback)
	}
	if main < 0 {
		for i, s := range m.sources {
			if s.heard && !(m.cfg.Sources[i].Role == Joined && primaries) && (main < 0 || s.lastSeen > m.sources[main].lastSeen) {
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
		case i == main || m.cfg.Sources[i].Role == Joined && m.eligible(i):
			s.standing = Decides
		case m.eligible(i) && s.health == Fresh:
			s.standing = Standby
		case m.eligible(i) || s.returnUntil > 0 || s.health == Lost && m.now < s.lostAt+m.cfg.Hold:
			s.standing = DrainsOnly
		default:
			s.standing = Out
		}
	}
}

func (m *model) guardExpired(s *modelSource) {
	s.guardEnd = m.now + m.cfg.LossFor
	doubtedCount := 0
	for _, rep := range s.reports {
		if rep.doubted {
			doubtedCount++
		}
	}
	if s.health != Fresh || s.live() == doubtedCount {
		return
	}
	for id, rep := range s.reports {
		if d := m.connects[id]; rep.doubted && !(d != nil && d.lastOK > 0 && m.now-d.lastOK < m.cfg.LossFor) {
			m.remove(rep, s.rev, true)
			doubtedCount--
		}
	}
	s.guarded = doubtedCount > 0
}

func (m *model) markAlive(i int, moved bool) {
	s := m.sources[i]
	if moved {
		s.returnUntil = 0
	} else if lost := m.cfg.Sources[i].Lost; s.heard && lost > 0 && m.now-s.lastSeen >= lost && len(m.sources) > 1 {
		s.returnUntil = m.now + m.cfg.Hold
	}
	s.heard, s.lastSeen = true, m.now
	m.updateStandings()
}

func (m *model) beginList(i int, rev int64) {
	s := m.sources[i]
	s.listOpen, s.listRev, s.listed = true, rev, map[string]bool{}
	if !s.guarded {
		s.guardBaseline = s.live()
	}
}

func (m *model) commitList(i int) {
	s := m.sources[i]
	s.listOpen, s.rev, s.maxRev = false, s.listRev, max(s.maxRev, s.listRev)
	short := m.cfg.LossShare > 0 && s.guardBaseline > 0 && (len(s.listed) == 0 ||
		s.guardBaseline >= minGuardedEntries && float64(len(s.listed)) < m.cfg.LossShare*float64(s.guardBaseline))
	if short && !s.guarded {
		s.guardEnd = m.now + m.cfg.LossFor
	}
	s.guarded = short
	for id, rep := range s.reports {
		if !s.listed[id] && rep.State != Gone {
			if short {
				rep.doubted = true
			} else {
				m.remove(rep, s.rev, true)
			}
		}
	}
}

func (m *model) remove(rep *modelReport, rev int64, missing bool) {
	if !missing || !rep.overruled {
		rep.holdUntil = m.now + m.cfg.Hold
	}
	rep.omitted = missing && rep.State == Up && !rep.overruled
	rep.State, rep.overruled, rep.doubted = Gone, false, false
	rep.endRev, rep.endedStart = max(rep.endRev, rev), max(rep.endedStart, rep.reportedStart)
}

func (m *model) applyEntry(i int, e Entry, rev int64) {
	s := m.sources[i]
	rep := s.reports[e.ID]
	if rep == nil {
		rep = &modelReport{}
		rep.State = Gone
		if e.State == Gone {
			for _, o := range m.sources {
				if o.reports[e.ID] != nil {
					rep.Address = o.reports[e.ID].Address
				}
			}
			if len(m.sources) > 1 || rev != 0 {
				s.reports[e.ID], rep.endedStart = rep, m.now
				m.remove(rep, rev, false)
			}
			return
		}
		s.reports[e.ID] = rep
	}
	if e.State == Gone {
		m.remove(rep, rev, false)
		delete(s.listed, e.ID)
		return
	}
	if s.listOpen {
		s.listed[e.ID] = true
	}
	ended := rep.State != Up || rep.overruled
	held := ended && e.State == Up && rev != 0 && rev < rep.endRev && m.now < rep.holdUntil && e.Started <= rep.endedStart
	started, again := rep.Started, rep.State == Draining && rep.reportedStart == e.Started
	if rep.State == Gone && !held || rep.reportedStart != e.Started {
		started = min(e.Started, m.now)
	}
	if e.State == Draining {
		if !again {
			rep.holdUntil = m.now + m.cfg.Hold
		}
		rep.endRev, rep.endedStart = max(rep.endRev, rev), max(rep.endedStart, e.Started)
	} else if !held {
		rep.endRev, rep.holdUntil, rep.endedStart = 0, 0, 0
	}
	rep.Entry, rep.reportedStart, rep.overruled, rep.doubted, rep.omitted = e, e.Started, held, false, false
	rep.Started = started
}

func (m *model) applyChanges(i int, rev int64, entries []Entry) {
	s := m.sources[i]
	older := rev != 0 && rev < s.rev
	m.markAlive(i, !older && rev > s.maxRev)
	if !older {
		s.rev, s.maxRev = rev, max(s.maxRev, rev)
	}
	for _, e := range entries {
		if !older || e.State != Up {
			m.applyEntry(i, e, rev)
		}
	}
	m.updateStandings()
}

func (m *model) connect(id string, ok bool) {
	if _, listed := m.view[id]; !listed {
		return
	}
	d := m.connects[id]
	if d == nil {
		d = &modelConnects{}
		m.connects[id] = d
	}
	switch {
	case ok:
		*d = modelConnects{lastOK: max(m.now, 1)}
	case m.cfg.SuspectFails == 0:
	case d.failing && d.onTrial:
		d.trialPause = min(2*d.trialPause, m.cfg.TrialMost)
		d.onTrial, d.trialAt = false, m.now+d.trialPause
	case !d.failing:
		if d.failures++; d.failures == 1 {
			d.failingSince = m.now
		}
		if m.reportedUp[id] && d.failures >= m.cfg.SuspectFails && m.now-d.failingSince >= m.cfg.SuspectOver {
			d.failing, d.trialPause, d.trialAt = true, m.cfg.TrialFirst, m.now+m.cfg.TrialFirst
		}
	}
}

func (m *model) tick() {
	m.updateStandings()
	for _, s := range m.sources {
		for id, rep := range s.reports {
			if rep.holdUntil > m.now {
				continue
			}
			if rep.overruled {
				rep.overruled, rep.endRev, rep.endedStart = false, 0, 0
			}
			if rep.State == Gone {
				delete(s.reports, id)
			}
		}
	}
	for _, d := range m.connects {
		if d.failing && d.trialAt <= m.now {
			if d.onTrial = !d.onTrial && !m.localFault; d.onTrial {
				d.trialAt = m.now + m.cfg.TrialFor
			} else {
				d.trialAt = m.now + d.trialPause
			}
		}
	}
}

// decidingSource returns the source whose report about an id takes precedence, or -1.
func (m *model) decidingSource(id string) int {
	best := -1
	for i, s := range m.sources {
		if rep := s.reports[id]; rep != nil && rep.State != Gone && s.standing >= DrainsOnly &&
			(best < 0 || s.standing > m.sources[best].standing) {
			best = i
		}
	}
	return best
}

func (m *model) blocksNewWork(s *modelSource, rep *modelReport) bool {
	return s.standing != Out && rep != nil && (rep.overruled || rep.State == Draining || rep.State == Gone && !rep.omitted && m.now < rep.holdUntil)
}

func (m *model) listedBy(i int, id string) bool {
	rep := m.sources[i].reports[id]
	return rep != nil && rep.State != Gone
}

// aliasOf reports whether a is the same node as b, listed under an id of lower precedence.
func (m *model) aliasOf(a, b string) bool {
	x, y := m.decidingSource(a), m.decidingSource(b)
	if a == b || x < 0 || y < 0 || x == y {
		return false
	}
	if s, o := m.sources[x], m.sources[y]; s.standing > o.standing || s.standing == o.standing && x < y ||
		s.reports[a].Address != o.reports[b].Address {
		return false
	}
	for i := range m.sources {
		if m.listedBy(i, a) && m.listedBy(i, b) {
			return false
		}
	}
	return true
}

func (m *model) resolve() map[string]Change {
	ids := map[string]bool{}
	for _, s := range m.sources {
		for id := range s.reports {
			ids[id] = true
		}
	}
	next, up := map[string]Change{}, map[string]bool{}
	for id := range ids {
		best := m.decidingSource(id)
		hidden := false
		for o := range ids {
			hidden = hidden || m.aliasOf(id, o)
		}
		if best < 0 || hidden {
			continue
		}
		is := Change{Entry: m.sources[best].reports[id].Entry}
		if m.sources[best].standing == DrainsOnly {
			is.State = Draining
		}
		for i, s := range m.sources {
			if m.blocksNewWork(s, s.reports[id]) {
				is.State = Draining
			}
			if m.listedBy(i, id) {
				continue
			}
			up, drained := false, false // whether other ids at the address are up, or drain or are removed
			for o, rep := range s.reports {
				if o != id && m.addressOf(o) == is.Address {
					drained = drained || m.blocksNewWork(s, rep)
					up = up || rep.State == Up && !rep.overruled && s.standing != Out
				}
			}
			if drained && !up {
				is.State = Draining
			}
		}
		was, listed := m.view[id]
		up[id] = is.State == Up
		if d := m.connects[id]; d != nil && (!up[id] || !listed || !m.reportedUp[id] || was.Started != is.Started || was.Address != is.Address) {
			*d = modelConnects{lastOK: d.lastOK}
		}
		next[id] = is
	}
	failing, listed := 0, 0
	for id, d := range m.connects {
		if _, listed := next[id]; !listed {
			delete(m.connects, id)
		} else if !up[id] && d.failing {
			*d = modelConnects{lastOK: d.lastOK}
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
	for id, d := range m.connects {
		if ours != m.localFault && d.failing && d.onTrial {
			d.onTrial, d.trialAt = false, m.now+d.trialPause
		}
		if d.failing && !ours {
			is := next[id]
			is.Suspect = true
			if !d.onTrial {
				is.State = Draining
			}
			next[id] = is
		}
	}
	m.view, m.reportedUp, m.localFault = next, up, ours
	return next
}

// addressOf returns the address of an id: that of the deciding report, or of any report if there are only removals. The
// test gives each id the same address in all sources.
func (m *model) addressOf(id string) string {
	if best := m.decidingSource(id); best >= 0 {
		return m.sources[best].reports[id].Address
	}
	for _, s := range m.sources {
		if rep := s.reports[id]; rep != nil && rep.Address != "" {
			return rep.Address
		}
	}
	return ""
}

func drawSettings(t *rapid.T) Settings {
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

func drawEntries(t *rapid.T, ids int) (all []Entry) {
	for i := range ids {
		if !rapid.Bool().Draw(t, "named") {
			continue
		}
		e := Entry{ID: "n" + strconv.Itoa(i), Address: "at" + strconv.Itoa(i/2), Zone: "a",
			State: State(max(0, rapid.IntRange(-2, 2).Draw(t, "state")))}
		e.Started = []time.Duration{0, 50 * time.Second, 200 * time.Second}[rapid.IntRange(0, 2).Draw(t, "started")] // the last is in the future
		if rapid.IntRange(0, 9).Draw(t, "label") == 0 {
			e.Labels = map[string]string{"v": "2"}
		}
		all = append(all, e)
	}
	return all
}

// For any sequence of calls, the changes of the roster add up to the state of the model, and NextTick is never later
// than the next change.
func TestMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawSettings(t)
		r, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		m := newModel(cfg)
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
				at, ok := r.NextTick()
				if !ok || at > now {
					break
				}
				take(r.Tick(now))
			}
			if !maps.EqualFunc(view, m.view, func(a, b Change) bool { return a.equal(&b.Entry) && a.Suspect == b.Suspect }) {
				t.Fatalf("after %s at %v:\n%v\nthe model has\n%v%s", what, now, formatView(view), formatView(m.view), explainDifferences(r, m, view))
			}
			if shown := r.Entries(); len(shown) != len(view) {
				t.Fatalf("Entries returned %d entries, want %d", len(shown), len(view))
			}
			for i, s := range r.Sources() {
				if s.Entries != m.sources[i].live() || s.Health != m.sources[i].health || s.Standing != m.sources[i].standing {
					t.Fatalf("after %s: Sources returned %+[3]v for source %[2]d, which differs from the model", what, i, s)
				}
			}
		}
		const ids = 6
		lists := make([]int64, len(cfg.Sources)) // highest revision of each source; -1: it has no revisions
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
				rev, entries := revision(i), drawEntries(t, ids)
				m.markAlive(i, rev > m.sources[i].maxRev)
				m.beginList(i, rev)
				for _, e := range entries {
					m.applyEntry(i, e, rev)
				}
				m.commitList(i)
				m.updateStandings()
				take(r.Apply(now, i, true, rev, entries))
				settle("a whole list")
			},
			"changes": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				rev, entries := revision(i), drawEntries(t, ids)
				m.applyChanges(i, rev, entries)
				take(r.Apply(now, i, false, rev, entries))
				settle("changes")
			},
			"slices": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				rev, s := revision(i), m.sources[i]
				m.beginList(i, rev)
				nobody := true
				for _, o := range m.sources {
					nobody = nobody && o.standing != Decides
				}
				if nobody {
					m.markAlive(i, true)
				}
				r.Begin(now, i, rev)
				for range rapid.IntRange(0, 2).Draw(t, "slices") {
					entries := drawEntries(t, ids)
					for _, e := range entries {
						m.applyEntry(i, e, rev)
					}
					take(r.Add(now, i, entries))
					m.updateStandings()
					settle("a slice")
				}
				if rapid.Bool().Draw(t, "whole") {
					m.markAlive(i, rev > s.maxRev)
					m.commitList(i)
					m.updateStandings()
					take(r.Commit(now, i))
					settle("a list in slices")
				} else {
					s.listOpen = false
					r.RecordError(now, i, "broken")
				}
			},
			"heard": func(t *rapid.T) {
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "source")
				if m.sources[i].heard {
					m.markAlive(i, false)
				}
				r.RecordContact(now, i)
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
					at, ok := r.NextTick()
					m.tick()
					all := r.Tick(now)
					if len(all) > 0 && !(ok && at <= now) {
						t.Fatalf("changes %v at %v, but NextTick returned %v, %v", all, now, at, ok)
					}
					take(all)
					settle("a second")
				}
			},
		})
	})
}

// formatView prints a view, one entry per line.
func formatView(view map[string]Change) (s string) {
	for _, id := range slices.Sorted(maps.Keys(view)) {
		s += fmt.Sprintf("  %+v\n", view[id])
	}
	return s
}

// explainDifferences returns Roster.Explain for each id on which the roster and the model differ.
func explainDifferences(r *Roster, m *model, view map[string]Change) (s string) {
	for i := range 10 {
		id := "n" + strconv.Itoa(i)
		if a, b := view[id], m.view[id]; !a.equal(&b.Entry) || a.Suspect != b.Suspect {
			s += r.Explain(id) + "\n"
		}
	}
	return s
}
