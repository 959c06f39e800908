package kv

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/lab/kvd"
)

// long is a follower of a long list in virtual time.
type long struct {
	s    *kvd.Server
	w    *wire
	held *records
	sink *told
	c    *Client
	logs []string
}

func tenant(i int) string { return fmt.Sprintf("%stenant-%06d", prefix, i) }

func terms(quota int) string { return fmt.Sprintf(`{"quota_per_s":%d,"share":0.5}`, quota) }

// playLong runs a test on a list of so many keys, once it has been read.
func playLong(t *testing.T, keys int, set Settings, test func(t *testing.T, r *long)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		r := &long{s: kvd.New(kvd.Options{}), w: newWire(), held: newRecords(), sink: newTold()}
		defer r.s.Close()
		defer r.w.Close()
		go r.s.Serve(r.w)
		r.s.Store = kvd.NewStore(0)
		for i := range keys {
			put(t, r.s, tenant(i), terms(i), 0)
		}
		set.Prefix, set.Endpoints, set.Dial, set.Log = prefix, []string{"a:1"}, r.w.dial, func(text string) { r.logs = append(r.logs, text) }
		var err error
		if r.c, err = Follow(set, r.held, r.sink); err != nil {
			t.Fatal(err)
		}
		defer r.c.Close()
		for r.held.Len() < keys || r.held.whole == 0 {
			time.Sleep(time.Second)
			synctest.Wait()
		}
		test(t, r)
	})
}

// is checks that what is held is what the store has, and that it was read whole so many times.
func (r *long) is(t *testing.T, whole int) {
	t.Helper()
	synctest.Wait()
	if err := r.held.differ(r.s.Store); err != nil || r.held.whole != whole {
		t.Errorf("%v; %d whole readings, %d wanted; %q", err, r.held.whole, whole, r.logs)
	}
}

// away runs something while nobody listens.
func (r *long) away(do func()) {
	r.w.set(true)
	r.s.Cut()
	do()
	r.w.set(false)
}

func (r *long) gone(i int) {
	if _, err := r.s.DeleteRange(&pb.DeleteRangeRequest{Key: []byte(tenant(i))}); err != nil {
		panic(err)
	}
}

// After a compaction behind a cut, ten changes and three deletions among 310,000 keys cost what they are, and not the list.
func TestACompactionCostsWhatHasChanged(t *testing.T) {
	const keys = 310_000
	playLong(t, keys, Settings{LookRate: 1}, func(t *testing.T, r *long) {
		t.Logf("read whole: %d bytes", r.w.bytes.Load())
		var before int64
		told := r.held.told
		r.away(func() {
			time.Sleep(time.Minute)
			for i := range 10 {
				put(t, r.s, tenant(i*31_001), terms(i+1), 0)
			}
			for _, i := range []int{7, 150_000, keys - 1} {
				r.gone(i)
			}
			if err := r.s.Compact(r.s.Revision()); err != nil {
				t.Fatal(err)
			}
			before = r.w.bytes.Load()
		})
		time.Sleep(4 * time.Second)
		r.is(t, 1)
		bytes := r.w.bytes.Load() - before
		t.Logf("behind the compaction: %d bytes both ways", bytes)
		if told = r.held.told - told; told != 13 || bytes > 64<<10 {
			t.Errorf("%d records told, %d bytes", told, bytes)
		}
	})
}

// A minute's cut, and a restart of the store with all its data, cost the events since; each change is told within 4 s.
func TestACutCostsTheEventsSince(t *testing.T) {
	playLong(t, 5000, Settings{LookRate: 1}, func(t *testing.T, r *long) {
		for round, restart := range []bool{false, true} {
			before, told := int64(0), r.held.told
			r.away(func() {
				time.Sleep(time.Minute)
				for i := range 10 {
					put(t, r.s, tenant(i), terms(1000*(round+1)+i), 0)
				}
				r.gone(4990 + round)
				if restart {
					r.s.Restart(nil)
				}
				before = r.w.bytes.Load()
			})
			time.Sleep(4 * time.Second)
			r.is(t, 1)
			bytes := r.w.bytes.Load() - before
			if t.Logf("restart %v: %d bytes both ways", restart, bytes); r.held.told-told != 11 || bytes > 16<<10 {
				t.Errorf("restart %v: %d records told, %d bytes", restart, r.held.told-told, bytes)
			}
		}
	})
}

