package node

import (
	"context"
	"sync"
	"time"

	"pewterrudder/internal/router/settings"
)

const (
	// shutdownMargin is the part of the grace period reserved for the shutdown that follows the draining of client
	// requests.
	shutdownMargin = 500 * time.Millisecond
	// controlDrainTimeout bounds the wait for control calls in progress during shutdown.
	controlDrainTimeout = 100 * time.Millisecond
)

// Stop shuts the router down in order: it reports not ready, finishes client requests within the grace period, closes
// the control and readiness servers, and leaves the cluster. Whatever a control call has acknowledged is sent to the
// other routers before this router leaves.
func (n *Node) Stop() {
	n.readiness.draining.Store(true)
	n.log.Info("draining")
	grace := settings.Seconds(n.Settings().Bounds.GraceS)
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-shutdownMargin, shutdownMargin))
	defer cancel()
	n.front.Drain(ctx)
	n.closeServers()
	n.cluster.Stop()
	n.cancel()
	n.background.Wait()
	n.store.Close()
	_ = n.transport.Close()
	n.log.Info("stopped")
}

// closeServers closes the control and readiness servers. Calls in progress may finish within controlDrainTimeout and
// are aborted after that.
func (n *Node) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), controlDrainTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, server := range n.servers {
		closing.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	closing.Wait()
}

// Reload applies the settings that may change while the process runs: the seeds.
func (n *Node) Reload(s *settings.Settings) {
	n.settings.Store(s)
	n.cluster.SetSeeds(seedAddresses(s))
}
