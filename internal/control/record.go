package control

import (
	"fmt"
	"time"
)

// Kind of a record.
type Kind string

const (
	Edited    Kind = "edit"
	Undone    Kind = "undo"    // Of is the revision that it takes back
	Confirmed Kind = "confirm" // Of is the edit that stays
	Ended     Kind = "end"     // Of is the edit that ran out
	Clock     Kind = "clock"   // the wall clock jumped, or the machine started anew, while edits wait for their end
)

// Record is one revision, as it is made durable. None is written to once it is made.
type Record struct {
	Revision uint64 `json:"revision"`
	Kind     Kind   `json:"kind"`
	ID       string `json:"id,omitempty"`
	By       string `json:"by,omitempty"` // "": the box itself
	Of       uint64 `json:"of,omitempty"`
	Edit     *Edit  `json:"edit,omitempty"`
	Stamp
	Sets    []Set    `json:"sets,omitempty"`    // in the order of their keys
	Empties []string `json:"empties,omitempty"` // pools that lost their last ready node by it
}

// Set is the move of a key from one layer to another: revisions of edits, or 0 for the roster's or the settings' word.
type Set struct {
	Key Key    `json:"key"`
	Was uint64 `json:"was"`
	Now uint64 `json:"now"`
}

func (r *Record) String() string {
	by := r.By
	if by == "" {
		by = "the box"
	}
	switch r.Kind {
	case Edited:
		s := fmt.Sprintf("%d %s: %s", r.Revision, by, r.Edit.What)
		if r.Edit.For > 0 {
			s += fmt.Sprintf(" for %v", r.Edit.For)
		}
		if r.Edit.Trial > 0 {
			s += fmt.Sprintf(" on trial for %v", r.Edit.Trial)
		}
		return s
	case Clock:
		return fmt.Sprintf("%d %s: clock %s", r.Revision, by, r.Wall.Format(time.RFC3339))
	}
	return fmt.Sprintf("%d %s: %s of %d", r.Revision, by, r.Kind, r.Of)
}

// Record gives a revision, if the history still has it.
func (s *State) Record(revision uint64) (Record, bool) {
	if i := s.place(revision); i < len(s.history) && s.history[i].Revision == revision {
		return *s.history[i], true
	}
	return Record{}, false
}

// place of the first record of that revision or a later one. Revisions have no gaps.
func (s *State) place(revision uint64) int {
	if len(s.history) == 0 || revision <= s.history[0].Revision {
		return 0
	}
	return int(min(revision-s.history[0].Revision, uint64(len(s.history))))
}

// History gives the records from a revision on, the first first.
func (s *State) History(from uint64) []Record {
	rest := s.history[s.place(from):]
	out := make([]Record, len(rest))
	for i, r := range rest {
		out[i] = *r
	}
	return out
}

// made is what an id has brought about.
func (s *State) made(id string) (Record, bool) {
	at, ok := s.ids[id]
	if !ok {
		return Record{}, false
	}
	if l := s.layers[at]; l != nil {
		return *l.Record, true
	}
	return s.Record(at)
}

// next is the record that would follow.
func (s *State) next(now Now, kind Kind, id, by string, of uint64) Record {
	return Record{Revision: s.revision + 1, Kind: kind, ID: id, By: by, Of: of, Stamp: s.stamp(now)}
}
