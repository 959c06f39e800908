package command

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"pewterrudder/internal/router/status"
)

// exampleStatus returns the status of a router that is not ready and has no quorum.
func exampleStatus() status.Status {
	return status.Status{
		Node: "edge-alder-1", Zone: "alder", Version: "v1", UptimeS: 3725.4, Reason: "waiting for a configuration",
		Configuration: status.Configuration{Generation: 7, Revision: 2},
		Register: status.Register{Epoch: 4, Replica: status.ReplicaOpen,
			Voters:   []status.Acceptor{{ID: "a", Address: "10.0.0.1:7100", Live: true}, {ID: "b", Address: "10.0.0.2:7100"}},
			Previous: []status.Acceptor{{ID: "c", Address: "10.0.0.3:7100", Live: true}}},
		Shares: status.Shares{Coordinator: "10.0.0.1:7100", Term: 9, SilentS: 0.24, Tenants: []status.TenantShare{
			{Tenant: "kaje80", PerS: 5000, Balance: 120, StandingPerS: 16.7, AtLimit: true}, {Tenant: "lomu3", PerS: 90, Balance: -4}}},
		Members:   status.MemberCount{Live: 2, Failed: 1},
		Instances: status.InstanceCount{Ready: 5, Draining: 1},
		Requests: status.Requests{Succeeded: 100, ClientErrors: 4, ServerErrors: 3, AbortedResponses: 1, ClientDisconnects: 2, NeverSent: 6, Rejected: 7,
			MayHaveRun: 8, Connections: 9, BodyBytes: 1024},
		Codes:  []status.CodeCount{{Code: 1007, Name: "quota_exceeded", Count: 4}, {Code: 1008, Name: "no_instance", Count: 3}},
		Memory: status.Memory{Heap: 20 << 20, Total: 31 << 20, Limit: 60 << 20, Goroutines: 42},
	}
}

// encodeJSON returns a value as a router sends it.
func encodeJSON(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	assert.NilError(t, err)
	return string(text)
}

func TestStatusOutput(t *testing.T) {
	router := newFakeRouter(t, http.StatusOK, encodeJSON(t, exampleStatus()))
	r := runCommand("status", "--control", router.address)
	assert.Equal(t, r.status, exitOK, r.errors)
	golden.Assert(t, r.out, "status.txt")
	assert.DeepEqual(t, router.received(), []receivedCall{{method: http.MethodGet, path: "/v1/status"}}, allowUnexported)
}

func TestStatusOfStartingRouter(t *testing.T) {
	starting := status.Status{Node: "edge-alder-1", Reason: "starting", Register: status.Register{Replica: status.ReplicaOpening}}
	r := runCommand("status", "--control", newFakeRouter(t, http.StatusOK, encodeJSON(t, starting)).address)
	assert.Assert(t, strings.Contains(r.out, "no acceptor set known; own replica: opening"), r.out)
	assert.Assert(t, strings.Contains(r.out, "no: starting"), r.out)
}

// TestDescribeShares covers each state: this router leads, no coordinator known, coordinator not heard yet, and heard.
func TestDescribeShares(t *testing.T) {
	for wanted, shares := range map[string]status.Shares{
		"NO COORDINATOR KNOWN":                       {SilentS: -1},
		"divided here, term 3":                       {Coordinator: "10.0.0.1:7100", IsCoordinator: true, Term: 3},
		"divided by 10.0.0.1:7100, not heard yet":    {Coordinator: "10.0.0.1:7100", SilentS: -1},
		"divided by 10.0.0.1:7100, term 3, heard 2.": {Coordinator: "10.0.0.1:7100", Term: 3, SilentS: 2},
	} {
		text := describeShares(&shares)
		assert.Assert(t, strings.HasPrefix(text, wanted), text)
	}
}

func TestMembersOutput(t *testing.T) {
	members := []status.Member{
		{Node: "edge-alder-1", Status: "alive", Zone: "alder", Region: "north", Control: "10.0.0.1:8105", Address: "10.0.0.1:7100", Acceptor: "a"},
		{Node: "edge-birch-1", Status: "failed", Zone: "birch", Region: "north", Control: "10.0.0.2:8105", Address: "10.0.0.2:7100", SilentS: 65},
	}
	r := runCommand("members", "--control", newFakeRouter(t, http.StatusOK, encodeJSON(t, members)).address)
	assert.Equal(t, r.status, exitOK, r.errors)
	golden.Assert(t, r.out, "members.txt")
}

func TestInstancesOutput(t *testing.T) {
	instances := []status.Instance{
		{ID: "i-1", Backend: "pool-a", State: "ready", Slots: 16, Zone: "alder", Address: "10.1.0.1:8080", Generation: "v1", Seq: 4, Holder: "edge-alder-1"},
		{ID: "i-22", Backend: "pool-b", State: "draining", Slots: 8, Zone: "birch", Address: "10.1.0.2:8080", Seq: 9, Holder: "edge-birch-1"},
	}
	r := runCommand("instances", "--control", newFakeRouter(t, http.StatusOK, encodeJSON(t, instances)).address)
	assert.Equal(t, r.status, exitOK, r.errors)
	golden.Assert(t, r.out, "instances.txt")
}

func TestJSONOutput(t *testing.T) {
	router := newFakeRouter(t, http.StatusOK, `[{"id":"i-1"}]`)
	assert.DeepEqual(t, runCommand("instances", "--json", "--control", router.address), result{exitOK, "[{\"id\":\"i-1\"}]\n", ""}, allowUnexported)
}

// TestEachRouterIsQueried checks that an unreachable router does not hide the responses of the others.
func TestEachRouterIsQueried(t *testing.T) {
	first, last := newFakeRouter(t, http.StatusOK, "1"), newFakeRouter(t, http.StatusOK, "2")
	silent := closedAddress(t)
	r := runCommand("status", "--json", "--control", first.address+","+silent+","+last.address)
	assert.Equal(t, r.status, exitUnclear)
	assert.Equal(t, r.out, "1\n2\n")
	assert.Assert(t, strings.Contains(r.errors, silent), r.errors)
}

func TestMalformedResponseIsAFailure(t *testing.T) {
	r := runCommand("members", "--control", newFakeRouter(t, http.StatusOK, "<html>").address)
	assert.Equal(t, r.status, exitFailure)
}

func TestVersions(t *testing.T) {
	assert.Equal(t, runCommand("version").out, "this program "+status.Version()+"\n")
	router := newFakeRouter(t, http.StatusOK, encodeJSON(t, exampleStatus()))
	assert.Equal(t, runCommand("version", "--control", router.address).out, "this program "+status.Version()+"\nedge-alder-1 v1\n")
}
