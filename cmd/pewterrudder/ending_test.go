package main

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pewterrudder/internal/lab/flowrig"
)

// What the program has taken it finishes, however long that takes beyond the deadlines in force at its end.

// shortly has the classes of a stand last no longer than this.
const shortly = 300 * time.Millisecond

// ends signals the program to end, and waits until it takes no more; longer is past all deadlines of its last settings.
func (s *stand) ends() {
	s.t.Helper()
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.log.until(s.t, "draining")
	for until := time.Now().Add(longAgo); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			break
		}
		nc.Close()
		if time.Now().After(until) {
			s.t.Fatal("it goes on taking connections")
		}
	}
}

// outlasts gives a program that ends too early the time to do so. One that does not is not hurried by it.
func (s *stand) outlasts(d time.Duration) {
	time.Sleep(d)
}

func (s *stand) ended() {
	s.t.Helper()
	if err := s.cmd.Wait(); err != nil {
		s.t.Errorf("the program's end: %v", err)
	}
	if !strings.Contains(s.log.String(), "drained") {
		s.t.Error("it does not say that it was drained")
	}
}

// An answer that flows, and a body that its client still sends, are taken: neither is bounded by a deadline.
func TestTheEndWaitsForWhatFlows(t *testing.T) {
	t.Parallel()
	s := newStand(t, func(setup *flowrig.Setup) {
		setup.Classes = []flowrig.Class{{Name: "bulk", Semantics: "safe", Deadline: shortly}}
	})
	body := flowrig.Content(flowrig.Named("the end waits"), 1<<20)
	on := make(chan struct{})
	_, resp := s.open(0, func(x *flowrig.Exchange) {
		head, wire := framed("length", body)
		x.Say(head)
		x.Write(wire[:2*held])
		<-on
		x.Write(wire[2*held:])
	})
	up, begun := flowrig.Content(79, 1<<20), make(chan struct{})
	ask := s.posts(nil, func(x *flowrig.Exchange) {
		close(begun)
		echo(x)
	})
	ask.Header = "Content-Length: " + strconv.Itoa(len(up)) + "\r\n"
	c := s.dial(0)
	c.Write([]byte(ask.Head()))
	c.Write(up[:len(up)/2])
	happens(t, "the upload has begun", begun)
	s.ends()
	s.outlasts(2 * shortly)
	close(on)
	if a := flowrig.Drain(resp, resp.Body); a.Told() || a.Sum != flowrig.Sum(body) {
		t.Errorf("the answer: %s", a)
	}
	c.Write(up[len(up)/2:])
	if status, text := read(t, c); status != http.StatusOK || text != want(up) {
		t.Errorf("the upload: %d %q", status, text)
	}
	s.ended()
}

// A call keeps the deadline that it came with. Settings that allow less, and the end, may both come before its answer.
func TestTheEndWaitsForCallsOfFormerSettings(t *testing.T) {
	t.Parallel()
	var long flowrig.Setup
	s := newStand(t, func(setup *flowrig.Setup) { long = *setup })
	asked, on := make(chan struct{}), make(chan struct{})
	c := s.dial(0)
	c.Send(s.plan(func(x *flowrig.Exchange) {
		close(asked)
		<-on
		say(x, http.StatusOK, "late")
	}))
	happens(t, "the call has reached the app node", asked)
	short := long
	short.Classes = []flowrig.Class{{Name: "bulk", Semantics: "safe", Deadline: shortly}}
	for _, v := range s.cmd.Env {
		if path, ok := strings.CutPrefix(v, "RELAY_CONFIG="); ok {
			if err := os.WriteFile(path, []byte(short.Config(s.addr)), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.log.until(t, "reload: settings with")
	s.ends()
	s.outlasts(2 * shortly)
	close(on)
	if status, text := read(t, c); status != http.StatusOK || text != "late" {
		t.Errorf("%d %q", status, text)
	}
	s.ended()
}

// A drain is told while the connection for a call is being made, and that comes up long after: the call does not go there, and
// has its answer.
func TestADrainOvertakesAConnection(t *testing.T) {
	t.Parallel()
	d := newDoor(t)
	at, tell := phases(t)
	l := &leaver{stand: newStand(t, func(setup *flowrig.Setup) {
		setup.Nodes, setup.Discovery, setup.ConnectTimeout = []string{d.addr}, at, doorPatience
	})}
	l.ask("owed", "bulk", "", "")
	d.knocked()
	tell <- phase(2, d.addr, "Terminating")
	for n := 0; ; n++ { // until it is known
		ask := l.plan(fine)
		ask.Wait = 100 * time.Millisecond
		if a := l.fetch(ask); a.Status == http.StatusServiceUnavailable {
			break
		} else if n > 100 {
			t.Fatal(a)
		}
	}
	d.open()
	d.let()
	l.nc.SetReadDeadline(time.Now().Add(longAgo))
	resp, err := http.ReadResponse(bufio.NewReader(l.nc), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%+v %v", resp, err)
	}
	if d.got("owed") {
		t.Error("it was sent to an app node that drains")
	}
}

// The last answer may lie in the kernel when the process is gone, for a client that reads slowly: it arrives all the same.
func TestAnAnswerOutlivesTheProcess(t *testing.T) {
	t.Parallel()
	s := newStand(t, nil)
	body := flowrig.Content(flowrig.Named("outlives"), 60_000)
	asked, on := make(chan struct{}), make(chan struct{})
	c := s.dial(farWindow)
	c.Send(s.plan(func(x *flowrig.Exchange) {
		close(asked)
		<-on
		send(x, "length", body)
	}))
	happens(t, "the call has reached the app node", asked)
	s.cmd.Process.Signal(syscall.SIGTERM)
	until(t, "it says that it is not ready, as from then on answers end their connections", func() bool {
		resp, err := http.Get("http://" + s.addr + "/health/ready")
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	})
	close(on)
	s.ended()
	if a := c.Receive("GET"); a.Told() || a.Sum != flowrig.Sum(body) || !a.Close {
		t.Errorf("%s, close %v", a, a.Close)
	}
}
