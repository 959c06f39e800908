package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"pewterrudder/internal/lab/result"
)

const (
	plotWide, plotHigh = vg.Length(760), vg.Length(250) // in points
	legendWide         = vg.Length(110)                 // beside the plot, so that no line runs under it
	// pointsMost is the number of points of a line over time: more would fall on the same pixels.
	pointsMost = 256
)

// Okabe and Ito's colours, which the colour-blind can tell apart, ours first.
var colours = []color.Color{
	color.NRGBA{0, 114, 178, 255}, color.NRGBA{213, 94, 0, 255}, color.NRGBA{0, 158, 115, 255},
	color.NRGBA{204, 121, 167, 255}, color.NRGBA{230, 159, 0, 255}, color.NRGBA{86, 180, 233, 255},
	color.NRGBA{60, 60, 60, 255},
}

var gridColour = color.NRGBA{0, 0, 0, 28}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	sans := font.Font{Typeface: "Liberation", Variant: "Sans", Size: 10}
	for _, s := range []*text.Style{&p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label,
		&p.Legend.TextStyle} {
		s.Font = sans
	}
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Padding, p.Y.Padding = 0, 0
	p.Legend.Padding = 2
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = gridColour, gridColour
	p.Add(grid)
	return p
}

// svg draws a plot, and what legend names to its right.
func svg(p *plot.Plot, high vg.Length, legend *plot.Legend) (string, error) {
	c := vgsvg.New(plotWide, high)
	whole := draw.New(c)
	p.Draw(draw.Crop(whole, 0, -legendWide-10, 4, -4))
	if legend != nil {
		legend.Draw(draw.Crop(whole, plotWide-legendWide, 0, 0, -4))
	}
	return within(c)
}

// within gives the drawing without what only a file of its own may begin with.
func within(c *vgsvg.Canvas) (string, error) {
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	at := bytes.Index(b.Bytes(), []byte("<svg"))
	if at < 0 {
		return "", fmt.Errorf("report: a plot without an svg element")
	}
	// A cell of a map is as wide and as high as the axes make it, and what the package calls a JPEG is a PNG.
	return strings.NewReplacer("<image ", `<image preserveAspectRatio="none" `, "data:image/jpg;", "data:image/png;").
		Replace(string(b.Bytes()[at:])), nil
}

func newLegend(p *plot.Plot) *plot.Legend {
	l := p.Legend
	l.Top, l.Left = true, true
	return &l
}

