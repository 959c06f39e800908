package front

import (
	"bytes"
	"strconv"
)

// framingTracker parses the framing of the requests on a client connection in parallel with net/http, which does not
// expose two facts: whether a head frames its body both by Content-Length and by Transfer-Encoding (RFC 9112, section
// 6.1: such a message may be an attempt at request smuggling), and the size of the head. It does not alter what net/http
// reads. Once it can't follow the framing, all further requests count as ambiguous.
type framingTracker struct {
	state     framingState
	partial   []byte        // bytes of an incomplete head or line
	remaining int64         // unread bytes of the body or chunk
	heads     []headFraming // of requests that net/http has not served yet
}

// headFraming describes the head of a request.
type headFraming struct {
	size      int  // in bytes, with the empty line
	ambiguous bool // the end of the body is not certain
}

type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	outOfSync
)

// chunkLineLimit is the maximum length of a chunk size line or trailer line, in bytes.
const chunkLineLimit = 4 << 10

// observe processes bytes that were read from the connection.
func (f *framingTracker) observe(p []byte) {
	for len(p) > 0 && f.state != outOfSync {
		switch f.state {
		case inHead:
			p = f.consumeHead(p)
		case inBody, inChunkData:
			p = f.consumeBody(p)
		default:
			p = f.consumeLine(p)
		}
	}
}

// partialHead reports whether a head has been read in part.
func (f *framingTracker) partialHead() bool { return f.state == inHead && len(f.partial) > 0 }

// pendingHeads returns the number of heads read whose requests are not being served yet.
func (f *framingTracker) pendingHeads() int { return len(f.heads) }

// popHead removes and returns the head of the next request to be served. If none was parsed, it returns an ambiguous one.
func (f *framingTracker) popHead() headFraming {
	if len(f.heads) == 0 {
		return headFraming{ambiguous: true}
	}
	first := f.heads[0]
	f.heads = append(f.heads[:0], f.heads[1:]...)
	return first
}

// consumeHead consumes bytes of a head and returns the rest.
func (f *framingTracker) consumeHead(p []byte) []byte {
	if len(f.partial) == 0 { // net/http skips line breaks before a request
		if p = bytes.TrimLeft(p, "\r\n"); len(p) == 0 {
			return nil
		}
		if end := findHeadEnd(p, 0); end >= 0 {
			f.recordHead(p[:end])
			return p[end:]
		}
	}
	before := len(f.partial)
	f.partial = append(f.partial, p...)
	end := findHeadEnd(f.partial, max(0, before-3))
	if end < 0 {
		if len(f.partial) > 2*headerHardLimit {
			f.loseSync()
		}
		return nil
	}
	f.recordHead(f.partial[:end])
	f.partial = f.partial[:0]
	return p[end-before:]
}

// findHeadEnd returns the offset just after the empty line that ends a head, or -1. The search starts at from.
func findHeadEnd(b []byte, from int) int {
	for {
		offset := bytes.IndexByte(b[from:], '\n')
		if offset < 0 {
			return -1
		}
		from += offset + 1
		rest := b[from:]
		if len(rest) > 0 && rest[0] == '\n' {
			return from + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return from + 2
		}
	}
}

// recordHead parses the fields that frame the body, appends the head to heads and sets the next state.
func (f *framingTracker) recordHead(head []byte) {
	length, encoded := []byte(nil), false
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
			length = bytes.TrimSpace(value)
		case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encoded = true
		}
	}
	f.heads = append(f.heads, headFraming{size: len(head), ambiguous: encoded && length != nil})
	switch {
	case encoded && length != nil:
		f.loseSync()
	case encoded:
		f.state = inChunkSize
	case length != nil:
		f.beginBody(length)
	}
}

// beginBody expects a body with the given Content-Length.
func (f *framingTracker) beginBody(length []byte) {
	n, err := strconv.ParseUint(string(length), 10, 62)
	if err != nil {
		f.loseSync()
		return
	}
	if n > 0 {
		f.state, f.remaining = inBody, int64(n)
	}
}

// consumeBody consumes bytes of a body or a chunk and returns the rest.
func (f *framingTracker) consumeBody(p []byte) []byte {
	n := min(f.remaining, int64(len(p)))
	f.remaining -= n
	if f.remaining == 0 && f.state == inBody {
		f.state = inHead
	} else if f.remaining == 0 {
		f.state = inChunkEnd
	}
	return p[n:]
}

// consumeLine consumes bytes of a line of a chunked body and returns the rest.
func (f *framingTracker) consumeLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		f.partial = append(f.partial, p...)
		if len(f.partial) > chunkLineLimit {
			f.loseSync()
		}
		return nil
	}
	line := bytes.TrimSuffix(append(f.partial, p[:end]...), []byte("\r"))
	f.handleLine(line)
	f.partial = f.partial[:0]
	return p[end+1:]
}

func (f *framingTracker) handleLine(line []byte) {
	switch f.state {
	case inChunkSize:
		f.beginChunk(line)
	case inChunkEnd:
		f.state = inChunkSize
		if len(line) > 0 {
			f.loseSync()
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = inHead
		}
	}
}

// beginChunk parses a chunk size line. Size 0 ends the chunks.
func (f *framingTracker) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
	switch {
	case err != nil:
		f.loseSync()
	case n == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunkData, int64(n)
	}
}

// loseSync gives up following the framing of this connection.
func (f *framingTracker) loseSync() {
	f.state = outOfSync
	f.partial = nil
}
