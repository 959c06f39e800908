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

// viewer is a decider that sends each call to a server of its own view, and keeps that view as the updates tell it.
type viewDecider struct {
	t             interface{ Fatalf(string, ...any) }
	view          map[string]brain.Member
	order         []string // as they came, some of them gone
	largestUpdate int      // entries in one update
	sends         map[string]string
}

func (v *viewDecider) Handle(_ time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.FleetUpdate:
		v.largestUpdate = max(v.largestUpdate, len(e.Members))
		if e.Kind == brain.UpdateFull || e.Kind == brain.UpdateRestored && len(v.view) > 0 {
			v.t.Fatalf("an update of kind %d, which says that those it does not name are gone", e.Kind)
		}
		for _, m := range e.Members {
			if m.State == brain.Gone {
				if _, ok := v.view[m.Server]; !ok {
					v.t.Fatalf("%s is told to be gone and was never there", m.Server)
				}
				delete(v.view, m.Server)
				continue
			}
			if _, ok := v.view[m.Server]; !ok {
				v.order = append(v.order, m.Server)
			}
			v.view[m.Server] = m
		}
	case *brain.Request:
		for len(v.order) > 0 {
			if _, ok := v.view[v.order[len(v.order)-1]]; ok {
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

// yard is a world with pools whose deciders are viewers.
func newPoolHarness(t interface {
	Fatalf(string, ...any)
	Helper()
}, l Layout) (*harness, map[string]*viewDecider) {
	h := &harness{t: t, now: time.Hour, cfg: settings(), sendsToDraining: true}
	h.start(100)
	views := map[string]*viewDecider{}
	r, err := NewPools(h.cfg, 100, l, func(pool string) brain.Decider {
		views[pool] = &viewDecider{t: t, view: map[string]brain.Member{}, sends: map[string]string{}}
		return views[pool]
	})
	if err != nil {
		t.Fatalf("%v", err)
	}
	h.r = r
	h.do(Started{Discovery: "d:1"})
	h.do(Reloaded{Discovery: "d:2"}) // opens a watch
	return h, views
}

func inZone(zone string) selector.Selector { return selector.Selector{Zones: []string{zone}} }

// serveAll has all that is out answered.
func (h *harness) serveAll() {
	for _, d := range h.inState(dialing) {
		h.dialed(d, nil)
	}
	for _, b := range h.inState(busy) {
		h.exchanged(goodAnswer(b))
	}
}

// staysInPool: a call that has gone out once went to a member of its pool.
func (h *harness) staysInPool(call uint64) {
	h.t.Helper()
	if c := h.r.calls[call]; c != nil && len(c.attempts) == 1 && c.attempts[0].srv != nil && !slices.Contains(c.attempts[0].srv.usingPools, c.pool.index) {
		h.t.Fatalf("a call of pool %s went to %s", c.pool.Name, c.attempts[0].server)
	}
}

// settle lets all that is due now happen.
func (h *harness) settle() { h.advance(0) }

// Whatever lists come, whole or in part, large or small, one before the other has been worked through, and however the
// pools are dealt meanwhile: in the end each pool sees just those app nodes that it should, as a plain map says, no
// update is larger than a slice, and calls go to members of their pool alone.
func TestPoolsSeeWhatTheListsSay(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "2000" { // each is long: hundreds of entries at a time
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
		in := layouts[0]
		h, views := newPoolHarness(t, in)
		truth, wishes := map[string]brain.Member{}, map[string]control.Change{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				complete := rapid.IntRange(0, 2).Draw(t, "complete") == 0
				if complete {
					clear(truth)
				}
				l := List{Complete: complete, Revision: 1}
				for range rapid.SampledFrom([]int{0, 1, 3, 250, 900}).Draw(t, "entries") {
					i := rapid.IntRange(0, 400).Draw(t, "server")
					m := brain.Member{Server: fmt.Sprint("s", i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Weight: 1,
						State: rapid.SampledFrom([]brain.Readiness{brain.Ready, brain.Ready, brain.Draining, brain.Gone}).Draw(t, "state")}
					if truth[m.Server] = m; m.State == brain.Gone {
						delete(truth, m.Server)
					}
					l.Members, l.Addresses = append(l.Members, m), append(l.Addresses, fmt.Sprint("n", i, ":1"))
				}
				h.listed(l)
			},
			"deal": func(t *rapid.T) {
				in = rapid.SampledFrom(layouts).Draw(t, "layout")
				h.do(Reloaded{Discovery: "d:2", Layout: &in})
			},
			"operator": func(t *rapid.T) {
				c := control.Change{Node: fmt.Sprint("s", rapid.IntRange(0, 400).Draw(t, "server")), Drained: rapid.Bool().Draw(t, "drained"),
					Weight: rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "weight")}
				wishes[c.Node] = c
				h.do(Operator{Changes: []control.Change{c}})
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
		for _, p := range in.Pools {
			want := map[string]brain.Member{}
			for name, m := range truth {
				m.Bit = h.r.zoneBit(m.Zone)
				if c := wishes[name]; c.Drained && m.State == brain.Ready {
					m.State = brain.Draining
				}
				if c := wishes[name]; c.Weight > 0 {
					m.Weight = c.Weight
				}
				if p.Selector.Matches(&m) {
					want[name] = m
				}
			}
			if v := views[p.Name]; !maps.Equal(v.view, want) {
				t.Fatalf("pool %s sees %d servers, not %d", p.Name, len(v.view), len(want))
			}
		}
		for name, v := range views {
			if v.largestUpdate > maxServersPerEvent {
				t.Errorf("pool %s was told of %d at once", name, v.largestUpdate)
			}
		}
		if live := len(in.Pools); len(h.r.jobs) != 0 || len(slices.DeleteFunc(slices.Clone(h.r.pools), func(p *pool) bool { return p == nil })) != live {
			t.Errorf("%d feeds left, %d pools for %d wanted", len(h.r.jobs), len(h.r.pools), live)
		}
		if len(h.r.servers) != len(truth) || len(h.r.serverList) != len(truth) {
			t.Errorf("%d and %d servers, not %d", len(h.r.servers), len(h.r.serverList), len(truth))
		}
		for i, s := range h.r.serverList {
			if s.position != i {
				t.Fatalf("%s stands at %d, not %d", s.id, i, s.position)
			}
		}
	})
}

// A route moves to another pool with calls in flight: they end where they began, and the pool that nobody wants any more
// goes with its last call.
func TestARouteMovesWithCallsInFlight(t *testing.T) {
	two := Layout{Pools: []PoolSpec{{Name: "old", Selector: inZone("a")}, {Name: "new", Selector: inZone("b")}}}
	h, views := newPoolHarness(t, two)
	h.listed(List{Complete: true, Revision: 1, Addresses: []string{"a:1", "b:1"},
		Members: []brain.Member{{Server: "sa", Zone: "a", Weight: 1}, {Server: "sb", Zone: "b", Weight: 1}}})
	first := h.arrive(0, 600*ms)
	h.dialed(1, nil)
	one := Layout{Pools: two.Pools[1:]}
	h.do(Reloaded{Discovery: "d:2", Layout: &one})
	second := h.arrive(0, 600*ms)
	h.dialed(2, nil)
	if views["old"].sends["1"] != "sa" || views["new"].sends["2"] != "sb" || len(views["old"].view) != 0 {
		t.Fatalf("%+v %+v, the old pool sees %v", views["old"].sends, views["new"].sends, views["old"].view)
	}
	if names, _, open := h.r.Pools(); !slices.Equal(names, []string{"new"}) || open[0] != 1 || len(h.r.pools) != 2 || h.r.pools[0] == nil {
		t.Errorf("%v %v %v", names, open, h.r.pools)
	}
	h.exchanged(goodAnswer(1))
	h.exchanged(goodAnswer(2))
	if a, b := h.calls[first].reply.Kind, h.calls[second].reply.Kind; a != Served || b != Served || h.r.pools[0] != nil || h.r.Open() != 0 {
		t.Errorf("%v, %v, the old pool is %v", a, b, h.r.pools[0])
	}
	h.do(Reloaded{Discovery: "d:2", Layout: &Layout{Pools: []PoolSpec{{Name: "x"}, {Name: "x"}}}})
	if !h.hasEffect(func(e Effect) bool { l, ok := e.(Log); return ok && strings.Contains(l.Text, `"x"`) }) || len(h.r.routedPools) != 1 {
		t.Errorf("a bad layout: %+v", h.effects)
	}
}

// A pool that loses its last member refuses its own calls and takes nothing from the other, until one comes back.
func TestAPoolLosesItsLastMember(t *testing.T) {
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
		t.Error("the member that came back gets no work")
	}
}

// Past its cap a pool refuses at once, and says when to come back; what ends makes room.
func TestAPoolThatIsFullRefuses(t *testing.T) {
	h, _ := newPoolHarness(t, Layout{Pools: []PoolSpec{{Name: "small", MaxOpen: 2}, {Name: "other"}}, Route: func(c *Call) int { return c.Class }})
	h.listed(list(true, brain.Ready, "a:1"))
	first := h.arrive(0, 600*ms)
	h.arrive(0, 600*ms)
	third, other := h.arrive(0, 600*ms), h.arrive(1, 600*ms)
	if c := h.calls[third]; c.reply.Kind != Refused || c.answers != 1 || c.reply.After == 0 || h.calls[other].answers != 0 {
		t.Errorf("%+v, the other pool's %+v", c, h.calls[other])
	}
	h.clientGone(first)
	h.dialed(1, nil)
	if id := h.arrive(0, 600*ms); h.calls[id].answers != 0 {
		t.Error("no room after one has gone")
	}
}

// A list of ten thousand shrinks to three and grows again, while calls go on between the slices.
func TestALargeListComesInSlices(t *testing.T) {
	h, views := newPoolHarness(t, defaultLayout())
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
			id := h.arrive(0, 600*ms) // its turn comes between
			for _, d := range h.inState(dialing) {
				h.dialed(d, nil)
			}
			for _, b := range h.inState(busy) {
				h.exchanged(goodAnswer(b))
			}
			if c := h.calls[id]; c.reply.Kind != Served || c.answers != 1 {
				t.Fatalf("while the list is entered: %+v", c)
			}
		}
		if v := views["all"]; len(v.view) != n || events < 4 || v.largestUpdate > maxServersPerEvent {
			t.Errorf("%d of %d seen after %d events, %d at once", len(v.view), n, events, v.largestUpdate)
		}
	}
}

