package console

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// page is what fills the middle of the screen.
type page int

const (
	pools page = iota
	nodes
	changes
	logs
	reasons // why a node gets the work it gets; on top of nodes
)

var names = [...]string{"Pools", "Nodes", "Changes", "Log"}

// screen is all that is shown. Only the program's own goroutine changes it.
type screen struct {
	ctx context.Context
	box Box

	width, height int
	page          page
	at, top       [4]int // the line that is chosen, and the uppermost shown
	inPool        string // nodes of this one alone; "": all

	look0  lookMsg // the latest look that succeeded
	tried  error   // of the latest
	loads  map[string]*load
	log    []boxapi.Happening
	stream error
	whyOf  boxapi.Why

	asked   *question
	busy    string // an edit is under way
	message string
	now     func() time.Time
}

// load is what a node's has been.
type load struct {
	of   [samples]float64
	next int
	n    int
}

func (l *load) add(v float64) {
	l.of[l.next%samples] = v
	l.next++
	l.n = min(l.n+1, samples)
}

// shades are what a load looks like in plain ASCII, none to all that the node can.
const shades = " .:-=+*#%@"

// graph gives the latest so many, the newest on the right.
func (l *load) graph(width int) string {
	var b strings.Builder
	for i := range width {
		back := width - i // so many looks ago
		if back > l.n {
			b.WriteByte(' ')
			continue
		}
		v := l.of[(l.next-back+samples)%samples]
		b.WriteByte(shades[min(max(int(v*float64(len(shades))), 0), len(shades)-1)])
	}
	return b.String()
}

func newScreen(ctx context.Context, box Box) *screen {
	return &screen{ctx: ctx, box: box, width: columns, height: lines, page: nodes, loads: map[string]*load{}, now: time.Now,
		message: "looking at the box"}
}

func (s *screen) Init() tea.Cmd { return s.look() }

func (s *screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		if msg.Width > 0 && msg.Height > 0 { // a serial line says 0 by 0, of which 80 by 24 is the truth
			s.width, s.height = max(msg.Width, 40), max(msg.Height, 8)
		}
	case lookMsg:
		s.looked(msg)
		return s, tea.Tick(every, func(time.Time) tea.Msg { return againMsg{} })
	case againMsg:
		return s, s.look()
	case boxapi.Happening:
		s.stream = nil
		switch msg.Kind {
		case boxapi.Hello:
			s.log = nil // what comes now has the earlier lines in it
		case boxapi.Logged, boxapi.Missed, boxapi.Bye, boxapi.Made:
			if s.log = append(s.log, msg); len(s.log) > logMost {
				s.log = slices.Clone(s.log[len(s.log)-logMost:])
			}
		}
	case brokeMsg:
		s.stream = msg.err
	case whyMsg:
		if msg.err != nil {
			s.message = "why: " + msg.err.Error()
			break
		}
		s.whyOf, s.page = msg.why, reasons
	case doneMsg:
		s.busy = ""
		switch {
		case msg.ask != nil:
			s.asked = msg.ask
			return s, nil
		case msg.err != nil:
			s.message = "NOT DONE: " + s.failure(msg.err)
		default:
			s.message = fmt.Sprintf("done: %s, revision %d", msg.what, msg.made.Revision)
			if e := msg.made.Edit; e != nil && e.Trial > 0 && msg.made.Kind == control.Edited {
				s.message += fmt.Sprintf("; c within %v keeps it", e.Trial)
			}
		}
		return s, s.look()
	case tea.KeyPressMsg:
		return s, s.key(msg.String())
	}
	return s, nil
}

// failure is an edit's error, as something to go on with.
func (s *screen) failure(err error) string {
	var flaw *boxapi.Flaw
	var lost *boxclient.Lost
	switch {
	case errors.As(err, &flaw) && flaw.Conflict != nil:
		t := flaw.Conflict.Theirs
		by := t.By
		if by == "" {
			by = "the box"
		}
		return fmt.Sprintf("%s changed %s at %s (revision %d); look again", by, flaw.Conflict.Key, t.Wall.Local().Format(time.TimeOnly), t.Revision)
	case errors.As(err, &lost):
		return "no answer: see Changes (3) whether it was made"
	}
	return err.Error()
}

func (s *screen) looked(m lookMsg) {
	s.tried = m.err
	if m.err != nil {
		return
	}
	if s.look0.at.IsZero() {
		s.message = ""
	}
	chosen := s.node() // stays chosen where others come and go
	s.look0 = m
	listed := make(map[string]bool, len(m.nodes))
	for _, n := range m.nodes {
		l := s.loads[n.ID]
		if l == nil {
			l = new(load)
			s.loads[n.ID] = l
		}
		l.add(n.Load)
		listed[n.ID] = true
	}
	for id := range s.loads {
		if !listed[id] {
			delete(s.loads, id)
		}
	}
	if chosen != nil {
		if i := slices.IndexFunc(s.shown(), func(n boxapi.Node) bool { return n.ID == chosen.ID }); i >= 0 {
			s.at[nodes] = i
		}
	}
}

