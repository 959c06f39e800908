package command

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// allowUnexported lets comparisons access the unexported fields of the test types.
var allowUnexported = cmp.AllowUnexported(result{}, receivedCall{})

const validSettings = "node = \"a\"\nip = \"10.0.0.1\"\nzone = \"z\"\nport_range = [7100, 7115]\nseeds = [\"10.0.0.1:8105\"]\n"

func TestCheckSettings(t *testing.T) {
	cases := []struct {
		name, text string
		want       result
	}{
		{"valid", validSettings, result{exitOK, "no faults\n", ""}},
		{"warning", validSettings + "counts_for_quorum = true\nserves = [\"control\"]\nlisten = {control = \"10.0.0.1:8105\"}\n", result{exitOK,
			"warning: data_dir: is missing, so this router is not an acceptor although counts_for_quorum is true\nno faults\n", ""}},
		{"invalid", "node = \"a\"\nip = \"ten\"\nport_range = [7115, 7100]\n", result{exitFailure, "",
			"fault: ip: \"ten\" is not an IP address\nfault: zone: is missing\nfault: port_range: first port 7115 is greater than last port 7100\n"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCommand("router", "--settings", writeFile(t, c.text), "--check-settings")
			assert.DeepEqual(t, r, c.want, allowUnexported)
		})
	}
}

func TestSettingsPathFromEnvironment(t *testing.T) {
	t.Setenv("PEWTERRUDDER_CONFIG", writeFile(t, validSettings))
	assert.DeepEqual(t, runCommand("router", "--check-settings"), result{exitOK, "no faults\n", ""}, allowUnexported)
}

func TestRouterDoesNotStartWithInvalidSettings(t *testing.T) {
	assert.Equal(t, runCommand("router", "--settings", writeFile(t, "node = \"a\"\n")).status, exitFailure)
	assert.Equal(t, runCommand("router", "--settings", t.TempDir()+"/none").status, exitFailure)
}

func TestEachListedCommandExists(t *testing.T) {
	for _, name := range Names() {
		if name != "help" { // help exits the process
			assert.Assert(t, runCommand(name).status != exitFailure, name)
		}
	}
}
