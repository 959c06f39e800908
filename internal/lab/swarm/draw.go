package swarm

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
)

// rateMost bounds the requests a second of a day: what breaks at a thousand breaks at some hundreds, and sooner.
const rateMost = 500

// faultsFrom is the scenario whose faults are drawn from, and faultsLength the length that their times are meant for.
const faultsFrom = "swarm"

// Draw makes the day of a number. Its faults are drawn from the ranges of the scenario "swarm", all the rest here. What
// is drawn is set, so that Shrink can take it apart; the chance inside the run is the world's.
func Draw(number uint64, length time.Duration) (*Case, error) {
	base, err := scenario.Load(faultsFrom)
	if err != nil {
		return nil, err
	}
	d := &draw{Rand: chance.New(number).Stream("swarm"), sc: scenario.Default()}
	sc := &d.sc
	sc.Name, sc.About = "swarm", "drawn from "+strconv.FormatUint(number, 10)
	d.site()
	d.classes()
	d.nodes()
	d.traffic()
	d.around()
	d.rules()
	d.faults(base.Faults, length.Seconds()/base.Length.D().Seconds())
	sc.Length = scenario.Duration(length)
	if flaw := sc.Check(); flaw != nil {
		return nil, fmt.Errorf("swarm: the day drawn from %d is none: %w", number, flaw)
	}
	return &Case{Seed: number, InOrder: d.Float64() < 0.3, Scenario: sc}, nil
}

// draw is a day that is being drawn.
type draw struct {
	*rand.Rand
	sc       scenario.Scenario
	meanWork float64 // ms, of a request
}

func (d *draw) is(p float64) bool { return d.Float64() < p }

func (d *draw) whole(from, to int) int { return from + d.IntN(to-from+1) }

// even draws evenly, and scale evenly on a scale of powers; two decimals are as good as sixteen, and read better.
func (d *draw) even(from, to float64) float64 { return round(from + d.Float64()*(to-from)) }

func (d *draw) scale(from, to float64) float64 { return round(from * math.Pow(to/from, d.Float64())) }

func round(x float64) float64 { return math.Round(x*100) / 100 }

func (d *draw) ms(from, to float64) scenario.Duration {
	return scenario.Duration(d.scale(from, to) * float64(time.Millisecond))
}

// between draws a range.
func (d *draw) between(from, to float64) scenario.Span {
	a, b := d.ms(from, to), d.ms(from, to)
	return scenario.Span{min(a, b), max(a, b)}
}

func (d *draw) words(of ...string) string { return of[d.IntN(len(of))] }

func (d *draw) site() {
	sc := &d.sc
	sc.Zones = []string{"north", "south", "east"}[:[]int{1, 2, 2, 2, 3}[d.IntN(5)]]
	sc.Balancers = scenario.Balancers{Count: d.whole(1, 5), Sockets: 1024, ReadyIn: d.ms(20, 500), Known: "last"}
	if d.is(0.15) {
		sc.Balancers.Sockets = d.whole(48, 160)
	}
	if d.is(0.2) {
		sc.Balancers.Known = "none"
	}
}

func (d *draw) classes() {
	sc := &d.sc
	names := []string{"look", "order", "note", "pay"}
	sum := 0.0
	for _, name := range names[:d.whole(1, len(names))] {
		c := scenario.Class{Name: name, Share: d.even(0.1, 1), Worth: d.scale(0.5, 10), Aim: d.ms(60, 500),
			Repeat: d.words("safe", "safe", "keyed", "keyed", "unsafe"), Scope: d.words("all", "zone", "cell"), Hint: d.is(0.2)}
		c.Deadline = whole(float64(c.Aim) * d.even(1.2, 6))
		c.Window = d.ms(150, 2500)
		if d.is(0.5) {
			c.Late = d.even(0.05, 0.6)
		}
		mean := d.scale(3, min(60, float64(c.Aim)/float64(time.Millisecond)/3))
		c.Work = scenario.Work{Mean: scenario.Range{mean, mean}, Dist: d.words("constant", "exponential", "lognormal", "hyperexponential"),
			CV: d.even(1, 1.5), Noise: d.even(0, 0.4)}
		small := d.scale(100, 10_000)
		c.Bytes = scenario.Range{small, small}
		if d.is(0.3) { // some of them flow
			c.Bytes[1] = d.scale(100_000, 1_500_000)
		}
		if d.is(0.25) {
			c.Upload = scenario.Range{100, d.scale(1000, 300_000)}
		}
		d.meanWork += c.Share * mean
		sum += c.Share
		sc.Classes = append(sc.Classes, c)
	}
	d.meanWork /= sum
	if d.is(0.4) {
		sc.Tenants = []scenario.Tenant{{Name: "shore", Share: d.even(0.2, 1), Quota: d.scale(10, 300)}, {Name: "hill", Share: 1}}
	}
}

