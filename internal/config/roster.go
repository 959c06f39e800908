package config

import (
	"fmt"
	"strings"
	"time"

	"pewterrudder/internal/roster"
)

// Roster configures the sources of the list of app nodes, and which of their claims are trusted.
type Roster struct {
	Sources  []Source `json:"sources"` // most trusted first
	HoldMs   float64  `json:"hold_ms"` // how long a removal or drain overrides other sources and older revisions
	Loss     Loss     `json:"loss"`
	Suspects Suspects `json:"suspects"`
}

// Source is one registry. check validates Kind, Role and all fields that are set. If StaleMs is 0 or LostMs is nil, the
// default of the kind applies.
type Source struct {
	Name      string   `json:"name"` // default: Kind
	Kind      string   `json:"kind"` // discovery, eureka or kv
	Role      string   `json:"role"` // primary (default), joined or fallback
	Addresses []string `json:"addresses"`
	Apps      []string `json:"apps"`     // eureka: applications to use; empty: all
	Register  string   `json:"register"` // eureka: application to register the balancer under; empty: none
	Prefix    string   `json:"prefix"`   // kv: prefix of the keys of entries
	StaleMs   float64  `json:"stale_ms"`
	LostMs    *float64 `json:"lost_ms"` // 0: never
}

// Loss guards against a list that suddenly lost most of its entries.
type Loss struct {
	Share float64 `json:"share"` // of the last accepted list; a shorter list is held back; 0: never
	ForMs float64 `json:"for_ms"`
}

// Suspects configures the handling of entries that are listed as up while every connect to them fails.
type Suspects struct {
	On           bool    `json:"on"`
	Fails        int     `json:"fails"` // consecutive failed connects
	OverMs       float64 `json:"over_ms"`
	Share        float64 `json:"share"` // of the list; above it, the own network is assumed to be faulty
	TrialFirstMs float64 `json:"trial_first_ms"`
	TrialMostMs  float64 `json:"trial_most_ms"`
	TrialMs      float64 `json:"trial_ms"`
}

// The kinds of registries.
const (
	Discovery = "discovery" // of the platform, which also provides its address
	Eureka    = "eureka"
	KV        = "kv"
)

// defaultAges holds the default ages, in ms, of each kind. Discovery writes every 2 s and is stale after 6 s. Eureka
// clients poll at least every 30 s, and Eureka leases last 90 s. A watch on a key-value store reports progress every
// few seconds.
var defaultAges = map[string]struct{ stale, lost float64 }{
	Discovery: {6_000, 60_000}, Eureka: {65_000, 300_000}, KV: {15_000, 120_000}}

var rolesByName = map[string]roster.Role{"": roster.Primary, "primary": roster.Primary, "joined": roster.Joined,
	"fallback": roster.Fallback}

// defaultRoster uses discovery as the only source and trusts it unconditionally.
func defaultRoster() Roster {
	lost := defaultAges[Discovery].lost
	return Roster{
		Sources: []Source{{Name: Discovery, Kind: Discovery, Role: "primary", StaleMs: defaultAges[Discovery].stale, LostMs: &lost}},
		Loss:    Loss{ForMs: 60_000}, // two Eureka renewals: a registry that starts empty has its list by then
		Suspects: Suspects{Fails: 3, OverMs: 300, // restarting an app node takes longer, one or two lost packets do not
			Share:        0.5,    // half a site down but listed as up is a bad release; more points to our own network
			TrialFirstMs: 2_000,  // a registry with leases is correct after 30 to 90 s: five trials until then
			TrialMostMs:  60_000, // a recovered app node is found within a minute even if no source reports it
			TrialMs:      250,
		},
	}
}

// fillDefaults sets the fields that sources leave out.
func (r *Roster) fillDefaults() {
	for i := range r.Sources {
		s := &r.Sources[i]
		if s.Name == "" {
			s.Name = s.Kind
		}
		if s.Role == "" {
			s.Role = "primary"
		}
		if s.StaleMs == 0 {
			s.StaleMs = defaultAges[s.Kind].stale
		}
		if s.LostMs == nil {
			lost := defaultAges[s.Kind].lost
			if s.Role == "joined" {
				lost = 0 // no other source knows its nodes, so its last list is the best available
			}
			s.LostMs = &lost
		}
	}
}

const maxAgeMs = 24 * 3600 * 1000 // one day

