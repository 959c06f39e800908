package paper

import (
	"math/rand/v2"
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/policy"
	"pewterrudder/internal/lab/virtual"
)

// sorted is a policy that goes by reports as the paper has it: the sites are sorted by what the last poll told, and the
// order holds until the next, that of equal ones with it. So all that comes meanwhile goes to the one site at the top.
// The policies of the lab break ties anew at each job, which at half load spreads a burst over all idle sites. The order
// of equal ones is drawn at each poll.
type sorted struct {
	brain.Decider
	rng  *rand.Rand
	read []float64
}

// less than the least difference between two reports, which are whole numbers.
const tie = 0.5

func (s *sorted) Handle(now time.Duration, ev brain.Event, actions []brain.Action) []brain.Action {
	if p, ok := ev.(*brain.ProbeEnded); ok && len(p.Report) > 0 {
		e := *p
		s.read = append(s.read[:0], p.Report...)
		s.read[0] += tie * s.rng.Float64()
		e.Report = s.read
		ev = &e
	}
	return s.Decider.Handle(now, ev, actions)
}

// redrawn is the word behind a policy's name for ties that are broken anew at each job.
const redrawn = " (ties redrawn)"

// policyOf makes a policy by its name in the table.
func policyOf(name string) virtual.Policy {
	return func(cfg brain.Settings, seed uint64) (brain.Decider, error) {
		plain, free := name, false
		if n := len(name) - len(redrawn); n > 0 && name[n:] == redrawn {
			plain, free = name[:n], true
		}
		d, err := policy.New(plain, cfg, seed)
		if err != nil || free || slices.Contains([]string{policy.Ours, "random"}, plain) {
			return d, err
		}
		return &sorted{Decider: d, rng: rand.New(rand.NewPCG(seed, 0x736f72746564))}, nil
	}
}
