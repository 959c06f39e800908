package commonprefix

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Place is a numbered slot for an instance of a backend. Prefixes are assigned to places by rendezvous hashing, not to
// instances, so that an instance that replaces another one takes over its prefixes and no other prefix moves.
type Place struct {
	_msgpack struct{} `msgpack:",as_array"`
	Backend  string
	Number   int
	Instance string // ID of the instance that held it when the set was made
}

// Hash returns the hash of the place in rendezvous hashing.
func (p Place) Hash() uint64 {
	return xxhash.Sum64String(p.Backend + "/" + strconv.Itoa(p.Number))
}

func comparePlaces(a, b Place) int {
	return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Number, b.Number))
}

// HasPlaces reports whether the set has places for a backend.
func (s *Set) HasPlaces(backend string) bool {
	return slices.ContainsFunc(s.Places, func(place Place) bool { return place.Backend == backend })
}

// Assign returns the places of a backend with the ready instances that hold them now. A place whose instance isn't
// ready goes to a ready instance without a place, if possible to the one that held it in earlier, the previous result
// of Assign. A place for which there is no instance has an empty Instance. Each router computes this by itself from
// the agreed set and the instances, so that no router waits for another.
func (s *Set) Assign(backend string, ready []string, earlier []Place) []Place {
	assigned := s.placesOf(backend)
	unplaced := map[string]bool{}
	for _, id := range ready {
		unplaced[id] = true
	}
	for i := range assigned {
		if !unplaced[assigned[i].Instance] {
			assigned[i].Instance = ""
			continue
		}
		delete(unplaced, assigned[i].Instance)
	}
	keepEarlier(assigned, unplaced, earlier)
	fillVacant(assigned, unplaced)
	return assigned
}

func (s *Set) placesOf(backend string) []Place {
	var places []Place
	for _, place := range s.Places {
		if place.Backend == backend {
			places = append(places, place)
		}
	}
	return places
}

// keepEarlier assigns vacant places to the instances that held them in the earlier assignment.
func keepEarlier(assigned []Place, unplaced map[string]bool, earlier []Place) {
	for i := range assigned {
		if assigned[i].Instance != "" {
			continue
		}
		at := slices.IndexFunc(earlier, func(place Place) bool { return place.Number == assigned[i].Number })
		if at >= 0 && unplaced[earlier[at].Instance] {
			assigned[i].Instance = earlier[at].Instance
			delete(unplaced, earlier[at].Instance)
		}
	}
}

func fillVacant(assigned []Place, unplaced map[string]bool) {
	candidates := slices.Sorted(maps.Keys(unplaced))
	for i := range assigned {
		if assigned[i].Instance == "" && len(candidates) > 0 {
			assigned[i].Instance = candidates[0]
			candidates = candidates[1:]
		}
	}
}

const (
	// addPlaceAfter is how long an instance without a place waits for the place of another one before it gets a new
	// place: during a rollout, the new instance becomes ready before the old one leaves.
	addPlaceAfter = 6 * time.Second
	// removePlaceAfter is how long a place without an instance is kept: an instance that crashed is usually restarted.
	removePlaceAfter = 30 * time.Second
)

// Assignment is a router's view of the instances and places of a backend.
type Assignment struct {
	Backend string
	Ready   []string // IDs of the ready instances
	Places  []Place  // the result of Set.Assign
}

// Placer decides at the coordinator when places are added and removed.
type Placer struct {
	unplacedSince map[string]time.Duration // by instance ID
	vacantSince   map[Place]time.Duration
}

// NewPlacer returns a placer without any state.
func NewPlacer() *Placer {
	return &Placer{unplacedSince: map[string]time.Duration{}, vacantSince: map[Place]time.Duration{}}
}

// Next returns the places of the next set, sorted by backend and number.
func (p *Placer) Next(now time.Duration, current *Set, assignments []Assignment) []Place {
	var next []Place
	unplaced, vacant := map[string]time.Duration{}, map[Place]time.Duration{}
	for _, assignment := range assignments {
		next = append(next, p.keptPlaces(now, current, assignment, vacant)...)
		next = append(next, p.addedPlaces(now, current, assignment, unplaced)...)
	}
	p.unplacedSince, p.vacantSince = unplaced, vacant
	slices.SortFunc(next, comparePlaces)
	return next
}

// keptPlaces returns the places that remain: those with an instance, and for removePlaceAfter those that are vacant,
// with the instance that the current set names. As long as the backend has no ready instance, all places remain. It
// records in vacant since when places are vacant.
func (p *Placer) keptPlaces(now time.Duration, current *Set, seen Assignment, vacant map[Place]time.Duration) []Place {
	var kept []Place
	agreed := current.placesOf(seen.Backend)
	for i, place := range seen.Places {
		if place.Instance != "" {
			kept = append(kept, place)
			continue
		}
		since := firstSeen(p.vacantSince, agreed[i], now)
		vacant[agreed[i]] = since
		if now-since < removePlaceAfter || len(seen.Ready) == 0 {
			kept = append(kept, agreed[i])
		}
	}
	return kept
}

// addedPlaces returns new places for the instances that have been without a place for addPlaceAfter, or for all
// instances if the backend has no places yet. It records in unplaced since when instances have no place.
func (p *Placer) addedPlaces(
	now time.Duration, current *Set, seen Assignment, unplaced map[string]time.Duration,
) []Place {
	var added []Place
	number := 0
	for _, place := range seen.Places {
		number = max(number, place.Number+1)
	}
	for _, id := range seen.unplaced() {
		since := firstSeen(p.unplacedSince, id, now)
		unplaced[id] = since
		if now-since >= addPlaceAfter || !current.HasPlaces(seen.Backend) {
			added = append(added, Place{Backend: seen.Backend, Number: number, Instance: id})
			number++
		}
	}
	return added
}

// unplaced returns the IDs of the ready instances without a place, in order.
func (a Assignment) unplaced() []string {
	var ids []string
	for _, id := range slices.Sorted(slices.Values(a.Ready)) {
		if !slices.ContainsFunc(a.Places, func(place Place) bool { return place.Instance == id }) {
			ids = append(ids, id)
		}
	}
	return ids
}

func firstSeen[K comparable](times map[K]time.Duration, key K, now time.Duration) time.Duration {
	if known, ok := times[key]; ok {
		return known
	}
	return now
}