// A store with other data is read whole, at once where its revision went back or its cluster is another, and by the keys
// written last where it is past our revision, with the same term.
func TestAnotherHistoryIsReadWhole(t *testing.T) {
	past := func(r *long) {
		saved := r.s.Save()
		put(t, r.s, tenant(3), terms(77), 0)
		time.Sleep(4 * time.Second)
		r.s.Cut()
		r.s.Restart(saved)
		r.s.SetTerm(2)
		for i := range 5 {
			put(t, r.s, tenant(100+i), terms(99), 0)
		}
	}
	for name, other := range map[string]func(*long){
		"older": func(r *long) {
			saved := r.s.Save()
			put(t, r.s, tenant(3), terms(77), 0)
			time.Sleep(4 * time.Second)
			r.s.Restart(saved)
		},
		"older, past our revision": past,
		"older, past our revision and compacted": func(r *long) {
			past(r)
			if err := r.s.Compact(r.s.Revision()); err != nil {
				t.Error(err)
			}
		},
		"none":    func(r *long) { r.s.Wipe() },
		"cluster": func(r *long) { r.s.SetCluster(5); r.s.Restart(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			playLong(t, 2000, Settings{}, func(t *testing.T, r *long) {
				if strings.Contains(name, "older") { // what is written is followed first
					other(r)
				} else {
					r.away(func() { other(r) })
				}
				time.Sleep(4*time.Second + 2000*scatterEach)
				r.is(t, 2)
				put(t, r.s, tenant(9), terms(5), 0)
				time.Sleep(4 * time.Second)
				r.is(t, 2)
			})
		})
	}
}

// What the watch leaves out, changes and deletions, is found by the next review, and mended without a whole reading.
func TestAReviewFindsWhatTheWatchLeavesOut(t *testing.T) {
	playLong(t, 5000, Settings{}, func(t *testing.T, r *long) {
		r.s.Set(kvd.Swallow, 1)
		put(t, r.s, tenant(17), terms(99), 0)
		put(t, r.s, tenant(9000), terms(99), 0)
		r.gone(2500)
		time.Sleep(2 * time.Second)
		r.s.Heal()
		synctest.Wait()
		if r.held.differ(r.s.Store) == nil {
			t.Fatal("nothing was left out")
		}
		time.Sleep(r.c.reviewEvery() + 2*time.Second)
		r.is(t, 1)
		found := 0 // by a slice of the look at all, if that came by before
		for _, text := range r.logs {
			var n int
			if _, err := fmt.Sscanf(text, "the watch has left out %d changes", &n); err != nil {
				t.Errorf("%q", text)
			}
			found += n
		}
		if found != 3 {
			t.Errorf("%q", r.logs)
		}
	})
}

// A value that changes without a revision is found when the look comes by: within the time that the list's bytes take at
// the rate, and then all is read.
func TestALookFindsAValueWithoutARevision(t *testing.T) {
	playLong(t, 5000, Settings{}, func(t *testing.T, r *long) {
		time.Sleep(10 * time.Minute)
		r.s.Forge(tenant(1234), terms(4321))
		list := int64(5000 * 200)
		time.Sleep(time.Duration(list/lookRate)*time.Second + lookEvery)
		r.is(t, 2)
	})
}

// The looks keep to their rate: an hour on a quiet list.
func TestLooksKeepToTheirRate(t *testing.T) {
	playLong(t, 20_000, Settings{}, func(t *testing.T, r *long) {
		before, began := r.w.bytes.Load(), time.Now()
		time.Sleep(time.Hour)
		synctest.Wait()
		rate := float64(r.w.bytes.Load()-before) / time.Since(began).Seconds()
		t.Logf("%.0f bytes a second", rate)
		if rate > 4<<10 || rate < lookRate/2 {
			t.Errorf("%.0f bytes a second", rate)
		}
		r.is(t, 1)
	})
}

// A whole reading keeps to its rate, goes on where a connection is cut, and over a compaction, with writes and deletions
// under it.
func TestAWholeReadingOverCutsAndCompactions(t *testing.T) {
	playLong(t, 10, Settings{Page: 500, ReadRate: 200 << 10}, func(t *testing.T, r *long) {
		r.away(func() {
			r.s.Wipe()
			for i := range 10_000 {
				put(t, r.s, tenant(i), terms(i+7), 0)
			}
		})
		before, began := r.w.bytes.Load(), time.Now()
		for i := 0; r.held.Len() < 9000; i++ {
			if time.Sleep(time.Second); time.Since(began) > time.Minute {
				t.Fatalf("%d keys after a minute: %q", r.held.Len(), r.logs)
			}
			if i%2 == 0 {
				r.s.Cut()
				continue
			}
			put(t, r.s, tenant(i), terms(i+1), 0)
			put(t, r.s, tenant(20_000+i), terms(i), 0)
			r.gone(100 + i)
			if err := r.s.Compact(r.s.Revision()); err != nil {
				t.Fatal(err)
			}
		}
		bytes, took := r.w.bytes.Load()-before, time.Since(began)
		t.Logf("%d bytes in %v", bytes, took)
		if rate := float64(bytes) / took.Seconds(); rate > 240<<10 || bytes > 10_000*250 {
			t.Errorf("%d bytes in %v", bytes, took)
		}
		time.Sleep(6 * time.Second)
		r.is(t, 2)
	})
}

