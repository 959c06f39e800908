package reducer

import (
	"math/bits"
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/zones"
)

// zoneTick is how often the zones of a pool are told of its app nodes and asked for what time brings about.
const zoneTick = 250 * time.Millisecond

// tally is what a pool has in one zone.
type tally struct {
	ready int
	size  float64
	cold  []young // of the ready ones, those that may still be warming
	stale bool    // the zones have not heard of the latest change
}

// young is an app node that is warming.
type young struct {
	srv     *server
	started time.Duration
	size    float64
}

// region is a pool's view of its zones: what may be sent where, by zones.State, and what there is.
type region struct {
	state   *zones.State
	tallies []tally // by zone
	counted bool    // they hold every member
}

func newRegion(cfg zones.Settings) (*region, error) {
	s, err := zones.New(cfg)
	if err != nil {
		return nil, err
	}
	return &region{state: s, tallies: make([]tally, len(cfg.Zones))}, nil
}

// zoneOf is the place of an app node's zone among those that were named, or -1.
func (g *region) zoneOf(m *brain.Member) int {
	if i := bits.TrailingZeros64(m.Bit); i < len(g.tallies) {
		return i
	}
	return -1
}

// count enters an app node as it is, or takes it out as it was. Those that are not ready do not count.
func (r *Reducer) count(g *region, s *server, m *brain.Member, by int) {
	zone := g.zoneOf(m)
	if zone < 0 || m.State != brain.Ready {
		return
	}
	t := &g.tallies[zone]
	t.ready += by
	t.size += float64(by) * r.size(m)
	t.stale = true
	if by > 0 && r.warmth(m.Started) < 1 {
		t.cold = append(t.cold, young{s, m.Started, r.size(m)})
	} else if by < 0 {
		t.cold = slices.DeleteFunc(t.cold, func(y young) bool { return y.srv == s })
	}
}

func (r *Reducer) size(m *brain.Member) float64 {
	if r.cfg.Weights == brain.WeightOff || r.cfg.Weights == brain.WeightLive || m.Weight <= 0 {
		return 1
	}
	return m.Weight
}

// warmth is the share of its capacity that an app node has at the least, by the rule on cold ones.
func (r *Reducer) warmth(started time.Duration) float64 {
	age := r.now - started
	if started == 0 || r.cfg.Rules.ColdFor <= 0 || age >= r.cfg.Rules.ColdFor {
		return 1
	}
	return r.cfg.Rules.ColdFrom + (1-r.cfg.Rules.ColdFrom)*max(0, age.Seconds())/r.cfg.Rules.ColdFor.Seconds()
}

// onZoneTick tells each region what it has, and has it say what has changed. The work grows with the app nodes that are
// warming, and not with the others.
func (r *Reducer) onZoneTick() {
	for _, p := range r.pools {
		if p == nil || p.region == nil {
			continue
		}
		for i := range p.region.tallies {
			r.tellZone(p.region, i)
		}
		for _, n := range p.region.state.Tick(r.now) {
			r.emit(Log{"zones: pool " + p.Name + ": " + n.Text})
		}
	}
	if r.zoned {
		r.emit(Arm{zoneTick, zoneClock{}})
	}
}

func (r *Reducer) tellZone(g *region, zone int) {
	t := &g.tallies[zone]
	if len(t.cold) == 0 && !t.stale {
		return
	}
	missing := 0.0
	t.cold = slices.DeleteFunc(t.cold, func(y young) bool {
		w := r.warmth(y.started)
		missing += (1 - w) * y.size
		return w >= 1
	})
	t.stale = false
	g.state.Members(r.now, zone, t.size-missing, t.ready, len(t.cold))
}

// sentTo tells the region of an attempt that goes out.
func (r *Reducer) sentTo(d *delegation) {
	if g := d.call.pool.region; g != nil && d.srv != nil {
		if zone := g.zoneOf(&d.srv.member); zone >= 0 {
			g.state.Sent(r.now, zone, d.call.Class)
		}
	}
}

// heardFrom tells the region how an attempt ended. What failed for want of our own descriptors says nothing of a zone.
func (r *Reducer) heardFrom(d *delegation, o brain.Outcome, took time.Duration, report []float64) {
	g := d.call.pool.region
	if g == nil || d.srv == nil || d.ours {
		return
	}
	zone := g.zoneOf(&d.srv.member)
	out, ok := zoneOutcome[o]
	if zone < 0 || !ok {
		return
	}
	inTime := o == brain.OK && took <= r.cfg.Classes[d.call.Class].Aim
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
	g.state.Ended(r.now, zone, d.call.Class, out, took, inTime, util, queue)
}

var zoneOutcome = map[brain.Outcome]zones.Outcome{brain.OK: zones.OK, brain.AppError: zones.Errored, brain.Shed: zones.Shed,
	brain.ConnectFailed: zones.ConnectFailed, brain.TimedOut: zones.TimedOut, brain.Dropped: zones.Dropped, brain.Cancelled: zones.Cancelled}

// boundOf asks where a call may go.
func (r *Reducer) boundOf(c *call) (first, later uint64) {
	g := c.pool.region
	if g == nil {
		return 0, 0
	}
	b := g.state.Arrived(r.now, c.Class)
	if b.Shed {
		return brain.Nowhere, brain.Nowhere
	}
	return b.First, b.Later
}
