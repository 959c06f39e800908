package configstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/periodic"
)

const (
	// requestQueueSize is the capacity of the queue to the acceptor's goroutine.
	requestQueueSize = 64
	// openRetryInterval is the pause before the record is loaded again after a disk error.
	openRetryInterval = 300 * time.Millisecond
)

// pendingRequest is a request queued for, or being processed by, the acceptor's goroutine.
type pendingRequest struct {
	request casregister.Request
	// result has a buffer of one, so that the acceptor's goroutine never blocks on the caller.
	result chan requestResult
	output casregister.Output
}

type requestResult struct {
	reply casregister.Reply
	err   error
}

// acceptor owns the acceptor's state machine and its disk. Only its goroutine accesses them.
type acceptor struct {
	options Options
	log     logrus.FieldLogger
	queue   chan *pendingRequest
	// recordLoaded is closed once the record has been read, stopped once the goroutine has returned.
	recordLoaded chan struct{}
	stopped      chan struct{}
	machine      *casregister.AcceptorMachine
	// recordDisk is nil for a volatile acceptor.
	recordDisk *disk.Disk
	// syncedRecord is the record as last synced, for other goroutines. Nil until the record has been loaded.
	syncedRecord atomic.Pointer[casregister.Record]
	// writeStartedAt is when the current write began, in Unix nanoseconds; zero means that no write is in progress.
	// lastWriteFailed reports whether the last write failed.
	writeStartedAt  atomic.Int64
	lastWriteFailed atomic.Bool
	// onRecordLoaded is called from the acceptor's goroutine with the loaded record, onAccepted after a state has been
	// accepted and synced.
	onRecordLoaded func(casregister.Record)
	onAccepted     func()
}

func newAcceptor(options Options, log logrus.FieldLogger) *acceptor {
	return &acceptor{
		options:      options,
		log:          log,
		queue:        make(chan *pendingRequest, requestQueueSize),
		recordLoaded: make(chan struct{}),
		stopped:      make(chan struct{}),
	}
}

// accepted returns the state that the acceptor has accepted and synced. It is zero if there is none or the record has
// not been loaded yet.
func (acceptor *acceptor) accepted() casregister.State {
	synced := acceptor.syncedRecord.Load()
	if synced == nil {
		return casregister.State{}
	}
	return synced.Accepted
}

// submit queues a request for the acceptor's goroutine and returns its reply once the record is synced. Report requests
// are answered from the synced record without waiting for the disk.
func (acceptor *acceptor) submit(ctx context.Context, request casregister.Request) (casregister.Reply, error) {
	synced := acceptor.syncedRecord.Load()
	if synced == nil {
		return casregister.Reply{}, errDiskUnavailable
	}
	if request.To != synced.ID {
		return casregister.Reply{}, &casregister.WrongAcceptorError{Wanted: request.To, Actual: synced.ID}
	}
	if request.Kind == casregister.Report {
		return casregister.ReportOf(*synced, request), nil
	}
	queued := &pendingRequest{request: request, result: make(chan requestResult, 1)}
	select {
	case acceptor.queue <- queued:
	case <-acceptor.stopped:
		return casregister.Reply{}, ErrClosed
	case <-ctx.Done():
		return casregister.Reply{}, ctx.Err()
	}
	select {
	case result := <-queued.result:
		return result.reply, result.err
	case <-acceptor.stopped:
		return casregister.Reply{}, ErrClosed
	case <-ctx.Done():
		return casregister.Reply{}, ctx.Err()
	}
}

// run loads the record and processes requests until the context is done.
func (acceptor *acceptor) run(ctx context.Context) {
	defer close(acceptor.stopped)
	acceptor.loadRecord(ctx)
	for {
		select {
		case first := <-acceptor.queue:
			acceptor.processBatch(acceptor.drainQueue(first))
		case <-ctx.Done():
			return
		}
	}
}

// loadRecord loads the record, and retries until the disk succeeds or the context is done.
func (acceptor *acceptor) loadRecord(ctx context.Context) {
	for ctx.Err() == nil {
		recordDisk, record, err := openRecord(acceptor.options)
		if err == nil {
			acceptor.recordDisk = recordDisk
			acceptor.machine = casregister.NewAcceptorMachine(record)
			acceptor.onRecordLoaded(record)
			acceptor.syncedRecord.Store(&record)
			close(acceptor.recordLoaded)
			return
		}
		acceptor.log.WithError(err).Warn("acceptor cannot open its record")
		periodic.Sleep(ctx, openRetryInterval)
	}
}

// drainQueue returns the first request together with all others already in the queue.
func (acceptor *acceptor) drainQueue(first *pendingRequest) []*pendingRequest {
	batch := []*pendingRequest{first}
	for {
		select {
		case next := <-acceptor.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// processBatch applies all requests to the state machine, syncs the record once, and delivers the replies.
func (acceptor *acceptor) processBatch(batch []*pendingRequest) {
	needsSync := false
	processed := batch[:0]
	for _, queued := range batch {
		output, err := acceptor.machine.Step(queued.request)
		if err != nil {
			queued.result <- requestResult{err: err}
			continue
		}
		queued.output = output
		needsSync = needsSync || output.NeedsSync
		processed = append(processed, queued)
	}
	var syncError error
	if needsSync {
		syncError = acceptor.syncRecord()
	}
	for _, queued := range processed {
		queued.result <- resultOf(queued.output, syncError)
	}
}

func resultOf(output casregister.Output, syncError error) requestResult {
	if output.NeedsSync && syncError != nil {
		return requestResult{err: errDiskUnavailable}
	}
	return requestResult{reply: output.Reply}
}

// syncRecord writes the state machine's pending record to the disk, and discards it if the write fails.
func (acceptor *acceptor) syncRecord() error {
	record := acceptor.machine.Pending()
	acceptedChanged := record.Accepted.Ballot != acceptor.machine.Durable().Accepted.Ballot
	err := acceptor.save(record)
	acceptor.lastWriteFailed.Store(err != nil)
	if err != nil {
		acceptor.machine.Discard()
		acceptor.log.WithError(err).Warn("acceptor cannot save its record")
		return err
	}
	acceptor.machine.Synced()
	acceptor.syncedRecord.Store(&record)
	if acceptedChanged {
		acceptor.onAccepted()
	}
	return nil
}

// save writes the record to the disk. A volatile acceptor has none, and nothing is written.
func (acceptor *acceptor) save(record casregister.Record) error {
	if acceptor.recordDisk == nil {
		return nil
	}
	acceptor.writeStartedAt.Store(time.Now().UnixNano())
	defer acceptor.writeStartedAt.Store(0)
	return saveRecord(acceptor.recordDisk, record)
}

// pendingWriteDuration returns how long the current write has taken so far, zero if there is none.
func (acceptor *acceptor) pendingWriteDuration() time.Duration {
	startedAt := acceptor.writeStartedAt.Load()
	if startedAt == 0 {
		return 0
	}
	return time.Since(time.Unix(0, startedAt))
}
