package reducer

import (
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/control"
)

// wish is what operators want of an app node, whatever the list says of it: it holds also for one that the list has not
// named yet, or names again.
type wish struct {
	drained bool
	weight  float64 // 0: the list's
}

// lookMost bounds the app nodes that one look tells, so that it stays under a millisecond.
const lookMost = 500

// View is what is seen of a balancer at a moment.
type View struct {
	Pools []PoolView
	Nodes []NodeView // by id, from where the look began, lookMost at the most
	Total int        // app nodes listed
	Calls int        // open
	Conns int        // to app nodes
	Counts
}

// Counts of calls since the start. Those open are the rest: taken is the sum of all.
type Counts struct{ Taken, Served, Refused, Failed, Left uint64 }

// PoolView is a pool.
type PoolView struct {
	Name    string
	Members int // that are ready
	Open    int // calls
	Cap     int // 0: none
}

// NodeView is an app node: as the list has it, as operators want it, and as it counts.
type NodeView struct {
	ID, Address, Zone, Kind string
	Pools                   []string
	Told, Counts            brain.Readiness
	Drained                 bool // by operators
	Weight                  float64
	Started                 time.Duration
	Warmth                  float64
	Out, Idle               int // connections
	LastAnswer, LastFailure time.Duration
	Sight                   brain.ServerSight // the module's, of the first of its pools
}

// effective is how an app node counts: what the list says, and on top of it what operators want.
func (r *Reducer) effective(told brain.Member) brain.Member {
	w, ok := r.wishes[told.Server]
	if !ok {
		return told
	}
	if w.drained && told.State == brain.Ready {
		told.State = brain.Draining
	}
	if w.weight > 0 {
		told.Weight = w.weight
	}
	return told
}

// onOperator puts what operators want in force, in this very event.
func (r *Reducer) onOperator(changes []control.Change) {
	for _, c := range changes {
		switch {
		case c.Node != "":
			r.wishes[c.Node] = wish{c.Drained, c.Weight}
			if !c.Drained && c.Weight == 0 {
				delete(r.wishes, c.Node)
			}
			if s := r.servers[c.Node]; s != nil {
				r.recountAs(s)
			}
		case c.Pool != "":
			r.caps[c.Pool] = c.Cap
			if c.Cap == 0 {
				delete(r.caps, c.Pool)
			}
		}
	}
	r.tellChanged(nil, brain.UpdateChanges)
}

// recountAs enters an app node as it counts now.
func (r *Reducer) recountAs(s *server) {
	was := s.member
	s.member = r.effective(s.told)
	if was != s.member {
		r.note(s, was)
	}
}

// cap is how many calls a pool may have open: what operators want goes before the settings. 0: as many as come.
func (r *Reducer) cap(p *pool) int {
	if n, ok := r.caps[p.Name]; ok {
		return n
	}
	return p.MaxOpen
}

// look tells what is seen, app nodes from an id on.
func (r *Reducer) look(from string) View {
	v := View{Total: len(r.ordered), Calls: len(r.calls), Conns: len(r.conns), Counts: r.counts}
	for _, p := range r.targets {
		v.Pools = append(v.Pools, PoolView{Name: p.Name, Members: p.ready, Open: p.open, Cap: r.cap(p)})
	}
	// Sorting all of a large fleet would hold up calls; a box's is small, and of a larger one the first by place are told.
	some := r.ordered
	if len(some) > 4*lookMost {
		some = some[:4*lookMost]
	}
	ids := make([]string, 0, len(some))
	for _, s := range some {
		if s.id > from {
			ids = append(ids, s.id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), lookMost)] {
		v.Nodes = append(v.Nodes, r.nodeView(r.servers[id]))
	}
	return v
}

func (r *Reducer) nodeView(s *server) NodeView {
	n := NodeView{ID: s.id, Address: s.address, Zone: s.member.Zone, Kind: s.member.Kind, Told: s.told.State, Counts: s.member.State,
		Drained: r.wishes[s.id].drained, Weight: s.member.Weight, Started: s.member.Started, Warmth: r.warmth(s.member.Started),
		Out: len(s.conns) - len(s.idle), Idle: len(s.idle), LastAnswer: s.answered, LastFailure: s.failed}
	for _, i := range s.pools {
		p := r.pools[i]
		n.Pools = append(n.Pools, p.Name)
		if d, ok := p.node.(interface {
			Sight(string) brain.ServerSight
		}); ok && !n.Sight.Known {
			n.Sight = d.Sight(s.id)
		}
	}
	return n
}
