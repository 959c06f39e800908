package reducer

import (
	"encoding/json"
	"time"

	"pewterrudder/internal/fleet/view"
)

// Peers: the view keeps track of the other balancers. Here its result is applied: the number of balancers that share an
// app node, which the decider divides by. Without a view it is the number in the settings.

// PeerEvent is an event for the view of the other balancers: a message from them, or the passage of time. Inspect, if
// not nil, may inspect the view.
type PeerEvent struct {
	Event   view.Event
	Inspect func(v *view.View)
}

// RaiseStamp sets a new stamp for our own life; AnnounceFact announces a fact of ours to the other balancers.
type RaiseStamp struct{ Stamp uint64 }
type AnnounceFact struct{ Fact view.Fact }

func (PeerEvent) event()     {}
func (RaiseStamp) effect()   {}
func (AnnounceFact) effect() {}

// ListSizeFact is the only kind of fact: how many app nodes its owner may send to.
const ListSizeFact = "list"

// FactLimits returns the limits of the facts that balancers exchange. The list size is shown to operators; no decision
// depends on it yet.
func FactLimits() map[string]view.Limit {
	return map[string]view.Limit{ListSizeFact: {Age: time.Minute, Bytes: 400, Weight: 0, Keys: 1}}
}

// announceInterval is how often an unchanged list size is announced again. It must be well below the age limit in
// FactLimits.
const announceInterval = 20 * time.Second

// UsePeers makes the number of balancers follow a view. It must be called before the first event.
func (r *Reducer) UsePeers(v *view.View) { r.peerView = v }

// PeerView returns the view given to UsePeers, for inspection; nil: this balancer hears of no others.
func (r *Reducer) PeerView() *view.View { return r.peerView }

// detectPause lets the view notice that the process was suspended before the event is processed.
func (r *Reducer) detectPause() {
	if r.peerView != nil {
		r.applyViewOutput(r.peerView.Awake(r.now))
	}
}

func (r *Reducer) onPeerEvent(e *PeerEvent) {
	if r.peerView == nil {
		return
	}
	r.applyViewOutput(r.peerView.Handle(r.now, e.Event))
	if e.Inspect != nil {
		e.Inspect(r.peerView)
	}
	if e.Event.Kind != view.Tick {
		return
	}
	r.comparePeers()
	if r.readyServers != r.announcedListSize || r.now-r.announcedAt > announceInterval {
		size, _ := json.Marshal(r.readyServers)
		r.announcedListSize, r.announcedAt = r.readyServers, r.now
		if f, ok := r.peerView.Say(r.now, ListSizeFact, "", size); ok {
			r.emit(AnnounceFact{f})
		}
	}
	for _, f := range r.peerView.Due(r.now) {
		r.emit(AnnounceFact{f})
	}
}

func (r *Reducer) fleetFigures() *Fleet {
	if r.peerView == nil {
		return nil
	}
	size, _ := json.Marshal(r.readyServers)
	held, total := r.SubsetCount()
	e := r.peerView.Believe(ListSizeFact, "", func(value json.RawMessage) bool { return string(value) == string(size) })
	return &Fleet{Live: r.peerView.Live(), SharingBalancers: r.peerView.Crowd(), Believed: r.peerView.Believed(), SameListSize: e.Witnesses,
		Dropped: r.peerView.Dropped(), SubsetSize: held, SubsetOf: total}
}

func (r *Reducer) applyViewOutput(out view.Out) {
	for _, text := range out.Say {
		r.emit(Log{text})
	}
	if out.Raise > 0 {
		r.emit(RaiseStamp{out.Raise})
	}
	if out.Crowd > 0 && out.Crowd != r.cfg.Nodes {
		r.cfg.Nodes = out.Crowd
		r.retuneAll(nil)
	}
}
