package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
)

// Op is what an edit does: Drain, Restore, Weight, Cap, Note, Pool, Unpool, or Several of them. Its JSON is an object
// with a "kind" in lower case.
type Op interface {
	Kind() string
	String() string
	check() error
	parts() []part
	empty() bool // says nothing: the roster's or the settings' word counts
}

// Key is a thing that an edit writes: a word for what it is, a space, its name.
type Key string

const (
	thingDrain  = "drain"
	thingWeight = "weight"
	thingCap    = "cap"
	thingNote   = "note"
	thingPool   = "pool"
)

// Parts gives what sort of thing it is (drain, weight, cap, note, pool) and its name.
func (k Key) Parts() (thing, name string) {
	thing, name, _ = strings.Cut(string(k), " ")
	return thing, name
}

// part is what an edit says of one key.
type part struct {
	key Key
	op  Op
}

// parts gives those of an edit in the order of their keys.
func parts(o Op) []part {
	ps := o.parts()
	slices.SortFunc(ps, func(a, b part) int { return cmp.Compare(a.key, b.key) })
	return ps
}

// Drain has a node get no new calls.
type Drain struct {
	Node string `json:"node"`
}

// Restore takes back the operators' drain. What the roster says of the node still counts.
type Restore struct {
	Node string `json:"node"`
}

// Weight of a node among its pool's; 0: the roster's.
type Weight struct {
	Node   string  `json:"node"`
	Weight float64 `json:"weight"`
}

// Cap bounds the calls that are open at a pool; 0: none but the settings'.
type Cap struct {
	Pool string `json:"pool"`
	Open int    `json:"open"`
}

