package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pewterrudder/brain"
	"pewterrudder/internal/routes"
)

func TestPoolsExample(t *testing.T) {
	s, err := LoadService("../../deploy/pools-example.json")
	if err != nil {
		t.Fatal(err)
	}
	table, err := s.Table([]string{"lookup", "booking"})
	if err != nil {
		t.Fatal(err)
	}
	pools := s.PoolsInForce()
	for _, c := range []struct{ host, path, method, want string }{
		{"a.yard.example", "/booking/7", "POST", "booking"}, {"office.yard.example", "/booking/7", "GET", "office"},
		{"a.yard.example", "/bookings", "GET", "front"}, {"yard.example", "/booking", "POST", "front"},
	} {
		pool := s.DefaultPool()
		if e := table.Match(c.host, c.path, c.method, "booking"); e != routes.None {
			pool = table.Pool(e, routes.Key("key", "", ""))
		}
		if pools[pool].Name != c.want {
			t.Errorf("%+v goes to %s", c, pools[pool].Name)
		}
	}
	hits := map[string]int{}
	for i := range 1000 {
		hits[pools[table.Pool(table.Match("a.yard.example", "/booking", "GET", "lookup"), routes.Key("", fmt.Sprint(i), ""))].Name]++
	}
	if hits["booking"]+hits["canary"] != 1000 || hits["canary"] < 20 || hits["canary"] > 90 {
		t.Errorf("%v of 1,000 keys, want 5 %% for the canary", hits)
	}
	for m, want := range map[brain.Member]string{
		{Server: "s-1", Kind: "m2", Zone: "ridge-dc"}:                 "front",
		{Server: "s-1", Kind: "m4", Zone: "ridge-dc", Cell: 9}:        "front booking canary",
		{Server: "t-1", Kind: "m2", Zone: "harbor-dc"}:                "",
		{Server: "t-2", Kind: "office-small", Zone: "harbor-dc"}:      "office",
		{Server: "t-2", Kind: "office", Zone: "harbor-dc"}:            "",
		{Server: "t-3", Kind: "office-small", Zone: "ridge-dc"}:       "",
		{Server: "t-4", Kind: "office-", Zone: "harbor-dc", Cell: 10}: "office",
	} {
		var in []string
		for i := range pools {
			if pools[i].Members.Selector().Matches(&m) {
				in = append(in, pools[i].Name)
			}
		}
		if got := strings.Join(in, " "); got != want {
			t.Errorf("%+v is a member of %q, want %q", m, got, want)
		}
	}
}

func TestDefaultPool(t *testing.T) {
	s := DefaultService()
	pools := s.PoolsInForce()
	if len(pools) != 1 || pools[0].Name != "all" || s.DefaultPool() != 0 || !pools[0].Members.Selector().Matches(&brain.Member{}) {
		t.Errorf("%+v, default %d", pools, s.DefaultPool())
	}
	if err := s.read([]byte(`{"pools": [{"name": "a", "members": {"ids": ["ab*ba"]}}]}`)); err != nil || s.DefaultPool() != 0 {
		t.Errorf("a single pool is not the default: %v", err)
	}
	if p := s.Pools[0].Members.Selector(); p.Matches(&brain.Member{Server: "aba"}) || !p.Matches(&brain.Member{Server: "abba"}) {
		t.Error("* does not keep its prefix and suffix apart")
	}
	if err := s.read([]byte(`{"routes": [{"pool": "a"}, {"class": "x", "pool": "b"}], "pools": [{"name": "a"}, {"name": "b"}]}`)); err != nil || s.DefaultPool() != -1 {
		t.Errorf("a route that matches every request still needs a default: %v", err)
	}
}

