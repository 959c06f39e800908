package oracle

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// Claim is a time in which somebody holds what only one may hold: a state folder, a turn. The world sees its ends from outside
// alone: it began between Asked and Had, and ended between Left and Gone.
type Claim struct {
	Thing      string
	By         int
	Asked, Had time.Duration
	Left, Gone time.Duration
}

// Held is the end of a claim that has none.
const Held = 365 * 24 * time.Hour

// turn is one end of a claim, as a lock knows it.
type turn struct {
	take bool
	by   int // the claim
}

// one is a lock: who has it is the state, -1 is nobody.
var one = porcupine.Model{
	Init: func() any { return -1 },
	Step: func(state, input, _ any) (bool, any) {
		t := input.(turn)
		if t.take {
			return state == -1, t.by
		}
		return state == t.by, -1
	},
}

// Alone holds claims against a lock: whether they can have followed one another, within what the world has seen of their ends.
// Where they cannot it names two that overlap for certain, if two by themselves do.
func Alone(claims []Claim) (ok bool, why string) {
	by := map[string][]Claim{}
	var things []string
	for _, c := range claims {
		if by[c.Thing] == nil {
			things = append(things, c.Thing)
		}
		by[c.Thing] = append(by[c.Thing], c)
	}
	sort.Strings(things)
	for _, thing := range things {
		var ops []porcupine.Operation
		for i, c := range by[thing] {
			ops = append(ops,
				porcupine.Operation{ClientId: 2 * i, Input: turn{true, i}, Call: int64(c.Asked), Return: int64(max(c.Had, c.Asked))},
				porcupine.Operation{ClientId: 2*i + 1, Input: turn{false, i}, Call: int64(max(c.Left, c.Had)), Return: int64(max(c.Gone, c.Left, c.Had))})
		}
		if porcupine.CheckOperations(one, ops) {
			continue
		}
		return false, fmt.Sprintf("%s was not held by one at a time%s", thing, both(by[thing]))
	}
	return true, ""
}

func both(claims []Claim) string {
	for i, a := range claims {
		for _, b := range claims[i+1:] {
			if from, to := max(a.Had, b.Had), min(a.Left, b.Left); from < to {
				return fmt.Sprintf(": by %d and by %d from %.3f s on", a.By, b.By, from.Seconds())
			}
		}
	}
	return ""
}
