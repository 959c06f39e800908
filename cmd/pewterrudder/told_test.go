package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pewterrudder/internal/lab/flowrig"
)

// Whatever has failed before, a change counts as told 6 s after discovery had it and could be reached. The tests have a
// discovery treat calls badly up to a moment, and see when the real program sends to the app node that it names from then on.

// toldWithin is what the longest chain may take, a second under the term. The chain: a call goes out in the last moment in
// which discovery is not well and is lost, so that nothing comes on it; the next goes out beside it 3.9 s later (besideHead).
// All others are shorter: a call that is refused, reset or answered with an error, and a watch that ends, are followed by a
// pause of 1.5 s at most; a watch that is open and silent has calls beside it 2.5 s after its last line, and one a second from
// then on, of which the one that is lost in that last moment costs 1 s; a connection that does not come up is a call that is
// lost. A connection to the new address after SIGHUP begins at once, and goes on as these do.
const toldWithin = 5 * time.Second

// fault is what discovery makes of one call.
type fault func(nc net.Conn)

const head = "HTTP/1.1 200 OK\r\n\r\n"

func says(text string) fault { return func(nc net.Conn) { io.WriteString(nc, text) } }

// says and then nothing, for good: also once discovery is well again.
func stalls(text string) fault {
	return func(nc net.Conn) {
		io.WriteString(nc, text)
		io.Copy(io.Discard, nc)
	}
}

func resets(nc net.Conn) { nc.(*net.TCPConn).SetLinger(0) }

// fickle is a discovery that treats some calls badly.
type fickle struct {
	ln    net.Listener
	list  string                          // that the others are told
	pick  func(n int, at time.Time) fault // for the n-th call, from 1, that came then; nil: it is told the list
	each  time.Duration                   // that a call takes; they are taken in turn
	turn  sync.Mutex
	mu    sync.Mutex
	calls int
	kept  []net.Conn
	well  chan time.Time // since when
}

// newFickle treats the first calls so, and is well from the moment on in which the last of these has come.
func newFickle(t *testing.T, addr, list string, bad ...fault) *fickle {
	t.Helper()
	d := &fickle{list: list, well: make(chan time.Time, 1)}
	if len(bad) == 0 {
		d.well <- time.Now()
	}
	d.pick = func(n int, at time.Time) fault {
		if n > len(bad) {
			return nil
		}
		if n == len(bad) {
			d.well <- at
		}
		return bad[n-1]
	}
	return d.open(t, addr)
}

func (d *fickle) open(t *testing.T, addr string) *fickle {
	t.Helper()
	var err error
	if d.ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.down)
	go d.serve()
	return d
}

// asked is how many calls have come.
func (d *fickle) asked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// down ends all that is open, and refuses what comes.
func (d *fickle) down() {
	d.ln.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, nc := range d.kept {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	d.kept = nil
}

func (d *fickle) serve() {
	for {
		nc, err := d.ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.kept = append(d.kept, nc)
		d.calls++
		n := d.calls
		d.mu.Unlock()
		go func() {
			defer nc.Close()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
				return
			}
			d.turn.Lock()
			time.Sleep(d.each)
			d.turn.Unlock()
			if spoil := d.pick(n, time.Now()); spoil != nil {
				spoil(nc)
				return
			}
			io.WriteString(nc, head+d.list+"\n")
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for err := error(nil); err == nil; <-tick.C {
				_, err = io.WriteString(nc, "\n")
			}
		}()
	}
}

// informed is a balancer that knows one app node and is to hear of another.
type informed struct {
	*stand
	path   string // of its configuration
	config string
}

// another is an app node, with the list that names it alone.
func another(t *testing.T) (list string) {
	t.Helper()
	n, err := flowrig.NewNode(func(x *flowrig.Exchange) { say(x, http.StatusOK, "then") })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return fmt.Sprintf(`{"revision":2,"complete":true,"members":[{"id":"s-2","host_port":%q,"locality":"a","phase":"Ready","size":1}]}`, n.Addr())
}

// pushed is a configuration in which lists come so: "push" or "ask".
func pushed(config, how string) string {
	return strings.Replace(config, `"discovery": "ask"`, `"discovery": "`+how+`"`, 1)
}

func newInformed(t *testing.T, how, discovery string, change func(*flowrig.Setup)) *informed {
	t.Helper()
	s := &stand{t: t}
	var err error
	if s.node, err = flowrig.NewNode(func(x *flowrig.Exchange) { say(x, http.StatusOK, "now") }); err != nil {
		t.Fatal(err)
	}
	if s.addr, err = flowrig.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	setup := flowrig.Setup{Nodes: []string{s.node.Addr()}, Classes: []flowrig.Class{flowrig.Bulk}, MemoryMB: 192, Sockets: 256,
		Attempts: 1, Discovery: discovery}
	if change != nil {
		change(&setup)
	}
	w := &informed{stand: s, config: pushed(setup.Config(s.addr), how)}
	s.cmd, s.log = balancer(t, w.config)
	w.path, _ = strings.CutPrefix(s.cmd.Env[len(s.cmd.Env)-1], "RELAY_CONFIG=")
	s.started()
	return w
}

