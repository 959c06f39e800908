package reducer

import (
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
)

// nodeOverride is what operators have set for an app node. It takes precedence over the list, and also applies to an app
// node that is not listed yet or is listed again.
type nodeOverride struct {
	drained bool
	weight  float64 // 0: as listed
}

// maxViewNodes bounds the app nodes in one Snapshot, so that building it takes less than a millisecond.
const maxViewNodes = 500

// Snapshot is a copy of a balancer's state.
type Snapshot struct {
	Pools []PoolView
	Nodes []NodeView // by ID, from Inspect.From on, at most maxViewNodes
	Total int        // app nodes listed
	Calls int        // open calls
	Conns int        // connections to app nodes
	Counts
}

// Counts are the numbers of calls since the start, in total and by result. The difference is the number of open calls.
type Counts struct{ Taken, Served, Refused, Failed, Left uint64 }

// PoolView is the state of a pool.
type PoolView struct {
	Name    string
	Members int // ready app nodes
	Open    int // open calls
	Cap     int // maximum of open calls; 0: none
}

// NodeView is the state of an app node: as listed (Listed), as set by operators, and as in force (Effective).
type NodeView struct {
	ID, Address, Zone, Kind string
	Pools                   []string
	Listed, Effective       brain.Readiness
	Drained                 bool // by operators
	Weight                  float64
	Started                 time.Duration
	Warmth                  float64
	InUse, Idle             int // connections in use and idle
	LastAnswer, LastFailure time.Duration
	Sight                   brain.ServerSight // the state in the decider of the first of its pools that knows it
}

// applyOverride returns a listed member with the operator overrides applied.
func (r *Reducer) applyOverride(listed brain.Member) brain.Member {
	w, ok := r.nodeOverrides[listed.Server]
	if !ok {
		return listed
	}
	if w.drained && listed.State == brain.Ready {
		listed.State = brain.Draining
	}
	if w.weight > 0 {
		listed.Weight = w.weight
	}
	return listed
}

// onOperator puts changed overrides and caps in force, all within this event.
func (r *Reducer) onOperator(changes []control.Change) {
	for _, c := range changes {
		switch {
		case c.Node != "":
			r.nodeOverrides[c.Node] = nodeOverride{c.Drained, c.Weight}
			if !c.Drained && c.Weight == 0 {
				delete(r.nodeOverrides, c.Node)
			}
			if s := r.servers[c.Node]; s != nil {
				r.refreshMember(s)
			}
		case c.Pool != "":
			r.poolCaps[c.Pool] = c.Cap
			if c.Cap == 0 {
				delete(r.poolCaps, c.Pool)
			}
		}
	}
	r.notifyChangedPools(nil, brain.UpdateChanges)
}

// refreshMember applies the current override to an app node and notifies its pools of a change.
func (r *Reducer) refreshMember(s *server) {
	was := s.member
	s.member = r.applyOverride(s.listed)
	if was != s.member {
		r.updatePools(s, was)
	}
}

// maxOpen returns how many calls a pool may have open; 0: unlimited. A cap set by operators takes precedence over the
// settings.
func (r *Reducer) maxOpen(p *pool) int {
	if n, ok := r.poolCaps[p.Name]; ok {
		return n
	}
	return p.MaxOpen
}

// buildView returns a Snapshot with the app nodes whose IDs sort after from.
func (r *Reducer) buildView(from string) Snapshot {
	v := Snapshot{Total: len(r.serverList), Calls: len(r.calls), Conns: len(r.conns), Counts: r.counts}
	for _, p := range r.routedPools {
		v.Pools = append(v.Pools, PoolView{Name: p.Name, Members: p.readyMembers, Open: p.openCalls, Cap: r.maxOpen(p)})
	}
	// Sorting a large fleet would delay calls, so only the first app nodes of serverList are considered. A
	// single-machine installation has fewer.
	candidates := r.serverList
	if len(candidates) > 4*maxViewNodes {
		candidates = candidates[:4*maxViewNodes]
	}
	ids := make([]string, 0, len(candidates))
	for _, s := range candidates {
		if s.id > from {
			ids = append(ids, s.id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), maxViewNodes)] {
		v.Nodes = append(v.Nodes, r.nodeView(r.servers[id]))
	}
	return v
}

func (r *Reducer) nodeView(s *server) NodeView {
	n := NodeView{ID: s.id, Address: s.address, Zone: s.member.Zone, Kind: s.member.Kind, Listed: s.listed.State, Effective: s.member.State,
		Drained: r.nodeOverrides[s.id].drained, Weight: s.member.Weight, Started: s.member.Started, Warmth: r.warmth(s.member.Started),
		InUse: len(s.conns) - len(s.idle), Idle: len(s.idle), LastAnswer: s.lastAnswer, LastFailure: s.lastFailure}
	for _, i := range s.usingPools {
		p := r.pools[i]
		n.Pools = append(n.Pools, p.Name)
		if d, ok := p.decider.(interface {
			Sight(string) brain.ServerSight
		}); ok && !n.Sight.Known {
			n.Sight = d.Sight(s.id)
		}
	}
	return n
}
