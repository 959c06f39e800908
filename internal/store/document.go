package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// kind marks the documents that Export writes.
const kind = "pewterrudder state"

type document struct {
	Kind     string   `json:"kind"`
	Layout   uint64   `json:"layout"`
	Schema   uint64   `json:"schema"`
	Last     uint64   `json:"last"` // a document that was cut by hand is noticed
	Snapshot *entry   `json:"snapshot,omitempty"`
	Records  []*entry `json:"records"`
}

// entry holds bytes as JSON that a person can read where they are compact JSON, and as base64 where they are not: what
// comes back must be the same to the byte.
type entry struct {
	Revision uint64          `json:"revision"`
	Data     json.RawMessage `json:"data,omitempty"`
	Bytes    []byte          `json:"bytes,omitempty"`
}

func newEntry(r Record) *entry {
	if again, err := json.Marshal(json.RawMessage(r.Data)); err == nil && len(r.Data) > 0 && bytes.Equal(again, r.Data) {
		return &entry{Revision: r.Revision, Data: r.Data}
	}
	return &entry{Revision: r.Revision, Bytes: r.Data}
}

func (e *entry) record() (Record, error) {
	r := Record{Revision: e.Revision, Data: e.Bytes}
	if e.Data == nil {
		return r, nil
	}
	if e.Bytes != nil {
		return r, fmt.Errorf("revision %d has both data and bytes", e.Revision)
	}
	var b bytes.Buffer // whoever formatted the document has not changed the records
	err := json.Compact(&b, e.Data)
	r.Data = b.Bytes()
	return r, err
}

// Export writes all that is on the disk, at one moment, as one JSON document.
func (s *Store) Export(w io.Writer) error {
	c, err := s.Load()
	if err != nil {
		return err
	}
	d := document{Kind: kind, Layout: layout, Schema: c.Schema, Last: c.Last(), Records: []*entry{}}
	if c.Snapshot != nil {
		d.Snapshot = newEntry(*c.Snapshot)
	}
	for _, r := range c.Records {
		d.Records = append(d.Records, newEntry(r))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(d)
}

// Import puts an exported document in the place of all that the store holds, or changes nothing. One of an older schema
// goes through Migrate; one of a newer is refused. A store that holds something is replaced only if that is said.
func (s *Store) Import(r io.Reader, over bool) error {
	c, err := s.parse(r)
	if err != nil {
		return &Refused{Reason: fmt.Errorf("the document: %w", err)}
	}
	s.writer.Lock()
	defer s.writer.Unlock()
	return s.swap(c, over)
}

// swap is Import's change. The writer's lock is held.
func (s *Store) swap(c Contents, over bool) error {
	if err := s.ready(); err != nil {
		return err
	}
	now, err := s.Load()
	if err != nil {
		return &Refused{Reason: err}
	}
	if last := now.Last(); last > 0 && !over {
		return &Refused{Reason: fmt.Errorf("the store holds revisions up to %d, which the import would drop", last)}
	}
	if err := s.replace(c); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue {
		w.done <- &Refused{Reason: errImported}
	}
	s.queue, s.queued = nil, s.last
	s.imports++
	return nil
}

func (s *Store) parse(r io.Reader) (Contents, error) {
	var d document
	var c Contents
	limit := &io.LimitedReader{R: r, N: 4 * MaxSnapshot}
	dec := json.NewDecoder(limit)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		if limit.N == 0 {
			err = fmt.Errorf("it is longer than %d MiB", 4*MaxSnapshot>>20)
		}
		return c, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return c, errors.New("something follows its end")
	}
	if d.Kind != kind {
		return c, fmt.Errorf("kind is %q, and not %q", d.Kind, kind)
	}
	if d.Layout > layout {
		return c, &Newer{Path: "it", Have: d.Layout, Wanted: layout}
	}
	if d.Schema == 0 {
		return c, errors.New("schema is missing")
	}
	if d.Schema > s.schema {
		return c, &Newer{Path: "it", Have: d.Schema, Wanted: s.schema}
	}
	c.Schema = d.Schema
	if d.Snapshot != nil {
		r, err := d.Snapshot.record()
		if err != nil {
			return c, fmt.Errorf("snapshot: %w", err)
		}
		c.Snapshot = &r
	}
	for i, e := range d.Records {
		if e == nil {
			return c, fmt.Errorf("records[%d] is null", i)
		}
		r, err := e.record()
		if err != nil {
			return c, fmt.Errorf("records[%d]: %w", i, err)
		}
		if len(r.Data) > MaxRecord {
			return c, fmt.Errorf("records[%d] is longer than %d bytes", i, MaxRecord)
		}
		c.Records = append(c.Records, r)
	}
	if err := c.gaps(); err != nil {
		return c, err
	}
	if c.Last() != d.Last {
		return c, fmt.Errorf("it ends at revision %d, and says that it ends at %d: a part is missing", c.Last(), d.Last)
	}
	if c.Schema == s.schema {
		return c, nil
	}
	if s.step == nil {
		return c, fmt.Errorf("it is of schema %d, and this program has no way from there to %d", c.Schema, s.schema)
	}
	c, err := s.step(c.Schema, c)
	if err == nil {
		err = c.gaps()
	}
	c.Schema = s.schema
	return c, err
}
