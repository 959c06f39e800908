package histories

import (
	"math/rand/v2"
	"strconv"
	"time"

	"pewterrudder/internal/roster"
)

// fleetMost bounds the ids of a history: few, so that each goes, comes back and moves many times.
const fleetMost = 16

// slot is what the store has under an id.
type slot struct {
	roster.Entry
	in bool
}

type table [fleetMost]slot

// change of one id, as the store keeps it for those who ask what came after a revision.
type change struct {
	rev   int64
	entry roster.Entry
}

// snapshot is the store as it was, for a restart with older data and for answers of a replica that lags.
type snapshot struct {
	rev   int64
	table table
}

// store is the truth.
type store struct {
	snapshot
	log     []change
	first   int64 // changes up to it are compacted away
	epoch   int   // a restart ends every connection
	lineage int   // a restart with other data: the same revisions may mean something else
	backups []snapshot
	alive   [fleetMost]bool // processes; one may die while it is listed
	dead    [fleetMost]time.Duration
}

func newStore() *store { return &store{snapshot: snapshot{rev: 1}, first: 1} }

// put enters what is true of an id from now on.
func (s *store) put(i int, e roster.Entry) {
	s.rev++
	s.table[i] = slot{e, e.State != roster.Gone}
	s.log = append(s.log, change{s.rev, e})
}

func (s *store) start(rng *rand.Rand, now time.Duration, i int) {
	s.alive[i], s.dead[i] = true, 0
	e := roster.Entry{ID: "n" + strconv.Itoa(i), Address: "10.0.0." + strconv.Itoa(i) + ":80", Zone: string(rune('a' + i%3)),
		Weight: 1, Started: now}
	if rng.IntN(4) == 0 {
		e.Address = "10.0.1." + strconv.Itoa(rng.IntN(200)) + ":80"
	}
	if rng.IntN(4) == 0 {
		e.Labels = map[string]string{"version": strconv.Itoa(rng.IntN(3))}
	}
	s.put(i, e)
}

func (s *store) end(i int) {
	s.alive[i], s.dead[i] = false, 0
	s.put(i, roster.Entry{ID: s.table[i].ID, State: roster.Gone})
}

// happen is one ordinary event of the fleet.
func (s *store) happen(rng *rand.Rand, now time.Duration) {
	i := rng.IntN(fleetMost)
	e := s.table[i].Entry
	switch {
	case !s.table[i].in:
		s.start(rng, now, i)
	case e.State == roster.Draining && rng.IntN(4) > 0:
		s.end(i)
	case e.State == roster.Draining: // the drain is called off
		e.State = roster.Up
		s.put(i, e)
	case s.dead[i] > 0:
	case rng.IntN(8) == 0: // it dies, and its lease runs out later
		s.alive[i], s.dead[i] = false, now
	case rng.IntN(6) == 0:
		s.start(rng, now, i) // again, perhaps elsewhere
	case rng.IntN(3) == 0:
		s.end(i)
	default:
		e.State = roster.Draining
		s.put(i, e)
	}
}

// expire takes the leases off that have run out.
func (s *store) expire(now time.Duration) {
	for i := range s.dead {
		if s.dead[i] > 0 && now-s.dead[i] >= lease && s.table[i].in {
			s.end(i)
		}
	}
}

// trouble is one event of the store itself.
func (s *store) trouble(rng *rand.Rand, now time.Duration, t *Tally) {
	switch rng.IntN(5) {
	case 0:
		t.Compactions++
		s.first = s.rev
	case 1:
		s.epoch++
		t.Restarts++
	case 2, 3: // with older data; what it has forgotten registers again, what it lists and has ended runs out
		t.Restarts++
		if len(s.backups) == 0 {
			return
		}
		s.epoch++
		s.lineage++
		s.snapshot = s.backups[rng.IntN(len(s.backups))]
		s.forgetAfter(s.rev)
		for i := range s.alive {
			if s.table[i].in && !s.alive[i] {
				s.dead[i] = now
			}
		}
	default: // with none
		t.Restarts++
		s.epoch++
		s.lineage++
		s.snapshot = snapshot{rev: 1}
		s.forgetAfter(1)
	}
}

func (s *store) forgetAfter(rev int64) {
	s.first = min(s.first, rev)
	for len(s.log) > 0 && s.log[len(s.log)-1].rev > rev {
		s.log = s.log[:len(s.log)-1]
	}
	for len(s.backups) > 0 && s.backups[len(s.backups)-1].rev > rev {
		s.backups = s.backups[:len(s.backups)-1]
	}
}

// register has one living app node that is not listed come back.
func (s *store) register(rng *rand.Rand, now time.Duration) {
	for i, alive := range s.alive {
		if alive && !s.table[i].in {
			s.start(rng, now, i)
			return
		}
	}
}

// entries of a table, as a list.
func (t *table) entries() (all []roster.Entry) {
	for i := range t {
		if t[i].in {
			all = append(all, t[i].Entry)
		}
	}
	return all
}

// since gives the changes after a revision, or ok false where the whole list is needed.
func (s *store) since(rev int64) (all []roster.Entry, ok bool) {
	if rev < s.first || rev > s.rev {
		return nil, false
	}
	at := len(s.log)
	for at > 0 && s.log[at-1].rev > rev {
		at--
	}
	for _, c := range s.log[at:] {
		all = append(all, c.entry)
	}
	return all, true
}
