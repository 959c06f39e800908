package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// The configuration is a compare-and-swap register. These tests record the calls and results of concurrent operators on
// real processes under injected faults, and check the history for linearizability with porcupine.

// registerCall is one call of an operator: a read, or a compare-and-swap write that replaces the generation base by
// next.
type registerCall struct {
	isWrite    bool
	base, next int
}

// registerResult is the result of a call. It is indeterminate if no answer came, or one that does not say whether the
// write took effect.
type registerResult struct {
	isIndeterminate bool
	isRejected      bool // the write's base was not the newest generation
	read            int
}

// registerModel is the sequential specification of the register. Its state is the newest generation. An indeterminate
// write may or may not have taken effect.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{0} },
		Step: func(state, input, output any) []any {
			newest, call, answer := state.(int), input.(registerCall), output.(registerResult)
			switch {
			case !call.isWrite && (answer.isIndeterminate || answer.read == newest):
				return []any{newest}
			case !call.isWrite:
				return nil
			case answer.isIndeterminate && newest == call.base:
				return []any{newest, call.next}
			case answer.isIndeterminate, answer.isRejected && newest != call.base:
				return []any{newest}
			case !answer.isRejected && newest == call.base:
				return []any{call.next}
			default:
				return nil
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// registerHistory collects the calls of several operators. It is safe for concurrent use.
type registerHistory struct {
	mutex      sync.Mutex
	begin      time.Time
	operations []porcupine.Operation
}

// add records a call. An indeterminate write may take effect at any later time, so its end is unbounded.
func (h *registerHistory) add(client int, call registerCall, answer registerResult, from time.Time) {
	if answer.isIndeterminate && !call.isWrite {
		return // an indeterminate read constrains nothing
	}
	until := time.Since(h.begin).Nanoseconds()
	if answer.isIndeterminate {
		until = math.MaxInt64
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: call, Output: answer, Call: from.Sub(h.begin).Nanoseconds(), Return: until,
	})
}

// isConclusive reports whether enough writes and reads have a determinate result.
func (h *registerHistory) isConclusive() bool {
	return h.count(true, false) >= minHistoryResults && h.count(false, false) >= minHistoryResults
}

// count returns the number of determinate calls of the given kind.
func (h *registerHistory) count(isOrder, isRefused bool) (n int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, operation := range h.operations {
		call, answer := operation.Input.(registerCall), operation.Output.(registerResult)
		if !answer.isIndeterminate && call.isWrite == isOrder && answer.isRejected == isRefused {
			n++
		}
	}
	return n
}

// runOperator issues reads and writes at random routers until isOver returns true. Generations are unique and increase
// across all operators.
func (h *registerHistory) runOperator(fleet *processFleet, client int, random *rand.Rand, generations *atomic.Int64, isOver func() bool) {
	known := 0
	for !isOver() {
		router := fleet.routers[random.IntN(len(fleet.routers))]
		from := time.Now()
		if random.IntN(2) == 0 {
			status, generation := router.read()
			h.add(client, registerCall{}, registerResult{isIndeterminate: status != http.StatusOK, read: generation}, from)
			if status == http.StatusOK {
				known = generation
			}
			continue
		}
		call := registerCall{isWrite: true, base: known, next: int(generations.Add(1))}
		status := router.put(call.base, call.next)
		rejected := status == http.StatusPreconditionFailed
		h.add(client, call, registerResult{isIndeterminate: status != http.StatusOK && !rejected, isRejected: rejected}, from)
		if status == http.StatusOK {
			known = call.next
		}
	}
}

// TestRegisterModel checks that the model accepts linearizable histories and rejects others.
func TestRegisterModel(t *testing.T) {
	write := func(base, next int) registerCall { return registerCall{isWrite: true, base: base, next: next} }
	read, succeeded, rejected, indeterminate := registerCall{}, registerResult{}, registerResult{isRejected: true}, registerResult{isIndeterminate: true}
	// The calls are sequential, except that an indeterminate one never ends.
	type step struct {
		call   registerCall
		answer registerResult
	}
	for name, c := range map[string]struct {
		steps  []step
		broken bool
	}{
		"writes and reads":                            {steps: []step{{write(0, 1), succeeded}, {read, registerResult{read: 1}}, {write(1, 2), succeeded}, {read, registerResult{read: 2}}}},
		"stale read":                                  {steps: []step{{write(0, 1), succeeded}, {write(1, 2), succeeded}, {read, registerResult{read: 1}}}, broken: true},
		"two writes with the same base":               {steps: []step{{write(0, 1), succeeded}, {write(0, 2), succeeded}}, broken: true},
		"write on the newest generation rejected":     {steps: []step{{write(0, 1), succeeded}, {write(1, 2), rejected}}, broken: true},
		"write on an older generation rejected":       {steps: []step{{write(0, 1), succeeded}, {write(0, 2), rejected}}},
		"indeterminate write that took effect":        {steps: []step{{write(0, 1), indeterminate}, {read, registerResult{read: 1}}}},
		"indeterminate write that took no effect":     {steps: []step{{write(0, 1), indeterminate}, {write(0, 2), succeeded}, {read, registerResult{read: 2}}}},
		"indeterminate write that takes effect late":  {steps: []step{{write(0, 1), indeterminate}, {read, registerResult{read: 0}}, {read, registerResult{read: 1}}}},
		"indeterminate write that is undone":          {steps: []step{{write(0, 1), indeterminate}, {read, registerResult{read: 1}}, {read, registerResult{read: 0}}}, broken: true},
		"write with an unknown base":                  {steps: []step{{write(4, 5), succeeded}}, broken: true},
		"read of a generation that was never written": {steps: []step{{write(0, 1), indeterminate}, {read, registerResult{read: 3}}}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			var operations []porcupine.Operation
			for at, step := range c.steps {
				until := int64(10*at + 5)
				if step.answer.isIndeterminate {
					until = math.MaxInt64
				}
				operations = append(operations, porcupine.Operation{ClientId: at, Input: step.call, Output: step.answer, Call: int64(10 * at), Return: until})
			}
			assert.Equal(t, porcupine.CheckOperations(registerModel(), operations), !c.broken)
		})
	}
}

