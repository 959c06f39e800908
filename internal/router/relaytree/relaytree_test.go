package relaytree

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// viewOf returns the view of the first member, which knows all the others.
func viewOf(members []membership.Member) *membership.View {
	detector := membership.NewDetector(members[0], start)
	for _, member := range members[1:] {
		detector.Merge(membership.Entry{Member: member, By: member.Node}, start)
	}
	detector.Refresh(start)
	return detector.View()
}

func drawMembers(t *rapid.T) []membership.Member {
	count := rapid.IntRange(1, 60).Draw(t, "members")
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	members := make([]membership.Member, count)
	for i := range members {
		zone := fmt.Sprint("zone-", rapid.IntRange(1, zones).Draw(t, "zone"))
		members[i] = membership.Member{Node: fmt.Sprint("node-", i), Zone: zone}
	}
	return members
}

// TestEveryMemberIsReachedOnce follows the tree: each member except the origin is reached once, each zone is entered
// once, and the number of children within a zone is bounded.
func TestEveryMemberIsReachedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		view := viewOf(members)
		origin := members[rapid.IntRange(0, len(members)-1).Draw(t, "origin")]
		reached := make(map[string]int)
		betweenZones := 0
		sent := map[string]bool{origin.Node: true}
		for queue := []membership.Member{origin}; len(queue) > 0; queue = queue[1:] {
			withinZone := 0
			for _, child := range Children(view, origin.Node, queue[0].Node) {
				reached[child.Node]++
				if child.Zone == queue[0].Zone {
					withinZone++
				} else {
					betweenZones++
				}
				if !sent[child.Node] {
					sent[child.Node] = true
					queue = append(queue, child)
				}
			}
			assert.Assert(t, withinZone <= Fanout+1)
		}
		assert.Assert(t, reached[origin.Node] <= 1)
		delete(reached, origin.Node)
		assert.Equal(t, len(reached), len(members)-1)
		for node, count := range reached {
			assert.Equal(t, count, 1, node)
		}
		assert.Equal(t, betweenZones, len(view.Zones())-1)
	})
}

// TestNumberOfPeersIsBounded checks that the number of members to which a member sends is bounded over all origins.
func TestNumberOfPeersIsBounded(t *testing.T) {
	var members []membership.Member
	for i := range 410 {
		members = append(members, membership.Member{Node: fmt.Sprint("node-", i), Zone: fmt.Sprint("zone-", i%4)})
	}
	view := viewOf(members)
	for _, member := range members {
		peers := make(map[string]bool)
		for _, origin := range members {
			for _, child := range Children(view, origin.Node, member.Node) {
				peers[child.Node] = true
			}
		}
		assert.Assert(t, len(peers) <= TreeCount*Fanout+len(view.Zones()))
	}
}

// TestDifferentViewsFormNoCycle relays a message between members with different views: it never returns to a member
// that has relayed it. The origin, which its own tree may reach, doesn't relay it again.
func TestDifferentViewsFormNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		origin := members[0]
		views := make(map[string]*membership.View)
		for i, self := range members {
			known := []membership.Member{self}
			for j, other := range members {
				if j != i && rapid.IntRange(0, 3).Draw(t, "known") > 0 {
					known = append(known, other)
				}
			}
			views[self.Node] = viewOf(known)
		}
		depth := 0
		for level := []string{origin.Node}; len(level) > 0; depth++ {
			assert.Assert(t, depth <= len(members), "the message is relayed in a cycle")
			next := make(map[string]bool)
			for _, node := range level {
				for _, child := range Children(views[node], origin.Node, node) {
					if child.Node != origin.Node {
						next[child.Node] = true
					}
				}
			}
			level = level[:0]
			for node := range next {
				level = append(level, node)
			}
		}
	})
}

func TestUnknownNodeHasNoChildren(t *testing.T) {
	view := viewOf([]membership.Member{{Node: "a", Zone: "z"}, {Node: "b", Zone: "z"}})
	assert.Equal(t, len(Children(view, "a", "unknown")), 0)
}
