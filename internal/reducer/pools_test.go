package reducer

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
	"pewterrudder/internal/selector"

	"pgregory.net/rapid"
)

// viewDecider is a decider that tracks its members from the updates and sends each call to one of them.
type viewDecider struct {
	t             interface{ Fatalf(string, ...any) }
	members       map[string]brain.Member
	order         []string // in order of arrival; may include removed ones
	largestUpdate int      // entries in one update
	sends         map[string]string
}

func (v *viewDecider) Handle(_ time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.FleetUpdate:
		v.largestUpdate = max(v.largestUpdate, len(e.Members))
		if e.Kind == brain.UpdateFull || e.Kind == brain.UpdateRestored && len(v.members) > 0 {
			v.t.Fatalf("update of kind %d, which implies that servers it does not name are gone", e.Kind)
		}
		for _, m := range e.Members {
			if m.State == brain.Gone {
				if _, ok := v.members[m.Server]; !ok {
					v.t.Fatalf("%s reported as gone, but was never a member", m.Server)
				}
				delete(v.members, m.Server)
				continue
			}
			if _, ok := v.members[m.Server]; !ok {
				v.order = append(v.order, m.Server)
			}
			v.members[m.Server] = m
		}
	case *brain.Request:
		for len(v.order) > 0 {
			if _, ok := v.members[v.order[len(v.order)-1]]; ok {
				break
			}
			v.order = v.order[:len(v.order)-1]
		}
		if len(v.order) == 0 {
			return append(acts, brain.Action{Kind: brain.Refuse, ID: e.ID})
		}
		v.sends[e.ID] = v.order[len(v.order)-1]
		return append(acts, brain.Action{Kind: brain.Send, ID: e.ID, Server: v.sends[e.ID]})
	case *brain.AttemptEnded:
		if !e.Final {
			return append(acts, brain.Action{Kind: brain.Fail, ID: e.ID})
		}
	}
	return acts
}

// newPoolHarness returns a harness with the pools of a layout and a viewDecider for each.
func newPoolHarness(t interface {
	Fatalf(string, ...any)
	Helper()
}, l Layout) (*harness, map[string]*viewDecider) {
	h := &harness{t: t, now: time.Hour, cfg: settings(), sendsToDraining: true}
	h.start(100)
	deciders := map[string]*viewDecider{}
	r, err := NewWithDeciders(h.cfg, 100, l, func(pool string) brain.Decider {
		deciders[pool] = &viewDecider{t: t, members: map[string]brain.Member{}, sends: map[string]string{}}
		return deciders[pool]
	})
	if err != nil {
		t.Fatalf("%v", err)
	}
	h.r = r
	h.do(Started{Discovery: "d:1"})
	h.do(Reloaded{Discovery: "d:2"}) // opens a watch
	return h, deciders
}

func inZone(zone string) selector.Selector { return selector.Selector{Zones: []string{zone}} }

// serveAll answers all outstanding attempts.
func (h *harness) serveAll() {
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	for _, b := range h.inState(busy) {
		h.exchanged(goodAnswer(b))
	}
}

// staysInPool checks that a call with one attempt was sent to a member of its pool.
func (h *harness) staysInPool(call uint64) {
	h.t.Helper()
	if c := h.r.calls[call]; c != nil && len(c.attempts) == 1 && c.attempts[0].srv != nil && !slices.Contains(c.attempts[0].srv.usingPools, c.pool.index) {
		h.t.Fatalf("call of pool %s sent to %s, which is not a member", c.pool.Name, c.attempts[0].server)
	}
}

// settle delivers all events that are due now.
func (h *harness) settle() { h.advance(0) }

