// Package settings reads and checks the settings file of a router process.
package settings

import (
	"math"
	"slices"
	"time"
)

// EnvironmentVariable names the variable that holds the path of the settings file.
const EnvironmentVariable = "PEWTERRUDDER_CONFIG"

// What a router may serve to callers from outside.
const (
	ServesEdge    = "edge"
	ServesControl = "control"
)

// Settings are what the platform tells a process. Keys that are not listed are ignored. docs/settings.md describes each key.
type Settings struct {
	Node            string            `toml:"node" validate:"required"`
	Role            string            `toml:"role"`
	MachineClass    string            `toml:"machine_class"`
	Serves          []string          `toml:"serves"`
	IP              string            `toml:"ip" validate:"required,ip"`
	Zone            string            `toml:"zone" validate:"required"`
	Region          string            `toml:"region"`
	PortRange       []int             `toml:"port_range" validate:"len=2,dive,min=1,max=65535"`
	Seeds           []string          `toml:"seeds" validate:"dive,hostname_port"`
	Bootstrap       bool              `toml:"bootstrap"`
	CountsForQuorum bool              `toml:"counts_for_quorum"`
	DataDir         string            `toml:"data_dir"`
	HeartbeatMs     int               `toml:"heartbeat_ms" validate:"min=0"`
	Contracts       []string          `toml:"contracts"`
	Zones           map[string]string `toml:"zones"`
	Listen          Listen            `toml:"listen"`
	Limits          Limits            `toml:"limits"`
	Tolerate        Tolerate          `toml:"tolerate"`
	Bounds          Bounds            `toml:"bounds"`
	// Isolation says what a router does that is cut off from the acceptors.
	Isolation Isolation `toml:"isolation"`
	// CommonPrefixes switches the fleet's agreement on common prompt prefixes on.
	CommonPrefixes bool `toml:"common_prefixes"`

	warnings []Finding
}

// Listen holds the addresses at which the process serves; an empty one is not served.
type Listen struct {
	Front   string `toml:"front" validate:"omitempty,hostname_port"`
	Ready   string `toml:"ready" validate:"omitempty,hostname_port"`
	Control string `toml:"control" validate:"omitempty,hostname_port"`
}

// Limits are the machine's.
type Limits struct {
	CPUShare float64 `toml:"cpu_share" validate:"min=0"`
	Cores    int     `toml:"cores" validate:"min=0"`
	MemoryMB int     `toml:"memory_mb" validate:"min=0"`
	MaxFDs   int     `toml:"max_fds" validate:"min=0"`
	LinkMbps float64 `toml:"link_mbps" validate:"min=0"`
	DiskMB   int     `toml:"disk_mb" validate:"min=0"`
}

// Isolation is what a site chooses for routers that no quorum of the acceptors answers.
type Isolation struct {
	// NotReadyAfterS is the time after which such a router tells the platform that it is not ready; 0: it stays ready.
	NotReadyAfterS float64 `toml:"not_ready_after_s" validate:"min=0"`
}

// Tolerate says what may be lost at once.
type Tolerate struct {
	Machines int `toml:"machines" validate:"min=0"`
	Zones    int `toml:"zones" validate:"min=0"`
	Regions  int `toml:"regions" validate:"min=0"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLagS        float64 `toml:"seed_lag_s" validate:"min=0"`
	ReuseAfterS     float64 `toml:"reuse_after_s" validate:"min=0"`
	ContactMs       int     `toml:"contact_ms" validate:"min=0"`
	AckMs           int     `toml:"ack_ms" validate:"min=0"`
	CatchupS        float64 `toml:"catchup_s" validate:"min=0"`
	DrainMs         int     `toml:"drain_ms" validate:"min=0"`
	GraceS          float64 `toml:"grace_s" validate:"min=0"`
	LostMs          int     `toml:"lost_ms" validate:"min=0"`
	ConfigMs        int     `toml:"config_ms" validate:"min=0"`
	RollbackSlackMs int     `toml:"rollback_slack_ms" validate:"min=0"`
	OuterMs         int     `toml:"outer_ms" validate:"min=0"`
	Closed          bool    `toml:"closed"`
	RevokeMs        int     `toml:"revoke_ms" validate:"min=0"`
	RetryRatio      float64 `toml:"retry_ratio" validate:"min=0"`
	RetryWindowS    float64 `toml:"retry_window_s" validate:"min=0"`
	RetrySlack      float64 `toml:"retry_slack" validate:"min=0"`
	QuotaWindowS    float64 `toml:"quota_window_s" validate:"min=0"`
	QuotaOver       float64 `toml:"quota_over" validate:"min=0"`
	QuotaSlack      float64 `toml:"quota_slack" validate:"min=0"`
	RecoveryS       float64 `toml:"recovery_s" validate:"min=0"`
	PassMs          int     `toml:"pass_ms" validate:"min=0"`
	AgainS          float64 `toml:"again_s" validate:"min=0"`
}

// ServesTo tells whether the process serves callers of the given sort.
func (s *Settings) ServesTo(sort string) bool { return slices.Contains(s.Serves, sort) }

// Acceptor tells whether the process holds a replica of the configuration register.
func (s *Settings) Acceptor() bool {
	return s.CountsForQuorum && s.DataDir != "" && s.ServesTo(ServesControl)
}

// Warnings lists what is odd about the file without keeping it from being used.
func (s *Settings) Warnings() []Finding { return s.warnings }

// Milliseconds converts a bound given in milliseconds.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Seconds converts a bound given in seconds. One that is too long for a time.Duration becomes the longest.
func Seconds(s float64) time.Duration {
	nanoseconds := s * float64(time.Second)
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}
