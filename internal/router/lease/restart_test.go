package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// restartHistories is the number of simulated histories in which processes restart, often many at once.
var restartHistories = flag.Uint64("lease.histories", 2000, "number of simulated histories of restarts")

const (
	// parallelParts is the number of subtests among which the histories are divided.
	parallelParts = 8
	// voterCount and processCount are the numbers of voters and of processes.
	voterCount   = 3
	processCount = 5
	// maxProvenDelay is less than the grace period of a grantor: a lease acquired within it after a start needed a proof.
	maxProvenDelay = modelDuration * 9 / 10
	// lostDiskOdds is the number of restarts of which one, on average, loses the process's disk.
	lostDiskOdds = 6
	// neverSettled is a value that no epoch has.
	neverSettled = -1
	// maxElectionAfterRestart is the time within which there must be a holder after all voters have restarted, if messages
	// are reliable.
	maxElectionAfterRestart = 300 * time.Millisecond
)

// processSimulation is a simulation in which each process is both a candidate and a grantor, like a router.
type processSimulation struct {
	*simulation
	startedAt map[string]time.Duration
	// epoch numbers the grantor sets. settledEpochs holds for each process the epoch whose sets it knows to be settled, that
	// is, in force for so long that no lease depends on earlier ones.
	epoch         int
	settledEpochs map[string]int
	// provenLeases counts the leases acquired sooner than is possible without a proof.
	provenLeases int
	lastTerm     Term
}

func newProcessSimulation(t rapid.TB, seed uint64) *processSimulation {
	return newProcessSimulationOf(t, seed, processCount, voterCount)
}

// newProcessSimulationOf returns a simulation of processes of which the first ones are the voters.
func newProcessSimulationOf(t rapid.TB, seed uint64, processes, voters int) *processSimulation {
	s := &processSimulation{
		simulation: &simulation{
			t:        t,
			random:   rand.New(rand.NewPCG(seed, 1)),
			config:   Config{Duration: modelDuration, Drift: modelDrift},
			grantors: map[string]*simulatedGrantor{},
		},
		startedAt:     map[string]time.Duration{},
		settledEpochs: map[string]int{},
	}
	for i := range processes {
		name := fmt.Sprintf("process-%d", i)
		c := &simulatedCandidate{name: name, clock: s.newClock()}
		s.candidates = append(s.candidates, c)
		s.grantors[name] = &simulatedGrantor{name: name, clock: c.clock, processCandidate: c}
		if i < voters {
			s.voters = append(s.voters, name)
		}
	}
	for _, c := range s.candidates {
		s.restart(c)
	}
	return s
}

// restart replaces a process by a new one, which sometimes has lost its disk. The new process knows the sets in force, but after
// a disk loss it does not know that they are settled. Disk losses at any one time stay within the number that the voters
// tolerate.
func (s *processSimulation) restart(c *simulatedCandidate) {
	lost := s.random.IntN(lostDiskOdds) == 0 && s.lostDisks() < voterCount/2
	if lost {
		s.settledEpochs[c.name] = neverSettled
	}
	s.startedAt[c.name] = s.now
	s.startGrantor(s.grantors[c.name])
	s.createCandidate(c)
	s.updateSets(c, s.voters, s.previous, s.settledEpochs[c.name] == s.epoch)
	if lost {
		s.scheduleSettled(c, s.previous, s.epoch)
	}
	s.scheduleTick(c, c.candidate)
}

// lostDisks counts the processes whose disks were lost and that do not know of settled sets since.
func (s *processSimulation) lostDisks() int {
	count := 0
	for _, epoch := range s.settledEpochs {
		if epoch == neverSettled {
			count++
		}
	}
	return count
}

// updateSets tells a process the grantor sets in force. Like a router, it gives up its lease if it is not a voter.
func (s *processSimulation) updateSets(c *simulatedCandidate, voters, previous []string, settled bool) {
	now := c.clock.read(s.now)
	s.grantors[c.name].grantor.SetGrantors(voters, previous)
	c.candidate.SetGrantors(now, voters, previous)
	c.candidate.AllowProof(settled)
	c.candidate.SetOnlyCurrentGrantorsKnown(len(previous) == 0)
	c.ineligible = !slices.Contains(voters, c.name)
	if c.ineligible {
		c.candidate.Resign(now)
	}
}

// runHistory injects random faults at random intervals, and then runs for two durations more.
func (s *processSimulation) runHistory() {
	for range faultsPerHistory {
		s.runBriefly()
		s.injectProcessFault()
	}
	s.run(s.now + 2*modelDuration)
}

// runBriefly advances by a time that is mostly shorter than a lease, so that faults overlap.
func (s *processSimulation) runBriefly() {
	span := time.Duration(s.random.IntN(1000)) * time.Millisecond
	if s.random.IntN(2) == 0 {
		span /= 10
	}
	for end := s.now + span; s.now < end; {
		s.run(min(end, s.now+10*time.Millisecond))
		s.countProven()
	}
}

