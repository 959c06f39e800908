package patience

import (
	"testing"
	"time"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 0, 0) }

const ms = time.Millisecond

// The timeout starts at the initial value, falls to what answers take, and rises again when they take longer.
func TestTimeoutFollowsPauses(t *testing.T) {
	e := New(75*ms, 15*ms, 300*ms)
	if w := e.Timeout(); w < 74*ms || w > 76*ms {
		t.Errorf("initial timeout %v, want about 75 ms", w)
	}
	for range 50 {
		e.ObservePause(20 * ms)
	}
	if w := e.Timeout(); w < 20*ms || w > 25*ms {
		t.Errorf("timeout %v where every answer pauses for 20 ms", w)
	}
	for range 50 {
		e.ObservePause(time.Microsecond)
	}
	if w := e.Timeout(); w != 15*ms {
		t.Errorf("timeout %v, want the minimum of 15 ms", w)
	}
	for i := range 50 {
		e.ObservePause(time.Duration(20+i%3*10) * ms)
	}
	if w := e.Timeout(); w < 40*ms || w > 120*ms {
		t.Errorf("timeout %v where answers pause for 20 to 40 ms", w)
	}
}

// An expired timeout does not tell the length of the pause, so a timeout that is too short must grow until an answer
// arrives complete.
func TestExpiredTimeoutsDouble(t *testing.T) {
	e := New(75*ms, 15*ms, 300*ms)
	for range 50 {
		e.ObservePause(ms)
	}
	for attempts := 0; e.Timeout() < 120*ms; attempts++ {
		if attempts > 6 {
			t.Fatalf("timeout %v after %d that expired", e.Timeout(), attempts)
		}
		e.ObserveTimeout()
	}
	for range 20 {
		e.ObserveTimeout()
	}
	if e.Timeout() != 300*ms {
		t.Errorf("timeout %v, want the maximum of 300 ms", e.Timeout())
	}
	if e.ObservePause(120 * ms); e.Timeout() <= 15*ms || e.Timeout() >= 300*ms {
		t.Errorf("timeout %v after a complete answer", e.Timeout())
	}
}

func TestFixedTimeout(t *testing.T) {
	e := Fixed(40 * ms)
	e.ObservePause(time.Second)
	if e.ObserveTimeout(); e.Timeout() != 40*ms {
		t.Error(e.Timeout())
	}
}

// The timeout stays between its minimum and maximum for any input, and covers pauses of constant length.
func TestTimeoutStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minTimeout := time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "min timeout"))
		maxTimeout := minTimeout + time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "range"))
		e := New(time.Duration(rapid.Int64Range(0, 2e10).Draw(t, "initial")), minTimeout, maxTimeout)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if rapid.Bool().Draw(t, "expired") {
				e.ObserveTimeout()
			} else {
				e.ObservePause(time.Duration(rapid.Int64Range(1, 1e11).Draw(t, "pause")))
			}
			if w := e.Timeout(); w < minTimeout || w > maxTimeout {
				t.Fatalf("timeout %v is not from %v to %v", w, minTimeout, maxTimeout)
			}
		}
		steady := time.Duration(rapid.Int64Range(1, int64(maxTimeout)).Draw(t, "steady"))
		for range 100 {
			e.ObservePause(steady)
		}
		if w := e.Timeout(); w < steady {
			t.Fatalf("timeout %v for pauses of %v", w, steady)
		}
	})
}
