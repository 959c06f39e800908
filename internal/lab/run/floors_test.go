package run

import (
	"testing"

	"pewterrudder/internal/lab/scenario"
)

// floors are what each scenario kept with its first seed when it was last looked at, less 0.02: chance plays no part, since a
// seed gives the same day, but a change that costs a fiftieth of a day is to be seen, and to be meant.
var floors = map[string]float64{
	"balancer-restarts": 0.937, "burst-strong": 0.942, "burst-weak": 0.970, "calm": 0.979, "canary": 0.976, "discovery-lies": 0.854,
	"fast-errors": 0.977, "flash-crowd": 0.961, "large-answers": 0.964, "one-class-fails": 0.972, "pool-lost": 0.976, "retry-storm": 0.754,
	"rolling-deploy": 0.972, "slow-nodes": 0.968, "stale-reports": 0.972, "zone-cut-full": 0.753, "zone-cut-unlisted": 0.950, "zone-dark": 0.967,
	"fleet-replaced": 0.683, "herd-restart": 0.540, "zone-returns-to-many": 0.643, // eighty balancers
	"first-start": 0.795, "power-loss": 0.601, "power-loss-blank": 0.570,
	"zone-flap": 0.948, "zone-half": 0.970, "zone-line": 0.971, "zone-return-cold": 0.963,
}

// Each scenario that is no swarm and fits a test keeps its rules and its goodput. A whole list that emptied the module cost
// one of them a tenth, and no other test noticed.
func TestScenariosKeepTheirGoodput(t *testing.T) {
	var jobs []Job
	for _, name := range scenario.List() {
		if name == "swarm" || name == "fleet-10k" {
			continue
		}
		if _, ok := floors[name]; !ok {
			continue // one that is new has its figure in the page of what it is for
		}
		sc, err := scenario.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, Job{Scenario: sc, Seed: 1, Policy: "ours"})
	}
	if len(jobs) != len(floors) {
		t.Fatalf("%d of %d scenarios are there", len(jobs), len(floors))
	}
	done, err := All(jobs, func(float64) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range done {
		if r := &d.Record.Run; r.Goodput < floors[r.Scenario] || d.Broken > 0 {
			t.Errorf("%s: goodput %.4f of %.3f at the least, rules broken: %v", r.Scenario, r.Goodput, floors[r.Scenario], d.Breaks)
		}
	}
}
