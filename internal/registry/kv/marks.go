package kv

import (
	"errors"
	"slices"
)

// mostMarks is how many of the newest keys are remembered: enough that some are left where others have been written to
// since, and few enough that 3,000 followers of a store that comes back ask it 12,000 single keys.
const mostMarks = 4

// marks are the keys written last of those that were told. A store that has them at the same revisions with the same values
// has the history that we followed.
type marks []mark

type mark struct {
	key      string
	revision int64
}

func (m *marks) add(key string, revision int64) {
	for i := range *m {
		if (*m)[i].key == key {
			*m = slices.Delete(*m, i, i+1)
			break
		}
	}
	if len(*m) < mostMarks {
		*m = append(*m, mark{key, revision})
		return
	}
	oldest := 0
	for i := range *m {
		if (*m)[i].revision < (*m)[oldest].revision {
			oldest = i
		}
	}
	if (*m)[oldest].revision <= revision {
		(*m)[oldest] = mark{key, revision}
	}
}

// proven asks for the marks, and for one key more that any look has passed. Each is found without a walk over the list.
func (c *Client) proven(ask asker, of origin) error {
	keys := make([]string, 0, mostMarks+1)
	for _, m := range c.sparse.marks {
		keys = append(keys, m.key)
	}
	if n := len(c.sparse.bounds); n > 2 {
		keys = append(keys, c.sparse.bounds[1+c.rng.IntN(n-2)])
	}
	for _, k := range keys {
		q := rangeQuery{Key: []byte(k), Limit: "1", Revision: text(of.revision)}
		p, _, err := ask(q, k)
		now := errors.Is(err, errCompacted)
		if now {
			q.Revision = ""
			p, _, err = ask(q, k)
		}
		if err != nil {
			return err
		}
		if p.origin.cluster != of.cluster || p.origin.revision < of.revision {
			return verdict{errHistory}
		}
		revision, sum, held := c.holder.At(k)
		switch {
		case held && revision > of.revision: // a part of what comes next
		case len(p.records) == 0:
			if held && !now {
				return verdict{errHistory}
			}
		case now && p.records[0].Revision > of.revision: // written since
		case !held || revision != p.records[0].Revision || sum != Sum(p.records[0].Value):
			return verdict{errHistory}
		}
	}
	return nil
}
