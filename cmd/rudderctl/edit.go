package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// editing is what all edits share.
type editing struct {
	Trial time.Duration `help:"Goes back by itself after so long unless confirmed."`
	For   time.Duration `help:"Ends by itself after so long."`
	ID    string        `help:"The edit's own id: sent again, it is made once. Made up if left out."`
	Yes   bool          `short:"y" help:"Do not ask."`
}

// make makes an edit against a revision, and asks first where a pool would lose its last ready node.
func (e *editing) make(s *session, against uint64, op control.Op) error {
	edit := control.Edit{ID: e.ID, Against: against, What: op, Trial: e.Trial, For: e.For}
	if edit.ID == "" {
		edit.ID = boxclient.NewID()
	}
	made, err := s.forced(e.Yes, func(ctx context.Context, force bool) (control.Record, error) {
		edit.Force = force
		return s.box.Edit(ctx, edit)
	})
	var lost *boxclient.Lost
	if errors.As(err, &lost) {
		return &advised{err, fmt.Sprintf(`it may have been made: "rudderctl history" tells, or say the same again with --id %s, which makes it once`, edit.ID), unsure}
	}
	if err != nil {
		return err
	}
	return s.made(made)
}

// forced does something, and asks about the last ready node where the box does.
func (s *session) forced(yes bool, do func(context.Context, bool) (control.Record, error)) (control.Record, error) {
	made, err := do(s.ctx, false)
	var flaw *boxapi.Flaw
	if !errors.As(err, &flaw) || flaw.Code != string(control.Last) {
		return made, err
	}
	if err := s.confirmed(fmt.Sprintf("this leaves pool %s without a ready node: its calls will be refused. Do it all the same?", flaw.Pool), yes); err != nil {
		return made, err
	}
	return do(s.ctx, true)
}

// made tells of a change that counts, and what may be done about it next.
func (s *session) made(r control.Record) error {
	return s.show(r, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d: %s\n", r.Revision, what(&r))
		switch e := r.Edit; {
		case r.Kind != control.Edited:
		case e.Trial > 0:
			fmt.Fprintf(w, "  goes back by itself at %s, unless: rudderctl confirm %s\n", clock(r.Wall.Add(e.Trial)), r.ID)
		case e.For > 0:
			fmt.Fprintf(w, "  ends by itself at %s; sooner with: rudderctl undo %d\n", clock(r.Wall.Add(e.For)), r.Revision)
		default:
			fmt.Fprintf(w, "  to take it back: rudderctl undo %d\n", r.Revision)
		}
		if len(r.Empties) > 0 {
			fmt.Fprintf(w, "  NO READY NODE is left in: %s\n", strings.Join(r.Empties, ", "))
		}
	})
}

// unknownNode adds a guess at what was meant.
func (s *session) unknownNode(err error, node string) error {
	var flaw *boxapi.Flaw
	if !errors.As(err, &flaw) || flaw.Code != boxapi.NotFound {
		return err
	}
	next := `"rudderctl nodes" lists them`
	if all, _, err := s.box.Nodes(s.ctx); err == nil {
		if guess := nearest(all, node); guess != "" {
			next = "did you mean " + guess + "? " + next
		}
	}
	return &advised{err, next, refused}
}

// nearest is the node whose name differs by the fewest letters, if by no more than a third of them.
func nearest(all []boxapi.Node, name string) string {
	best, least := "", len(name)/3+2
	for _, n := range all {
		if d := distance(n.ID, name); d < least {
			best, least = n.ID, d
		}
	}
	return best
}

// distance is how many letters are to be put in, left out or exchanged (Levenshtein's).
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			d := corner
			if a[i] != b[j] {
				d = 1 + min(corner, row[j], row[j+1])
			}
			corner, row[j+1] = row[j+1], d
		}
	}
	return row[len(b)]
}

// look gives the revision that the person sees, and asks where a node is not listed.
func (s *session) look(node string, yes bool) (uint64, error) {
	all, at, err := s.box.Nodes(s.ctx)
	if err != nil {
		return 0, err
	}
	for _, n := range all {
		if n.ID == node {
			return at, nil
		}
	}
	question := fmt.Sprintf("no node is called %q now; the word would hold once one is listed. Do it?", node)
	if guess := nearest(all, node); guess != "" {
		question = fmt.Sprintf("no node is called %q now (did you mean %s?); the word would hold once one is listed. Do it?", node, guess)
	}
	return at, s.confirmed(question, yes)
}

// lookPool is the same for a pool.
func (s *session) lookPool(pool string, yes bool) (uint64, error) {
	all, at, err := s.box.Pools(s.ctx)
	if err != nil {
		return 0, err
	}
	for _, p := range all {
		if p.Name == pool {
			return at, nil
		}
	}
	return at, s.confirmed(fmt.Sprintf("no pool is called %q now; the word would hold once one is there. Do it?", pool), yes)
}

