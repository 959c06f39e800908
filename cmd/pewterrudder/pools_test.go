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
)

// yardNode is an app node that says its name, and holds the calls that ask for it.
func yardNode(name string, held chan string, on chan struct{}) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/held") {
			held <- name
			<-on
		}
		w.Header().Set("X-Load", "utilization=0.1,backlog=0")
		io.WriteString(w, name)
	}))
}

// Routes lead to pools by host and path, a reload moves one with a call in flight, which ends where it began, and a file
// with a fault in its routes changes nothing. A pool without a member refuses its own calls alone.
func TestRoutesLeadToPoolsAndMoveOnReload(t *testing.T) {
	held, on := make(chan string, 1), make(chan struct{})
	front, office := yardNode("front", held, on), yardNode("office", held, on)
	defer front.Close()
	defer office.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	known := fmt.Sprintf(`"members":[{"id":"s-1","host_port":"%s","locality":"a","flavor":"m2","phase":"Ready","size":1},`+
		`{"id":"s-2","host_port":"%s","locality":"a","flavor":"office","phase":"Ready","size":1}]}`, front.Listener.Addr(), office.Listener.Addr())
	text := fmt.Sprintf(file, addr, "127.0.0.1:1", "x")
	text = text[:strings.Index(text, `"members":`)] + known + text[strings.Index(text, ",\n\"settings\""):]
	settings := filepath.Join(t.TempDir(), "settings.json")
	write := func(routes string) {
		t.Helper()
		pools := `"pools": [{"name": "front", "default": true, "members": {"kinds": ["m*"]}}, {"name": "office", "members": {"kinds": ["office"]}},
			{"name": "empty", "members": {"kinds": ["none"]}}]`
		if err := os.WriteFile(settings, []byte(`{"routes": [`+routes+`{"path": "/lookup/nobody", "pool": "empty"}], `+pools+"} // yard\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"host": "office.yard.example", "pool": "office"},`)
	t.Setenv("RUDDER_SETTINGS", settings)
	cmd, log := balancer(t, text)
	defer cmd.Process.Kill()
	log.until(t, "registry: watch ended")
	asked, patience := 0, "9000m"
	get := func(host, path string) string {
		asked++
		req, _ := http.NewRequest("GET", "http://"+addr+path, nil)
		req.Host = host
		req.Header = http.Header{"X-Request-Id": {fmt.Sprint("p", asked)}, "X-Class": {"lookup"}, "X-Deadline": {patience}}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", string(body))
	}
	for _, c := range [][3]string{{"Office.yard.example:80", "/lookup/x", "200 office"}, {"yard.example", "/lookup/x", "200 front"}, {"yard.example", "/lookups", "200 front"}} {
		if got := get(c[0], c[1]); got != c[2] {
			t.Errorf("%s%s: %s, want %s: %s", c[0], c[1], got, c[2], log)
		}
	}
	inFlight := make(chan string, 1)
	go func() { inFlight <- get("office.yard.example", "/lookup/held") }()
	if where := <-held; where != "office" {
		t.Fatal(where)
	}
	write(`{"host": "office.yard.example", "pool": "nowhere"},`)
	cmd.Process.Signal(syscall.SIGHUP)
	log.until(t, "nowhere")
	if got := get("office.yard.example", "/lookup/x"); got != "200 office" {
		t.Errorf("after a file with a fault: %s", got)
	}
	write(`{"host": "office.yard.example", "pool": "front"}, {"host": "*.yard.example", "pool": "office"},`)
	cmd.Process.Signal(syscall.SIGHUP)
	log.until(t, "over 3 pools")
	if got := get("office.yard.example", "/lookup/x"); got != "200 front" {
		t.Errorf("after the route has moved: %s", got)
	}
	close(on)
	if got := <-inFlight; got != "200 office" {
		t.Errorf("the call in flight: %s", got)
	}
	patience = "400m"
	if got := get("yard.example", "/lookup/nobody"); !strings.HasPrefix(got, "503") && !strings.HasPrefix(got, "502") {
		t.Errorf("a pool without a member: %s within %s", got, patience)
	}
	patience = "9000m"
	if got := get("b.yard.example", "/lookup/x"); got != "200 office" {
		t.Errorf("one label before the domain: %s", got)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, log)
	}
}
