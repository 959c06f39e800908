package kvd

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// history is what a backup holds. Its values are never written to again, so a copy of the slices and the map is one.
type history struct {
	rev, compacted int64
	keys           []string                      // all that ever were and are not compacted away, ascending
	versions       map[string][]*mvccpb.KeyValue // ascending; a deletion has Version 0
	log            []*mvccpb.Event               // ascending in revision, from compacted on
}

func newHistory() history { return history{rev: 1, versions: map[string][]*mvccpb.KeyValue{}} }

func (h *history) copy() history {
	c := *h
	c.keys, c.log = slices.Clone(h.keys), slices.Clone(h.log)
	c.versions = make(map[string][]*mvccpb.KeyValue, len(h.versions))
	for k, v := range h.versions {
		c.versions[k] = slices.Clip(v)
	}
	return c
}

// at gives a key as it was at a revision.
func (h *history) at(key string, rev int64) *mvccpb.KeyValue {
	v := h.versions[key]
	if n := len(v); n > 0 && v[n-1].ModRevision <= rev { // as nearly all are asked for
		if v[n-1].Version == 0 {
			return nil
		}
		return v[n-1]
	}
	i := sort.Search(len(v), func(i int) bool { return v[i].ModRevision > rev })
	if i == 0 || v[i-1].Version == 0 {
		return nil
	}
	return v[i-1]
}

// Store is an MVCC history with leases.
type Store struct {
	mu      sync.Mutex
	history history
	cluster uint64
	member  uint64
	term    uint64
	moved   chan struct{} // closed and made anew with every change
	reborn  chan struct{} // closed and made anew with every restart
	closed  bool

	rng    *rand.Rand
	leases map[int64]*lease
	nextID int64
	sub    int // of the revision that is being written
}

type lease struct {
	ttl  int64
	ends time.Time
	due  *time.Timer
	keys map[string]struct{}
}

// NewStore makes an empty one.
func NewStore(seed uint64) *Store {
	return &Store{history: newHistory(), cluster: 0x482_7211, member: 0x2e13, term: 2, moved: make(chan struct{}),
		reborn: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x6b76)), leases: map[int64]*lease{}, nextID: 1000}
}

func (s *Store) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: s.cluster, MemberId: s.member, Revision: s.history.rev, RaftTerm: s.term}
}

// inside says whether a key is in a range as the protocol has it.
func inside(key string, from, to []byte) bool {
	switch {
	case len(to) == 0:
		return key == string(from)
	case len(to) == 1 && to[0] == 0:
		return key >= string(from)
	}
	return key >= string(from) && key < string(to)
}

// between gives the keys of a range that ever were.
func (h *history) between(from, to []byte) []string {
	lo := sort.SearchStrings(h.keys, string(from))
	hi := lo
	switch {
	case len(to) == 0:
		if lo < len(h.keys) && h.keys[lo] == string(from) {
			hi++
		}
	case len(to) == 1 && to[0] == 0:
		hi = len(h.keys)
	default:
		hi = max(lo, sort.SearchStrings(h.keys, string(to)))
	}
	return h.keys[lo:hi]
}

// Range answers as the protocol has it.
func (s *Store) Range(r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(r)
}

func (s *Store) read(r *pb.RangeRequest) (*pb.RangeResponse, error) {
	h := &s.history
	rev := r.Revision
	switch {
	case len(r.Key) == 0:
		return nil, rpctypes.ErrGRPCEmptyKey
	case rev > h.rev:
		return nil, rpctypes.ErrGRPCFutureRev
	case rev <= 0:
		rev = h.rev
	case rev < h.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	}
	out := &pb.RangeResponse{Header: s.header()}
	var kvs []*mvccpb.KeyValue
	for _, k := range h.between(r.Key, r.RangeEnd) {
		if kv := h.at(k, rev); kv != nil {
			out.Count++
			kvs = append(kvs, kv)
		}
	}
	if r.CountOnly {
		return out, nil
	}
	kvs = slices.DeleteFunc(kvs, func(kv *mvccpb.KeyValue) bool {
		return r.MinModRevision > 0 && kv.ModRevision < r.MinModRevision ||
			r.MaxModRevision > 0 && kv.ModRevision > r.MaxModRevision ||
			r.MinCreateRevision > 0 && kv.CreateRevision < r.MinCreateRevision ||
			r.MaxCreateRevision > 0 && kv.CreateRevision > r.MaxCreateRevision
	})
	sortBy(kvs, r.SortTarget, r.SortOrder)
	if r.Limit > 0 && int64(len(kvs)) > r.Limit {
		kvs, out.More = kvs[:r.Limit], true
	}
	if r.KeysOnly {
		for i, kv := range kvs {
			kvs[i] = &mvccpb.KeyValue{Key: kv.Key, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
				Version: kv.Version, Lease: kv.Lease}
		}
	}
	out.Kvs = kvs
	return out, nil
}

