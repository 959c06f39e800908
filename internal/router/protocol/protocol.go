// Package protocol holds the names that clients, model instances and the operator speak: headers, paths and
// the values of their fields.
package protocol

// Headers of requests and answers, in canonical form.
const (
	HeaderRequestID        = "X-Pewterrudder-Request-Id"
	HeaderDeadlineMs       = "X-Pewterrudder-Deadline-Ms"
	HeaderPrefixHash       = "X-Pewterrudder-Prefix-Hash"
	HeaderLastEventID      = "Last-Event-Id"
	HeaderSignature        = "X-Pewterrudder-Response-Signature"
	HeaderTenant           = "X-Pewterrudder-Tenant"
	HeaderExpectInstance   = "X-Pewterrudder-Expect-Instance"
	HeaderLoad             = "X-Pewterrudder-Load"
	HeaderNotExecuted      = "X-Pewterrudder-Not-Executed"
	HeaderRetryAfter       = "Retry-After"
	HeaderBaseRevision     = "X-Pewterrudder-Base-Revision"
	HeaderInstanceID       = "X-Pewterrudder-Instance-Id"
	HeaderModel            = "X-Pewterrudder-Model"
	HeaderTokenCount       = "X-Pewterrudder-Token-Count"
	HeaderAPIKey           = "Api-Key"
	HeaderPriority         = "Priority"
	HeaderExpectVersion    = "Expect-Version"
	HeaderVersions         = "Versions"
	ContentTypeJSON        = "application/json"
	ContentTypeEventStream = "text/event-stream"
)

// Paths of the system's own interfaces and of an instance's report.
const (
	PathReady      = "/v1/readyz"
	PathHeartbeat  = "/v1/instances/{id}/heartbeat"
	PathDeregister = "/v1/instances/{id}/deregister"
	PathConfigPut  = "/v1/config/put"
	PathConfigEdit = "/v1/config/patch"
	PathConfigGet  = "/v1/config/get"
	PathSnapshot   = "/v1/register/snapshot"
	PathRestore    = "/v1/register/restore"
	PathReport     = "/v1/report"
	PathStatus     = "/v1/status"
	PathMembers    = "/v1/members"
	PathInstances  = "/v1/instances"
)

// States that an instance announces.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Model is one model that an instance serves.
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

// HeartbeatAnswer acknowledges a heartbeat.
type HeartbeatAnswer struct {
	BeatURL string `json:"beat_url,omitempty"`
}

// Report is the body of an instance's answer to GET /v1/report.
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
