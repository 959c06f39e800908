package control

import (
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Conflict refuses what touches a thing that has been touched since. Theirs is the latest that did, or
// the edit in force where the history goes back less far; Now is what is in
// force by it, nil: nothing of operators.
type Conflict struct {
	Key    Key    `json:"key"`
	Theirs Record `json:"theirs"`
	Now    *Want  `json:"now,omitempty"`
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("%s has been changed since: %s", c.Key, &c.Theirs)
}

// Why a Refusal.
type Why string

const (
	Invalid Why = "invalid" // the edit cannot be kept or shown
	Last    Why = "last"    // Pool would lose its last ready node; Force does it
	Unknown Why = "unknown" // no such revision or id, or one of another box
	Old     Why = "old"     // made against a revision that the history has forgotten
	Late    Why = "late"    // the trial has run out, or is over
	IDUsed  Why = "id-used" // the id belongs to something else
)

// Refusal refuses for any reason but somebody else's edit.
type Refusal struct {
	Why    Why    `json:"why"`
	Reason string `json:"reason"`
	Pool   string `json:"pool,omitempty"`
}

func (r *Refusal) Error() string { return r.Reason }

func refuse(why Why, format string, args ...any) *Refusal {
	return &Refusal{Why: why, Reason: fmt.Sprintf(format, args...)}
}

// Propose judges an edit. Taken, it gives the record to make durable and to Commit; one whose Revision counts already was
// made before, and there is nothing left to do but to answer. Refused, the error is a *Conflict or a *Refusal.
func (s *State) Propose(now Now, e Edit) (Record, error) {
	if err := e.check(); err != nil {
		return Record{}, refuse(Invalid, "%v", err)
	}
	own := parts(e.What)
	if had, ok := s.made(e.ID); ok {
		if had.Kind != Edited || had.By != e.By || !reflect.DeepEqual(had.Edit.What, e.What) {
			return Record{}, refuse(IDUsed, "id %q is that of another change: %s", e.ID, &had)
		}
		return had, nil
	}
	if e.Against > 0 && e.Against < s.floor {
		for _, p := range own {
			if _, ok := s.keys[p.key]; !ok {
				return Record{}, refuse(Old, "made against revision %d, where what the box remembers begins after %d: "+
					"%s may have been changed since. Look again", e.Against, s.floor, p.key)
			}
		}
	}
	if e.Against > s.revision {
		return Record{}, refuse(Unknown, "made against revision %d, where the box is at %d: it was another box, or its "+
			"state has been put aside. Look again", e.Against, s.revision)
	}
	r := s.next(now, Edited, e.ID, e.By, 0)
	r.Edit = &e
	for _, p := range own {
		at := s.keys[p.key]
		if e.Against > 0 && at.revision > e.Against {
			return Record{}, s.conflict(p.key)
		}
		r.Sets = append(r.Sets, Set{p.key, at.layer, r.Revision})
	}
	return s.asked(r, own, e.Force)
}

// conflict tells of the latest that touched a key.
func (s *State) conflict(k Key) *Conflict {
	c := &Conflict{Key: k}
	at, ok := s.keys[k], false
	if c.Theirs, ok = s.Record(at.revision); !ok { // the history goes back less far
		c.Theirs = Record{Revision: at.revision}
		if l := s.layers[at.layer]; l != nil {
			c.Theirs = *l.Record
		}
	}
	if w, ok := s.want(k); ok {
		c.Now = &w
	}
	return c
}

// asked refuses what takes the last ready node of a pool, unless it is forced.
func (s *State) asked(r Record, own []part, force bool) (Record, error) {
	r.Empties = s.empties(&r, own, map[string]int{})
	if len(r.Empties) > 0 && !force {
		no := refuse(Last, "pool %s would be left without a ready node", r.Empties[0])
		no.Pool = r.Empties[0]
		return Record{}, no
	}
	return r, nil
}

// Back asks for the undo of a revision.
type Back struct {
	ID       string `json:"id"`
	By       string `json:"by"`
	Revision uint64 `json:"revision"`
	Force    bool   `json:"force,omitempty"`
}

// Undo judges an undo, as Propose does an edit. What later changes rest on is a Conflict with the latest of them.
func (s *State) Undo(now Now, b Back) (Record, error) {
	if err := checkName("id", b.ID); err != nil {
		return Record{}, refuse(Invalid, "%v", err)
	}
	if err := checkName("by", b.By); err != nil {
		return Record{}, refuse(Invalid, "%v", err)
	}
	if had, ok := s.made(b.ID); ok {
		if had.Kind != Undone || had.By != b.By || had.Of != b.Revision {
			return Record{}, refuse(IDUsed, "id %q is that of another change: %s", b.ID, &had)
		}
		return had, nil
	}
	of, ok := s.Record(b.Revision)
	if !ok {
		return Record{}, refuse(Unknown, "revision %d is not in the history", b.Revision)
	}
	if len(of.Sets) == 0 {
		return Record{}, refuse(Invalid, "there is nothing to undo in %s", &of)
	}
	r := s.next(now, Undone, b.ID, b.By, b.Revision)
	for _, set := range of.Sets {
		at := s.keys[set.Key]
		if of.Kind == Edited && at.layer != b.Revision || of.Kind != Edited && at.revision != b.Revision {
			return Record{}, s.conflict(set.Key)
		}
		r.Sets = append(r.Sets, Set{set.Key, at.layer, s.alive(set.Key, set.Was, r.Box)})
	}
	if len(r.Sets) > 0 && !slices.ContainsFunc(r.Sets, func(set Set) bool { return set.Was != set.Now }) {
		return Record{}, refuse(Late, "what it would bring back has run out: %s", &of)
	}
	return s.asked(r, nil, b.Force)
}

// alive gives the first layer from one downwards that has not run out.
func (s *State) alive(k Key, at uint64, box time.Duration) uint64 {
	for l := s.layers[at]; l != nil; l = s.layers[at] {
		if end, ok := l.ends(); !ok || end > box {
			break
		}
		i, _ := l.find(k)
		at = l.Sets[i].Was
	}
	return at
}

// Confirm judges that the edit of that id, on trial, stays. Twice is once. A trial whose time is over has run out, even
// if nothing has been done about it yet.
func (s *State) Confirm(now Now, id, by string) (Record, error) {
	if err := checkName("by", by); err != nil {
		return Record{}, refuse(Invalid, "%v", err)
	}
	l := s.layers[s.ids[id]]
	if l == nil {
		return Record{}, refuse(Unknown, "no edit has the id %q", id)
	}
	if l.Edit.Trial == 0 {
		return Record{}, refuse(Invalid, "not on trial: %s", l)
	}
	if l.confirmed > 0 {
		had, ok := s.Record(l.confirmed)
		if !ok { // the history goes back less far
			had = Record{Revision: l.confirmed, Kind: Confirmed, Of: l.Revision}
		}
		return had, nil
	}
	r := s.next(now, Confirmed, "", by, l.Revision)
	if end, _ := l.ends(); end <= r.Box {
		return Record{}, refuse(Late, "the trial has run out: %s", l)
	}
	for _, set := range l.Sets {
		if s.reaches(set.Key, l.Revision) {
			return r, nil
		}
	}
	return Record{}, s.conflict(l.Sets[0].Key)
}

// reaches says whether a layer is in force at a key, or will be again once the timed ones on top of it have run out.
func (s *State) reaches(k Key, want uint64) bool {
	at := s.keys[k].layer
	for l := s.layers[at]; l != nil && at != want; l = s.layers[at] {
		if _, ok := l.ends(); !ok {
			return false
		}
		i, _ := l.find(k)
		at = l.Sets[i].Was
	}
	return at == want
}
