package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// dialWait is how long a connect may take: three times a SYN's way within a region, and one lost SYN (1 s) is not
	// waited for.
	dialWait = time.Second
	// eagerWait is how long an answer may take before another attempt stands beside it; see ask.
	eagerWait = 1200 * time.Millisecond
	// patientWait is how long the oldest attempt may take while its connection lives (see lifeTime). A store that works
	// through the calls of a thousand balancers in turn must find ours in its place.
	patientWait = 10 * time.Minute
	// eagerFor is how long a question is put again at that pace. After it the pace doubles each time, up to slowest: a
	// store that has not answered for so long is drowning in questions, or its recovery can wait.
	eagerFor = time.Minute
	slowest  = 20 * time.Second
	// lifeTime is how long the other side's kernel may be silent. Where the machine is gone, the system ends the
	// connection, and with it the patient attempt.
	lifeTime = 4 * time.Second
	// firstPause and mostPause bound the pause after a failure, which doubles. Blind time after a recovery is at most the
	// longest pause and one answer's time.
	firstPause = 100 * time.Millisecond
	mostPause  = time.Second
	// rest is how long an endpoint that failed is left alone while another one serves.
	rest = 5 * time.Second
)

// endpoint is one address of the store.
type endpoint struct {
	url   string
	until time.Time // left alone
	out   int       // attempts under way
}

// verdict is an answer after which asking again, or elsewhere, is of no use: the question is wrong.
type verdict struct{ error }

func (v verdict) Unwrap() error { return v.error }

// cut is the end of a connection, or of the chance of one: behind it the store may be another.
type cut struct{ error }

func (c cut) Unwrap() error { return c.error }

type attempt struct {
	at     *endpoint
	began  time.Time
	cancel context.CancelFunc
	late   bool // ended by us
}

type outcome[T any] struct {
	of    *attempt
	value T
	err   error
}

// jitter draws from half of a time to the whole.
func (c *Client) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

// pause before the next attempt, after the n-th failure in a row.
func (c *Client) pause(n *int) {
	d := min(firstPause<<min(*n, 10), mostPause/time.Duration(len(c.endpoints)))
	*n++
	c.due = time.Now().Add(c.jitter(d))
}

// rested leaves an endpoint alone for a while.
func (c *Client) rested(at *endpoint) { at.until = time.Now().Add(c.jitter(2 * rest)) }

// broke tells a failure at an endpoint.
func (c *Client) broke(at *endpoint, err error) {
	c.pause(&c.failures)
	if c.sparse != nil {
		c.comeBack()
	}
	c.resumed = true
	if errors.As(err, new(cut)) {
		c.cuts++
	}
	c.health.Broke(fmt.Errorf("%s: %w", at.url, err))
}

// choose the endpoint of the next attempt: of those that are asked already the least, then none that is left alone, then
// the last one that served, or those after it; where all are left alone, the one that has been so the longest.
func (c *Client) choose() *endpoint {
	now := time.Now()
	var best *endpoint
	better := func(a, b *endpoint) bool {
		if a.out != b.out {
			return a.out < b.out
		}
		return b.until.After(now) && b.until.After(a.until)
	}
	for i := range c.endpoints {
		if e := c.endpoints[(c.serving+i)%len(c.endpoints)]; best == nil || better(e, best) {
			best = e
		}
	}
	return best
}

var errLate = errors.New("no answer for too long")

// ask puts a question to one endpoint after the other until one answers. Two needs meet here. A store that has died
// with our question must not cost more than a second once it is well; so after eagerWait the next attempt begins beside
// the one that hangs. And a store that answers late, or works through calls in turn, must not find that its callers
// have left; so the oldest attempt stays, for patientWait. What the others have asked is called off.
//
// Two errors end it: a verdict, and that of our own end.
func ask[T any](c *Client, do func(context.Context, *endpoint) (T, error)) (T, *attempt, error) {
	var none T
	results := make(chan outcome[T])
	end := make(chan struct{})
	var out []*attempt // the oldest first
	defer func() {
		close(end)
		for _, a := range out {
			a.at.out--
			a.cancel()
		}
	}()
	next, first, wait := time.NewTimer(max(0, time.Until(c.due))), time.Now(), eagerWait
	defer next.Stop()
	begin := func() {
		ctx, cancel := context.WithCancel(c.ctx)
		a := &attempt{at: c.choose(), began: time.Now(), cancel: cancel}
		a.at.out++
		out = append(out, a)
		c.tasks.Add(1)
		go func() {
			defer c.tasks.Done()
			v, err := do(ctx, a.at)
			select {
			case results <- outcome[T]{a, v, err}:
			case <-end:
				cancel() // nobody wants it: a stream that opened ends with its context
			}
		}()
	}
	for {
		select {
		case <-c.ctx.Done():
			return none, nil, c.ctx.Err()
		case <-next.C:
			now := time.Now()
			for i, a := range out {
				if age := now.Sub(a.began); age > patientWait || i > 0 && age > wait {
					a.late = true
					a.cancel()
				}
			}
			begin()
			if now.Sub(first) > eagerFor {
				wait = min(2*wait, slowest)
			}
			next.Reset(c.jitter(wait) / time.Duration(len(c.endpoints)))
		case r := <-results:
			for i, a := range out {
				if a == r.of {
					out = append(out[:i:i], out[i+1:]...)
					break
				}
			}
			r.of.at.out--
			var v verdict
			switch {
			case r.err == nil:
				r.of.at.until, c.due = time.Time{}, time.Time{}
				for i, e := range c.endpoints {
					if e == r.of.at {
						c.serving = i
					}
				}
				return r.value, r.of, nil
			case c.ctx.Err() != nil:
				r.of.cancel()
				return none, nil, c.ctx.Err()
			case errors.As(r.err, &v):
				r.of.cancel()
				c.rested(r.of.at) // a member that lags behind the others says so too
				return none, r.of, r.err
			}
			r.of.cancel()
			if r.of.late {
				r.err = errLate
			}
			c.rested(r.of.at)
			c.broke(r.of.at, r.err)
			if !r.of.late { // the next one does not wait for it any more
				next.Reset(max(0, time.Until(c.due)))
			}
		}
	}
}
