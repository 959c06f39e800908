package brain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Many nodes in front of the same servers, from the point of view of one node.

func manyNodesSettings() Settings {
	cfg := testSettings()
	cfg.Nodes = 80
	return cfg
}

// One node of many rarely sends to a given server and usually has nothing in flight there when it picks, so that recent
// reports are all it knows. If they decayed at once, all servers would look alike and overload would be hit by chance.
func TestReportsDecayMoreSlowlyWithManyNodes(t *testing.T) {
	for _, nodes := range []int{4, 80} {
		cfg := testSettings()
		cfg.Nodes = nodes
		b := newTestbed(cfg, members(12))
		for i, m := range members(12) {
			b.handle(&ProbeEnded{Server: m.Server, Outcome: OK, Report: []float64{float64(2 * i)}})
		}
		b.now += 600 * ms
		b.handle(&TimerFired{Cookie: cookieQueue}) // advances the node's clock
		b.node.rerank()
		loaded, idle := b.node.byID["s11"].loadScore, b.node.byID["s00"].loadScore
		// Few nodes: own requests decide, and none are in flight. Many: at least half of the difference of 22 remains.
		if many := nodes == 80; many && loaded-idle < 11 || !many && loaded-idle > 1 {
			t.Errorf("%d nodes: load scores %.2f and %.2f, 600 ms after reports of 22 and 0", nodes, loaded, idle)
		}
	}
}

// A trial request, to see whether an overloaded server has recovered, is harmless from one node but an overload from
// eighty. The trials must be spread over the nodes.
func TestTrialsOfOverloadedServersAreSharedAmongNodes(t *testing.T) {
	for _, c := range []struct {
		nodes int
		after time.Duration // the report of a high load
		trial bool
	}{{1, 50 * ms, false}, {1, 150 * ms, true}, {80, 150 * ms, false}, {80, 1500 * ms, false}, {80, 8100 * ms, true}} {
		cfg := testSettings()
		cfg.Nodes = c.nodes
		b := newTestbed(cfg, members(12))
		for range 50 { // answer times are proportional to the load score, seen at all loads
			for i, m := range members(12) {
				b.node.timeByLoad.add(float64(i+1), float64(i+1))
				b.handle(&ProbeEnded{Server: m.Server, Outcome: OK, Report: []float64{200}})
			}
		}
		b.node.rerank()
		r, s := &request{Request: Request{Class: read, Tenant: -1}}, b.node.byID["s03"]
		b.now += c.after
		b.handle(&TimerFired{Cookie: cookieQueue})
		s.loadScore = 201 // as reported: it has not recovered
		if got := b.node.expectedInTime(s, r); got != c.trial {
			t.Errorf("%d nodes, %v after the report: trial %v, want %v", c.nodes, c.after, got, c.trial)
		}
	}
}

// Each request is given up when its own aim has passed, even if others keep arriving: a due overdue check must not wait
// for the checks of later requests.
func TestRequestIsGivenUpAtItsAimUnderContinuedArrivals(t *testing.T) {
	cfg := manyNodesSettings()
	cfg.Classes[read].Late = 0
	b := newTestbed(cfg, members(12))
	askedAt, endedAfter := map[string]time.Duration{}, map[string]time.Duration{}
	record := func(acts []Action) {
		for _, a := range acts {
			if a.Kind == Refuse || a.Kind == Fail {
				endedAfter[a.ID] = b.now - askedAt[a.ID]
			}
		}
	}
	for i := range 250 {
		b.now += overdueInterval
		record(b.handle(&TimerFired{Cookie: cookieOverdue}))
		if i < 100 {
			askedAt[fmt.Sprintf("r%d", b.seq+1)] = b.now
			_, acts := b.request(read)
			record(acts)
		}
	}
	for id := range askedAt {
		if took, ok := endedAfter[id]; !ok || took > cfg.Classes[read].Aim+2*overdueInterval {
			t.Errorf("%s: ended %v, after %v, with an aim of %v", id, ok, took, cfg.Classes[read].Aim)
		}
	}
}

// A cold server gets the share that its warmth allows: at half its capacity half of what a warm one gets, although rule
// 4 permits three times that. With less it would idle while the warm servers are overloaded.
func TestColdServerGetsItsFullWarmthShare(t *testing.T) {
	cfg := manyNodesSettings()
	b := newTestbed(cfg, members(11))
	half := b.now - time.Duration(float64(cfg.Rules.ColdFor)*(0.5-cfg.Rules.ColdFrom)/(1-cfg.Rules.ColdFrom))
	b.handle(&FleetUpdate{Kind: UpdateChanges, Members: []Member{{Server: "half", Zone: "z1", Weight: 1, Started: half}}})
	s := b.node.byID["half"]
	b.node.answerRate, s.coldTokens, s.coldAt = 10, 0, b.now // a warm server gets ten requests per second
	sent := 0
	for range 1000 {
		b.now += ms
		b.node.now = b.now
		s.Started = half + (b.now - time.Minute) // stays at half its capacity
		if b.node.hasColdToken(s) {
			s.coldTokens--
			sent++
		}
	}
	if sent < 4 || sent > 5 {
		t.Errorf("%d requests in a second, want half of ten", sent)
	}
}

// Overdue checks pop in order of due time, whatever the order of scheduling, and popped slots do not retain requests.
func TestOverdueChecksPopInDueOrder(t *testing.T) {
	b := newTestbed(manyNodesSettings(), members(2))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		r := &request{Request: Request{Class: read}, done: true, attempts: []attempt{{}}}
		b.node.scheduleCheck(overdueCheck{r, 0, time.Duration(rng.IntN(1000)) * ms})
	}
	var last time.Duration
	for len(b.node.checks) > 0 {
		due := b.node.checks[0].due
		if due < last {
			t.Fatalf("a check due at %v after one due at %v", due, last)
		}
		last = due
		heap.Pop(&b.node.checks)
	}
	for i, check := range b.node.checks[:cap(b.node.checks)] {
		if check.request != nil {
			t.Fatalf("slot %d still holds its request", i)
		}
	}
	if last == 0 {
		t.Error("no check was scheduled")
	}
}
