package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/softstate"
)

const (
	// confirmTimeout is the time that a call of an instance leaves for a confirmation.
	confirmTimeout = 500 * time.Millisecond
	// convergenceTimeout is the time within which a confirmed record must reach all connected routers.
	convergenceTimeout = 2 * time.Second
)

// confirm publishes a record at a router and waits until a majority of the fleet's first routers, as replicas, has
// confirmed it.
func (f *fleet) confirm(r *router, key string, replicas int) error {
	record := softstate.Record{Kind: testKind, Key: key, Payload: []byte(key)}
	r.cluster.Publish(record)
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return r.cluster.Confirm(ctx, record.ID(), f.addresses(replicas), f.majorityOf(replicas))
}

func (f *fleet) addresses(count int) []string {
	var list []string
	for _, r := range f.routers[:count] {
		list = append(list, r.member.Address)
	}
	return list
}

func (f *fleet) majorityOf(count int) func(holds func(string) bool) bool {
	return func(holds func(string) bool) bool {
		held := 0
		for _, address := range f.addresses(count) {
			if holds(address) {
				held++
			}
		}
		return held > count/2
	}
}

// hasRecord reports whether the router holds a record of the key.
func (r *router) hasRecord(key string) bool {
	_, known := r.cluster.Get(testKind, key)
	return known
}

// TestConfirmTakesOneRound checks that a confirmation takes confirmDelay and one round trip to the replicas, and few
// messages.
func TestConfirmTakesOneRound(t *testing.T) {
	for _, size := range []int{1, 5, 92} {
		inBubble(t, func(t *testing.T) {
			f := newFleet(t, size, 3, 1)
			f.startAndSettle()
			from := f.routers[size-1]
			before := from.endpoint.sent()
			begin := time.Now()
			replicas := min(size, 5)
			assert.NilError(t, f.confirm(from, "key", replicas))
			assert.Assert(t, time.Since(begin) < 100*time.Millisecond, "%v", time.Since(begin))
			// The record is relayed along the tree, and sent to each replica once more.
			sent := from.endpoint.sent() - before
			assert.Assert(t, sent < 40, "%d messages", sent)
		})
	}
}

// TestConfirmNeedsMajorityOfDisks guards against an acknowledgement that a restart of all routers would forget: replicas
// that hold a record in memory alone don't count, whether they are asked or ask themselves.
func TestConfirmNeedsMajorityOfDisks(t *testing.T) {
	const size, replicas = 5, 3
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, size, 3, 1)
		f.startAndSettle()
		for failing := range replicas + 1 {
			for i, r := range f.routers {
				r.diskFails.Store(i < failing)
			}
			for _, from := range f.routers {
				err := f.confirm(from, fmt.Sprint(from.member.Node, failing), replicas)
				if failing <= replicas/2 {
					assert.NilError(t, err, "%d disks fail, from %s", failing, from.member.Node)
				} else {
					assert.ErrorIs(t, err, ErrNotConfirmed, "%d disks fail, from %s", failing, from.member.Node)
				}
			}
		}
	})
}

// TestOneThatIsCutOffConfirmsNothing checks that a router without links to the others gets no confirmation.
func TestOneThatIsCutOffConfirmsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 7, 3, 1)
		f.startAndSettle()
		for _, from := range []*router{f.routers[0], f.routers[6]} {
			f.setPartition([]*router{from}, f.allExcept(from), true)
			begin := time.Now()
			assert.ErrorIs(t, f.confirm(from, from.member.Node, 3), ErrNotConfirmed)
			assert.Assert(t, time.Since(begin) <= confirmTimeout)
			f.setPartition([]*router{from}, f.allExcept(from), false)
			time.Sleep(convergenceTimeout)
		}
	})
}

func (f *fleet) allExcept(from *router) []*router {
	var others []*router
	for _, r := range f.routers {
		if r != from {
			others = append(others, r)
		}
	}
	return others
}

// TestWhatIsConfirmedReachesAllInTouch cuts every subset of the links between five routers, three of them
// replicas, one subset after the other. A record that is confirmed meanwhile must soon reach every router that can
// reach all replicas that are linked to a majority of the replicas.
func TestWhatIsConfirmedReachesAllInTouch(t *testing.T) {
	const size, replicas = 5, 3
	confirmed, topologies := 0, 0
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, size, 1, 1)
		f.startAndSettle()
		publisher := f.routers[size-1]
		links := f.routerPairs(size)
		for cut := range 1 << len(links) {
			f.setLinkPartitions(links, cut, true)
			key := fmt.Sprint("key-", cut)
			err := f.confirm(publisher, key, replicas)
			topologies++
			if err == nil {
				confirmed++
				time.Sleep(convergenceTimeout)
				for i, r := range f.routers {
					if f.connectedToMajority(links, cut, i, replicas) {
						assert.Assert(t, r.hasRecord(key), "router %d lacks the confirmed record, links cut: %010b", i, cut)
					}
				}
			}
			f.setLinkPartitions(links, cut, false)
			time.Sleep(convergenceTimeout)
		}
	})
	t.Logf("%d sets of links cut, confirmed in %d", topologies, confirmed)
	assert.Equal(t, topologies, 1024)
	assert.Assert(t, confirmed > topologies/3)
}

// routerPairs returns all pairs of the first routers, by index.
func (f *fleet) routerPairs(size int) [][2]int {
	var links [][2]int
	for a := range size {
		for b := a + 1; b < size; b++ {
			links = append(links, [2]int{a, b})
		}
	}
	return links
}

// setLinkPartitions breaks or restores the links whose bits are set.
func (f *fleet) setLinkPartitions(links [][2]int, set int, broken bool) {
	for i, pair := range links {
		if set&(1<<i) != 0 {
			f.setPartition(f.routers[pair[0]:pair[0]+1], f.routers[pair[1]:pair[1]+1], broken)
		}
	}
}

// connectedToMajority reports whether a router reaches every replica that itself reaches a majority of the replicas,
// counting itself.
func (f *fleet) connectedToMajority(links [][2]int, cut, router, replicas int) bool {
	reaches := func(a, b int) bool {
		for i, pair := range links {
			if cut&(1<<i) != 0 && (pair == [2]int{a, b} || pair == [2]int{b, a}) {
				return false
			}
		}
		return true
	}
	inMajority := 0
	for replica := range replicas {
		reached := 0
		for other := range replicas {
			if reaches(replica, other) {
				reached++
			}
		}
		if reached <= replicas/2 {
			continue
		}
		inMajority++
		if !reaches(router, replica) {
			return false
		}
	}
	return inMajority > 0
}
