package control

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Now is a moment, as the caller hands it in. Wall is the clock that people read; it may jump either way. Mono is the
// machine's time since it started, sleep included (CLOCK_BOOTTIME), and Boot names that start
// (/proc/sys/kernel/random/boot_id); where there is none, a name of the process's own.
//
// Deadlines are in box time. It goes with Mono, so that no jump of Wall moves it, also over a restart of the process. Only
// when the machine has started anew is the wall clock asked for what passed since the latest record, and anything below
// nothing is nothing: then, and only then, a clock that is wrong ends an edit early or late, late by at most what was
// left. A jump while edits wait for their end makes a record of its own (Clock), so that such a start reckons with the
// wall as it was after it.
type Now struct {
	Wall time.Time
	Mono time.Duration
	Boot string
}

// Stamp is the moment of a record, by all clocks.
type Stamp struct {
	Wall time.Time     `json:"wall"`
	Boot string        `json:"boot"`
	Mono time.Duration `json:"mono_ns"`
	Box  time.Duration `json:"box_ns"`
}

const (
	// jump: slewing moves a clock by 0.5 ms a second (ntpd, adjtimex(2)), so an hour between two records stays below it.
	jump = 10 * time.Second
	// awayMost bounds what a wall clock may tell of the time that a machine was off: sums stay far from overflow.
	awayMost = 10 * 366 * 24 * time.Hour
	// lookMost: a jump of the wall clock is seen by looking. A machine that dies within that of one reckons with the old.
	lookMost = time.Minute
	// endsMost bounds the work of one Tick.
	endsMost = 256
)

func (s *State) stamp(now Now) Stamp {
	wall := now.Wall.UTC().Round(0) // Round drops what the runtime keeps beside it
	box := s.last.Box
	switch {
	case s.last.Wall.IsZero(): // the first record of all
	case now.Boot == s.last.Boot:
		box += max(0, now.Mono-s.last.Mono)
	default:
		box += min(max(0, wall.Sub(s.last.Wall)), awayMost)
	}
	return Stamp{wall, now.Boot, now.Mono, box}
}

// jumped says that the wall clock would mislead the next start of the machine, or that this is such a start.
func (s *State) jumped(at Stamp) bool {
	off := at.Wall.Sub(s.last.Wall) - (at.Box - s.last.Box)
	return at.Boot != s.last.Boot || off > jump || off < -jump
}

// Tick gives what time has brought about: records to make durable and to Commit in this order, and in how long to ask
// again, negative if nothing waits. While there are any, commit them and ask again at once.
func (s *State) Tick(now Now) (due []Record, next time.Duration) {
	if len(s.timers) == 0 {
		return nil, -1
	}
	at := s.stamp(now)
	if s.jumped(at) {
		return []Record{s.next(now, Clock, "", "", 0)}, 0
	}
	fewer := map[string]int{}
	for _, l := range s.timers.until(at.Box) {
		r := s.next(now, Ended, "", "", l.Revision)
		r.Revision += uint64(len(due))
		for i, set := range l.Sets {
			if s.keys[set.Key].layer == l.Revision {
				r.Sets = append(r.Sets, Set{set.Key, l.Revision, s.alive(set.Key, l.Sets[i].Was, at.Box)})
			}
		}
		r.Empties = s.empties(&r, nil, fewer)
		due = append(due, r)
	}
	if len(due) > 0 {
		return due, 0
	}
	end, _ := s.timers[0].ends()
	return nil, min(end-at.Box, lookMost)
}

// timers are the layers in force that will run out, the earliest on top.
type timers []*layer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	a, _ := t[i].ends()
	b, _ := t[j].ends()
	return a < b || a == b && t[i].Revision < t[j].Revision
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i+1, j+1
}
func (t *timers) Push(x any) {
	*t = append(*t, x.(*layer))
	x.(*layer).at = len(*t)
}
func (t *timers) Pop() any {
	n := len(*t) - 1
	l := (*t)[n]
	(*t)[n], l.at = nil, 0
	*t = (*t)[:n]
	return l
}

// until gives those that have run out, in the order of their revisions, and takes none away.
func (t timers) until(box time.Duration) (out []*layer) {
	walk := []int{0}
	for len(walk) > 0 && len(out) < endsMost {
		i := walk[0]
		walk = walk[1:]
		if i >= len(t) {
			continue
		}
		if end, _ := t[i].ends(); end > box {
			continue
		}
		out = append(out, t[i])
		walk = append(walk, 2*i+1, 2*i+2)
	}
	slices.SortFunc(out, func(a, b *layer) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

func (s *State) arm(l *layer) {
	if _, ok := l.ends(); ok && l.at == 0 && l.live > 0 {
		heap.Push(&s.timers, l)
	}
}

func (s *State) unarm(l *layer) {
	if l.at > 0 {
		heap.Remove(&s.timers, l.at-1)
	}
}
