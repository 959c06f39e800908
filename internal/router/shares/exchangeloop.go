package shares

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// busyEvery and idleEvery are the pauses between two reports with and without traffic.
	busyEvery = 250 * time.Millisecond
	idleEvery = 750 * time.Millisecond
	// urgentGap is the shortest pause between two reports.
	urgentGap = 50 * time.Millisecond
	// exchangeTimeout bounds the wait for the coordinator, lookupTimeout that for a grantor.
	exchangeTimeout = 400 * time.Millisecond
	lookupTimeout   = 200 * time.Millisecond
)

// errNoCoordinator says that nobody named a coordinator.
var errNoCoordinator = errors.New("no coordinator known")

// runExchange reports to the coordinator until the context ends.
func (s *Shares) runExchange(ctx context.Context) {
	for {
		if err := s.exchange(ctx); err != nil && ctx.Err() == nil {
			s.options.Log.WithError(err).Debug("no shares from the coordinator")
		}
		if !s.pauseExchange(ctx) {
			s.leave(ctx)
			return
		}
	}
}

// exchange makes one report and applies the answer.
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
		s.lose("")
		return err
	}
	if reply.Answer == nil {
		s.lose(reply.Coordinator)
		return errors.Wrapf(errNoCoordinator, "%s isn't the coordinator", address)
	}
	s.apply(*reply.Answer)
	if told := reply.Answer.Confirmation; told != nil && s.options.Confirmations != nil {
		s.options.Confirmations.Take(askedAt, *told)
	}
	return nil
}

// lose notes that a report got no answer, and who may answer the next one, if that is known.
func (s *Shares) lose(coordinator string) {
	s.setKnown(coordinator)
	s.local.Lock()
	defer s.local.Unlock()
	s.local.admission.Lost()
}

func (s *Shares) makeReport() exchange {
	s.local.Lock()
	defer s.local.Unlock()
	now := s.now()
	return exchange{
		Node:  s.options.Node,
		Quota: s.local.admission.Demand(now),
		Retry: s.local.budget.Demand(now),
	}
}

func (s *Shares) apply(result answer) {
	s.heard.Store(true)
	s.local.Lock()
	defer s.local.Unlock()
	now := s.now()
	s.local.admission.Apply(now, result.Quota)
	s.local.budget.Apply(now, result.Retry)
	s.wakeIf(s.local.admission.Urgent())
	if s.local.admission.Unkept() != nil {
		s.wakeFloors()
	}
}

// pauseExchange waits until the next report is due, and tells whether the context still stands.
func (s *Shares) pauseExchange(ctx context.Context) bool {
	if !sleep(ctx, urgentGap) {
		return false
	}
	timer := time.NewTimer(s.exchangeEvery() - urgentGap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.wake:
		return true
	case <-timer.C:
		return true
	}
}

func (s *Shares) exchangeEvery() time.Duration {
	s.local.Lock()
	defer s.local.Unlock()
	now := s.now()
	if s.local.admission.Busy(now) || s.local.budget.Busy(now) {
		return busyEvery
	}
	return idleEvery
}

// coordinator returns the address of the coordinator, which it asks the grantors for if it isn't known.
func (s *Shares) coordinator(ctx context.Context) (string, error) {
	if own := s.role.holder(s.now(), s.options.Address); own == s.options.Address {
		return own, nil
	}
	if known := s.getKnown(); known != "" {
		return known, nil
	}
	voters, _ := s.options.Grantors()
	for _, index := range rand.Perm(len(voters)) {
		if address := s.lookup(ctx, voters[index]); address != "" {
			s.setKnown(address)
			return address, nil
		}
	}
	return "", errNoCoordinator
}

func (s *Shares) lookup(ctx context.Context, grantor string) string {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	reply, err := s.call(ctx, grantor, request{Lookup: true})
	if err != nil {
		return ""
	}
	return reply.Coordinator
}

// leave tells the coordinator that this router admits nothing any more.
func (s *Shares) leave(ctx context.Context) {
	address := s.getKnown()
	if address == "" || address == s.options.Address {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	report := s.makeReport()
	report.Quota.Leaving = true
	_, err := s.call(ctx, address, request{Exchange: &report})
	if err != nil {
		s.options.Log.WithError(err).Debug("coordinator not told of the end")
	}
}

func (s *Shares) getKnown() string {
	s.knownMutex.Lock()
	defer s.knownMutex.Unlock()
	return s.known
}

func (s *Shares) setKnown(address string) {
	s.knownMutex.Lock()
	defer s.knownMutex.Unlock()
	s.known = address
}
