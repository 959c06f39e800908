// Package config reads, checks and completes the configuration of a balancer: the platform's configuration file, the
// environment, the settings file, and the entries of server lists. The balancer and the simulator's adapter both read
// their configuration through this package only. It makes no routing decisions, keeps no state and opens no sockets.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"pewterrudder/brain"
)

// Settings mirrors the JSON settings object. Unknown keys are ignored.
type Settings struct {
	Balancers int    `json:"balancers"`
	Zone      string `json:"zone"`
	Discovery string `json:"discovery"`
	Weights   string `json:"weights"`
	WorthBy   string `json:"worth_by"`
	Family    struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"family_info"`
	OverShareWorth float64 `json:"over_share_worth"`
	Categories     []struct {
		Name       string  `json:"name"`
		Semantics  string  `json:"semantics"`
		DedupScope string  `json:"dedup_scope"`
		WindowMs   float64 `json:"window_ms"`
		AimMs      float64 `json:"aim_ms"`
		DeadlineMs float64 `json:"deadline_ms"`
		Importance float64 `json:"importance"`
		LateShare  float64 `json:"late_share"`
		Stream     bool    `json:"stream"`
	} `json:"categories"`
	Tenants Tenants `json:"tenants"`
	Limits  struct {
		Cancel           bool    `json:"cancel"`
		Probing          bool    `json:"probing"`
		SecondCopies     bool    `json:"second_copies"`
		RetryAfter       bool    `json:"retry_after"`
		MaxAttempts      int     `json:"max_attempts"`
		MaxRetryAfterMs  float64 `json:"max_retry_after_ms"`
		ConnectTimeoutMs float64 `json:"connect_timeout_ms"`
		IdleCloseMs      float64 `json:"idle_close_ms"`
		StreamsPerConn   int     `json:"streams_per_conn"`
	} `json:"limits"`
	Prices struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross_zone"`
		Handshake  float64 `json:"handshake"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
		LateFail   float64 `json:"late_fail"`
	} `json:"prices"`
	Rules struct {
		AskEveryMs     float64 `json:"ask_every_ms"`
		ColdFrom       float64 `json:"cold_from"`
		ColdMs         float64 `json:"cold_ms"`
		DrainGraceMs   float64 `json:"drain_grace_ms"`
		FallMs         float64 `json:"fall_ms"`
		GraceMs        float64 `json:"grace_to_answer_ms"`
		OverloadFactor float64 `json:"overload_factor"`
	} `json:"rules"`
	Stats struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"stats"`
	Goal struct {
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
	} `json:"goal"`
}

const (
	maxAttemptsLimit = 100       // a larger number can only be a typing error
	maxDeadlineMs    = 3_600_000 // one hour: no client waits longer
)

// requiredKeys are the settings without which no balancer can make decisions.
var requiredKeys = []string{"balancers", "categories", "discovery", "limits", "rules", "stats", "weights", "zone"}

var (
	semanticsByName = map[string]brain.Repeat{"safe": brain.Safe, "keyed": brain.Keyed, "unsafe": brain.Unsafe}
	scopesByName    = map[string]brain.Scope{"": brain.ScopeAll, "all": brain.ScopeAll, "zone": brain.ScopeZone,
		"cell": brain.ScopeCell}
	reportModesByName = map[string]brain.ReportMode{"off": brain.ReportsOff, "inline": brain.ReportsInline,
		"on_probe": brain.ReportsOnProbe}
	weightKindsByName = map[string]brain.WeightKind{"off": brain.WeightOff, "nominal": brain.WeightNominal,
		"rough": brain.WeightRough, "live": brain.WeightLive}
	columnsByName = map[string]brain.Column{"outstanding": brain.ColInFlight, "backlog": brain.ColQueue,
		"utilization": brain.ColUtilization, "recent_ms": brain.ColLatency, "throughput": brain.ColRate,
		"errors_per_s": brain.ColErrors}
)

// lookup returns the value that table holds for a setting, or an error that names the key.
func lookup[T any](table map[string]T, key, value string) (T, error) {
	v, ok := table[value]
	if !ok {
		return v, fmt.Errorf("conf: %s: unknown value %q", key, value)
	}
	return v, nil
}

// ParseSettings decodes the settings object. An error names the key at fault.
func ParseSettings(raw []byte) (*Settings, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(raw, &keys); err != nil {
		return nil, fmt.Errorf("conf: %w", err)
	}
	for _, k := range requiredKeys {
		if _, ok := keys[k]; !ok {
			return nil, fmt.Errorf("conf: %s is missing", k)
		}
	}
	c := new(Settings)
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("conf: %w", err)
	}
	return c, nil
}

