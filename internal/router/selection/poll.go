package selection

import (
	"context"
	"time"

	"pewterrudder/internal/router/protocol"
)

const (
	ticksPerInterval       = 10
	activeIntervals        = 3 // refresh intervals for which a backend is polled after its last request
	answerFreshIntervals   = 3 // refresh intervals for which a load from an answer stays fresh
	assignedFreshIntervals = 4 // refresh intervals after which a router polls an instance that is assigned to another router
	maxPollBackoff         = 60 * time.Second
	pollTimeout            = 800 * time.Millisecond
	// maxReportsPerSecond limits the reports that each router receives where one router polls an instance for all:
	// their cost to a router grows with the number of instances, while its traffic does not.
	maxReportsPerSecond = 300
)

// refreshInterval returns D, or a longer interval if the routers share the polling of so many engines that their
// reports would exceed maxReportsPerSecond.
func (s *Selector) refreshInterval() time.Duration {
	if s.options.Assigned == nil {
		return s.options.RefreshInterval
	}
	return max(s.options.RefreshInterval, time.Duration(s.engineInstances)*time.Second/maxReportsPerSecond)
}

// pollState is the schedule of an instance's polls.
type pollState struct {
	inProgress bool
	nextAt     time.Time // zero: no poll scheduled yet
	failures   int       // in a row
}

// Run polls instances for load reports until the context ends. Only engines give reports. Instances that are assigned
// to this router are polled whether or not it sends them requests. Others are polled only if their backend got requests
// from this router recently, and only while no fresh load is known from answers or from other routers.
func (s *Selector) Run(ctx context.Context) {
	if s.options.Poll == nil {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(s.options.RefreshInterval / ticksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.pollDue(ctx)
		}
	}
}

func (s *Selector) pollDue(ctx context.Context) {
	for _, t := range s.claimDue(s.options.Clock()) {
		go s.poll(ctx, t)
	}
}

// claimDue returns the instances that are due for a poll and marks them as being polled.
func (s *Selector) claimDue(now time.Time) (due []*target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, b := range s.backends {
		if !b.config.HasEngine {
			continue
		}
		isActive := since(now, b.lastRequestAt) <= activeIntervals*s.refreshInterval()
		for _, t := range b.targets {
			if (isActive || s.isAssigned(t)) && s.isDue(t, now) {
				t.polling.inProgress = true
				due = append(due, t)
			}
		}
	}
	return due
}

func (s *Selector) isDue(t *target, now time.Time) bool {
	schedule := &t.polling
	if schedule.inProgress || !t.instance.Ready() || now.Before(schedule.nextAt) {
		return false
	}
	if t.load.isKnown && !s.isAssigned(t) && since(now, t.load.updatedAt) < s.maxLoadAge(t) {
		return false
	}
	if schedule.nextAt.IsZero() {
		schedule.nextAt = s.firstPollAt(t, now)
		return false
	}
	return true
}

// firstPollAt returns a random time within the interval, to spread the polls. Instances that are assigned to this
// router are polled together, so that their reports go out in one message.
func (s *Selector) firstPollAt(t *target, now time.Time) time.Time {
	if s.isAssigned(t) {
		return s.nextPollRound(now)
	}
	return now.Add(time.Duration(s.random() % uint64(s.options.RefreshInterval)))
}

// nextPollRound returns the time at which the assigned instances are polled next.
func (s *Selector) nextPollRound(now time.Time) time.Time {
	interval := s.refreshInterval()
	passed := now.Sub(s.created) / interval
	return s.created.Add((passed + 1) * interval)
}

// isAssigned reports whether this router polls the instance for all routers.
func (s *Selector) isAssigned(t *target) bool {
	return s.options.Assigned != nil && s.options.Assigned(t.instance)
}

// maxLoadAge returns the age from which on an instance's load is polled again. Where answers carry the load, traffic
// refreshes it, and only instances that have been idle for a while need a poll.
func (s *Selector) maxLoadAge(t *target) time.Duration {
	if s.options.Assigned != nil {
		return assignedFreshIntervals * s.refreshInterval()
	}
	if t.load.isFromAnswers {
		return answerFreshIntervals * s.options.RefreshInterval
	}
	return s.options.RefreshInterval
}

func (s *Selector) poll(ctx context.Context, t *target) {
	s.mutex.Lock()
	instance := t.instance
	s.mutex.Unlock()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := s.options.Poll(pollCtx, instance)
	if err == nil && s.options.BroadcastReport != nil && s.options.Assigned(instance) {
		s.options.BroadcastReport(instance.ID, report)
	}
	now := s.options.Clock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	schedule := &t.polling
	schedule.inProgress = false
	if err != nil {
		schedule.failures++
		backoff := s.options.RefreshInterval << min(schedule.failures, maxDoublings+1)
		schedule.nextAt = now.Add(min(backoff, maxPollBackoff))
		return
	}
	schedule.failures = 0
	schedule.nextAt = now.Add(s.options.RefreshInterval)
	if s.isAssigned(t) {
		schedule.nextAt = s.nextPollRound(now)
	}
	s.recordReport(t, now, report)
}

// RecordRemoteReport records a report that another router has polled. It ignores unknown instances.
func (s *Selector) RecordRemoteReport(id string, report *protocol.Report) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.byID[id]
	if t == nil {
		return
	}
	now := s.options.Clock()
	t.polling.failures = 0
	s.recordReport(t, now, report)
}

// recordReport applies a report to an instance. The caller holds the mutex.
func (s *Selector) recordReport(t *target, now time.Time, report *protocol.Report) {
	t.health.fullUntil = time.Time{}
	t.applyReport(now, report)
	t.resizeCache(s.routers())
}
