package reducer

import (
	"encoding/json"
	"time"

	"pewterrudder/internal/fleet/view"
)

// Words about the other balancers. The view says what is believed; here it meets what rests on it: the number of balancers that
// share an app node, which the module divides by. Without a view that is the settings' number.

// Word is what the peers' shell has heard, or the passing of time. Ask, if there is one, may look at the view.
type Word struct {
	Event view.Event
	Ask   func(v *view.View)
}

// Raise has our life take another stamp, Say has a fact of ours told.
type Raise struct{ Stamp uint64 }
type Say struct{ Fact view.Fact }

func (Word) event()   {}
func (Raise) effect() {}
func (Say) effect()   {}

// KindList is the one kind of fact there is: how many app nodes its owner may send to.
const KindList = "list"

// Kinds are the limits of what balancers tell each other. Nothing is decided by a list's size yet: it is for people to see.
func Kinds() map[string]view.Limit {
	return map[string]view.Limit{KindList: {Age: time.Minute, Bytes: 400, Weight: 0, Keys: 1}}
}

// listAgain is how often our list's size is said though it has not changed; it must be well inside the kind's age.
const listAgain = 20 * time.Second

// UsePeers has the number of balancers follow a view. It belongs before the first event.
func (r *Reducer) UsePeers(v *view.View) { r.view = v }

// View is what UsePeers was given, for whoever watches; nil: this balancer hears of no others.
func (r *Reducer) View() *view.View { return r.view }

// awake has the view notice a pause before anything rests on it.
func (r *Reducer) awake() {
	if r.view != nil {
		r.words(r.view.Awake(r.now))
	}
}

func (r *Reducer) onWord(w *Word) {
	if r.view == nil {
		return
	}
	r.words(r.view.Handle(r.now, w.Event))
	if w.Ask != nil {
		w.Ask(r.view)
	}
	if w.Event.Kind != view.Tick {
		return
	}
	r.compare()
	if r.ready != r.listSaid || r.now-r.listSaidAt > listAgain {
		size, _ := json.Marshal(r.ready)
		r.listSaid, r.listSaidAt = r.ready, r.now
		if f, ok := r.view.Say(r.now, KindList, "", size); ok {
			r.emit(Say{f})
		}
	}
	for _, f := range r.view.Due(r.now) {
		r.emit(Say{f})
	}
}

func (r *Reducer) fleetFigures() *Fleet {
	if r.view == nil {
		return nil
	}
	size, _ := json.Marshal(r.ready)
	held, of := r.Share()
	e := r.view.Believe(KindList, "", func(value json.RawMessage) bool { return string(value) == string(size) })
	return &Fleet{Live: r.view.Live(), Crowd: r.view.Crowd(), Believed: r.view.Believed(), Agree: e.Witnesses, Dropped: r.view.Dropped(), Held: held, Of: of}
}

func (r *Reducer) words(out view.Out) {
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
