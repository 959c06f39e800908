// Package settings reads and checks the settings file of a router process.
package settings

import (
	"math"
	"slices"
	"time"
)

// EnvironmentVariable is the name of the environment variable that holds the path of the settings file.
const EnvironmentVariable = "PEWTERRUDDER_CONFIG"

// Values of the key serves: the kinds of external callers that a router may serve.
const (
	ServesEdge    = "edge"
	ServesControl = "control"
)

// contractTenants is the contract of deployments whose clients are tenants.
const contractTenants = "tenants"

// Settings hold the configuration that the platform passes to a process. Unknown keys are ignored. docs/settings.md
// describes each key.
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
	// Isolation configures the behavior of a router that cannot reach a quorum of the acceptors.
	Isolation Isolation `toml:"isolation"`
	// CommonPrefixes enables the fleet's agreement on common prompt prefixes.
	CommonPrefixes bool `toml:"common_prefixes"`

	warnings []Finding
}

// Listen holds the addresses on which the process listens. An interface with an empty address is not served.
type Listen struct {
	Front   string `toml:"front" validate:"omitempty,hostname_port"`
	Ready   string `toml:"ready" validate:"omitempty,hostname_port"`
	Control string `toml:"control" validate:"omitempty,hostname_port"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	CPUShare float64 `toml:"cpu_share" validate:"min=0"`
	Cores    int     `toml:"cores" validate:"min=0"`
	MemoryMB int     `toml:"memory_mb" validate:"min=0"`
	MaxFDs   int     `toml:"max_fds" validate:"min=0"`
	LinkMbps float64 `toml:"link_mbps" validate:"min=0"`
	DiskMB   int     `toml:"disk_mb" validate:"min=0"`
}

// Isolation holds the settings for routers that get no response from a quorum of the acceptors.
type Isolation struct {
	// NotReadyAfterS is the time in seconds after which such a router reports that it is not ready; 0 means that it stays
	// ready.
	NotReadyAfterS float64 `toml:"not_ready_after_s" validate:"min=0"`
}

// Tolerate holds the numbers of machines, zones and regions that may fail simultaneously.
type Tolerate struct {
	Machines int `toml:"machines" validate:"min=0"`
	Zones    int `toml:"zones" validate:"min=0"`
	Regions  int `toml:"regions" validate:"min=0"`
}

// Bounds are the numeric limits of the rules that the routers must keep.
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

// ServesTo reports whether the process serves the given kind of callers: ServesEdge or ServesControl.
func (s *Settings) ServesTo(audience string) bool { return slices.Contains(s.Serves, audience) }

// HasTenants reports whether the clients of the deployment are tenants, who need API keys.
func (s *Settings) HasTenants() bool { return slices.Contains(s.Contracts, contractTenants) }

// IsAcceptor reports whether the process holds a replica of the configuration register.
func (s *Settings) IsAcceptor() bool {
	return s.CountsForQuorum && s.DataDir != "" && s.ServesTo(ServesControl)
}

// Warnings returns findings about the file that do not keep it from being used.
func (s *Settings) Warnings() []Finding { return s.warnings }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Seconds converts a number of seconds to a duration. Values beyond the range of time.Duration become its maximum.
func Seconds(s float64) time.Duration {
	nanoseconds := s * float64(time.Second)
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds)
}
