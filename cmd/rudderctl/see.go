package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/console"
	"pewterrudder/internal/control"
)

// table prints rows under a heading.
func table(w io.Writer, heading string, rows func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, heading)
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
	t.Flush()
}

// dash stands for nothing.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// until says when a word ends.
func until(w control.Want) string {
	switch {
	case w.Until.IsZero():
		return ""
	case w.Trial:
		return "on trial to " + clock(w.Until)
	}
	return "to " + clock(w.Until)
}

// clock is a moment as the shift reads it; the day only where it is another.
func clock(t time.Time) string {
	t = t.Local()
	if now := time.Now(); t.YearDay() == now.YearDay() && t.Year() == now.Year() {
		return t.Format(time.TimeOnly)
	}
	return t.Format("2006-01-02 15:04:05")
}

type statusCommand struct{}

func (statusCommand) Run(s *session) error {
	st, err := s.box.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.show(st, func(w io.Writer) {
		word := "ready"
		if !st.Ready {
			word = "NOT READY"
		}
		if st.Draining {
			word = "draining"
		}
		fmt.Fprintf(w, "%s: %s, up %s, %d of %d nodes serve, %d pools\n", dash(st.Name), word, console.Short(st.Up), st.Serving, st.Nodes, st.Pools)
		fmt.Fprintf(w, "calls %d (%.1f/s), open %d, refused %d, failed %d\n", st.Calls, st.Rate, st.Open, st.Refused, st.Failed)
		fmt.Fprintf(w, "revision %d, store %s, %d watching\n", st.Revision, st.Store, st.Watchers)
		for _, e := range st.Ending {
			fmt.Fprintf(w, "%s by %s, %s", e.What, e.By, until(e))
			if e.Trial {
				fmt.Fprintf(w, "; keep it with: rudderctl confirm %s", e.ID)
			}
			fmt.Fprintln(w)
		}
	})
}

type poolsCommand struct{}

func (poolsCommand) Run(s *session) error {
	all, _, err := s.box.Pools(s.ctx)
	if err != nil {
		return err
	}
	return s.show(all, func(w io.Writer) {
		table(w, "POOL\tNODES\tSERVING\tCALLS/S\tOPEN\tCAP\tBY\tNOTE", func(row func(...any)) {
			for _, p := range all {
				limit, by := "-", "settings"
				if p.Cap > 0 {
					limit = fmt.Sprint(p.Cap)
				}
				if p.ByHand {
					by = "operators"
				}
				row(p.Name, p.Members, p.Serving, fmt.Sprintf("%.1f", p.Rate), p.Open, limit, by, dash(p.Warnings))
			}
		})
	})
}

type nodesCommand struct {
	Pool  string `help:"Of this pool alone."`
	State string `help:"In this state alone, such as drained."`
}

func (c *nodesCommand) Run(s *session) error {
	all, _, err := s.box.Nodes(s.ctx)
	if err != nil {
		return err
	}
	wants, err := s.box.Wants(s.ctx)
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(n boxapi.Node) bool {
		return c.Pool != "" && !slices.Contains(n.Pools, c.Pool) || c.State != "" && string(n.State) != c.State
	})
	return s.show(all, func(w io.Writer) {
		table(w, "NODE\tADDRESS\tPOOLS\tSTATE\tSINCE\tLOAD\tOPEN\tCALLS/S\tROSTER\tOPERATORS", func(row func(...any)) {
			for _, n := range all {
				roster := fmt.Sprintf("%.3g", n.RosterWeight)
				if n.RosterDrains {
					roster = "drains"
				}
				row(n.ID, dash(n.Address), dash(strings.Join(n.Pools, ",")), n.State, console.Short(n.Since), fmt.Sprintf("%.2f", n.Load), n.Open,
					fmt.Sprintf("%.1f", n.Rate), roster, dash(words(wants, n.ID)))
			}
		})
	})
}

// words are the operators' on a node.
func words(w control.Wants, node string) string {
	var out []string
	for _, thing := range []string{"drain", "weight", "note"} {
		one, ok := w.Find(control.Key(thing + " " + node))
		if !ok {
			continue
		}
		text := thing
		switch op := one.What.(type) {
		case control.Weight:
			text = fmt.Sprintf("weight %g", op.Weight)
		case control.Note:
			text = fmt.Sprintf("%q", op.Text)
		}
		out = append(out, strings.TrimSpace(text+" by "+one.By+" "+until(one)))
	}
	return strings.Join(out, "; ")
}

type whyCommand struct {
	Node string `arg:"" help:"Its name, as nodes lists it."`
}

