package acceptor

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

// heads watches what comes on a client's connection for heads that frame their body twice, by Content-Length and by
// Transfer-Encoding (RFC 9112, 6.1: such a message may be an attempt to hide another request). It changes nothing of what
// net/http reads, and decides nothing that net/http decides: it follows heads and lengths only as far as it is sure of
// them. After a head with a Transfer-Encoding it is sure of nothing any more, and that is the connection's last request.
type heads struct {
	mu    sync.Mutex
	head  []byte // of the request that is coming in, so far
	rest  int64  // of the body behind the last head; -1: all that comes
	found []bool // a head each, not yet taken: whether it frames its body twice
}

// came is told what has been read.
func (h *heads) came(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(b) > 0 && h.rest >= 0 {
		if h.rest > 0 {
			n := min(h.rest, int64(len(b)))
			h.rest, b = h.rest-n, b[n:]
			continue
		}
		if len(h.head) == 0 { // net/http passes over line ends in front of a request
			if b = bytes.TrimLeft(b, "\r\n"); len(b) == 0 {
				return
			}
		}
		from := max(0, len(h.head)-3)
		h.head = append(h.head, b...)
		end := ending(h.head, from)
		if end < 0 {
			if len(h.head) > 2*maxHeader { // net/http gives it up as well
				h.head, h.rest = nil, -1
			}
			return
		}
		b = b[len(b)-(len(h.head)-end):]
		h.note(h.head[:end])
		h.head = h.head[:0]
	}
}

// completed says that with these bytes the head that is coming in would be whole.
func (h *heads) completed(b []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rest != 0 {
		return false
	}
	if len(h.head) == 0 {
		b = bytes.TrimLeft(b, "\r\n")
	}
	return ending(append(bytes.Clone(h.head), b...), max(0, len(h.head)-3)) >= 0
}

// ending is where a head ends, behind its empty line; -1: not yet.
func ending(b []byte, from int) int {
	for i := from; i < len(b); i++ {
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

func (h *heads) note(head []byte) {
	length, encoded := "", false
	for line := range bytes.Lines(head) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
		case strings.EqualFold(string(name), "Content-Length"):
			length = strings.TrimSpace(string(value))
		case strings.EqualFold(string(name), "Transfer-Encoding"):
			encoded = true
		}
	}
	h.found = append(h.found, encoded && length != "")
	n, err := strconv.ParseInt(length, 10, 64)
	switch {
	case encoded || length != "" && (err != nil || n < 0):
		h.rest = -1 // and the connection ends
	case length != "":
		h.rest = n
	}
}

// taken is told that the next request is being served, and says whether its head frames its body twice. What was not seen is
// not trusted.
func (h *heads) taken() (twice bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.found) == 0 {
		return true
	}
	twice, h.found = h.found[0], h.found[1:]
	return twice
}
