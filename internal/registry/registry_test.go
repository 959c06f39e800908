package registry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/reducer"
)

const change = `{"revision":43,"complete":false,"members":[{"id":"s-5b","host_port":"10.1.0.18:5000","locality":"a",` +
	`"flavor":"m2","cell":3,"phase":"Terminating","size":1.5,"up_since_ms":5000,"later":1}]}`

func clock(ms float64) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }

func TestAListIsDecoded(t *testing.T) {
	l, err := Decode([]byte(change), clock)
	want := brain.Member{Server: "s-5b", Zone: "a", Kind: "m2", Cell: 3, Weight: 1.5, State: brain.Draining,
		Started: time.Hour + 5*time.Second}
	if err != nil || l.Revision != 43 || l.Complete || len(l.Members) != 1 || l.Members[0] != want ||
		l.Addresses[0] != "10.1.0.18:5000" {
		t.Errorf("%+v %v", l, err)
	}
	long, _ := Decode([]byte(strings.Replace(change, "5000,\"later", "0,\"later", 1)), clock)
	if long.Members[0].Started != 0 {
		t.Error("0 must stay long ago")
	}
	start, _ := Decode([]byte(change), func(float64) time.Duration { return 0 })
	if start.Members[0].Started == 0 {
		t.Error("a start at the clock's zero must not become long ago")
	}
}

// One entry that makes no sense must not hide the others: rule 3 counts from what was written to us.
func TestABadEntryIsLeftOutAndNamed(t *testing.T) {
	l, err := Decode([]byte(`{"revision":1,"members":[{"id":"a","phase":"Sleepy"},{"phase":"Ready"},{"id":"c","phase":"Gone"}]}`), clock)
	if err == nil || len(l.Members) != 1 || l.Members[0].Server != "c" || len(l.Addresses) != 1 {
		t.Errorf("%+v %v", l, err)
	}
}

// discovery plays one connection and says how the watch ended.
func discovery(t *testing.T, serve func(asked string, nc net.Conn)) (*Registry, string, chan reducer.Event) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		buf := make([]byte, 1000)
		n, _ := nc.Read(buf)
		serve(string(buf[:n]), nc)
	}()
	events := make(chan reducer.Event, 10)
	return New(func(e reducer.Event) { events <- e }, func(string) {}, clock), l.Addr().String(), events
}

func next(t *testing.T, events chan reducer.Event) reducer.Event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		return nil
	}
}

func TestAWatchTellsChangesAndItsEnd(t *testing.T) {
	g, at, events := discovery(t, func(asked string, nc net.Conn) {
		if !strings.HasPrefix(asked, "GET /registry/instances?follow=1&since=41 ") {
			t.Errorf("asked %q", asked)
		}
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{change[:40], change[40:] + "\n", "\n", change + "\n"} {
			fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
		}
	})
	g.Watch(reducer.Watch{ID: 7, Discovery: at, Since: 41})
	for range 2 {
		if l, ok := next(t, events).(reducer.Listed); !ok || l.List.Revision != 43 || l.Watch != 7 {
			t.Fatalf("%+v", l)
		}
	}
	if e, ok := next(t, events).(reducer.WatchEnded); !ok || e.Err == nil || e.Watch != 7 {
		t.Fatalf("%+v", e)
	}
}

// A discovery that fails or talks nonsense ends the watch with a word, once.
func TestABrokenWatchIsTold(t *testing.T) {
	for name, says := range map[string]string{
		"down":     "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"closed":   "",
		"garbage":  "nonsense\r\n\r\n",
		"bad json": "HTTP/1.1 200 OK\r\n\r\n{\"revision\":\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, at, events := discovery(t, func(_ string, nc net.Conn) { fmt.Fprint(nc, says) })
			g.Watch(reducer.Watch{Discovery: at, Since: 1})
			if e, ok := next(t, events).(reducer.WatchEnded); !ok || e.Err == nil {
				t.Errorf("%+v", e)
			}
		})
	}
}

func TestANewWatchReplacesTheOldWithoutAWord(t *testing.T) {
	ended := make(chan struct{})
	g, at, events := discovery(t, func(_ string, nc net.Conn) {
		fmt.Fprintf(nc, "HTTP/1.1 %d OK\r\n\r\n%s\n", http.StatusOK, change)
		nc.Read(make([]byte, 1)) // until the old watch is given back
		close(ended)
	})
	g.Watch(reducer.Watch{Discovery: at, Since: 1})
	next(t, events)
	g.Watch(reducer.Watch{Discovery: "127.0.0.1:1", Since: 2}) // nobody there: the new watch ends at once
	<-ended
	if _, ok := next(t, events).(reducer.WatchEnded); !ok || len(events) != 0 {
		t.Error("the end of the new watch belongs there once, and nothing else")
	}
}

