package reducer

import (
	"math/bits"
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/zones"
)

// zoneTickInterval is how often the zones are updated with their app nodes and advanced in time.
const zoneTickInterval = 250 * time.Millisecond

// zoneTally summarizes the members of a pool in one zone.
type zoneTally struct {
	ready    int
	capacity float64
	warming  []warmingServer // ready members that may still be warming up
	stale    bool            // changed since the last updateZone
}

// warmingServer is an app node that is warming up.
type warmingServer struct {
	srv      *server
	started  time.Duration
	capacity float64
}

// zoneView tracks the zones of a pool: state decides what may be sent where, tallies count the members.
type zoneView struct {
	state   *zones.State
	tallies []zoneTally // by zone index
	counted bool        // the tallies include every member
}

func newZoneView(cfg zones.Settings) (*zoneView, error) {
	s, err := zones.New(cfg)
	if err != nil {
		return nil, err
	}
	return &zoneView{state: s, tallies: make([]zoneTally, len(cfg.Zones))}, nil
}

// zoneIndex returns the index of an app node's zone among the configured zones, or -1.
func (zv *zoneView) zoneIndex(m *brain.Member) int {
	if i := bits.TrailingZeros64(m.Bit); i < len(zv.tallies) {
		return i
	}
	return -1
}

// countMember adds an app node to the tally of its zone (by 1) or removes it (by -1). Members that are not ready are not
// counted.
func (r *Reducer) countMember(zv *zoneView, s *server, m *brain.Member, delta int) {
	zone := zv.zoneIndex(m)
	if zone < 0 || m.State != brain.Ready {
		return
	}
	t := &zv.tallies[zone]
	t.ready += delta
	t.capacity += float64(delta) * r.capacity(m)
	t.stale = true
	if delta > 0 && r.warmth(m.Started) < 1 {
		t.warming = append(t.warming, warmingServer{s, m.Started, r.capacity(m)})
	} else if delta < 0 {
		t.warming = slices.DeleteFunc(t.warming, func(w warmingServer) bool { return w.srv == s })
	}
}

func (r *Reducer) capacity(m *brain.Member) float64 {
	if r.cfg.Weights == brain.WeightOff || r.cfg.Weights == brain.WeightLive || m.Weight <= 0 {
		return 1
	}
	return m.Weight
}

// warmth returns the minimum share of its capacity that an app node has while it warms up, by the rule on cold servers.
func (r *Reducer) warmth(started time.Duration) float64 {
	age := r.now - started
	if started == 0 || r.cfg.Rules.ColdFor <= 0 || age >= r.cfg.Rules.ColdFor {
		return 1
	}
	return r.cfg.Rules.ColdFrom + (1-r.cfg.Rules.ColdFrom)*max(0, age.Seconds())/r.cfg.Rules.ColdFor.Seconds()
}

// onZoneTick updates the zones of all pools and logs what they report. The work is proportional to the app nodes that
// are warming up, not to the others.
func (r *Reducer) onZoneTick() {
	for _, p := range r.pools {
		if p == nil || p.zoneView == nil {
			continue
		}
		for i := range p.zoneView.tallies {
			r.updateZone(p.zoneView, i)
		}
		for _, n := range p.zoneView.state.Tick(r.now) {
			r.emit(Log{"zones: pool " + p.Name + ": " + n.Text})
		}
	}
	if r.hasZones {
		r.emit(StartTimer{zoneTickInterval, zoneTimer{}})
	}
}

func (r *Reducer) updateZone(zv *zoneView, zone int) {
	t := &zv.tallies[zone]
	if len(t.warming) == 0 && !t.stale {
		return
	}
	missing := 0.0
	t.warming = slices.DeleteFunc(t.warming, func(ws warmingServer) bool {
		warmth := r.warmth(ws.started)
		missing += (1 - warmth) * ws.capacity
		return warmth >= 1
	})
	t.stale = false
	zv.state.SetMembers(r.now, zone, t.capacity-missing, t.ready, len(t.warming))
}

// recordZoneAttempt reports a new attempt to the zones.
func (r *Reducer) recordZoneAttempt(att *attempt) {
	if zv := att.call.pool.zoneView; zv != nil && att.srv != nil {
		if zone := zv.zoneIndex(&att.srv.member); zone >= 0 {
			zv.state.Sent(r.now, zone, att.call.Class)
		}
	}
}

// recordZoneOutcome reports the end of an attempt to the zones. A failure for lack of our own descriptors says nothing
// about a zone.
func (r *Reducer) recordZoneOutcome(att *attempt, o brain.Outcome, took time.Duration, report []float64) {
	zv := att.call.pool.zoneView
	if zv == nil || att.srv == nil || att.outOfDescriptors {
		return
	}
	zone := zv.zoneIndex(&att.srv.member)
	out, ok := zoneOutcomes[o]
	if zone < 0 || !ok {
		return
	}
	inTime := o == brain.OK && took <= r.cfg.Classes[att.call.Class].Aim
	if o == brain.OK && !inTime {
		out = zones.Late
	}
	util, queue := -1.0, 0.0
	for i, c := range r.cfg.Columns {
		if i >= len(report) {
			break
		}
		switch c {
		case brain.ColUtilization:
			util = report[i]
		case brain.ColQueue:
			queue = report[i]
		}
	}
	zv.state.Ended(r.now, zone, att.call.Class, out, took, inTime, util, queue)
}

var zoneOutcomes = map[brain.Outcome]zones.Outcome{brain.OK: zones.OK, brain.AppError: zones.Errored, brain.Shed: zones.Shed,
	brain.ConnectFailed: zones.ConnectFailed, brain.TimedOut: zones.TimedOut, brain.Dropped: zones.Dropped, brain.Cancelled: zones.Cancelled}

// zoneBounds returns the zones that a call's first and later attempts may go to, as bits; 0: anywhere.
func (r *Reducer) zoneBounds(c *call) (first, later uint64) {
	zv := c.pool.zoneView
	if zv == nil {
		return 0, 0
	}
	b := zv.state.Arrived(r.now, c.Class)
	if b.Shed {
		return brain.Nowhere, brain.Nowhere
	}
	return b.First, b.Later
}
