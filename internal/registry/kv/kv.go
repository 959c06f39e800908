// Package kv is the shell of a list that lives in a key-value store with etcd's v3 protocol. It owns the connections to
// the store and one goroutine that follows it for a Holder: a reading at a revision, a watch from there. What is held is
// asked of the holder. A roster's is its view, which tells a Sink what it hears and is kept for nothing but telling what has
// changed (New). Any other list of records has a holder elsewhere, and may be long (Follow). The package must never decide
// what is believed, nor call the list empty because it cannot read it.
//
// A roster's list is held against the store whole. A long one is not: at 310,000 keys a reading is 50 MB, and there are 3,000
// followers. It is read so at the start and where the store's history is another one. Behind a break a few keys prove
// the history (marks); behind a compaction what was written since is asked for by its revisions, and what was deleted is
// hunted for by counts of ranges (hunt); a review does the same from time to time, for what the watch may have left out,
// and a look takes all keys in slices, hours for a long list, for values that changed without a revision.
//
// The protocol is spoken through the JSON gateway that etcd serves on the same port (POST /v3/kv/range, POST /v3/watch
// with a streamed answer) on net/http, which the program has anyway. etcd's own client, go.etcd.io/etcd/client/v3 3.7.3,
// was weighed for it: linked into the balancer's program and following 10,000 entries of etcd 3.7.3, on amd64, against
// this package in the same place (binary: as built, and without symbols; resident: peak of three runs of 20 s each,
// one core, before the program's own memory goal is set):
//
//	                         binary, MB        resident, MB
//	neither                  10.53    7.23     7.1 to 7.3
//	this package             10.86    7.48     16.9 to 17.6
//	etcd's client            22.41   15.50     23.7 to 24.3; linked, but not used: 14.0 to 14.6
//
// It would more than double the program, and take its 6.5 MB also from those whose roster lies elsewhere.
//
// etcd sends progress notes every ten minutes unless its operators say otherwise (--watch-progress-notify-interval), and
// over HTTP/1.1 nobody can ask for one within a watch. So a watch that has been silent for some two seconds is asked for
// anew, from the next revision; that the store opens it is the sign of life. Notes, where they come, spare that. They also
// bring the revision of a quiet list on; without them each compaction by writes elsewhere in the store makes us catch up,
// which has the store walk over all keys below the prefix. So for a long list its operators should have notes come more
// often than compactions.
package kv

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/roster"
)

// Sink takes what is heard. Its methods are called by one goroutine, one at a time; the entries are the sink's own.
type Sink interface {
	// Said tells a whole list, or what has changed. A whole list comes first, and where the store's history is not the
	// one that we followed: what it lacks has not been removed by anybody, and how to take that is the sink's.
	Said(whole bool, revision int64, entries []roster.Entry)
	Health
}

// Settings of a client.
type Settings struct {
	Endpoints []string // host:port, or a URL of http or https
	Prefix    string   // of the keys
	Started   func(ms float64) time.Duration
	Log       func(string)
	Seed      uint64
	Page      int // keys of one page; 0: defaultPage, or sparsePage
	// LookRate and ReadRate are how many bytes a second the look at all keys and a whole reading may take on average, where
	// Follow follows; 0: lookRate and readRate.
	LookRate, ReadRate int
	// Dial makes connections; nil: TCP.
	Dial dialFunc
}

const (
	defaultPage = 1000 // some 400 KB of JSON
	mostPage    = 10_000
)

// Client follows one store.
type Client struct {
	holder    Holder
	health    Health
	log       func(string)
	prefix    string
	end       string // the first key behind the prefix
	page      int
	endpoints []*endpoint
	serving   int // the endpoint that served last
	http      *http.Client
	rng       *rand.Rand

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup // goroutines

	wanted chan struct{} // the whole list, told anew

	mu     sync.Mutex
	none   *sync.Cond // no connection is left
	conns  int        // connections and dials
	closed bool

	failures int       // since a watch was last seen to work
	verdicts int       // and answers that made us read anew: such a store answers, so its pauses grow by themselves
	due      time.Time // no attempt before

	origin  origin    // of the history that is held; its revision is the one at which it is
	known   bool      // a list is held, and nothing speaks against its history
	whole   bool      // the next snapshot is told whole
	looked  time.Time // at all keys
	resumed bool      // there has been a failure, and the keys have not been looked at since
	cuts    int       // connections that ended under us
	torn    int       // readings in a row of which that is so
	sparse  *sparse   // nil: a list that may be read whole at any time
	partial bool      // what is held has a part of the revision behind origin's
}

// New starts to follow a store that holds a roster.
func New(s Settings, sink Sink) (*Client, error) {
	if s.Started == nil {
		return nil, errors.New("started is missing")
	}
	return start(s, newView(sink, s.Started, name(s.Log)), sink, nil)
}

