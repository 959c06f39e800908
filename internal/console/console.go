// Package console is the full screen of rudderctl: pools, nodes, changes and the log of one box, and the edits that a shift
// makes most, each with a question before it. It owns what is on the screen and nothing else; the box is asked over a Box,
// and every edit goes against the revision that was on the screen when its key was pressed. It must never make an edit that
// has not been answered with y, need a colour or more than 80 by 24 of plain ASCII, or have a place where q does not leave.
package console

import (
	"context"
	"errors"
	"io"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/charmbracelet/colorprofile"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// Box is what the console asks; boxclient.Client is one.
type Box interface {
	Status(context.Context) (boxapi.Status, error)
	Pools(context.Context) ([]boxapi.Pool, uint64, error)
	Nodes(context.Context) ([]boxapi.Node, uint64, error)
	Why(context.Context, string) (boxapi.Why, error)
	Wants(context.Context) (control.Wants, error)
	History(ctx context.Context, from uint64, most int) ([]control.Record, error)
	Edit(context.Context, control.Edit) (control.Record, error)
	Undo(context.Context, control.Back) (control.Record, error)
	Confirm(context.Context, string) (control.Record, error)
	Watch(ctx context.Context, back int, from uint64, hear func(boxapi.Happening) error) error
}

const (
	every       = 2 * time.Second // between looks: a person's glance; a look costs the box some milliseconds
	lookMost    = 8 * time.Second // of one look; the screen says how old it is meanwhile
	stale       = 3 * every       // from here on the screen says that it is old
	trialTime   = 2 * time.Minute // of an edit on trial: long enough to look at what it does
	historyMost = 500
	logMost     = 500
	samples     = 60 // of a node's load: two minutes at one every 2 s
	columns     = 80
	lines       = 24
	framesMost  = 10 // per second: at 9600 baud a screen of changes takes a second anyway
)

// Run shows the console until q, or until ctx or the terminal ends.
func Run(ctx context.Context, box Box, in io.Reader, out io.Writer, env []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := tea.NewProgram(newScreen(ctx, box), tea.WithContext(ctx), tea.WithInput(in), tea.WithOutput(out),
		tea.WithEnvironment(env), tea.WithColorProfile(colorprofile.Ascii), tea.WithFPS(framesMost))
	go func() {
		for ctx.Err() == nil {
			err := box.Watch(ctx, logMost, 0, func(ev boxapi.Happening) error { p.Send(ev); return ctx.Err() })
			p.Send(brokeMsg{err})
			select {
			case <-time.After(every):
			case <-ctx.Done():
			}
		}
	}()
	_, err := p.Run()
	if errors.Is(err, tea.ErrInterrupted) || errors.Is(err, tea.ErrProgramKilled) && ctx.Err() != nil {
		return nil
	}
	return err
}

// What comes in.
type (
	lookMsg struct { // one look at the box
		at      time.Time
		status  boxapi.Status
		pools   []boxapi.Pool
		nodes   []boxapi.Node
		wants   control.Wants
		history []control.Record
		rev     uint64 // the oldest of what these rest on
		err     error
	}
	againMsg struct{} // time for the next
	brokeMsg struct{ err error }
	whyMsg   struct {
		why boxapi.Why
		err error
	}
	doneMsg struct {
		what string
		made control.Record
		err  error
		ask  *question // the same, to be asked again with force
	}
)

// look asks for everything. The revision is asked for first: an edit against it conflicts with whatever came after, and so
// with whatever the screen may lack.
func (s *screen) look() tea.Cmd {
	ctx, box := s.ctx, s.box
	return func() tea.Msg {
		ctx, cancel := context.WithTimeout(ctx, lookMost)
		defer cancel()
		var m lookMsg
		if m.wants, m.err = box.Wants(ctx); m.err == nil {
			m.rev = m.wants.Revision
			m.status, m.err = box.Status(ctx)
		}
		if m.err == nil {
			m.pools, _, m.err = box.Pools(ctx)
		}
		if m.err == nil {
			m.nodes, _, m.err = box.Nodes(ctx)
		}
		if m.err == nil {
			m.history, m.err = box.History(ctx, 0, historyMost)
		}
		m.at = time.Now()
		return m
	}
}

func (s *screen) why(node string) tea.Cmd {
	ctx, box := s.ctx, s.box
	return func() tea.Msg {
		ctx, cancel := context.WithTimeout(ctx, lookMost)
		defer cancel()
		w, err := box.Why(ctx, node)
		return whyMsg{w, err}
	}
}

// question stands on the lowest lines until it is answered; y carries it out.
type question struct {
	text  string
	what  string // as it is told of afterwards
	do    func(context.Context) (control.Record, error)
	force *question // asked next, if a pool would lose its last ready node
}

// carry does what was answered with y. The edit's id was made with the question, so that a repeat of it is the same edit.
func (s *screen) carry(q question) tea.Cmd {
	ctx := s.ctx
	return func() tea.Msg {
		made, err := q.do(ctx)
		var flaw *boxapi.Flaw
		if errors.As(err, &flaw) && flaw.Code == string(control.Last) && q.force != nil {
			again := *q.force
			again.text = "LAST READY NODE: pool " + flaw.Pool + " would serve nobody. Do it all the same?"
			return doneMsg{ask: &again}
		}
		return doneMsg{what: q.what, made: made, err: err}
	}
}

func (s *screen) askEdit(text string, what control.Op, trial time.Duration) {
	e := control.Edit{ID: boxclient.NewID(), Against: s.look0.rev, What: what, Trial: trial}
	do := func(force bool) func(context.Context) (control.Record, error) {
		e.Force = force
		e := e
		return func(ctx context.Context) (control.Record, error) { return s.box.Edit(ctx, e) }
	}
	q := &question{text: text, what: what.String(), do: do(false)}
	q.force = &question{what: what.String(), do: do(true)}
	s.asked = q
}
