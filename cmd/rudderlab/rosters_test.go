package main

import (
	"strings"
	"testing"
)

func TestRosters(t *testing.T) {
	for _, args := range [][]string{{"--scenario=calm"}, {"--scenario=blind", "--scenario=registry-empty"}, {"--seeds=-1"}} {
		if status, out, errs := lab(t, append([]string{"rosters"}, args...)...); status != misuse {
			t.Errorf("%q ended with %d: %s%s", args, status, out, errs)
		}
	}
	status, out, errs := lab(t, "rosters", "--scenario=registry-empty", "--seeds=1", "--json")
	if status != 0 || strings.Count(out, `"goodput_in_fault"`) != 3 || !strings.Contains(out, `"way": "roster"`) {
		t.Errorf("%d, %s%s", status, out, errs)
	}
}
