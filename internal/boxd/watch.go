package boxd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// hub keeps the latest lines of the stream of changes. All watchers read the same ring, each at a place of its own, so
// that a line costs the same with none and with many, and a reader that does not read costs nothing: what the ring has
// let go of in the meantime, it is told the number of.
type hub struct {
	mu     sync.Mutex
	ring   []entry
	next   uint64 // number of the line to come; line n lies at n % len(ring)
	signal chan struct{}
	closed bool
}

// entry is one line, with the revision that it tells of; 0: none.
type entry struct {
	line     []byte
	revision uint64
}

func newHub(lines int) *hub { return &hub{ring: make([]entry, lines), signal: make(chan struct{})} }

// say adds a line. It never waits for a reader.
func (h *hub) say(ev boxapi.Happening) {
	e := entry{line: marshal(ev)}
	if ev.Record != nil {
		e.revision = ev.Record.Revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.ring[h.next%uint64(len(h.ring))] = e
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
func (h *hub) read(at uint64, most int) (lines []entry, next, missed uint64, wait <-chan struct{}, over bool) {
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

// lineBatch is how many lines a reader is given with one deadline.
const lineBatch = 64

// watch streams what happens until the reader leaves, is too slow to take a batch, or the box goes down.
func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	back, _, err := number(r, "back")
	if err != nil {
		refuse(w, err)
		return
	}
	from, since, err := number(r, "from")
	if err != nil {
		refuse(w, err)
		return
	}
	s.mu.Lock()
	if s.watchers >= s.Bounds.Watchers {
		s.mu.Unlock()
		refuse(w, &boxapi.Flaw{Code: boxapi.Busy, Text: fmt.Sprintf("%d watch already, and no more may: end one of them", s.Bounds.Watchers)})
		return
	}
	s.watchers++
	at := s.hub.now()
	revision := s.State.Revision()
	var told uint64 // records up to this one have been sent, though their line may be still to come
	var earlier []control.Record
	if since {
		earlier, told = s.State.History(from), revision
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watchers--
		s.mu.Unlock()
	}()

	out := http.NewResponseController(w)
	send := func(lines ...[]byte) bool {
		out.SetWriteDeadline(time.Now().Add(s.Bounds.Write))
		for _, line := range lines {
			if _, err := w.Write(line); err != nil {
				return false
			}
		}
		return out.Flush() == nil
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set("ETag", boxapi.Tag(revision))
	if !send(marshal(boxapi.Happening{Kind: boxapi.Hello, At: s.Now().Wall, Revision: revision})) {
		return
	}
	for i := range earlier {
		if !send(marshal(boxapi.Happening{Kind: boxapi.Made, At: earlier[i].Wall, Record: &earlier[i]})) {
			return
		}
	}
	if !since {
		at -= min(back, at, uint64(s.Bounds.Lines))
	}
	batch := make([][]byte, 0, lineBatch)
	for {
		lines, next, missed, wait, over := s.hub.read(at, lineBatch)
		if missed > 0 && !send(marshal(boxapi.Happening{Kind: boxapi.Missed, At: s.Now().Wall, Missed: missed})) {
			return
		}
		batch := batch[:0]
		for _, e := range lines {
			if e.revision == 0 || e.revision > told {
				batch = append(batch, e.line)
			}
		}
		if len(batch) > 0 && !send(batch...) {
			return
		}
		at = next
		if over {
			return
		}
		if len(lines) > 0 {
			continue
		}
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		}
	}
}

func marshal(ev boxapi.Happening) []byte {
	line, _ := json.Marshal(ev)
	return append(line, '\n')
}
