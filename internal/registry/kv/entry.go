package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

// State of an app node as the store tells it.
type State uint8

const (
	Up State = iota
	Draining
	Gone
)

// Entry is one app node.
type Entry struct {
	ID, Address, Zone, Kind string
	Cell                    int
	Weight                  float64
	Started                 time.Duration // on the node's clock; 0: long ago
	State                   State
}

const (
	maxValue  = 64 << 10 // bytes of one entry: some hundred times what its fields take
	maxWord   = 256      // bytes of an id, a zone or a kind
	maxWeight = 1e6
	maxCell   = 1 << 20
	// maxMs is where milliseconds no longer fit a time.Duration with room for the clocks' difference.
	maxMs = math.MaxInt64 / 4e6
)

// fields is a value in the store. An entry without a state makes no sense: a list that is cut must not read as "up".
type fields struct {
	ID      string   `json:"id"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Kind    string   `json:"kind"`
	Cell    int      `json:"cell"`
	Weight  *float64 `json:"weight"` // 1 where it is left out
	Started float64  `json:"up_since_ms"`
	State   string   `json:"state"`
}

// Decode reads one value. started maps Unix milliseconds on the node's clock; it is not asked for 0, "long ago".
func Decode(raw []byte, started func(ms float64) time.Duration) (Entry, error) {
	if len(raw) > maxValue {
		return Entry{}, fmt.Errorf("%d bytes are no entry", len(raw))
	}
	var f fields
	if err := json.Unmarshal(raw, &f); err != nil {
		return Entry{}, err
	}
	e := Entry{ID: f.ID, Address: f.Address, Zone: f.Zone, Kind: f.Kind, Cell: f.Cell, Weight: 1}
	if f.Weight != nil {
		e.Weight = *f.Weight
	}
	switch f.State {
	case "up":
	case "draining":
		e.State = Draining
	default:
		return e, fmt.Errorf("state: %.40q is neither up nor draining", f.State)
	}
	host, port, err := net.SplitHostPort(f.Address)
	if err != nil {
		return e, fmt.Errorf("address: %.80w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || len(host) > maxWord {
		return e, fmt.Errorf("address: %.80q is no host and port", f.Address)
	}
	switch {
	case f.ID == "":
		return e, errors.New("id is missing")
	case len(f.ID) > maxWord || len(f.Zone) > maxWord || len(f.Kind) > maxWord:
		return e, fmt.Errorf("id, zone or kind is longer than %d bytes", maxWord)
	case f.Cell < 0 || f.Cell > maxCell:
		return e, fmt.Errorf("cell: %d is out of range", f.Cell)
	case !(e.Weight > 0 && e.Weight <= maxWeight):
		return e, fmt.Errorf("weight: %g is out of range", e.Weight)
	case !(f.Started >= 0 && f.Started <= maxMs):
		return e, fmt.Errorf("up_since_ms: %g is out of range", f.Started)
	}
	if f.Started != 0 {
		if e.Started = started(f.Started); e.Started == 0 {
			e.Started = 1 // the very start of the clock is not "long ago"
		}
	}
	return e, nil
}
