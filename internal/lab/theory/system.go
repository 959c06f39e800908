package theory

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
)

// service is the mean service in ms. Only its ratio to the clock's nanosecond matters: rounding is 1e-7 of it.
const service = 10.0

// system is one queueing system: app nodes, and where there are several the policy that spreads requests over them.
type system struct {
	name    string
	load    float64
	weight  int // times the budget: means scatter the more the fuller and the more skewed a system is
	nodes   int
	cores   int
	service chance.Dist // in ms, of mean service
	policy  string
	forms   []form
}

const waiting, response = "waiting", "response"

// form is what theory says of one mean.
type form struct {
	source string
	mean   string
	time   float64 // in mean services
}

// lone is a system of one node, of which theory knows the wait exactly, and so the response.
func lone(name, source string, load float64, weight, cores int, d chance.Dist, wait float64) system {
	return system{name, load, weight, 1, cores, d, "", []form{{source, waiting, wait}, {source, response, wait + 1}}}
}

func systems() []system {
	exponential := chance.Exponential(service)
	skewed := chance.NewLognormal(service, 1.5)
	all := []system{
		lone("M/M/1", "M/M/1", 0.5, 1, 1, exponential, MM1(0.5)),
		lone("M/M/1", "M/M/1", 0.8, 1, 1, exponential, MM1(0.8)),
		lone("M/M/1", "M/M/1", 0.9, 4, 1, exponential, MM1(0.9)),
		lone("M/M/4", "Erlang C", 0.8, 1, 4, exponential, MMc(4, 0.8)),
		lone("M/M/4", "Erlang C", 0.9, 2, 4, exponential, MMc(4, 0.9)),
		lone("M/D/1", "Pollaczek-Khinchine", 0.8, 1, 1, chance.Constant(service), MG1(0.8, 0)),
		lone("M/G/1, lognormal, CV 1.5", "Pollaczek-Khinchine", 0.8, 2, 1, skewed, MG1(0.8, skewed.SCV())),
	}
	for _, load := range []float64{0.5, 0.8, 0.9} {
		// The fixed point speaks of the response. In the wait the limit's shortfall at 100 nodes weighs more, so that is
		// held against the theory for that number.
		limit, exact := Choices(2, load), ChoicesOf(100, load)
		all = append(all, system{"two choices, 100 nodes", load, 1, 100, 1, exponential, "power-of-two",
			[]form{{"fixed point", response, limit}, {"refined for 100", waiting, exact - 1},
				{"refined for 100", response, exact}}})
	}
	return all
}

// batch holds the means of some requests in a row, in mean services.
type batch struct{ wait, response float64 }

// line is one run of a system: Poisson arrivals, the world's own nodes, and one balancer's policy, whose count of own
// requests is then each node's true queue.
type line struct {
	clock    *timeline.Virtual
	nodes    []*world.Node
	decider  brain.Decider
	acts     []brain.Action
	arrivals chance.Poisson
	gaps     *rand.Rand
	works    *rand.Rand
	service  chance.Dist
	gap      float64 // mean, ns
	byJob    map[*world.Job]*visit
	free     []*visit
	number   int

	skip, per int // requests cut off at first, and in each batch
	seen      int
	now       batch
	done      []batch
}

type visit struct {
	world.Job
	id     string
	server string
}

// measure runs the system and gives the means of its batches, of so many requests each.
func (s *system) measure(src chance.Source, per int) []batch {
	l := &line{clock: timeline.NewVirtual(0), gaps: src.Stream("gaps"), works: src.Stream("works"), service: s.service,
		gap: s.service.Mean() * float64(time.Millisecond) / s.load / float64(s.cores*s.nodes),
		per: per, skip: int(warmUp / (1 - warmUp) * float64(per*batches)),
		byJob: map[*world.Job]*visit{}}
	list := &brain.FleetUpdate{Kind: brain.UpdateRestored}
	for i := range s.nodes {
		spec := world.NodeSpec{ID: strconv.Itoa(i), Cores: s.cores, Queue: -1}
		l.nodes = append(l.nodes, world.NewNode(l.clock, spec, src.Stream("nodes/"+spec.ID), 1, nil))
		list.Members = append(list.Members, brain.Member{Server: spec.ID})
	}
	if s.policy != "" {
		cfg := brain.Settings{Nodes: 1, MaxAttempts: 1, Classes: []brain.Class{{Aim: time.Hour, Deadline: time.Hour}}}
		d, err := policy.New(s.policy, cfg, src.Number("policy"))
		if err != nil { // the table above is at fault
			panic(err)
		}
		l.decider = d
		l.decider.Handle(0, list, nil)
	}
	l.clock.After(0, l)
	for len(l.done) < batches && l.clock.Step() {
	}
	return l.done
}

// Run is an arrival.
func (l *line) Run() {
	var v *visit
	if n := len(l.free); n > 0 {
		v, l.free = l.free[n-1], l.free[:n-1]
	} else {
		l.number++
		v = &visit{id: strconv.Itoa(l.number)}
		l.byJob[&v.Job] = v
	}
	v.Job = world.Job{Work: l.service.Draw(l.works), To: l}
	node := l.nodes[0]
	if l.decider != nil {
		node = l.route(v)
	}
	node.Take(&v.Job)
	l.clock.After(time.Duration(l.arrivals.Next(l.gaps)*l.gap), l)
}

func (l *line) route(v *visit) *world.Node {
	now := l.clock.Now()
	l.acts = l.decider.Handle(now, &brain.Request{ID: v.id, Tenant: -1, Deadline: now + time.Hour}, l.acts[:0])
	if len(l.acts) != 1 || l.acts[0].Kind != brain.Send {
		panic(fmt.Sprintf("theory: the policy answered a request with %v", l.acts))
	}
	v.server = l.acts[0].Server
	i, _ := strconv.Atoi(v.server)
	return l.nodes[i]
}

// JobDone counts a request at its end, in order of the ends.
func (l *line) JobDone(j *world.Job, _ world.JobEnd) {
	v := l.byJob[j]
	now := l.clock.Now()
	if l.decider != nil {
		l.acts = l.decider.Handle(now, &brain.AttemptEnded{ID: v.id, Server: v.server, Final: true}, l.acts[:0])
	}
	l.free = append(l.free, v)
	if l.seen++; l.seen <= l.skip {
		return
	}
	mean := l.service.Mean() * float64(time.Millisecond) * float64(l.per)
	l.now.wait += float64(j.Began-j.Arrived) / mean
	l.now.response += float64(now-j.Arrived) / mean
	if (l.seen-l.skip)%l.per == 0 {
		l.done, l.now = append(l.done, l.now), batch{}
	}
}
