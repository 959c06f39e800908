package reducer

import "time"

// figuresEvery is how old published figures get: they may be half a second old.
const figuresEvery = 150 * time.Millisecond

// Figures are what is told of a balancer at a moment. The counts run from the start of the process; taken calls are those
// served, refused, failed and active, and those whose client left.
type Figures struct {
	OK, Shed, Errors  map[string]uint64 // by class
	Active            int               // calls taken and not ended
	Listed            int               // app nodes
	Avoided           int               // of these, those that get no calls now
	Applied, Rejected uint64            // configurations read again
	Fleet             *Fleet            // nil: nobody is heard
}

// Fleet is what is believed of the other balancers.
type Fleet struct {
	Live     int    `json:"live"`     // others
	Crowd    int    `json:"crowd"`    // that share an app node, as decisions have it
	Believed bool   `json:"believed"` // the view is behind that number, and not the settings
	Agree    int    `json:"agree"`    // of those that live, whose list has as many app nodes as ours
	Dropped  uint64 `json:"dropped"`  // words that were not taken
	Held     int    `json:"held"`     // app nodes of our subset, where there are subsets
	Of       int    `json:"of"`       // among so many
}

// Publish hands the figures to whoever tells them.
type Publish struct{ Figures *Figures }

type publish struct{}

func (publish) event()  {}
func (Publish) effect() {}

// ended counts how calls of a class ended. It stays when the class is gone.
type ended struct{ ok, shed, errors uint64 }

// endedOf is the count of a class, by its name.
func (r *Reducer) endedOf(class int) *ended {
	name := r.cfg.Classes[class].Name
	t := r.tallies[name]
	if t == nil {
		t = new(ended)
		r.tallies[name] = t
	}
	return t
}

// counted enters the end of a call that its client has heard of.
func (r *Reducer) counted(c *call, k Kind) {
	t := r.endedOf(c.Class)
	switch k {
	case Served:
		r.counts.Served++
		t.ok++
	case Refused:
		r.counts.Refused++
		t.shed++
	default:
		r.counts.Failed++
		t.errors++
	}
}

// Open calls are the rest: taken is the sum of all.
func (c *Counts) active() int { return int(c.Taken - c.Served - c.Refused - c.Failed - c.Left) }

func (r *Reducer) onPublish() {
	r.countAvoided()
	f := &Figures{OK: map[string]uint64{}, Shed: map[string]uint64{}, Errors: map[string]uint64{}, Active: r.counts.active(),
		Listed: len(r.ordered), Avoided: r.avoided, Applied: r.applied, Rejected: r.rejected}
	for name, t := range r.tallies {
		f.OK[name], f.Shed[name], f.Errors[name] = t.ok, t.shed, t.errors
	}
	f.Fleet = r.fleetFigures()
	r.emit(Publish{f})
	r.emit(Arm{figuresEvery, publish{}})
}

// countAvoided looks at so many servers as an event may, and at the others the next times.
func (r *Reducer) countAvoided() {
	if r.avoidAt >= len(r.ordered) {
		r.avoidAt, r.avoiding = 0, 0
	}
	for n := walkMost; n > 0 && r.avoidAt < len(r.ordered); n-- {
		if r.avoids(r.ordered[r.avoidAt]) {
			r.avoiding++
		}
		r.avoidAt++
	}
	if r.avoidAt >= len(r.ordered) {
		r.avoided = r.avoiding
	}
}

// avoids says that no pool of a server sends it anything now: that is the view of their nodes.
func (r *Reducer) avoids(s *server) bool {
	for _, i := range s.pools {
		if d, ok := r.pools[i].node.(interface{ Avoids(string) bool }); !ok || !d.Avoids(s.id) {
			return false
		}
	}
	return true
}
