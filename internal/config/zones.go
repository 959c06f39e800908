package config

import (
	"cmp"
	"fmt"
	"slices"

	"pewterrudder/brain"
	"pewterrudder/internal/zones"
)

// Zones configures the zones that requests may go to, and their order. Without names, zones are ignored and app nodes
// differ only by the prices of the decisions (see brain.Prices). Every number may be left out.
type Zones struct {
	Names  []string   `json:"names"`   // all zones of app nodes
	Tiers  [][]string `json:"tiers"`   // in order of preference, equal within a tier; the own zone is always first
	Fill   float64    `json:"fill"`    // share of another zone's capacity up to which it accepts spilled requests
	FullAt float64    `json:"full_at"` // share of the own zone's capacity above which requests spill over

	SilentMs    float64 `json:"silent_ms"`     // silence after which a zone counts as down
	TrialMs     float64 `json:"trial_ms"`      // between trials of a zone that is down
	HoldFirstMs float64 `json:"hold_first_ms"` // of good trials before requests return; doubled per outage
	HoldMostMs  float64 `json:"hold_most_ms"`
	ForgiveMs   float64 `json:"forgive_ms"` // of normal service after which the hold is reset
	SettleMs    float64 `json:"settle_ms"`  // time until load reports show a change
}

// check reports what is invalid regardless of the platform's configuration.
func (z *Zones) check() error {
	if len(z.Names) == 0 {
		if len(z.Tiers) > 0 {
			return fmt.Errorf("zones.tiers: there are no zones.names")
		}
		return nil
	}
	for i, name := range z.Names {
		if name == "" || slices.Contains(z.Names[:i], name) {
			return fmt.Errorf("zones.names[%d]: %q is empty or listed twice", i, name)
		}
	}
	seen := map[string]bool{}
	for i, tier := range z.Tiers {
		for _, name := range tier {
			if !slices.Contains(z.Names, name) || seen[name] {
				return fmt.Errorf("zones.tiers[%d]: %q is not in zones.names, or is listed twice", i, name)
			}
			seen[name] = true
		}
	}
	for _, k := range []struct {
		key    string
		v      float64
		lo, hi float64
	}{{"fill", z.Fill, 0.1, 1}, {"full_at", z.FullAt, 0.1, 1.5}, {"silent_ms", z.SilentMs, 20, 60_000}, {"trial_ms", z.TrialMs, 20, 60_000},
		{"hold_first_ms", z.HoldFirstMs, 20, 600_000}, {"hold_most_ms", z.HoldMostMs, 20, 3_600_000}, {"forgive_ms", z.ForgiveMs, 100, 86_400_000},
		{"settle_ms", z.SettleMs, 100, 600_000}} {
		if k.v != 0 && !(k.v >= k.lo && k.v <= k.hi) { // NaN fails both
			return fmt.Errorf("zones.%s: %v is outside %v to %v", k.key, k.v, k.lo, k.hi)
		}
	}
	return nil
}

// In returns the settings of a pool for a balancer in zone b.Zone, or nil if zones are ignored.
//
// It assumes that balancers are spread evenly over the zones: those in the same zone fail and spill over together. A
// wrong count has little effect, because load reports show the result.
func (z *Zones) In(b *brain.Settings) (*zones.Settings, error) {
	if len(z.Names) == 0 {
		return nil, nil
	}
	own := slices.Index(z.Names, b.Zone)
	if own < 0 {
		return nil, fmt.Errorf("zones.names: the balancer's own zone %q is not among them", b.Zone)
	}
	s := &zones.Settings{Zones: z.Names, OwnZone: own, Tiers: [][]int{{own}}, Balancers: max(1, b.Nodes/len(z.Names)), MaxFill: z.Fill, SpillFrom: z.FullAt,
		SilenceTimeout: FromMs(z.SilentMs), TrialInterval: FromMs(z.TrialMs), HoldFirst: FromMs(z.HoldFirstMs), HoldMost: FromMs(z.HoldMostMs),
		RelapseExpiry: FromMs(z.ForgiveMs), SettlingTime: FromMs(z.SettleMs)}
	placed := map[int]bool{own: true}
	addTier := func(names []string) {
		var tier []int
		for _, name := range names {
			if i := slices.Index(z.Names, name); !placed[i] {
				placed[i] = true
				tier = append(tier, i)
			}
		}
		if len(tier) > 0 {
			s.Tiers = append(s.Tiers, tier)
		}
	}
	for _, tier := range z.Tiers {
		addTier(tier)
	}
	addTier(z.Names) // zones without a tier come last
	for i := range b.Classes {
		c := &b.Classes[i]
		value := c.Worth
		if !b.WorthByWork {
			value /= cmp.Or(c.Aim.Seconds(), 1) // the latency target stands in for the amount of work, which is unknown
		}
		s.Classes = append(s.Classes, zones.Class{Value: value, Movable: c.Repeat == brain.Safe || c.Repeat == brain.Keyed && c.Scope == brain.ScopeAll})
	}
	if _, err := zones.New(*s); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	return s, nil
}
