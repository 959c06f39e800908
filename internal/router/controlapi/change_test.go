package controlapi

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

// laterChanges is a number of later changes that is below the number of changes that the register remembers.
const laterChanges = 100

func TestChangesApplyToTheirBase(t *testing.T) {
	api, _ := newTestAPI()
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
	assertCurrent(t, api, 5, "r")
	assert.Equal(t, patch(api, 5, upsert(7, "s")), http.StatusOK)
	assertCurrent(t, api, 7, "r", "s")
	assert.Equal(t, patch(api, 7, `{"generation":8,"remove":{"routes":["r"]}}`), http.StatusOK)
	assertCurrent(t, api, 8, "s")
	assert.Equal(t, put(api, 8, configuration(20, 10)), http.StatusOK)
	assertCurrent(t, api, 20, "r")
}

func TestChangeOnOtherBaseIsRefused(t *testing.T) {
	api, _ := newTestAPI()
	assert.Equal(t, put(api, 3, configuration(5, 10)), http.StatusPreconditionFailed)
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
	for _, base := range []int{0, 4, 6, -1} {
		assert.Equal(t, put(api, base, configuration(9, 10)), http.StatusPreconditionFailed, "base %d", base)
		assert.Equal(t, patch(api, base, upsert(9, "s")), http.StatusPreconditionFailed, "base %d", base)
	}
	assertCurrent(t, api, 5, "r")
}

// invalidConfigurations are bodies that put must refuse on top of generation 5.
var invalidConfigurations = map[string]string{
	"empty":            ``,
	"cut short":        configuration(9, 10)[:60],
	"two documents":    configuration(9, 10) + configuration(9, 10),
	"no object":        `[]`,
	"no generation":    `{"routes":[],"backends":[]}`,
	"zero timeout":     configuration(9, 0),
	"unknown service":  `{"generation":9,"routes":[` + route("r", 10) + `],"backends":[]}`,
	"same prefix":      `{"generation":9,"routes":[` + route("r", 10) + "," + strings.Replace(route("r", 10), "r", "s", 1) + `],"backends":[{"name":"b"}]}`,
	"shared key":       `{"generation":9,"tenants":[{"name":"s","api_keys":["k"]},{"name":"t","api_keys":["k"]}]}`,
	"weights of 0":     strings.Replace(configuration(9, 10), `"backend":"b"`, `"split":[{"backend":"b","weight":0}]`, 1),
	"same generation":  configuration(5, 11),
	"lower generation": configuration(4, 11),
}

func TestInvalidConfigurationsAreRefused(t *testing.T) {
	for name, body := range invalidConfigurations {
		api, register := newTestAPI()
		assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
		before := register.current()
		assert.Equal(t, put(api, 5, body), http.StatusBadRequest, name)
		assert.DeepEqual(t, register.current().Document, before.Document)
		assert.Equal(t, register.current().Revision, before.Revision)
	}
}

func TestInvalidPatchesAreRefused(t *testing.T) {
	for name, body := range map[string]string{
		"cut short":        upsert(9, "s")[:30],
		"no generation":    `{"upsert":{"routes":[]}}`,
		"same generation":  upsert(5, "s"),
		"lower generation": upsert(4, "s"),
		"zero timeout":     `{"generation":9,"upsert":{"routes":[` + route("s", 0) + `]}}`,
		"service in use":   `{"generation":9,"remove":{"backends":["b"]}}`,
		"same prefix":      `{"generation":9,"upsert":{"routes":[` + strings.Replace(route("r", 10), `"name":"r"`, `"name":"s"`, 1) + `]}}`,
	} {
		api, register := newTestAPI()
		assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
		assert.Equal(t, patch(api, 5, body), http.StatusBadRequest, name)
		assert.Equal(t, register.current().Revision, uint64(1))
		assertCurrent(t, api, 5, "r")
	}
}

func TestBaseRevisionMustBeNumber(t *testing.T) {
	api, register := newTestAPI()
	for _, base := range []string{"", "five", "1.5", "0x1", "99999999999999999999"} {
		response := post(api, protocol.PathConfigPut, base, strings.NewReader(configuration(5, 10)))
		assert.Equal(t, response.Code, http.StatusBadRequest, "base %q", base)
	}
	assert.Equal(t, register.proposals, 0)
}

func TestTruncatedBodyIsNotProposed(t *testing.T) {
	api, register := newTestAPI()
	whole := strings.NewReader(configuration(5, 10))
	body := io.MultiReader(whole, iotest.ErrReader(io.ErrUnexpectedEOF)) // although the part received is a whole document
	assert.Equal(t, post(api, protocol.PathConfigPut, "0", body).Code, http.StatusBadRequest)
	assert.Equal(t, register.proposals, 0)
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	api, register := newTestAPI()
	body := configuration(5, 10) + strings.Repeat(" ", maxConfigurationBytes)
	assert.Equal(t, put(api, 0, body), http.StatusRequestEntityTooLarge)
	assert.Equal(t, register.proposals, 0)
}

func TestRepeatedChangeIsAcknowledgedAgain(t *testing.T) {
	api, register := newTestAPI()
	first, second := configuration(5, 10), upsert(7, "s")
	assert.Equal(t, put(api, 0, first), http.StatusOK)
	assert.Equal(t, put(api, 0, first), http.StatusOK)
	assert.Equal(t, patch(api, 5, second), http.StatusOK)
	for generation := 8; generation < 8+laterChanges; generation++ {
		assert.Equal(t, put(api, 0, first), http.StatusOK)
		assert.Equal(t, patch(api, 5, second), http.StatusOK)
		base := max(7, generation-1)
		assert.Equal(t, patch(api, base, upsert(generation, fmt.Sprint("r-", generation))), http.StatusOK)
	}
	assert.Equal(t, register.current().Revision, uint64(2+laterChanges))
	// The same body with another base or path is not a repetition.
	assert.Equal(t, put(api, 1, first), http.StatusPreconditionFailed)
	assert.Equal(t, patch(api, 0, second), http.StatusPreconditionFailed)
}

