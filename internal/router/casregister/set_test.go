package casregister

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func acceptorsNamed(names string) []Acceptor {
	acceptors := make([]Acceptor, 0, len(names))
	for _, name := range names {
		acceptors = append(acceptors, Acceptor{ID: AcceptorID(name), Address: string(name)})
	}
	return acceptors
}

func namesOf(acceptors []Acceptor) string {
	names := ""
	for _, acceptor := range acceptors {
		names += string(acceptor.ID)
	}
	return names
}

func plainSet(names string) Set { return Set{Voters: acceptorsNamed(names)} }

func TestCheckStep(t *testing.T) {
	plain := plainSet("abc")
	joint := plain.EnterJoint(acceptorsNamed("abd"))
	permitted := map[string][2]Set{
		"same":         {plain, plain},
		"add":          {plain, plain.EnterJoint(acceptorsNamed("abcd"))},
		"remove":       {plain, plain.EnterJoint(acceptorsNamed("ab"))},
		"replace":      {plain, joint},
		"leave":        {joint, joint.LeaveJoint()},
		"first of two": {plainSet("a"), plainSet("a").EnterJoint(acceptorsNamed("ab"))},
	}
	for name, pair := range permitted {
		assert.NilError(t, pair[0].CheckTransition(pair[1]), name)
	}
	refused := map[string][2]Set{
		"without joint set": {plain, Set{Epoch: 1, Voters: acceptorsNamed("abd")}},
		"two replaced":      {plain, plain.EnterJoint(acceptorsNamed("ade"))},
		"two removed":       {plainSet("abcd"), plainSet("abcd").EnterJoint(acceptorsNamed("ab"))},
		"two added":         {plain, plain.EnterJoint(acceptorsNamed("abcde"))},
		"emptied":           {plainSet("a"), plainSet("a").EnterJoint(nil)},
		"voter twice":       {plain, plain.EnterJoint(acceptorsNamed("abcc"))},
		"unchanged joint":   {plain, plain.EnterJoint(plain.Voters)},
		"joint rolled back": {joint, Set{Epoch: 2, Voters: plain.Voters}},
		"joint to joint":    {joint, joint.EnterJoint(acceptorsNamed("abde"))},
		"epoch skipped":     {plain, Set{Epoch: 2, Voters: acceptorsNamed("abd"), Previous: plain.Voters}},
	}
	for name, pair := range refused {
		assert.ErrorIs(t, pair[0].CheckTransition(pair[1]), ErrSetChange, name)
	}
}

// drawNextSet draws the set itself or a set one permitted step after it.
func drawNextSet(t *rapid.T, set Set) Set {
	if rapid.Bool().Draw(t, "stay") {
		return set
	}
	if set.IsJoint() {
		return set.LeaveJoint()
	}
	voters := rapid.SliceOfNDistinct(rapid.SampledFrom(acceptorsNamed("abcdefg")), 1, 7,
		func(acceptor Acceptor) AcceptorID { return acceptor.ID }).Filter(func(voters []Acceptor) bool {
		return set.CheckTransition(set.EnterJoint(voters)) == nil
	}).Draw(t, "voters")
	return set.EnterJoint(voters)
}

// TestQuorumsOfAdjacentSetsIntersect checks the lemma of the safety argument: any two sets at most one step away from
// the same set have intersecting quorums.
func TestQuorumsOfAdjacentSetsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]string{"a", "ab", "abc", "abcd", "abcde"}).Draw(t, "first")
		common := drawNextSet(t, plainSet(voters))
		left := drawNextSet(t, common)
		right := drawNextSet(t, common)
		chosen := rapid.SliceOfN(rapid.Bool(), 7, 7).Draw(t, "members of the left quorum")
		isLeft := func(id AcceptorID) bool { return chosen[id[0]-'a'] }
		isRest := func(id AcceptorID) bool { return !isLeft(id) }
		assert.Assert(t, !left.HasQuorum(isLeft) || !right.HasQuorum(isRest),
			"%s/%s and %s/%s", namesOf(left.Voters), namesOf(left.Previous), namesOf(right.Voters), namesOf(right.Previous))
	})
}

func TestUnknownSetHasNoQuorum(t *testing.T) {
	assert.Assert(t, !Set{}.HasQuorum(func(AcceptorID) bool { return true }))
}

func TestMovedAtTracksAddressChanges(t *testing.T) {
	at := func(id AcceptorID, address string) Acceptor { return Acceptor{ID: id, Address: address} }
	first := Set{Voters: []Acceptor{at("a", "1"), at("b", "2"), at("c", "3")}}
	wiped := first.EnterJoint([]Acceptor{at("a", "1"), at("d", "2"), at("c", "3")})
	assert.Equal(t, wiped.AddressEpoch, uint64(0), "an acceptor with an empty disk at the same address changes no address")
	assert.Equal(t, wiped.LeaveJoint().AddressEpoch, uint64(0))
	grown := wiped.LeaveJoint().EnterJoint([]Acceptor{at("a", "1"), at("d", "2"), at("c", "3"), at("e", "4")})
	assert.Equal(t, grown.AddressEpoch, grown.Epoch)
	assert.Equal(t, grown.LeaveJoint().AddressEpoch, grown.Epoch, "all members of the larger set were members of the joint one")
	replaced := grown.LeaveJoint().EnterJoint([]Acceptor{at("a", "1"), at("d", "2"), at("c", "3"), at("f", "5")})
	assert.Equal(t, replaced.LeaveJoint().AddressEpoch, replaced.Epoch+1, "the replaced acceptor is removed with the joint set")
}
