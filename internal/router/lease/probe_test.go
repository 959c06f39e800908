package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proofTest runs candidate a among three processes that have just started. The test gives the responses to its probes.
type proofTest struct {
	t         *testing.T
	candidate *Candidate
	now       time.Duration
}

func newProofTest(t *testing.T) *proofTest {
	c := newTestCandidate("a")
	c.SetGrantors(0, []string{"a", "b", "c"}, nil)
	c.AllowProof(true)
	return &proofTest{t: t, candidate: c}
}

// probe sends the probe that is due next and returns its number.
func (p *proofTest) probe() uint64 {
	p.now = max(p.now, p.candidate.NextAt(p.now))
	messages := p.candidate.Tick(p.now, 1)
	assert.Equal(p.t, len(messages), 3)
	assert.Assert(p.t, messages[0].Request.Probe)
	return messages[0].Request.Round
}

func (p *proofTest) answer(from string, round, incarnation uint64, idle bool) {
	p.candidate.Receive(p.now, from, Response{Probe: true, Round: round, Incarnation: incarnation, Idle: idle})
}

func TestProofNeedsTwoProbes(t *testing.T) {
	p := newProofTest(t)
	round := p.probe()
	p.answer("a", round, 1, true)
	p.answer("b", round, 2, true)
	p.answer("c", round, 3, true)
	assert.Assert(t, !p.candidate.round.open)
	second := p.probe()
	assert.Assert(t, second > round)
	for i, name := range []string{"a", "b", "c"} {
		assert.Assert(t, !p.candidate.round.open)
		p.answer(name, second, uint64(i+1), true)
	}
	messages := p.candidate.Tick(p.now, 1)
	assert.Equal(t, len(messages), 3)
	for i, message := range messages {
		assert.Equal(t, message.Request.Proof, uint64(i+1))
	}
}

func TestNoProofUnlessAllAreIdle(t *testing.T) {
	cases := []struct {
		name        string
		incarnation uint64
		idle        bool
	}{
		{name: "one is not idle", incarnation: 3, idle: false},
		{name: "one has restarted since the first probe", incarnation: 4, idle: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			p := newProofTest(t)
			first := p.probe()
			for i, name := range []string{"a", "b", "c"} {
				p.answer(name, first, uint64(i+1), true)
			}
			second := p.probe()
			p.answer("a", second, 1, true)
			p.answer("b", second, 2, true)
			assert.Assert(t, !p.candidate.round.open && p.candidate.prober.proof == nil, "two responses of three make a proof")
			p.answer("c", second, test.incarnation, test.idle)
			assert.Assert(t, p.candidate.prober.proof == nil)
			p.answer("c", first, 3, true)
			assert.Assert(t, p.candidate.prober.proof == nil, "a late response to the first probe counts for the second")
		})
	}
}

func TestCandidateWithOpenRoundIsNotIdle(t *testing.T) {
	c := newTestCandidate("b")
	c.SetGrantors(0, []string{"a", "b"}, nil)
	probe := Request{Holder: "a", Probe: true, Sets: [][]string{{"a", "b"}}}
	assert.Assert(t, !c.Idle(0, probe), "idle although other grantor sets may exist")
	c.SetOnlyCurrentGrantorsKnown(true)
	assert.Assert(t, c.Idle(0, probe))
	assert.Assert(t, !c.Idle(0, Request{Holder: "a", Sets: [][]string{{"a", "c"}}}))
	now := testConfig.Duration
	messages := c.Tick(now, 1)
	assert.Assert(t, !c.Idle(now, probe), "idle with an open round")
	for _, name := range []string{"a", "b"} {
		c.Receive(now, name, Response{Granted: true, Round: messages[0].Request.Round})
	}
	assert.Assert(t, !c.Idle(now, probe), "idle while holding the lease")
	assert.Assert(t, c.Idle(now+testConfig.Duration, probe))
}

func TestGrantorAcceptsOnlyProofOfItsIncarnation(t *testing.T) {
	g := NewGrantor(0, testConfig, 7)
	assert.Assert(t, !g.Handle(0, Request{Holder: "a", Term: 1}).Granted)
	assert.Assert(t, !g.Handle(0, Request{Holder: "a", Term: 1, Proof: 6}).Granted)
	assert.Assert(t, g.Handle(0, Request{Holder: "a", Term: 1, Proof: 7}).Granted)
	assert.Assert(t, !g.Handle(0, Request{Holder: "b", Term: 2, Proof: 7}).Granted, "a proof overrides a grant")
}
