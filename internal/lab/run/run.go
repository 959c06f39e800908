// Package run owns the way from a scenario, a policy and seeds to results: it plays each seed in the mode that is asked
// for and has what the run says gathered into a result.Record. Many seeds fill the cores, and the results stand in the
// order of the seeds whatever the number of cores. It must never judge a run (the oracles do) or show one (report does).
package run

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"sync"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/result"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/sockets"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// Job is one run to be made.
type Job struct {
	Scenario *scenario.Scenario
	Policy   string
	Seed     uint64
	Log      io.Writer // for every event; nil: none
}

// Done is a run that was made.
type Done struct {
	result.Record
	Broken uint64         // rules broken, all told
	Breaks []oracle.Break // the first of them
	Counts oracle.Counts
}

// Progress hears of the share that is done, from any goroutine, one call at a time.
type Progress func(share float64)

// sampleFirst is the time between looks at the app nodes and balancers, and samplesMost bounds their number in a long
// run: the windows of a record are no finer. It hangs on the scenario alone, since the looks are tasks of the run's clock
// and so part of what a digest stands for.
const (
	sampleFirst = 100 * time.Millisecond
	samplesMost = 1200
)

func sampleEvery(sc *scenario.Scenario) time.Duration {
	return max(sampleFirst, sc.Length.D()/samplesMost).Round(time.Millisecond)
}

// Virtual makes one run in virtual time. share, where not nil, hears how far it is.
func Virtual(job Job, share func(float64)) (*Done, error) {
	g := newGatherer(job, share)
	rec, err := virtual.Run(job.Scenario, virtual.Options{Seed: job.Seed, Recorder: g, Sample: sampleEvery(job.Scenario),
		Policy: Policy(job.Policy), Log: job.Log})
	if err != nil {
		return nil, err
	}
	return g.done(job, rec, "virtual"), nil
}

// OnSockets makes one run in real time, with processes of the balancer's program. It must have the machine for itself, so
// one follows the other.
func OnSockets(ctx context.Context, job Job, balancer string, share func(float64)) (*Done, error) {
	if job.Policy != policy.Ours {
		return nil, fmt.Errorf("run: %s: on sockets the balancer's program decides, which is %s", job.Policy, policy.Ours)
	}
	g := newGatherer(job, share)
	rec, err := sockets.Run(ctx, job.Scenario, sockets.Options{Seed: job.Seed, Recorder: g, Sample: sampleEvery(job.Scenario),
		Balancer: balancer, Log: job.Log})
	if err != nil {
		return nil, err
	}
	d := g.done(job, &rec.Record, "sockets")
	d.Void, d.Why = rec.Void != "", rec.Void
	return d, nil
}

// done makes the result of what a run has come to.
func (g *gatherer) done(job Job, rec *virtual.Record, on string) *Done {
	sc := job.Scenario
	for _, e := range rec.Episodes {
		g.to.Fault(e.Kind, target(sc, e), e.From-world.Lead, e.To-world.Lead)
	}
	c := &rec.Counts
	d := &Done{Broken: rec.Broken, Breaks: rec.Breaks, Counts: *c}
	d.Record = g.to.Record(result.Run{Scenario: sc.Name, Seed: job.Seed, Policy: job.Policy, On: on,
		Digest: fmt.Sprintf("%016x", rec.Digest), Duplicated: int64(c.Duplicated), DrainBreaks: int64(c.DrainBreaks),
		ColdBreaks: int64(c.ColdBreaks), Leaked: int64(c.Leaked), PeakPressure: c.Peak, Speedup: rec.Speedup,
		HottestNode: int64(c.HottestNode), MostConns: int64(c.MostConns), MostCalls: int64(c.MostCalls), AfterAim: int64(c.AfterAim),
		ColdShare: c.ColdShare})
	// Lost are requests that a balancer had taken and left without an answer, which is the oracle's to count; a wish whose
	// client waited in vain for a balancer that was cut off has failed, and is no balancer's break.
	d.Lost = int64(c.Lost)
	return d
}

// Policy gives the maker of a policy's deciders.
func Policy(name string) virtual.Policy {
	return func(cfg brain.Settings, seed uint64) (brain.Decider, error) { return policy.New(name, cfg, seed) }
}

// All makes the runs on as many cores as there are and returns them in order.
func All(jobs []Job, progress Progress) ([]*Done, error) {
	done, errs := make([]*Done, len(jobs)), make([]error, len(jobs))
	total := &shares{of: make([]float64, len(jobs)), to: progress}
	Each(len(jobs), func(i int) {
		done[i], errs[i] = Virtual(jobs[i], func(s float64) { total.set(i, s) })
		total.set(i, 1)
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return done, nil
}

// Each does n things, as many at a time as there are cores for.
func Each(n int, do func(i int)) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	workers.Wait()
}

// shares sums what is done of each run.
type shares struct {
	mu  sync.Mutex
	of  []float64
	sum float64
	to  Progress
}

func (s *shares) set(i int, share float64) {
	if s.to == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum += share - s.of[i]
	s.of[i] = share
	s.to(s.sum / float64(len(s.of)))
}

// gatherer hands a run's news to a recorder.
type gatherer struct {
	sc    *scenario.Scenario
	to    *result.Recorder
	names []string // of app nodes, by index
	share func(float64)
}

func newGatherer(job Job, share func(float64)) *gatherer {
	return &gatherer{sc: job.Scenario, to: result.NewRecorder(), share: share}
}

func (g *gatherer) Settled(op *world.Op, how world.Kind, at time.Duration) {
	due := op.Due - world.Lead
	g.to.Offered(due, op.Worth)
	end, earned := result.Failed, 0.0
	switch how {
	case world.Served:
		end, earned = result.Served, op.Worth
		if k := &g.sc.Classes[op.Class]; at-op.Due > k.Aim.D() {
			earned *= k.Late
		}
	case world.Refused:
		end = result.Refused
	case world.Left:
		end = result.Left
	}
	g.to.Ended(end, due, at-world.Lead, earned)
}

func (g *gatherer) Sample(s *virtual.Sample) {
	at := s.At - world.Lead
	if g.share != nil {
		g.share(min(1, max(0, at.Seconds()/g.sc.Length.D().Seconds())))
	}
	if at < 0 {
		return
	}
	for i := range s.Nodes {
		if i == len(g.names) {
			g.names = append(g.names, nodeName(i))
		}
		if s.Nodes[i].Up {
			g.to.Load(g.names[i], at, float64(s.Nodes[i].Held))
		}
	}
	for i := range s.Balancers {
		if b := &s.Balancers[i]; b.Up && b.K > 0 {
			g.to.Choices(at, b.K, b.Burst)
		}
	}
}

func nodeName(i int) string { return "node " + strconv.Itoa(i) }

// target names what a fault has hit.
func target(sc *scenario.Scenario, e *world.Episode) string {
	few := func(what string, which []int) string {
		if len(which) > 4 {
			return strconv.Itoa(len(which)) + " " + what + "s"
		}
		text := what
		for _, i := range which {
			text += " " + strconv.Itoa(i)
		}
		return text
	}
	switch {
	case len(e.Nodes) > 0:
		return few("node", e.Nodes)
	case len(e.Seats) > 0:
		return few("balancer", e.Seats)
	}
	return scenario.KindOf(e.Kind).On
}
