package control

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

type linearInput struct {
	op      string // "edit", "undo", "read"
	node    string
	weight  int
	against uint64
	id      string
	undoOf  uint64
}

type linearOutput struct {
	accepted bool
	revision uint64 // of the record that was made, or that the conflict names
	weight   int    // result of a read
}

// weightState is the state of one node's weight, as lists of "revision=text", because porcupine needs comparable states.
type weightState struct {
	changes string // ids of all changes, by revision
	stack   string // layered weights by revision, the one in force last
	rev     uint64 // of the latest change
}

// revisionOf returns the revision of a text in a list; 0 if it is not there.
func revisionOf(list, text string) (at uint64) {
	for f := range strings.FieldsSeq(list) {
		if rev, t, _ := strings.Cut(f, "="); t == text {
			at, _ = strconv.ParseUint(rev, 10, 64)
		}
	}
	return at
}

// lastEntry returns the last entry of a list, and the list without it.
func lastEntry(list string) (rev uint64, text, rest string) {
	rest, last := list[:max(0, strings.LastIndex(list, " "))], list[strings.LastIndex(list, " ")+1:]
	at, text, _ := strings.Cut(last, "=")
	rev, _ = strconv.ParseUint(at, 10, 64)
	return rev, text, rest
}

// linearModel is checked for each node alone. Other nodes use revisions too, so that revisions of one node increase but
// need not be consecutive.
var linearModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) (out [][]porcupine.Operation) {
		at := map[string]int{}
		for _, o := range history {
			node := o.Input.(linearInput).node
			if _, ok := at[node]; !ok {
				at[node], out = len(out), append(out, nil)
			}
			out[at[node]] = append(out[at[node]], o)
		}
		return out
	},
	Init: func() any { return weightState{} },
	Step: func(state, input, output any) (bool, any) {
		w, in, out := state.(weightState), input.(linearInput), output.(linearOutput)
		layer, weight, rest := lastEntry(w.stack)
		committed := revisionOf(w.changes, in.id)
		switch {
		case in.op == "read":
			return weight == "" && out.weight == 0 || weight == strconv.Itoa(out.weight), w
		case committed > 0: // sent again: made once, with the same answer
			return out.accepted && out.revision == committed, w
		case in.op == "undo" && layer != in.undoOf, in.op == "edit" && in.against > 0 && w.rev > in.against:
			return !out.accepted && out.revision == w.rev, w
		case !out.accepted || out.revision <= w.rev:
			return false, w
		}
		w.rev, w.changes = out.revision, w.changes+fmt.Sprintf(" %d=%s", out.revision, in.id)
		if w.stack += fmt.Sprintf(" %d=%d", out.revision, in.weight); in.op == "undo" {
			w.stack = rest
		}
		return true, w
	},
}

// Concurrent writers share one box behind a mutex, as in the control service: validation, write and commit are one step.
// Their answers must be linearizable, with conflicts, ids sent twice, undos, and restarts between write and commit.
func TestConcurrentWritersAreLinearizable(t *testing.T) {
	b := newBox()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clock int64
	tick := func() int64 { clock++; return clock }
	do := func(client int, in linearInput, rng *rand.Rand) linearOutput {
		mu.Lock()
		call := tick()
		mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		var out linearOutput
		var r Record
		var err error
		switch in.op {
		case "read":
			if w, ok := b.Want().Find(newKey(keyTypeWeight, in.node)); ok {
				out.weight = int(w.What.(Weight).Weight)
			}
		case "undo":
			r, err = b.Undo(b.now, Back{ID: in.id, By: "ann", Revision: in.undoOf})
		default:
			r, err = b.Propose(b.now, Edit{ID: in.id, By: "ann", Against: in.against, What: Weight{in.node, float64(in.weight)}})
		}
		if conflict, ok := err.(*Conflict); ok {
			out.revision = conflict.Theirs.Revision
		} else if err != nil {
			t.Errorf("%+v: %v", in, err)
		} else if in.op != "read" {
			out.accepted, out.revision = true, r.Revision
			if b.write(r); rng.IntN(10) == 0 {
				err = b.restart()
			} else {
				_, err = b.Commit(r)
			}
			if err != nil {
				t.Error(err)
			}
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: tick()})
		return out
	}
	var wg sync.WaitGroup
	var conflicts, resent, undone [8]int
	for client := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(client)))
			var seen uint64
			for i := range 60 {
				in := linearInput{op: "edit", node: fmt.Sprint("n", rng.IntN(6)), weight: 1 + rng.IntN(1000), id: fmt.Sprint(client, "-", i)}
				switch rng.IntN(4) {
				case 0:
					in.op, in.id = "read", ""
				case 1:
					in.against = seen
				}
				out := do(client, in, rng)
				if in.op == "read" {
					continue
				}
				if !out.accepted {
					conflicts[client]++
					continue
				}
				seen = out.revision
				switch rng.IntN(4) {
				case 0:
					resent[client]++
					do(client, in, rng)
				case 1:
					in.op, in.undoOf, in.id = "undo", out.revision, in.id+"u"
					if do(client, in, rng).accepted {
						undone[client]++
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d calls, revision %d; per client: refused %v, sent again %v, undone %v", len(history), b.Revision(), conflicts, resent, undone)
	if res := porcupine.CheckOperationsTimeout(linearModel, history, time.Minute); res != porcupine.Ok {
		t.Errorf("the answers are not linearizable: %s", res)
	}
	// The checker must reject a wrong answer.
	last := porcupine.Operation{Input: linearInput{op: "read", node: "n0"}, Output: linearOutput{weight: -1}, Call: tick(), Return: tick()}
	if res := porcupine.CheckOperationsTimeout(linearModel, append(history, last), time.Minute); res != porcupine.Illegal {
		t.Errorf("a read of a weight that nobody set: checker returned %s", res)
	}
}
