package kvd

import (
	"bytes"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// Txn compares and then does one of two lists of operations, all at one revision. Transactions within transactions are
// not built, and turned away.
func (s *Store) Txn(r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ops := range [][]*pb.RequestOp{r.Success, r.Failure} {
		if err := s.checkOps(ops); err != nil {
			return nil, err
		}
	}
	ok := true
	for _, c := range r.Compare {
		ok = ok && s.holds(c)
	}
	ops := r.Failure
	if ok {
		ops = r.Success
	}
	s.begin()
	out := &pb.TxnResponse{Succeeded: ok}
	for _, op := range ops {
		switch o := op.Request.(type) {
		case *pb.RequestOp_RequestRange:
			got, err := s.read(o.RequestRange)
			if err != nil {
				s.commit()
				return nil, err
			}
			out.Responses = append(out.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: got}})
		case *pb.RequestOp_RequestPut:
			out.Responses = append(out.Responses,
				&pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: s.put(o.RequestPut)}})
		case *pb.RequestOp_RequestDeleteRange:
			out.Responses = append(out.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: s.deleteRange(o.RequestDeleteRange)}})
		}
	}
	s.commit()
	out.Header = s.header()
	return out, nil
}

// checkOps turns away what the protocol forbids: a key that is written twice. Deletions of ranges that cover a key that
// is put are not looked for.
func (s *Store) checkOps(ops []*pb.RequestOp) error {
	put := map[string]bool{}
	for _, op := range ops {
		switch o := op.Request.(type) {
		case *pb.RequestOp_RequestRange:
			if r := o.RequestRange; r.Revision != 0 && (r.Revision > s.history.rev || r.Revision < s.history.compacted) {
				_, err := s.read(r)
				return err
			}
		case *pb.RequestOp_RequestPut:
			if err := s.checkPut(o.RequestPut); err != nil {
				return err
			}
			if put[string(o.RequestPut.Key)] {
				return rpctypes.ErrGRPCDuplicateKey
			}
			put[string(o.RequestPut.Key)] = true
		case *pb.RequestOp_RequestDeleteRange:
			if len(o.RequestDeleteRange.Key) == 0 {
				return rpctypes.ErrGRPCEmptyKey
			}
		default:
			return rpctypes.ErrGRPCNotCapable
		}
	}
	return nil
}

func (s *Store) holds(c *pb.Compare) bool {
	keys := s.history.between(c.Key, c.RangeEnd)
	if len(c.RangeEnd) == 0 {
		keys = []string{string(c.Key)}
	}
	for _, k := range keys {
		kv := s.history.at(k, s.history.rev)
		if kv == nil {
			if len(c.RangeEnd) > 0 {
				continue
			}
			if c.Target == pb.Compare_VALUE {
				return false // a key that is not there has no value to compare
			}
			kv = new(mvccpb.KeyValue)
		}
		var d int
		switch c.Target {
		case pb.Compare_VERSION:
			d = order(kv.Version, c.GetVersion())
		case pb.Compare_CREATE:
			d = order(kv.CreateRevision, c.GetCreateRevision())
		case pb.Compare_MOD:
			d = order(kv.ModRevision, c.GetModRevision())
		case pb.Compare_LEASE:
			d = order(kv.Lease, c.GetLease())
		default:
			d = bytes.Compare(kv.Value, c.GetValue())
		}
		if c.Result == pb.Compare_EQUAL && d != 0 || c.Result == pb.Compare_NOT_EQUAL && d == 0 ||
			c.Result == pb.Compare_GREATER && d <= 0 || c.Result == pb.Compare_LESS && d >= 0 {
			return false
		}
	}
	return true
}

func order(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
