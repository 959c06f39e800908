// Package policy owns the load balancing rules that the balancer's own decisions are compared with. Each is a
// brain.Decider, so that the same reducer drives it and only the choice of an app node differs: the same calls,
// connections, deadlines and final answers. It must never know more than a balancer does (no look into the world), and
// it makes no I/O, reads no clock and starts no goroutine; chance comes from the seed alone.
//
// What every embedder is owed is kept in one place, node.go: one final answer per request, sends only to Ready
// servers of the list, repeats only where the class allows them. The rules in pick.go see the servers that remain and
// name one. What the balancer's own decisions do beyond that (ejection, shedding, cold starts, second copies) has
// no counterpart here, since textbook policies have none.
package policy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"pewterrudder/brain"
)

// Ours is the name of the balancer's own decisions.
const Ours = "ours"

// staticK is the name of the paper's static rule, which takes its K behind an equals sign: static-k=8.
const staticK = "static-k"

// rules are the plain policies by name.
var rules = map[string]rule{
	"random":            {choices: everyone, pick: random},
	"round-robin":       {choices: one, pick: roundRobin},
	"least-outstanding": {choices: one, pick: leastOutstanding},
	"power-of-two":      {choices: one, pick: powerOfTwo},
	"greedy":            {choices: one, pick: lowestReports(1), reports: true},
	"sees-warmth":       {choices: one, pick: leastForWarmth},
}

// Names lists what New takes, in order of the alphabet; "static-k=K" stands for any K from 1 on.
func Names() []string {
	names := []string{Ours, staticK + "=K"}
	for name := range rules {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// New makes the policy of that name; an error names the policy or the setting at fault.
func New(name string, cfg brain.Settings, seed uint64) (brain.Decider, error) {
	// The settings are checked in one place, and so alike for all.
	ours, err := brain.New(cfg, seed)
	if err != nil || name == Ours {
		return ours, err
	}
	if r, ok := rules[name]; ok {
		return newNode(cfg, seed, r), nil
	}
	if text, ok := strings.CutPrefix(name, staticK+"="); ok {
		k, err := strconv.Atoi(text)
		if err != nil || k < 1 {
			return nil, fmt.Errorf("policy: %s: K must be a whole number from 1 on", name)
		}
		r := rule{choices: func(n int) int { return min(k, n) }, pick: lowestReports(k), reports: true}
		return newNode(cfg, seed, r), nil
	}
	return nil, fmt.Errorf("policy: %q is none of %s", name, strings.Join(Names(), ", "))
}
