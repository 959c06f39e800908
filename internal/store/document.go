package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// documentKind is the field kind of the documents that Export writes.
const documentKind = "pewterrudder state"

// exportDocument is the JSON form of Contents.
type exportDocument struct {
	Kind     string           `json:"kind"`
	Layout   uint64           `json:"layout"`
	Schema   uint64           `json:"schema"`
	Last     uint64           `json:"last"` // newest revision; detects a document that was truncated by hand
	Snapshot *documentEntry   `json:"snapshot,omitempty"`
	Records  []*documentEntry `json:"records"`
}

// documentEntry is the JSON form of a Record. Bytes that are compact JSON are embedded as readable JSON (Data), all others
// as base64 (Bytes), so that an import restores every record byte for byte.
type documentEntry struct {
	Revision uint64          `json:"revision"`
	Data     json.RawMessage `json:"data,omitempty"`
	Bytes    []byte          `json:"bytes,omitempty"`
}

func newEntry(r Record) *documentEntry {
	if compacted, err := json.Marshal(json.RawMessage(r.Data)); err == nil && len(r.Data) > 0 && bytes.Equal(compacted, r.Data) {
		return &documentEntry{Revision: r.Revision, Data: r.Data}
	}
	return &documentEntry{Revision: r.Revision, Bytes: r.Data}
}

func (e *documentEntry) record() (Record, error) {
	r := Record{Revision: e.Revision, Data: e.Bytes}
	if e.Data == nil {
		return r, nil
	}
	if e.Bytes != nil {
		return r, fmt.Errorf("revision %d has both data and bytes", e.Revision)
	}
	var b bytes.Buffer // undoes the document's indentation
	err := json.Compact(&b, e.Data)
	r.Data = b.Bytes()
	return r, err
}

// Export writes a consistent copy of all that is on the disk as one JSON document.
func (s *Store) Export(w io.Writer) error {
	c, err := s.Load()
	if err != nil {
		return err
	}
	d := exportDocument{Kind: documentKind, Layout: layoutVersion, Schema: c.Schema, Last: c.Last(), Records: []*documentEntry{}}
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

// Import replaces all contents of the store with an exported document, or changes nothing. A document of an older schema
// goes through Migrate; one of a newer schema is rejected. A store that is not empty is replaced only if overwrite is set.
func (s *Store) Import(r io.Reader, overwrite bool) error {
	c, err := s.parseDocument(r)
	if err != nil {
		return &WriteError{Reason: fmt.Errorf("cannot import the document: %w", err)}
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	return s.applyImport(c, overwrite)
}

// applyImport replaces the contents with c and rejects all queued appends. s.writeMu is held.
func (s *Store) applyImport(c Contents, overwrite bool) error {
	if err := s.ensureWritable(); err != nil {
		return err
	}
	current, err := s.Load()
	if err != nil {
		return &WriteError{Reason: err}
	}
	if last := current.Last(); last > 0 && !overwrite {
		return &WriteError{Reason: fmt.Errorf("the store holds revisions up to %d, which the import would discard", last)}
	}
	if err := s.replaceFile(c); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue {
		w.done <- &WriteError{Reason: errReplacedByImport}
	}
	s.queue, s.lastQueued = nil, s.lastDurable
	s.importCount++
	return nil
}

func (s *Store) parseDocument(r io.Reader) (Contents, error) {
	var d exportDocument
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
		return c, errors.New("unexpected data after its end")
	}
	if d.Kind != documentKind {
		return c, fmt.Errorf("kind is %q, expected %q", d.Kind, documentKind)
	}
	if d.Layout > layoutVersion {
		return c, &NewerVersionError{Path: "the document", Have: d.Layout, Supported: layoutVersion}
	}
	if d.Schema == 0 {
		return c, errors.New("schema is missing")
	}
	if d.Schema > s.schema {
		return c, &NewerVersionError{Path: "the document", Have: d.Schema, Supported: s.schema}
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
	if err := c.checkContinuity(); err != nil {
		return c, err
	}
	if c.Last() != d.Last {
		return c, fmt.Errorf("its newest revision is %d, but its field last is %d: part of it is missing", c.Last(), d.Last)
	}
	if c.Schema == s.schema {
		return c, nil
	}
	if s.migrateFn == nil {
		return c, fmt.Errorf("it has schema %d, and this program cannot migrate it to schema %d", c.Schema, s.schema)
	}
	c, err := s.migrateFn(c.Schema, c)
	if err == nil {
		err = c.checkContinuity()
	}
	c.Schema = s.schema
	return c, err
}
