package oracle

import (
	"time"

	"pewterrudder/internal/lab/world"
)

// Fleet counts what the balancers do together. What is little in each one's log shows here alone.
type Fleet struct {
	HottestNode uint64  // attempts that came to one app node in a second, the most
	MostConns   int     // connections open at one app node, the most
	MostCalls   uint64  // calls to discovery in a second, the most
	AfterAim    uint64  // wishes that were served after their aim
	ColdShare   float64 // work sent to a cold app node by balancers that knew, over what the rule bears, its highest
}

// tally counts in the current second.
type tally struct {
	second int64
	count  uint64
}

// add gives the count with one more.
func (t *tally) add(now time.Duration) uint64 {
	if s := int64(now / time.Second); s != t.second {
		t.second, t.count = s, 0
	}
	t.count++
	return t.count
}

// came enters an attempt at an app node.
func (o *Oracle) came(n *world.Node) {
	for len(o.attempts) <= n.Index {
		o.attempts = append(o.attempts, tally{})
	}
	o.HottestNode = max(o.HottestNode, o.attempts[n.Index].add(o.w.Clock.Now()))
	o.MostConns = max(o.MostConns, n.Conns())
}

// Called enters a call to discovery.
func (o *Oracle) Called(int) { o.MostCalls = max(o.MostCalls, o.calls.add(o.w.Clock.Now())) }
