package control

import (
	"fmt"
	"time"
)

// Kind is the kind of a record.
type Kind string

const (
	Edited    Kind = "edit"
	Undone    Kind = "undo"    // Of is the revision that it undoes
	Confirmed Kind = "confirm" // Of is the edit whose trial is confirmed
	Ended     Kind = "end"     // Of is the edit that expired
	Clock     Kind = "clock"   // the wall clock jumped, or the machine rebooted, while edits wait to expire
)

// Record is one revision as it is stored. It is immutable.
type Record struct {
	Revision uint64 `json:"revision"`
	Kind     Kind   `json:"kind"`
	ID       string `json:"id,omitempty"`
	By       string `json:"by,omitempty"` // "": the box itself
	Of       uint64 `json:"of,omitempty"`
	Edit     *Edit  `json:"edit,omitempty"`
	Stamp
	Sets    []Set    `json:"sets,omitempty"`    // sorted by key
	Empties []string `json:"empties,omitempty"` // pools that it left without a ready node
}

// Set moves a key from one layer to another: revisions of edits, or 0 for the roster or the settings.
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

// Record returns the record of a revision, if the history still has it.
func (s *State) Record(revision uint64) (Record, bool) {
	if i := s.historyIndex(revision); i < len(s.history) && s.history[i].Revision == revision {
		return *s.history[i], true
	}
	return Record{}, false
}

// historyIndex returns the index of the first record of that revision or a later one. Revisions have no gaps.
func (s *State) historyIndex(revision uint64) int {
	if len(s.history) == 0 || revision <= s.history[0].Revision {
		return 0
	}
	return int(min(revision-s.history[0].Revision, uint64(len(s.history))))
}

// History returns the records from a revision on, oldest first.
func (s *State) History(from uint64) []Record {
	rest := s.history[s.historyIndex(from):]
	out := make([]Record, len(rest))
	for i, r := range rest {
		out[i] = *r
	}
	return out
}

// recordByID returns the committed record of an id.
func (s *State) recordByID(id string) (Record, bool) {
	at, ok := s.revisionByID[id]
	if !ok {
		return Record{}, false
	}
	if l := s.layers[at]; l != nil {
		return *l.Record, true
	}
	return s.Record(at)
}

// nextRecord returns a record of the next revision, without keys.
func (s *State) nextRecord(now Now, kind Kind, id, by string, of uint64) Record {
	return Record{Revision: s.revision + 1, Kind: kind, ID: id, By: by, Of: of, Stamp: s.stamp(now)}
}
