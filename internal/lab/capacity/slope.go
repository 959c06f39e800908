package capacity

import (
	"fmt"
	"time"
)

// Slope is one thing measured at several sizes.
type Slope struct {
	Name    string  `json:"name"`
	Group   string  `json:"group"` // what is measured together
	What    string  `json:"what"`
	X       string  `json:"x"`    // what the sizes are of
	Unit    string  `json:"unit"` // of the values
	Points  []Point `json:"points"`
	Refused string  `json:"refused,omitempty"` // why a size could not be measured
	Line    Line    `json:"line"`
	Note    string  `json:"note,omitempty"`  // what the measure cannot show
	Cases   bool    `json:"cases,omitempty"` // the sizes are cases apart, and no line is meant
}

// add a point.
func (s *Slope) add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// Amount is a value that may not be there.
type Amount struct {
	Value float64 `json:"value"`
	Known bool    `json:"known"`
	Why   string  `json:"why,omitempty"` // it is not known, or what is doubtful about it
}

func known(v float64) Amount                    { return Amount{Value: v, Known: true} }
func unknown(format string, args ...any) Amount { return Amount{Why: fmt.Sprintf(format, args...)} }
func (a Amount) times(f float64) Amount         { a.Value *= f; return a }
func (a Amount) because(why string) Amount      { a.Why = join(a.Why, why); return a }

// plus adds amounts; one that is not known makes the sum unknown.
func (a Amount) plus(all ...Amount) Amount {
	for _, b := range all {
		a.Value += b.Value
		a.Known = a.Known && b.Known
		a.Why = join(a.Why, b.Why)
	}
	if !a.Known {
		a.Value = 0
	}
	return a
}

func join(a, b string) string {
	switch {
	case a == "" || a == b:
		return b
	case b == "":
		return a
	}
	return a + "; " + b
}

// Probe is what the program that was measured takes, or refuses.
type Probe struct {
	Name  string `json:"name"`
	Taken bool   `json:"taken"`
	Why   string `json:"why,omitempty"`
}

// Machine is what the figures belong to.
type Machine struct {
	CPU   string `json:"cpu"`
	Cores int    `json:"cores"` // of the machine
	Used  int    `json:"used"`  // that the command may use
	Go    string `json:"go"`
	Load  string `json:"load"` // of the machine as the command began, on average over a minute
}

// Results are all that was measured.
type Results struct {
	Machine Machine       `json:"machine"`
	Took    time.Duration `json:"took_ns"`
	Only    string        `json:"only,omitempty"`
	Slopes  []*Slope      `json:"slopes"`
	Probes  []Probe       `json:"probes"`
}

// slope finds one by its name.
func (r *Results) slope(name string) *Slope {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// probe finds one by its name. What was not asked is not taken.
func (r *Results) probe(name string) Probe {
	for _, p := range r.Probes {
		if p.Name == name {
			return p
		}
	}
	return Probe{Name: name, Why: "not asked"}
}

// add fits a slope's line and keeps it.
func (r *Results) add(all ...*Slope) {
	for _, s := range all {
		if !s.Cases {
			s.Line, _ = Fit(s.Points) // without two places there is none, and at says so
		}
		r.Slopes = append(r.Slopes, s)
	}
}

// at is what a slope's line says of a size.
func (r *Results) at(name string, x float64) Amount { return r.line(name, x, Line.At) }

// each is what one more costs, times so many: the line without its start. Nothing gets less by more of it, so a line that
// falls has been lost in its points' scatter.
func (r *Results) each(name string, x float64) Amount {
	a := r.line(name, x, func(l Line, x float64) float64 { return max(0, l.Each*x) })
	if s := r.slope(name); a.Known && s.Line.Lost() {
		a = a.because("what one more costs is lost in the scatter of " + name)
	}
	return a
}

func (r *Results) line(name string, x float64, value func(Line, float64) float64) Amount {
	s := r.slope(name)
	switch {
	case s == nil:
		return unknown("%s was not measured", name)
	case !(s.Line.From < s.Line.To):
		if s.Refused != "" {
			return unknown("%s: %s", name, s.Refused)
		}
		return unknown("%s has too few points", name)
	}
	a := known(value(s.Line, x))
	if s.Line.Bent() {
		a = a.because(fmt.Sprintf("the points of %s are no line (%.0f %% off)", name, 100*s.Line.Residual))
	}
	if b := s.Line.Beyond(x); b > 1.001 {
		a = a.because(fmt.Sprintf("%.2g times beyond the points of %s", b, name))
	}
	return a
}

// point is what was measured at a size.
func (r *Results) point(name string, x float64) Amount {
	if s := r.slope(name); s != nil {
		for _, p := range s.Points {
			if p.X == x {
				return known(p.Y).because(s.Note)
			}
		}
	}
	return unknown("%s was not measured at %s", name, number(x))
}
