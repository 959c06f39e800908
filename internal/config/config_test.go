package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:5000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":2,"zone":"a","discovery":"ask",
"weights":"off","categories":[{"name":"lookup","semantics":"safe","aim_ms":150,"deadline_ms":600,"importance":1}],
"tenants":[{"name":"acme","quota_per_s":5}],"limits":{"max_attempts":4,"connect_timeout_ms":75,"idle_close_ms":60000},
"rules":{"cold_from":0.16,"cold_ms":24000,"overload_factor":3},"stats":{"how":"inline","columns":["backlog"]}}}`

func loadConfig(t *testing.T, text string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		return map[string]string{"RELAY_CONFIG": path, "RELAY_LISTEN": "127.0.0.9:1"}[name]
	})
}

func TestLoadFillsInDefaults(t *testing.T) {
	c, err := loadConfig(t, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.4:5000" || c.Prng != 0x8c1f30d27a5be964 || c.Brain.ConnectTimeout != 75*time.Millisecond ||
		c.Brain.Classes[0].Repeat != brain.Safe || c.Brain.Columns[0] != brain.ColQueue {
		t.Errorf("Load: %+v", c)
	}
	if clients, kept, delegations := c.Limits.Budget(); clients+delegations+reservedSockets != 1024 ||
		delegations < 300 || kept >= 1024/3 {
		t.Errorf("budget %d, %d and %d", clients, kept, delegations)
	}
	c, err = loadConfig(t, strings.NewReplacer(`"listen":"127.0.0.4:5000",`, "", `,"sockets":1024`, "").Replace(validConfig))
	if err != nil || c.Listen != "127.0.0.9:1" || c.Limits.Sockets != defaultSockets {
		t.Errorf("%+v %v", c, err)
	}
}

// Operators have only the message to find the fault.
func TestLoadErrorNamesKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{validConfig, `{`, "RELAY_CONFIG"},
		{`127.0.0.4:5000`, `nowhere`, "listen"},
		{`127.2.0.1:8500`, `127.2.0.1`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"sockets":1024`, `"sockets":9`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"settings"`, `"setting"`, "settings is missing"},
		{`"zone":"a",`, ``, "zone is missing"},
		{`"balancers":2`, `"balancers":0`, "balancers"},
		{`"balancers":2`, `"balancers":"two"`, "balancers"},
		{`"max_attempts":4`, `"max_attempts":0`, "limits.max_attempts"},
		{`"aim_ms":150`, `"aim_ms":0`, "categories[0].aim_ms"},
		{`"deadline_ms":600`, `"deadline_ms":-5`, "categories[0].deadline_ms"},
		{`"semantics":"safe"`, `"semantics":"keyed"`, "categories[0].window_ms"},
		{`"semantics":"safe"`, `"semantics":"wild"`, "categories.semantics"},
		{`"name":"lookup",`, ``, "categories[0].name"},
		{`"quota_per_s":5`, `"quota_per_s":-5`, "tenants[0].quota_per_s"},
		{`"cold_from":0.16`, `"cold_from":1.6`, "rules.cold_from"},
		{`"overload_factor":3`, `"overload_factor":0`, "rules.overload_factor"},
		{`"idle_close_ms":60000`, `"idle_close_ms":0`, "limits.idle_close_ms"},
		{`"connect_timeout_ms":75,`, ``, "limits.connect_timeout_ms"},
		{`"how":"inline"`, `"how":"loud"`, "stats.how"},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if _, err := loadConfig(t, text); text == validConfig || err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want it to contain %q", c.to, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("without RELAY_CONFIG: %v", err)
	}
}
