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

// adjust hands pools over, and has those who wait hear of it.
func (h *harness) adjust(e Adjusted) {
	h.do(e)
	h.runCallbacks()
}

// hear calls back those who wait for something that has happened.
func (h *harness) runCallbacks() {
	for _, e := range h.effects {
		if tell, ok := e.(Tell); ok {
			tell.Do()
		}
	}
}

// slice has one more slice worked through, if any is left.
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

// drawSelector asks for some of a small fleet, or for all or none.
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

// Whatever pools come, change and go one by one, while lists come and calls are under way: in the end there are those that
// are wanted and no others, each sees just the app nodes that it asks for, and every place of one that has gone is free. Who
// is told that a change is in force finds calls where the routes lead, and nobody is left untold.
func TestPoolsComeAndGoOneByOne(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "2000" { // each is long: hundreds of entries at a time
		flag.Set("rapid.checks", "60")
		defer flag.Set("rapid.checks", "2000")
	}
	rapid.Check(t, func(t *rapid.T) {
		start := Layout{Pools: []PoolSpec{{Name: "p0"}, {Name: "p1", Selector: inZone("a")}}}
		h, views := newPoolHarness(t, start)
		wanted := map[int]PoolSpec{0: start.Pools[0], 1: start.Pools[1]} // by ID
		truth := map[string]brain.Member{}
		force, heard, said := maps.Clone(wanted), 0, 0 // what was wanted when the last was told that it is in force
		leads := 0
		check := func(t *rapid.T) { // where all has been worked through
			if heard != said || !maps.EqualFunc(force, wanted, func(a, b PoolSpec) bool { return a.Name == b.Name && a.Selector.Equal(b.Selector) }) {
				t.Fatalf("%d of %d were told; in force are %v, want %v", heard, said, force, wanted)
			}
			if len(h.r.routedPools) != len(wanted) || len(h.r.poolsByName) != len(wanted) || len(h.r.poolsByID) != len(wanted) {
				t.Fatalf("%d targets, %d names, %d IDs for %d pools", len(h.r.routedPools), len(h.r.poolsByName), len(h.r.poolsByID), len(wanted))
			}
			for i, id := range slices.Sorted(maps.Keys(wanted)) {
				spec, p := wanted[id], h.r.routedPools[i]
				if p.id != id || p.Name != spec.Name || p != h.r.poolsByID[id] || p != h.r.poolsByName[spec.Name] || p.retired {
					t.Fatalf("pool %d is %q of ID %d, want %q of %d", i, p.Name, p.id, spec.Name, id)
				}
				want := map[string]brain.Member{}
				for name, m := range truth {
					if m.Bit = h.r.zoneBit(m.Zone); spec.Selector.Matches(&m) {
						want[name] = m
					}
				}
				if v := views[p.Name]; !maps.Equal(v.view, want) {
					t.Fatalf("pool %s sees %d servers, not %d", p.Name, len(v.view), len(want))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				l := List{Complete: rapid.IntRange(0, 3).Draw(t, "complete") == 0, Revision: 1}
				if l.Complete {
					clear(truth)
				}
				rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "entries' seed"), 0))
				const most = 2 * maxServersPerEvent // so that a walk takes several slices
				n := rapid.SampledFrom([]int{1, 3, 250, most}).Draw(t, "entries")
				for k := range n {
					i := k
					if n < most {
						i = rng.IntN(most)
					}
					m := brain.Member{Server: fmt.Sprint("s", i), Weight: 1, Cell: i % 4, Zone: []string{"a", "b", "c"}[rng.IntN(3)],
						Kind: []string{"m1", "m2", "n1"}[rng.IntN(3)], State: []brain.Readiness{brain.Ready, brain.Draining, brain.Gone}[max(0, rng.IntN(6)-3)]}
					if truth[m.Server] = m; m.State == brain.Gone {
						delete(truth, m.Server)
					}
					l.Members, l.Addresses = append(l.Members, m), append(l.Addresses, fmt.Sprint("n", i, ":1"))
				}
				h.listed(l)
				h.runCallbacks()
			},
			"adjust": func(t *rapid.T) {
				var e Adjusted
				refused := 0
				for range rapid.IntRange(0, 3).Draw(t, "changes") {
					c := PoolChange{ID: rapid.IntRange(0, 6).Draw(t, "id")}
					if rapid.IntRange(0, 2).Draw(t, "gone") > 0 {
						c.Spec = &PoolSpec{Name: fmt.Sprint("p", rapid.IntRange(0, 7).Draw(t, "name")), Selector: drawSelector(t)}
					}
					e.Pools = append(e.Pools, c)
					_, there := wanted[c.ID]
					switch other := func() bool {
						for id, s := range wanted {
							if c.Spec != nil && id != c.ID && s.Name == c.Spec.Name {
								return true
							}
						}
						return false
					}(); {
					case c.Spec == nil && there && len(wanted) == 1 || other:
						refused++
					case c.Spec == nil:
						delete(wanted, c.ID)
					default:
						wanted[c.ID] = *c.Spec
					}
				}
				to := rapid.IntRange(0, 6).Draw(t, "leads")
				e.Route = func(*Call) int { return to }
				now := maps.Clone(wanted)
				said++
				e.Done = func() { heard, force, leads = heard+1, now, to }
				h.do(e)
				lines := 0
				for _, f := range h.effects {
					if l, ok := f.(Log); ok && strings.HasPrefix(l.Text, "pools: ") {
						lines++
					}
				}
				if lines != refused {
					t.Fatalf("%d refusals were named, want %d: %+v", lines, refused, h.effects)
				}
				h.runCallbacks()
			},
			"call": func(t *rapid.T) {
				id := h.arrive(0, 600*ms)
				c := h.r.calls[id]
				if c == nil {
					return
				}
				want, ok := force[leads]
				if !ok {
					want = force[slices.Min(slices.Collect(maps.Keys(force)))]
				}
				if len(h.r.jobs) == 0 && c.pool.Name != want.Name {
					t.Fatalf("a call goes to %s, want %s", c.pool.Name, want.Name)
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
			t.Fatalf("%d places for %d pools", h.r.poolCount(), len(wanted))
		}
	})
}

