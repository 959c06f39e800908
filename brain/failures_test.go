package brain

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Failures that discovery does not report, as a node sees them, and the expected behaviour. There is no model of
// servers; the outcomes are scripted.

// serveReads sends count reads, one every 10 ms. The script returns the time taken, the outcome and the reported
// requests held of each attempt. The results are the number of attempts at each server and the number of refusals.
func (b *testbed) serveReads(count int, script func(server string) (time.Duration, Outcome, float64)) (map[string]int, int) {
	sent, refused := map[string]int{}, 0
	type pending struct {
		at      time.Duration
		id      string
		attempt int
		server  string
		outcome Outcome
		took    time.Duration
		held    float64
	}
	var open []pending
	attempts := map[string]int{}
	record := func(acts []Action) {
		for _, a := range acts {
			switch a.Kind {
			case Send:
				sent[a.Server]++
				took, o, held := script(a.Server)
				open = append(open, pending{b.now + took, a.ID, attempts[a.ID], a.Server, o, took, held})
				attempts[a.ID]++
			case Refuse:
				refused++
			}
		}
	}
	for i := 0; i < count || len(open) > 0; i++ {
		b.now += 10 * ms
		later := open
		open = nil
		for _, d := range later {
			if d.at > b.now {
				open = append(open, d)
				continue
			}
			record(b.endAttempt(d.id, d.attempt, d.server, d.outcome, d.took, d.held))
		}
		if i < count {
			_, acts := b.request(read)
			record(acts)
		}
	}
	return sent, refused
}

func healthy(string) (time.Duration, Outcome, float64) { return 30 * ms, OK, 0 }

// withOneServer is a script in which one server behaves as given and the others are healthy.
func withOneServer(name string, took time.Duration, o Outcome, held float64) func(string) (time.Duration, Outcome, float64) {
	return func(server string) (time.Duration, Outcome, float64) {
		if server == name {
			return took, o, held
		}
		return healthy(server)
	}
}

func TestUnresponsiveServerIsAvoided(t *testing.T) {
	b := newTestbed(testSettings(), members(6))
	b.serveReads(200, healthy)
	sent, _ := b.serveReads(300, withOneServer("s02", 1000*ms, TimedOut, 0))
	if sent["s02"] > 12 {
		t.Errorf("%d of 300 requests went to a server that never answers", sent["s02"])
	}
}

func TestFailedProbesExcludeServerUntilItAnswers(t *testing.T) {
	b := newTestbed(testSettings(), members(3))
	for range maxFailedProbes {
		b.handle(&ProbeEnded{Server: "s01", Outcome: TimedOut})
	}
	if sent, _ := b.serveReads(60, healthy); sent["s01"] != 0 {
		t.Errorf("%d requests went to a server whose probes fail", sent["s01"])
	}
	b.handle(&ProbeEnded{Server: "s01", Outcome: OK, Report: []float64{0}})
	if sent, _ := b.serveReads(60, healthy); sent["s01"] == 0 {
		t.Error("not used again after a successful probe")
	}
}

func TestFastFailingServerIsEjectedAndReturnsOnTrial(t *testing.T) {
	b := newTestbed(testSettings(), members(6))
	b.serveReads(200, healthy)
	bad := b.node.ranked[0].Server // the next pick
	sent, _ := b.serveReads(400, withOneServer(bad, 2*ms, AppError, 0))
	if sent[bad] == 0 || sent[bad] > 12 {
		t.Errorf("%d of 400 requests went to a server that fails at once with an empty queue", sent[bad])
	}
	s := b.node.byID[bad]
	if h := &s.health[read]; h.ejections == 0 || !h.onTrial {
		t.Fatal("not ejected")
	}
	b.now = max(b.now, s.health[read].ejectedUntil)
	if sent, _ := b.serveReads(400, healthy); sent[bad] == 0 || s.health[read].onTrial {
		t.Error("did not return from ejection")
	}
}