func sortBy(kvs []*mvccpb.KeyValue, by pb.RangeRequest_SortTarget, order pb.RangeRequest_SortOrder) {
	if order == pb.RangeRequest_NONE && by == pb.RangeRequest_KEY {
		return
	}
	slices.SortStableFunc(kvs, func(a, b *mvccpb.KeyValue) int {
		var c int64
		switch by {
		case pb.RangeRequest_VERSION:
			c = a.Version - b.Version
		case pb.RangeRequest_CREATE:
			c = a.CreateRevision - b.CreateRevision
		case pb.RangeRequest_MOD:
			c = a.ModRevision - b.ModRevision
		case pb.RangeRequest_VALUE:
			c = int64(bytes.Compare(a.Value, b.Value))
		default:
			c = int64(bytes.Compare(a.Key, b.Key))
		}
		if order == pb.RangeRequest_DESCEND {
			c = -c
		}
		return int(max(-1, min(1, c)))
	})
}

// Put writes one key.
func (s *Store) Put(r *pb.PutRequest) (*pb.PutResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkPut(r); err != nil {
		return nil, err
	}
	s.begin()
	out := s.put(r)
	s.commit()
	out.Header = s.header()
	return out, nil
}

func (s *Store) checkPut(r *pb.PutRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case r.Lease != 0 && s.leases[r.Lease] == nil:
		return rpctypes.ErrGRPCLeaseNotFound
	case r.IgnoreValue || r.IgnoreLease:
		return rpctypes.ErrGRPCInvalidSortOption // not built: better loud than wrong
	}
	return nil
}

// begin opens a revision, which counts only if something is written.
func (s *Store) begin() { s.history.rev++; s.sub = 0 }

func (s *Store) commit() {
	if s.sub == 0 {
		s.history.rev--
		return
	}
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *Store) put(r *pb.PutRequest) *pb.PutResponse {
	h, key := &s.history, string(r.Key)
	out := &pb.PutResponse{Header: &pb.ResponseHeader{Revision: h.rev}}
	kv := &mvccpb.KeyValue{Key: []byte(key), Value: r.Value, ModRevision: h.rev, CreateRevision: h.rev, Version: 1,
		Lease: r.Lease}
	if was := h.at(key, h.rev); was != nil {
		kv.CreateRevision, kv.Version = was.CreateRevision, was.Version+1
		if l := s.leases[was.Lease]; l != nil {
			delete(l.keys, key)
		}
		if r.PrevKv {
			out.PrevKv = was
		}
	}
	if l := s.leases[r.Lease]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.write(key, kv, mvccpb.Event_PUT)
	return out
}

func (s *Store) write(key string, kv *mvccpb.KeyValue, kind mvccpb.Event_EventType) {
	h := &s.history
	if at := sort.SearchStrings(h.keys, key); at == len(h.keys) || h.keys[at] != key {
		h.keys = slices.Insert(h.keys, at, key)
	}
	h.versions[key] = append(h.versions[key], kv)
	h.log = append(h.log, &mvccpb.Event{Type: kind, Kv: kv})
	s.sub++
}

// Forge changes a key's present value without a revision, as no store may; no watch hears of it.
func (s *Store) Forge(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.history.versions[key]; len(v) > 0 {
		last := v[len(v)-1]
		v = slices.Clone(v)
		v[len(v)-1] = &mvccpb.KeyValue{Key: last.Key, Value: []byte(value), CreateRevision: last.CreateRevision,
			ModRevision: last.ModRevision, Version: last.Version, Lease: last.Lease}
		s.history.versions[key] = v
	}
}

