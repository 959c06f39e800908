package acceptor

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

// headerScanner scans the input of a client connection for request headers that are double framed: by Content-Length
// and by Transfer-Encoding (RFC 9112, 6.1: such a message may be an attempt at request smuggling). It neither changes
// what net/http reads nor makes any of its decisions, and follows headers and lengths only while they are certain. After
// a header with a Transfer-Encoding nothing is certain, and that request is the connection's last.
type headerScanner struct {
	mu             sync.Mutex
	header         []byte // of the incoming request, as far as received
	bodyRemaining  int64  // bytes left of the body behind the last header; -1: all further input
	framingResults []bool // one entry per header not yet fetched by nextIsDoubleFramed
}

// scan processes bytes that have been read from the connection.
func (h *headerScanner) scan(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(b) > 0 && h.bodyRemaining >= 0 {
		if h.bodyRemaining > 0 {
			n := min(h.bodyRemaining, int64(len(b)))
			h.bodyRemaining, b = h.bodyRemaining-n, b[n:]
			continue
		}
		if len(h.header) == 0 { // net/http skips line ends in front of a request
			if b = bytes.TrimLeft(b, "\r\n"); len(b) == 0 {
				return
			}
		}
		start := max(0, len(h.header)-3)
		h.header = append(h.header, b...)
		end := headerEnd(h.header, start)
		if end < 0 {
			if len(h.header) > 2*maxHeaderBytes { // net/http rejects it as well
				h.header, h.bodyRemaining = nil, -1
			}
			return
		}
		b = b[len(b)-(len(h.header)-end):]
		h.recordHeader(h.header[:end])
		h.header = h.header[:0]
	}
}

// completesHeader reports whether the header being received would be complete with these bytes. It changes nothing.
func (h *headerScanner) completesHeader(b []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bodyRemaining != 0 {
		return false
	}
	if len(h.header) == 0 {
		b = bytes.TrimLeft(b, "\r\n")
	}
	return headerEnd(append(bytes.Clone(h.header), b...), max(0, len(h.header)-3)) >= 0
}

// headerEnd returns the offset behind the empty line that ends a header, or -1 if there is none from start on.
func headerEnd(b []byte, start int) int {
	for i := start; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		switch rest := b[i+1:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return i + 2
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return i + 3
		}
	}
	return -1
}

// recordHeader records whether a complete header is double framed, and the length of the body behind it.
func (h *headerScanner) recordHeader(header []byte) {
	length, encoded := "", false
	for line := range bytes.Lines(header) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
		case strings.EqualFold(string(name), "Content-Length"):
			length = strings.TrimSpace(string(value))
		case strings.EqualFold(string(name), "Transfer-Encoding"):
			encoded = true
		}
	}
	h.framingResults = append(h.framingResults, encoded && length != "")
	n, err := strconv.ParseInt(length, 10, 64)
	switch {
	case encoded || length != "" && (err != nil || n < 0):
		h.bodyRemaining = -1 // the connection closes after this request
	case length != "":
		h.bodyRemaining = n
	}
}

// nextIsDoubleFramed is called once for each request served, in order, and reports whether its header is double framed.
// A request whose header was not seen is not trusted: the result is true.
func (h *headerScanner) nextIsDoubleFramed() (doubleFramed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.framingResults) == 0 {
		return true
	}
	doubleFramed, h.framingResults = h.framingResults[0], h.framingResults[1:]
	return doubleFramed
}
