package peers

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/view"
)

var members = flag.Int("members", 40, "of the fleet in virtual time")

// air carries packets and streams between members of one process, in virtual time: 1 ms there, nothing to the dead, and nothing
// between the halves of a split.
type air struct {
	mu    sync.Mutex
	ends  map[string]*end
	split bool
}

// end is the transport of one member.
type end struct {
	air     *air
	at      string
	packets chan *memberlist.Packet
	streams chan net.Conn
	dead    bool
	other   bool // half
}

func (a *air) end(at string) *end {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := &end{air: a, at: at, packets: make(chan *memberlist.Packet, 4096), streams: make(chan net.Conn, 64)}
	a.ends[at] = e
	return e
}

func (a *air) find(from, to string) *end {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.ends[to]; e != nil && !e.dead && !a.ends[from].dead && !(a.split && e.other != a.ends[from].other) {
		return e
	}
	return nil
}

func (a *air) kill(at string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends[at].dead = true
}

func (e *end) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	return net.ParseIP(ip), port, nil
}
func (e *end) PacketCh() <-chan *memberlist.Packet { return e.packets }
func (e *end) StreamCh() <-chan net.Conn           { return e.streams }

// Shutdown ends the streams that nobody will take, as a listener's end does.
func (e *end) Shutdown() error {
	e.air.kill(e.at)
	for {
		select {
		case nc := <-e.streams:
			nc.Close()
		default:
			return nil
		}
	}
}

func (e *end) WriteTo(b []byte, at string) (time.Time, error) {
	return e.WriteToAddress(b, memberlist.Address{Addr: at})
}

func (e *end) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	if dest := e.air.find(e.at, to.Addr); dest != nil {
		from, _ := net.ResolveUDPAddr("udp4", e.at)
		packet := &memberlist.Packet{Buf: append([]byte(nil), b...), From: from, Timestamp: time.Now()}
		time.AfterFunc(time.Millisecond, func() {
			select {
			case dest.packets <- packet:
			default: // as a socket's buffer that is full
			}
		})
	}
	return time.Now(), nil
}

func (e *end) DialTimeout(at string, within time.Duration) (net.Conn, error) {
	return e.DialAddressTimeout(memberlist.Address{Addr: at}, within)
}

func (e *end) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	dest := e.air.find(e.at, to.Addr)
	if dest == nil {
		time.Sleep(within)
		return nil, errors.New("nobody is there")
	}
	here, there := net.Pipe()
	here.SetDeadline(time.Now().Add(dialWithin)) // the library sets its own once it has said its label
	select {
	case dest.streams <- there:
		return here, nil
	default:
		return nil, errors.New("refused")
	}
}

// Whole views are exchanged the less often the more members there are, so that their bytes don't grow with the fleet.
func TestWholeViewsTakeNoMoreInALargeFleet(t *testing.T) {
	for members, want := range map[int]time.Duration{1: exchangeEvery, 12: exchangeEvery, 16: exchangeEvery, 32: 2 * exchangeEvery, 3000: 750 * time.Second} {
		if got := ExchangePause(members); got != want {
			t.Errorf("%d members: %v, not %v", members, got, want)
		}
	}
}

// What a split has kept apart finds together, though views are exchanged seldom: who was lost is looked for.
func TestHalvesAgreeAfterASplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 48
		a := &air{ends: map[string]*end{}}
		fleet, known := make([]*Peers, n), make([]map[string]bool, n)
		var mu sync.Mutex
		for i := range n {
			known[i] = map[string]bool{}
			own := view.Life{ID: fmt.Sprintf("life %06d", i), Name: fmt.Sprint("balancer ", i), Address: fmt.Sprintf("10.0.0.%d:7946", 1+i), Stamp: 1}
			e := a.end(own.Address)
			e.other = i%2 == 1
			p, err := Join(Options{Settings: config.Peers{Address: own.Address, Site: "site", Keys: []string{keyA}, Seeds: []string{"10.0.0.1:7946", "10.0.0.2:7946"}},
				Own: own, Transport: e, Known: func() []Known { return nil }, Log: func(string) {}, Post: func(e view.Event) {
					mu.Lock()
					defer mu.Unlock()
					switch e.Kind {
					case view.Joined:
						known[i][e.Life.ID] = true
					case view.Lost, view.Left:
						delete(known[i], e.Life.ID)
					}
				}})
			if err != nil {
				t.Fatal(err)
			}
			fleet[i] = p
			time.Sleep(10 * time.Millisecond)
		}
		each := func(least, most int) func() bool {
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				return !slices.ContainsFunc(known, func(k map[string]bool) bool { return len(k) < least || len(k) > most })
			}
		}
		until := func(what string, within time.Duration, done func() bool) {
			t.Helper()
			for began := time.Now(); !done(); time.Sleep(100 * time.Millisecond) {
				if time.Since(began) > within {
					t.Fatalf("%s: not within %v", what, within)
				}
			}
		}
		until("all know each other", time.Minute, each(n, n))
		set := func(split bool) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.split = split
		}
		set(true)
		until("each half is alone", time.Minute, each(0, n/2))
		time.Sleep(time.Minute)
		set(false)
		began := time.Now()
		until("all agree again", 10*time.Second, each(n, n))
		t.Logf("all agree %.1f s after the end of a split", time.Since(began).Seconds())
		for _, p := range fleet {
			p.Close()
		}
		time.Sleep(time.Minute)
	})
}

