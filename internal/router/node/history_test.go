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

// The configuration is a compare-and-swap register. These tests record what operators ask and are answered at real processes in trouble,
// and have a checker look whether one register explains it.

// registerCall is one call of an operator: a read, or an order that puts a generation on top of another.
type registerCall struct {
	isOrder    bool
	base, next int
}

// registerAnswer is what came of it. An answer that promises nothing, or none, is unclear.
type registerAnswer struct {
	isUnclear bool
	isRefused bool // the order was made on another generation than the newest
	read      int
}

// registerModel is the register as operators may see it: its state is the newest generation. An order without a clear answer was taken
// or not.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{0} },
		Step: func(state, input, output any) []any {
			newest, call, answer := state.(int), input.(registerCall), output.(registerAnswer)
			switch {
			case !call.isOrder && (answer.isUnclear || answer.read == newest):
				return []any{newest}
			case !call.isOrder:
				return nil
			case answer.isUnclear && newest == call.base:
				return []any{newest, call.next}
			case answer.isUnclear, answer.isRefused && newest != call.base:
				return []any{newest}
			case !answer.isRefused && newest == call.base:
				return []any{call.next}
			default:
				return nil
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// registerHistory collects the calls of several operators.
type registerHistory struct {
	mutex      sync.Mutex
	begin      time.Time
	operations []porcupine.Operation
}

// add notes a call. One without a clear answer may take effect at any later time.
func (h *registerHistory) add(client int, call registerCall, answer registerAnswer, from time.Time) {
	if answer.isUnclear && !call.isOrder {
		return // it says nothing
	}
	until := time.Since(h.begin).Nanoseconds()
	if answer.isUnclear {
		until = math.MaxInt64
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: call, Output: answer, Call: from.Sub(h.begin).Nanoseconds(), Return: until,
	})
}

// says tells whether enough was answered clearly to say anything.
func (h *registerHistory) says() bool {
	return h.count(true, false) >= historyAnswers && h.count(false, false) >= historyAnswers
}

// count tells how many calls of a sort were answered clearly.
func (h *registerHistory) count(isOrder, isRefused bool) (n int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, operation := range h.operations {
		call, answer := operation.Input.(registerCall), operation.Output.(registerAnswer)
		if !answer.isUnclear && call.isOrder == isOrder && answer.isRefused == isRefused {
			n++
		}
	}
	return n
}

// operate has one operator read and order at drawn routers until the time is over. Generations rise over all operators.
func (h *registerHistory) operate(fleet *processFleet, client int, random *rand.Rand, generations *atomic.Int64, isOver func() bool) {
	known := 0
	for !isOver() {
		router := fleet.routers[random.IntN(len(fleet.routers))]
		from := time.Now()
		if random.IntN(2) == 0 {
			status, generation := router.read()
			h.add(client, registerCall{}, registerAnswer{isUnclear: status != http.StatusOK, read: generation}, from)
			if status == http.StatusOK {
				known = generation
			}
			continue
		}
		call := registerCall{isOrder: true, base: known, next: int(generations.Add(1))}
		status := router.put(call.base, call.next)
		refused := status == http.StatusPreconditionFailed
		h.add(client, call, registerAnswer{isUnclear: status != http.StatusOK && !refused, isRefused: refused}, from)
		if status == http.StatusOK {
			known = call.next
		}
	}
}

// TestCheckerOfHistories names histories that no register explains.
func TestCheckerOfHistories(t *testing.T) {
	order := func(base, next int) registerCall { return registerCall{isOrder: true, base: base, next: next} }
	read, taken, refused, unclear := registerCall{}, registerAnswer{}, registerAnswer{isRefused: true}, registerAnswer{isUnclear: true}
	// The calls follow each other; one without a clear answer lasts on.
	type step struct {
		call   registerCall
		answer registerAnswer
	}
	for name, c := range map[string]struct {
		steps  []step
		broken bool
	}{
		"orders and reads":                  {steps: []step{{order(0, 1), taken}, {read, registerAnswer{read: 1}}, {order(1, 2), taken}, {read, registerAnswer{read: 2}}}},
		"a read of an older state":          {steps: []step{{order(0, 1), taken}, {order(1, 2), taken}, {read, registerAnswer{read: 1}}}, broken: true},
		"two orders on one base":            {steps: []step{{order(0, 1), taken}, {order(0, 2), taken}}, broken: true},
		"a refusal on the newest state":     {steps: []step{{order(0, 1), taken}, {order(1, 2), refused}}, broken: true},
		"a refusal on an older state":       {steps: []step{{order(0, 1), taken}, {order(0, 2), refused}}},
		"an unclear order that was taken":   {steps: []step{{order(0, 1), unclear}, {read, registerAnswer{read: 1}}}},
		"an unclear order that was not":     {steps: []step{{order(0, 1), unclear}, {order(0, 2), taken}, {read, registerAnswer{read: 2}}}},
		"an unclear order that comes late":  {steps: []step{{order(0, 1), unclear}, {read, registerAnswer{read: 0}}, {read, registerAnswer{read: 1}}}},
		"an unclear order taken, and back":  {steps: []step{{order(0, 1), unclear}, {read, registerAnswer{read: 1}}, {read, registerAnswer{read: 0}}}, broken: true},
		"an order on a generation unknown":  {steps: []step{{order(4, 5), taken}}, broken: true},
		"a read of what nobody has ordered": {steps: []step{{order(0, 1), unclear}, {read, registerAnswer{read: 3}}}, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			var operations []porcupine.Operation
			for at, step := range c.steps {
				until := int64(10*at + 5)
				if step.answer.isUnclear {
					until = math.MaxInt64
				}
				operations = append(operations, porcupine.Operation{ClientId: at, Input: step.call, Output: step.answer, Call: int64(10 * at), Return: until})
			}
			assert.Equal(t, porcupine.CheckOperations(registerModel(), operations), !c.broken)
		})
	}
}

