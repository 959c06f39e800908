package scenario

import (
	"strings"
	"testing"
	"time"
)

const small = `{
	// a comment
	"name": "small",
	"nodes": [{"count": 2}],
	"classes": [
		{"name": "look", "work": {"mean": 9}, "aim": "150ms", "deadline": "600ms"},
	],
	"traffic": {"rate": 10},
}`

func TestErrorsNameKeyAndLine(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"count": 2`, `"count": 0`, `f:4: nodes[0].count: 0 is out of range`},
		{`"count": 2`, `"cuont": 2`, `f:4: nodes[0].cuont: unknown key`},
		{`"count": 2`, `"count": "two"`, `f:4: nodes[0].count: a whole number is wanted`},
		{`"150ms"`, `150`, `f:6: classes[0].aim: a time is written as "150ms" or "4s"`},
		{`"150ms"`, `"700ms"`, `f:6: classes[0].deadline: is before the aim`},
		{`{"mean": 9}`, `{}`, `f:6: classes[0].work.mean: 0 is out of range`},
		{`"rate": 10`, `"rate": [3, 1]`, `f:8: traffic.rate: a range is two numbers, the smaller first`},
		{`"rate": 10`, `"rate": 10, "rate": 11`, `f:8: traffic.rate: stands here twice`},
		{`"name": "small"`, `"faults": [{"kind": "fire"}], "name": "s"`, `f:3: faults[0].kind: "fire" is none of`},
		{`"name": "small"`, `"faults": [{"kind": "slow", "for": "1s"}], "name": "s"`, `f:3: faults[0].size:`},
		{`"name": "small"`, `"faults": [{"kind": "cut", "for": "1s"}], "name": "s"`, `f:3: faults[0].from: from and to`},
		{`"traffic": {`, `"traffic" {`, `f: line 8, column 12:`},
	} {
		src := strings.Replace(small, c.old, c.new, 1)
		if src == small {
			t.Fatalf("%s is not in the text", c.old)
		}
		_, err := Parse("f", []byte(src))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.new, err, c.want)
		}
	}
}

func TestDefaultsAndSettings(t *testing.T) {
	sc, err := Parse("f", []byte(small), "traffic.rate=[5, 20]", "nodes[0].zone=a", "clients.backoff=7ms", "rules.falls=true")
	if err != nil {
		t.Fatal(err)
	}
	if sc.Traffic.Rate != (Range{5, 20}) || sc.Nodes[0].Zone != "a" || sc.Clients.Backoff[1].D() != 7*time.Millisecond || !sc.Rules.Falls {
		t.Errorf("settings are not taken up: %+v", sc)
	}
	if sc.Nodes[0].Cores != 1 || sc.Classes[0].Repeat != "safe" || sc.Discovery.Blank.D() != 2*time.Second {
		t.Errorf("defaults are missing: %+v", sc)
	}
	if _, err := Parse("f", []byte(small), "traffic.rote=5"); err == nil || !strings.Contains(err.Error(), "traffic.rote") {
		t.Errorf("an unknown key in a setting: %v", err)
	}
}

func TestBuiltInScenariosAreSound(t *testing.T) {
	if len(List()) == 0 {
		t.Fatal("there are none")
	}
	for _, name := range List() {
		sc, err := Load(name)
		if err != nil {
			t.Error(err)
		} else if sc.Name != name {
			t.Errorf("%s calls itself %s", name, sc.Name)
		}
	}
}
