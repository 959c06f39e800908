package settings

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// platformFile returns the text of a file with every key, as the platform writes it.
func platformFile(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "platform.toml"))
	assert.NilError(t, err)
	return string(text)
}

// replaceLine replaces the line of the given key with other lines.
func replaceLine(t *testing.T, text, key, lines string) string {
	t.Helper()
	before, rest, found := strings.Cut("\n"+text, "\n"+key+" = ")
	assert.Assert(t, found, key)
	_, after, _ := strings.Cut(rest, "\n")
	return before + "\n" + lines + "\n" + after
}

func TestLoadCompleteFile(t *testing.T) {
	s, err := Load(filepath.Join("testdata", "platform.toml"))
	assert.NilError(t, err)
	assert.Equal(t, len(s.Warnings()), 0, "%v", s.Warnings())
	assert.Equal(t, s.Node, "edge-alder-1")
	assert.DeepEqual(t, s.PortRange, []int{7100, 7115})
	assert.DeepEqual(t, s.Seeds, []string{"10.7.0.11:8105", "10.8.0.12:8105", "10.9.0.13:8105"})
	assert.DeepEqual(t, s.Zones, map[string]string{"alder": "north", "birch": "north", "cedar": "south"})
	assert.DeepEqual(t, s.Listen, Listen{Front: "10.7.0.11:8102", Ready: "10.7.0.11:8103", Control: "10.7.0.11:8105"})
	assert.DeepEqual(t, s.Limits, Limits{CPUShare: 0.5, Cores: 2, MemoryMB: 200, MaxFDs: 4000, LinkMbps: 900, DiskMB: 32})
	assert.DeepEqual(t, s.Tolerate, Tolerate{Machines: 1})
	assert.Equal(t, s.Bounds.GraceS, 7.0)
	assert.Equal(t, s.Bounds.QuotaSlack, 90000.0)
	assert.Equal(t, s.HeartbeatMs, 900)
	assert.Assert(t, s.Bootstrap && s.IsAcceptor())
}

func TestFaultsNameTheirKeys(t *testing.T) {
	cases := []struct{ key, lines, fault string }{
		{"node", "", "node: is missing"},
		{"node", "node = 5", "node: is missing"},
		{"ip", "", "ip: is missing"},
		{"ip", `ip = "ten"`, `ip: "ten" is not an IP address`},
		{"zone", "", "zone: is missing"},
		{"port_range", "", "port_range: [] must have 2 items"},
		{"port_range", "port_range = [7100]", "port_range: [7100] must have 2 items"},
		{"port_range", "port_range = [7115, 7100]", "port_range: first port 7115 is greater than last port 7100"},
		{"port_range", "port_range = [0, 7100]", "port_range[0]: 0 is below 1"},
		{"port_range", "port_range = [7100, 70000]", "port_range[1]: 70000 is above 65535"},
		{"port_range", "port_range = [8105, 8110]", "listen.control: is the address for messages between routers, the first port of port_range"},
		{"seeds", `seeds = ["10.7.0.11"]`, `seeds[0]: "10.7.0.11" is not an address with a port`},
		{"control", "", "listen.control: is missing, though serves lists control"},
		{"control", `control = "8105"`, `listen.control: "8105" is not an address with a port`},
		{"front", "", "listen.front: is missing, though serves lists edge"},
		{"front", `front = "10.7.0.11:7100"`, "listen.front: is the address for messages between routers, the first port of port_range"},
		{"heartbeat_ms", "heartbeat_ms = -1", "heartbeat_ms: -1 is below 0"},
		{"memory_mb", "memory_mb = -4", "limits.memory_mb: -4 is below 0"},
		{"machines", "machines = -1", "tolerate.machines: -1 is below 0"},
		{"grace_s", "grace_s = -0.5", "bounds.grace_s: -0.5 is below 0"},
		{"quota_slack", "quota_slack = -1", "bounds.quota_slack: -1 is below 0"},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			_, err := Parse(replaceLine(t, platformFile(t), c.key, c.lines))
			var invalid *ValidationError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, len(invalid.Faults), 1, "%v", err)
			assert.Equal(t, invalid.Faults[0].String(), c.fault)
		})
	}
}

func TestAllFaultsAreListed(t *testing.T) {
	_, err := Parse("ip = \"ten\"\n[bounds]\ngrace_s = -1\n")
	assert.Error(t, err, `settings: node: is missing; ip: "ten" is not an IP address; zone: is missing; `+
		"port_range: [] must have 2 items; bounds.grace_s: -1 is below 0")
}

func TestSyntaxErrorNamesTheLine(t *testing.T) {
	_, err := Parse("node = \"a\"\nip = \n")
	var invalid *ValidationError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	assert.Equal(t, invalid.Faults[0].Key, "line 2")
}