// check reports values that no balancer can work with. Package brain checks its own settings too, but under other
// names.
func (c *Settings) check() error {
	outOfRange := func(key string, v any) error { return fmt.Errorf("conf: %s: %v is out of range", key, v) }
	switch l, r := &c.Limits, &c.Rules; {
	case c.Balancers < 1:
		return outOfRange("balancers", c.Balancers)
	case len(c.Categories) == 0:
		return errors.New("conf: categories is empty")
	case l.MaxAttempts < 1 || l.MaxAttempts > maxAttemptsLimit:
		return outOfRange("limits.max_attempts", l.MaxAttempts)
	case r.ColdMs > 0 && (r.ColdFrom <= 0 || r.ColdFrom > 1):
		return outOfRange("rules.cold_from", r.ColdFrom)
	case r.ColdMs > 0 && r.OverloadFactor <= 0:
		return outOfRange("rules.overload_factor", r.OverloadFactor)
	}
	seen := map[string]bool{}
	for i := range c.Categories {
		k := &c.Categories[i]
		keyPath := "categories[" + strconv.Itoa(i) + "]."
		switch {
		case k.Name == "":
			return errors.New("conf: " + keyPath + "name is missing")
		case k.AimMs <= 0:
			return outOfRange(keyPath+"aim_ms", k.AimMs)
		case seen[k.Name]:
			return errors.New("conf: " + keyPath + "name: duplicate category name " + k.Name)
		case k.DeadlineMs <= 0 || k.DeadlineMs > maxDeadlineMs:
			return outOfRange(keyPath+"deadline_ms", k.DeadlineMs)
		case k.Semantics == "keyed" && k.WindowMs <= 0:
			return outOfRange(keyPath+"window_ms", k.WindowMs)
		}
		seen[k.Name] = true
	}
	return nil
}

// Places maps the name of each class to its index in Categories.
func (c *Settings) Places() map[string]int {
	classes := map[string]int{}
	for i := range c.Categories {
		classes[c.Categories[i].Name] = i
	}
	return classes
}

