package fleet

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"strings"
)

// Save writes the history of a run as path.json, its day as path.day.json, and a page as path.html.
func (d *Done) Save(path string) error {
	if err := Write(d.Drawn, path+".day.json"); err != nil {
		return err
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".json", raw, 0o666); err != nil {
		return err
	}
	out, err := os.Create(path + ".html")
	if err != nil {
		return err
	}
	if err := page.Execute(out, d.drawing()); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Sizes of a drawing, in its own units.
const (
	wide     = 1000.0
	laneHigh = 16.0
	laneStep = 20.0
	curve    = 90.0
)

type box struct {
	X, Y, W, H float64
	Class      string
	Text       string
}

type drawing struct {
	*Done
	Wide, High, LanesEnd  float64
	Lanes                 []box // slots of the lanes
	Hits                  []box // faults over the lanes they hit
	Marks                 []box // faults that hit no lane of their own, across all
	Names                 []box
	Goodput, Attempts     string // points of curves
	GoodputAt, AttemptsAt float64
	Seconds               []box
}

// drawing puts a run in lanes by process, with the faults over them and the fleet's curves below.
func (d *Done) drawing() *drawing {
	h := d.History
	n := float64(h.length)
	x := func(s float64) float64 { return min(wide, max(0, s/h.Slot/n*wide)) }
	g := &drawing{Done: d, Wide: wide, LanesEnd: laneStep * float64(len(h.Lanes))}
	for b := range h.Lanes {
		l := &h.Lanes[b]
		y := laneStep * float64(b)
		g.Names = append(g.Names, box{X: -6, Y: y + laneHigh*0.75, Text: fmt.Sprintf("balancer %d", b)})
		for i := range l.Up {
			class := "served"
			switch {
			case l.Served[i]+l.Refused[i]+l.Failed[i] == 0 && !l.Up[i]:
				continue
			case l.Served[i]+l.Refused[i]+l.Failed[i] == 0:
				class = "quiet"
			case l.Failed[i] > 0 && l.Failed[i] >= l.Served[i]:
				class = "failed"
			case l.Refused[i] > l.Served[i]:
				class = "refused"
			}
			g.Lanes = append(g.Lanes, box{X: float64(i) / n * wide, Y: y, W: wide / n, H: laneHigh, Class: class,
				Text: fmt.Sprintf("%.1f s: %d served, %d refused, %d failed", float64(i)*h.Slot, l.Served[i], l.Refused[i], l.Failed[i])})
		}
	}
	for _, f := range d.Faults {
		at := box{X: x(f.From), W: max(2, x(f.To)-x(f.From)), H: laneStep, Text: fmt.Sprintf("%s %s, %.1f to %.1f s", f.Kind, f.Ends, f.From, f.To)}
		for _, b := range f.Balancers {
			at.Y = laneStep*float64(b) - 2
			g.Hits = append(g.Hits, at)
		}
		if len(f.Balancers) == 0 {
			at.Y, at.H = 0, g.LanesEnd
			g.Marks = append(g.Marks, at)
		}
	}
	g.GoodputAt, g.AttemptsAt = g.LanesEnd+20, g.LanesEnd+40+curve
	g.High = g.AttemptsAt + curve + 30
	var goodput, attempts []float64
	most := 1.0
	for s := 0.0; s+0.5 <= n*h.Slot; s += h.Slot {
		goodput = append(goodput, h.goodput(s, s+0.5))
		sent := 0.0
		for b := range h.Lanes {
			sent += sum(h.Lanes[b].Attempts[h.slotOf(s):min(h.length, h.slotOf(s+0.5))])
		}
		attempts = append(attempts, sent*2)
		most = max(most, sent*2)
	}
	for i := range attempts {
		attempts[i] /= most
	}
	g.Goodput, g.Attempts = points(goodput, n, g.GoodputAt), points(attempts, n, g.AttemptsAt)
	for s := 0.0; s < n*h.Slot; s++ {
		g.Seconds = append(g.Seconds, box{X: x(s), Y: g.High - 8, Text: fmt.Sprintf("%.0f s", s)})
	}
	return g
}

func points(of []float64, n, at float64) string {
	var b strings.Builder
	for i, v := range of {
		fmt.Fprintf(&b, "%.1f,%.1f ", float64(i)/n*wide, at+curve*(1-v))
	}
	return b.String()
}
