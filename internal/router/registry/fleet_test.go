package registry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/softstate"
)

const (
	testKind      softstate.Kind = 16
	testHeartbeat                = time.Second
	// testSilenceTimeout is longer than the silence timeout of a registry plus one sweep interval.
	testSilenceTimeout = 4 * testHeartbeat
	// exchangeInterval is the interval at which routers exchange all records, which recovers lost ones.
	exchangeInterval = 500 * time.Millisecond
)

// fleet connects registries by an in-memory network that loses, duplicates and delays records.
type fleet struct {
	t       *testing.T
	routers []*router

	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	delay  time.Duration
}

// router is one registry with its table of records, like the one in package cluster.
type router struct {
	fleet    *fleet
	name     string
	registry *Registry

	mu          sync.Mutex
	records     *softstate.Table
	live        []string
	partitioned bool
	published   []softstate.Record
}

// newFleet starts a registry for each name. They stop when the test ends.
func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 2))}
	log, _ := test.NewNullLogger()
	for _, name := range names {
		r := &router{fleet: f, name: name, records: softstate.NewTable(), live: names}
		r.registry = New(Options{Node: name, Kind: testKind, Heartbeat: testHeartbeat, Publisher: r, Log: log})
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		go r.registry.Run(t.Context())
		go r.runExchange()
	}
	return f
}

// setNetwork sets the fraction of records that are lost and the maximum delay of the others.
func (f *fleet) setNetwork(loss float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss, f.delay = loss, delay
}

// Publish merges a record and sends it to the other routers.
func (r *router) Publish(record softstate.Record) {
	r.mu.Lock()
	r.published = append(r.published, record)
	r.mu.Unlock()
	r.receive(record)
	for _, other := range r.fleet.routers {
		if other != r {
			r.send(other, record)
		}
	}
}

// View returns a membership view in which the routers set by setLive are alive.
func (r *router) View() *membership.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	detector := membership.NewDetector(membership.Member{Node: r.name, Incarnation: 1}, now)
	for _, name := range r.live {
		if name != r.name {
			detector.Merge(membership.Entry{Member: membership.Member{Node: name, Incarnation: 1}, Status: membership.Alive}, now)
		}
	}
	detector.Refresh(now)
	return detector.View()
}

// receive merges a record and passes it to the registry if it is newer.
func (r *router) receive(record softstate.Record) {
	r.mu.Lock()
	merged := r.records.Merge(record, time.Now())
	r.mu.Unlock()
	if merged {
		go r.registry.HandleRecord(record)
	}
}

// send delivers a record to another router: delayed, twice or not at all.
func (r *router) send(to *router, record softstate.Record) {
	f := r.fleet
	f.mu.Lock()
	copies := 1 + f.random.IntN(2)
	if f.random.Float64() < f.loss {
		copies = 0
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		delays[i] = time.Duration(f.random.Int64N(int64(f.delay + time.Millisecond)))
	}
	f.mu.Unlock()
	for _, delay := range delays {
		time.AfterFunc(delay, func() {
			if !r.isPartitioned() && !to.isPartitioned() {
				to.receive(record)
			}
		})
	}
}

// runExchange periodically sends all records to a random router.
func (r *router) runExchange() {
	f := r.fleet
	periodic.Run(f.t.Context(), exchangeInterval, func() {
		f.mu.Lock()
		to := f.routers[f.random.IntN(len(f.routers))]
		f.mu.Unlock()
		for _, record := range r.allRecords() {
			if to != r {
				r.send(to, record)
			}
		}
	})
}

// allRecords lists the records, including removals that this router has published.
func (r *router) allRecords() []softstate.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.records.Records(testKind)
	for _, record := range r.published {
		if held, known := r.records.Get(testKind, record.Key); known && held.Removed {
			list = append(list, held)
		}
	}
	return list
}

func (r *router) isPartitioned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitioned
}

// setPartitioned disconnects the router from all others, or reconnects it.
func (r *router) setPartitioned(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = cut
}

// setLive sets the routers that this router considers live.
func (r *router) setLive(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live = names
}

// sendHeartbeat delivers an instance's heartbeat to the router and ignores errors.
func (r *router) sendHeartbeat(id, state string, seq int64) {
	heartbeat := protocol.Heartbeat{Backend: "b", Address: "10.0.0.1:80", State: state, Seq: seq}
	_ = r.registry.Heartbeat(r.fleet.t.Context(), id, &heartbeat)
}

// lastPublished returns the last record that the router published for an instance, and how many there were.
func (r *router) lastPublished(id string) (last softstate.Record, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.published {
		if record.Key == id {
			last = record
			count++
		}
	}
	return last, count
}

// state returns an instance's state in the router's snapshot, or the empty string if it is not there.
func (r *router) state(id string) string {
	if instance := r.registry.Snapshot().Get(id); instance != nil {
		return instance.State
	}
	return ""
}

// holder returns the router that holds an instance, or the empty string if the instance is not registered.
func (r *router) holder(id string) string {
	for _, registration := range r.registry.Registrations() {
		if registration.Instance.ID == id {
			return registration.Holder
		}
	}
	return ""
}

// assertAll checks an instance's state at all routers.
func (f *fleet) assertAll(id, state string) {
	f.t.Helper()
	synctest.Wait()
	for _, r := range f.routers {
		assert.Equal(f.t, r.state(id), state, "at %s", r.name)
	}
}

// assertAgreement checks that all routers have the same registrations, apart from sequence numbers, which only the
// holder knows up to date.
func (f *fleet) assertAgreement() {
	f.t.Helper()
	synctest.Wait()
	describe := func(list []instances.Registration) []string {
		var lines []string
		for i := range list {
			lines = append(lines, list[i].Instance.ID+" "+list[i].Instance.State+" "+list[i].Holder)
		}
		return lines
	}
	first := describe(f.routers[0].registry.Registrations())
	for _, r := range f.routers[1:] {
		assert.DeepEqual(f.t, describe(r.registry.Registrations()), first)
	}
}
