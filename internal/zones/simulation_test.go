package zones

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// This file simulates zones as a fluid model, with balancers that know nothing of each other, in virtual time. A zone
// does capacity core-seconds of work per second and queues the rest. The latency of an answer is its own work (more
// while nodes are cold) plus the queue. Nodes report the busy share of their last period, with noise; an answer carries
// the latest report that has become visible by then.

// zoneModel simulates one zone.
type zoneModel struct {
	capacity   float64 // when fully warm, in cores
	warmth     func(now time.Duration) float64
	queue      float64 // core-seconds
	advancedAt time.Duration
	busyTime   float64 // seconds of being fully busy
	dark       bool
	nodes      []nodeModel
	sent       []float64 // core-seconds, by tenth of a second
}

// nodeModel is an app node that reports its zone's load.
type nodeModel struct {
	period, delay, nextAt time.Duration
	busyTimeAtLast        float64
	lastAt                time.Duration
	reports               [4]timedReport
}

// timedReport is a load report and the time from which answers carry it.
type timedReport struct {
	visibleAt time.Duration
	busy      float64
}

func (z *zoneModel) capacityAt(now time.Duration) float64 {
	if z.warmth == nil {
		return z.capacity
	}
	return z.capacity * z.warmth(now)
}

func (z *zoneModel) advance(now time.Duration) {
	done := min(z.queue, z.capacityAt(now)*(now-z.advancedAt).Seconds())
	z.queue, z.busyTime, z.advancedAt = z.queue-done, z.busyTime+done/max(z.capacityAt(now), 1e-9), now
}

// attemptEnd is the scheduled end of an attempt.
type attemptEnd struct {
	at                    time.Duration
	balancer, zone, class int
	outcome               Outcome
	took                  time.Duration
	inTime                bool
	util                  float64
}

// attemptEnds is a heap by time.
type attemptEnds []attemptEnd

func (h attemptEnds) Len() int           { return len(h) }
func (h attemptEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h attemptEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptEnds) Push(v any)        { *h = append(*h, v.(attemptEnd)) }
func (h *attemptEnds) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

// simulation runs balancers against two zone models.
type simulation struct {
	now        time.Duration
	rng        *rand.Rand
	zones      []*zoneModel
	balancers  []*State
	ownZones   []int
	rate       []float64 // calls a second, by balancer
	nextCallAt []float64
	calls      [8]int
	inFlight   attemptEnds
	arrived    [2]int // by class
	served     [2]int
	shed       [2]int
	spilled    int
	late       int
	notes      []LogLine
	onStep     func(now time.Duration)
}

const zoneCapacity = 4.0 // of each simulated zone, in cores

// meanCallWork is in core-seconds: of four calls, three are looks of 10 ms and one is an order of 30 ms, so that the
// mean is 15 ms and orders are half of the work.
const meanCallWork = 0.015

// newSimulation puts inDark balancers into zone 0, which is to go dark, and one into zone 1. load0 and load1 are the
// load of each zone's own clients as a share of its capacity; work is the ratio of the calls' configured to their true
// work.
func newSimulation(t *testing.T, seed uint64, inDark int, work, load0, load1 float64) *simulation {
	l := &simulation{rng: rand.New(rand.NewPCG(seed, 9))}
	for range 2 {
		z := &zoneModel{capacity: zoneCapacity, sent: make([]float64, 2000)}
		for range 4 {
			every := time.Duration(430+l.rng.IntN(870)) * ms
			z.nodes = append(z.nodes, nodeModel{period: every, delay: time.Duration(l.rng.IntN(300)) * ms,
				nextAt: time.Duration(l.rng.Int64N(int64(every)))})
		}
		l.zones = append(l.zones, z)
	}
	for i := range inDark + 1 {
		home, load := 0, load0*zoneCapacity/float64(inDark)
		if i >= inDark {
			home, load = 1, load1*zoneCapacity
		}
		cfg := twoZones(inDark)
		for i := range cfg.Classes {
			cfg.Classes[i].Work *= work
		}
		cfg.OwnZone, cfg.Tiers = home, [][]int{{home}, {1 - home}}
		l.balancers = append(l.balancers, newState(t, cfg))
		l.ownZones = append(l.ownZones, home)
		l.rate = append(l.rate, load/meanCallWork)
		l.nextCallAt = append(l.nextCallAt, l.rng.Float64()/l.rate[i])
	}
	return l
}

