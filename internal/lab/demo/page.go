package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"pewterrudder/internal/lab/world"
)

// page draws over the whole of a terminal of 80 columns and 24 lines or more.
type page struct {
	out    io.Writer
	colour bool
}

func newPage(out io.Writer, colour bool) *page { return &page{out, colour} }

const (
	toPage   = "\x1b[?1049h\x1b[?25l\x1b[2J" // the other screen, without a cursor
	fromPage = "\x1b[?25h\x1b[?1049l"
	home     = "\x1b[H"
	restLine = "\x1b[K"
	restPage = "\x1b[J"
	width    = 79
)

func (p *page) begin() {
	io.WriteString(p.out, toPage+"pewterrudder: starting six stand-in app nodes, discovery and one balancer ...")
}

func (p *page) end() { io.WriteString(p.out, fromPage) }

func (p *page) draw(v *view) {
	var b strings.Builder
	b.WriteString(home)
	for _, line := range p.lines(v) {
		b.WriteString(line + restLine + "\r\n")
	}
	b.WriteString(restPage)
	io.WriteString(p.out, b.String())
}

// paint colours a text, for those who see colours; the words say the same without.
func (p *page) paint(code, text string) string {
	if !p.colour {
		return text
	}
	return "\x1b[" + code + "m" + text + "\x1b[0m"
}

const (
	bold   = "1"
	red    = "31"
	green  = "32"
	yellow = "33"
)

// lines are the page's; without colours none is wider than a terminal of 80 columns.
func (p *page) lines(v *view) []string {
	now := v.at.Round(time.Second)
	lines := []string{
		p.paint(bold, "pewterrudder, a load balancer") + fmt.Sprintf("%*s", width-29,
			fmt.Sprintf("balancer %s, process %d, %s", v.address, v.pid, now)),
		strings.Repeat("-", width),
	}
	if v.began {
		served := p.paint(green, fmt.Sprintf("%5.1f %% served", 100*v.served))
		if v.served < 0.995 {
			served = p.paint(yellow, fmt.Sprintf("%5.1f %% served", 100*v.served))
		}
		lines = append(lines, fmt.Sprintf("last 5 s  %4.0f requests/s, %s, p50 %.0f ms, p90 %.0f ms, p99 %.0f ms",
			v.rate, served, ms(v.p50), ms(v.p90), ms(v.p99)))
	} else {
		lines = append(lines, "last 5 s  the first requests come when the balancer has been up for 3 s")
	}
	lines = append(lines, fmt.Sprintf("in all    %d served, %d refused, %d failed, %d unanswered", v.ends[world.Served],
		v.ends[world.Refused], v.ends[world.Failed], v.ends[world.Unreached]+v.ends[world.Lost]+v.ends[world.Crashed]),
		"", "app node    zone    state       gets/s  holds  busy")
	for i := range v.nodes {
		n := &v.nodes[i]
		state, code := "sound", green
		switch {
		case !n.up:
			state, code = "down", red
		case n.slow:
			state, code = fmt.Sprintf("%dx slower", slowTimes), yellow
		}
		lines = append(lines, fmt.Sprintf("%-11s %-7s %s %6.0f  %5d  %s %3.0f %%", n.id, n.zone,
			p.paint(code, fmt.Sprintf("%-11s", state)), n.rate, n.held, bar(n.busy), 100*n.busy))
	}
	what := fmt.Sprintf("press s to make %s %d times slower", v.slowID, slowTimes)
	if v.slowed {
		what = fmt.Sprintf("press h to heal %s", v.slowID)
	}
	if v.ending {
		what = "ending: what was taken is finished"
	}
	lines = append(lines, "", p.paint(bold, what)+"      q or Ctrl-C ends all", "",
		"Ask it yourself, from another terminal:", "")
	for _, line := range v.curl {
		lines = append(lines, "  "+line)
	}
	lines = append(lines, "", "Drain an app node (restore brings it back):", "  "+v.operate)
	return append(lines, "", "README.md says how to run one; rudderlab list names days to try.")
}

// bar shows a share.
func bar(share float64) string {
	const cells = 20
	n := int(min(1, max(0, share))*cells + 0.5)
	return "[" + strings.Repeat("#", n) + strings.Repeat(".", cells-n) + "]"
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

// plain writes a line a second.
type plain struct {
	out  io.Writer
	last time.Duration
	told bool
}

func newPlain(out io.Writer) display { return &plain{out: out} }

func (p *plain) begin() {
	fmt.Fprintln(p.out, "starting six stand-in app nodes, discovery and one balancer; s and h on standard input make an "+
		"app node slow and heal it, q ends")
}

func (p *plain) end() {}

func (p *plain) draw(v *view) {
	if !p.told && v.pid != 0 {
		p.told = true
		fmt.Fprintf(p.out, "balancer %s, process %d; ask it yourself:\n%s\nand drain an app node of it:\n%s\n", v.address, v.pid,
			strings.ReplaceAll(strings.Join(v.curl, " "), "\\      ", ""), v.operate)
	}
	if v.at < p.last+time.Second || !v.began {
		return
	}
	p.last = v.at
	slow := ""
	if v.slowed {
		slow = fmt.Sprintf("; %s is %d times slower and gets %.0f/s", v.slowID, slowTimes, v.nodes[slowNode].rate)
	}
	const line = "%4.0f s: %.0f requests/s, %.1f %% served, p50 %.0f ms, p90 %.0f ms, p99 %.0f ms%s\n"
	fmt.Fprintf(p.out, line, v.at.Seconds(), v.rate, 100*v.served, ms(v.p50), ms(v.p90), ms(v.p99), slow)
}
