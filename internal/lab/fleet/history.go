package fleet

import (
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// slot is the grain of a history.
const slot = 100 * time.Millisecond

// History is who did what when, as the world saw it. All slices of a Lane are by slot, from the first request on.
type History struct {
	Slot      float64   `json:"slot_s"`
	Lanes     []Lane    `json:"balancers"`
	Asked     []float64 `json:"asked"`     // worth of what came up in a slot
	InTime    []float64 `json:"in_time"`   // and of what of it was served in time
	Calls     []int     `json:"calls"`     // to discovery
	Nodes     [][]int   `json:"app_nodes"` // attempts that came to each, by slot
	length    int
	sc        *scenario.Scenario
	answersAt []time.Duration // of served answers
	pairs     [][][]uint16    // attempts by balancer, app node and slot
	conns     [][]uint16      // connections by app node and slot
}

// Lane is one balancer.
type Lane struct {
	Up       []bool    `json:"up"`
	Served   []int     `json:"served"`
	Refused  []int     `json:"refused"`
	Failed   []int     `json:"failed"`
	Attempts []int     `json:"attempts"` // that came to app nodes
	Conns    []int     `json:"connections"`
	Took     []float64 `json:"took_s"` // by served answers, all told
}

var _ virtual.Recorder = (*History)(nil)

func newHistory(sc *scenario.Scenario) *History {
	n := int(sc.Length.D()/slot) + 1
	h := &History{Slot: slot.Seconds(), Asked: make([]float64, n), InTime: make([]float64, n), Calls: make([]int, n), length: n, sc: sc}
	for range sc.Balancers.Count {
		h.Lanes = append(h.Lanes, Lane{Up: make([]bool, n), Served: make([]int, n), Refused: make([]int, n), Failed: make([]int, n),
			Attempts: make([]int, n), Conns: make([]int, n), Took: make([]float64, n)})
	}
	return h
}

// at is the slot of a moment of the run's clock; what is before the first or behind the last counts in none.
func (h *History) at(t time.Duration) (int, bool) {
	i := int((t - world.Lead) / slot)
	return i, t >= world.Lead && i < h.length
}

func (h *History) Settled(op *world.Op, how world.Kind, at time.Duration) {
	i, ok := h.at(op.Due)
	if !ok {
		return
	}
	h.Asked[i] += op.Worth
	if how != world.Served {
		return
	}
	worth := op.Worth
	if k := &h.sc.Classes[op.Class]; at-op.Due > k.Aim.D() {
		worth *= k.Late
	}
	h.InTime[i] += worth
	h.answersAt = append(h.answersAt, at)
}

func (h *History) Sample(s *virtual.Sample) {
	i, ok := h.at(s.At)
	if !ok {
		return
	}
	for n := range s.Nodes {
		if len(h.conns) <= n {
			h.conns = append(h.conns, make([]uint16, h.length))
		}
		h.conns[n][i] = uint16(s.Nodes[n].Conns)
	}
	for b := range s.Balancers {
		h.Lanes[b].Up[i], h.Lanes[b].Conns[i] = s.Balancers[b].Up, s.Balancers[b].Conns
	}
}

func (h *History) Answered(a *world.Ask, out world.Outcome, at time.Duration) {
	i, ok := h.at(at)
	if !ok || a.Balancer < 0 {
		return
	}
	l := &h.Lanes[a.Balancer]
	switch out.Kind {
	case world.Served:
		l.Served[i]++
		l.Took[i] += (at - a.Sent).Seconds()
	case world.Refused:
		l.Refused[i]++
	default:
		l.Failed[i]++
	}
}

func (h *History) JobCame(n *world.Node, j *world.Job, balancer int) {
	i, ok := h.at(j.Sent)
	if !ok {
		return
	}
	h.Lanes[balancer].Attempts[i]++
	for len(h.Nodes) <= n.Index {
		h.Nodes = append(h.Nodes, make([]int, h.length))
	}
	h.Nodes[n.Index][i]++
	for len(h.pairs) < len(h.Lanes) {
		h.pairs = append(h.pairs, nil)
	}
	of := &h.pairs[balancer]
	for len(*of) <= n.Index {
		*of = append(*of, make([]uint16, h.length))
	}
	(*of)[n.Index][i]++
}

func (h *History) Called(at time.Duration) {
	if i, ok := h.at(at); ok {
		h.Calls[i]++
	}
}
