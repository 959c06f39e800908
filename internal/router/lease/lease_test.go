package lease

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// faultsPerHistory is the number of faults in one history.
const faultsPerHistory = 60

// TestNeverTwoHolders simulates random histories of late, lost and duplicated messages, pauses, restarts and changes of the
// grantor sets.
func TestNeverTwoHolders(t *testing.T) {
	leases := 0
	rapid.Check(t, func(draw *rapid.T) {
		s := newSimulation(draw, rapid.Uint64().Draw(draw, "seed"))
		for range faultsPerHistory {
			s.run(s.now + time.Duration(s.random.IntN(1000))*1500*time.Microsecond)
			s.injectFault()
		}
		leases += s.leases
	})
	t.Logf("%d leases", leases)
	assert.Assert(t, leases > 0)
}

// TestOneHolderWithoutFaults checks that there is a holder soon, and that it stays the holder.
func TestOneHolderWithoutFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		s := newSimulation(draw, rapid.Uint64().Draw(draw, "seed"))
		s.reliable = true
		s.run(4 * modelDuration)
		assert.Equal(draw, s.leases, 1)
	})
}

func newTestCandidate(name string) *Candidate {
	return NewCandidate(0, name, testConfig, func() float64 { return 0 })
}

var testConfig = Config{Duration: 2 * time.Second, Drift: 0.1}

func TestGrantorRefusesDuringGracePeriod(t *testing.T) {
	g := NewGrantor(time.Second, testConfig, 1)
	request := Request{Holder: "a", Term: 1}
	early := g.Handle(3*time.Second-1, request)
	assert.Assert(t, !early.Granted)
	assert.Equal(t, early.Remaining, time.Duration(1))
	assert.Assert(t, g.Handle(3*time.Second, request).Granted)
}

func TestGrantorGrantsToOneHolder(t *testing.T) {
	g := NewGrantor(0, testConfig, 1)
	assert.Assert(t, g.Handle(2*time.Second, Request{Holder: "a", Term: 5}).Granted)
	refusal := g.Handle(3*time.Second, Request{Holder: "b", Term: 6})
	assert.DeepEqual(t, refusal, Response{HighestTerm: 5, Holder: "a", Remaining: time.Second})
	assert.Assert(t, !g.Handle(4*time.Second, Request{Holder: "b", Term: 5}).Granted, "a term is granted twice")
	assert.Assert(t, g.Handle(4*time.Second, Request{Holder: "b", Term: 6}).Granted)
}

func TestGrantorRefusesOutdatedSets(t *testing.T) {
	g := NewGrantor(0, testConfig, 1)
	g.SetGrantors([]string{"y", "x"}, []string{"v"})
	now := 2 * time.Second
	assert.Assert(t, !g.Handle(now, Request{Holder: "a", Term: 1, Sets: [][]string{{"v"}}}).Granted)
	assert.Assert(t, g.Handle(now, Request{Holder: "a", Term: 1, Sets: [][]string{{"v"}, {"x", "y"}}}).Granted)
}

func TestLeaseStartsWhenRequestsAreSent(t *testing.T) {
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"x"}, nil)
	messages := c.Tick(2*time.Second, 7)
	assert.Equal(t, len(messages), 1)
	request := messages[0].Request
	c.Receive(3*time.Second, "x", Response{Granted: true, Round: request.Round, HighestTerm: 7})
	term, held := c.Held(3*time.Second + 799*time.Millisecond)
	assert.Assert(t, held)
	assert.Equal(t, term, Term(7))
	_, held = c.Held(3*time.Second + 800*time.Millisecond)
	assert.Assert(t, !held)
}

func TestCandidateNeedsBothMajorities(t *testing.T) {
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"x", "y", "z"}, []string{"u", "v", "w"})
	messages := c.Tick(2*time.Second, 1)
	assert.Equal(t, len(messages), 6)
	granted := Response{Granted: true, Round: messages[0].Request.Round}
	for _, grantor := range []string{"x", "y", "z", "u"} {
		c.Receive(2*time.Second, grantor, granted)
	}
	_, held := c.Held(2 * time.Second)
	assert.Assert(t, !held)
	c.Receive(2*time.Second, "v", granted)
	_, held = c.Held(2 * time.Second)
	assert.Assert(t, held)
}

