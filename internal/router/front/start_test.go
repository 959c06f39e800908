package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsWaitForTheStart(t *testing.T) {
	for _, c := range []struct {
		name       string
		deadlineMs string
		startsIn   time.Duration
		want       time.Duration
	}{
		{"already started", "2000", 0, 0},
		{"starts in time", "2000", 300 * time.Millisecond, 300 * time.Millisecond},
		{"starts after the client's share", "1000", time.Minute, 400 * time.Millisecond},
		{"long deadline", "15000", time.Minute, time.Second},
		{"no deadline", "", time.Minute, time.Second},
		{"negative deadline", "-5", time.Minute, time.Second},
		{"not a number", "NaN", time.Minute, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := make(chan struct{})
				if c.startsIn == 0 {
					close(started)
				} else {
					time.AfterFunc(c.startsIn, func() { close(started) })
				}
				s := &Server{dependencies: Dependencies{BecameReady: started}}
				began := time.Now()
				s.awaitStart(t.Context(), c.deadlineMs)
				assert.Equal(t, time.Since(began), c.want)
			})
		})
	}
}

func TestClientDisconnectEndsTheWaitForTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		s := &Server{dependencies: Dependencies{BecameReady: make(chan struct{})}}
		began := time.Now()
		s.awaitStart(ctx, "2000")
		assert.Equal(t, time.Since(began), 50*time.Millisecond)
	})
}

func TestWithoutAStartNothingWaits(t *testing.T) {
	new(Server).awaitStart(t.Context(), "2000")
}
