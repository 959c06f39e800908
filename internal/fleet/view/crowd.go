package view

import (
	"fmt"
	"math"
	"time"
)

// crowd is the number of balancers that share an app node, which decisions divide by. Too small a number has each of them take
// more of a cold app node than its share; too large a one has them leave room unused. So a larger number counts at once, and a
// smaller one when it has lasted. A view that is not believed gives the number in the settings, which is also what bounds it.
type crowd struct {
	wanted int // in the settings
	told   int // the last one that was given
	// steps are the numbers of the last while, the largest first and each later than the one before it: the first is the largest
	// within the hold.
	steps []step
}

type step struct {
	n  int
	at time.Duration // when a smaller one took its place; the last of them holds now
}

// Want sets the number in the settings.
func (v *View) Want(n int) (out Out) {
	v.crowd.wanted = max(1, n)
	v.count(&out)
	return out
}

// Crowd is the number as it was given last.
func (v *View) Crowd() int { return v.crowd.told }

// Believed says whether the view is behind that number.
func (v *View) Believed() bool { return v.now >= v.believes && v.live > 0 }

// Sharers are the addresses of the others that share the app nodes with us: those who live, and those who are gone for less
// than it takes to believe so. A view that is not believed names nobody.
func (v *View) Sharers() map[string]bool {
	all := map[string]bool{}
	if !v.Believed() {
		return all
	}
	for _, p := range v.peers {
		if p.state == alive || v.now-p.since < v.bounds.Hold {
			all[p.life.Address] = true
		}
	}
	return all
}

func (v *View) count(out *Out) {
	c := &v.crowd
	n := v.live + 1
	for len(c.steps) > 0 && c.steps[len(c.steps)-1].n <= n { // smaller ones do not count beside it
		c.steps = c.steps[:len(c.steps)-1]
	}
	if last := len(c.steps) - 1; last >= 0 && c.steps[last].at == 0 {
		c.steps[last].at = v.now
	}
	c.steps = append(c.steps, step{n: n})
	for len(c.steps) > 1 && v.now-c.steps[0].at >= v.bounds.Hold {
		c.steps = c.steps[1:]
	}
	if v.live == 0 { // alone, or cut off from all: nobody here can tell the two apart
		v.believes = max(v.believes, v.now+v.bounds.Settle)
	}
	next := c.wanted
	if v.Believed() {
		least, most := int(math.Ceil(v.bounds.Least*float64(c.wanted))), int(math.Ceil(v.bounds.Most*float64(c.wanted)))
		next = min(max(c.steps[0].n, least, 1), most)
	}
	if next != c.told {
		out.Crowd = next
		out.Say = append(out.Say, fmt.Sprintf("peers: %d balancers share the app nodes, %d before", next, c.told))
		c.told = next
	}
}
