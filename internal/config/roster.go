package config

import (
	"fmt"
	"strings"
	"time"

	"pewterrudder/internal/roster"
)

// Roster says where the list of app nodes comes from, and what of it is to be believed.
type Roster struct {
	Sources  []Source `json:"sources"` // in order of trust
	HoldMs   float64  `json:"hold_ms"` // that an end which one source told holds against others, and against older revisions
	Loss     Loss     `json:"loss"`
	Suspects Suspects `json:"suspects"`
}

// Source is one registry. Kind, role and what is set of the rest are checked; 0 ages are those of the kind.
type Source struct {
	Name      string   `json:"name"` // left out: the kind
	Kind      string   `json:"kind"` // discovery, eureka or kv
	Role      string   `json:"role"` // primary (where left out), joined or fallback
	Addresses []string `json:"addresses"`
	Apps      []string `json:"apps"`     // eureka: the applications that count; none: all
	Register  string   `json:"register"` // eureka: the application that the balancer shows itself as; none: it does not
	Prefix    string   `json:"prefix"`   // kv: of the keys that are entries
	StaleMs   float64  `json:"stale_ms"`
	LostMs    *float64 `json:"lost_ms"` // 0: never lost
}

// Loss guards against a list that has suddenly lost most of its entries.
type Loss struct {
	Share float64 `json:"share"` // a shorter list is doubted; 0: every list is believed
	ForMs float64 `json:"for_ms"`
}

// Suspects are entries that are listed as up while no connect to them succeeds.
type Suspects struct {
	On           bool    `json:"on"`
	Fails        int     `json:"fails"` // in a row
	OverMs       float64 `json:"over_ms"`
	Share        float64 `json:"share"` // of the list; with more, the fault is taken for our own
	TrialFirstMs float64 `json:"trial_first_ms"`
	TrialMostMs  float64 `json:"trial_most_ms"`
	TrialMs      float64 `json:"trial_ms"`
}

// The kinds of registries.
const (
	Discovery = "discovery" // the platform's; its address is the platform's to tell
	Eureka    = "eureka"
	KV        = "kv"
)

// agesOf the kinds. Discovery writes every 2 s, and what it has to tell counts as told after 6 s; Eureka's clients ask
// every 30 s at the least often and its leases last 90 s; a watch on a store hears of progress every few seconds.
var agesOf = map[string]struct{ stale, lost float64 }{
	Discovery: {6_000, 60_000}, Eureka: {65_000, 300_000}, KV: {15_000, 120_000}}

var rolesOf = map[string]roster.Role{"": roster.Primary, "primary": roster.Primary, "joined": roster.Joined,
	"fallback": roster.Fallback}

// defaultRoster is the platform's discovery alone, whose word is the list.
func defaultRoster() Roster {
	lost := agesOf[Discovery].lost
	return Roster{
		Sources: []Source{{Name: Discovery, Kind: Discovery, Role: "primary", StaleMs: agesOf[Discovery].stale, LostMs: &lost}},
		Loss:    Loss{ForMs: 60_000}, // two of Eureka's renewals: a registry that starts empty has its list by then
		Suspects: Suspects{Fails: 3, OverMs: 300, // a restart of the app node takes longer; a lost packet or two does not
			Share:        0.5,    // half a site dead and listed as up is a bad release; more of it, our own cable
			TrialFirstMs: 2_000,  // a registry with leases tells the truth in 30 to 90 s: five trials until then
			TrialMostMs:  60_000, // what comes back is found within a minute, where the roster does not say so itself
			TrialMs:      250,
		},
	}
}

// complete fills in what sources leave out.
func (r *Roster) complete() {
	for i := range r.Sources {
		s := &r.Sources[i]
		if s.Name == "" {
			s.Name = s.Kind
		}
		if s.Role == "" {
			s.Role = "primary"
		}
		if s.StaleMs == 0 {
			s.StaleMs = agesOf[s.Kind].stale
		}
		if s.LostMs == nil {
			lost := agesOf[s.Kind].lost
			if s.Role == "joined" {
				lost = 0 // nobody else knows its nodes: its last list is the best there is
			}
			s.LostMs = &lost
		}
	}
}

const longest = 24 * 3600 * 1000 // ms

