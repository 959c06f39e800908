// Package protocol defines the HTTP interfaces to clients, model instances and operators: headers, paths, and the values
// and bodies that they carry.
package protocol

// Header names of requests and responses in canonical form, and content types.
const (
	HeaderRequestID         = "X-Pewterrudder-Request-Id"
	HeaderDeadlineMs        = "X-Pewterrudder-Deadline-Ms"
	HeaderPrefixHash        = "X-Pewterrudder-Prefix-Hash"
	HeaderLastEventID       = "Last-Event-Id"
	HeaderResponseSignature = "X-Pewterrudder-Response-Signature"
	HeaderTenant            = "X-Pewterrudder-Tenant"
	HeaderExpectInstance    = "X-Pewterrudder-Expect-Instance"
	HeaderLoad              = "X-Pewterrudder-Load"
	HeaderNotExecuted       = "X-Pewterrudder-Not-Executed"
	HeaderRetryAfter        = "Retry-After"
	HeaderBaseRevision      = "X-Pewterrudder-Base-Revision"
	HeaderInstanceID        = "X-Pewterrudder-Instance-Id"
	HeaderModel             = "X-Pewterrudder-Model"
	HeaderTokenCount        = "X-Pewterrudder-Token-Count"
	HeaderAPIKey            = "Api-Key"
	HeaderPriority          = "Priority"
	HeaderExpectVersion     = "Expect-Version"
	HeaderVersions          = "Versions"
	ContentTypeJSON         = "application/json"
	ContentTypeEventStream  = "text/event-stream"
)

// Paths of the router's interfaces, and of the report that an instance serves.
const (
	PathReady       = "/v1/readyz"
	PathHeartbeat   = "/v1/instances/{id}/heartbeat"
	PathDeregister  = "/v1/instances/{id}/deregister"
	PathConfigPut   = "/v1/config/put"
	PathConfigPatch = "/v1/config/patch"
	PathConfigGet   = "/v1/config/get"
	PathSnapshot    = "/v1/register/snapshot"
	PathRestore     = "/v1/register/restore"
	PathReport      = "/v1/report"
	PathStatus      = "/v1/status"
	PathMembers     = "/v1/members"
	PathInstances   = "/v1/instances"
)

// States that an instance reports in its heartbeats.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Model is one model served by an instance.
type Model struct {
	Name       string   `json:"name" msgpack:"name"`
	Generation int64    `json:"generation" msgpack:"generation"`
	LoRAs      []string `json:"loras" msgpack:"loras"`
}

// Heartbeat is the body of an instance's heartbeat.
type Heartbeat struct {
	Backend    string  `json:"backend"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Generation string  `json:"generation"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdMs     float64 `json:"cold_ms"`
	Phase      string  `json:"phase"`
	Models     []Model `json:"models"`
	Seq        int64   `json:"seq"`
}

// HeartbeatResponse acknowledges a heartbeat. BeatURL is where to send later heartbeats; empty means any router.
type HeartbeatResponse struct {
	BeatURL string `json:"beat_url,omitempty"`
}

// Report is the body of an instance's response to GET /v1/report.
type Report struct {
	Phase   string  `json:"phase"`
	Models  []Model `json:"models"`
	Busy    bool    `json:"busy"`
	Seq     int64   `json:"seq"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	KVUsed  int64   `json:"kv_used"`
	KVTotal int64   `json:"kv_total"`
	Handles int     `json:"handles"`
}
