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

const inForce = `{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f",
"limits":{"cores":0.5,"memory_mb":64,"sockets":384},
"settings":{"balancers":2,"zone":"a","discovery":"ask","weights":"off",
"categories":[{"name":"lookup","semantics":"safe","aim_ms":150,"deadline_ms":600,"importance":1},
{"name":"booking","semantics":"keyed","dedup_scope":"zone","window_ms":1000,"aim_ms":300,"deadline_ms":1000,"importance":5}],
"limits":{"max_attempts":4,"connect_timeout_ms":75,"idle_close_ms":60000},
"rules":{"ask_every_ms":10000,"drain_grace_ms":2000},"stats":{"how":"inline","columns":["utilization","backlog"]}}}`

// reloading loads a configuration and gives what reads another in its place.
func reloading(t *testing.T) (c *Config, reload func(text string) (*Config, error)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(inForce)
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	return c, func(text string) (*Config, error) {
		write(text)
		return c.Reload(env)
	}
}

func TestAFileThatCannotBeTakenUpIsNamed(t *testing.T) {
	_, reload := reloading(t)
	for _, c := range []struct{ from, to, says string }{
		{inForce, "", "unexpected end"},
		{inForce, "{}", "listen"},
		{inForce, "null", "listen"},
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
		if next, err := reload(strings.Replace(inForce, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%q for %q: %v, %+v", c.to, c.from, err, next)
		}
	}
	good := strings.Replace(inForce, `"name":"lookup"`, `"name":"search"`, 1)
	next, err := reload(strings.Replace(good, `"max_attempts":4`, `"max_attempts":2`, 1))
	if err != nil || next.Brain.Classes[0].Name != "search" || next.Brain.MaxAttempts != 2 {
		t.Errorf("%+v %v", next, err)
	}
}

// A thousand random damages: a file that is cut off anywhere, has lost a key, or has a piece written over is turned down, or
// says something else that is whole and sound. What is in force never changes.
func TestAThousandDamages(t *testing.T) {
	c, reload := reloading(t)
	before, _ := json.Marshal(c)
	rng := rand.New(rand.NewPCG(7, 7))
	cut, lost, over := 0, 0, 0
	for i := range 1000 {
		var text string
		switch i % 3 {
		case 0:
			text = inForce[:rng.IntN(len(inForce)-1)]
			cut++
		case 1:
			var all map[string]any
			json.Unmarshal([]byte(inForce), &all)
			drop(rng, all)
			raw, _ := json.Marshal(all)
			text = string(raw)
			lost++
		default:
			b := []byte(inForce)
			at := rng.IntN(len(b))
			n := 1 + rng.IntN(min(8, len(b)-at))
			copy(b[at:at+n], bytes.Repeat([]byte{`{}[]",:0-x`[rng.IntN(10)]}, n))
			text = string(b)
			over++
		}
		next, err := reload(text)
		switch {
		case i%3 < 2 && err == nil:
			t.Fatalf("taken: %s", text)
		case err == nil && next.check() != nil:
			t.Fatalf("taken and unsound: %s", text)
		}
		if after, _ := json.Marshal(c); !bytes.Equal(before, after) || !reflect.DeepEqual(c.Settings.Limits.MaxAttempts, 4) {
			t.Fatalf("what is in force has changed after %s", text)
		}
	}
	if cut+lost+over != 1000 || lost < 300 {
		t.Errorf("%d cut, %d without a key, %d written over", cut, lost, over)
	}
}

// drop takes a key out of an object somewhere, but for those that may come and go.
func drop(rng *rand.Rand, all map[string]any) {
	for {
		at, path := all, ""
		for {
			var keys []string
			for k := range at {
				keys = append(keys, k)
			}
			// a map's order is no draw
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
