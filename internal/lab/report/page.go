package report

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/result"
)

// runsMost is the number of runs that are listed one by one: beyond it the means say more, and the CSV has the rest.
const runsMost = 40

// faultsMost is the number of faults that can be told apart in one plot.
const faultsMost = 24

// HTML writes the page of some records: for each scenario its policies side by side, compared seed by seed.
func HTML(w io.Writer, title string, records []result.Record) error {
	type group struct {
		key     string
		records []result.Record
	}
	var groups []*group
	for _, r := range records {
		key := r.Scenario + " on " + r.On
		i := slices.IndexFunc(groups, func(g *group) bool { return g.key == key })
		if i < 0 {
			i = len(groups)
			groups = append(groups, &group{key: key})
		}
		groups[i].records = append(groups[i].records, r)
	}
	page := struct {
		Title    string
		Sections []section
	}{Title: title}
	for _, g := range groups {
		s, err := newSection(g.key, g.records)
		if err != nil {
			return err
		}
		page.Sections = append(page.Sections, s)
	}
	return layout.Execute(w, page)
}

// section is one scenario.
type section struct {
	Title     string
	Void      []string
	Policies  []string
	Means     []row
	Against   []string
	Ours      string
	Verdicts  []row
	Note      string
	Runs      []result.Run
	More      int
	Faults    []fault
	Latencies template.HTML
	Goodputs  template.HTML
	Loads     []figure
	Choices   []figure
	Still     []string // policies of one K
}

type row struct {
	Name  string
	Cells []string
}

type fault struct {
	Letter string
	result.Fault
}

type figure struct {
	Title string
	SVG   template.HTML // drawn by plots.go, which quotes what it writes
}

func newSection(title string, records []result.Record) (section, error) {
	s := section{Title: title}
	byPolicy := map[string][]result.Record{}
	for _, r := range records {
		if r.Void {
			s.Void = append(s.Void, fmt.Sprintf("%s, seed %d: %s", r.Policy, r.Seed, r.Why))
			continue
		}
		if byPolicy[r.Policy] == nil {
			s.Policies = append(s.Policies, r.Policy)
		}
		byPolicy[r.Policy] = append(byPolicy[r.Policy], r)
	}
	if len(s.Policies) == 0 {
		return s, nil
	}
	// Ours comes first and is what the others are compared with.
	slices.SortStableFunc(s.Policies, func(a, b string) int { return rank(a) - rank(b) })
	var merged []result.Record
	runs := map[string][]result.Run{}
	for _, p := range s.Policies {
		m, err := result.Merge(byPolicy[p])
		if err != nil {
			return s, err
		}
		merged = append(merged, m)
		for _, r := range byPolicy[p] {
			runs[p] = append(runs[p], r.Run)
			s.Runs = append(s.Runs, r.Run)
		}
		for i, c := range result.Means(runs[p]) {
			if len(s.Means) == i {
				s.Means = append(s.Means, row{Name: c.Measure})
			}
			s.Means[i].Cells = append(s.Means[i].Cells, c.String())
		}
	}
	if s.More = len(s.Runs) - runsMost; s.More > 0 {
		s.Runs = s.Runs[:runsMost]
	}
	s.Ours = s.Policies[0]
	for _, p := range s.Policies[1:] {
		table, err := result.Compare(runs[s.Ours], runs[p])
		if err != nil { // no seed in common
			s.Note += fmt.Sprintf("%s cannot be compared with %s: %v. ", s.Ours, p, err)
			continue
		}
		s.Against = append(s.Against, fmt.Sprintf("%s, %d pairs", p, table[0].Pairs))
		for i, c := range table {
			if len(s.Verdicts) == i {
				s.Verdicts = append(s.Verdicts, row{Name: c.Measure})
			}
			s.Verdicts[i].Cells = append(s.Verdicts[i].Cells, c.Verdict)
		}
	}
	if n := len(merged[0].Faults); n > faultsMost { // drawn anew for each seed, they would shade all there is
		s.Note += fmt.Sprintf("The runs have %d faults between them, which differ from seed to seed, and are not shaded. ", n)
		for i := range merged {
			merged[i].Faults = nil
		}
	}
	for i, f := range merged[0].Faults {
		s.Faults = append(s.Faults, fault{letter(i), f})
	}
	return s, s.draw(merged)
}

func rank(name string) int {
	if name == policy.Ours {
		return 0
	}
	return 1
}

func (s *section) draw(merged []result.Record) error {
	text, err := latencies(merged)
	if err != nil {
		return err
	}
	s.Latencies = template.HTML(text)
	if text, err = goodputs(merged); err != nil {
		return err
	}
	s.Goodputs = template.HTML(text)
	top := scaleOf(merged)
	for i := range merged {
		if text, err = loads(&merged[i], top); err != nil {
			return err
		} else if text != "" {
			s.Loads = append(s.Loads, figure{merged[i].Policy, template.HTML(text)})
		}
		if k, ok := still(&merged[i]); ok {
			s.Still = append(s.Still, fmt.Sprintf("%s (%g)", merged[i].Policy, k))
			continue
		}
		if text, err = choices(&merged[i]); err != nil {
			return err
		} else if text != "" {
			s.Choices = append(s.Choices, figure{merged[i].Policy, template.HTML(text)})
		}
	}
	return nil
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(math.Ceil(q*float64(len(x)))))]
}

