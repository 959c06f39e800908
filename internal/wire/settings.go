package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"mallowpick/brain"
)

// conf mirrors the settings on the wire. Unknown keys are ignored.
type conf struct {
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
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"tenants"`
	Limits struct {
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

// required names the settings without which no node can decide.
var required = []string{"balancers", "categories", "discovery", "limits", "rules", "stats", "weights", "zone"}

var (
	repeats = map[string]brain.Repeat{"safe": brain.Safe, "keyed": brain.Keyed, "unsafe": brain.Unsafe}
	scopes  = map[string]brain.Scope{"": brain.ScopeAll, "all": brain.ScopeAll, "zone": brain.ScopeZone,
		"cell": brain.ScopeCell}
	modes = map[string]brain.ReportMode{"off": brain.ReportsOff, "inline": brain.ReportsInline,
		"on_probe": brain.ReportsOnProbe}
	weights = map[string]brain.WeightKind{"off": brain.WeightOff, "nominal": brain.WeightNominal,
		"rough": brain.WeightRough, "live": brain.WeightLive}
	columns = map[string]brain.Column{"outstanding": brain.ColInFlight, "backlog": brain.ColQueue,
		"utilization": brain.ColUtilization, "recent_ms": brain.ColLatency, "throughput": brain.ColRate,
		"errors_per_s": brain.ColErrors}
)

func word[T any](table map[string]T, key, value string) (T, error) {
	v, ok := table[value]
	if !ok {
		return v, fmt.Errorf("conf: %s: unknown value %q", key, value)
	}
	return v, nil
}

func newInstance(s *Start) (*instance, error) {
	if s.Prng == nil {
		return nil, fmt.Errorf("prng is missing")
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(s.Conf, &keys); err != nil {
		return nil, fmt.Errorf("conf: %w", err)
	}
	for _, k := range required {
		if _, ok := keys[k]; !ok {
			return nil, fmt.Errorf("conf: %s is missing", k)
		}
	}
	var c conf
	if err := json.Unmarshal(s.Conf, &c); err != nil {
		return nil, fmt.Errorf("conf: %w", err)
	}
	cfg, err := c.settings()
	if err != nil {
		return nil, err
	}
	node, err := brain.New(cfg, *s.Prng)
	if err != nil {
		return nil, fmt.Errorf("conf: %w", err)
	}
	inst := &instance{node: node, classes: map[string]int{}, tenants: map[string]int{}}
	for i := range c.Categories {
		inst.classes[c.Categories[i].Name] = i
	}
	for i := range c.Tenants {
		inst.tenants[c.Tenants[i].Name] = i
	}
	return inst, nil
}

func (c *conf) settings() (brain.Settings, error) {
	var err error
	ms := func(v float64) time.Duration { return fromMs(v) }
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
	if s.Reports, err = word(modes, "stats.how", c.Stats.How); err != nil {
		return s, err
	}
	if s.Weights, err = word(weights, "weights", c.Weights); err != nil {
		return s, err
	}
	for _, name := range c.Stats.Columns {
		s.Columns = append(s.Columns, columns[name]) // a column not known stays ColUnknown
	}
	for i := range c.Categories {
		k := &c.Categories[i]
		class := brain.Class{Name: k.Name, Window: ms(k.WindowMs), Aim: ms(k.AimMs), Deadline: ms(k.DeadlineMs),
			Worth: k.Importance, Late: k.LateShare, Stream: k.Stream}
		if class.Repeat, err = word(repeats, "categories.semantics", k.Semantics); err != nil {
			return s, err
		}
		if class.Scope, err = word(scopes, "categories.dedup_scope", k.DedupScope); err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		s.Tenants = append(s.Tenants, brain.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	return s, nil
}
