package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// made wants an edit taken and makes it count.
func made(t testing.TB, b *box) func(Record, error) Record {
	return func(r Record, err error) Record {
		t.Helper()
		if err == nil {
			_, err = b.keep(r)
		}
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
}

// testdata/schema1.json is what the first version of this package wrote: a pool, a drain for 30 minutes, a confirmed
// trial of two things at once, a restore on trial over the drain, and a note that was undone.
func TestMigrationOfSchema1(t *testing.T) {
	raw, err := os.ReadFile("testdata/schema1.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := FromSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, w := range s.Want().All {
		got = append(got, fmt.Sprintf("%s by %s in %d", w.What, w.By, w.Revision))
	}
	want := []string{"cap search 100 by ben in 3", "pool search n1 n2 by ann in 1", "weight n2 0.5 by ben in 3"}
	if !reflect.DeepEqual(got, want) || s.Revision() != 7 {
		t.Errorf("%q at %d, where %q at 7 is wanted", got, s.Revision(), want)
	}
	// The trial was made 40 s after the first record; over it is the drain's again.
	b := &box{State: s, now: Now{time.Date(2026, 3, 1, 22, 1, 40, 0, time.UTC), 1000*time.Hour + 100*time.Second, "first"}}
	due, _ := b.Tick(b.now)
	if len(due) != 1 || due[0].Of != 5 || len(due[0].Sets) != 1 || due[0].Sets[0] != (Set{"drain n1", 5, 2}) {
		t.Errorf("due %v, where the end of 5 is wanted, back to 2", due)
	}
	if r, err := s.Propose(b.now, Edit{ID: "a3", By: "ann", What: Note{"search", "the fan is loud"}}); err != nil || r.Revision != 6 {
		t.Errorf("a3 again: %d, %v", r.Revision, err)
	}
	now, err := s.Snapshot()
	if err != nil || !strings.HasPrefix(string(now), fmt.Sprintf(`{"schema":%d,`, Schema)) {
		t.Errorf("written anew: %.20s, %v", now, err)
	}
}

func TestSnapshotsThatDoNotFit(t *testing.T) {
	b := newBox()
	keep := made(t, b)
	keep(b.Propose(b.now, Edit{ID: "a1", By: "ann", What: Drain{"n1"}, Trial: time.Minute}))
	keep(b.Confirm(b.now, "a1", "ann"))
	keep(b.Propose(b.now, Edit{ID: "a2", By: "ann", What: Weight{"n1", 2}}))
	b.Trim(1)
	raw, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := FromSnapshot(raw); err != nil {
		t.Fatal(err)
	}
	var newer *Newer
	if _, err := FromSnapshot([]byte(strings.Replace(string(raw), `"schema":2`, `"schema":3`, 1))); !errors.As(err, &newer) || newer.Schema != 3 {
		t.Errorf("schema 3: %v", err)
	}
	for _, c := range []struct{ from, to, err string }{
		{`"schema":2`, `"schema":0`, "schema: 0"},
		{`"floor":2`, `"floor":2,"ceiling":9`, "ceiling"},
		{`"kind":"drain"`, `"kind":"drown"`, `"drown"`},
		{`"kind":"drain"`, `"kind":"drain","by":1`, `"by"`},
		{`"revision":3`, `"revision":5`, "record 5: 3 is the next"},
		{`"key":"weight n1","was":0`, `"key":"weight n1","was":1`, "0 is in force, where 1 was"},
		{`"key":"weight n1"`, `"key":"weight n2"`, "not what its edit says"},
		{`"layer":1`, `"layer":3`, "in_force[0]"},
		{`"stays":[{"revision":1`, `"stays":[{"revision":2`, "stays[0]"},
		{`"by":2}`, `"by":1}`, "stays[0]"},
		{`"edits":[{`, `"edits":[null,{`, "edits[0]"},
		{`"records":[{`, `"records":[null,{`, "records[0]"},
		{`"weight":2`, `"weight":-2`, "what.weight: -2"},
		{`"id":"a2"`, `"id":"a1"`, "a1"},
	} {
		bad := strings.Replace(string(raw), c.from, c.to, 1)
		if bad == string(raw) {
			t.Fatalf("%s is not in %s", c.from, raw)
		}
		if _, err := FromSnapshot([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %v, where %q is wanted", c.to, err, c.err)
		}
	}
	for i := range raw { // cut off anywhere: an error, and no panic
		if _, err := FromSnapshot(raw[:i]); err == nil {
			t.Errorf("%d of %d bytes were taken", i, len(raw))
		}
	}
}

// What the roster says is in nothing that is kept, and what operators say is not in what the roster says.
func TestTheRostersWordIsKeptApart(t *testing.T) {
	b := newBox()
	keep := made(t, b)
	keep(b.Propose(b.now, Edit{ID: "a1", By: "ann", What: Drain{"n1"}}))
	before, _ := b.Snapshot()
	want := b.Want()
	b.Hear("n1", Sight{Pools: []string{"p"}, Ready: true, Weight: 3})
	b.Hear("n2", Sight{Pools: []string{"p"}, Drained: true, Weight: 2})
	after, _ := b.Snapshot()
	if string(before) != string(after) || !reflect.DeepEqual(b.Want(), want) {
		t.Errorf("hearing of nodes changed what operators want: %s", after)
	}
	if n, ok := b.See("n1"); !ok || n.Drained || n.Weight != 3 {
		t.Errorf("n1 is heard as %+v", n)
	}
	if n, ok := b.See("n2"); !ok || !n.Drained {
		t.Errorf("n2 is heard as %+v", n)
	}
	if c := b.Changes(); len(c) != 1 || c[0].Node != "n1" || !c[0].Drained || c[0].Weight != 0 {
		t.Errorf("changes %v", c)
	}
}

// A record that does not fit changes nothing, whatever is wrong with it; one that counts already is nothing new.
func TestRecordsThatDoNotFit(t *testing.T) {
	b := newBox()
	keep := made(t, b)
	first := keep(b.Propose(b.now, Edit{ID: "a1", By: "ann", What: Several{[]Op{Drain{"n1"}, Weight{"n1", 2}}}}))
	good := keep(b.Propose(b.now, Edit{ID: "a2", By: "ann", What: Drain{"n2"}}))
	b.State = New()
	keep(first, nil)
	was, _ := b.Snapshot()
	bend := func(f func(r *Record)) Record {
		raw, _ := json.Marshal(good)
		var r Record
		json.Unmarshal(raw, &r)
		f(&r)
		return r
	}
	for i, r := range []Record{
		bend(func(r *Record) { r.Revision = 3 }),
		bend(func(r *Record) { r.Box = -1 }),
		bend(func(r *Record) { r.ID, r.Edit.ID = "a1", "a1" }),
		bend(func(r *Record) { r.Edit = nil }),
		bend(func(r *Record) { r.By = "ben" }),
		bend(func(r *Record) { r.Kind = "wish" }),
		bend(func(r *Record) { r.Kind = Clock }),
		bend(func(r *Record) { r.Kind, r.Of = Ended, 7 }),
		bend(func(r *Record) { r.Kind, r.Of = Undone, 1 }),
		bend(func(r *Record) { r.Sets = nil }),
		bend(func(r *Record) { r.Sets[0].Was = 1 }),
		bend(func(r *Record) { r.Sets[0].Now = 1 }),
		bend(func(r *Record) { r.Sets[0].Key = "drain n3" }),
		bend(func(r *Record) { r.Kind, r.Of, r.Sets = Ended, 1, []Set{{"drain n1", 1, 9}} }),
		bend(func(r *Record) { r.Kind, r.Of, r.Sets = Ended, 1, []Set{{"weight n1", 1, 0}, {"drain n1", 1, 0}} }),
		bend(func(r *Record) { r.Kind, r.Of, r.Sets = Ended, 1, []Set{{"drain n9", 0, 1}} }),
		bend(func(r *Record) { r.Revision, r.ID = 1, "other" }),
	} {
		if _, err := b.Commit(r); err == nil {
			t.Errorf("%d: taken: %+v", i, r)
		}
		if is, _ := b.Snapshot(); string(is) != string(was) {
			t.Fatalf("%d: it changed the state", i)
		}
	}
	if changes, err := b.Commit(first); err != nil || changes != nil {
		t.Errorf("a record that counts already: %v, %v", changes, err)
	}
	keep(good, nil)
}
