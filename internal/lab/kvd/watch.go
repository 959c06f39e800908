package kvd

import (
	"context"
	"sort"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/protobuf/proto"
)

const (
	// batch is the most events of one answer, and fragmentBytes what a fragment may hold: etcd's are 1,000 and 1.5 MiB;
	// smaller ones make fragments happen in tests.
	batch         = 1000
	fragmentBytes = 64 << 10
)

// watcher follows a range. It holds no events: each look reads the log from where the last one ended.
type watcher struct {
	id       int64
	from, to []byte
	next     int64
	notes    bool
	fragment bool
	prev     bool
	noPut    bool
	noDelete bool
}

func (s *Store) newWatcher(id int64, r *pb.WatchCreateRequest) (*watcher, *pb.WatchResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &watcher{id: id, from: r.Key, to: r.RangeEnd, next: r.StartRevision, notes: r.ProgressNotify, fragment: r.Fragment,
		prev: r.PrevKv}
	if len(w.from) == 0 {
		w.from = []byte{0}
	}
	for _, f := range r.Filters {
		w.noPut = w.noPut || f == pb.WatchCreateRequest_NOPUT
		w.noDelete = w.noDelete || f == pb.WatchCreateRequest_NODELETE
	}
	if w.next <= 0 {
		w.next = s.history.rev + 1
	}
	return w, &pb.WatchResponse{Header: s.header(), WatchId: id, Created: true}
}

// look gives what a watcher has to hear next, nil for nothing.
func (s *Store) look(w *watcher) *pb.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.history
	if w.next < h.compacted {
		head := s.header()
		head.Revision = 0 // as etcd has it
		return &pb.WatchResponse{Header: head, WatchId: w.id, Canceled: true, CompactRevision: h.compacted}
	}
	at := sort.Search(len(h.log), func(i int) bool { return h.log[i].Kv.ModRevision >= w.next })
	var found []*mvccpb.Event
	for ; at < len(h.log); at++ {
		e := h.log[at]
		if n := len(found); n >= batch && found[n-1].Kv.ModRevision != e.Kv.ModRevision {
			break // a revision is never split between answers, but for fragments
		}
		w.next = e.Kv.ModRevision + 1
		if !inside(string(e.Kv.Key), w.from, w.to) || w.noPut && e.Type == mvccpb.Event_PUT ||
			w.noDelete && e.Type == mvccpb.Event_DELETE {
			continue
		}
		if w.prev {
			if was := h.at(string(e.Kv.Key), e.Kv.ModRevision-1); was != nil {
				e = &mvccpb.Event{Type: e.Type, Kv: e.Kv, PrevKv: was}
			}
		}
		found = append(found, e)
	}
	if at == len(h.log) {
		w.next = max(w.next, h.rev+1)
	}
	if found == nil {
		return nil
	}
	return &pb.WatchResponse{Header: s.header(), WatchId: w.id, Events: found}
}

// note gives a progress note: all up to the revision of its header has been told.
func (s *Store) note(w *watcher) *pb.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.next != s.history.rev+1 {
		return nil
	}
	return &pb.WatchResponse{Header: s.header(), WatchId: w.id}
}

// fragments splits an answer as a watcher asked for it.
func fragments(w *watcher, r *pb.WatchResponse) []*pb.WatchResponse {
	if !w.fragment || proto.Size(r) <= fragmentBytes {
		return []*pb.WatchResponse{r}
	}
	var out []*pb.WatchResponse
	for events := r.Events; len(events) > 0; {
		n, size := 0, 0
		for n < len(events) && (n == 0 || size+proto.Size(events[n]) <= fragmentBytes) {
			size += proto.Size(events[n])
			n++
		}
		out = append(out, &pb.WatchResponse{Header: r.Header, WatchId: r.WatchId, Events: events[:n], Fragment: n < len(events)})
		events = events[n:]
	}
	return out
}

// stream carries watches to one client until its context ends, the store restarts or send fails. Requests come through
// ask, which closes when the client will ask no more.
func (s *Server) stream(ctx context.Context, ask <-chan *pb.WatchRequest, send func(*pb.WatchResponse) error) error {
	s.Store.mu.Lock()
	reborn := s.reborn
	s.Store.mu.Unlock()
	var all []*watcher
	tell := func(w *watcher, r *pb.WatchResponse) error {
		for _, part := range fragments(w, r) {
			if err := s.hold(ctx); err != nil {
				return err
			}
			if err := send(part); err != nil {
				return err
			}
		}
		return nil
	}
	var tick <-chan time.Time
	if s.notes > 0 {
		t := time.NewTicker(s.notes)
		defer t.Stop()
		tick = t.C
	}
	for nextID := int64(0); ; {
		s.Store.mu.Lock()
		moved := s.moved
		s.Store.mu.Unlock()
		if err := s.hold(ctx); err != nil {
			return err
		}
		for i := 0; i < len(all); i++ {
			w := all[i]
			for r := s.look(w); r != nil; r = s.look(w) {
				if s.swallow() {
					continue
				}
				if err := tell(w, r); err != nil {
					return err
				}
				if !r.Canceled && s.draw(Repeat) {
					if err := tell(w, r); err != nil {
						return err
					}
				}
				if r.Canceled {
					all = append(all[:i:i], all[i+1:]...)
					i--
					break
				}
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reborn:
			return rpctypes.ErrGRPCStopped
		case <-moved:
		case <-tick:
			for _, w := range all {
				if !w.notes {
					continue
				}
				if r := s.note(w); r != nil {
					if err := tell(w, r); err != nil {
						return err
					}
				}
			}
		case r, more := <-ask:
			if !more {
				ask = nil
				continue
			}
			switch o := r.RequestUnion.(type) {
			case *pb.WatchRequest_CreateRequest:
				id := o.CreateRequest.WatchId
				if id == 0 {
					id = nextID
					nextID++
				}
				w, created := s.newWatcher(id, o.CreateRequest)
				if err := tell(w, created); err != nil {
					return err
				}
				all = append(all, w)
			case *pb.WatchRequest_CancelRequest:
				for i, w := range all {
					if w.id == o.CancelRequest.WatchId {
						all = append(all[:i:i], all[i+1:]...)
						if err := tell(w, s.ended(w)); err != nil {
							return err
						}
						break
					}
				}
			case *pb.WatchRequest_ProgressRequest:
				if r := s.progress(all); r != nil {
					if err := send(r); err != nil {
						return err
					}
				}
			}
		}
	}
}

func (s *Store) ended(w *watcher) *pb.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &pb.WatchResponse{Header: s.header(), WatchId: w.id, Canceled: true}
}

// progress answers a request for it, which speaks for all watches of a stream.
func (s *Store) progress(all []*watcher) *pb.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range all {
		if w.next != s.history.rev+1 {
			return nil
		}
	}
	return &pb.WatchResponse{Header: s.header(), WatchId: -1}
}
