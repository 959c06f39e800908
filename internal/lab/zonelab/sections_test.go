package zonelab

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/scenario"
)

// The balancers take what a scenario's pools and routes come to as a settings file.
func TestTheBalancersTakeTheSections(t *testing.T) {
	for _, name := range PoolScenarios {
		sc, err := scenario.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		all, err := sections(sc)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := config.LoadService(path)
		if err != nil || len(s.Pools) != 2 || len(s.Routes) == 0 {
			t.Errorf("%s: %v, %s", name, err, raw)
		}
	}
}
