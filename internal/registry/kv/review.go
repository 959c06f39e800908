package kv

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// catchUp reads what was written since our revision, where a watch cannot tell it any more, and hunts for what was deleted.
func (c *Client) catchUp() {
	c.holder.Begin()
	if err := c.proven(c.ask, c.origin); err != nil {
		c.judge(err)
		return
	}
	cuts := c.cuts
	now, _, err := c.since(c.ask, 0)
	if err == nil && cuts != c.cuts {
		err = c.proven(c.ask, c.origin)
	}
	switch {
	case errors.Is(err, errCompacted):
		c.pause(&c.verdicts) // compacted while it was read: again, at the new present
	case err != nil:
		c.judge(err)
	default:
		c.settle(now)
	}
}

// review looks over what was written since the last one and the number of keys: an event that the watch has left out is
// found and mended.
func (c *Client) review(ask asker) error {
	c.sparse.review = time.Now().Add(reviewAgain)
	_, n, err := c.since(ask, c.origin.revision)
	if err != nil {
		return err
	}
	if n > 0 {
		c.log(fmt.Sprintf("the watch has left out %d changes up to revision %d", n, c.origin.revision))
	}
	c.sparse.reviewed = c.origin.revision
	c.sparse.review = time.Now().Add(c.jitter(c.reviewEvery()))
	return nil
}

// since compares all that was written behind the last review, up to a revision or the present (0), and the number of keys,
// and tells what is news and what is gone, and how much that was.
func (c *Client) since(ask asker, at int64) (now origin, n int, err error) {
	pace, behind, told, keys := c.pacer(), c.sparse.reviewed, at, int64(0)
	if at == 0 {
		told = math.MaxInt64
	}
	for from, more := c.prefix, true; more; {
		q := c.question(from, at)
		q.Newer = text(behind + 1)
		p, count, err := ask(q, from)
		if err != nil {
			return now, n, err
		}
		if p.origin.cluster != c.origin.cluster || p.origin.revision < max(c.origin.revision, at) {
			return now, n, verdict{errHistory}
		}
		if now.revision == 0 {
			now, keys = p.origin, count
			if at != 0 {
				now.revision = at
			}
			at = now.revision
		}
		for _, r := range p.records {
			if from = r.Key + "\x00"; r.Revision > at || r.Revision <= behind {
				return now, n, verdict{errHistory} // not what was asked for
			}
			c.sparse.marks.add(r.Key, r.Revision)
		}
		news, err := c.fresh(p.records, told)
		if err != nil {
			return now, n, err
		}
		if n += len(news); len(news) > 0 {
			c.holder.Apply(false, 0, news)
		}
		if more = p.more; more {
			pace.wait(c, p.bytes)
		}
	}
	gone, err := c.hunt(ask, at, keys)
	if err != nil {
		return now, n, err
	}
	for _, r := range gone {
		c.sparse.marks.add(r.Key, r.Revision)
	}
	c.holder.Apply(false, at, gone)
	return now, n + len(gone), nil
}

// fresh says what of a page is news: what is held older or not at all. The same revision with another value speaks against
// the history, and so does a younger one, but for one behind the revision given, which may be a part of what comes next.
func (c *Client) fresh(records []Record, told int64) ([]Record, error) {
	news := records[:0]
	for _, r := range records {
		revision, sum, held := c.holder.At(r.Key)
		switch same := held && revision == r.Revision; {
		case same && sum == Sum(r.Value):
		case same, held && revision > r.Revision && revision <= told:
			return nil, verdict{errHistory}
		case held && revision > r.Revision: // a part of what comes next
		default:
			news = append(news, r)
		}
	}
	return news, nil
}

// lookOn looks at the next slice of the list. What is gone it does not see; that a review does, by the number of keys.
func (c *Client) lookOn(ask asker) error {
	s := c.sparse
	if len(s.bounds) < 2 {
		s.bounds = append(s.bounds[:0], c.prefix, c.end)
		for key := range c.holder.Keys() { // drawn: to order all would take the memory of all
			if c.rng.IntN(sliceKeys) == 0 {
				s.bounds = append(s.bounds, key)
			}
		}
		slices.Sort(s.bounds)
		s.slices = len(s.bounds) - 1
	}
	s.slice = time.Now().Add(reviewAgain)
	q := c.question(s.bounds[0], c.origin.revision)
	q.End = []byte(s.bounds[1])
	p, _, err := ask(q, s.bounds[0])
	if err != nil {
		return err
	}
	if p.origin.cluster != c.origin.cluster || p.origin.revision < c.origin.revision {
		return verdict{errHistory}
	}
	last := ""
	for _, r := range p.records {
		if last = r.Key; r.Revision > c.origin.revision {
			return verdict{errHistory}
		}
	}
	news, err := c.fresh(p.records, c.origin.revision)
	if err != nil {
		return err
	}
	if len(news) > 0 {
		c.log(fmt.Sprintf("the watch has left out %d changes up to revision %d", len(news), c.origin.revision))
		c.holder.Apply(false, c.origin.revision, news)
	}
	if s.bounds = s.bounds[1:]; p.more {
		s.bounds = append([]string{last + "\x00"}, s.bounds...)
	}
	took := time.Duration(float64(p.bytes) / float64(s.lookRate) * float64(time.Second))
	s.slice = time.Now().Add(max(took, c.jitter(lookEvery)/time.Duration(s.slices)))
	return nil
}
