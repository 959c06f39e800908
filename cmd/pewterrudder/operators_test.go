package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pewterrudder/internal/lab/flowrig"
)

// These tests run the real program as those do who look after it: by its second address, its file and its signals.

// shift is a site with one stand-in app node, at which versions of the balancer start one after the other.
type shift struct {
	t      *testing.T
	addr   string
	config string // with a place for the second address
	tmp    string
	ran    atomic.Int64 // calls that the app node has answered
}

func newShift(t *testing.T) *shift {
	s := &shift{t: t, tmp: t.TempDir()}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ran.Add(1)
		w.Header().Set("X-Load", "utilization=0.1,backlog=0")
		if r.URL.Path == "/lookup/bad" {
			w.WriteHeader(http.StatusNotFound) // the call is at fault, and is not repeated
		}
		fmt.Fprintf(w, "for %s", r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(node.Close)
	s.addr = s.free()
	s.config = strings.Replace(fmt.Sprintf(file, s.addr, "127.0.0.1:1", node.Listener.Addr()), `"seed"`, `"control":"CONTROL","seed"`, 1)
	return s
}

func (s *shift) free() string {
	addr, err := flowrig.FreeAddr()
	if err != nil {
		s.t.Fatal(err)
	}
	return addr
}

// edition is one process of the balancer.
type edition struct {
	*shift
	cmd     *exec.Cmd
	log     *output
	control string
	file    string
}

// start starts one. change may alter its configuration.
func (s *shift) start(change func(string) string) *edition {
	s.t.Helper()
	v := &edition{shift: s, control: s.free(), file: filepath.Join(s.t.TempDir(), "config.json"), log: new(output)}
	text := strings.Replace(s.config, "CONTROL", v.control, 1)
	if change != nil {
		text = change(text)
	}
	v.write(text)
	v.log.more = sync.NewCond(&v.log.mu)
	v.cmd = exec.Command(os.Args[0])
	v.cmd.Env = append(os.Environ(), "BE_THE_BALANCER=1", "RELAY_CONFIG="+v.file, "TMPDIR="+s.tmp)
	v.cmd.Stderr = v.log
	if err := v.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if v.cmd.ProcessState == nil {
			v.cmd.Process.Kill()
			v.cmd.Wait()
		}
		if s.t.Failed() {
			s.t.Logf("the log of %s:\n%s", v.control, v.log)
		}
	})
	return v
}

func (v *edition) write(text string) {
	if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
		v.t.Fatal(err)
	}
}

// ask makes a call at the second address.
func (v *edition) ask(method, path string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+v.control+path, nil)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// until asks until it is so.
func (v *edition) until(what string, so func() bool) {
	v.t.Helper()
	for end := time.Now().Add(20 * time.Second); !so(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			v.t.Fatalf("never: %s", what)
		}
	}
}

func (v *edition) ready() *edition {
	v.t.Helper()
	v.until("ready", func() bool { status, _ := v.ask("GET", "/v1/readyz"); return status == 200 })
	return v
}

// told are the figures as they are read.
type told struct {
	OK, Shed, Errors map[string]uint64
	Tries            uint64
	Active           int
	Size             int    `json:"pool_size"`
	Ejected          int    `json:"pool_ejected"`
	Applied          uint64 `json:"config_applied"`
	Rejected         uint64 `json:"config_rejected"`
}

func (v *edition) figures() (f told) {
	v.t.Helper()
	status, text := v.ask("GET", "/v1/metrics")
	if err := json.Unmarshal([]byte(text), &f); status != 200 || err != nil {
		v.t.Fatalf("%d %q %v", status, text, err)
	}
	return f
}

var asked atomic.Int64

// call makes one call as a client of a class; kept may be an open connection, and is given back if it stays open.
func (s *shift) call(kept net.Conn, class, path string) (status int, open net.Conn, err error) {
	if kept == nil {
		if kept, err = net.DialTimeout("tcp", s.addr, 20*time.Second); err != nil {
			return 0, nil, err
		}
	}
	kept.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(kept, "GET %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: r%d\r\nX-Class: %s\r\nX-Deadline: 9000m\r\n\r\n", path, asked.Add(1), class)
	resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		kept.Close()
		return 0, nil, err
	}
	if resp.Close {
		kept.Close()
		return resp.StatusCode, nil, nil
	}
	return resp.StatusCode, kept, nil
}

