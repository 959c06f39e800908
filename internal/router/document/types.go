// Package document defines the operator's configuration document: its types, decoding and validation, encoding that
// preserves fields that the router does not know, and patches. It has no side effects: no clock, goroutines or I/O.
package document

import "encoding/json"

// Kinds of requests that a route serves.
const (
	KindIdempotent    = "idempotent"
	KindNonIdempotent = "non_idempotent"
	KindStreaming     = "streaming"
)

// Units in which a tenant's quota is counted.
const (
	UnitTokens   = "tokens"
	UnitRequests = "requests"
)

// Configuration is a whole configuration document. One that Parse or Apply returned is shared by many readers and must
// not be modified; Marshal would ignore changes to decoded items, because it writes the text that they were decoded
// from.
type Configuration struct {
	Generation int64
	Routes     []Route
	Backends   []Backend
	Limits     Limits
	Tenants    []Tenant

	// Unknown holds the top-level fields that the router does not know, by name.
	Unknown map[string]json.RawMessage
}

// Route maps the requests of a hostname and path prefix to a service, or splits them among several.
type Route struct {
	Name       string  `json:"name" validate:"required"`
	Hostname   string  `json:"hostname" validate:"required"`
	PathPrefix string  `json:"path_prefix" validate:"required,startswith=/,endswith=/"`
	Kind       string  `json:"kind" validate:"oneof=idempotent non_idempotent streaming"`
	TimeoutMs  float64 `json:"timeout_ms" validate:"gt=0"`
	TargetMs   float64 `json:"target_ms,omitempty" validate:"min=0"`
	Priority   Integer `json:"priority" validate:"min=0"`
	Backend    string  `json:"backend,omitempty"`
	Split      []Share `json:"split,omitempty" validate:"dive"`
	Retries    Integer `json:"retries,omitempty" validate:"min=0"`
	Public     bool    `json:"public"`
	Sticky     bool    `json:"sticky"`
	Resume     bool    `json:"resume"`
	GapAimMs   float64 `json:"gap_aim_ms,omitempty" validate:"min=0"`

	original
}

// Share is the weight of one service in a route's split.
type Share struct {
	Backend string  `json:"backend" validate:"required"`
	Weight  float64 `json:"weight" validate:"min=0"`
}

// Backend is a service: a group of model instances that run the same requests.
type Backend struct {
	Name       string  `json:"name" validate:"required"`
	HealthPath string  `json:"health_path,omitempty"`
	MaxConns   Integer `json:"max_conns,omitempty" validate:"min=0"`
	ColdPerS   float64 `json:"cold_per_s,omitempty"`
	Protocol   string  `json:"protocol,omitempty"`
	TLS        bool    `json:"tls"`
	Engine     *Engine `json:"engine,omitempty"`

	original
}

// Engine describes the model engine of a service's instances.
type Engine struct {
	Slots        float64       `json:"slots,omitempty"`
	KVCapacity   float64       `json:"kv_capacity,omitempty"`
	KVTokenBytes float64       `json:"kv_token_bytes,omitempty"`
	LinkMbps     float64       `json:"link_mbps,omitempty"`
	Stride       float64       `json:"stride,omitempty"`
	Models       []EngineModel `json:"models,omitempty"`
}

// EngineModel is one model that a service's instances may serve.
type EngineModel struct {
	Name string `json:"name"`
}

// Limits bounds the size and duration of client requests. 0 means that a limit is not set.
type Limits struct {
	MaxHeaderBytes  Integer `json:"max_header_bytes,omitempty" validate:"min=0"`
	MaxBodyBytes    Integer `json:"max_body_bytes,omitempty" validate:"min=0"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms,omitempty" validate:"min=0"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms,omitempty" validate:"min=0"`

	original
}

// Tenant is a group of clients that share a set of API keys and a quota.
type Tenant struct {
	Name        string   `json:"name" validate:"required"`
	APIKeys     []string `json:"api_keys,omitempty" validate:"dive,required"`
	Priority    Integer  `json:"priority" validate:"min=0"`
	Unit        string   `json:"unit,omitempty" validate:"omitempty,oneof=tokens requests"`
	PlainTokens float64  `json:"plain_tokens,omitempty" validate:"min=0"`
	PerS        float64  `json:"per_s,omitempty" validate:"min=0"`
	Burst       float64  `json:"burst,omitempty" validate:"min=0"`

	original
}
