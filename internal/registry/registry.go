// Package registry owns the watch on discovery's list, read value by value (values.go): one call, and further ones beside it
// while discovery says nothing. It hands on what it hears and says when a watch has ended. It must never open a watch that
// was not asked for, nor keep a list of its own.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
	"unique"

	"pewterrudder/brain"
	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
)

const (
	// patience is how long discovery may take to take a watch; it works through calls in turn.
	patience = 4 * time.Second
	// silence on an open watch for so long means that it is broken: a line comes every 2 s at the least, and
	// a machine that has vanished says nothing at all.
	silence = 4 * time.Second
	// besideAfter is when a further call goes out beside a watch that should have said something by now, and besideEvery
	// how often then. Beside one without a head the first goes out just before its patience ends.
	besideAfter = 2500 * time.Millisecond
	besideEvery = time.Second
	besideHead  = patience - 100*time.Millisecond
	// progress is what has to come of a list between two looks for it to be on its way: one that trickles never ends.
	progress = 4 << 10
)

// entry is a config.Entry under discovery's names.
type entry struct {
	Server  string  `json:"id"`
	Address string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Weight  float64 `json:"size"`
	Started float64 `json:"up_since_ms"`
	State   string  `json:"phase"`
}

// Decode reads one list or change of it; started maps Unix milliseconds on the node's clock. An entry that
// makes no sense is left out and named in the error, the others count.
func Decode(raw []byte, started func(ms float64) time.Duration) (reducer.List, error) {
	var in struct {
		Revision int64   `json:"revision"`
		Complete bool    `json:"complete"`
		Members  []entry `json:"members"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return reducer.List{}, fmt.Errorf("registry: %w", err)
	}
	list := reducer.List{Revision: in.Revision, Complete: in.Complete, Members: make([]brain.Member, 0, len(in.Members)),
		Addresses: make([]string, 0, len(in.Members))}
	var bad error
	for i := range in.Members {
		m, err := config.Entry(in.Members[i]).Member(started)
		if err != nil {
			bad = fmt.Errorf("registry: members[%d]: %w", i, err)
			continue
		}
		m.Zone, m.Kind = once(m.Zone), once(m.Kind)
		list.Members = append(list.Members, m)
		list.Addresses = append(list.Addresses, in.Members[i].Address)
	}
	return list, bad
}

// once holds a zone or a kind once, however many entries name it; one that nobody holds any more is forgotten.
func once(s string) string { return unique.Make(s).Value() }

// Registry opens watches. Watch is called by the goroutine that drives the reducer alone.
type Registry struct {
	post    func(reducer.Event)
	log     func(string)
	started func(ms float64) time.Duration
	heard   func() // a line without news has come; nil: nobody wants to know
	cancel  context.CancelFunc
	client  *http.Client
}

// Hear has f called at each line without news. It belongs before the first watch.
func (g *Registry) Hear(f func()) { g.heard = f }

// New makes a registry without a watch.
func New(post func(reducer.Event), log func(string), started func(ms float64) time.Duration) *Registry {
	return &Registry{post: post, log: log, started: started, client: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ResponseHeaderTimeout: patience,
			DialContext: (&net.Dialer{Timeout: patience}).DialContext}}}
}

// Watch opens a watch in place of any earlier one, which ends without a word.
func (g *Registry) Watch(e reducer.Watch) {
	if g.cancel != nil {
		g.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go func() {
		defer cancel()
		err := g.watch(ctx, e)
		if ctx.Err() == nil {
			g.post(reducer.WatchEnded{Watch: e.ID, Err: err})
		}
	}()
}

// Close ends the watch without a word.
func (g *Registry) Close() {
	if g.cancel != nil {
		g.cancel()
	}
}

var errSilent = errors.New("no line for too long")

// word is what one call has heard.
type word struct {
	call int
	list *reducer.List // nil: a blank line
	err  error         // the call has ended
}

// watch follows one watch. A discovery that takes a call and says nothing may be well again while its answer to that call
// is still lost; giving the call up sooner would have a discovery that works through calls in turn serve those that
// nobody waits for any more. So where it has been silent for longer than it should be, further calls go out beside the
// first, one a second: the first line decides which of them is the watch, and the others close. A list that is on its way
// is no silence, however long it takes: each call beside it would have all of it sent once more, by the same line.
func (g *Registry) watch(ctx context.Context, e reducer.Watch) error {
	words := make(chan word)
	var came atomic.Int64 // bytes of lists
	seen := int64(0)      // of these, at the last look
	type asked struct {
		cancel context.CancelFunc
		at     time.Time
	}
	calls, last := map[int]asked{}, -1
	begin := func() {
		last++
		call, cctx, since := last, ctx, e.Since
		own, cancel := context.WithCancel(cctx)
		calls[call] = asked{cancel, time.Now()}
		go func() {
			err := g.follow(own, e.Discovery, since, func(n int) { came.Add(int64(n)) }, func(l *reducer.List) {
				select {
				case words <- word{call: call, list: l}:
				case <-own.Done():
				}
			})
			select {
			case words <- word{call: call, err: err}:
			case <-ctx.Done():
			}
		}()
	}
	defer func() {
		for _, c := range calls {
			c.cancel()
		}
	}()
	begin()
	leads := -1 // the call that is the watch, once a line has come
	beside := time.NewTimer(besideHead)
	defer beside.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beside.C:
			if now := came.Load(); now-seen >= progress {
				seen = now
				beside.Reset(besideEvery)
				continue
			}
			if len(calls) == 1 {
				g.log("registry: no word for too long; asking again beside it")
			}
			begin()
			beside.Reset(besideEvery)
		case w := <-words:
			if _, out := calls[w.call]; !out {
				continue // it was closed
			}
			if w.err != nil {
				calls[w.call].cancel()
				delete(calls, w.call)
				if len(calls) == 0 {
					return w.err
				}
				if late := net.Error(nil); w.err != errSilent && !(errors.As(w.err, &late) && late.Timeout()) {
					// It speaks: the calls that are out have their turn coming, each until its patience ends. A watch that has
					// fallen silent has none, and its end would be followed by a pause.
					wait := besideEvery
					for call, c := range calls {
						if call != leads {
							wait = max(wait, besideHead-time.Since(c.at))
						}
					}
					beside.Reset(wait)
				}
				continue
			}
			if w.call != leads {
				leads = w.call
				for call, c := range calls {
					if call != leads {
						c.cancel()
						delete(calls, call)
					}
				}
			}
			beside.Reset(besideAfter)
			switch {
			case w.list != nil:
				e.Since = w.list.Revision
				g.post(reducer.Listed{Watch: e.ID, List: *w.list})
			case g.heard != nil:
				g.heard()
			}
		}
	}
}

// counted says how much has come.
type counted struct {
	io.Reader
	came func(int)
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.came(n)
	return n, err
}

// follow makes one call and hands on its lists, nil for a blank line, until it ends. It says when bytes come that count.
func (g *Registry) follow(outer context.Context, discovery string, since int64, came func(int), line func(*reducer.List)) error {
	ctx, stop := context.WithCancelCause(outer)
	defer stop(nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+discovery+"/registry/instances?follow=1&since="+strconv.FormatInt(since, 10), nil)
	if err != nil {
		return err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() // the one place where a call is given back
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	quiet := time.AfterFunc(silence, func() { stop(errSilent) })
	defer quiet.Stop()
	lists := newValues(counted{resp.Body, came}, func() { quiet.Reset(silence) }, func() { line(nil) })
	for {
		raw, err := lists.next()
		switch cause := context.Cause(ctx); {
		case err != nil && cause != nil:
			return cause
		case err == io.EOF:
			return errors.New("discovery ended it")
		case err != nil:
			return err
		}
		list, err := Decode(raw, g.started)
		if err != nil {
			g.log(err.Error())
			if len(list.Members) == 0 && list.Revision == 0 {
				return err // not a list at all: after a gap only a new watch gives the whole
			}
		}
		line(&list)
	}
}
