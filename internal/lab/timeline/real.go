package timeline

import (
	"context"
	"time"
)

// Real is a clock that keeps pace with the machine's. Run drives it on one goroutine; other goroutines reach that
// one through Do alone.
type Real struct {
	queue
	begin time.Time
	inbox chan func()
	late  time.Duration
}

// inboxRoom is the number of functions that may wait; more make their senders wait.
const inboxRoom = 4096

// NewReal starts at 0 now.
func NewReal() *Real { return &Real{begin: time.Now(), inbox: make(chan func(), inboxRoom)} }

func (c *Real) Now() time.Duration { return time.Since(c.begin) }

func (c *Real) After(d time.Duration, t Task) Timer {
	now := c.Now()
	return c.push(now, now+max(0, d), t)
}

// Do has a function run on the clock's goroutine; it may be called from any other.
func (c *Real) Do(fn func()) { c.inbox <- fn }

// Late is the most by which a task has run after its time. A lab that is late has measured itself.
func (c *Real) Late() time.Duration { return c.late }

// Run runs tasks and what comes through Do until the context ends.
func (c *Real) Run(ctx context.Context) {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		at, ok := c.next()
		if now := c.Now(); ok && at <= now {
			c.late = max(c.late, now-at)
			c.pop().Run()
			select {
			case fn := <-c.inbox: // a full queue of due tasks must not shut out the sockets
				fn()
			default:
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		pause := time.Hour
		if ok {
			pause = at - c.Now()
		}
		wake.Reset(pause)
		select {
		case fn := <-c.inbox:
			fn()
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}
