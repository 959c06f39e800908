package sightings

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/relaytree"
	"pewterrudder/internal/router/transport"
)

const (
	testZones = 3
	// propagationTime is sufficient for a sighting to reach all routers: there are three stages of one interval each.
	propagationTime = 4 * flushInterval
)

// fleet is a number of routers in zones, connected by a reliable network that counts messages.
type fleet struct {
	mutex    sync.Mutex
	nodes    []string
	routers  map[string]*testRouter
	messages map[string]int // received, by node
}

type testRouter struct {
	exchange *Exchange
	store    *Store
	stop     context.CancelFunc
}

func newFleet(count int) *fleet {
	f := &fleet{routers: map[string]*testRouter{}, messages: map[string]int{}}
	for i := range count {
		f.nodes = append(f.nodes, fmt.Sprintf("router-%d", i))
	}
	for _, node := range f.nodes {
		f.start(node)
	}
	return f
}

func (f *fleet) start(node string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &testRouter{store: NewStore(time.Minute)}
	r.exchange = NewExchange(Options{
		Node:      node,
		Messenger: f,
		View:      func() *membership.View { return f.view(node) },
		OnReceive: r.store.Add,
		Recent:    r.store.Recent,
		Log:       log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	f.mutex.Lock()
	f.routers[node] = r
	f.mutex.Unlock()
	go r.exchange.Run(ctx)
}

func (f *fleet) stopAll() {
	for _, r := range f.routers {
		r.stop()
	}
}

// kill stops a router, which the others notice immediately.
func (f *fleet) kill(node string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.routers[node].stop()
	delete(f.routers, node)
}

func (f *fleet) zoneOf(node string) string {
	number := 0
	_, _ = fmt.Sscanf(node, "router-%d", &number)
	return fmt.Sprint("zone-", number%testZones)
}

func (f *fleet) view(self string) *membership.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	member := func(node string) membership.Member {
		return membership.Member{Node: node, Address: node, Zone: f.zoneOf(node), Incarnation: 1}
	}
	detector := membership.NewDetector(member(self), testStart)
	for node := range f.routers {
		if node != self {
			detector.Merge(membership.Entry{Member: member(node), By: node}, testStart)
		}
	}
	detector.Refresh(testStart)
	return detector.View()
}

func (f *fleet) Send(address string, _ transport.Kind, body []byte) {
	f.mutex.Lock()
	target := f.routers[address]
	f.messages[address]++
	f.mutex.Unlock()
	if target == nil {
		return
	}
	if _, err := target.exchange.Handle(context.Background(), body); err != nil {
		panic(err)
	}
}

// informAll ends the wait of the routers for sightings from before their start: they are the first to start.
func (f *fleet) informAll() {
	for _, r := range f.routers {
		r.exchange.SetSynchronized()
	}
}

func sightingOf(block int) Sighting {
	return Sighting{Instance: 1, Block: prefixcache.Key(block), Tokens: 100}
}

func (r *testRouter) knows(sighting Sighting) bool {
	for _, known := range r.store.Recent(time.Now()) {
		if known == sighting {
			return true
		}
	}
	return false
}

func withFleet(t *testing.T, count int, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(count)
		defer f.stopAll()
		f.informAll()
		run(t, f)
	})
}

func TestEverySightingReachesEveryRouter(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *fleet) {
		for i, node := range f.nodes {
			f.routers[node].exchange.Announce(sightingOf(i))
		}
		time.Sleep(propagationTime)
		for _, node := range f.nodes {
			assert.Equal(t, len(f.routers[node].store.Recent(time.Now())), len(f.nodes), "%s", node)
			assert.Assert(t, f.routers[node].exchange.IsCurrent(time.Now()))
		}
	})
}

