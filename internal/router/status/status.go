// Package status holds what a router tells of itself to operators: the JSON bodies of the control interface's read-only calls.
package status

// Status is the answer to GET /v1/status.
type Status struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// UptimeS is the time since the start, in seconds.
	UptimeS float64 `json:"uptime_s"`
	Ready   bool    `json:"ready"`
	// Reason says why the router is not ready.
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

// Configuration says which configuration is in force at the router.
type Configuration struct {
	// Generation is the operator's number; 0: none is in force yet.
	Generation int64 `json:"generation"`
	// Revision counts the chosen changes.
	Revision uint64 `json:"revision"`
}

// Register says how the router sees the configuration register.
type Register struct {
	// Epoch rises with each change of the acceptor set.
	Epoch uint64 `json:"epoch"`
	// Voters are the acceptors in force; none: the router knows no set yet.
	Voters []Acceptor `json:"voters"`
	// Previous lists the voters before a change under way, which count too until it is over.
	Previous []Acceptor `json:"previous,omitempty"`
	// Quorum says whether enough acceptors are live for a change.
	Quorum bool `json:"quorum"`
	// Replica says how this router's own replica is.
	Replica Replica `json:"replica"`
}

// Replica is the state of a router's own replica of the register.
type Replica string

// States of a replica.
const (
	ReplicaNone    Replica = "none"    // the router holds none
	ReplicaOpening Replica = "opening" // its disk has not answered yet
	ReplicaOpen    Replica = "open"
	// ReplicaStalled means that its disk has not answered a write for over a second.
	ReplicaStalled Replica = "stalled"
	// ReplicaRefusing means that its disk refused the last write.
	ReplicaRefusing Replica = "refusing"
)

// Shares says who divides the quotas and the retry budget among the routers, and what this router has of them.
type Shares struct {
	// Coordinator is the transport address of the router that divides them, as last heard; empty: none is known.
	Coordinator string `json:"coordinator"`
	// Leads says that this router is the coordinator.
	Leads bool `json:"leads"`
	// Term is the coordinator's lease term as last heard.
	Term uint64 `json:"term"`
	// SilentS is the time since the coordinator's last answer, in seconds; negative: there was none since the start.
	SilentS float64 `json:"silent_s"`
	// Tenants are those with the most requests here, at most 20.
	Tenants []TenantShare `json:"tenants"`
}

// TenantShare is what a router has of a tenant's quota, in requests or tokens, as the quota is.
type TenantShare struct {
	Tenant string `json:"tenant"`
	// PerS is the tenant's limit a second over the whole fleet.
	PerS float64 `json:"per_s"`
	// Balance may still be admitted without asking; negative after an overdraft.
	Balance float64 `json:"balance"`
	// StandingPerS is the rate with which the router supplies itself while it hears nothing.
	StandingPerS float64 `json:"standing_per_s"`
	// AtLimit says that the tenant uses its whole limit.
	AtLimit bool `json:"at_limit"`
}

// Acceptor is a router that holds a replica of the register.
type Acceptor struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Live says whether the router counts as alive.
	Live bool `json:"live"`
	// Volatile says that the replica is in memory and gone with its process.
	Volatile bool `json:"volatile,omitempty"`
}

// MemberCount counts the routers.
type MemberCount struct {
	Live   int `json:"live"`
	Failed int `json:"failed"`
}

// InstanceCount counts the model instances.
type InstanceCount struct {
	Ready    int `json:"ready"`
	Draining int `json:"draining"`
}

// Requests counts clients' requests and attempts at instances since the start.
type Requests struct {
	Succeeded    uint64 `json:"succeeded"`
	ClientErrors uint64 `json:"client_errors"`
	ServerErrors uint64 `json:"server_errors"`
	// Broken counts answers that were broken off, Gone requests whose client left.
	Broken uint64 `json:"broken"`
	Gone   uint64 `json:"gone"`
	// NeverSent, Rejected and MayHaveRun count attempts that brought no answer.
	NeverSent  uint64 `json:"attempts_never_sent"`
	Rejected   uint64 `json:"attempts_rejected"`
	MayHaveRun uint64 `json:"attempts_may_have_run"`
	// Connections of clients are open now.
	Connections int `json:"connections"`
	// BodyBytes of requests are held now.
	BodyBytes int64 `json:"body_bytes"`
}

// CodeCount says how often the router has answered with a result code since its start.
type CodeCount struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}

// Memory is what the process uses, in bytes.
type Memory struct {
	// Heap is held by live and not yet collected objects.
	Heap uint64 `json:"heap_bytes"`
	// Total is all that the runtime has taken from the system and not given back.
	Total uint64 `json:"total_bytes"`
	// Limit is the collector's goal; 0: none.
	Limit      uint64 `json:"limit_bytes"`
	Goroutines uint64 `json:"goroutines"`
}
