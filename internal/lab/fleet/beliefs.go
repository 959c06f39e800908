package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"pewterrudder/internal/lab/scenario"
)

// What balancers say of each other, held against what the world did to them. A balancer says it on its log, as it would to a
// person; nobody looks into it.

// Belief is one word of a balancer.
type Belief struct {
	At       float64 `json:"at_s"`
	Balancer int     `json:"balancer"`
	Of       int     `json:"of"`    // another balancer; -1: of the crowd
	Here     bool    `json:"here"`  // else it is lost, or has left
	Crowd    int     `json:"crowd"` // as it is believed from now on
}

// beliefs collects them; its method is called one at a time.
type beliefs struct {
	all    []Belief
	others []string // what else was said of peers
}

func (b *beliefs) said(balancer int, at time.Duration, text string) {
	_, word, ok := strings.Cut(text, "peers: ")
	if !ok {
		return
	}
	w := Belief{At: since(at), Balancer: balancer, Of: -1}
	var before int
	if n, _ := fmt.Sscanf(word, "lab-%d is here", &w.Of); n == 1 && strings.HasSuffix(word, " is here") {
		w.Here = true
	} else if n == 1 && (strings.HasSuffix(word, " is lost") || strings.HasSuffix(word, " has left")) {
	} else if n, _ := fmt.Sscanf(word, "%d balancers share the app nodes, %d before", &w.Crowd, &before); n != 2 {
		b.others = append(b.others, fmt.Sprintf("%.3f s, balancer %d: %s", w.At, balancer, word))
		return
	} else {
		w.Of = -1
	}
	b.all = append(b.all, w)
}

// Trust is how right the balancers were of each other on a day. Times are in seconds.
type Trust struct {
	Deaths   []float64 `json:"deaths"`    // from the end of a process to each other's word that it is lost; +Inf is missed
	Stalls   []float64 `json:"stalls"`    // the same of a process that stood still
	Missed   int       `json:"missed"`    // of both
	Wrong    int       `json:"wrong"`     // words that somebody is lost who was there and could be reached
	Acted    int       `json:"acted"`     // crowds that fell without a loss
	Agree    float64   `json:"agree_s"`   // from the end of the last fault until all that run held all that run; below 0: never
	CrowdOff float64   `json:"crowd_off"` // mean of the crowd's distance from the truth, in balancers, from 8 s on
	ToldOff  float64   `json:"told_off"`  // the same of the number in the settings
	Hours    float64   `json:"hours"`     // of processes
	BySecond []float64 `json:"by_second"` // the crowd's distance from the truth in each second of the day, on the mean
}

// explains is how long after a fault its words may come, and detectable how long one must last to be seen.
const (
	explains   = 6.0
	detectable = 3.0
)

