package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/peers"
	"pewterrudder/internal/fleet/view"
)

// crowd is the others that one process hears. They answer it, and do to it what a fleet of them would, a probe each interval and an
// exchange of views each pause, but nothing to each other: a hundred and fifty that also probed each other took more than the lab has, missed
// each other's signs of life, and called each other lost until the process under test knew of none.
type crowd struct {
	members []*peers.Peers
	ended   chan struct{}
	work    sync.WaitGroup
}

// gather makes so many and waits until the first of them, which the process asks, knows them all.
func gather(ctx context.Context, n int, member func(int) string, set config.Peers) (*crowd, error) {
	c := &crowd{ended: make(chan struct{})}
	var known atomic.Int64
	for i := 1; i <= n; i++ {
		own := set
		own.Address, own.Seeds = member(i), []string{member(1)}
		post := func(view.Event) {}
		if i == 1 {
			post = func(e view.Event) {
				switch e.Kind {
				case view.Joined:
					known.Add(1)
				case view.Lost, view.Left:
					known.Add(-1)
				}
			}
		}
		p, err := peers.Join(peers.Options{Settings: own, Own: view.Life{ID: fmt.Sprint("member ", i), Name: fmt.Sprint("member-", i), Stamp: 1},
			Post: post, Known: func() []peers.Known { return nil }, Log: func(string) {}, Passive: true})
		if err != nil {
			return c, err
		}
		c.members = append(c.members, p)
	}
	until := time.Now().Add(time.Minute + time.Duration(n)*time.Second/2)
	for i := 0; known.Load() < int64(n); i++ { // words that some have missed come with whole views
		time.Sleep(10 * time.Millisecond)
		c.members[i%n].Exchange(member(1))
		if time.Now().After(until) || ctx.Err() != nil {
			return c, fmt.Errorf("the lab's own members know %d of %d", known.Load(), n)
		}
	}
	return c, nil
}

// heard has the process at an address be probed and asked for its view as often as it would be.
func (c *crowd) heard(at string) {
	if len(c.members) == 0 {
		return
	}
	each := func(pause time.Duration, do func(*peers.Peers)) {
		c.work.Go(func() {
			t := time.NewTicker(pause)
			defer t.Stop()
			for {
				select {
				case <-c.ended:
					return
				case <-t.C:
					do(c.members[rand.IntN(len(c.members))])
				}
			}
		})
	}
	each(peers.ProbeEvery, func(p *peers.Peers) { p.Ping("", at) })
	each(peers.ExchangePause(len(c.members)+1), func(p *peers.Peers) { p.Exchange(at) })
}

// close ends them, all at once: each says that it leaves, which takes a moment.
func (c *crowd) close() {
	close(c.ended)
	c.work.Wait()
	for _, p := range c.members {
		c.work.Go(p.Close)
	}
	c.work.Wait()
}
