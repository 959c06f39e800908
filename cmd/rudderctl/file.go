package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// wishes is a file of what operators want: JSON with comments. A section that is left out is left alone; one that is there
// is all that is wanted of its kind, and what the box has beyond it is taken back.
type wishes struct {
	Drained *[]string            `json:"drained"`
	Weights *map[string]float64  `json:"weights"`
	Caps    *map[string]int      `json:"caps"`
	Pools   *map[string][]string `json:"pools"`
	Gone    *[]string            `json:"gone"` // pools that are taken away
	Notes   *map[string]string   `json:"notes"`
}

// fileMost bounds a file; the box takes no longer edit.
const fileMost = 4 << 20

func readFile(path string) ([]byte, error) {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &advised{err, "", misuse}
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, fileMost+1))
	if err == nil && len(b) > fileMost {
		err = fmt.Errorf("%s: more than %d bytes", path, fileMost)
	}
	return b, err
}

func readWishes(path string) (w wishes, err error) {
	b, err := readFile(path)
	if err != nil {
		return w, err
	}
	wrong := func(err error) (wishes, error) {
		return w, &advised{fmt.Errorf("%s: %w", path, err), "sections are drained, weights, caps, pools, gone and notes", misuse}
	}
	plain, err := hujson.Standardize(b) // keeps the places of bytes, and so of lines
	if err != nil {
		return wrong(err)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return wrong(fmt.Errorf("line %d: %s: %s, where %s is wanted", 1+bytes.Count(plain[:kind.Offset], []byte("\n")), kind.Field, kind.Value, kind.Type))
		}
		return wrong(err)
	}
	return w, nil
}