// Figures agree with what clients and the app node counted, while callers that finish nothing hang about.
func TestFiguresAreTrue(t *testing.T) {
	t.Parallel()
	s := newShift(t)
	v := s.start(nil).ready()
	for range 40 {
		nc, err := net.Dial("tcp", v.control)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "GET /v1/met")
	}
	var wg sync.WaitGroup
	var good, bad, shed atomic.Uint64
	for range 4 {
		wg.Go(func() {
			var kept net.Conn
			for i := range 100 {
				path := "/lookup/a"
				if i%10 == 0 {
					path = "/lookup/bad"
				}
				status, open, err := s.call(kept, "lookup", path)
				kept = open
				switch {
				case err != nil:
					t.Error(err)
				case status == 200:
					good.Add(1)
				case status == 503:
					shed.Add(1)
				default:
					bad.Add(1)
				}
			}
		})
	}
	for range 20 {
		if f := v.figures(); f.Size != 1 || f.Ejected != 0 || f.Active < 0 || f.Active > 4 {
			t.Errorf("%+v", f)
		}
	}
	wg.Wait()
	v.until("the last of it is told", func() bool { f := v.figures(); return f.OK["lookup"]+f.Errors["lookup"]+f.Shed["lookup"] == 400 })
	if f := v.figures(); f.OK["lookup"] != good.Load() || f.Errors["lookup"] != bad.Load() || f.Shed["lookup"] != shed.Load() || f.Active != 0 || f.Tries != uint64(s.ran.Load()) {
		t.Errorf("%+v; clients had %d and %d, the app node %d", f, good.Load(), bad.Load(), s.ran.Load())
	}
}

// A drain begun, ended and begun again under load with kept connections: one in use ends with an answer, one without use is closed,
// and in between clients are welcome.
func TestADrainWithKeptConnections(t *testing.T) {
	t.Parallel()
	s := newShift(t)
	v := s.start(nil).ready()
	l := s.load()
	front := func() int { status, open, _ := s.call(nil, "lookup", "/health/ready"); closeAll(open); return status }
	for range 2 {
		_, used, err := s.call(nil, "lookup", "/lookup/a")
		if err != nil || used == nil {
			t.Fatalf("%v %v", used, err)
		}
		_, idle, _ := s.call(nil, "lookup", "/lookup/a")
		if status, _ := v.ask("POST", "/v1/balancer/drain"); status != 200 || front() != 503 {
			t.Fatalf("%d, and the front is told %d", status, front())
		}
		if status, _ := v.ask("GET", "/v1/readyz"); status != 503 {
			t.Errorf("ready, %d, while it drains", status)
		}
		if status, open, err := s.call(used, "lookup", "/lookup/a"); status != 200 && status != 503 || open != nil || err != nil {
			t.Errorf("a kept connection in a drain: %d, open %v, %v", status, open != nil, err)
		}
		idle.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("an idle connection: %v", err)
		}
		closeAll(idle)
		if status, _ := v.ask("POST", "/v1/balancer/activate"); status != 200 || front() != 200 {
			t.Fatalf("%d, and the front is told %d", status, front())
		}
	}
	l.end()
	v.ask("POST", "/v1/balancer/drain")
	v.cmd.Process.Signal(syscall.SIGTERM)
	if err := v.cmd.Wait(); err != nil {
		t.Errorf("SIGTERM in a drain: %v", err)
	}
}

func closeAll(ncs ...net.Conn) {
	for _, nc := range ncs {
		if nc != nil {
			nc.Close()
		}
	}
}

// load is eight clients that call without rest, half of them on kept connections. A call that is not answered at all, or with
// anything but 200 or 503, fails the test; one whose connection was refused or closed unheard is made once more.
type load struct {
	stop                    atomic.Bool
	wg                      sync.WaitGroup
	served, refused, turned atomic.Int64
}

