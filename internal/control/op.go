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

// Op is the operation of an edit: Drain, Restore, Weight, Cap, Note, Pool, Unpool, or Several of them. Its JSON is an
// object with a "kind" in lower case.
type Op interface {
	Kind() string
	String() string
	check() error
	keyOps() []keyOp
	resets() bool // returns its key to the roster or the settings
}

// Key identifies a setting that an edit writes: its type, a space, and a name.
type Key string

const (
	keyTypeDrain  = "drain"
	keyTypeWeight = "weight"
	keyTypeCap    = "cap"
	keyTypeNote   = "note"
	keyTypePool   = "pool"
)

// Parts returns the type of the key (drain, weight, cap, note, pool) and its name.
func (k Key) Parts() (keyType, name string) {
	keyType, name, _ = strings.Cut(string(k), " ")
	return keyType, name
}

// keyOp is the operation of an edit on one key.
type keyOp struct {
	key Key
	op  Op
}

// sortedKeyOps returns the operations per key of an edit, sorted by key.
func sortedKeyOps(o Op) []keyOp {
	ops := o.keyOps()
	slices.SortFunc(ops, func(a, b keyOp) int { return cmp.Compare(a.key, b.key) })
	return ops
}

// Drain stops new calls to a node.
type Drain struct {
	Node string `json:"node"`
}

// Restore ends the operators' drain of a node. A drain by the roster still applies.
type Restore struct {
	Node string `json:"node"`
}

// Weight sets the weight of a node within its pools; 0: the roster's.
type Weight struct {
	Node   string  `json:"node"`
	Weight float64 `json:"weight"`
}

// Cap limits the open calls of a pool; 0: only the limit of the settings.
type Cap struct {
	Pool string `json:"pool"`
	Open int    `json:"open"`
}