// A stream that says half a line and then nothing, and a store that says nothing at all: what was written meanwhile is held
// within 4 s of the end.
func TestALongListsStreamStalls(t *testing.T) {
	playLong(t, 3000, Settings{}, func(t *testing.T, r *long) {
		for i, f := range []kvd.Fault{kvd.HangLine, kvd.Stall, kvd.CutLine} {
			r.s.Set(f, 1)
			put(t, r.s, tenant(i), terms(99), 0)
			r.gone(2990 + i)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			if r.held.differ(r.s.Store) == nil {
				t.Errorf("%v: it was told", f)
			}
			r.s.Heal()
			time.Sleep(4 * time.Second)
			r.is(t, 1)
		}
	})
}

// Lines that are cut between the fragments of a revision: what is held of it is no sign of another history.
func TestALongListsFragmentsAreCut(t *testing.T) {
	playLong(t, 500, Settings{}, func(t *testing.T, r *long) {
		more := strings.Repeat("x", 20<<10)
		cuts := len(r.sink.broke)
		for round := range 20 {
			r.s.Set(kvd.CutLine, 0.3)
			txn := &pb.TxnRequest{}
			for i := range 10 {
				txn.Success = append(txn.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{
					RequestPut: &pb.PutRequest{Key: []byte(tenant(i)), Value: fmt.Append(nil, round, more)}}})
			}
			if _, err := r.s.Txn(txn); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			r.s.Heal()
			time.Sleep(4 * time.Second)
			r.is(t, 1)
		}
		if len(r.sink.broke) == cuts {
			t.Error("no line was cut")
		}
	})
}

// Many followers of a store that comes back call it over more than a second, none reads its list, and what is written at
// once is held by all within 4 s.
func TestManyComeBackSpread(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const followers, keys = 300, 50
		s, w := kvd.New(kvd.Options{}), newWire()
		defer s.Close()
		defer w.Close()
		go s.Serve(w)
		for i := range keys {
			put(t, s, tenant(i), terms(i), 0)
		}
		held := make([]*records, followers)
		for i := range held {
			held[i] = newRecords()
			c, err := Follow(Settings{Endpoints: []string{"a:1"}, Prefix: prefix, Seed: uint64(i), Dial: w.dial}, held[i], newTold())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		calls := func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.dials["a:1"] }
		for _, down := range []time.Duration{0, 30 * time.Second} {
			time.Sleep(5 * time.Second)
			w.set(down > 0)
			s.Cut()
			time.Sleep(down)
			w.set(false)
			put(t, s, tenant(3), terms(int(1000+down)), 0)
			most, n := 0, calls()
			for range 40 { // tenths of a second
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				most, n = max(most, calls()-n), calls()
			}
			if t.Logf("down for %v: at most %d of %d call in a tenth of a second", down, most, followers); most > followers/5 {
				t.Errorf("%d of %d call at once", most, followers)
			}
			for i, h := range held {
				if err := h.differ(s.Store); err != nil || h.whole != 1 || h.told > keys+2 {
					t.Fatalf("%d: %v, %d whole, %d told", i, err, h.whole, h.told)
				}
			}
		}
	})
}

// What one change costs: the bytes of it on the wire, and the work from its line to the holder.
func TestAChangeCostsItself(t *testing.T) {
	playLong(t, 3000, Settings{}, func(t *testing.T, r *long) {
		time.Sleep(time.Second)
		synctest.Wait()
		before := r.w.bytes.Load()
		for i := range 100 {
			put(t, r.s, tenant(i), terms(i+1), 0)
			synctest.Wait()
		}
		each := (r.w.bytes.Load() - before) / 100
		if t.Logf("%d bytes a change", each); each > 1000 {
			t.Errorf("%d bytes a change", each)
		}
		r.is(t, 1)
	})
}

func TestRatesAreChecked(t *testing.T) {
	t.Parallel()
	for _, s := range []Settings{{LookRate: -1}, {ReadRate: -1}} {
		s.Endpoints, s.Prefix = []string{"a:1"}, prefix
		if c, err := Follow(s, newRecords(), newTold()); err == nil || !strings.HasPrefix(err.Error(), "rates") {
			if t.Errorf("%+v: %v", s, err); err == nil {
				c.Close()
			}
		}
	}
}

func BenchmarkAChange(b *testing.B) {
	h := newRecords()
	c := &Client{holder: h, health: newTold(), prefix: prefix, end: after(prefix), sparse: &sparse{}}
	line := []byte(`{"result":{"header":{"cluster_id":"75657745","member_id":"11795","revision":"5","raft_term":"2"},"events":[{"kv":{"key":"bm9kZXMvdGVuYW50LTAwMDAwMA==","create_revision":"2","mod_revision":"5","version":"4","value":"eyJxdW90YV9wZXJfcyI6MSwic2hhcmUiOjAuNX0="}}]}}`)
	for b.Loop() {
		m, err := readMessage(line, c.prefix, c.end)
		if err != nil {
			b.Fatal(err)
		}
		c.origin.revision = 0
		c.hear(m)
	}
	if h.Len() != 1 {
		b.Fatal(h.Len())
	}
}
