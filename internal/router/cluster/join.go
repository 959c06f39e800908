package cluster

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	joinRetryInterval = 60 * time.Millisecond // between attempts to reach all seeds
	firstStartWindow  = 1500 * time.Millisecond
)

// join merges the table of the first seed that answers. It retries until one does; at the fleet's first start it gives
// up after firstStartWindow.
func (c *Cluster) join() {
	defer c.goroutines.Done()
	defer c.markSynchronized()
	started := time.Now()
	for c.ctx.Err() == nil {
		seeds := c.otherSeeds()
		if len(seeds) == 0 && c.firstStart || c.joinAnySeed(seeds) {
			return
		}
		if c.firstStart && time.Since(started) >= firstStartWindow {
			return
		}
		select {
		case <-time.After(joinRetryInterval):
		case <-c.ctx.Done():
		}
	}
}

// joinAnySeed tries each seed once, and reports whether one has answered.
func (c *Cluster) joinAnySeed(seeds []string) bool {
	for _, seed := range seeds {
		if err := c.pullTable(seed); err == nil {
			return true
		}
	}
	return false
}

// otherSeeds returns the seeds in random order, without this router's own address.
func (c *Cluster) otherSeeds() []string {
	self := c.View().Self().Address
	list := slices.DeleteFunc(slices.Clone(*c.seeds.Load()), func(seed string) bool { return seed == self })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