func (r *Roster) check() error {
	r.complete()
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
		return fmt.Errorf("roster.sources: %d of kind %q: the platform tells the address of one", discoveries, Discovery)
	}
	leastHold, because := 0.0, "0 lets a source take back at once what it said"
	if len(r.Sources) > 1 {
		leastHold, because = 1000, "with several sources a drain that one has told must hold against the others"
	}
	least := func(on bool, v float64) float64 {
		if on {
			return v
		}
		return 0
	}
	u, l := &r.Suspects, &r.Loss
	for _, k := range []struct {
		key     string
		v       float64
		lo, hi  float64
		because string
	}{
		{"hold_ms", r.HoldMs, leastHold, 3_600_000, because},
		{"loss.share", l.Share, 0, 0.95, "an ordinary release must pass; 0 believes every list"},
		{"loss.for_ms", l.ForMs, least(l.Share > 0, 1000), longest, "the registry needs time to find its list again"},
		{"suspects.fails", float64(u.Fails), 1, 1000, "one failure is the least that can be noticed"},
		{"suspects.over_ms", u.OverMs, 0, 600_000, "a long time leaves a dead app node in use"},
		{"suspects.share", u.Share, 0.01, 1, "1 takes all of the list for dead before our own network"},
		{"suspects.trial_first_ms", u.TrialFirstMs, 100, 600_000, "a trial costs a connect, and may cost a call"},
		{"suspects.trial_most_ms", u.TrialMostMs, u.TrialFirstMs, longest, "the pause only grows"},
		{"suspects.trial_ms", u.TrialMs, 10, 10_000, "a connect takes a moment; a long trial is fresh work for the dead"},
	} {
		if !(k.v >= k.lo && k.v <= k.hi) { // NaN fails both
			return fmt.Errorf("roster.%s: %v lies outside %v to %v: %s", k.key, k.v, k.lo, k.hi, k.because)
		}
	}
	_, err := roster.New(r.Rules())
	return err
}

func (s *Source) check(at string) error {
	if _, ok := agesOf[s.Kind]; !ok {
		return fmt.Errorf("%skind: %q is none of %s, %s and %s", at, s.Kind, Discovery, Eureka, KV)
	}
	if _, ok := rolesOf[s.Role]; !ok {
		return fmt.Errorf("%srole: %q is none of primary, joined and fallback", at, s.Role)
	}
	if !(s.StaleMs >= 100 && s.StaleMs <= longest) {
		return fmt.Errorf("%sstale_ms: %v lies outside 100 to %v: a shorter silence is a network's", at, s.StaleMs, longest)
	}
	if lost := *s.LostMs; lost != 0 && !(lost >= s.StaleMs && lost <= 7*longest) {
		return fmt.Errorf("%slost_ms: %v lies outside %v, its stale_ms, to %v; 0 is never", at, lost, s.StaleMs, 7*longest)
	}
	if s.Kind == Discovery && len(s.Addresses) > 0 {
		return fmt.Errorf("%saddresses: the platform tells that of its discovery", at)
	}
	if s.Kind != Discovery && len(s.Addresses) == 0 {
		return fmt.Errorf("%saddresses: a source of kind %s needs one", at, s.Kind)
	}
	if err := checkURLs(at, s.Addresses); err != nil {
		return err
	}
	switch {
	case s.Kind != Eureka && len(s.Apps) > 0:
		return fmt.Errorf("%sapps: a source of kind %s has none", at, s.Kind)
	case s.Kind != Eureka && s.Register != "":
		return fmt.Errorf("%sregister: a source of kind %s takes nobody in", at, s.Kind)
	case s.Kind != KV && s.Prefix != "":
		return fmt.Errorf("%sprefix: a source of kind %s has none", at, s.Kind)
	case s.Kind == KV && s.Prefix == "":
		return fmt.Errorf("%sprefix: a source of kind %s needs one: not every key is an entry", at, s.Kind)
	}
	for i, app := range s.Apps {
		if strings.TrimSpace(app) == "" || strings.Contains(app, "/") {
			return fmt.Errorf("%sapps[%d]: %q is no application's name", at, i, app)
		}
	}
	return nil
}

// Rules gives the settings the form that the roster takes.
func (r *Roster) Rules() roster.Settings {
	s := roster.Settings{Hold: FromMs(r.HoldMs), LossShare: r.Loss.Share, LossFor: FromMs(r.Loss.ForMs)}
	for i := range r.Sources {
		src := &r.Sources[i]
		s.Sources = append(s.Sources, roster.Source{Name: src.Name, Role: rolesOf[src.Role], Stale: src.Stale(), Lost: src.Lost()})
	}
	if u := &r.Suspects; u.On {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = u.Fails, FromMs(u.OverMs), u.Share
		s.TrialFirst, s.TrialMost, s.TrialFor = FromMs(u.TrialFirstMs), FromMs(u.TrialMostMs), FromMs(u.TrialMs)
	}
	return s
}

// DiscoveryAlone says that the platform's discovery is the only source, and that its word is the list.
func (r *Roster) DiscoveryAlone() bool {
	return len(r.Sources) == 1 && r.Sources[0].Kind == Discovery && r.HoldMs == 0 && r.Loss.Share == 0 && !r.Suspects.On
}

// Stale and Lost are the ages as durations.
func (s *Source) Stale() time.Duration { return FromMs(s.StaleMs) }
func (s *Source) Lost() time.Duration  { return FromMs(*s.LostMs) }