// If a late answer is worthless, an attempt that hangs past its aim must be cancelled then. Otherwise it would occupy
// the server, count as load and keep the client waiting until the deadline.
func TestOverdueAttemptIsCancelledWhenWorthless(t *testing.T) {
	cfg := testSettings()
	cfg.SecondCopies = false
	b := newTestbed(cfg, members(2))
	b.node.classes[put].mean, b.node.classes[put].dev = 0.02, 0.01
	aim := b.now + cfg.Classes[put].Aim
	id, _ := b.request(put)
	for b.now < aim+5*overdueInterval {
		acts := b.handle(&TimerFired{Cookie: cookieOverdue})
		if ended := actionsOf(acts, Fail); len(ended) > 0 {
			if b.now < aim || ended[0].ID != id || len(actionsOf(acts, Cancel)) != 1 {
				t.Errorf("%v after the aim: %+v", b.now-aim, acts)
			}
			return
		}
		b.now += overdueInterval
	}
	t.Error("not given up after its aim")
}

// Sometimes a tenth of all attempts fail at every server alike, by corrupted answers or connection resets. When two or
// three failures in a row caused an ejection, random runs ejected healthy servers for seconds, and the rest of the
// fleet was overloaded and refused requests.
func TestUniformTenPercentErrorsRarelyEject(t *testing.T) {
	b := newTestbed(testSettings(), members(6))
	rng := rand.New(rand.NewPCG(1, 2))
	ejections := map[time.Duration]bool{}
	for range 400 {
		b.serveReads(20, func(s string) (time.Duration, Outcome, float64) {
			if rng.Float64() < 0.1 {
				return 10 * ms, Dropped, 1
			}
			return healthy(s)
		})
		for _, s := range b.node.fleet {
			ejections[s.health[read].ejectedUntil] = true
		}
	}
	if n := len(ejections) - 1; n > 10 { // without the initial 0
		t.Errorf("%d ejections in 8000 requests", n)
	}
}

// Half of the servers may lose, refuse or fail every request of one class and be healthy for the other. With one error
// rate for all classes they were ejected for both, and the rest of the fleet was overloaded and refused requests.
func TestServerFailingOneClassStillServesOthers(t *testing.T) {
	for _, o := range []Outcome{TimedOut, Shed, AppError} {
		b := newTestbed(testSettings(), members(6))
		b.serveReads(200, healthy)
		for _, bad := range b.node.fleet[:3] {
			for range 8 {
				b.now += ms
				b.node.recordOutcome(&attempt{server: bad, sent: b.now}, &request{Request: Request{Class: put}},
					&AttemptEnded{Outcome: o, Took: 500 * ms})
			}
			b.node.now = b.now
			if b.node.allowed(bad, &request{Request: Request{Class: put}}) {
				t.Errorf("outcome %d: %s is still sent puts", o, bad.Server)
			}
			if !b.node.allowed(bad, &request{Request: Request{Class: read}}) {
				t.Errorf("outcome %d: %s is no longer sent reads", o, bad.Server)
			}
		}
	}
}

// The loss of a request would be noticed only at its deadline. Once it is overdue a second copy goes to another server,
// within the scope of a Keyed class, and never for an Unsafe one.
func TestOverdueAttemptGetsASecondCopy(t *testing.T) {
	list := members(4)
	list[2].Zone, list[3].Zone = "z2", "z2"
	for class, copies := range map[int]int{read: 1, put: 1, pay: 0} {
		b := newTestbed(testSettings(), list)
		b.node.repeatTokens, b.node.classes[class].mean, b.node.classes[class].dev = maxBudgetTokens, 0.02, 0.01
		_, acts := b.request(class)
		first := actionsOf(acts, Send)[0].Server
		var more []Action
		for range 60 {
			b.now += 10 * ms
			more = append(more, actionsOf(b.handle(&TimerFired{Cookie: cookieOverdue}), Send)...)
			if len(more) == 1 && copies == 1 {
				break
			}
		}
		if len(more) != copies || copies == 1 && (more[0].Server == first ||
			class == put && b.node.byID[more[0].Server].Zone != b.node.byID[first].Zone) {
			t.Errorf("class %d, first at %s: %+v", class, first, more)
		}
	}
}

func TestEjectionStaysWithinMaxShareWhenAllFail(t *testing.T) {
	b := newTestbed(testSettings(), members(10))
	b.serveReads(300, func(string) (time.Duration, Outcome, float64) { return 5 * ms, AppError, 1 })
	usable := 0
	for _, s := range b.node.fleet {
		if b.node.usable(s) {
			usable++
		}
	}
	if usable < 6 {
		t.Errorf("only %d of 10 servers remain usable though all fail alike", usable)
	}
}

