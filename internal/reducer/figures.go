package reducer

import "time"

// publishInterval is how often figures are published. Figures up to half a second old are acceptable.
const publishInterval = 150 * time.Millisecond

// Figures is a snapshot of a balancer's statistics. The counts run from the start of the process; the calls taken are
// those served, refused, failed and active, and those whose client left.
type Figures struct {
	OK, Shed, Errors  map[string]uint64 // by class
	Active            int               // calls taken and not finished
	Listed            int               // app nodes on the list
	Avoided           int               // listed app nodes that currently get no calls
	Applied, Rejected uint64            // configuration reloads
	Fleet             *Fleet            // nil: this balancer hears of no others
}

// Fleet is what this balancer knows of the other balancers.
type Fleet struct {
	Live             int    `json:"live"`     // others that are alive
	SharingBalancers int    `json:"crowd"`    // balancers that share an app node, as the decider counts them
	Believed         bool   `json:"believed"` // SharingBalancers comes from the view and not from the settings
	SameListSize     int    `json:"agree"`    // live others whose list has as many app nodes as ours
	Dropped          uint64 `json:"dropped"`  // messages that were not accepted
	SubsetSize       int    `json:"held"`     // app nodes in our subset, with subsets
	SubsetOf         int    `json:"of"`       // app nodes that the subset is chosen from
}

// Publish hands out the figures for publication.
type Publish struct{ Figures *Figures }

type publishTimer struct{}

func (publishTimer) event() {}
func (Publish) effect()     {}

// classCount counts how the calls of a class ended. It outlives the class.
type classCount struct{ ok, shed, errors uint64 }

// classCountOf returns the count of a class, kept by class name.
func (r *Reducer) classCountOf(class int) *classCount {
	name := r.cfg.Classes[class].Name
	t := r.classCounts[name]
	if t == nil {
		t = new(classCount)
		r.classCounts[name] = t
	}
	return t
}

// countEnd counts a finished call by the kind of answer that its client got.
func (r *Reducer) countEnd(c *call, k ReplyKind) {
	t := r.classCountOf(c.Class)
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

// active returns the number of open calls: those taken that have not ended in any way.
func (c *Counts) active() int { return int(c.Taken - c.Served - c.Refused - c.Failed - c.Left) }

func (r *Reducer) onPublish() {
	r.countAvoided()
	f := &Figures{OK: map[string]uint64{}, Shed: map[string]uint64{}, Errors: map[string]uint64{}, Active: r.counts.active(),
		Listed: len(r.serverList), Avoided: r.avoidedServers, Applied: r.reloadsApplied, Rejected: r.reloadsRejected}
	for name, t := range r.classCounts {
		f.OK[name], f.Shed[name], f.Errors[name] = t.ok, t.shed, t.errors
	}
	f.Fleet = r.fleetFigures()
	r.emit(Publish{f})
	r.emit(StartTimer{publishInterval, publishTimer{}})
}

// countAvoided checks up to maxServersPerEvent app nodes; later calls check the rest.
func (r *Reducer) countAvoided() {
	if r.avoidedScanPos >= len(r.serverList) {
		r.avoidedScanPos, r.avoidedSoFar = 0, 0
	}
	for n := maxServersPerEvent; n > 0 && r.avoidedScanPos < len(r.serverList); n-- {
		if r.avoidedByAllPools(r.serverList[r.avoidedScanPos]) {
			r.avoidedSoFar++
		}
		r.avoidedScanPos++
	}
	if r.avoidedScanPos >= len(r.serverList) {
		r.avoidedServers = r.avoidedSoFar
	}
}

// avoidedByAllPools reports whether every pool of a server currently avoids it, according to the pools' deciders.
func (r *Reducer) avoidedByAllPools(s *server) bool {
	for _, i := range s.usingPools {
		if d, ok := r.pools[i].decider.(interface{ Avoids(string) bool }); !ok || !d.Avoids(s.id) {
			return false
		}
	}
	return true
}
