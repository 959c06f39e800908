package registry

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"pewterrudder/internal/reducer"
)

// large is a list of n app nodes whose names are as long as those that an installation of that size gives them.
func large(n int) string {
	var b strings.Builder
	b.WriteString(`{"revision":43,"complete":true,"members":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"app-node-%032x","host_port":"10.%d.%d.%d:5000","locality":"region-%d-zone-%d","flavor":"m%d","cell":%d,`+
			`"phase":"Ready","size":1.0,"up_since_ms":%d}`, i, i>>14, i>>7&127, i&127, i%3, i%9, i%5, i/8, int64(1764547200000)+int64(i))
	}
	b.WriteString("]}\n")
	return b.String()
}

// The list of 26,000 app nodes is taken, with names longer than the simulator's, and once it has been handed on the watch
// keeps nothing of its size.
func TestAListOfTheSizeThatIsComing(t *testing.T) {
	text := large(26_000)
	from, to := io.Pipe()
	defer to.Close()
	go func() {
		io.WriteString(to, text+"\n")
		io.WriteString(to, change+"\n")
	}()
	v := newValues(from, func() {}, func() {})
	inUse := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := inUse()
	raw, err := v.next()
	if err != nil {
		t.Fatal(err)
	}
	l, err := Decode(raw, clock)
	if err != nil || len(l.Members) != 26_000 {
		t.Fatalf("%d members: %v", len(l.Members), err)
	}
	raw, l = nil, reducer.List{}
	if kept := inUse() - before; kept > 1<<20 {
		t.Errorf("the watch keeps %d bytes of a list of %d", kept, len(text))
	}
	if raw, err = v.next(); err != nil || string(raw) != change {
		t.Errorf("the change behind it: %.80q %v", raw, err)
	}
}

// Zones and kinds are few: each is held once, also by lists that come one after the other.
func TestZonesAndKindsAreHeldOnce(t *testing.T) {
	a, err := Decode([]byte(large(3)), clock)
	if err != nil {
		t.Fatal(err)
	}
	b, err := Decode([]byte(large(3)), clock)
	if err != nil {
		t.Fatal(err)
	}
	for i := range a.Members {
		x, y := &a.Members[i], &b.Members[i]
		if unsafe.StringData(x.Zone) != unsafe.StringData(y.Zone) || unsafe.StringData(x.Kind) != unsafe.StringData(y.Kind) {
			t.Errorf("%q and %q of entry %d are held twice", x.Zone, x.Kind, i)
		}
	}
}

// A long list that is on its way is no silence: a call beside it would have discovery send it all once more, by the same
// line, and so on until none of them arrives in time.
func TestAListOnItsWayIsNotAskedForAgain(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	text := large(500)
	var calls atomic.Int32
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			calls.Add(1)
			go func() {
				defer nc.Close()
				nc.Read(make([]byte, 1000))
				io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n")
				const pieces = 14 // half a second apart: past the moments at which silence is asked beside
				for i := range pieces {
					time.Sleep(500 * time.Millisecond)
					io.WriteString(nc, text[i*len(text)/pieces:(i+1)*len(text)/pieces])
				}
				nc.Read(make([]byte, 1)) // until it is given back
			}()
		}
	}()
	events := make(chan reducer.Event, 10)
	g := New(func(e reducer.Event) { events <- e }, func(string) {}, clock)
	defer g.Close()
	g.Watch(reducer.Watch{ID: 7, Discovery: l.Addr().String()})
	if got, ok := next(t, events).(reducer.Listed); !ok || len(got.List.Members) != 500 {
		t.Errorf("%T", got)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("%d calls for a list that was on its way", n)
	}
}