// Follow starts to follow a store's keys for a holder that puts the parts of a reading in force as they come. The list may be
// long: it is read whole at the start and where the store's history is another one, else in proportion to what has changed.
func Follow(s Settings, holder Holder, health Health) (*Client, error) {
	if s.LookRate < 0 || s.ReadRate < 0 {
		return nil, fmt.Errorf("rates: %d and %d are out of range", s.LookRate, s.ReadRate)
	}
	if s.Page == 0 {
		s.Page = sparsePage
	}
	return start(s, holder, health, &sparse{lookRate: cmp.Or(s.LookRate, lookRate), readRate: cmp.Or(s.ReadRate, readRate)})
}

func start(s Settings, holder Holder, health Health, sparse *sparse) (*Client, error) {
	c := &Client{sparse: sparse, holder: holder, health: health, log: s.Log, prefix: s.Prefix, page: s.Page, rng: rand.New(rand.NewPCG(s.Seed, 0x6b7663)), whole: true,
		wanted: make(chan struct{}, 1)}
	if c.page == 0 {
		c.page = defaultPage
	}
	switch {
	case len(s.Endpoints) == 0:
		return nil, errors.New("endpoints is empty")
	case s.Prefix == "":
		return nil, errors.New("prefix is missing")
	case c.page < 1 || c.page > mostPage:
		return nil, fmt.Errorf("page: %d is out of range", s.Page)
	}
	if c.end = after(s.Prefix); c.end == "" {
		return nil, fmt.Errorf("prefix: no key lies behind %q", s.Prefix)
	}
	for i, at := range s.Endpoints {
		base, err := baseOf(at)
		if err != nil {
			return nil, fmt.Errorf("endpoints[%d]: %w", i, err)
		}
		c.endpoints = append(c.endpoints, &endpoint{url: base})
	}
	c.none = sync.NewCond(&c.mu)
	if c.log == nil {
		c.log = func(string) {}
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	dial := s.Dial
	if dial == nil {
		dial = (&net.Dialer{Control: mortal, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: lifeTime / 4,
			Interval: lifeTime / 4, Count: 4}}).DialContext
	}
	c.http = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
			TLSHandshakeTimeout: dialWait, DialContext: c.dialer(dial)}}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		c.run()
	}()
	return c, nil
}

// Again has the whole list read and told anew, as soon as the watch has said something or has been silent for a while.
func (c *Client) Again() {
	select {
	case c.wanted <- struct{}{}:
	default:
	}
}

// Close ends everything and returns when no goroutine and no connection is left. The sink hears nothing after it.
func (c *Client) Close() {
	c.stop()
	c.tasks.Wait()
	c.http.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.closed = true; c.conns > 0; {
		c.none.Wait()
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// dialer owns each connection from its dial to its close. net/http dials on goroutines of its own, which outlive the call
// that wanted the connection; our end must reach them as well.
func (c *Client) dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, net.ErrClosed
		}
		c.conns++
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, dialWait)
		defer cancel()
		defer context.AfterFunc(c.ctx, cancel)()
		nc, err := dial(ctx, network, address)
		if err != nil {
			c.gone()
			return nil, err
		}
		o := &owned{Conn: nc, client: c}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.drop = context.AfterFunc(c.ctx, func() { o.Close() })
		return o, nil
	}
}

// mortal makes the system end a connection whose other side has not acknowledged what we sent.
func mortal(_, _ string, raw syscall.RawConn) error {
	var err error
	return errors.Join(raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(lifeTime/time.Millisecond))
	}), err)
}

func (c *Client) gone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns--; c.conns == 0 {
		c.none.Broadcast()
	}
}

type owned struct {
	net.Conn
	client *Client
	mu     sync.Mutex
	closed bool
	drop   func() bool // ends the wait for the client's end
}

func (o *owned) Close() error {
	o.mu.Lock()
	was := o.closed
	o.closed = true
	o.mu.Unlock()
	if was {
		return net.ErrClosed
	}
	o.drop()
	defer o.client.gone()
	return o.Conn.Close()
}

// after gives the first key behind all that begin with a prefix.
func after(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ""
}

func baseOf(at string) (string, error) {
	if host, port, err := net.SplitHostPort(at); err == nil && host != "" {
		if n, err := strconv.ParseUint(port, 10, 16); err == nil && n > 0 {
			return "http://" + at, nil
		}
	}
	u, err := url.Parse(at)
	switch {
	case err != nil:
		return "", err
	case u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.Path != "" && u.Path != "/" || u.RawQuery != "":
		return "", fmt.Errorf("%q is neither host:port nor a URL of a host", at)
	}
	return u.Scheme + "://" + u.Host, nil
}

// namesEach is how many values that make no sense are named in a second: a store full of them must not fill the log.
const namesEach = 20

// name says what makes no sense.
func name(log func(string)) func(string) {
	if log == nil {
		return func(string) {}
	}
	var since time.Time
	said := 0
	return func(text string) {
		if now := time.Now(); now.Sub(since) >= time.Second {
			since, said = now, 0
		}
		switch said++; {
		case said <= namesEach:
			log(text)
		case said == namesEach+1:
			log("more values make no sense")
		}
	}
}