func TestRefusingServerIsPausedForIncreasingTimes(t *testing.T) {
	b := newTestbed(testSettings(), members(4))
	sent, _ := b.serveReads(1000, withOneServer("s01", 1*ms, Shed, 0))
	if sent["s01"] > 8 {
		t.Errorf("%d attempts in ten seconds at a server that refuses all requests", sent["s01"])
	}
}

func TestOccasionalSlowAnswersDoNotEject(t *testing.T) {
	b := newTestbed(testSettings(), members(4))
	b.serveReads(200, healthy)
	n := 0
	b.serveReads(200, func(s string) (time.Duration, Outcome, float64) {
		if n++; s == "s01" && n%40 == 0 {
			return 250 * ms, OK, 2
		}
		return healthy(s)
	})
	if !b.node.usable(b.node.byID["s01"]) {
		t.Error("ejected for occasional slow answers")
	}
}

func TestRestartUnderSameIDStartsColdWithoutHistory(t *testing.T) {
	b := newTestbed(testSettings(), members(4))
	b.serveReads(100, healthy)
	b.serveReads(100, withOneServer("s01", 2*ms, AppError, 0))
	b.handle(&FleetUpdate{Kind: UpdateChanges, Members: []Member{{Server: "s01", Zone: "z1", Weight: 1, Started: b.now}}})
	s := b.node.byID["s01"]
	if !b.node.usable(s) || s.hasReport || s.health[read].errorRate != 0 {
		t.Error("the new process inherits the health of the old one")
	}
	if b.node.warmth(s) > 0.31 {
		t.Errorf("warmth %v right after the start", b.node.warmth(s))
	}
}

func TestOtherZoneTakesOverWhenOneIsLost(t *testing.T) {
	cfg := testSettings()
	cfg.Prices.CrossZone = 0.02
	list := members(40)
	for i := range list {
		if i%2 == 1 {
			list[i].Zone = "z2"
		}
	}
	b := newTestbed(cfg, list)
	var gone []Member
	for _, m := range list {
		if m.Zone == "z1" {
			m.State = Gone
			gone = append(gone, m)
		}
	}
	b.handle(&FleetUpdate{Kind: UpdateChanges, Members: gone})
	sent, refused := b.serveReads(200, healthy)
	if refused > 0 || len(sent) < 2 {
		t.Errorf("%d refused, %d servers in use", refused, len(sent))
	}
}

func TestGrowingFleetEntersTheSample(t *testing.T) {
	cfg := testSettings()
	b := newTestbed(cfg, members(20))
	b.serveReads(200, healthy)
	grown := members(100)
	for i := 20; i < 100; i++ {
		grown[i].Started = b.now
	}
	b.handle(&FleetUpdate{Kind: UpdateFull, Members: grown})
	fresh := 0
	for _, s := range b.node.ranked {
		if s.Started > 0 {
			fresh++
		}
	}
	if len(b.node.ranked) < minSampleSize || fresh < len(b.node.ranked)/3 {
		t.Errorf("%d of the %d in the sample are new, with 80 of 100 new in the fleet", fresh, len(b.node.ranked))
	}
}

func TestEmptyFleetHoldsAndRefusesBeforeDeadline(t *testing.T) {
	b := newTestbed(testSettings(), nil)
	id, acts := b.request(pay)
	deadline := b.now + b.node.classes[pay].Deadline
	for b.now < deadline {
		if len(actionsOf(acts, Refuse)) == 1 {
			break
		}
		timer := actionsOf(acts, SetTimer)
		if len(timer) == 0 {
			t.Fatal("a request is held without a timer")
		}
		b.now += timer[0].After
		acts = b.handle(&TimerFired{timer[0].Cookie})
	}
	if len(actionsOf(acts, Refuse)) != 1 || b.now >= deadline {
		t.Errorf("%s: %v, %v before its deadline", id, acts, deadline-b.now)
	}
	_, acts = b.request(pay)
	if acts = b.handle(&FleetUpdate{Kind: UpdateFull, Members: members(2)}); len(actionsOf(acts, Send)) != 1 {
		t.Error("a held request is not sent when servers appear")
	}
}

