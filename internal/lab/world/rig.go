package world

import "time"

// Rig carries out the faults of lines and processes, which a world in virtual time does not have.
type Rig interface {
	Begin(e *Episode)
	End(e *Episode)
	// Severed: discovery cannot reach a balancer, or the balancer cannot read.
	Severed(balancer int) bool
	// Excuses says whether a balancer could not do otherwise at some time since then.
	Excuses(balancer int, of Duty, since time.Duration) bool
}

// Duty is what a balancer may be excused of.
type Duty uint8

const (
	Answering Duty = iota // its process stood still, or its line to clients was hit
	Repeating             // its lines to app nodes carried attempts late, or kept answers back
)

func (w *World) severed(balancer int) bool { return w.Rig != nil && w.Rig.Severed(balancer) }

// Excused says whether a balancer is excused of a duty towards what began at a time.
func (w *World) Excused(balancer int, of Duty, since time.Duration) bool {
	return w.Rig != nil && w.Rig.Excuses(balancer, of, since)
}

// Between names the two ends of the lines that are hit, in the direction of the fault.
func (e *Episode) Between() (from, to string) { return e.f.From, e.f.To }

// Named are the balancers that the day names for it, in its order.
func (e *Episode) Named() []int { return e.f.Balancers }

// Every is the pause between what happens again and again.
func (e *Episode) Every() time.Duration { return e.every }

// On says whether it has begun and not ended.
func (e *Episode) On() bool { return e.on }

func (e *Episode) beginRig() {
	w := e.w
	e.chooseSeats()
	if e.Nodes = e.f.Nodes; len(e.Nodes) == 0 && (e.f.From == "nodes" || e.f.To == "nodes" || e.Kind == "edit") {
		for _, n := range w.Nodes {
			e.Nodes = append(e.Nodes, n.Index)
		}
	}
	w.Rig.Begin(e)
	w.reachAll()
	e.later(func() {
		w.Rig.End(e)
		w.reachAll()
	})
}

// Respawn kills the process of a balancer, and starts it again with a list of that revision or, where there is none, as it
// is: what the rig does to a disk between the two is the rig's.
func (w *World) Respawn(balancer int, known *List) (start func()) {
	s := w.Balancers[balancer]
	w.kill(s)
	return func() {
		if known != nil {
			s.Known = *known
		}
		w.restart(s)
	}
}
