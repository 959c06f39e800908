package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/front"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/summary"
)

// TestSummaryIsLoggedOnlyAfterChange limits the CPU cost of logging: at most one line every ten seconds, and none while
// no result code is counted.
func TestSummaryIsLoggedOnlyAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		var counted atomic.Pointer[front.Stats]
		count := func(succeeded uint64, codes map[resultcode.Code]uint64) {
			counted.Store(&front.Stats{Succeeded: succeeded, Codes: codes})
		}
		figures := func() front.Stats { return *counted.Load() }
		count(0, nil)
		ctx, cancel := context.WithCancel(context.Background())
		go summarize(ctx, log, figures)
		advance := func() {
			time.Sleep(summaryInterval)
			synctest.Wait()
		}
		count(50, nil)
		advance()
		assert.Equal(t, len(hook.AllEntries()), 0)

		count(50, map[resultcode.Code]uint64{resultcode.NoInstance: 3})
		advance()
		assert.Equal(t, len(hook.AllEntries()), 1)
		assert.Equal(t, hook.LastEntry().Message, summary.Message)
		assert.Equal(t, hook.LastEntry().Data[summary.FieldCodes], "1008:3")
		assert.Equal(t, hook.LastEntry().Data[summary.FieldSucceeded], uint64(50))

		advance()
		assert.Equal(t, len(hook.AllEntries()), 1)

		count(51, map[resultcode.Code]uint64{resultcode.NoInstance: 4, resultcode.QuotaExceeded: 1})
		cancel() // the last counts are not lost
		synctest.Wait()
		assert.Equal(t, len(hook.AllEntries()), 2)
		assert.Equal(t, hook.LastEntry().Data[summary.FieldCodes], "1007:1 1008:1")
		assert.Equal(t, hook.LastEntry().Data[summary.FieldSucceeded], uint64(1))
	})
}
