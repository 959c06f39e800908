// Package eureka is the client of Eureka's published REST interface: it keeps the list of app nodes as a registry of that
// kind tells it (the whole, then deltas that are checked by their hash code), and shows the balancer itself there. It owns
// its calls, their connections and the registry as last told; what it hears goes to a Sink. It must never judge what the
// list is worth beside other sources or how old it may grow (internal/roster does), nor hand on part of an answer.
package eureka

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"pewterrudder/internal/roster"
)

// Sink is told what is heard, by one goroutine, in order.
type Sink interface {
	// Said tells all entries, or the ones that changed; those that left are Gone. The revision counts the answers that
	// told something new: Eureka has none of its own that means anything.
	Said(whole bool, revision int64, entries []roster.Entry)
	Heard()      // the registry answered, and nothing is new
	Broke(error) // a call failed, or has had no answer for long
}

// Settings of a client. What is zero takes the default.
type Settings struct {
	Addresses []string // with the path before /apps, such as http://10.0.0.1:8761/eureka; a user and password may be in it
	Ordered   bool     // the first address is the first to be asked; else each client draws its own order
	Apps      []string // whose instances are app nodes; none: those of all
	ByApp     bool     // ask for the one app alone, each time whole: for a small app in a large registry
	XML       bool     // ask for XML; what comes is read by its Content-Type
	ByHost    bool     // call app nodes by host name rather than by address
	Keys      Keys
	Pacing    Pacing

	Connect    time.Duration // for a connection
	Silence    time.Duration // in the middle of an answer
	Longest    time.Duration // for reading an answer
	Most       int           // instances in an answer
	MostBytes  int64         // of an answer, unpacked
	Window     time.Duration // a delta reaches back so far: after a longer pause the whole is asked for
	WholeEvery time.Duration // the whole is asked for so often, since a hash code can agree by chance

	Self *Self // the balancer's own instance; nil: it is not shown

	Seed    uint64
	Now     func() time.Duration           // the node's clock
	Started func(ms float64) time.Duration // maps Unix ms on the node's clock
	Log     func(string)
}

const (
	defaultConnect = time.Second // within one site it takes a millisecond, or one lost packet's second
	defaultSilence = 2 * time.Second
	// defaultLongest bounds what a registry that trickles can hold us up; 10,000 instances are 15 MB, or 1 MB packed.
	defaultLongest   = 20 * time.Second
	defaultMost      = 50_000
	defaultMostBytes = 256 << 20
	defaultWindow    = 2 * time.Minute // the published server keeps 3
	// defaultWhole bounds what neither deltas nor hash codes show, such as a cache that gives one old delta again and
	// again. Ten thousand instances take a fifth of a second to read.
	defaultWhole = time.Minute
	// brokenDeltas in a row make deltas a waste: the whole is asked for alone, for plainFor.
	brokenDeltas = 3
	plainFor     = 5 * time.Minute
)

func (s *Settings) check() error {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&s.Connect, defaultConnect)
	set(&s.Silence, defaultSilence)
	set(&s.Longest, defaultLongest)
	set(&s.Window, defaultWindow)
	set(&s.WholeEvery, defaultWhole)
	s.Pacing.defaults()
	if s.Most == 0 {
		s.Most = defaultMost
	}
	if s.MostBytes == 0 {
		s.MostBytes = defaultMostBytes
	}
	if len(s.Addresses) == 0 {
		return errors.New("addresses: there is none")
	}
	s.Addresses = append([]string(nil), s.Addresses...)
	for i, a := range s.Addresses {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || u.RawQuery != "" {
			return fmt.Errorf("addresses[%d]: no http address of a registry", i)
		}
		s.Addresses[i] = strings.TrimSuffix(strings.TrimRight(a, "/"), "/apps")
	}
	if s.ByApp && len(s.Apps) != 1 {
		return fmt.Errorf("by_app: it takes one app, and there are %d", len(s.Apps))
	}
	if s.Now == nil {
		return errors.New("now: there is no clock")
	}
	if s.Self != nil {
		return s.Self.check()
	}
	return nil
}

// Client follows one registry, at any of its addresses.
type Client struct {
	set      Settings
	sink     Sink
	redacted []string
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	all      sync.WaitGroup
	heard    chan heard
	self     *presence

	// turn is held by the attempt that reads its answer; what follows is its own meanwhile.
	turn   chan struct{}
	view   *view
	newest int // the attempt that answered last
	basis  int // the address that did: another's deltas say nothing of its list
}

