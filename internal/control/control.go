// Package control holds the operators' settings of a box (drained nodes, weights, caps, pools and notes) as a sequence of
// revisions. It owns the history of edits, decides which edit is in force for each setting, and when an edit expires. It
// must never do I/O, read a clock, start a goroutine or take a lock: one goroutine drives it, and the same records always
// give the same state.
//
//   - Two phases. Propose, Undo, Confirm and Tick validate a request and return the record to make durable; they change
//     nothing. Commit applies it. A durable record counts whether or not the client was answered, since the next start
//     commits everything in the store; a record that is not durable never happened. A second Propose before the Commit
//     returns the same revision again.
//   - Keys. An edit writes keys ("drain n1", "cap search"). It is refused with a Conflict if one of them was written after
//     the revision that the edit was made against. Edits without a common key never affect each other.
//   - Idempotency. An edit whose id has already been committed returns the original record, whose revision is not above
//     Revision, and creates no second one.
//   - Layers. The value in force at a key comes from one edit, its layer; layer 0 stands for the roster or the settings.
//     An edit lies on the layer that was in force when it was made. When it expires or is undone, the key returns to the
//     layer below, skipping layers that have expired meanwhile. So a trial on top of a timed drain returns to the drain,
//     if that has time left, and keeps the drain's deadline.
//   - Last ready node. An edit or an undo drains the last ready node of a pool only with Force. An expiry does not ask,
//     because nobody is there to answer; Record.Empties lists the pools that it left without a ready node. Hear supplies
//     the state of the nodes for this check alone: it is in no record, no snapshot and no result of Want.
//   - Time. Deadlines are in box time, which no jump of the wall clock moves while the machine is up. See Now.
//   - Undo. An edit can be undone while it is in force at all its keys; any other record, while it was the last to write
//     them. An undo can be undone.
//
// The cost of an edit is linear in its keys and logarithmic in the number of edits that will expire. It does not depend
// on the length of the history, except that an expiry or an undo walks the layers below it on the same key that have
// expired since the last Trim.
package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the history of edits and what is in force by it. Create one with New or FromSnapshot.
type State struct {
	revision     uint64
	floor        uint64 // the last revision that Trim removed; the history begins after it
	slots        map[Key]slot
	layers       map[uint64]*layer // by revision of the edit
	revisionByID map[string]uint64 // for edits and undos
	history      []*Record         // oldest first; records are immutable
	timers       timerHeap

	lastStamp  Stamp // of the latest record
	floorStamp Stamp // of the record at the floor

	statuses   map[string]Sight
	readyCount map[string]int // per pool: ready nodes that no operator has drained
}

// slot is the layer in force at a key, and the revision that put it in force.
type slot struct{ layer, revision uint64 }

// layer is a committed edit.
type layer struct {
	*Record
	keyOps      []keyOp // sorted by key, parallel to Sets
	confirmedBy uint64  // revision of the confirmation of a trial; 0: none
	activeKeys  int     // number of keys at which it is in force
	timerIndex  int     // one-based index in State.timers; 0: not in it
}

// New returns the state of a box before the first edit.
func New() *State {
	return &State{slots: map[Key]slot{}, layers: map[uint64]*layer{}, revisionByID: map[string]uint64{},
		statuses: map[string]Sight{}, readyCount: map[string]int{}}
}

// Revision returns the revision of the latest committed record; 0: none.
func (s *State) Revision() uint64 { return s.revision }

// find returns the index of a key in keyOps.
func (l *layer) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(l.keyOps, k, func(p keyOp, k Key) int { return cmp.Compare(p.key, k) })
}

// deadline returns the box time at which the layer expires; ok is false if it does not.
func (l *layer) deadline() (at time.Duration, ok bool) {
	switch {
	case l.Edit.Trial > 0 && l.confirmedBy == 0:
		return l.Box + l.Edit.Trial, true
	case l.Edit.For > 0:
		return l.Box + l.Edit.For, true
	}
	return 0, false
}

// opAt returns the operation of a layer at a key; nil if the layer is 0 or resets the key.
func (s *State) opAt(k Key, revision uint64) Op {
	l := s.layers[revision]
	if l == nil {
		return nil
	}
	i, ok := l.find(k)
	if !ok || l.keyOps[i].op.resets() {
		return nil
	}
	return l.keyOps[i].op
}

