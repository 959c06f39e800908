package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawDetector draws a detector and a model of its state: the entry of each node.
func drawDetector(t *rapid.T) (*Detector, map[string]Entry) {
	self := Member{Node: fmt.Sprint("node-", rapid.IntRange(0, 19).Draw(t, "self")), Zone: "zone-0", Incarnation: 1}
	detector := NewDetector(self, start)
	model := make(map[string]Entry)
	for range rapid.IntRange(0, 40).Draw(t, "entries") {
		node := fmt.Sprint("node-", rapid.IntRange(0, 19).Draw(t, "node"))
		if node == self.Node {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
			detector.Remove(node)
			delete(model, node)
			continue
		}
		entry := Entry{
			Member: Member{
				Node:        node,
				Zone:        fmt.Sprint("zone-", rapid.IntRange(0, 2).Draw(t, "zone")),
				Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
			},
			Status: Status(rapid.IntRange(0, 3).Draw(t, "status")),
			By:     self.Node,
		}
		detector.Merge(entry, start)
		if current, known := model[node]; !known || entry.overrides(current) {
			model[node] = entry
		}
	}
	detector.Refresh(start)
	return detector, model
}

// TestViewAgreesWithModel compares the lists of the view with lists computed from the model.
func TestViewAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector, model := drawDetector(t)
		view := detector.View()
		live := []Member{detector.self}
		failed := 0
		for node, entry := range model {
			if entry.Status < Failed {
				live = append(live, entry.Member)
				continue
			}
			failed++
			failedMember, known := view.GetFailed(node)
			assert.Assert(t, known)
			assert.Equal(t, failedMember.Status, entry.Status)
		}
		slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
		assert.Assert(t, slices.Equal(view.Live(), live))
		assert.Equal(t, len(view.Failed()), failed)
		for _, member := range live {
			got, known := view.Get(member.Node)
			assert.Assert(t, known)
			assert.Equal(t, got, member)
		}
		checkRing(t, view, live)
	})
}

// checkRing compares the ring, its zones, successors and predecessors with lists computed from the live members.
func checkRing(t *rapid.T, view *View, live []Member) {
	ring := slices.Clone(live)
	slices.SortFunc(ring, func(a, b Member) int { return compareRingKeys(ringKeyOf(a.Node), ringKeyOf(b.Node)) })
	assert.Assert(t, slices.Equal(view.Ring(), ring))
	inZones := 0
	for _, zone := range view.Zones() {
		want := slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.Zone != zone })
		assert.Assert(t, slices.Equal(view.InZone(zone), want))
		inZones += len(want)
	}
	assert.Equal(t, inZones, len(ring))
	for i, member := range ring {
		var after, before []Member
		for k := 1; k < len(ring) && k <= MonitorCount; k++ {
			after = append(after, ring[(i+k)%len(ring)])
			before = append(before, ring[(i-k+len(ring))%len(ring)])
		}
		assert.Assert(t, slices.Equal(view.Successors(member.Node, MonitorCount), after))
		assert.Assert(t, slices.Equal(view.Predecessors(member.Node, MonitorCount), before))
	}
}

// TestHeartbeatsGoToMonitors checks that a member sends heartbeats to exactly those members that monitor it.
func TestHeartbeatsGoToMonitors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector, _ := drawDetector(t)
		view := detector.View()
		for _, member := range view.Live() {
			sends := slices.ContainsFunc(view.Successors(member.Node, MonitorCount), func(m Member) bool {
				return m.Node == detector.self.Node
			})
			waits := slices.ContainsFunc(detector.monitored, func(s *memberState) bool { return s.ringKey.node == member.Node })
			assert.Equal(t, sends, waits, member.Node)
		}
	})
}
