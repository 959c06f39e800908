package reducer

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/selector"

	"pgregory.net/rapid"
)

// adjust applies a change of pools and runs the callbacks that follow.
func (h *harness) adjust(e PoolsChanged) {
	h.do(e)
	h.runCallbacks()
}

// runCallbacks runs the callbacks among the effects of the last event.
func (h *harness) runCallbacks() {
	for _, e := range h.effects {
		if tell, ok := e.(RunCallback); ok {
			tell.Do()
		}
	}
}

// runNextSlice processes one more slice and reports whether there was one.
func (h *harness) runNextSlice() bool {
	i := slices.IndexFunc(h.timers, func(d scheduledEvent) bool { _, ok := d.event.(nextSlice); return ok })
	if i < 0 {
		return false
	}
	h.timers = slices.Delete(h.timers, i, i+1)
	h.do(nextSlice{})
	h.runCallbacks()
	return true
}

// drawSelector draws a selector that matches some, all or none of a small fleet.
func drawSelector(t *rapid.T) (s selector.Selector) {
	switch rapid.IntRange(0, 5).Draw(t, "key") {
	case 0:
		s.Zones = rapid.SampledFrom([][]string{{"a"}, {"b"}, {"a", "c"}, {"nowhere"}}).Draw(t, "zones")
	case 1:
		s.Kinds = rapid.SampledFrom([][]string{{"m1"}, {"m*"}, {"n*", "m2"}, {"*2"}}).Draw(t, "kinds")
	case 2:
		s.Cells = rapid.SampledFrom([][]int{{0}, {1, 2}, {7}}).Draw(t, "cells")
	case 3:
		s.IDs = rapid.SampledFrom([][]string{{"s1*"}, {"s7", "s8"}, {"s*9"}}).Draw(t, "ids")
	case 4:
		s = selector.Selector{Zones: []string{"a", "b"}, Kinds: []string{"m1"}, Cells: []int{0, 1}}
	}
	return s
}

