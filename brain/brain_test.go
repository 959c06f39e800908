package brain

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// policyFiles returns the paths of the decision logic, from the policy list of deploy/balancer.toml.
func policyFiles(t *testing.T) []string {
	t.Helper()
	root := ".."
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	assert.NilError(t, err)
	list := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]`).FindSubmatch(deploy)
	assert.Assert(t, list != nil, "deploy/balancer.toml has no policy list")
	var files []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(string(list[1]), -1) {
		files = append(files, filepath.Join(root, name[1]))
	}
	assert.Assert(t, len(files) > 0)
	return files
}

func TestPolicyFilesStayWithinLineLimits(t *testing.T) {
	total := 0
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				total++
			}
			width := len([]rune(strings.ReplaceAll(line, "\t", "    ")))
			assert.Check(t, width <= 110, "%s has a line of %d characters: %s", file, width, line)
		}
	}
	assert.Check(t, total <= 1200, "%d non-blank lines, want at most 1200", total)
}

// arrive sends the node count reads at a fixed interval and answers each at once.
func (b *testbed) arrive(count int, every time.Duration) {
	for range count {
		b.now += every
		id, acts := b.request(read)
		for _, a := range actionsOf(acts, Send) {
			b.endAttempt(id, a.Attempt, a.Server, OK, ms, 0)
		}
	}
}

func TestBurstChangesCandidateCount(t *testing.T) {
	b := newTestbed(testSettings(), members(10))
	b.arrive(200, 40*ms)
	if b.node.inBurst || b.node.candidateCount() != 1 {
		t.Fatal("a steady stream is a burst or K is not 1")
	}
	b.arrive(80, 4*ms)
	if !b.node.inBurst || b.node.candidateCount() != 5 {
		t.Fatalf("at ten times the rate: burst %v, K %d, want a burst and half of 10", b.node.inBurst, b.node.candidateCount())
	}
	b.arrive(60, 40*ms)
	if b.node.inBurst || b.node.candidateCount() != 1 {
		t.Error("a falling arrival rate did not end the burst")
	}
}

func TestBurstExpiresWhenItsEndIsNotDetected(t *testing.T) {
	b := newTestbed(testSettings(), members(10))
	b.arrive(200, 40*ms)
	b.arrive(200, 4*ms) // the last 2m arrivals have equal intervals: I is 0 again
	if !b.node.inBurst {
		t.Fatal("no burst detected")
	}
	b.arrive(int(burstHold/(4*ms))+100, 4*ms)
	if b.node.inBurst {
		t.Error("still a burst more than burstHold after the last trip")
	}
}

func TestPickIsUniformAmongTheKLowest(t *testing.T) {
	b := newTestbed(testSettings(), members(10))
	for i := range 10 {
		b.handle(&ProbeEnded{Server: members(10)[i].Server, Outcome: OK, Report: []float64{float64(i)}})
	}
	b.node.rerank()
	r := &request{Request: Request{Class: read, Tenant: -1}}
	count := map[string]int{}
	b.node.inBurst = true // K = 5
	for range 5000 {
		count[b.node.pick(r).Server]++
	}
	for i, m := range members(10) {
		if got := count[m.Server]; i < 5 && (got < 900 || got > 1100) || i >= 5 && got > 0 {
			t.Errorf("%s of rank %d picked %d times of 5000", m.Server, i, got)
		}
	}
	b.node.inBurst = false
	for range 50 {
		if s := b.node.pick(r).Server; s != "s00" {
			t.Fatalf("K = 1 picked %s", s)
		}
	}
}

func TestPickEdgeCases(t *testing.T) {
	r := &request{Request: Request{Class: read, Tenant: -1}}
	empty := newTestbed(testSettings(), nil)
	if empty.node.pick(r) != nil {
		t.Error("picked a server from an empty fleet")
	}
	single := newTestbed(testSettings(), members(1))
	single.node.inBurst = true
	if s := single.node.pick(r); s == nil || s.Server != "s00" {
		t.Error("no pick with a single server")
	}
	// Without reports all scores are equal. Ties are broken by the seed, so that nodes differ.
	first := map[string]bool{}
	for seed := range uint64(20) {
		node, _ := New(testSettings(), seed)
		b := &testbed{node: node, now: time.Minute}
		b.handle(&FleetUpdate{Kind: UpdateRestored, Members: members(10)})
		first[node.pick(r).Server] = true
	}
	if len(first) < 5 {
		t.Errorf("20 nodes broke the tie in favour of only %d servers", len(first))
	}
}

func TestServerWithoutReportIsRankedAtTheMean(t *testing.T) {
	b := newTestbed(testSettings(), members(3))
	b.handle(&ProbeEnded{Server: "s00", Outcome: OK, Report: []float64{2}})
	b.handle(&ProbeEnded{Server: "s01", Outcome: OK, Report: []float64{6}})
	b.node.rerank()
	if got := b.node.byID["s02"].loadScore; got != 5 {
		t.Errorf("load score %v, want the mean 4 plus 1", got)
	}
}

func TestOwnSendsAreScaledByNodesSharingTheServer(t *testing.T) {
	cfg := testSettings()
	cfg.Nodes = 4
	b := newTestbed(cfg, members(3))
	for _, m := range members(3) {
		b.handle(&ProbeEnded{Server: m.Server, Outcome: OK, Report: []float64{1}})
	}
	_, acts := b.request(read)
	if got := b.node.byID[actionsOf(acts, Send)[0].Server].loadScore; got != 6 {
		t.Errorf("load score %v after one send by one of four nodes, want 1 held + 4 + 1", got)
	}
}

func TestUnsafeRequestIsNotRetriedOnceItMayHaveRun(t *testing.T) {
	b := newTestbed(testSettings(), members(5))
	for range 40 {
		b.request(read) // fills the retry budgets
	}
	id, acts := b.request(pay)
	sent := actionsOf(acts, Send)
	if len(sent) != 1 {
		t.Fatalf("sends: %v", acts)
	}
	b.now += 50 * ms
	acts = b.endAttempt(id, 0, sent[0].Server, AppError, 50*ms)
	if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, Refuse)) != 0 || len(actionsOf(acts, Fail)) != 1 {
		t.Errorf("after a failed attempt that may have run: %v", acts)
	}
	id, acts = b.request(pay)
	acts = b.endAttempt(id, 0, actionsOf(acts, Send)[0].Server, ConnectFailed, 50*ms)
	if len(actionsOf(acts, Send)) != 1 {
		t.Errorf("after an attempt that never ran: %v", acts)
	}
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	b := newTestbed(testSettings(), members(3))
	b.handle(&FleetUpdate{Kind: UpdateChanges, Members: []Member{{Server: "s01", Zone: "z1", Weight: 1, State: Draining}}})
	for range 200 {
		b.now += time.Millisecond
		_, acts := b.request(read)
		for _, a := range actionsOf(acts, Send) {
			if a.Server == "s01" {
				t.Fatal("sent to a draining server")
			}
		}
	}
}

func TestKeyGoesToItsHomeServerUnlessOverloaded(t *testing.T) {
	cfg := testSettings()
	cfg.WarmKeys = true
	var first, second string
	for node := range uint64(5) { // nodes with different seeds agree on the home
		n, _ := New(cfg, node)
		b := &testbed{node: n, now: time.Minute}
		b.handle(&FleetUpdate{Kind: UpdateRestored, Members: members(8)})
		keyed := func(id string) string {
			acts := b.handle(&Request{ID: id, Class: read, Tenant: -1, Key: "step/7", Deadline: b.now + time.Second})
			return actionsOf(acts, Send)[0].Server
		}
		got := keyed("a")
		if first == "" {
			first = got
		}
		if got != first {
			t.Fatalf("node %d sends the key to %s, another to %s", node, got, first)
		}
		b.endAttempt("a", 0, got, OK, 20*ms, 0)
		for _, m := range members(8) {
			b.handle(&ProbeEnded{Server: m.Server, Outcome: OK, Report: []float64{1}})
		}
		b.handle(&ProbeEnded{Server: first, Outcome: OK, Report: []float64{30}})
		got = keyed("b")
		if second == "" {
			second = got
		}
		if got == first || got != second {
			t.Fatalf("home overloaded: sent to %s, want the second home %s", got, second)
		}
	}
}

// A request of a class that takes several times as long is that much more load. If all requests counted the same, a
// server with a slow request in flight would seem as free as one with a fast request.
func TestOwnLoadIsWeightedByExpectedTime(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[put].Aim, cfg.Classes[put].Deadline = 2*time.Second, 4*time.Second // sets the initial mean time
	b := newTestbed(cfg, members(2))
	_, slow := b.request(put)
	_, fast := b.request(read)
	_, next := b.request(read)
	if slow[0].Server == fast[0].Server || next[0].Server != fast[0].Server {
		t.Errorf("slow request at %s, fast one at %s, the next at %s", slow[0].Server, fast[0].Server, next[0].Server)
	}
}

// Over time most servers ever listed are gone. The state of a node must not grow with them.
func TestGoneServersAreForgotten(t *testing.T) {
	b := newTestbed(testSettings(), members(2))
	for i := range 100 {
		id := fmt.Sprintf("new%d", i)
		b.handle(&FleetUpdate{Members: []Member{{Server: id, Zone: "z1"}}})
		b.request(read)
		b.handle(&FleetUpdate{Members: []Member{{Server: id, State: Gone}, {Server: "never", State: Gone}}})
	}
	if n := len(b.node.byID); n != 2 {
		t.Errorf("%d servers known, want 2", n)
	}
}

// First restricts the first attempt of a request to groups of servers, Later the further ones. Servers without a group
// match neither, and a request with Nowhere is refused at once.
func TestRequestGroupRestriction(t *testing.T) {
	list := members(6)
	for i := range list {
		list[i].Bit = 1 << (i % 2)
	}
	b := newTestbed(testSettings(), append(list, Member{Server: "none", Zone: "z1", Weight: 1}))
	for i := range 60 {
		b.seq++
		id, first := fmt.Sprint("b", b.seq), uint64(1)<<(i%2)
		acts := b.handle(&Request{ID: id, Class: read, Tenant: -1, Deadline: b.now + time.Second, First: first, Later: 3 - first})
		sent := actionsOf(acts, Send)
		if len(sent) != 1 || b.node.byID[sent[0].Server].Bit != first {
			t.Fatalf("first attempt restricted to group %d: %+v", first, acts)
		}
		if i%10 != 9 {
			b.endAttempt(id, 0, sent[0].Server, OK, 5*ms)
			continue
		}
		again := actionsOf(b.endAttempt(id, 0, sent[0].Server, ConnectFailed, ms), Send)
		if i > 20 && (len(again) != 1 || b.node.byID[again[0].Server].Bit != 3-first) {
			t.Fatalf("later attempt restricted to group %d: %+v", 3-first, again)
		}
		if len(again) == 1 {
			b.endAttempt(id, 1, again[0].Server, OK, 5*ms)
		}
		b.now += 50 * ms
	}
	acts := b.handle(&Request{ID: "nowhere", Class: pay, Tenant: -1, Deadline: b.now + time.Second, First: Nowhere})
	if len(acts) != 1 || acts[0].Kind != Refuse || len(b.node.requests) != 0 {
		t.Errorf("Nowhere: %+v, %d requests kept", acts, len(b.node.requests))
	}
}