// Complete and partial lists of any size arrive before earlier ones are processed, while layouts and overrides change.
// In the end each pool sees exactly the app nodes that a plain map predicts, no update is larger than a slice, and calls
// go only to members of their pool.
func TestPoolMembersMatchLists(t *testing.T) {
	// Each check processes hundreds of entries at a time.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "2000" {
		flag.Set("rapid.checks", "100")
		defer flag.Set("rapid.checks", "2000")
	}
	rapid.Check(t, func(t *rapid.T) {
		layouts := []Layout{
			{Pools: []PoolSpec{{Name: "a", Selector: inZone("a")}, {Name: "b", Selector: inZone("b")}}},
			{Pools: []PoolSpec{{Name: "b", Selector: inZone("b")}, {Name: "all"}}},
			{Pools: []PoolSpec{{Name: "all"}, {Name: "none", Selector: inZone("nowhere")}}},
		}
		for i := range layouts {
			layouts[i].Route = func(c *Call) int { return int(c.ID) % 2 }
		}
		current := layouts[0]
		h, deciders := newPoolHarness(t, current)
		expected, overrides := map[string]brain.Member{}, map[string]control.Change{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				complete := rapid.IntRange(0, 2).Draw(t, "complete") == 0
				if complete {
					clear(expected)
				}
				l := List{Complete: complete, Revision: 1}
				for range rapid.SampledFrom([]int{0, 1, 3, 250, 900}).Draw(t, "entries") {
					i := rapid.IntRange(0, 400).Draw(t, "server")
					m := brain.Member{Server: fmt.Sprint("s", i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Weight: 1,
						State: rapid.SampledFrom([]brain.Readiness{brain.Ready, brain.Ready, brain.Draining, brain.Gone}).Draw(t, "state")}
					if expected[m.Server] = m; m.State == brain.Gone {
						delete(expected, m.Server)
					}
					l.Members, l.Addresses = append(l.Members, m), append(l.Addresses, fmt.Sprint("n", i, ":1"))
				}
				h.listed(l)
			},
			"change layout": func(t *rapid.T) {
				current = rapid.SampledFrom(layouts).Draw(t, "layout")
				h.do(Reloaded{Discovery: "d:2", Layout: &current})
			},
			"operator": func(t *rapid.T) {
				c := control.Change{Node: fmt.Sprint("s", rapid.IntRange(0, 400).Draw(t, "server")), Drained: rapid.Bool().Draw(t, "drained"),
					Weight: rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "weight")}
				overrides[c.Node] = c
				h.do(OverridesChanged{Changes: []control.Change{c}})
			},
			"call": func(t *rapid.T) {
				id := h.arrive(0, 600*ms)
				h.staysInPool(id)
			},
			"end":    func(*rapid.T) { h.serveAll() },
			"settle": func(t *rapid.T) { h.settle() },
			"time":   func(t *rapid.T) { h.advance(time.Second) },
		})
		h.advance(2 * time.Second)
		for _, p := range current.Pools {
			want := map[string]brain.Member{}
			for name, m := range expected {
				m.Bit = h.r.zoneBit(m.Zone)
				if c := overrides[name]; c.Drained && m.State == brain.Ready {
					m.State = brain.Draining
				}
				if c := overrides[name]; c.Weight > 0 {
					m.Weight = c.Weight
				}
				if p.Selector.Matches(&m) {
					want[name] = m
				}
			}
			if v := deciders[p.Name]; !maps.Equal(v.members, want) {
				t.Fatalf("pool %s has %d servers, want %d", p.Name, len(v.members), len(want))
			}
		}
		for name, v := range deciders {
			if v.largestUpdate > maxServersPerEvent {
				t.Errorf("pool %s got an update with %d entries", name, v.largestUpdate)
			}
		}
		if wantPools := len(current.Pools); len(h.r.jobs) != 0 || len(slices.DeleteFunc(slices.Clone(h.r.pools), func(p *pool) bool { return p == nil })) != wantPools {
			t.Errorf("%d jobs left, %d pools, want %d", len(h.r.jobs), len(h.r.pools), wantPools)
		}
		if len(h.r.servers) != len(expected) || len(h.r.serverList) != len(expected) {
			t.Errorf("servers: %d by ID, %d in serverList, want %d", len(h.r.servers), len(h.r.serverList), len(expected))
		}
		for i, s := range h.r.serverList {
			if s.position != i {
				t.Fatalf("%s is at position %d, but records %d", s.id, i, s.position)
			}
		}
	})
}