// TestLostRoundIsReleasedAtOnce checks that a round ends, and its grants are released, as soon as too many grantors have refused. A
// grant that arrives later must be released too.
func TestLostRoundIsReleasedAtOnce(t *testing.T) {
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"w", "x", "y", "z"}, nil)
	now := 2 * time.Second
	request := c.Tick(now, 1)[0].Request
	granted := Response{Granted: true, Round: request.Round, HighestTerm: request.Term}
	refused := Response{Round: request.Round, Holder: "b", Remaining: time.Second}
	c.Receive(now, "x", granted)
	c.Receive(now, "y", refused)
	assert.Equal(t, len(c.TakeReleases()), 0, "w and z may grant")
	c.Receive(now, "z", refused)
	release := Request{Holder: "a", Term: request.Term, Release: true}
	assert.DeepEqual(t, c.TakeReleases(), []Message{{To: "x", Request: release}})
	c.Receive(now, "w", granted)
	assert.DeepEqual(t, c.TakeReleases(), []Message{{To: "w", Request: release}})
	_, held := c.Held(now)
	assert.Assert(t, !held)
}

// TestRefusedRenewalReleasesNothing checks that a holder whose renewal is refused keeps its grants, since its lease depends on them
// until it expires.
func TestRefusedRenewalReleasesNothing(t *testing.T) {
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"x", "y", "z"}, nil)
	now := 2 * time.Second
	won := Response{Granted: true, Round: c.Tick(now, 1)[0].Request.Round}
	c.Receive(now, "x", won)
	c.Receive(now, "y", won)
	now = c.NextAt(now)
	renewal := c.Tick(now, 1)[0].Request
	refused := Response{Round: renewal.Round, Holder: "b", Remaining: time.Second}
	c.Receive(now, "x", Response{Granted: true, Round: renewal.Round})
	c.Receive(now, "y", refused)
	c.Receive(now, "z", refused)
	_, held := c.Held(now)
	assert.Assert(t, held)
	assert.Equal(t, len(c.TakeReleases()), 0)
}

func TestHolderResignsOnHigherTerm(t *testing.T) {
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"x"}, nil)
	messages := c.Tick(2*time.Second, 7)
	c.Receive(2*time.Second, "x", Response{Granted: true, Round: messages[0].Request.Round})
	c.ObserveTerm(2*time.Second, 7)
	_, held := c.Held(2 * time.Second)
	assert.Assert(t, held)
	c.ObserveTerm(2*time.Second, 9)
	_, held = c.Held(2 * time.Second)
	assert.Assert(t, !held)
	messages = c.Tick(3*time.Second, 8)
	assert.Equal(t, messages[0].Request.Release, true)
	assert.Equal(t, messages[1].Request.Term, Term(10))
}

// TestDriftMargin checks that the lease expires before the grant, with the slowest holder's clock and the fastest grantor's clock.
func TestDriftMargin(t *testing.T) {
	holderClock := clock{speed: slowest}
	grantorClock := clock{speed: fastest}
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"x"}, nil)
	g := NewGrantor(0, testConfig, 1)
	start := 4 * time.Second
	messages := c.Tick(holderClock.read(start), 1)
	response := g.Handle(grantorClock.read(start), messages[0].Request)
	c.Receive(holderClock.read(start), "x", response)
	_, held := c.Held(holderClock.read(start))
	assert.Assert(t, held)
	end := start
	for step := time.Millisecond; ; end += step {
		if _, _, granted := g.CurrentHolder(grantorClock.read(end)); !granted {
			break
		}
	}
	_, held = c.Held(holderClock.read(end))
	assert.Assert(t, !held, "the lease outlives the grant, which expired after %v", end-start)
}

// TestOddSubset checks that the same member is left out of an even number, regardless of their order.
func TestOddSubset(t *testing.T) {
	for want, members := range map[string][]string{
		"":    nil,
		"a":   {"b", "a"},
		"abc": {"c", "a", "b"},
	} {
		assert.Equal(t, strings.Join(OddSubset(members), ""), want)
	}
	assert.DeepEqual(t, OddSubset([]string{"d", "b", "a", "c"}), []string{"a", "b", "c"})
	assert.DeepEqual(t, OddSubset([]string{"a", "b", "c", "d"}), []string{"a", "b", "c"})
}
