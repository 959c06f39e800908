package shares

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/periodic"
)

const (
	// busyExchangeInterval and idleExchangeInterval are the pauses between two reports with and without recent traffic.
	busyExchangeInterval = 250 * time.Millisecond
	idleExchangeInterval = 750 * time.Millisecond
	// minExchangeInterval is the shortest pause between two reports, also when one is urgent.
	minExchangeInterval = 50 * time.Millisecond
	// exchangeTimeout bounds a report to the coordinator, lookupTimeout a question to a grantor about who it is.
	exchangeTimeout = 400 * time.Millisecond
	lookupTimeout   = 200 * time.Millisecond
)

// errNoCoordinator is returned when no reachable router knows a coordinator.
var errNoCoordinator = errors.New("no coordinator known")

// runExchange reports to the coordinator until the context ends, and then announces that this router leaves.
func (s *Shares) runExchange(ctx context.Context) {
	for {
		if err := s.exchange(ctx); err != nil && ctx.Err() == nil {
			s.options.Log.WithError(err).Debug("exchange with the coordinator failed")
		}
		if !s.waitForNextExchange(ctx) {
			s.announceLeaving(ctx)
			return
		}
	}
}

// exchange sends one report to the coordinator and applies its answer.
func (s *Shares) exchange(ctx context.Context) error {
	s.refreshRouters(s.now())
	address, err := s.coordinator(ctx)
	if err != nil {
		return err
	}
	report := s.makeReport()
	askedAt := s.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := s.call(callCtx, address, request{Exchange: &report})
	if err != nil {
		s.recordFailedExchange("")
		return err
	}
	if reply.Answer == nil {
		s.recordFailedExchange(reply.Coordinator)
		return errors.Wrapf(errNoCoordinator, "%s is not the coordinator", address)
	}
	s.apply(*reply.Answer)
	if confirmation := reply.Answer.Confirmation; confirmation != nil && s.options.Confirmations != nil {
		s.options.Confirmations.Add(askedAt, *confirmation)
	}
	return nil
}

// recordFailedExchange notes that a report got no answer. The coordinator given gets the next report; empty means that
// it has to be looked up first.
func (s *Shares) recordFailedExchange(coordinator string) {
	s.setKnownCoordinator(coordinator)
	s.local.Lock()
	defer s.local.Unlock()
	s.local.admission.ReportLost()
}

func (s *Shares) makeReport() exchangeReport {
	s.local.Lock()
	defer s.local.Unlock()
	now := s.now()
	return exchangeReport{
		Node:  s.options.Node,
		Quota: s.local.admission.NextReport(now),
		Retry: s.local.budget.NextReport(now),
	}
}

func (s *Shares) apply(result exchangeAnswer) {
	s.coordinatorHeard.Store(true)
	s.local.Lock()
	defer s.local.Unlock()
	now := s.now()
	s.local.admission.ApplyAnswer(now, result.Quota)
	s.local.budget.ApplyAnswer(now, result.Retry)
	s.wakeExchangeIf(s.local.admission.TakeUrgent())
	if s.local.admission.PendingFloors() != nil {
		s.wakeFloors()
	}
}

// waitForNextExchange waits until the next report is due. It returns false if the context has ended.
func (s *Shares) waitForNextExchange(ctx context.Context) bool {
	if !periodic.Sleep(ctx, minExchangeInterval) {
		return false
	}
	timer := time.NewTimer(s.exchangeInterval() - minExchangeInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.exchangeWake:
		return true
	case <-timer.C:
		return true
	}
}

func (s *Shares) exchangeInterval() time.Duration {
	s.local.Lock()
	defer s.local.Unlock()
	now := s.now()
	if s.local.admission.Busy(now) || s.local.budget.Busy(now) {
		return busyExchangeInterval
	}
	return idleExchangeInterval
}

// coordinator returns the address of the coordinator. If it is not known, the grantors are asked in random order.
func (s *Shares) coordinator(ctx context.Context) (string, error) {
	if own := s.coordination.coordinatorAddress(s.now(), s.options.Address); own == s.options.Address {
		return own, nil
	}
	if known := s.getKnownCoordinator(); known != "" {
		return known, nil
	}
	voters, _ := s.options.Grantors()
	for _, index := range rand.Perm(len(voters)) {
		if address := s.lookup(ctx, voters[index]); address != "" {
			s.setKnownCoordinator(address)
			return address, nil
		}
	}
	return "", errNoCoordinator
}

func (s *Shares) lookup(ctx context.Context, grantor string) string {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	reply, err := s.call(ctx, grantor, request{FindCoordinator: true})
	if err != nil {
		return ""
	}
	return reply.Coordinator
}

// announceLeaving tells the coordinator that this router is stopping and admits no more requests.
func (s *Shares) announceLeaving(ctx context.Context) {
	address := s.getKnownCoordinator()
	if address == "" || address == s.options.Address {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	report := s.makeReport()
	report.Quota.Leaving = true
	_, err := s.call(ctx, address, request{Exchange: &report})
	if err != nil {
		s.options.Log.WithError(err).Debug("cannot tell the coordinator that this router is stopping")
	}
}

func (s *Shares) getKnownCoordinator() string {
	s.knownCoordinatorMutex.Lock()
	defer s.knownCoordinatorMutex.Unlock()
	return s.knownCoordinator
}

func (s *Shares) setKnownCoordinator(address string) {
	s.knownCoordinatorMutex.Lock()
	defer s.knownCoordinatorMutex.Unlock()
	s.knownCoordinator = address
}