// sums holds what the pools count against the servers themselves.
func (h *harness) checkPoolCounts(t *rapid.T) {
	ready, held := make([]int, len(h.r.pools)), make([]int, len(h.r.pools))
	for _, s := range h.r.serverList {
		for _, i := range s.matchingPools {
			held[i]++
		}
		for _, i := range s.usingPools {
			if s.member.State == brain.Ready {
				ready[i]++
			}
		}
	}
	for i, p := range h.r.pools {
		switch {
		case p == nil && held[i]+ready[i] > 0:
			t.Fatalf("%d servers know the place %d, which is free", held[i], i)
		case p != nil && (p.matchedServers != held[i] || p.readyMembers != ready[i] || int(p.index) != i):
			t.Fatalf("pool %s at %d counts %d, of them %d ready, and not %d and %d", p.Name, i, p.matchedServers, p.readyMembers, held[i], ready[i])
		}
	}
}

// kindsOf is a whole list of n app nodes, of kinds k0, k1 and so on by turns.
func listOfKinds(n, kinds int) List {
	l := List{Complete: true, Revision: 1}
	for i := range n {
		l.Members = append(l.Members, brain.Member{Server: fmt.Sprint("s", i), Zone: "a", Kind: fmt.Sprint("k", i%kinds), Weight: 1})
		l.Addresses = append(l.Addresses, fmt.Sprint("n", i, ":1"))
	}
	return l
}

func ofKind(i int) selector.Selector { return selector.Selector{Kinds: []string{fmt.Sprint("k", i)}} }