func (c *whyCommand) Run(s *session) error {
	v, err := s.box.Why(s.ctx, c.Node)
	if err != nil {
		return s.unknownNode(err, c.Node)
	}
	return s.show(v, func(w io.Writer) {
		word := "gets no work"
		if v.Works {
			word = "gets work"
		}
		fmt.Fprintf(w, "%s is %s: it %s\n", v.Node, v.State, word)
		for _, r := range v.Reasons {
			since := ""
			if r.Since > 0 {
				since = ", for " + console.Short(r.Since)
			}
			fmt.Fprintf(w, "  %s: %s%s\n", r.Kind, r.Text, since)
			if r.Try != "" {
				fmt.Fprintf(w, "    to change it: %s\n", r.Try)
			}
		}
	})
}

type rosterCommand struct{}

func (rosterCommand) Run(s *session) error {
	v, err := s.box.Roster(s.ctx)
	if err != nil {
		return err
	}
	return s.show(v, func(w io.Writer) {
		table(w, "SOURCE\tROLE\tHEALTH\tSTANDING\tHEARD\tENTRIES\tWHY", func(row func(...any)) {
			for _, src := range v.Sources {
				row(src.Name, src.Role, src.Health, src.Standing, console.Short(src.Age), src.Entries, dash(src.Why))
			}
		})
		fmt.Fprintln(w)
		table(w, "NODE\tADDRESS\tZONE\tSTATE\tWEIGHT\tLISTED BY\tDECIDED BY", func(row func(...any)) {
			for _, e := range v.Entries {
				row(e.ID, e.Address, dash(e.Zone), e.State, fmt.Sprintf("%.3g", e.Weight), dash(strings.Join(e.By, ",")), dash(e.From))
			}
		})
	})
}

type peersCommand struct{}

func (peersCommand) Run(s *session) error {
	v, err := s.box.Peers(s.ctx)
	if err != nil {
		return err
	}
	return s.show(v, func(w io.Writer) {
		if !v.On {
			fmt.Fprintln(w, "this balancer hears of no others: its settings file names no peers.address")
			return
		}
		by := "those who live"
		if !v.Believed {
			by = "the settings: the view has not settled, or nobody is heard"
		}
		fmt.Fprintf(w, "%d balancers share the app nodes, by %s\n\n", v.Crowd, by)
		table(w, "BALANCER\tADDRESS\tZONE\tSTATE\tSINCE\tVERSION\tLIFE", func(row func(...any)) {
			row(v.Own.Name, v.Own.Address, dash(v.Own.Zone), "this one", "-", dash(v.Own.Version), dash(v.Own.ID))
			for _, p := range v.Peers {
				state := "here"
				if !p.Live {
					state = "LOST"
				}
				row(p.Name, p.Address, dash(p.Zone), state, console.Short(p.For), dash(p.Version), dash(p.ID))
			}
		})
	})
}

type historyCommand struct {
	From uint64 `help:"From this revision on."`
	Most int    `help:"The latest so many; 0: all." default:"50"`
}

func (c *historyCommand) Run(s *session) error {
	most := c.Most
	if c.From > 0 {
		most = 0
	}
	all, err := s.box.History(s.ctx, c.From, most)
	if err != nil {
		return err
	}
	return s.show(all, func(w io.Writer) {
		table(w, "REV\tAT\tBY\tWHAT\tID", func(row func(...any)) {
			for i := range all {
				row(all[i].Revision, clock(all[i].Wall), dash(all[i].By), what(&all[i]), dash(all[i].ID))
			}
		})
	})
}

// what a record is, without its revision and author, which stand beside it.
func what(r *control.Record) string {
	_, text, _ := strings.Cut(r.String(), ": ")
	return text
}

type watchCommand struct {
	From uint64 `help:"All changes from this revision on first."`
	Back int    `help:"So many earlier lines first."`
}

func (c *watchCommand) Run(s *session) error {
	err := s.box.Watch(s.ctx, c.Back, c.From, func(ev boxapi.Happening) error {
		if s.json {
			return json.NewEncoder(s.out).Encode(ev)
		}
		text := ""
		switch ev.Kind {
		case boxapi.Hello:
			text = fmt.Sprintf("watching, at revision %d; ctrl-c ends it", ev.Revision)
		case boxapi.Made:
			text = "change " + ev.Record.String()
		case boxapi.Logged:
			text = ev.Level + " " + ev.Text
		case boxapi.Missed:
			text = fmt.Sprintf(`%d lines missed: see "rudderctl history"`, ev.Missed)
		case boxapi.Bye:
			text = "the box goes down"
		}
		_, err := fmt.Fprintln(s.out, clock(ev.At), text)
		return err
	})
	if s.ctx.Err() != nil {
		return nil // asked to end
	}
	return err
}

type consoleCommand struct{}

func (consoleCommand) Run(s *session) error { return screen(s) }

type exportCommand struct{}

func (exportCommand) Run(s *session) error {
	v, err := s.box.Export(s.ctx)
	if err != nil {
		return err
	}
	return s.printJSON(v)
}

var _ console.Box = (*boxclient.Client)(nil)