func (r *Roster) check() error {
	r.fillDefaults()
	discoveries := 0
	for i := range r.Sources {
		if err := r.Sources[i].check(fmt.Sprintf("roster.sources[%d].", i)); err != nil {
			return err
		}
		if r.Sources[i].Kind == Discovery {
			discoveries++
		}
	}
	if discoveries > 1 {
		return fmt.Errorf("roster.sources: %d of kind %q: the platform provides the address of only one", discoveries, Discovery)
	}
	minHold, holdReason := 0.0, "with 0 a source can revert its own statement at once"
	if len(r.Sources) > 1 {
		minHold, holdReason = 1000, "with several sources, a drain reported by one must hold against the others"
	}
	valueIf := func(on bool, v float64) float64 {
		if on {
			return v
		}
		return 0
	}
	u, l := &r.Suspects, &r.Loss
	for _, k := range []struct {
		key    string
		v      float64
		lo, hi float64
		reason string
	}{
		{"hold_ms", r.HoldMs, minHold, 3_600_000, holdReason},
		{"loss.share", l.Share, 0, 0.95, "an ordinary release must pass; 0 accepts every list"},
		{"loss.for_ms", l.ForMs, valueIf(l.Share > 0, 1000), maxAgeMs, "the registry needs time to rebuild its list"},
		{"suspects.fails", float64(u.Fails), 1, 1000, "at least one failure is needed"},
		{"suspects.over_ms", u.OverMs, 0, 600_000, "a longer time keeps a dead app node in use"},
		{"suspects.share", u.Share, 0.01, 1, "with 1 the whole list is taken for dead before the own network is suspected"},
		{"suspects.trial_first_ms", u.TrialFirstMs, 100, 600_000, "a trial costs a connect, and possibly a request"},
		{"suspects.trial_most_ms", u.TrialMostMs, u.TrialFirstMs, maxAgeMs, "the pause between trials only grows"},
		{"suspects.trial_ms", u.TrialMs, 10, 10_000, "a connect takes some time, and a long trial sends more work to a dead app node"},
	} {
		if !(k.v >= k.lo && k.v <= k.hi) { // NaN fails both
			return fmt.Errorf("roster.%s: %v is outside %v to %v: %s", k.key, k.v, k.lo, k.hi, k.reason)
		}
	}
	_, err := roster.New(r.Rules())
	return err
}

func (s *Source) check(keyPrefix string) error {
	if _, ok := defaultAges[s.Kind]; !ok {
		return fmt.Errorf("%skind: %q is not one of %s, %s and %s", keyPrefix, s.Kind, Discovery, Eureka, KV)
	}
	if _, ok := rolesByName[s.Role]; !ok {
		return fmt.Errorf("%srole: %q is not one of primary, joined and fallback", keyPrefix, s.Role)
	}
	if !(s.StaleMs >= 100 && s.StaleMs <= maxAgeMs) {
		return fmt.Errorf("%sstale_ms: %v is outside 100 to %v: networks cause shorter pauses", keyPrefix, s.StaleMs, maxAgeMs)
	}
	if lost := *s.LostMs; lost != 0 && !(lost >= s.StaleMs && lost <= 7*maxAgeMs) {
		return fmt.Errorf("%slost_ms: %v is outside %v (stale_ms) to %v; 0 means never", keyPrefix, lost, s.StaleMs, 7*maxAgeMs)
	}
	if s.Kind == Discovery && len(s.Addresses) > 0 {
		return fmt.Errorf("%saddresses: the platform provides the address of discovery", keyPrefix)
	}
	if s.Kind != Discovery && len(s.Addresses) == 0 {
		return fmt.Errorf("%saddresses: a source of kind %s needs at least one", keyPrefix, s.Kind)
	}
	if err := checkURLs(keyPrefix, s.Addresses); err != nil {
		return err
	}
	switch {
	case s.Kind != Eureka && len(s.Apps) > 0:
		return fmt.Errorf("%sapps: a source of kind %s has none", keyPrefix, s.Kind)
	case s.Kind != Eureka && s.Register != "":
		return fmt.Errorf("%sregister: a source of kind %s accepts no registrations", keyPrefix, s.Kind)
	case s.Kind != KV && s.Prefix != "":
		return fmt.Errorf("%sprefix: a source of kind %s has none", keyPrefix, s.Kind)
	case s.Kind == KV && s.Prefix == "":
		return fmt.Errorf("%sprefix: a source of kind %s needs one, as the store may hold other keys", keyPrefix, s.Kind)
	}
	for i, app := range s.Apps {
		if strings.TrimSpace(app) == "" || strings.Contains(app, "/") {
			return fmt.Errorf("%sapps[%d]: %q is not a valid application name", keyPrefix, i, app)
		}
	}
	return nil
}

// Rules converts the settings to the form that package roster takes.
func (r *Roster) Rules() roster.Settings {
	s := roster.Settings{Hold: FromMs(r.HoldMs), LossShare: r.Loss.Share, LossFor: FromMs(r.Loss.ForMs)}
	for i := range r.Sources {
		src := &r.Sources[i]
		s.Sources = append(s.Sources, roster.Source{Name: src.Name, Role: rolesByName[src.Role], Stale: src.Stale(), Lost: src.Lost()})
	}
	if u := &r.Suspects; u.On {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = u.Fails, FromMs(u.OverMs), u.Share
		s.TrialFirst, s.TrialMost, s.TrialFor = FromMs(u.TrialFirstMs), FromMs(u.TrialMostMs), FromMs(u.TrialMs)
	}
	return s
}

// DiscoveryAlone reports whether discovery is the only source and is trusted unconditionally.
func (r *Roster) DiscoveryAlone() bool {
	return len(r.Sources) == 1 && r.Sources[0].Kind == Discovery && r.HoldMs == 0 && r.Loss.Share == 0 && !r.Suspects.On
}

// Stale and Lost return the ages as durations. A Lost of 0 means never.
func (s *Source) Stale() time.Duration { return FromMs(s.StaleMs) }
func (s *Source) Lost() time.Duration  { return FromMs(*s.LostMs) }
