package control

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

// 2000 walks of 60 steps: the default of 100 walks seldom reaches three layers of timed edits.
func TestMain(m *testing.M) { walks.Main(m, 2000, 60) }

// model is a reference implementation of State. It keeps a plain list of records and derives every answer from it, without
// layers, indexes, a heap or snapshots.
type model struct {
	records  []modelRecord // starting with revision 1
	floor    uint64
	statuses map[string]Sight
}

type modelRecord struct {
	kind        Kind
	id, by      string
	of          uint64
	edit        *Edit
	box         time.Duration
	writtenKeys []Key
	inForce     map[Key]uint64 // after this record: revision of the edit in force, per key
}

func (m *model) record(rev uint64) *modelRecord { return &m.records[rev-1] }

func (m *model) inForceAfter(k Key, rev uint64) uint64 {
	if rev == 0 {
		return 0
	}
	return m.record(rev).inForce[k]
}

func (m *model) inForce(k Key) uint64 { return m.inForceAfter(k, uint64(len(m.records))) }

func (m *model) lastWrite(k Key) uint64 {
	for i := len(m.records); i > 0; i-- {
		if slices.Contains(m.records[i-1].writtenKeys, k) {
			return uint64(i)
		}
	}
	return 0
}

// conflict names the latest record that wrote a key, or the edit in force if the history no longer has that record.
func (m *model) conflict(k Key) string {
	w := m.lastWrite(k)
	if w <= m.floor {
		w = m.inForce(k)
	}
	return fmt.Sprint("conflict ", k, w)
}

func (m *model) confirmed(rev uint64) bool {
	return slices.ContainsFunc(m.records, func(a modelRecord) bool { return a.kind == Confirmed && a.of == rev })
}

// expired reports whether the deadline of an edit has passed at a box time.
func (m *model) expired(rev uint64, box time.Duration) bool {
	a := m.record(rev)
	length := a.edit.For
	if a.edit.Trial > 0 && !m.confirmed(rev) {
		length = a.edit.Trial
	}
	return length > 0 && box >= a.box+length
}

func (m *model) unexpired(k Key, rev uint64, box time.Duration) uint64 {
	for rev > 0 && m.expired(rev, box) {
		rev = m.inForceAfter(k, rev-1)
	}
	return rev
}

func (m *model) addRecord(a modelRecord, to func(Key) uint64) {
	a.inForce = map[Key]uint64{}
	if len(m.records) > 0 {
		for k, v := range m.records[len(m.records)-1].inForce {
			a.inForce[k] = v
		}
	}
	for _, k := range a.writtenKeys {
		a.inForce[k] = to(k)
	}
	m.records = append(m.records, a)
}

