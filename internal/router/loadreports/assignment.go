// Package loadreports distributes the load reports of instances. Each instance is polled by one router, which sends the
// reports to all others over the relay tree. An old report is of little use, so reports are neither stored nor resent.
package loadreports

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/membership"
)

// Assignment determines which router polls an instance: one in the instance's zone if there is any, chosen by
// rendezvous hashing so that few instances change their owner when routers come and go. All routers with the same view
// get the same result. It is safe for concurrent use.
type Assignment struct {
	view func() *membership.View

	mu         sync.Mutex
	cachedView *membership.View
	owners     map[string]string
}

// NewAssignment returns an assignment among the routers in the current view.
func NewAssignment(view func() *membership.View) *Assignment {
	return &Assignment{view: view, owners: map[string]string{}}
}

// IsOwner reports whether this router polls the instance.
func (a *Assignment) IsOwner(instance *instances.Instance) bool {
	view := a.view()
	return a.owner(view, instance) == view.Self().Node
}

// owner returns the node that polls the instance. Results are cached until the view changes.
func (a *Assignment) owner(view *membership.View, instance *instances.Instance) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cachedView != view {
		a.cachedView = view
		clear(a.owners)
	}
	owner, known := a.owners[instance.ID]
	if !known {
		owner = rendezvousOwner(candidates(view, instance.Zone), instance.ID)
		a.owners[instance.ID] = owner
	}
	return owner
}

// candidates returns the routers in a zone, or all routers if the zone has none.
func candidates(view *membership.View, zone string) []membership.Member {
	if members := view.InZone(zone); len(members) > 0 {
		return members
	}
	return view.Live()
}

// rendezvousOwner returns the node of the member with the highest weight for the key.
func rendezvousOwner(members []membership.Member, key string) string {
	var chosen string
	var highest uint64
	for _, member := range members {
		weight := xxhash.Sum64String(member.Node + "\x00" + key)
		if chosen == "" || weight > highest {
			chosen, highest = member.Node, weight
		}
	}
	return chosen
}
