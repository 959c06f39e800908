package fleet

import (
	"context"
	"sync"

	"pewterrudder/internal/lab/scenario"
)

// Series plays days by seeds, some at a time, and gives the runs of each day in the order of their seeds. told hears of the
// share that is done, one call at a time.
func Series(ctx context.Context, days []*scenario.Scenario, seeds []uint64, beside int, opt Options, told func(float64)) ([][]*Done, error) {
	all := make([][]*Done, len(days))
	for i := range all {
		all[i] = make([]*Done, len(seeds))
	}
	var mu sync.Mutex
	var fault error
	next, ended := 0, 0
	total := len(days) * len(seeds)
	var workers sync.WaitGroup
	for range max(1, min(beside, total)) {
		workers.Go(func() {
			for {
				mu.Lock()
				n := next
				next++
				stop := fault != nil || n >= total
				mu.Unlock()
				if stop {
					return
				}
				day, seed := n/len(seeds), n%len(seeds)
				own := opt
				own.Seed = seeds[seed]
				d, err := Play(ctx, days[day], own)
				mu.Lock()
				if all[day][seed] = d; err != nil && fault == nil {
					fault = err
				}
				if ended++; told != nil {
					told(float64(ended) / float64(total))
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return all, fault
}