func (l *simulation) announceMembers(zone int, ready, cold int) {
	for _, b := range l.balancers {
		b.SetMembers(l.now, zone, l.zones[zone].capacityAt(l.now), ready, cold)
	}
}

func (l *simulation) runUntil(end time.Duration) {
	for ; l.now < end; l.now += ms {
		for _, z := range l.zones {
			z.advance(l.now)
			for i := range z.nodes {
				n := &z.nodes[i]
				if l.now < n.nextAt {
					continue
				}
				busy := (z.busyTime - n.busyTimeAtLast) / (l.now - n.lastAt).Seconds() * (1 + 0.05*l.rng.NormFloat64())
				copy(n.reports[1:], n.reports[:3])
				n.reports[0] = timedReport{l.now + n.delay, min(1, max(0, busy))}
				n.busyTimeAtLast, n.lastAt, n.nextAt = z.busyTime, l.now, l.now+n.period
			}
		}
		for len(l.inFlight) > 0 && l.inFlight[0].at <= l.now {
			e := heap.Pop(&l.inFlight).(attemptEnd)
			l.balancers[e.balancer].Ended(l.now, e.zone, e.class, e.outcome, e.took, e.inTime, e.util, 0)
			if e.outcome == OK && e.inTime {
				l.served[e.class]++
			}
		}
		for i, b := range l.balancers {
			for l.nextCallAt[i] <= l.now.Seconds() {
				l.nextCallAt[i] += (0.5 + l.rng.Float64()) / l.rate[i]
				l.call(i, b)
			}
			if l.now%(250*ms) == 0 {
				l.notes = append(l.notes, b.Tick(l.now)...)
			}
		}
		if l.onStep != nil {
			l.onStep(l.now)
		}
	}
}

func (l *simulation) call(i int, b *State) {
	class, work, aim := 0, 0.010, 150*ms
	if l.calls[i]++; l.calls[i]%4 == 0 {
		class, work, aim = 1, 0.030, 300*ms
	}
	l.arrived[class]++
	to := b.Arrived(l.now, class)
	if to.Shed {
		l.shed[class]++
		return
	}
	zone := l.ownZones[i]
	if to.First != 0 && to.First&(1<<zone) == 0 {
		zone = 1 - zone
		l.spilled++
	}
	b.Sent(l.now, zone, class)
	z := l.zones[zone]
	if z.dark { // half of the calls need a new connection, which times out; the others never get an answer
		e := attemptEnd{l.now + 75*ms, i, zone, class, ConnectFailed, 75 * ms, false, -1}
		if l.rng.IntN(2) == 0 {
			e.at, e.outcome, e.took = l.now+600*ms, TimedOut, 600*ms
		}
		heap.Push(&l.inFlight, e)
		return
	}
	z.queue += work
	z.sent[l.now/(100*ms)] += work
	warmth := z.capacityAt(l.now) / z.capacity
	took := time.Duration((work/warmth + z.queue/z.capacityAt(l.now)) * float64(time.Second))
	util := -1.0
	n := &z.nodes[l.rng.IntN(len(z.nodes))]
	for _, r := range n.reports {
		if r.visibleAt > 0 && r.visibleAt <= l.now+took {
			util = r.busy
			break
		}
	}
	o := OK
	if took > aim {
		o = Late
		l.late++
	}
	heap.Push(&l.inFlight, attemptEnd{l.now + took, i, zone, class, o, took, o == OK, util})
}

// peak returns the highest load of a zone over any window, as a share of its capacity at that time.
func (z *zoneModel) peak(from, to, window time.Duration) float64 {
	highest, step := 0.0, 100*ms
	for at := from; at+window <= to; at += step {
		sum, able := 0.0, 0.0
		for k := at; k < at+window; k += step {
			sum += z.sent[k/step]
			able += z.capacityAt(k) * step.Seconds()
		}
		highest = max(highest, sum/able)
	}
	return highest
}

func (l *simulation) reset() {
	l.arrived, l.served, l.shed, l.spilled, l.late = [2]int{}, [2]int{}, [2]int{}, 0, 0
}

