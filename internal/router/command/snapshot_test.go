package command

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSnapshotIsPrinted(t *testing.T) {
	router := newFakeRouter(t, http.StatusOK, `{"format":1}`)
	r := runCommand("snapshot", "--control", router.address)
	assert.Equal(t, r.status, exitOK, r.errors)
	assert.Equal(t, r.out, `{"format":1}`+"\n")
	assert.DeepEqual(t, router.received(), []receivedCall{{method: http.MethodGet, path: "/v1/register/snapshot"}}, allowUnexported)
}

func TestSnapshotIsSent(t *testing.T) {
	router := newFakeRouter(t, http.StatusOK, "")
	r := runCommand("restore", "--control", router.address, writeFile(t, "snapshot"))
	assert.Equal(t, r.status, exitOK, r.errors)
	assert.Equal(t, r.out, "acknowledged\n")
	assert.DeepEqual(t, router.received(), []receivedCall{{method: http.MethodPost, path: "/v1/register/restore", body: "snapshot"}}, allowUnexported)
}

func TestRefusedSnapshotIsExplained(t *testing.T) {
	router := newFakeRouter(t, http.StatusConflict, `{"error":"snapshot_outdated","code":2019,"detail":"revision 8 is in force"}`)
	r := runCommand("restore", "--control", router.address, writeFile(t, "snapshot"))
	assert.Assert(t, r.status != exitOK)
	assert.Assert(t, strings.Contains(r.errors, "2019 snapshot_outdated (status 409): revision 8 is in force"), r.errors)
	assert.Equal(t, len(router.received()), 1, "a refusal holds for all routers")
}
