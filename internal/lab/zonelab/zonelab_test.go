package zonelab

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
)

var (
	seeds = flag.Int("zonelab.seeds", 0, "run the whole comparison with so many seeds and print it")
	only  = flag.String("zonelab.scenario", "", "that one alone")
	file  = flag.String("zonelab.json", "", "and write it there")
)

func TestComparison(t *testing.T) {
	if *seeds == 0 {
		t.Skip("-zonelab.seeds is not given")
	}
	names := Scenarios
	if *only == "pools" {
		names = nil
	} else if *only != "" {
		names = []string{*only}
	}
	rows, err := Table(names, Policies, *seeds, nil)
	if err != nil {
		t.Fatal(err)
	}
	if *only == "" || *only == "pools" {
		more, err := Table(PoolScenarios, PoolPolicies, *seeds, nil)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, more...)
	}
	if err := Write(os.Stdout, rows); err != nil {
		t.Fatal(err)
	}
	if *file != "" {
		raw, _ := json.MarshalIndent(rows, "", "\t")
		if err := os.WriteFile(*file, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
