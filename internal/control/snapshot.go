package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Schema is the version of the snapshot's form: 1 had the whole history; 2 begins at a floor, and has what was in force.
const Schema = 2

// snapshot is the JSON of a state: that at the floor, and the records since.
type snapshot struct {
	Schema  int       `json:"schema"`
	Floor   uint64    `json:"floor"`
	At      Stamp     `json:"at"`
	Edits   []*Record `json:"edits"` // up to the floor, those that something may still go back to
	Stays   []stay    `json:"stays"` // trials among them that were confirmed
	Force   []force   `json:"in_force"`
	Records []*Record `json:"records"`
}

type stay struct {
	Revision uint64 `json:"revision"`
	By       uint64 `json:"by"` // the revision that confirmed it
}

type force struct {
	Key   Key    `json:"key"`
	Layer uint64 `json:"layer"`
	Since uint64 `json:"since"`
}

// older holds, for each earlier schema, what makes the next of it.
var older = map[int]func(map[string]json.RawMessage){
	1: func(snap map[string]json.RawMessage) { // the whole history: nothing lies before it
		for k, v := range map[string]string{"schema": "2", "floor": "0", "at": `{"wall":"0001-01-01T00:00:00Z"}`,
			"edits": "[]", "stays": "[]", "in_force": "[]"} {
			snap[k] = json.RawMessage(v)
		}
	},
}

// Newer refuses a snapshot of a later version: what this one does not know of would be lost.
type Newer struct{ Schema int }

func (n *Newer) Error() string {
	return fmt.Sprintf("control: snapshot of schema %d, written by a newer version: this one reads up to %d", n.Schema, Schema)
}

// Snapshot is the whole state. The roster's word is no part of it.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Schema: Schema, Floor: s.floor, At: s.base, Records: s.history}
	for _, at := range slices.Sorted(maps.Keys(s.layers)) {
		l := s.layers[at]
		if at <= s.floor {
			snap.Edits = append(snap.Edits, l.Record)
			if 0 < l.confirmed && l.confirmed <= s.floor {
				snap.Stays = append(snap.Stays, stay{at, l.confirmed})
			}
		}
	}
	keys := maps.Clone(s.keys)
	for _, r := range slices.Backward(s.history) {
		for _, set := range r.Sets {
			keys[set.Key] = slot{set.Was, set.Was} // since when is overwritten by the record again
		}
	}
	for k, at := range keys {
		if at.layer != 0 {
			snap.Force = append(snap.Force, force{k, at.layer, at.revision})
		}
	}
	slices.SortFunc(snap.Force, func(a, b force) int { return cmp.Compare(a.Key, b.Key) })
	return json.Marshal(snap)
}

// schemaOf reads the key that every schema has first, and not what it does not know.
func schemaOf(b []byte) (schema int, err error) {
	d := json.NewDecoder(bytes.NewReader(b))
	for _, want := range []json.Token{json.Delim('{'), "schema"} {
		if got, err := d.Token(); err != nil || got != want {
			return 0, fmt.Errorf("%v, where %v is wanted first (%v)", got, want, err)
		}
	}
	return schema, d.Decode(&schema)
}

// FromSnapshot makes a state of a snapshot, of this schema or an earlier one. What does not fit is an error with its
// place, and no state.
func FromSnapshot(b []byte) (*State, error) {
	schema, err := schemaOf(b)
	if err != nil {
		return nil, fmt.Errorf("control: snapshot: schema: %w", err)
	}
	if schema > Schema {
		return nil, &Newer{schema}
	}
	if schema < Schema {
		var raw map[string]json.RawMessage
		if err := json.Unmarshal(b, &raw); err != nil {
			return nil, fmt.Errorf("control: snapshot: %w", err)
		}
		for ; schema < Schema; schema++ {
			next, ok := older[schema]
			if !ok {
				return nil, fmt.Errorf("control: snapshot: schema: %d, where 1 to %d is wanted", schema, Schema)
			}
			next(raw)
		}
		if b, err = json.Marshal(raw); err != nil {
			return nil, fmt.Errorf("control: snapshot: %w", err)
		}
	}
	var snap snapshot
	if err = strictly(b, &snap); err != nil {
		return nil, fmt.Errorf("control: snapshot: %w", err)
	}
	s := New()
	s.revision, s.floor, s.last, s.base = snap.Floor, snap.Floor, snap.At, snap.At
	for i, r := range snap.Edits {
		if r == nil || r.Kind != Edited || r.Edit == nil || r.Revision > s.floor || s.layers[r.Revision] != nil {
			return nil, fmt.Errorf("control: snapshot: edits[%d]: no edit of its own up to %d", i, s.floor)
		}
		l := &layer{}
		if err := l.reads(r); err != nil {
			return nil, fmt.Errorf("control: snapshot: edits[%d]: %w", i, err)
		}
		s.layers[r.Revision], s.ids[r.ID] = l, r.Revision
	}
	for i, c := range snap.Stays {
		l := s.layers[c.Revision]
		if l == nil || c.By <= c.Revision || c.By > s.floor {
			return nil, fmt.Errorf("control: snapshot: stays[%d]: %d is no edit, or %d came not after it", i, c.Revision, c.By)
		}
		l.confirmed = c.By
	}
	for i, f := range snap.Force {
		l := s.layers[f.Layer]
		if l == nil || f.Since > s.floor || s.keys[f.Key].layer != 0 {
			return nil, fmt.Errorf("control: snapshot: in_force[%d]: %q: %d is no edit, or twice", i, f.Key, f.Layer)
		}
		if _, ok := l.find(f.Key); !ok {
			return nil, fmt.Errorf("control: snapshot: in_force[%d]: %d says nothing of %q", i, f.Layer, f.Key)
		}
		s.put(Set{Key: f.Key, Now: f.Layer}, f.Since)
	}
	for i, r := range snap.Records {
		if r == nil {
			return nil, fmt.Errorf("control: snapshot: records[%d]: missing", i)
		}
		if _, err := s.Commit(*r); err != nil {
			return nil, err
		}
	}
	return s, nil
}