// TestMessageRateIsIndependentOfFleetSize counts the messages that the busiest router, apart from the collectors,
// receives while all routers announce sightings.
func TestMessageRateIsIndependentOfFleetSize(t *testing.T) {
	received := func(count int) int {
		most := 0
		withFleet(t, count, func(t *testing.T, f *fleet) {
			for step := range 20 {
				for i, node := range f.nodes {
					f.routers[node].exchange.Announce(sightingOf(step*count + i))
				}
				time.Sleep(flushInterval)
			}
			for _, node := range f.nodes {
				if head, _ := relaytree.Head(f.view(node), f.zoneOf(node), treeName); head.Node != node {
					most = max(most, f.messages[node])
				}
			}
		})
		return most
	}
	assert.Assert(t, received(60) <= received(9)+1)
}

func TestIdleRoutersSendNothing(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		time.Sleep(time.Minute)
		assert.Equal(t, len(f.messages), 0)
		assert.Assert(t, !f.routers[f.nodes[0]].exchange.IsCurrent(time.Now()), "no router has sent anything")
	})
}

func TestADeadCollectorIsReplaced(t *testing.T) {
	withFleet(t, 12, func(t *testing.T, f *fleet) {
		self := f.nodes[0]
		head, _ := relaytree.Head(f.view(self), f.zoneOf(self), treeName)
		f.kill(head.Node)
		for node, r := range f.routers {
			if f.zoneOf(node) == f.zoneOf(head.Node) {
				r.exchange.Announce(sightingOf(1))
				break
			}
		}
		time.Sleep(propagationTime)
		for node, r := range f.routers {
			assert.Assert(t, r.knows(sightingOf(1)), "%s", node)
		}
	})
}

// TestAStartingRouterReceivesRecentSightings guards against a router that reports to be alive before it has them: it
// would regard blocks that instances have already computed as not computed.
func TestAStartingRouterReceivesRecentSightings(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		f.routers[f.nodes[0]].exchange.Announce(sightingOf(1))
		time.Sleep(propagationTime)
		f.kill(f.nodes[5])
		f.start(f.nodes[5])
		restarted := f.routers[f.nodes[5]]
		assert.Assert(t, !restarted.exchange.Synchronized())
		assert.Assert(t, !restarted.exchange.IsCurrent(time.Now()))
		time.Sleep(2 * flushInterval)
		assert.Assert(t, restarted.exchange.Synchronized())
		assert.Assert(t, restarted.exchange.IsCurrent(time.Now()))
		assert.Assert(t, restarted.knows(sightingOf(1)))
	})
}

// TestASimultaneousStartRestoresFromDisk guards against the loss of all sightings when all routers start at once: none
// of them can answer a request for recent sightings until one has restored its saved ones.
func TestASimultaneousStartRestoresFromDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(12)
		defer f.stopAll()
		time.Sleep(10 * flushInterval)
		for node, r := range f.routers {
			assert.Assert(t, !r.exchange.Synchronized(), "%s was synchronized by a router that has no sightings", node)
		}
		f.routers[f.nodes[3]].exchange.Restore([]Sighting{sightingOf(1)})
		time.Sleep(10 * flushInterval)
		for node, r := range f.routers {
			assert.Assert(t, r.exchange.Synchronized(), "%s", node)
			assert.Assert(t, r.knows(sightingOf(1)), "%s", node)
		}
	})
}

func TestASingleRouterDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stopAll()
		time.Sleep(2 * flushInterval)
		assert.Assert(t, f.routers[f.nodes[0]].exchange.Synchronized())
	})
}

func TestPendingSightingsAreBounded(t *testing.T) {
	e := NewExchange(Options{})
	for block := range 2 * maxPending {
		e.Announce(sightingOf(block))
	}
	assert.Equal(t, len(e.drainOwn()), maxPending)
}

func TestAMalformedMessageIsAnError(t *testing.T) {
	_, err := NewExchange(Options{}).Handle(t.Context(), []byte{0xc1})
	assert.ErrorContains(t, err, "sightings")
}
