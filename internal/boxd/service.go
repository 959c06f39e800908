// Package boxd is the box's control service: HTTP and JSON over a unix socket in the state folder, by which operators see
// the box and change what they want of it. It owns the socket, the order of edits, the stream of changes and the one
// control.State that it is given: an edit is judged there, made durable by the store, made to count, put in force in the
// box, and answered, in this order. Who asks is the kernel's word on the peer. It must never listen on a network, decide
// what control or the box decide, or hold up calls: a disk that stalls holds up edits alone, and a reader that does not
// read holds up nobody.
package boxd

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// Box is what runs: live facts, and the place where operators' changes go into force. Its methods may be called from any
// goroutine, but for Apply, whose calls come one after the other, in the order of the revisions.
type Box interface {
	Status() boxapi.Status // but for what the service fills in
	Pools() []boxapi.Pool
	Nodes() []boxapi.Node
	Why(node string) (why boxapi.Why, known bool)
	Roster() boxapi.Roster
	Peers() boxapi.Peers
	// Apply returns once the changes are in force: the answer to an edit rests on it.
	Apply([]control.Change)
}

// Keeper makes a record durable before it returns, or says why it did not; then the record must never count.
type Keeper interface {
	Keep(revision uint64, record []byte) error
}

// Setup is what a service is made of.
type Setup struct {
	Box   Box
	State *control.State // with all that the store holds committed; it is the service's from here on
	Store Keeper
	Now   func() control.Now
	Log   func(text string) // of what went wrong; nil: nowhere

	Bounds Bounds // 0s mean the usual
}

// Bounds keep a client, or a person's whole office of them, from costing the box what calls need.
type Bounds struct {
	Head     time.Duration // for a request's head and body: a link that stalls with half of one sent makes no edit
	Write    time.Duration // for a reader to take what was written; one slower than that is cut off
	Idle     time.Duration // of a connection kept without a request
	Conns    int           // descriptors
	Watchers int           // of these
	Lines    int           // of the stream, that a slow reader may lie behind
	Again    time.Duration // until an end that could not be made durable is tried again
}

// usual: a dozen people with a console and a script each is more than a shift has; calls have the other descriptors.
var usual = Bounds{Head: 10 * time.Second, Write: 10 * time.Second, Idle: 2 * time.Minute, Conns: 24, Watchers: 12,
	Lines: 1024, Again: time.Second}

func (b Bounds) filled() Bounds {
	return Bounds{Head: cmp.Or(b.Head, usual.Head), Write: cmp.Or(b.Write, usual.Write), Idle: cmp.Or(b.Idle, usual.Idle),
		Conns: cmp.Or(b.Conns, usual.Conns), Watchers: cmp.Or(b.Watchers, usual.Watchers), Lines: cmp.Or(b.Lines, usual.Lines),
		Again: cmp.Or(b.Again, usual.Again)}
}

// Service answers operators.
type Service struct {
	Setup
	http http.Server
	hub  *hub

	// edits is held for the whole of an edit, its wait for the disk included: one at a time, in the order of the revisions.
	edits sync.Mutex
	mu    sync.RWMutex      // of State, sick and watchers; never held while the disk or the box is waited for
	sick  error             // of the store's latest write
	split error             // a record is durable and does not count: no edit may follow it, until the next start commits it
	heard map[string]uint64 // in which look a node was there
	looks uint64
	tried chan struct{} // an edit has been made: the next end may be nearer

	watchers int
	fresh    map[net.Conn]bool // connections that have asked nothing yet
	down     chan struct{}
	ended    sync.WaitGroup
}

// New makes a service and puts what operators want so far in force.
func New(setup Setup) *Service {
	setup.Bounds = setup.Bounds.filled()
	if setup.Log == nil {
		setup.Log = func(string) {}
	}
	s := &Service{Setup: setup, hub: newHub(setup.Bounds.Lines), heard: map[string]uint64{}, fresh: map[net.Conn]bool{}, tried: make(chan struct{}, 1),
		down: make(chan struct{})}
	s.http = http.Server{Handler: s.routes(), ReadTimeout: setup.Bounds.Head, WriteTimeout: setup.Bounds.Write + storeMost,
		IdleTimeout: setup.Bounds.Idle, MaxHeaderBytes: headMost, ConnContext: meet, ConnState: s.follow,
		ErrorLog: log.New(says(setup.Log), "", 0)}
	s.Box.Apply(s.State.Changes())
	s.ended.Go(s.clock)
	return s
}

// says hands on what net/http has to say, a fault of ours among it.
type says func(string)

func (s says) Write(b []byte) (int, error) {
	s("control socket: " + strings.TrimSpace(string(b)))
	return len(b), nil
}

const (
	headMost = 8 << 10
	// storeMost is how long an answer may take beyond its writing: a disk slower than that answers nobody in time.
	storeMost = time.Minute
)

// Serve answers until Close. The listener is Listen's.
func (s *Service) Serve(l net.Listener) error {
	err := s.http.Serve(&limited{Listener: l, free: make(chan struct{}, s.Bounds.Conns), over: make(chan struct{})})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("control socket: %w", err)
}

