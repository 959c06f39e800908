package hollow

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/lab/kvd"
)

// The two prefixes of a store: whole entries of the size that is coming, and a part of them.
const (
	wholePrefix = "whole/"
	partPrefix  = "part/"
)

// Entries says how many of each kind there are below a prefix.
type Entries struct {
	Routes  int `json:"routes"`
	Pools   int `json:"pools"`
	Tenants int `json:"tenants"`
}

// Store is the key-value store's stand-in with entries of the catalog, which counts what it gives. A call is a connection.
type Store struct {
	*kvd.Server
	meter
	entries map[string]Entries // by prefix
	lis     net.Listener
	done    chan struct{}
	tasks   sync.WaitGroup
	turns   int
}

// NewStore listens on loopback, filled.
func NewStore(whole, part Entries) (*Store, error) {
	s := &Store{Server: kvd.New(kvd.Options{Seed: 1}), entries: map[string]Entries{wholePrefix: whole, partPrefix: part}, done: make(chan struct{})}
	for prefix, e := range s.entries {
		if e.Routes < 1 || e.Pools < 2 {
			return nil, fmt.Errorf("hollow: %d routes and %d pools are too few to change one", e.Routes, e.Pools)
		}
		for i := range e.Pools {
			s.put(prefix+"pools/p"+strconv.Itoa(i), fmt.Sprintf(`{"members":{"cells":[%d]}}`, i))
		}
		for i := range e.Routes {
			s.put(route(prefix, i, i%e.Pools))
		}
		for i := range e.Tenants {
			s.put(fmt.Sprintf("%stenants/tenant-%09d", prefix, i), fmt.Sprintf(`{"quota_per_s":%d,"share":0.5}`, i%9))
		}
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.lis = l
	s.tasks.Go(func() { s.Server.Serve(counted{l, s}) })
	s.tasks.Go(func() { s.count(s.done) })
	return s, nil
}

// Close ends everything.
func (s *Store) Close() {
	close(s.done)
	s.Server.Close()
	s.tasks.Wait()
}

func (s *Store) put(key, value string) {
	if _, err := s.Put(put(key, value)); err != nil {
		panic(err) // the store refuses empty keys alone
	}
}

func put(key, value string) *pb.PutRequest {
	return &pb.PutRequest{Key: []byte(key), Value: []byte(value)}
}

// host of a route; each has its own path there.
func host(i int) string { return "shop-" + strconv.Itoa(i/7) + ".yard.example" }
func path(i int) string { return "/team-" + strconv.Itoa(i) + "/v1" }

func route(prefix string, i, pool int) (key, value string) {
	return prefix + "routes/r" + strconv.Itoa(i), fmt.Sprintf(`{"host":%q,"path":%q,"pool":"p%d"}`, host(i), path(i), pool)
}

// Do what a line says: "change" the route r0 below both prefixes, at one revision, which is the answer; "load"; "address".
func (s *Store) Do(line string) (string, error) {
	switch strings.TrimSpace(line) {
	case "change":
		s.turns++
		var both pb.TxnRequest
		for prefix, e := range s.entries {
			both.Success = append(both.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: put(route(prefix, 0, s.turns%e.Pools))}})
		}
		answer, err := s.Txn(&both)
		return strconv.FormatInt(answer.GetHeader().GetRevision(), 10), err
	case "load":
		return s.take()
	case "address":
		return s.lis.Addr().String(), nil
	}
	return "", fmt.Errorf("%q is nothing that a store does", line)
}

// counted counts the connections and bytes of a listener.
type counted struct {
	net.Listener
	s *Store
}

func (c counted) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.s.calls.Add(1)
	c.s.open.Add(1)
	return &countedConn{Conn: nc, s: c.s}, nil
}

type countedConn struct {
	net.Conn
	s    *Store
	once sync.Once
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.s.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.s.open.Add(-1) })
	return c.Conn.Close()
}
