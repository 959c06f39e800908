package command

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const firstLog = `time="2026-01-01T00:00:00Z" level=info msg=ready node=edge-1
time="2026-01-01T00:00:10Z" level=info msg="result codes" codes="1007:5 1008:2" node=edge-1 succeeded=40
time="2026-01-01T00:00:20Z" level=info msg="result codes" codes="1008:1 9999:1" node=edge-1 succeeded=10
`

const secondLog = `time="2026-01-01T00:00:20Z" level=info msg="result codes" codes="1008:30" node=edge-2 succeeded=7
`

func TestExplainSumsUpLogs(t *testing.T) {
	r := runCommand("explain", writeFile(t, firstLog), writeFile(t, secondLog))
	assert.Equal(t, r.status, exitOK, r.errors)
	golden.Assert(t, r.out, "explain.txt")
}

func TestExplainWithoutCounts(t *testing.T) {
	assert.DeepEqual(t, runCommand("explain", writeFile(t, "ready\n")), result{exitOK, "no line counts result codes\n", ""}, allowUnexported)
}

func TestExplainFailsForMissingFile(t *testing.T) {
	assert.Equal(t, runCommand("explain", t.TempDir()+"/none").status, exitFailure)
}
