package casregister

import (
	"slices"

	"github.com/pkg/errors"
)

// ErrSetChange is returned if a change function changes the acceptor set by more than one permitted step.
var ErrSetChange = errors.New("casregister: acceptor set change is not a permitted step")

// AcceptorID identifies an acceptor permanently. It belongs to a disk, not to a machine or an address.
type AcceptorID string

// Acceptor is the ID and the address of an acceptor.
type Acceptor struct {
	ID      AcceptorID `msgpack:"i"`
	Address string     `msgpack:"a"`
	// Volatile says that the record is stored in memory alone, so that the acceptor ends with its process.
	Volatile bool `msgpack:"l,omitempty"`
}

// Set is a set of acceptors. It is joint if Previous is not empty: a quorum then needs a majority of both lists.
type Set struct {
	Epoch    uint64     `msgpack:"e"`
	Voters   []Acceptor `msgpack:"v"`
	Previous []Acceptor `msgpack:"o,omitempty"`
	// AddressEpoch is the epoch at which the members' addresses last changed. An acceptor with an empty disk that
	// replaces an earlier one at the same address changes the set, but not the addresses.
	AddressEpoch uint64 `msgpack:"m,omitempty"`
}

// IsZero reports whether the set is unknown.
func (set Set) IsZero() bool { return len(set.Voters) == 0 }

// IsJoint reports whether the set is joint, which it is between the two steps of a set change.
func (set Set) IsJoint() bool { return len(set.Previous) > 0 }

// Members returns the voters and the previous voters, each acceptor once.
func (set Set) Members() []Acceptor {
	members := slices.Clone(set.Voters)
	for _, acceptor := range set.Previous {
		if !containsID(members, acceptor.ID) {
			members = append(members, acceptor)
		}
	}
	return members
}

// HasVoter reports whether the acceptor is among the voters. Previous voters don't count.
func (set Set) HasVoter(id AcceptorID) bool { return containsID(set.Voters, id) }

// HasQuorum reports whether the acceptors for which contains returns true are a quorum of the set.
func (set Set) HasQuorum(contains func(AcceptorID) bool) bool {
	if set.IsZero() || !hasMajority(set.Voters, contains) {
		return false
	}
	return !set.IsJoint() || hasMajority(set.Previous, contains)
}

// Equal reports whether both sets have the same epochs and the same lists.
func (set Set) Equal(other Set) bool {
	return set.Epoch == other.Epoch &&
		set.AddressEpoch == other.AddressEpoch &&
		slices.Equal(set.Voters, other.Voters) &&
		slices.Equal(set.Previous, other.Previous)
}

// EnterJoint returns the joint set between this plain set and one with the given voters.
func (set Set) EnterJoint(voters []Acceptor) Set {
	return set.successor(Set{Voters: voters, Previous: set.Voters})
}

// LeaveJoint returns the plain set with this joint set's voters, the second step of a set change.
func (set Set) LeaveJoint() Set {
	return set.successor(Set{Voters: set.Voters})
}

// successor returns next with the epoch after this set's, and with AddressEpoch updated if the addresses differ.
func (set Set) successor(next Set) Set {
	next.Epoch = set.Epoch + 1
	next.AddressEpoch = set.AddressEpoch
	if !slices.Equal(next.addresses(), set.addresses()) {
		next.AddressEpoch = next.Epoch
	}
	return next
}

// addresses returns the sorted addresses of all members without duplicates.
func (set Set) addresses() []string {
	var addresses []string
	for _, acceptor := range set.Members() {
		addresses = append(addresses, acceptor.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// CheckTransition returns ErrSetChange unless next is the set itself or one permitted step after it.
func (set Set) CheckTransition(next Set) error {
	if set.Equal(next) {
		return nil
	}
	if set.IsJoint() {
		return errUnlessPermitted(set.LeaveJoint().Equal(next))
	}
	permitted := set.EnterJoint(next.Voters).Equal(next) && hasDistinctIDs(next.Voters) && differByOneMember(set.Voters, next.Voters)
	return errUnlessPermitted(permitted)
}

func errUnlessPermitted(permitted bool) error {
	if permitted {
		return nil
	}
	return ErrSetChange
}

// differByOneMember reports whether next results from old by adding, removing or replacing one acceptor.
func differByOneMember(old, next []Acceptor) bool {
	if len(next) == 0 {
		return false
	}
	removed := countMissing(old, next)
	added := countMissing(next, old)
	return removed <= 1 && added <= 1 && removed+added > 0
}

// countMissing returns the number of acceptors that are not among the others.
func countMissing(acceptors, others []Acceptor) int {
	missing := 0
	for _, acceptor := range acceptors {
		if !containsID(others, acceptor.ID) {
			missing++
		}
	}
	return missing
}

func hasMajority(acceptors []Acceptor, contains func(AcceptorID) bool) bool {
	count := 0
	for _, acceptor := range acceptors {
		if contains(acceptor.ID) {
			count++
		}
	}
	return count > len(acceptors)/2
}

func hasDistinctIDs(acceptors []Acceptor) bool {
	for index, acceptor := range acceptors {
		if containsID(acceptors[:index], acceptor.ID) {
			return false
		}
	}
	return true
}

func containsID(acceptors []Acceptor, id AcceptorID) bool {
	return slices.ContainsFunc(acceptors, func(acceptor Acceptor) bool { return acceptor.ID == id })
}
