package fleet

import (
	"math"
	"slices"
)

// Row is a case over its seeds: means, and the worst of what has one.
type Row struct {
	Name    string  `json:"case"`
	Runs    int     `json:"runs"` // that count
	Void    int     `json:"void"` // that do not
	Goodput float64 `json:"goodput"`
	Hit     float64 `json:"hit"`
	Worst   float64 `json:"worst"`
	Calm    float64 `json:"calm"`
	First   float64 `json:"first_s"`  // the latest; below 0: once never
	Return  float64 `json:"return_s"` // the middle one; below 0: never in half of the runs
	Latest  float64 `json:"latest_s"` // the latest return; below 0: once not within the day
	Calls   uint64  `json:"most_calls"`
	InStep  int     `json:"in_step"`
	Conns   int     `json:"most_conns"`
	Cold    float64 `json:"cold_share"`
	Broken  uint64  `json:"broken"`
	Breaks  []string
}

// RowOf sums the runs of a case up. Void ones count as such alone.
func RowOf(name string, runs []*Done) Row {
	r := Row{Name: name, Worst: 1}
	var returns []float64
	for _, d := range runs {
		if d.Void != "" {
			r.Void++
			continue
		}
		r.Runs++
		r.Goodput += d.Goodput
		r.Hit += d.Hit
		r.Calm += d.Calm
		r.Worst = min(r.Worst, d.Worst)
		r.First = later(r.First, d.First)
		r.Latest = later(r.Latest, d.Return)
		if d.Return < 0 {
			returns = append(returns, math.Inf(1))
		} else {
			returns = append(returns, d.Return)
		}
		r.InStep = max(r.InStep, d.InStep)
		r.Calls, r.Conns, r.Cold = max(r.Calls, d.MostCalls), max(r.Conns, d.MostConns), max(r.Cold, d.ColdShare)
		r.Broken += d.Broken
		r.Breaks = append(r.Breaks, d.Breaks...)
	}
	if n := float64(r.Runs); n > 0 {
		r.Goodput, r.Hit, r.Calm = r.Goodput/n, r.Hit/n, r.Calm/n
		slices.Sort(returns)
		if r.Return = returns[len(returns)/2]; math.IsInf(r.Return, 1) {
			r.Return = -1
		}
	}
	return r
}

// later is the later of two times of which one below 0 is never.
func later(a, b float64) float64 {
	if a < 0 || b < 0 {
		return -1
	}
	return max(a, b)
}
