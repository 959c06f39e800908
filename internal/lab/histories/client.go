package histories

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/roster"
)

// message is on its way to a client.
type message struct {
	at      time.Duration
	whole   bool
	beat    bool // a sign of life
	rev     int64
	lineage int
	entries []roster.Entry
}

// client follows the store, by a watch with revisions or by asking again and again without.
type client struct {
	source  int
	polls   bool
	slices  bool // it hands whole lists over in slices
	up      bool // the watch is open
	epoch   int
	lineage int           // of the data that it holds; a store names it in every answer
	next    time.Duration // when it tries again, or asks again
	asked   bool          // a poll is out
	sent    int64         // revision up to which the store has told it
	rev     int64         // that it holds
	way     []message
	heard   time.Duration
	stalled time.Duration // nothing passes until then
	open    *message      // a whole list that is being handed over
	whole   bool          // it just has been
}

const (
	silence   = 1500 * time.Millisecond // on a watch, before the client takes it for broken
	beatEvery = 500 * time.Millisecond
	pollEvery = 700 * time.Millisecond
)

func delay(rng *rand.Rand) time.Duration {
	return time.Duration(rng.IntN(100)) * time.Millisecond
}

// breaks ends what is open, and loses what is on its way.
func (c *client) breaks(h *history, pause time.Duration) {
	c.up, c.asked, c.way, c.open = false, false, nil, nil
	c.next = h.now + pause
	h.r.RecordError(h.now, c.source, "broken off")
}

// fault is one of those that a client may meet.
func (c *client) fault(h *history) {
	rng := h.rng
	switch rng.IntN(3) {
	case 0:
		h.Breaks++
		c.breaks(h, time.Duration(50+rng.IntN(950))*time.Millisecond)
	case 1:
		h.Stalls++
		c.stalled = h.now + time.Duration(200+rng.IntN(12_000))*time.Millisecond
	default:
		h.Lies++
		c.lie(h)
	}
}

// lie has the client told what is not so. Each is of a kind that the client can find out: a list of an old revision goes
// on with what came after it, a list without revision is asked for again, and changes of an old revision are seen to be so.
func (c *client) lie(h *history) {
	rng, s := h.rng, h.store
	switch {
	case c.polls:
		lies := s.table.entries()
		switch rng.IntN(4) {
		case 0:
			lies = nil
		case 1:
			lies = lies[:len(lies)/2]
		case 2:
			for i := range lies {
				lies[i].State = roster.Draining
			}
		default:
			if len(s.backups) > 0 {
				old := s.backups[rng.IntN(len(s.backups))]
				lies = old.table.entries()
			}
		}
		c.send(h, message{whole: true, entries: lies})
	case !c.up || len(s.log) == 0:
	case rng.IntN(2) == 0: // one of its changes once more
		old := s.log[rng.IntN(len(s.log))]
		c.send(h, message{rev: old.rev, entries: []roster.Entry{old.entry}})
	case rng.IntN(2) == 0 && s.first == 1: // a store that has not read its data yet
		c.send(h, message{whole: true, rev: 1})
		c.sent = 1
	case len(s.backups) > 0: // a replica that lags
		old := s.backups[rng.IntN(len(s.backups))]
		c.send(h, message{whole: true, rev: old.rev, entries: old.table.entries()})
		c.sent = old.rev
	}
}

// send puts a message on its way; none overtakes another.
func (c *client) send(h *history, m message) {
	m.at, m.lineage = h.now+delay(h.rng), h.store.lineage
	if n := len(c.way); n > 0 {
		m.at = max(m.at, c.way[n-1].at)
	}
	c.way = append(c.way, m)
}

// serve is what the store does for a client.
func (c *client) serve(h *history) {
	s := h.store
	if h.now < c.stalled {
		return
	}
	if c.polls {
		if !c.asked && h.now >= c.next {
			c.asked = true
			c.send(h, message{whole: true, entries: s.table.entries()})
		}
		return
	}
	if c.up && c.epoch != s.epoch {
		c.breaks(h, time.Duration(50+h.rng.IntN(450))*time.Millisecond)
	}
	if !c.up {
		if h.now < c.next {
			return
		}
		c.up, c.epoch, c.heard, c.sent = true, s.epoch, h.now, c.rev
		if h.r.NeedsFullList(c.source) || c.lineage != s.lineage || h.rng.IntN(4) == 0 {
			c.sent = 0 // the whole
		}
	}
	if c.sent == s.rev {
		if len(c.way) == 0 && h.now-c.heard >= beatEvery {
			c.send(h, message{beat: true})
		}
		return
	}
	if all, ok := s.since(c.sent); ok {
		c.send(h, message{rev: s.rev, entries: all})
	} else {
		c.send(h, message{whole: true, rev: s.rev, entries: s.table.entries()})
	}
	c.sent = s.rev
}

// read takes what has arrived.
func (c *client) read(h *history) {
	if h.now < c.stalled {
		if c.up && h.now-c.heard >= silence {
			c.breaks(h, 100*time.Millisecond)
		}
		return
	}
	for c.open == nil && len(c.way) > 0 && c.way[0].at <= h.now {
		m := c.way[0]
		c.way = c.way[1:]
		c.heard = h.now
		switch {
		case m.beat:
			h.r.RecordContact(h.now, c.source)
			continue
		case c.polls:
			c.asked, c.next = false, h.now+pollEvery
		}
		if m.whole && c.slices {
			c.open = &m
			h.r.Begin(h.now, c.source, m.rev)
			clear(h.named[c.source][:])
			break
		}
		clear(h.named[c.source][:])
		h.take(h.r.Apply(h.now, c.source, m.whole, m.rev, m.entries))
		h.told(c.source, m.whole, m.rev, m.entries)
		if m.whole {
			h.lacked(c.source)
		}
		if m.whole || m.rev >= c.rev {
			c.rev, c.lineage = m.rev, m.lineage
		}
	}
	if c.open != nil {
		n := min(len(c.open.entries), 1+h.rng.IntN(8))
		slice := c.open.entries[:n]
		c.open.entries = c.open.entries[n:]
		h.take(h.r.Add(h.now, c.source, slice))
		h.told(c.source, false, c.open.rev, slice)
		if len(c.open.entries) == 0 {
			c.rev, c.lineage = c.open.rev, c.open.lineage
			h.take(h.r.Commit(h.now, c.source))
			c.whole = true // what it lacks goes in the Ticks that follow
			c.open = nil
		}
		return
	}
	if h.r.NeedsFullList(c.source) && c.up && len(c.way) == 0 {
		c.breaks(h, 100*time.Millisecond)
	}
}