// A route moves to another pool while calls are open: they finish in their pool, and the pool that is no longer wanted
// is removed with its last call.
func TestRouteChangeKeepsOpenCallsInPool(t *testing.T) {
	two := Layout{Pools: []PoolSpec{{Name: "old", Selector: inZone("a")}, {Name: "new", Selector: inZone("b")}}}
	h, deciders := newPoolHarness(t, two)
	h.listed(List{Complete: true, Revision: 1, Addresses: []string{"a:1", "b:1"},
		Members: []brain.Member{{Server: "sa", Zone: "a", Weight: 1}, {Server: "sb", Zone: "b", Weight: 1}}})
	first := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	one := Layout{Pools: two.Pools[1:]}
	h.do(Reloaded{Discovery: "d:2", Layout: &one})
	second := h.arrive(0, 600*ms)
	h.dialed(2, nil)
	if deciders["old"].sends["1"] != "sa" || deciders["new"].sends["2"] != "sb" || len(deciders["old"].members) != 0 {
		t.Fatalf("sends %+v and %+v, members of the old pool %v", deciders["old"].sends, deciders["new"].sends, deciders["old"].members)
	}
	if names, _, open := h.r.Pools(); !slices.Equal(names, []string{"new"}) || open[0] != 1 || len(h.r.pools) != 2 || h.r.pools[0] == nil {
		t.Errorf("%v %v %v", names, open, h.r.pools)
	}
	h.exchanged(goodAnswer(1))
	h.exchanged(goodAnswer(2))
	if a, b := h.calls[first].reply.Kind, h.calls[second].reply.Kind; a != Served || b != Served || h.r.pools[0] != nil || h.r.OpenCalls() != 0 {
		t.Errorf("replies %v and %v, index of the old pool holds %v", a, b, h.r.pools[0])
	}
	h.do(Reloaded{Discovery: "d:2", Layout: &Layout{Pools: []PoolSpec{{Name: "x"}, {Name: "x"}}}})
	if !h.hasEffect(func(e Effect) bool { l, ok := e.(Log); return ok && strings.Contains(l.Text, `"x"`) }) || len(h.r.routedPools) != 1 {
		t.Errorf("duplicate pool names: %+v", h.effects)
	}
}

// A pool that loses its last member refuses its own calls and does not affect the other pool, until a member returns.
func TestPoolWithoutMembersRefuses(t *testing.T) {
	h, _ := newPoolHarness(t, Layout{Pools: []PoolSpec{{Name: "a", Selector: inZone("a")}, {Name: "b", Selector: inZone("b")}},
		Route: func(c *Call) int { return c.Class }})
	member := func(state brain.Readiness) List {
		return List{Revision: 2, Addresses: []string{"a:1"}, Members: []brain.Member{{Server: "sa", Zone: "a", Weight: 1, State: state}}}
	}
	h.listed(member(brain.Ready))
	h.listed(List{Revision: 2, Addresses: []string{"b:1"}, Members: []brain.Member{{Server: "sb", Zone: "b", Weight: 1}}})
	h.listed(member(brain.Gone))
	for class, want := range []ReplyKind{Refused, Served} {
		id := h.arrive(class, 600*ms)
		for _, d := range h.inState(dialing) {
			h.dialed(d, nil)
			h.exchanged(goodAnswer(d))
		}
		if got := h.calls[id].reply.Kind; got != want || h.calls[id].answers != 1 {
			t.Errorf("class %d: %v, want %v", class, got, want)
		}
	}
	h.listed(member(brain.Ready))
	if id := h.arrive(0, 600*ms); h.calls[id].answers != 0 || len(h.inState(dialing)) != 1 {
		t.Error("the returned member gets no calls")
	}
}

// A pool at its limit refuses at once, with a retry hint; a call that ends makes room.
func TestFullPoolRefuses(t *testing.T) {
	h, _ := newPoolHarness(t, Layout{Pools: []PoolSpec{{Name: "small", MaxOpen: 2}, {Name: "other"}}, Route: func(c *Call) int { return c.Class }})
	h.listed(list(true, brain.Ready, "a:1"))
	first := h.arrive(0, 600*ms)
	h.arrive(0, 600*ms)
	third, other := h.arrive(0, 600*ms), h.arrive(1, 600*ms)
	if c := h.calls[third]; c.reply.Kind != Refused || c.answers != 1 || c.reply.RetryAfter == 0 || h.calls[other].answers != 0 {
		t.Errorf("%+v, the other pool's %+v", c, h.calls[other])
	}
	h.clientGone(first)
	h.dialed(1, nil)
	if id := h.arrive(0, 600*ms); h.calls[id].answers != 0 {
		t.Error("call refused after another one ended")
	}
}

