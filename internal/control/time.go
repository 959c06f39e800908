package control

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Now is the current time, supplied by the caller. Wall is the wall clock, which may jump either way. Mono is the time
// since the machine booted, sleep included (CLOCK_BOOTTIME). Boot identifies that boot (/proc/sys/kernel/random/boot_id);
// where that is not available, the process.
//
// Deadlines are in box time. It advances with Mono, so that no jump of Wall moves it, even across a restart of the
// process. Only after a reboot does it advance by the wall clock time since the latest record, or not at all if that is
// negative. Only then can a wrong wall clock end an edit early or late, late by at most the time that was left. A jump
// while edits wait to expire is recorded (Clock), so that a reboot counts from the wall clock as it was after the jump.
type Now struct {
	Wall time.Time
	Mono time.Duration
	Boot string
}

// Stamp is the time of a record by every clock. Mono and Box are in nanoseconds.
type Stamp struct {
	Wall time.Time     `json:"wall"`
	Boot string        `json:"boot"`
	Mono time.Duration `json:"mono_ns"`
	Box  time.Duration `json:"box_ns"`
}

const (
	// maxClockDrift is the difference above which the wall clock has jumped. Slewing moves a clock by 0.5 ms per second
	// (ntpd, adjtimex(2)), so that an hour between two records stays below it.
	maxClockDrift = 10 * time.Second
	// maxTimeOff bounds the time that a machine can have been off by the wall clock, to keep sums far from overflow.
	maxTimeOff = 10 * 366 * 24 * time.Hour
	// maxTickInterval is the longest time between two calls of Tick, which detects jumps of the wall clock. A machine
	// that dies within this time of a jump counts from the wall clock before it.
	maxTickInterval = time.Minute
	// maxEndsPerTick bounds the expired edits that one Tick returns.
	maxEndsPerTick = 256
)

func (s *State) stamp(now Now) Stamp {
	wall := now.Wall.UTC().Round(0) // Round drops the monotonic reading of the runtime
	box := s.lastStamp.Box
	switch {
	case s.lastStamp.Wall.IsZero(): // no record yet
	case now.Boot == s.lastStamp.Boot:
		box += max(0, now.Mono-s.lastStamp.Mono)
	default:
		box += min(max(0, wall.Sub(s.lastStamp.Wall)), maxTimeOff)
	}
	return Stamp{wall, now.Boot, now.Mono, box}
}

// clockJumped reports whether the wall clock has jumped since the latest record, or the machine has rebooted.
func (s *State) clockJumped(at Stamp) bool {
	drift := at.Wall.Sub(s.lastStamp.Wall) - (at.Box - s.lastStamp.Box)
	return at.Boot != s.lastStamp.Boot || drift > maxClockDrift || drift < -maxClockDrift
}

// Tick returns the records of what is due, to make durable and to Commit in this order, and the time until the next call,
// which is negative if no edit waits to expire. After committing any records, call Tick again at once.
func (s *State) Tick(now Now) (due []Record, next time.Duration) {
	if len(s.timers) == 0 {
		return nil, -1
	}
	at := s.stamp(now)
	if s.clockJumped(at) {
		return []Record{s.nextRecord(now, Clock, "", "", 0)}, 0
	}
	lostBefore := map[string]int{}
	for _, l := range s.timers.expired(at.Box) {
		r := s.nextRecord(now, Ended, "", "", l.Revision)
		r.Revision += uint64(len(due))
		for i, set := range l.Sets {
			if s.slots[set.Key].layer == l.Revision {
				r.Sets = append(r.Sets, Set{set.Key, l.Revision, s.unexpiredLayer(set.Key, l.Sets[i].Was, at.Box)})
			}
		}
		r.Empties = s.emptiedPools(&r, nil, lostBefore)
		due = append(due, r)
	}
	if len(due) > 0 {
		return due, 0
	}
	end, _ := s.timers[0].deadline()
	return nil, min(end-at.Box, maxTickInterval)
}

// timerHeap is a heap of the layers in force that will expire, the earliest deadline on top.
type timerHeap []*layer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	a, _ := t[i].deadline()
	b, _ := t[j].deadline()
	return a < b || a == b && t[i].Revision < t[j].Revision
}
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex, t[j].timerIndex = i+1, j+1
}
func (t *timerHeap) Push(x any) {
	*t = append(*t, x.(*layer))
	x.(*layer).timerIndex = len(*t)
}
func (t *timerHeap) Pop() any {
	n := len(*t) - 1
	l := (*t)[n]
	(*t)[n], l.timerIndex = nil, 0
	*t = (*t)[:n]
	return l
}

// expired returns up to maxEndsPerTick layers that have expired at a box time, ordered by revision, and removes none.
func (t timerHeap) expired(box time.Duration) (out []*layer) {
	queue := []int{0}
	for len(queue) > 0 && len(out) < maxEndsPerTick {
		i := queue[0]
		queue = queue[1:]
		if i >= len(t) {
			continue
		}
		if end, _ := t[i].deadline(); end > box {
			continue
		}
		out = append(out, t[i])
		queue = append(queue, 2*i+1, 2*i+2)
	}
	slices.SortFunc(out, func(a, b *layer) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

func (s *State) arm(l *layer) {
	if _, ok := l.deadline(); ok && l.timerIndex == 0 && l.activeKeys > 0 {
		heap.Push(&s.timers, l)
	}
}

func (s *State) unarm(l *layer) {
	if l.timerIndex > 0 {
		heap.Remove(&s.timers, l.timerIndex-1)
	}
}
