package brain

import (
	"fmt"
	"time"
)

const ms = time.Millisecond

// testSettings is a small site with one class of each kind.
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

func members(count int) []Member {
	list := make([]Member, count)
	for i := range list {
		list[i] = Member{Server: fmt.Sprintf("s%02d", i), Zone: "z1", Kind: "k", Weight: 1}
	}
	return list
}

// bed drives one node by hand.
type bed struct {
	node *Node
	now  time.Duration
	seq  int
}

func newBed(cfg Settings, list []Member) *bed {
	node, err := New(cfg, 7)
	if err != nil {
		panic(err)
	}
	b := &bed{node: node, now: time.Minute}
	b.do(&FleetUpdate{Kind: UpdateRestored, Members: list})
	return b
}

func (b *bed) do(ev Event) []Action { return b.node.Handle(b.now, ev, nil) }

// ask hands in a request of a class and returns its id and the actions.
func (b *bed) ask(class int) (string, []Action) {
	b.seq++
	id := fmt.Sprintf("r%d", b.seq)
	return id, b.do(&Request{ID: id, Class: class, Tenant: -1, Deadline: b.now + b.node.classes[class].Deadline})
}

func (b *bed) end(id string, attempt int, server string, o Outcome, took time.Duration, report ...float64) []Action {
	return b.do(&AttemptEnded{ID: id, Attempt: attempt, Server: server, Outcome: o, Took: took, Final: o == OK,
		Report: report})
}

func only(acts []Action, kind ActionKind) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}