func TestDiscoveryCallsAreSpreadAndRetried(t *testing.T) {
	cfg := testSettings()
	cfg.AskDiscovery = true
	node, _ := New(cfg, 3)
	b := &testbed{node: node, now: time.Minute}
	acts := b.handle(&FleetUpdate{Kind: UpdateRestored, Members: members(2)})
	pauses := []time.Duration{}
	for range 5 {
		timer := actionsOf(acts, SetTimer)
		if len(timer) != 1 {
			t.Fatalf("want one timer for the next call: %v", acts)
		}
		pauses = append(pauses, timer[0].After)
		b.now += timer[0].After
		if acts = b.handle(&TimerFired{timer[0].Cookie}); len(actionsOf(acts, Subscribe)) != 1 {
			t.Fatal("no call to discovery")
		}
		acts = b.handle(&FleetUpdate{Kind: UpdateAskFailed})
	}
	if pauses[4] <= pauses[1] || pauses[4] > 2*cfg.Rules.AskEvery {
		t.Errorf("pauses %v", pauses)
	}
	if sent, _ := b.serveReads(20, healthy); len(sent) == 0 {
		t.Error("the last list is not used while discovery fails")
	}
}

func TestConstantZeroReportsDoNotAttractAllRequests(t *testing.T) {
	b := newTestbed(testSettings(), members(4))
	sent, _ := b.serveReads(400, func(string) (time.Duration, Outcome, float64) { return 60 * ms, OK, 0 })
	for _, m := range members(4) {
		if sent[m.Server] > 200 {
			t.Errorf("%s got %d of 400 requests with all reports at zero", m.Server, sent[m.Server])
		}
	}
}

func TestOwnRequestsRankServersWithoutReports(t *testing.T) {
	cfg := testSettings()
	cfg.Reports, cfg.Columns = ReportsOff, nil
	b := newTestbed(cfg, members(4))
	seen := map[string]int{}
	for range 4 {
		_, acts := b.request(read)
		seen[actionsOf(acts, Send)[0].Server]++
	}
	if len(seen) != 4 {
		t.Errorf("four requests in flight on %d servers, want 4", len(seen))
	}
}

