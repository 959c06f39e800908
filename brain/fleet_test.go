package brain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The fleet contains each listed server once, in order of first listing, however servers come and go, even twice in one
// update. Random draws depend on that order.
func TestFleetKeepsArrivalOrder(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n, err := New(Settings{Nodes: 1, MaxAttempts: 1, Classes: []Class{{Name: "a", Aim: time.Second, Deadline: time.Second}}}, seed)
		if err != nil {
			t.Fatal(err)
		}
		var want []string
		for step := range 60 {
			u := &FleetUpdate{Kind: []UpdateKind{UpdateChanges, UpdateChanges, UpdateChanges, UpdateFull}[rng.IntN(4)]}
			last := map[string]Readiness{}
			for range rng.IntN([]int{3, 60}[rng.IntN(2)]) {
				m := Member{Server: fmt.Sprint("s", rng.IntN(40)), State: []Readiness{Ready, Draining, Gone}[rng.IntN(3)]}
				u.Members = append(u.Members, m)
				if !slices.Contains(want, m.Server) && m.State != Gone {
					want = append(want, m.Server)
				}
				last[m.Server] = m.State
			}
			want = slices.DeleteFunc(want, func(s string) bool {
				state, named := last[s]
				return named && state == Gone || !named && u.Kind == UpdateFull
			})
			n.Handle(time.Duration(step)*time.Millisecond, u, nil)
			var have []string
			for _, s := range n.fleet {
				have = append(have, s.Server)
			}
			if !slices.Equal(have, want) || len(n.byID) != len(want) {
				t.Fatalf("seed %d, update %d: %d servers known, the fleet is %v, want %v", seed, step, len(n.byID), have, want)
			}
		}
	}
}
