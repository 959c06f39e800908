package brain

import (
	"math/rand/v2"
	"slices"
	"time"

	"pewterrudder/internal/burst"
)

// The node: constructor, settings changes, and the dispatch of events and timers.

var _ Decider = (*Node)(nil)

// New creates a node. The error names the invalid setting. Equal seeds and events give equal actions.
func New(cfg Settings, seed uint64) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	detector, err := burst.New(burst.Config{Samples: burstSamples, MinSpan: burstMinSpan, Lags: burstLags,
		TripLevel: burstTripLevel, Hold: burstHold})
	if err != nil {
		return nil, err
	}
	n := &Node{detector: detector, rng: rand.New(rand.NewPCG(seed, 0x6d616c6c6f77)),
		byID: map[string]*server{}, maxWeightByKind: map[string]float64{}, requests: map[string]*request{}}
	n.applySettings(cfg)
	for i := range n.classes {
		n.meanTime += n.classes[i].mean / float64(len(n.classes))
	}
	return n, nil
}

// applySettings replaces the settings. Learned state, of a class and of each server for it, moves with the
// class's name. Requests in flight refer to classes by index: an index with the same name keeps its state,
// and another class may take an index only when no request refers to it.
func (n *Node) applySettings(cfg Settings) {
	old := n.classes
	n.cfg, n.classes, n.hasSafeClass = cfg, nil, false
	oldIndex := make([]int, len(cfg.Classes))
	for i, c := range cfg.Classes {
		sameName := func(k classState) bool { return k.Name == c.Name }
		if oldIndex[i] = i; i >= len(old) || !sameName(old[i]) {
			oldIndex[i] = slices.IndexFunc(old, sameName)
		}
		k := classState{mean: c.Aim.Seconds() / 3, dev: c.Aim.Seconds() / 6}
		if oldIndex[i] >= 0 {
			k = old[oldIndex[i]]
		}
		k.Class = c
		n.classes = append(n.classes, k)
		n.hasSafeClass = n.hasSafeClass || c.Repeat == Safe && !c.Gone
	}
	for _, s := range n.byID {
		moved := make([]health, len(oldIndex))
		for i, j := range oldIndex {
			if j >= 0 {
				moved[i] = s.health[j]
			}
			if j != i {
				moved[i].inFlight = 0
			}
		}
		s.health = moved
	}
}

// Handle processes one event at time now and appends the resulting actions to the slice.
func (n *Node) Handle(now time.Duration, ev Event, actions []Action) []Action {
	n.now, n.actions = now, actions
	if !n.started {
		n.started, n.rankedAt, n.rotateAt = true, now-rankInterval, now+rotateInterval
	}
	switch e := ev.(type) {
	case *Request:
		n.onRequest(e)
	case *AttemptEnded:
		n.onAttemptEnded(e)
	case *FleetUpdate:
		n.onFleetUpdate(e)
	case *ProbeEnded:
		n.onProbeEnded(e)
	case *TimerFired:
		n.onTimer(e.Cookie)
	case *Retuned:
		n.applySettings(e.Settings)
		n.rerank()
	case *Uploaded:
		n.onUploaded(e)
	case *ClientGone:
		if r := n.requests[e.ID]; r != nil {
			n.finish(r)
		}
	case *StreamBegun:
		if r := n.requests[e.ID]; r != nil && !r.done && !r.streamed && e.Attempt < len(r.attempts) &&
			!r.attempts[e.Attempt].ended {
			a := &r.attempts[e.Attempt]
			n.cancelOthers(r, a) // the client already receives this answer
			n.endWork(a, r)      // at its own pace: no longer load, nor a sign of a stall
			r.streamed, a.overdue, a.server.health[r.Class].waitingSince = true, false, now
			n.reposition(a.server)
		}
	}
	actions, n.actions = n.actions, nil
	return actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

const cookieAsk, cookieQueue, cookieOverdue = 1, 2, 3

// arm sets a timer unless it is already set.
func (n *Node) arm(set *bool, after time.Duration, cookie uint64) {
	if !*set {
		*set = true
		n.emit(Action{Kind: SetTimer, After: after, Cookie: cookie})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (n *Node) onTimer(cookie uint64) {
	switch cookie {
	case cookieAsk:
		n.askArmed = false
		n.emit(Action{Kind: Subscribe})
	case cookieQueue:
		n.queueArmed = false
		n.retryQueued()
	case cookieOverdue:
		n.overdueArmed = false
		n.checkOverdue()
	}
}
