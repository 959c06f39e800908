package loadreports

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/transport"
)

// viewOf returns the view of the router self in a fleet with three zones.
func viewOf(self string, nodes []string) *membership.View {
	start := time.Unix(0, 0)
	detector := membership.NewDetector(memberOf(self), start)
	for _, node := range nodes {
		if node != self {
			detector.Merge(membership.Entry{Member: memberOf(node), By: node}, start)
		}
	}
	detector.Refresh(start)
	return detector.View()
}

func memberOf(node string) membership.Member {
	zone := "zone-" + node[len(node)-1:]
	return membership.Member{Node: node, Address: node, Zone: zone, Incarnation: 1}
}

func nodesOf(count int) []string {
	var nodes []string
	for i := range count {
		nodes = append(nodes, fmt.Sprintf("router-%d-%d", i, i%3))
	}
	return nodes
}

func TestOneRouterOfTheZonePollsAnInstance(t *testing.T) {
	nodes := nodesOf(20)
	for i := range 50 {
		instance := &instances.Instance{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("zone-", i%3)}
		var owners []string
		for _, node := range nodes {
			view := viewOf(node, nodes)
			if NewAssignment(func() *membership.View { return view }).IsOwner(instance) {
				owners = append(owners, node)
			}
		}
		assert.Equal(t, len(owners), 1)
		assert.Equal(t, memberOf(owners[0]).Zone, instance.Zone)
	}
}

func TestAnInstanceOfAZoneWithoutRoutersIsPolledToo(t *testing.T) {
	nodes := nodesOf(6)
	polled := 0
	for _, node := range nodes {
		view := viewOf(node, nodes)
		if NewAssignment(func() *membership.View { return view }).IsOwner(&instances.Instance{ID: "i", Zone: "elsewhere"}) {
			polled++
		}
	}
	assert.Equal(t, polled, 1)
}

func TestOnlyInstancesOfARemovedRouterChangeTheirOwner(t *testing.T) {
	nodes := nodesOf(30)
	before := viewOf(nodes[0], nodes)
	after := viewOf(nodes[0], nodes[:29])
	current := before
	assignment := NewAssignment(func() *membership.View { return current })
	removed := nodes[29]
	for i := range 300 {
		instance := &instances.Instance{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("zone-", i%3)}
		first := assignment.owner(before, instance)
		second := assignment.owner(after, instance)
		assert.Assert(t, first == second || first == removed, "%s: %s, then %s", instance.ID, first, second)
	}
}

// fleet is a set of broadcasters whose messages are delivered immediately.
type fleet struct {
	broadcasters map[string]*Broadcaster
	reports      map[string]map[string]int // last reported number of queued requests by node and instance
	received     map[string]int
}

// Send delivers a message to the router at the address.
func (f *fleet) Send(address string, _ transport.Kind, body []byte) {
	f.received[address]++
	if _, err := f.broadcasters[address].Handle(nil, body); err != nil {
		panic(err)
	}
}

func newFleet(nodes []string) *fleet {
	f := &fleet{broadcasters: map[string]*Broadcaster{}, reports: map[string]map[string]int{}, received: map[string]int{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, node := range nodes {
		view := viewOf(node, nodes)
		f.reports[node] = map[string]int{}
		f.broadcasters[node] = NewBroadcaster(Options{
			Node:      node,
			Messenger: f,
			View:      func() *membership.View { return view },
			OnReport:  func(id string, report *protocol.Report) { f.reports[node][id] = report.Queued },
			Log:       log,
		})
	}
	return f
}

func TestAReportReachesAllOthersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := nodesOf(40)
		f := newFleet(nodes)
		f.broadcasters[nodes[7]].Broadcast("a", &protocol.Report{Queued: 3})
		f.broadcasters[nodes[7]].Broadcast("b", &protocol.Report{Queued: 4})
		time.Sleep(time.Second) // fake time of the synctest bubble
		synctest.Wait()
		for _, node := range nodes {
			if node == nodes[7] { // the tree leads back to the origin, which ignores its own messages
				assert.Equal(t, len(f.reports[node]), 0)
				continue
			}
			assert.DeepEqual(t, f.reports[node], map[string]int{"a": 3, "b": 4})
			assert.Equal(t, f.received[node], 1)
		}
	})
}

func TestAnOlderMessageIsIgnored(t *testing.T) {
	f := newFleet(nodesOf(3))
	receiver := f.broadcasters["router-1-1"]
	send := func(epoch, sequence uint64, queued int) {
		m := &message{Origin: "elsewhere", Epoch: epoch, Sequence: sequence, Reports: []figures{{ID: "a", Queued: queued}}}
		body, err := m.encode()
		assert.NilError(t, err)
		_, err = receiver.Handle(nil, body)
		assert.NilError(t, err)
	}
	send(1, 5, 10)
	send(1, 4, 20)
	send(1, 5, 30)
	assert.Equal(t, f.reports["router-1-1"]["a"], 10)
	send(1, 6, 40)
	assert.Equal(t, f.reports["router-1-1"]["a"], 40)
	send(2, 1, 50) // after a restart of the origin
	assert.Equal(t, f.reports["router-1-1"]["a"], 50)
}

func TestAMalformedMessageIsAnError(t *testing.T) {
	f := newFleet(nodesOf(2))
	_, err := f.broadcasters["router-0-0"].Handle(nil, []byte{0xc1})
	assert.ErrorContains(t, err, "load reports")
}
