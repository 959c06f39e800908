package configstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/disk"
)

const (
	// queuedRequests bounds the requests that wait for the acceptor's goroutine.
	queuedRequests = 64
	// openPause is the pause before a disk that refused is opened again.
	openPause = 300 * time.Millisecond
)

// step is a request on its way through the acceptor's goroutine.
type step struct {
	request casregister.Request
	// answer has room for one outcome, so that the goroutine never waits for the asker.
	answer chan stepOutcome
	output casregister.Output
}

type stepOutcome struct {
	reply casregister.Reply
	err   error
}

// acceptor owns the acceptor's machine and disk. Only its goroutine touches them.
type acceptor struct {
	options Options
	log     logrus.FieldLogger
	queue   chan *step
	// opened is closed once the record was read; stopped once the goroutine has ended.
	opened  chan struct{}
	stopped chan struct{}
	machine *casregister.AcceptorMachine
	// saved is nil for a volatile acceptor.
	saved *disk.Disk
	// durable is the record as last synced, for readers. Nil until the record was read.
	durable atomic.Pointer[casregister.Record]
	// writingSince is when the write under way began, in nanoseconds of the Unix clock; zero: there is none. refused says that the last
	// one failed.
	writingSince atomic.Int64
	refused      atomic.Bool
	// onOpened is called from the goroutine with the record as read, onAccepted after a state was accepted and synced.
	onOpened   func(casregister.Record)
	onAccepted func()
}

func newAcceptor(options Options, log logrus.FieldLogger) *acceptor {
	return &acceptor{
		options: options,
		log:     log,
		queue:   make(chan *step, queuedRequests),
		opened:  make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// accepted is the state that the acceptor holds on disk, zero if it holds none or its disk was not read yet.
func (acceptor *acceptor) accepted() casregister.State {
	durable := acceptor.durable.Load()
	if durable == nil {
		return casregister.State{}
	}
	return durable.Accepted
}

// do has the goroutine take a request and returns its reply once that is synced. Reports are answered from the synced
// record without waiting for the disk.
func (acceptor *acceptor) do(ctx context.Context, request casregister.Request) (casregister.Reply, error) {
	durable := acceptor.durable.Load()
	if durable == nil {
		return casregister.Reply{}, errUnavailable
	}
	if request.To != durable.ID {
		return casregister.Reply{}, &casregister.IdentityError{Wanted: request.To, Actual: durable.ID}
	}
	if request.Kind == casregister.Report {
		return casregister.ReportOf(*durable, request), nil
	}
	queued := &step{request: request, answer: make(chan stepOutcome, 1)}
	select {
	case acceptor.queue <- queued:
	case <-acceptor.stopped:
		return casregister.Reply{}, ErrClosed
	case <-ctx.Done():
		return casregister.Reply{}, ctx.Err()
	}
	select {
	case outcome := <-queued.answer:
		return outcome.reply, outcome.err
	case <-acceptor.stopped:
		return casregister.Reply{}, ErrClosed
	case <-ctx.Done():
		return casregister.Reply{}, ctx.Err()
	}
}

// run reads the record and takes requests until the context ends.
func (acceptor *acceptor) run(ctx context.Context) {
	defer close(acceptor.stopped)
	acceptor.open(ctx)
	for {
		select {
		case first := <-acceptor.queue:
			acceptor.takeBatch(acceptor.gather(first))
		case <-ctx.Done():
			return
		}
	}
}

// open reads the record, again and again while the disk refuses.
func (acceptor *acceptor) open(ctx context.Context) {
	for ctx.Err() == nil {
		saved, record, err := openRecord(acceptor.options)
		if err == nil {
			acceptor.saved = saved
			acceptor.machine = casregister.NewAcceptorMachine(record)
			acceptor.onOpened(record)
			acceptor.durable.Store(&record)
			close(acceptor.opened)
			return
		}
		acceptor.log.WithError(err).Warn("acceptor cannot open its record")
		sleep(ctx, openPause)
	}
}

// gather returns the first step with all others that already wait.
func (acceptor *acceptor) gather(first *step) []*step {
	batch := []*step{first}
	for {
		select {
		case next := <-acceptor.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// takeBatch steps the machine with all requests, syncs once, and hands the replies out.
func (acceptor *acceptor) takeBatch(batch []*step) {
	needsSync := false
	stepped := batch[:0]
	for _, queued := range batch {
		output, err := acceptor.machine.Step(queued.request)
		if err != nil {
			queued.answer <- stepOutcome{err: err}
			continue
		}
		queued.output = output
		needsSync = needsSync || output.NeedsSync
		stepped = append(stepped, queued)
	}
	var syncError error
	if needsSync {
		syncError = acceptor.sync()
	}
	for _, queued := range stepped {
		queued.answer <- outcomeOf(queued.output, syncError)
	}
}

func outcomeOf(output casregister.Output, syncError error) stepOutcome {
	if output.NeedsSync && syncError != nil {
		return stepOutcome{err: errUnavailable}
	}
	return stepOutcome{reply: output.Reply}
}

// sync saves the machine's pending record.
func (acceptor *acceptor) sync() error {
	record := acceptor.machine.Pending()
	hasAccepted := record.Accepted.Ballot != acceptor.machine.Durable().Accepted.Ballot
	err := acceptor.save(record)
	acceptor.refused.Store(err != nil)
	if err != nil {
		acceptor.machine.Discard()
		acceptor.log.WithError(err).Warn("acceptor cannot save its record")
		return err
	}
	acceptor.machine.Synced()
	acceptor.durable.Store(&record)
	if hasAccepted {
		acceptor.onAccepted()
	}
	return nil
}

// save writes the record to the disk, if there is one.
func (acceptor *acceptor) save(record casregister.Record) error {
	if acceptor.saved == nil {
		return nil
	}
	acceptor.writingSince.Store(time.Now().UnixNano())
	defer acceptor.writingSince.Store(0)
	return saveRecord(acceptor.saved, record)
}

// writeUnderWay is how long the write under way has taken so far, zero if there is none.
func (acceptor *acceptor) writeUnderWay() time.Duration {
	since := acceptor.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}
