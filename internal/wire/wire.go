// Package wire implements the simulator's protocol: it translates input lines to events of package brain, and actions
// of package brain to output lines. Each line is a JSON object.
package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

// Batch is one line of input: the events of one time, by instance. Unknown fields are ignored.
type Batch struct {
	At    *float64 `json:"at_time_ms"`
	Nodes []struct {
		I     *int   `json:"i"`
		Items []Item `json:"items"`
	} `json:"nodes"`
}

// Item is one event. Exactly one field is set.
type Item struct {
	Start      *Start      `json:"start"`
	CrashNow   *struct{}   `json:"crash_now"`
	View       *View       `json:"view"`
	Inbound    *Inbound    `json:"inbound"`
	AttemptEnd *AttemptEnd `json:"attempt_end"`
	Begun      *Begun      `json:"begun"`
	Lapsed     *Lapsed     `json:"lapsed"`
	Wakeup     *Wakeup     `json:"wakeup"`
	Health     *Health     `json:"health"`
	PeerData   *struct{}   `json:"peer_data"`
}

// Start creates or replaces an instance with a random seed and settings.
type Start struct {
	Prng *uint64         `json:"prng"`
	Conf json.RawMessage `json:"conf"`
}

// View is an update of the server list.
type View struct {
	Scope   string   `json:"scope"`
	Members []member `json:"members_list"`
}

// member is a config.Entry with the field names of the protocol.
type member struct {
	Server  string  `json:"server"`
	Address string  `json:"-"`
	Zone    string  `json:"az"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"unit_group"`
	Weight  float64 `json:"heft"`
	Started float64 `json:"launched_ms"`
	State   string  `json:"readiness"`
}

// Inbound is a request of a client.
type Inbound struct {
	OpID     string  `json:"op_id"`
	Class    string  `json:"tier_class"`
	Team     string  `json:"team"`
	Retry    bool    `json:"retry"`
	Key      string  `json:"target_key"`
	Expected float64 `json:"expected_ms"`
	Deadline float64 `json:"client_deadline_ms"`
}

// AttemptEnd is the end of an attempt.
type AttemptEnd struct {
	OpID     string    `json:"op_id"`
	Round    int       `json:"round_no"`
	Ending   string    `json:"ending"`
	Server   string    `json:"server"`
	Cost     float64   `json:"cost_time_ms"`
	Terminal bool      `json:"terminal"`
	Metrics  []float64 `json:"metrics"`
}

// Begun says that the answer of an attempt has started to stream.
type Begun struct {
	OpID   string  `json:"op_id"`
	Round  int     `json:"round_no"`
	Server string  `json:"server"`
	Cost   float64 `json:"cost_time_ms"`
}

// Lapsed says that the client of a request has gone.
type Lapsed struct {
	OpID string `json:"op_id"`
}

// Wakeup is an expired timer.
type Wakeup struct {
	Cookie uint64 `json:"cookie"`
}

// Health is the result of a probe.
type Health struct {
	Ending  string    `json:"ending"`
	Server  string    `json:"server"`
	Cost    float64   `json:"cost_time_ms"`
	Metrics []float64 `json:"metrics"`
}

// Host holds the instances of one process. They share no state.
type Host struct {
	nodes   map[int]*instance
	actions []brain.Action
	current int
}

// Current returns the number of the instance whose events are being handled, for the report of a panic.
func (h *Host) Current() int { return h.current }

// instance is one node and the names by which the protocol refers to its classes and tenants.
type instance struct {
	node    *brain.Node
	classes map[string]int
	tenants tenants.Table
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{nodes: map[int]*instance{}} }

