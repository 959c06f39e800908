package kv

import "errors"

// readAll reads the whole list at a bounded pace, and puts in force what differs as it comes. It goes on over cuts, behind
// which the store must prove itself, and over a compaction, behind which it reads the present: what that makes uneven the
// catching up from the first page's revision mends.
func (c *Client) readAll() {
	c.holder.Begin()
	c.sparse.marks, c.sparse.bounds = nil, nil
	swept, pace := newSweep(c.holder), c.pacer()
	var first, last origin
	var at int64 // that is read at; 0: the present
	cuts := c.cuts
	for from, more := c.prefix, true; more; {
		p, _, err := c.ask(c.question(from, at), from)
		if errors.Is(err, errCompacted) && at != 0 {
			at = 0
			continue
		}
		if err != nil {
			c.judge(err)
			return
		}
		switch {
		case first.revision == 0:
			first, at = p.origin, p.origin.revision
		case p.origin.cluster != first.cluster || p.origin.revision < first.revision:
			c.judge(errHistory)
			return
		case cuts != c.cuts || p.origin.term != last.term:
			if err := c.proven(c.ask, first); err != nil {
				c.judge(err)
				return
			}
		}
		last, cuts = p.origin, c.cuts
		news := p.records[:0]
		for _, r := range p.records {
			if at != 0 && r.Revision > at {
				c.judge(errHistory) // not at the revision that was asked for
				return
			}
			from = r.Key + "\x00"
			swept.pass(r.Key)
			c.sparse.marks.add(r.Key, r.Revision)
			if revision, sum, held := c.holder.At(r.Key); !held || revision != r.Revision || sum != Sum(r.Value) {
				news = append(news, r)
			}
		}
		if more = p.more; len(news) > 0 {
			c.holder.Apply(true, 0, news)
		}
		if more {
			pace.wait(c, p.bytes)
		}
	}
	first.term = last.term
	c.holder.Apply(true, first.revision, swept.gone(first.revision))
	c.settle(first)
}
