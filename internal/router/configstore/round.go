package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/periodic"
)

const (
	// callTimeout bounds one call to an acceptor.
	callTimeout = 500 * time.Millisecond
	// The average pause before a failed call is retried doubles from minCallRetryInterval to maxCallRetryInterval.
	minCallRetryInterval = 10 * time.Millisecond
	maxCallRetryInterval = 160 * time.Millisecond
)

// stateMachine is a proposer or a reader of the register.
type stateMachine interface {
	Outbox() []casregister.Outgoing
	Receive(casregister.Reply)
}

// round carries the requests of proposers and readers to the acceptors, and the replies back.
type round struct {
	store   *Store
	ctx     context.Context
	replies chan casregister.Reply
}

// newRound begins a round that ends after the timeout, with the context, when the store is closed, or when the returned
// function is called.
func (store *Store) newRound(ctx context.Context, limit time.Duration) (*round, func()) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	stop := context.AfterFunc(store.ctx, cancel)
	cancelRound := func() {
		stop()
		cancel()
	}
	return &round{store: store, ctx: ctx, replies: make(chan casregister.Reply)}, cancelRound
}

// withTimeout returns a round that shares the parent's replies and ends after a timeout, or with the parent.
func (parent *round) withTimeout(limit time.Duration) (*round, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent.ctx, limit)
	return &round{store: parent.store, ctx: ctx, replies: parent.replies}, cancel
}

// send starts a goroutine for each new request of the state machine, which retries the request until it is answered
// or the round ends.
func (round *round) send(sm stateMachine) {
	for _, outgoing := range sm.Outbox() {
		go round.sendWithRetry(outgoing)
	}
}

func (round *round) sendWithRetry(outgoing casregister.Outgoing) {
	pause := minCallRetryInterval
	for round.ctx.Err() == nil {
		reply, err := round.store.sendRequest(round.ctx, outgoing)
		if err == nil {
			round.passReply(outgoing, reply)
			return
		}
		periodic.Sleep(round.ctx, jitter(pause))
		pause = min(2*pause, maxCallRetryInterval)
	}
}

// passReply delivers a reply to the round. The reply that another acceptor is at the address counts as coming from the
// acceptor that was asked. Any other reply of a different acceptor is dropped.
func (round *round) passReply(outgoing casregister.Outgoing, reply casregister.Reply) {
	if reply.Verdict == casregister.WrongAcceptor {
		round.store.recordEnded(outgoing.To, reply)
		reply.From = outgoing.To.ID
	}
	if reply.From != outgoing.To.ID {
		return
	}
	select {
	case round.replies <- reply:
	case <-round.ctx.Done():
	}
}

// sendRequest sends a request once to an acceptor, which may be this process's own. Accept requests are not cancelled
// with their round, so that the slower acceptors receive the chosen state too.
func (store *Store) sendRequest(ctx context.Context, outgoing casregister.Outgoing) (casregister.Reply, error) {
	if outgoing.Request.Kind == casregister.Accept {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := store.exchange(ctx, outgoing.To, envelope{Register: &outgoing.Request})
	if err != nil {
		return casregister.Reply{}, err
	}
	if answer.Unavailable || answer.Reply == nil {
		return casregister.Reply{}, errDiskUnavailable
	}
	return *answer.Reply, nil
}

// exchange sends a message to an acceptor's router, or handles it locally if the acceptor is this process's own.
func (store *Store) exchange(ctx context.Context, to casregister.Acceptor, message envelope) (response, error) {
	if store.acceptor != nil && to.ID == store.Identity() {
		return store.serve(ctx, message)
	}
	return store.call(ctx, to.Address, message)
}

func (store *Store) call(ctx context.Context, address string, message envelope) (response, error) {
	request, err := encodeMessage(&message)
	if err != nil {
		return response{}, err
	}
	encoded, err := store.options.Caller.Call(ctx, address, request)
	if err != nil {
		return response{}, err
	}
	var answer response
	err = decodeMessage(encoded, &answer)
	return answer, err
}

// jitter returns a random duration between half of pause and one and a half of it.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}
