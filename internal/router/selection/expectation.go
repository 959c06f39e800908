package selection

import "pewterrudder/internal/router/prefixcache"

// expectation is what is expected of all candidates' caches for one request, beside what this router sent to each.
type expectation struct {
	homes homes
	// used counts the leading shared blocks that some instance has read of late: reading them again at another is waste.
	used int
	// common counts the leading shared blocks that each instance has, or soon will have, since so many requests begin with them.
	common int
}

// expectKept goes by what the other routers tell. Where they tell nothing, all shared blocks count as read, at their homes.
func (s *Selector) expectKept(c *choice, candidates []*target) expectation {
	shared, now := prefixcache.Shared(c.request.Prefix), c.request.Now
	if s.fleetUse.isKnown(now) {
		return expectation{
			used:   s.fleetUse.depth(now, c.modelHash, shared),
			common: s.fleetUse.common(now, c.modelHash, shared),
		}
	}
	return expectation{homes: s.homesOf(c, candidates), used: len(shared)}
}

// missing estimates the prompt tokens that the instance would read for a request, and how many of them others have read of
// late. A home is presumed to keep all shared blocks.
func (t *target) missing(request *Request, modelHash uint64, expected *expectation) (total, again float64) {
	kept := max(expected.common, t.cache.Kept(modelHash, request.Prefix))
	sharedBlocks := prefixcache.Shared(request.Prefix)
	from := min(kept, len(sharedBlocks))
	if expected.homes.keeps(t) {
		from = len(sharedBlocks)
	}
	shared := prefixcache.Tokens(sharedBlocks[from:])
	waste := prefixcache.Tokens(sharedBlocks[from:max(from, expected.used)])
	last := request.PromptTokens - prefixcache.Tokens(sharedBlocks)
	if kept == len(request.Prefix) && kept > 0 {
		last = request.PromptTokens - prefixcache.Tokens(request.Prefix)
	}
	return float64(shared + max(0, last)), float64(waste)
}
