// Package relay owns what stands between two processes of a site on loopback: a relay for each pair, for TCP streams and
// for UDP packets, whose line can be slow, lossy, cut in one direction or both, stalled, reset in the middle of a message,
// or narrow, and can mend. It decides nothing about when: whoever owns the line sets it. It must never speak a protocol of
// its own, change a byte, or keep a socket or goroutine past its Close.
//
// TCP hides loss behind waiting: a lost segment is sent again after a timeout that doubles (RFC 6298, section 5.5), and
// what came behind it waits too. So loss on a stream is time here, and on packets it is loss. Packets alone are doubled,
// overtake each other and are sent again later: to the ends of a stream none of it can be seen.
package relay

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction of a line, as seen by who calls: There goes from the caller to the called.
type Direction int

const (
	There Direction = iota
	Back
)

// Way is one direction of a line. The zero value does nothing.
type Way struct {
	Delay, Jitter time.Duration // one way; evenly up to Jitter more
	Loss          float64       // share of the segments or packets
	Double        float64       // share of the packets that come twice
	Overtake      float64       // share of the packets that are held until others have passed
	Replay        float64       // share of the packets that come again when they are long past
	Cut           bool          // nothing gets through; what is under way on a stream waits for the mending
	Stall         bool          // the same, but connections still come up
	Rate          float64       // bytes a second; 0: no bound
}

const (
	// resendAfter is the first wait for a lost segment of a stream: the least that Linux takes (TCP_RTO_MIN).
	resendAfter = 200 * time.Millisecond
	// resends bounds how often one segment is lost in a row.
	resends = 6
	// overtakenBy is how long a packet that is overtaken comes later.
	overtakenBy = 20 * time.Millisecond
	// replayedFrom to replayedTo is how long after a packet its replay comes: past what a receiver remembers of a moment.
	replayedFrom, replayedTo = time.Second, 5 * time.Second
)

// Oddities are counts of packets that arrived otherwise than they were sent.
type Oddities struct {
	Doubled, Overtaken, Replayed uint64
}

// Line is the state of both directions, which all connections of a pair share.
type Line struct {
	mu      sync.Mutex
	rng     *rand.Rand
	ways    [2]Way
	freeAt  [2]time.Time  // when the bytes before have gone through a narrow line
	changed chan struct{} // closed at each change
	cutAt   int           // bytes after which a message is broken off; below 0: never
	resets  func()        // ends what is open
	odd     Oddities
}

func newLine(seed uint64) *Line {
	return &Line{rng: rand.New(rand.NewPCG(seed, 0x72656c6179)), changed: make(chan struct{}), cutAt: -1}
}

// Set changes a direction. What is under way already keeps the delay that it has.
func (l *Line) Set(d Direction, w Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ways[d] = w
	close(l.changed)
	l.changed = make(chan struct{})
}

// Way tells how a direction stands.
func (l *Line) Way(d Direction) Way {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[d]
}

// Cut says whether no connection can come up: a handshake needs both directions.
func (l *Line) Cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[There].Cut || l.ways[Back].Cut
}

// BreakAfter resets the connection that next carries a message, once so many bytes of it have passed.
func (l *Line) BreakAfter(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt = bytes
}

// breaks takes the break, if one waits and this message has more bytes than pass.
func (l *Line) breaks(n int) (pass int, now bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutAt < 0 || n <= l.cutAt {
		return n, false
	}
	pass, l.cutAt = l.cutAt, -1
	return pass, true
}

// takes is how long so many bytes of a stream are under way, and the channel that tells of a change.
func (l *Line) takes(d Direction, n int) (wait time.Duration, cut bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.ways[d]
	if w.Cut || w.Stall {
		return 0, true, l.changed
	}
	wait = l.delay(d, n)
	for again := 0; again < resends && w.Loss > 0 && l.rng.Float64() < w.Loss; again++ {
		wait += resendAfter << again
	}
	return wait, false, l.changed
}

// delay is what distance and breadth take. The lock is held.
func (l *Line) delay(d Direction, n int) time.Duration {
	w := &l.ways[d]
	wait := w.Delay
	if w.Jitter > 0 {
		wait += time.Duration(l.rng.Int64N(int64(w.Jitter)))
	}
	if w.Rate > 0 {
		now := time.Now()
		if l.freeAt[d].Before(now) {
			l.freeAt[d] = now
		}
		l.freeAt[d] = l.freeAt[d].Add(time.Duration(float64(n) / w.Rate * float64(time.Second)))
		wait += l.freeAt[d].Sub(now)
	}
	return wait
}

// Odd tells how many packets came otherwise than they were sent.
func (l *Line) Odd() Oddities {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.odd
}

// packet is what becomes of a packet: when each copy of it arrives; none: it is lost.
func (l *Line) packet(d Direction, n int) (copies []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.ways[d]
	if w.Cut || w.Stall || w.Loss > 0 && l.rng.Float64() < w.Loss {
		return nil
	}
	times := 1
	if w.Double > 0 && l.rng.Float64() < w.Double {
		times = 2
		l.odd.Doubled++
	}
	for range times {
		wait := l.delay(d, n)
		if w.Overtake > 0 && l.rng.Float64() < w.Overtake {
			wait += overtakenBy
			l.odd.Overtaken++
		}
		copies = append(copies, wait)
	}
	if w.Replay > 0 && l.rng.Float64() < w.Replay {
		copies = append(copies, replayedFrom+time.Duration(l.rng.Int64N(int64(replayedTo-replayedFrom))))
		l.odd.Replayed++
	}
	return copies
}
