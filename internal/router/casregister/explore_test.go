package casregister

import (
	"hash/maphash"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// unbounded is the bound of a model whose state space is small enough to be explored completely.
const unbounded = math.MaxInt

// explorationResult is the extent of an exploration.
type explorationResult struct {
	states     int
	isComplete bool
	// withResult counts the states in which some proposal has reported a chosen state.
	withResult int
}

// explore visits the states reachable from the first in random order, at most bound of them.
func explore(first *modelState, bound int) (explorationResult, error) {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{first.fingerprint(seed): true}
	stack := []*modelState{first}
	result := explorationResult{isComplete: true}
	random := rand.New(rand.NewPCG(1, 1))
	for len(stack) > 0 {
		index := random.IntN(len(stack))
		model := stack[index]
		stack[index] = stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		result.states++
		if err := model.check(); err != nil {
			return result, errors.Wrapf(err, "after %d states", result.states)
		}
		if len(model.reportedChosen) > 0 {
			result.withResult++
		}
		for _, successor := range model.successors() {
			hash := successor.fingerprint(seed)
			if seen[hash] {
				continue
			}
			if len(seen) >= bound {
				result.isComplete = false
				continue
			}
			seen[hash] = true
			stack = append(stack, successor)
		}
	}
	return result, nil
}

// TestModelCheck explores the message orderings of small models that run the real state machines, with at most one
// crash: all orderings where the state space is small enough, else a part of them.
func TestModelCheck(t *testing.T) {
	worlds := map[string]*modelState{
		"two appends":             newModelState("abc", "abc", 3, 1, appendPlan("p", 1, 1), appendPlan("q", 2, 1)),
		"an append and a refusal": newModelState("abc", "abc", 3, 1, appendPlan("p", 1, 1), refusePlan("q", 1)),
		"an append and rewrites":  newModelState("abc", "abc", 3, 0, appendPlan("p", 1, 2), rewritePlan("q", 1, 3)),
		"a repeated append":       newModelState("abc", "abc", 3, 0, appendPlan("p", 1, 1, 3), appendPlan("q", 2, 2)),
		"an append and a set change": newModelState("abcd", "abc", 2, 1,
			appendPlan("p", 1, 2), setChangePlan("q", "abd", 1, 3)),
		"two set changes": newModelState("abd", "ab", 1, 1,
			setChangePlan("p", "ad", 1, 3), setChangePlan("q", "bd", 2, 4)),
		"an append, two of three acceptors end": newModelState("abc", "abc", 3, 0,
			appendPlan("p", 1, 1, 2)).withEndings(2),
		"a recovery and a concurrent append": newModelState("abc", "abc", 3, 0,
			appendPlan("p", 1, 5), appendPlan("q", 2, 2).asRecovery()).withEndings(2),
		"two recoveries": newModelState("abcde", "abcde", 5, 0,
			appendPlan("p", 1, 1, 3).asRecovery(), appendPlan("q", 2, 2).asRecovery()).withEndings(3),
		"a recovery and a concurrent set change": newModelState("abcd", "abc", 2, 0,
			setChangePlan("p", "abd", 5, 6), appendPlan("q", 2, 2).asRecovery()).withEndings(2),
	}
	bounds := map[string]int{
		"two appends":                           unbounded,
		"an append and a refusal":               unbounded,
		"an append and rewrites":                20_000,
		"a repeated append":                     8_000,
		"an append and a set change":            20_000,
		"two set changes":                       20_000,
		"an append, two of three acceptors end": unbounded,
		"a recovery and a concurrent append":    unbounded,
		"two recoveries":                        20_000,

		"a recovery and a concurrent set change": 20_000,
	}
	for name, model := range worlds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result, err := explore(model, bounds[name])
			assert.NilError(t, err)
			t.Logf("%d states, complete: %v, %d of them with a reported result", result.states, result.isComplete, result.withResult)
			assert.Assert(t, result.withResult > 0)
			assert.Equal(t, result.isComplete, bounds[name] == unbounded)
		})
	}
}
