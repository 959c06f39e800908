package node

import (
	"cmp"
	"slices"
	"time"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/front"
	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/status"
)

// inspector implements the read-only control calls about the router. It computes each answer on demand and caches
// nothing.
type inspector struct {
	node *Node
}

// Status returns a summary of the router's state.
func (i inspector) Status() status.Status {
	n := i.node
	view := n.cluster.View()
	figures := n.front.Stats()
	return status.Status{
		Node:          n.Settings().Node,
		Zone:          n.Settings().Zone,
		Version:       status.Version(),
		UptimeS:       time.Since(n.startedAt).Seconds(),
		Ready:         n.readiness.isReady(),
		Reason:        n.readiness.reason(),
		Configuration: n.describeConfiguration(),
		Register:      n.describeRegister(view),
		Shares:        n.describeShares(),
		Members:       status.MemberCount{Live: len(view.Live()), Failed: len(view.Failed())},
		Instances:     countInstances(n.registry.Registrations()),
		Requests:      countRequests(&figures),
		Codes:         countCodes(&figures),
		Memory:        readMemory(),
	}
}

// Members lists the routers of the fleet, live ones first.
func (i inspector) Members() []status.Member {
	now := time.Now()
	view := i.node.cluster.View()
	list := make([]status.Member, 0, len(view.Live())+len(view.Failed()))
	for _, member := range view.Live() {
		list = append(list, describeMember(member, membership.Alive, 0))
	}
	for _, failed := range view.Failed() {
		list = append(list, describeMember(failed.Member, failed.Status, failed.Silence(now)))
	}
	return list
}

// Instances lists the registered model instances, ordered by id.
func (i inspector) Instances() []status.Instance {
	registrations := i.node.registry.Registrations()
	list := make([]status.Instance, len(registrations))
	for index := range registrations {
		list[index] = describeInstance(&registrations[index])
	}
	return list
}

// describeConfiguration returns the generation of the routing table and the revision of the newest chosen state. Both
// are zero while there is none.
func (n *Node) describeConfiguration() status.Configuration {
	var configuration status.Configuration
	if table := n.table.Load(); table != nil {
		configuration.Generation = table.Generation()
	}
	if chosen := n.store.Current(); chosen != nil {
		configuration.Revision = chosen.State.Revision
	}
	return configuration
}

// describeRegister returns the acceptors of the configuration register and whether a quorum of them is live.
func (n *Node) describeRegister(view *membership.View) status.Register {
	register := status.Register{Voters: []status.Acceptor{}, Replica: n.describeReplica()}
	chosen := n.store.Current()
	if chosen == nil {
		return register
	}
	live := liveAddresses(view)
	register.Epoch = chosen.Set.Epoch
	register.Voters = describeAcceptors(chosen.Set.Voters, live)
	register.Previous = describeAcceptors(chosen.Set.Previous, live)
	register.Quorum = hasLiveQuorum(chosen.Set, live)
	return register
}

// diskStallThreshold is the duration after which a pending write marks the disk as stalled.
const diskStallThreshold = time.Second

// maxStatusTenants bounds the number of tenants in a status.
const maxStatusTenants = 20

// describeShares returns the coordinator that divides the quotas and this router's shares of them. SilentS is -1 if the
// coordinator has never been heard.
func (n *Node) describeShares() status.Shares {
	current := n.shares.Status(maxStatusTenants)
	described := status.Shares{
		Coordinator:   current.Coordinator,
		IsCoordinator: current.IsCoordinator,
		Term:          current.Term,
		SilentS:       -1,
		Tenants:       make([]status.TenantShare, len(current.Tenants)),
	}
	if current.HasAnswer {
		described.SilentS = current.SinceLastAnswer.Seconds()
	}
	for index, tenant := range current.Tenants {
		described.Tenants[index] = status.TenantShare{
			Tenant:       tenant.Tenant,
			PerS:         tenant.Limit.PerSecond,
			Balance:      tenant.Balance,
			StandingPerS: tenant.Standing,
			AtLimit:      tenant.Scarce,
		}
	}
	return described
}

