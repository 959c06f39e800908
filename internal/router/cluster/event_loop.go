package cluster

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
)

const (
	flushDelay       = 4 * time.Millisecond  // how long records are batched before they are sent
	minFlushInterval = 20 * time.Millisecond // shortest time between two batches
	minViewInterval  = 8 * time.Millisecond  // shortest time between two views, since many members may change at once
	expiryInterval   = 10 * time.Second
)

// eventLoop is the state that only the goroutine of runEventLoop accesses, and New before Start.
type eventLoop struct {
	cluster        *Cluster
	detector       *membership.Detector
	outgoing       map[relayKey]*group // records to relay with the next flush
	flushTimer     *time.Timer
	flushScheduled bool
	lastFlush      time.Time // when the last batch was sent
	viewTimer      *time.Timer
	lastView       time.Time
	relayed        map[softstate.ID]softstate.Version // newest version that this router has sent along the publisher's relay tree
	schedule       exchangeSchedule
	lastExpiry     time.Time
}

func newEventLoop(c *Cluster, self membership.Member, now time.Time) eventLoop {
	return eventLoop{
		cluster:    c,
		detector:   membership.NewDetector(self, now),
		outgoing:   make(map[relayKey]*group),
		relayed:    make(map[softstate.ID]softstate.Version),
		schedule:   newExchangeSchedule(),
		lastExpiry: now,
	}
}

// runEventLoop processes events and timers until the cluster stops.
func (c *Cluster) runEventLoop() {
	defer c.goroutines.Done()
	defer close(c.stopped)
	l := &c.loop
	l.flushTimer = time.NewTimer(time.Hour)
	defer l.flushTimer.Stop()
	l.viewTimer = time.NewTimer(time.Hour)
	defer l.viewTimer.Stop()
	// The first delay is random, so that members that start together don't send their heartbeats together.
	heartbeatTimer := time.NewTimer(rand.N(membership.HeartbeatEvery))
	defer heartbeatTimer.Stop()
	l.detector.StartTicking(time.Now())
	l.publishEntry(l.detector.Self())
	for c.ctx.Err() == nil {
		select {
		case e := <-c.events:
			e.apply(l)
		case <-l.flushTimer.C:
			l.flush()
		case <-l.viewTimer.C:
		case <-heartbeatTimer.C:
			heartbeatTimer.Reset(membership.HeartbeatEvery)
			l.tick(time.Now())
		case <-c.ctx.Done():
		}
		l.refreshView()
	}
}

// refreshView publishes a new view if the members have changed, at most once per minViewInterval.
func (l *eventLoop) refreshView() {
	published := l.cluster.view.Load() == l.detector.View()
	if published && !l.detector.ViewOutdated() {
		return
	}
	now := time.Now()
	if age := now.Sub(l.lastView); age < minViewInterval {
		l.viewTimer.Reset(minViewInterval - age)
		return
	}
	l.lastView = now
	l.detector.Refresh(now)
	view := l.detector.View()
	l.cluster.view.Store(view)
	l.cluster.dispatcher.setView(view)
}

// tick runs the periodic work, once per heartbeat interval.
func (l *eventLoop) tick(now time.Time) {
	l.perform(l.detector.Tick(now))
	l.sendHeartbeats()
	if !l.detector.ObservationsUnreliable(now) {
		l.startScheduledExchanges(now)
	}
	if now.Sub(l.lastExpiry) >= expiryInterval {
		l.expire(now)
	}
}

// perform carries out the actions that the failure detector requested.
func (l *eventLoop) perform(actions membership.Actions) {
	for _, entry := range actions.Publish {
		l.publishEntry(entry)
	}
	for _, member := range actions.Probe {
		l.cluster.probe(member)
	}
	for _, entry := range actions.Remove {
		l.publishRemoval(entry)
	}
}

func (l *eventLoop) sendHeartbeats() {
	self := l.detector.Self().Member
	message := l.cluster.heartbeat()
	message.Incarnation = self.Incarnation // the view may be slightly out of date
	body := encode(&message)
	for _, monitor := range l.detector.View().Successors(self.Node, membership.MonitorCount) {
		l.cluster.messenger.Send(monitor.Address, kindHeartbeat, body)
	}
}

func (l *eventLoop) expire(now time.Time) {
	l.lastExpiry = now
	l.cluster.tableMu.Lock()
	defer l.cluster.tableMu.Unlock()
	l.cluster.table.Expire(now)
	for id := range l.relayed {
		if _, held := l.cluster.table.Get(id.Kind, id.Key); !held {
			delete(l.relayed, id)
		}
	}
}
