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

type linearIn struct {
	op      string // "edit", "undo", "read"
	node    string
	weight  int
	against uint64
	id      string
	undoes  uint64
}

type linearOut struct {
	taken    bool
	revision uint64 // that was made, or that the conflict names
	weight   int    // by a read
}

// linearWord is a node's weight, as lists of "revision=text": comparable, as porcupine wants states to be.
type linearWord struct {
	made  string // every change's id, at its revision
	stack string // the weights that lie on one another, the one in force last
	rev   uint64 // of the latest change
}

// found gives the revision at which a list has a text, 0 if it has not.
func found(list, text string) (at uint64) {
	for f := range strings.FieldsSeq(list) {
		if rev, t, _ := strings.Cut(f, "="); t == text {
			at, _ = strconv.ParseUint(rev, 10, 64)
		}
	}
	return at
}

// top is the last of a list, and the list without it.
func top(list string) (rev uint64, text, rest string) {
	rest, last := list[:max(0, strings.LastIndex(list, " "))], list[strings.LastIndex(list, " ")+1:]
	at, text, _ := strings.Cut(last, "=")
	rev, _ = strconv.ParseUint(at, 10, 64)
	return rev, text, rest
}

// linearModel: each node alone, as porcupine checks it by itself, so that a revision only has to grow.
var linearModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) (out [][]porcupine.Operation) {
		at := map[string]int{}
		for _, o := range history {
			node := o.Input.(linearIn).node
			if _, ok := at[node]; !ok {
				at[node], out = len(out), append(out, nil)
			}
			out[at[node]] = append(out[at[node]], o)
		}
		return out
	},
	Init: func() any { return linearWord{} },
	Step: func(state, input, output any) (bool, any) {
		w, in, out := state.(linearWord), input.(linearIn), output.(linearOut)
		layer, weight, rest := top(w.stack)
		had := found(w.made, in.id)
		switch {
		case in.op == "read":
			return weight == "" && out.weight == 0 || weight == strconv.Itoa(out.weight), w
		case had > 0: // again: made once, with the answer of then
			return out.taken && out.revision == had, w
		case in.op == "undo" && layer != in.undoes, in.op == "edit" && in.against > 0 && w.rev > in.against:
			return !out.taken && out.revision == w.rev, w
		case !out.taken || out.revision <= w.rev:
			return false, w
		}
		w.rev, w.made = out.revision, w.made+fmt.Sprintf(" %d=%s", out.revision, in.id)
		if w.stack += fmt.Sprintf(" %d=%d", out.revision, in.weight); in.op == "undo" {
			w.stack = rest
		}
		return true, w
	},
}

// Many writers on one box behind a mutex, as a service has it: judging, the disk and the commit are one step to others.
// What each was answered has an order that fits, with conflicts, ids sent twice, undos and kills between the phases.
func TestManyWritersAreLinearizable(t *testing.T) {
	b := newBox()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clock int64
	tick := func() int64 { clock++; return clock }
	do := func(client int, in linearIn, rng *rand.Rand) linearOut {
		mu.Lock()
		call := tick()
		mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		var out linearOut
		var r Record
		var err error
		switch in.op {
		case "read":
			if w, ok := b.Want().Find(key(thingWeight, in.node)); ok {
				out.weight = int(w.What.(Weight).Weight)
			}
		case "undo":
			r, err = b.Undo(b.now, Back{ID: in.id, By: "ann", Revision: in.undoes})
		default:
			r, err = b.Propose(b.now, Edit{ID: in.id, By: "ann", Against: in.against, What: Weight{in.node, float64(in.weight)}})
		}
		if clash, ok := err.(*Conflict); ok {
			out.revision = clash.Theirs.Revision
		} else if err != nil {
			t.Errorf("%+v: %v", in, err)
		} else if in.op != "read" {
			out.taken, out.revision = true, r.Revision
			if b.write(r); rng.IntN(10) == 0 {
				err = b.start()
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
	var clashes, again, undone [8]int
	for client := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(client)))
			var seen uint64
			for i := range 60 {
				in := linearIn{op: "edit", node: fmt.Sprint("n", rng.IntN(6)), weight: 1 + rng.IntN(1000), id: fmt.Sprint(client, "-", i)}
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
				if !out.taken {
					clashes[client]++
					continue
				}
				seen = out.revision
				switch rng.IntN(4) {
				case 0:
					again[client]++
					do(client, in, rng)
				case 1:
					in.op, in.undoes, in.id = "undo", out.revision, in.id+"u"
					if do(client, in, rng).taken {
						undone[client]++
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d calls, revision %d; refused %v, sent again %v, undone %v", len(history), b.Revision(), clashes, again, undone)
	if res := porcupine.CheckOperationsTimeout(linearModel, history, time.Minute); res != porcupine.Ok {
		t.Errorf("the answers have no order: %s", res)
	}
	// The checker can say no.
	last := porcupine.Operation{Input: linearIn{op: "read", node: "n0"}, Output: linearOut{weight: -1}, Call: tick(), Return: tick()}
	if res := porcupine.CheckOperationsTimeout(linearModel, append(history, last), time.Minute); res != porcupine.Illegal {
		t.Errorf("a weight that nobody set was found to be %s", res)
	}
}
