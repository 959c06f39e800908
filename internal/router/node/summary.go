package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/front"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/settings"
	"pewterrudder/internal/router/summary"
)

// summaryInterval is the minimum time between two log lines with counts of result codes.
const summaryInterval = 10 * time.Second

// startSummary starts the periodic log of result code counts.
func (n *Node) startSummary(ctx context.Context, _ *settings.Settings) error {
	n.background.Go(func() { summarize(ctx, n.log, n.front.Stats) })
	return nil
}

// summarize logs a line at each interval in which a count has changed, and a last one when the context ends.
func summarize(ctx context.Context, log logrus.FieldLogger, figures func() front.Stats) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	var reported summaryCounts
	for {
		select {
		case <-ctx.Done():
			reported.log(log, figures())
			return
		case <-ticker.C:
			reported.log(log, figures())
		}
	}
}

// summaryCounts holds the counts at the last logged line.
type summaryCounts struct {
	codes     map[resultcode.Code]uint64
	succeeded uint64
}

// log writes a line with the counts since the last one. It writes nothing if no result code was counted.
func (c *summaryCounts) log(log logrus.FieldLogger, figures front.Stats) {
	changes := summary.Diff(c.codes, figures.Codes)
	if len(changes) == 0 {
		return
	}
	log.WithFields(logrus.Fields{
		summary.FieldCodes:     summary.Format(changes),
		summary.FieldSucceeded: figures.Succeeded - c.succeeded,
	}).Info(summary.Message)
	c.codes, c.succeeded = figures.Codes, figures.Succeeded
}
