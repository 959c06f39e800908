package fleet

import (
	"math"
	"slices"

	"pewterrudder/internal/lab/rebuilt"
	"pewterrudder/internal/lab/scenario"
)

// PeerCases are days of balancers that hear of each other: twelve processes, little traffic.
var PeerCases = []Case{
	{Name: "peers-calm", About: "nothing"},
	{Name: "peers-kill", About: "one process is killed for 9 s", Faults: `{"kind": "balancer_crash", "at": "8s", "for": "9s", "balancers": [5]}`},
	{Name: "peers-third", About: "a third is killed at one moment, for 9 s", Faults: `{"kind": "balancer_crash", "at": "8s", "for": "9s", "balancers": [2, 5, 8, 11]}`},
	{Name: "peers-freeze", About: "two processes stand still for 6 s", Faults: `{"kind": "freeze", "at": "8s", "for": "6s", "balancers": [3, 9]}`},
	{Name: "peers-blinks", About: "each process stands still for 500 ms, one after the other",
		Faults: `{"kind": "freeze", "at": ["6s", "18s"], "for": "500ms", "count": 1, "times": 12}`},
	{Name: "peers-loss", About: "all lines between balancers lose a twentieth for 14 s",
		Faults: `{"kind": "line_loss", "at": "6s", "for": "14s", "part": 1, "size": 0.05, "from": "balancers", "to": "balancers"}`},
	{Name: "peers-rough", About: "all lines between balancers lose a twentieth, and each process stands still for 500 ms, one after the other",
		Faults: `{"kind": "line_loss", "at": "4s", "for": "19s", "part": 1, "size": 0.05, "from": "balancers", "to": "balancers"},
			{"kind": "freeze", "at": ["5s", "18s"], "for": "500ms", "count": 1, "times": 12}`},
	{Name: "peers-replays", About: "packets come twice, out of turn and again seconds later, while three are killed one after the other and come back",
		Faults: `{"kind": "line_replays", "at": "4s", "for": "19s", "balancers": [0, 1, 2], "size": 0.2, "from": "balancers", "to": "balancers"},
			{"kind": "line_doubles", "at": "4s", "for": "19s", "balancers": [3, 4], "size": 0.3, "from": "balancers", "to": "balancers"},
			{"kind": "line_overtakes", "at": "4s", "for": "19s", "balancers": [5, 6], "size": 0.3, "from": "balancers", "to": "balancers"},
			{"kind": "balancer_crash", "at": "6s", "for": "4s", "balancers": [7]}, {"kind": "balancer_crash", "at": "8s", "for": "4s", "balancers": [8]},
			{"kind": "balancer_crash", "at": "10s", "for": "4s", "balancers": [9]}`},
	{Name: "peers-loss-one", About: "the lines of one lose three in ten for 10 s",
		Faults: `{"kind": "line_loss", "at": "6s", "for": "10s", "balancers": [4], "size": 0.3, "from": "balancers", "to": "balancers"}`},
	{Name: "peers-deaf", About: "what one sends is heard, and it hears nothing, for 6 s",
		Faults: `{"kind": "line_cut_one_way", "at": "8s", "for": "6s", "balancers": [0, 1, 2, 3, 4, 5, 6, 8, 9, 10, 11], "from": "balancers", "to": "balancers"}`},
	{Name: "peers-split", About: "two halves for 10 s",
		Faults: `{"kind": "line_cut", "at": "7s", "for": "10s", "balancers": [0, 1, 2, 3, 4, 5], "from": "balancers", "to": "balancers"}`},
	{Name: "peers-minute", About: "two halves for a minute", Set: []string{"length=76s"},
		Faults: `{"kind": "line_cut", "at": "7s", "for": "60s", "balancers": [0, 1, 2, 3, 4, 5], "from": "balancers", "to": "balancers"}`},
	{Name: "peers-seeds", About: "half are killed for 1 s while those that know the rest are dead for 8 s",
		Faults: `{"kind": "balancer_crash", "at": "8s", "for": "8s", "balancers": [0, 1, 2]}, {"kind": "balancer_crash", "at": "9s", "for": "1s", "balancers": [4, 5, 6, 7, 8, 9]}`},
	{Name: "peers-split-start", About: "half restart at once while two halves are cut off from each other",
		Faults: `{"kind": "line_cut", "at": "7s", "for": "8s", "balancers": [0, 1, 2, 3, 4, 5], "from": "balancers", "to": "balancers"},
			{"kind": "balancer_crash", "at": "9s", "for": "500ms", "balancers": [0, 2, 4, 6, 8, 10]}`},
	{Name: "peers-starve", About: "three are kept from their core for seven tenths of the time",
		Faults: `{"kind": "starve", "at": "7s", "for": "10s", "balancers": [1, 6, 10], "size": 0.7}`},
	{Name: "peers-few-left", About: "nine of twelve are gone for good, and later half of the app nodes start again, cold, at three fifths of the load",
		Faults: `{"kind": "balancer_crash", "at": "5s", "for": "60s", "balancers": [3, 4, 5, 6, 7, 8, 9, 10, 11]}, {"kind": "restart", "at": "13s", "for": "500ms", "part": 0.5}`,
		Set:    []string{"traffic.load=0.6"}},
	{Name: "peers-herd", About: "nine of twelve are killed at once and start again, at three fifths of the load",
		Faults: `{"kind": "balancer_crash", "at": "8s", "for": "1500ms", "balancers": [3, 4, 5, 6, 7, 8, 9, 10, 11]}`, Set: []string{"traffic.load=0.6"}},
	{Name: "peers-few-told", About: "as calm, where the settings say that there are 40", Set: []string{"balancers.told=40"}},
}

