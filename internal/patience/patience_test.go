package patience

import (
	"testing"
	"time"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 0, 0) }

const ms = time.Millisecond

// It starts with what it is told, comes down to what answers really take, and up again when they take longer.
func TestItLearns(t *testing.T) {
	e := New(75*ms, 15*ms, 300*ms)
	if w := e.Wait(); w < 74*ms || w > 76*ms {
		t.Errorf("first %v", w)
	}
	for range 50 {
		e.Whole(20 * ms)
	}
	if w := e.Wait(); w < 20*ms || w > 25*ms {
		t.Errorf("%v where every answer pauses for 20 ms", w)
	}
	for range 50 {
		e.Whole(time.Microsecond)
	}
	if w := e.Wait(); w != 15*ms {
		t.Errorf("%v, under the floor", w)
	}
	for i := range 50 {
		e.Whole(time.Duration(20+i%3*10) * ms)
	}
	if w := e.Wait(); w < 40*ms || w > 120*ms {
		t.Errorf("%v where answers pause for 20 to 40 ms", w)
	}
}

// Waits that run out tell nothing of the pause, so a wait that is too short must grow until an answer comes whole.
func TestAWaitThatIsTooShortGrows(t *testing.T) {
	e := New(75*ms, 15*ms, 300*ms)
	for range 50 {
		e.Whole(ms)
	}
	for tries := 0; e.Wait() < 120*ms; tries++ {
		if tries > 6 {
			t.Fatalf("%v after %d waits that ran out", e.Wait(), tries)
		}
		e.RanOut()
	}
	for range 20 {
		e.RanOut()
	}
	if e.Wait() != 300*ms {
		t.Errorf("%v, over the ceiling", e.Wait())
	}
	if e.Whole(120 * ms); e.Wait() <= 15*ms || e.Wait() >= 300*ms {
		t.Errorf("%v after an answer that came", e.Wait())
	}
}

func TestASetWaitStays(t *testing.T) {
	e := Fixed(40 * ms)
	e.Whole(time.Second)
	if e.RanOut(); e.Wait() != 40*ms {
		t.Error(e.Wait())
	}
}

// Whatever it hears, it waits between floor and ceiling, and for steady pauses at least as long as they are.
func TestItStaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "floor"))
		ceiling := floor + time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "above"))
		e := New(time.Duration(rapid.Int64Range(0, 2e10).Draw(t, "first")), floor, ceiling)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if rapid.Bool().Draw(t, "ran out") {
				e.RanOut()
			} else {
				e.Whole(time.Duration(rapid.Int64Range(1, 1e11).Draw(t, "pause")))
			}
			if w := e.Wait(); w < floor || w > ceiling {
				t.Fatalf("%v outside %v to %v", w, floor, ceiling)
			}
		}
		steady := time.Duration(rapid.Int64Range(1, int64(ceiling)).Draw(t, "steady"))
		for range 100 {
			e.Whole(steady)
		}
		if w := e.Wait(); w < steady {
			t.Fatalf("%v for pauses of %v", w, steady)
		}
	})
}
