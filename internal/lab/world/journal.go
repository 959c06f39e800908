package world

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What names an entry of the journal.
type What uint8

const (
	Began What = iota // a client's wish comes up: op, class, zone
	AskSent
	AskTaken
	AskUnreached
	AskLeft
	Answered // ask, kind, balancer
	Settled
	Dialed // balancer, node, connection
	DialEnded
	Wrote // balancer, node, ask
	CameToNode
	WorkBegan
	WorkEnded // node, ask, end
	LinkEnded
	Learned     // by discovery: node, state
	ListWritten // balancer, revision, entries
	ToldOf      // balancer, node, state: of changes
	WatchOpened
	WatchEnded
	BalancerStarted
	BalancerReady
	BalancerEnded
	FaultBegan
	FaultEnded
	NodeChanged
	Broke // an oracle's finding
	whats
)

var whatNames = [whats]string{"began", "ask sent", "ask taken", "ask unreached", "ask left", "answered", "settled",
	"dialed", "dial ended", "wrote", "came to node", "work began", "work ended", "link ended", "learned", "list written", "told of",
	"watch opened", "watch ended", "balancer started", "balancer ready", "balancer ended", "fault began", "fault ended",
	"node changed", "broke"}

func (w What) String() string { return whatNames[w] }

// Entry of the journal. What the figures are depends on What.
type Event struct {
	At      time.Duration
	What    What
	A, B, C uint64
}

func (e Event) String() string {
	return fmt.Sprintf("%12.6f %-16s %d %d %d", e.At.Seconds(), e.What, e.A, e.B, e.C)
}

// lastKept is how many events a break shows.
const lastKept = 128

// Journal is the log of a run's events. It keeps a digest of all and the text of the last alone, so that it does not
// grow; the whole goes to Out where that is set.
type Journal struct {
	Out    io.Writer
	Count  uint64
	digest xxhash.Digest
	raw    []byte // not yet in the digest: it takes long pieces much faster
	last   [lastKept]Event
}

// NewJournal makes an empty one.
func NewJournal() *Journal {
	j := &Journal{raw: make([]byte, 0, 128*eventSize)}
	j.digest.Reset()
	return j
}

// Note enters an event.
func (j *Journal) Note(at time.Duration, what What, a, b, c uint64) {
	n := len(j.raw)
	if n+eventSize > cap(j.raw) {
		j.digest.Write(j.raw)
		n = 0
	}
	j.raw = j.raw[:n+eventSize]
	raw := (*[eventSize]byte)(j.raw[n:])
	binary.LittleEndian.PutUint64(raw[0:], uint64(at))
	binary.LittleEndian.PutUint64(raw[8:], a)
	binary.LittleEndian.PutUint64(raw[16:], b)
	binary.LittleEndian.PutUint64(raw[24:], c)
	raw[32] = byte(what)
	e := Event{at, what, a, b, c}
	j.last[j.Count%lastKept] = e
	j.Count++
	if j.Out != nil {
		fmt.Fprintln(j.Out, e)
	}
}

// eventSize is an event in bytes: four figures and What.
const eventSize = 33

// Digest stands for the whole log.
func (j *Journal) Digest() uint64 {
	j.digest.Write(j.raw)
	j.raw = j.raw[:0]
	return j.digest.Sum64()
}

// Last gives the latest events, the oldest first.
func (j *Journal) Last() []Event {
	n := min(j.Count, lastKept)
	out := make([]Event, 0, n)
	for i := j.Count - n; i < j.Count; i++ {
		out = append(out, j.last[i%lastKept])
	}
	return out
}
