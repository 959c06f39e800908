package console

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"

	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// box is what the console sees: a real state of what is wanted, and two nodes.
type box struct {
	*control.State
	ready map[string]bool
	fail  error
	edits []control.Edit
	long  string // put behind every name
	first []string
}

func (b *box) now() control.Now {
	return control.Now{Wall: time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC), Mono: time.Hour, Boot: "one"}
}
func (b *box) Status(context.Context) (boxapi.Status, error) {
	return boxapi.Status{Name: "yard" + b.long, Ready: true, Nodes: 2, Store: boxapi.StoreOK}, b.fail
}
func (b *box) Pools(context.Context) ([]boxapi.Pool, uint64, error) {
	return []boxapi.Pool{{Name: "main" + b.long, Members: 2, Warnings: b.long}}, b.Revision(), b.fail
}
func (b *box) Nodes(context.Context) ([]boxapi.Node, uint64, error) {
	var out []boxapi.Node
	for _, id := range append(b.first, "n1"+b.long, "n2"+b.long) {
		_, drained := b.Want().Find(control.Key("drain " + id))
		n := boxapi.Node{ID: id, Pools: []string{"main" + b.long}, State: boxapi.Serving, Drained: drained, Load: 0.5}
		if drained {
			n.State = boxapi.Drained
		}
		out = append(out, n)
		b.Hear(id, control.Sight{Pools: n.Pools, Ready: true})
	}
	return out, b.Revision(), b.fail
}
func (b *box) Why(_ context.Context, node string) (boxapi.Why, error) {
	return boxapi.Why{Node: node, State: boxapi.Serving, Reasons: []boxapi.Reason{{Text: "it is so" + b.long, Try: "try" + b.long}}}, b.fail
}
func (b *box) Wants(context.Context) (control.Wants, error) { return b.Want(), b.fail }
func (b *box) History(_ context.Context, from uint64, _ int) ([]control.Record, error) {
	return b.State.History(from), b.fail
}
func (b *box) take(r control.Record, err error) (control.Record, error) {
	var no *control.Refusal
	var theirs *control.Conflict
	switch {
	case errors.As(err, &no):
		return r, &boxapi.Flaw{Code: string(no.Why), Text: no.Reason, Pool: no.Pool}
	case errors.As(err, &theirs):
		return r, &boxapi.Flaw{Code: boxapi.Conflict, Text: theirs.Error(), Conflict: theirs}
	case err == nil && r.Revision > b.Revision():
		_, err = b.Commit(r)
	}
	return r, err
}
func (b *box) Edit(_ context.Context, e control.Edit) (control.Record, error) {
	if e.By == "" {
		e.By = "ann"
	}
	b.edits = append(b.edits, e)
	return b.take(b.Propose(b.now(), e))
}
func (b *box) Undo(_ context.Context, back control.Back) (control.Record, error) {
	back.By = "ann"
	return b.take(b.State.Undo(b.now(), back))
}
func (b *box) Confirm(_ context.Context, id string) (control.Record, error) {
	return b.take(b.State.Confirm(b.now(), id, "ann"))
}
func (b *box) Watch(context.Context, int, uint64, func(boxapi.Happening) error) error { return nil }

type desk struct {
	t *testing.T
	*screen
	*box
	left bool
}

func newDesk(t *testing.T) *desk {
	b := &box{State: control.New()}
	d := &desk{t: t, screen: newScreen(context.Background(), b), box: b}
	d.screen.now = func() time.Time { return d.look0.at }
	d.sees()
	return d
}

// sees has the console look at the box.
func (d *desk) sees() { d.Update(d.look()()) }

// press types keys, one after the other, and carries out what follows of each but for the next look's timer.
func (d *desk) press(keys ...string) {
	for _, k := range keys {
		msg := tea.KeyPressMsg{Code: []rune(k)[0], Text: k}
		switch k {
		case "enter":
			msg = tea.KeyPressMsg{Code: tea.KeyEnter}
		case "esc":
			msg = tea.KeyPressMsg{Code: tea.KeyEscape}
		}
		_, cmd := d.Update(msg)
		for cmd != nil {
			switch m := cmd().(type) {
			case tea.QuitMsg:
				d.left, cmd = true, nil
			case lookMsg:
				d.Update(m)
				cmd = nil
			default:
				_, cmd = d.Update(m)
			}
		}
	}
}

func (d *desk) shows(text string) {
	d.t.Helper()
	if all := d.View().Content; !strings.Contains(all, text) {
		d.t.Errorf("%q is not on the screen:\n%s", text, all)
	}
}

func TestQLeavesFromEverywhere(t *testing.T) {
	t.Parallel()
	for _, before := range [][]string{{}, {"1"}, {"3"}, {"4"}, {"w"}, {"d"}, {"t"}, {"r"}, {"d", "y", "j", "d", "y"}, {"d", "y", "3", "u"}} {
		d := newDesk(t)
		d.press(before...)
		made := len(d.edits)
		if d.left {
			t.Errorf("%q leaves", before)
		}
		if d.press("q"); !d.left || len(d.edits) != made {
			t.Errorf("%q: q does not leave, or does something", before)
		}
	}
}

