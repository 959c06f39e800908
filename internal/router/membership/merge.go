package membership

import (
	"slices"
	"strings"
	"time"
)

// Merge processes a published entry, including those of this router. The returned actions publish a refutation if one
// is due.
func (d *Detector) Merge(entry Entry, now time.Time) Actions {
	if entry.Member.Node == d.self.Node {
		return d.mergeSelf(entry)
	}
	state := d.members[entry.Member.Node]
	if state == nil {
		state = d.addMember(entry.Member.Node, now)
		d.applyEntry(state, entry, now)
		state.failureDelayedUntil = time.Time{}
		return Actions{}
	}
	if entry.overrides(state.entry) {
		d.applyEntry(state, entry, now)
		return Actions{}
	}
	return d.recordSecondSuspicion(state, entry)
}

// addMember adds the state of a new member.
func (d *Detector) addMember(node string, now time.Time) *memberState {
	state := &memberState{ringKey: ringKeyOf(node), lastHeard: now}
	d.members[node] = state
	i, _ := findByName(d.byName, node)
	d.byName = slices.Insert(d.byName, i, state)
	i, _ = findByRing(d.byRing, state.ringKey)
	d.byRing = slices.Insert(d.byRing, i, state)
	return state
}

// Remove removes a member whose record was removed from the fleet's records.
func (d *Detector) Remove(node string) {
	state := d.members[node]
	if state == nil {
		return
	}
	delete(d.members, node)
	delete(d.notAlive, node)
	i, _ := findByName(d.byName, node)
	d.byName = slices.Delete(d.byName, i, i+1)
	i, _ = findByRing(d.byRing, state.ringKey)
	d.byRing = slices.Delete(d.byRing, i, i+1)
	d.viewOutdated = true
}

func findByName(list []*memberState, node string) (int, bool) {
	return slices.BinarySearchFunc(list, node, func(s *memberState, node string) int { return strings.Compare(s.ringKey.node, node) })
}

func findByRing(list []*memberState, key ringKey) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(s *memberState, key ringKey) int { return compareRingKeys(s.ringKey, key) })
}

// mergeSelf processes an entry about this router itself, and refutes it if it overrides or contradicts the own entry.
func (d *Detector) mergeSelf(entry Entry) Actions {
	own := d.Self()
	if d.hasLeft {
		return Actions{}
	}
	if !entry.overrides(own) && (entry.Member == own.Member || entry.Member.Incarnation < d.self.Incarnation) {
		return Actions{}
	}
	d.self.Incarnation = entry.Member.Incarnation + 1
	d.viewOutdated = true
	return Actions{Publish: []Entry{d.Self()}}
}

// applyEntry replaces the member's entry by a newer one.
func (d *Detector) applyEntry(state *memberState, entry Entry, now time.Time) {
	wasLive := state.isLive()
	reporterNotLive := !d.isLive(entry.By)
	d.backdateLastHeard(state, entry.Status, now)
	state.entry = entry
	state.failureDelayedUntil = time.Time{}
	d.viewOutdated = true
	switch entry.Status {
	case Alive:
		state.lastHeard = now
		state.suspectedAt, state.suspectedBy = time.Time{}, ""
	case Suspect:
		state.suspectedAt, state.suspectedBy = now, entry.By
	case Failed:
		if wasLive && reporterNotLive {
			state.failureDelayedUntil = now.Add(nonLiveReporterDelay)
		}
	}
	d.updateNotAlive(state)
}

// backdateLastHeard estimates when a member that only others monitor was last heard from, once they suspect or fail it.
func (d *Detector) backdateLastHeard(state *memberState, status Status, now time.Time) {
	if state.isMonitored || state.entry.Status != Alive {
		return
	}
	switch status {
	case Suspect:
		state.lastHeard = later(state.lastHeard, now.Add(-suspectSilence))
	case Failed:
		state.lastHeard = later(state.lastHeard, now.Add(-suspectSilence-refutationTimeout))
	}
}

// updateNotAlive adds the member to the members that are checked at each tick besides the monitored ones, or removes
// it, as its status requires.
func (d *Detector) updateNotAlive(state *memberState) {
	if state.entry.Status == Alive {
		delete(d.notAlive, state.ringKey.node)
		return
	}
	d.notAlive[state.ringKey.node] = state
}

// recordSecondSuspicion records that a second monitor suspects a member.
func (d *Detector) recordSecondSuspicion(state *memberState, entry Entry) Actions {
	second := entry.Status == Suspect && state.entry.Status == Suspect && entry.By != state.suspectedBy &&
		entry.Member.Incarnation == state.entry.Member.Incarnation
	if second {
		state.suspectedBy = ""
	}
	return Actions{}
}

func (d *Detector) isLive(node string) bool {
	if node == d.self.Node {
		return true
	}
	state := d.members[node]
	return state != nil && state.isLive()
}