// A list of 10,000 shrinks to 3 and grows again, while calls are served between the slices.
func TestLargeListIsProcessedInSlices(t *testing.T) {
	h, deciders := newPoolHarness(t, defaultLayout())
	all := List{Complete: true, Revision: 1}
	for i := range 10_000 {
		all.Members = append(all.Members, brain.Member{Server: fmt.Sprint("s", i), Zone: "a", Weight: 1})
		all.Addresses = append(all.Addresses, fmt.Sprint("n", i, ":1"))
	}
	for _, n := range []int{10_000, 3, 10_000} {
		l := List{Complete: true, Revision: 1, Members: slices.Clone(all.Members[:n]), Addresses: all.Addresses[:n]}
		h.listed(l)
		events := 0
		for len(h.r.jobs) > 0 {
			events++
			h.timers = slices.DeleteFunc(h.timers, func(d scheduledEvent) bool { _, ok := d.event.(nextSlice); return ok })
			h.do(nextSlice{})
			id := h.arrive(0, 600*ms) // between two slices
			for _, d := range h.inState(dialing) {
				h.dialed(d, nil)
			}
			for _, b := range h.inState(busy) {
				h.exchanged(goodAnswer(b))
			}
			if c := h.calls[id]; c.reply.Kind != Served || c.answers != 1 {
				t.Fatalf("call while the list is processed: %+v", c)
			}
		}
		if v := deciders["all"]; len(v.members) != n || events < 4 || v.largestUpdate > maxServersPerEvent {
			t.Errorf("%d of %d members after %d events, largest update %d", len(v.members), n, events, v.largestUpdate)
		}
	}
}

// A server displaced by another is reported as gone with everything known about it: its location says where its attempts
// may be retried. When the cell was missing, a keyed call was once retried in whichever cell came first.
func TestRemovedServerKeepsZoneAndCell(t *testing.T) {
	h, _ := newPoolHarness(t, defaultLayout())
	lastUpdate := map[string]brain.Member{}
	h.r.pools[0].decider = eventFunc{func(ev brain.Event) {
		if u, ok := ev.(*brain.FleetUpdate); ok {
			for _, m := range u.Members {
				lastUpdate[m.Server] = m
			}
		}
	}}
	h.listed(List{Revision: 1, Addresses: []string{"a:1"}, Members: []brain.Member{{Server: "old", Zone: "a", Cell: 7, Weight: 2, Started: 5}}})
	h.listed(List{Revision: 2, Addresses: []string{"a:1"}, Members: []brain.Member{{Server: "new", Zone: "a", Cell: 8, Weight: 2, Started: 9}}})
	if m := lastUpdate["old"]; m.State != brain.Gone || m.Zone != "a" || m.Cell != 7 {
		t.Errorf("%+v", m)
	}
	h.listed(List{Revision: 3, Addresses: []string{""}, Members: []brain.Member{{Server: "new", State: brain.Gone}}})
	if m := lastUpdate["new"]; m.State != brain.Gone || m.Zone != "a" || m.Cell != 8 {
		t.Errorf("%+v", m)
	}
}

// eventFunc is a decider that passes each event to a function and takes no action.
type eventFunc struct{ handle func(brain.Event) }

func (e eventFunc) Handle(_ time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	e.handle(ev)
	return acts
}

// A complete list without changes, as sent by a restarted discovery, must not take the decider's servers away.
func TestUnchangedCompleteList(t *testing.T) {
	h := newHarness(t, 8, "a:1", "b:1")
	for range 3 {
		h.listed(list(true, brain.Ready, "a:1", "b:1"))
		id := h.arrive(0, 600*ms)
		for _, d := range h.inState(dialing) {
			h.dialed(d, nil)
		}
		for _, b := range h.inState(busy) {
			h.exchanged(goodAnswer(b))
		}
		if c := h.calls[id]; c.answers != 1 || c.reply.Kind != Served {
			t.Fatalf("%+v", c)
		}
		h.advance(10 * ms)
	}
}
