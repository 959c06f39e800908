package kvd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

// serve starts a server on a port of its own.
func serve(t *testing.T, o Options) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(o)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// etcds is etcd's own client.
func etcds(t *testing.T, at string) (*clientv3.Client, context.Context) {
	t.Helper()
	c, err := clientv3.New(clientv3.Config{Endpoints: []string{at}, DialTimeout: 20 * time.Second, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return c, ctx
}

func must[T any](v T, err error) func(*testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func TestEtcdsClientReadsAndWrites(t *testing.T) {
	t.Parallel()
	_, at := serve(t, Options{})
	c, ctx := etcds(t, at)
	for i := range 5 {
		must(c.Put(ctx, fmt.Sprintf("a/%d", i), fmt.Sprintf("v%d", i)))(t)
	}
	was := must(c.Put(ctx, "a/1", "new", clientv3.WithPrevKV()))(t)
	if string(was.PrevKv.Value) != "v1" || was.Header.Revision != 7 {
		t.Errorf("%+v", was)
	}
	page := must(c.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithLimit(2), clientv3.WithRev(6)))(t)
	if page.Count != 5 || !page.More || len(page.Kvs) != 2 || string(page.Kvs[1].Value) != "v1" {
		t.Errorf("%+v", page)
	}
	last := must(c.Get(ctx, "a/", append(clientv3.WithLastRev(), clientv3.WithKeysOnly())...))(t)
	if len(last.Kvs) != 1 || string(last.Kvs[0].Key) != "a/1" || last.Kvs[0].Version != 2 || last.Kvs[0].Value != nil {
		t.Errorf("%+v", last)
	}
	txn := must(c.Txn(ctx).If(clientv3.Compare(clientv3.Value("a/1"), "=", "new"), clientv3.Compare(clientv3.Version("b"), "=", 0)).
		Then(clientv3.OpDelete("a/", clientv3.WithPrefix()), clientv3.OpPut("b", "x"), clientv3.OpGet("b")).Commit())(t)
	if !txn.Succeeded || txn.Responses[0].GetResponseDeleteRange().Deleted != 5 ||
		string(txn.Responses[2].GetResponseRange().Kvs[0].Value) != "x" || txn.Header.Revision != 8 {
		t.Errorf("%+v", txn)
	}
	if must(c.Txn(ctx).If(clientv3.Compare(clientv3.CreateRevision("b"), "=", 0)).Commit())(t).Succeeded {
		t.Error("b is there")
	}
	must(c.Compact(ctx, 8))(t)
	if _, err := c.Get(ctx, "a/1", clientv3.WithRev(7)); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "a/1", clientv3.WithRev(70)); !errors.Is(err, rpctypes.ErrFutureRev) {
		t.Error(err)
	}
	if st := must(c.Status(ctx, at))(t); st.Header.Revision != 8 {
		t.Errorf("%+v", st)
	}
}

func TestEtcdsClientWatches(t *testing.T) {
	t.Parallel()
	s, at := serve(t, Options{Notes: 10 * time.Millisecond})
	c, ctx := etcds(t, at)
	w := c.Watch(ctx, "a/", clientv3.WithPrefix(), clientv3.WithPrevKV(), clientv3.WithProgressNotify(), clientv3.WithFragment())
	next := func() clientv3.WatchResponse { // but for notes
		t.Helper()
		for {
			r, ok := <-w
			if !ok {
				t.Fatal("the watch has ended")
			}
			if !r.IsProgressNotify() {
				return r
			}
		}
	}
	if r := <-w; !r.IsProgressNotify() {
		t.Errorf("%+v", r)
	}
	must(c.Put(ctx, "a/1", "x"))(t)
	must(c.Put(ctx, "other", "x"))(t)
	must(c.Delete(ctx, "a/1"))(t)
	if e := next().Events; len(e) != 1 || !e[0].IsCreate() {
		t.Errorf("%+v", e)
	}
	if e := next().Events; len(e) != 1 || e[0].Type != mvccpb.Event_DELETE || string(e[0].PrevKv.Value) != "x" {
		t.Errorf("%+v", e)
	}
	long := strings.Repeat("x", fragmentBytes/3) // more than a fragment holds, in one revision
	var ops []clientv3.Op
	for i := range 10 {
		ops = append(ops, clientv3.OpPut(fmt.Sprintf("a/%d", i), long))
	}
	must(c.Txn(ctx).Then(ops...).Commit())(t)
	if e := next().Events; len(e) != 10 || string(e[9].Kv.Value) != long {
		t.Errorf("%d events", len(e))
	}
	s.Cut() // the client comes back by itself
	must(s.Put(&pb.PutRequest{Key: []byte("a/2"), Value: []byte("y")}))(t)
	if e := next().Events; len(e) != 1 || string(e[0].Kv.Value) != "y" {
		t.Errorf("%+v", e)
	}
	s.Restart(nil) // etcd's client passes over it, too
	must(s.Put(&pb.PutRequest{Key: []byte("a/2"), Value: []byte("z")}))(t)
	if e := next().Events; len(e) != 1 || string(e[0].Kv.Value) != "z" {
		t.Errorf("%+v", e)
	}
	if err := s.Compact(s.Revision()); err != nil {
		t.Fatal(err)
	}
	r := <-c.Watch(ctx, "a/", clientv3.WithPrefix(), clientv3.WithRev(2))
	if !r.Canceled || r.CompactRevision != s.Revision() || !errors.Is(r.Err(), rpctypes.ErrCompacted) {
		t.Errorf("%+v", r)
	}
	if err := c.RequestProgress(ctx); err != nil {
		t.Error(err)
	}
}

func TestEtcdsClientHoldsLeases(t *testing.T) {
	t.Parallel()
	_, at := serve(t, Options{})
	c, ctx := etcds(t, at)
	kept, short := must(c.Grant(ctx, 1))(t), must(c.Grant(ctx, 1))(t)
	alive := must(c.KeepAlive(ctx, kept.ID))(t)
	w := c.Watch(ctx, "a/", clientv3.WithPrefix(), clientv3.WithRev(1))
	must(c.Put(ctx, "a/kept", "x", clientv3.WithLease(kept.ID)))(t)
	must(c.Put(ctx, "a/short", "x", clientv3.WithLease(short.ID)))(t)
	var heard []string
	for len(heard) < 3 {
		for _, e := range (<-w).Events {
			heard = append(heard, e.Type.String()+" "+string(e.Kv.Key))
		}
	}
	if strings.Join(heard, ", ") != "PUT a/kept, PUT a/short, DELETE a/short" {
		t.Error(heard)
	}
	if r := <-alive; r.TTL != 1 {
		t.Errorf("%+v", r)
	}
	if l := must(c.TimeToLive(ctx, kept.ID, clientv3.WithAttachedKeys()))(t); len(l.Keys) != 1 || l.GrantedTTL != 1 {
		t.Errorf("%+v", l)
	}
	must(c.Revoke(ctx, kept.ID))(t)
	if n := must(c.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithCountOnly()))(t).Count; n != 0 {
		t.Errorf("%d keys", n)
	}
	if _, err := c.Put(ctx, "a/late", "x", clientv3.WithLease(kept.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Error(err)
	}
}

// The answers stand here as etcd 3.7.3 gave them, but for the ids of its cluster and its member.
func TestTheGatewayAnswersAsEtcdDoes(t *testing.T) {
	t.Parallel()
	s, at := serve(t, Options{Notes: -1})
	s.cluster, s.member = 1, 2
	const head = `{"header":{"cluster_id":"1","member_id":"2","revision":"`
	for _, c := range []struct{ path, ask, says string }{
		{"kv/put", `{"key":"YS8x","value":"djE="}`, head + `2","raft_term":"2"}}`},
		{"kv/put", `{"key":"YS8y","value":"djI="}`, head + `3","raft_term":"2"}}`},
		{"kv/put", `{"key":"YS8x","value":"djM="}`, head + `4","raft_term":"2"}}`},
		{"kv/range", `{"key":"YS8=","range_end":"YTA=","limit":"1"}`, head +
			`4","raft_term":"2"},"kvs":[{"key":"YS8x","create_revision":"2","mod_revision":"4","version":"2","value":"djM="}],"more":true,"count":"2"}`},
		{"kv/range", `{"key":"YS8=","range_end":"YTA=","limit":1,"revision":3,"sort_order":"ASCEND"}`, head +
			`4","raft_term":"2"},"kvs":[{"key":"YS8x","create_revision":"2","mod_revision":"2","version":"1","value":"djE="}],"more":true,"count":"2"}`},
		{"kv/compaction", `{"revision":"3"}`, head + `4","raft_term":"2"}}`},
		{"kv/range", `{"key":"YS8=","revision":2}`, `400 {"code":11,"message":"etcdserver: mvcc: required revision has been compacted"}`},
		{"kv/range", `{"key":"YS8=","revision":200}`, `400 {"code":11,"message":"etcdserver: mvcc: required revision is a future revision"}`},
		{"kv/nonsense", `{}`, `404 {"code":5,"message":"Not Found"}`},
		{"watch", `{"create_request":{"key":"YS8=","range_end":"YTA=","start_revision":"2","progress_notify":true}}`,
			`{"result":` + head + `4","raft_term":"2"},"created":true}}` + "\n" +
				`{"result":{"header":{"cluster_id":"1","member_id":"2","raft_term":"2"},"canceled":true,"compact_revision":"3"}}`},
		{"kv/deleterange", `{"key":"YS8y"}`, head + `5","raft_term":"2"},"deleted":"1"}`},
		{"watch", `{"create_request":{"key":"YS8=","range_end":"YTA=","start_revision":"4"}}`,
			`{"result":` + head + `5","raft_term":"2"},"created":true}}` + "\n" + `{"result":` + head +
				`5","raft_term":"2"},"events":[{"kv":{"key":"YS8x","create_revision":"2","mod_revision":"4","version":"2","value":"djM="}},` +
				`{"type":"DELETE","kv":{"key":"YS8y","mod_revision":"5"}}]}}`},
		{"lease/grant", `{"TTL":"2","ID":"77"}`, head + `5","raft_term":"2"},"ID":"77","TTL":"2"}`},
		{"lease/grant", `{"TTL":"2","ID":"77"}`, `400 {"code":9,"message":"etcdserver: lease already exists"}`},
		{"lease/keepalive", `{"ID":"77"}`, `{"result":` + head + `5","raft_term":"2"},"ID":"77","TTL":"2"}}`},
		{"lease/keepalive", `{"ID":"78"}`, `{"result":` + head + `5","raft_term":"2"},"ID":"78"}}`},
		{"lease/revoke", `{"ID":"78"}`, `404 {"code":5,"message":"etcdserver: requested lease not found"}`},
		{"kv/txn", `{"success":[{"requestPut":{"key":"YS84","value":"djk="}},{"requestDeleteRange":{"key":"YS8x"}}]}`, head +
			`6","raft_term":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"6"}}},` +
			`{"response_delete_range":{"header":{"revision":"6"},"deleted":"1"}}]}`},
	} {
		resp, err := http.Post("http://"+at+"/v3/"+c.path, "application/json", strings.NewReader(c.ask))
		if err != nil {
			t.Fatal(err)
		}
		said := make([]byte, len(c.says)) // a watch goes on; what is wanted is read
		if strings.HasPrefix(c.says, "4") {
			said = said[:copy(said, fmt.Sprint(resp.StatusCode, " "))]
			rest, _ := io.ReadAll(resp.Body)
			said = append(said, rest...)
		} else if n, err := io.ReadFull(resp.Body, said); err != nil {
			said = said[:n]
		}
		resp.Body.Close()
		if !bytes.Equal(said, []byte(c.says)) {
			t.Errorf("%s %s:\n got %s\nwant %s", c.path, c.ask, said, c.says)
		}
	}
}

// A deletion that is compacted away leaves nothing, and a backup is not touched by what follows it.
func TestCompactionAndBackups(t *testing.T) {
	t.Parallel()
	s := NewStore(1)
	put := func(k, v string) { must(s.Put(&pb.PutRequest{Key: []byte(k), Value: []byte(v)}))(t) }
	get := func(k string, rev int64) string {
		a, err := s.Range(&pb.RangeRequest{Key: []byte(k), Revision: rev})
		if err != nil {
			return err.Error()
		}
		if len(a.Kvs) == 0 {
			return ""
		}
		return string(a.Kvs[0].Value)
	}
	put("a", "1")
	put("b", "1")
	b := s.Save()
	put("a", "2")
	must(s.DeleteRange(&pb.DeleteRangeRequest{Key: []byte("b")}))(t)
	put("a", "3")
	if err := s.Compact(5); err != nil {
		t.Fatal(err)
	}
	if get("a", 5) != "2" || get("a", 0) != "3" || get("b", 5) != "" || len(s.history.keys) != 1 || len(s.history.versions["a"]) != 2 {
		t.Errorf("%q %+v", get("a", 5), s.history)
	}
	s.Restart(b)
	if get("a", 0) != "1" || get("b", 2) != "" || get("b", 3) != "1" || s.Revision() != 3 || s.Term() != 3 {
		t.Errorf("%q %q", get("a", 0), get("b", 3))
	}
	put("a", "4")
	s.Restart(b)
	if get("a", 0) != "1" {
		t.Error("the backup has changed")
	}
	s.Wipe()
	if s.Revision() != 1 || get("a", 0) != "" {
		t.Error("not wiped")
	}
}
