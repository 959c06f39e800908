package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
)

var testStart = time.Unix(1000, 0)

const testSlots = 8

// newTestSelector returns a selector in zone "z" with one backend, "b", and its instances.
func newTestSelector(config BackendConfig, ids ...string) *Selector {
	s := New(Options{Zone: "z"})
	s.SetBackends(map[string]BackendConfig{"b": config})
	s.SetInstances(testSnapshot(ids...))
	return s
}

func testInstance(id string) *instances.Instance {
	return &instances.Instance{ID: id, Backend: "b", Zone: "z", Slots: testSlots, State: protocol.StateReady}
}

func testSnapshot(ids ...string) *instances.Snapshot {
	var all []*instances.Instance
	for _, id := range ids {
		all = append(all, testInstance(id))
	}
	return instances.NewSnapshot(all)
}

func afterMs(ms float64) time.Time { return testStart.Add(fromMilliseconds(ms)) }

// sendTo starts a request at the given instance, by excluding all others.
func sendTo(t *testing.T, s *Selector, id string, now time.Time) *Pick {
	t.Helper()
	var excluded []string
	for other := range s.byID {
		if other != id {
			excluded = append(excluded, other)
		}
	}
	pick := mustSelect(t, s, Request{Backend: "b", Excluded: excluded, Now: now})
	assert.Equal(t, pick.Instance().ID, id)
	return pick
}

func mustSelect(t *testing.T, s *Selector, request Request) *Pick {
	t.Helper()
	pick, err := s.Select(request)
	assert.NilError(t, err)
	return pick
}

// countPicks sends 200 requests that end at once and counts them by instance.
func countPicks(t *testing.T, s *Selector, now time.Time) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range 200 {
		pick := mustSelect(t, s, Request{Backend: "b", Now: now})
		counts[pick.Instance().ID]++
		pick.Done(now, Outcome{Result: Abandoned})
	}
	return counts
}

func TestSelectWithoutInstances(t *testing.T) {
	s := newTestSelector(BackendConfig{})
	_, err := s.Select(Request{Backend: "b", Now: testStart})
	assert.ErrorIs(t, err, ErrNoInstance)
	_, err = s.Select(Request{Backend: "unknown", Now: testStart})
	assert.ErrorIs(t, err, ErrNoInstance)
}

func TestSelectSpreadsOverTheLeastLoaded(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d")
	seen := map[string]int{}
	for range 30 {
		seen[mustSelect(t, s, Request{Backend: "b", Now: testStart}).Instance().ID]++
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 10, "c": 10, "d": 10})
}

func TestIneligibleInstancesAreNotSelected(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a")
	draining, otherModel, good := testInstance("a"), testInstance("c"), testInstance("d")
	draining.State = protocol.StateDraining
	otherModel.Models = []protocol.Model{{Name: "n"}}
	good.Models = []protocol.Model{{Name: "base", LoRAs: []string{"m"}}}
	s.SetInstances(instances.NewSnapshot([]*instances.Instance{draining, otherModel, good}))
	request := Request{Backend: "b", Model: "m", Now: testStart}
	for range 20 {
		assert.Equal(t, mustSelect(t, s, request).Instance().ID, "d")
	}
	request.Excluded = []string{"d"}
	_, err := s.Select(request)
	assert.ErrorIs(t, err, ErrNoInstance)
}

func TestBackendsCanBeSetAfterInstances(t *testing.T) {
	s := New(Options{})
	s.SetInstances(testSnapshot("a"))
	_, err := s.Select(Request{Backend: "b", Now: testStart})
	assert.ErrorIs(t, err, ErrNoInstance)
	s.SetBackends(map[string]BackendConfig{"b": {}})
	assert.Equal(t, mustSelect(t, s, Request{Backend: "b", Now: testStart}).Instance().ID, "a")
}

func TestUnknownLoadDefaultsToMean(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "busy", "idle", "new")
	s.byID["busy"].applyReport(testStart, &protocol.Report{Running: 6})
	s.byID["idle"].applyReport(testStart, &protocol.Report{Running: 2})
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"idle": 200})
	for range 3 {
		sendTo(t, s, "idle", testStart)
	}
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"new": 200}) // loads: busy 6, idle 2 + 3, new 4 (the mean)
	for range 2 {
		sendTo(t, s, "new", testStart)
	}
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"idle": 200}) // loads: busy 6, idle 2 + 3, new 4 + 2
	s.byID["new"].applyReport(testStart, &protocol.Report{Running: 0})
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"new": 200}) // loads: new 0 + 2 by its first report
}

