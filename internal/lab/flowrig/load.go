package flowrig

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callPatience bounds one call of a measurement, so that a lost answer fails the run in place of hanging it.
const callPatience = time.Minute

// Load is a closed loop: a number of kept connections, each with one call at a time, until all calls are made.
type Load struct {
	Addr  string
	Conns int
	Calls int
	Bytes int // of an answer
	Stock *Stock
	Check bool // by hash; the length is always looked at

	prefix string
}

// loads numbers the loops of a process, so that no two of them use an id of a call twice.
var loads atomic.Uint64

// Run makes all calls and gives the time from first to last; one that is not answered whole is an error.
func (l Load) Run() (time.Duration, error) {
	l.prefix = fmt.Sprintf("l%d-", loads.Add(1))
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var all sync.WaitGroup
	began := time.Now()
	for range l.Conns {
		all.Go(func() {
			if err := l.one(&next, &failed); err != nil {
				failed.CompareAndSwap(nil, &err)
			}
		})
	}
	all.Wait()
	took := time.Since(began)
	if err := failed.Load(); err != nil {
		return took, *err
	}
	return took, nil
}

func (l Load) one(next *atomic.Int64, failed *atomic.Pointer[error]) error {
	var c *Client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for failed.Load() == nil {
		id := next.Add(1)
		if id > int64(l.Calls) {
			break
		}
		if c == nil {
			var err error
			if c, err = Dial(l.Addr, 0); err != nil {
				return err
			}
		}
		c.Deadline(callPatience)
		err := c.Send(Ask{Path: Path(Bulk.Name, l.Bytes, uint64(id)), ID: fmt.Sprint(l.prefix, id), Class: Bulk.Name,
			Wait: callPatience})
		if err != nil {
			return err
		}
		a := c.Receive("GET")
		if a.Err != nil || a.Status != http.StatusOK || a.Length != int64(l.Bytes) {
			return fmt.Errorf("call %d: %s", id, a)
		}
		if l.Check && a.Sum != l.Stock.Sum(l.Bytes, uint64(id)) {
			return fmt.Errorf("call %d: the body is another one", id)
		}
		if a.Close {
			c.Close()
			c = nil
		}
	}
	return nil
}

// Settle makes a fresh balancer's first calls one after the other, for longer than the quarter second in which it
// first learns how long calls take: until then it sheds what comes at once, and would be measured doing that.
func Settle(addr string, stock *Stock) error {
	for began := time.Now(); time.Since(began) < 400*time.Millisecond; {
		if _, err := (Load{Addr: addr, Conns: 1, Calls: 50, Bytes: 200, Stock: stock, Check: true}).Run(); err != nil {
			return fmt.Errorf("settling: %w", err)
		}
	}
	return nil
}
