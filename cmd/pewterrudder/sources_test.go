package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/lab/eurekad"
	"pewterrudder/internal/lab/kvd"
)

// sourced is the program with sources of a settings file, no list from before and a discovery that is not there.
type sourced struct {
	t     *testing.T
	addr  string
	log   *output
	asked int
	end   func()
	kill  func()
	hup   func(service string) // with another settings file
}

func withSources(t *testing.T, sources string) *sourced {
	return withSettings(t, `{"roster": {"hold_ms": 2000, "sources": [`+sources+`]}}`)
}

func withSettings(t *testing.T, service string) *sourced {
	text := fmt.Sprintf(file, "%s", "127.0.0.1:1", "x")
	return withConfig(t, text[:strings.Index(text, `"known":`)]+text[strings.Index(text, `"settings":`):], service)
}

// withConfig runs a configuration that leaves its own address open.
func withConfig(t *testing.T, text, service string) *sourced {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &sourced{t: t, addr: free.Addr().String()}
	free.Close()
	text = strings.Replace(text, "%s", s.addr, 1)
	settings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(settings, []byte(service), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RUDDER_SETTINGS", settings)
	cmd, log := balancer(t, text)
	s.log = log
	t.Cleanup(func() { cmd.Process.Kill() })
	s.hup = func(service string) {
		t.Helper()
		if err := os.WriteFile(settings, []byte(service), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	s.kill = func() {
		cmd.Process.Kill()
		cmd.Wait()
	}
	s.end = func() {
		t.Helper()
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: %s", err, log)
		}
	}
	return s
}

// get asks for something; a call that nobody can serve is given up after 300 ms.
func (s *sourced) get() string { return s.ask("/lookup/x") }

func (s *sourced) ask(path string) string {
	s.asked++
	req, _ := http.NewRequest("GET", "http://"+s.addr+path, nil)
	req.Header = http.Header{"X-Request-Id": {fmt.Sprint("s", s.asked)}, "X-Class": {"lookup"}, "X-Deadline": {"300m"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// until asks until the answer is of a kind.
func (s *sourced) until(what string, good func(string) bool) {
	s.t.Helper()
	s.untilAt("/lookup/x", what, good)
}

func (s *sourced) untilAt(path, what string, good func(string) bool) {
	s.t.Helper()
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if last = s.ask(path); good(last) {
			return
		}
	}
	s.t.Fatalf("%s: %q: %s", what, last, s.log)
}

func named(name string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, name) }))
}

// The list comes from a key-value store: what is put there serves, what is drained there gets nothing new, also after the
// store was away.
func TestTheListComesFromAStore(t *testing.T) {
	store := kvd.New(kvd.Options{})
	defer store.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go store.Serve(l)
	a, b := named("a"), named("b")
	defer a.Close()
	defer b.Close()
	put := func(id, address, state string) {
		t.Helper()
		value := fmt.Sprintf(`{"id": %q, "address": %q, "zone": "a", "state": %q}`, id, address, state)
		if _, err := store.Put(&pb.PutRequest{Key: []byte("/app-nodes/" + id), Value: []byte(value)}); err != nil {
			t.Fatal(err)
		}
	}
	put("n1", a.Listener.Addr().String(), "up")
	s := withSources(t, fmt.Sprintf(`{"kind": "kv", "addresses": ["http://%s"], "prefix": "/app-nodes/"}`, l.Addr()))
	s.until("the first entry serves", func(got string) bool { return got == "200 a" })
	put("n2", b.Listener.Addr().String(), "up")
	s.until("so does the second", func(got string) bool { return got == "200 b" })
	put("n1", a.Listener.Addr().String(), "draining")
	s.until("the first drains", func(got string) bool { return got == "200 b" })
	store.Down()
	for range 20 { // it is kept as it was
		if got := s.get(); !strings.HasPrefix(got, "200") {
			t.Errorf("while the store is away: %s", got)
		}
	}
	put("n2", b.Listener.Addr().String(), "draining")
	put("n1", a.Listener.Addr().String(), "up")
	store.Up()
	s.until("what has changed meanwhile", func(got string) bool { return got == "200 a" })
	for range 20 {
		if got := s.get(); got != "200 a" {
			t.Errorf("a drained entry has calls: %s", got)
		}
	}
	s.end()
}

// The list comes from Eureka, and the balancer is there itself: up while it serves, out of service while it drains, gone
// when it has ended.
func TestTheListComesFromEureka(t *testing.T) {
	registry, err := eurekad.Listen("127.0.0.1:0", eurekad.New(eurekad.Options{}))
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	a := named("a")
	defer a.Close()
	host, port, _ := net.SplitHostPort(a.Listener.Addr().String())
	var at int
	fmt.Sscan(port, &at)
	registry.Register(&eurekad.Instance{ID: "shop-1", App: "SHOP", Host: host, IP: host, Port: at, Plain: true, Status: "UP",
		Renew: 30, Lease: 90, Metadata: map[string]string{"zone": "a"}})
	s := withSources(t, fmt.Sprintf(`{"kind": "eureka", "addresses": [%q], "apps": ["SHOP"], "register": "BALANCER"}`, registry.URL()))
	s.until("the instance serves", func(got string) bool { return got == "200 a" })
	self := func() string {
		for _, in := range registry.Instances() {
			if in.App == "BALANCER" {
				return in.Status
			}
		}
		return "none"
	}
	await := func(want string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); self() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("shown as %s, not %s: %s", self(), want, s.log)
			}
		}
	}
	await("UP")
	registry.SetStatus("SHOP", "shop-1", "OUT_OF_SERVICE", "")
	s.until("taken out of service", func(got string) bool { return !strings.HasPrefix(got, "200") })
	s.end()
	if got := self(); got != "none" {
		t.Errorf("after its end it is shown as %s", got)
	}
}
