package configstore

import (
	"slices"
	"time"

	"pewterrudder/internal/router/casregister"
)

const (
	// replaceAfter is how long a voter must be silent before a new acceptor may replace it.
	replaceAfter = time.Second
	// removeAfter is how long a voter must be silent before it is removed from a set that is larger than needed.
	removeAfter = 2 * time.Second
)

// maxVolatileVoters bounds the voters of a fleet without disks. With this many, a few routers that end at once are
// not a majority.
const maxVolatileVoters = 9

// memberPolicy decides which acceptors should be voters: those with a disk, or in a fleet without disks, up to
// maxVolatileVoters of the volatile ones.
type memberPolicy struct {
	// ended are the volatile acceptors that are proven to have ended.
	ended             casregister.EndedAcceptors
	toleratedFailures int
	self              casregister.AcceptorID
	candidates        []Candidate
	// admitsVolatile is true once enough time has passed to have heard of a router with a disk, if the fleet has one.
	admitsVolatile bool
}

// nextSet returns the next step of the set, and false if it should not change. One member changes at a time, and none
// while fewer than a quorum of the voters are reachable, unless the others have ended and all remaining ones are
// reachable.
func (policy memberPolicy) nextSet(set casregister.Set) (casregister.Set, bool) {
	if set.IsJoint() {
		return set.LeaveJoint(), true
	}
	if !set.HasRecoveryQuorum(policy.ended, policy.isReachable) {
		return set, false
	}
	if newVoter, found := policy.findNewVoter(set); found {
		return set.EnterJoint(policy.addVoter(set.Voters, newVoter)), true
	}
	return policy.removeVoter(set)
}

// findNewVoter returns a reachable acceptor that should become a voter: the first one with a disk, else a volatile
// one in the zone with the fewest voters.
func (policy memberPolicy) findNewVoter(set casregister.Set) (Candidate, bool) {
	var newVoter Candidate
	found := false
	for _, candidate := range policy.candidates {
		acceptor := candidate.Acceptor
		if !candidate.Reachable || acceptor.ID == "" || set.HasVoter(acceptor.ID) {
			continue
		}
		if !policy.canAdd(set, candidate) || acceptor.Volatile && !policy.canAddVolatile(set, candidate) {
			continue
		}
		if !acceptor.Volatile {
			return candidate, true
		}
		if !found || policy.countVotersIn(set, candidate.Zone) < policy.countVotersIn(set, newVoter.Zone) {
			newVoter, found = candidate, true
		}
	}
	return newVoter, found
}

// canAdd reports whether the candidate may become a voter, in place of another or as one more. While a voter is
// unreachable, but not for long enough to be replaced, one more voter would only raise the number needed for a
// majority: the candidate waits to replace the unreachable one.
func (policy memberPolicy) canAdd(set casregister.Set, candidate Candidate) bool {
	return indexOfAddress(set.Voters, candidate.Acceptor.Address) >= 0 ||
		!candidate.Acceptor.Volatile && policy.indexOfVolatile(set.Voters) >= 0 ||
		policy.indexOfReplaceable(set.Voters, candidate.Zone) >= 0 ||
		!slices.ContainsFunc(set.Voters, func(voter casregister.Acceptor) bool { return !policy.isReachable(voter.ID) })
}

// canAddVolatile reports whether a volatile acceptor may become a voter in a fleet without disks: in place of the
// acceptor of an earlier process at its address or of a silent one, or as one more.
func (policy memberPolicy) canAddVolatile(set casregister.Set, candidate Candidate) bool {
	if policy.fleetHasDisk(set) {
		return false
	}
	if indexOfAddress(set.Voters, candidate.Acceptor.Address) >= 0 {
		return true
	}
	hasRoom := len(set.Voters) < maxVolatileVoters || policy.indexOfReplaceable(set.Voters, candidate.Zone) >= 0
	return policy.admitsVolatile && hasRoom
}

// fleetHasDisk reports whether a voter or a listed candidate has a disk.
func (policy memberPolicy) fleetHasDisk(set casregister.Set) bool {
	return slices.ContainsFunc(set.Voters, policy.hasDisk) || anyHasDisk(policy.candidates)
}

// anyHasDisk reports whether a listed candidate has a disk.
func anyHasDisk(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, func(candidate Candidate) bool {
		return !candidate.Unlisted && candidate.Acceptor.ID != "" && !candidate.Acceptor.Volatile
	})
}