// trust judges beliefs by the faults of a day.
func trust(sc *scenario.Scenario, words []Belief, faults []Fault) *Trust {
	n := sc.Balancers.Count
	length := sc.Length.D().Seconds()
	t := &Trust{Hours: float64(n) * length / 3600}
	between := func(f *Fault) bool { return f.Ends == "balancers to balancers" }
	ends := func(f *Fault) bool { return f.Kind == "balancer_crash" || f.Kind == "balancer_restart" }
	last := 0.0
	// down says whether a balancer was gone, stopped or cut off around a moment.
	hit := func(b int, at, slack float64) bool {
		return slices.ContainsFunc(faults, func(f Fault) bool {
			cut := between(&f) && strings.HasPrefix(f.Kind, "line_cut") || f.Kind == "line_stall" && between(&f)
			if !ends(&f) && f.Kind != "freeze" && !cut {
				return false
			}
			whom := slices.Contains(f.Balancers, b) || cut
			return whom && at >= f.From && at <= f.To+slack
		})
	}
	for _, f := range faults {
		last = max(last, f.To)
		if (!ends(&f) || f.Kind != "balancer_crash") && f.Kind != "freeze" || f.To-f.From < detectable {
			continue
		}
		for _, b := range f.Balancers {
			for o := range n {
				if o == b || hit(o, f.From, explains) || slices.ContainsFunc(faults, func(g Fault) bool { // it may never have known the other
					return (ends(&g) || g.Kind == "freeze") && slices.Contains(g.Balancers, o) && g.From >= f.From && g.From <= f.From+explains
				}) {
					continue
				}
				i := slices.IndexFunc(words, func(w Belief) bool { return w.Balancer == o && w.Of == b && !w.Here && w.At >= f.From })
				took := math.Inf(1)
				if i >= 0 && words[i].At <= f.To+explains {
					took = words[i].At - f.From
				}
				if f.Kind == "freeze" {
					t.Stalls = append(t.Stalls, took)
				} else {
					t.Deaths = append(t.Deaths, took)
				}
			}
		}
	}
	crowd := make([]int, n)
	told := sc.Balancers.Told
	if told == 0 {
		told = n
	}
	for i := range crowd {
		crowd[i] = told
	}
	here := make([]map[int]bool, n)
	for i := range here {
		here[i] = map[int]bool{}
	}
	next, samples, changed := 0, 0, 0.0
	t.BySecond = make([]float64, int(math.Ceil(length)))
	looks := make([]float64, len(t.BySecond))
	for at := -2.0; at < length; at += 0.1 {
		for ; next < len(words) && words[next].At <= at; next++ {
			w := &words[next]
			switch {
			case w.Of < 0:
				if w.Crowd < crowd[w.Balancer] && w.Crowd < n && !slices.ContainsFunc(faults, func(f Fault) bool {
					return w.At >= f.From && w.At <= f.To+2*explains && (ends(&f) || f.Kind == "freeze" || between(&f) && strings.HasPrefix(f.Kind, "line_cut"))
				}) {
					t.Acted++
				}
				crowd[w.Balancer] = w.Crowd
			case w.Here:
				if !here[w.Balancer][w.Of] {
					changed = w.At
				}
				here[w.Balancer][w.Of] = true
			default:
				if !hit(w.Of, w.At, explains) && !hit(w.Balancer, w.At, explains) {
					t.Wrong++
				}
				changed = w.At
				delete(here[w.Balancer], w.Of)
			}
		}
		if at < 0 {
			continue
		}
		running := 0
		for b := range n {
			if !gone(faults, b, at) {
				running++
			}
		}
		for b := range n {
			if second := int(at); !gone(faults, b, at) && second < len(looks) {
				t.BySecond[second] += math.Abs(float64(crowd[b] - running))
				looks[second]++
			}
		}
		if at < 8 {
			continue
		}
		for b := range n {
			if !gone(faults, b, at) {
				t.CrowdOff += math.Abs(float64(crowd[b] - running))
				t.ToldOff += math.Abs(float64(told - running))
				samples++
			}
		}
	}
	for i := range looks {
		t.BySecond[i] /= max(1, looks[i])
	}
	if samples > 0 {
		t.CrowdOff, t.ToldOff = t.CrowdOff/float64(samples), t.ToldOff/float64(samples)
	}
	t.Agree = max(0, changed-last)
	for b := range n {
		for o := range n {
			if b != o && !gone(faults, b, length) && !gone(faults, o, length) && !here[b][o] {
				t.Agree = -1
			}
		}
	}
	for _, took := range append(slices.Clone(t.Deaths), t.Stalls...) {
		if math.IsInf(took, 1) {
			t.Missed++
		}
	}
	return t
}

// gone says whether a process does not run at a moment.
func gone(faults []Fault, b int, at float64) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool {
		return (f.Kind == "balancer_crash" || f.Kind == "balancer_restart" || f.Kind == "freeze") && slices.Contains(f.Balancers, b) && at >= f.From && at <= f.To
	})
}
