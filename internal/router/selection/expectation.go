package selection

import "pewterrudder/internal/router/prefixcache"

// cacheExpectation describes what the candidates' caches hold of one request's prompt, apart from what this router's
// own requests have put there.
type cacheExpectation struct {
	homes homes // instances presumed to cache all shared blocks
	// used counts the leading shared blocks that some instance has prefilled recently: to prefill them again on another
	// is duplicate work.
	used int
	// frequent counts the leading shared blocks that each instance has cached or soon will have, since so many requests
	// begin with them.
	frequent int
}

// expectCached goes by the sightings of the other routers. Without these, all shared blocks are presumed to be cached
// by their homes.
func (s *Selector) expectCached(c *pickContext, candidates []*target) cacheExpectation {
	shared, now := prefixcache.SharedBlocks(c.request.Prefix), c.request.Now
	if s.recentBlocks.isCurrent(now) {
		return cacheExpectation{
			used:     s.recentBlocks.usedDepth(now, c.modelHash, shared),
			frequent: s.recentBlocks.frequentDepth(now, c.modelHash, shared),
		}
	}
	return cacheExpectation{homes: s.rankHomes(c, candidates), used: len(shared)}
}

// uncachedTokens estimates the prompt tokens that the instance would have to prefill for a request, and how many of
// them duplicate a recent prefill on another instance. A home is presumed to cache all shared blocks.
func (t *target) uncachedTokens(request *Request, modelHash uint64, expected *cacheExpectation) (total, duplicate float64) {
	cached := max(expected.frequent, t.cache.CachedBlocks(modelHash, request.Prefix))
	sharedBlocks := prefixcache.SharedBlocks(request.Prefix)
	firstUncached := min(cached, len(sharedBlocks))
	if expected.homes.contains(t) {
		firstUncached = len(sharedBlocks)
	}
	uncachedShared := prefixcache.TotalTokens(sharedBlocks[firstUncached:])
	duplicateTokens := prefixcache.TotalTokens(sharedBlocks[firstUncached:max(firstUncached, expected.used)])
	other := request.PromptTokens - prefixcache.TotalTokens(sharedBlocks)
	if cached == len(request.Prefix) && cached > 0 {
		other = request.PromptTokens - prefixcache.TotalTokens(request.Prefix)
	}
	return float64(uncachedShared + max(0, other)), float64(duplicateTokens)
}
