package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/lab/kvd"
	"pewterrudder/internal/roster"
)

const prefix = "nodes/"

// model is a sink that holds what it was told, and the check that each moment of it is one that the store had.
type model struct {
	t       *testing.T
	seed    uint64
	mu      sync.Mutex // of pasts and sense
	rng     *rand.Rand
	s       *kvd.Server
	pasts   []*kvd.Store    // the store before restarts and compactions
	sense   map[string]bool // of each value that was written
	view    map[string]roster.Entry
	told    int64
	whole   int
	changed int
	broke   int
	checked int
	exact   bool // events may not be missing
}

func same(a, b roster.Entry) bool { return reflect.DeepEqual(a, b) }

func started(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (m *model) Said(whole bool, revision int64, entries []roster.Entry) {
	if whole {
		m.whole++
		m.view = map[string]roster.Entry{}
	} else if m.changed++; m.whole == 0 {
		m.t.Error("changes before the first list")
	}
	for _, e := range entries {
		if e.State == roster.Gone {
			if _, ok := m.view[e.ID]; !ok {
				m.t.Errorf("%s has gone and was not there", e.ID)
			}
			delete(m.view, e.ID)
		} else {
			m.view[e.ID] = e
		}
	}
	m.told = revision
	if !m.exact {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := false
	for _, s := range append(m.pasts[:len(m.pasts):len(m.pasts)], m.s.Store) {
		want, ok := m.at(s, revision)
		if !ok {
			continue
		}
		if known = true; maps.EqualFunc(want, m.view, same) {
			m.checked++
			return
		}
	}
	if known {
		m.t.Errorf("seed %d: revision %d, whole %v: the store never had %v", m.seed, revision, whole, m.view)
	}
}

func (m *model) Heard() {}
func (m *model) Broke(err error) {
	m.broke++
	if err == nil {
		m.t.Error("broke without a word")
	}
}

// at is the list that a store holds at a revision, 0 for its present.
func (m *model) at(s *kvd.Store, revision int64) (map[string]roster.Entry, bool) {
	a, err := s.Range(&pb.RangeRequest{Key: []byte(prefix), RangeEnd: []byte("nodes0"), Revision: revision})
	if err != nil {
		return nil, false
	}
	out, mods := map[string]roster.Entry{}, map[string]int64{}
	for _, kv := range a.Kvs {
		var f fields
		if !m.sense[string(kv.Value)] || json.Unmarshal(kv.Value, &f) != nil || mods[f.ID] >= kv.ModRevision {
			continue
		}
		e := roster.Entry{ID: f.ID, Address: f.Address, Zone: f.Zone, Kind: f.Kind, Cell: f.Cell, Weight: 1, Started: started(f.Started)}
		if f.Weight != nil {
			e.Weight = *f.Weight
		}
		if f.State == "draining" {
			e.State = roster.Draining
		}
		out[f.ID], mods[f.ID] = e, kv.ModRevision
	}
	return out, true
}

func (m *model) value() string {
	id := m.rng.IntN(12)
	v := fmt.Sprintf(`{"id":"s-%d","address":"10.0.0.%d:%d","zone":"z%d","kind":"m","cell":%d,"weight":%d,"up_since_ms":%d,"state":"%s"}`,
		id, id+1, 1+m.rng.IntN(3), m.rng.IntN(2), m.rng.IntN(4), 1+m.rng.IntN(3), m.rng.IntN(3)*1000,
		[]string{"up", "up", "draining"}[m.rng.IntN(3)])
	sense := true
	if m.rng.IntN(12) == 0 {
		bad := [][2]string{{`"weight":`, `"weight":-`}, {`"id":"s-`, `"id":"","was":"`}, {`"state":"`, `"state":"not `},
			{`"address":"`, `"address":"nowhere`}, {`}`, ``}, {`"cell":`, `"cell":-1`}}[m.rng.IntN(6)]
		if w := strings.Replace(v, bad[0], bad[1], 1); bad[0] != `"address":"` {
			v, sense = w, false
		} else {
			v, sense = strings.Replace(v, ":1\"", "\"", 1), !strings.Contains(v, ":1\"")
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sense[v] = sense
	return v
}

// write does something to the store.
func (m *model) write() {
	key := func() []byte {
		if m.rng.IntN(8) == 0 {
			return []byte("other/" + strconv.Itoa(m.rng.IntN(3)))
		}
		return []byte(prefix + strconv.Itoa(m.rng.IntN(15)))
	}
	put := func() *pb.PutRequest { return &pb.PutRequest{Key: key(), Value: []byte(m.value())} }
	var err error
	switch m.rng.IntN(10) {
	default:
		_, err = m.s.Put(put())
	case 0, 1:
		_, err = m.s.DeleteRange(&pb.DeleteRangeRequest{Key: key()})
	case 2:
		from := m.rng.IntN(15)
		_, err = m.s.DeleteRange(&pb.DeleteRangeRequest{Key: []byte(prefix + strconv.Itoa(from)), RangeEnd: []byte(prefix + "9")})
	case 3:
		var l *pb.LeaseGrantResponse
		if l, err = m.s.Grant(&pb.LeaseGrantRequest{TTL: 1 + m.rng.Int64N(3)}); err == nil {
			p := put()
			p.Lease = l.ID
			_, err = m.s.Put(p)
		}
	case 4:
		txn, used := &pb.TxnRequest{}, map[string]bool{}
		for range 1 + m.rng.IntN(5) {
			if p := put(); !used[string(p.Key)] {
				used[string(p.Key)] = true
				txn.Success = append(txn.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: p}})
			}
		}
		_, err = m.s.Txn(txn)
	}
	if err != nil {
		m.t.Fatal(err)
	}
}

// past keeps the store as it is now for later checks.
func (m *model) past() *kvd.Backup {
	b := m.s.Save()
	s := kvd.NewStore(0)
	s.Restart(b)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pasts = append(m.pasts, s)
	return b
}

var answersGoWrong = []kvd.Fault{kvd.CutPage, kvd.CutLine, kvd.Half, kvd.Shuffle, kvd.Garbage, kvd.Busy, kvd.Repeat}

// history plays one life of a store with one client on it, and says what was seen. A long list's client follows for a
// holder of records, and its looks have the time that they take.
func history(t *testing.T, seed uint64, lies, long bool) (m *model) {
	synctest.Test(t, func(t *testing.T) {
		m = &model{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), sense: map[string]bool{}, view: map[string]roster.Entry{}, exact: !lies && !long}
		m.s = kvd.New(kvd.Options{Seed: seed, Notes: []time.Duration{time.Second, -1}[m.rng.IntN(2)]})
		defer m.s.Close()
		w := newWire()
		defer w.Close()
		go m.s.Serve(w)
		for range m.rng.IntN(20) {
			m.write()
		}
		set := Settings{Endpoints: []string{"a:1", "b:1"}[:1+m.rng.IntN(2)], Prefix: prefix, Started: started, Seed: seed,
			Page: []int{1, 3, 1000}[m.rng.IntN(3)], Dial: w.dial}
		var c *Client
		var err error
		records := newRecords()
		if long {
			c, err = Follow(set, records, m)
		} else {
			c, err = New(set, m)
		}
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if c.Close(); w.left() != 0 {
				t.Errorf("seed %d: %d connections are left", seed, w.left())
			}
		}()
		backups := []*kvd.Backup{m.past()}
		for range 10 + m.rng.IntN(40) {
			switch m.rng.IntN(24) {
			default:
				for range 1 + m.rng.IntN(3) {
					m.write()
				}
			case 0, 1:
				m.past()
				back := m.rng.Int64N(3)
				if err := m.s.Compact(max(1, m.s.Revision()-back)); err != nil && !strings.Contains(err.Error(), "compacted") {
					t.Error(err)
				}
			case 2:
				backups = append(backups, m.past())
			case 3:
				m.s.Cut()
			case 4, 5: // a restart, with a time in which nobody listens
				w.set(true)
				m.past()
				m.s.Cut()
				switch m.rng.IntN(4) {
				case 0:
					m.s.Restart(nil)
				case 1:
					m.s.Restart(backups[m.rng.IntN(len(backups))])
					if m.rng.IntN(2) == 0 {
						m.s.SetTerm(2)
					}
				case 2:
					m.s.Wipe()
				case 3:
					m.s.SetTerm(m.s.Term() + 1) // an election
				}
				for range m.rng.IntN(60) * m.rng.IntN(2) { // nodes that register anew, perhaps past our revision
					m.write()
				}
				time.Sleep(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
				w.set(false)
			case 6:
				f := answersGoWrong[m.rng.IntN(len(answersGoWrong))]
				m.s.Set(f, 0.5)
			case 7:
				m.s.Heal()
			case 8:
				m.s.Set(kvd.Stall, 1)
			case 9:
				if lies {
					m.s.Set(kvd.Swallow, 0.3)
				}
			case 10, 11, 12:
				time.Sleep(time.Duration(m.rng.IntN(8000)) * time.Millisecond)
			case 13, 14, 15:
				time.Sleep(time.Duration(m.rng.IntN(100)) * time.Millisecond)
			}
			synctest.Wait()
		}
		m.s.Heal()
		if time.Sleep(2 * time.Second); lies || long {
			time.Sleep(lookEvery + 5*time.Second)
		}
		if long { // a history that the few keys did not tell from ours, and the look that follows the first
			time.Sleep(2*lookEvery + 5*time.Second)
			synctest.Wait()
			if err := records.differ(m.s.Store); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			return
		}
		synctest.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		want, _ := m.at(m.s.Store, 0)
		if !maps.EqualFunc(want, m.view, same) {
			t.Errorf("seed %d: quiet for 2 s, and the store has %v, we hold %v", seed, want, m.view)
		}
	})
	return m
}

// checks is how many histories are played: a few hundred, or as many as KV_HISTORIES says, from KV_SEED on.
func checks(t *testing.T, usual int) (first, n uint64) {
	n = uint64(usual)
	for name, to := range map[string]*uint64{"KV_HISTORIES": &n, "KV_SEED": &first} {
		if text := os.Getenv(name); text != "" {
			v, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(errors.Join(errors.New(name), err))
			}
			*to = v
		}
	}
	return first, n
}

