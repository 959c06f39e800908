package control

import (
	"encoding/json"
	"fmt"
)

// Schema is the version of the snapshot's form.
const Schema = 1

// snapshot is the JSON of a state.
type snapshot struct {
	Schema  int       `json:"schema"`
	Records []*Record `json:"records"`
}

// Newer refuses a snapshot of a later version: what this one does not know of would be lost.
type Newer struct{ Schema int }

func (n *Newer) Error() string {
	return fmt.Sprintf("control: snapshot of schema %d, written by a newer version: this one reads up to %d", n.Schema, Schema)
}

// Snapshot is the whole state. The roster's word is no part of it.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Schema, s.history})
}

// FromSnapshot makes a state of a snapshot. What does not fit is an error with its place, and no state.
func FromSnapshot(b []byte) (*State, error) {
	var head struct{ Schema int }
	if err := json.Unmarshal(b, &head); err != nil {
		return nil, fmt.Errorf("control: snapshot: %w", err)
	}
	if head.Schema > Schema {
		return nil, &Newer{head.Schema}
	}
	var snap snapshot
	if err := strictly(b, &snap); err != nil {
		return nil, fmt.Errorf("control: snapshot: %w", err)
	}
	s := New()
	for _, r := range snap.Records {
		if _, err := s.Commit(*r); err != nil {
			return nil, err
		}
	}
	return s, nil
}
