package status

// Instance is one model instance in the response to GET /v1/instances.
type Instance struct {
	ID         string `json:"id"`
	Backend    string `json:"backend"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	State      string `json:"state"`
	Slots      int    `json:"slots"`
	Generation string `json:"generation"`
	// Holder is the router that receives the instance's heartbeats and detects when they stop.
	Holder string `json:"holder"`
	// Seq is the sequence number of the last heartbeat that changed something. At the holder it is that of the newest
	// heartbeat.
	Seq int64 `json:"seq"`
}
