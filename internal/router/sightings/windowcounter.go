package sightings

import (
	"maps"
	"slices"
	"time"
)

// WindowCounter counts how often each member was added recently. It counts everything added within the last period and
// nothing older than two periods. The number of members is limited. It is not safe for concurrent use.
type WindowCounter[K comparable] struct {
	period   time.Duration
	limit    int
	rotateAt time.Time
	current  map[K]int
	previous map[K]int
}

// NewWindowCounter returns a counter that holds at most limit members.
func NewWindowCounter[K comparable](period time.Duration, limit int) *WindowCounter[K] {
	return &WindowCounter[K]{period: period, limit: limit, current: map[K]int{}}
}

// Add increments the count of a member. If the limit is reached, the older half of the members is dropped.
func (r *WindowCounter[K]) Add(now time.Time, member K) {
	r.rotateIfDue(now)
	if len(r.current) >= r.limit/2 {
		r.rotate()
	}
	r.current[member]++
}

// Count returns how often a member was added recently.
func (r *WindowCounter[K]) Count(now time.Time, member K) int {
	r.rotateIfDue(now)
	return r.current[member] + r.previous[member]
}

// Has reports whether a member was added recently.
func (r *WindowCounter[K]) Has(now time.Time, member K) bool { return r.Count(now, member) > 0 }

// Members returns the recently added members in no particular order.
func (r *WindowCounter[K]) Members(now time.Time) []K {
	r.rotateIfDue(now)
	members := slices.Collect(maps.Keys(r.current))
	for member := range r.previous {
		if _, found := r.current[member]; !found {
			members = append(members, member)
		}
	}
	return members
}

func (r *WindowCounter[K]) rotateIfDue(now time.Time) {
	if now.Before(r.rotateAt) {
		return
	}
	r.rotate()
	if now.Sub(r.rotateAt) < r.period {
		r.rotateAt = r.rotateAt.Add(r.period)
		return
	}
	r.previous = nil
	r.rotateAt = now.Add(r.period)
}

func (r *WindowCounter[K]) rotate() {
	r.previous = r.current
	r.current = make(map[K]int, len(r.previous))
}
