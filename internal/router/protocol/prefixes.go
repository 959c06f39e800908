package protocol

// PathPrefixes is the path at which a router serves a PrefixStatus.
const PathPrefixes = "/v1/prefixes"

// PrefixStatus is the set of agreed common prompt prefixes as known to a router.
type PrefixStatus struct {
	Enabled bool `json:"enabled"`
	// Version is the version of the set that this router uses to select instances.
	Version  uint64                     `json:"version"`
	Prefixes []PrefixInfo               `json:"prefixes"`
	Tenants  map[string]TenantPrefixUse `json:"tenants"`
}

// PrefixInfo describes one common prefix.
type PrefixInfo struct {
	Key       string   `json:"key"`
	Backend   string   `json:"backend"`
	Tenant    string   `json:"tenant,omitempty"`
	Tokens    int      `json:"tokens"`
	Share     float64  `json:"share"` // fraction of the backend's prompt tokens
	Instances []string `json:"instances"`
}

// TenantPrefixUse counts a tenant's requests with a common prefix at this router. Hits are those sent to an instance
// that this router had sent the prefix to before. RecomputedTokens counts the prefix tokens that instances processed
// anew for the others.
type TenantPrefixUse struct {
	Requests         uint64 `json:"requests"`
	Hits             uint64 `json:"hits"`
	RecomputedTokens uint64 `json:"tokens_read_again"`
}
