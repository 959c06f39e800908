package zones

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// A fluid model of zones, and balancers that know nothing of each other, in virtual time. A zone does capacity core-
// seconds of work a second and queues the rest; an answer takes its work (longer where nodes are cold) and the queue.
// Its nodes report the busy share of their last period, noisy, when an answer asks after the report has travelled.

type fluid struct {
	capacity float64 // as warm
	warm     func(now time.Duration) float64
	queue    float64 // core-seconds
	at       time.Duration
	busySum  float64 // core-seconds done
	dark     bool
	nodes    []reporter
	sent     []float64 // core-seconds, by tenth of a second
}

type reporter struct {
	every, delay, next time.Duration
	from               float64
	fromAt             time.Duration
	reports            [4]stamped
}

type stamped struct {
	visible time.Duration
	busy    float64
}

func (z *fluid) able(now time.Duration) float64 {
	if z.warm == nil {
		return z.capacity
	}
	return z.capacity * z.warm(now)
}

func (z *fluid) run(now time.Duration) {
	done := min(z.queue, z.able(now)*(now-z.at).Seconds())
	z.queue, z.busySum, z.at = z.queue-done, z.busySum+done/max(z.able(now), 1e-9), now
}

type ending struct {
	at                    time.Duration
	balancer, zone, class int
	o                     Outcome
	took                  time.Duration
	inTime                bool
	util                  float64
}

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(v any)        { *h = append(*h, v.(ending)) }
func (h *endings) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

type loop struct {
	now       time.Duration
	rng       *rand.Rand
	zones     []*fluid
	balancers []*State
	homes     []int
	rate      []float64 // calls a second, by balancer
	next      []float64
	calls     [8]int
	open      endings
	asked     [2]int // by class
	served    [2]int
	shed      [2]int
	spilled   int
	late      int
	notes     []Note
	each      func(now time.Duration)
}

const capacity = 4.0 // of each zone of the loop, in cores

// mix: three looks of 10 ms and one order of 30 ms, so a call is 15 ms and half the work is orders'.
const meanWork = 0.015

// newLoop has so many balancers in zone 0, which is to go dark, and one in zone 1. The load is that of each
// zone's own clients, as a share of its capacity.
func newLoop(t *testing.T, seed uint64, inDark int, work, load0, load1 float64) *loop {
	l := &loop{rng: rand.New(rand.NewPCG(seed, 9))}
	for range 2 {
		z := &fluid{capacity: capacity, sent: make([]float64, 2000)}
		for range 4 {
			every := time.Duration(430+l.rng.IntN(870)) * ms
			z.nodes = append(z.nodes, reporter{every: every, delay: time.Duration(l.rng.IntN(300)) * ms,
				next: time.Duration(l.rng.Int64N(int64(every)))})
		}
		l.zones = append(l.zones, z)
	}
	for i := range inDark + 1 {
		home, load := 0, load0*capacity/float64(inDark)
		if i >= inDark {
			home, load = 1, load1*capacity
		}
		cfg := twoZones(inDark)
		for i := range cfg.Classes {
			cfg.Classes[i].Work *= work
		}
		cfg.Own, cfg.Tiers = home, [][]int{{home}, {1 - home}}
		l.balancers = append(l.balancers, made(t, cfg))
		l.homes = append(l.homes, home)
		l.rate = append(l.rate, load/meanWork)
		l.next = append(l.next, l.rng.Float64()/l.rate[i])
	}
	return l
}

func (l *loop) members(zone int, ready, cold int) {
	for _, b := range l.balancers {
		b.Members(l.now, zone, l.zones[zone].able(l.now), ready, cold)
	}
}

func (l *loop) until(end time.Duration) {
	for ; l.now < end; l.now += ms {
		for _, z := range l.zones {
			z.run(l.now)
			for i := range z.nodes {
				n := &z.nodes[i]
				if l.now < n.next {
					continue
				}
				busy := (z.busySum - n.from) / (l.now - n.fromAt).Seconds() * (1 + 0.05*l.rng.NormFloat64())
				copy(n.reports[1:], n.reports[:3])
				n.reports[0] = stamped{l.now + n.delay, min(1, max(0, busy))}
				n.from, n.fromAt, n.next = z.busySum, l.now, l.now+n.every
			}
		}
		for len(l.open) > 0 && l.open[0].at <= l.now {
			e := heap.Pop(&l.open).(ending)
			l.balancers[e.balancer].Ended(l.now, e.zone, e.class, e.o, e.took, e.inTime, e.util, 0)
			if e.o == OK && e.inTime {
				l.served[e.class]++
			}
		}
		for i, b := range l.balancers {
			for l.next[i] <= l.now.Seconds() {
				l.next[i] += (0.5 + l.rng.Float64()) / l.rate[i]
				l.call(i, b)
			}
			if l.now%(250*ms) == 0 {
				l.notes = append(l.notes, b.Tick(l.now)...)
			}
		}
		if l.each != nil {
			l.each(l.now)
		}
	}
}

