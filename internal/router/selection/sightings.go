package selection

import (
	"time"

	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/sightings"
)

// SightingOptions connect the selector to the exchange of sightings, by which routers tell each other which instances
// they send shared blocks to.
type SightingOptions struct {
	// Announce sends a sighting to the other routers.
	Announce func(sighting sightings.Sighting)
	// IsCurrent reports whether this router knows the recent sightings of the others.
	IsCurrent func(now time.Time) bool
	// Recent lists the recent sightings, including those of instances that this router did not know at the time.
	Recent func(now time.Time) []sightings.Sighting
	// DuplicateWindow is the time within which a second prefill of a block counts as duplicate work.
	DuplicateWindow time.Duration
}

const (
	// usedPeriodShare is the share of DuplicateWindow for which a block counts as used at least; it counts for at most
	// twice that.
	usedPeriodShare = 0.7
	// announcedPeriodShare is the same for sightings that need not be announced again. It is short enough for the other
	// routers' entries to stay fresh.
	announcedPeriodShare = 0.25
	// minFrequentUses is how often this router must have sent a block within DuplicateWindow for it to count as
	// frequent.
	minFrequentUses = 4
	// maxRecentBlocks limits the blocks and the sightings that are remembered.
	maxRecentBlocks = 1 << 16
)

// blockLocation is a block on an instance.
type blockLocation struct {
	instance uint64 // hash of its id
	block    prefixcache.Key
}

// recentBlocks tracks the shared blocks that any router has recently sent to any instance. The methods isCurrent and
// record may be called on nil, which tracks nothing.
type recentBlocks struct {
	options      SightingOptions
	byAnyRouter  *sightings.WindowCounter[prefixcache.Key]
	byThisRouter *sightings.WindowCounter[prefixcache.Key] // sent by this router alone
	announced    *sightings.WindowCounter[blockLocation]   // by any router
}

func newRecentBlocks(options *SightingOptions) *recentBlocks {
	if options == nil {
		return nil
	}
	period := func(share float64) time.Duration { return time.Duration(share * float64(options.DuplicateWindow)) }
	return &recentBlocks{
		options:      *options,
		byAnyRouter:  sightings.NewWindowCounter[prefixcache.Key](period(usedPeriodShare), maxRecentBlocks),
		byThisRouter: sightings.NewWindowCounter[prefixcache.Key](period(usedPeriodShare), maxRecentBlocks),
		announced:    sightings.NewWindowCounter[blockLocation](period(announcedPeriodShare), maxRecentBlocks),
	}
}

// isCurrent reports whether this router knows what the others send. If not, it goes by the homes of prefixes.
func (r *recentBlocks) isCurrent(now time.Time) bool { return r != nil && r.options.IsCurrent(now) }

// frequentDepth counts the leading blocks that this router sends so often that every instance may as well prefill them:
// requests with them will soon reach each instance anyway.
func (r *recentBlocks) frequentDepth(now time.Time, modelHash uint64, blocks []prefixcache.Block) int {
	for i, block := range blocks {
		if r.byThisRouter.Count(now, prefixcache.KeyOf(modelHash, block.ID)) < minFrequentUses {
			return i
		}
	}
	return len(blocks)
}

// usedDepth counts the leading blocks that some router has recently sent to some instance.
func (r *recentBlocks) usedDepth(now time.Time, modelHash uint64, blocks []prefixcache.Block) int {
	for i, block := range blocks {
		if !r.byAnyRouter.Has(now, prefixcache.KeyOf(modelHash, block.ID)) {
			return i
		}
	}
	return len(blocks)
}

// record enters the shared blocks of a request that is sent to an instance, and announces those that were not announced
// recently.
func (r *recentBlocks) record(now time.Time, t *target, modelHash uint64, blocks []prefixcache.Block) {
	if r == nil {
		return
	}
	for _, block := range blocks {
		key := prefixcache.KeyOf(modelHash, block.ID)
		r.byAnyRouter.Add(now, key)
		r.byThisRouter.Add(now, key)
		location := blockLocation{t.hash, key}
		if r.announced.Has(now, location) {
			continue
		}
		r.announced.Add(now, location)
		r.options.Announce(sightings.Sighting{Instance: t.hash, Block: key, Tokens: block.Tokens})
	}
}

// RecordRemoteSightings records the sightings of other routers.
func (s *Selector) RecordRemoteSightings(now time.Time, list []sightings.Sighting) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.recentBlocks == nil {
		return
	}
	for _, sighting := range list {
		s.recentBlocks.byAnyRouter.Add(now, sighting.Block)
		s.recentBlocks.announced.Add(now, blockLocation{sighting.Instance, sighting.Block})
	}
	s.applySightings(list)
}

// applySightings enters sightings into the instances' cache estimates. It skips unknown instances.
func (s *Selector) applySightings(list []sightings.Sighting) {
	for _, sighting := range list {
		if t := s.byHash[sighting.Instance]; t != nil && t.cache != nil {
			t.cache.RecordRemoteUse(sighting.Block, sighting.Tokens)
		}
	}
}