func TestNothingIsDoneWithoutAY(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	for _, no := range []string{"n", "esc", "enter", "d", "x"} {
		if d.press("d", no); len(d.edits) > 0 {
			t.Fatalf("%q makes the edit", no)
		}
	}
	d.press("d")
	d.shows("drain n1: no new calls go there. Do it?")
	d.press("y")
	d.shows("done: drain n1, revision 1")
	d.shows("> n1                 drained")
	d.press("r", "y")
	d.shows("done: restore n1, revision 2")
}

func TestAnOldScreenConflictsWithWhatCameSince(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.press("d", "y")
	if _, err := d.Edit(context.Background(), control.Edit{ID: "bobs", By: "bob", What: control.Drain{Node: "n1"}}); err != nil {
		t.Fatal(err)
	}
	d.press("r", "y") // the screen has not seen bob's
	d.shows("NOT DONE: bob changed drain n1")
	d.shows("revision 2")
	d.press("r", "y") // now it has
	d.shows("done: restore n1, revision 3")

	// Also where the question was on the screen while he made his.
	d.press("d")
	if _, err := d.Edit(context.Background(), control.Edit{ID: "bobs2", By: "bob", What: control.Drain{Node: "n1"}}); err != nil {
		t.Fatal(err)
	}
	d.sees()
	d.press("y")
	d.shows("NOT DONE: bob changed drain n1")
}

func TestTheLastReadyNodeIsAskedAboutTwice(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.press("d", "y", "j", "d", "y")
	d.shows("LAST READY NODE: pool main would serve nobody")
	if d.Revision() != 1 {
		t.Errorf("revision %d", d.Revision())
	}
	d.press("n")
	if d.shows("left as it was"); d.Revision() != 1 {
		t.Errorf("revision %d", d.Revision())
	}
	d.press("d", "y", "y")
	d.shows("done: drain n2, revision 2")
	if n := len(d.edits); d.edits[n-1].ID != d.edits[n-2].ID || !d.edits[n-1].Force {
		t.Errorf("%+v", d.edits)
	}
	d.press("3")
	d.press("u", "y") // the drain of n2, the latest
	d.shows("done: undo of 2, revision 3")
}

func TestATrialIsConfirmed(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.press("c")
	d.shows("nothing on trial at n1")
	d.press("t", "y")
	d.shows("c within 2m0s keeps it")
	d.shows("drained?")
	d.press("c", "y")
	d.shows("done: confirm drain n1")
	if w, ok := d.Want().Find("drain n1"); !ok || w.Trial {
		t.Errorf("%+v", w)
	}
}

// A drain that is being asked for must not move to another node because one has been listed above it.
func TestTheChosenNodeStaysChosen(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.press("j")
	d.first = []string{"a", "b", "c"}
	d.sees()
	d.shows("> n2")
	d.press("d")
	d.first = nil
	d.sees()
	d.press("y")
	d.shows("done: drain n2")
}

func TestItSaysThatItIsOld(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.fail = errors.New("no box")
	d.screen.now = func() time.Time { return d.look0.at.Add(time.Hour) }
	d.sees()
	d.shows("OLD: as of 1h0m0s ago: no box")
	d.shows("n1")
	d.fail = nil
	d.screen.now = func() time.Time { return d.look0.at }
	d.sees()
	if strings.Contains(d.View().Content, "OLD") {
		t.Error("it still does")
	}
}

// Whatever names and notes hold, the screen stays 80 by 24 of plain ASCII.
func TestTheScreenHolds(t *testing.T) {
	t.Parallel()
	for _, size := range [][2]int{{0, 0}, {80, 24}, {132, 50}, {40, 8}} {
		d := newDesk(t)
		d.long = "-\u00e9\x1b[31m" + strings.Repeat("x", 300)
		for i := range 40 {
			if _, err := d.Edit(context.Background(), control.Edit{ID: fmt.Sprint(i), What: control.Note{Subject: "n1", Text: strings.Repeat("\u00e9", 200)}}); err != nil {
				t.Fatal(err)
			}
			d.Update(boxapi.Happening{Kind: boxapi.Logged, Text: "\x1b]0;title\a" + d.long})
		}
		width, height := size[0], size[1]
		d.Update(tea.WindowSizeMsg{Width: width, Height: height})
		if width == 0 { // a serial line does not know
			width, height = 80, 24
		}
		if d.width != width || d.height != height {
			t.Errorf("%v: taken for %d by %d", size, d.width, d.height)
		}
		d.sees()
		for _, keys := range [][]string{{"1"}, {"2"}, {"w"}, {"2", "d"}, {"n", "3"}, {"G"}, {"g", "u"}, {"n", "4"}, {"b"}, {" "}} {
			d.press(keys...)
			lines := strings.Split(d.View().Content, "\n")
			if len(lines) > height {
				t.Errorf("%v, %q: %d lines", size, keys, len(lines))
			}
			for _, l := range lines {
				if len(l) > width || strings.ContainsFunc(l, func(c rune) bool { return c < ' ' || c > '~' }) {
					t.Errorf("%v, %q: %d columns: %q", size, keys, len(l), l)
				}
			}
		}
	}
}
