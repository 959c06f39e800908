package attempt

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

var errClosedOnOpen = errors.New("attempt: instance closed a new connection immediately")

// counters holds the pool's counters.
type counters struct {
	dials   atomic.Uint64
	stale   atomic.Uint64
	foreign atomic.Uint64
}

// Stats holds counts since the pool was created; Open is a current value.
type Stats struct {
	Dials   uint64 // attempts to open a connection, including failed ones
	Stale   uint64 // idle connections found unfit for reuse: closed, expired, with unexpected bytes or at risk of being closed
	Foreign uint64 // responses that belonged to other requests
	Open    int    // connections in use, idle or being opened
}

// Stats returns a snapshot of the counters.
func (p *Pool) Stats() Stats {
	f := Stats{Dials: p.counters.dials.Load(), Stale: p.counters.stale.Load(), Foreign: p.counters.foreign.Load()}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		f.Open += h.open
	}
	return f
}
