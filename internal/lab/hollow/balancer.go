package hollow

import (
	"os"
	"sync"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry"
)

// backlog of events to one reducer: what comes is lists, timers and ends of watches.
const backlog = 64

// balancer is a hollow one on sockets: the goroutine that drives the real reducer, and the real registry client.
type balancer struct {
	index   int
	on      *board
	red     *reducer.Reducer
	list    *registry.Registry
	events  chan reducer.Event
	done    chan struct{}
	ended   chan struct{}
	slices  int   // events under way of the same moment, such as the rest of a list
	heard   int64 // the latest revision handed over
	told    bool  // and not yet said to be in force
	effects []reducer.Effect
}

// board is where balancers say which revision they have in force.
type board struct {
	mu   sync.Mutex
	more *sync.Cond
	at   []reached // by balancer
	logs int       // lines for operators, of all
	ends int       // watches
}

type reached struct {
	revision int64
	when     time.Time
}

func newBoard(n int) *board {
	b := &board{at: make([]reached, n)}
	b.more = sync.NewCond(&b.mu)
	return b
}

func (b *board) reach(index int, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at[index].revision != revision {
		b.at[index] = reached{revision, time.Now()}
		b.more.Broadcast()
	}
}

func (b *board) forget(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at[index] = reached{}
}

// wait until some balancers have a revision, for some time at the most, and give the times since a moment of those that
// have it.
func (b *board) wait(among []int, revision int64, since time.Time, most time.Duration) (times []time.Duration) {
	defer time.AfterFunc(most, b.more.Broadcast).Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		times = times[:0]
		for _, i := range among {
			if r := b.at[i]; r.revision >= revision {
				times = append(times, r.when.Sub(since))
			}
		}
		if len(times) == len(among) || time.Since(since) >= most {
			return times
		}
		b.more.Wait()
	}
}

// upTo gives the numbers from one on, below another.
func upTo(from, to int) (indices []int) {
	for i := from; i < to; i++ {
		indices = append(indices, i)
	}
	return indices
}

// start one, as a process does: its configuration is read and checked, and its first watch is asked for.
func start(folder string, index, of int, discovery string, on *board) (*balancer, error) {
	begin := time.Now()
	cfg, err := configure(folder, index, of, discovery)
	if err != nil {
		return nil, err
	}
	red, err := state(cfg)
	if err != nil {
		return nil, err
	}
	b := &balancer{index: index, on: on, red: red, events: make(chan reducer.Event, backlog), done: make(chan struct{}), ended: make(chan struct{})}
	now := func() time.Duration { return clockStart + time.Since(begin) }
	b.list = registry.New(b.post, func(string) { b.line() }, func(ms float64) time.Duration {
		return clockStart + config.FromMs(ms-float64(begin.UnixNano())/1e6)
	})
	go b.drive(now)
	b.post(reducer.Started{Discovery: cfg.Discovery})
	return b, os.Remove(file(folder, index))
}

func (b *balancer) line() {
	b.on.mu.Lock()
	defer b.on.mu.Unlock()
	b.on.logs++
}

func (b *balancer) post(ev reducer.Event) {
	select {
	case b.events <- ev:
	case <-b.done:
	}
}

// stop ends it, as a kill would.
func (b *balancer) stop() {
	close(b.done)
	<-b.ended
	b.list.Close()
}

// slice is an event of the same moment, so that one knows when a list has been taken up whole.
type slice struct{ reducer.Event }

func (b *balancer) drive(now func() time.Duration) {
	defer close(b.ended)
	for {
		select {
		case <-b.done:
			return
		case ev := <-b.events:
			switch e := ev.(type) {
			case slice:
				b.slices--
				ev = e.Event
			case reducer.Listed:
				b.heard, b.told = e.List.Revision, true
			case reducer.WatchEnded:
				b.on.mu.Lock()
				b.on.ends++
				b.on.mu.Unlock()
			}
			b.effects = b.red.Handle(now(), ev, b.effects[:0])
			for _, e := range b.effects {
				b.carryOut(e)
			}
			clear(b.effects)
			if b.told && b.slices == 0 {
				b.told = false
				b.on.reach(b.index, b.heard)
			}
		}
	}
}

func (b *balancer) carryOut(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Watch:
		b.list.Watch(e)
	case reducer.Arm:
		ev := e.Event
		if e.After <= 0 {
			b.slices++
			ev = slice{ev}
		}
		time.AfterFunc(e.After, func() { b.post(ev) })
	case reducer.Dial: // nobody calls, so that only what the module tries by itself comes here
		go b.post(reducer.Dialed{Conn: e.Conn})
	case reducer.Tell:
		e.Do()
	case reducer.Log:
		b.line()
	}
}
