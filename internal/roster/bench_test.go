package roster

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const many = 10_000

func list(n int) []Entry {
	all := make([]Entry, n)
	for i := range all {
		all[i] = Entry{ID: fmt.Sprintf("s-%06x", i), Address: fmt.Sprintf("10.%d.%d.%d:5000", i>>16, i>>8&255, i&255), Zone: "a",
			Kind: "m2", Weight: 1, Started: time.Minute}
	}
	return all
}

func listing(b testing.TB, sources int) (*Roster, []Entry) {
	s := Settings{Hold: 30 * time.Second, LossShare: 0.5, LossFor: time.Minute, SuspectFails: 3, SuspectOver: time.Second,
		SuspectShare: 0.5, TrialFirst: time.Second, TrialMost: time.Minute, TrialFor: time.Second}
	for i := range sources {
		s.Sources = append(s.Sources, Source{Name: fmt.Sprint(i), Role: Role(i), Stale: time.Hour})
	}
	r, err := New(s)
	if err != nil {
		b.Fatal(err)
	}
	all := list(many)
	for i := range sources {
		r.Said(time.Hour, i, true, 1, all)
	}
	settleAt(r, time.Hour)
	return r, all
}

func settleAt(r *Roster, now time.Duration) (all []Change) {
	for {
		at, ok := r.Due()
		if !ok || at > now {
			return all
		}
		all = append(all, r.Tick(now)...)
	}
}

// A second of 10,000 entries of which 1 % change, one by one: drains, removals and starts.
func BenchmarkChanges(b *testing.B) {
	for _, sources := range []int{1, 2} {
		b.Run(fmt.Sprintf("%d-sources", sources), func(b *testing.B) {
			r, all := listing(b, sources)
			now, rev, i := time.Hour, int64(1), 0
			b.ReportAllocs()
			for b.Loop() {
				e := &all[i%many]
				switch e.State = (e.State + 1) % 3; e.State {
				case Up:
					e.Started = now
				case Gone: // the next is another's turn; this one's is over
					i += 7919
				}
				rev++
				now += 10 * time.Millisecond
				if got := r.Said(now, 0, false, rev, all[i%many:i%many+1]); len(got) > 1 {
					b.Fatal(got)
				}
				r.Tick(now)
			}
		})
	}
}

// A whole list in which nothing has changed.
func BenchmarkWholeList(b *testing.B) {
	r, all := listing(b, 1)
	now := time.Hour
	for b.Loop() {
		now += time.Second
		if got := r.Said(now, 0, true, 1, all); len(got) > 0 {
			b.Fatal(got)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/many, "ns/entry")
}

// The longest call where another source takes over 10,000 entries, and where a list in slices is committed.
func BenchmarkTickWhileTakingOver(b *testing.B) {
	r, all := listing(b, 2)
	longest := time.Duration(0)
	now := time.Hour
	for b.Loop() {
		now += time.Second
		r.Begin(now, 0, 1)
		for at := 0; at < many; at += 100 {
			r.Add(now, 0, all[at:at+100])
		}
		r.Commit(now, 0)
		for {
			if at, ok := r.Due(); !ok || at > now {
				break
			}
			from := time.Now()
			r.Tick(now)
			longest = max(longest, time.Since(from))
		}
	}
	b.ReportMetric(float64(longest.Microseconds()), "us-longest-tick")
}

// A connect that succeeds, as there is one for each call.
func BenchmarkConnect(b *testing.B) {
	r, all := listing(b, 1)
	i := 0
	for b.Loop() {
		i = (i + 1) % many
		r.Connect(time.Hour, all[i].ID, true)
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, sources := range []int{1, 2} {
		b.Run(fmt.Sprintf("%d-sources", sources), func(b *testing.B) {
			var before, after runtime.MemStats
			var r *Roster
			all := list(many)
			for b.Loop() {
				r = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, _ = listing(b, sources)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			// The text of ids and addresses is the source's, which made it.
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/many, "bytes/entry-with-text")
			runtime.KeepAlive(r)
			runtime.KeepAlive(all)
		})
	}
}