// Pools are added, changed and removed one by one while lists arrive and calls are open. In the end exactly the wanted
// pools exist, each sees exactly the app nodes that match its selector, and the indexes of removed pools are free. When
// Done is called, new calls follow the new routes; every Done is called.
func TestPoolChangesMatchModel(t *testing.T) {
	// Each check processes hundreds of entries at a time.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "2000" {
		flag.Set("rapid.checks", "60")
		defer flag.Set("rapid.checks", "2000")
	}
	rapid.Check(t, func(t *rapid.T) {
		start := Layout{Pools: []PoolSpec{{Name: "p0"}, {Name: "p1", Selector: inZone("a")}}}
		h, deciders := newPoolHarness(t, start)
		wanted := map[int]PoolSpec{0: start.Pools[0], 1: start.Pools[1]} // by ID
		expected := map[string]brain.Member{}
		// The pools wanted by the last change whose Done was called.
		inForce, confirmed, requested := maps.Clone(wanted), 0, 0
		routedID := 0
		check := func(t *rapid.T) { // once all slices have been processed
			if confirmed != requested || !maps.EqualFunc(inForce, wanted, func(a, b PoolSpec) bool { return a.Name == b.Name && a.Selector.Equal(b.Selector) }) {
				t.Fatalf("%d of %d changes confirmed; pools in force: %v, want %v", confirmed, requested, inForce, wanted)
			}
			if len(h.r.routedPools) != len(wanted) || len(h.r.poolsByName) != len(wanted) || len(h.r.poolsByID) != len(wanted) {
				t.Fatalf("%d routed pools, %d names, %d IDs; want %d pools", len(h.r.routedPools), len(h.r.poolsByName), len(h.r.poolsByID), len(wanted))
			}
			for i, id := range slices.Sorted(maps.Keys(wanted)) {
				spec, p := wanted[id], h.r.routedPools[i]
				if p.id != id || p.Name != spec.Name || p != h.r.poolsByID[id] || p != h.r.poolsByName[spec.Name] || p.retired {
					t.Fatalf("routedPools[%d] is %q with ID %d, want %q with ID %d", i, p.Name, p.id, spec.Name, id)
				}
				want := map[string]brain.Member{}
				for name, m := range expected {
					if m.Bit = h.r.zoneBit(m.Zone); spec.Selector.Matches(&m) {
						want[name] = m
					}
				}
				if v := deciders[p.Name]; !maps.Equal(v.members, want) {
					t.Fatalf("pool %s has %d servers, want %d", p.Name, len(v.members), len(want))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				l := List{Complete: rapid.IntRange(0, 3).Draw(t, "complete") == 0, Revision: 1}
				if l.Complete {
					clear(expected)
				}
				rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "entries' seed"), 0))
				const most = 2 * maxServersPerEvent // a scan of it takes several slices
				n := rapid.SampledFrom([]int{1, 3, 250, most}).Draw(t, "entries")
				for k := range n {
					i := k
					if n < most {
						i = rng.IntN(most)
					}
					m := brain.Member{Server: fmt.Sprint("s", i), Weight: 1, Cell: i % 4, Zone: []string{"a", "b", "c"}[rng.IntN(3)],
						Kind: []string{"m1", "m2", "n1"}[rng.IntN(3)], State: []brain.Readiness{brain.Ready, brain.Draining, brain.Gone}[max(0, rng.IntN(6)-3)]}
					if expected[m.Server] = m; m.State == brain.Gone {
						delete(expected, m.Server)
					}
					l.Members, l.Addresses = append(l.Members, m), append(l.Addresses, fmt.Sprint("n", i, ":1"))
				}
				h.listed(l)
				h.runCallbacks()
			},
			"adjust": func(t *rapid.T) {
				var e PoolsChanged
				refused := 0
				for range rapid.IntRange(0, 3).Draw(t, "changes") {
					c := PoolChange{ID: rapid.IntRange(0, 6).Draw(t, "id")}
					if rapid.IntRange(0, 2).Draw(t, "gone") > 0 {
						c.Spec = &PoolSpec{Name: fmt.Sprint("p", rapid.IntRange(0, 7).Draw(t, "name")), Selector: drawSelector(t)}
					}
					e.Pools = append(e.Pools, c)
					_, exists := wanted[c.ID]
					switch other := func() bool {
						for id, s := range wanted {
							if c.Spec != nil && id != c.ID && s.Name == c.Spec.Name {
								return true
							}
						}
						return false
					}(); {
					case c.Spec == nil && exists && len(wanted) == 1 || other:
						refused++
					case c.Spec == nil:
						delete(wanted, c.ID)
					default:
						wanted[c.ID] = *c.Spec
					}
				}
				to := rapid.IntRange(0, 6).Draw(t, "route")
				e.Route = func(*Call) int { return to }
				now := maps.Clone(wanted)
				requested++
				e.Done = func() { confirmed, inForce, routedID = confirmed+1, now, to }
				h.do(e)
				lines := 0
				for _, f := range h.effects {
					if l, ok := f.(Log); ok && strings.HasPrefix(l.Text, "pools: ") {
						lines++
					}
				}
				if lines != refused {
					t.Fatalf("%d rejected changes logged, want %d: %+v", lines, refused, h.effects)
				}
				h.runCallbacks()
			},
			"call": func(t *rapid.T) {
				id := h.arrive(0, 600*ms)
				c := h.r.calls[id]
				if c == nil {
					return
				}
				want, ok := inForce[routedID]
				if !ok {
					want = inForce[slices.Min(slices.Collect(maps.Keys(inForce)))]
				}
				if len(h.r.jobs) == 0 && c.pool.Name != want.Name {
					t.Fatalf("call routed to pool %s, want %s", c.pool.Name, want.Name)
				}
				h.staysInPool(id)
			},
			"end":   func(*rapid.T) { h.serveAll() },
			"slice": func(t *rapid.T) { h.runNextSlice() },
			"settle": func(t *rapid.T) {
				for h.runNextSlice() {
				}
				check(t)
			},
			"": func(t *rapid.T) { h.checkPoolCounts(t) },
		})
		for h.runNextSlice() {
		}
		h.advance(2 * time.Second)
		check(t)
		if h.r.poolCount() != len(wanted) { // no call is left
			t.Fatalf("%d pool indexes in use, want %d", h.r.poolCount(), len(wanted))
		}
	})
}

// checkPoolCounts compares the counters of the pools with the servers themselves.
func (h *harness) checkPoolCounts(t *rapid.T) {
	ready, matched := make([]int, len(h.r.pools)), make([]int, len(h.r.pools))
	for _, s := range h.r.serverList {
		for _, i := range s.matchingPools {
			matched[i]++
		}
		for _, i := range s.usingPools {
			if s.member.State == brain.Ready {
				ready[i]++
			}
		}
	}
	for i, p := range h.r.pools {
		switch {
		case p == nil && matched[i]+ready[i] > 0:
			t.Fatalf("%d servers refer to pool index %d, which is free", matched[i], i)
		case p != nil && (p.matchedServers != matched[i] || p.readyMembers != ready[i] || int(p.index) != i):
			t.Fatalf("pool %s at index %d counts %d servers, %d ready; want %d and %d", p.Name, i, p.matchedServers, p.readyMembers, matched[i], ready[i])
		}
	}
}

