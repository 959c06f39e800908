package oracle

import (
	"math"
	"time"

	"pewterrudder/internal/lab/world"
)

// start is one start of an app node, and when discovery had it.
type start struct {
	epoch int
	at    time.Duration
}

// send is one request that came to a cold app node.
type send struct {
	at   time.Duration
	work float64 // ms
	told bool    // by a balancer that had been told of the start
}

// window is what a cold app node was sent, by all balancers together, in the time that it takes to fall. It is exact: slices
// of it would leave out up to a twentieth, which may be the request that breaks the rule.
type window struct {
	epoch      int
	sends      []send
	work, told float64
	over       bool // the fall of this start is counted
}

// Bears is how many requests of mean work a cold app node bears in the time of a fall where the settings allow it so many: two
// deviations of a number that comes by chance, and two more.
func Bears(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// toldOfStart says whether a balancer was told of an app node's present start, or counts as told: so long after discovery had
// it and could have said so.
func (o *Oracle) toldOfStart(balancer int, n *world.Node) bool {
	if o.start[balancer][n] == n.Epoch {
		return true
	}
	b, is := o.began[n]
	return is && b.epoch == n.Epoch && o.since[balancer] >= 0 &&
		o.w.Clock.Now() >= max(b.at, o.since[balancer])+o.sc.Rules.ToldWithin.D()
}

// add enters a request and lets go of those that are too old to count.
func (w *window) add(s send, width time.Duration) {
	old := 0
	for old < len(w.sends) && w.sends[old].at <= s.at-width {
		w.work -= w.sends[old].work
		w.told -= w.sends[old].toldWork()
		old++
	}
	w.sends = append(append(w.sends[:0], w.sends[old:]...), s)
	if len(w.sends) == 1 {
		w.work, w.told = 0, 0 // what rounding has left
	}
	w.work, w.told = w.work+s.work, w.told+s.toldWork()
}

func (s *send) toldWork() float64 {
	if s.told {
		return s.work
	}
	return 0
}

// coldCame holds what a cold app node was sent, by all balancers, against what it bears: N + 2 x root of N + 2 requests of mean
// work in the time of a fall, N being what the settings allow at that moment: their multiple of its present capacity. It falls beyond
// that, and the rule is broken where over two thirds came from balancers that had been told of its start.
func (o *Oracle) coldCame(n *world.Node, j *world.Job, balancer int) {
	r, now := &o.sc.Rules, o.w.Clock.Now()
	warmth := n.Warmth()
	if warmth >= 1 || r.ColdFor <= 0 {
		return
	}
	for len(o.cold) <= n.Index {
		o.cold = append(o.cold, nil)
	}
	w := o.cold[n.Index]
	if w == nil || w.epoch != n.Epoch {
		w = &window{epoch: n.Epoch}
		o.cold[n.Index] = w
	}
	w.add(send{now, j.Work, o.toldOfStart(balancer, n)}, r.FallFor.D())
	came := w.work / o.MeanWork
	allowed := r.OverloadFactor * float64(n.Cores) * n.Speed * warmth * r.FallFor.D().Seconds() * 1000 / o.MeanWork
	knew := w.told > w.work*2/3
	if knew {
		o.ColdShare = max(o.ColdShare, came/Bears(allowed))
	}
	if came <= Bears(allowed) || w.over {
		return
	}
	w.over = knew || r.Falls // one that stands, since the scenario lets none fall, can be pushed further by those that know
	if knew {
		o.Break(Cold, "app node %d, %v after its start, was sent %.1f requests of mean work in %v, and the settings allow %.1f", n.Index,
			now-n.Started, came, r.FallFor.D(), allowed)
	}
	if r.Falls {
		o.w.Topple(n)
	}
}
