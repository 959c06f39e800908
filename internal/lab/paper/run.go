package paper

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// warmUp is the share of a run whose jobs are not counted: the sites begin empty, and the module with a guess.
const warmUp = 0.1

// figures are one run's means, in the paper's seconds.
type figures struct {
	response, wait float64
	counted        int
	unserved       uint64
}

// tally takes them as they come.
type tally struct {
	from     time.Duration
	response float64
	work     float64
	n        int
	unserved uint64
}

func (t *tally) Settled(op *world.Op, how world.Kind, at time.Duration) {
	if how != world.Served {
		t.unserved++
	} else if op.Due >= t.from {
		t.response += (at - op.Due).Seconds()
		t.work += op.Work / 1000
		t.n++
	}
}

func (t *tally) Sample(*virtual.Sample) {}

// play runs one policy through one system once.
func play(s System, p virtual.Policy, seed uint64, jobs int) (figures, error) {
	sc, err := s.scenario(jobs)
	if err != nil {
		return figures{}, err
	}
	t := &tally{from: world.Lead + time.Duration(warmUp*float64(sc.Length))}
	rec, err := virtual.Run(sc, virtual.Options{Seed: seed, Policy: p, Recorder: t})
	if err != nil {
		return figures{}, err
	}
	if !rec.OK() {
		return figures{}, fmt.Errorf("paper: seed %d: %s", seed, rec.Breaks[0])
	}
	if t.n == 0 {
		return figures{}, fmt.Errorf("paper: seed %d: no job was counted; more jobs are needed", seed)
	}
	n := scale * float64(t.n)
	return figures{t.response / n, (t.response - t.work) / n, t.n, t.unserved}, nil
}

// each calls do for 0 to n-1 on all cores; the first error by number ends it.
func each(n int, do func(i int) error, progress func(share float64)) error {
	errs := make([]error, n)
	jobs := make(chan int)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range jobs {
				errs[i] = do(i)
				if progress != nil {
					mu.Lock()
					done++
					progress(float64(done) / float64(n))
					mu.Unlock()
				}
			}
		})
	}
	for i := range n {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
