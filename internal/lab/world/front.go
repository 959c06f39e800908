package world

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/lab/timeline"
)

// Front spreads clients' new connections over the balancers of their zone. It learns late who is there.
type Front struct {
	w        *World
	rng      *rand.Rand
	admitted []bool
	checks   []timeline.Timer
	byZone   [][]int // admitted, in order of index
	all      []int
	turn     []int
}

func newFront(w *World) *Front {
	return &Front{w: w, rng: w.Chance.Stream("front"), admitted: make([]bool, len(w.Balancers)),
		checks: make([]timeline.Timer, len(w.Balancers)), byZone: make([][]int, len(w.Sc.Zones)),
		turn: make([]int, len(w.Sc.Zones))}
}

// ready: a health check will find the balancer soon.
func (f *Front) ready(s *Seat) {
	f.notice(s, true, draw(f.rng, f.w.Sc.Front.Admit))
}

// gone: a health check will miss the balancer after some time.
func (f *Front) gone(s *Seat) {
	f.notice(s, false, draw(f.rng, f.w.Sc.Front.Notice))
}

// leaving: the balancer says by itself that it drains.
func (f *Front) leaving(s *Seat, after time.Duration) { f.notice(s, false, after) }

func (f *Front) notice(s *Seat, in bool, after time.Duration) {
	f.checks[s.Index].Stop()
	life := s.Life
	f.checks[s.Index] = f.w.Clock.After(after, timeline.Func(func() {
		if in && (!s.Up || s.Life != life) {
			return
		}
		f.admitted[s.Index] = in
		f.list()
	}))
}

func (f *Front) list() {
	f.all = f.all[:0]
	for z := range f.byZone {
		f.byZone[z] = f.byZone[z][:0]
	}
	for i, in := range f.admitted {
		if in {
			f.byZone[f.w.Balancers[i].Zone] = append(f.byZone[f.w.Balancers[i].Zone], i)
			f.all = append(f.all, i)
		}
	}
}

// pick gives the balancer for a new connection, or -1 where the front knows of none.
func (f *Front) pick(zone int) int {
	from := f.byZone[zone]
	if len(from) == 0 {
		from = f.all
	}
	if len(from) == 0 {
		return -1
	}
	if f.w.Sc.Front.Spread == "in_turn" {
		f.turn[zone]++
		return from[f.turn[zone]%len(from)]
	}
	return from[f.rng.IntN(len(from))]
}
