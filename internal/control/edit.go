package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
	"unicode"
	"unicode/utf8"
)

// Edit is a change that a person or a script requests.
type Edit struct {
	ID      string        // unique; sent again, the edit is made only once
	By      string        // user name, from the peer credentials of the kernel
	Against uint64        // revision that the author saw; 0: no conflict check
	What    Op            // any operation of op.go
	Trial   time.Duration // reverted after this time unless confirmed; 0: no trial
	For     time.Duration // expires this long after it was made; 0: never
	Force   bool          // allow a pool to lose its last ready node
}

const (
	// minDuration is the shortest trial or timed edit: one that is shorter than the refresh interval of the console could
	// be neither followed nor confirmed.
	minDuration = time.Second
	// maxDuration keeps sums of box time far from overflow; a drain of more than a year is not a timed edit.
	maxDuration = 366 * 24 * time.Hour
	// maxNameLength bounds ids and names, in bytes: they appear in tables 80 columns wide and in every record.
	maxNameLength = 256
	maxNoteLength = 4096  // bytes of a note, one and a half screens
	maxOps        = 10000 // operations per edit: a file applied to the largest fleet that the settings permit
)

// editJSON is the JSON form of an Edit. Times are whole milliseconds.
type editJSON[T any] struct {
	ID      string `json:"id"`
	By      string `json:"by"`
	Against uint64 `json:"against,omitempty"`
	What    T      `json:"what"`
	Trial   int64  `json:"trial_ms,omitempty"`
	For     int64  `json:"for_ms,omitempty"`
	Force   bool   `json:"force,omitempty"`
}

func (e Edit) MarshalJSON() ([]byte, error) {
	return json.Marshal(editJSON[Op]{e.ID, e.By, e.Against, e.What, e.Trial.Milliseconds(), e.For.Milliseconds(), e.Force})
}

// UnmarshalJSON rejects unknown keys, so that no part of an edit is ignored.
func (e *Edit) UnmarshalJSON(b []byte) error {
	var p editJSON[opJSON]
	if err := decodeStrict(b, &p); err != nil {
		return err
	}
	const most = int64(maxDuration/time.Millisecond) + 1 // keeps the product from overflowing; check rejects it
	what, err := p.What.op()
	if err != nil {
		return fmt.Errorf("what.%w", err)
	}
	*e = Edit{p.ID, p.By, p.Against, what, time.Duration(min(p.Trial, most)) * time.Millisecond,
		time.Duration(min(p.For, most)) * time.Millisecond, p.Force}
	if p.Trial < 0 || p.For < 0 {
		return fmt.Errorf("trial_ms, for_ms: %d, %d, where 0 or more is wanted", p.Trial, p.For)
	}
	return nil
}

func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("unexpected data after the JSON value")
	}
	return nil
}

// check rejects an edit that could not be stored or displayed. The error names the JSON key.
func (e *Edit) check() error {
	if err := checkName("id", e.ID); err != nil {
		return err
	}
	if err := checkName("by", e.By); err != nil {
		return err
	}
	for _, t := range []struct {
		key string
		d   time.Duration
	}{{"trial_ms", e.Trial}, {"for_ms", e.For}} {
		if t.d != 0 && (t.d < minDuration || t.d > maxDuration || t.d%time.Millisecond != 0) {
			return fmt.Errorf("%s: %v, where 0 or whole milliseconds from %v to %v are wanted", t.key, t.d, minDuration, maxDuration)
		}
	}
	if e.For > 0 && e.Trial >= e.For {
		return fmt.Errorf("trial_ms: %v, where less than for_ms, %v, is wanted", e.Trial, e.For)
	}
	if e.What == nil {
		return fmt.Errorf("what: missing")
	}
	if err := e.What.check(); err != nil {
		return fmt.Errorf("what.%w", err)
	}
	return nil
}

// checkName checks an id or a name. It is printed on terminals, where a control character could forge a line.
func checkName(key, s string) error {
	if s == "" || len(s) > maxNameLength || !printable(s, false) {
		return fmt.Errorf("%s: %.40q, where 1 to %d bytes of printable text are wanted", key, s, maxNameLength)
	}
	return nil
}

func printable(s string, lines bool) bool {
	for _, c := range s {
		if c == '\n' && lines {
			continue
		}
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return utf8.ValidString(s)
}
