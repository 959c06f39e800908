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

// configurationKey names the one record that carries the configuration.
const configurationKey = "configuration"

// acceptorsEvery is the pause between two looks at the routers that could be acceptors.
const acceptorsEvery = 250 * time.Millisecond

// configurationChosen puts a chosen configuration in force here and spreads it.
func (n *Node) configurationChosen(chosen *configstore.Chosen) {
	if n.apply(chosen) {
		n.keys.apply(chosen.State.Revision)
	}
	n.cluster.Publish(softstate.Record{
		Kind:    recordConfiguration,
		Key:     configurationKey,
		Version: configurationVersion(chosen),
		Payload: chosen.Encode(),
	})
}

// configurationVersion orders the records of chosen states. It is never zero, which would leave the version to the cluster.
func configurationVersion(chosen *configstore.Chosen) softstate.Version {
	return softstate.Version{Epoch: chosen.State.Revision + 1, Sequence: chosen.Set.Epoch}
}

// apply swaps the routing table and what depends on it, and tells whether the state is in force here.
func (n *Node) apply(chosen *configstore.Chosen) bool {
	n.applyPrefixes(chosen)
	if len(chosen.State.Document) == 0 {
		return true
	}
	if table := n.table.Load(); table != nil && table.Generation() == chosen.State.Generation {
		return true // only the acceptor set or the common prefixes have changed
	}
	parsed, err := document.ParseAfter(n.document.Load(), chosen.State.Document)
	if err != nil {
		n.log.WithError(err).Error("the chosen configuration cannot be read")
		return false
	}
	table := routing.Build(parsed)
	n.selector.SetBackends(backendConfigs(table))
	n.shares.SetLimits(tenantLimits(parsed))
	n.document.Store(parsed)
	n.table.Store(table)
	n.quotasChanged(table)
	n.log.WithField("generation", chosen.State.Generation).Info("configuration in force")
	return true
}

// backendConfigs lists what the selection wants to know of the services.
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

// grantors lists the transport addresses of the acceptors in force, and of those before a change under way.
func (n *Node) grantors() (voters, previous []string) {
	chosen := n.store.Current()
	if chosen == nil {
		return nil, nil
	}
	return addresses(chosen.Set.Voters), addresses(chosen.Set.Previous)
}

func addresses(acceptors []casregister.Acceptor) []string {
	var list []string
	for _, acceptor := range acceptors {
		list = append(list, acceptor.Address)
	}
	return list
}

// viewChanged tells the register which routers could be acceptors, and a router that has just started how many there are.
func (n *Node) viewChanged(view *membership.View) {
	if !n.fleet.settled.Load() {
		n.shares.RefreshRouters()
	}
	list := candidates(view, time.Now())
	if slices.ContainsFunc(list, hasDisk) {
		list = slices.DeleteFunc(list, func(candidate configstore.Candidate) bool {
			return !hasDisk(candidate) && !n.isVoter(candidate.Acceptor.ID)
		})
	}
	n.store.UpdateCandidates(list)
}

func hasDisk(candidate configstore.Candidate) bool { return !candidate.Acceptor.Volatile }

// isVoter tells whether an acceptor is one of those in force.
func (n *Node) isVoter(id casregister.AcceptorID) bool {
	chosen := n.store.Current()
	return chosen != nil && chosen.Set.HasVoter(id)
}

// watchAcceptors keeps the register's knowledge of silent routers fresh.
func (n *Node) watchAcceptors(ctx context.Context) {
	periodic.Run(ctx, acceptorsEvery, func() {
		n.announceAcceptor()
		n.viewChanged(n.cluster.View())
	})
}

// announceAcceptor tells the other routers the identity of this router's acceptor once its disk has told it.
func (n *Node) announceAcceptor() {
	identity := string(n.store.Identity())
	if n.cluster.View().Self().AcceptorID == identity {
		return
	}
	isVolatile := !n.Settings().Acceptor()
	n.cluster.UpdateSelf(func(self *membership.Member) {
		self.AcceptorID = identity
		self.AcceptorVolatile = isVolatile
	})
}

// candidates lists the routers that hold, or could hold, a replica of the register.
func candidates(view *membership.View, now time.Time) []configstore.Candidate {
	var list []configstore.Candidate
	for _, member := range view.Live() {
		if member.AcceptorID != "" {
			list = append(list, candidate(member, true, 0))
		}
	}
	for _, failed := range view.Failed() {
		if failed.Member.AcceptorID != "" {
			list = append(list, candidate(failed.Member, false, failed.Silence(now)))
		}
	}
	return list
}

func candidate(member membership.Member, reachable bool, silent time.Duration) configstore.Candidate {
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
