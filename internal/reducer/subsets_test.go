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

// listDecider is a decider that remembers its list and the numbers from its last settings.
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

// subsetHarness drives a Reducer with one pool and delivers its immediate events.
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
	if s.Reducer, err = NewWithDeciders(cfg, 1000, defaultLayout(), func(string) brain.Decider { return s.decider }); err != nil {
		t.Fatal(err)
	}
	s.UsePeers(view.New(view.Life{ID: "me", Address: "10.0.0.1:7946"}, 10, view.Bounds{Kinds: FactLimits()}, s.now))
	if err := s.UseSubsets(size); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *subsetHarness) do(ev Event) {
	for queue := []Event{ev}; len(queue) > 0; queue = queue[1:] {
		for _, e := range s.Handle(s.now, queue[0], nil) {
			switch e := e.(type) {
			case StartTimer:
				if e.After == 0 {
					queue = append(queue, e.Event)
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
		s.do(PeerEvent{Event: view.Event{Kind: view.Tick}})
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

// The decider has all app nodes until the view is believed, then only the subset, and divides by the number of balancers
// that share an app node. Changes of the list and of the balancers keep it so. After a pause of the process it has all
// app nodes again.
func TestDeciderGetsSubset(t *testing.T) {
	s := newSubsetHarness(t, 12)
	var ids []string
	for i := range 60 {
		ids = append(ids, fmt.Sprint("app-", i))
	}
	s.start(1, ids...)
	for n := range 9 {
		s.do(PeerEvent{Event: view.Event{Kind: view.Joined, Life: peerLife(n)}})
	}
	s.advance(4 * time.Second)
	if len(s.decider.list) != 60 || s.readyInFirstPool() != 60 {
		t.Fatalf("before the view is believed the decider has %d app nodes", len(s.decider.list))
	}
	s.advance(3 * time.Second)
	// expectedSubset computes the subset independently, as any balancer would.
	expectedSubset := func(others int, ids []string) map[string]bool {
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
	checkSubset := func(what string, want map[string]bool) {
		t.Helper()
		if fmt.Sprint(want) != fmt.Sprint(s.decider.list) || s.readyInFirstPool() != len(want) || len(want) == 0 {
			t.Fatalf("%s the decider has %v, want %v", what, s.decider.list, want)
		}
	}
	checkSubset("with nine others", expectedSubset(9, ids))
	if held, of := s.SubsetCount(); held != len(s.decider.list) || of != 60 || *s.decider.nodes != 2 || *s.decider.sample != held {
		t.Errorf("subset of %d of %d, Nodes %d, Sample %d", held, of, *s.decider.nodes, *s.decider.sample)
	}
	fewer := ids[10:]
	s.start(2, fewer...)
	checkSubset("with ten app nodes fewer", expectedSubset(9, fewer))
	if held, _ := s.SubsetCount(); *s.decider.sample != held {
		t.Errorf("Sample %d, want %d", *s.decider.sample, held)
	}
	for n := 7; n < 9; n++ {
		s.do(PeerEvent{Event: view.Event{Kind: view.Lost, Life: view.Life{ID: peerLife(n).ID}}})
	}
	s.advance(3 * time.Second)
	checkSubset("while lost balancers may return", expectedSubset(9, fewer))
	s.advance(4 * time.Second)
	checkSubset("with seven others", expectedSubset(7, fewer))
	s.now += 20 * time.Second
	s.advance(500 * time.Millisecond)
	if len(s.decider.list) != 50 || *s.decider.nodes != 10 || *s.decider.sample != 0 {
		t.Errorf("after a pause the decider has %d app nodes and Nodes %d", len(s.decider.list), *s.decider.nodes)
	}
	s.advance(7 * time.Second)
	checkSubset("when the view is believed again", expectedSubset(7, fewer))
}

// readyInFirstPool returns the number of ready members of the first pool.
func (s *subsetHarness) readyInFirstPool() int { return s.routedPools[0].readyMembers }

// Connections to app nodes that leave the subset are closed: idle ones at once, busy ones after their call, which is
// answered.
func TestLeavingSubsetClosesConnections(t *testing.T) {
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
		s.do(PeerEvent{Event: view.Event{Kind: view.Joined, Life: peerLife(n)}})
	}
	s.advance(7 * time.Second)
	left := 0
	for _, id := range ids {
		pair, held := conns[id], s.decider.list[id]
		if !held {
			left++
		}
		if (pair[0].state == closed) == held || pair[1].state != busy || pair[1].closeWhenDone == held {
			t.Errorf("%s in subset: %v, idle connection: %v, busy connection: %v, closeWhenDone: %v", id, held, pair[0].state, pair[1].state, pair[1].closeWhenDone)
		}
	}
	if left < 20 {
		t.Errorf("%d app nodes left the subset, want at least 20", left)
	}
}

// Zone bounds and subsets cannot be combined, and applyLayout reports that.
func TestSubsetsAndZonesExcludeEachOther(t *testing.T) {
	s := newSubsetHarness(t, 6)
	if err := s.applyLayout(Layout{Pools: []PoolSpec{{Name: "all", Zones: &zones.Settings{}}}}); err == nil {
		t.Error(errors.New("zones were accepted together with subsets"))
	}
}