// A zone goes dark without notice. For 1 to 5 balancers, the other zone must take what it can, but never more than the
// bound; the less valuable class must be shed first; and all calls must be back within a minute of the zone's return.
func TestZoneFailoverKeepsLoadBounds(t *testing.T) {
	const window = 2 * time.Second
	for _, c := range []struct {
		name         string
		load0, load1 float64
		minServed    float64 // share of the orders that must be served while the zone is dark
		work         float64 // ratio of the calls' configured to their true work
	}{{"spare capacity", 0.4, 0.3, 0.97, 1}, {"hardly any spare capacity", 0.6, 0.4, 0.97, 1}, {"other zone at 70%", 0.7, 0.7, 0, 1},
		{"wrong work configured", 0.6, 0.6, 0.5, 0.4}} {
		for n := 1; n <= 5; n++ {
			for seed := range uint64(4) {
				l := newSimulation(t, seed, n, c.work, c.load0, c.load1)
				other, failed := l.zones[1], l.zones[0]
				l.runUntil(20 * time.Second)
				if l.spilled > 0 {
					t.Errorf("%s, %d balancers, seed %d: %d calls spill while both zones are well", c.name, n, seed, l.spilled)
				}
				failed.dark = true
				failed.queue = 0
				l.runUntil(21 * time.Second) // detection, and the first reports after it
				l.reset()
				l.runUntil(50 * time.Second)
				if p := other.peak(20*time.Second, 50*time.Second, window); p > defaultFill {
					t.Errorf("%s, %d balancers, seed %d: the other zone was sent %.3f of its capacity", c.name, n, seed, p)
				}
				spare := defaultFill - fillMargin - c.load1
				want := min(c.load0, spare) / c.load0 // as a share of the work of zone 0's clients
				got := 1 - (0.010*float64(l.shed[0])+0.030*float64(l.shed[1]))/(0.010*float64(l.arrived[0])+0.030*float64(l.arrived[1]))
				all := (got*(c.load0+c.load1) - c.load1) / c.load0 // only calls of zone 0's clients are shed
				if all < 0.8*want-0.03 {
					t.Errorf("%s, %d balancers, seed %d: %.2f of the failed zone's work was served, and %.2f could be", c.name, n, seed, all, want)
				}
				if share := float64(l.served[1]) / float64(l.arrived[1]); share < c.minServed {
					t.Errorf("%s, %d balancers, seed %d: %.3f of the orders were served", c.name, n, seed, share)
				}
				if l.shed[1] > 0 && float64(l.shed[0]) < 0.5*float64(l.arrived[0])*c.load0/(c.load0+c.load1) {
					t.Errorf("%s, %d balancers, seed %d: %d orders were shed, and %d looks of %d calls", c.name, n, seed, l.shed[1], l.shed[0], l.arrived[0])
				}

				// The zone returns with cold nodes, which have a fifth of their capacity at first.
				failed.dark = false
				start := l.now
				failed.warmth = func(now time.Duration) float64 {
					if now < start { // before it went dark
						return 1
					}
					return min(1, 0.2+0.8*float64(now-start)/float64(20*time.Second))
				}
				l.onStep = func(now time.Duration) {
					if now%(250*ms) == 0 {
						l.announceMembers(0, 4, 4)
					}
				}
				lastSpillAt := time.Duration(0)
				for l.now < start+80*time.Second {
					l.reset()
					l.runUntil(l.now + time.Second)
					if l.spilled+l.shed[0]+l.shed[1] > 0 {
						lastSpillAt = l.now - start
					}
				}
				for i, b := range l.balancers {
					if b.zones[0].state != well || l.ownZones[i] == 0 && b.zones[0].limited {
						t.Errorf("%s, %d balancers, seed %d: balancer %d has not ended the return: %s", c.name, n, seed, i, b.Describe())
					}
				}
				if lastSpillAt > 60*time.Second {
					t.Errorf("%s, %d balancers, seed %d: calls still spill %v after the return", c.name, n, seed, lastSpillAt)
				}
				if p := failed.peak(start, start+80*time.Second, window); p > 1 {
					t.Errorf("%s, %d balancers, seed %d: the returning zone was sent %.2f of its capacity", c.name, n, seed, p)
				}
			}
		}
	}
}
