package kv

import (
	"strconv"
	"time"
)

const (
	// spread is over how long followers that broke together come back: 3,000 make 3,000 calls a second of it, two for each,
	// and a change that is written at once is still everywhere within 4 s: 2 s, and an attempt that hangs (eagerWait).
	spread = 2 * time.Second
	// scatterEach is by how much each key lengthens the time over which followers begin to read another history whole,
	// mostScatter the most: 300,000 keys make two minutes, in which 3,000 followers begin 25 readings a second.
	scatterEach = 400 * time.Microsecond
	mostScatter = 2 * time.Minute
	// reviewEach is by how much each key lengthens the time between two reviews, which cost the store a walk over all
	// keys: from lookEvery for a short list to half an hour for 300,000, with 3,000 followers 1.7 such walks a second.
	reviewEach = 5 * time.Millisecond
	// reviewAgain is when a review that failed is tried again.
	reviewAgain = time.Minute
	// sparsePage is the keys of a page of a long list, some 1 MB: the store counts all that follow for each.
	sparsePage = 5000
	// sliceKeys are the keys, in the mean, of one step of the look at all: some 40 KB, which at lookRate is a step in 20 s.
	sliceKeys = 256
	// keyBytes is about what the store says of a key with a tenant's value.
	keyBytes = 160
	// lookRate is the default of bytes a second that the look at all keys takes, half of what a balancer's control work
	// may: 310,000 keys are looked at in some 7 hours.
	lookRate = 2 << 10
	// readRate is the default of bytes a second of a whole reading: 310,000 keys take some 15 s.
	readRate = 4 << 20
)

// sparse is how a list is followed that is too long to be read for less than a reason. After a break a few keys prove the
// history; after a compaction what was written since is read, and what was deleted is hunted for; looks take the list in
// slices. Only another history is read whole.
type sparse struct {
	marks    marks
	reviewed int64     // all written up to this revision was compared
	review   time.Time // of the next
	bounds   []string  // of the slices of the look under way, from the next on; none: a new one begins
	slice    time.Time // of the next
	slices   int       // of the look under way
	lookRate int
	readRate int
}

func text(revision int64) string { return strconv.FormatInt(revision, 10) }

// settle begins anew from a reading.
func (c *Client) settle(at origin) {
	c.origin, c.known, c.whole, c.resumed, c.torn = at, true, false, false, 0
	s := c.sparse
	s.reviewed = at.revision
	now := time.Now()
	s.review = now.Add(c.within(c.reviewEvery()))
	if s.slice.IsZero() {
		s.slice = now.Add(c.within(time.Duration(sliceKeys*keyBytes) * time.Second / time.Duration(s.lookRate)))
	}
}

func (c *Client) reviewEvery() time.Duration {
	return lookEvery + time.Duration(c.holder.Len())*reviewEach
}

// comeBack sets when the next attempt after a failure is made. The first is drawn from the whole time, so that followers
// that break together are apart at once; those that follow keep them so.
func (c *Client) comeBack() {
	d := spread / time.Duration(len(c.endpoints))
	if c.failures > 1 {
		c.due = time.Now().Add(c.jitter(d))
		return
	}
	c.due = time.Now().Add(c.within(d))
}

// within draws from a time.
func (c *Client) within(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// pacer bounds the bytes of a reading.
type pacer struct {
	began time.Time
	bytes int
	rate  int
}

// wait until what was read fits the rate.
func (p *pacer) wait(c *Client, bytes int) {
	p.bytes += bytes
	t := time.NewTimer(time.Until(p.began.Add(time.Duration(float64(p.bytes) / float64(p.rate) * float64(time.Second)))))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

func (c *Client) pacer() *pacer { return &pacer{began: time.Now(), rate: c.sparse.readRate} }
