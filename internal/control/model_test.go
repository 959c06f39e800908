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

// A hundred walks, the default, seldom meet three layers of timed edits.
func TestMain(m *testing.M) { walks.Main(m, 2000, 60) }

// naive keeps what was done as a plain list, and works everything out anew from it: no layer, index, heap or snapshot.
type naive struct {
	done   []act // revision 1 first
	floor  uint64
	sights map[string]Sight
}

type act struct {
	kind   Kind
	id, by string
	of     uint64
	edit   *Edit
	box    time.Duration
	writes []Key
	top    map[Key]uint64 // whose word is in force, at all keys, after it
}

func (n *naive) at(rev uint64) *act { return &n.done[rev-1] }

func (n *naive) topAfter(k Key, rev uint64) uint64 {
	if rev == 0 {
		return 0
	}
	return n.at(rev).top[k]
}

func (n *naive) top(k Key) uint64 { return n.topAfter(k, uint64(len(n.done))) }

func (n *naive) lastWrite(k Key) uint64 {
	for i := len(n.done); i > 0; i-- {
		if slices.Contains(n.done[i-1].writes, k) {
			return uint64(i)
		}
	}
	return 0
}

// clash names the latest that wrote a key, or, where the history goes back less far, the edit in force.
func (n *naive) clash(k Key) string {
	w := n.lastWrite(k)
	if w <= n.floor {
		w = n.top(k)
	}
	return fmt.Sprint("conflict ", k, w)
}

func (n *naive) confirmed(rev uint64) bool {
	return slices.ContainsFunc(n.done, func(a act) bool { return a.kind == Confirmed && a.of == rev })
}

// over says that an edit's word has run out.
func (n *naive) over(rev uint64, box time.Duration) bool {
	a := n.at(rev)
	length := a.edit.For
	if a.edit.Trial > 0 && !n.confirmed(rev) {
		length = a.edit.Trial
	}
	return length > 0 && box >= a.box+length
}

func (n *naive) alive(k Key, rev uint64, box time.Duration) uint64 {
	for rev > 0 && n.over(rev, box) {
		rev = n.topAfter(k, rev-1)
	}
	return rev
}

func (n *naive) add(a act, to func(Key) uint64) {
	a.top = map[Key]uint64{}
	if len(n.done) > 0 {
		for k, v := range n.done[len(n.done)-1].top {
			a.top[k] = v
		}
	}
	for _, k := range a.writes {
		a.top[k] = to(k)
	}
	n.done = append(n.done, a)
}