var layout = template.Must(template.New("page").Funcs(template.FuncMap{
	"word": func(verdict string) string { first, _, _ := strings.Cut(verdict, " "); return first },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{{.Title}}</title>
<style>
body { font: 14px/1.45 system-ui, "Liberation Sans", "DejaVu Sans", sans-serif; color: #1c1c1c; background: #fff;
  max-width: 1240px; margin: 1.5em auto; padding: 0 1em; }
h1 { font-size: 1.5em; } h2 { font-size: 1.25em; border-bottom: 1px solid #bbb; margin-top: 2em; }
h3 { font-size: 1em; margin: 1.6em 0 .3em; }
.wide { overflow-x: auto; }
table { border-collapse: collapse; font-size: 12.5px; font-variant-numeric: tabular-nums; }
th, td { padding: .15em .6em; text-align: right; border-bottom: 1px solid #e4e4e4; white-space: nowrap; }
th:first-child, td:first-child, td.text, th.text { text-align: left; }
td.better { color: #00684c; font-weight: 600; } td.worse { color: #a33c00; font-weight: 600; } td.not { color: #777; }
.verdicts td, .verdicts th { white-space: normal; max-width: 10em; } .verdicts td:first-child { white-space: nowrap; }
p.note { color: #555; margin: .2em 0 .6em; max-width: 52em; }
svg { max-width: 100%; height: auto; }
svg text { font-family: "Liberation Sans", "DejaVu Sans", Arial, sans-serif !important; }
svg image { image-rendering: pixelated; }
</style></head><body>
<h1>{{.Title}}</h1>
{{range .Sections}}
<h2>{{.Title}}</h2>
{{range .Void}}<p class="note"><b>Void</b>, and left out below: {{.}}</p>{{end}}
{{if .Policies}}
<h3>Means over the runs</h3>
<p class="note">With the half-width of the 95 % interval where there is more than one run.</p>
<div class="wide"><table><tr><th></th>{{range .Policies}}<th>{{.}}</th>{{end}}</tr>
{{range .Means}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>
{{if .Verdicts}}
<h3>{{.Ours}}, against</h3>
<p class="note">Differences over the same seeds, with Student's 95 % interval.
Of twenty entries that differ by chance alone one is told apart.</p>
<div class="wide"><table class="verdicts"><tr><th></th>{{range .Against}}<th>{{.}}</th>{{end}}</tr>
{{range .Verdicts}}<tr><td>{{.Name}}</td>{{range .Cells}}<td class="{{word .}}">{{.}}</td>{{end}}</tr>
{{end}}</table></div>{{end}}
{{if .Note}}<p class="note">{{.Note}}</p>{{end}}
{{if .Latencies}}<h3>Latency of what was served</h3>{{.Latencies}}{{end}}
<h3>Goodput over time</h3>{{.Goodputs}}
{{if .Faults}}<p class="note">Shaded: {{range $i, $f := .Faults}}{{if $i}}; {{end}}<b>{{.Letter}}</b> {{.What}}
{{- if .Target}} ({{.Target}}){{end}}, {{printf "%.1f to %.1f s" .From .To}}{{end}}.</p>{{end}}
{{if .Loads}}<p class="note">
In the maps below a row is an app node, white is idle, and grey is where there was none.</p>{{end}}
{{range .Loads}}<h3>Load by app node: {{.Title}}</h3>{{.SVG}}{{end}}
{{range .Choices}}<h3>K and the state of burst: {{.Title}}</h3>{{.SVG}}{{end}}
{{if .Still}}<p class="note">One K throughout: {{range $i, $p := .Still}}{{if $i}}, {{end}}{{$p}}{{end}}.</p>{{end}}
<h3>Runs</h3>
<div class="wide"><table><tr><th>policy</th><th>seed</th><th>offered</th><th>served</th><th>refused</th>
<th>failed</th><th>lost</th><th>dupl.</th><th>drain</th><th>cold</th><th>leaked</th><th>goodput</th>
<th>p50 ms</th><th>p99 ms</th>
<th>pressure</th><th>speedup</th><th>digest</th></tr>
{{range .Runs}}<tr><td>{{.Policy}}</td><td>{{.Seed}}</td><td>{{.Offered}}</td><td>{{.Served}}</td>
<td>{{.Refused}}</td>
<td>{{.Failed}}</td><td>{{.Lost}}</td><td>{{.Duplicated}}</td><td>{{.DrainBreaks}}</td><td>{{.ColdBreaks}}</td>
<td>{{.Leaked}}</td>
<td>{{printf "%.4f" .Goodput}}</td><td>{{printf "%.1f" .Latency.P50}}</td><td>{{printf "%.1f" .Latency.P99}}</td>
<td>{{printf "%.2f" .PeakPressure}}</td><td>{{printf "%.0f" .Speedup}}</td><td>{{printf "%.12s" .Digest}}</td></tr>
{{end}}</table></div>
{{if gt .More 0}}<p class="note">And {{.More}} more.</p>{{end}}
{{else}}<p>No run that counts.</p>{{end}}
{{end}}
</body></html>
`))
