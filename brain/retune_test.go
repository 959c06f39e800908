package brain

import (
	"slices"
	"testing"
	"time"
)

// While its body arrives, an upload counts neither as load nor as a stall, however long that takes, and gets no second
// copy. After its last byte it is like any other request: it counts as load and is given up in time.
func TestUploadCountsAsLoadFromItsLastByte(t *testing.T) {
	b := newTestbed(testSettings(), members(2))
	acts := b.handle(&Request{ID: "u", Class: put, Tenant: -1, Deadline: b.now + 2*time.Second, Upload: true})
	if len(actionsOf(acts, Send)) != 1 {
		t.Fatalf("%+v", acts)
	}
	s := b.node.byID[actionsOf(acts, Send)[0].Server]
	for range 300 {
		b.now += 100 * ms
		if acts := b.handle(&TimerFired{Cookie: cookieOverdue}); len(actionsOf(acts, Send))+len(actionsOf(acts, Cancel))+len(actionsOf(acts, Fail)) != 0 {
			t.Fatalf("after %v: %+v", b.now, acts)
		}
	}
	if s.inFlight != 0 || s.ownLoad != 0 || b.node.inFlight != 0 || b.node.stalled(&s.health[put]) {
		t.Errorf("in flight %d, load %v, in flight of the node %d", s.inFlight, s.ownLoad, b.node.inFlight)
	}
	b.handle(&Uploaded{ID: "u", Deadline: b.now + 2*time.Second})
	if s.inFlight != 1 || s.ownLoad <= 0 || b.node.inFlight != 1 {
		t.Errorf("in flight %d, load %v, in flight of the node %d, after the last byte", s.inFlight, s.ownLoad, b.node.inFlight)
	}
	ended := false
	for until := b.now + 3*time.Second; b.now < until && !ended; b.now += 10 * ms {
		acts := b.handle(&TimerFired{Cookie: cookieOverdue})
		ended = len(actionsOf(acts, Fail))+len(actionsOf(acts, Refuse)) > 0
	}
	if !ended {
		t.Error("never given up")
	}
	b.handle(&AttemptEnded{ID: "u", Server: s.Server, Outcome: Cancelled})
	if s.inFlight != 0 || s.ownLoad != 0 || b.node.inFlight != 0 || len(b.node.requests) != 0 {
		t.Errorf("left: in flight %d, load %v, in flight of the node %d, %d requests", s.inFlight, s.ownLoad, b.node.inFlight, len(b.node.requests))
	}
}

// Across a change of settings learned state follows the names of the classes, whatever their index. A class that is
// gone neither keeps a server usable nor sets a limit. Requests in flight end as usual, and the counts return to zero.
func TestRetunedKeepsLearnedState(t *testing.T) {
	cfg := testSettings()
	b := newTestbed(cfg, members(4))
	for range 40 {
		id, acts := b.request(read)
		b.now += 5 * ms
		b.endAttempt(id, 0, acts[0].Server, OK, 5*ms)
	}
	mean := b.node.classes[read].mean
	held, acts := b.request(read)
	s := b.node.byID[acts[0].Server]
	bad := b.node.byID["s03"]
	if bad == s {
		bad = b.node.byID["s02"]
	}
	bad.health[read].ejectedUntil, bad.health[read].ejections = b.now+time.Hour, 3

	next := cfg
	next.Classes = slices.Clone(cfg.Classes)
	next.Classes[read].Gone = true
	strict := cfg.Classes[read]
	strict.Repeat = Unsafe
	next.Classes = append(next.Classes, strict)
	next.MaxAttempts = 1
	b.handle(&Retuned{Settings: next})
	strictIndex := len(next.Classes) - 1
	if got := b.node.classes[strictIndex].mean; got != mean || b.node.classes[read].mean != mean {
		t.Errorf("the mean changed from %v to %v", mean, got)
	}
	if h := bad.health[strictIndex]; h.ejectedUntil <= b.now || h.ejections != 3 || bad.health[read].ejections != 3 {
		t.Errorf("learned state of a server: %+v", h)
	}
	if s.health[read].inFlight != 1 || s.health[strictIndex].inFlight != 0 {
		t.Errorf("in flight %d and %d", s.health[read].inFlight, s.health[strictIndex].inFlight)
	}
	for i := range bad.health {
		if i != read {
			bad.health[i].ejectedUntil = b.now + time.Hour
		}
	}
	bad.health[read].ejectedUntil = 0
	if b.node.usable(bad) {
		t.Error("a class that is gone keeps a server usable")
	}
	b.endAttempt(held, 0, s.Server, OK, 5*ms)
	if s.inFlight != 0 || s.health[read].inFlight != 0 || b.node.inFlight != 0 {
		t.Errorf("left: %d, %d, %d", s.inFlight, s.health[read].inFlight, b.node.inFlight)
	}
	id, acts := b.request(strictIndex)
	if len(actionsOf(acts, Send)) != 1 {
		t.Fatalf("%+v", acts)
	}
	if acts = b.endAttempt(id, 0, actionsOf(acts, Send)[0].Server, ConnectFailed, ms); len(actionsOf(acts, Send)) != 0 {
		t.Error("a second attempt though MaxAttempts is 1")
	}
}
