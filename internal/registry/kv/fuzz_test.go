package kv

import (
	"strings"
	"testing"

	"pewterrudder/internal/roster"
)

// What a store may send is taken without a panic, and what is let through keeps what the rest relies on.
func FuzzDecoders(f *testing.F) {
	for _, seed := range []string{
		value(1, "up"), `{"id":"a","address":"h:1","state":"draining","up_since_ms":1e300}`, `{"weight":null}`, `[`, ``,
		`{"header":{"cluster_id":"1","revision":"4","raft_term":"2"},"kvs":[{"key":"bm9kZXMvMQ==","mod_revision":"4","value":"e30="}],"more":true,"count":"2"}`,
		`{"header":{"revision":4},"kvs":[{"key":"bm9kZXMvMQ==","mod_revision":4}],"count":1}`,
		`{"result":{"header":{"revision":"4"},"created":true}}`,
		`{"result":{"header":{"raft_term":"2"},"canceled":true,"compact_revision":"3"}}`,
		`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"bm9kZXMvMQ==","mod_revision":"4","value":"e30="}},{"type":"DELETE","kv":{"key":"bm9kZXMvMg==","mod_revision":"5"}}],"fragment":true}}`,
		`{"id":"","address":"h:1","state":"up"}`, `{"id":"a","address":"h:1"}`, `{"id":"a","address":"h:1","state":"up","cell":-1}`,
		`{"header":{"revision":"4"},"kvs":[{"key":"bm9kZXMvMg==","mod_revision":"4"},{"key":"bm9kZXMvMQ==","mod_revision":"4"}],"count":"2"}`,
		`{"header":{"revision":"4"},"kvs":[{"key":"bm9kZXMvMQ==","mod_revision":"4"}],"count":"2"}`,
		`{"header":{"revision":"4"},"kvs":[{"key":"b3RoZXI=","mod_revision":"4"}],"count":"1"}`,
		`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"bm9kZXMvMQ==","mod_revision":"5"}},{"kv":{"key":"bm9kZXMvMg==","mod_revision":"4"}}]}}`,
		`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"bm9kZXMvMQ==","mod_revision":"6"}}]}}`,
		`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"b3RoZXI=","mod_revision":"5"}}]}}`,
		`{"error":{"grpc_code":14,"message":"no leader"}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if e, err := Decode(raw, started); err == nil {
			if e.ID == "" || e.State == roster.Gone || !(e.Weight > 0 && e.Weight <= maxWeight) || e.Cell < 0 || e.Started < 0 ||
				!strings.Contains(e.Address, ":") || e.State != roster.Up && e.State != roster.Draining {
				t.Errorf("%+v", e)
			}
		}
		if p, count, err := readPage(raw, prefix, "nodes0", false); err == nil {
			last := ""
			for _, r := range p.records {
				if r.Key <= last || !strings.HasPrefix(r.Key, prefix) || r.Revision <= 0 {
					t.Errorf("%+v", p)
				}
				last = r.Key
			}
			if p.origin.revision <= 0 || !p.more && count != int64(len(p.records)) {
				t.Errorf("%+v", p)
			}
		}
		if m, err := readMessage(raw, prefix, "nodes0"); err == nil {
			last := int64(1)
			for _, r := range m.events {
				if r.Revision < last || r.Revision > m.origin.revision || !strings.HasPrefix(r.Key, prefix) {
					t.Errorf("%+v", m)
				}
				last = r.Revision
			}
			if m.origin.revision <= 0 && !m.canceled {
				t.Errorf("%+v", m)
			}
		}
	})
}
