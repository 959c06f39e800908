package reducer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/fleet/subset"
	"pewterrudder/internal/fleet/view"
	"pewterrudder/internal/zones"
)

// listed is a module that remembers its list and by how many it divides.
type listDecider struct {
	list   map[string]bool
	nodes  *int
	sample *int
}

func (l listDecider) Handle(_ time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	switch e := ev.(type) {
	case *brain.Retuned:
		*l.nodes, *l.sample = e.Settings.Nodes, e.Settings.Sample
	case *brain.FleetUpdate:
		for _, m := range e.Members {
			if m.State == brain.Gone {
				delete(l.list, m.Server)
			} else {
				l.list[m.Server] = true
			}
		}
	}
	return actions
}

// sharing is a reducer with a pool, its events played to their end.
type subsetHarness struct {
	*Reducer
	decider listDecider
	now     time.Duration
	logs    []string
}

func newSubsetHarness(t *testing.T, size int) *subsetHarness {
	t.Helper()
	s := &subsetHarness{decider: listDecider{map[string]bool{}, new(int), new(int)}, now: 24 * time.Hour}
	cfg := settings()
	cfg.Nodes = 10
	var err error
	if s.Reducer, err = NewPools(cfg, 1000, defaultLayout(), func(string) brain.Decider { return s.decider }); err != nil {
		t.Fatal(err)
	}
	s.UsePeers(view.New(view.Life{ID: "me", Address: "10.0.0.1:7946"}, 10, view.Bounds{Kinds: Kinds()}, s.now))
	if err := s.UseSubsets(size); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *subsetHarness) do(ev Event) {
	for waits := []Event{ev}; len(waits) > 0; waits = waits[1:] {
		for _, e := range s.Handle(s.now, waits[0], nil) {
			switch e := e.(type) {
			case Arm:
				if e.After == 0 {
					waits = append(waits, e.Event)
				}
			case Log:
				s.logs = append(s.logs, e.Text)
			}
		}
	}
}

func (s *subsetHarness) advance(d time.Duration) {
	for until := s.now + d; s.now < until; {
		s.now += 500 * time.Millisecond
		s.do(Word{Event: view.Event{Kind: view.Tick}})
	}
}

func (s *subsetHarness) start(revision int64, ids ...string) {
	l := List{Revision: revision, Complete: true}
	for i, id := range ids {
		l.Members = append(l.Members, brain.Member{Server: id, State: brain.Ready, Zone: "z", Weight: 1, Started: time.Hour})
		l.Addresses = append(l.Addresses, fmt.Sprintf("127.0.1.%d:80", i))
	}
	s.do(Started{Known: l})
}

func peerLife(n int) view.Life {
	at := fmt.Sprintf("10.0.1.%d:7946", n)
	return view.Life{ID: fmt.Sprint("life ", n), Name: fmt.Sprint("b", n), Address: at}
}

