package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// deploy/settings.json, the example for operators, must show every key with its default value.
func TestSettingsExampleMatchesDefaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var s Service // without defaults, so that a key missing from the example makes a difference
	if err := s.read(raw); err != nil || !reflect.DeepEqual(s, DefaultService()) {
		t.Errorf("%+v, %v; the defaults are %+v", s, err, DefaultService())
	}
	for _, section := range []any{Service{}, Route{}, Share{}, Pool{}, Members{}, Zones{}, Catalog{}, Box{}} { // elements of lists that are empty by default are shown in comments
		for k := range reflect.TypeOf(section).Fields() {
			if key := `"` + k.Tag.Get("json") + `":`; !strings.Contains(string(raw), key) {
				t.Errorf("deploy/settings.json lacks %s of %T", key, section)
			}
		}
	}
	shown := strings.NewReplacer("\n  // \"", "\n  \"", "\n  // ]", "\n  ]", "\n  // }", "\n  }", "\n  //   ", "\n    ").Replace(string(raw))
	if err := s.read([]byte(shown)); err != nil || len(s.Routes) != 2 || len(s.Pools) != 2 || len(s.Zones.Names) != 3 {
		t.Errorf("with the commented-out parts enabled: %v, %+v", err, s)
	}
	if f := s.Flow; f.Room(Limits{MemoryMB: 32}) != 6<<20 || f.Wait() != 250*time.Millisecond || f.ClientIdle() != 10*time.Second || f.Stall() != 0 {
		t.Errorf("%+v", f)
	}
}

func TestLoadService(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte("{\"flow\": {\"stall_ms\": 40.5, /* and */ \"max_upload_bytes\": 1000000,}} // so\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadService(path)
	if err != nil || s.Flow.Stall() != 40500*time.Microsecond || s.Flow.MaxUploadBytes != 1e6 || s.Flow.MaxAnswerBytes != 40<<20 {
		t.Errorf("%+v %v", s, err)
	}
}

func TestLoadServiceErrorNamesKey(t *testing.T) {
	for text, want := range map[string]string{
		`{"flow": {"max_answer_bytes": 65535}}`:                "flow.max_answer_bytes",
		`{"flow": {"max_upload_bytes": -1}}`:                   "flow.max_upload_bytes",
		`{"flow": {"memory_share": 0}}`:                        "flow.memory_share",
		`{"flow": {"memory_share": 0.6}}`:                      "flow.memory_share",
		`{"flow": {"wait_ms": -1}}`:                            "flow.wait_ms",
		`{"flow": {"stall_ms": 1e9}}`:                          "flow.stall_ms",
		`{"flow": {"client_idle_ms": 0}}`:                      "flow.client_idle_ms",
		`{"flow": {"wait_ms": "long"}}`:                        "flow.wait_ms",
		`{"catalog": {"addresses": ["http://a:1"]}}`:           "catalog.prefix: a store needs one",
		`{"catalog": {"prefix": "/a/"}}`:                       "catalog.addresses: there are none",
		`{"catalog": {"addresses": ["a:1"], "prefix": "/a/"}}`: "catalog.addresses[0]: \"a:1\" is no URL",
		`{"flow": {"stalls_ms": 1}}`:                           "stalls_ms",
		`{"flow": {`:                                           "line 1",
		`{"zones": {"tiers": [["a"]]}}`:                        "zones.tiers",
		`{"zones": {"names": ["a", "a"]}}`:                     "zones.names[1]",
		`{"zones": {"names": ["a"], "tiers": [["b"]]}}`:        "zones.tiers[0]",
		`{"zones": {"names": ["a"], "fill": 7}}`:               "zones.fill",
		`{"zones": {"names": ["a"], "silent_ms": 1}}`:          "zones.silent_ms",
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadService(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v, want it to contain %s", text, err, want)
		}
	}
	if _, err := LoadService(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a missing file was accepted")
	}
}
