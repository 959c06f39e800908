package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
)

// reportTimeout bounds the fetch of an instance's load report.
const reportTimeout = 800 * time.Millisecond

// fetchReport fetches an instance's load report over the connection pool that client requests use.
func (n *Node) fetchReport(ctx context.Context, instance *instances.Instance) (*protocol.Report, error) {
	target := attempt.Target{ID: instance.ID, Address: instance.Address}
	if table := n.table.Load(); table != nil {
		if backend := table.Backend(instance.Backend); backend != nil {
			target.MaxConnections = n.connectionLimit(backend)
		}
	}
	status, body, err := n.attempts.Fetch(ctx, target, protocol.PathReport, time.Now().Add(reportTimeout))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("fetch instance report: HTTP status %d", status)
	}
	var report protocol.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, errors.Wrap(err, "decode instance report")
	}
	return &report, nil
}