func (l *loop) call(i int, b *State) {
	class, work, aim := 0, 0.010, 150*ms
	if l.calls[i]++; l.calls[i]%4 == 0 {
		class, work, aim = 1, 0.030, 300*ms
	}
	l.asked[class]++
	to := b.Arrived(l.now, class)
	if to.Shed {
		l.shed[class]++
		return
	}
	zone := l.homes[i]
	if to.First != 0 && to.First&(1<<zone) == 0 {
		zone = 1 - zone
		l.spilled++
	}
	b.Sent(l.now, zone, class)
	z := l.zones[zone]
	if z.dark { // half the calls need a connection, which times out; the others wait for good
		e := ending{l.now + 75*ms, i, zone, class, ConnectFailed, 75 * ms, false, -1}
		if l.rng.IntN(2) == 0 {
			e.at, e.o, e.took = l.now+600*ms, TimedOut, 600*ms
		}
		heap.Push(&l.open, e)
		return
	}
	z.queue += work
	z.sent[l.now/(100*ms)] += work
	warmth := z.able(l.now) / z.capacity
	took := time.Duration((work/warmth + z.queue/z.able(l.now)) * float64(time.Second))
	util := -1.0
	n := &z.nodes[l.rng.IntN(len(z.nodes))]
	for _, r := range n.reports {
		if r.visible > 0 && r.visible <= l.now+took {
			util = r.busy
			break
		}
	}
	o := OK
	if took > aim {
		o = Late
		l.late++
	}
	heap.Push(&l.open, ending{l.now + took, i, zone, class, o, took, o == OK, util})
}

// peak is the highest load of a zone over any window, as a share of what it can do.
func (z *fluid) peak(from, to, window time.Duration) float64 {
	most, step := 0.0, 100*ms
	for at := from; at+window <= to; at += step {
		sum, able := 0.0, 0.0
		for k := at; k < at+window; k += step {
			sum += z.sent[k/step]
			able += z.able(k) * step.Seconds()
		}
		most = max(most, sum/able)
	}
	return most
}

func (l *loop) reset() {
	l.asked, l.served, l.shed, l.spilled, l.late = [2]int{}, [2]int{}, [2]int{}, 0, 0
}

// One zone goes dark with nobody told. Whatever the number of balancers, the other takes what it can, never more than
// the bound, the cheap class is shed first, and the zone has all its calls back within a minute of its return.
func TestLoopOfZonesKeepsTheBound(t *testing.T) {
	const window = 2 * time.Second
	for _, c := range []struct {
		name         string
		load0, load1 float64
		dear         float64 // share of the orders that must be served while dark
		work         float64 // what the balancers are told of calls' work, as a share of the truth
	}{{"with room", 0.4, 0.3, 0.97, 1}, {"tight", 0.6, 0.4, 0.97, 1}, {"the other at 70%", 0.7, 0.7, 0, 1},
		{"work told wrong", 0.6, 0.6, 0.5, 0.4}} {
		for n := 1; n <= 5; n++ {
			for seed := range uint64(4) {
				l := newLoop(t, seed, n, c.work, c.load0, c.load1)
				lit, back := l.zones[1], l.zones[0]
				l.until(20 * time.Second)
				if l.spilled > 0 {
					t.Errorf("%s, %d, seed %d: %d calls spill while all is well", c.name, n, seed, l.spilled)
				}
				back.dark = true
				back.queue = 0
				l.until(21 * time.Second) // it is seen, and first reports come
				l.reset()
				l.until(50 * time.Second)
				if p := lit.peak(20*time.Second, 50*time.Second, window); p > fill {
					t.Errorf("%s, %d balancers, seed %d: the other zone was sent %.3f of what it can do", c.name, n, seed, p)
				}
				spare := fill - fillMargin - c.load1
				want := min(c.load0, spare) / c.load0 // of the work of zone 0's clients
				got := 1 - (0.010*float64(l.shed[0])+0.030*float64(l.shed[1]))/(0.010*float64(l.asked[0])+0.030*float64(l.asked[1]))
				all := (got*(c.load0+c.load1) - c.load1) / c.load0 // only they are shed
				if all < 0.8*want-0.03 {
					t.Errorf("%s, %d balancers, seed %d: %.2f of the lost zone's work was carried, and %.2f could be", c.name, n, seed, all, want)
				}
				if share := float64(l.served[1]) / float64(l.asked[1]); share < c.dear {
					t.Errorf("%s, %d balancers, seed %d: %.3f of the orders served", c.name, n, seed, share)
				}
				if l.shed[1] > 0 && float64(l.shed[0]) < 0.5*float64(l.asked[0])*c.load0/(c.load0+c.load1) {
					t.Errorf("%s, %d balancers, seed %d: %d orders shed, and %d looks of %d", c.name, n, seed, l.shed[1], l.shed[0], l.asked[0])
				}

				// It comes back with cold nodes, a fifth of their capacity at first.
				back.dark = false
				start := l.now
				back.warm = func(now time.Duration) float64 {
					if now < start { // before it went
						return 1
					}
					return min(1, 0.2+0.8*float64(now-start)/float64(20*time.Second))
				}
				l.each = func(now time.Duration) {
					if now%(250*ms) == 0 {
						l.members(0, 4, 4)
					}
				}
				full := time.Duration(0)
				for l.now < start+80*time.Second {
					l.reset()
					l.until(l.now + time.Second)
					if l.spilled+l.shed[0]+l.shed[1] > 0 {
						full = l.now - start
					}
				}
				for i, b := range l.balancers {
					if b.zones[0].state != well || l.homes[i] == 0 && b.zones[0].limited {
						t.Errorf("%s, %d balancers, seed %d: balancer %d still has %s", c.name, n, seed, i, b.Describe())
					}
				}
				if full > 60*time.Second {
					t.Errorf("%s, %d balancers, seed %d: calls still spill %v after the return", c.name, n, seed, full)
				}
				if p := back.peak(start, start+80*time.Second, window); p > 1 {
					t.Errorf("%s, %d balancers, seed %d: the returning zone was sent %.2f of what it can do", c.name, n, seed, p)
				}
			}
		}
	}
}
