package boxapi

import (
	"encoding/json"
	"time"

	"pewterrudder/internal/control"
)

// Status is the box at a glance.
type Status struct {
	Name     string        `json:"name"`
	Version  string        `json:"version"`
	Up       time.Duration `json:"up_ns"`
	Ready    bool          `json:"ready"`    // takes calls
	Draining bool          `json:"draining"` // on its way down
	Pools    int           `json:"pools"`
	Nodes    int           `json:"nodes"`
	Serving  int           `json:"serving"` // nodes that get work
	Calls    uint64        `json:"calls"`   // since the start
	Rate     float64       `json:"calls_per_s"`
	Open     int           `json:"open_calls"`
	Refused  uint64        `json:"refused"` // overload replies since the start
	Failed   uint64        `json:"failed"`

	// The service fills these in.
	Revision uint64         `json:"revision"`
	Store    string         `json:"store"`            // StoreOK, or why edits are refused
	Ending   []control.Want `json:"ending,omitempty"` // what ends by itself, or unless it is confirmed
	Watchers int            `json:"watchers"`
}

// StoreOK is what Status says of a store whose latest write succeeded.
const StoreOK = "ok"

// Pool is one pool: what it has, and what operators want of it.
type Pool struct {
	Name     string  `json:"name"`
	Members  int     `json:"members"`
	Serving  int     `json:"serving"`
	Open     int     `json:"open_calls"`
	Rate     float64 `json:"calls_per_s"`
	Cap      int     `json:"cap,omitempty"`     // most open calls; 0: none
	ByHand   bool    `json:"by_hand"`           // operators made it: discovery has no say
	Warnings string  `json:"warning,omitempty"` // such as: no node is left
}

// State of a node, as one word for a table. What is behind it is Why's to say.
type State string

const (
	Serving  State = "serving"
	Drained  State = "drained"  // an operator's word
	Leaving  State = "leaving"  // discovery's word: it drains
	Ejected  State = "ejected"  // failed too often of late
	Cold     State = "cold"     // warming up: a part of its share
	Silent   State = "silent"   // has sent no load report of late
	Dead     State = "dead"     // no connect succeeds
	Unlisted State = "unlisted" // operators have a word on it, the roster does not list it
)

// Works says whether a node in this state gets work.
func (s State) Works() bool { return s == Serving || s == Cold || s == Silent }

// Node is an app node as the box sees it now.
type Node struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone,omitempty"`
	Pools   []string      `json:"pools"`
	State   State         `json:"state"`
	Ready   bool          `json:"ready"`    // it would get work, were it not for an operator's drain
	Since   time.Duration `json:"since_ns"` // it has been so; 0: not known
	Load    float64       `json:"load"`     // as last reported, 1 being all that it can
	Open    int           `json:"open_calls"`
	Rate    float64       `json:"calls_per_s"`
	Failed  float64       `json:"failed_share"` // of its attempts of late

	// The roster's word and the operators' are kept apart. 0: they have none.
	RosterWeight float64 `json:"roster_weight"`
	RosterDrains bool    `json:"roster_drains"`
	Weight       float64 `json:"weight,omitempty"`
	Drained      bool    `json:"drained"` // the operators' word, whatever State is
}

// Why says why a node gets the work that it gets, most weighty first.
type Why struct {
	Node    string   `json:"node"`
	State   State    `json:"state"`
	Works   bool     `json:"works"`
	Reasons []Reason `json:"reasons"`
}

// Reason is one of those.
type Reason struct {
	Kind  string        `json:"kind"` // a State, or "pool", "weight", "cap", "zone", "roster", "load"
	Since time.Duration `json:"since_ns,omitempty"`
	Text  string        `json:"text"`
	Try   string        `json:"try,omitempty"` // the command that would change it
}

// Roster is what discovery says, beside which the operators' word stands.
type Roster struct {
	Sources []Source `json:"sources"`
	Entries []Entry  `json:"entries"`
}

// Peers is what is believed of the other balancers.
type Peers struct {
	On       bool            `json:"on"` // this balancer hears of others at all
	Own      Peer            `json:"own"`
	Crowd    int             `json:"crowd"`    // balancers that share an app node, as decisions divide by it
	Believed bool            `json:"believed"` // the view is behind that number, else the settings are
	Peers    []Peer          `json:"peers"`
	Counts   json.RawMessage `json:"counts,omitempty"` // of packets and tries
}

// Peer is one balancer's process.
type Peer struct {
	ID      string        `json:"id"`
	Name    string        `json:"name"`
	Address string        `json:"address"`
	Zone    string        `json:"zone,omitempty"`
	Version string        `json:"version,omitempty"`
	Live    bool          `json:"live"`
	For     time.Duration `json:"for_ns"`          // it has been believed so
	Facts   int           `json:"facts,omitempty"` // that it says and are held
}

// Source is one registry.
type Source struct {
	Name     string        `json:"name"`
	Role     string        `json:"role"`
	Health   string        `json:"health"`
	Standing string        `json:"standing"`
	Age      time.Duration `json:"age_ns"`
	Entries  int           `json:"entries"`
	Why      string        `json:"why,omitempty"`
}

// Entry is one node as the roster has it.
type Entry struct {
	ID      string   `json:"id"`
	Address string   `json:"address"`
	Zone    string   `json:"zone,omitempty"`
	State   string   `json:"state"`
	Weight  float64  `json:"weight"`
	By      []string `json:"by,omitempty"`
	From    string   `json:"from,omitempty"`
}
