package reducer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/fleet/view"
)

// nodesDecider is a decider that records the number of balancers it was last told.
type nodesDecider struct{ nodes *int }

func (c nodesDecider) Handle(_ time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	if e, ok := ev.(*brain.Retuned); ok {
		*c.nodes = e.Settings.Nodes
	}
	return actions
}

// The decider divides by the live balancers once the view has settled, and by the number in the settings again after the
// process was suspended, before the event that woke it. New settings bound the number. Without a view peer events have
// no effect.
func TestDeciderDividesByLiveBalancers(t *testing.T) {
	cfg := settings()
	cfg.Nodes = 20
	nodes := 0
	r, err := NewWithDeciders(cfg, 8, defaultLayout(), func(string) brain.Decider { return nodesDecider{&nodes} })
	if err != nil {
		t.Fatal(err)
	}
	now := 24 * time.Hour
	var facts []view.Fact
	do := func(ev Event) {
		for _, e := range r.Handle(now, ev, nil) {
			if s, ok := e.(AnnounceFact); ok {
				facts = append(facts, s.Fact)
			}
		}
	}
	do(PeerEvent{Event: view.Event{Kind: view.Joined, Life: view.Life{ID: "x", Address: "x"}}})
	if nodes != 0 || r.fleetFigures() != nil {
		t.Fatalf("without a view the decider got Nodes %d", nodes)
	}
	r.UsePeers(view.New(view.Life{ID: "me", Address: "here"}, 20, view.Bounds{Kinds: FactLimits()}, now))
	for n := range 9 {
		l := view.Life{ID: fmt.Sprint(n), Name: fmt.Sprint("b", n), Address: fmt.Sprint("at ", n)}
		do(PeerEvent{Event: view.Event{Kind: view.Joined, Life: l}})
		do(PeerEvent{Event: view.Event{Kind: view.Told, Fact: view.Fact{Owner: l.ID, Kind: ListSizeFact, Revision: 1, Value: json.RawMessage(fmt.Sprint(n % 2))}}})
	}
	advance := func(d time.Duration) {
		for until := now + d; now < until; {
			now += 500 * time.Millisecond
			do(PeerEvent{Event: view.Event{Kind: view.Tick}})
		}
	}
	if advance(4 * time.Second); nodes != 0 {
		t.Errorf("before the view settled the decider got Nodes %d", nodes)
	}
	if advance(2 * time.Second); nodes != 10 || r.cfg.Nodes != 10 {
		t.Errorf("decider got Nodes %d, want 10", nodes)
	}
	// Their lists are empty, like ours.
	if f := r.fleetFigures(); f.Live != 9 || f.SharingBalancers != 10 || !f.Believed || f.SameListSize != 5 {
		t.Errorf("%+v", f)
	}
	if len(facts) != 1 || string(facts[0].Value) != "0" {
		t.Errorf("announced list size: %+v", facts)
	}
	advance(25 * time.Second)
	if len(facts) != 2 || facts[1].Revision <= facts[0].Revision {
		t.Errorf("announced again: %+v", facts)
	}
	next := settings()
	next.Nodes = 2
	do(Reloaded{Settings: &next})
	if nodes != 8 || r.cfg.Nodes != 8 { // four times the number in the new settings
		t.Errorf("with new settings the decider got Nodes %d", nodes)
	}
	now += 20 * time.Second
	do(Arrived{Call: &Call{ID: 1, Deadline: now + time.Second}})
	if nodes != 2 {
		t.Errorf("after a pause the decider got Nodes %d", nodes)
	}
}