func addLine(p *plot.Plot, legend *plot.Legend, xy plotter.XYs, i int, name string) error {
	if len(xy) == 0 {
		return nil
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	line.Color, line.Width = colours[i%len(colours)], 1.4
	if i >= len(colours) {
		line.Dashes = []vg.Length{4, 2}
	}
	p.Add(line)
	if legend != nil {
		legend.Add(name, line)
	}
	return nil
}

// latencies plots the quantiles of all requests of each record. Both axes are logarithmic: the one in time, the other
// in the share of requests that took longer, so that the tail has the room that it has in users' minds.
func latencies(records []result.Record) (string, error) {
	p := newPlot("share of served requests answered within", "ms from the moment it was due")
	legend := newLegend(p)
	// The logarithms are taken here: the package's own scale places the axes' names by the linear one.
	shares := []float64{0, 50, 90, 99, 99.9, 99.99, 99.999}
	low, high, most := math.Inf(1), 0.0, 10.0
	for i := range records {
		t := records[i].Times
		if t.Histogram == nil || t.TotalCount() == 0 {
			continue
		}
		var xy plotter.XYs
		for x := 1.0; x <= float64(t.TotalCount()); x *= 1.04 { // x = 1 / share that took longer
			y := max(0.001, float64(t.ValueAtPercentile(100-100/x))/1000)
			xy = append(xy, plotter.XY{X: math.Log10(x), Y: math.Log10(y)})
			low, high, most = min(low, y), max(high, y), max(most, x)
		}
		if err := addLine(p, legend, xy, i, records[i].Policy); err != nil {
			return "", err
		}
	}
	if high == 0 {
		return "", nil
	}
	var ticks []plot.Tick
	for _, s := range shares {
		if x := 100 / (100 - s); x <= most {
			ticks = append(ticks, plot.Tick{Value: math.Log10(x), Label: strconv.FormatFloat(s, 'f', -1, 64) + " %"})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.X.Min, p.X.Max = 0, math.Log10(most)
	p.Y.Min, p.Y.Max = math.Log10(low/1.1), math.Log10(high*1.1)
	p.Y.Tick.Marker = plot.ConstantTicks(decades(low/1.1, high*1.1))
	return svg(p, plotHigh, legend)
}

// decades gives the ticks 1, 2, 5, 10, and so on, of a range by their logarithms; over many decades the tens alone have
// labels.
func decades(low, high float64) (ticks []plot.Tick) {
	few := high/low < 2000
	for e := math.Floor(math.Log10(low)); e <= math.Log10(high); e++ {
		for _, m := range []float64{1, 2, 5} {
			v := m * math.Pow(10, e)
			if v < low || v > high {
				continue
			}
			t := plot.Tick{Value: math.Log10(v)}
			if few || m == 1 {
				t.Label = strconv.FormatFloat(v, 'g', 6, 64)
			}
			ticks = append(ticks, t)
		}
	}
	return ticks
}

// even gives round ticks from 0 on, about ten of them.
func even(end float64) plot.ConstantTicks {
	step := math.Pow(10, math.Floor(math.Log10(max(end, 1e-9)/8)))
	for _, m := range []float64{1, 2, 5, 10} {
		if end/(step*m) <= 12 {
			step *= m
			break
		}
	}
	var ticks plot.ConstantTicks
	for i := 0; float64(i)*step <= end*(1+1e-9); i++ {
		ticks = append(ticks, plot.Tick{Value: float64(i) * step, Label: strconv.FormatFloat(float64(i)*step, 'g', 6, 64)})
	}
	return ticks
}

// shade marks the faults from bottom to top of a plot over time, each with its letter above.
func shade(p *plot.Plot, faults []result.Fault, bottom, top, end float64) error {
	// The more there are the fainter each, since where they overlap their shades add up.
	tint := color.NRGBA{200, 60, 60, uint8(max(8, 40/math.Sqrt(max(1, float64(len(faults))))))}
	var names plotter.XYLabels
	for i, f := range faults {
		if f.From >= end {
			continue
		}
		to := max(min(f.To, end), f.From+end/500) // what has no length is a thin line
		box, err := plotter.NewPolygon(plotter.XYs{{X: f.From, Y: bottom}, {X: f.From, Y: top}, {X: to, Y: top},
			{X: to, Y: bottom}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = tint, 0
		p.Add(box)
		names.XYs = append(names.XYs, plotter.XY{X: f.From, Y: top - float64(i%3)*0.04*(top-bottom)}) // in steps, to be read
		names.Labels = append(names.Labels, letter(i))
	}
	if len(names.Labels) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(names)
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font = font.Font{Typeface: "Liberation", Variant: "Sans", Size: 8}
		labels.TextStyle[i].YAlign = draw.YTop
		labels.TextStyle[i].Color = color.NRGBA{150, 30, 30, 255}
	}
	labels.Offset = vg.Point{X: 2, Y: -2}
	p.Add(labels)
	return nil
}

// letter names a fault: A to Z, then A1 and on.
func letter(i int) string {
	if i < 26 {
		return string(rune('A' + i))
	}
	return string(rune('A'+i%26)) + strconv.Itoa(i/26)
}

func endOf(records []result.Record) (end float64) {
	for i := range records {
		end = max(end, float64(len(records[i].Windows))*records[i].Width)
	}
	return end
}

// overTime makes a line of a figure of the windows; windows join where they are more than a line can show, and those
// without a figure leave it out.
func overTime(r *result.Record, figure func(*result.Window) (float64, bool)) (xy plotter.XYs) {
	step := (len(r.Windows) + pointsMost - 1) / pointsMost
	for i := 0; i < len(r.Windows); i += step {
		sum, n := 0.0, 0.0
		for k := i; k < min(i+step, len(r.Windows)); k++ {
			if y, ok := figure(&r.Windows[k]); ok {
				sum, n = sum+y, n+1
			}
		}
		if n > 0 {
			xy = append(xy, plotter.XY{X: (float64(i) + float64(step)/2) * r.Width, Y: sum / n})
		}
	}
	return xy
}

func goodputs(records []result.Record) (string, error) {
	p := newPlot("time, s", "goodput of what was due then")
	legend := newLegend(p)
	end := endOf(records)
	if err := shade(p, records[0].Faults, 0, 1.05, end); err != nil {
		return "", err
	}
	for i := range records {
		if err := addLine(p, legend, overTime(&records[i], (*result.Window).Goodput), i, records[i].Policy); err != nil {
			return "", err
		}
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, end, 0, 1.05
	p.X.Tick.Marker, p.Y.Tick.Marker = even(end), even(1)
	return svg(p, plotHigh, legend)
}

// still says whether a policy has one K throughout and never a burst, so that a plot would tell nothing.
func still(r *result.Record) (k float64, ok bool) {
	for i := range r.Windows {
		w := &r.Windows[i]
		if w.Looks == 0 {
			continue
		}
		if now := w.K / float64(w.Looks); !ok {
			k, ok = now, true
		} else if math.Abs(now-k) > 1e-9 {
			return 0, false
		}
		if w.Bursts > 0 {
			return 0, false
		}
	}
	return k, ok
}

// choices plots K as a line and, at the foot, the share of balancers that hold that there is a burst.
func choices(r *result.Record) (string, error) {
	ks := overTime(r, func(w *result.Window) (float64, bool) { return w.K / float64(w.Looks), w.Looks > 0 })
	if len(ks) == 0 {
		return "", nil
	}
	p := newPlot("time, s", "K")
	legend := newLegend(p)
	end, top := endOf([]result.Record{*r}), 1.0
	for _, k := range ks {
		top = max(top, k.Y)
	}
	top = math.Ceil(top * 1.1)
	if err := shade(p, r.Faults, 0, top, end); err != nil {
		return "", err
	}
	bursts := overTime(r, func(w *result.Window) (float64, bool) {
		return float64(w.Bursts) / float64(w.Looks) * top, w.Looks > 0
	})
	area := append(plotter.XYs{{X: bursts[0].X}}, bursts...)
	area = append(area, plotter.XY{X: bursts[len(bursts)-1].X})
	if box, err := plotter.NewPolygon(area); err == nil {
		box.Color, box.LineStyle.Width = color.NRGBA{230, 159, 0, 90}, 0
		p.Add(box)
		legend.Add("balancers in", box)
		legend.Add("a burst, share")
	}
	if err := addLine(p, legend, ks, 0, "K, mean"); err != nil {
		return "", err
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, end, 0, top
	p.X.Tick.Marker, p.Y.Tick.Marker = even(end), even(top)
	return svg(p, plotHigh*0.7, legend)
}

// grid is the loads of a record's nodes by window, as the heat map takes them.
type grid struct {
	r    *result.Record
	cols int
	step int
}

func (g grid) Dims() (c, r int) { return g.cols, len(g.r.Loads) }
func (g grid) X(c int) float64  { return (float64(c) + 0.5) * float64(g.step) * g.r.Width }
func (g grid) Y(r int) float64  { return float64(r) }
func (g grid) Z(c, r int) float64 {
	sum, n := 0.0, 0.0
	for i := c * g.step; i < (c+1)*g.step; i++ {
		if m, ok := g.r.Loads[r].Mean(i); ok {
			sum, n = sum+m, n+1
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return sum / n
}

// loads maps the load of each app node over time, a row each, the first on top. top is the scale's end, so that the
// maps of several policies can be compared.
func loads(r *result.Record, top float64) (string, error) {
	if len(r.Loads) == 0 || len(r.Windows) < 2 || top <= 0 {
		return "", nil
	}
	g := grid{r: r, step: (len(r.Windows) + pointsMost - 1) / pointsMost}
	g.cols = (len(r.Windows) + g.step - 1) / g.step
	p := newPlot("time, s", "")
	scale := moreland.ExtendedBlackBody()
	scale.SetMin(0)
	scale.SetMax(top)
	shades := palette.Reverse(scale).Palette(64)
	rows := tall{grid: g}
	heat := plotter.NewHeatMap(rows, shades)
	heat.Min, heat.Max = 0, top
	heat.NaN, heat.Overflow = color.NRGBA{200, 210, 220, 255}, shades.Colors()[63]
	heat.Rasterized = true
	p.Add(heat)
	var names []plot.Tick
	every := (len(r.Loads) + 15) / 16
	for i := 0; i < len(r.Loads); i += every {
		names = append(names, plot.Tick{Value: rows.Y(len(r.Loads) - 1 - i), Label: r.Loads[i].Nodes})
	}
	p.Y.Tick.Marker = plot.ConstantTicks(names)
	p.X.Min, p.X.Max = 0, float64(g.cols*g.step)*r.Width
	p.X.Tick.Marker = even(p.X.Max)
	high := vg.Length(min(max(9*len(r.Loads), 90), 300)) + 40
	c := vgsvg.New(plotWide, high)
	whole := draw.New(c)
	p.Draw(draw.Crop(whole, 0, -legendWide-10, 4, -4))
	bar := newPlot("", "")
	bar.HideX()
	reverse := palette.Reverse(scale)
	reverse.SetMin(0)
	reverse.SetMax(top)
	bar.Add(&plotter.ColorBar{ColorMap: reverse, Vertical: true, Colors: 64})
	bar.Y.Label.Text = "requests held"
	bar.Draw(draw.Crop(whole, plotWide-legendWide+20, -30, 24, -4))
	return within(c)
}

// tall is a grid whose first row is the top one.
type tall struct{ grid }

func (t tall) Z(c, r int) float64 { return t.grid.Z(c, len(t.r.Loads)-1-r) }

// scaleOf is the load that all but one in a hundred of the looked-at cells stay below.
func scaleOf(records []result.Record) float64 {
	var all []float64
	for i := range records {
		for k := range records[i].Loads {
			for w := range records[i].Windows {
				if m, ok := records[i].Loads[k].Mean(w); ok {
					all = append(all, m)
				}
			}
		}
	}
	return quantile(all, 0.99)
}
