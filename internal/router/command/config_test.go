package command

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const unclearBody = `{"error":"outcome_unclear","code":2014,"detail":"no quorum"}`

func TestChangeIsRetriedAtNextRouter(t *testing.T) {
	busy := newFakeRouter(t, http.StatusServiceUnavailable, unclearBody)
	healthy := newFakeRouter(t, http.StatusOK, "")
	addresses := strings.Join([]string{closedAddress(t), busy.address, healthy.address}, ", ")
	r := runCommand("config", "put", "--control", addresses, "--base", "6", writeFile(t, "{}"))
	assert.DeepEqual(t, r, result{exitOK, "acknowledged\n", ""}, allowUnexported)
	expected := []receivedCall{{http.MethodPost, "/v1/config/put", "6", "{}"}}
	assert.DeepEqual(t, busy.received(), expected, allowUnexported)
	assert.DeepEqual(t, healthy.received(), expected, allowUnexported)
}

func TestRefusalIsNotRetried(t *testing.T) {
	cases := []struct {
		status, exit int
		body, text   string
	}{
		{http.StatusBadRequest, exitRefused, `{"error":"zero_weight","code":2006,"detail":"route r-1"}`,
			"pewterrudder: config patch: refused: 2006 zero_weight (status 400): route r-1\n"},
		{http.StatusPreconditionFailed, exitStale, `{"error":"revision_mismatch","code":2012,"detail":"generation 9 is current"}`,
			"pewterrudder: config patch: refused: 2012 revision_mismatch (status 412): generation 9 is current\n"},
		{http.StatusRequestEntityTooLarge, exitRefused, "", "pewterrudder: config patch: refused: status 413\n"},
		{http.StatusNotFound, exitRefused, "404 page not found", "pewterrudder: config patch: refused: status 404\n"},
	}
	for _, c := range cases {
		first, second := newFakeRouter(t, c.status, c.body), newFakeRouter(t, http.StatusOK, "")
		r := runCommand("config", "patch", "--control", first.address+","+second.address, writeFile(t, "{}"))
		assert.DeepEqual(t, r, result{c.exit, "", c.text}, allowUnexported)
		assert.DeepEqual(t, first.received(), []receivedCall{{http.MethodPost, "/v1/config/patch", "0", "{}"}}, allowUnexported)
		assert.Equal(t, len(second.received()), 0)
	}
}

func TestUnclearOutcomeHasItsOwnExitStatus(t *testing.T) {
	busy := newFakeRouter(t, http.StatusServiceUnavailable, unclearBody)
	r := runCommand("config", "put", "--control", busy.address, "--patience", "0s", writeFile(t, "{}"))
	assert.Equal(t, r.status, exitUnclear)
	assert.Equal(t, r.errors, "pewterrudder: config put: no clear answer: "+busy.address+
		": 2014 outcome_unclear (status 503): no quorum\n")
}

func TestConfigGetPrintsConfigurationUnchanged(t *testing.T) {
	router := newFakeRouter(t, http.StatusOK, `{"generation":7}`)
	r := runCommand("config", "get", "--control", router.address)
	assert.DeepEqual(t, r, result{exitOK, "{\"generation\":7}\n", ""}, allowUnexported)
	assert.DeepEqual(t, router.received(), []receivedCall{{method: http.MethodGet, path: "/v1/config/get"}}, allowUnexported)
}

func TestAtMostTwoRedirectsAreFollowed(t *testing.T) {
	last := newFakeRouter(t, http.StatusOK, "")
	second := newFakeRouter(t, http.StatusTemporaryRedirect, "")
	second.header.Set("Location", "http://"+last.address+"/v1/config/put")
	first := newFakeRouter(t, http.StatusTemporaryRedirect, "")
	first.header.Set("Location", "http://"+second.address+"/v1/config/put")
	r := runCommand("config", "put", "--control", first.address, "--base", "3", writeFile(t, "{}"))
	assert.DeepEqual(t, r, result{exitOK, "acknowledged\n", ""}, allowUnexported)
	assert.DeepEqual(t, last.received(), []receivedCall{{http.MethodPost, "/v1/config/put", "3", "{}"}}, allowUnexported)

	third := newFakeRouter(t, http.StatusTemporaryRedirect, "")
	third.header.Set("Location", "http://"+first.address+"/v1/config/put")
	r = runCommand("config", "put", "--control", third.address, "--patience", "0s", writeFile(t, "{}"))
	assert.Equal(t, r.status, exitUnclear)
	assert.Assert(t, strings.Contains(r.errors, "more than 2 redirects"), r.errors)
}

func TestRetryDelayDoublesUntilTimeout(t *testing.T) {
	busy := newFakeRouter(t, http.StatusTooManyRequests, "")
	clock := time.Unix(0, 0)
	var delays []time.Duration
	routers, err := newFleetClient(busy.address, 8*time.Second)
	assert.NilError(t, err)
	routers.now = func() time.Time { return clock }
	routers.sleep = func(delay time.Duration) {
		delays = append(delays, delay)
		clock = clock.Add(delay)
	}
	_, err = routers.call(call{method: http.MethodGet, path: "/v1/config/get"})
	var unclear *unclearError
	assert.Assert(t, errors.As(err, &unclear))
	assert.Equal(t, unclear.Address, busy.address)
	assert.DeepEqual(t, delays, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
		1600 * time.Millisecond, 2 * time.Second, 2 * time.Second})
	assert.Equal(t, len(busy.received()), len(delays)+1)
}

func TestLargeBodiesGetMoreTime(t *testing.T) {
	small, large := call{}, call{body: make([]byte, 3<<20)}
	assert.Equal(t, small.timeout(), callTimeout)
	assert.Equal(t, large.timeout(), callTimeout+3*time.Second)
}

func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{
		{"config", "put", "--control", "nowhere", "-"},
		{"config", "put", "--control", "127.0.0.1:1,", "-"},
		{"config", "put", "-"},
		{"config", "get"},
		{"status"},
		{"explain"},
		{"nothing"},
	} {
		assert.Equal(t, runCommand(arguments...).status, exitUsage, "%v", arguments)
	}
}

func TestMissingFileIsAFailure(t *testing.T) {
	r := runCommand("config", "put", "--control", "127.0.0.1:1", t.TempDir()+"/none")
	assert.Equal(t, r.status, exitFailure)
}