// A pool takes another's place with calls under way: until the new one has seen the list all go to the old one, which serves
// what it has to the end. Its place goes to nobody before.
func TestAPoolMakesRoomForAnother(t *testing.T) {
	h, views := newPoolHarness(t, Layout{Pools: []PoolSpec{{Name: "old", Selector: ofKind(0)}}, Route: func(*Call) int { return 0 }})
	h.listed(listOfKinds(5000, 2))
	h.advance(ms)
	first := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	told, events := false, 0
	h.adjust(Adjusted{Pools: []PoolChange{{ID: 9, Spec: &PoolSpec{Name: "new", Selector: ofKind(1)}}, {ID: 0}}, Route: func(*Call) int { return 9 },
		Done: func() { told = true }})
	for more := true; more; events++ {
		id := h.arrive(0, 600*ms)
		if c := h.r.calls[id]; c == nil || len(c.attempts) != 1 || (c.pool.Name == "new") != told {
			t.Fatalf("event %d, told: %v: %+v", events, told, h.calls[id])
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
	if !told || events < 10 || len(views["new"].view) != 2500 || len(views["old"].view) != 0 {
		t.Fatalf("told: %v, after %d events; %d and %d app nodes", told, events, len(views["new"].view), len(views["old"].view))
	}
	if h.r.pools[0] == nil || h.r.poolCount() != 2 {
		t.Error("the old pool has gone with a call under way")
	}
	h.adjust(Adjusted{Pools: []PoolChange{{ID: 0, Spec: &PoolSpec{Name: "old"}}}}) // another, at the same ID
	h.advance(ms)
	if names, _, _ := h.r.Pools(); !slices.Equal(names, []string{"old", "new"}) || h.r.routedPools[0] == h.r.pools[0] {
		t.Errorf("%v", names)
	}
	h.exchanged(goodAnswer(1))
	if c := h.calls[first]; c.reply.Kind != Served || h.r.pools[0] != nil {
		t.Errorf("%+v, the old pool is %v", c, h.r.pools[0])
	}
}

// Where the pool goes whose node asks for the list, another's node does: a watch that breaks then is opened again.
func TestAnotherPoolAsksForTheList(t *testing.T) {
	h := newHarness(t, 8, "a:1")
	h.advance(2 * time.Second)
	for i, name := range []string{"b", "c"} { // twice, since the second takes the place of the first that asked
		h.adjust(Adjusted{Pools: []PoolChange{{ID: i + 1, Spec: &PoolSpec{Name: name}}, {ID: i}}})
		watch := h.r.watchID
		h.do(WatchEnded{watch, errDown})
		h.advance(2 * time.Second)
		if h.r.watchID != watch+1 || !h.r.watchOpen {
			t.Fatalf("pool %s: watch %d after %d, open: %v", name, h.r.watchID, watch, h.r.watchOpen)
		}
	}
	h.do(WatchEnded{h.r.watchID, errDown}) // it goes while it waits to ask
	h.timers = slices.DeleteFunc(h.timers, func(d scheduledEvent) bool { e, ok := d.event.(deciderTimer); return ok && e.pool == h.r.discoveryPool })
	h.adjust(Adjusted{Pools: []PoolChange{{ID: 7, Spec: &PoolSpec{Name: "d"}}, {ID: 2}}})
	if h.advance(2 * time.Second); !h.r.watchOpen {
		t.Error("nobody asks any more")
	}
}

// Of thousands of pools an event tells those that it touches: of a change, those that the app node is of and the one that asks.
func TestAChangeTellsThePoolsThatItTouches(t *testing.T) {
	const n = 550
	var l Layout
	for i := range n {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i), Selector: ofKind(i)})
	}
	told := map[string]int{}
	r, err := NewPools(settings(), 100, l, func(name string) brain.Decider {
		return eventFunc{func(brain.Event) { told[name]++ }}
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	var due []Event
	do := func(e Event) {
		for _, e := range r.Handle(now, e, nil) {
			if a, ok := e.(Arm); ok && a.After == 0 {
				due = append(due, a.Event)
			}
		}
	}
	settle := func() {
		for len(due) > 0 {
			e := due[0]
			due = due[1:]
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
		"nothing new":     {Listed{r.watchID, List{Revision: 2}}, map[string]int{"p0": 1}},
		"a broken watch":  {WatchEnded{r.watchID, errDown}, map[string]int{"p0": 1}},
		"a pool's change": {Adjusted{Pools: []PoolChange{{ID: 3, Spec: &PoolSpec{Name: "p3", Selector: ofKind(1000)}}}}, map[string]int{"p3": 3}}, // in each slice of the walk that has some
	} {
		clear(told)
		do(c.ev)
		settle()
		if !maps.Equal(told, c.want) {
			t.Errorf("%s: %d pools were told, want %v", what, len(told), c.want)
		}
	}
}

// There may be PoolsMost pools, and not one more.
func TestThousandsOfPools(t *testing.T) {
	l := Layout{Route: func(c *Call) int { return c.Class }}
	for i := range MaxPools {
		l.Pools = append(l.Pools, PoolSpec{Name: fmt.Sprint("p", i), Selector: ofKind(i)})
	}
	h, views := newPoolHarness(t, l)
	h.listed(listOfKinds(MaxPools, MaxPools))
	h.advance(ms)
	for _, i := range []int{0, 63, 64, 255, 256, MaxPools - 1} {
		if v := views[fmt.Sprint("p", i)]; len(v.view) != 1 || cmp.Or(v.view[fmt.Sprint("s", i)].Server, "none") != fmt.Sprint("s", i) {
			t.Errorf("pool %d sees %v", i, v.view)
		}
	}
	told := 0
	h.adjust(Adjusted{Pools: []PoolChange{{ID: MaxPools, Spec: &PoolSpec{Name: "more"}}}, Done: func() { told++ }})
	if !h.hasEffect(func(e Effect) bool { l, ok := e.(Log); return ok && strings.Contains(l.Text, "4097 pools") }) || told != 1 {
		t.Errorf("one more: %+v", h.effects)
	}
	h.adjust(Adjusted{Pools: []PoolChange{{ID: 5}}})
	h.advance(ms)
	h.adjust(Adjusted{Pools: []PoolChange{{ID: MaxPools, Spec: &PoolSpec{Name: "more", Selector: ofKind(5)}}}})
	h.advance(ms)
	if names, _, _ := h.r.Pools(); len(names) != MaxPools || names[MaxPools-1] != "more" || len(views["more"].view) != 1 {
		t.Errorf("%d pools, the last is %s", len(names), names[len(names)-1])
	}
}