// Commit applies a durable record. It returns the complete settings of each node and pool that the record touches. A
// record that is already committed changes nothing. A record that does not follow from the state is an error and changes
// nothing.
func (s *State) Commit(r Record) ([]Change, error) {
	if r.Revision <= s.revision {
		if existing, ok := s.Record(r.Revision); ok && (existing.ID != r.ID || existing.Kind != r.Kind || existing.Of != r.Of) {
			return nil, fmt.Errorf("control: record %d: already committed as %s, not %s", r.Revision, &existing, &r)
		}
		return nil, nil
	}
	l, err := s.validate(&r)
	if err != nil {
		return nil, fmt.Errorf("control: record %d: %w", r.Revision, err)
	}
	s.revision, s.lastStamp = r.Revision, r.Stamp
	s.history = append(s.history, &r)
	if r.ID != "" {
		s.revisionByID[r.ID] = r.Revision
	}
	if l != nil {
		s.layers[r.Revision] = l
	}
	if r.Kind == Confirmed {
		s.unarm(s.layers[r.Of])
		s.layers[r.Of].confirmedBy = r.Revision
		s.arm(s.layers[r.Of])
	}
	for _, set := range r.Sets {
		s.apply(set, r.Revision)
	}
	return s.changes(r.Sets), nil
}

// apply puts a layer in force at a key.
func (s *State) apply(set Set, revision uint64) {
	previous := s.opAt(set.Key, set.Was)
	if l := s.layers[set.Was]; l != nil {
		if l.activeKeys--; l.activeKeys == 0 {
			s.unarm(l)
		}
	}
	s.slots[set.Key] = slot{set.Now, revision}
	if l := s.layers[set.Now]; l != nil {
		if l.activeKeys++; l.activeKeys == 1 {
			s.arm(l)
		}
	}
	if keyType, node := set.Key.Parts(); keyType == keyTypeDrain {
		s.drainChanged(node, previous != nil, s.opAt(set.Key, set.Now) != nil)
	}
}

// setRecord fills the layer from the record of an edit, once the record matches its edit.
func (l *layer) setRecord(r *Record) error {
	if r.Edit == nil || r.Edit.ID != r.ID || r.Edit.By != r.By {
		return fmt.Errorf("the edit is missing or has another id or author")
	}
	if err := r.Edit.check(); err != nil {
		return err
	}
	l.Record, l.keyOps = r, sortedKeyOps(r.Edit.What)
	if len(l.keyOps) != len(r.Sets) {
		return fmt.Errorf("sets %d keys, but its edit has %d", len(r.Sets), len(l.keyOps))
	}
	for i, set := range r.Sets {
		if set.Now != r.Revision || set.Was >= r.Revision || l.keyOps[i].key != set.Key {
			return fmt.Errorf("%q: does not match the edit", set.Key)
		}
	}
	return nil
}

// validate checks that a record can be the next one, and returns the layer of an edit; nil for other kinds.
func (s *State) validate(r *Record) (*layer, error) {
	if r.Revision != s.revision+1 {
		return nil, fmt.Errorf("expected revision %d", s.revision+1)
	}
	if r.Box < s.lastStamp.Box {
		return nil, fmt.Errorf("box time %v is before %v of the previous record", r.Box, s.lastStamp.Box)
	}
	if at, exists := s.revisionByID[r.ID]; exists && r.ID != "" {
		return nil, fmt.Errorf("id %q is already used by revision %d", r.ID, at)
	}
	var l *layer
	switch r.Kind {
	case Edited:
		l = &layer{}
		if err := l.setRecord(r); err != nil {
			return nil, err
		}
	case Undone:
		if undone, ok := s.Record(r.Of); r.Of > s.floor && (!ok || len(undone.Sets) != len(r.Sets)) {
			return nil, fmt.Errorf("undone revision %d is missing or has another number of keys", r.Of)
		}
	case Confirmed, Ended:
		if s.layers[r.Of] == nil {
			return nil, fmt.Errorf("revision %d is not an edit", r.Of)
		}
	case Clock:
	default:
		return nil, fmt.Errorf("unknown kind %q", r.Kind)
	}
	if (r.Kind == Confirmed || r.Kind == Clock) && len(r.Sets) > 0 {
		return nil, fmt.Errorf("kind %s must set no keys", r.Kind)
	}
	for i, set := range r.Sets {
		if i > 0 && r.Sets[i-1].Key >= set.Key {
			return nil, fmt.Errorf("%q: keys must be sorted and unique", set.Key)
		}
		if current := s.slots[set.Key].layer; current != set.Was {
			return nil, fmt.Errorf("%q: layer %d is in force, not layer %d", set.Key, current, set.Was)
		}
		switch next := s.layers[set.Now]; {
		case l != nil: // checked by setRecord
		case next != nil:
			if _, ok := next.find(set.Key); !ok {
				return nil, fmt.Errorf("%q: edit %d does not write this key", set.Key, set.Now)
			}
		case set.Now != 0:
			return nil, fmt.Errorf("%q: layer %d is not an edit", set.Key, set.Now)
		}
	}
	return l, nil
}