// HandleLine processes one line of input and appends the reply and a newline to out.
func (h *Host) HandleLine(line, out []byte) ([]byte, error) {
	var b Batch
	if err := json.Unmarshal(line, &b); err != nil {
		return out, fmt.Errorf("batch: %w", err)
	}
	if b.At == nil {
		return out, fmt.Errorf("batch: at_time_ms is missing")
	}
	now := config.FromMs(*b.At)
	out = append(out, `{"nodes":[`...)
	first := true
	for k := range b.Nodes {
		g := &b.Nodes[k]
		if g.I == nil {
			return out, fmt.Errorf("nodes[%d]: i is missing", k)
		}
		h.actions, h.current = h.actions[:0], *g.I
		for j := range g.Items {
			if err := h.handleItem(*g.I, now, &g.Items[j]); err != nil {
				return out, fmt.Errorf("nodes[%d] (i=%d) items[%d]: %w", k, *g.I, j, err)
			}
		}
		if len(h.actions) == 0 {
			continue
		}
		if !first {
			out = append(out, ',')
		}
		first = false
		out = append(out, `{"i":`...)
		out = strconv.AppendInt(out, int64(*g.I), 10)
		out = append(out, `,"cmds":[`...)
		for j := range h.actions {
			if j > 0 {
				out = append(out, ',')
			}
			out = appendAction(out, now, &h.actions[j])
		}
		out = append(out, "]}"...)
	}
	return append(out, "]}\n"...), nil
}

// handleItem starts or removes an instance, or passes it an event and collects its actions.
func (h *Host) handleItem(i int, now time.Duration, it *Item) error {
	if it.Start != nil {
		inst, err := newInstance(it.Start)
		if err != nil {
			return fmt.Errorf("start: %w", err)
		}
		h.nodes[i] = inst
		return nil
	}
	if it.CrashNow != nil {
		delete(h.nodes, i)
		h.actions = h.actions[:0]
		return nil
	}
	inst := h.nodes[i]
	if inst == nil {
		return fmt.Errorf("event for an instance that was not started")
	}
	ev, err := inst.toEvent(it)
	if err != nil || ev == nil {
		return err
	}
	h.actions = inst.node.Handle(now, ev, h.actions)
	return nil
}

// newInstance creates an instance. The error names the missing or invalid setting.
func newInstance(s *Start) (*instance, error) {
	if s.Prng == nil {
		return nil, fmt.Errorf("prng is missing")
	}
	c, err := config.ParseSettings(s.Conf)
	if err != nil {
		return nil, err
	}
	cfg, err := c.Brain()
	if err != nil {
		return nil, err
	}
	node, err := brain.New(cfg, *s.Prng)
	if err != nil {
		return nil, fmt.Errorf("conf: %w", err)
	}
	inst := &instance{node: node}
	inst.classes = c.Places()
	c.Tenants.Into(&inst.tenants, 1)
	return inst, nil
}

// toEvent translates an item. The result is nil for items that a node does not use.
func (n *instance) toEvent(it *Item) (brain.Event, error) {
	switch {
	case it.Inbound != nil:
		e := it.Inbound
		class, ok := n.classes[e.Class]
		if !ok {
			return nil, fmt.Errorf("inbound: tier_class %q is not in the settings", e.Class)
		}
		if e.OpID == "" || e.Deadline == 0 {
			return nil, fmt.Errorf("inbound: op_id or client_deadline_ms is missing")
		}
		tenant, ok := n.tenants.Find(e.Team)
		if !ok {
			tenant.ID = -1
		}
		return &brain.Request{ID: e.OpID, Class: class, Tenant: tenant.ID, Quota: tenant.Quota, Retry: e.Retry, Work: e.Expected, Key: e.Key,
			Deadline: config.FromMs(e.Deadline)}, nil
	case it.AttemptEnd != nil:
		e := it.AttemptEnd
		o, err := outcome(e.Ending)
		return &brain.AttemptEnded{ID: e.OpID, Attempt: e.Round, Server: e.Server, Outcome: o,
			Took: config.FromMs(e.Cost), Final: e.Terminal, Report: e.Metrics}, err
	case it.Wakeup != nil:
		return &brain.TimerFired{Cookie: it.Wakeup.Cookie}, nil
	case it.Health != nil:
		e := it.Health
		o, err := outcome(e.Ending)
		return &brain.ProbeEnded{Server: e.Server, Outcome: o, Took: config.FromMs(e.Cost), Report: e.Metrics}, err
	case it.View != nil:
		return fleetUpdate(it.View)
	case it.Begun != nil:
		e := it.Begun
		return &brain.StreamBegun{ID: e.OpID, Attempt: e.Round, Server: e.Server, Took: config.FromMs(e.Cost)}, nil
	case it.Lapsed != nil:
		return &brain.ClientGone{ID: it.Lapsed.OpID}, nil
	case it.PeerData != nil:
		return nil, nil // nodes exchange no data
	}
	return nil, fmt.Errorf("unknown event")
}

