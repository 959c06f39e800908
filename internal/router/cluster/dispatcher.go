package cluster

import (
	"sync"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
)

// dispatcher queues records and views for the registered callbacks, so that a merge never waits for a callback.
type dispatcher struct {
	watchers     map[softstate.Kind][]func(softstate.Record)
	viewWatchers []func(*membership.View)
	ready        chan struct{}

	mu      sync.Mutex
	records []softstate.Record
	view    *membership.View
}

func newDispatcher() *dispatcher {
	return &dispatcher{watchers: make(map[softstate.Kind][]func(softstate.Record)), ready: make(chan struct{}, 1)}
}

func (d *dispatcher) watch(kind softstate.Kind, callback func(softstate.Record)) {
	d.watchers[kind] = append(d.watchers[kind], callback)
}

func (d *dispatcher) onView(callback func(*membership.View)) {
	d.viewWatchers = append(d.viewWatchers, callback)
}

// addRecord queues a record if a callback is registered for its kind.
func (d *dispatcher) addRecord(record softstate.Record) {
	if len(d.watchers[record.Kind]) == 0 {
		return
	}
	d.mu.Lock()
	d.records = append(d.records, record)
	d.mu.Unlock()
	d.signal()
}

// setView queues a view. It replaces one that has not been dispatched yet.
func (d *dispatcher) setView(view *membership.View) {
	if len(d.viewWatchers) == 0 {
		return
	}
	d.mu.Lock()
	d.view = view
	d.mu.Unlock()
	d.signal()
}

func (d *dispatcher) signal() {
	select {
	case d.ready <- struct{}{}:
	default:
	}
}

// dispatch calls the callbacks with the queued view and records.
func (d *dispatcher) dispatch() {
	d.mu.Lock()
	records, view := d.records, d.view
	d.records, d.view = nil, nil
	d.mu.Unlock()
	if view != nil {
		for _, callback := range d.viewWatchers {
			callback(view)
		}
	}
	for _, record := range records {
		for _, callback := range d.watchers[record.Kind] {
			callback(record)
		}
	}
}

// runDispatcher dispatches until the cluster stops.
func (c *Cluster) runDispatcher() {
	defer c.goroutines.Done()
	for {
		select {
		case <-c.dispatcher.ready:
			c.dispatcher.dispatch()
		case <-c.ctx.Done():
			return
		}
	}
}
