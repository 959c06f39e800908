package status

// Member is one router in the response to GET /v1/members.
type Member struct {
	Node    string `json:"node"`
	Status  string `json:"status"`
	Address string `json:"address"`
	Control string `json:"control"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Acceptor is the ID of the router's replica of the register; empty if it has none.
	Acceptor string `json:"acceptor,omitempty"`
	// SilentS is the time since the last sign of life, in seconds; 0 for live members.
	SilentS float64 `json:"silent_s"`
}