// Note is a text for the next shift, on anything; "": none.
type Note struct {
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Pool has a pool of these members, by the operators' word.
type Pool struct {
	Name    string   `json:"name"`
	Members []string `json:"members"`
}

// Unpool takes a pool away, and its cap with it.
type Unpool struct {
	Name string `json:"name"`
}

// Several are made, refused and undone as one. No two may write the same key.
type Several struct {
	Ops []Op `json:"ops"`
}

const (
	weightMost = 1000    // times the usual share; more is a slip of the hand
	capMost    = 1 << 20 // descriptors no box here has
)

func (Drain) Kind() string   { return "drain" }
func (Restore) Kind() string { return "restore" }
func (Weight) Kind() string  { return "weight" }
func (Cap) Kind() string     { return "cap" }
func (Note) Kind() string    { return "note" }
func (Pool) Kind() string    { return "pool" }
func (Unpool) Kind() string  { return "unpool" }
func (Several) Kind() string { return "several" }

func (o Drain) String() string   { return "drain " + o.Node }
func (o Restore) String() string { return "restore " + o.Node }
func (o Weight) String() string  { return fmt.Sprintf("weight %s %g", o.Node, o.Weight) }
func (o Cap) String() string     { return fmt.Sprintf("cap %s %d", o.Pool, o.Open) }
func (o Note) String() string    { return fmt.Sprintf("note %s %q", o.Subject, o.Text) }
func (o Pool) String() string    { return "pool " + o.Name + " " + strings.Join(o.Members, " ") }
func (o Unpool) String() string  { return "unpool " + o.Name }
func (o Several) String() string {
	var b []string
	for _, op := range o.Ops {
		b = append(b, op.String())
	}
	return strings.Join(b, "; ")
}

func (Drain) empty() bool    { return false }
func (Restore) empty() bool  { return true }
func (o Weight) empty() bool { return o.Weight == 0 }
func (o Cap) empty() bool    { return o.Open == 0 }
func (o Note) empty() bool   { return o.Text == "" }
func (Pool) empty() bool     { return false }
func (Unpool) empty() bool   { return false }
func (Several) empty() bool  { return false }

func key(thing, name string) Key { return Key(thing + " " + name) }

func (o Drain) parts() []part   { return []part{{key(thingDrain, o.Node), o}} }
func (o Restore) parts() []part { return []part{{key(thingDrain, o.Node), o}} }
func (o Weight) parts() []part  { return []part{{key(thingWeight, o.Node), o}} }
func (o Cap) parts() []part     { return []part{{key(thingCap, o.Pool), o}} }
func (o Note) parts() []part    { return []part{{key(thingNote, o.Subject), o}} }
func (o Pool) parts() []part    { return []part{{key(thingPool, o.Name), o}} }
func (o Unpool) parts() []part {
	return []part{{key(thingPool, o.Name), o}, {key(thingCap, o.Name), Cap{Pool: o.Name}}}
}
func (o Several) parts() (ps []part) {
	for _, op := range o.Ops {
		ps = append(ps, op.parts()...)
	}
	return ps
}

func (o Drain) check() error   { return checkName("node", o.Node) }
func (o Restore) check() error { return checkName("node", o.Node) }
func (o Weight) check() error {
	if !(o.Weight >= 0 && o.Weight <= weightMost) || o.Weight != 0 && o.Weight < 1.0/weightMost || math.IsNaN(o.Weight) {
		return fmt.Errorf("weight: %g, where 0 or %g to %d is wanted", o.Weight, 1.0/weightMost, weightMost)
	}
	return checkName("node", o.Node)
}
func (o Cap) check() error {
	if o.Open < 0 || o.Open > capMost {
		return fmt.Errorf("open: %d, where 0 to %d is wanted", o.Open, capMost)
	}
	return checkName("pool", o.Pool)
}
func (o Note) check() error {
	if len(o.Text) > textMost || !printable(o.Text, true) {
		return fmt.Errorf("text: %.40q, where up to %d bytes of printable text are wanted", o.Text, textMost)
	}
	return checkName("subject", o.Subject)
}
func (o Pool) check() error {
	if len(o.Members) == 0 || len(o.Members) > opsMost {
		return fmt.Errorf("members: %d, where 1 to %d are wanted", len(o.Members), opsMost)
	}
	seen := map[string]bool{}
	for i, m := range o.Members {
		if err := checkName(fmt.Sprintf("members[%d]", i), m); err != nil {
			return err
		}
		if seen[m] {
			return fmt.Errorf("members[%d]: %q is there twice", i, m)
		}
		seen[m] = true
	}
	return checkName("name", o.Name)
}
func (o Unpool) check() error { return checkName("name", o.Name) }
func (o Several) check() error {
	if len(o.Ops) == 0 || len(o.Ops) > opsMost {
		return fmt.Errorf("ops: %d, where 1 to %d are wanted", len(o.Ops), opsMost)
	}
	seen := map[Key]bool{}
	for i, op := range o.Ops {
		if _, is := op.(Several); is || op == nil {
			return fmt.Errorf("ops[%d]: several within several", i)
		}
		if err := op.check(); err != nil {
			return fmt.Errorf("ops[%d].%w", i, err)
		}
		for _, p := range op.parts() {
			if seen[p.key] {
				return fmt.Errorf("ops[%d]: %q is written twice", i, p.key)
			}
			seen[p.key] = true
		}
	}
	return nil
}

// tagged puts the kind before an object's keys.
func tagged(kind string, plain any) ([]byte, error) {
	b, err := json.Marshal(plain)
	if err != nil {
		return nil, err
	}
	return append([]byte(`{"kind":"`+kind+`",`), b[1:]...), nil
}

func (o Drain) MarshalJSON() ([]byte, error)   { type plain Drain; return tagged(o.Kind(), plain(o)) }
func (o Restore) MarshalJSON() ([]byte, error) { type plain Restore; return tagged(o.Kind(), plain(o)) }
func (o Weight) MarshalJSON() ([]byte, error)  { type plain Weight; return tagged(o.Kind(), plain(o)) }
func (o Cap) MarshalJSON() ([]byte, error)     { type plain Cap; return tagged(o.Kind(), plain(o)) }
func (o Note) MarshalJSON() ([]byte, error)    { type plain Note; return tagged(o.Kind(), plain(o)) }
func (o Pool) MarshalJSON() ([]byte, error)    { type plain Pool; return tagged(o.Kind(), plain(o)) }
func (o Unpool) MarshalJSON() ([]byte, error)  { type plain Unpool; return tagged(o.Kind(), plain(o)) }
func (o Several) MarshalJSON() ([]byte, error) { type plain Several; return tagged(o.Kind(), plain(o)) }

// Kinds of operations, in the order in which a help text has them.
var Kinds = []string{"drain", "restore", "weight", "cap", "note", "pool", "unpool", "several"}

// plainOp has every key of every kind.
type plainOp struct {
	Kind    string    `json:"kind"`
	Node    *string   `json:"node"`
	Weight  *float64  `json:"weight"`
	Pool    *string   `json:"pool"`
	Open    *int      `json:"open"`
	Subject *string   `json:"subject"`
	Text    *string   `json:"text"`
	Name    *string   `json:"name"`
	Members []string  `json:"members"`
	Ops     []plainOp `json:"ops"`
}

// take gives a key's value and clears it; what is left after all are taken has no place there.
func take[T any](p **T) (v T) {
	if *p != nil {
		v = **p
	}
	*p = nil
	return v
}

// DecodeOp reads an operation by its kind. It takes no key that the kind has not: an edit is made whole or not at all.
func DecodeOp(b []byte) (Op, error) {
	var p plainOp
	if err := strictly(b, &p); err != nil {
		return nil, err
	}
	return p.op()
}

func (p plainOp) op() (o Op, err error) {
	switch p.Kind {
	case "drain":
		o = Drain{take(&p.Node)}
	case "restore":
		o = Restore{take(&p.Node)}
	case "weight":
		o = Weight{take(&p.Node), take(&p.Weight)}
	case "cap":
		o = Cap{take(&p.Pool), take(&p.Open)}
	case "note":
		o = Note{take(&p.Subject), take(&p.Text)}
	case "pool":
		o, p.Members = Pool{take(&p.Name), p.Members}, nil
	case "unpool":
		o = Unpool{take(&p.Name)}
	case "several":
		var all Several
		for i, raw := range p.Ops {
			op, err := raw.op()
			if err != nil {
				return nil, fmt.Errorf("ops[%d]: %w", i, err)
			}
			all.Ops = append(all.Ops, op)
		}
		o, p.Ops = all, nil
	default:
		return nil, fmt.Errorf("kind: %q, where one of %s is wanted", p.Kind, strings.Join(Kinds, ", "))
	}
	p.Kind = ""
	if rest := reflect.ValueOf(p); !rest.IsZero() {
		for i := range rest.NumField() {
			if !rest.Field(i).IsZero() {
				return nil, fmt.Errorf("%s: %s has no such key", rest.Type().Field(i).Tag.Get("json"), o.Kind())
			}
		}
	}
	return o, nil
}
