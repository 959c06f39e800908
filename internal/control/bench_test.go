package control

import (
	"fmt"
	"testing"
	"time"
)

// boxWithHistory returns a box with a history of edits on 1,000 nodes; every tenth edit is timed, and every thirtieth has
// the shortest time.
func boxWithHistory(tb testing.TB, edits int) *testBox {
	b := newBox()
	for i := range edits {
		e := Edit{ID: fmt.Sprint("e", i), By: "ann", What: Weight{fmt.Sprint("n", i%1000), float64(1 + i%7)}}
		if i%10 == 0 {
			e.What, e.For = Drain{fmt.Sprint("n", i%1000)}, time.Duration(1+i%3)*time.Hour
		}
		r, err := b.Propose(b.now, e)
		if err == nil {
			_, err = b.Commit(r)
		}
		if err != nil {
			tb.Fatal(err)
		}
		b.now.Mono += time.Second
		b.now.Wall = b.now.Wall.Add(time.Second)
	}
	return b
}

func BenchmarkEdit(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := boxWithHistory(b, n)
			i := n
			b.ReportAllocs()
			for b.Loop() {
				i++
				r, err := s.Propose(s.now, Edit{ID: fmt.Sprint("e", i), By: "ann", Against: s.Revision(), What: Drain{fmt.Sprint("n", i%1000)}, For: time.Hour})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := s.Commit(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStartFromSnapshot(b *testing.B) {
	raw, err := boxWithHistory(b, 10_000).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	for b.Loop() {
		if _, err := FromSnapshot(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// A script that drains a node for half an hour every ten minutes, for years, must not make the state grow: Trim has to
// release the expired layers below the one in force.
func TestTimedEditsOnOneKeyDoNotAccumulate(t *testing.T) {
	b := newBox()
	commit := mustCommit(t, b)
	for i := range 2000 {
		commit(b.Propose(b.now, Edit{ID: fmt.Sprint("e", i), By: "cron", What: Drain{"n1"}, For: 30 * time.Minute}))
		b.advance(10 * time.Minute)
		if i%100 == 99 {
			b.Trim(10)
		}
	}
	if len(b.layers) > 20 || len(b.revisionByID) > 20 || len(b.history) > 10 {
		t.Errorf("%d edits, %d ids and %d records remain after Trim(10)", len(b.layers), len(b.revisionByID), len(b.history))
	}
	if _, ok := b.Want().Find("drain n1"); !ok {
		t.Error("the latest drain is lost")
	}
	b.advance(21 * time.Minute)
	if all, _, _, err := b.commitDue(); err != nil || len(all) != 1 || all[0].Sets[0].Now != 0 {
		t.Errorf("at the deadline: %v, %v, want one record that returns the key to layer 0", all, err)
	}
}

// An edit must not allocate more when the history is a thousand times as long: nothing may scan or copy the history.
func TestAllocationsDoNotGrowWithHistory(t *testing.T) {
	var allocs []float64
	for _, n := range []int{100, 100_000} {
		s := boxWithHistory(t, n)
		i := n
		allocs = append(allocs, testing.AllocsPerRun(2000, func() {
			i++
			r, err := s.Propose(s.now, Edit{ID: fmt.Sprint("e", i), By: "ann", Against: s.Revision(), What: Weight{fmt.Sprint("n", i%1000), 2}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Commit(r); err != nil {
				t.Fatal(err)
			}
			s.now.Mono += time.Second
			s.now.Wall = s.now.Wall.Add(time.Second)
		}))
	}
	if allocs[1] > allocs[0]+1 {
		t.Errorf("%.0f allocations per edit with a long history, %.0f with a short one", allocs[1], allocs[0])
	}
}
