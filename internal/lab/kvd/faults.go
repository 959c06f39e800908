package kvd

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is one thing that goes wrong with the answers of a server.
type Fault uint8

const (
	Stall    Fault = iota // accept, and say nothing, neither answers nor events
	Slow                  // say everything late
	CutPage               // end the connection in the middle of a page
	CutLine               // end the connection in the middle of a line of a watch
	Half                  // give half a page as if it were the whole
	Shuffle               // give a page in another order
	Swallow               // leave events out, without a word
	Repeat                // tell the last events of a watch once more
	Garbage               // answer what is no JSON
	Busy                  // answer 503
	HangLine              // say half a line of a watch, and no more
	faults
)

var names = [faults]string{"stall", "slow", "cut-page", "cut-line", "half", "shuffle", "swallow", "repeat", "garbage", "busy", "hang-line"}

func (f Fault) String() string { return names[f] }

// Names of the faults, in the order of their numbers.
func Names() []string { return names[:] }

// Faults of a server. The zero of each chance is "never".
type Faults struct {
	fmu     sync.Mutex
	rng     *rand.Rand
	chance  [faults]float64
	delay   time.Duration
	changed chan struct{} // closed and made anew when a stall begins or ends
	over    bool
}

func (f *Faults) init(seed uint64) {
	f.rng = rand.New(rand.NewPCG(seed, 0x666c))
	f.changed = make(chan struct{})
}

// Set gives a fault its chance in each answer; a stall has it or has it not. What was stalled is never answered: its
// connection ends with the stall, as that of a machine that comes back after its death.
func (f *Faults) Set(what Fault, chance float64) {
	f.fmu.Lock()
	defer f.fmu.Unlock()
	if what == Stall && (f.chance[Stall] > 0) != (chance > 0) {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.chance[what] = chance
}

// SetSlow makes each answer wait.
func (f *Faults) SetSlow(by time.Duration) {
	f.fmu.Lock()
	defer f.fmu.Unlock()
	f.chance[Slow], f.delay = 1, by
}

// Heal ends all faults.
func (f *Faults) Heal() {
	for what := range faults {
		f.Set(what, 0)
	}
}

func (f *Faults) end() {
	f.fmu.Lock()
	defer f.fmu.Unlock()
	if !f.over {
		f.over = true
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Faults) draw(what Fault) bool {
	f.fmu.Lock()
	defer f.fmu.Unlock()
	return f.chance[what] > 0 && f.rng.Float64() < f.chance[what]
}

func (f *Faults) swallow() bool { return f.draw(Swallow) }

var errStalled = errors.New("kvd: stalled")

// hold waits before an answer as stall and slowness have it. An error means that nothing must be said any more.
func (f *Faults) hold(ctx context.Context) error {
	if err := f.stalled(ctx); err != nil {
		return err
	}
	f.fmu.Lock()
	delay, changed := f.delay, f.changed
	if f.chance[Slow] == 0 {
		delay = 0
	}
	f.fmu.Unlock()
	if delay == 0 {
		return nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-changed:
		return f.stalled(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stalled waits for the end of a stall, which is an error.
func (f *Faults) stalled(ctx context.Context) error {
	f.fmu.Lock()
	stalled, changed, over := f.chance[Stall] > 0, f.changed, f.over
	f.fmu.Unlock()
	if stalled && !over {
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	if stalled || over {
		return errStalled
	}
	return nil
}
