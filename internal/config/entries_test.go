package config

import (
	"reflect"
	"strings"
	"testing"
)

func TestDecodeEntries(t *testing.T) {
	r, err := DecodeRoute([]byte(` {"name": "a", "host": "x", "split": [{"pool": "p", "weight": 2}]} `), "a")
	if want := (Route{Name: "a", Host: "x", Split: []Share{{"p", 2}}}); err != nil || !reflect.DeepEqual(r, want) {
		t.Errorf("%+v %v", r, err)
	}
	p, err := DecodePool([]byte(`{"members": {"kinds": ["m*"]}, "max_open": 3}`), "b")
	if want := (Pool{Name: "b", MaxOpen: 3, Members: Members{Kinds: []string{"m*"}}}); err != nil || !reflect.DeepEqual(p, want) {
		t.Errorf("%+v %v", p, err)
	}
	if quota, share, err := DecodeTenant([]byte(`{"quota_per_s": 2.5, "share": 0.25}`), "c"); err != nil || quota != 2.5 || share != 0.25 {
		t.Errorf("%v %v %v", quota, share, err)
	}
}

func TestDecodeEntryErrors(t *testing.T) {
	for text, want := range map[string]string{
		``:                    "not a JSON object",
		`null`:                "not a JSON object",
		`[{}]`:                "not a JSON object",
		`{`:                   "unexpected EOF",
		`{} {}`:               "unexpected data",
		`{} x`:                "unexpected data",
		`{"name": "another"}`: `name: "another" differs from the name in the key`,
		`{"colour": 1}`:       `unknown field "colour"`,
	} {
		for kind, decode := range map[string]func() error{
			"route":  func() error { _, err := DecodeRoute([]byte(text), "a"); return err },
			"pool":   func() error { _, err := DecodePool([]byte(text), "a"); return err },
			"tenant": func() error { _, _, err := DecodeTenant([]byte(text), "a"); return err },
		} {
			if err := decode(); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s %s: %v, want %s", kind, text, err, want)
			}
		}
	}
	if _, err := DecodePool([]byte(`{"max_open": -1}`), "a"); err == nil {
		t.Error("DecodePool accepted a negative max_open")
	}
	if _, _, err := DecodeTenant([]byte(`{"quota_per_s": -1}`), "a"); err == nil {
		t.Error("DecodeTenant accepted a negative quota")
	}
	if _, _, err := DecodeTenant([]byte(`{"share": -1}`), "a"); err == nil {
		t.Error("DecodeTenant accepted a negative share")
	}
}
