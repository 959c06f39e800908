// Package registry owns the watch on discovery's list: one connection at a time, read line by line. It hands
// on what it hears and says when a watch has ended. It must never open a watch that was not asked for, nor
// keep a list of its own.
package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
)

const (
	// patience is how long discovery may take to take a watch; it works through calls in turn.
	patience = 4 * time.Second
	// silence on an open watch for so long means that it is broken: a line comes every 2 s at the least, and
	// a machine that has vanished says nothing at all.
	silence = 4 * time.Second
	maxLine = 4 << 20
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
	list := reducer.List{Revision: in.Revision, Complete: in.Complete}
	var bad error
	for i := range in.Members {
		m, err := config.Entry(in.Members[i]).Member(started)
		if err != nil {
			bad = fmt.Errorf("registry: members[%d]: %w", i, err)
			continue
		}
		list.Members = append(list.Members, m)
		list.Addresses = append(list.Addresses, in.Members[i].Address)
	}
	return list, bad
}

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
		err := g.follow(ctx, e)
		if ctx.Err() == nil {
			g.post(reducer.WatchEnded{Watch: e.ID, Err: err})
		}
	}()
}

var errSilent = errors.New("no line for too long")

func (g *Registry) follow(outer context.Context, e reducer.Watch) error {
	ctx, stop := context.WithCancelCause(outer)
	defer stop(nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+e.Discovery+"/registry/instances?follow=1&since="+strconv.FormatInt(e.Since, 10), nil)
	if err != nil {
		return err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() // the one place where a watch is given back
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	quiet := time.AfterFunc(silence, func() { stop(errSilent) })
	defer quiet.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxLine)
	for lines.Scan() {
		quiet.Reset(silence)
		if len(lines.Bytes()) == 0 {
			if g.heard != nil && outer.Err() == nil {
				g.heard()
			}
			continue
		}
		list, err := Decode(lines.Bytes(), g.started)
		if err != nil {
			g.log(err.Error())
			if list.Members == nil && list.Revision == 0 {
				return err // not a list at all: after a gap only a new watch gives the whole
			}
		}
		if outer.Err() != nil {
			return outer.Err()
		}
		g.post(reducer.Listed{Watch: e.ID, List: list})
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("discovery ended it")
}