// Note attaches a text for the next shift to any subject; "" removes it.
type Note struct {
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Pool defines a pool by its members.
type Pool struct {
	Name    string   `json:"name"`
	Members []string `json:"members"`
}

// Unpool removes a pool and its cap.
type Unpool struct {
	Name string `json:"name"`
}

// Several operations are made, refused and undone as one. No two may write the same key.
type Several struct {
	Ops []Op `json:"ops"`
}

const (
	maxWeight = 1000    // times the default share; anything above is a typing error
	maxCap    = 1 << 20 // more than the file descriptors of any box
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

func (Drain) resets() bool    { return false }
func (Restore) resets() bool  { return true }
func (o Weight) resets() bool { return o.Weight == 0 }
func (o Cap) resets() bool    { return o.Open == 0 }
func (o Note) resets() bool   { return o.Text == "" }
func (Pool) resets() bool     { return false }
func (Unpool) resets() bool   { return false }
func (Several) resets() bool  { return false }

func newKey(keyType, name string) Key { return Key(keyType + " " + name) }

func (o Drain) keyOps() []keyOp   { return []keyOp{{newKey(keyTypeDrain, o.Node), o}} }
func (o Restore) keyOps() []keyOp { return []keyOp{{newKey(keyTypeDrain, o.Node), o}} }
func (o Weight) keyOps() []keyOp  { return []keyOp{{newKey(keyTypeWeight, o.Node), o}} }
func (o Cap) keyOps() []keyOp     { return []keyOp{{newKey(keyTypeCap, o.Pool), o}} }
func (o Note) keyOps() []keyOp    { return []keyOp{{newKey(keyTypeNote, o.Subject), o}} }
func (o Pool) keyOps() []keyOp    { return []keyOp{{newKey(keyTypePool, o.Name), o}} }
func (o Unpool) keyOps() []keyOp {
	return []keyOp{{newKey(keyTypePool, o.Name), o}, {newKey(keyTypeCap, o.Name), Cap{Pool: o.Name}}}
}
func (o Several) keyOps() (ops []keyOp) {
	for _, op := range o.Ops {
		ops = append(ops, op.keyOps()...)
	}
	return ops
}

func (o Drain) check() error   { return checkName("node", o.Node) }
func (o Restore) check() error { return checkName("node", o.Node) }
func (o Weight) check() error {
	if !(o.Weight >= 0 && o.Weight <= maxWeight) || o.Weight != 0 && o.Weight < 1.0/maxWeight || math.IsNaN(o.Weight) {
		return fmt.Errorf("weight: %g, where 0 or %g to %d is wanted", o.Weight, 1.0/maxWeight, maxWeight)
	}
	return checkName("node", o.Node)
}
func (o Cap) check() error {
	if o.Open < 0 || o.Open > maxCap {
		return fmt.Errorf("open: %d, where 0 to %d is wanted", o.Open, maxCap)
	}
	return checkName("pool", o.Pool)
}
func (o Note) check() error {
	if len(o.Text) > maxNoteLength || !printable(o.Text, true) {
		return fmt.Errorf("text: %.40q, where up to %d bytes of printable text are wanted", o.Text, maxNoteLength)
	}
	return checkName("subject", o.Subject)
}
func (o Pool) check() error {
	if len(o.Members) == 0 || len(o.Members) > maxOps {
		return fmt.Errorf("members: %d, where 1 to %d are wanted", len(o.Members), maxOps)
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
	if len(o.Ops) == 0 || len(o.Ops) > maxOps {
		return fmt.Errorf("ops: %d, where 1 to %d are wanted", len(o.Ops), maxOps)
	}
	seen := map[Key]bool{}
	for i, op := range o.Ops {
		if _, is := op.(Several); is || op == nil {
			return fmt.Errorf("ops[%d]: several within several", i)
		}
		if err := op.check(); err != nil {
			return fmt.Errorf("ops[%d].%w", i, err)
		}
		for _, p := range op.keyOps() {
			if seen[p.key] {
				return fmt.Errorf("ops[%d]: %q is written twice", i, p.key)
			}
			seen[p.key] = true
		}
	}
	return nil
}

// marshalWithKind encodes fields as an object whose first key is the kind.
func marshalWithKind(kind string, fields any) ([]byte, error) {
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	return append([]byte(`{"kind":"`+kind+`",`), b[1:]...), nil
}

func (o Drain) MarshalJSON() ([]byte, error) {
	type plain Drain
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Restore) MarshalJSON() ([]byte, error) {
	type plain Restore
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Weight) MarshalJSON() ([]byte, error) {
	type plain Weight
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Cap) MarshalJSON() ([]byte, error) {
	type plain Cap
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Note) MarshalJSON() ([]byte, error) {
	type plain Note
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Pool) MarshalJSON() ([]byte, error) {
	type plain Pool
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Unpool) MarshalJSON() ([]byte, error) {
	type plain Unpool
	return marshalWithKind(o.Kind(), plain(o))
}
func (o Several) MarshalJSON() ([]byte, error) {
	type plain Several
	return marshalWithKind(o.Kind(), plain(o))
}

// Kinds lists the kinds of operations in the order of the help text.
var Kinds = []string{"drain", "restore", "weight", "cap", "note", "pool", "unpool", "several"}

// opJSON is the JSON form of an Op, with the keys of every kind.
type opJSON struct {
	Kind    string   `json:"kind"`
	Node    *string  `json:"node"`
	Weight  *float64 `json:"weight"`
	Pool    *string  `json:"pool"`
	Open    *int     `json:"open"`
	Subject *string  `json:"subject"`
	Text    *string  `json:"text"`
	Name    *string  `json:"name"`
	Members []string `json:"members"`
	Ops     []opJSON `json:"ops"`
}

// take returns the value of a key and clears it. Keys left over do not belong to the kind.
func take[T any](p **T) (v T) {
	if *p != nil {
		v = **p
	}
	*p = nil
	return v
}

// DecodeOp decodes an operation. Keys that its kind does not have are errors, so that no part of an edit is ignored.
func DecodeOp(b []byte) (Op, error) {
	var p opJSON
	if err := decodeStrict(b, &p); err != nil {
		return nil, err
	}
	return p.op()
}

func (p opJSON) op() (o Op, err error) {
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
