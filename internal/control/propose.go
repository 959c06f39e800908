package control

import (
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Conflict refuses a request on a key that was written after the revision that the request was made against. Theirs is
// the latest record that wrote it, or the edit in force if the history no longer has that record. Now is the setting in
// force; nil if operators have none.
type Conflict struct {
	Key    Key    `json:"key"`
	Theirs Record `json:"theirs"`
	Now    *Want  `json:"now,omitempty"`
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("%s has been changed since: %s", c.Key, &c.Theirs)
}

// Why is the reason code of a Refusal.
type Why string

const (
	Invalid Why = "invalid" // the request cannot be stored or displayed, or does not apply
	Last    Why = "last"    // Pool would lose its last ready node; Force allows it
	Unknown Why = "unknown" // no such revision or id, or it belongs to another box
	Old     Why = "old"     // made against a revision that Trim has removed
	Late    Why = "late"    // the trial, or what an undo would bring back, has expired
	IDUsed  Why = "id-used" // the id belongs to another change
)

// Refusal refuses a request for any reason other than a Conflict. Pool is set for Last alone.
type Refusal struct {
	Why    Why    `json:"why"`
	Reason string `json:"reason"`
	Pool   string `json:"pool,omitempty"`
}

func (r *Refusal) Error() string { return r.Reason }

func newRefusal(why Why, format string, args ...any) *Refusal {
	return &Refusal{Why: why, Reason: fmt.Sprintf(format, args...)}
}

// Propose validates an edit. If accepted, it returns the record to make durable and to Commit; a record whose revision is
// already committed is from an earlier call with the same id, and needs only an answer. If refused, the error is a
// *Conflict or a *Refusal.
func (s *State) Propose(now Now, e Edit) (Record, error) {
	if err := e.check(); err != nil {
		return Record{}, newRefusal(Invalid, "%v", err)
	}
	ops := sortedKeyOps(e.What)
	if existing, ok := s.recordByID(e.ID); ok {
		if existing.Kind != Edited || existing.By != e.By || !reflect.DeepEqual(existing.Edit.What, e.What) {
			return Record{}, newRefusal(IDUsed, "id %q is that of another change: %s", e.ID, &existing)
		}
		return existing, nil
	}
	if e.Against > 0 && e.Against < s.floor {
		for _, p := range ops {
			if _, ok := s.slots[p.key]; !ok {
				return Record{}, newRefusal(Old, "made against revision %d, where what the box remembers begins after %d: "+
					"%s may have been changed since. Look again", e.Against, s.floor, p.key)
			}
		}
	}
	if e.Against > s.revision {
		return Record{}, newRefusal(Unknown, "made against revision %d, where the box is at %d: it was another box, or its "+
			"state has been put aside. Look again", e.Against, s.revision)
	}
	r := s.nextRecord(now, Edited, e.ID, e.By, 0)
	r.Edit = &e
	for _, p := range ops {
		current := s.slots[p.key]
		if e.Against > 0 && current.revision > e.Against {
			return Record{}, s.conflict(p.key)
		}
		r.Sets = append(r.Sets, Set{p.key, current.layer, r.Revision})
	}
	return s.checkLastReady(r, ops, e.Force)
}

// conflict returns the Conflict with the latest record that wrote a key.
func (s *State) conflict(k Key) *Conflict {
	c := &Conflict{Key: k}
	at, ok := s.slots[k], false
	if c.Theirs, ok = s.Record(at.revision); !ok { // trimmed from the history
		c.Theirs = Record{Revision: at.revision}
		if l := s.layers[at.layer]; l != nil {
			c.Theirs = *l.Record
		}
	}
	if w, ok := s.wantFor(k); ok {
		c.Now = &w
	}
	return c
}

// checkLastReady sets r.Empties, and refuses a record that takes the last ready node of a pool unless force is set.
func (s *State) checkLastReady(r Record, ops []keyOp, force bool) (Record, error) {
	r.Empties = s.emptiedPools(&r, ops, map[string]int{})
	if len(r.Empties) > 0 && !force {
		refusal := newRefusal(Last, "pool %s would be left without a ready node", r.Empties[0])
		refusal.Pool = r.Empties[0]
		return Record{}, refusal
	}
	return r, nil
}

// Back is a request to undo a revision.
type Back struct {
	ID       string `json:"id"`
	By       string `json:"by"`
	Revision uint64 `json:"revision"`
	Force    bool   `json:"force,omitempty"`
}

// Undo validates an undo, as Propose does an edit. If later changes rest on the revision, the error is a Conflict with
// the latest of them.
func (s *State) Undo(now Now, req Back) (Record, error) {
	if err := checkName("id", req.ID); err != nil {
		return Record{}, newRefusal(Invalid, "%v", err)
	}
	if err := checkName("by", req.By); err != nil {
		return Record{}, newRefusal(Invalid, "%v", err)
	}
	if existing, ok := s.recordByID(req.ID); ok {
		if existing.Kind != Undone || existing.By != req.By || existing.Of != req.Revision {
			return Record{}, newRefusal(IDUsed, "id %q is that of another change: %s", req.ID, &existing)
		}
		return existing, nil
	}
	of, ok := s.Record(req.Revision)
	if !ok {
		return Record{}, newRefusal(Unknown, "revision %d is not in the history", req.Revision)
	}
	if len(of.Sets) == 0 {
		return Record{}, newRefusal(Invalid, "there is nothing to undo in %s", &of)
	}
	r := s.nextRecord(now, Undone, req.ID, req.By, req.Revision)
	for _, set := range of.Sets {
		at := s.slots[set.Key]
		if of.Kind == Edited && at.layer != req.Revision || of.Kind != Edited && at.revision != req.Revision {
			return Record{}, s.conflict(set.Key)
		}
		r.Sets = append(r.Sets, Set{set.Key, at.layer, s.unexpiredLayer(set.Key, set.Was, r.Box)})
	}
	if len(r.Sets) > 0 && !slices.ContainsFunc(r.Sets, func(set Set) bool { return set.Was != set.Now }) {
		return Record{}, newRefusal(Late, "what it would bring back has run out: %s", &of)
	}
	return s.checkLastReady(r, nil, req.Force)
}

// unexpiredLayer returns the first layer at a key, from the given one downwards, that has not expired at a box time.
func (s *State) unexpiredLayer(k Key, at uint64, box time.Duration) uint64 {
	for l := s.layers[at]; l != nil; l = s.layers[at] {
		if end, ok := l.deadline(); !ok || end > box {
			break
		}
		i, _ := l.find(k)
		at = l.Sets[i].Was
	}
	return at
}

// Confirm validates the confirmation of a trial, by the id of its edit. A second confirmation returns the first record. A
// trial past its deadline counts as expired even if Tick has not ended it yet.
func (s *State) Confirm(now Now, id, by string) (Record, error) {
	if err := checkName("by", by); err != nil {
		return Record{}, newRefusal(Invalid, "%v", err)
	}
	l := s.layers[s.revisionByID[id]]
	if l == nil {
		return Record{}, newRefusal(Unknown, "no edit has the id %q", id)
	}
	if l.Edit.Trial == 0 {
		return Record{}, newRefusal(Invalid, "not on trial: %s", l)
	}
	if l.confirmedBy > 0 {
		existing, ok := s.Record(l.confirmedBy)
		if !ok { // trimmed from the history
			existing = Record{Revision: l.confirmedBy, Kind: Confirmed, Of: l.Revision}
		}
		return existing, nil
	}
	r := s.nextRecord(now, Confirmed, "", by, l.Revision)
	if end, _ := l.deadline(); end <= r.Box {
		return Record{}, newRefusal(Late, "the trial has run out: %s", l)
	}
	for _, set := range l.Sets {
		if s.inForceOrPending(set.Key, l.Revision) {
			return r, nil
		}
	}
	return Record{}, s.conflict(l.Sets[0].Key)
}

// inForceOrPending reports whether a layer is in force at a key, or will be once the timed layers on top have expired.
func (s *State) inForceOrPending(k Key, target uint64) bool {
	at := s.slots[k].layer
	for l := s.layers[at]; l != nil && at != target; l = s.layers[at] {
		if _, ok := l.deadline(); !ok {
			return false
		}
		i, _ := l.find(k)
		at = l.Sets[i].Was
	}
	return at == target
}
