// Package pacing plays the Eureka client's decisions on when to ask against registries in virtual time: how long a client
// stays blind once a registry is well again, and how the calls of a crowd spread over one that works slowly. It owns its
// clock and its registries. It must never open a socket or read the machine's clock.
package pacing

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/registry/eureka"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type clock struct {
	now time.Duration
	seq int
	q   queue
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}
func (q queue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	h := *q
	e := h[len(h)-1]
	*q = h[:len(h)-1]
	return e
}

func (c *clock) at(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.q, event{max(t, c.now), c.seq, do})
}

// run plays until a moment, or until nothing is left or over says so.
func (c *clock) run(until time.Duration, over func() bool) {
	for len(c.q) > 0 && c.q[0].at <= until && !over() {
		e := heap.Pop(&c.q).(event)
		c.now = e.at
		e.do()
	}
}

// call is an attempt on its way.
type call struct {
	cl      *client
	id, at  int
	stopped bool
}

// registry takes calls; it ends them through answer and fail.
type registry interface{ take(*call) }

// client is one balancer: its pacer, and nothing else of it.
type client struct {
	c         *clock
	pacer     *eureka.Pacer
	registry  registry
	out       map[int]*call
	wakes     int // only the latest wake counts
	begun     int
	missed    bool // a call failed, or another had to begin beside it
	onAnswer  func()
	onBeginAt func()
}

func newClient(c *clock, set eureka.Pacing, addresses int, seed uint64, r registry) *client {
	return &client{c: c, registry: r, out: map[int]*call{},
		pacer: eureka.NewPacer(set, addresses, rand.New(rand.NewPCG(seed, 1)))}
}

func (cl *client) step() {
	for {
		s := cl.pacer.Step(cl.c.now)
		cl.stop(s.Stop)
		if len(s.Stop) > 0 || s.Hung {
			cl.missed = true
		}
		if s.Begin == nil {
			cl.wakes++
			mine := cl.wakes
			cl.c.at(s.Wake, func() {
				if mine == cl.wakes {
					cl.step()
				}
			})
			return
		}
		cl.begun++
		if cl.onBeginAt != nil {
			cl.onBeginAt()
		}
		k := &call{cl: cl, id: s.Begin.ID, at: s.Begin.Address}
		cl.out[k.id] = k
		cl.registry.take(k)
	}
}

func (cl *client) stop(ids []int) {
	for _, id := range ids {
		cl.out[id].stopped = true
		delete(cl.out, id)
	}
}

func (k *call) answer() {
	if k.stopped {
		return
	}
	delete(k.cl.out, k.id)
	k.cl.stop(k.cl.pacer.Answered(k.cl.c.now, k.id))
	k.cl.onAnswer()
	k.cl.step()
}

func (k *call) fail(after time.Duration) {
	if k.stopped {
		return
	}
	delete(k.cl.out, k.id)
	k.cl.missed = true
	k.cl.pacer.Failed(k.cl.c.now, k.id, after)
	k.cl.step()
}
