package fleet

import (
	"path/filepath"
	"slices"
	"testing"

	"pewterrudder/internal/lab/scenario"
)

// A day that breaks by one of its faults, and only at every second play, shrinks to that fault; what breaks otherwise, or not
// at all, is not taken for it.
func TestADayShrinksToWhatBreaksIt(t *testing.T) {
	c := CaseOf("disk-full")
	sc, err := c.Day()
	if err != nil {
		t.Fatal(err)
	}
	plays := 0
	play := func(day *scenario.Scenario) (*Done, error) {
		plays++
		has := func(kind string) bool {
			return slices.ContainsFunc(day.Faults, func(f scenario.Fault) bool { return f.Kind == kind })
		}
		switch {
		case !has("edit"):
			return &Done{Way: "another"}, nil
		case plays%2 == 0:
			return &Done{}, nil
		case plays%3 == 0:
			return &Done{Way: "this", Void: "late"}, nil
		}
		return &Done{Way: "this"}, nil
	}
	small, runs, err := Shrink(sc, "this", 6, play)
	if err != nil || runs != plays {
		t.Fatal(runs, plays, err)
	}
	if len(small.Faults) != 1 || small.Faults[0].Kind != "edit" || small.Balancers.Count != 1 || small.Length >= sc.Length {
		t.Errorf("%d faults, %d balancers, %v", len(small.Faults), small.Balancers.Count, small.Length.D())
	}
	if len(sc.Faults) != 3 {
		t.Error("the day itself was changed")
	}
	path := filepath.Join(t.TempDir(), "small.json")
	if err := Write(small, path); err != nil {
		t.Fatal(err)
	}
	if again, err := scenario.Load(path); err != nil || len(again.Faults) != 1 || again.Length != small.Length {
		t.Errorf("written and read: %+v, %v", again, err)
	}
}
