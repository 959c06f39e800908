// Package warmth counts what app nodes do while they are cold, beside those that are warm at the same time: how much of what each
// can do at that moment is done, and how many requests wait there. It sees the world alone, in virtual time, and must never look into a balancer.
package warmth

import (
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/virtual"
	"pewterrudder/internal/lab/world"
)

// Side is one of the two, cold or warm, over the moments at which some were cold.
type Side struct {
	Busy    float64 `json:"busy"`    // cores that worked, on the mean
	Cores   float64 `json:"cores"`   // of so many; those of a cold one are as busy with less work
	Waiting float64 `json:"waiting"` // requests for each app node
	Nodes   float64 `json:"nodes"`
}

// Share is what was done of what could have been at that moment.
func (s Side) Share() float64 {
	if s.Cores == 0 {
		return 0
	}
	return s.Busy / s.Cores
}

// Count is one or several runs.
type Count struct {
	Cold, Warm Side
	Moments    int
	Goodput    float64 // of each run, while some were cold
	asked, got float64
	cold       bool
	classes    []scenario.Class
}

// every is the pause between two looks.
const every = 100 * time.Millisecond

// Run plays a day and adds it to the count.
func (c *Count) Run(sc *scenario.Scenario, seed uint64) error {
	c.classes, c.cold = sc.Classes, false
	_, err := virtual.Run(sc, virtual.Options{Seed: seed, Recorder: c, Sample: every})
	return err
}

// Settled counts worth that came up while some were cold.
func (c *Count) Settled(op *world.Op, how world.Kind, at time.Duration) {
	if !c.cold {
		return
	}
	c.asked += op.Worth
	if how == world.Served {
		worth := op.Worth
		if k := &c.classes[op.Class]; at-op.Due > k.Aim.D() {
			worth *= k.Late
		}
		c.got += worth
	}
	c.Goodput = c.got / c.asked
}

// Sample looks at all app nodes that run.
func (c *Count) Sample(s *virtual.Sample) {
	var cold, warm Side
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if !n.Up || n.Capacity == 0 {
			continue
		}
		side := &warm
		if n.Cold {
			side = &cold
		}
		side.Busy, side.Cores = side.Busy+n.Busy, side.Cores+float64(n.Cores)
		side.Waiting, side.Nodes = side.Waiting+float64(n.Waiting), side.Nodes+1
	}
	if c.cold = cold.Nodes > 0 && warm.Nodes > 0; !c.cold {
		return
	}
	c.Moments++
	for _, of := range []struct {
		all *Side
		now Side
	}{{&c.Cold, cold}, {&c.Warm, warm}} {
		of.all.Busy, of.all.Cores = of.all.Busy+of.now.Busy, of.all.Cores+of.now.Cores
		of.all.Waiting, of.all.Nodes = of.all.Waiting+of.now.Waiting, of.all.Nodes+of.now.Nodes
	}
}
