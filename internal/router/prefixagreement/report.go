package prefixagreement

import (
	"bytes"
	"context"
	"time"
)

const (
	// reportEvery is the pause between two reports.
	reportEvery = 2 * time.Second
	// reportTimeout bounds the wait for the coordinator.
	reportTimeout = 400 * time.Millisecond
)

// Run reports and, while this router is the coordinator, proposes, until the context ends.
func (a *Agreement) Run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var last []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		last = a.report(ctx, last)
		a.coordinate(ctx)
	}
}

// report sends what was counted to the coordinator if it has changed, and returns what was delivered last.
func (a *Agreement) report(ctx context.Context, last []byte) []byte {
	counted, ok := a.makeReport()
	if !ok {
		return last
	}
	content, err := encode(&counted.Report)
	if err != nil || bytes.Equal(content, last) {
		return last
	}
	if err := a.deliver(ctx, counted); err != nil {
		a.options.Log.WithError(err).Debug("the report of common prefixes was not delivered")
		return nil
	}
	return content
}

func (a *Agreement) makeReport() (message, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counter == nil {
		return message{}, false
	}
	a.version.Sequence++
	return message{Router: a.options.Router, Version: a.version, Report: a.counter.Report(a.now())}, true
}

// deliver hands a report to the coordinator, which may be this router.
func (a *Agreement) deliver(ctx context.Context, counted message) error {
	if a.options.Lease.Holds() {
		a.take(counted)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	address, err := a.options.Lease.Coordinator(ctx)
	if err != nil {
		return err
	}
	return a.send(ctx, address, counted)
}

func (a *Agreement) send(ctx context.Context, address string, counted message) error {
	request, err := encode(&counted)
	if err != nil {
		return err
	}
	encoded, err := a.options.Caller.Call(ctx, address, request)
	if err != nil {
		return err
	}
	var reply answer
	if err := decode(encoded, &reply); err != nil {
		return err
	}
	if !reply.IsCoordinator {
		return errNotCoordinator
	}
	return nil
}

// HandleRequest takes another router's report.
func (a *Agreement) HandleRequest(_ context.Context, encoded []byte) ([]byte, error) {
	var counted message
	if err := decode(encoded, &counted); err != nil {
		return nil, err
	}
	holds := a.options.Lease.Holds()
	if holds {
		a.take(counted)
	}
	return encode(&answer{IsCoordinator: holds})
}

func (a *Agreement) take(counted message) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.merger.Update(a.now(), counted.Router, counted.Version, counted.Report)
}
