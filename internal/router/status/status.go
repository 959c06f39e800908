// Package status defines the JSON bodies of the read-only calls of the control interface, through which operators inspect
// a router.
package status

// Status is the response to GET /v1/status.
type Status struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// UptimeS is the time since the start of the process, in seconds.
	UptimeS float64 `json:"uptime_s"`
	Ready   bool    `json:"ready"`
	// Reason explains why the router is not ready; empty if it is ready.
	Reason        string        `json:"reason,omitempty"`
	Configuration Configuration `json:"configuration"`
	Register      Register      `json:"register"`
	Shares        Shares        `json:"shares"`
	Members       MemberCount   `json:"members"`
	Instances     InstanceCount `json:"instances"`
	Requests      Requests      `json:"requests"`
	Codes         []CodeCount   `json:"codes"`
	Memory        Memory        `json:"memory"`
}

// Configuration identifies the configuration that the router applies.
type Configuration struct {
	// Generation is the number assigned by the operator; 0 means that there is no configuration yet.
	Generation int64 `json:"generation"`
	// Revision is the number of changes that the register has chosen.
	Revision uint64 `json:"revision"`
}

// Register is the configuration register as seen by the router.
type Register struct {
	// Epoch increases with each change of the acceptor set.
	Epoch uint64 `json:"epoch"`
	// Voters are the acceptors of the current set; empty if the router knows no set yet.
	Voters []Acceptor `json:"voters"`
	// Previous lists the voters of the previous set during a membership change. Until the change completes, a quorum of
	// them is needed as well.
	Previous []Acceptor `json:"previous,omitempty"`
	// Quorum reports whether enough acceptors are live to choose a change.
	Quorum bool `json:"quorum"`
	// Replica is the state of the router's own replica.
	Replica Replica `json:"replica"`
}

// Replica is the state of a router's own replica of the register.
type Replica string

// States of a replica.
const (
	ReplicaNone    Replica = "none"    // the router has no replica
	ReplicaOpening Replica = "opening" // the disk has not completed the first read yet
	ReplicaOpen    Replica = "open"
	// ReplicaStalled means that a write to the disk has been pending for more than one second.
	ReplicaStalled Replica = "stalled"
	// ReplicaWriteFailed means that the last write to the disk failed.
	ReplicaWriteFailed Replica = "refusing"
)

// Shares describes how the quotas and the retry budget are divided among the routers: the coordinator that divides them,
// and the shares of this router.
type Shares struct {
	// Coordinator is the transport address of the last known coordinator; empty if none is known.
	Coordinator string `json:"coordinator"`
	// IsCoordinator reports whether this router is the coordinator.
	IsCoordinator bool `json:"leads"`
	// Term is the last known lease term of the coordinator.
	Term uint64 `json:"term"`
	// SilentS is the time since the last response of the coordinator, in seconds; negative if there was none since the
	// start.
	SilentS float64 `json:"silent_s"`
	// Tenants are the tenants with the most requests at this router, at most 20.
	Tenants []TenantShare `json:"tenants"`
}

// TenantShare is a router's share of a tenant's quota. Its unit is that of the quota, requests or tokens.
type TenantShare struct {
	Tenant string `json:"tenant"`
	// PerS is the tenant's limit per second across the fleet.
	PerS float64 `json:"per_s"`
	// Balance is the amount that the router may still admit without asking the coordinator; negative after an overdraft.
	Balance float64 `json:"balance"`
	// StandingPerS is the rate per second at which the router refills its balance while it hears nothing from the
	// coordinator.
	StandingPerS float64 `json:"standing_per_s"`
	// AtLimit reports that the tenant uses its whole limit.
	AtLimit bool `json:"at_limit"`
}

// Acceptor is a router that holds a replica of the register.
type Acceptor struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Live reports whether the router is considered alive.
	Live bool `json:"live"`
	// Volatile reports that the replica is held only in memory and is lost when its process ends.
	Volatile bool `json:"volatile,omitempty"`
}

// MemberCount is the number of routers by state.
type MemberCount struct {
	Live   int `json:"live"`
	Failed int `json:"failed"`
}

// InstanceCount is the number of model instances by state.
type InstanceCount struct {
	Ready    int `json:"ready"`
	Draining int `json:"draining"`
}

// Requests counts client requests and attempts to send them to instances, both since the start.
type Requests struct {
	Succeeded    uint64 `json:"succeeded"`
	ClientErrors uint64 `json:"client_errors"`
	ServerErrors uint64 `json:"server_errors"`
	// AbortedResponses counts responses that were aborted midway. Gone counts requests whose client disconnected.
	AbortedResponses  uint64 `json:"broken"`
	ClientDisconnects uint64 `json:"gone"`
	// NeverSent, Rejected and MayHaveRun count attempts without a response, by what is known of their execution.
	NeverSent  uint64 `json:"attempts_never_sent"`
	Rejected   uint64 `json:"attempts_rejected"`
	MayHaveRun uint64 `json:"attempts_may_have_run"`
	// Connections is the number of open client connections.
	Connections int `json:"connections"`
	// BodyBytes is the current size of buffered request bodies, in bytes.
	BodyBytes int64 `json:"body_bytes"`
}

// CodeCount is the number of responses with a result code since the start.
type CodeCount struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}

// Memory is the memory usage of the process, in bytes.
type Memory struct {
	// Heap is the memory of live and not yet collected objects.
	Heap uint64 `json:"heap_bytes"`
	// Total is the memory that the runtime has obtained from the operating system and not returned.
	Total uint64 `json:"total_bytes"`
	// Limit is the soft memory limit of the garbage collector; 0 means none.
	Limit      uint64 `json:"limit_bytes"`
	Goroutines uint64 `json:"goroutines"`
}
