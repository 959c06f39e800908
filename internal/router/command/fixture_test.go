package command

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// receivedCall is a call as a fakeRouter received it.
type receivedCall struct {
	method, path, base, body string
}

// fakeRouter is a control interface that sends the same response to all calls.
type fakeRouter struct {
	address string
	status  int
	body    string
	header  http.Header

	mutex sync.Mutex
	calls []receivedCall
}

// newFakeRouter starts a fakeRouter that responds with the given status and body.
func newFakeRouter(t *testing.T, status int, body string) *fakeRouter {
	t.Helper()
	s := &fakeRouter{status: status, body: body, header: http.Header{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}

func (s *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = append(s.calls, receivedCall{r.Method, r.URL.Path, r.Header.Get("X-Pewterrudder-Base-Revision"), string(body)})
	for name, values := range s.header {
		w.Header()[name] = values
	}
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body)
}

func (s *fakeRouter) received() []receivedCall {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]receivedCall(nil), s.calls...)
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// result is the exit status and the output of a command.
type result struct {
	status int
	out    string
	errors string
}

// runCommand runs a command with the given arguments.
func runCommand(arguments ...string) result {
	var out, errors bytes.Buffer
	status := run(arguments, &out, &errors)
	return result{status, out.String(), errors.String()}
}

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
