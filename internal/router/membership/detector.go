package membership

import "time"

// MonitorCount is the number of members that monitor each member.
const MonitorCount = 3

// memberState is what this router knows of another member.
type memberState struct {
	ringKey ringKey
	entry   Entry
	// lastHeard is when the member was last heard from or reported as alive.
	lastHeard time.Time
	// isMonitored says that this router is one of the member's monitors.
	isMonitored bool
	// monitoredSince is when it became one.
	monitoredSince time.Time
	// lastProbed is when a probe of the member was last requested.
	lastProbed time.Time
	// suspectedAt is when this router learned of the suspicion.
	suspectedAt time.Time
	// suspectedBy is the node that published the suspicion first, empty once a second one has published it.
	suspectedBy string
	// failureDelayedUntil is when a failure that a non-live member published takes effect; zero if none is delayed.
	failureDelayedUntil time.Time
}

// isLive reports whether the member counts as alive: it has not failed or left, or its failure is delayed.
func (s *memberState) isLive() bool {
	return s.entry.Status < Failed || !s.failureDelayedUntil.IsZero()
}

// Detector is one router's failure detector. It is not safe for concurrent use.
type Detector struct {
	self            Member
	members         map[string]*memberState
	byName          []*memberState          // all members, sorted by node name
	byRing          []*memberState          // all members, sorted by ring key
	monitored       []*memberState          // the members that this router monitors
	notAlive        map[string]*memberState // the members with a status other than Alive
	view            *View
	viewOutdated    bool
	lastTick        time.Time
	unreliableUntil time.Time // own observations are unreliable, and no suspicion is published, until then
	hasLeft         bool      // this router has left and no longer refutes
}

// Actions is what the caller has to do after a step.
type Actions struct {
	// Publish lists the entries to disseminate to the fleet.
	Publish []Entry
	// Probe lists the members to probe, directly and indirectly through other members.
	Probe []Member
	// Remove lists the entries to remove from the fleet's records.
	Remove []Entry
}

// NewDetector returns a detector that knows only its own member.
func NewDetector(self Member, now time.Time) *Detector {
	d := &Detector{
		self:         self,
		members:      make(map[string]*memberState),
		notAlive:     make(map[string]*memberState),
		lastTick:     now,
		viewOutdated: true,
	}
	d.refresh(now)
	return d
}

// StartTicking sets the time from which the delay of the first tick is measured.
func (d *Detector) StartTicking(now time.Time) { d.lastTick = now }

// Self returns this router's own entry, to be published at the start.
func (d *Detector) Self() Entry { return Entry{Member: d.self, Status: Alive, By: d.self.Node} }

// UpdateSelf changes this router's own member, increments its incarnation and returns the entry to publish.
func (d *Detector) UpdateSelf(change func(*Member)) Entry {
	incarnation := d.self.Incarnation
	change(&d.self)
	d.self.Incarnation = incarnation + 1
	d.viewOutdated = true
	return d.Self()
}

// Leave returns the entry with which this router announces that it has left. From then on it refutes nothing.
func (d *Detector) Leave() Entry {
	d.hasLeft = true
	return Entry{Member: d.self, Status: Left, By: d.self.Node}
}

// RecordAlive records that the member was alive in the given incarnation. It returns true if the member should be told
// its entry: its status is not Alive, or the fleet knows a newer incarnation.
func (d *Detector) RecordAlive(node string, incarnation uint64, now time.Time) (shouldInform bool) {
	state := d.members[node]
	if state == nil || incarnation < state.entry.Member.Incarnation {
		return state != nil
	}
	state.lastHeard = now
	return state.entry.Status != Alive && incarnation == state.entry.Member.Incarnation
}

// Knows reports whether the member is known, in any status. A router knows itself.
func (d *Detector) Knows(node string) bool { return node == d.self.Node || d.members[node] != nil }
