package membership

import (
	"slices"
	"time"
)

// ViewOutdated reports whether the view is out of date.
func (d *Detector) ViewOutdated() bool { return d.viewOutdated }

// Refresh rebuilds the view if it is out of date.
func (d *Detector) Refresh(now time.Time) { d.refresh(now) }

func (d *Detector) refresh(now time.Time) {
	if !d.viewOutdated {
		return
	}
	d.viewOutdated = false
	d.view = d.buildView()
	d.updateMonitored(now)
}

func (d *Detector) buildView() *View {
	live := make([]Member, 0, len(d.byName)+1)
	var failed []FailedMember
	own, _ := findByName(d.byName, d.self.Node)
	for i, state := range d.byName {
		if i == own {
			live = append(live, d.self)
		}
		if state.isLive() {
			live = append(live, state.entry.Member)
			continue
		}
		failed = append(failed, FailedMember{Member: state.entry.Member, Status: state.entry.Status, Since: state.lastHeard})
	}
	if own == len(d.byName) {
		live = append(live, d.self)
	}
	return newView(d.self, live, failed, d.buildRing())
}

func (d *Detector) buildRing() *ring {
	r := newRing(len(d.byRing) + 1)
	selfKey := ringKeyOf(d.self.Node)
	own, _ := findByRing(d.byRing, selfKey)
	for i, state := range d.byRing {
		if i == own {
			r.add(d.self, selfKey)
		}
		if state.isLive() {
			r.add(state.entry.Member, state.ringKey)
		}
	}
	if own == len(d.byRing) {
		r.add(d.self, selfKey)
	}
	return r
}

// updateMonitored determines which members this router monitors in the current view.
func (d *Detector) updateMonitored(now time.Time) {
	before := d.monitored
	d.monitored = nil
	for _, state := range before {
		state.isMonitored = false
	}
	for _, member := range d.view.Predecessors(d.self.Node, MonitorCount) {
		state := d.members[member.Node]
		state.isMonitored = true
		d.monitored = append(d.monitored, state)
		if !slices.Contains(before, state) {
			state.monitoredSince = now
			state.lastHeard = later(state.lastHeard, now.Add(-takeoverSilence))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// View returns the view as of the last Refresh or Tick.
func (d *Detector) View() *View { return d.view }
