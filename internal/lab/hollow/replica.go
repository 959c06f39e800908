package hollow

import (
	"time"

	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/reducer"
)

// replica is a balancer in virtual time: the real reducer on a clock that others may share. Its goroutine is locked to a
// thread, so that the CPU time of each event can be read.
type replica struct {
	red     *reducer.Reducer
	clock   *timeline.Virtual
	effects []reducer.Effect
	watch   uint64
	asked   func(reducer.Watch) // nil: nobody answers
	post    func(after time.Duration, ev reducer.Event, slice bool)
	slices  int           // events under way of the same moment, such as the rest of a list
	longest time.Duration // event
	used    time.Duration // CPU in all
}

func (b *replica) handle(ev reducer.Event) {
	from := onCPU()
	b.effects = b.red.Handle(clockStart+b.clock.Now(), ev, b.effects[:0])
	took := onCPU() - from
	b.longest = max(b.longest, took)
	b.used += took
	for _, e := range b.effects {
		switch e := e.(type) {
		case reducer.Arm:
			if e.After <= 0 {
				b.slices++
			}
			b.post(e.After, e.Event, e.After <= 0)
		case reducer.Watch:
			if b.watch = e.ID; b.asked != nil {
				b.asked(e)
			}
		case reducer.Dial: // nobody calls, so that only what the module tries by itself comes here
			b.post(0, reducer.Dialed{Conn: e.Conn}, false)
		}
	}
	clear(b.effects)
}

// alone has the events that come later handled on a clock of its own.
func (b *replica) alone() {
	b.clock = timeline.NewVirtual(0)
	b.post = func(after time.Duration, ev reducer.Event, slice bool) {
		b.clock.After(after, timeline.Func(func() {
			if slice {
				b.slices--
			}
			b.handle(ev)
		}))
	}
}

// take hands an event over, and what it leaves for the same moment, and gives the CPU time that it took. Nobody else may
// be on the clock.
func (b *replica) take(ev reducer.Event) time.Duration {
	from := b.used
	b.handle(ev)
	b.clock.Run(b.clock.Now())
	return b.used - from
}
