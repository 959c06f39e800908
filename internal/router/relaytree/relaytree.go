// Package relaytree computes the trees along which messages are relayed. A message goes from its origin to one member
// of each zone, the zone's head, and from there down a tree of bounded degree within the zone, so that it enters each
// zone about once. The tree depends only on the origin and the view, so each relay computes its own children.
//
// Each origin is assigned to one of a few trees. This distributes the load of heads and relays, while each router sends
// to few others. The order of a tree within a zone is the order of the ring, starting at the tree's root position, so
// that relays with different views never form a cycle.
package relaytree

import (
	"slices"

	"pewterrudder/internal/router/membership"
)

const (
	// Fanout is the maximum number of children that a member has in its own zone's tree.
	Fanout = 4
	// TreeCount is the number of different trees.
	TreeCount = 4
)

// rootNames are the names whose ring positions are the root positions of the trees.
var rootNames = [TreeCount]string{"tree-0", "tree-1", "tree-2", "tree-3"}

// rootOf returns the root name of the origin's tree.
func rootOf(origin string) string { return rootNames[membership.RingPosition(origin)%TreeCount] }

// Children returns the members to which node relays a message of the origin. The origin also sends to the heads of all
// zones, including its own zone: the tree of that zone may lead back to the origin, which does not relay the message
// again.
func Children(view *membership.View, origin, node string) []membership.Member {
	member, ok := view.Get(node)
	if !ok {
		return nil
	}
	children := childrenOf(view, rootOf(origin), member)
	if node != origin {
		return children
	}
	for _, head := range heads(view, rootOf(origin)) {
		known := slices.ContainsFunc(children, func(m membership.Member) bool { return m.Node == head.Node })
		if head.Node != origin && !known {
			children = append(children, head)
		}
	}
	return children
}

// Head returns the first member of a zone in the tree with the given root name, and false if the zone has no members.
func Head(view *membership.View, zone, root string) (membership.Member, bool) {
	members := view.InZone(zone)
	if len(members) == 0 {
		return membership.Member{}, false
	}
	first, _ := view.IndexInZone(zone, root)
	return members[first], true
}

// ChildrenInZone returns the children of node in its zone's tree with the given root name, nil if the node is not a
// live member.
func ChildrenInZone(view *membership.View, root, node string) []membership.Member {
	member, ok := view.Get(node)
	if !ok {
		return nil
	}
	return childrenOf(view, root, member)
}

// heads returns the head of each zone in the tree with the given root name.
func heads(view *membership.View, root string) []membership.Member {
	list := make([]membership.Member, 0, len(view.Zones()))
	for _, zone := range view.Zones() {
		if head, found := Head(view, zone, root); found {
			list = append(list, head)
		}
	}
	return list
}

// childrenOf returns the member's children in its own zone's tree with the given root name.
func childrenOf(view *membership.View, root string, member membership.Member) []membership.Member {
	members := view.InZone(member.Zone)
	first, _ := view.IndexInZone(member.Zone, root)
	index, _ := view.IndexInZone(member.Zone, member.Node)
	rank := (index - first + len(members)) % len(members)
	var list []membership.Member
	for child := rank*Fanout + 1; child <= rank*Fanout+Fanout && child < len(members); child++ {
		list = append(list, members[(first+child)%len(members)])
	}
	return list
}