func TestReportsDoNotCountOwnRequestsTwice(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	for range 4 {
		sendTo(t, s, "a", testStart).FirstByte(afterMs(10))
	}
	// Much later, a report of four running requests, all of them this router's own, means that other routers have none
	// there.
	s.byID["a"].applyReport(afterMs(5000), &protocol.Report{Running: 4})
	assert.Assert(t, s.byID["a"].load.inFlight < 0.01)
	// A report that comes soon after a request was sent may not include it.
	sendTo(t, s, "a", afterMs(6000))
	s.byID["a"].applyReport(afterMs(6010), &protocol.Report{Running: 4})
	assert.Assert(t, s.byID["a"].load.inFlight < 0.01)
	// The load in an answer is current.
	s.byID["a"].applyLoad(afterMs(6020), Load{Running: 6, Waiting: 2, Slots: 16})
	assert.Equal(t, s.byID["a"].load.inFlight, 3.0)
	assert.Equal(t, s.byID["a"].load.queued, 1.0)
	assert.Equal(t, s.byID["a"].slots(), 16)
}

func TestOldLoadDecaysToMean(t *testing.T) {
	var load loadEstimate
	load.update(afterMs(0), 0, 2)
	load.update(afterMs(100), 8, 12)
	wait, service := 20*time.Millisecond, 100*time.Millisecond
	queued, held := load.estimateAt(afterMs(100), wait, service)
	assert.Equal(t, queued, 8.0)
	assert.Equal(t, held, 12.0)
	queuedSoon, heldSoon := load.estimateAt(afterMs(120), wait, service)
	assert.Assert(t, queuedSoon < queued && heldSoon < held && heldSoon > queuedSoon)
	queuedLate, heldLate := load.estimateAt(afterMs(5000), wait, service)
	assert.Assert(t, queuedLate-load.meanQueued < 0.001 && heldLate-load.meanInFlight < 0.001)
}

func TestParseLoad(t *testing.T) {
	load, ok := ParseLoad("3, 0,8")
	assert.Assert(t, ok)
	assert.Equal(t, load, Load{Running: 3, Waiting: 0, Slots: 8})
	for _, bad := range []string{"", "3", "3,0", "3,0,8,1", "3,x,8", "-1,0,8", "3,0,"} {
		_, ok := ParseLoad(bad)
		assert.Assert(t, !ok, bad)
	}
}

func TestOwnZoneBreaksTies(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a")
	near, far := testInstance("near"), testInstance("far")
	far.Zone = "y"
	s.SetInstances(instances.NewSnapshot([]*instances.Instance{near, far}))
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"near": 200})
	sendTo(t, s, "near", testStart)
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"far": 200}) // one request outweighs the zone
}

var testModel = prefixcache.HashName("m")

var engineConfig = BackendConfig{Slots: 64, KVCapacity: 1_000_000, HasEngine: true}

// engineRequest returns a request whose prompt has one shared block, with the id chain, and one of its own, with an id
// made of own.
func engineRequest(chain, own uint64, now time.Time) Request {
	prefix := []prefixcache.Block{{ID: chain, Tokens: 4000}, {ID: 1<<32 + own, Tokens: 1000}}
	return Request{Backend: "b", Model: "m", PromptTokens: 5000, Prefix: prefix, Now: now}
}

func TestRoutersSendASharedPrefixToOneHome(t *testing.T) {
	ids := []string{"a", "c", "d", "e", "f"}
	homes := map[string]int{}
	for chain := range uint64(50) {
		var home string
		for router := range 3 {
			s := newTestSelector(engineConfig, ids...)
			id := mustSelect(t, s, engineRequest(chain, uint64(router), testStart)).Instance().ID
			assert.Assert(t, home == "" || home == id)
			home = id
		}
		homes[home]++
	}
	assert.Equal(t, len(homes), len(ids))
}

func TestPrefixIsCachedWhereItWasSent(t *testing.T) {
	s := newTestSelector(engineConfig, "a", "c", "d")
	first := mustSelect(t, s, engineRequest(1, 1, testStart))
	home := first.Instance().ID
	request := engineRequest(1, 2, testStart)
	request.Excluded = []string{home}
	second := mustSelect(t, s, request).Instance().ID
	request.Excluded = []string{home, second}
	third := s.byID[mustSelect(t, s, request).Instance().ID]
	// The third instance is not a home of the prefix, but it has been sent the prefix.
	_, shared := third.uncachedTokens(&request, testModel, &cacheExpectation{used: sharedBlockCount})
	assert.Equal(t, shared, 0.0)
}

func TestHotPrefixSpreads(t *testing.T) {
	s := newTestSelector(engineConfig, "a", "c", "d", "e")
	counts := map[string]int{}
	for own := range uint64(200) {
		counts[mustSelect(t, s, engineRequest(1, own, testStart)).Instance().ID]++
	}
	assert.Equal(t, len(counts), 4)
	for id, count := range counts {
		assert.Assert(t, count < 100, "%s: %v", id, counts)
	}
}

// sharedBlockCount is the number of shared blocks of an engineRequest.
const sharedBlockCount = 1