// hears fails the test unless calls go to the new app node soon after discovery was well.
func (w *informed) hears(well <-chan time.Time) {
	w.t.Helper()
	var from time.Time
	select {
	case from = <-well:
	case <-time.After(2 * longAgo):
		w.t.Fatal("discovery was not asked often enough")
	}
	for n := 0; ; n++ {
		a := w.fetch(flowrig.Ask{Path: "/bulk/x", ID: fmt.Sprint("call-", n), Class: flowrig.Bulk.Name, Wait: longAgo})
		took := time.Since(from)
		if a.Status == http.StatusOK && a.Sum == flowrig.Sum([]byte("then")) {
			w.t.Logf("heard after %.2f s", took.Seconds())
			return
		}
		if took > toldWithin {
			w.t.Fatalf("not heard %v after discovery was well: %s", took, a)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

const (
	busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	half = `{"revision":2,"complete":true,"mem`
)

// trickles sends half a list a byte at a time, and never comes to its end.
func trickles(nc net.Conn) {
	io.WriteString(nc, head+half)
	for range time.Tick(500 * time.Millisecond) {
		if _, err := io.WriteString(nc, "b"); err != nil {
			return
		}
	}
}

// waitsThen is overloaded: it has a call wait and turns it down.
func waitsThen(text string) fault {
	return func(nc net.Conn) {
		time.Sleep(3 * time.Second)
		io.WriteString(nc, text)
	}
}

var faults = map[string][]fault{
	"refuses each call with an error":                {says(busy), says(busy), says(busy), says(busy)},
	"answers nonsense":                               {says("nonsense\r\n\r\n"), says(head + "nonsense\n")},
	"resets each call":                               {resets, resets, resets},
	"closes each call":                               {says(""), says(""), says("")},
	"ends watches instead of telling":                {says(head), says(head + "\n"), says(head)},
	"breaks off half a list":                         {says(head + half), says(head + half)},
	"loses a call":                                   {stalls("")},
	"loses calls":                                    {stalls(""), stalls("")},
	"loses a call behind its head":                   {stalls(head)},
	"stalls in half a list":                          {stalls(head + half)},
	"stalls in half a head":                          {stalls("HTTP/1.1 200 OK\r\nX-")},
	"sends a list that does not end":                 {trickles},
	"has calls wait, and turns them down":            {waitsThen(busy), waitsThen(busy)},
	"loses a call, and fails the next":               {stalls(""), says(busy)},
	"loses two, and fails the next":                  {stalls(""), stalls(""), says(busy)},
	"falls silent":                                   {stalls(head + "\n")},
	"falls silent, and fails the calls beside":       {stalls(head + "\n"), says(busy)},
	"falls silent, and resets the calls beside":      {stalls(head + "\n"), resets},
	"falls silent, and loses the calls beside":       {stalls(head + "\n"), stalls("")},
	"falls silent, and stalls in half a list beside": {stalls(head + "\n"), stalls(head + half)},
	"fails, then loses a call":                       {says(busy), says(busy), stalls("")},
}

// Each way to fail, where lists are pushed and where they are asked for.
func TestAChangeIsHeardSoonAfterDiscoveryIsWell(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"push", "ask"} {
		for what, bad := range faults {
			t.Run(how+": "+what, func(t *testing.T) {
				t.Parallel()
				d := newFickle(t, "127.0.0.1:0", another(t), bad...)
				newInformed(t, how, d.ln.Addr().String(), nil).hears(d.well)
			})
		}
		t.Run(how+": nobody is there", func(t *testing.T) {
			t.Parallel()
			addr, err := flowrig.FreeAddr()
			if err != nil {
				t.Fatal(err)
			}
			w := newInformed(t, how, addr, nil)
			w.log.until(t, "watch ended")
			w.hears(newFickle(t, addr, another(t)).well)
		})
		t.Run(how+": no connection comes up", func(t *testing.T) {
			t.Parallel()
			d, list := newDoor(t), another(t)
			w := newInformed(t, how, d.addr, nil)
			d.knocked()
			d.accept(func(nc net.Conn) {
				io.WriteString(nc, head+list+"\n")
				io.Copy(io.Discard, nc)
			})
			well := make(chan time.Time, 1)
			well <- time.Now()
			w.hears(well)
		})
	}
}

// After SIGHUP with a new address the change is there. What the new discovery does to the first calls costs no more time than
// at the old one, in whichever state the watch on the old one was.
func TestAChangeIsHeardSoonAfterDiscoveryHasMoved(t *testing.T) {
	t.Parallel()
	for was, before := range map[string][]fault{"well": {}, "silent": {stalls("")}, "failing": {says(busy), says(busy), says(busy), says(busy),
		says(busy), says(busy), says(busy), says(busy), says(busy), says(busy), says(busy), says(busy)}} {
		for what, bad := range map[string][]fault{"and is well": {}, "and resets calls first": {resets, resets}, "and loses a call first": {stalls("")},
			"and ends a watch first": {says(head)}, "and nobody is there at first": nil} {
			t.Run("it was "+was+" "+what, func(t *testing.T) {
				t.Parallel()
				old := newFickle(t, "127.0.0.1:0", "", before...)
				w := newInformed(t, "ask", old.ln.Addr().String(), nil)
				if len(before) < 2 {
					until(t, "the old one is asked", func() bool { return old.asked() > 0 })
				} else {
					w.log.until(t, "watch ended")
				}
				addr, err := flowrig.FreeAddr()
				if err != nil {
					t.Fatal(err)
				}
				var next *fickle
				if bad != nil {
					next = newFickle(t, addr, another(t), bad...)
				}
				if err := os.WriteFile(w.path, []byte(strings.Replace(w.config, old.ln.Addr().String(), addr, 1)), 0o600); err != nil {
					t.Fatal(err)
				}
				w.cmd.Process.Signal(syscall.SIGHUP)
				w.log.until(t, "discovery is "+addr)
				if bad == nil {
					w.log.until(t, addr+": connect: connection refused")
					next = newFickle(t, addr, another(t))
				}
				w.hears(next.well)
			})
		}
	}
}