// A server that another has displaced is told of as gone with all that is known of it: where it stood says where what was
// out there may be repeated. Without its cell a keyed call was once repeated in the first cell that came.
func TestWhatIsGoneKeepsItsPlace(t *testing.T) {
	h, _ := newPoolHarness(t, defaultLayout())
	told := map[string]brain.Member{}
	h.r.pools[0].decider = eventFunc{func(ev brain.Event) {
		if u, ok := ev.(*brain.FleetUpdate); ok {
			for _, m := range u.Members {
				told[m.Server] = m
			}
		}
	}}
	h.listed(List{Revision: 1, Addresses: []string{"a:1"}, Members: []brain.Member{{Server: "old", Zone: "a", Cell: 7, Weight: 2, Started: 5}}})
	h.listed(List{Revision: 2, Addresses: []string{"a:1"}, Members: []brain.Member{{Server: "new", Zone: "a", Cell: 8, Weight: 2, Started: 9}}})
	if m := told["old"]; m.State != brain.Gone || m.Zone != "a" || m.Cell != 7 {
		t.Errorf("%+v", m)
	}
	h.listed(List{Revision: 3, Addresses: []string{""}, Members: []brain.Member{{Server: "new", State: brain.Gone}}})
	if m := told["new"]; m.State != brain.Gone || m.Zone != "a" || m.Cell != 8 {
		t.Errorf("%+v", m)
	}
}

type eventFunc struct{ handle func(brain.Event) }

func (e eventFunc) Handle(_ time.Duration, ev brain.Event, acts []brain.Action) []brain.Action {
	e.handle(ev)
	return acts
}

// A whole list that changes nothing, as a discovery that has started again writes it, must leave the module its servers.
func TestAWholeListThatChangesNothing(t *testing.T) {
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