// emptied gives the pools that had a ready node before the latest act and have none after it.
func (n *naive) emptied() (out []string) {
	had, has := map[string]bool{}, map[string]bool{}
	for node, s := range n.sights {
		for _, p := range s.Pools {
			k := key(thingDrain, node)
			had[p] = had[p] || s.Ready && !n.says(k, n.topAfter(k, uint64(len(n.done)-1)))
			has[p] = has[p] || s.Ready && !n.says(k, n.top(k))
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

// says: anything but what takes its own word back.
func (n *naive) says(k Key, rev uint64) bool {
	return slices.ContainsFunc(n.words(rev), func(p part) bool { return p.key == k && !p.op.empty() })
}

// edit judges and makes; the word is "" where it is taken.
func (n *naive) edit(e Edit, box time.Duration) (no string) {
	var keys []Key
	for _, p := range e.What.parts() {
		keys = append(keys, p.key)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if w := n.lastWrite(k); e.Against > 0 && e.Against < n.floor && w <= n.floor && n.top(k) == 0 {
			return string(Old)
		}
	}
	for _, k := range keys {
		if w := n.lastWrite(k); e.Against > 0 && w > e.Against {
			return n.clash(k)
		}
	}
	rev := uint64(len(n.done) + 1)
	n.add(act{kind: Edited, id: e.ID, by: e.By, edit: &e, box: box, writes: keys}, func(Key) uint64 { return rev })
	if !e.Force && len(n.emptied()) > 0 {
		return string(Last)
	}
	return ""
}

func (n *naive) undo(b Back, box time.Duration) (no string) {
	if b.Revision <= n.floor || b.Revision > uint64(len(n.done)) {
		return string(Unknown)
	}
	of := n.at(b.Revision)
	if len(of.writes) == 0 {
		return string(Invalid)
	}
	moves := false
	to := func(k Key) uint64 { return n.alive(k, n.topAfter(k, b.Revision-1), box) }
	for _, k := range of.writes {
		if of.kind == Edited && n.top(k) != b.Revision || of.kind != Edited && n.lastWrite(k) != b.Revision {
			return n.clash(k)
		}
		moves = moves || to(k) != n.top(k)
	}
	if !moves {
		return string(Late)
	}
	n.add(act{kind: Undone, id: b.ID, by: b.By, of: b.Revision, box: box, writes: of.writes}, to)
	if !b.Force && len(n.emptied()) > 0 {
		return string(Last)
	}
	return ""
}

// reaches says that the edit is in force at the key, or under timed ones alone.
func (n *naive) reaches(k Key, rev uint64) bool {
	at := n.top(k)
	for at > rev && n.over(at, 1<<62) {
		at = n.topAfter(k, at-1)
	}
	return at == rev
}

func (n *naive) confirm(rev uint64, by string, box time.Duration) (no string) {
	e := n.at(rev).edit
	switch {
	case e.Trial == 0:
		return string(Invalid)
	case n.confirmed(rev):
		return "already"
	case n.over(rev, box):
		return string(Late)
	}
	for _, k := range n.at(rev).writes {
		if n.reaches(k, rev) {
			n.add(act{kind: Confirmed, by: by, of: rev, box: box}, nil)
			return ""
		}
	}
	return n.clash(n.at(rev).writes[0])
}

// open gives the edits that are in force somewhere and will end, or have to.
func (n *naive) open() (all []uint64) {
	for i := range n.done {
		rev := uint64(i + 1)
		if n.done[i].kind == Edited && n.over(rev, 1<<62) &&
			slices.ContainsFunc(n.done[i].writes, func(k Key) bool { return n.top(k) == rev }) {
			all = append(all, rev)
		}
	}
	return all
}

func (n *naive) end(rev uint64, box time.Duration) {
	var keys []Key
	for _, k := range n.at(rev).writes {
		if n.top(k) == rev {
			keys = append(keys, k)
		}
	}
	n.add(act{kind: Ended, of: rev, box: box, writes: keys}, func(k Key) uint64 { return n.alive(k, n.topAfter(k, rev-1), box) })
}

// wants gives each key's word, with the edit that it is of and the revision since which it is.
func (n *naive) wants() map[Key]string {
	all := map[Key]string{}
	if len(n.done) == 0 {
		return all
	}
	for k, rev := range n.done[len(n.done)-1].top {
		for _, p := range n.words(rev) {
			if p.key == k && !p.op.empty() {
				all[k] = fmt.Sprint(p.op, n.at(rev).by, rev, n.lastWrite(k))
			}
		}
	}
	return all
}

func (n *naive) words(rev uint64) []part {
	if rev == 0 {
		return nil
	}
	return n.at(rev).edit.What.parts()
}

func refusal(err error) string {
	var clash *Conflict
	var no *Refusal
	switch {
	case err == nil:
		return ""
	case errors.As(err, &clash):
		return fmt.Sprint("conflict ", clash.Key, clash.Theirs.Revision)
	case errors.As(err, &no):
		return string(no.Why)
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

// Random edits, undos, confirms, passing time, jumps of the wall clock, and kills at each point between the two phases,
// against the naive list. What is started anew from the disk, or from a snapshot and the records since, goes on the same.
func TestRandomEditsAgainstTheModel(t *testing.T) {
	met := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		b, n := newBox(), &naive{sights: map[string]Sight{}}
		var snap []byte // with the records since
		ids := 0
		boxNow := func() time.Duration { return b.stamp(b.now).Box }
		times := rapid.SampledFrom([]time.Duration{0, 0, 0, 5 * time.Second, 20 * time.Second})
		// both is the two phases, with a kill before, between or after; false: it never was.
		both := func(t *rapid.T, r Record) bool {
			switch rapid.IntRange(0, 19).Draw(t, "kill") {
			case 0:
				met["killed before"]++
				restart(t, b, snap, n)
				return false
			case 1:
				met["killed between"]++
				b.write(r)
				restart(t, b, snap, n)
				return true
			}
			_, err := b.keep(r)
			if err != nil {
				t.Fatalf("%v: %v", &r, err)
			}
			return true
		}
		agree := func(t *rapid.T, what string, r Record, got error, try *naive, want string) {
			if refusal(got) != want {
				t.Fatalf("%s: %q, where %q is wanted (%v)", what, refusal(got), want, got)
			}
			met[what+" "+want[:min(len(want), 8)]]++
			if got == nil && len(try.done) > 0 && !slices.Equal(r.Empties, try.emptied()) {
				t.Fatalf("%v empties %v, where %v is wanted", &r, r.Empties, try.emptied())
			}
			if got == nil && both(t, r) {
				*n = *try
			}
		}
		fork := func() *naive { c := *n; c.done = slices.Clone(n.done); return &c }
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				ids++
				e := Edit{ID: fmt.Sprint("e", ids), By: rapid.SampledFrom([]string{"ann", "ben"}).Draw(t, "by"), What: randomOp(t),
					Trial: times.Draw(t, "trial"), For: times.Draw(t, "for"),
					Force: rapid.Bool().Draw(t, "force"), Against: uint64(max(0, rapid.IntRange(-3, len(n.done)).Draw(t, "against")))}
				if e.For > 0 && e.Trial >= e.For {
					e.Trial = 0
				}
				try := fork()
				want := try.edit(e, boxNow())
				r, err := b.Propose(b.now, e)
				agree(t, "edit", r, err, try, want)
			},
			"again": func(t *rapid.T) { // the same id, which the one who sent it does not know to be made
				if len(n.done) == 0 {
					return
				}
				rev := uint64(rapid.IntRange(1, len(n.done)).Draw(t, "revision"))
				a := n.at(rev)
				if rev <= n.floor {
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
					t.Fatalf("%s again: %d, %v, where %d is wanted", a.id, r.Revision, err, rev)
				}
				met["again"]++
			},
			"undo": func(t *rapid.T) {
				ids++
				k := Back{ID: fmt.Sprint("u", ids), By: "ben", Force: rapid.Bool().Draw(t, "force"), Revision: uint64(len(n.done) - rapid.SampledFrom([]int{0, 0, 1, 1, 2, 3, 8, -1}).Draw(t, "back"))}
				if k.Revision > 1<<60 || k.Revision < n.floor {
					return
				}
				try := fork()
				want := try.undo(k, boxNow())
				r, err := b.Undo(b.now, k)
				agree(t, "undo", r, err, try, want)
			},
			"confirm": func(t *rapid.T) {
				var trials []uint64
				for i, a := range n.done {
					rev := uint64(i + 1)
					if a.kind == Edited && (a.edit.Trial > 0 || i%8 == 0) && (rev > n.floor || !n.over(rev, boxNow()) && slices.ContainsFunc(a.writes, func(k Key) bool { return n.reaches(k, rev) })) {
						trials = append(trials, rev)
					}
				}
				if len(trials) == 0 {
					return
				}
				rev := rapid.SampledFrom(trials).Draw(t, "revision")
				try := fork()
				want := try.confirm(rev, "ann", boxNow())
				r, err := b.Confirm(b.now, n.at(rev).id, "ann")
				if want == "already" && err == nil && r.Revision <= b.Revision() && r.Of == rev {
					met["confirm already"]++
					return
				}
				agree(t, "confirm", r, err, try, want)
			},
			"hear": func(t *rapid.T) {
				node := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "node")
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					b.Gone(node)
					delete(n.sights, node)
					return
				}
				n.sights[node] = Sight{Ready: rapid.IntRange(0, 3).Draw(t, "ready") > 0,
					Pools: rapid.SampledFrom([][]string{nil, {"p"}, {"p", "q"}, {"q", "p", "q"}}).Draw(t, "pools")}
				b.Hear(node, n.sights[node])
			},
			"time": func(t *rapid.T) {
				b.pass(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
				if rapid.IntRange(0, 3).Draw(t, "jumps") == 0 {
					b.now.Wall = b.now.Wall.Add(time.Duration(rapid.SampledFrom([]int{-1, 1}).Draw(t, "hours")) * time.Hour)
				}
			},
			"tick": func(t *rapid.T) {
				for {
					due, next := b.Tick(b.now)
					open := n.open()
					if len(due) == 0 {
						over := slices.ContainsFunc(open, func(rev uint64) bool { return n.over(rev, boxNow()) })
						if over || (next < 0) != (len(open) == 0) {
							t.Fatalf("nothing is due, next in %v, where %v are open, one over: %t", next, open, over)
						}
						if next > 0 && next < lookMost && !slices.ContainsFunc(open, func(rev uint64) bool { return n.over(rev, boxNow()+next) }) {
							t.Fatalf("next in %v, where nothing ends then", next)
						}
						return
					}
					for _, r := range due {
						met["tick "+string(r.Kind)]++
						if r.Kind == Ended && (!n.over(r.Of, r.Box) || !slices.Contains(open, r.Of)) {
							t.Fatalf("%v at %v, which is not over or not open", &r, r.Box)
						}
						if !both(t, r) {
							return
						}
						if r.Kind == Clock {
							n.add(act{kind: Clock, box: r.Box}, nil)
						} else {
							n.end(r.Of, r.Box)
							if !slices.Equal(r.Empties, n.emptied()) {
								t.Fatalf("%v empties %v, where %v is wanted", &r, r.Empties, n.emptied())
							}
							if len(n.emptied()) > 0 {
								met["tick empties"]++
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
				restart(t, b, snap, n)
			},
			"snapshot": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "trim") == 0 {
					keep := rapid.IntRange(0, 10).Draw(t, "keep")
					b.Trim(keep)
					n.floor = max(n.floor, uint64(max(0, len(n.done)-keep)))
					met["trim"]++
				}
				var err error
				if snap, err = b.Snapshot(); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				if b.Revision() != uint64(len(n.done)) || len(b.disk) != len(n.done) {
					t.Fatalf("revision %d, %d on disk, where %d were made", b.Revision(), len(b.disk), len(n.done))
				}
				got := map[Key]string{}
				for _, w := range b.Want().All {
					got[w.Key] = fmt.Sprint(w.What, w.By, w.Revision, w.Since)
				}
				if want := n.wants(); !reflect.DeepEqual(got, want) {
					t.Fatalf("wants %v, where %v is wanted", got, want)
				}
				if len(n.done) > 0 {
					rev := uint64(rapid.IntRange(int(n.floor), len(n.done)).Draw(t, "then"))
					then, err := b.At(rev)
					if err != nil {
						t.Fatal(err)
					}
					for _, w := range then.All {
						if n.topAfter(w.Key, rev) != w.Revision {
							t.Fatalf("%s at %d: %d, where %d is wanted", w.Key, rev, w.Revision, n.topAfter(w.Key, rev))
						}
					}
				}
			},
		})
	})
	t.Log(met)
	if flag.Lookup("rapid.checks").Value.String() != "2000" {
		return
	}
	for _, what := range []string{"edit ", "edit conflict", "edit old", "edit last", "again", "undo ", "undo conflict", "undo late", "undo last", "undo unknown",
		"undo invalid", "confirm ", "confirm already", "confirm late", "confirm conflict", "confirm invalid", "tick end", "tick empties", "tick clock",
		"trim", "killed before", "killed between"} {
		if met[what] == 0 {
			t.Errorf("no run met: %s", what)
		}
	}
}

// restart takes the state from the disk alone, or from a snapshot and the records since, and wants the same of both.
func restart(t *rapid.T, b *box, snap []byte, n *naive) {
	defer func() {
		for node, s := range n.sights {
			b.Hear(node, s)
		}
	}()
	if snap == nil {
		if err := b.start(); err != nil {
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
	whole := &box{disk: b.disk}
	if err := whole.start(); err != nil {
		t.Fatal(err)
	}
	if got, want := s.Want(), whole.Want(); !reflect.DeepEqual(got, want) {
		t.Fatalf("from the snapshot: %v, where the records alone give %v", got, want)
	}
	b.State = s
}
