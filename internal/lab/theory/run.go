package theory

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/result"
)

const (
	// goal is how near to theory a measured mean has to be.
	goal = 0.02
	// alarm is the confidence of the interval by which the goal is widened where a budget is short: a row is then outside
	// only where its figures rule theory out by more than the goal, by chance less than once in a thousand.
	alarm = 0.999
	// widest is the widest bound that still tells anything. A budget so short that its intervals are wider has its
	// rows held to this, so that it fails rather than passes unseen.
	widest = 0.15
	// replications are independent runs of each system, so that they can share the cores, and batches what each is
	// cut into: 160 figures for an interval, each the mean of as many requests as the budget gives.
	replications, batches = 16, 10
	// warmUp is the share of a run that is cut off at its beginning, where the queues are still filling.
	warmUp = 0.2
)

// Budget says how much is run.
type Budget struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"` // measured for a system of weight 1
	Strict   bool   `json:"strict"`   // the goal is the bound, and the 95 % interval must be no wider
}

// Full brings each interval well inside the goal; Short is for a check of every build.
var (
	Full  = Budget{Seed: 1, Requests: 12_000_000, Strict: true}
	Short = Budget{Seed: 1, Requests: 500_000}
)

// Row compares one mean of one system. Times are in mean services.
type Row struct {
	System   string  `json:"system"`
	Load     float64 `json:"load"`
	Source   string  `json:"source"` // of the theory
	Mean     string  `json:"mean"`   // of which time: waiting or response
	Theory   float64 `json:"theory"`
	Measured float64 `json:"measured"`
	Half     float64 `json:"half_width"` // of the 95 % interval about Measured
	Off      float64 `json:"off"`        // (Measured - Theory) / Theory
	Bound    float64 `json:"bound"`      // on Off: the goal, and where not strict the half-width at 99.9 % besides
	Within   bool    `json:"within"`
	Requests int     `json:"requests"`
}

// Run measures every system. Equal budgets give equal rows, however many cores there are. progress, where not nil, is
// told of the share done, from any goroutine.
func Run(b Budget, progress func(share float64)) ([]Row, error) { return run(systems(), b, progress) }

func run(all []system, b Budget, progress func(share float64)) ([]Row, error) {
	if least := replications * batches; b.Requests < least {
		return nil, fmt.Errorf("theory: a budget of %d requests is below %d, one for each batch", b.Requests, least)
	}
	means := make([][]batch, len(all)*replications)
	jobs := make(chan int)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range jobs {
				s := &all[i/replications]
				src := chance.New(b.Seed).Under(fmt.Sprintf("theory/%s/%g/%d", s.name, s.load, i%replications))
				means[i] = s.measure(src, s.per(b))
				if progress != nil {
					mu.Lock()
					done++
					progress(float64(done) / float64(len(means)))
					mu.Unlock()
				}
			}
		})
	}
	for i := range means {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	var rows []Row
	for i := range all {
		var wait, response []float64
		for _, r := range means[i*replications : (i+1)*replications] {
			for _, m := range r {
				wait, response = append(wait, m.wait), append(response, m.response)
			}
		}
		for _, f := range all[i].forms {
			figures := response
			if f.mean == waiting {
				figures = wait
			}
			rows = append(rows, all[i].row(b, f, figures))
		}
	}
	return rows, nil
}

// per is the number of requests in a batch.
func (s *system) per(b Budget) int { return b.Requests / (replications * batches) * s.weight }

func (s *system) row(b Budget, f form, figures []float64) Row {
	r := Row{System: s.name, Load: s.load, Source: f.source, Mean: f.mean, Theory: f.time,
		Requests: s.per(b) * len(figures)}
	r.Measured, r.Half = result.Interval(figures, result.Confidence)
	r.Off = (r.Measured - f.time) / f.time
	r.Bound = goal
	if !b.Strict {
		_, wide := result.Interval(figures, alarm)
		r.Bound = min(goal+wide/f.time, widest)
	}
	r.Within = math.Abs(r.Off) <= r.Bound && r.Half/f.time <= r.Bound
	return r
}

// Write prints the rows as a table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "system\tload\ttheory by\tmean\ttheory\tmeasured\t± (95 %)\toff\tbound\t\t")
	for _, r := range rows {
		word := "within"
		if !r.Within {
			word = "OUTSIDE"
		}
		fmt.Fprintf(t, "%s\t%g\t%s\t%s\t%.4f\t%.4f\t%.4f\t%+.2f %%\t%.2f %%\t%s\t\n", r.System, r.Load, r.Source, r.Mean,
			r.Theory, r.Measured, r.Half, 100*r.Off, 100*r.Bound, word)
	}
	return t.Flush()
}