// hasDisk reports whether a voter has a disk. The initial set does not contain this, so that membership's candidate
// at the voter's address takes precedence, be it the voter itself or a later process there.
func (policy memberPolicy) hasDisk(voter casregister.Acceptor) bool {
	for _, candidate := range policy.candidates {
		if candidate.Acceptor.Address == voter.Address && !candidate.Unlisted {
			return !candidate.Acceptor.Volatile
		}
	}
	return !voter.Volatile
}

// countVotersIn counts the voters in a zone.
func (policy memberPolicy) countVotersIn(set casregister.Set, zone string) int {
	count := 0
	for _, candidate := range policy.candidates {
		if candidate.Zone == zone && set.HasVoter(candidate.Acceptor.ID) {
			count++
		}
	}
	return count
}

// addVoter returns the voters with a new acceptor: in place of the voter at its address, else of a volatile voter if
// the new one has a disk, else of a silent voter, else as one more.
func (policy memberPolicy) addVoter(voters []casregister.Acceptor, candidate Candidate) []casregister.Acceptor {
	next := slices.Clone(voters)
	index := indexOfAddress(voters, candidate.Acceptor.Address)
	if index < 0 && !candidate.Acceptor.Volatile {
		index = policy.indexOfVolatile(voters)
	}
	if index < 0 {
		index = policy.indexOfReplaceable(voters, candidate.Zone)
	}
	if index < 0 {
		return append(next, candidate.Acceptor)
	}
	next[index] = candidate.Acceptor
	return next
}

// indexOfAddress returns the index of the voter at an address, or -1.
func indexOfAddress(voters []casregister.Acceptor, address string) int {
	return slices.IndexFunc(voters, func(voter casregister.Acceptor) bool { return voter.Address == address })
}

// indexOfVolatile returns the index of the first volatile voter, or -1.
func (policy memberPolicy) indexOfVolatile(voters []casregister.Acceptor) int {
	return slices.IndexFunc(voters, func(voter casregister.Acceptor) bool { return !policy.hasDisk(voter) })
}

// indexOfReplaceable returns the index of a voter that has been silent for longer than replaceAfter, preferably one
// in the given zone, or -1.
func (policy memberPolicy) indexOfReplaceable(voters []casregister.Acceptor, zone string) int {
	found := -1
	for index, voter := range voters {
		candidate, isSilent := policy.findSilentVoter(voter.ID, replaceAfter)
		if !isSilent {
			continue
		}
		if candidate.Zone == zone {
			return index
		}
		if found < 0 {
			found = index
		}
	}
	return found
}

// removeVoter returns the set without a volatile voter if another voter has a disk, else without a voter that has been
// silent for longer than removeAfter. A silent voter stays if the set has no more than the voters that are needed to
// tolerate the configured number of failures.
func (policy memberPolicy) removeVoter(set casregister.Set) (casregister.Set, bool) {
	if index := policy.indexOfVolatile(set.Voters); index >= 0 && slices.ContainsFunc(set.Voters, policy.hasDisk) {
		return set.EnterJoint(withoutVoter(set.Voters, index)), true
	}
	if len(set.Voters) <= 2*policy.toleratedFailures+1 {
		return set, false
	}
	for index, voter := range set.Voters {
		if _, isSilent := policy.findSilentVoter(voter.ID, removeAfter); isSilent {
			return set.EnterJoint(withoutVoter(set.Voters, index)), true
		}
	}
	return set, false
}

func withoutVoter(voters []casregister.Acceptor, index int) []casregister.Acceptor {
	return slices.Delete(slices.Clone(voters), index, index+1)
}

// findSilentVoter returns the candidate with the given ID, and whether it is unreachable and has been silent for longer
// than limit.
func (policy memberPolicy) findSilentVoter(id casregister.AcceptorID, limit time.Duration) (Candidate, bool) {
	for _, candidate := range policy.candidates {
		if candidate.Acceptor.ID == id {
			return candidate, !candidate.Reachable && candidate.SilentFor > limit
		}
	}
	return Candidate{}, false
}

// lowestReachableVoter returns the reachable voter with the lowest identity, empty if none is reachable.
func (policy memberPolicy) lowestReachableVoter(set casregister.Set) casregister.AcceptorID {
	first := casregister.AcceptorID("")
	for _, voter := range set.Voters {
		if policy.isReachable(voter.ID) && (first == "" || voter.ID < first) {
			first = voter.ID
		}
	}
	return first
}

// isReachable reports whether an acceptor is reachable. This process's own always is.
func (policy memberPolicy) isReachable(id casregister.AcceptorID) bool {
	return id == policy.self || slices.ContainsFunc(policy.candidates, func(candidate Candidate) bool {
		return candidate.Acceptor.ID == id && candidate.Reachable
	})
}
