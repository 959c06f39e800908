package kv

import "strconv"

// fewKeys is how many keys a hunt asks for by name: that is some 3 KB, as much as the six counts that it spares.
const fewKeys = 32

// hunt finds the held keys that the store does not have, by counts: where a range of ours has as many keys there none is
// gone, else its halves are counted, and the last few keys are asked for. The cost is in proportion to what is gone.
func (c *Client) hunt(ask asker, at, keys int64) (gone []Record, err error) {
	if keys == int64(c.holder.Len()) {
		return nil, nil
	}
	if keys > int64(c.holder.Len()) {
		return nil, verdict{errHistory} // it has some that were never told
	}
	held := ascending(c.holder)
	bound := func(i int) string {
		switch i {
		case 0:
			return c.prefix
		case len(held):
			return c.end
		}
		return held[i]
	}
	question := func(lo, hi int) rangeQuery {
		q := c.question(bound(lo), at)
		q.End = []byte(bound(hi))
		return q
	}
	var search func(lo, hi int, there int64) error
	search = func(lo, hi int, there int64) error {
		switch n := int64(hi - lo); {
		case there > n || there < 0:
			return verdict{errHistory}
		case there == n:
			return nil
		case there == 0:
			for _, k := range held[lo:hi] {
				gone = append(gone, Record{Key: k, Revision: at, Deleted: true})
			}
			return nil
		case n <= fewKeys:
			q := question(lo, hi)
			q.KeysOnly, q.Limit = true, strconv.Itoa(fewKeys)
			p, _, err := ask(q, bound(lo))
			if err != nil {
				return err
			}
			swept := sweep{held: held[lo:hi]}
			for _, r := range p.records {
				swept.pass(r.Key)
			}
			gone = append(gone, swept.gone(at)...)
			return nil
		}
		half := lo + (hi-lo)/2
		q := question(lo, half)
		q.CountOnly = true
		_, left, err := ask(q, bound(lo))
		if err != nil {
			return err
		}
		if err := search(lo, half, left); err != nil {
			return err
		}
		return search(half, hi, there-left)
	}
	return gone, search(0, len(held), keys)
}