// A discovery that falls silent, on an open watch or before its head, is asked again beside what it owes; the first line
// decides, from the revision that was heard last, the other calls close, and the watch that the reducer knows goes on.
func TestASilentWatchIsAskedBeside(t *testing.T) {
	for name, first := range map[string]string{"open": "HTTP/1.1 200 OK\r\n\r\n" + change + "\n", "no head": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			closed, asked := make(chan int, 10), make(chan string, 10)
			go func() {
				for i := range 3 { // the third one answers
					nc, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer nc.Close()
						buf := make([]byte, 1000)
						n, _ := nc.Read(buf)
						asked <- strings.SplitN(string(buf[:n]), " HTTP", 2)[0]
						switch i {
						case 0:
							fmt.Fprint(nc, first)
						case 2:
							fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n\r\n"+strings.Replace(change, "43", "57", 1)+"\n")
						}
						nc.Read(buf) // until it is given back
						closed <- i
					}()
				}
			}()
			events := make(chan reducer.Event, 10)
			g := New(func(e reducer.Event) { events <- e }, func(string) {}, clock)
			g.Watch(reducer.Watch{ID: 7, Discovery: l.Addr().String(), Since: 41})
			since := "41"
			if first != "" {
				since = "43"
				if got := next(t, events).(reducer.Listed); got.List.Revision != 43 {
					t.Fatalf("%+v", got)
				}
			}
			if got, ok := next(t, events).(reducer.Listed); !ok || got.Watch != 7 || got.List.Revision != 57 {
				t.Fatalf("%+v", got)
			}
			for range 2 {
				if i := <-closed; i == 2 {
					t.Error("the call that answered was given back")
				}
			}
			for i := range 3 {
				if got := <-asked; i == 2 && !strings.HasSuffix(got, "since="+since) {
					t.Errorf("asked %q", got)
				}
			}
			if len(events) != 0 {
				t.Errorf("%+v", <-events)
			}
		})
	}
}

// A call beside a silent watch that is answered with an error must not put off the next one until that watch has ended: a pause
// would come on top, and what discovery has by then counts as told after 6 s. It asks again a second later, or just before
// the patience with the newest call that may have its turn coming ends, and the reducer hears of no end.
func TestAnErrorBesideASilentWatchDoesNotPutTheNextCallOff(t *testing.T) {
	const busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	const list = "HTTP/1.1 200 OK\r\n\r\n" + change + "\n"
	for name, c := range map[string]struct {
		says  []string // to each call in turn; nothing: it is lost
		since int      // the call from which on discovery was well, but for that one
		most  time.Duration
	}{
		"open":    {[]string{list, busy, strings.Replace(list, "43", "57", 1)}, 1, besideEvery},
		"no head": {[]string{"", "", busy, strings.Replace(list, "43", "57", 1)}, 1, besideHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			came := make(chan time.Time, 20)
			go func() {
				for i := range c.says {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					came <- time.Now()
					go func() {
						defer nc.Close()
						buf := make([]byte, 1000)
						nc.Read(buf)
						fmt.Fprint(nc, c.says[i])
						if c.says[i] != busy {
							nc.Read(buf) // until it is given back
						}
					}()
				}
			}()
			events := make(chan reducer.Event, 10)
			g := New(func(e reducer.Event) { events <- e }, func(string) {}, clock)
			g.Watch(reducer.Watch{ID: 7, Discovery: l.Addr().String(), Since: 41})
			for {
				got, ok := next(t, events).(reducer.Listed)
				if !ok {
					t.Fatal("the watch has ended")
				}
				if got.List.Revision == 57 {
					break
				}
			}
			var from time.Time
			for i := range c.says {
				if at := <-came; i == c.since {
					from = at
				}
			}
			if took := time.Since(from); took > c.most+time.Second {
				t.Errorf("heard %v after discovery was well", took)
			}
		})
	}
}

func TestAClosedWatchEndsWithoutAWord(t *testing.T) {
	ended := make(chan struct{})
	g, at, events := discovery(t, func(_ string, nc net.Conn) {
		fmt.Fprintf(nc, "HTTP/1.1 %d OK\r\n\r\n%s\n", http.StatusOK, change)
		defer close(ended)
		for { // never silent, so that nothing else ends it
			if _, err := nc.Write([]byte("\n")); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	g.Close() // there is none yet
	g.Watch(reducer.Watch{ID: 7, Discovery: at, Since: 1})
	next(t, events)
	g.Close()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the watch is still open")
	}
	g.Watch(reducer.Watch{ID: 8, Discovery: "127.0.0.1:1"}) // nobody there: it ends at once
	if e, ok := next(t, events).(reducer.WatchEnded); !ok || e.Watch != 8 || len(events) != 0 {
		t.Errorf("%+v", e)
	}
}
