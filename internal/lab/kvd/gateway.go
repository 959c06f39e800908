package kvd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const maxRequest = 4 << 20

var (
	toJSON   = protojson.MarshalOptions{UseProtoNames: true}
	fromJSON = protojson.UnmarshalOptions{DiscardUnknown: true}
)

// statuses are what grpc-gateway makes of gRPC's codes.
var statuses = map[codes.Code]int{codes.InvalidArgument: 400, codes.FailedPrecondition: 400, codes.OutOfRange: 400,
	codes.NotFound: 404, codes.Unimplemented: 501, codes.Unavailable: 503, codes.DeadlineExceeded: 504,
	codes.ResourceExhausted: 429, codes.PermissionDenied: 403, codes.Unauthenticated: 401}

// gateway answers one request in JSON.
func (s *Server) gateway(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "Method Not Allowed", http.StatusMethodNotAllowed)
		return
	}
	body := bytes.NewBuffer(nil)
	if _, err := io.Copy(body, http.MaxBytesReader(w, r.Body, maxRequest)); err != nil {
		refuse(w, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	if s.hold(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case s.draw(Busy):
		refuse(w, status.Error(codes.Unavailable, "etcdserver: too many requests"))
	case s.draw(Garbage):
		io.WriteString(w, `{"header":{"cluster_id":`)
	default:
		s.route(w, r, body.Bytes())
	}
}

func (s *Server) route(w http.ResponseWriter, r *http.Request, body []byte) {
	switch r.URL.Path {
	case "/v3/kv/range":
		s.rangeJSON(w, body)
	case "/v3/kv/put":
		unary(w, body, new(pb.PutRequest), s.Put)
	case "/v3/kv/deleterange":
		unary(w, body, new(pb.DeleteRangeRequest), s.DeleteRange)
	case "/v3/kv/txn":
		unary(w, body, new(pb.TxnRequest), s.Txn)
	case "/v3/kv/compaction":
		unary(w, body, new(pb.CompactionRequest), s.compact)
	case "/v3/lease/grant":
		unary(w, body, new(pb.LeaseGrantRequest), s.Grant)
	case "/v3/lease/revoke", "/v3/kv/lease/revoke":
		unary(w, body, new(pb.LeaseRevokeRequest), s.Revoke)
	case "/v3/lease/timetolive", "/v3/kv/lease/timetolive":
		unary(w, body, new(pb.LeaseTimeToLiveRequest), func(r *pb.LeaseTimeToLiveRequest) (*pb.LeaseTimeToLiveResponse, error) {
			return s.TimeToLive(r), nil
		})
	case "/v3/lease/leases", "/v3/kv/lease/leases":
		unary(w, body, new(pb.LeaseLeasesRequest), func(*pb.LeaseLeasesRequest) (*pb.LeaseLeasesResponse, error) {
			return s.Leases(), nil
		})
	case "/v3/maintenance/status":
		unary(w, body, new(pb.StatusRequest), s.status)
	case "/v3/lease/keepalive":
		s.keepAliveJSON(w, body)
	case "/v3/watch":
		s.watchJSON(w, r, body)
	default:
		refuse(w, status.Error(codes.NotFound, "Not Found"))
	}
}

func (s *Server) compact(r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	if err := s.Compact(r.Revision); err != nil {
		return nil, err
	}
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	return &pb.CompactionResponse{Header: s.header()}, nil
}

func (s *Server) status(*pb.StatusRequest) (*pb.StatusResponse, error) {
	s.Store.mu.Lock()
	defer s.Store.mu.Unlock()
	return &pb.StatusResponse{Header: s.header(), Version: "3.7.3", Leader: s.member, RaftTerm: s.term}, nil
}

func encode(m proto.Message) []byte {
	raw, err := toJSON.Marshal(m)
	if err != nil {
		panic(err) // our own answer
	}
	var tight bytes.Buffer // protojson strews blanks on purpose
	if err := json.Compact(&tight, raw); err != nil {
		panic(err)
	}
	return tight.Bytes()
}

func unary[Q, A proto.Message](w http.ResponseWriter, body []byte, q Q, do func(Q) (A, error)) {
	if err := fromJSON.Unmarshal(body, q); err != nil {
		refuse(w, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	a, err := do(q)
	if err != nil {
		refuse(w, err)
		return
	}
	raw := encode(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

func refuse(w http.ResponseWriter, err error) {
	st, _ := status.FromError(err)
	code := statuses[st.Code()]
	if code == 0 {
		code = http.StatusInternalServerError
	}
	raw, _ := json.Marshal(struct {
		Code    codes.Code `json:"code"`
		Message string     `json:"message"`
	}{st.Code(), st.Message()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(raw)
}

// rangeJSON is a page, and what can go wrong with it.
func (s *Server) rangeJSON(w http.ResponseWriter, body []byte) {
	cut := s.draw(CutPage)
	out := w
	if cut {
		out = &halfWriter{ResponseWriter: w}
	}
	unary(out, body, new(pb.RangeRequest), func(r *pb.RangeRequest) (*pb.RangeResponse, error) {
		a, err := s.Range(r)
		if err != nil {
			return nil, err
		}
		if s.draw(Half) && len(a.Kvs) > 1 {
			a.Kvs, a.More = a.Kvs[:len(a.Kvs)/2], false
		}
		if s.draw(Shuffle) && len(a.Kvs) > 1 {
			a.Kvs[0], a.Kvs[len(a.Kvs)-1] = a.Kvs[len(a.Kvs)-1], a.Kvs[0]
		}
		return a, nil
	})
	if cut {
		panic(http.ErrAbortHandler)
	}
}

// halfWriter lets the first half of each piece through.
type halfWriter struct{ http.ResponseWriter }

func (h *halfWriter) Write(p []byte) (int, error) {
	h.ResponseWriter.Write(p[:len(p)/2])
	http.NewResponseController(h.ResponseWriter).Flush()
	return len(p), nil
}

func (s *Server) keepAliveJSON(w http.ResponseWriter, body []byte) {
	q := new(pb.LeaseKeepAliveRequest)
	if err := fromJSON.Unmarshal(body, q); err != nil {
		refuse(w, status.Error(codes.InvalidArgument, err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(line(s.KeepAlive(q.ID)))
}

// line is one answer of a stream.
func line(m proto.Message) []byte {
	return append(append([]byte(`{"result":`), encode(m)...), '}', '\n')
}

// watchJSON carries one stream. What the client asks stands in the body, one JSON object after another, and the stream
// goes on after it: over HTTP/1.1 the gateway has nobody who could ask more while it answers.
func (s *Server) watchJSON(w http.ResponseWriter, r *http.Request, body []byte) {
	var asked []*pb.WatchRequest
	for d := json.NewDecoder(bytes.NewReader(body)); ; {
		var raw json.RawMessage
		if err := d.Decode(&raw); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			refuse(w, status.Error(codes.InvalidArgument, err.Error()))
			return
		}
		q := new(pb.WatchRequest)
		if err := fromJSON.Unmarshal(raw, q); err != nil {
			refuse(w, status.Error(codes.InvalidArgument, err.Error()))
			return
		}
		asked = append(asked, q)
	}
	ask := make(chan *pb.WatchRequest, len(asked))
	for _, q := range asked {
		ask <- q
	}
	close(ask)
	w.Header().Set("Content-Type", "application/json")
	flush := http.NewResponseController(w)
	err := s.stream(r.Context(), ask, func(a *pb.WatchResponse) error {
		raw := line(a)
		if !a.Created && s.draw(CutLine) {
			w.Write(raw[:len(raw)/2])
			flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if !a.Created && s.draw(HangLine) {
			w.Write(raw[:len(raw)/2])
			flush.Flush()
			<-r.Context().Done()
			return r.Context().Err()
		}
		if _, err := w.Write(raw); err != nil {
			return err
		}
		return flush.Flush()
	})
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, errStalled) {
		panic(http.ErrAbortHandler)
	}
	st, _ := status.FromError(err)
	raw, _ := json.Marshal(map[string]any{"error": map[string]any{"grpc_code": st.Code(),
		"http_code": http.StatusServiceUnavailable, "message": st.Message()}})
	w.Write(append(raw, '\n'))
}
