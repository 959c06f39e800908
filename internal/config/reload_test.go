package config

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const currentConfig = `{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f",
"limits":{"cores":0.5,"memory_mb":64,"sockets":384},
"settings":{"balancers":2,"zone":"a","discovery":"ask","weights":"off",
"categories":[{"name":"lookup","semantics":"safe","aim_ms":150,"deadline_ms":600,"importance":1},
{"name":"booking","semantics":"keyed","dedup_scope":"zone","window_ms":1000,"aim_ms":300,"deadline_ms":1000,"importance":5}],
"limits":{"max_attempts":4,"connect_timeout_ms":75,"idle_close_ms":60000},
"rules":{"ask_every_ms":10000,"drain_grace_ms":2000},"stats":{"how":"inline","columns":["utilization","backlog"]}}}`

// newReloader loads currentConfig and returns a function that writes another text to the file and reloads it.
func newReloader(t *testing.T) (c *Config, reload func(text string) (*Config, error)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(currentConfig)
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	return c, func(text string) (*Config, error) {
		write(text)
		return c.Reload(env)
	}
}

func TestReloadErrorNamesKey(t *testing.T) {
	_, reload := newReloader(t)
	for _, c := range []struct{ from, to, want string }{
		{currentConfig, "", "unexpected end"},
		{currentConfig, "{}", "listen"},
		{currentConfig, "null", "listen"},
		{`"discovery":"127.0.0.1:8500",`, "", "discovery"},
		{`"name":"n3",`, "", "name"},
		{`"zone":"a",`, "", "zone"},
		{`"max_attempts":4,`, "", "max_attempts"},
		{`"drain_grace_ms":2000`, `"x":1`, "rules.drain_grace_ms"},
		{`,"importance":5`, "", "categories[1].importance"},
		{`"deadline_ms":600`, `"deadline_ms":0`, "categories[0].deadline_ms"},
		{`"deadline_ms":600`, `"deadline_ms":-5`, "categories[0].deadline_ms"},
		{`"deadline_ms":600`, `"deadline_ms":"600"`, "deadline_ms"},
		{`"deadline_ms":600`, `"deadline_ms":1e300`, "categories[0].deadline_ms"},
		{`"deadline_ms":600`, `"deadline_ms":null`, "categories[0].deadline_ms"},
		{`"max_attempts":4`, `"max_attempts":0`, "limits.max_attempts"},
		{`"max_attempts":4`, `"max_attempts":1.5`, "max_attempts"},
		{`"max_attempts":4`, `"max_attempts":"many"`, "max_attempts"},
		{`"max_attempts":4`, `"max_attempts":1000000`, "limits.max_attempts"},
		{`"name":"booking"`, `"name":"lookup"`, "categories[1].name"},
		{`"semantics":"safe"`, `"semantics":"sound"`, "semantics"},
	} {
		if next, err := reload(strings.Replace(currentConfig, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v, %+v", c.to, c.from, err, next)
		}
	}
	good := strings.Replace(currentConfig, `"name":"lookup"`, `"name":"search"`, 1)
	next, err := reload(strings.Replace(good, `"max_attempts":4`, `"max_attempts":2`, 1))
	if err != nil || next.Brain.Classes[0].Name != "search" || next.Brain.MaxAttempts != 2 {
		t.Errorf("%+v %v", next, err)
	}
}

// Reloads a file 1000 times after random damage: truncated, without a key, or partly overwritten. Reload must reject
// the file or return a valid configuration, and the current configuration must never change.
func TestReloadRejectsCorruptFiles(t *testing.T) {
	c, reload := newReloader(t)
	before, _ := json.Marshal(c)
	rng := rand.New(rand.NewPCG(7, 7))
	truncated, withoutKey, overwritten := 0, 0, 0
	for i := range 1000 {
		var text string
		switch i % 3 {
		case 0:
			text = currentConfig[:rng.IntN(len(currentConfig)-1)]
			truncated++
		case 1:
			var all map[string]any
			json.Unmarshal([]byte(currentConfig), &all)
			deleteRandomKey(rng, all)
			raw, _ := json.Marshal(all)
			text = string(raw)
			withoutKey++
		default:
			b := []byte(currentConfig)
			at := rng.IntN(len(b))
			n := 1 + rng.IntN(min(8, len(b)-at))
			copy(b[at:at+n], bytes.Repeat([]byte{`{}[]",:0-x`[rng.IntN(10)]}, n))
			text = string(b)
			overwritten++
		}
		next, err := reload(text)
		switch {
		case i%3 < 2 && err == nil:
			t.Fatalf("accepted: %s", text)
		case err == nil && next.check() != nil:
			t.Fatalf("accepted, though invalid: %s", text)
		}
		if after, _ := json.Marshal(c); !bytes.Equal(before, after) || !reflect.DeepEqual(c.Settings.Limits.MaxAttempts, 4) {
			t.Fatalf("the current configuration has changed after %s", text)
		}
	}
	if truncated+withoutKey+overwritten != 1000 || withoutKey < 300 {
		t.Errorf("%d truncated, %d without a key, %d overwritten", truncated, withoutKey, overwritten)
	}
}

// deleteRandomKey removes a random key at any depth, but not an optional one.
func deleteRandomKey(rng *rand.Rand, all map[string]any) {
	for {
		at, path := all, ""
		for {
			var keys []string
			for k := range at {
				keys = append(keys, k)
			}
			// sorted, since the seed does not determine the order of a map
			for i := range keys {
				for j := range i {
					if keys[j] > keys[i] {
						keys[i], keys[j] = keys[j], keys[i]
					}
				}
			}
			k := keys[rng.IntN(len(keys))]
			if inner, ok := at[k].(map[string]any); ok && rng.IntN(2) == 0 {
				at, path = inner, path+k+"."
				continue
			}
			if path == "" && k == "seed" {
				break
			}
			delete(at, k)
			return
		}
	}
}
