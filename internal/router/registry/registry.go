// Package registry receives the heartbeats of model instances, publishes changes to the other routers, and removes
// instances whose heartbeats stop. A router holds the instances that send their heartbeats to it, and detects their
// failure.
package registry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/softstate"
)

const (
	// maxMissedHeartbeats is the number of heartbeats that an instance may miss before it is removed.
	maxMissedHeartbeats = 3
	// defaultHeartbeat is the heartbeat interval if the settings do not define one.
	defaultHeartbeat = time.Second
	// sweepInterval is the interval between two checks for silent instances.
	sweepInterval = 250 * time.Millisecond
	// stallThreshold is the gap between two checks above which this process must have been suspended or starved.
	stallThreshold = time.Second
	// tombstoneRetention is how long the removal of an instance is remembered, so that a delayed heartbeat does not
	// revive it.
	tombstoneRetention = 10 * time.Minute
)

// Publisher replicates records to the other routers and provides the membership view.
type Publisher interface {
	Publish(softstate.Record)
	View() *membership.View
}

// Options configures a Registry.
type Options struct {
	Node      string
	Kind      softstate.Kind
	Heartbeat time.Duration
	Publisher Publisher
	Log       logrus.FieldLogger
	// Confirm returns nil once every router that may still send requests to an instance has its record or is certain to
	// receive it. Nil: removals are acknowledged without confirmation.
	Confirm func(ctx context.Context, id softstate.ID) error
	// OnChange, if not nil, is called with each new snapshot while the registry's lock is held.
	OnChange func(*instances.Snapshot)
}

// Registry is the table of model instances, replicated among the routers. It is safe for concurrent use.
type Registry struct {
	options        Options
	silenceTimeout time.Duration
	startedAt      time.Time
	snapshot       atomic.Pointer[instances.Snapshot]

	mu        sync.Mutex
	table     *instances.Table
	lastSweep time.Duration
	// confirmed holds, by instance id, when the draining or removal of an instance was confirmed.
	confirmed map[string]time.Duration
	// outbox holds the records to publish once the lock has been released.
	outbox []softstate.Record
}

// New returns an empty registry.
func New(options Options) *Registry {
	interval := options.Heartbeat
	if interval <= 0 {
		interval = defaultHeartbeat
	}
	r := &Registry{
		options:        options,
		silenceTimeout: maxMissedHeartbeats*interval + interval/4,
		startedAt:      time.Now(),
		table:          instances.NewTable(options.Node),

		confirmed: map[string]time.Duration{},
	}
	r.snapshot.Store(instances.NewSnapshot(nil))
	return r
}

// Snapshot returns the latest snapshot of the table, without taking the lock.
func (r *Registry) Snapshot() *instances.Snapshot { return r.snapshot.Load() }

func (r *Registry) now() time.Duration { return time.Since(r.startedAt) }

// withLock runs a change with the lock held, and publishes the outbox after releasing the lock.
func (r *Registry) withLock(change func()) {
	r.mu.Lock()
	change()
	records := r.outbox
	r.outbox = nil
	r.mu.Unlock()
	for _, record := range records {
		r.options.Publisher.Publish(record)
	}
}

// Heartbeat processes an instance's heartbeat. Changes have been handed to the Publisher when it returns. For a
// draining instance, an error means that other routers may not learn of the draining.
func (r *Registry) Heartbeat(ctx context.Context, id string, heartbeat *protocol.Heartbeat) error {
	instance := instances.Instance{
		ID:         id,
		Backend:    heartbeat.Backend,
		Address:    heartbeat.Address,
		Zone:       heartbeat.Zone,
		Generation: heartbeat.Generation,
		Slots:      heartbeat.Slots,
		State:      heartbeat.State,
		ColdMs:     heartbeat.ColdMs,
		Phase:      heartbeat.Phase,
		Models:     heartbeat.Models,
		Seq:        heartbeat.Seq,
	}
	r.withLock(func() { r.applyHeartbeat(instance) })
	if heartbeat.State != protocol.StateDraining {
		return nil
	}
	return r.confirm(ctx, id)
}

// applyHeartbeat updates the table from a heartbeat and queues a record if it changed anything. The lock must be held.
func (r *Registry) applyHeartbeat(instance instances.Instance) {
	now := r.now()
	result := r.table.CheckHeartbeat(now, &instance)
	if result != instances.Stale && instance.State != protocol.StateDraining {
		delete(r.confirmed, instance.ID)
	}
	if result != instances.Changed {
		return
	}
	registration := instances.Registration{Instance: instance, Holder: r.options.Node}
	version := instances.AliveVersion(instance.Seq)
	if r.table.Register(now, version, registration) {
		r.updateSnapshot()
	}
	r.publish(registration, version)
}

// Deregister removes an instance at its own request. An error means that other routers may not learn of the removal.
func (r *Registry) Deregister(ctx context.Context, id string) error {
	version := instances.DeregisteredVersion()
	r.withLock(func() { r.removeInstance(id, version) })
	return r.confirm(ctx, id)
}