// A fleet in virtual time: all find each other, all notice a death, and each sends what is told. go test -run Thousand
// -members 1000 -v gives the figures of a large one.
func TestAThousand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := *members
		a := &air{ends: map[string]*end{}}
		fleet := make([]*Peers, n)
		views := make([]*view.View, n)
		lost := make([]time.Time, n)
		var mu sync.Mutex
		begin := time.Now()
		address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, 1+i%250) }
		victim := n / 2
		for i := range n {
			own := view.Life{ID: fmt.Sprintf("life %06d", i), Name: fmt.Sprint("balancer ", i), Address: address(i), Stamp: 1, Zone: "a"}
			views[i] = view.New(own, n, view.Bounds{}, 0)
			p, err := Join(Options{Settings: config.Peers{Address: own.Address, Site: "site", Keys: []string{keyA}, Seeds: []string{address(0), address(1)}},
				Own: own, Transport: a.end(own.Address), Known: func() []Known { return nil }, Log: func(string) {},
				Post: func(e view.Event) {
					mu.Lock()
					defer mu.Unlock()
					if e.Kind == view.Lost && e.Life.ID == fmt.Sprintf("life %06d", victim) && lost[i].IsZero() {
						lost[i] = time.Now()
					}
					views[i].Handle(time.Since(begin), e)
				}})
			if err != nil {
				t.Fatal(err)
			}
			fleet[i] = p
			time.Sleep(10 * time.Millisecond)
		}
		full := func() (all bool) {
			mu.Lock()
			defer mu.Unlock()
			all = true
			for _, v := range views {
				all = all && v.Live() == n-1
			}
			return all
		}
		for until := time.Now().Add(5 * time.Minute); !full(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("they have not found each other within five minutes")
			}
		}
		t.Logf("%d members know each other %.1f s after the first start", n, time.Since(begin).Seconds())
		time.Sleep(20 * time.Second) // what is left of the joins
		count := func() (packets, bytes, views uint64) {
			for _, p := range fleet {
				c := p.Counts()
				packets, bytes, views = packets+c.Packets, bytes+c.Bytes, views+c.Views
			}
			return packets, bytes, views
		}
		packets, bytes, whole := count()
		during := max(10*time.Second, ExchangePause(n))
		time.Sleep(during)
		laterPackets, laterBytes, laterWhole := count()
		from := func(later, early uint64) float64 { return float64(later-early) / during.Seconds() / float64(n) }
		perPackets, perBytes, perViews := from(laterPackets, packets), from(laterBytes, bytes), from(laterWhole, whole)
		t.Logf("calm: %.1f packets and %.0f bytes a second from each, and %.0f of whole views", perPackets, perBytes, perViews)
		if perPackets < 3 || perPackets > 60 || perBytes > 20_000 || perViews > 3000 || perViews < 100 {
			t.Errorf("%.1f packets and %.0f bytes a second from each, and %.0f of whole views", perPackets, perBytes, perViews)
		}
		died := time.Now()
		a.kill(address(victim))
		time.Sleep(30 * time.Second)
		mu.Lock()
		var took []float64
		for i := range n {
			if i == victim {
				continue
			}
			if lost[i].IsZero() {
				t.Errorf("member %d has not noticed a death within 30 s", i)
				continue
			}
			took = append(took, lost[i].Sub(died).Seconds())
		}
		mu.Unlock()
		slices.Sort(took)
		t.Logf("a death is known to half after %.2f s, to 99 in 100 after %.2f s, to all after %.2f s", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
		if took[0] < 0.3 {
			t.Errorf("a death is known after %.3f s, before anybody could probe for it", took[0])
		}
		for _, p := range fleet {
			p.Close()
		}
		time.Sleep(time.Minute) // all that it had started ends, as the bubble sees to
	})
}
