package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// names of roles on the page.
var titles = map[string]string{Balancer: "A balancer", AppNode: "An app node's view", Discovery: "Discovery", Source: "A machine of control",
	Peers: "Among balancers", EventRole: "What a day brings"}

// Page writes the whole page. Every figure on it comes from here.
func (r *Results) Page(w io.Writer, s Site) error {
	p := &page{w: w}
	p.line("# Capacity")
	p.line("")
	p.line("The router fleet has [a page of its own](router-capacity.md).")
	p.line("")
	p.line("What each part of an installation bears at the size that is coming. `rudderlab capacity --out docs/CAPACITY.md` measures the slopes on the")
	p.line("code as it is, fits lines, and writes this page; nothing here is written by hand. Where a size could be run it was run, and")
	p.line("what lies beyond the points is marked: it is computed, not measured.")
	p.line("")
	p.line("%s, %d cores of which %d for the command, %s, with a load of %s as it began; the measurement took %v. A machine on which more",
		r.Machine.CPU, r.Machine.Cores, r.Machine.Used, r.Machine.Go, r.Machine.Load, r.Took.Round(time.Second))
	p.line("wants to run than there are cores makes all times longer than they are, and processor time somewhat.")
	p.line("")
	p.line("The size: %s balancers, %s app nodes, %s pools, %s routes, %s tenants, %s calls a second, %d regions, %d zones, %d machines of control,",
		number(float64(s.Balancers)), number(float64(s.Nodes)), number(float64(s.Pools)), number(float64(s.Routes)), number(float64(s.Tenants)),
		number(s.Calls), s.Regions, s.Zones, s.Machines)
	p.line("%s changes of settings a day, each in force within %v. The budget: %.2g %% of a core, %g MB and %s bytes a second for one balancer's control",
		number(float64(s.Changes)), s.Within, 100*s.Control.Core, s.Control.Memory, number(s.Control.Bytes))
	p.line("work, and %g ms added to a call at 99 %%.", s.Added)
	p.line("")
	rows := r.Rows(s)
	p.aims(rows)
	p.probes(r.Probes)
	for _, role := range Roles {
		if role == EventRole {
			continue
		}
		p.line("## %s", titles[role])
		p.line("")
		p.line("| of | what | at the coming size | budget | verdict | from | carried by |")
		p.line("| --- | --- | ---: | ---: | --- | --- | --- |")
		for _, row := range rows {
			if row.Role == role {
				p.line("| %s | %s | %s | %s | %s | %s | %s |", row.Kind, row.What, amount(row.Amount, row.Unit), budget(row), verdict(row), cell(row.From),
					carrier(row))
			}
		}
		p.line("")
	}
	p.events(r, s)
	p.slopes(r)
	return p.err
}

type page struct {
	w   io.Writer
	err error
}

func (p *page) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// aims are the rows that miss, or have nothing that carries them.
func (p *page) aims(rows []Row) {
	p.line("## Aims that what is there does not reach")
	p.line("")
	n, said := 0, map[string]bool{}
	for _, row := range rows {
		switch row.Verdict() {
		case Missed:
			p.line("- %s, %s: %s comes to %s, %s.", titles[row.Role], row.Kind, row.What, amount(row.Amount, row.Unit), row.Off())
		case Missing:
			if said[row.Gap] { // once is enough
				continue
			}
			said[row.Gap] = true
			p.line("- %s, %s: %s: %s.", titles[row.Role], row.Kind, row.What, row.Gap)
		case Unmeasured:
			p.line("- %s, %s: %s: not known: %s.", titles[row.Role], row.Kind, row.What, row.Amount.Why)
		default:
			continue
		}
		n++
	}
	if n == 0 {
		p.line("None.")
	}
	p.line("")
}

func (p *page) probes(all []Probe) {
	if len(all) == 0 {
		return
	}
	p.line("What the program takes, asked by starting it:")
	p.line("")
	for _, q := range all {
		if q.Taken {
			p.line("- %s: taken", q.Name)
		} else {
			p.line("- %s: refused: `%s`", q.Name, strings.ReplaceAll(q.Why, "`", "'"))
		}
	}
	p.line("")
}

