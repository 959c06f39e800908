package routing

import (
	"strings"

	"pewterrudder/internal/router/document"
)

// Backend is a service that requests are routed to. It is immutable.
type Backend struct {
	Name           string
	HealthPath     string
	MaxConnections int     // limit for all clients of the service together; 0: not set
	ColdPerSecond  float64 // as configured in cold_per_s
	Protocol       string
	TLS            bool
	Engine         *document.Engine // nil: not set
}

// Tenant is a customer that is identified by its API keys. It is immutable.
type Tenant struct {
	Name          string
	Priority      int     // 0 is the most urgent
	CountsTokens  bool    // the unit of the quota is tokens, otherwise requests
	PlainTokens   float64 // tokens charged for a request that does not state its own
	RatePerSecond float64 // in units of the quota; 0: no limit
	Burst         float64 // in units of the quota
}

func newRoute(source *document.Route) *Route {
	return &Route{
		Name:       source.Name,
		Hostname:   strings.ToLower(source.Hostname),
		PathPrefix: source.PathPrefix,
		Kind:       parseKind(source.Kind),
		Timeout:    fromMilliseconds(source.TimeoutMs),
		Target:     fromMilliseconds(source.TargetMs),
		GapAim:     fromMilliseconds(source.GapAimMs),
		Priority:   int(source.Priority),
		Retries:    max(1, int(source.Retries)),
		Public:     source.Public,
		Sticky:     source.Sticky,
		Resume:     source.Resume,
		shares:     newShares(source),
	}
}

func newBackend(source *document.Backend) *Backend {
	return &Backend{
		Name:           source.Name,
		HealthPath:     source.HealthPath,
		MaxConnections: int(source.MaxConns),
		ColdPerSecond:  source.ColdPerS,
		Protocol:       source.Protocol,
		TLS:            source.TLS,
		Engine:         source.Engine,
	}
}

func newTenant(source *document.Tenant) *Tenant {
	return &Tenant{
		Name:          source.Name,
		Priority:      int(source.Priority),
		CountsTokens:  source.Unit == document.UnitTokens,
		PlainTokens:   source.PlainTokens,
		RatePerSecond: source.PerS,
		Burst:         source.Burst,
	}
}
