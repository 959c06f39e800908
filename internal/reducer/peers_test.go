package reducer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/fleet/view"
)

// crowded is a module that remembers by how many balancers it was last told to divide.
type nodesDecider struct{ nodes *int }

func (c nodesDecider) Handle(_ time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	if e, ok := ev.(*brain.Retuned); ok {
		*c.nodes = e.Settings.Nodes
	}
	return actions
}

// The module divides by those who live, once the view has settled; by the settings again when the process stood still, before the
// event that it wakes up to; and new settings bound what is believed. Without a view no word changes anything.
func TestTheModuleDividesByThoseWhoLive(t *testing.T) {
	cfg := settings()
	cfg.Nodes = 20
	told := 0
	r, err := NewPools(cfg, 8, defaultLayout(), func(string) brain.Decider { return nodesDecider{&told} })
	if err != nil {
		t.Fatal(err)
	}
	now := 24 * time.Hour
	var said []view.Fact
	do := func(ev Event) {
		for _, e := range r.Handle(now, ev, nil) {
			if s, ok := e.(Say); ok {
				said = append(said, s.Fact)
			}
		}
	}
	do(Word{Event: view.Event{Kind: view.Joined, Life: view.Life{ID: "x", Address: "x"}}})
	if told != 0 || r.fleetFigures() != nil {
		t.Fatalf("without a view the module is told of %d", told)
	}
	r.UsePeers(view.New(view.Life{ID: "me", Address: "here"}, 20, view.Bounds{Kinds: Kinds()}, now))
	for n := range 9 {
		l := view.Life{ID: fmt.Sprint(n), Name: fmt.Sprint("b", n), Address: fmt.Sprint("at ", n)}
		do(Word{Event: view.Event{Kind: view.Joined, Life: l}})
		do(Word{Event: view.Event{Kind: view.Told, Fact: view.Fact{Owner: l.ID, Kind: ListSizeFact, Revision: 1, Value: json.RawMessage(fmt.Sprint(n % 2))}}})
	}
	pass := func(d time.Duration) {
		for until := now + d; now < until; {
			now += 500 * time.Millisecond
			do(Word{Event: view.Event{Kind: view.Tick}})
		}
	}
	if pass(4 * time.Second); told != 0 {
		t.Errorf("before it has settled the module is told of %d", told)
	}
	if pass(2 * time.Second); told != 10 || r.cfg.Nodes != 10 {
		t.Errorf("the module is told of %d", told)
	}
	if f := r.fleetFigures(); f.Live != 9 || f.Crowd != 10 || !f.Believed || f.Agree != 5 { // of lists that are empty, as ours
		t.Errorf("%+v", f)
	}
	if len(said) != 1 || string(said[0].Value) != "0" {
		t.Errorf("of our list it is said %+v", said)
	}
	pass(25 * time.Second)
	if len(said) != 2 || said[1].Revision <= said[0].Revision {
		t.Errorf("later %+v", said)
	}
	next := settings()
	next.Nodes = 2
	do(Reloaded{Settings: &next})
	if told != 8 || r.cfg.Nodes != 8 { // four times what is written now
		t.Errorf("with other settings the module is told of %d", told)
	}
	now += 20 * time.Second
	do(Arrived{Call: &Call{ID: 1, Deadline: now + time.Second}})
	if told != 2 {
		t.Errorf("after a pause the module is told of %d", told)
	}
}
