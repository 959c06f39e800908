package selection

import (
	"maps"
	"slices"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/prefixcache"
)

// maxCommonUse bounds the tenants whose use of common prefixes is counted.
const maxCommonUse = 512

// CommonUse counts a tenant's requests that carried a common prefix.
type CommonUse struct {
	Requests        uint64
	Hits            uint64 // sent to an instance that this router had sent the prefix to before
	TokensReadAgain uint64 // of the prefix, on the others
}

// noteCommon counts a pick for a request with a common prefix.
func (s *Selector) noteCommon(from *backend, chosen *target, request *Request) {
	if chosen.cache == nil || len(from.replicas) == 0 {
		return
	}
	shared := prefixcache.Shared(request.Prefix)
	if !from.isCommon(s.common.Seed, request, shared) {
		return
	}
	use := s.commonUseOf(request.Tenant)
	if use == nil {
		return
	}
	use.Requests++
	missing := chosen.cache.Missing(prefixcache.HashModel(request.Model), shared)
	use.TokensReadAgain += uint64(missing)
	if missing == 0 {
		use.Hits++
	}
}

func (b *backend) isCommon(seed uint64, request *Request, shared []prefixcache.Block) bool {
	_, found := b.replicas[commonprefix.Hash(seed, request.Backend, request.Model, shared)]
	return found
}

func (s *Selector) commonUseOf(tenant string) *CommonUse {
	use := s.commonUse[tenant]
	if use == nil && len(s.commonUse) < maxCommonUse {
		use = &CommonUse{}
		s.commonUse[tenant] = use
	}
	return use
}

// CommonUses returns the counts by tenant.
func (s *Selector) CommonUses() map[string]CommonUse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	uses := make(map[string]CommonUse, len(s.commonUse))
	for tenant, use := range maps.All(s.commonUse) {
		uses[tenant] = *use
	}
	return uses
}

// CommonHomes lists the ids of the instances that shall keep a common prefix, the first in rank first.
func (s *Selector) CommonHomes(common commonprefix.Common) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	from := s.backends[common.Backend]
	if from == nil {
		return nil
	}
	var ranked []home
	for _, known := range from.targets {
		if known.instance.Ready() && known.isHome {
			weight := known.homeWeight(common.Home)
			ranked = insertHome(ranked, max(1, from.replicas[common.Key]), home{target: known, weight: weight})
		}
	}
	ids := make([]string, 0, len(ranked))
	for _, found := range ranked {
		ids = append(ids, found.target.instance.ID)
	}
	return slices.Clip(ids)
}
