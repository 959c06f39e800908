package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"pewterrudder/lab"
)

// Flaw is a fault of a scenario file, at a key.
type Flaw struct {
	File string
	Line int // 0: not known
	Key  string
	Text string
}

func (f *Flaw) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Key == "" {
		return at + ": " + f.Text
	}
	return at + ": " + f.Key + ": " + f.Text
}

// List names the scenarios that are built in, in order.
func List() []string {
	entries, _ := lab.Files.ReadDir(".")
	var names []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), lab.Suffix); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Source gives the text of a built-in scenario, or of a file.
func Source(nameOrPath string) (file string, src []byte, err error) {
	if src, err := lab.Files.ReadFile(nameOrPath + lab.Suffix); err == nil {
		return nameOrPath + lab.Suffix, src, nil
	}
	src, err = os.ReadFile(nameOrPath)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(nameOrPath, "./") {
		err = fmt.Errorf("no scenario is called %q; there are %s", nameOrPath, strings.Join(List(), ", "))
	}
	return nameOrPath, src, err
}

// Load reads a built-in scenario by name, or a file by path, with some keys set otherwise: "traffic.load=0.8".
func Load(nameOrPath string, set ...string) (*Scenario, error) {
	file, src, err := Source(nameOrPath)
	if err != nil {
		return nil, err
	}
	return Parse(file, src, set...)
}

// Parse reads a scenario. The error, if any, is a *Flaw.
func Parse(file string, src []byte, set ...string) (*Scenario, error) {
	tree, err := hujson.Parse(src)
	if err != nil {
		return nil, &Flaw{File: file, Text: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	for _, s := range set {
		if err := assign(&tree, s); err != nil {
			return nil, &Flaw{File: file, Key: s, Text: err.Error()}
		}
	}
	// Without this an unknown or wrong key would be told by encoding/json, which knows neither its path nor its line.
	if flaw := walk(&tree, reflect.TypeFor[Scenario](), ""); flaw != nil {
		flaw.File, flaw.Line = file, lineOf(src, &tree, flaw.Key)
		return nil, flaw
	}
	plain := tree.Clone()
	plain.Standardize()
	sc := Default()
	dec := json.NewDecoder(bytes.NewReader(plain.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&sc); err != nil {
		return nil, &Flaw{File: file, Text: err.Error()}
	}
	if flaw := sc.Check(); flaw != nil {
		flaw.File, flaw.Line = file, lineOf(src, &tree, flaw.Key)
		return nil, flaw
	}
	return &sc, nil
}

// assign carries out "a.b[1].c=value"; a value that is not JSON is taken as text.
func assign(tree *hujson.Value, set string) error {
	key, value, ok := strings.Cut(set, "=")
	if !ok {
		return errors.New("KEY=VALUE is wanted")
	}
	if !json.Valid([]byte(value)) {
		quoted, _ := json.Marshal(value)
		value = string(quoted)
	}
	steps := strings.Split(pointer(key), "/")
	for i := 2; i < len(steps); i++ {
		if at := strings.Join(steps[:i], "/"); tree.Find(at) == nil {
			if err := tree.Patch(patch("add", at, "{}")); err != nil {
				return err
			}
		}
	}
	op, at := "add", strings.Join(steps, "/")
	if tree.Find(at) != nil {
		op = "replace"
	}
	return tree.Patch(patch(op, at, value))
}

func patch(op, at, value string) []byte {
	return fmt.Appendf(nil, `[{"op":%q,"path":%q,"value":%s}]`, op, at, value)
}

// pointer turns "a.b[1].c" into the JSON pointer "/a/b/1/c".
func pointer(key string) string {
	return "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(key)
}

// lineOf finds the line of a key, or of what it would stand in.
func lineOf(src []byte, tree *hujson.Value, key string) int {
	for at := pointer(key); at != "" && at != "/"; at = at[:strings.LastIndexByte(at, '/')] {
		if v := tree.Find(at); v != nil && v.StartOffset > 0 && v.StartOffset <= len(src) {
			return 1 + bytes.Count(src[:v.StartOffset], []byte("\n"))
		}
	}
	return 1
}

var leaf = reflect.TypeFor[json.Unmarshaler]()

// walk holds a value against the type that it is for.
func walk(v *hujson.Value, t reflect.Type, key string) *Flaw {
	switch t.Kind() {
	case reflect.Struct:
		o, ok := v.Value.(*hujson.Object)
		if !ok {
			return &Flaw{Key: key, Text: "an object in braces is wanted"}
		}
		met := map[string]bool{}
		for i := range o.Members {
			m := &o.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			at := join(key, name)
			if met[name] {
				return &Flaw{Key: at, Text: "stands here twice"}
			}
			met[name] = true
			f, ok := field(t, name)
			if !ok {
				return &Flaw{Key: at, Text: "unknown key"}
			}
			if flaw := walk(&m.Value, f, at); flaw != nil {
				return flaw
			}
		}
		return nil
	case reflect.Slice:
		if reflect.PointerTo(t).Implements(leaf) {
			break
		}
		if l, ok := v.Value.(hujson.Literal); ok && string(l) == "null" {
			return nil // an empty list, as encoding/json writes it
		}
		a, ok := v.Value.(*hujson.Array)
		if !ok {
			return &Flaw{Key: key, Text: "a list in brackets is wanted"}
		}
		for i := range a.Elements {
			if flaw := walk(&a.Elements[i], t.Elem(), key+"["+strconv.Itoa(i)+"]"); flaw != nil {
				return flaw
			}
		}
		return nil
	}
	c := v.Clone()
	c.Standardize()
	to := reflect.New(t)
	if err := json.Unmarshal(c.Pack(), to.Interface()); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return &Flaw{Key: key, Text: "a " + word(t) + " is wanted"}
		}
		return &Flaw{Key: key, Text: err.Error()}
	}
	return nil
}

func word(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Int:
		return "whole number"
	}
	return "number"
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func field(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