func TestUniformSlownessShedsInsteadOfEjecting(t *testing.T) {
	b := newTestbed(testSettings(), members(6))
	b.serveReads(300, healthy)
	_, refused := b.serveReads(600, func(string) (time.Duration, Outcome, float64) { return 900 * ms, OK, 30 })
	for _, s := range b.node.fleet {
		if !b.node.usable(s) {
			t.Errorf("%s ejected though all servers are equally slow", s.Server)
		}
	}
	if refused < 100 {
		t.Errorf("%d of 600 refused though answers take nearly twice the aim", refused)
	}
	if _, refused = b.serveReads(600, healthy); refused > 300 {
		t.Errorf("%d of 600 still refused after the servers recovered", refused)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	b := newTestbed(testSettings(), members(6))
	sent, _ := b.serveReads(1000, func(string) (time.Duration, Outcome, float64) { return 5 * ms, ConnectFailed, 0 })
	total := 0
	for _, n := range sent {
		total += n
	}
	if most := int(1000*(1+retryTokensPerRequest) + maxBudgetTokens); total > most {
		t.Errorf("%d attempts for 1000 requests, want at most %d", total, most)
	}
}

func TestUnsafeRequestIsNotRetriedWhileAnAttemptIsOut(t *testing.T) {
	b := newTestbed(testSettings(), members(3))
	id, _ := b.request(pay)
	for _, s := range b.node.fleet {
		if b.node.mayAttemptAt(b.node.requests[id], s) {
			t.Errorf("%s allowed while an attempt is in flight", s.Server)
		}
	}
}

func TestLateAndUnknownEventsAreIgnored(t *testing.T) {
	b := newTestbed(testSettings(), members(3))
	id, acts := b.request(read)
	server := actionsOf(acts, Send)[0].Server
	b.handle(&ClientGone{id})
	if acts := b.endAttempt(id, 0, server, OK, ms, 1); len(acts) != 0 {
		t.Errorf("after the client disconnected: %v", acts)
	}
	for _, ev := range []Event{&AttemptEnded{ID: id, Server: server}, &ClientGone{"x"}, &ClientGone{id}, &TimerFired{99},
		&ProbeEnded{Server: "x"}, &StreamBegun{ID: "x"}, &Request{ID: "y", Class: 9}} {
		if acts := b.handle(ev); len(acts) != 0 {
			t.Errorf("%T: %v", ev, acts)
		}
	}
	if len(b.node.requests) != 0 {
		t.Errorf("%d requests kept", len(b.node.requests))
	}
}

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Nodes":       func(s *Settings) { s.Nodes = 0 },
		"Classes":     func(s *Settings) { s.Classes = nil },
		"Window":      func(s *Settings) { s.Classes[put].Window = 0 },
		"Deadline":    func(s *Settings) { s.Classes[read].Deadline = 0 },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"ColdFrom":    func(s *Settings) { s.Rules.ColdFrom = 2 },
	} {
		cfg := testSettings()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// A report of a long queue blocked its server for 6 s, since the next report comes only with an answer and nothing was
// sent. In an overload scenario 72% of requests were refused while servers were idle.
func TestOldReportDoesNotBlockAServer(t *testing.T) {
	cfg := testSettings()
	cfg.Columns = []Column{ColQueue}
	b := newTestbed(cfg, members(1))
	for range 20 { // learns the relation of time to load
		id, _ := b.request(read)
		b.now += 50 * ms
		b.endAttempt(id, 0, "s00", OK, 50*ms, 0)
	}
	id, _ := b.request(read)
	b.now += 50 * ms
	b.endAttempt(id, 0, "s00", OK, 50*ms, 200)
	if _, acts := b.request(read); len(actionsOf(acts, Refuse)) != 1 {
		t.Fatalf("a reported queue of 200 was ignored: %v", acts)
	}
	b.now += reportBindingAge + ms
	if _, acts := b.request(read); len(actionsOf(acts, Send)) != 1 {
		t.Fatalf("the old report still blocks the server: %v", acts)
	}
}

// A request that no server may be sent any more is answered at once: here the only server of the zone that deduplicates
// repeats has been tried. It used to be held until just before the deadline.
func TestRetryWithoutEligibleServerFailsAtOnce(t *testing.T) {
	list := members(2)
	list[1].Zone = "z2"
	b := newTestbed(testSettings(), list)
	for range 25 { // fills the repeat budget
		id, acts := b.request(read)
		b.now += 5 * ms
		b.endAttempt(id, 0, actionsOf(acts, Send)[0].Server, OK, 5*ms)
	}
	id, acts := b.request(put)
	server := actionsOf(acts, Send)[0].Server
	b.now += 5 * ms
	if acts = b.endAttempt(id, 0, server, Dropped, 5*ms); len(actionsOf(acts, Fail)) != 1 {
		t.Fatalf("the request is held: %v", acts)
	}
}

// A request held because no server is available is refused as soon as an answer would come too late to be worth
// anything, rather than shortly before its deadline.
func TestHeldRequestIsRefusedOnceAnswersWouldBeWorthless(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[read].Late, cfg.Classes[read].Aim = 0, 150*ms
	cfg.RetryAfter, cfg.MaxRetryAfter = true, 500*ms
	list := members(1)
	list[0].State = Draining
	b := newTestbed(cfg, list)
	asked := b.now
	_, acts := b.request(read)
	for len(actionsOf(acts, Refuse)) == 0 {
		if b.now += queueInterval; b.now > asked+150*ms {
			t.Fatal("still held after the aim")
		}
		acts = b.handle(&TimerFired{Cookie: cookieQueue})
	}
	if actionsOf(acts, Refuse)[0].After == 0 {
		t.Error("the refusal has no retry delay")
	}
}

// Reports decay with age: a queue reported a second ago must not outweigh the node's exact knowledge of its own
// requests in flight at other servers.
func TestOldReportsYieldToOwnRequests(t *testing.T) {
	b := newTestbed(testSettings(), members(2))
	a := b.node.byID["s00"]
	b.node.recordReport(a, 10)
	b.node.setLoadScore(a, 0, 1)
	fresh := a.loadScore
	b.now += 2 * time.Second
	b.node.now = b.now
	b.node.setLoadScore(a, 0, 1)
	if fresh < 10 || a.loadScore > 2 {
		t.Errorf("load score %v at once, %v after 2 s", fresh, a.loadScore)
	}
}

// Once the answer of an attempt streams, the other attempts are cancelled and nothing more is sent or cancelled for the
// request. From then on the attempt counts neither as load of its server nor as a stall, however long the stream is.
func TestStreamIsNeitherLoadNorSilence(t *testing.T) {
	cfg := testSettings()
	b := newTestbed(cfg, members(2))
	for range 40 { // learns the answer times and fills the budgets
		id, acts := b.request(read)
		b.now += 5 * ms
		b.endAttempt(id, 0, acts[0].Server, OK, 5*ms)
	}
	id, acts := b.request(read)
	first := actionsOf(acts, Send)[0].Server
	var second []Action
	for until := b.now + 400*ms; len(second) == 0; b.now += 10 * ms {
		if b.now > until {
			t.Fatal("no second copy")
		}
		second = actionsOf(b.handle(&TimerFired{Cookie: cookieOverdue}), Send)
	}
	acts = b.handle(&StreamBegun{ID: id, Attempt: 0, Server: first})
	if len(acts) != 1 || acts[0].Kind != Cancel || acts[0].Attempt != 1 {
		t.Fatalf("%+v", acts)
	}
	if acts = b.handle(&AttemptEnded{ID: id, Attempt: 1, Server: second[0].Server, Outcome: Cancelled}); len(actionsOf(acts, Send)) != 0 {
		t.Errorf("%+v", acts)
	}
	if again := b.handle(&StreamBegun{ID: id, Attempt: 0, Server: first}); len(again) != 0 {
		t.Errorf("actions after a duplicate StreamBegun: %+v", again)
	}
	s := b.node.byID[first]
	b.now += 3 * time.Second
	if s.inFlight != 0 || s.ownLoad != 0 || b.node.stalled(&s.health[read]) || s.health[read].inFlight != 0 {
		t.Errorf("in flight %d, load %v, stalled %v, in flight of the class %d", s.inFlight, s.ownLoad, b.node.stalled(&s.health[read]), s.health[read].inFlight)
	}
	acts = b.handle(&AttemptEnded{ID: id, Attempt: 0, Server: first, Outcome: Dropped, Took: 5 * ms, Final: true})
	if len(actionsOf(acts, Send))+len(actionsOf(acts, Fail))+len(actionsOf(acts, Refuse)) != 0 || s.inFlight != 0 || s.health[read].inFlight != 0 || len(b.node.requests) != 0 {
		t.Errorf("%+v, in flight %d and %d, %d requests", acts, s.inFlight, s.health[read].inFlight, len(b.node.requests))
	}
}

// However long discovery has been down, it is asked again within 1.5 s: soon after it is back its changes count as
// known to the node, and drains must be obeyed from then on. The delays are random, so that not all nodes call at once.
func TestDiscoveryIsRetriedWithin1500ms(t *testing.T) {
	cfg := testSettings()
	cfg.AskDiscovery = true
	cfg.Rules.AskEvery = 40 * time.Second
	b := newTestbed(cfg, members(2))
	b.handle(&TimerFired{Cookie: cookieAsk})
	seen := map[time.Duration]bool{}
	for i := range 30 {
		asks := actionsOf(b.handle(&FleetUpdate{Kind: UpdateAskFailed}), SetTimer)
		if len(asks) != 1 || asks[0].After < 500*ms || asks[0].After > 1500*ms {
			t.Fatalf("after failure %d: %+v", i, asks)
		}
		seen[asks[0].After] = true
		b.now += asks[0].After
		if subs := actionsOf(b.handle(&TimerFired{Cookie: cookieAsk}), Subscribe); len(subs) != 1 {
			t.Fatal("no call to discovery")
		}
	}
	if len(seen) < 25 {
		t.Errorf("%d different delays of 30", len(seen))
	}
}

// A node that starts under full load in front of a large fleet must not rely on its smoothed count of requests in
// flight: with a sample of the minimum size it would refuse half of the requests of the first second although the fleet
// is idle.
func TestSampleGrowsWithLoad(t *testing.T) {
	b := newTestbed(testSettings(), members(400))
	for range 300 { // within 300 ms, none of them answered yet
		b.now += ms
		b.request(read)
	}
	if n := len(b.node.ranked); n < 300 {
		t.Errorf("a sample of %d servers of 400 with %d requests in flight", n, b.node.inFlight)
	}
}
