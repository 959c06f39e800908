package console

import (
	"fmt"
	"strings"
	"time"
	"unicode"

	tea "charm.land/bubbletea/v2"

	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// Of the screen's lines two stand above the page and its heading, and three below.
const around = 6

func (s *screen) rows() int { return max(s.height-around, 1) }

func (s *screen) View() tea.View {
	out := make([]string, 0, s.height)
	st := s.look0.status
	head := "pewterrudder " + st.Name
	switch {
	case s.look0.at.IsZero():
		head += "  not heard yet"
	case !st.Ready:
		head += "  NOT READY"
	case st.Draining:
		head += "  DRAINING"
	}
	if !s.look0.at.IsZero() {
		head += fmt.Sprintf("  rev %d  %d/%d nodes serve  %.0f calls/s  %d open", s.look0.rev, st.Serving, st.Nodes, st.Rate, st.Open)
		if st.Store != boxapi.StoreOK {
			head += "  STORE: " + st.Store
		}
	}
	tabs := ""
	for i, n := range names {
		form := " %d %s "
		if page(i) == s.page || page(i) == nodes && s.page == reasons {
			form = "[%d %s]"
		}
		tabs += fmt.Sprintf(form, i+1, n) + " "
	}
	if age := s.now().Sub(s.look0.at); s.tried != nil || !s.look0.at.IsZero() && age > stale {
		tabs += " OLD"
		if !s.look0.at.IsZero() {
			tabs += fmt.Sprintf(": as of %v ago", age.Round(time.Second))
		}
		if s.tried != nil {
			tabs += ": " + s.tried.Error()
		}
	}
	heading, body := s.body()
	out = append(out, head, tabs, heading)
	rows := s.rows()
	if s.page != reasons {
		top, at := &s.top[s.page], s.at[s.page]
		*top = max(min(*top, at), at-rows+1, 0)
		for i := *top; i < min(*top+rows, len(body)); i++ {
			mark := "  "
			if i == at {
				mark = "> "
			}
			out = append(out, mark+body[i])
		}
	} else {
		out = append(out, body[:min(len(body), rows)]...)
	}
	for len(out) < s.height-3 {
		out = append(out, "")
	}
	ask := s.message
	switch {
	case s.asked != nil:
		ask = s.asked.text
	case s.busy != "":
		ask = "under way: " + s.busy
	}
	first, second := split(ask, s.width)
	if s.asked != nil && second == "" {
		second = "y: yes   any other key: no"
	} else if s.asked != nil {
		second = clip(second, s.width-8) + "  [y/n]"
	}
	out = append(out, first, second, s.keys())
	for i := range out {
		out[i] = strings.TrimRight(clip(plain(out[i]), s.width), " ")
	}
	v := tea.NewView(strings.Join(out, "\n"))
	v.AltScreen = true
	return v
}

// body gives the lines of the page, under a heading.
func (s *screen) body() (heading string, out []string) {
	switch s.page {
	case pools:
		heading = fmt.Sprintf("  %-20s %7s %7s %9s %7s %7s  %s", "POOL", "NODES", "SERVING", "CALLS/S", "OPEN", "CAP", "")
		for _, p := range s.look0.pools {
			limit := "-"
			if p.Cap > 0 {
				limit = fmt.Sprint(p.Cap)
			}
			out = append(out, fmt.Sprintf("%-20s %7d %7d %9.1f %7d %7s  %s", clip(p.Name, 20), p.Members, p.Serving, p.Rate, p.Open, limit, p.Warnings))
		}
	case nodes:
		heading = fmt.Sprintf("  %-18s %-8s %-6s %6s %5s %5s %7s  %s", "NODE", "STATE", "SINCE", "WEIGHT", "LOAD", "OPEN", "CALLS/S", "LOAD, LAST MINUTE")
		if s.inPool != "" {
			heading += "  pool " + s.inPool
		}
		for _, n := range s.shown() {
			weight := fmt.Sprintf("%.3g", n.RosterWeight)
			if n.Weight > 0 {
				weight = fmt.Sprintf("*%.3g", n.Weight)
			}
			state := string(n.State)
			if w, ok := s.look0.wants.Find(control.Key("drain " + n.ID)); ok && n.State == boxapi.Drained && !w.Until.IsZero() {
				state += "~" // ends by itself
				if w.Trial {
					state = string(n.State) + "?" // unless it is confirmed
				}
			}
			l := s.loads[n.ID]
			out = append(out, fmt.Sprintf("%-18s %-8s %-6s %6s %5.2f %5d %7.1f  %s", clip(n.ID, 18), state, Short(n.Since), weight, n.Load, n.Open, n.Rate, l.graph(14)))
		}
	case changes:
		heading = fmt.Sprintf("  %-8s %6s  %s", "AT", "REV", "WHO AND WHAT")
		for i := len(s.look0.history) - 1; i >= 0; i-- {
			r := &s.look0.history[i]
			_, what, _ := strings.Cut(r.String(), " ")
			out = append(out, fmt.Sprintf("%-8s %6d  %s", r.Wall.Local().Format(time.TimeOnly), r.Revision, what))
		}
	case logs:
		heading = "  LOG"
		if s.stream != nil {
			heading += "  (cut off: " + s.stream.Error() + ")"
		}
		for i := len(s.log) - 1; i >= 0; i-- {
			ev := s.log[i]
			text := ev.Text
			switch ev.Kind {
			case boxapi.Made:
				text = "change " + ev.Record.String()
			case boxapi.Missed:
				text = fmt.Sprintf("(%d lines missed)", ev.Missed)
			case boxapi.Bye:
				text = "the box goes down"
			}
			out = append(out, fmt.Sprintf("%s %-5s %s", ev.At.Local().Format(time.TimeOnly), ev.Level, text))
		}
	case reasons:
		heading = fmt.Sprintf("  WHY %s: %s", s.whyOf.Node, s.whyOf.State)
		for _, r := range s.whyOf.Reasons {
			line := "  - " + r.Text
			if r.Since > 0 {
				line += ", for " + Short(r.Since)
			}
			out = append(out, line)
			if r.Try != "" {
				out = append(out, "      "+r.Try)
			}
		}
	}
	return heading, out
}

func (s *screen) keys() string {
	switch s.page {
	case pools:
		return "enter nodes of it   1-4 page   q leave"
	case nodes:
		return "d drain  t drain on trial  c confirm  r restore  w why  a all  1-4 page  q leave"
	case changes:
		return "u undo   up/down choose   1-4 page   q leave"
	case reasons:
		return "d drain  t drain on trial  c confirm  r restore  esc back  q leave"
	}
	return "up/down   1-4 page   q leave"
}

// Short gives a duration in at most five letters.
func Short(d time.Duration) string {
	switch {
	case d <= 0:
		return "-"
	case d < time.Minute:
		return fmt.Sprintf("%ds", d/time.Second)
	case d < time.Hour:
		return fmt.Sprintf("%dm", d/time.Minute)
	case d < 48*time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dd", d/(24*time.Hour))
}

// plain keeps a serial line from what it may not know, and a terminal from what others wrote into a note.
func plain(s string) string {
	return strings.Map(func(c rune) rune {
		if c > unicode.MaxASCII || !unicode.IsPrint(c) {
			return '?'
		}
		return c
	}, s)
}

func clip(s string, width int) string {
	if len(s) <= width {
		return s
	}
	return s[:width-1] + "~"
}

// split breaks a text over two lines, at a blank if there is one.
func split(s string, width int) (first, second string) {
	s = plain(s)
	if len(s) <= width {
		return s, ""
	}
	at := strings.LastIndexByte(s[:width], ' ')
	if at < width/2 {
		at = width
	}
	return s[:at], strings.TrimSpace(s[at:])
}