// ChoiceCases are days on which the choices of twelve balancers over thirty app nodes are to add up.
var ChoiceCases = []Case{
	{Name: "choices-calm", About: "nothing"},
	{Name: "choices-kill", About: "a third of the balancers is killed at one moment, for good",
		Faults: `{"kind": "balancer_crash", "at": "6s", "for": "60s", "balancers": [2, 5, 8, 11]}`},
	{Name: "choices-few", About: "nine of twelve balancers are killed at one moment, for good",
		Faults: `{"kind": "balancer_crash", "at": "6s", "for": "60s", "balancers": [3, 4, 5, 6, 7, 8, 9, 10, 11]}`},
	{Name: "choices-replace", About: "a third of the app nodes is replaced",
		Faults: `{"kind": "replace", "at": "9s", "for": "1s", "nodes": [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]}`},
	{Name: "choices-split", About: "the balancers are two halves for 8 s, and reach all else",
		Faults: `{"kind": "line_cut", "at": "8s", "for": "8s", "balancers": [0, 1, 2, 3, 4, 5], "from": "balancers", "to": "balancers"}`},
	{Name: "choices-nodes-cut", About: "a quarter of the app nodes is cut off from all balancers, and listed",
		Faults: `{"kind": "line_cut", "at": "9s", "for": "3s", "part": 1, "nodes": [0, 1, 2, 3, 4, 5, 6, 7], "from": "balancers", "to": "nodes"}`},
	{Name: "choices-freeze", About: "two balancers stand still for 6 s and go on with the world that they knew",
		Faults: `{"kind": "freeze", "at": "7s", "for": "6s", "balancers": [3, 9]}`},
}

// choiceSet makes the ground one of them.
var choiceSet = []string{"balancers.count=12", "balancers.peers=true", "balancers.subset=12", "length=30s", "traffic.load=0.4", "nodes[0].count=30"}

// ChoiceDay is the scenario of such a case.
func (c *Case) ChoiceDay(set ...string) (*scenario.Scenario, error) {
	on := *c
	on.Set = append(append([]string(nil), choiceSet...), c.Set...)
	return on.Day(set...)
}

// peerSet makes the ground one of twelve peers.
var peerSet = []string{"balancers.count=12", "balancers.peers=true", "length=24s", "traffic.load=0.25"}

// BuildPeers builds the program whose balancers hear of each other.
func BuildPeers(root, dir string) (string, error) {
	return rebuilt.Programs(root, dir, "pewterrudder-peers", "./cmd/pewterrudder", nil, "-tags=peers")
}

// TrustRow is a case of peers over its seeds.
type TrustRow struct {
	Name                 string
	Runs, Void           int
	Deaths, Stalls       []float64 // sorted
	Missed, Wrong, Acted int
	Agree                float64 // the latest; below 0: once never
	CrowdOff, ToldOff    float64 // means
	Hours                float64
	Broken               uint64
	BySecond             []float64 // means
	Goodput, Hit, Cold   float64   // means of the day and while faults last, and the most work that a cold app node was sent
}

// TrustOf sums the runs of a case up.
func TrustOf(name string, runs []*Done) TrustRow {
	r := TrustRow{Name: name}
	for _, d := range runs {
		if d.Void != "" {
			r.Void++
			continue
		}
		t := d.Trust
		if t == nil { // nobody hears of anybody: the day is there to be compared with
			t = &Trust{}
		}
		r.Runs++
		r.Deaths, r.Stalls = append(r.Deaths, t.Deaths...), append(r.Stalls, t.Stalls...)
		r.Missed, r.Wrong, r.Acted = r.Missed+t.Missed, r.Wrong+t.Wrong, r.Acted+t.Acted
		r.Agree = later(r.Agree, t.Agree)
		if len(r.BySecond) < len(t.BySecond) {
			r.BySecond = append(r.BySecond, make([]float64, len(t.BySecond)-len(r.BySecond))...)
		}
		for i, off := range t.BySecond {
			r.BySecond[i] += off
		}
		r.CrowdOff, r.ToldOff = r.CrowdOff+t.CrowdOff, r.ToldOff+t.ToldOff
		r.Hours, r.Broken, r.Goodput = r.Hours+t.Hours, r.Broken+d.Broken, r.Goodput+d.Goodput
		r.Hit, r.Cold = r.Hit+d.Hit, max(r.Cold, d.ColdShare)
	}
	if n := float64(r.Runs); n > 0 {
		for i := range r.BySecond {
			r.BySecond[i] /= n
		}
		r.CrowdOff, r.ToldOff, r.Goodput, r.Hit = r.CrowdOff/n, r.ToldOff/n, r.Goodput/n, r.Hit/n
	}
	slices.Sort(r.Deaths)
	slices.Sort(r.Stalls)
	return r
}

// Finite leaves out of sorted times those that never came, which JSON has no word for; Missed counts them.
func Finite(sorted []float64) []float64 {
	return slices.DeleteFunc(slices.Clone(sorted), func(s float64) bool { return math.IsInf(s, 1) })
}

// Share is the value that so large a share of sorted ones does not exceed; NaN of none.
func Share(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(share*float64(len(sorted))))-1))]
}