// The module has all app nodes until the view is believed, then the subset alone, and divides by those who share one with it; a
// list that changes and balancers that come and go keep it so; after a pause it has all again.
func TestTheModuleHasItsSubset(t *testing.T) {
	s := newSubsetHarness(t, 12)
	var ids []string
	for i := range 60 {
		ids = append(ids, fmt.Sprint("app-", i))
	}
	s.start(1, ids...)
	for n := range 9 {
		s.do(Word{Event: view.Event{Kind: view.Joined, Life: peerLife(n)}})
	}
	s.advance(4 * time.Second)
	if len(s.decider.list) != 60 || s.readyInFirstPool() != 60 {
		t.Fatalf("before the view is believed the module has %d", len(s.decider.list))
	}
	s.advance(3 * time.Second)
	// holds is what any balancer works out by itself.
	holds := func(others int, ids []string) map[string]bool {
		set := subset.New("10.0.0.1:7946", 12)
		for n := range others {
			set.Enter(peerLife(n).Address)
		}
		for _, id := range ids {
			set.Put(id, "z", 1)
		}
		all := map[string]bool{}
		for _, id := range ids {
			if set.Holds(id) {
				all[id] = true
			}
		}
		return all
	}
	same := func(what string, want map[string]bool) {
		t.Helper()
		if fmt.Sprint(want) != fmt.Sprint(s.decider.list) || s.readyInFirstPool() != len(want) || len(want) == 0 {
			t.Fatalf("%s the module has %v, not %v", what, s.decider.list, want)
		}
	}
	same("with nine others", holds(9, ids))
	if held, of := s.Share(); held != len(s.decider.list) || of != 60 || *s.decider.nodes != 2 || *s.decider.sample != held {
		t.Errorf("%d of %d are held, and the module divides by %d and works with %d", held, of, *s.decider.nodes, *s.decider.sample)
	}
	fewer := ids[10:]
	s.start(2, fewer...)
	same("with ten app nodes less", holds(9, fewer))
	if held, _ := s.Share(); *s.decider.sample != held {
		t.Errorf("the module works with %d of %d", *s.decider.sample, held)
	}
	for n := 7; n < 9; n++ {
		s.do(Word{Event: view.Event{Kind: view.Lost, Life: view.Life{ID: peerLife(n).ID}}})
	}
	s.advance(3 * time.Second)
	same("while those who are lost may be back", holds(9, fewer))
	s.advance(4 * time.Second)
	same("with seven others", holds(7, fewer))
	s.now += 20 * time.Second
	s.advance(500 * time.Millisecond)
	if len(s.decider.list) != 50 || *s.decider.nodes != 10 || *s.decider.sample != 0 {
		t.Errorf("after a pause the module has %d and divides by %d", len(s.decider.list), *s.decider.nodes)
	}
	s.advance(7 * time.Second)
	same("when the view is believed again", holds(7, fewer))
}

// Pools1 is how many app nodes the first pool counts as its own.
func (s *subsetHarness) readyInFirstPool() int { return s.routedPools[0].readyMembers }

// A subset lets go of what is open to app nodes that leave it: an idle connection at once, a busy one after its call, which is answered.
func TestConnectionsOfAPairThatEndsAreLetGo(t *testing.T) {
	s := newSubsetHarness(t, 6)
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("app-", i))
	}
	s.start(1, ids...)
	open := func(id string, state connState) *conn {
		srv := s.servers[id]
		s.lastConnID++
		cn := &conn{id: s.lastConnID, srv: srv, state: state}
		s.conns[cn.id], srv.conns[cn.id] = cn, cn
		if state == idle {
			srv.idle = append(srv.idle, cn)
			s.newestIdle, cn.older = cn, s.newestIdle
			if cn.older != nil {
				cn.older.newer = cn
			} else {
				s.oldestIdle = cn
			}
		}
		return cn
	}
	conns := map[string][2]*conn{}
	for _, id := range ids {
		conns[id] = [2]*conn{open(id, idle), open(id, busy)}
	}
	for n := range 9 {
		s.do(Word{Event: view.Event{Kind: view.Joined, Life: peerLife(n)}})
	}
	s.advance(7 * time.Second)
	left := 0
	for _, id := range ids {
		k, held := conns[id], s.decider.list[id]
		if !held {
			left++
		}
		if (k[0].state == closed) == held || k[1].state != busy || k[1].closeWhenDone == held {
			t.Errorf("%s, held: %v, idle one: %v, busy one: %v, doomed: %v", id, held, k[0].state, k[1].state, k[1].closeWhenDone)
		}
	}
	if left < 20 {
		t.Errorf("%d have left the subset", left)
	}
}

// Zones' bounds and subsets do not go together, and say so.
func TestSubsetsAndZonesExcludeEachOther(t *testing.T) {
	s := newSubsetHarness(t, 6)
	if err := s.applyLayout(Layout{Pools: []PoolSpec{{Name: "all", Zones: &zones.Settings{}}}}); err == nil {
		t.Error(errors.New("zones were laid beside subsets"))
	}
}