func (p *page) events(r *Results, s Site) {
	p.line("## %s", titles[EventRole])
	p.line("")
	p.line("Each event as a whole, with what comes back. Traffic of balancers among themselves is not in it.")
	p.line("")
	p.line("| event | a day | one balancer, CPU | one balancer, bytes | discovery sends | a machine of control sends | its CPU | CPU of a balancer at the busiest | taken |")
	p.line("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |")
	total, busiest := known(0), known(0)
	for _, c := range r.Costs(s) {
		peak := "alone"
		if c.Peak > 0 {
			peak = amount(c.AtPeak, "ms/s")
			busiest = busiest.plus(c.AtPeak)
		}
		total = total.plus(c.BalancerCPU.times(c.Day))
		p.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s |", c.Name, number(c.Day), amount(c.BalancerCPU, "ms"), amount(c.BalancerBytes, "kB"),
			amount(c.Discovery, "MB"), amount(c.Machine, "MB"), amount(c.MachineCPU, "ms"), peak, c.Taken)
	}
	p.line("")
	if total.Known && busiest.Known {
		p.line("All of a day: %s ms of one balancer's CPU in a second on average, %s while the planned work is done, of %g. Doubts of the parts hold for",
			number(total.Value/day), number(busiest.Value), 1000*s.Control.Core)
		p.line("their sum.")
	} else {
		p.line("All of a day: not measured, for want of its parts.")
	}
	p.line("")
}

func (p *page) slopes(r *Results) {
	p.line("## The slopes")
	p.line("")
	p.line("Each is a straight line by least squares. \"Off\" is the largest distance of a point from the line, as a share of the largest value; over")
	p.line("%.0f %% the points are no line, and what is computed from it says so.", 100*bent)
	p.line("")
	for i, s := range r.Slopes {
		if i == 0 || r.Slopes[i-1].Group != s.Group {
			p.line("### %s: `rudderlab capacity --only %s`", s.Group, roleOf(s.Group))
			p.line("")
			if text := about[s.Group]; text != "" {
				p.line("%s", text)
				p.line("")
			}
			p.line("| slope | what | points: %s | at 0 | each | off | R² | |", "size → value")
			p.line("| --- | --- | --- | ---: | ---: | ---: | ---: | --- |")
		}
		at0, each, off, r2 := "", "", "", ""
		if s.Line.From < s.Line.To {
			at0, each = number(s.Line.At0), number(s.Line.Each)
			off, r2 = fmt.Sprintf("%.0f %%", 100*s.Line.Residual), fmt.Sprintf("%.3f", s.Line.R2)
		}
		var points []string
		for _, q := range s.Points {
			points = append(points, number(q.X)+" → "+number(q.Y))
		}
		note := s.Note
		if s.Refused != "" {
			note = join(note, "not run: "+s.Refused)
		}
		p.line("| `%s` | %s, %s by %s | %s | %s | %s | %s | %s | %s |", s.Name, s.What, s.Unit, s.X, strings.Join(points, ", "), at0, each, off, r2, cell(note))
		if i == len(r.Slopes)-1 || r.Slopes[i+1].Group != s.Group {
			p.line("")
		}
	}
}

// roleOf names a role whose measures a group is among, the one with the fewest.
func roleOf(group string) string {
	best := ""
	for _, role := range Roles {
		for _, g := range groups[role] {
			if g == group && (best == "" || len(groups[role]) < len(groups[best])) {
				best = role
			}
		}
	}
	return best
}

func amount(a Amount, unit string) string {
	if !a.Known {
		return "not measured: " + cell(a.Why)
	}
	text := number(a.Value) + " " + unit
	if a.Why != "" {
		text += " (" + cell(a.Why) + ")"
	}
	return text
}

func budget(r Row) string {
	if r.Budget == 0 {
		return ""
	}
	return number(r.Budget)
}

func verdict(r Row) string {
	v := r.Verdict()
	if off := r.Off(); off != "" && v != Missing {
		return string(v) + ", " + off
	}
	return string(v)
}

func carrier(r Row) string {
	if r.By == "" {
		return "missing: " + cell(r.Gap)
	}
	return r.By
}

// cell keeps a text within a cell of a table.
func cell(s string) string {
	return strings.NewReplacer("|", "/", "\n", " ").Replace(s)
}

// number writes three digits, and whole numbers with their thousands apart.
func number(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 1000:
		digits := fmt.Sprintf("%.0f", a)
		for i := len(digits) - 3; i > 0; i -= 3 {
			digits = digits[:i] + "," + digits[i:]
		}
		if v < 0 {
			digits = "-" + digits
		}
		return digits
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
