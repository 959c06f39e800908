package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/roster"
)

func loadRoster(t *testing.T, text string) (*Roster, error) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadService(path)
	return &s.Roster, err
}

// Without roster settings, discovery is the only source and is trusted unconditionally.
func TestRosterDefaultsToDiscovery(t *testing.T) {
	for _, text := range []string{`{}`, `{"flow": {"wait_ms": 1}, "roster": {}}`, `{"roster": {"sources": [{"kind": "discovery"}]}}`} {
		r, err := loadRoster(t, text)
		if err != nil || !r.DiscoveryAlone() || r.Sources[0].Stale() != 6*time.Second || r.Rules().SuspectFails != 0 {
			t.Errorf("%s: %+v %v", text, r, err)
		}
	}
	if r, err := loadRoster(t, `{"roster": {"suspects": {"on": true}}}`); err != nil || r.DiscoveryAlone() || r.Rules().SuspectFails != 3 {
		t.Errorf("%+v %v", r, err)
	}
}

// A configured list of sources replaces the default one, and nothing of the default is merged into it.
func TestRosterSources(t *testing.T) {
	r, err := loadRoster(t, `{"roster": {"hold_ms": 30000, "loss": {"share": 0.5}, "sources": [
		{"kind": "kv", "addresses": ["http://127.0.0.1:2379", "https://store"], "prefix": "/nodes/", "lost_ms": 0}, // never
		{"kind": "eureka", "name": "shops", "role": "joined", "addresses": ["http://127.0.0.1:8761/eureka"], "apps": ["SHOP"]},
		{"kind": "discovery", "role": "fallback", "stale_ms": 9000}]}}`)
	if err != nil {
		t.Fatal(err)
	}
	rules := r.Rules()
	want := []roster.Source{{Name: "kv", Stale: 15 * time.Second}, {Name: "shops", Role: roster.Joined, Stale: 65 * time.Second},
		{Name: "discovery", Role: roster.Fallback, Stale: 9 * time.Second, Lost: time.Minute}}
	for i := range want {
		if rules.Sources[i] != want[i] {
			t.Errorf("%+v, want %+v", rules.Sources[i], want[i])
		}
	}
	if rules.Hold != 30*time.Second || rules.LossShare != 0.5 || rules.LossFor != time.Minute || r.DiscoveryAlone() {
		t.Errorf("%+v", rules)
	}
}

func TestRosterErrorNamesKey(t *testing.T) {
	kv := `"kind": "kv", "addresses": ["http://a:1"], "prefix": "/n/"`
	source := func(text string) string { return `{"roster": {"hold_ms": 1000, "sources": [{` + text + `}]}}` }
	for text, want := range map[string]string{
		source(`"kind": "zookeeper"`):                                           "roster.sources[0].kind",
		source(`"kind": "discovery", "role": "king"`):                           "roster.sources[0].role",
		source(`"kind": "discovery", "addresses": ["http://a:1"]`):              "roster.sources[0].addresses",
		source(`"kind": "kv", "prefix": "/"`):                                   "roster.sources[0].addresses",
		source(`"kind": "kv", "prefix": "/", "addresses": ["a:1"]`):             "roster.sources[0].addresses[0]",
		source(`"kind": "kv", "addresses": ["http://a:1"]`):                     "roster.sources[0].prefix",
		source(kv + `, "apps": ["X"]`):                                          "roster.sources[0].apps",
		source(`"kind": "eureka", "addresses": ["http://a:1"], "apps": [""]`):   "roster.sources[0].apps[0]",
		source(`"kind": "eureka", "addresses": ["http://a:1"], "prefix": "/n"`): "roster.sources[0].prefix",
		source(kv + `, "stale_ms": 9`):                                          "roster.sources[0].stale_ms",
		source(kv + `, "lost_ms": 200`):                                         "roster.sources[0].lost_ms",
		source(kv + `, "lives_ms": 200`):                                        "lives_ms",
		source(kv + `}, {` + kv):                                                "sources[1].name",
		source(kv + `}, {"kind": "discovery"}, {"kind": "discovery"`):           "roster.sources: 2",
		`{"roster": {"sources": []}}`:                                           "sources",
		`{"roster": {"sources": [{` + kv + `}, {"kind": "discovery"}]}}`:        "roster.hold_ms",
		`{"roster": {"hold_ms": -1}}`:                                           "roster.hold_ms",
		`{"roster": {"loss": {"share": 1}}}`:                                    "roster.loss.share",
		`{"roster": {"loss": {"share": 0.5, "for_ms": 0}}}`:                     "roster.loss.for_ms",
		`{"roster": {"suspects": {"fails": 0}}}`:                                "roster.suspects.fails",
		`{"roster": {"suspects": {"over_ms": -1}}}`:                             "roster.suspects.over_ms",
		`{"roster": {"suspects": {"share": 0}}}`:                                "roster.suspects.share",
		`{"roster": {"suspects": {"trial_first_ms": 1}}}`:                       "roster.suspects.trial_first_ms",
		`{"roster": {"suspects": {"trial_most_ms": 1999}}}`:                     "roster.suspects.trial_most_ms",
		`{"roster": {"suspects": {"trial_ms": 1}}}`:                             "roster.suspects.trial_ms",
	} {
		if _, err := loadRoster(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want it to contain %s", text, err, want)
		}
	}
}
