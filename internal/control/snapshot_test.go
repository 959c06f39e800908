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

// mustCommit returns a function that writes and commits a record, and fails the test on a refusal.
func mustCommit(t testing.TB, b *testBox) func(Record, error) Record {
	return func(r Record, err error) Record {
		t.Helper()
		if err == nil {
			_, err = b.writeAndCommit(r)
		}
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
}

// testdata/schema1.json was written by the first version of this package: a pool, a drain for 30 minutes, a confirmed
// trial of two operations at once, a restore on trial over the drain, and a note that was undone.
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
		t.Errorf("%q at %d, want %q at 7", got, s.Revision(), want)
	}
	// The trial was made 40 s after the first record. When it expires, the drain is in force again.
	b := &testBox{State: s, now: Now{time.Date(2026, 3, 1, 22, 1, 40, 0, time.UTC), 1000*time.Hour + 100*time.Second, "first"}}
	due, _ := b.Tick(b.now)
	if len(due) != 1 || due[0].Of != 5 || len(due[0].Sets) != 1 || due[0].Sets[0] != (Set{"drain n1", 5, 2}) {
		t.Errorf("due %v, want the end of 5, back to 2", due)
	}
	if r, err := s.Propose(b.now, Edit{ID: "a3", By: "ann", What: Note{"search", "the fan is loud"}}); err != nil || r.Revision != 6 {
		t.Errorf("retry of a3: %d, %v", r.Revision, err)
	}
	now, err := s.Snapshot()
	if err != nil || !strings.HasPrefix(string(now), fmt.Sprintf(`{"schema":%d,`, Schema)) {
		t.Errorf("snapshot after migration: %.20s, %v", now, err)
	}
}

func TestInconsistentSnapshotsAreRejected(t *testing.T) {
	b := newBox()
	commit := mustCommit(t, b)
	commit(b.Propose(b.now, Edit{ID: "a1", By: "ann", What: Drain{"n1"}, Trial: time.Minute}))
	commit(b.Confirm(b.now, "a1", "ann"))
	commit(b.Propose(b.now, Edit{ID: "a2", By: "ann", What: Weight{"n1", 2}}))
	b.Trim(1)
	raw, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := FromSnapshot(raw); err != nil {
		t.Fatal(err)
	}
	var newer *NewerSchemaError
	if _, err := FromSnapshot([]byte(strings.Replace(string(raw), `"schema":2`, `"schema":3`, 1))); !errors.As(err, &newer) || newer.Schema != 3 {
		t.Errorf("schema 3: %v", err)
	}
	for _, c := range []struct{ from, to, err string }{
		{`"schema":2`, `"schema":0`, "schema: 0"},
		{`"floor":2`, `"floor":2,"ceiling":9`, "ceiling"},
		{`"kind":"drain"`, `"kind":"drown"`, `"drown"`},
		{`"kind":"drain"`, `"kind":"drain","by":1`, `"by"`},
		{`"revision":3`, `"revision":5`, "record 5: expected revision 3"},
		{`"key":"weight n1","was":0`, `"key":"weight n1","was":1`, "layer 0 is in force, not layer 1"},
		{`"key":"weight n1"`, `"key":"weight n2"`, "does not match the edit"},
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
			t.Errorf("%s: %v, want %q", c.to, err, c.err)
		}
	}
	for i := range raw { // truncated anywhere: an error, no panic
		if _, err := FromSnapshot(raw[:i]); err == nil {
			t.Errorf("a snapshot truncated to %d of %d bytes was accepted", i, len(raw))
		}
	}
}

// Node states given to Hear must not appear in snapshots, settings or changes, and settings must not change node states.
func TestNodeStateIsNotStored(t *testing.T) {
	b := newBox()
	commit := mustCommit(t, b)
	commit(b.Propose(b.now, Edit{ID: "a1", By: "ann", What: Drain{"n1"}}))
	before, _ := b.Snapshot()
	want := b.Want()
	b.Hear("n1", Sight{Pools: []string{"p"}, Ready: true, Weight: 3})
	b.Hear("n2", Sight{Pools: []string{"p"}, Drained: true, Weight: 2})
	after, _ := b.Snapshot()
	if string(before) != string(after) || !reflect.DeepEqual(b.Want(), want) {
		t.Errorf("Hear changed the operators' settings: %s", after)
	}
	if n, ok := b.See("n1"); !ok || n.Drained || n.Weight != 3 {
		t.Errorf("state of n1: %+v", n)
	}
	if n, ok := b.See("n2"); !ok || !n.Drained {
		t.Errorf("state of n2: %+v", n)
	}
	if c := b.Changes(); len(c) != 1 || c[0].Node != "n1" || !c[0].Drained || c[0].Weight != 0 {
		t.Errorf("changes %v", c)
	}
}

// An inconsistent record must be rejected and change nothing. A record that is already committed changes nothing either.
func TestInconsistentRecordsAreRejected(t *testing.T) {
	b := newBox()
	commit := mustCommit(t, b)
	first := commit(b.Propose(b.now, Edit{ID: "a1", By: "ann", What: Several{[]Op{Drain{"n1"}, Weight{"n1", 2}}}}))
	good := commit(b.Propose(b.now, Edit{ID: "a2", By: "ann", What: Drain{"n2"}}))
	b.State = New()
	commit(first, nil)
	was, _ := b.Snapshot()
	modified := func(f func(r *Record)) Record {
		raw, _ := json.Marshal(good)
		var r Record
		json.Unmarshal(raw, &r)
		f(&r)
		return r
	}
	for i, r := range []Record{
		modified(func(r *Record) { r.Revision = 3 }),
		modified(func(r *Record) { r.Box = -1 }),
		modified(func(r *Record) { r.ID, r.Edit.ID = "a1", "a1" }),
		modified(func(r *Record) { r.Edit = nil }),
		modified(func(r *Record) { r.By = "ben" }),
		modified(func(r *Record) { r.Kind = "wish" }),
		modified(func(r *Record) { r.Kind = Clock }),
		modified(func(r *Record) { r.Kind, r.Of = Ended, 7 }),
		modified(func(r *Record) { r.Kind, r.Of = Undone, 1 }),
		modified(func(r *Record) { r.Sets = nil }),
		modified(func(r *Record) { r.Sets[0].Was = 1 }),
		modified(func(r *Record) { r.Sets[0].Now = 1 }),
		modified(func(r *Record) { r.Sets[0].Key = "drain n3" }),
		modified(func(r *Record) { r.Kind, r.Of, r.Sets = Ended, 1, []Set{{"drain n1", 1, 9}} }),
		modified(func(r *Record) { r.Kind, r.Of, r.Sets = Ended, 1, []Set{{"weight n1", 1, 0}, {"drain n1", 1, 0}} }),
		modified(func(r *Record) { r.Kind, r.Of, r.Sets = Ended, 1, []Set{{"drain n9", 0, 1}} }),
		modified(func(r *Record) { r.Revision, r.ID = 1, "other" }),
	} {
		if _, err := b.Commit(r); err == nil {
			t.Errorf("%d: accepted: %+v", i, r)
		}
		if is, _ := b.Snapshot(); string(is) != string(was) {
			t.Fatalf("%d: the rejected record changed the state", i)
		}
	}
	if changes, err := b.Commit(first); err != nil || changes != nil {
		t.Errorf("a record that is already committed: %v, %v", changes, err)
	}
	commit(good, nil)
}
