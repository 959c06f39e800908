package brain

import (
	"fmt"
	"time"
)

const ms = time.Millisecond

// testSettings configures a single node with one class for each value of Repeat.
func testSettings() Settings {
	return Settings{
		Nodes: 1, Zone: "z1", MaxAttempts: 4, SecondCopies: true, CanCancel: true, CanProbe: true,
		Reports: ReportsInline, Columns: []Column{ColInFlight}, Weights: WeightNominal,
		Classes: []Class{
			{Name: "read", Repeat: Safe, Aim: 500 * ms, Deadline: 1000 * ms, Worth: 1, Late: 0.5},
			{Name: "put", Repeat: Keyed, Scope: ScopeZone, Window: 800 * ms, Aim: 500 * ms, Deadline: 2000 * ms, Worth: 2},
			{Name: "pay", Repeat: Unsafe, Window: 800 * ms, Aim: 500 * ms, Deadline: 2000 * ms, Worth: 5},
		},
		Rules: Rules{AnswerGrace: 20 * ms, DrainGrace: 500 * ms, AskEvery: 10 * time.Second,
			ColdFrom: 0.3, ColdFor: 8 * time.Second, OverloadFactor: 3, FallFor: time.Second},
	}
}

const (
	read = iota
	put
	pay
)

// members returns count equal servers s00, s01 and so on, all in zone z1.
func members(count int) []Member {
	list := make([]Member, count)
	for i := range list {
		list[i] = Member{Server: fmt.Sprintf("s%02d", i), Zone: "z1", Kind: "k", Weight: 1}
	}
	return list
}

// testbed drives one node with a manual clock.
type testbed struct {
	node *Node
	now  time.Duration
	seq  int
}

// newTestbed creates a node with the given settings and servers, at a clock of one minute.
func newTestbed(cfg Settings, list []Member) *testbed {
	node, err := New(cfg, 7)
	if err != nil {
		panic(err)
	}
	b := &testbed{node: node, now: time.Minute}
	b.handle(&FleetUpdate{Kind: UpdateRestored, Members: list})
	return b
}

// handle passes an event to the node at the current time.
func (b *testbed) handle(ev Event) []Action { return b.node.Handle(b.now, ev, nil) }

// request sends the node a request of a class without a tenant, and returns its id and the actions.
func (b *testbed) request(class int) (string, []Action) {
	b.seq++
	id := fmt.Sprintf("r%d", b.seq)
	return id, b.handle(&Request{ID: id, Class: class, Tenant: -1, Deadline: b.now + b.node.classes[class].Deadline})
}

// endAttempt reports the end of an attempt; OK finishes the request.
func (b *testbed) endAttempt(id string, attempt int, server string, o Outcome, took time.Duration, report ...float64) []Action {
	return b.handle(&AttemptEnded{ID: id, Attempt: attempt, Server: server, Outcome: o, Took: took, Final: o == OK,
		Report: report})
}

// actionsOf returns the actions of one kind.
func actionsOf(acts []Action, kind ActionKind) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}