// fleetUpdate translates a server list.
func fleetUpdate(v *View) (brain.Event, error) {
	u := &brain.FleetUpdate{Members: make([]brain.Member, len(v.Members))}
	switch v.Scope {
	case "Partial":
		u.Kind = brain.UpdateChanges
	case "Complete":
		u.Kind = brain.UpdateFull
	case "Persisted":
		u.Kind = brain.UpdateRestored
	case "Error":
		u.Kind = brain.UpdateAskFailed
	default:
		return nil, fmt.Errorf("view: unknown scope %q", v.Scope)
	}
	for i := range v.Members {
		m, err := config.Entry(v.Members[i]).Member(config.FromMs)
		if err != nil {
			return nil, fmt.Errorf("view: members_list[%d]: %w", i, err)
		}
		u.Members[i] = m
	}
	return u, nil
}

var outcomes = map[string]brain.Outcome{
	"delivered": brain.OK, "app_error": brain.AppError, "shed": brain.Shed, "expired": brain.TimedOut,
	"dial_failed": brain.ConnectFailed, "dropped": brain.Dropped, "revoked": brain.Cancelled,
	"unused": brain.NeverSent,
}

func outcome(word string) (brain.Outcome, error) {
	o, ok := outcomes[word]
	if !ok {
		return 0, fmt.Errorf("unknown ending %q", word)
	}
	return o, nil
}

// appendMs appends a duration as a number of milliseconds.
func appendMs(out []byte, d time.Duration) []byte {
	return strconv.AppendFloat(out, float64(d)/1e6, 'f', -1, 64)
}

// appendAction appends an action as a JSON object.
func appendAction(out []byte, now time.Duration, a *brain.Action) []byte {
	switch a.Kind {
	case brain.Send:
		out = appendText(append(out, `{"deliver":{"op_id":`...), a.ID)
		if a.At > 0 {
			out = appendMs(append(out, `,"stop_at_ms":`...), a.At)
		}
		out = appendText(append(out, `,"server":`...), a.Server)
	case brain.Cancel:
		out = appendText(append(out, `{"revoke":{"op_id":`...), a.ID)
		out = strconv.AppendInt(append(out, `,"round_no":`...), int64(a.Attempt), 10)
	case brain.Refuse:
		out = appendText(append(out, `{"push_back":{"op_id":`...), a.ID)
		if a.After > 0 {
			out = appendMs(append(out, `,"hold_off_ms":`...), a.After)
		}
	case brain.Fail:
		out = appendText(append(out, `{"fail":{"op_id":`...), a.ID)
	case brain.SetTimer:
		out = appendMs(append(out, `{"arm":{"from_now_ms":`...), a.After)
		out = strconv.AppendUint(append(out, `,"cookie":`...), a.Cookie, 10)
	case brain.Probe:
		out = appendText(append(out, `{"health_check":{"server":`...), a.Server)
	case brain.CloseIdle:
		out = appendText(append(out, `{"disconnect":{"server":`...), a.Server)
	case brain.Subscribe:
		out = append(out, `{"tail":{"enable":true`...)
	case brain.Note:
		out = appendText(append(out, `{"record":{"reason_text":`...), a.Text)
	}
	return append(out, "}}"...)
}

// appendText appends a JSON string.
func appendText(out []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(out, quoted...)
		}
	}
	out = append(out, '"')
	out = append(out, s...)
	return append(out, '"')
}

// AppendDie appends the reply that ends the simulation because the decision code of an instance has failed.
func AppendDie(out []byte, i int, text string) []byte {
	out = strconv.AppendInt(append(out, `{"nodes":[{"i":`...), int64(i), 10)
	out = appendText(append(out, `,"cmds":[{"die":{"reason_text":`...), text)
	return append(out, "}}]}]}\n"...)
}
