package casregister

import (
	"cmp"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// randomHistories is the number of histories that TestRandomHistories generates.
const randomHistories = 12000

// historyTotals counts operations and events of all histories, to check that the test covers each of them.
type historyTotals struct {
	definite, indefinite, refused, joint, plain, wipes atomic.Int64
}

// TestRandomHistories simulates random histories and checks each in two ways: the values that quorums have accepted
// form one chain, and the operations that the clients observed are linearizable.
func TestRandomHistories(t *testing.T) {
	var totals historyTotals
	var seeds atomic.Uint64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := seeds.Add(1); seed <= randomHistories; seed = seeds.Add(1) {
				sim := newSimulation(seed)
				sim.run()
				if err := checkSimulation(sim); err != nil {
					t.Errorf("seed %d: %v", seed, err)
					return
				}
				totals.add(sim)
			}
		})
	}
	workers.Wait()
	t.Logf("%d definite, %d indefinite, %d refused operations, %d joint and %d later plain sets chosen, %d disks wiped",
		totals.definite.Load(), totals.indefinite.Load(), totals.refused.Load(), totals.joint.Load(), totals.plain.Load(),
		totals.wipes.Load())
	assert.Assert(t, totals.definite.Load() > 3*randomHistories)
	assert.Assert(t, totals.indefinite.Load() > randomHistories/10)
	assert.Assert(t, totals.joint.Load() > randomHistories)
	assert.Assert(t, totals.plain.Load() > randomHistories/2)
	assert.Assert(t, totals.wipes.Load() > randomHistories/2)
}

func (totals *historyTotals) add(sim *simulation) {
	for _, operation := range sim.history {
		switch {
		case !operation.isDefinite:
			totals.indefinite.Add(1)
		case operation.kind == refuseChange:
			totals.refused.Add(1)
		default:
			totals.definite.Add(1)
		}
	}
	for _, state := range sim.chosenStates() {
		switch {
		case state.Value.Set.IsJoint():
			totals.joint.Add(1)
		case state.Value.Set.Epoch > 0:
			totals.plain.Add(1)
		}
	}
	totals.wipes.Add(int64(sim.wipes))
}

func checkSimulation(sim *simulation) error {
	for _, done := range sim.history {
		isAppend := done.kind == appendNumber && done.isDefinite
		if isAppend && !strings.Contains(done.payload, string([]byte{done.number})) {
			return errors.Errorf("acknowledged append is missing from its own result: %+v", done)
		}
	}
	if err := sim.checkReportedChosen(); err != nil {
		return err
	}
	if err := checkChain(sim.chosenStates()); err != nil {
		return err
	}
	if !porcupine.CheckOperations(registerModel, sim.porcupineOperations()) {
		return errors.Errorf("not linearizable: %+v", sim.history)
	}
	return nil
}

// chosenStates returns, in the order of their ballots, the states that a quorum has durably accepted, and those that were
// reported as chosen after a recovery quorum had durably accepted them.
func (record *acceptanceRecord) chosenStates() []State {
	var chosen []State
	for ballot, accepted := range record.acceptedValues {
		state := State{Ballot: ballot, Value: accepted.value}
		hasAccepted := func(id AcceptorID) bool { return accepted.by[id] }
		isReported := slices.ContainsFunc(record.reportedChosen, func(reported State) bool { return reported.Ballot == ballot })
		if accepted.value.Set.HasQuorum(hasAccepted) || isReported && accepted.value.Set.HasRecoveryQuorum(record.ended, hasAccepted) {
			chosen = append(chosen, state)
		}
	}
	slices.SortFunc(chosen, func(left, right State) int { return left.Ballot.Compare(right.Ballot) })
	return chosen
}

// checkReportedChosen returns an error if a state that was reported as chosen is not chosen.
func (record *acceptanceRecord) checkReportedChosen() error {
	chosen := record.chosenStates()
	for _, reported := range record.reportedChosen {
		isChosen := slices.ContainsFunc(chosen, func(state State) bool {
			return state.Ballot == reported.Ballot && state.Value.Equal(reported.Value)
		})
		if !isChosen && !reported.Ballot.IsZero() {
			return errors.Errorf("reported as chosen, but is not: %v %v", reported.Ballot, reported.Value)
		}
	}
	return nil
}

// checkChain returns an error unless each state's payload extends that of the one before, and its set is the same or
// has a higher epoch.
func checkChain(chosen []State) error {
	for index := 1; index < len(chosen); index++ {
		before, after := chosen[index-1].Value, chosen[index].Value
		if !strings.HasPrefix(string(after.Payload), string(before.Payload)) {
			return errors.Errorf("chosen %v was lost in %v", before.Payload, after.Payload)
		}
		if cmp.Less(after.Set.Epoch, before.Set.Epoch) {
			return errors.Errorf("chosen set %d was lost in %d", before.Set.Epoch, after.Set.Epoch)
		}
		if after.Set.Epoch == before.Set.Epoch && !after.Set.Equal(before.Set) {
			return errors.Errorf("two different sets have epoch %d", after.Set.Epoch)
		}
	}
	return nil
}

// registerModel is the sequential specification of the register: a list to which numbers are appended.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		list, called, saw := state.(string), input.(operation), output.(operation)
		if called.kind != appendNumber {
			return saw.payload == list, list
		}
		if !strings.Contains(list, string([]byte{called.number})) {
			list += string([]byte{called.number})
		}
		return true, list
	},
	Equal: func(left, right any) bool { return left == right },
}

// porcupineOperations returns the operations with an effect or a definite outcome. An indefinite one may take effect at
// any time after its call; it returns at the end of time, so that taking effect last amounts to no effect. An append
// may take effect some time before its client reads the result, so a definite append is modelled as an append and a
// read.
func (sim *simulation) porcupineOperations() []porcupine.Operation {
	var operations []porcupine.Operation
	pending := slices.Clone(sim.history)
	for _, client := range sim.clients {
		if client.current != nil {
			pending = append(pending, *client.current)
		}
	}
	for _, done := range pending {
		if !done.isDefinite && done.kind != appendNumber {
			continue
		}
		returns := done.returnedAt
		if !done.isDefinite {
			returns = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			Input: done, Output: done, Call: done.calledAt, Return: returns,
		})
		if done.isDefinite && done.kind == appendNumber {
			done.kind = readState
			operations = append(operations, porcupine.Operation{
				Input: done, Output: done, Call: done.calledAt, Return: returns,
			})
		}
	}
	return operations
}
