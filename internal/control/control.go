// Package control holds what operators want of a box: nodes drained, weights, caps, pools and notes, as revisions. It
// owns the history of their edits, what is in force by it, and when an edit ends by itself. What the roster says it only
// hears (Hear), to ask before a pool loses its last ready node; that word is in no record, no snapshot and no answer of
// Want. It must never do I/O, read a clock, start a goroutine or lock: one goroutine drives it, and the same records
// always give the same state.
//
//   - Two phases. Propose, Undo, Confirm and Tick judge, and give the record that has to be made durable; they change
//     nothing. Commit makes it count. A record that is durable counts, answered or not, since the next start commits
//     all that the store holds; one that is not never was. Propose again in between gives the same revision anew.
//   - Keys. An edit writes keys ("drain n1", "cap search"). It is refused with a Conflict where one of them has been
//     written after the revision that it was made against. Edits without a key in common never disturb each other.
//   - Ids. An edit whose id has been made gives the record of then (its revision is no more than Revision) and no second.
//   - Layers. What is in force at a key is the word of one edit, its layer; 0 is the roster's, or the settings'. An edit
//     lies on the layer that it found. An end, by time or by undo, goes back to what lies below, past whatever has run
//     out meanwhile. So a trial on top of a timed drain goes back to the drain, if that has time left, and to its end.
//   - The last ready node of a pool is drained, by an edit or an undo, only with Force. An end by time does not ask, for
//     nobody is there to answer: Record.Empties says which pools it left without one.
//   - Time. See Now: deadlines are in box time, which no jump of the wall clock moves while the machine is up.
//   - Undo of an edit needs its word to be in force at all its keys; that of another record, that it was the last to
//     write them. An undo can be undone.
//
// Work per edit is that of its keys, and log n of the edits that will end by themselves. Nothing walks the history; only
// an end or an undo walks past what has run out below it on the same key since Trim.
package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is all of it. Make it with New or FromSnapshot.
type State struct {
	revision uint64
	floor    uint64 // the history begins after it
	keys     map[Key]slot
	layers   map[uint64]*layer // by the edit's revision
	ids      map[string]uint64 // of edits and undos
	history  []*Record         // in order; none is ever written to
	timers   timers

	last Stamp // of the latest record
	base Stamp // of the record at the floor

	sights map[string]Sight
	ready  map[string]int // per pool: nodes that are ready and that no operator drains
}

// slot is what is in force at a key, and the revision that made it so.
type slot struct{ layer, revision uint64 }

// layer is an edit that has been taken.
type layer struct {
	*Record
	parts     []part // sorted by key, as Sets is
	confirmed uint64 // by which revision
	live      int    // keys at which it is in force
	at        int    // in timers and one, or 0
}

// New is a box of which nobody has wanted anything.
func New() *State {
	return &State{keys: map[Key]slot{}, layers: map[uint64]*layer{}, ids: map[string]uint64{},
		sights: map[string]Sight{}, ready: map[string]int{}}
}

// Revision is that of the latest record that counts; 0: none.
func (s *State) Revision() uint64 { return s.revision }

// find gives the place of a key in an edit.
func (l *layer) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(l.parts, k, func(p part, k Key) int { return cmp.Compare(p.key, k) })
}

// ends is when the layer's word runs out.
func (l *layer) ends() (at time.Duration, ok bool) {
	switch {
	case l.Edit.Trial > 0 && l.confirmed == 0:
		return l.Box + l.Edit.Trial, true
	case l.Edit.For > 0:
		return l.Box + l.Edit.For, true
	}
	return 0, false
}

// word is what a layer says at a key; nil: nothing.
func (s *State) word(k Key, at uint64) Op {
	l := s.layers[at]
	if l == nil {
		return nil
	}
	i, ok := l.find(k)
	if !ok || l.parts[i].op.empty() {
		return nil
	}
	return l.parts[i].op
}