// FromMs converts milliseconds to a duration.
func FromMs(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// Brain checks the settings and converts them to the form that package brain takes.
func (c *Settings) Brain() (brain.Settings, error) {
	var err error
	ms := FromMs
	s := brain.Settings{
		Nodes: c.Balancers, Zone: c.Zone, OverQuotaWorth: c.OverShareWorth, WorthByWork: c.WorthBy == "work",
		WarmKeys:     c.Family.WarmKeys,
		AskDiscovery: c.Discovery == "ask", MaxAttempts: c.Limits.MaxAttempts,
		SecondCopies: c.Limits.SecondCopies, CanCancel: c.Limits.Cancel, CanProbe: c.Limits.Probing,
		RetryAfter: c.Limits.RetryAfter, MaxRetryAfter: ms(c.Limits.MaxRetryAfterMs),
		ConnectTimeout: ms(c.Limits.ConnectTimeoutMs), IdleClose: ms(c.Limits.IdleCloseMs),
		StreamsPerConn: c.Limits.StreamsPerConn,
		Prices: brain.Prices{Connection: c.Prices.Connection, CrossZone: c.Prices.CrossZone,
			Handshake: c.Prices.Handshake, Probe: c.Prices.Probe, Waste: c.Prices.Waste,
			LateFail: c.Prices.LateFail},
		Rules: brain.Rules{AnswerGrace: ms(c.Rules.GraceMs), DrainGrace: ms(c.Rules.DrainGraceMs),
			AskEvery: ms(c.Rules.AskEveryMs), ColdFrom: c.Rules.ColdFrom, ColdFor: ms(c.Rules.ColdMs),
			OverloadFactor: c.Rules.OverloadFactor, FallFor: ms(c.Rules.FallMs)},
		GoalWorstClass: c.Goal.WorstClass, GoalWorstTenant: c.Goal.WorstTenant,
	}
	if err = c.check(); err != nil {
		return s, err
	}
	if s.Reports, err = lookup(reportModesByName, "stats.how", c.Stats.How); err != nil {
		return s, err
	}
	if s.Weights, err = lookup(weightKindsByName, "weights", c.Weights); err != nil {
		return s, err
	}
	for _, name := range c.Stats.Columns {
		s.Columns = append(s.Columns, columnsByName[name]) // an unknown column becomes ColUnknown
	}
	for i := range c.Categories {
		k := &c.Categories[i]
		class := brain.Class{Name: k.Name, Window: ms(k.WindowMs), Aim: ms(k.AimMs), Deadline: ms(k.DeadlineMs),
			Worth: k.Importance, Late: k.LateShare, Stream: k.Stream}
		if class.Repeat, err = lookup(semanticsByName, "categories.semantics", k.Semantics); err != nil {
			return s, err
		}
		if class.Scope, err = lookup(scopesByName, "categories.dedup_scope", k.DedupScope); err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// Entry is one entry of a server list. The simulator's protocol and discovery name its fields differently: each decodes
// into a struct of the same fields with its own tags and converts it to Entry.
type Entry struct {
	Server  string
	Address string
	Zone    string
	Kind    string
	Cell    int
	Weight  float64
	Started float64 // ms on the sender's clock; 0: long ago
	State   string
}

// Member converts an entry to the form that package brain takes. started maps a time on the sender's clock to the
// balancer's; it is not called for 0, which means "long ago".
func (e Entry) Member(started func(ms float64) time.Duration) (brain.Member, error) {
	m := brain.Member{Server: e.Server, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight}
	switch e.State {
	case "Ready":
	case "Terminating":
		m.State = brain.Draining
	case "Gone":
		m.State = brain.Gone
	default:
		return m, fmt.Errorf("unknown readiness %q", e.State)
	}
	if e.Server == "" {
		return m, errors.New("server is missing")
	}
	if e.Started != 0 {
		if m.Started = started(e.Started); m.Started == 0 {
			m.Started = 1 // 0 would mean "long ago"
		}
	}
	return m, nil
}

// Limits are the resource limits of the machine. A balancer that exceeds them is killed, so every descriptor that it
// opens is counted against them.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`

	controlReserve int // descriptors reserved for the control address
}

// Defaults for limits that the file leaves out: those of the smallest machine that the platform provides.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	// reservedSockets are not available to clients and delegations: standard streams, the listener, the poller,
	// the discovery watch and its replacement, and a few for what the runtime opens.
	reservedSockets = 24
	minSockets      = 2 * reservedSockets
	// controlSockets are reserved when there is a control address: its clients, its listener and what it
	// opens to answer them.
	controlSockets = 20
)

// Config is the whole configuration of one balancer.
type Config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Control   string          `json:"control"` // address for operators; empty: none
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`    // a server list in discovery's format
	Raw       json.RawMessage `json:"settings"` // see Settings

	text             []byte         // of the file, without the tenants if tenantsExtracted
	tenantsExtracted bool           // Tenants was decoded separately from text
	Settings         *Settings      `json:"-"`
	Tenants          Tenants        `json:"-"` // of the settings; moved here, so that Settings.Tenants is empty
	Service          Service        `json:"-"` // from the settings file
	Brain            brain.Settings `json:"-"`
	Prng             uint64         `json:"-"`
}

// Load reads the file that RELAY_CONFIG names. RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY and RELAY_CONTROL fill in keys
// that the file leaves out. An error names the key at fault.
func Load(env func(string) string) (*Config, error) {
	path := env("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set")
	}
	c := new(Config)
	var tenants Tenants
	var invalid, err error
	if c.text, tenants, c.tenantsExtracted, invalid, err = readExtractingTenants(path); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	if err := json.Unmarshal(c.text, c); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"RELAY_NAME", &c.Name}, {"RELAY_LISTEN", &c.Listen}, {"RELAY_DISCOVERY", &c.Discovery}, {"RELAY_CONTROL", &c.Control}} {
		if *v.to == "" {
			*v.to = env(v.name)
		}
	}
	if c.Service, err = LoadService(env(SettingsVariable)); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return c, err
	}
	if invalid != nil {
		return c, fmt.Errorf("settings: conf: %w", invalid)
	}
	if c.Tenants, c.Settings.Tenants = c.Settings.Tenants, (Tenants{}); c.tenantsExtracted {
		c.Tenants = tenants
	}
	return c, nil
}

// Fixed returns the keys that differ in next and only take effect after a restart. The seed and the known list are read
// at startup only, so they may differ.
func (c *Config) Fixed(next *Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"control", c.Control == next.Control}, {"limits", c.Limits == next.Limits},
		{"flow, in the settings file,", c.Service.Flow == next.Service.Flow},
		{"roster, in the settings file,", reflect.DeepEqual(c.Service.Roster, next.Service.Roster)},
		{"catalog, in the settings file,", reflect.DeepEqual(c.Service.Catalog, next.Service.Catalog)},
		{"box, in the settings file,", c.Service.Box == next.Service.Box}} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

func (c *Config) check() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Control != "" {
		if _, err := netip.ParseAddrPort(c.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	var err error
	if c.Prng, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is not a number of up to 16 hex digits", c.Seed)
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: %d is negative", c.Limits.MemoryMB)
	}
	if c.Control != "" {
		c.Limits.controlReserve = controlSockets
	}
	if c.Limits.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is below the minimum of %d", c.Limits.Sockets, minSockets)
	}
	if len(c.Raw) == 0 {
		return errors.New("settings is missing")
	}
	if c.Settings, err = ParseSettings(c.Raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Brain, err = c.Settings.Brain(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var classes []string
	for i := range c.Brain.Classes {
		classes = append(classes, c.Brain.Classes[i].Name)
	}
	if _, err = c.Service.Table(classes); err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	if _, err = c.Service.Zones.In(&c.Brain); err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	if c.Brain.IdleClose <= 0 {
		return errors.New("settings: conf: limits.idle_close_ms must be above zero")
	}
	if c.Brain.ConnectTimeout <= 0 {
		return errors.New("settings: conf: limits.connect_timeout_ms must be above zero")
	}
	return nil
}

// Budget splits the descriptors between client connections and connections to app nodes (delegations). kept is the
// number of client connections that may stay open between requests: the front end opens at most a third of the
// descriptors for requests, and idle client connections must not keep out clients that send requests.
func (l Limits) Budget() (clients, kept, delegations int) {
	free := l.Sockets - reservedSockets - l.controlReserve
	return free - free/3, l.Sockets / 4, free / 3
}