// emptiedPools returns the pools that had a ready node before the latest record and have none after it.
func (m *model) emptiedPools() (out []string) {
	had, has := map[string]bool{}, map[string]bool{}
	for node, s := range m.statuses {
		for _, p := range s.Pools {
			k := newKey(keyTypeDrain, node)
			had[p] = had[p] || s.Ready && !m.hasEffect(k, m.inForceAfter(k, uint64(len(m.records)-1)))
			has[p] = has[p] || s.Ready && !m.hasEffect(k, m.inForce(k))
		}
	}
	for p := range had {
		if had[p] && !has[p] {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// hasEffect reports whether an edit writes a key other than to reset it.
func (m *model) hasEffect(k Key, rev uint64) bool {
	return slices.ContainsFunc(m.keyOps(rev), func(p keyOp) bool { return p.key == k && !p.op.resets() })
}

// edit validates an edit and appends its record. It returns the reason of a refusal, "" if the edit is accepted.
func (m *model) edit(e Edit, box time.Duration) (reason string) {
	var keys []Key
	for _, p := range e.What.keyOps() {
		keys = append(keys, p.key)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if w := m.lastWrite(k); e.Against > 0 && e.Against < m.floor && w <= m.floor && m.inForce(k) == 0 {
			return string(Old)
		}
	}
	for _, k := range keys {
		if w := m.lastWrite(k); e.Against > 0 && w > e.Against {
			return m.conflict(k)
		}
	}
	rev := uint64(len(m.records) + 1)
	m.addRecord(modelRecord{kind: Edited, id: e.ID, by: e.By, edit: &e, box: box, writtenKeys: keys}, func(Key) uint64 { return rev })
	if !e.Force && len(m.emptiedPools()) > 0 {
		return string(Last)
	}
	return ""
}

func (m *model) undo(b Back, box time.Duration) (reason string) {
	if b.Revision <= m.floor || b.Revision > uint64(len(m.records)) {
		return string(Unknown)
	}
	of := m.record(b.Revision)
	if len(of.writtenKeys) == 0 {
		return string(Invalid)
	}
	changed := false
	to := func(k Key) uint64 { return m.unexpired(k, m.inForceAfter(k, b.Revision-1), box) }
	for _, k := range of.writtenKeys {
		if of.kind == Edited && m.inForce(k) != b.Revision || of.kind != Edited && m.lastWrite(k) != b.Revision {
			return m.conflict(k)
		}
		changed = changed || to(k) != m.inForce(k)
	}
	if !changed {
		return string(Late)
	}
	m.addRecord(modelRecord{kind: Undone, id: b.ID, by: b.By, of: b.Revision, box: box, writtenKeys: of.writtenKeys}, to)
	if !b.Force && len(m.emptiedPools()) > 0 {
		return string(Last)
	}
	return ""
}

// inForceOrPending reports whether an edit is in force at a key, or lies below timed edits only.
func (m *model) inForceOrPending(k Key, rev uint64) bool {
	at := m.inForce(k)
	for at > rev && m.expired(at, 1<<62) {
		at = m.inForceAfter(k, at-1)
	}
	return at == rev
}

func (m *model) confirm(rev uint64, by string, box time.Duration) (reason string) {
	e := m.record(rev).edit
	switch {
	case e.Trial == 0:
		return string(Invalid)
	case m.confirmed(rev):
		return "already"
	case m.expired(rev, box):
		return string(Late)
	}
	for _, k := range m.record(rev).writtenKeys {
		if m.inForceOrPending(k, rev) {
			m.addRecord(modelRecord{kind: Confirmed, by: by, of: rev, box: box}, nil)
			return ""
		}
	}
	return m.conflict(m.record(rev).writtenKeys[0])
}

// timedInForce returns the timed edits that are in force at any key, those past their deadline included.
func (m *model) timedInForce() (all []uint64) {
	for i := range m.records {
		rev := uint64(i + 1)
		if m.records[i].kind == Edited && m.expired(rev, 1<<62) &&
			slices.ContainsFunc(m.records[i].writtenKeys, func(k Key) bool { return m.inForce(k) == rev }) {
			all = append(all, rev)
		}
	}
	return all
}

func (m *model) end(rev uint64, box time.Duration) {
	var keys []Key
	for _, k := range m.record(rev).writtenKeys {
		if m.inForce(k) == rev {
			keys = append(keys, k)
		}
	}
	m.addRecord(modelRecord{kind: Ended, of: rev, box: box, writtenKeys: keys}, func(k Key) uint64 { return m.unexpired(k, m.inForceAfter(k, rev-1), box) })
}

// wants returns the operation in force at each key, with the author and revision of its edit and the revision since
// which it is in force.
func (m *model) wants() map[Key]string {
	all := map[Key]string{}
	if len(m.records) == 0 {
		return all
	}
	for k, rev := range m.records[len(m.records)-1].inForce {
		for _, p := range m.keyOps(rev) {
			if p.key == k && !p.op.resets() {
				all[k] = fmt.Sprint(p.op, m.record(rev).by, rev, m.lastWrite(k))
			}
		}
	}
	return all
}

func (m *model) keyOps(rev uint64) []keyOp {
	if rev == 0 {
		return nil
	}
	return m.record(rev).edit.What.keyOps()
}

func outcome(err error) string {
	var conflict *Conflict
	var refused *Refusal
	switch {
	case err == nil:
		return ""
	case errors.As(err, &conflict):
		return fmt.Sprint("conflict ", conflict.Key, conflict.Theirs.Revision)
	case errors.As(err, &refused):
		return string(refused.Why)
	}
	return err.Error()
}

func randomOp(t *rapid.T) Op {
	node := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "node")
	pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0, 1, 7:
		return Drain{node}
	case 2, 8:
		return Restore{node}
	case 3:
		return Weight{node, float64(rapid.IntRange(0, 3).Draw(t, "weight"))}
	case 4:
		return Cap{pool, rapid.IntRange(0, 3).Draw(t, "open")}
	case 5:
		return Unpool{pool}
	case 6:
		return Pool{pool, []string{node}}
	}
	return Several{[]Op{Drain{"n1"}, Weight{node, 2}, Cap{pool, 7}}}
}

// Compares State with the model under random edits, undos, confirmations, passing time, jumps of the wall clock, and kills
// before and between the two phases. A restart from disk, or from a snapshot and the records since, must not change the
// answers.
func TestRandomEditsAgainstTheModel(t *testing.T) {
	covered := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		b, m := newBox(), &model{statuses: map[string]Sight{}}
		var snap []byte // latest snapshot; nil: none
		ids := 0
		boxNow := func() time.Duration { return b.stamp(b.now).Box }
		times := rapid.SampledFrom([]time.Duration{0, 0, 0, 5 * time.Second, 20 * time.Second})
		// commit performs both phases, with a kill before or between them; false: the record was lost.
		commit := func(t *rapid.T, r Record) bool {
			switch rapid.IntRange(0, 19).Draw(t, "kill") {
			case 0:
				covered["killed before"]++
				restartChecked(t, b, snap, m)
				return false
			case 1:
				covered["killed between"]++
				b.write(r)
				restartChecked(t, b, snap, m)
				return true
			}
			_, err := b.writeAndCommit(r)
			if err != nil {
				t.Fatalf("%v: %v", &r, err)
			}
			return true
		}
		checkOutcome := func(t *rapid.T, what string, r Record, got error, candidate *model, want string) {
			if outcome(got) != want {
				t.Fatalf("%s: %q, want %q (%v)", what, outcome(got), want, got)
			}
			covered[what+" "+want[:min(len(want), 8)]]++
			if got == nil && len(candidate.records) > 0 && !slices.Equal(r.Empties, candidate.emptiedPools()) {
				t.Fatalf("%v empties %v, want %v", &r, r.Empties, candidate.emptiedPools())
			}
			if got == nil && commit(t, r) {
				*m = *candidate
			}
		}
		fork := func() *model { c := *m; c.records = slices.Clone(m.records); return &c }
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				ids++
				e := Edit{ID: fmt.Sprint("e", ids), By: rapid.SampledFrom([]string{"ann", "ben"}).Draw(t, "by"), What: randomOp(t),
					Trial: times.Draw(t, "trial"), For: times.Draw(t, "for"),
					Force: rapid.Bool().Draw(t, "force"), Against: uint64(max(0, rapid.IntRange(-3, len(m.records)).Draw(t, "against")))}
				if e.For > 0 && e.Trial >= e.For {
					e.Trial = 0
				}
				candidate := fork()
				want := candidate.edit(e, boxNow())
				r, err := b.Propose(b.now, e)
				checkOutcome(t, "edit", r, err, candidate, want)
			},
			"again": func(t *rapid.T) { // a retry by a client that has not received the answer
				if len(m.records) == 0 {
					return
				}
				rev := uint64(rapid.IntRange(1, len(m.records)).Draw(t, "revision"))
				a := m.record(rev)
				if rev <= m.floor {
					return
				}
				var r Record
				var err error
				switch a.kind {
				case Edited:
					r, err = b.Propose(b.now, *a.edit)
				case Undone:
					r, err = b.Undo(b.now, Back{ID: a.id, By: a.by, Revision: a.of})
				default:
					return
				}
				if err != nil || r.Revision != rev {
					t.Fatalf("%s again: %d, %v, want %d", a.id, r.Revision, err, rev)
				}
				covered["again"]++
			},
			"undo": func(t *rapid.T) {
				ids++
				req := Back{ID: fmt.Sprint("u", ids), By: "ben", Force: rapid.Bool().Draw(t, "force"), Revision: uint64(len(m.records) - rapid.SampledFrom([]int{0, 0, 1, 1, 2, 3, 8, -1}).Draw(t, "back"))}
				if req.Revision > 1<<60 || req.Revision < m.floor {
					return
				}
				candidate := fork()
				want := candidate.undo(req, boxNow())
				r, err := b.Undo(b.now, req)
				checkOutcome(t, "undo", r, err, candidate, want)
			},
			"confirm": func(t *rapid.T) {
				var trials []uint64
				for i, a := range m.records {
					rev := uint64(i + 1)
					if a.kind == Edited && (a.edit.Trial > 0 || i%8 == 0) && (rev > m.floor || !m.expired(rev, boxNow()) && slices.ContainsFunc(a.writtenKeys, func(k Key) bool { return m.inForceOrPending(k, rev) })) {
						trials = append(trials, rev)
					}
				}
				if len(trials) == 0 {
					return
				}
				rev := rapid.SampledFrom(trials).Draw(t, "revision")
				candidate := fork()
				want := candidate.confirm(rev, "ann", boxNow())
				r, err := b.Confirm(b.now, m.record(rev).id, "ann")
				if want == "already" && err == nil && r.Revision <= b.Revision() && r.Of == rev {
					covered["confirm already"]++
					return
				}
				checkOutcome(t, "confirm", r, err, candidate, want)
			},
			"hear": func(t *rapid.T) {
				node := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "node")
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					b.Gone(node)
					delete(m.statuses, node)
					return
				}
				m.statuses[node] = Sight{Ready: rapid.IntRange(0, 3).Draw(t, "ready") > 0,
					Pools: rapid.SampledFrom([][]string{nil, {"p"}, {"p", "q"}, {"q", "p", "q"}}).Draw(t, "pools")}
				b.Hear(node, m.statuses[node])
			},
			"time": func(t *rapid.T) {
				b.advance(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
				if rapid.IntRange(0, 3).Draw(t, "jumps") == 0 {
					b.now.Wall = b.now.Wall.Add(time.Duration(rapid.SampledFrom([]int{-1, 1}).Draw(t, "hours")) * time.Hour)
				}
			},
			"tick": func(t *rapid.T) {
				for {
					due, next := b.Tick(b.now)
					timed := m.timedInForce()
					if len(due) == 0 {
						over := slices.ContainsFunc(timed, func(rev uint64) bool { return m.expired(rev, boxNow()) })
						if over || (next < 0) != (len(timed) == 0) {
							t.Fatalf("nothing is due, next in %v, but %v wait to expire, one expired: %t", next, timed, over)
						}
						if next > 0 && next < maxTickInterval && !slices.ContainsFunc(timed, func(rev uint64) bool { return m.expired(rev, boxNow()+next) }) {
							t.Fatalf("next in %v, but nothing expires then", next)
						}
						return
					}
					for _, r := range due {
						covered["tick "+string(r.Kind)]++
						if r.Kind == Ended && (!m.expired(r.Of, r.Box) || !slices.Contains(timed, r.Of)) {
							t.Fatalf("%v at %v, but its edit has not expired or is not in force", &r, r.Box)
						}
						if !commit(t, r) {
							return
						}
						if r.Kind == Clock {
							m.addRecord(modelRecord{kind: Clock, box: r.Box}, nil)
						} else {
							m.end(r.Of, r.Box)
							if !slices.Equal(r.Empties, m.emptiedPools()) {
								t.Fatalf("%v empties %v, want %v", &r, r.Empties, m.emptiedPools())
							}
							if len(m.emptiedPools()) > 0 {
								covered["tick empties"]++
							}
						}
						if b.Revision() != r.Revision {
							return
						}
					}
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "reboot") {
					b.now.Boot, b.now.Mono = b.now.Boot+"'", time.Second
					b.now.Wall = b.now.Wall.Add(time.Duration(rapid.IntRange(-60, 60).Draw(t, "seconds")) * time.Second)
				}
				restartChecked(t, b, snap, m)
			},
			"snapshot": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "trim") == 0 {
					keep := rapid.IntRange(0, 10).Draw(t, "keep")
					b.Trim(keep)
					m.floor = max(m.floor, uint64(max(0, len(m.records)-keep)))
					covered["trim"]++
				}
				var err error
				if snap, err = b.Snapshot(); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				if b.Revision() != uint64(len(m.records)) || len(b.disk) != len(m.records) {
					t.Fatalf("revision %d, %d records on disk, want %d", b.Revision(), len(b.disk), len(m.records))
				}
				got := map[Key]string{}
				for _, w := range b.Want().All {
					got[w.Key] = fmt.Sprint(w.What, w.By, w.Revision, w.Since)
				}
				if want := m.wants(); !reflect.DeepEqual(got, want) {
					t.Fatalf("wants %v, want %v", got, want)
				}
				if len(m.records) > 0 {
					rev := uint64(rapid.IntRange(int(m.floor), len(m.records)).Draw(t, "then"))
					then, err := b.At(rev)
					if err != nil {
						t.Fatal(err)
					}
					for _, w := range then.All {
						if m.inForceAfter(w.Key, rev) != w.Revision {
							t.Fatalf("%s at %d: %d, want %d", w.Key, rev, w.Revision, m.inForceAfter(w.Key, rev))
						}
					}
				}
			},
		})
	})
	t.Log(covered)
	if flag.Lookup("rapid.checks").Value.String() != "2000" {
		return
	}
	for _, what := range []string{"edit ", "edit conflict", "edit old", "edit last", "again", "undo ", "undo conflict", "undo late", "undo last", "undo unknown",
		"undo invalid", "confirm ", "confirm already", "confirm late", "confirm conflict", "confirm invalid", "tick end", "tick empties", "tick clock",
		"trim", "killed before", "killed between"} {
		if covered[what] == 0 {
			t.Errorf("no run covered: %s", what)
		}
	}
}

// restartChecked restarts the box from disk, or from a snapshot and the records since. In the second case it checks that
// all records alone give the same settings.
func restartChecked(t *rapid.T, b *testBox, snap []byte, m *model) {
	defer func() {
		for node, s := range m.statuses {
			b.Hear(node, s)
		}
	}()
	if snap == nil {
		if err := b.restart(); err != nil {
			t.Fatal(err)
		}
		return
	}
	s, err := FromSnapshot(snap)
	if err != nil {
		t.Fatal(err)
	}
	for _, raw := range b.disk[s.Revision():] {
		var r Record
		if err := json.Unmarshal([]byte(raw), &r); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Commit(r); err != nil {
			t.Fatal(err)
		}
	}
	fromRecords := &testBox{disk: b.disk}
	if err := fromRecords.restart(); err != nil {
		t.Fatal(err)
	}
	if got, want := s.Want(), fromRecords.Want(); !reflect.DeepEqual(got, want) {
		t.Fatalf("from the snapshot: %v, from the records alone: %v", got, want)
	}
	b.State = s
}
