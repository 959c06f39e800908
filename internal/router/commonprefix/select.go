package commonprefix

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// maxSetPrefixes is the number of prefixes in a set, divided among the tenants by quota.
	maxSetPrefixes = 64
	// enterShare is the share of a backend's traffic at which a prefix enters the set, and leaveShare the lower one
	// below which it leaves the set again.
	enterShare = 0.02
	leaveShare = 0.01
	// enterRequests is the decayed number of requests that a prefix needs to enter the set: a share that is measured on
	// fewer requests may be chance.
	enterRequests = 20
	// incumbentBonus multiplies the share of prefixes that are in the set when they compete with others for an entry.
	incumbentBonus = 1.5
	// shareChangeFactor is the factor by which a share must change for the set to be updated.
	shareChangeFactor = 1.5
)

// SelectPrefixes derives the prefixes of the next set from the counts of all routers. Small changes of the traffic
// leave the current ones as they are. The number of prefixes of a tenant is limited in proportion to its quota.
func SelectPrefixes(current *Set, counts FleetCounts, quotas Quotas) []Common {
	byTenant := map[string][]Common{}
	for tenantKey, prefix := range counts.Prefixes {
		if common, ok := evaluate(current, counts, tenantKey, prefix); ok {
			byTenant[tenantKey.Tenant] = append(byTenant[tenantKey.Tenant], common)
		}
	}
	chosen := map[Key]Common{}
	for _, tenant := range slices.Sorted(maps.Keys(byTenant)) {
		candidates := byTenant[tenant]
		current.sortByPriority(candidates)
		for _, common := range candidates[:min(len(candidates), quotas.Portion(tenant, maxSetPrefixes))] {
			addShare(chosen, common)
		}
	}
	return current.keepShares(chosen)
}

// evaluate computes the share of a tenant's prefix of the backend's traffic, and reports whether the prefix is common.
func evaluate(current *Set, counts FleetCounts, tenantKey TenantKey, prefix FleetPrefix) (Common, bool) {
	total := counts.Totals[prefix.Backend]
	if total <= 0 {
		return Common{}, false
	}
	share := min(1, prefix.Weight/total)
	minShare, minCount := enterShare, float64(enterRequests)
	if _, isCommon := current.Find(tenantKey.Key); isCommon {
		minShare, minCount = leaveShare, 0
	}
	common := Common{
		Key:     tenantKey.Key,
		Home:    prefix.Home,
		Backend: prefix.Backend,
		Tenant:  tenantKey.Tenant,
		Tokens:  prefix.Tokens,
		Share:   max(1, int(math.Round(share*ShareUnits))),
	}
	return common, share >= minShare && prefix.Count >= minCount
}

// sortByPriority sorts the prefixes of a tenant by share, the largest first. Those in the set have an advantage.
func (s *Set) sortByPriority(list []Common) {
	priority := func(common Common) float64 {
		if _, isCommon := s.Find(common.Key); isCommon {
			return incumbentBonus * float64(common.Share)
		}
		return float64(common.Share)
	}
	slices.SortFunc(list, func(a, b Common) int {
		return cmp.Or(cmp.Compare(priority(b), priority(a)), cmp.Compare(a.Key, b.Key))
	})
}

// addShare adds a tenant's prefix to the chosen ones. The shares of tenants that use the same prefix add up.
func addShare(chosen map[Key]Common, common Common) {
	known, ok := chosen[common.Key]
	if !ok {
		chosen[common.Key] = common
		return
	}
	sum := known.Share + common.Share
	if common.Share > known.Share {
		known.Tenant = common.Tenant
	}
	known.Share = min(ShareUnits, sum)
	known.Tokens = max(known.Tokens, common.Tokens)
	chosen[common.Key] = known
}

// keepShares returns the chosen prefixes sorted by key. Those whose share has changed by less than shareChangeFactor
// are returned as they are in the set.
func (s *Set) keepShares(chosen map[Key]Common) []Common {
	var list []Common
	for _, key := range slices.Sorted(maps.Keys(chosen)) {
		list = append(list, s.keepShare(chosen[key]))
	}
	return list
}

func (s *Set) keepShare(common Common) Common {
	known, ok := s.Find(common.Key)
	if !ok {
		return common
	}
	isClose := float64(common.Share) < shareChangeFactor*float64(known.Share) &&
		float64(known.Share) < shareChangeFactor*float64(common.Share)
	if isClose && known.Backend == common.Backend {
		return known
	}
	return common
}