func (d *draw) nodes() {
	sc := &d.sc
	for range d.whole(1, 2) {
		cold := d.even(0.1, 0.4)
		n := scenario.Nodes{Count: d.whole(1, 8), Kind: "m" + strconv.Itoa(len(sc.Nodes)+1), Size: 1, CellSize: d.whole(1, 4),
			Cores: d.whole(1, 3), Queue: d.whole(4, 120), CrowdFrom: 10, CrowdLoss: d.even(0, 0.5), ColdFrom: scenario.Range{cold, cold},
			ColdFor: d.between(4000, 30_000), Handshake: d.even(0, 5), Trips: float64(d.whole(1, 2)), MaxConns: d.whole(40, 700),
			ConnTax: d.even(0, 0.3), Cancels: d.is(0.85), Expires: d.is(0.8), StartsIn: d.ms(50, 2000)}
		n.Speed = scenario.Range{d.even(0.6, 1), d.even(1, 1.4)}
		if d.is(0.3) {
			n.Slots = n.Cores * d.whole(2, 6)
		}
		if d.is(0.3) {
			n.Errors = scenario.Range{0, d.even(0, 0.02)}
		}
		if d.is(0.3) {
			n.HangEvery, n.HangFor = d.between(1000, 8000), d.between(1, 40)
		}
		if len(sc.Zones) > 1 && d.is(0.2) {
			n.Zone = sc.Zones[d.IntN(len(sc.Zones))]
		}
		n.Size = float64(n.Cores)
		sc.Nodes = append(sc.Nodes, n)
	}
	sc.Reports = scenario.Reports{How: "answers", Every: d.between(100, 2000), Delay: d.between(5, 600), Noise: scenario.Range{0, d.even(0, 0.2)}}
	switch d.IntN(5) {
	case 0:
		sc.Reports.Columns = []string{}
	case 1:
		sc.Reports.Columns = []string{"held"}
	case 2:
		sc.Reports.Columns = []string{"took_ms", "waiting", "per_second", "errors_per_second", "busy", "held"}
	}
	if len(sc.Reports.Columns) > 0 && d.is(0.1) {
		sc.Reports.How = "polled"
	}
}

func (d *draw) traffic() {
	sc := &d.sc
	cores := 0.0
	for i := range sc.Nodes {
		cores += float64(sc.Nodes[i].Count * sc.Nodes[i].Cores)
	}
	rate := round(min(rateMost, d.even(0.1, 1.3)*cores*1000/d.meanWork))
	t := &sc.Traffic
	t.Rate = scenario.Range{rate, rate}
	t.Process = d.words("poisson", "poisson", "steady", "mmpp")
	t.Dispersion, t.Share = d.scale(2, 100), d.even(0.05, 0.4)
	t.High = round(1 + d.Float64()*(1/t.Share-1)*0.9)
	if skew := d.even(0, 0.6); d.is(0.4) {
		t.Skew = scenario.Range{skew, skew}
	}
	c := &sc.Clients
	c.Retries = d.whole(0, 3)
	c.Backoff, c.Growth, c.Honour = d.between(1, 100), d.even(1, 2), d.even(0, 1)
	c.Patience = scenario.Range{d.even(0.4, 1), 1}
	if d.is(0.6) {
		c.Impatient = d.even(0, 0.1)
	}
	c.Marks, c.Connections, c.Churn = d.is(0.7), d.whole(2, 60), d.even(0, 0.2)
}

