package world

import (
	"math"
	"testing"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/timeline"
)

type sink struct {
	clock          *timeline.Virtual
	count          int
	waited, took   float64
	ends           [Expired + 1]int
	held, heldFrom float64
}

func (s *sink) JobDone(j *Job, end JobEnd) {
	s.ends[end]++
	if j != nil && end == Finished {
		s.count++
		s.took += (s.clock.Now() - j.Arrived).Seconds()
		s.waited += (j.Began - j.Arrived).Seconds()
	}
}

// queue runs a node under Poisson arrivals and gives the mean wait and the mean response in mean services.
func queue(spec NodeSpec, load float64, service chance.Dist, jobs int) (wait, response float64) {
	clock := timeline.NewVirtual(0)
	src := chance.New(7)
	arrivals, work := src.Stream("arrivals"), src.Stream("work")
	n := NewNode(clock, spec, src.Stream("node"), 1, nil)
	s := &sink{clock: clock}
	gap := service.Mean() / load / float64(spec.Cores) * float64(time.Millisecond)
	var next timeline.Func
	next = func() {
		n.Take(&Job{Work: service.Draw(work), To: s})
		if jobs--; jobs > 0 {
			clock.After(time.Duration(arrivals.ExpFloat64()*gap), next)
		}
	}
	clock.After(0, next)
	for clock.Step() {
	}
	mean := service.Mean() / 1000 * float64(s.count)
	return s.waited / mean, s.took / mean
}

// The lab's own theory command measures these closely; here a rough look keeps the node honest in every build.
func TestNodeIsAQueueOfTheTextbooks(t *testing.T) {
	for _, c := range []struct {
		name     string
		spec     NodeSpec
		service  chance.Dist
		load     float64
		wait     float64
		response float64
	}{
		{"M/M/1 at 0.5", NodeSpec{Cores: 1, Queue: -1}, chance.Exponential(10), 0.5, 1, 2},
		{"M/D/1 at 0.5", NodeSpec{Cores: 1, Queue: -1}, chance.Constant(10), 0.5, 0.5, 1.5},
		{"M/M/4 at 0.8", NodeSpec{Cores: 4, Queue: -1}, chance.Exponential(10), 0.8, 0.7455, 1.7455},
		{"M/M/1 shared at 0.5", NodeSpec{Cores: 1, Slots: 1000, Queue: -1}, chance.Exponential(10), 0.5, 0, 2},
		{"M/D/1 shared at 0.5", NodeSpec{Cores: 1, Slots: 1000, Queue: -1}, chance.Constant(10), 0.5, 0, 2},
	} {
		wait, response := queue(c.spec, c.load, c.service, 200_000)
		if math.Abs(wait-c.wait) > 0.03 || math.Abs(response-c.response) > 0.05 {
			t.Errorf("%s: wait %.3f and response %.3f mean services; want %.3f and %.3f",
				c.name, wait, response, c.wait, c.response)
		}
	}
}
