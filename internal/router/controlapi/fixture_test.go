package controlapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/protocol"
)

// errNoQuorum is the error of a memoryRegister that fails, and of instances whose call is not confirmed.
var errNoQuorum = errors.New("no quorum")

// memoryRegister is an in-memory Register. Like configstore, it may call a change function several times, and returns an
// error of the function only if the function was called with a chosen state.
type memoryRegister struct {
	mu        sync.Mutex
	state     configstore.State
	proposals int
	fails     bool
	hangs     bool
	// beforeChosen is called once, after the first call of a change function and before its result is chosen.
	beforeChosen func()
}

// Propose applies the change to the state.
func (m *memoryRegister) Propose(ctx context.Context, change func(configstore.State) (configstore.State, error)) (configstore.State, error) {
	if err := m.simulateFailure(ctx); err != nil {
		return configstore.State{}, err
	}
	if hook := m.takeBeforeChosen(); hook != nil {
		_, _ = change(m.current())
		hook()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proposals++
	next, err := change(m.state)
	if err != nil {
		return m.state, err
	}
	next.Revision = m.state.Revision + 1
	m.state = next
	return next, nil
}

// Read returns the state.
func (m *memoryRegister) Read(ctx context.Context) (configstore.State, error) {
	if err := m.simulateFailure(ctx); err != nil {
		return configstore.State{}, err
	}
	return m.current(), nil
}

// simulateFailure blocks or returns an error if the register is set to hang or fail.
func (m *memoryRegister) simulateFailure(ctx context.Context) error {
	if m.hangs {
		<-ctx.Done()
		return configstore.ErrOutcomeUnknown
	}
	if m.fails {
		return errNoQuorum
	}
	return nil
}

func (m *memoryRegister) takeBeforeChosen() func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	hook := m.beforeChosen
	m.beforeChosen = nil
	return hook
}

func (m *memoryRegister) current() configstore.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// recordedInstances implements Instances and records the calls.
type recordedInstances struct {
	heartbeats   map[string]protocol.Heartbeat
	deregistered []string
	// err is the result of both methods.
	err error
}

func (r *recordedInstances) Heartbeat(_ context.Context, id string, beat *protocol.Heartbeat) error {
	if r.heartbeats == nil {
		r.heartbeats = map[string]protocol.Heartbeat{}
	}
	r.heartbeats[id] = *beat
	return r.err
}

func (r *recordedInstances) Deregister(_ context.Context, id string) error {
	r.deregistered = append(r.deregistered, id)
	return r.err
}

// newTestAPI returns an API with an in-memory register.
func newTestAPI() (*API, *memoryRegister) {
	register := &memoryRegister{}
	return New(Options{Register: register, Instances: &recordedInstances{}, BeatURL: "http://127.0.0.1:1/"}), register
}

// post sends a POST request; base is the value of the base revision header, empty for none.
func post(api *API, path, base string, body io.Reader) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, body)
	if base != "" {
		request.Header.Set(protocol.HeaderBaseRevision, base)
	}
	response := httptest.NewRecorder()
	api.Handler().ServeHTTP(response, request)
	return response
}

// put sends a whole configuration and returns the status.
func put(api *API, base int, body string) int {
	return post(api, protocol.PathConfigPut, fmt.Sprint(base), strings.NewReader(body)).Code
}

// patch sends a patch and returns the status.
func patch(api *API, base int, body string) int {
	return post(api, protocol.PathConfigPatch, fmt.Sprint(base), strings.NewReader(body)).Code
}

// configuration returns a valid configuration with one route that has the given timeout.
func configuration(generation, timeout int) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[%s],"backends":[{"name":"b"}]}`, generation, route("r", timeout))
}

func route(name string, timeout int) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"h","path_prefix":"/%s/","kind":"idempotent","timeout_ms":%d,"backend":"b"}`,
		name, name, timeout)
}

// upsert returns a patch that adds or replaces a route.
func upsert(generation int, name string) string {
	return fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s]}}`, generation, route(name, 20))
}

// assertCurrent checks the generation and the routes of the configuration that the API returns.
func assertCurrent(t *testing.T, api *API, generation int, routes ...string) {
	t.Helper()
	var current struct {
		Generation int
		Routes     []struct{ Name string }
	}
	assert.Equal(t, ask(t, api, http.MethodGet, protocol.PathConfigGet, &current), http.StatusOK)
	assert.Equal(t, current.Generation, generation)
	var names []string
	for _, one := range current.Routes {
		names = append(names, one.Name)
	}
	assert.DeepEqual(t, names, routes)
}