func TestUncachedTokens(t *testing.T) {
	s := newTestSelector(engineConfig, "a")
	presumed := homes{ranked: []home{{target: s.byID["a"]}}}
	request := engineRequest(1, 1, testStart)
	total, shared := s.byID["a"].uncachedTokens(&request, testModel, &cacheExpectation{used: sharedBlockCount})
	assert.Equal(t, total, 5000.0)
	assert.Equal(t, shared, 4000.0)
	total, shared = s.byID["a"].uncachedTokens(&request, testModel, &cacheExpectation{used: sharedBlockCount, homes: presumed})
	assert.Equal(t, total, 1000.0)
	assert.Equal(t, shared, 0.0)
	mustSelect(t, s, request)
	total, _ = s.byID["a"].uncachedTokens(&request, testModel, &cacheExpectation{used: sharedBlockCount})
	assert.Equal(t, total, 0.0, "the request's own block is cached too")
	other := engineRequest(1, 2, testStart)
	total, shared = s.byID["a"].uncachedTokens(&other, testModel, &cacheExpectation{used: sharedBlockCount})
	assert.Equal(t, total, 1000.0)
	assert.Equal(t, shared, 0.0)
	unread := engineRequest(2, 1, testStart)
	total, shared = s.byID["a"].uncachedTokens(&unread, testModel, &cacheExpectation{})
	assert.Equal(t, total, 5000.0)
	assert.Equal(t, shared, 0.0, "to prefill what no instance has prefilled recently is no duplicate work")
}

type constantDetector struct{ burst bool }

func (constantDetector) Arrive(time.Duration)          {}
func (d constantDetector) Evaluate(time.Duration) bool { return d.burst }

func TestBurstWidensThePick(t *testing.T) {
	for _, c := range []struct {
		burst bool
		want  int
	}{{false, 1}, {true, 2}} {
		s := New(Options{Detector: constantDetector{c.burst}})
		s.SetBackends(map[string]BackendConfig{"b": {}})
		s.SetInstances(testSnapshot("a", "c", "d", "e"))
		for i, id := range []string{"a", "c", "d", "e"} {
			s.byID[id].applyReport(testStart, &protocol.Report{Running: i})
		}
		countPicks(t, s, testStart) // the detector is evaluated only after evaluateInterval
		assert.Equal(t, len(countPicks(t, s, afterMs(300))), c.want)
	}
}

type countingDetector struct{ arrivals []time.Duration }

func (d *countingDetector) Arrive(now time.Duration)  { d.arrivals = append(d.arrivals, now) }
func (*countingDetector) Evaluate(time.Duration) bool { return false }

func TestRetriesAreNotArrivals(t *testing.T) {
	detector := &countingDetector{}
	s := New(Options{Detector: detector})
	s.SetBackends(map[string]BackendConfig{"b": {}})
	s.SetInstances(testSnapshot("a", "c"))
	mustSelect(t, s, Request{Backend: "b", Now: testStart})
	mustSelect(t, s, Request{Backend: "b", Now: afterMs(10), Excluded: []string{"a"}})
	mustSelect(t, s, Request{Backend: "b", Now: afterMs(20)})
	mustSelect(t, s, Request{Backend: "b", Now: afterMs(15)}) // out of order: a caller that lost the race for the mutex
	ms := time.Millisecond
	assert.DeepEqual(t, detector.arrivals, []time.Duration{0, 20 * ms, 20 * ms})
}

func TestDefaultDetectorDetectsBurst(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d", "e")
	now := testStart
	arrive := func(count int, gap time.Duration) {
		for range count {
			now = now.Add(gap)
			mustSelect(t, s, Request{Backend: "b", Now: now}).Done(now, Outcome{Result: Abandoned})
		}
	}
	arrive(200, 100*time.Millisecond)
	assert.Assert(t, !s.isBurst)
	arrive(100, 10*time.Millisecond)
	assert.Assert(t, s.isBurst)
}

func TestSteadyArrivalsAreNoBurst(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d", "e")
	rng := rand.New(rand.NewPCG(3, 3))
	now, evaluated, bursts := testStart, 0, 0
	for range 5000 {
		now = now.Add(fromMilliseconds(40 * rng.ExpFloat64()))
		mustSelect(t, s, Request{Backend: "b", Now: now}).Done(now, Outcome{Result: Abandoned})
		evaluated++
		if s.isBurst {
			bursts++
		}
	}
	assert.Assert(t, bursts < evaluated/100, "%d of %d", bursts, evaluated)
}

func TestNewIDResetsLearnedState(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	sendTo(t, s, "a", testStart).Done(testStart, Outcome{Result: WrongInstance})
	s.SetInstances(testSnapshot("a", "c"))
	assert.DeepEqual(t, countPicks(t, s, testStart), map[string]int{"c": 200})
	s.SetInstances(testSnapshot("a2", "c"))
	assert.Equal(t, len(countPicks(t, s, testStart)), 2)
}