// TestAppliedChangeIsNeverRefused repeats the first two changes after 400 others, more than the register remembers. Since
// it no longer knows whether they were applied, it must report an unclear outcome and not a refusal.
func TestAppliedChangeIsNeverRefused(t *testing.T) {
	api, _ := newTestAPI()
	first, second := configuration(5, 10), upsert(7, "s")
	assert.Equal(t, put(api, 0, first), http.StatusOK)
	assert.Equal(t, patch(api, 5, second), http.StatusOK)
	const changes = 400
	for generation := 8; generation < 8+changes; generation++ {
		assert.Equal(t, patch(api, generation-1, upsert(generation, fmt.Sprint("r-", generation%7))), http.StatusOK)
	}
	assert.Equal(t, put(api, 0, first), http.StatusServiceUnavailable)
	assert.Equal(t, patch(api, 5, second), http.StatusServiceUnavailable)
	last := 7 + changes
	assert.Equal(t, patch(api, last-1, upsert(last, fmt.Sprint("r-", last%7))), http.StatusOK, "a recent change is remembered")
	assert.Equal(t, patch(api, last-1, upsert(last+1, "x")), http.StatusPreconditionFailed, "another change on a remembered base")
	assert.Equal(t, patch(api, last+1, upsert(last+2, "x")), http.StatusPreconditionFailed, "a base that never existed")
}

func TestChangeIsRefusedAfterConcurrentChange(t *testing.T) {
	api, register := newTestAPI()
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
	register.beforeChosen = func() { assert.Equal(t, patch(api, 5, upsert(6, "other")), http.StatusOK) }
	assert.Equal(t, patch(api, 5, upsert(7, "s")), http.StatusPreconditionFailed)
	assertCurrent(t, api, 6, "r", "other")
}

// TestChangeAppliedByAnotherRouterIsAcknowledged covers a proposal that loses to the same change sent to another router.
func TestChangeAppliedByAnotherRouterIsAcknowledged(t *testing.T) {
	api, register := newTestAPI()
	otherAPI := New(Options{Register: register})
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
	register.beforeChosen = func() { assert.Equal(t, patch(otherAPI, 5, upsert(7, "s")), http.StatusOK) }
	assert.Equal(t, patch(api, 5, upsert(7, "s")), http.StatusOK)
	assert.Equal(t, register.current().Revision, uint64(2))
}

func TestOneOfConcurrentChangesIsApplied(t *testing.T) {
	api, register := newTestAPI()
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
	statuses := make([]int, 8)
	var running sync.WaitGroup
	for i := range statuses {
		running.Go(func() { statuses[i] = patch(api, 5, upsert(7, fmt.Sprint("r-", i))) })
	}
	running.Wait()
	applied := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			applied++
			continue
		}
		assert.Equal(t, status, http.StatusPreconditionFailed)
	}
	assert.Equal(t, applied, 1)
	assert.Equal(t, register.current().Revision, uint64(2))
}

// TestParseCacheDoesNotAffectResults checks that the cached parse of one document does not affect a change to another.
func TestParseCacheDoesNotAffectResults(t *testing.T) {
	api, _ := newTestAPI()
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusOK)
	assert.Equal(t, patch(api, 5, upsert(6, "s")), http.StatusOK)
	assert.Equal(t, patch(api, 6, `{"generation":7,"remove":{"routes":["r"]}}`), http.StatusOK)
	other, register := newTestAPI()
	register.state.Document = []byte(configuration(6, 30))
	register.state.Generation = 6
	other.lastParsed.Store(api.lastParsed.Load())
	assert.Equal(t, patch(other, 6, upsert(7, "t")), http.StatusOK)
	assertCurrent(t, other, 7, "r", "t")
	assert.Assert(t, strings.Contains(string(register.current().Document), `"timeout_ms":30`))
}

func TestFailingRegisterLeavesOutcomeUnclear(t *testing.T) {
	api, register := newTestAPI()
	assert.Equal(t, ask(t, api, http.MethodGet, protocol.PathConfigGet, nil), http.StatusServiceUnavailable)
	register.fails = true
	assert.Equal(t, put(api, 0, configuration(5, 10)), http.StatusServiceUnavailable)
	assert.Equal(t, patch(api, 0, upsert(5, "r")), http.StatusServiceUnavailable)
	assert.Equal(t, ask(t, api, http.MethodGet, protocol.PathConfigGet, nil), http.StatusServiceUnavailable)
}

// TestHangingRegisterTimesOutWithinOneSecond checks registerTimeout: callers try another router after one second
// without a response.
func TestHangingRegisterTimesOutWithinOneSecond(t *testing.T) {
	calls := map[string]func(*API) int{
		"put":   func(api *API) int { return put(api, 0, configuration(5, 10)) },
		"patch": func(api *API) int { return patch(api, 0, upsert(5, "r")) },
		"get":   func(api *API) int { return ask(t, api, http.MethodGet, protocol.PathConfigGet, nil) },
	}
	for name, call := range calls {
		synctest.Test(t, func(t *testing.T) {
			api, register := newTestAPI()
			register.hangs = true
			begin := time.Now()
			assert.Equal(t, call(api), http.StatusServiceUnavailable, name)
			assert.Assert(t, time.Since(begin) < time.Second, "%s: %s", name, time.Since(begin))
		})
	}
}
