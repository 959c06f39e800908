package fleet

import (
	"encoding/base64"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/peers"
	"pewterrudder/internal/fleet/view"
)

// The lab's crowd knows itself, and does nothing to itself, so that its size costs the lab little; what is to hear it is probed and asked
// for its view, and loses nobody.
func TestACrowdDoesToOneWhatAFleetWould(t *testing.T) {
	const n = 60
	member := func(i int) string { return fmt.Sprintf("127.107.%d.%d:%d", byte(os.Getpid()), 1+i, 20000+i) }
	set := config.Peers{Site: "crowd", Keys: []string{base64.StdEncoding.EncodeToString([]byte("of the lab alone"))}, Least: 0.25, Most: 4}
	c, err := gather(t.Context(), n, member, set)
	defer c.close()
	if err != nil {
		t.Fatal(err)
	}
	packets := func() (sum uint64) {
		for _, p := range c.members {
			sum += p.Counts().Packets
		}
		return sum
	}
	settled, began := packets(), time.Now()
	for before := settled; ; before = settled { // the words of the joins are over once nobody says any for a second
		time.Sleep(time.Second)
		if settled = packets(); settled == before {
			break
		} else if time.Since(began) > time.Minute {
			t.Fatalf("its members go on talking to each other: %d packets in a second", settled-before)
		}
	}
	var here, lost atomic.Int64
	own := set
	own.Address, own.Seeds = member(0), []string{member(1)}
	one, err := peers.Join(peers.Options{Settings: own, Own: view.Life{ID: "one", Name: "one", Stamp: 1}, Log: func(string) {}, Passive: true,
		Known: func() []peers.Known { return nil }, Post: func(e view.Event) {
			switch e.Kind {
			case view.Joined:
				here.Add(1)
			case view.Lost, view.Left:
				lost.Add(1)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	c.heard(member(0))
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if s := one.Counts(); here.Load() == n+1 && s.Packets > 20 && s.Views > 0 {
			break
		} else if time.Now().After(until) {
			t.Fatalf("it knows %d of %d, and has answered %+v", here.Load(), n+1, s)
		}
	}
	if lost.Load() > 0 {
		t.Errorf("%d were lost while all ran", lost.Load())
	}
}
