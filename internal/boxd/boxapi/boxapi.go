// Package boxapi owns the words that pass over the box's control socket: its paths, and the JSON of what is asked and
// answered. The service and its clients share it. It must never do I/O, nor decide anything.
//
// All paths lie under /v1/. What an answer rests on is its ETag: the revision, in quotes. An edit may carry one as
// If-Match: it was made by somebody who looked at that revision, and is refused with 412 only where what it touches has
// been touched since (control.Conflict); without the header, or with *, it goes against whatever is. An edit is answered
// once it is durable and in force, and the same id sent again is answered the same.
package boxapi

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"pewterrudder/internal/control"
)

const (
	PathStatus  = "/v1/status"  // GET: Status
	PathPools   = "/v1/pools"   // GET: []Pool
	PathNodes   = "/v1/nodes"   // GET: []Node
	PathWhy     = "/v1/why/"    // GET, with the node's name: Why
	PathRoster  = "/v1/roster"  // GET: Roster
	PathPeers   = "/v1/peers"   // GET: Peers
	PathWants   = "/v1/wants"   // GET: control.Wants; at=REVISION for those of then; If-None-Match
	PathHistory = "/v1/history" // GET: []control.Record; from=REVISION, most=N of the latest
	PathEdits   = "/v1/edits"   // POST a control.Edit: its control.Record
	PathUndo    = "/v1/undo"    // POST a control.Back: its control.Record
	PathConfirm = "/v1/confirm" // POST a Confirm: its control.Record
	PathWatch   = "/v1/watch"   // GET: Happenings, one a line; back=N of the latest first, from=REVISION for all records since
	PathExport  = "/v1/export"  // GET: Export
)

// SocketName is the socket's file in the state folder.
const SocketName = "control.sock"

// BodyMost bounds a body: the store keeps no longer record.
const BodyMost = 1 << 20

// Confirm asks that an edit on trial stays.
type Confirm struct {
	ID string `json:"id"`
}

// Export is all that operators want, with how it came to be.
type Export struct {
	Format   string          `json:"format"`
	Box      string          `json:"box"`
	At       time.Time       `json:"at"`
	Revision uint64          `json:"revision"`
	Wants    []control.Want  `json:"wants"`
	Snapshot json.RawMessage `json:"snapshot"` // control.Snapshot
}

// ExportFormat is the one that this program writes and reads.
const ExportFormat = "pewterrudder-box/1"

// Happening is one line of the stream of changes.
type Happening struct {
	Kind     string          `json:"kind"`
	At       time.Time       `json:"at"`
	Revision uint64          `json:"revision,omitempty"` // Hello: the present one
	Record   *control.Record `json:"record,omitempty"`
	Missed   uint64          `json:"missed,omitempty"`
	Level    string          `json:"level,omitempty"`
	Text     string          `json:"text,omitempty"`
}

// Kinds of happenings.
const (
	Hello  = "hello"  // the first line
	Made   = "record" // a record counts
	Missed = "missed" // the reader was too slow for so many lines: look at everything anew
	Logged = "log"    // a line of the box's log
	Bye    = "bye"    // the box goes down
)

// Flaw is the body of every answer that is not a success.
type Flaw struct {
	Code     string            `json:"code"`
	Text     string            `json:"error"`
	Conflict *control.Conflict `json:"conflict,omitempty"`
	Pool     string            `json:"pool,omitempty"` // Last: the one that would lose its last ready node
}

func (f *Flaw) Error() string { return f.Text }

// Codes of flaws, beside those of control.Why.
const (
	Conflict = "conflict" // 412
	NoStore  = "store"    // 503, or 507 where the disk is full: nothing was made
	Busy     = "busy"     // 503: too many watchers
	NotFound = "not-found"
	Misuse   = "misuse" // a body, header or parameter that cannot be read
	TooLarge = "too-large"
	Down     = "down" // 503: the box is on its way down
)

// Tag is a revision as ETags have it.
func Tag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// Untag reads one; "" and * are 0, whatever is.
func Untag(tag string) (uint64, error) {
	if tag == "" || tag == "*" {
		return 0, nil
	}
	text, err := strconv.Unquote(tag)
	if err != nil || tag[0] != '"' {
		return 0, fmt.Errorf("%q, where a revision in quotes is wanted", tag)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q, where a revision in quotes is wanted", tag)
	}
	return n, nil
}
