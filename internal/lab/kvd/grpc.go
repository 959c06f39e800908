package kvd

import (
	"context"
	"errors"
	"io"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
)

// The services of gRPC. What they embed answers "unimplemented" to the rest of the protocol.
type (
	kvService struct {
		pb.UnimplementedKVServer
		s *Server
	}
	watchService struct {
		pb.UnimplementedWatchServer
		s *Server
	}
	leaseService struct {
		pb.UnimplementedLeaseServer
		s *Server
	}
	maintenanceService struct {
		pb.UnimplementedMaintenanceServer
		s *Server
	}
)

func (s *Server) newGRPC() *grpc.Server {
	g := grpc.NewServer(grpc.UnaryInterceptor(func(ctx context.Context, q any, _ *grpc.UnaryServerInfo,
		do grpc.UnaryHandler) (any, error) {
		if err := s.hold(ctx); err != nil {
			return nil, err
		}
		return do(ctx, q)
	}))
	pb.RegisterKVServer(g, kvService{s: s})
	pb.RegisterWatchServer(g, watchService{s: s})
	pb.RegisterLeaseServer(g, leaseService{s: s})
	pb.RegisterMaintenanceServer(g, maintenanceService{s: s})
	return g
}

func (k kvService) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	return k.s.Range(r)
}
func (k kvService) Put(_ context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	return k.s.Put(r)
}
func (k kvService) DeleteRange(_ context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	return k.s.DeleteRange(r)
}
func (k kvService) Txn(_ context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	return k.s.Txn(r)
}
func (k kvService) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	return k.s.compact(r)
}

func (m maintenanceService) Status(_ context.Context, r *pb.StatusRequest) (*pb.StatusResponse, error) {
	return m.s.status(r)
}

func (l leaseService) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	return l.s.Grant(r)
}
func (l leaseService) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	return l.s.Revoke(r)
}
func (l leaseService) LeaseTimeToLive(_ context.Context, r *pb.LeaseTimeToLiveRequest) (*pb.LeaseTimeToLiveResponse, error) {
	return l.s.TimeToLive(r), nil
}
func (l leaseService) LeaseLeases(context.Context, *pb.LeaseLeasesRequest) (*pb.LeaseLeasesResponse, error) {
	return l.s.Leases(), nil
}
func (l leaseService) LeaseKeepAlive(st pb.Lease_LeaseKeepAliveServer) error {
	for {
		q, err := st.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := l.s.hold(st.Context()); err != nil {
			return err
		}
		if err := st.Send(l.s.KeepAlive(q.ID)); err != nil {
			return err
		}
	}
}

func (w watchService) Watch(st pb.Watch_WatchServer) error {
	ask := make(chan *pb.WatchRequest)
	go func() { // ends with the stream, whose context Recv and the send below both hear
		defer close(ask)
		for {
			q, err := st.Recv()
			if err != nil {
				return
			}
			select {
			case ask <- q:
			case <-st.Context().Done():
				return
			}
		}
	}()
	return w.s.stream(st.Context(), ask, st.Send)
}
