package membership

import "time"

// Tick checks the monitored members and those that are not alive. It must be called every HeartbeatEvery.
func (d *Detector) Tick(now time.Time) Actions {
	d.detectLateTick(now)
	d.endFailureDelays(now)
	d.refresh(now)
	var actions Actions
	for _, state := range d.monitored {
		if state.entry.Status == Alive {
			d.checkAlive(state, now, &actions)
		}
	}
	for _, state := range d.notAlive {
		if state.entry.Status == Suspect {
			d.checkSuspect(state, now, &actions)
		}
		d.removeExpired(state, now, &actions)
	}
	return actions
}

// detectLateTick detects that this router itself was delayed: that it received nothing in the meantime says nothing
// about the other members.
func (d *Detector) detectLateTick(now time.Time) {
	late := now.Sub(d.lastTick) - HeartbeatEvery
	d.lastTick = now
	if late < lateTickThreshold {
		return
	}
	d.unreliableUntil = now.Add(min(2*late, maxUnreliableTime))
	for _, state := range d.members {
		if state.isLive() {
			state.lastHeard = now
			state.lastProbed = now
		}
		if state.entry.Status == Suspect {
			state.suspectedAt = now
		}
	}
}

// ObservationsUnreliable reports whether this router's own observations are unreliable, because it was delayed
// recently.
func (d *Detector) ObservationsUnreliable(now time.Time) bool { return now.Before(d.unreliableUntil) }

func (d *Detector) endFailureDelays(now time.Time) {
	for _, state := range d.notAlive {
		if !state.failureDelayedUntil.IsZero() && !now.Before(state.failureDelayedUntil) {
			state.failureDelayedUntil = time.Time{}
			d.viewOutdated = true
		}
	}
}

func (d *Detector) checkAlive(state *memberState, now time.Time, actions *Actions) {
	silence := now.Sub(state.lastHeard)
	if silence < probeSilence || d.ObservationsUnreliable(now) {
		return
	}
	if silence >= suspectSilence {
		actions.Publish = append(actions.Publish, Entry{Member: state.entry.Member, Status: Suspect, By: d.self.Node})
		return
	}
	if now.Sub(state.lastProbed) >= probeSilence/2 {
		state.lastProbed = now
		actions.Probe = append(actions.Probe, state.entry.Member)
	}
}

// checkSuspect fails a suspected member that didn't refute in time. The timeout is shorter if this router is a second
// monitor that has heard nothing either.
func (d *Detector) checkSuspect(state *memberState, now time.Time, actions *Actions) {
	if d.ObservationsUnreliable(now) || now.Sub(state.lastHeard) < suspectSilence && state.isMonitored {
		return
	}
	due := refutationTimeout
	if d.confirmsSuspicion(state, now) {
		due = confirmedRefutationTimeout
	}
	if !state.isMonitored && state.suspectedBy != d.self.Node {
		due = 2 * refutationTimeout // normally its monitors fail it, but they may have failed too
	}
	if now.Sub(state.suspectedAt) >= due {
		actions.Publish = append(actions.Publish, Entry{Member: state.entry.Member, Status: Failed, By: d.self.Node})
	}
}

func (d *Detector) confirmsSuspicion(state *memberState, now time.Time) bool {
	return state.isMonitored && state.suspectedBy != d.self.Node && now.Sub(state.lastHeard) >= suspectSilence
}

// removeExpired requests the removal of a member that failed or left longer ago than its retention time. Only the next
// live member on the ring does so.
func (d *Detector) removeExpired(state *memberState, now time.Time, actions *Actions) {
	limit := failedRetention
	if state.entry.Status == Left {
		limit = leftRetention
	}
	if state.isLive() || now.Sub(state.lastHeard) < limit {
		return
	}
	first := d.view.Successors(state.entry.Member.Node, 1)
	if len(first) == 0 || first[0].Node == d.self.Node {
		actions.Remove = append(actions.Remove, state.entry)
	}
}

// Reconnect returns the failed members that this router should try to reach again: those to which it is one of the next
// reconnectorsPerMember live members on the ring.
func (d *Detector) Reconnect() []Member {
	var list []Member
	for _, failed := range d.view.Failed() {
		if failed.Status == Left {
			continue
		}
		for _, responsible := range d.view.Successors(failed.Member.Node, reconnectorsPerMember) {
			if responsible.Node == d.self.Node {
				list = append(list, failed.Member)
			}
		}
	}
	return list
}

// reconnectorsPerMember is the number of live members that try to reach a failed one.
const reconnectorsPerMember = 2

// SilentMonitored returns the number of members that this router has monitored for at least the given time without
// hearing from them in it.
func (d *Detector) SilentMonitored(now time.Time, silence time.Duration) int {
	count := 0
	for _, state := range d.monitored {
		if now.Sub(later(state.lastHeard, state.monitoredSince)) >= silence {
			count++
		}
	}
	return count
}