// DeleteRange deletes the keys of a range.
func (s *Store) DeleteRange(r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	s.begin()
	out := s.deleteRange(r)
	s.commit()
	out.Header = s.header()
	return out, nil
}

func (s *Store) deleteRange(r *pb.DeleteRangeRequest) *pb.DeleteRangeResponse {
	h := &s.history
	out := &pb.DeleteRangeResponse{Header: &pb.ResponseHeader{Revision: h.rev}}
	for _, k := range h.between(r.Key, r.RangeEnd) {
		was := h.at(k, h.rev)
		if was == nil {
			continue
		}
		if r.PrevKv {
			out.PrevKvs = append(out.PrevKvs, was)
		}
		if l := s.leases[was.Lease]; l != nil {
			delete(l.keys, k)
		}
		s.write(k, &mvccpb.KeyValue{Key: []byte(k), ModRevision: h.rev}, mvccpb.Event_DELETE)
		out.Deleted++
	}
	return out
}

// Compact forgets what was before a revision.
func (s *Store) Compact(rev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.history
	switch {
	case rev <= h.compacted:
		return rpctypes.ErrGRPCCompacted
	case rev > h.rev:
		return rpctypes.ErrGRPCFutureRev
	}
	h.compacted = rev
	h.log = slices.Clone(h.log[sort.Search(len(h.log), func(i int) bool { return h.log[i].Kv.ModRevision >= rev }):])
	var keys []string
	for _, k := range h.keys {
		v := h.versions[k]
		i := max(0, sort.Search(len(v), func(i int) bool { return v[i].ModRevision > rev })-1)
		if v[i].Version == 0 && v[i].ModRevision <= rev {
			i++
		}
		if i == len(v) {
			delete(h.versions, k)
			continue
		}
		h.versions[k] = slices.Clone(v[i:])
		keys = append(keys, k)
	}
	h.keys = keys
	close(s.moved) // watches that lag behind must hear of it
	s.moved = make(chan struct{})
	return nil
}

// Backup is what Restart can go back to.
type Backup struct{ history history }

// Save takes a backup.
func (s *Store) Save() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{s.history.copy()}
}

// Restart ends all watches and goes on with the data of a backup, or with its own (nil). The term is that of a member
// that was elected anew. Leases of keys that are not there any more are forgotten; others run anew.
func (s *Store) Restart(from *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term++
	if from != nil {
		s.history = from.history.copy()
	}
	s.rise()
}

// Wipe ends all watches and goes on without data. As with etcd that is set up anew with the same flags, cluster and member
// stay what they were, and the term is that of a first election.
func (s *Store) Wipe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.term = newHistory(), 2
	s.rise()
}

// SetTerm and SetCluster change what the headers say.
func (s *Store) SetTerm(term uint64) { s.mu.Lock(); defer s.mu.Unlock(); s.term = term }

// SetCluster changes the cluster's id.
func (s *Store) SetCluster(id uint64) { s.mu.Lock(); defer s.mu.Unlock(); s.cluster = id }

// Term that headers tell.
func (s *Store) Term() uint64 { s.mu.Lock(); defer s.mu.Unlock(); return s.term }

// Revision of the last change.
func (s *Store) Revision() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.history.rev }

func (s *Store) rise() {
	for id, l := range s.leases {
		l.due.Stop()
		delete(s.leases, id)
	}
	for _, k := range s.history.keys {
		kv := s.history.at(k, s.history.rev)
		if kv == nil || kv.Lease == 0 {
			continue
		}
		if s.leases[kv.Lease] == nil {
			s.arm(kv.Lease, 2) // how long it had left is not in the backup
		}
		s.leases[kv.Lease].keys[k] = struct{}{}
	}
	close(s.reborn)
	s.reborn = make(chan struct{})
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *Store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, l := range s.leases {
		l.due.Stop()
	}
	close(s.reborn)
	s.reborn = make(chan struct{})
}
