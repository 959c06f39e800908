package boxd

import (
	"encoding/json"
	"sync"

	"pewterrudder/internal/boxd/boxapi"
)

// hub keeps the latest lines of the stream of changes. All watchers read the same ring, each at a place of its own, so
// that a line costs the same with none and with many, and a reader that does not read costs nothing: what the ring has
// let go of in the meantime, it is told the number of.
type hub struct {
	mu     sync.Mutex
	ring   [][]byte
	next   uint64 // number of the line to come; line n lies at n % len(ring)
	signal chan struct{}
	closed bool
}

func newHub(lines int) *hub { return &hub{ring: make([][]byte, lines), signal: make(chan struct{})} }

// say adds a line. It never waits for a reader.
func (h *hub) say(ev boxapi.Happening) {
	line, err := json.Marshal(ev)
	if err != nil {
		return // nothing that cannot be marshalled is ever put in one
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.ring[h.next%uint64(len(h.ring))] = append(line, '\n')
	h.next++
	close(h.signal)
	h.signal = make(chan struct{})
}

// end has every reader come to its end after what there is.
func (h *hub) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.closed = true
		close(h.signal)
	}
}

// now is the place of a reader that begins.
func (h *hub) now() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// read gives up to most lines from a place on, and the place after them; missed are those that the ring no longer has.
// Where there is nothing yet, wait tells when there is; over says that nothing more will come.
func (h *hub) read(at uint64, most int) (lines [][]byte, next, missed uint64, wait <-chan struct{}, over bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kept := uint64(len(h.ring)); h.next > at+kept {
		missed = h.next - kept - at
		at += missed
	}
	for ; at < h.next && len(lines) < most; at++ {
		lines = append(lines, h.ring[at%uint64(len(h.ring))])
	}
	return lines, at, missed, h.signal, h.closed && at == h.next
}
