package kv

import (
	"fmt"
	"iter"
	"maps"
	"sync"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/lab/kvd"
)

// records is a holder of plain records that takes the parts of a reading as they come.
type records struct {
	mu       sync.Mutex
	held     map[string]Record
	revision int64
	whole    int // readings that began a history
	told     int // records
	applied  func(*records)
}

func newRecords() *records { return &records{held: map[string]Record{}} }

func (h *records) Len() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.held) }

func (h *records) At(key string) (int64, uint32, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.held[key]
	return r.Revision, Sum(r.Value), ok
}

func (h *records) Keys() iter.Seq[string] { return maps.Keys(h.held) }

func (h *records) Begin() {}

func (h *records) Apply(whole bool, revision int64, told []Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range told {
		if r.Deleted {
			delete(h.held, r.Key)
		} else {
			h.held[r.Key] = r
		}
	}
	if h.told += len(told); revision != 0 {
		h.revision = revision
		if whole {
			h.whole++
		}
	}
	if h.applied != nil {
		h.applied(h)
	}
}

// differ says how what is held is not what a store has below the prefix.
func (h *records) differ(s *kvd.Store) error {
	a, err := s.Range(&pb.RangeRequest{Key: []byte(prefix), RangeEnd: []byte(after(prefix))})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(a.Kvs) != len(h.held) {
		return fmt.Errorf("%d keys are held, the store has %d", len(h.held), len(a.Kvs))
	}
	for _, kv := range a.Kvs {
		if r, ok := h.held[string(kv.Key)]; !ok || string(r.Value) != string(kv.Value) || r.Revision != kv.ModRevision {
			return fmt.Errorf("%s: held is %q at %d, the store has %q at %d", kv.Key, r.Value, r.Revision, kv.Value, kv.ModRevision)
		}
	}
	return nil
}
