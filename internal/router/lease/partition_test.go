package lease

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// evenVoters can be partitioned into two halves of which neither has a majority.
	evenVoters = 6
	// partitionDuration is how long the partition lasts, partitionHistories the number of simulated histories.
	partitionDuration  = 5*modelDuration + modelDuration/2
	partitionHistories = 200
	// After the partition there must be a holder within maxElectionAfterPartition in all histories, and within
	// usualElectionAfterPartition in nine of ten.
	maxElectionAfterPartition   = modelDuration
	usualElectionAfterPartition = modelDuration / 2
)

// TestHolderSoonAfterPartition splits an even number of voters into two halves, in which candidates start rounds that cannot win.
// Their requests must not block each other once the partition is over.
func TestHolderSoonAfterPartition(t *testing.T) {
	var waits []time.Duration
	for seed := range uint64(partitionHistories) {
		s := newProcessSimulationOf(t, seed, evenVoters, evenVoters)
		s.reliable = true
		s.lowLatency = true
		s.run(3 * modelDuration)
		s.partition = map[string]bool{"process-0": true, "process-1": true, "process-2": true}
		s.run(s.now + partitionDuration)
		s.partition = nil
		waits = append(waits, s.timeToHolder())
	}
	slices.Sort(waits)
	t.Logf("election time: median %v, 90th percentile %v, maximum %v", waits[len(waits)/2], waits[len(waits)*9/10], waits[len(waits)-1])
	assert.Assert(t, waits[len(waits)*9/10] <= usualElectionAfterPartition)
	assert.Assert(t, waits[len(waits)-1] <= maxElectionAfterPartition)
}

// timeToHolder runs the simulation until a candidate holds the lease, and returns how long that took.
func (s *processSimulation) timeToHolder() time.Duration {
	begin := s.now
	for s.now < begin+10*modelDuration {
		for _, c := range s.candidates {
			if _, held := c.candidate.Held(c.clock.read(s.now)); held {
				return s.now - begin
			}
		}
		s.run(s.now + time.Millisecond)
	}
	return s.now - begin
}
