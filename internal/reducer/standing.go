package reducer

import "time"

// Operators send clients away and call them back (Drain, Activate), as often as they like. What was taken is served as
// ever. While clients are sent away the balancer says that it is not ready, each answer ends its connection, and the
// connections on which nothing comes are closed: not at once, since the front goes on sending for a moment and clients use
// what they have, and all of them well before the platform looks, 4 s after the wish.
const (
	// partIdle is when connections between calls are closed first, partSilent when also those that have not said anything,
	// which may take 2 s for their first head; partEvery is how often it is looked again.
	partIdle   = 700 * time.Millisecond
	partSilent = 2200 * time.Millisecond
	partEvery  = 250 * time.Millisecond
)

type (
	// Drain: clients are to be sent away. Done hears when that is in force.
	Drain struct{ Done func() }
	// Activate: clients are welcome again.
	Activate struct{ Done func() }

	// Beside: so many other processes serve at the same address, with which the machine's limits are shared.
	Beside struct{ Others int }

	part struct{ turn uint64 }
)

type (
	// Turn says whether clients are sent away from now on.
	Turn struct{ Away bool }
	// Part closes clients' connections that carry no call; those that have not said anything too if Silent.
	Part struct{ Silent bool }
	// Share says how many parts the limits of the machine are in from now on.
	Share struct{ Parts int }
)

// onTurn changes how the balancer stands. The same wish twice is one.
func (r *Reducer) onTurn(away bool, done func()) {
	if away != r.away {
		r.away, r.awayFrom = away, r.now
		r.turn++
		r.emit(Turn{away})
		if away {
			r.emit(Log{"draining for operators: clients are sent away"})
			r.emit(Arm{partIdle, part{r.turn}})
		} else {
			r.emit(Log{"active: clients are welcome again"})
		}
	}
	if done != nil {
		r.emit(Tell{done})
	}
}

func (r *Reducer) onPart(turn uint64) {
	if !r.away || turn != r.turn {
		return // clients are welcome again, and maybe sent away anew
	}
	r.emit(Part{Silent: r.now-r.awayFrom >= partSilent})
	r.emit(Arm{partEvery, part{turn}})
}

// onBeside takes this process's part of the connections to app nodes, and gives back what is over it: those between calls
// now, others by not being replaced.
func (r *Reducer) onBeside(others int) {
	parts := 1 + max(0, others)
	r.budget = max(1, r.whole/parts)
	for len(r.conns) > r.budget && r.closeOldest() {
	}
	r.emit(Share{parts})
}

func (Drain) event()    {}
func (Beside) event()   {}
func (Activate) event() {}
func (part) event()     {}

func (Turn) effect()  {}
func (Share) effect() {}
func (Part) effect()  {}
