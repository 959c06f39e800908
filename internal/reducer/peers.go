package reducer

import (
	"encoding/json"
	"time"

	"pewterrudder/internal/fleet/view"
)

// Peers: the view keeps track of the other balancers. Here its result is applied: the number of balancers that share an
// app node, which the decider divides by. Without a view it is the number in the settings.

// Word is an event for the view of the other balancers: a message from them, or the passage of time. Ask, if not nil,
// may inspect the view.
type Word struct {
	Event view.Event
	Ask   func(v *view.View)
}

// Raise sets a new stamp for our own life; Say announces a fact of ours to the other balancers.
type Raise struct{ Stamp uint64 }
type Say struct{ Fact view.Fact }

func (Word) event()   {}
func (Raise) effect() {}
func (Say) effect()   {}

// ListSizeFact is the only kind of fact: how many app nodes its owner may send to.
const ListSizeFact = "list"

// Kinds returns the limits of the facts that balancers exchange. The list size is shown to operators; no decision
// depends on it yet.
func Kinds() map[string]view.Limit {
	return map[string]view.Limit{ListSizeFact: {Age: time.Minute, Bytes: 400, Weight: 0, Keys: 1}}
}

// announceInterval is how often an unchanged list size is announced again. It must be well below the age limit in Kinds.
const announceInterval = 20 * time.Second

// UsePeers makes the number of balancers follow a view. It must be called before the first event.
func (r *Reducer) UsePeers(v *view.View) { r.peerView = v }

// View returns the view given to UsePeers, for inspection; nil: this balancer hears of no others.
func (r *Reducer) View() *view.View { return r.peerView }

// detectPause lets the view notice that the process was suspended before the event is processed.
func (r *Reducer) detectPause() {
	if r.peerView != nil {
		r.applyViewOutput(r.peerView.Awake(r.now))
	}
}

func (r *Reducer) onPeerEvent(e *Word) {
	if r.peerView == nil {
		return
	}
	r.applyViewOutput(r.peerView.Handle(r.now, e.Event))
	if e.Ask != nil {
		e.Ask(r.peerView)
	}
	if e.Event.Kind != view.Tick {
		return
	}
	r.comparePeers()
	if r.readyServers != r.announcedListSize || r.now-r.announcedAt > announceInterval {
		size, _ := json.Marshal(r.readyServers)
		r.announcedListSize, r.announcedAt = r.readyServers, r.now
		if f, ok := r.peerView.Say(r.now, ListSizeFact, "", size); ok {
			r.emit(Say{f})
		}
	}
	for _, f := range r.peerView.Due(r.now) {
		r.emit(Say{f})
	}
}

func (r *Reducer) fleetFigures() *Fleet {
	if r.peerView == nil {
		return nil
	}
	size, _ := json.Marshal(r.readyServers)
	held, total := r.Share()
	e := r.peerView.Believe(ListSizeFact, "", func(value json.RawMessage) bool { return string(value) == string(size) })
	return &Fleet{Live: r.peerView.Live(), Crowd: r.peerView.Crowd(), Believed: r.peerView.Believed(), Agree: e.Witnesses,
		Dropped: r.peerView.Dropped(), Held: held, Of: total}
}

func (r *Reducer) applyViewOutput(out view.Out) {
	for _, text := range out.Say {
		r.emit(Log{text})
	}
	if out.Raise > 0 {
		r.emit(Raise{out.Raise})
	}
	if out.Crowd > 0 && out.Crowd != r.cfg.Nodes {
		r.cfg.Nodes = out.Crowd
		r.retuneAll(nil)
	}
}