type drainCommand struct {
	Node string `arg:"" help:"Its name, as nodes lists it."`
	editing
}

func (c *drainCommand) Run(s *session) error {
	at, err := s.look(c.Node, c.Yes)
	if err != nil {
		return err
	}
	return c.make(s, at, control.Drain{Node: c.Node})
}

type restoreCommand struct {
	Node string `arg:"" help:"Its name, as nodes lists it."`
	editing
}

func (c *restoreCommand) Run(s *session) error {
	w, err := s.box.Wants(s.ctx)
	if err != nil {
		return err
	}
	if _, is := w.Find(control.Key("drain " + c.Node)); !is && c.ID == "" {
		return &advised{fmt.Errorf("%s: no operator drains it", c.Node), fmt.Sprintf(`"rudderctl why %s" says what it lacks`, c.Node), refused}
	}
	return c.make(s, w.Revision, control.Restore{Node: c.Node})
}

type setCommand struct {
	Weight setWeight `cmd:"" help:"Weight of a node."`
	Cap    setCap    `cmd:"" help:"Cap of a pool."`
	Pool   setPool   `cmd:"" help:"A pool with these members."`
	Unpool setUnpool `cmd:"" help:"Take a pool away."`
	Note   setNote   `cmd:"" help:"A note."`
}

type setWeight struct {
	Node   string  `arg:""`
	Weight float64 `arg:"" help:"Among its pool's; 0: the roster's."`
	editing
}

func (c *setWeight) Run(s *session) error {
	at, err := s.look(c.Node, c.Yes)
	if err != nil {
		return err
	}
	return c.make(s, at, control.Weight{Node: c.Node, Weight: c.Weight})
}

type setCap struct {
	Pool string `arg:""`
	Open int    `arg:"" help:"Most open calls; 0: the settings'."`
	editing
}

func (c *setCap) Run(s *session) error {
	at, err := s.lookPool(c.Pool, c.Yes)
	if err != nil {
		return err
	}
	return c.make(s, at, control.Cap{Pool: c.Pool, Open: c.Open})
}

type setPool struct {
	Name    string   `arg:""`
	Members []string `arg:"" help:"Names of nodes."`
	editing
}

func (c *setPool) Run(s *session) error {
	w, err := s.box.Wants(s.ctx)
	if err != nil {
		return err
	}
	return c.make(s, w.Revision, control.Pool{Name: c.Name, Members: c.Members})
}

type setUnpool struct {
	Name string `arg:""`
	editing
}

func (c *setUnpool) Run(s *session) error {
	at, err := s.lookPool(c.Name, c.Yes)
	if err != nil {
		return err
	}
	if err := s.confirmed("calls to pool "+c.Name+" will have nowhere to go. Do it?", c.Yes); err != nil {
		return err
	}
	return c.make(s, at, control.Unpool{Name: c.Name})
}

type setNote struct {
	Subject string `arg:"" help:"A node, a pool, anything."`
	Text    string `arg:"" help:"For the next shift; empty: none."`
	editing
}

func (c *setNote) Run(s *session) error {
	w, err := s.box.Wants(s.ctx)
	if err != nil {
		return err
	}
	return c.make(s, w.Revision, control.Note{Subject: c.Subject, Text: c.Text})
}

type undoCommand struct {
	Revision uint64 `arg:"" help:"As history lists it."`
	ID       string `help:"The undo's own id: sent again, it is made once. Made up if left out."`
	Yes      bool   `short:"y" help:"Do not ask."`
}

func (c *undoCommand) Run(s *session) error {
	back := control.Back{ID: c.ID, Revision: c.Revision}
	if back.ID == "" {
		back.ID = boxclient.NewID()
	}
	made, err := s.forced(c.Yes, func(ctx context.Context, force bool) (control.Record, error) {
		back.Force = force
		return s.box.Undo(ctx, back)
	})
	var lost *boxclient.Lost
	if errors.As(err, &lost) {
		return &advised{err, fmt.Sprintf("it may have been made: say the same again with --id %s, which makes it once", back.ID), unsure}
	}
	if err != nil {
		return err
	}
	return s.made(made)
}

type confirmCommand struct {
	ID string `arg:"" help:"Of the edit on trial, or its revision."`
}

func (c *confirmCommand) Run(s *session) error {
	made, err := s.box.Confirm(s.ctx, c.ID)
	var flaw *boxapi.Flaw
	if errors.As(err, &flaw) && flaw.Code == string(control.Unknown) { // a revision, then
		var at uint64
		if _, failed := fmt.Sscan(c.ID, &at); failed == nil && at > 0 {
			if all, failed := s.box.History(s.ctx, at, 0); failed == nil && len(all) > 0 && all[0].Revision == at && all[0].ID != "" {
				made, err = s.box.Confirm(s.ctx, all[0].ID)
			}
		}
	}
	if err != nil {
		return err
	}
	return s.made(made)
}
