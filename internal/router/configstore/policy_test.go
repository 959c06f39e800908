package configstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
)

func acceptorAt(id, address string) casregister.Acceptor {
	return casregister.Acceptor{ID: casregister.AcceptorID(id), Address: address}
}

func votersOf(ids ...string) []casregister.Acceptor {
	var voters []casregister.Acceptor
	for _, id := range ids {
		voters = append(voters, acceptorAt(id, id))
	}
	return voters
}

func reachable(ids ...string) []Candidate {
	var candidates []Candidate
	for _, id := range ids {
		candidates = append(candidates, Candidate{Acceptor: acceptorAt(id, id), Zone: "z", Reachable: true})
	}
	return candidates
}

func silent(id, zone string, silence time.Duration) Candidate {
	return Candidate{Acceptor: acceptorAt(id, id), Zone: zone, SilentFor: silence}
}

func TestMemberPolicy(t *testing.T) {
	long := removeAfter + time.Millisecond
	cases := map[string]struct {
		voters     []casregister.Acceptor
		candidates []Candidate
		next       []casregister.Acceptor // nil: no change
	}{
		"no change needed": {votersOf("a", "b", "c"), reachable("a", "b", "c"), nil},
		"one more voter":   {votersOf("a", "b", "c"), reachable("a", "b", "c", "d"), votersOf("a", "b", "c", "d")},
		"candidate waits until the silent voter can be replaced": {
			votersOf("a", "b", "c"),
			append(reachable("a", "b", "d"), silent("c", "z", replaceAfter)),
			nil,
		},
		"silent but needed":     {votersOf("a", "b", "c"), append(reachable("a", "b"), silent("c", "z", long)), nil},
		"silent and not needed": {votersOf("a", "b", "c", "d"), append(reachable("a", "b", "d"), silent("c", "z", long)), votersOf("a", "b", "d")},
		"not silent for long":   {votersOf("a", "b", "c", "d"), append(reachable("a", "b", "d"), silent("c", "z", replaceAfter)), nil},
		"replace a silent voter": {
			votersOf("a", "b", "c"),
			append(reachable("a", "c", "d"), silent("b", "y", replaceAfter+1)),
			votersOf("a", "d", "c"),
		},
		"replace a silent voter of the same zone": {
			votersOf("a", "b", "c", "d", "e"),
			append(reachable("a", "d", "e", "f"), silent("b", "y", long), silent("c", "z", long)),
			votersOf("a", "b", "f", "d", "e"),
		},
		"new identity at a voter's address": {
			votersOf("a", "b", "c"),
			append(reachable("a", "c"), Candidate{Acceptor: acceptorAt("b#1", "b"), Reachable: true}),
			[]casregister.Acceptor{acceptorAt("a", "a"), acceptorAt("b#1", "b"), acceptorAt("c", "c")},
		},
		"no reachable quorum":        {votersOf("a", "b", "c"), append(reachable("a", "d"), silent("b", "z", long), silent("c", "z", long)), nil},
		"candidate without identity": {votersOf("a", "b", "c"), append(reachable("a", "b", "c"), Candidate{Reachable: true}), nil},
	}
	for name, test := range cases {
		policy := memberPolicy{toleratedFailures: 1, self: "a", candidates: test.candidates}
		set := casregister.Set{Epoch: 4, Voters: test.voters}
		next, isNeeded := policy.nextSet(set)
		assert.Equal(t, isNeeded, test.next != nil, name)
		if !isNeeded {
			continue
		}
		assert.DeepEqual(t, next, set.EnterJoint(test.next))
		assert.NilError(t, set.CheckTransition(next))
		nonJoint, isNeeded := policy.nextSet(next)
		assert.Assert(t, isNeeded, name)
		assert.DeepEqual(t, nonJoint, next.LeaveJoint())
	}
}

func TestLowestReachableVoter(t *testing.T) {
	set := casregister.Set{Voters: votersOf("c", "a", "b")}
	policy := memberPolicy{self: "c", candidates: append(reachable("b"), silent("a", "z", 0))}
	assert.Equal(t, policy.lowestReachableVoter(set), casregister.AcceptorID("b"))
}

func volatileAt(id, zone string) Candidate {
	acceptor := acceptorAt(id, id)
	acceptor.Volatile = true
	return Candidate{Acceptor: acceptor, Zone: zone, Reachable: true}
}

// TestVolatileVoterPolicy checks that acceptors without a disk become voters only if no acceptor with a disk is
// known, and are replaced or removed when there is one.
func TestVolatileVoterPolicy(t *testing.T) {
	volatileSet := func(candidates ...Candidate) casregister.Set {
		set := casregister.Set{}
		for _, candidate := range candidates {
			set.Voters = append(set.Voters, candidate.Acceptor)
		}
		return set
	}
	a, b, c := volatileAt("a", "x"), volatileAt("b", "y"), volatileAt("c", "x")
	x, y := volatileAt("d", "x"), volatileAt("e", "y")
	disk := reachable("f")[0]
	volatileVoters := volatileSet(a, b, c)
	cases := map[string]struct {
		candidates []Candidate
		tooEarly   bool
		next       []casregister.Acceptor // nil: no change
	}{
		"zone with the fewest voters first": {[]Candidate{a, b, c, x, y}, false, append(volatileSet(a, b, c).Voters, y.Acceptor)},
		"a disk may still be reported":      {[]Candidate{a, b, c, x, y}, true, nil},
		"disk preferred":                    {[]Candidate{a, b, c, x, disk}, false, []casregister.Acceptor{disk.Acceptor, b.Acceptor, c.Acceptor}},
		"disk currently unreachable":        {[]Candidate{a, b, c, x, {Acceptor: disk.Acceptor, SilentFor: time.Hour}}, false, nil},
	}
	for name, test := range cases {
		policy := memberPolicy{toleratedFailures: 1, self: "a", candidates: test.candidates, admitsVolatile: !test.tooEarly}
		next, changes := policy.nextSet(volatileVoters)
		assert.Equal(t, changes, test.next != nil, name)
		if changes {
			assert.DeepEqual(t, next.Voters, test.next)
		}
	}
	mixed := casregister.Set{Voters: append(votersOf("f"), a.Acceptor)}
	next, changes := memberPolicy{toleratedFailures: 1, self: "f", candidates: []Candidate{a, disk}}.nextSet(mixed)
	assert.Assert(t, changes)
	assert.DeepEqual(t, next.Voters, votersOf("f"))
}
