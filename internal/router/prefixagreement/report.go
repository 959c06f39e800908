package prefixagreement

import (
	"bytes"
	"context"
	"time"
)

const (
	// reportInterval is the time between two reports.
	reportInterval = 2 * time.Second
	// reportTimeout is the time limit for the delivery of a report.
	reportTimeout = 400 * time.Millisecond
)

// Run sends reports and, while this router is the coordinator, proposals, until the context is canceled.
func (a *Agreement) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var last []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		last = a.reportIfChanged(ctx, last)
		a.proposeNext(ctx)
	}
}

// reportIfChanged sends the counts to the coordinator unless they are the same as in last, the encoded report that was
// delivered last. It returns the new value of last, which is nil after a failure.
func (a *Agreement) reportIfChanged(ctx context.Context, last []byte) []byte {
	report, ok := a.makeReport()
	if !ok {
		return last
	}
	content, err := encode(&report.Report)
	if err != nil || bytes.Equal(content, last) {
		return last
	}
	if err := a.deliver(ctx, report); err != nil {
		a.options.Log.WithError(err).Debug("cannot deliver the report of common prefixes to the coordinator")
		return nil
	}
	return content
}

func (a *Agreement) makeReport() (reportRequest, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.counter == nil {
		return reportRequest{}, false
	}
	a.version.Sequence++
	return reportRequest{Router: a.options.Router, Version: a.version, Report: a.counter.Report(a.now())}, true
}

// deliver passes a report to the coordinator, which may be this router.
func (a *Agreement) deliver(ctx context.Context, report reportRequest) error {
	if a.options.Lease.IsCoordinator() {
		a.mergeReport(report)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	address, err := a.options.Lease.Coordinator(ctx)
	if err != nil {
		return err
	}
	return a.send(ctx, address, report)
}

func (a *Agreement) send(ctx context.Context, address string, report reportRequest) error {
	request, err := encode(&report)
	if err != nil {
		return err
	}
	received, err := a.options.Caller.Call(ctx, address, request)
	if err != nil {
		return err
	}
	var response reportResponse
	if err := decode(received, &response); err != nil {
		return err
	}
	if !response.IsCoordinator {
		return errNotCoordinator
	}
	return nil
}

// HandleRequest handles the report of another router and returns the encoded response. The report is dropped if this
// router is not the coordinator.
func (a *Agreement) HandleRequest(_ context.Context, encoded []byte) ([]byte, error) {
	var report reportRequest
	if err := decode(encoded, &report); err != nil {
		return nil, err
	}
	isCoordinator := a.options.Lease.IsCoordinator()
	if isCoordinator {
		a.mergeReport(report)
	}
	return encode(&reportResponse{IsCoordinator: isCoordinator})
}

func (a *Agreement) mergeReport(report reportRequest) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.merger.Update(a.now(), report.Router, report.Version, report.Report)
}