// confirm waits until the draining or removal of an instance is confirmed. It returns at once if that was confirmed
// earlier.
func (r *Registry) confirm(ctx context.Context, id string) error {
	if r.options.Confirm == nil || r.isConfirmed(id) {
		return nil
	}
	if err := r.options.Confirm(ctx, softstate.ID{Kind: r.options.Kind, Key: id}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[id] = r.now()
	return nil
}

func (r *Registry) isConfirmed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, confirmed := r.confirmed[id]
	return confirmed
}

// removeInstance removes an instance and queues a removal record for the other routers. The lock must be held.
func (r *Registry) removeInstance(id string, version instances.Version) {
	if r.table.Remove(r.now(), version, id) {
		r.updateSnapshot()
	}
	record := softstate.Record{Kind: r.options.Kind, Key: id, Version: recordVersion(version), Removed: true}
	r.outbox = append(r.outbox, record)
}

// HandleRecord merges a record that another router, or this one, has published.
func (r *Registry) HandleRecord(record softstate.Record) {
	r.withLock(func() { r.mergeRecord(record) })
}

// mergeRecord merges a record into the table. The lock must be held.
func (r *Registry) mergeRecord(record softstate.Record) {
	now := r.now()
	version := versionOf(record)
	if record.Removed {
		if r.table.Remove(now, version, record.Key) {
			r.updateSnapshot()
		}
		r.republishIfNewer(record.Key, version)
		return
	}
	var registration instances.Registration
	if err := msgpack.Unmarshal(record.Payload, &registration); err != nil {
		r.options.Log.WithError(err).Warn("cannot decode the registration of an instance")
		return
	}
	if r.table.Register(now, version, registration) {
		r.updateSnapshot()
	}
	if registration.Instance.State != protocol.StateDraining {
		delete(r.confirmed, record.Key)
	}
	if registration.Holder != r.options.Node {
		r.republishIfNewer(record.Key, version)
	}
}

// republishIfNewer publishes an instance held by this router again if its version is newer than the published one. This
// corrects another router that wrongly expired the instance, or took it over because of a delayed heartbeat. The lock
// must be held.
func (r *Registry) republishIfNewer(id string, published instances.Version) {
	registration, version, held := r.table.Held(id)
	if held && version.Newer(published) {
		r.publish(registration, version)
	}
}

// publish queues a registration for publication. The lock must be held.
func (r *Registry) publish(registration instances.Registration, version instances.Version) {
	payload, err := msgpack.Marshal(&registration)
	if err != nil {
		r.options.Log.WithError(err).Error("cannot encode the registration of an instance")
		return
	}
	record := softstate.Record{
		Kind:    r.options.Kind,
		Key:     registration.Instance.ID,
		Version: recordVersion(version),
		Payload: payload,
	}
	r.outbox = append(r.outbox, record)
}

// recordVersion returns the version of the record that carries a registration.
func recordVersion(version instances.Version) softstate.Version {
	return softstate.Version{Epoch: version.Heartbeat, Sequence: version.Expired}
}

// updateSnapshot rebuilds the snapshot for readers. The lock must be held.
func (r *Registry) updateSnapshot() {
	snapshot := r.table.Snapshot()
	r.snapshot.Store(snapshot)
	if r.options.OnChange != nil {
		r.options.OnChange(snapshot)
	}
}

// Run removes silent instances until the context ends.
func (r *Registry) Run(ctx context.Context) {
	periodic.Run(ctx, sweepInterval, r.sweep)
}

// sweep removes the instances that have been silent for too long. The first live router of the view also answers for
// instances whose holder is not live.
func (r *Registry) sweep() {
	view := r.options.Publisher.View()
	live := func(node string) bool {
		_, found := view.Get(node)
		return found
	}
	ownsOrphans := len(view.Live()) > 0 && view.Live()[0].Node == r.options.Node
	r.withLock(func() { r.removeSilent(live, ownsOrphans) })
}

// removeSilent removes the silent instances that this router answers for. After a stall of this process it gives all
// instances the lost time. The lock must be held.
func (r *Registry) removeSilent(live func(node string) bool, ownsOrphans bool) {
	now := r.now()
	if gap := now - r.lastSweep; r.lastSweep > 0 && gap > stallThreshold {
		r.table.ExtendLiveness(now, gap)
	}
	r.lastSweep = now
	for _, expiry := range r.table.Expired(now, r.silenceTimeout, live, ownsOrphans) {
		r.options.Log.WithField("instance", expiry.ID).Info("instance is silent")
		r.removeInstance(expiry.ID, expiry.Version)
	}
	r.table.Forget(now, tombstoneRetention)
	maps.DeleteFunc(r.confirmed, func(_ string, at time.Duration) bool { return now-at >= tombstoneRetention })
}