func TestMissingFileIsNotValidationError(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	assert.Assert(t, errors.Is(err, os.ErrNotExist), "%v", err)
}

// TestUnknownOrMistypedValuesAreTolerated checks that a file of a later platform release, with new keys or other types,
// never keeps the router from starting.
func TestUnknownOrMistypedValuesAreTolerated(t *testing.T) {
	cases := []struct {
		name, key, lines string
		warnings         []string
	}{
		{name: "unknown key", key: "entry", lines: `sidecar = [1, "x"]`},
		{name: "unknown table", key: "again_s", lines: "again_s = 1\n[later]\nkey = 1"},
		{name: "unknown bound", key: "again_s", lines: `novel_ms = "soon"`},
		{name: "fraction of a millisecond", key: "drain_ms", lines: "drain_ms = 1500.4"},
		{name: "whole number for a fraction", key: "retry_ratio", lines: "retry_ratio = 1"},
		{name: "empty lists", key: "contracts", lines: "contracts = []"},
		{name: "no optional key", key: "heartbeat_ms", lines: ""},
		{"empty string for a number", "revoke_ms", `revoke_ms = ""`, []string{"bounds.revoke_ms:  is not a number; ignored"}},
		{"string for a boolean", "closed", `closed = "no"`, []string{"bounds.closed: no is not true or false; ignored"}},
		{"no finite number", "pass_ms", "pass_ms = inf", []string{"bounds.pass_ms: +Inf is not a number; ignored"}},
		{"no finite fraction", "quota_slack", "quota_slack = inf", []string{"bounds.quota_slack: +Inf is not a number; ignored"}},
		{"not a number", "again_s", "again_s = nan", []string{"bounds.again_s: NaN is not a number; ignored"}},
		{"list for a string", "role", `role = ["a"]`, []string{"role: [a] is not a string; ignored"}},
		{"mixed list", "contracts", `contracts = ["a", 1]`, []string{"contracts: [a 1] is not a list of items of the expected type; ignored"}},
		{"string for a list", "contracts", `contracts = "a"`, []string{"contracts: a is not a list of items of the expected type; ignored"}},
		{"no disk", "data_dir", `data_dir = ""`,
			[]string{"data_dir: is missing, so this router is not an acceptor although counts_for_quorum is true"}},
		{"control not served", "serves", `serves = ["edge"]`,
			[]string{"serves: does not list control, so this router is not an acceptor although counts_for_quorum is true"}},
		{"no ready address", "ready", "", []string{"listen.ready: is missing, so the readiness of the router cannot be queried"}},
		{"no seeds", "seeds", "seeds = []", []string{
			"seeds: is empty, so this router cannot discover other routers",
			"seeds: lists 0; tolerating the loss of tolerate.machines needs 3 acceptors"}},
		{"few seeds", "seeds", `seeds = ["10.7.0.11:8105"]`,
			[]string{"seeds: lists 1; tolerating the loss of tolerate.machines needs 3 acceptors"}},
		{"unlisted zone", "zone", `zone = "dogwood"`, []string{`zone: "dogwood" is not in the table zones`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse(replaceLine(t, platformFile(t), c.key, c.lines))
			assert.NilError(t, err)
			var warnings []string
			for _, warning := range s.Warnings() {
				warnings = append(warnings, warning.String())
			}
			assert.DeepEqual(t, warnings, c.warnings)
		})
	}
}

func TestTablesOfOtherTypesAreIgnored(t *testing.T) {
	s, err := Parse("node = \"a\"\nip = \"10.0.0.1\"\nzone = \"z\"\nport_range = [1, 2]\nlimits = 3\nzones = [1]\n")
	assert.NilError(t, err)
	assert.Equal(t, len(s.Warnings()), 3, "%v", s.Warnings()) // the third is about the missing seeds
	assert.Equal(t, s.Limits.Cores, DefaultCores)
}

func TestDefaults(t *testing.T) {
	s, err := Parse("node = \"a\"\nip = \"10.0.0.1\"\nzone = \"z\"\nport_range = [1, 2]\n")
	assert.NilError(t, err)
	assert.Equal(t, s.HeartbeatMs, DefaultHeartbeatMs)
	assert.Equal(t, s.Limits.Cores, DefaultCores)
	assert.Equal(t, s.Bounds.GraceS, float64(DefaultGraceS))
	assert.Equal(t, s.Limits.MemoryMB, 0)
}

func TestSecondsStayInRange(t *testing.T) {
	assert.Equal(t, Seconds(1.5), 1500*time.Millisecond)
	assert.Equal(t, Seconds(1e12), time.Duration(math.MaxInt64))
}
