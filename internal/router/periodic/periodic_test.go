package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestWorkIsRepeatedUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			Run(ctx, time.Second, func() { calls++ })
		}()
		time.Sleep(5500 * time.Millisecond) // simulated time
		cancel()
		<-done
		assert.Equal(t, calls, 5)
	})
}

func TestSlowWorkSkipsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		Run(ctx, time.Second, func() {
			calls++
			time.Sleep(2500 * time.Millisecond) // simulated time
		})
		assert.Equal(t, calls, 4) // at 1, 3.5, 6 and 8.5 seconds
	})
}

func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		begin := time.Now()
		assert.Assert(t, Sleep(ctx, 2*time.Second))
		assert.Equal(t, time.Since(begin), 2*time.Second)
		assert.Assert(t, !Sleep(ctx, 2*time.Second))
		assert.Equal(t, time.Since(begin), 3*time.Second)
	})
}
