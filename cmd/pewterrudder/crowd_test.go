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
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/lab/flowrig"
)

// Idle clients may hold every descriptor that the process may have while discovery goes down and comes back. The watch has to
// be opened all the same, and the list taken.

// crowd is so many clients that keep connections: every other one says nothing, the others ask once and rest then. Each comes
// again as soon as it is shut out.
type crowd struct {
	stop   chan struct{}
	all    sync.WaitGroup
	answer atomic.Int64 // calls that were answered
}

func newCrowd(t *testing.T, addr string, size int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for i := range size {
		c.all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				case <-time.After(20 * time.Millisecond): // so that the machine is left to others as well
				}
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				ended := make(chan struct{})
				go func() {
					select {
					case <-c.stop:
					case <-ended:
					}
					nc.Close()
				}()
				if i%2 == 0 {
					fmt.Fprintf(nc, "GET /bulk/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: crowd-%d-%d\r\nX-Class: bulk\r\nX-Deadline: 1000m\r\n\r\n", i, n)
				}
				if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
					c.answer.Add(1)
					resp.Body.Close()
				}
				io.Copy(io.Discard, nc)
				close(ended)
			}
		})
	}
	t.Cleanup(func() {
		close(c.stop)
		c.all.Wait()
	})
	return c
}

// descriptors are those that a process has open.
func descriptors(pid int) int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open)
}

func TestTheWatchReopensWhereIdleClientsHoldEveryDescriptor(t *testing.T) {
	t.Parallel()
	const size = 150
	for what, c := range map[string]struct{ sockets, limit int }{
		"as many as it was told": {64, 64},
		"fewer than it was told": {256, 64},
		"far fewer":              {1024, 40},
	} {
		for _, how := range []string{"push", "ask"} {
			t.Run(how+": "+what, func(t *testing.T) {
				t.Parallel()
				list := another(t)
				addr, err := flowrig.FreeAddr()
				if err != nil {
					t.Fatal(err)
				}
				before := newFickle(t, addr, "")
				w := newInformed(t, how, addr, func(setup *flowrig.Setup) { setup.Sockets = c.sockets })
				until(t, "discovery is asked", func() bool { return before.asked() > 0 })
				limit := unix.Rlimit{Cur: uint64(c.limit), Max: uint64(c.limit)}
				if err := unix.Prlimit(w.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
					t.Fatal(err)
				}
				newCrowd(t, w.addr, size)
				full := 0
				until(t, "the clients hold what they get", func() bool {
					if descriptors(w.cmd.Process.Pid) >= c.limit*3/4 {
						full++
					}
					return full > 50
				})
				before.down()
				w.log.until(t, "watch ended")
				after := newFickle(t, addr, list)
				well := time.Now()
				until(t, "the watch is opened", func() bool { return after.asked() > 0 })
				opened := time.Since(well)
				if opened > toldWithin/2 {
					t.Errorf("the watch is open %v after discovery was back", opened)
				}
				// From here on nothing fresh goes to the app node that is gone, and who asks is answered.
				asked, slow, served, refused, shut := 0, 0, 0, 0, 0
				var first time.Duration
				for time.Since(well) < 8*time.Second {
					began := time.Now()
					nc, err := net.Dial("tcp", w.addr)
					if err != nil {
						t.Fatal(err)
					}
					nc.SetDeadline(time.Now().Add(longAgo))
					fmt.Fprintf(nc, "GET /bulk/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\nX-Class: bulk\r\nX-Deadline: 5000m\r\n\r\n", began.UnixNano())
					resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
					text := ""
					if err == nil {
						b, _ := io.ReadAll(resp.Body)
						text = string(b)
					}
					nc.Close()
					if asked++; time.Since(began) > time.Second {
						slow++
					}
					switch {
					case err != nil:
						shut++
					case resp.StatusCode == http.StatusOK:
						if strings.Contains(text, "then") {
							if served++; served == 1 {
								first = time.Since(well)
							}
						} else if time.Since(well) > toldWithin {
							t.Errorf("served by the one that is gone %v after discovery was well", time.Since(well))
						}
					default:
						refused++
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("the watch was open after %v; of %d calls %d were served, the first after %v, %d refused, %d shut unread, %d told late; %d descriptors",
					opened, asked, served, first, refused, shut, slow, descriptors(w.cmd.Process.Pid))
				// The machine may stand still for a second or two, and all with it.
				if served == 0 || slow > max(2, asked/10) {
					t.Errorf("of %d calls %d were served, and %d told late", asked, served, slow)
				}
			})
		}
	}
}