const (
	// minHistoryTime and maxHistoryTime bound how long operators run. Between the two they stop once there are
	// minHistoryResults determinate writes and reads, which takes longer on an overloaded machine.
	minHistoryTime    = 12 * time.Second
	maxHistoryTime    = time.Minute
	minHistoryResults = 30
	// historyOperators is the number of concurrent operators.
	historyOperators = 4
	// faultInterval is the time between two injected faults.
	faultInterval = 1500 * time.Millisecond
)

// TestConfigurationIsLinearizable has operators read and change the configuration concurrently while machines are
// partitioned, blocked in one direction, and killed.
func TestConfigurationIsLinearizable(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	fleet := startProcesses(t, 5, 3)
	fleet.routers[0].waitForRegisterQuorum()
	history := &registerHistory{begin: time.Now()}
	isOver := func() bool {
		passed := time.Since(history.begin)
		return passed >= maxHistoryTime || passed >= minHistoryTime && history.isConclusive()
	}
	var generations atomic.Int64
	var operators sync.WaitGroup
	for client := range historyOperators {
		source := rand.New(rand.NewPCG(seed, uint64(1+client)))
		operators.Go(func() { history.runOperator(fleet, client, source, &generations, isOver) })
	}
	for !isOver() {
		fleet.injectFault(random)
		timer := time.NewTimer(faultInterval)
		<-timer.C
	}
	operators.Wait()
	fleet.setPartition()
	writes, rejections, reads := history.count(true, false), history.count(true, true), history.count(false, false)
	t.Logf("%d calls: %d writes succeeded, %d rejected, %d reads, the rest indeterminate", len(history.operations), writes, rejections, reads)
	assert.Assert(t, history.isConclusive(), "too few calls have a determinate result")
	result := porcupine.CheckOperationsTimeout(registerModel(), history.operations, time.Minute)
	assert.Equal(t, fmt.Sprint(result), fmt.Sprint(porcupine.Ok))
}

// waitForRegisterQuorum waits until the router reports a quorum of the register's acceptors.
func (router *process) waitForRegisterQuorum() {
	router.fleet.waitFor("a quorum of the register", func() bool {
		status, ok := router.status()
		return ok && status.Register.Quorum
	})
}

// injectFault partitions a random machine, entirely or in one direction, or kills and restarts it, or ends the
// partition.
func (fleet *processFleet) injectFault(random *rand.Rand) {
	router := fleet.routers[random.IntN(len(fleet.routers))]
	switch random.IntN(5) {
	case 0:
		fleet.setPartition([]*process{router})
	case 1:
		var pairs [][2]*process
		for _, other := range without(fleet.routers, router) {
			pairs = append(pairs, [2]*process{router, other})
		}
		fleet.blockOneWay(pairs...)
	case 2:
		var pairs [][2]*process
		for _, other := range without(fleet.routers, router) {
			pairs = append(pairs, [2]*process{other, router})
		}
		fleet.blockOneWay(pairs...)
	case 3:
		fleet.kill(router)
		router.start()
	default:
		fleet.setPartition()
	}
}
