package zonelab

import (
	"fmt"
	"slices"

	"pewterrudder/brain"
	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/world"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/routes"
	"pewterrudder/internal/selector"
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
	"canary": {[]string{"m1", "canary"}, []routes.Rule{{Shares: []routes.Share{{Pool: "m1", Weight: 9}, {Pool: "canary", Weight: 1}}}}},
	"pool-lost": {[]string{"m1", "office"}, []routes.Rule{{Shares: []routes.Share{{Pool: "m1", Weight: 1}}},
		{Class: "desk", Shares: []routes.Share{{Pool: "office", Weight: 1}}}}},
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
			l.Pools = append(l.Pools, reducer.PoolSpec{Name: kind, Selector: selector.Selector{Kinds: []string{kind}}})
		}
		return l, nil
	}
	return of, layout, nil
}

// ofClass tells the wishes of all but the first pool where classes lead there. What a split leads there hangs, on sockets,
// on the ids of tries, which a wish does not tell: then there is no telling, and the whole site's figures stand.
func ofClass(sc *scenario.Scenario) func(*world.Op) bool {
	var led []bool
	for _, c := range sc.Classes {
		led = append(led, false)
		for _, r := range pools[sc.Name].rules {
			if r.Class == c.Name && len(r.Shares) == 1 && r.Shares[0].Pool != pools[sc.Name].kinds[0] {
				led[len(led)-1] = true
			}
		}
	}
	return func(op *world.Op) bool { return led[op.Class] }
}

// sections are the pools and routes of a scenario as a settings file has them.
func sections(sc *scenario.Scenario) (map[string]any, error) {
	p, ok := pools[sc.Name]
	if !ok {
		return nil, fmt.Errorf("%s has no pools", sc.Name)
	}
	split := slices.ContainsFunc(p.rules, func(r routes.Rule) bool { return len(r.Shares) > 1 }) // of every call: none is left to a default
	var named []config.Pool
	for i, kind := range p.kinds {
		named = append(named, config.Pool{Name: kind, Default: i == 0 && !split, Members: config.Members{Kinds: []string{kind}}})
	}
	var led []config.Route
	for _, r := range p.rules {
		one := config.Route{Class: r.Class}
		if len(r.Shares) == 1 {
			one.Pool = r.Shares[0].Pool
		} else {
			for _, share := range r.Shares {
				one.Split = append(one.Split, config.Share{Pool: share.Pool, Weight: share.Weight})
			}
		}
		if one.Class != "" || one.Split != nil { // the rest goes to the default
			led = append(led, one)
		}
	}
	return map[string]any{"pools": named, "routes": led}, nil
}