// around is the front, discovery and the network.
func (d *draw) around() {
	sc := &d.sc
	sc.Front = scenario.Front{Spread: d.words("random", "in_turn"), Notice: d.between(200, 3000), Admit: d.between(50, 1000)}
	// What is told counts as told after a while (rules.told_within), so discovery must not be slower than that.
	sc.Discovery = scenario.Discovery{Ask: d.is(0.7), Notice: d.between(50, 2000), Silent: d.between(500, 8000), Add: d.between(50, 1500),
		Line: d.between(20, 1000), Capacity: d.scale(2, 20), Patience: d.ms(1000, 4000), Blank: d.ms(500, 3000),
		History: []int{0, 3, 20, 1000}[d.IntN(4)], Weights: d.words("off", "off", "nominal", "rough", "live")}
	n := &sc.Network
	n.Same, n.Cross, n.Client = d.between(0.05, 1), d.between(0.5, 8), d.between(0.05, 4)
	n.Jitter, n.Rate = d.even(0, 0.6), d.scale(2, 200)
	if d.is(0.5) { // much meets at one instant
		grain := d.ms(0.1, 5)
		n.Grain = scenario.Span{grain, grain}
	}
}

func (d *draw) rules() {
	sc := &d.sc
	l := &sc.Limits
	l.Cancel, l.SecondCopies, l.RetryAfter = d.is(0.85), d.is(0.8), d.is(0.8)
	l.MaxAttempts, l.MaxRetryAfter = d.whole(1, 6), d.ms(50, 2000)
	l.ConnectTimeout, l.IdleClose = d.ms(20, 250), d.ms(800, 20_000)
	r := &sc.Rules
	r.AskEvery = d.ms(1000, 10_000)
	r.OverQuotaWorth = d.even(0, 1)
	r.WorthBy = d.words("work", "request")
	// What balancers are told of cold app nodes is the worst of them.
	r.ColdFrom, r.ColdFor = 1, 0
	for i := range sc.Nodes {
		r.ColdFrom = min(r.ColdFrom, sc.Nodes[i].ColdFrom[0])
		r.ColdFor = max(r.ColdFor, sc.Nodes[i].ColdFor[1])
	}
	p := &sc.Prices
	if d.is(0.5) {
		p.Connection, p.CrossZone, p.Handshake, p.Waste = d.even(0, 0.02), d.even(0, 0.3), d.even(0, 0.05), d.even(0, 0.3)
	}
}

// faults draws from ranges. Each day leaves whole kinds out, some of them most: what comes together hides what each
// would show alone (swarm testing, Groce and others, 2012).
func (d *draw) faults(from []scenario.Fault, stretch float64) {
	sc := &d.sc
	times := []float64{0, 0.4, 0.8, 1.2, 2}[d.IntN(5)]
	sc.Faults = []scenario.Fault{}
	for i, f := range from {
		if !d.is(f.Chance * times) {
			continue
		}
		for k := range d.whole(int(f.Times[0]), int(f.Times[1])) {
			one := f
			one.Draw, one.Chance, one.Times = strconv.Itoa(i)+"/"+strconv.Itoa(k), 1, scenario.Range{1, 1}
			one.At, one.For, one.Every = d.time(f.At, stretch), d.time(f.For, stretch), d.time(f.Every, stretch)
			one.Size, one.Part, one.Count = d.figure(f.Size), d.figure(f.Part), d.number(f.Count)
			if f.Class != "" {
				one.Class = sc.Classes[d.IntN(len(sc.Classes))].Name
			}
			if f.Zone != "" {
				one.Zone = sc.Zones[d.IntN(len(sc.Zones))]
			}
			if f.Kind == "cut" && f.To != "discovery" {
				ends := append([]string{"balancers", "nodes", "clients"}, sc.Zones...)
				one.From, one.To = d.words(ends...), d.words(ends...)
			}
			sc.Faults = append(sc.Faults, one)
		}
	}
}

func (d *draw) time(of scenario.Span, stretch float64) scenario.Span {
	v := (of[0].D() + time.Duration(d.Float64()*float64(of[1]-of[0]))).Seconds() * stretch
	if of[1] == 0 {
		return of
	}
	at := whole(v * float64(time.Second))
	return scenario.Span{at, at}
}

func (d *draw) figure(of scenario.Range) scenario.Range {
	v := math.Min(math.Max(d.even(of[0], of[1]), of[0]), of[1])
	return scenario.Range{v, v}
}

func (d *draw) number(of scenario.Range) scenario.Range {
	v := float64(d.whole(int(of[0]), int(of[1])))
	return scenario.Range{v, v}
}

// whole is a time of nanoseconds in whole milliseconds, at least one.
func whole(ns float64) scenario.Duration {
	return scenario.Duration(max(time.Millisecond, time.Duration(ns).Round(time.Millisecond)))
}
