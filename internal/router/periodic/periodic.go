// Package periodic runs work at fixed intervals, and pauses.
package periodic

import (
	"context"
	"time"
)

// Run calls work once per period until ctx is done, and never after that. If a call takes longer than a period, the calls
// missed meanwhile are skipped.
func Run(ctx context.Context, period time.Duration, work func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if ctx.Err() != nil {
				return
			}
			work()
		}
	}
}

// Sleep pauses and reports whether the pause ended before the context.
func Sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