// Close ends it: watchers are told, edits under way are answered, for as long as ctx lasts.
func (s *Service) Close(ctx context.Context) error {
	s.mu.Lock()
	select {
	case <-s.down:
	default:
		close(s.down)
		s.hub.say(boxapi.Happening{Kind: boxapi.Bye, At: s.Now().Wall})
		s.hub.end()
		for c := range s.fresh {
			c.Close()
		}
	}
	s.mu.Unlock()
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
	}
	s.ended.Wait()
	return err
}

// follow knows the connections that have asked nothing yet: Shutdown would wait five seconds for each to do so.
func (s *Service) follow(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fresh, c)
	if state != http.StateNew {
		return
	}
	select {
	case <-s.down:
		c.Close()
	default:
		s.fresh[c] = true
	}
}

// Say adds a line of the box's log to the stream.
func (s *Service) Say(level, text string) {
	s.hub.say(boxapi.Happening{Kind: boxapi.Logged, At: s.Now().Wall, Level: level, Text: text})
}

// change carries one through. judge asks the state; a record that counts already is given again.
func (s *Service) change(judge func(*control.State, control.Now) (control.Record, error), sights bool) (control.Record, error) {
	s.edits.Lock()
	defer s.edits.Unlock()
	select {
	case <-s.down:
		return control.Record{}, &boxapi.Flaw{Code: boxapi.Down, Text: "the box is on its way down"}
	default:
	}
	if sights {
		s.hear()
	}
	s.mu.RLock()
	r, err := judge(s.State, s.Now())
	made := err == nil && r.Revision <= s.State.Revision()
	if err == nil && !made && s.split != nil {
		err = &storeError{s.split}
	}
	s.mu.RUnlock()
	if err != nil || made {
		return r, err
	}
	if err := s.take(r); err != nil {
		return control.Record{}, err
	}
	select {
	case s.tried <- struct{}{}:
	default:
	}
	return r, nil
}

// hear tells the state which nodes are ready, before it judges what might take a pool its last one. Most have not changed
// since the last time.
func (s *Service) hear() {
	nodes := s.Box.Nodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looks++
	for i := range nodes {
		n := &nodes[i]
		s.heard[n.ID] = s.looks
		had, ok := s.State.See(n.ID)
		if !ok || had.Ready != n.Ready || had.Drained != n.RosterDrains || had.Weight != n.RosterWeight || !slices.Equal(had.Pools, n.Pools) {
			s.State.Hear(n.ID, control.Sight{Pools: n.Pools, Ready: n.Ready, Drained: n.RosterDrains, Weight: n.RosterWeight})
		}
	}
	for id, look := range s.heard {
		if look != s.looks {
			s.State.Gone(id)
			delete(s.heard, id)
		}
	}
}

// take makes a record durable, has it count, and puts it in force. Under edits.
func (s *Service) take(r control.Record) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	err = s.Store.Keep(r.Revision, b)
	s.mu.Lock()
	was := s.sick
	s.sick = err
	var changes []control.Change
	if err == nil {
		if changes, err = s.State.Commit(r); err != nil { // Propose has just made it fit, so this is a fault of ours
			s.split = fmt.Errorf("start the box anew: %w", err)
			s.sick, err = s.split, s.split
		}
	}
	s.mu.Unlock()
	switch sick := s.sick; {
	case sick != nil && was == nil:
		s.Log("the store takes no edits: " + sick.Error())
	case sick == nil && was != nil:
		s.Log("the store takes edits again")
	}
	if err != nil {
		return &storeError{err}
	}
	if len(changes) > 0 {
		s.Box.Apply(changes)
	}
	s.hub.say(boxapi.Happening{Kind: boxapi.Made, At: r.Wall, Record: &r})
	return nil
}

// storeError is an edit that could not be made durable.
type storeError struct{ error }

func (e *storeError) Unwrap() error { return e.error }
func (e *storeError) full() bool {
	return errors.Is(e.error, syscall.ENOSPC) || errors.Is(e.error, syscall.EDQUOT)
}

// clock makes what ends by itself end. An end that cannot be made durable is tried again: it counts when it is.
func (s *Service) clock() {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		select {
		case <-s.down:
			return
		case <-s.tried:
		case <-wait.C:
		}
		if next := s.tick(); next >= 0 {
			wait.Reset(next)
		} else {
			wait.Stop()
		}
	}
}

// tick gives when to come again, negative if nothing waits.
func (s *Service) tick() time.Duration {
	s.edits.Lock()
	defer s.edits.Unlock()
	for {
		s.mu.RLock()
		due, next := s.State.Tick(s.Now())
		s.mu.RUnlock()
		if len(due) == 0 || s.split != nil {
			return next
		}
		for _, r := range due {
			if s.take(r) != nil {
				return s.Bounds.Again
			}
		}
	}
}

// Break ends every connection at once, answered or not, as a box that is killed does. Close must follow.
func (s *Service) Break() { s.http.Close() }
