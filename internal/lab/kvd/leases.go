package kvd

import (
	"maps"
	"slices"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// arm starts a lease; it is called under the lock.
func (s *Store) arm(id, ttl int64) {
	life := time.Duration(ttl) * time.Second
	l := &lease{ttl: ttl, ends: time.Now().Add(life), keys: map[string]struct{}{}}
	l.due = time.AfterFunc(life, func() { s.runOut(id, l) })
	s.leases[id] = l
}

func (s *Store) runOut(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == l && !time.Now().Before(l.ends) {
		s.drop(id, l)
	}
}

// drop deletes the keys of a lease at one revision, as etcd does.
func (s *Store) drop(id int64, l *lease) {
	l.due.Stop()
	s.begin()
	for _, k := range slices.Sorted(maps.Keys(l.keys)) {
		s.deleteRange(&pb.DeleteRangeRequest{Key: []byte(k)})
	}
	s.commit()
	delete(s.leases, id)
}

// Grant makes a lease.
func (s *Store) Grant(r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.ID
	if id == 0 {
		s.nextID++
		id = s.nextID
	}
	switch {
	case s.leases[id] != nil:
		return nil, rpctypes.ErrGRPCLeaseExist
	case r.TTL > 9_000_000_000:
		return nil, rpctypes.ErrGRPCLeaseTTLTooLarge
	}
	ttl := max(1, r.TTL)
	s.arm(id, ttl)
	return &pb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: ttl}, nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[r.ID]
	if l == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.drop(r.ID, l)
	return &pb.LeaseRevokeResponse{Header: s.header()}, nil
}

// KeepAlive renews a lease; for one that is not there the answer's TTL is 0.
func (s *Store) KeepAlive(id int64) *pb.LeaseKeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if l := s.leases[id]; l != nil {
		life := time.Duration(l.ttl) * time.Second
		l.ends = time.Now().Add(life)
		l.due.Reset(life)
		out.TTL = l.ttl
	}
	return out
}

// TimeToLive tells what is left of a lease, -1 where there is none.
func (s *Store) TimeToLive(r *pb.LeaseTimeToLiveRequest) *pb.LeaseTimeToLiveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.LeaseTimeToLiveResponse{Header: s.header(), ID: r.ID, TTL: -1}
	if l := s.leases[r.ID]; l != nil {
		out.GrantedTTL, out.TTL = l.ttl, int64(time.Until(l.ends)/time.Second)
		for _, k := range slices.Sorted(maps.Keys(l.keys)) {
			if r.Keys {
				out.Keys = append(out.Keys, []byte(k))
			}
		}
	}
	return out
}

// Leases lists their ids.
func (s *Store) Leases() *pb.LeaseLeasesResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.LeaseLeasesResponse{Header: s.header()}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		out.Leases = append(out.Leases, &pb.LeaseStatus{ID: id})
	}
	return out
}
