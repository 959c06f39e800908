package lease

import (
	"slices"
	"time"
)

// noExpiry is the end of a grantor set that is in force until it is replaced.
const noExpiry time.Duration = 1<<63 - 1

// grantorSet is a set of grantors of which a majority must grant the lease, until the given time.
type grantorSet struct {
	members []string
	until   time.Duration
}

func (s grantorSet) hasMajority(granted map[string]bool) bool {
	count := 0
	for _, member := range s.members {
		if granted[member] {
			count++
		}
	}
	return count > len(s.members)/2
}

// grantorSets are all sets of which a candidate needs majorities.
type grantorSets []grantorSet

// replace puts the given sets in force. Majorities of earlier sets are needed for the duration keep, so that a lease that
// depends only on them has expired when they no longer count.
func (s grantorSets) replace(now, keep time.Duration, sets ...[]string) grantorSets {
	var next grantorSets
	for _, members := range sets {
		if len(members) > 0 && !next.contains(members) {
			next = append(next, grantorSet{members: members, until: noExpiry})
		}
	}
	for _, old := range s.activeAt(now) {
		if next.contains(old.members) {
			continue
		}
		old.until = min(old.until, now+keep)
		next = append(next, old)
	}
	return next
}

func (s grantorSets) contains(members []string) bool {
	return slices.ContainsFunc(s, func(set grantorSet) bool { return slices.Equal(set.members, members) })
}

func (s grantorSets) activeAt(now time.Duration) grantorSets {
	return slices.DeleteFunc(slices.Clone(s), func(set grantorSet) bool { return now >= set.until })
}

func (s grantorSets) hasMajorities(granted map[string]bool) bool {
	for _, set := range s {
		if !set.hasMajority(granted) {
			return false
		}
	}
	return len(s) > 0
}

// memberLists returns the members of each set, as in Request.Sets.
func (s grantorSets) memberLists() [][]string {
	lists := make([][]string, 0, len(s))
	for _, set := range s {
		lists = append(lists, set.members)
	}
	return lists
}

// members returns the union of all sets, sorted.
func (s grantorSets) members() []string {
	var all []string
	for _, set := range s {
		all = append(all, set.members...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// OddSubset returns the members, sorted and without one of them if their number is even. The result depends only on the set of
// members. A subset that is smaller by one tolerates as many failures, and if a network partition splits the members into
// two halves, one half has a majority of the subset.
func OddSubset(members []string) []string {
	members = sortedUnique(members)
	if len(members) > 0 && len(members)%2 == 0 {
		members = members[:len(members)-1]
	}
	return members
}

// sortedUnique returns a sorted copy without duplicates, so that sets can be compared.
func sortedUnique(members []string) []string {
	members = slices.Clone(members)
	slices.Sort(members)
	return slices.Compact(members)
}
