package attempt

import (
	"bytes"
	"io"
	"sync"
)

const (
	// eventBufferSize is the initial size of a buffer, in bytes.
	eventBufferSize = 4 << 10
	// maxEventSize is the maximum size of an event, in bytes.
	maxEventSize = 1 << 20
)

var eventBufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 0, eventBufferSize)
	return &buffer
}}

// eventScanner splits a stream into events, each ended by an empty line, and returns complete events only. For other
// bodies only its buffer is used.
type eventScanner struct {
	pooled    *[]byte
	buffer    []byte // bytes read and not discarded yet
	returned  int    // bytes of buffer already returned to the caller
	scanned   int    // bytes of buffer already scanned
	lineStart int    // offset at which the current line starts
	lastID    []byte // id of the last complete event that had one
	nextID    []byte // id of the current event
	hasNextID bool

	endReceived bool // the last read reached the end of the body
}

// acquireBuffer takes a buffer from eventBufferPool, unless the scanner has one.
func (s *eventScanner) acquireBuffer() {
	if s.pooled == nil {
		s.pooled = eventBufferPool.Get().(*[]byte)
		s.buffer = (*s.pooled)[:0]
	}
}

// releaseBuffer returns the buffer to eventBufferPool, unless it has grown.
func (s *eventScanner) releaseBuffer() {
	if s.pooled == nil {
		return
	}
	if cap(s.buffer) == eventBufferSize {
		*s.pooled = s.buffer[:0]
		eventBufferPool.Put(s.pooled)
	}
	s.pooled, s.buffer = nil, nil
}

// next reads until at least one event is complete and returns all complete events. At the end of the body it returns
// io.EOF together with any bytes after the last empty line.
func (s *eventScanner) next(reader io.Reader) ([]byte, error) {
	s.acquireBuffer()
	s.discardReturned()
	for {
		if len(s.buffer) >= maxEventSize {
			return nil, ErrTooLarge
		}
		if len(s.buffer) == cap(s.buffer) {
			s.buffer = append(s.buffer, 0)[:len(s.buffer)]
		}
		n, err := reader.Read(s.buffer[len(s.buffer):cap(s.buffer)])
		s.buffer = s.buffer[:len(s.buffer)+n]
		if end := s.scan(); end > 0 {
			s.returned, s.endReceived = end, err == io.EOF
			return s.buffer[:end], nil
		}
		if err == io.EOF {
			s.returned = len(s.buffer)
			return s.buffer, io.EOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// discardReturned removes the returned events and moves the rest to the start of the buffer.
func (s *eventScanner) discardReturned() {
	if s.returned == 0 {
		return
	}
	n := copy(s.buffer, s.buffer[s.returned:])
	s.buffer = s.buffer[:n]
	s.scanned -= s.returned
	s.lineStart -= s.returned
	s.returned = 0
}

// scan processes the complete lines in the buffer and returns the end offset of the last complete event, or 0.
func (s *eventScanner) scan() int {
	end := 0
	for {
		offset := bytes.IndexByte(s.buffer[s.scanned:], '\n')
		if offset < 0 {
			s.scanned = len(s.buffer)
			return end
		}
		line := s.buffer[s.lineStart : s.scanned+offset]
		s.scanned += offset + 1
		s.lineStart = s.scanned
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			end = s.scanned
			s.commitID()
			continue
		}
		s.parseID(line)
	}
}

var idField = []byte("id:")

// parseID stores the value of an id field.
func (s *eventScanner) parseID(line []byte) {
	if value, found := bytes.CutPrefix(line, idField); found {
		s.nextID = append(s.nextID[:0], bytes.TrimPrefix(value, []byte(" "))...)
		s.hasNextID = true
	}
}

// commitID makes the current event's id, if it has one, the last event id.
func (s *eventScanner) commitID() {
	if s.hasNextID {
		s.lastID, s.nextID = s.nextID, s.lastID
		s.hasNextID = false
	}
}