func (s *shift) load() *load {
	l := new(load)
	for i := range 8 {
		l.wg.Go(func() {
			var kept net.Conn
			defer func() { closeAll(kept) }()
			for !l.stop.Load() {
				if i%2 == 0 {
					closeAll(kept) // a new connection for each
					kept = nil
				}
				status, open, err := s.call(kept, "lookup", "/lookup/a")
				if err != nil { // as the platform's clients do
					l.turned.Add(1)
					status, open, err = s.call(nil, "lookup", "/lookup/a")
				}
				switch kept = open; {
				case err != nil || status != 200 && status != 503:
					s.t.Errorf("%d, %v", status, err)
					return
				case status == 503: // these clients never rest, and a refusal is an answer
					l.refused.Add(1)
				default:
					l.served.Add(1)
				}
			}
		})
	}
	return l
}

func (l *load) end() {
	l.stop.Store(true)
	l.wg.Wait()
}

// New versions start beside the one that serves, under load: no call that was taken is lost, and what was turned back
// unheard, by a connection that was refused or closed, is counted. One that cannot start changes nothing.
func TestAnUpgradeUnderLoad(t *testing.T) {
	t.Parallel()
	s := newShift(t)
	serving := s.start(nil).ready()
	l := s.load()
	more := func() { // calls are served all the while
		was := l.served.Load()
		serving.until("calls go on", func() bool { return l.served.Load() > was+100 || t.Failed() })
	}
	more()
	broken := s.start(func(text string) string { return strings.Replace(text, "8c1f", "x", 1) })
	if err := broken.cmd.Wait(); err == nil {
		t.Error("a version without a good configuration runs")
	}
	more()
	for range 3 {
		next := s.start(nil).ready()
		serving.log.until(t, "1 other versions serve")
		more()
		serving.cmd.Process.Signal(syscall.SIGTERM)
		if err := serving.cmd.Wait(); err != nil {
			t.Errorf("the earlier version: %v", err)
		}
		serving = next
		serving.log.until(t, "0 other versions serve")
		more()
	}
	l.end()
	t.Logf("%d calls served over three upgrades, %d refused, %d turned back unheard", l.served.Load(), l.refused.Load(), l.turned.Load())
}

// Settings change while it serves: a class appears and one goes, and what cannot be taken up changes nothing.
func TestSettingsChangeWhileItServes(t *testing.T) {
	t.Parallel()
	s := newShift(t)
	v := s.start(nil).ready()
	text := strings.Replace(s.config, "CONTROL", v.control, 1)
	reload := func(text string, applied, rejected uint64) {
		t.Helper()
		v.write(text)
		v.cmd.Process.Signal(syscall.SIGHUP)
		v.until("the file was read", func() bool { f := v.figures(); return f.Applied == applied && f.Rejected == rejected })
	}
	status := func(class string) int { status, open, _ := s.call(nil, class, "/x"); closeAll(open); return status }
	if status("lookup") != 200 || status("booking") != 400 {
		t.Fatal("the classes of the start")
	}
	with := strings.Replace(text, `"categories":[`, `"categories":[{"name":"booking","semantics":"unsafe","aim_ms":5000,"deadline_ms":20000,"importance":5},`, 1)
	reload(with[:len(with)/2], 0, 1)
	reload(strings.Replace(with, `"deadline_ms":20000`, `"deadline_ms":-1`, 1), 0, 2)
	if status("booking") != 400 || status("lookup") != 200 {
		t.Error("a file was taken in part")
	}
	reload(with, 1, 2)
	if status("lookup") != 200 || status("booking") != 200 {
		t.Error("the new class is not served")
	}
	reload(strings.Replace(with, `"name":"lookup"`, `"name":"search"`, 1), 2, 2)
	if status("lookup") != 400 || status("search") != 200 || status("booking") != 200 {
		t.Error("a class that vanished is served, or others are not")
	}
	reload(text, 3, 2)
	v.until("the figures of classes that are gone stay", func() bool { f := v.figures(); return f.OK["booking"] == 2 && f.OK["search"] == 1 })
}
