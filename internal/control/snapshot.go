package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Schema is the version of the snapshot format. Version 1 had the whole history; version 2 begins at a floor and has what
// was in force there.
const Schema = 2

// snapshot is the JSON form of a State: the state at the floor, and the records since.
type snapshot struct {
	Schema        int            `json:"schema"`
	Floor         uint64         `json:"floor"`
	At            Stamp          `json:"at"`
	Edits         []*Record      `json:"edits"` // edits up to the floor that a key may still return to
	Confirmations []confirmation `json:"stays"` // those of Edits that were confirmed up to the floor
	InForce       []inForceEntry `json:"in_force"`
	Records       []*Record      `json:"records"`
}

// confirmation is a confirmed trial.
type confirmation struct {
	Revision uint64 `json:"revision"`
	By       uint64 `json:"by"` // revision of the confirmation
}

// inForceEntry is the layer in force at a key, and the revision that put it in force.
type inForceEntry struct {
	Key   Key    `json:"key"`
	Layer uint64 `json:"layer"`
	Since uint64 `json:"since"`
}

// migrations holds, for each earlier schema, the conversion to the next one.
var migrations = map[int]func(map[string]json.RawMessage){
	1: func(snap map[string]json.RawMessage) { // has the whole history, so that the floor is 0
		for k, v := range map[string]string{"schema": "2", "floor": "0", "at": `{"wall":"0001-01-01T00:00:00Z"}`,
			"edits": "[]", "stays": "[]", "in_force": "[]"} {
			snap[k] = json.RawMessage(v)
		}
	},
}

// NewerSchemaError is the error for a snapshot of a later schema: reading it would lose what this version does not know.
type NewerSchemaError struct{ Schema int }

func (n *NewerSchemaError) Error() string {
	return fmt.Sprintf("control: snapshot of schema %d, written by a newer version: this one reads up to %d", n.Schema, Schema)
}

// Snapshot encodes the whole state, except the states of nodes given to Hear.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Schema: Schema, Floor: s.floor, At: s.floorStamp, Records: s.history}
	for _, at := range slices.Sorted(maps.Keys(s.layers)) {
		l := s.layers[at]
		if at <= s.floor {
			snap.Edits = append(snap.Edits, l.Record)
			if 0 < l.confirmedBy && l.confirmedBy <= s.floor {
				snap.Confirmations = append(snap.Confirmations, confirmation{at, l.confirmedBy})
			}
		}
	}
	keys := maps.Clone(s.slots)
	for _, r := range slices.Backward(s.history) {
		for _, set := range r.Sets {
			keys[set.Key] = slot{set.Was, set.Was} // replaying the record sets the revision again
		}
	}
	for k, at := range keys {
		if at.layer != 0 {
			snap.InForce = append(snap.InForce, inForceEntry{k, at.layer, at.revision})
		}
	}
	slices.SortFunc(snap.InForce, func(a, b inForceEntry) int { return cmp.Compare(a.Key, b.Key) })
	return json.Marshal(snap)
}

// schemaOf reads the schema, the first key of every version, without parsing the rest.
func schemaOf(b []byte) (schema int, err error) {
	d := json.NewDecoder(bytes.NewReader(b))
	for _, want := range []json.Token{json.Delim('{'), "schema"} {
		if got, err := d.Token(); err != nil || got != want {
			return 0, fmt.Errorf("got %v, expected %v first (%v)", got, want, err)
		}
	}
	return schema, d.Decode(&schema)
}

// FromSnapshot decodes a snapshot of this schema or an earlier one. An inconsistent snapshot is an error that names the
// entry.
func FromSnapshot(b []byte) (*State, error) {
	schema, err := schemaOf(b)
	if err != nil {
		return nil, fmt.Errorf("control: snapshot: schema: %w", err)
	}
	if schema > Schema {
		return nil, &NewerSchemaError{schema}
	}
	if schema < Schema {
		var raw map[string]json.RawMessage
		if err := json.Unmarshal(b, &raw); err != nil {
			return nil, fmt.Errorf("control: snapshot: %w", err)
		}
		for ; schema < Schema; schema++ {
			next, ok := migrations[schema]
			if !ok {
				return nil, fmt.Errorf("control: snapshot: schema: %d, expected 1 to %d", schema, Schema)
			}
			next(raw)
		}
		if b, err = json.Marshal(raw); err != nil {
			return nil, fmt.Errorf("control: snapshot: %w", err)
		}
	}
	var snap snapshot
	if err = decodeStrict(b, &snap); err != nil {
		return nil, fmt.Errorf("control: snapshot: %w", err)
	}
	s := New()
	s.revision, s.floor, s.lastStamp, s.floorStamp = snap.Floor, snap.Floor, snap.At, snap.At
	for i, r := range snap.Edits {
		if r == nil || r.Kind != Edited || r.Edit == nil || r.Revision > s.floor || s.layers[r.Revision] != nil {
			return nil, fmt.Errorf("control: snapshot: edits[%d]: missing, not an edit, duplicate, or after the floor %d", i, s.floor)
		}
		l := &layer{}
		if err := l.setRecord(r); err != nil {
			return nil, fmt.Errorf("control: snapshot: edits[%d]: %w", i, err)
		}
		s.layers[r.Revision], s.revisionByID[r.ID] = l, r.Revision
	}
	for i, c := range snap.Confirmations {
		l := s.layers[c.Revision]
		if l == nil || c.By <= c.Revision || c.By > s.floor {
			return nil, fmt.Errorf("control: snapshot: stays[%d]: %d is not an edit, or its confirmation %d is out of range", i, c.Revision, c.By)
		}
		l.confirmedBy = c.By
	}
	for i, f := range snap.InForce {
		l := s.layers[f.Layer]
		if l == nil || f.Since > s.floor || s.slots[f.Key].layer != 0 {
			return nil, fmt.Errorf("control: snapshot: in_force[%d]: %q: %d is not an edit, is in force since after the floor, or the key is duplicate", i, f.Key, f.Layer)
		}
		if _, ok := l.find(f.Key); !ok {
			return nil, fmt.Errorf("control: snapshot: in_force[%d]: edit %d does not write %q", i, f.Layer, f.Key)
		}
		s.apply(Set{Key: f.Key, Now: f.Layer}, f.Since)
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
