package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const (
	// maxValue bounds one list, in bytes: 26,000 app nodes take 4.0 MB with short names and 5.0 MB with long ones, and a
	// balancer may hold 64 MB.
	maxValue = 16 << 20
	// keptBuffer is the largest value whose buffer is used again. A decoder keeps its buffer for as long as the watch lasts,
	// and after a whole list, of which there is one, changes follow.
	keptBuffer = 64 << 10
)

var errTooLong = errors.New("a list without end")

// values reads what comes on a watch: JSON values, each on a line of its own or over several, with blank lines between.
// Where a value ends is for the decoder to say. What is said here is what counts as a sign of life: every byte of a value,
// and blank lines between values. Blank lines inside one are none, or half a list would keep a watch alive for good.
type values struct {
	from   io.Reader
	heard  func() // a sign of life
	blank  func() // the same, without news
	inside bool   // a value has begun
	size   int    // of what has come of it
	rest   []byte // read, and behind a value whose buffer was given back
	dec    *json.Decoder
}

func newValues(from io.Reader, heard, blank func()) *values {
	v := &values{from: from, heard: heard, blank: blank}
	v.dec = json.NewDecoder(v)
	return v
}

// Read is for the decoder alone.
func (v *values) Read(p []byte) (int, error) {
	if len(v.rest) > 0 { // counted already
		n := copy(p, v.rest)
		v.rest = v.rest[n:]
		return n, nil
	}
	n, err := v.from.Read(p)
	switch {
	case n == 0:
	case isBlank(p[:n]) && !v.inside:
		v.heard()
		v.blank()
	case isBlank(p[:n]):
		v.size += n
	default:
		v.inside = true
		v.size += n
		v.heard()
	}
	if v.size > maxValue {
		return 0, errTooLong
	}
	return n, err
}

// next waits for the next value. After an error there is none: where another would begin is not known.
func (v *values) next() (json.RawMessage, error) {
	var value json.RawMessage
	if err := v.dec.Decode(&value); err != nil {
		return nil, err
	}
	rest, _ := io.ReadAll(v.dec.Buffered()) // in memory; this never fails
	v.inside = !isBlank(rest)
	v.size = len(rest)
	if len(value) > keptBuffer {
		v.rest, v.dec = rest, json.NewDecoder(v)
	}
	return value, nil
}

// isBlank: nothing but what may stand between JSON values (RFC 8259, 2).
func isBlank(b []byte) bool { return len(bytes.Trim(b, " \t\r\n")) == 0 }
