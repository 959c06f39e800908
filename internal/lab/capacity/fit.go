package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a straight line through points, by least squares.
type Line struct {
	At0      float64 `json:"at_0"`
	Each     float64 `json:"each"`
	Residual float64 `json:"residual"` // the largest distance of a point from the line, as a share of the largest value
	Distance float64 `json:"distance"` // the same in the values' unit
	R2       float64 `json:"r2"`
	From, To float64 // the points' range
}

// bent is the residual from which the points are not taken for a line: what is computed from it is then marked.
const bent = 0.15

var errPoints = errors.New("a line needs points at two places")

// Fit lays a line through points.
func Fit(points []Point) (l Line, err error) {
	var x, y []float64
	l.From, l.To = math.Inf(1), math.Inf(-1)
	most := 0.0
	for _, p := range points {
		x, y = append(x, p.X), append(y, p.Y)
		l.From, l.To, most = min(l.From, p.X), max(l.To, p.X), max(most, math.Abs(p.Y))
	}
	if !(l.From < l.To) {
		return Line{}, errPoints
	}
	l.At0, l.Each = stat.LinearRegression(x, y, nil, false)
	l.R2 = stat.RSquared(x, y, nil, l.At0, l.Each)
	if math.IsNaN(l.R2) {
		l.R2 = 1 // all values are one
	}
	for _, p := range points {
		l.Distance = max(l.Distance, math.Abs(p.Y-l.At(p.X)))
	}
	if most > 0 {
		l.Residual = l.Distance / most
	}
	return l, nil
}

// At is the line's value.
func (l Line) At(x float64) float64 { return l.At0 + l.Each*x }

// Beyond is how many times further than its farthest point a line is asked for; 1 or less: it is not.
func (l Line) Beyond(x float64) float64 { return x / l.To }

// Bent says that the points are no line.
func (l Line) Bent() bool { return l.Residual > bent }

// Lost says that the points lie as far from the line as it rises between them, so that what one more costs is not seen.
func (l Line) Lost() bool { return math.Abs(l.Each)*(l.To-l.From) < 2*l.Distance }