// Whatever the store goes through, each moment of our list is one that the store had, and once it is quiet the list is
// the store's.
func TestHistories(t *testing.T) {
	first, n := checks(t, 300)
	var whole, changed, broke, checked int
	for seed := first; seed < first+n && !t.Failed(); seed++ {
		m := history(t, seed, false, false)
		whole, changed, broke, checked = whole+m.whole, changed+m.changed, broke+m.broke, checked+m.checked
	}
	t.Logf("%d histories: %d whole lists, %d changes, %d breaks, %d moments compared", n, whole, changed, broke, checked)
	if n >= 300 && (changed < int(n) || broke < int(n) || checked < (whole+changed)*9/10) {
		t.Error("too little has happened")
	}
}

// Events that the store swallows come to light when all keys are looked at.
func TestSwallowedEvents(t *testing.T) {
	first, n := checks(t, 100)
	for seed := first; seed < first+n && !t.Failed(); seed++ {
		history(t, seed, true, false)
	}
}

// A long list's holder has in the end what the store has, whatever that went through, lies among it.
func TestHistoriesOfALongList(t *testing.T) {
	first, n := checks(t, 100)
	for seed := first; seed < first+n && !t.Failed(); seed++ {
		history(t, seed, seed%2 == 1, true)
	}
}
