package roster

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const entryCount = 10_000

// makeEntries returns n entries that are up.
func makeEntries(n int) []Entry {
	all := make([]Entry, n)
	for i := range all {
		all[i] = Entry{ID: fmt.Sprintf("s-%06x", i), Address: fmt.Sprintf("10.%d.%d.%d:5000", i>>16, i>>8&255, i&255), Zone: "a",
			Kind: "m2", Weight: 1, Started: time.Minute}
	}
	return all
}

// newFilledRoster returns a roster with entryCount entries listed by each of its sources.
func newFilledRoster(b testing.TB, sources int) (*Roster, []Entry) {
	s := Settings{Hold: 30 * time.Second, LossShare: 0.5, LossFor: time.Minute, SuspectFails: 3, SuspectOver: time.Second,
		SuspectShare: 0.5, TrialFirst: time.Second, TrialMost: time.Minute, TrialFor: time.Second}
	for i := range sources {
		s.Sources = append(s.Sources, Source{Name: fmt.Sprint(i), Role: Role(i), Stale: time.Hour})
	}
	r, err := New(s)
	if err != nil {
		b.Fatal(err)
	}
	all := makeEntries(entryCount)
	for i := range sources {
		r.Apply(time.Hour, i, true, 1, all)
	}
	tickUntilIdle(r, time.Hour)
	return r, all
}

// tickUntilIdle calls Tick until nothing is due, and returns all changes.
func tickUntilIdle(r *Roster, now time.Duration) (all []Change) {
	for {
		at, ok := r.NextTick()
		if !ok || at > now {
			return all
		}
		all = append(all, r.Tick(now)...)
	}
}

// Changes of single entries among 10,000, 10 ms apart, so that 1 % of them change per second: drains, removals and starts.
func BenchmarkChanges(b *testing.B) {
	for _, sources := range []int{1, 2} {
		b.Run(fmt.Sprintf("%d-sources", sources), func(b *testing.B) {
			r, all := newFilledRoster(b, sources)
			now, rev, i := time.Hour, int64(1), 0
			b.ReportAllocs()
			for b.Loop() {
				e := &all[i%entryCount]
				switch e.State = (e.State + 1) % 3; e.State {
				case Up:
					e.Started = now
				case Gone: // done with this entry; continue with another
					i += 7919
				}
				rev++
				now += 10 * time.Millisecond
				if got := r.Apply(now, 0, false, rev, all[i%entryCount:i%entryCount+1]); len(got) > 1 {
					b.Fatal(got)
				}
				r.Tick(now)
			}
		})
	}
}

// A full list without changes.
func BenchmarkWholeList(b *testing.B) {
	r, all := newFilledRoster(b, 1)
	now := time.Hour
	for b.Loop() {
		now += time.Second
		if got := r.Apply(now, 0, true, 1, all); len(got) > 0 {
			b.Fatal(got)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/entryCount, "ns/entry")
}

// The longest Tick after another source starts deciding on 10,000 entries, or after a list given in slices is committed.
func BenchmarkTickWhileTakingOver(b *testing.B) {
	r, all := newFilledRoster(b, 2)
	longest := time.Duration(0)
	now := time.Hour
	for b.Loop() {
		now += time.Second
		r.Begin(now, 0, 1)
		for at := 0; at < entryCount; at += 100 {
			r.Add(now, 0, all[at:at+100])
		}
		r.Commit(now, 0)
		for {
			if at, ok := r.NextTick(); !ok || at > now {
				break
			}
			from := time.Now()
			r.Tick(now)
			longest = max(longest, time.Since(from))
		}
	}
	b.ReportMetric(float64(longest.Microseconds()), "us-longest-tick")
}

// A successful connect, which is recorded for each call.
func BenchmarkConnect(b *testing.B) {
	r, all := newFilledRoster(b, 1)
	i := 0
	for b.Loop() {
		i = (i + 1) % entryCount
		r.Connect(time.Hour, all[i].ID, true)
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, sources := range []int{1, 2} {
		b.Run(fmt.Sprintf("%d-sources", sources), func(b *testing.B) {
			var before, after runtime.MemStats
			var r *Roster
			all := makeEntries(entryCount)
			for b.Loop() {
				r = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, _ = newFilledRoster(b, sources)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			// The strings of ids and addresses belong to the source that allocated them.
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/entryCount, "bytes/entry-with-text")
			runtime.KeepAlive(r)
			runtime.KeepAlive(all)
		})
	}
}
