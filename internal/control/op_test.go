package control

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestOperationsAreDecodedStrictly(t *testing.T) {
	all := []Op{Drain{"n1"}, Restore{"n1"}, Weight{"n1", 0.5}, Cap{"p", 3}, Note{"n1", "two\nlines"}, Pool{"p", []string{"a", "b"}}, Unpool{"p"}}
	all = append(all, Several{Ops: []Op{Drain{"n2"}, Weight{"n2", 1}}})
	for i, o := range all {
		e := Edit{ID: "a", By: "ann", Against: 7, What: o, Trial: time.Second, For: time.Hour, Force: true}
		raw, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		var back Edit
		if err := json.Unmarshal(raw, &back); err != nil || !reflect.DeepEqual(back, e) {
			t.Errorf("%s: %+v, %v", raw, back, err)
		}
		if o.Kind() != Kinds[i] {
			t.Errorf("kind %d is %s, want %s", i, o.Kind(), Kinds[i])
		}
		if err := e.check(); err != nil {
			t.Errorf("%s: %v", raw, err)
		}
	}
	for _, c := range [][2]string{
		{`{"kind":"drain","node":"n1","weight":2}`, "weight: drain has no such key"},
		{`{"kind":"drain","nod":"n1"}`, `unknown field "nod"`},
		{`{"kind":"drown","node":"n1"}`, `kind: "drown", where one of drain, restore`},
		{`{"kind":"several","ops":[{"kind":"cap","pool":"p","text":""}]}`, "ops[0]: text: cap has no such key"},
		{`{"kind":"cap","pool":"p","open":1.5}`, "1.5"},
		{`{"node":"n1"}`, `kind: ""`},
		{`{"kind":"drain","node":"n1"} {}`, "unexpected data after the JSON value"},
		{``, "EOF"},
	} {
		if _, err := DecodeOp([]byte(c[0])); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, want %q", c[0], err, c[1])
		}
	}
	for _, o := range []Op{Drain{"n1\x1b[2J"}, Note{"n1", "\r"}, Note{"n1", strings.Repeat("a", maxNoteLength+1)}, Drain{"\xff"}, Drain{strings.Repeat("a", maxNameLength+1)},
		Several{[]Op{Several{[]Op{Drain{"n1"}}}}}, Several{[]Op{nil}}, Several{}} {
		if _, err := New().Propose(newBox().now, Edit{ID: "a", By: "ann", What: o}); outcome(err) != string(Invalid) {
			t.Errorf("%q: %v", o, err)
		}
	}
}
