package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// FailedMember is a member that failed or left.
type FailedMember struct {
	Member Member
	Status Status
	// Since is when the member was last heard from, as far as this router knows.
	Since time.Time
}

// Silence returns the time since the member was last heard from.
func (f FailedMember) Silence(now time.Time) time.Duration { return now.Sub(f.Since) }

// View is an immutable snapshot of the membership as known to this router.
type View struct {
	self   Member
	live   []Member
	ring   *ring
	zones  []string
	byZone map[string]*ring
	failed []FailedMember
}

// newView returns a view of the given lists, which must be sorted by node name, and of the ring of the live members.
func newView(self Member, live []Member, failed []FailedMember, members *ring) *View {
	v := &View{self: self, live: live, failed: failed, ring: members, byZone: make(map[string]*ring)}
	for i, member := range v.ring.members {
		zone := v.byZone[member.Zone]
		if zone == nil {
			zone = &ring{}
			v.byZone[member.Zone] = zone
			v.zones = append(v.zones, member.Zone)
		}
		zone.add(member, v.ring.keys[i])
	}
	slices.Sort(v.zones)
	return v
}

// compareRingKeys orders nodes by their positions on the ring, and nodes with the same position by name.
func compareRingKeys(a, b ringKey) int {
	if a.position != b.position {
		return cmp.Compare(a.position, b.position)
	}
	return strings.Compare(a.node, b.node)
}

// ringKey is the sort key of a node on the ring.
type ringKey struct {
	position uint64
	node     string
}

func ringKeyOf(node string) ringKey { return ringKey{position: RingPosition(node), node: node} }

// ring is a list of members sorted by ring key. Members must be added in that order.
type ring struct {
	members []Member
	keys    []ringKey
}

func newRing(size int) *ring {
	return &ring{members: make([]Member, 0, size), keys: make([]ringKey, 0, size)}
}

func (r *ring) add(member Member, key ringKey) {
	r.members = append(r.members, member)
	r.keys = append(r.keys, key)
}

// index returns the index of the node, or else of the first member after its position, which is the length of the list
// if there is none, and whether the node was found.
func (r *ring) index(node string) (int, bool) {
	return slices.BinarySearchFunc(r.keys, ringKeyOf(node), compareRingKeys)
}

// Self returns this router's own member.
func (v *View) Self() Member { return v.self }

// Live returns the live members, including this router, sorted by node name. The list must not be modified.
func (v *View) Live() []Member { return v.live }

// Ring returns the live members, sorted by their position on the ring. The list must not be modified.
func (v *View) Ring() []Member { return v.ring.members }

// Zones returns the sorted names of the zones with live members. The list must not be modified.
func (v *View) Zones() []string { return v.zones }

// InZone returns the live members of a zone, sorted by their position on the ring. The list must not be modified.
func (v *View) InZone(zone string) []Member {
	if members := v.byZone[zone]; members != nil {
		return members.members
	}
	return nil
}

// IndexInZone returns the index of the node in InZone, or else of the next member after its position on the ring, and
// whether the node was found.
func (v *View) IndexInZone(zone, node string) (index int, found bool) {
	members := v.byZone[zone]
	if members == nil {
		return 0, false
	}
	index, found = members.index(node)
	return index % len(members.members), found
}

// Failed returns the members that failed or left and were not yet removed, sorted by node name. The list must not be
// modified.
func (v *View) Failed() []FailedMember { return v.failed }

// Get returns the live member with that node name, and whether there is one.
func (v *View) Get(node string) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.live, node, func(m Member, node string) int { return strings.Compare(m.Node, node) })
	if !found {
		return Member{}, false
	}
	return v.live[i], true
}

// GetFailed returns the member with that node name that failed or left, and whether there is one.
func (v *View) GetFailed(node string) (FailedMember, bool) {
	i, found := slices.BinarySearchFunc(v.failed, node, func(f FailedMember, node string) int {
		return strings.Compare(f.Member.Node, node)
	})
	if !found {
		return FailedMember{}, false
	}
	return v.failed[i], true
}

// Successors returns the next live members on the ring after the node, at most count, without the node itself.
func (v *View) Successors(node string, count int) []Member {
	start, _ := v.ring.index(node)
	members := v.ring.members
	list := make([]Member, 0, count)
	for i := range members {
		member := members[(start+i)%len(members)]
		if member.Node == node {
			continue
		}
		if len(list) == count {
			break
		}
		list = append(list, member)
	}
	return list
}

// Predecessors returns the live members before the node on the ring, the nearest first, at most count, without the node
// itself. These are the members that have the node among their first count successors.
func (v *View) Predecessors(node string, count int) []Member {
	start, _ := v.ring.index(node)
	members := v.ring.members
	list := make([]Member, 0, count)
	for i := 1; i <= len(members) && len(list) < count; i++ {
		member := members[(start-i+2*len(members))%len(members)]
		if member.Node == node {
			continue
		}
		list = append(list, member)
	}
	return list
}
