package resultcode

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// page is the path of the documentation of the codes, relative to testdata, where the golden package looks for files.
// "go test -update" regenerates it.
const page = "../../../../docs/result-codes.md"

const pageIntroduction = `# Result codes

Where a router answers by itself, and not with an instance's answer, the body is JSON: ` + "`error`" + ` (the name), ` + "`code`" + `
(the number) and ` + "`detail`" + ` (what was wrong with the case at hand). A number never changes its meaning.
To clients, 408, 421, 429 and 503 promise that the request has not run; 502 and 504 promise nothing.
This page is written from the table in ` + "`internal/router/resultcode`" + ` by its test with ` + "`-update`" + `.
`

var groups = map[Code]string{
	1: "Requests",
	2: "The operator's configuration",
	3: "Calls of model instances",
	4: "The cluster and the process itself",
}

func TestPageMatchesTable(t *testing.T) {
	golden.Assert(t, renderPage(), page)
}

func renderPage() string {
	var text strings.Builder
	text.WriteString(pageIntroduction)
	group := Code(0)
	for _, entry := range Table() {
		if entry.Code/1000 != group {
			group = entry.Code / 1000
			fmt.Fprintf(&text, "\n## %s\n\n| code | name | status | meaning |\n| --- | --- | --- | --- |\n", groups[group])
		}
		fmt.Fprintf(&text, "| %d | `%s` | %d | %s |\n", entry.Code, entry.Name, entry.Status, entry.Explanation)
	}
	return text.String()
}

func TestTableEntriesAreComplete(t *testing.T) {
	names := map[string]bool{}
	for _, entry := range Table() {
		assert.Assert(t, !names[entry.Name], entry.Name)
		names[entry.Name] = true
		assert.Assert(t, entry.Status >= 400 && entry.Status < 600, entry.Name)
		assert.Assert(t, groups[entry.Code/1000] != "", entry.Name)
		assert.Assert(t, strings.HasSuffix(entry.Explanation, "."), entry.Name)
	}
}

func TestRequestsThatMayHaveRunGetStatus502Or504(t *testing.T) {
	for _, code := range []Code{AttemptFailed, TimeoutExceeded, StreamBroken} {
		assert.Assert(t, code.Status() == http.StatusBadGateway || code.Status() == http.StatusGatewayTimeout, code.String())
	}
}

func TestUnknownCodesAreInternal(t *testing.T) {
	assert.Equal(t, Code(77).String(), "internal")
	assert.Equal(t, Code(77).Status(), http.StatusInternalServerError)
}

func TestErrorIncludesCodeAndCause(t *testing.T) {
	cause := errors.New("cause")
	err := Wrap(cause, NoRoute, "host %q", "h")
	assert.Equal(t, err.Error(), `no_route (1001): host "h": cause`)
	assert.Equal(t, New(NoRoute, "").Error(), "no_route (1001)")
	assert.Equal(t, err.Status(), http.StatusNotFound)
	assert.ErrorIs(t, err, cause)
}

func TestOfFindsCodeInChain(t *testing.T) {
	coded := New(UnknownKey, "key")
	found, ok := FromError(errors.Wrap(coded, "outer"))
	assert.Assert(t, ok)
	assert.Equal(t, found, coded)
	for _, other := range []error{nil, errors.New("plain"), (*Error)(nil)} {
		_, ok := FromError(other)
		assert.Assert(t, !ok)
	}
}

func TestWrite(t *testing.T) {
	recorder := httptest.NewRecorder()
	recorder.Header().Set("Retry-After", "1")
	Write(recorder, Wrap(errors.New("secret"), QuotaExceeded, "tenant %q", "t"))
	assert.Equal(t, recorder.Code, http.StatusTooManyRequests)
	assert.Equal(t, recorder.Header().Get("Content-Type"), "application/json")
	assert.Equal(t, recorder.Header().Get("X-Content-Type-Options"), "nosniff")
	assert.Equal(t, recorder.Header().Get("Retry-After"), "1")
	assert.Equal(t, recorder.Header().Get("Content-Length"), fmt.Sprint(recorder.Body.Len()))
	var body map[string]any
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
	assert.DeepEqual(t, body, map[string]any{"error": "quota_exceeded", "code": 1007.0, "detail": `tenant "t"`})
}
