package command

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// exported lets comparisons see the fields of the tests' own types.
var exported = cmp.AllowUnexported(result{}, received{})

const soundSettings = "node = \"a\"\nip = \"10.0.0.1\"\nzone = \"z\"\nport_range = [7100, 7115]\nseeds = [\"10.0.0.1:8105\"]\n"

func TestCheckSettings(t *testing.T) {
	cases := []struct {
		name, text string
		want       result
	}{
		{"sound", soundSettings, result{exitDone, "no faults\n", ""}},
		{"odd", soundSettings + "counts_for_quorum = true\nserves = [\"control\"]\nlisten = {control = \"10.0.0.1:8105\"}\n", result{exitDone,
			"warning: data_dir: is missing, so this router is not an acceptor although counts_for_quorum is true\nno faults\n", ""}},
		{"faulty", "node = \"a\"\nip = \"ten\"\nport_range = [7115, 7100]\n", result{exitFault, "",
			"fault: ip: \"ten\" is not an IP address\nfault: zone: is missing\nfault: port_range: first port 7115 is greater than last port 7100\n"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCommand("router", "--settings", writeFile(t, c.text), "--check-settings")
			assert.DeepEqual(t, r, c.want, exported)
		})
	}
}

func TestThePathOfTheSettingsComesFromTheEnvironment(t *testing.T) {
	t.Setenv("PEWTERRUDDER_CONFIG", writeFile(t, soundSettings))
	assert.DeepEqual(t, runCommand("router", "--check-settings"), result{exitDone, "no faults\n", ""}, exported)
}

func TestARouterWithAFaultySettingsFileDoesNotStart(t *testing.T) {
	assert.Equal(t, runCommand("router", "--settings", writeFile(t, "node = \"a\"\n")).status, exitFault)
	assert.Equal(t, runCommand("router", "--settings", t.TempDir()+"/none").status, exitFault)
}

func TestEachNamedCommandIsServed(t *testing.T) {
	for _, name := range Names() {
		if name != "help" { // it ends the process
			assert.Assert(t, runCommand(name).status != exitFault, name)
		}
	}
}