// Commit makes a record count, and gives what of the fleet follows: each node or pool that it touches, whole. A record
// that counts already changes nothing. One that does not fit what went before is an error and changes nothing.
func (s *State) Commit(r Record) ([]Change, error) {
	if r.Revision <= s.revision {
		if had, ok := s.Record(r.Revision); ok && (had.ID != r.ID || had.Kind != r.Kind || had.Of != r.Of) {
			return nil, fmt.Errorf("control: record %d: %s is held, where %s was given", r.Revision, &had, &r)
		}
		return nil, nil
	}
	l, err := s.fits(&r)
	if err != nil {
		return nil, fmt.Errorf("control: record %d: %w", r.Revision, err)
	}
	s.revision, s.last = r.Revision, r.Stamp
	s.history = append(s.history, &r)
	if r.ID != "" {
		s.ids[r.ID] = r.Revision
	}
	if l != nil {
		s.layers[r.Revision] = l
	}
	if r.Kind == Confirmed {
		s.unarm(s.layers[r.Of])
		s.layers[r.Of].confirmed = r.Revision
		s.arm(s.layers[r.Of])
	}
	for _, set := range r.Sets {
		s.put(set, r.Revision)
	}
	return s.changes(r.Sets), nil
}

// put brings a layer into force at a key.
func (s *State) put(set Set, revision uint64) {
	was := s.word(set.Key, set.Was)
	if l := s.layers[set.Was]; l != nil {
		if l.live--; l.live == 0 {
			s.unarm(l)
		}
	}
	s.keys[set.Key] = slot{set.Now, revision}
	if l := s.layers[set.Now]; l != nil {
		if l.live++; l.live == 1 {
			s.arm(l)
		}
	}
	if thing, node := set.Key.Parts(); thing == thingDrain {
		s.drained(node, was != nil, s.word(set.Key, set.Now) != nil)
	}
}

// reads takes a record's edit.
func (l *layer) reads(r *Record) error {
	if r.Edit == nil || r.Edit.ID != r.ID || r.Edit.By != r.By {
		return fmt.Errorf("it has no edit of its id and author")
	}
	if err := r.Edit.check(); err != nil {
		return err
	}
	l.Record, l.parts = r, parts(r.Edit.What)
	if len(l.parts) != len(r.Sets) {
		return fmt.Errorf("%d keys, where its edit has %d", len(r.Sets), len(l.parts))
	}
	for i, set := range r.Sets {
		if set.Now != r.Revision || set.Was >= r.Revision || l.parts[i].key != set.Key {
			return fmt.Errorf("%q: not what its edit says", set.Key)
		}
	}
	return nil
}

// fits says whether a record can be the next, and gives the layer that it makes, if any.
func (s *State) fits(r *Record) (*layer, error) {
	if r.Revision != s.revision+1 {
		return nil, fmt.Errorf("%d is the next", s.revision+1)
	}
	if r.Box < s.last.Box {
		return nil, fmt.Errorf("box time %v, where %v was before", r.Box, s.last.Box)
	}
	if at, had := s.ids[r.ID]; had && r.ID != "" {
		return nil, fmt.Errorf("its id %q is that of %d", r.ID, at)
	}
	var l *layer
	switch r.Kind {
	case Edited:
		l = &layer{}
		if err := l.reads(r); err != nil {
			return nil, err
		}
	case Undone:
		if had, ok := s.Record(r.Of); r.Of > s.floor && (!ok || len(had.Sets) != len(r.Sets)) {
			return nil, fmt.Errorf("it undoes %d, which has not these keys", r.Of)
		}
	case Confirmed, Ended:
		if s.layers[r.Of] == nil {
			return nil, fmt.Errorf("it is of %d, which is no edit", r.Of)
		}
	case Clock:
	default:
		return nil, fmt.Errorf("kind %q is not known", r.Kind)
	}
	if (r.Kind == Confirmed || r.Kind == Clock) && len(r.Sets) > 0 {
		return nil, fmt.Errorf("%s sets nothing", r.Kind)
	}
	for i, set := range r.Sets {
		if i > 0 && r.Sets[i-1].Key >= set.Key {
			return nil, fmt.Errorf("%q: keys are in order, each once", set.Key)
		}
		if had := s.keys[set.Key].layer; had != set.Was {
			return nil, fmt.Errorf("%q: %d is in force, where %d was", set.Key, had, set.Was)
		}
		switch now := s.layers[set.Now]; {
		case l != nil: // reads has looked
		case now != nil:
			if _, ok := now.find(set.Key); !ok {
				return nil, fmt.Errorf("%q: %d says nothing of it", set.Key, set.Now)
			}
		case set.Now != 0:
			return nil, fmt.Errorf("%q: %d is no edit", set.Key, set.Now)
		}
	}
	return l, nil
}