// shown are the nodes on the page.
func (s *screen) shown() []boxapi.Node {
	if s.inPool == "" {
		return s.look0.nodes
	}
	var out []boxapi.Node
	for _, n := range s.look0.nodes {
		if slices.Contains(n.Pools, s.inPool) {
			out = append(out, n)
		}
	}
	return out
}

// node that is chosen.
func (s *screen) node() *boxapi.Node {
	all := s.shown()
	if i := s.at[nodes]; i < len(all) {
		return &all[i]
	}
	return nil
}

// key does what a key means. q leaves from everywhere.
func (s *screen) key(k string) tea.Cmd {
	switch k {
	case "q", "Q", "ctrl+c", "ctrl+d":
		return tea.Quit
	}
	if q := s.asked; q != nil {
		s.asked = nil
		if k != "y" && k != "Y" {
			s.message = "left as it was"
			return nil
		}
		s.busy = q.what
		return s.carry(*q)
	}
	s.message = ""
	switch k {
	case "1", "2", "3", "4":
		s.page = page(k[0] - '1')
		return nil
	case "tab", "right":
		s.page = (min(s.page, logs) + 1) % page(len(names))
		return nil
	case "left":
		s.page = (min(s.page, logs) + page(len(names)) - 1) % page(len(names))
		return nil
	case "esc", "backspace":
		if s.page == reasons {
			s.page = nodes
		}
		return nil
	}
	if s.page == reasons {
		return s.nodeKey(k)
	}
	at := &s.at[s.page]
	switch k {
	case "up", "k":
		*at--
	case "down", "j":
		*at++
	case "pgup", "b":
		*at -= s.rows()
	case "pgdown", "space":
		*at += s.rows()
	case "home", "g":
		*at = 0
	case "end", "G":
		*at = s.count(s.page) - 1
	case "enter":
		switch s.page {
		case pools:
			if i := s.at[pools]; i < len(s.look0.pools) {
				s.inPool, s.page, s.at[nodes], s.top[nodes] = s.look0.pools[i].Name, nodes, 0, 0
			}
		case nodes:
			return s.nodeKey("w")
		}
	case "a":
		s.inPool, s.at[nodes] = "", 0
	case "u":
		s.askUndo()
	default:
		return s.nodeKey(k)
	}
	*at = min(max(*at, 0), max(s.count(s.page)-1, 0))
	return nil
}

// nodeKey is a key about the chosen node.
func (s *screen) nodeKey(k string) tea.Cmd {
	if s.page != nodes && s.page != reasons {
		return nil
	}
	n := s.node()
	if n == nil {
		return nil
	}
	if s.busy != "" && strings.Contains("drtc", k) {
		s.message = "wait: " + s.busy + " is not answered yet"
		return nil
	}
	switch k {
	case "w", "enter":
		return s.why(n.ID)
	case "d":
		s.askEdit("drain "+n.ID+": no new calls go there. Do it?", control.Drain{Node: n.ID}, 0)
	case "t":
		s.askEdit(fmt.Sprintf("drain %s on trial: goes back after %v unless confirmed (c). Do it?", n.ID, trialTime),
			control.Drain{Node: n.ID}, trialTime)
	case "r":
		s.askEdit("restore "+n.ID+": the roster's word counts again. Do it?", control.Restore{Node: n.ID}, 0)
	case "c":
		w, ok := s.look0.wants.Find(control.Key("drain " + n.ID))
		if !ok || !w.Trial {
			s.message = "nothing on trial at " + n.ID
			return nil
		}
		s.asked = &question{text: fmt.Sprintf("confirm: %s by %s stays. Do it?", w.What, w.By), what: "confirm " + w.What.String(),
			do: func(ctx context.Context) (control.Record, error) { return s.box.Confirm(ctx, w.ID) }}
	}
	return nil
}

func (s *screen) askUndo() {
	all := s.look0.history
	if s.page != changes || s.at[changes] >= len(all) || s.busy != "" {
		return
	}
	r := all[len(all)-1-s.at[changes]]
	back := control.Back{ID: boxclient.NewID(), Revision: r.Revision}
	forced := back
	forced.Force = true
	what := fmt.Sprintf("undo of %d", r.Revision)
	s.asked = &question{text: "undo " + r.String() + "?", what: what,
		do: func(ctx context.Context) (control.Record, error) { return s.box.Undo(ctx, back) }}
	s.asked.force = &question{what: what, do: func(ctx context.Context) (control.Record, error) { return s.box.Undo(ctx, forced) }}
}

// count of lines on a page.
func (s *screen) count(p page) int {
	switch p {
	case pools:
		return len(s.look0.pools)
	case nodes:
		return len(s.shown())
	case changes:
		return len(s.look0.history)
	case logs:
		return len(s.log)
	}
	return len(s.whyOf.Reasons)
}