// listOfKinds returns a complete list of n app nodes with the kinds k0, k1 and so on in turn.
func listOfKinds(n, kinds int) List {
	l := List{Complete: true, Revision: 1}
	for i := range n {
		l.Members = append(l.Members, brain.Member{Server: fmt.Sprint("s", i), Zone: "a", Kind: fmt.Sprint("k", i%kinds), Weight: 1})
		l.Addresses = append(l.Addresses, fmt.Sprint("n", i, ":1"))
	}
	return l
}

func ofKind(i int) selector.Selector { return selector.Selector{Kinds: []string{fmt.Sprint("k", i)}} }

// One pool replaces another while calls are open: until the new one has seen the list, all calls go to the old one,
// which finishes its open calls. Its index is not reused before.
func TestReplacedPoolServesUntilNewPoolIsReady(t *testing.T) {
	h, deciders := newPoolHarness(t, Layout{Pools: []PoolSpec{{Name: "old", Selector: ofKind(0)}}, Route: func(*Call) int { return 0 }})
	h.listed(listOfKinds(5000, 2))
	h.advance(ms)
	first := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	done, events := false, 0
	h.adjust(PoolsChanged{Pools: []PoolChange{{ID: 9, Spec: &PoolSpec{Name: "new", Selector: ofKind(1)}}, {ID: 0}}, Route: func(*Call) int { return 9 },
		Done: func() { done = true }})
	for more := true; more; events++ {
		id := h.arrive(0, 600*ms)
		if c := h.r.calls[id]; c == nil || len(c.attempts) != 1 || (c.pool.Name == "new") != done {
			t.Fatalf("event %d, change confirmed: %v: %+v", events, done, h.calls[id])
		}
		for _, d := range h.inState(dialing) {
			h.dialed(d, nil)
		}
		for _, b := range h.inState(busy) {
			if h.callOn[b] != first {
				h.exchanged(goodAnswer(b))
			}
		}
		more = h.runNextSlice()
	}
	if !done || events < 10 || len(deciders["new"].members) != 2500 || len(deciders["old"].members) != 0 {
		t.Fatalf("change confirmed: %v, after %d events; new pool has %d app nodes, old pool %d", done, events, len(deciders["new"].members), len(deciders["old"].members))
	}
	if h.r.pools[0] == nil || h.r.poolCount() != 2 {
		t.Error("the old pool was freed while it had an open call")
	}
	h.adjust(PoolsChanged{Pools: []PoolChange{{ID: 0, Spec: &PoolSpec{Name: "old"}}}}) // another pool with the same ID
	h.advance(ms)
	if names, _, _ := h.r.Pools(); !slices.Equal(names, []string{"old", "new"}) || h.r.routedPools[0] == h.r.pools[0] {
		t.Errorf("pools after the change: %v", names)
	}
	h.exchanged(goodAnswer(1))
	if c := h.calls[first]; c.reply.Kind != Served || h.r.pools[0] != nil {
		t.Errorf("%+v, index of the old pool holds %v", c, h.r.pools[0])
	}
}

// When the pool whose decider asks for the list is removed, the decider of another one takes over: a watch that breaks
// afterwards is reopened.
func TestDiscoveryPoolIsReplaced(t *testing.T) {
	h := newHarness(t, 8, "a:1")
	h.advance(2 * time.Second)
	for i, name := range []string{"b", "c"} { // twice: the second replaces the one that took over first
		h.adjust(PoolsChanged{Pools: []PoolChange{{ID: i + 1, Spec: &PoolSpec{Name: name}}, {ID: i}}})
		watch := h.r.watchID
		h.do(WatchEnded{watch, errDown})
		h.advance(2 * time.Second)
		if h.r.watchID != watch+1 || !h.r.watchOpen {
			t.Fatalf("pool %s: watch ID %d after %d, open: %v", name, h.r.watchID, watch, h.r.watchOpen)
		}
	}
	h.do(WatchEnded{h.r.watchID, errDown}) // the pool is removed while its decider waits to ask
	h.timers = slices.DeleteFunc(h.timers, func(d scheduledEvent) bool { e, ok := d.event.(deciderTimer); return ok && e.pool == h.r.discoveryPool })
	h.adjust(PoolsChanged{Pools: []PoolChange{{ID: 7, Spec: &PoolSpec{Name: "d"}}, {ID: 2}}})
	if h.advance(2 * time.Second); !h.r.watchOpen {
		t.Error("no decider asks for the list")
	}
}

