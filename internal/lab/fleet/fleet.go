// Package fleet owns the rig on which claims about many processes are proven: real balancers, each line of theirs through a
// relay, faults of links, processes and of what they start from, and a judgement of the fleet as a whole from the world's
// side alone. The processes, clients, app nodes and discovery are those of the lab's socket mode; the faults are drawn by
// the same seed. It must never look into a balancer, and a run in which the rig itself was late counts for nothing.
//
// fleet.go plays one day, history.go keeps what the world saw of each process, judge.go says what it came to, baseline.go
// holds the faults that every program is measured under, page.go draws a run, shrink.go makes a
// day that breaks a rule smaller, planted.go has the rig find what is known to be wrong.
package fleet

import (
	"context"
	"fmt"
	"io"
	"time"

	"pewterrudder/internal/lab/fleet/relay"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/sockets"
	"pewterrudder/internal/lab/swarm"
	"pewterrudder/internal/lab/world"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Balancer string // the program
	Peers    string // the same with peers, for days on which balancers hear of each other
	InHand   string // the same as a test build, for days whose faults need one
	Log      io.Writer
	Bound    sockets.Bound // zero: as in socket mode
}

// Done is one run.
type Done struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Void     string `json:"void,omitempty"` // why it counts for nothing
	Figures
	Broken  uint64             `json:"broken"` // rules
	Breaks  []string           `json:"breaks,omitempty"`
	Way     string             `json:"way,omitempty"` // of the first break, its figures left out
	Drawn   *scenario.Scenario `json:"-"`             // the day with its faults as they were drawn
	Edits   sockets.Edits      `json:"edits"`
	Odd     relay.Oddities     `json:"odd"` // packets between balancers
	Faults  []Fault            `json:"faults"`
	Trust   *Trust             `json:"-"` // nil: nobody is heard
	Beliefs []Belief           `json:"beliefs,omitempty"`
	Words   []string           `json:"words,omitempty"` // what else was said of peers
	History *History           `json:"history"`
}

// Fault is one that was played, from the first request on.
type Fault struct {
	Kind      string  `json:"kind"`
	From      float64 `json:"from_s"`
	To        float64 `json:"to_s"`
	Balancers []int   `json:"balancers,omitempty"`
	Nodes     []int   `json:"nodes,omitempty"`
	Ends      string  `json:"between,omitempty"`
}

// Play plays a day on the rig.
func Play(ctx context.Context, sc *scenario.Scenario, opt Options) (*Done, error) {
	program := opt.Balancer
	if sc.InHand() {
		if program = opt.InHand; program == "" {
			return nil, fmt.Errorf("%s: its disks and clocks need a test build of the balancer", sc.Name)
		}
	}
	if sc.Balancers.Peers {
		if program = opt.Peers; program == "" || sc.InHand() {
			return nil, fmt.Errorf("%s: its balancers hear of each other, which takes the program with peers, and none is built that is a test build too", sc.Name)
		}
	}
	var words beliefs
	h := newHistory(sc)
	rec, err := sockets.Run(ctx, sc, sockets.Options{Seed: opt.Seed, Balancer: program, Log: opt.Log, Bound: opt.Bound,
		Recorder: h, Sample: slot, Relays: true, Said: words.said})
	if err != nil {
		return nil, err
	}
	d := &Done{Scenario: sc.Name, Seed: opt.Seed, Void: rec.Void, Broken: rec.Broken, Edits: rec.Edits, Odd: rec.Odd, History: h}
	for i := range rec.Breaks {
		if b := &rec.Breaks[i]; i == 0 {
			d.Way = swarm.Way(b)
		}
		d.Breaks = append(d.Breaks, rec.Breaks[i].String())
	}
	drawn := *sc
	drawn.Faults = nil
	d.Drawn = &drawn
	for _, e := range rec.Episodes {
		drawn.Faults = append(drawn.Faults, e.Fault())
		from, to := e.Between()
		f := Fault{Kind: e.Kind, From: since(e.From), To: since(e.To), Balancers: e.Seats, Nodes: e.Nodes}
		if from != "" {
			f.Ends = from + " to " + to
		}
		d.Faults = append(d.Faults, f)
	}
	d.Figures = judge(h, d.Faults, &rec.Counts)
	if sc.Balancers.Peers {
		d.Beliefs, d.Words = words.all, words.others
		d.Trust = trust(sc, words.all, d.Faults)
	}
	return d, nil
}

// since is a moment of the run's clock in seconds from the first request on.
func since(at time.Duration) float64 { return (at - world.Lead).Seconds() }
