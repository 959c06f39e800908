// Package timeline owns the lab's time: a queue of tasks on a clock, virtual (it jumps to the next task) or real.
// One goroutine runs all tasks of a queue. It must never run two tasks at once, nor one before its time, nor let
// the order of tasks due at one instant depend on anything but their insertion and the seed of the order.
package timeline

import "time"

// Task is what is done at its time. Pooled objects serve as tasks where a closure would cost an allocation.
type Task interface{ Run() }

// Func makes a task of a function.
type Func func()

func (f Func) Run() { f() }

// Clock is time as the world sees it.
type Clock interface {
	Now() time.Duration
	// After runs a task so much later; a negative wait is none.
	After(d time.Duration, t Task) Timer
}

// Timer names a task that waits. The zero Timer is one that is over.
type Timer struct {
	q    *queue
	slot int32
	life uint32
}

// Stop keeps the task from being run, and says whether it still waited. It belongs to the clock's goroutine.
func (t Timer) Stop() bool {
	if t.q == nil {
		return false
	}
	s := &t.q.slots[t.slot]
	if s.life != t.life || s.task == nil {
		return false
	}
	s.task = nil
	t.q.live--
	t.q.compact()
	return true
}

// Waits says whether the task is still to come.
func (t Timer) Waits() bool {
	return t.q != nil && t.q.slots[t.slot].life == t.life && t.q.slots[t.slot].task != nil
}

// entry is ordered by time, then by key, which no two share.
type entry struct {
	at   time.Duration
	key  uint64
	slot int32
}

type slot struct {
	task Task
	life uint32
}

// queue is a four-way heap: half as deep as a binary one, and the children of a node share a cache line or two. What
// is due later waits unsorted in days until the heap gets there: most deadlines are stopped long before, and never
// enter it. A stopped task's entry stays until its time, or until such entries are the most of the heap.
type queue struct {
	heap  []entry
	days  [dayCount][]entry
	later int   // entries in days
	day   int64 // the first day that is not in the heap yet
	slots []slot
	free  []int32
	live  int
	order uint64
	seed  uint64
}

// A day is 2^26 ns, 67 ms: longer than what a message takes, shorter than a deadline. There are 34 s of them; what is
// further off goes into the heap, and is rare.
const (
	dayBits  = 26
	dayCount = 512
)

// push sets a task; now is the clock's time.
func (q *queue) push(now, at time.Duration, t Task) Timer {
	var i int32
	if n := len(q.free); n > 0 {
		i, q.free = q.free[n-1], q.free[:n-1]
	} else {
		i = int32(len(q.slots))
		q.slots = append(q.slots, slot{})
	}
	s := &q.slots[i]
	s.task = t
	s.life++
	q.live++
	q.order++
	key := q.order
	if q.seed != 0 {
		key = mix(q.order ^ q.seed)
	}
	if q.later == 0 {
		q.day = max(q.day, int64(now)>>dayBits+1)
	}
	if day := int64(at) >> dayBits; day >= q.day && day < q.day+dayCount {
		q.days[day%dayCount] = append(q.days[day%dayCount], entry{at, key, i})
		q.later++
		return Timer{q, i, s.life}
	}
	q.enter(entry{at, key, i})
	return Timer{q, i, s.life}
}

func (q *queue) enter(e entry) {
	q.heap = append(q.heap, e)
	q.up(len(q.heap) - 1)
}

// dawn takes the next day into the heap.
func (q *queue) dawn() {
	of := &q.days[q.day%dayCount]
	for _, e := range *of {
		if q.slots[e.slot].task != nil {
			q.enter(e)
		} else {
			q.release(e.slot)
		}
	}
	q.later -= len(*of)
	*of = (*of)[:0]
	q.day++
}

// release gives a slot back; timers of its task name it no more.
func (q *queue) release(slot int32) {
	q.slots[slot].life++
	q.free = append(q.free, slot)
}

// mix is the finish of SplitMix64: a permutation, so that no two tasks share a key.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (a *entry) before(b *entry) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.key < b.key
}

func (q *queue) up(i int) {
	e := q.heap[i]
	for i > 0 {
		p := (i - 1) / 4
		if !e.before(&q.heap[p]) {
			break
		}
		q.heap[i] = q.heap[p]
		i = p
	}
	q.heap[i] = e
}

func (q *queue) down(i int) {
	e, n := q.heap[i], len(q.heap)
	for {
		first := 4*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, n); c++ {
			if q.heap[c].before(&q.heap[least]) {
				least = c
			}
		}
		if !q.heap[least].before(&e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
}

// next gives the time of the first task that is not stopped.
func (q *queue) next() (time.Duration, bool) {
	for {
		switch {
		case q.later > 0 && (len(q.heap) == 0 || int64(q.heap[0].at)>>dayBits >= q.day):
			q.dawn()
		case len(q.heap) == 0:
			return 0, false
		case q.slots[q.heap[0].slot].task != nil:
			return q.heap[0].at, true
		default:
			q.pop()
		}
	}
}

// pop takes the first entry; its task is nil where it was stopped.
func (q *queue) pop() Task {
	e := q.heap[0]
	n := len(q.heap) - 1
	q.heap[0] = q.heap[n]
	q.heap = q.heap[:n]
	if n > 0 {
		q.down(0)
	}
	s := &q.slots[e.slot]
	t := s.task
	if t != nil {
		s.task = nil
		q.live--
	}
	q.release(e.slot)
	return t
}

// compact throws out what was stopped once it is most of the heap, so that timers set far ahead and stopped at once
// cost no memory.
func (q *queue) compact() {
	if len(q.heap) < 1024 || len(q.heap) < 4*max(1, q.live-q.later) {
		return
	}
	kept := q.heap[:0]
	for _, e := range q.heap {
		if q.slots[e.slot].task != nil {
			kept = append(kept, e)
			continue
		}
		q.release(e.slot)
	}
	q.heap = kept
	for i := (len(q.heap) - 2) / 4; i >= 0 && len(q.heap) > 1; i-- {
		q.down(i)
	}
}

// Virtual is a clock that jumps from task to task.
type Virtual struct {
	queue
	now time.Duration
}

// NewVirtual starts at 0. Tasks due at one instant run as they were set, or where order is not 0 in a fixed order
// that it chooses; a task set at the very instant takes its place among those left.
func NewVirtual(order uint64) *Virtual {
	v := &Virtual{}
	v.seed = order
	return v
}

func (v *Virtual) Now() time.Duration { return v.now }

func (v *Virtual) After(d time.Duration, t Task) Timer { return v.push(v.now, v.now+max(0, d), t) }

// Step runs the next task, if there is one.
func (v *Virtual) Step() bool {
	at, ok := v.next()
	if !ok {
		return false
	}
	v.now = at
	v.pop().Run()
	return true
}

// Run runs what is due up to a moment, which is then the time.
func (v *Virtual) Run(until time.Duration) {
	for {
		at, ok := v.next()
		if !ok || at > until {
			v.now = max(v.now, until)
			return
		}
		v.now = at
		v.pop().Run()
	}
}

// Waiting is the number of tasks to come.
func (v *Virtual) Waiting() int { return v.live }
