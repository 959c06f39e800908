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

// Edit is what a person, or a script, asks for.
type Edit struct {
	ID      string        // of its own: the same twice is made once
	By      string        // who, by the kernel's word
	Against uint64        // the revision that its author looked at; 0: whatever is
	What    Op            // one of those in op.go
	Trial   time.Duration // goes back by itself after so long unless confirmed; 0: no trial
	For     time.Duration // ends by itself after so long, from when it was made; 0: stays
	Force   bool          // though a pool loses its last ready node by it
}

const (
	// timeLeast: what is shorter than the screen's own pace nobody could follow, nor confirm.
	timeLeast = time.Second
	// timeMost keeps sums of box time far from overflow; a year of drain is no timed edit any more.
	timeMost = 366 * 24 * time.Hour
	// nameMost bounds ids and names: they stand in tables 80 columns wide, and in every record.
	nameMost = 256
	textMost = 4096  // of a note: a screen and a half
	opsMost  = 10000 // of one edit: a file applied to the largest fleet that the settings permit
)

// plainEdit is its JSON. Times are whole milliseconds.
type plainEdit[T any] struct {
	ID      string `json:"id"`
	By      string `json:"by"`
	Against uint64 `json:"against,omitempty"`
	What    T      `json:"what"`
	Trial   int64  `json:"trial_ms,omitempty"`
	For     int64  `json:"for_ms,omitempty"`
	Force   bool   `json:"force,omitempty"`
}

func (e Edit) MarshalJSON() ([]byte, error) {
	return json.Marshal(plainEdit[Op]{e.ID, e.By, e.Against, e.What, e.Trial.Milliseconds(), e.For.Milliseconds(), e.Force})
}

// UnmarshalJSON takes no key that it does not know: an edit is made whole or not at all.
func (e *Edit) UnmarshalJSON(b []byte) error {
	var p plainEdit[plainOp]
	if err := strictly(b, &p); err != nil {
		return err
	}
	const most = int64(timeMost/time.Millisecond) + 1 // so that the product cannot overflow; check refuses it
	what, err := p.What.op()
	if err != nil {
		return fmt.Errorf("what.%w", err)
	}
	*e = Edit{p.ID, p.By, p.Against, what, time.Duration(min(p.Trial, most)) * time.Millisecond,
		time.Duration(min(p.For, most)) * time.Millisecond, p.Force}
	if p.Trial < 0 || p.For < 0 {
		return fmt.Errorf("trial_ms, for_ms: %d, %d, where times are wanted", p.Trial, p.For)
	}
	return nil
}

func strictly(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("there is more after the end")
	}
	return nil
}

// check refuses what could not be kept or shown. The error names the key of the JSON.
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
		if t.d != 0 && (t.d < timeLeast || t.d > timeMost || t.d%time.Millisecond != 0) {
			return fmt.Errorf("%s: %v, where 0 or whole milliseconds from %v to %v are wanted", t.key, t.d, timeLeast, timeMost)
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

// checkName checks an id or a name: it goes to terminals, so that a control character in it could forge a line there.
func checkName(key, s string) error {
	if s == "" || len(s) > nameMost || !printable(s, false) {
		return fmt.Errorf("%s: %.40q, where 1 to %d bytes of printable text are wanted", key, s, nameMost)
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
