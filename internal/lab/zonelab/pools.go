package zonelab

import (
	"fmt"

	"pewterrudder/brain"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/world"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/routes"
)

// PoolScenarios are those in which a pool goes wrong, and PoolPolicies what is compared there.
var (
	PoolScenarios = []string{"canary", "pool-lost"}
	PoolPolicies  = []string{"one pool", "pools"}
)

// pools are the pools of a scenario by the kind of their app nodes, and the routes between them.
var pools = map[string]struct {
	kinds []string
	rules []routes.Rule
}{
	"canary": {[]string{"m1", "canary"}, []routes.Rule{{To: []routes.Share{{Pool: "m1", Weight: 9}, {Pool: "canary", Weight: 1}}}}},
	"pool-lost": {[]string{"m1", "office"}, []routes.Rule{{To: []routes.Share{{Pool: "m1", Weight: 1}}},
		{Class: "desk", To: []routes.Share{{Pool: "office", Weight: 1}}}}},
}

// divided tells the pool of a wish by its place, and the layout that follows it. The number of a wish stands for the
// Idempotency-Key that all its tries have.
func divided(sc *scenario.Scenario) (func(*world.Op) int, func(brain.Settings) (reducer.Layout, error), error) {
	p, ok := pools[sc.Name]
	if !ok {
		return nil, nil, fmt.Errorf("%s has no pools", sc.Name)
	}
	var classes []string
	for _, c := range sc.Classes {
		classes = append(classes, c.Name)
	}
	table, err := routes.Compile(p.rules, p.kinds, classes)
	if err != nil {
		return nil, nil, err
	}
	of := func(op *world.Op) int {
		entry := table.Match("site", "/", "GET", classes[op.Class])
		return table.Pool(entry, routes.Key(fmt.Sprint(op.Serial), "", ""))
	}
	layout := func(brain.Settings) (reducer.Layout, error) {
		l := reducer.Layout{Route: func(c *reducer.Call) int { return of(c.Message.(*world.Ask).Op) }}
		for _, kind := range p.kinds {
			l.Pools = append(l.Pools, reducer.PoolSpec{Name: kind, Takes: func(m *brain.Member) bool { return m.Kind == kind }})
		}
		return l, nil
	}
	return of, layout, nil
}