func (s *processSimulation) countProven() {
	if s.highestTerm == s.lastTerm {
		return
	}
	s.lastTerm = s.highestTerm
	if s.now-s.startedAt[s.holder] < maxProvenDelay {
		s.provenLeases++
	}
}

func (s *processSimulation) injectProcessFault() {
	c := s.candidates[s.random.IntN(len(s.candidates))]
	switch s.random.IntN(9) {
	case 0:
		c.paused = true
	case 1, 2:
		s.resume(c)
	case 3, 4:
		s.restart(c)
	case 5:
		s.deliver(c, func() { c.candidate.Resign(c.clock.read(s.now)) })
	case 6, 7:
		s.restartMany()
	case 8:
		if s.random.IntN(5) == 0 {
			s.changeProcessSets()
		}
	}
}

// restartMany restarts all processes, or all but a few, within 100 ms.
func (s *processSimulation) restartMany() {
	spared := s.random.IntN(3) == 0
	for _, c := range s.candidates {
		if spared && s.random.IntN(3) == 0 {
			continue
		}
		s.schedule(time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.restart(c) })
	}
}

// changeProcessSets draws new voters and makes a joint change to them. Processes learn of each step with a delay.
func (s *processSimulation) changeProcessSets() {
	if len(s.previous) > 0 {
		return
	}
	s.epoch++
	s.previous = s.voters
	offset := s.random.IntN(processCount)
	s.voters = nil
	for i := range voterCount {
		s.voters = append(s.voters, s.candidates[(i+offset)%processCount].name)
	}
	s.propagateSets()
	s.schedule(modelDuration+maxUpdateDelay, func() {
		s.previous = nil
		s.epoch++
		s.propagateSets()
	})
}

// propagateSets tells each process the sets in force, after a delay of its own.
func (s *processSimulation) propagateSets() {
	voters, previous, epoch := s.voters, s.previous, s.epoch
	for _, c := range s.candidates {
		candidate := c.candidate
		s.schedule(time.Duration(s.random.IntN(1000))*maxUpdateDelay/1000, func() {
			if c.candidate == candidate {
				s.deliver(c, func() { s.receiveSets(c, voters, previous, epoch) })
			}
		})
	}
}

// receiveSets tells a process the grantor sets, and after two durations that they are settled.
func (s *processSimulation) receiveSets(c *simulatedCandidate, voters, previous []string, epoch int) {
	s.updateSets(c, voters, previous, false)
	s.scheduleSettled(c, previous, epoch)
}

// scheduleSettled tells a process after two durations that the sets are settled, unless they have changed again.
func (s *processSimulation) scheduleSettled(c *simulatedCandidate, previous []string, epoch int) {
	candidate := c.candidate
	s.schedule(2*modelDuration, func() {
		if c.candidate == candidate && s.epoch == epoch && len(previous) == 0 {
			s.settledEpochs[c.name] = epoch
			s.deliver(c, func() { candidate.AllowProof(s.epoch == epoch) })
		}
	})
}

// TestNeverTwoHoldersAfterRestarts simulates histories in which processes restart, one by one and all at once, while messages
// are late, lost and duplicated.
func TestNeverTwoHoldersAfterRestarts(t *testing.T) {
	for part := range uint64(parallelParts) {
		t.Run(fmt.Sprintf("part %d", part), func(t *testing.T) {
			t.Parallel()
			runRestartHistories(t, part**restartHistories, *restartHistories/parallelParts)
		})
	}
}

func runRestartHistories(t *testing.T, firstSeed, histories uint64) {
	leases, proven := 0, 0
	for seed := range histories {
		s := newProcessSimulation(t, firstSeed+seed)
		s.runHistory()
		leases += s.leases
		proven += s.provenLeases
	}
	t.Logf("%d leases, %d of them with a proof", leases, proven)
	assert.Assert(t, 2*uint64(proven) > histories, "%d leases with a proof", proven)
}

// TestHolderSoonAfterFullRestart checks that there is a holder soon after the last process has restarted, and that it stays the
// holder.
func TestHolderSoonAfterFullRestart(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		s := newProcessSimulation(draw, rapid.Uint64().Draw(draw, "seed"))
		s.reliable = true
		s.lowLatency = true
		s.run(3 * modelDuration)
		before := s.leases
		lastBack := s.now
		for _, c := range s.candidates {
			after := time.Duration(s.random.IntN(100)) * time.Millisecond
			lastBack = max(lastBack, s.now+after)
			s.schedule(after, func() { s.restart(c) })
		}
		s.run(lastBack + maxElectionAfterRestart)
		assert.Equal(draw, s.leases, before+1)
		s.run(lastBack + 3*modelDuration)
		assert.Equal(draw, s.leases, before+1)
	})
}