// The classes are in the platform's configuration file and the routes in the settings file. Load checks both together.
func TestRoutesAreCheckedAgainstClasses(t *testing.T) {
	read := func(settings string) (*Config, error) {
		dir := t.TempDir()
		paths := map[string]string{"RELAY_CONFIG": filepath.Join(dir, "config.json"), SettingsVariable: filepath.Join(dir, "settings.json")}
		os.WriteFile(paths["RELAY_CONFIG"], []byte(validConfig), 0o600)
		os.WriteFile(paths[SettingsVariable], []byte(settings), 0o600)
		return Load(func(name string) string { return paths[name] })
	}
	one, err := read(`{"routes": [{"class": "lookup", "pool": "all"}]}`)
	if err != nil {
		t.Fatal(err)
	}
	same, _ := read(`{"routes": [{"class": "lookup", "pool": "all"},]}`)
	other, _ := read(`{"routes": [{"class": "lookup", "path": "/a", "pool": "all"}]}`)
	changedFlow, _ := read(`{"routes": [{"class": "lookup", "pool": "all"}], "flow": {"wait_ms": 1}}`)
	if one.Fixed(same) != nil || one.Fixed(other) != nil || len(one.Fixed(changedFlow)) != 1 { // only the change of flow needs a restart
		t.Errorf("differences: %v, %v, %v", one.Fixed(same), one.Fixed(other), one.Fixed(changedFlow))
	}
	for text, want := range map[string]string{
		`{"routes": [{"class": "bulk", "pool": "all"}]}`:                    `settings file: routes[0]: class: "bulk" can never match: the classes are lookup`,
		`{"routes": [{"pool": "all"}, {"class": "lookup", "pool": "all"}]}`: `settings file: routes[0] can never match: routes[1] goes before it`,
	} {
		if _, err := read(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

func TestRoutesAndPoolsErrorNamesKey(t *testing.T) {
	many := `{"pools": [{"name": "p"}` + strings.Repeat(`, {"name": "q"}`, 4096) + `]}`
	for text, want := range map[string]string{
		`{"routes": [{"path": "/a", "pool": "b"}]}`:                                                          `routes[0]: pool: there is none named "b"`,
		`{"routes": [{"path": "/a", "pool": "all"}, {"host": "", "path": "/a", "pool": "all"}]}`:             `routes[1] can never match: routes[0] matches just the same`,
		`{"routes": [{"path": "/a"}]}`:                                                                       `routes[0]: either pool or split`,
		`{"routes": [{"pool": "all", "split": []}]}`:                                                         `routes[0]: either pool or split`,
		`{"routes": [{"split": []}]}`:                                                                        `routes[0]: leads to no pool`,
		`{"routes": [{"split": [{"pool": "all", "weight": 0}]}]}`:                                            `routes[0]: weight: all are 0`,
		`{"routes": [{"path": "a", "pool": "all"}]}`:                                                         `routes[0]: path: "a" does not begin`,
		"{\"routes\": [{\"pool\": \"all\"},\n{\"path\": 3}]}":                                                `line 2: routes.path: number`,
		`{"routes": [{"prefix": "/"}]}`:                                                                      `"prefix"`,
		`{"pools": [{"members": {}}]}`:                                                                       `pools[0].name is missing`,
		`{"pools": [{"name": "p", "default": true}, {"name": "p"}]}`:                                         `pools[1] "p": pools[0] has the same name`,
		`{"pools": [{"name": "p", "default": true}, {"name": "q", "default": true}]}`:                        `pools[1] "q": default: pools[0] "p"`,
		`{"pools": [{"name": "p", "default": true}, {"name": "q"}]}`:                                         `pools[1] "q": no route leads to it`,
		`{"pools": [{"name": "p"}, {"name": "q"}], "routes": [{"path": "/q", "pool": "q"}]}`:                 `a call that no route matches has no pool`,
		`{"pools": [{"name": "p", "default": true}, {"name": "q"}], "routes": [{"path": "/", "pool": "q"}]}`: `pools[0] "p": default: routes[0] "" matches every call`,
		`{"pools": [{"name": "p", "max_open": -1}]}`:                                                         `pools[0] "p": max_open: -1`,
		`{"pools": [{"name": "p", "members": {"ids": ["a*b*"]}}]}`:                                           `pools[0] "p": members.ids[0]: "a*b*" has more than one *`,
		`{"pools": [{"name": "p", "members": {"zones": ["a", ""]}}]}`:                                        `members.zones[1] is empty`,
		`{"pools": [{"name": "p", "members": {"kinds": ["a", "a"]}}]}`:                                       `members.kinds[1]: "a" is listed twice`,
		`{"pools": [{"name": "p", "members": {"kinds": []}}]}`:                                               `members.kinds: an empty list`,
		`{"pools": [{"name": "p", "members": {"cells": []}}]}`:                                               `members.cells: an empty list`,
		many: `pools: 4097 are more than 4096`,
	} {
		s := DefaultService()
		if err := s.read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}