func TestPickOfRemovedInstanceCanEnd(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	pick := sendTo(t, s, "a", testStart)
	s.SetInstances(testSnapshot("c"))
	s.SetBackends(map[string]BackendConfig{})
	pick.FirstByte(afterMs(10))
	pick.ReportLoad(afterMs(10), Load{Running: 1, Slots: 8})
	pick.Done(afterMs(20), Outcome{Result: Succeeded})
	pick.Done(afterMs(20), Outcome{Result: Failed})
	assert.Equal(t, pick.target.own.waiting+pick.target.own.running, 0)
}

// TestOwnRequestCountsMatchPicks drives a selector at random and compares its counts with the list of picks in flight.
func TestOwnRequestCountsMatchPicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{Zone: "z"})
		s.SetBackends(map[string]BackendConfig{"b": engineConfig})
		now := testStart
		s.SetInstances(testSnapshot("a", "c", "d"))
		var waiting, running []*Pick
		draw := func(t *rapid.T, picks *[]*Pick) *Pick {
			if len(*picks) == 0 {
				t.Skip("no pick")
			}
			index := rapid.IntRange(0, len(*picks)-1).Draw(t, "pick")
			pick := (*picks)[index]
			*picks = append((*picks)[:index:index], (*picks)[index+1:]...)
			return pick
		}
		results := rapid.SampledFrom([]Result{Succeeded, Rejected, Failed, Unreachable, Abandoned, WrongInstance})
		t.Repeat(map[string]func(*rapid.T){
			"select": func(t *rapid.T) {
				request := engineRequest(rapid.Uint64Range(0, 5).Draw(t, "chain"), rapid.Uint64Range(0, 5).Draw(t, "own"), now)
				request.Excluded = rapid.SliceOfN(rapid.SampledFrom([]string{"a", "c", "d"}), 0, 3).Draw(t, "excluded")
				pick, err := s.Select(request)
				if err != nil {
					assert.ErrorIs(t, err, ErrNoInstance)
					return
				}
				waiting = append(waiting, pick)
				for _, id := range request.Excluded {
					assert.Assert(t, pick.Instance().ID != id)
				}
				assert.Assert(t, !pick.target.health.wrongInstance)
			},
			"first byte": func(t *rapid.T) {
				pick := draw(t, &waiting)
				pick.FirstByte(now)
				pick.FirstByte(now)
				running = append(running, pick)
			},
			"end waiting": func(t *rapid.T) {
				pick := draw(t, &waiting)
				pick.Done(now, Outcome{Result: results.Draw(t, "result")})
				pick.Done(now, Outcome{Result: Succeeded})
				pick.FirstByte(now)
			},
			"end running": func(t *rapid.T) {
				pick := draw(t, &running)
				pick.Done(now, Outcome{Result: results.Draw(t, "result")})
				pick.FirstByte(now)
			},
			"load": func(t *rapid.T) {
				s.byID[rapid.SampledFrom([]string{"a", "c", "d"}).Draw(t, "id")].applyLoad(now, Load{Running: 3, Waiting: 1, Slots: 8})
			},
			"time":    func(t *rapid.T) { now = now.Add(fromMilliseconds(rapid.Float64Range(0, 2000).Draw(t, "ms"))) },
			"replace": func(t *rapid.T) { s.SetInstances(testSnapshot("a", "c", "d")) },
			"": func(t *rapid.T) {
				for id, member := range s.byID {
					counts := ownRequests{}
					for _, pick := range waiting {
						if pick.target == member {
							counts.waiting++
							counts.pendingTokens += pick.uncachedTokens
						}
					}
					for _, pick := range running {
						if pick.target == member {
							counts.running++
						}
					}
					assert.Equal(t, member.own.waiting, counts.waiting, id)
					assert.Equal(t, member.own.running, counts.running, id)
					assert.Equal(t, member.own.pendingTokens, counts.pendingTokens, id)
				}
			},
		})
	})
}

func BenchmarkSelect(b *testing.B) {
	s := New(Options{Zone: "z"})
	s.SetBackends(map[string]BackendConfig{"b": engineConfig})
	var ids []string
	for i := range 48 {
		ids = append(ids, fmt.Sprintf("i-%d", i))
	}
	s.SetInstances(testSnapshot(ids...))
	now, own := testStart, uint64(0)
	for b.Loop() {
		own++
		now = now.Add(time.Millisecond)
		pick, err := s.Select(engineRequest(own%12_000, own, now))
		if err != nil {
			b.Fatal(err)
		}
		pick.ReportLoad(now, Load{Running: 3, Slots: 64})
		pick.Done(now.Add(20*time.Millisecond), Outcome{Result: Succeeded})
	}
}