// With hundreds of pools an event notifies only those that it affects: for a change of an app node, the pools that it
// belongs to and the one that asks for the list.
func TestChangeNotifiesOnlyAffectedPools(t *testing.T) {
	const n = 550
	var l Layout
	for i := range n {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i), Selector: ofKind(i)})
	}
	updates := map[string]int{}
	r, err := NewWithDeciders(settings(), 100, l, func(name string) brain.Decider {
		return eventFunc{func(brain.Event) { updates[name]++ }}
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	var scheduled []Event
	do := func(e Event) {
		for _, e := range r.Handle(now, e, nil) {
			if a, ok := e.(StartTimer); ok && a.After == 0 {
				scheduled = append(scheduled, a.Event)
			}
		}
	}
	settle := func() {
		for len(scheduled) > 0 {
			e := scheduled[0]
			scheduled = scheduled[1:]
			do(e)
		}
	}
	do(Started{Known: listOfKinds(5*n, n), Discovery: "d:1"})
	settle()
	do(Reloaded{Discovery: "d:2"})
	for what, c := range map[string]struct {
		ev   Event
		want map[string]int
	}{
		"a change": {Listed{r.watchID, List{Revision: 2, Addresses: []string{"n7:1"}, Members: []brain.Member{{Server: "s7", Zone: "a", Kind: "k7", Weight: 2}}}},
			map[string]int{"p0": 1, "p7": 1}},
		"a move": {Listed{r.watchID, List{Revision: 2, Addresses: []string{"n8:1"}, Members: []brain.Member{{Server: "s8", Zone: "a", Kind: "k9", Weight: 2}}}},
			map[string]int{"p0": 1, "p8": 1, "p9": 1}},
		"nothing new":    {Listed{r.watchID, List{Revision: 2}}, map[string]int{"p0": 1}},
		"a broken watch": {WatchEnded{r.watchID, errDown}, map[string]int{"p0": 1}},
		// Notified once per slice of the scan that finds members.
		"a pool's change": {PoolsChanged{Pools: []PoolChange{{ID: 3, Spec: &PoolSpec{Name: "p3", Selector: ofKind(1000)}}}}, map[string]int{"p3": 3}},
	} {
		clear(updates)
		do(c.ev)
		settle()
		if !maps.Equal(updates, c.want) {
			t.Errorf("%s: %d pools notified, want %v", what, len(updates), c.want)
		}
	}
}

// MaxPools pools are accepted, and not one more.
func TestMaxPools(t *testing.T) {
	l := Layout{Route: func(c *Call) int { return c.Class }}
	for i := range MaxPools {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i), Selector: ofKind(i)})
	}
	h, deciders := newPoolHarness(t, l)
	h.listed(listOfKinds(MaxPools, MaxPools))
	h.advance(ms)
	for _, i := range []int{0, 63, 64, 255, 256, MaxPools - 1} {
		if v := deciders[fmt.Sprint("p", i)]; len(v.members) != 1 || cmp.Or(v.members[fmt.Sprint("s", i)].Server, "none") != fmt.Sprint("s", i) {
			t.Errorf("pool %d has members %v", i, v.members)
		}
	}
	confirmed := 0
	h.adjust(PoolsChanged{Pools: []PoolChange{{ID: MaxPools, Spec: &PoolSpec{Name: "more"}}}, Done: func() { confirmed++ }})
	if !h.hasEffect(func(e Effect) bool { l, ok := e.(Log); return ok && strings.Contains(l.Text, "4097 pools") }) || confirmed != 1 {
		t.Errorf("one pool too many: %+v", h.effects)
	}
	h.adjust(PoolsChanged{Pools: []PoolChange{{ID: 5}}})
	h.advance(ms)
	h.adjust(PoolsChanged{Pools: []PoolChange{{ID: MaxPools, Spec: &PoolSpec{Name: "more", Selector: ofKind(5)}}}})
	h.advance(ms)
	if names, _, _ := h.r.Pools(); len(names) != MaxPools || names[MaxPools-1] != "more" || len(deciders["more"].members) != 1 {
		t.Errorf("%d pools, the last is %s", len(names), names[len(names)-1])
	}
}
