package node

import (
	"context"
	"slices"
	"time"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/document"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/softstate"
)

// configurationKey is the key of the only soft-state record that carries the configuration.
const configurationKey = "configuration"

// acceptorRefreshInterval is the interval at which the list of acceptor candidates is refreshed.
const acceptorRefreshInterval = 250 * time.Millisecond

// onConfigurationChosen applies a chosen configuration to this router and publishes it to the others.
func (n *Node) onConfigurationChosen(chosen *configstore.Chosen) {
	if n.applyConfiguration(chosen) {
		n.keyLease.applyRevision(chosen.State.Revision)
	}
	n.cluster.Publish(softstate.Record{
		Kind:    recordConfiguration,
		Key:     configurationKey,
		Version: configurationVersion(chosen),
		Payload: chosen.Encode(),
	})
}

// configurationVersion returns the record version of a chosen state. It is never zero: the cluster would assign its own
// version to a record with version zero.
func configurationVersion(chosen *configstore.Chosen) softstate.Version {
	return softstate.Version{Epoch: chosen.State.Revision + 1, Sequence: chosen.Set.Epoch}
}

// applyConfiguration replaces the routing table and everything derived from it. It reports whether the chosen state is
// in force on this router.
func (n *Node) applyConfiguration(chosen *configstore.Chosen) bool {
	n.applyPrefixes(chosen)
	if len(chosen.State.Document) == 0 {
		return true
	}
	if table := n.table.Load(); table != nil && table.Generation() == chosen.State.Generation {
		return true // only the acceptor set or the common prefixes have changed
	}
	parsed, err := document.ParseAfter(n.document.Load(), chosen.State.Document)
	if err != nil {
		n.log.WithError(err).Error("cannot parse the chosen configuration")
		return false
	}
	table := routing.Build(parsed, routing.Options{HasTenants: n.Settings().HasTenants()})
	n.selector.SetBackends(backendConfigs(table))
	n.shares.SetLimits(tenantLimits(parsed))
	n.document.Store(parsed)
	n.table.Store(table)
	n.updatePrefixQuotas(table)
	n.log.WithField("generation", chosen.State.Generation).Info("configuration in force")
	return true
}

// backendConfigs returns the settings that instance selection needs for each backend, by backend name.
func backendConfigs(table *routing.Table) map[string]selection.BackendConfig {
	configs := map[string]selection.BackendConfig{}
	for _, backend := range table.Backends() {
		config := selection.BackendConfig{MaxConns: backend.MaxConnections}
		if backend.Engine != nil {
			config.HasEngine = true
			config.Slots = int(backend.Engine.Slots)
			config.KVCapacity = int64(backend.Engine.KVCapacity)
		}
		configs[backend.Name] = config
	}
	return configs
}

// grantors returns the transport addresses of the acceptors that grant leases: the current voters and, during a change
// of the set, the previous ones. Both are nil while no acceptor set is known.
func (n *Node) grantors() (voters, previous []string) {
	chosen := n.store.Current()
	if chosen == nil {
		return nil, nil
	}
	return acceptorAddresses(chosen.Set.Voters), acceptorAddresses(chosen.Set.Previous)
}

func acceptorAddresses(acceptors []casregister.Acceptor) []string {
	var list []string
	for _, acceptor := range acceptors {
		list = append(list, acceptor.Address)
	}
	return list
}

// onMembershipChange passes the acceptor candidates to the register. Until the size of the fleet has settled, it also
// refreshes the number of routers that the quota shares are based on. Once a durable candidate exists, volatile ones
// are offered only while they are voters.
func (n *Node) onMembershipChange(view *membership.View) {
	if !n.discovery.settled.Load() {
		n.shares.RefreshRouters()
	}
	list := acceptorCandidates(view, time.Now())
	if slices.ContainsFunc(list, isDurable) {
		list = slices.DeleteFunc(list, func(candidate configstore.Candidate) bool {
			return !isDurable(candidate) && !n.isVoter(candidate.Acceptor.ID)
		})
	}
	n.store.UpdateCandidates(list)
}

func isDurable(candidate configstore.Candidate) bool { return !candidate.Acceptor.Volatile }

// isVoter reports whether the acceptor is a voter of the current set.
func (n *Node) isVoter(id casregister.AcceptorID) bool {
	chosen := n.store.Current()
	return chosen != nil && chosen.Set.HasVoter(id)
}

// refreshAcceptors periodically updates the acceptor candidates, so that the register sees how long routers have been
// unreachable.
func (n *Node) refreshAcceptors(ctx context.Context) {
	periodic.Run(ctx, acceptorRefreshInterval, func() {
		n.announceAcceptor()
		n.onMembershipChange(n.cluster.View())
	})
}

// announceAcceptor publishes the identity of this router's acceptor once it has been read from disk.
func (n *Node) announceAcceptor() {
	identity := string(n.store.Identity())
	if n.cluster.View().Self().AcceptorID == identity {
		return
	}
	isVolatile := !n.Settings().IsAcceptor()
	n.cluster.UpdateSelf(func(self *membership.Member) {
		self.AcceptorID = identity
		self.AcceptorVolatile = isVolatile
	})
}

// acceptorCandidates lists the routers that hold, or could hold, a replica of the register.
func acceptorCandidates(view *membership.View, now time.Time) []configstore.Candidate {
	var list []configstore.Candidate
	for _, member := range view.Live() {
		if member.AcceptorID != "" {
			list = append(list, newCandidate(member, true, 0))
		}
	}
	for _, failed := range view.Failed() {
		if failed.Member.AcceptorID != "" {
			list = append(list, newCandidate(failed.Member, false, failed.Silence(now)))
		}
	}
	return list
}

func newCandidate(member membership.Member, reachable bool, silent time.Duration) configstore.Candidate {
	acceptor := casregister.Acceptor{
		ID:       casregister.AcceptorID(member.AcceptorID),
		Address:  member.Address,
		Volatile: member.AcceptorVolatile,
	}
	return configstore.Candidate{
		Acceptor:  acceptor,
		Zone:      member.Zone,
		Reachable: reachable,
		SilentFor: silent,
	}
}
