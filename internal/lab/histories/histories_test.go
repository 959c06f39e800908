package histories

import "testing"

// Few histories on every run; a hundred thousand are `rudderlab roster-histories --runs 100000`.
func TestHistoriesBreakNoRule(t *testing.T) {
	runs := 3000
	if testing.Short() {
		runs = 300
	}
	r := Go(1, runs, nil)
	for _, b := range r.First {
		t.Errorf("seed %d: %s", b.Seed, b.Text)
	}
	// Rules that nothing was held against are worth nothing.
	if n := &r.Tally; n.Restarts == 0 || n.Compactions == 0 || n.Breaks < runs || n.Stalls < runs || n.Lies < runs || n.Suspects < runs ||
		n.Doubts < runs || n.Told < 10*runs {
		t.Errorf("too little has happened: %+v", r.Tally)
	}
}

func TestASeedGivesOneHistory(t *testing.T) {
	_, first, _ := Play(7)
	_, again, _ := Play(7)
	_, other, _ := Play(8)
	if first != again || first == other {
		t.Errorf("digests %x and %x of one seed, %x of another", first, again, other)
	}
}
