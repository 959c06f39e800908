package selection

import (
	"maps"
	"slices"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/prefixcache"
)

// maxCommonUseTenants limits the tenants whose use of common prefixes is counted.
const maxCommonPrefixUseTenants = 512

// CommonPrefixUse counts a tenant's requests that carried a common prefix.
type CommonPrefixUse struct {
	Requests         uint64
	Hits             uint64 // sent to an instance that is estimated to cache the prefix
	RecomputedTokens uint64 // tokens of the prefix that the other requests had to prefill
}

// countCommonUse counts a pick if its request begins with a common prefix. It is called before the pick is entered into
// the cache estimate.
func (s *Selector) countCommonPrefixUse(b *backend, chosen *target, request *Request) {
	if chosen.cache == nil || len(b.replicas) == 0 {
		return
	}
	shared := prefixcache.SharedBlocks(request.Prefix)
	if !b.isCommon(s.commonPrefixes.Seed, request, shared) {
		return
	}
	use := s.commonPrefixUseFor(request.Tenant)
	if use == nil {
		return
	}
	use.Requests++
	uncached := chosen.cache.UncachedTokens(prefixcache.HashName(request.Model), shared)
	use.RecomputedTokens += uint64(uncached)
	if uncached == 0 {
		use.Hits++
	}
}

func (b *backend) isCommon(seed uint64, request *Request, shared []prefixcache.Block) bool {
	_, found := b.replicas[commonprefix.Hash(seed, request.Backend, request.Model, shared)]
	return found
}

// commonUseFor finds or adds a tenant's counts. It returns nil if there are too many tenants.
func (s *Selector) commonPrefixUseFor(tenant string) *CommonPrefixUse {
	use := s.commonPrefixUse[tenant]
	if use == nil && len(s.commonPrefixUse) < maxCommonPrefixUseTenants {
		use = &CommonPrefixUse{}
		s.commonPrefixUse[tenant] = use
	}
	return use
}

// CommonPrefixUses returns the use of common prefixes by tenant.
func (s *Selector) CommonPrefixUses() map[string]CommonPrefixUse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	uses := make(map[string]CommonPrefixUse, len(s.commonPrefixUse))
	for tenant, use := range maps.All(s.commonPrefixUse) {
		uses[tenant] = *use
	}
	return uses
}

// CommonPrefixHomes lists the ids of the instances that should cache a common prefix, best ranked first.
func (s *Selector) CommonPrefixHomes(common commonprefix.Common) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.backends[common.Backend]
	if b == nil {
		return nil
	}
	var ranked []home
	for _, t := range b.targets {
		if t.instance.Ready() && t.canBeHome {
			score := t.homeScore(common.Home)
			ranked = insertHome(ranked, max(1, b.replicas[common.Key]), home{target: t, score: score})
		}
	}
	ids := make([]string, 0, len(ranked))
	for _, entry := range ranked {
		ids = append(ids, entry.target.instance.ID)
	}
	return slices.Clip(ids)
}
