package reducer

import (
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/zones"
)

// newTwoZoneHarness returns a harness with app nodes in two zones and the balancer in the first.
func newTwoZoneHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.cfg.Columns = []brain.Column{brain.ColUtilization, brain.ColQueue}
	h.start(100)
	z := &zones.Settings{Zones: []string{"a", "b"}, OwnZone: 0, Tiers: [][]int{{0}, {1}}, Balancers: 1,
		Classes: []zones.Class{{Value: 1, Movable: true}, {Value: 5}}}
	r, err := NewWithLayout(h.cfg, 7, 100, Layout{Pools: []PoolSpec{{Name: "all", Zones: z}}})
	if err != nil {
		t.Fatal(err)
	}
	h.r = r
	l := List{Complete: true, Revision: 1}
	for i, zone := range []string{"a", "a", "a", "b", "b", "b"} {
		name := string(rune('p' + i))
		l.Members = append(l.Members, brain.Member{Server: name, Zone: zone, Weight: 1})
		l.Addresses = append(l.Addresses, name+":1")
	}
	h.do(Started{Known: l, Discovery: "d:1"})
	return h
}

// zoneOfLastAttempt returns the zone of a call's last attempt, "" if there is none.
func (h *harness) zoneOfLastAttempt(id uint64) string {
	if c := h.r.calls[id]; c != nil && len(c.attempts) > 0 {
		return c.attempts[len(c.attempts)-1].srv.member.Zone
	}
	return ""
}

// serveAllWithLoad answers all outstanding attempts with a load report.
func (h *harness) serveAllWithLoad(util float64) {
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	for _, b := range h.inState(busy) {
		e := goodAnswer(b)
		e.Report = []float64{util, 0}
		h.exchanged(e)
	}
}

// Calls stay in the balancer's own zone while it is healthy. When every connect there times out although it is listed,
// calls soon go to the other zone, except a keyed call that may have run. When the zone answers again, calls return.
func TestZoneFailover(t *testing.T) {
	h := newTwoZoneHarness(t)
	for range 300 {
		id := h.arrive(0, 600*ms)
		if h.zoneOfLastAttempt(id) != "a" {
			t.Fatalf("call sent to zone %q: %s", h.zoneOfLastAttempt(id), h.r.pools[0].zoneView.state.Describe())
		}
		h.advance(2 * ms)
		h.serveAllWithLoad(0.3)
		h.advance(8 * ms)
	}
	keyedCall := h.arrive(1, time.Second) // outstanding in the zone when it fails
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	lostConn := h.inState(busy)[0]
	callDuringOutage := func(class int) string {
		id := h.arrive(class, 600*ms)
		zone := h.zoneOfLastAttempt(id)
		for range 4 {
			for _, d := range h.inState(dialing) {
				var err error
				if h.r.conns[d].srv.member.Zone == "a" {
					err = errDown
				}
				h.dialed(d, err)
			}
		}
		for _, b := range h.inState(busy) {
			if b != lostConn && h.r.conns[b].srv.member.Zone == "b" {
				e := goodAnswer(b)
				e.Report = []float64{0.4, 0}
				h.exchanged(e)
			}
		}
		return zone
	}
	for _, s := range h.r.servers { // connections to the zone are lost
		for s.member.Zone == "a" && len(s.idle) > 0 {
			h.do(Lost{s.idle[0].id})
		}
	}
	inOtherZone := 0
	for i := range 200 {
		if zone := callDuringOutage(0); i >= 60 && zone == "b" {
			inOtherZone++
		}
		h.advance(10 * ms)
	}
	if inOtherZone < 130 {
		t.Errorf("%d of 140 calls sent to the other zone", inOtherZone)
	}
	if h.zoneOfLastAttempt(keyedCall) != "" && h.zoneOfLastAttempt(keyedCall) != "a" {
		t.Errorf("keyed call sent to zone %s", h.zoneOfLastAttempt(keyedCall))
	}
	if c := h.calls[keyedCall]; c.answers != 1 || c.reply.Kind != Failed {
		t.Errorf("keyed call: %+v", c)
	}
	inOwnZone := 0
	for i := range 6000 { // a minute
		id := h.arrive(0, 600*ms)
		if i >= 5000 && h.zoneOfLastAttempt(id) == "a" {
			inOwnZone++
		}
		h.advance(2 * ms)
		h.serveAllWithLoad(0.3)
		h.advance(8 * ms)
	}
	if inOwnZone < 900 {
		t.Errorf("a minute after its recovery the zone gets %d of 1000 calls", inOwnZone)
	}
}

// The list determines what the zones offer: an own zone whose app nodes all drain or are gone gets no calls, and one
// with a single app node that is warming up has little capacity.
func TestZonesFollowList(t *testing.T) {
	h := newTwoZoneHarness(t)
	zv := h.r.pools[0].zoneView
	if zv.tallies[0].ready != 3 || zv.tallies[0].capacity != 3 || zv.tallies[1].ready != 3 {
		t.Fatalf("%+v", zv.tallies)
	}
	h.listed(List{Revision: 2, Addresses: []string{"", "", "q2:1"}, Members: []brain.Member{
		{Server: "p", Zone: "a", State: brain.Gone}, {Server: "r", Zone: "a", Weight: 1, State: brain.Draining},
		{Server: "q", Zone: "a", Weight: 1, Started: h.now}}})
	h.advance(zoneTickInterval)
	if a := zv.tallies[0]; a.ready != 1 || a.capacity != 1 || len(a.warming) != 1 || !strings.Contains(zv.state.Describe(), "a well, 1 ready, 1 cold, capacity 0.2") {
		t.Errorf("%+v, %s", a, zv.state.Describe())
	}
	h.listed(List{Revision: 3, Addresses: []string{""}, Members: []brain.Member{{Server: "q", Zone: "a", State: brain.Gone}}})
	h.advance(zoneTickInterval)
	if id := h.arrive(0, 600*ms); h.zoneOfLastAttempt(id) != "b" {
		t.Errorf("without an app node in its own zone a call was sent to %q", h.zoneOfLastAttempt(id))
	}
	h.advance(30 * time.Second)
	if a := zv.tallies[0]; a.ready != 0 || a.capacity != 0 || len(a.warming) != 0 {
		t.Errorf("%+v", a)
	}
}
