package config

import (
	"cmp"
	"fmt"
	"slices"

	"pewterrudder/brain"
	"pewterrudder/internal/zones"
)

// Zones says which zones a call may go to, and in which order. Without names zones are not looked at, and each app node
// is as good as another but for the module's prices. All figures but the names may be left out.
type Zones struct {
	Names  []string   `json:"names"`   // all zones that app nodes stand in
	Tiers  [][]string `json:"tiers"`   // in order of preference, those of a tier alike; the balancer's own comes first by itself
	Fill   float64    `json:"fill"`    // share of another zone's capacity up to which calls may go there
	FullAt float64    `json:"full_at"` // share of the own zone's capacity from which calls leave it

	SilentMs    float64 `json:"silent_ms"`     // without a sign of life until a zone counts as dark
	TrialMs     float64 `json:"trial_ms"`      // between trials of a dark zone
	HoldFirstMs float64 `json:"hold_first_ms"` // of good trials before it gets calls back; doubled each time it is lost again
	HoldMostMs  float64 `json:"hold_most_ms"`
	ForgiveMs   float64 `json:"forgive_ms"` // of good service until that is forgotten
	SettleMs    float64 `json:"settle_ms"`  // from a change until load reports show it
}

// check finds what does not depend on the platform's word.
func (z *Zones) check() error {
	if len(z.Names) == 0 {
		if len(z.Tiers) > 0 {
			return fmt.Errorf("zones.tiers: there are no zones.names")
		}
		return nil
	}
	for i, name := range z.Names {
		if name == "" || slices.Contains(z.Names[:i], name) {
			return fmt.Errorf("zones.names[%d]: %q is empty or there twice", i, name)
		}
	}
	seen := map[string]bool{}
	for i, tier := range z.Tiers {
		for _, name := range tier {
			if !slices.Contains(z.Names, name) || seen[name] {
				return fmt.Errorf("zones.tiers[%d]: %q is none of zones.names, or is there twice", i, name)
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
			return fmt.Errorf("zones.%s: %v lies outside %v to %v", k.key, k.v, k.lo, k.hi)
		}
	}
	return nil
}

// In counts on the balancers to be spread evenly over the zones: those beside the same zone are lost, and spill, with it.
// A wrong number moves little, since what it comes to is seen in load reports.
//
// It gives the form that a pool takes for a balancer of a zone, or nil where zones are not looked at.
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
	add := func(names []string) {
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
		add(tier)
	}
	add(z.Names) // those that no tier names come last
	for i := range b.Classes {
		c := &b.Classes[i]
		value := c.Worth
		if !b.WorthByWork {
			value /= cmp.Or(c.Aim.Seconds(), 1) // the aim stands for the work, which is not told
		}
		s.Classes = append(s.Classes, zones.Class{Value: value, Movable: c.Repeat == brain.Safe || c.Repeat == brain.Keyed && c.Scope == brain.ScopeAll})
	}
	if _, err := zones.New(*s); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	return s, nil
}