// ops are what has to be done for a box with these wants to have the file's. What is there already, to stay, is left out.
func (f *wishes) ops(have control.Wants) (out []control.Op) {
	want := map[control.Key]control.Op{}
	sections := map[string]bool{}
	if f.Drained != nil {
		sections["drain"] = true
		for _, n := range *f.Drained {
			want[control.Key("drain "+n)] = control.Drain{Node: n}
		}
	}
	if f.Weights != nil {
		sections["weight"] = true
		for n, v := range *f.Weights {
			want[control.Key("weight "+n)] = control.Weight{Node: n, Weight: v}
		}
	}
	if f.Caps != nil {
		sections["cap"] = true
		for p, v := range *f.Caps {
			want[control.Key("cap "+p)] = control.Cap{Pool: p, Open: v}
		}
	}
	if f.Notes != nil {
		sections["note"] = true
		for s, v := range *f.Notes {
			want[control.Key("note "+s)] = control.Note{Subject: s, Text: v}
		}
	}
	if f.Pools != nil || f.Gone != nil {
		sections["pool"] = f.Pools != nil
		if f.Pools != nil {
			for p, members := range *f.Pools {
				want[control.Key("pool "+p)] = control.Pool{Name: p, Members: members}
			}
		}
		if f.Gone != nil {
			for _, p := range *f.Gone {
				want[control.Key("pool "+p)] = control.Unpool{Name: p}
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(want)) {
		if had, ok := have.Find(key); !ok || !had.Until.IsZero() || !same(had.What, want[key]) {
			out = append(out, want[key])
		}
	}
	for _, had := range have.All {
		thing, name := had.Key.Parts()
		if _, ok := want[had.Key]; ok || !sections[thing] {
			continue
		}
		switch thing {
		case "drain":
			out = append(out, control.Restore{Node: name})
		case "weight":
			out = append(out, control.Weight{Node: name})
		case "note":
			out = append(out, control.Note{Subject: name})
		case "cap":
			if p, ok := want[control.Key("pool "+name)].(control.Unpool); !ok || p.Name != name { // which takes the cap with it
				out = append(out, control.Cap{Pool: name})
			}
		case "pool":
			if _, gone := had.What.(control.Unpool); !gone {
				out = append(out, control.Unpool{Name: name})
			}
		}
	}
	return out
}

// same compares by what they say, in whatever order members stand.
func same(a, b control.Op) bool {
	p, ok := a.(control.Pool)
	q, is := b.(control.Pool)
	if ok && is {
		return p.Name == q.Name && slices.Equal(slices.Sorted(slices.Values(p.Members)), slices.Sorted(slices.Values(q.Members)))
	}
	return a.Kind() == b.Kind() && a.String() == b.String()
}

// one operation of several.
func one(ops []control.Op) control.Op {
	if len(ops) == 1 {
		return ops[0]
	}
	return control.Several{Ops: ops}
}

// differences gives what a file would change, and the revision that it was looked up at.
func (s *session) differences(path string) ([]control.Op, uint64, error) {
	f, err := readWishes(path)
	if err != nil {
		return nil, 0, err
	}
	w, err := s.box.Wants(s.ctx)
	return f.ops(w), w.Revision, err
}

// list prints what would be done.
func list(w io.Writer, ops []control.Op) {
	for _, op := range ops {
		fmt.Fprintln(w, "  "+op.String())
	}
}

type diffCommand struct {
	File string `arg:"" help:"JSON with comments; - is standard input."`
}

func (c *diffCommand) Run(s *session) error {
	ops, _, err := s.differences(c.File)
	if err != nil {
		return err
	}
	if err := s.show(ops, func(w io.Writer) {
		if len(ops) == 0 {
			fmt.Fprintln(w, "the box is as the file says")
			return
		}
		fmt.Fprintln(w, "apply would do:")
		list(w, ops)
	}); err != nil || len(ops) == 0 {
		return err
	}
	return told(refused)
}

type applyCommand struct {
	File string `arg:"" help:"JSON with comments; - is standard input, and then takes --yes."`
	editing
}

func (c *applyCommand) Run(s *session) error {
	ops, at, err := s.differences(c.File)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		return s.show(ops, func(w io.Writer) { fmt.Fprintln(w, "the box is as the file says; nothing was changed") })
	}
	if !c.Yes {
		list(s.say, ops)
	}
	if err := s.confirmed(fmt.Sprintf("make these %d changes, as one?", len(ops)), c.Yes); err != nil {
		return err
	}
	return c.make(s, at, one(ops))
}

type importCommand struct {
	File string `arg:"" help:"As export wrote it; - is standard input, and then takes --yes."`
	Yes  bool   `short:"y" help:"Do not ask."`
	ID   string `help:"The edit's own id: sent again, it is made once. Made up if left out."`
}

// Run makes one change of all that stays, and one of each word that has time left. Trials are left out: who made one is not
// here to confirm it.
func (c *importCommand) Run(s *session) error {
	b, err := readFile(c.File)
	if err != nil {
		return err
	}
	var x boxapi.Export
	if err := json.Unmarshal(b, &x); err != nil || x.Format != boxapi.ExportFormat {
		return &advised{fmt.Errorf("%s: not an export that this program knows (format %q, where %q is wanted)", c.File, x.Format, boxapi.ExportFormat),
			`"rudderctl export" writes one; "rudderctl apply" takes files written by hand`, misuse}
	}
	var timed []control.Want
	stay := wishes{Drained: new([]string), Weights: &map[string]float64{}, Caps: &map[string]int{}, Pools: &map[string][]string{},
		Gone: new([]string), Notes: &map[string]string{}}
	now := time.Now()
	for _, w := range x.Wants {
		switch {
		case w.Trial:
			fmt.Fprintf(s.say, "left out, on trial there: %s, by %s\n", w.What, w.By)
		case !w.Until.IsZero() && w.Until.Sub(now) < time.Second:
			fmt.Fprintf(s.say, "left out, over by now: %s, by %s\n", w.What, w.By)
		case !w.Until.IsZero():
			timed = append(timed, w)
		default:
			stay.add(w.What)
		}
	}
	have, err := s.box.Wants(s.ctx)
	if err != nil {
		return err
	}
	ops := stay.ops(have)
	ops = slices.DeleteFunc(ops, func(op control.Op) bool { // what has time left comes anew, below
		return slices.ContainsFunc(timed, func(w control.Want) bool { return takesBack(op, w.Key) })
	})
	id := c.ID
	if id == "" {
		id = boxclient.NewID()
	}
	type step struct {
		op   control.Op
		over time.Duration
	}
	var steps []step
	if len(ops) > 0 {
		steps = append(steps, step{one(ops), 0})
	}
	for _, w := range timed {
		if had, ok := have.Find(w.Key); ok && same(had.What, w.What) && had.Until.Sub(w.Until).Abs() < time.Second {
			continue
		}
		steps = append(steps, step{w.What, w.Until.Sub(now).Truncate(time.Millisecond)})
	}
	if len(steps) == 0 {
		return s.show([]control.Record{}, func(w io.Writer) { fmt.Fprintln(w, "the box is as the export says; nothing was changed") })
	}
	if !c.Yes {
		list(s.say, ops)
		for _, w := range timed {
			fmt.Fprintf(s.say, "  %s %s\n", w.What, until(w))
		}
	}
	if err := s.confirmed(fmt.Sprintf("make these changes, from box %q as of %s?", x.Box, clock(x.At)), c.Yes); err != nil {
		return err
	}
	all := []control.Record{}
	for i, st := range steps {
		edit := control.Edit{ID: fmt.Sprintf("%s.%d", id, i), Against: have.Revision, What: st.op, For: st.over}
		made, err := s.forced(c.Yes, func(ctx context.Context, force bool) (control.Record, error) {
			edit.Force = force
			return s.box.Edit(ctx, edit)
		})
		if err != nil {
			a := explain(err)
			return &advised{fmt.Errorf("%d of %d changes were made: %w", i, len(steps), a.error), fmt.Sprintf("import again, with --id %s", id), a.status}
		}
		all = append(all, made)
	}
	return s.show(all, func(w io.Writer) {
		for i := range all {
			fmt.Fprintf(w, "revision %d: %s\n", all[i].Revision, what(&all[i]))
		}
	})
}

// add takes a word over into the file.
func (f *wishes) add(op control.Op) {
	switch op := op.(type) {
	case control.Drain:
		*f.Drained = append(*f.Drained, op.Node)
	case control.Weight:
		(*f.Weights)[op.Node] = op.Weight
	case control.Cap:
		(*f.Caps)[op.Pool] = op.Open
	case control.Pool:
		(*f.Pools)[op.Name] = op.Members
	case control.Unpool:
		*f.Gone = append(*f.Gone, op.Name)
	case control.Note:
		(*f.Notes)[op.Subject] = op.Text
	}
}

// takesBack says that an operation takes back whatever is said at a key.
func takesBack(op control.Op, k control.Key) bool {
	thing, name := k.Parts()
	switch op := op.(type) {
	case control.Restore:
		return thing == "drain" && op.Node == name
	case control.Weight:
		return thing == "weight" && op.Node == name && op.Weight == 0
	case control.Cap:
		return thing == "cap" && op.Pool == name && op.Open == 0
	case control.Note:
		return thing == "note" && op.Subject == name && op.Text == ""
	case control.Unpool:
		return thing == "pool" && op.Name == name
	}
	return false
}