// New checks the settings; an error names the key at fault. Start begins.
func New(set Settings, sink Sink) (*Client, error) {
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("eureka: %w", err)
	}
	c := &Client{set: set, sink: sink, heard: make(chan heard), turn: make(chan struct{}, 1), basis: -1}
	rnd := rand.New(rand.NewPCG(set.Seed, 0xe04e4a))
	if a := c.set.Addresses; !set.Ordered {
		rnd.Shuffle(len(a), func(i, k int) { a[i], a[k] = a[k], a[i] })
	}
	for _, a := range c.set.Addresses {
		u, _ := url.Parse(a)
		c.redacted = append(c.redacted, u.Redacted())
	}
	c.view = newView(&c.set)
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: c.set.Connect}).DialContext,
			TLSHandshakeTimeout: 2 * c.set.Connect,
			MaxIdleConnsPerHost: 1, // polls follow each other; what was begun beside one is not kept
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 3 {
				return errors.New("redirected more than three times")
			}
			return nil
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if set.Self != nil {
		c.self = newPresence(c, set.Self)
	}
	return c, nil
}

// Start begins to ask, and to show the balancer.
func (c *Client) Start() {
	c.all.Go(c.run)
	if c.self != nil {
		c.all.Go(c.self.run)
	}
}

// Close leaves the registry, and returns when every goroutine and connection has ended. The sink hears nothing more.
func (c *Client) Close() {
	c.cancel()
	c.all.Wait()
	c.client.CloseIdleConnections()
}

// trust is what decides between a delta and the whole; the running goroutine has it alone.
type trust struct {
	basis   int // the address that the view came from
	at      time.Duration
	wholeAt time.Duration
	broken  int
	plain   time.Duration // no deltas before
}

func (c *Client) run() {
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) }
	rnd := rand.New(rand.NewPCG(c.set.Seed, 0x9ace))
	pacer := NewPacer(c.set.Pacing, len(c.set.Addresses), rnd)
	t := trust{basis: -1}
	tries := map[int]context.CancelCauseFunc{}
	var ended sync.WaitGroup
	stop := func(ids []int, why error) {
		for _, id := range ids {
			tries[id](why)
			delete(tries, id)
		}
	}
	defer ended.Wait()
	defer func() {
		for _, cancel := range tries {
			cancel(context.Canceled)
		}
	}()
	wake := time.NewTimer(0)
	defer wake.Stop()
	revision, lastFlaw := int64(0), ""
	for {
		step := pacer.Step(now())
		stop(step.Stop, errGivenUp)
		if step.Hung || len(step.Stop) > 0 {
			c.sink.Broke(errGivenUp)
		}
		if b := step.Begin; b != nil {
			delta := !c.set.ByApp && t.basis == b.Address && now()-t.at < c.set.Window && now() < t.wholeAt && now() >= t.plain
			ctx, cancel := context.WithCancelCause(c.ctx)
			tries[b.ID] = cancel
			ended.Go(func() {
				defer cancel(nil)
				c.attempt(ctx, cancel, b.ID, b.Address, delta)
			})
			continue
		}
		wake.Reset(step.Wake - now())
		select {
		case <-c.ctx.Done():
			return
		case <-wake.C:
		case h := <-c.heard:
			if tries[h.id] == nil && (!h.over || h.err != nil) {
				continue // given up since; a list that has gone into the view counts all the same
			}
			switch {
			case !h.over:
				pacer.Reading(now(), h.id, h.reading)
			case h.err != nil:
				delete(tries, h.id)
				var r refused
				errors.As(h.err, &r)
				pacer.Failed(now(), h.id, r.after)
				c.sink.Broke(fmt.Errorf("%s: %w", c.redacted[h.address], h.err))
			default:
				if tries[h.id] != nil {
					delete(tries, h.id)
					stop(pacer.Answered(now(), h.id), errSuperseded)
				}
				t.learn(&h, now(), c.set.WholeEvery, rnd)
				if h.flaws > 0 && h.flaw.Error() != lastFlaw { // each answer that names it has it anew
					lastFlaw = h.flaw.Error()
					c.note("%s: %v (%d such in this answer)", c.redacted[h.address], h.flaw, h.flaws)
				}
				if !h.news && revision > 0 {
					c.sink.Heard()
					continue
				}
				revision++
				c.sink.Said(h.whole, revision, h.entries)
			}
		}
	}
}

func (t *trust) learn(h *heard, now, wholeEvery time.Duration, rnd *rand.Rand) {
	t.basis, t.at = h.address, now
	switch {
	case h.none:
		t.plain = now + plainFor
	case h.broken:
		if t.broken++; t.broken >= brokenDeltas {
			t.broken, t.plain = 0, now+plainFor
		}
	case h.delta:
		t.broken = 0
	}
	if h.whole {
		t.wholeAt = now + time.Duration(float64(wholeEvery)*(0.9+0.2*rnd.Float64()))
	}
}
