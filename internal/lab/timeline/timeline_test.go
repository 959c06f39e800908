package timeline

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestTasksRunInOrderOfTimeThenOfSetting(t *testing.T) {
	v := NewVirtual(0)
	rng := rand.New(rand.NewPCG(1, 2))
	type done struct{ at, set int }
	var ran []done
	stopped := 0
	for i := range 20_000 {
		at := rng.IntN(500)
		if i%2 == 0 { // some far off, within and beyond what is kept by days
			at = int(rng.Int64N(int64(50*time.Second)) / 1e9 * 1e9)
		}
		timer := v.After(time.Duration(at), Func(func() {
			if v.Now() != time.Duration(at) {
				t.Fatalf("a task for %d runs at %d", at, v.Now())
			}
			ran = append(ran, done{at, i})
		}))
		if rng.IntN(3) > 0 { // most are stopped, so that the heap is compacted
			if !timer.Stop() || timer.Stop() || timer.Waits() {
				t.Fatal("a task is stopped once")
			}
			stopped++
		}
	}
	v.Run(time.Minute)
	if len(ran) != 20_000-stopped || v.Waiting() != 0 || v.Now() != time.Minute {
		t.Errorf("%d ran of %d, %d wait, it is %v", len(ran), 20_000-stopped, v.Waiting(), v.Now())
	}
	if !slices.IsSortedFunc(ran, func(a, b done) int {
		if a.at != b.at {
			return a.at - b.at
		}
		return a.set - b.set
	}) {
		t.Error("not in order")
	}
}

func TestAnOldTimerNamesNoNewTask(t *testing.T) {
	v := NewVirtual(0)
	old := v.After(1, Func(func() {}))
	v.Step()
	ran := false
	v.After(1, Func(func() { ran = true })) // in the old one's slot
	if old.Stop() || (Timer{}).Stop() {
		t.Error("what is over was stopped")
	}
	v.Step()
	if !ran {
		t.Error("the new task was stopped by the old one's timer")
	}
}

// The seed orders what is due at one instant, the same each time, and nothing else.
func TestASeedPermutesOneInstant(t *testing.T) {
	order := func(seed uint64) (got []int) {
		v := NewVirtual(seed)
		for i := range 20 {
			v.After(time.Duration(i/10), Func(func() { got = append(got, i) }))
		}
		v.Run(10)
		return got
	}
	if a, b := order(5), order(5); !slices.Equal(a, b) {
		t.Errorf("%v and %v from one seed", a, b)
	}
	if a, b := order(5), order(6); slices.Equal(a, b) {
		t.Errorf("%v from two seeds", a)
	}
	if got := order(0); !slices.IsSorted(got) {
		t.Errorf("without a seed: %v", got)
	}
	for _, i := range order(5)[:10] {
		if i >= 10 {
			t.Error("a later instant's task came first")
		}
	}
}

func TestTheRealClockRunsTasksAndWhatIsHandedIn(t *testing.T) {
	c := NewReal()
	ctx, stop := context.WithCancel(context.Background())
	var got []string
	c.After(time.Millisecond, Func(func() {
		got = append(got, "task")
		go c.Do(func() { got = append(got, "do"); stop() })
	}))
	c.Run(ctx)
	if !slices.Equal(got, []string{"task", "do"}) || c.Now() < time.Millisecond {
		t.Errorf("%v after %v", got, c.Now())
	}
}

// A lab that ran late must be able to say so: the task below holds the goroutine while the next one is due.
func TestTheRealClockTellsItsLateness(t *testing.T) {
	c := NewReal()
	ctx, stop := context.WithCancel(context.Background())
	c.After(0, Func(func() {
		for begin := c.Now(); c.Now() < begin+20*time.Millisecond; {
		}
	}))
	c.After(time.Millisecond, Func(stop))
	c.Run(ctx)
	if c.Late() < 10*time.Millisecond {
		t.Errorf("late by %v only", c.Late())
	}
}