const (
	// historyTime is how long operators go on at the least, and historyMost at the most: until there are historyAnswers to orders and to
	// reads, which a starved machine brings late.
	historyTime    = 12 * time.Second
	historyMost    = time.Minute
	historyAnswers = 30
	// historyOperators is how many operators there are.
	historyOperators = 4
	// troubleEvery is the time between two changes of what is cut and what runs.
	troubleEvery = 1500 * time.Millisecond
)

// TestHistoriesOfOrdersAreThoseOfOneRegister has operators read and change the configuration at once while machines are cut off, cut in one
// direction, and killed.
func TestHistoriesOfOrdersAreThoseOfOneRegister(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	fleet := startProcesses(t, 5, 3)
	fleet.routers[0].mustReadNothing()
	history := &registerHistory{begin: time.Now()}
	isOver := func() bool {
		passed := time.Since(history.begin)
		return passed >= historyMost || passed >= historyTime && history.says()
	}
	var generations atomic.Int64
	var operators sync.WaitGroup
	for client := range historyOperators {
		source := rand.New(rand.NewPCG(seed, uint64(1+client)))
		operators.Go(func() { history.operate(fleet, client, source, &generations, isOver) })
	}
	for !isOver() {
		fleet.trouble(random)
		timer := time.NewTimer(troubleEvery)
		<-timer.C
	}
	operators.Wait()
	fleet.cut()
	orders, refusals, reads := history.count(true, false), history.count(true, true), history.count(false, false)
	t.Logf("%d calls: %d orders taken, %d refused, %d reads, the rest unclear", len(history.operations), orders, refusals, reads)
	assert.Assert(t, history.says(), "too little was answered to say anything")
	result := porcupine.CheckOperationsTimeout(registerModel(), history.operations, time.Minute)
	assert.Equal(t, fmt.Sprint(result), fmt.Sprint(porcupine.Ok))
}

// mustReadNothing waits until the router knows that there is no configuration yet.
func (router *process) mustReadNothing() {
	router.fleet.waitFor("the register", func() bool {
		status, ok := router.status()
		return ok && status.Register.Quorum
	})
}

// trouble cuts one machine off, from all or in one direction, or kills one and starts it again, or ends the cut.
func (fleet *processFleet) trouble(random *rand.Rand) {
	router := fleet.routers[random.IntN(len(fleet.routers))]
	switch random.IntN(5) {
	case 0:
		fleet.cut([]*process{router})
	case 1:
		var pairs [][2]*process
		for _, other := range without(fleet.routers, router) {
			pairs = append(pairs, [2]*process{router, other})
		}
		fleet.silence(pairs...)
	case 2:
		var pairs [][2]*process
		for _, other := range without(fleet.routers, router) {
			pairs = append(pairs, [2]*process{other, router})
		}
		fleet.silence(pairs...)
	case 3:
		fleet.kill(router)
		router.start()
	default:
		fleet.cut()
	}
}