// describeReplica returns the state of this router's own replica of the register.
func (n *Node) describeReplica() status.Replica {
	switch {
	case !n.Settings().IsAcceptor():
		return status.ReplicaNone
	case n.store.Identity() == "":
		return status.ReplicaOpening
	case n.store.PendingWriteDuration() > diskStallThreshold:
		return status.ReplicaStalled
	case n.store.LastWriteFailed():
		return status.ReplicaWriteFailed
	default:
		return status.ReplicaOpen
	}
}

// liveAddresses returns the set of transport addresses of the live members.
func liveAddresses(view *membership.View) map[string]bool {
	live := make(map[string]bool, len(view.Live()))
	for _, member := range view.Live() {
		live[member.Address] = true
	}
	return live
}

// hasLiveQuorum reports whether the live acceptors form a quorum of the set.
func hasLiveQuorum(set casregister.Set, live map[string]bool) bool {
	addresses := map[casregister.AcceptorID]string{}
	for _, acceptor := range set.Members() {
		addresses[acceptor.ID] = acceptor.Address
	}
	return set.HasQuorum(func(id casregister.AcceptorID) bool { return live[addresses[id]] })
}

func describeAcceptors(acceptors []casregister.Acceptor, live map[string]bool) []status.Acceptor {
	list := make([]status.Acceptor, len(acceptors))
	for index, acceptor := range acceptors {
		list[index] = status.Acceptor{
			ID:       string(acceptor.ID),
			Address:  acceptor.Address,
			Live:     live[acceptor.Address],
			Volatile: acceptor.Volatile,
		}
	}
	return list
}

func describeMember(member membership.Member, state membership.Status, silence time.Duration) status.Member {
	acceptor := member.AcceptorID
	if member.AcceptorVolatile {
		acceptor = ""
	}
	return status.Member{
		Node:     member.Node,
		Status:   state.String(),
		Address:  member.Address,
		Control:  member.ControlAddress,
		Zone:     member.Zone,
		Region:   member.Region,
		Acceptor: acceptor,
		SilentS:  silence.Seconds(),
	}
}

func describeInstance(registration *instances.Registration) status.Instance {
	instance := &registration.Instance
	return status.Instance{
		ID:         instance.ID,
		Backend:    instance.Backend,
		Address:    instance.Address,
		Zone:       instance.Zone,
		State:      instance.State,
		Slots:      instance.Slots,
		Generation: instance.Generation,
		Holder:     registration.Holder,
		Seq:        instance.Seq,
	}
}

func countInstances(registrations []instances.Registration) status.InstanceCount {
	var count status.InstanceCount
	for index := range registrations {
		if registrations[index].Instance.Ready() {
			count.Ready++
		} else {
			count.Draining++
		}
	}
	return count
}

func countRequests(figures *front.Stats) status.Requests {
	return status.Requests{
		Succeeded:         figures.Succeeded,
		ClientErrors:      figures.ClientErrors,
		ServerErrors:      figures.ServerErrors,
		AbortedResponses:  figures.AbortedResponses,
		ClientDisconnects: figures.ClientDisconnects,
		NeverSent:         figures.NeverSent,
		Rejected:          figures.Rejected,
		MayHaveRun:        figures.MayHaveRun,
		Connections:       figures.Connections,
		BodyBytes:         figures.BodyBytesHeld,
	}
}

// countCodes lists the counts of result codes in ascending order of the codes.
func countCodes(figures *front.Stats) []status.CodeCount {
	counts := make([]status.CodeCount, 0, len(figures.Codes))
	for code, count := range figures.Codes {
		counts = append(counts, status.CodeCount{Code: int(code), Name: code.String(), Count: count})
	}
	slices.SortFunc(counts, func(a, b status.CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return counts
}
