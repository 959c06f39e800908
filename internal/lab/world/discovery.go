package world

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/lab/timeline"
)

// State of an app node as discovery lists it.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one app node on the list.
type Entry struct {
	Node    *Node
	State   State
	Started time.Duration // of the process, as of the entry
	Weight  float64
	at      int64 // the revision of its latest change
}

// List is what discovery says: the whole list, or changes of it.
type List struct {
	Revision int64
	Complete bool
	Entries  []Entry
}

// Listener is a balancer's end of a watch. None of it is called before Watch returns.
type Listener interface {
	// Opened: the head of the answer has come.
	Opened()
	// Line: a line has come; nil is a blank one.
	Line(l *List)
	// Closed: the call failed or the watch has ended.
	Closed()
}

// Discovery keeps the list of app nodes. It learns late, tells later, works through calls in turn, and may lie.
type Discovery struct {
	Down    bool
	Silent  bool
	cuts    bool // while down: it takes calls, and ends each inside its first line
	empty   bool // its list has nobody on it
	late    time.Duration
	w       *World
	rng     *rand.Rand
	entries []Entry
	index   []int // by node: its entry, or -1
	rev     int64
	oldest  int64 // changes from there on are known
	watches []*Stream
	freeAt  time.Duration // when the calls that wait have been served
	unsaid  []func()      // learned while down
	lies    map[*Node]int
}

// Stream is a watch.
type Stream struct {
	d         *Discovery
	seat      *Seat
	life      int
	to        Listener
	since     int64
	open      bool // discovery writes to it
	over      bool // the balancer has closed it, or has been told of its end
	due       bool // a line is to be written
	last      time.Duration
	blank     timeline.Timer
	delivered time.Duration // arrival of the latest message: the order of the connection
}

func newDiscovery(w *World) *Discovery {
	return &Discovery{w: w, rng: w.Chance.Stream("discovery"), lies: map[*Node]int{}}
}

// state sets an entry without telling anybody: the list of the first day.
func (d *Discovery) state(n *Node, s State) {
	for len(d.index) <= n.Index {
		d.index = append(d.index, -1)
	}
	d.rev++
	if i := d.index[n.Index]; i >= 0 {
		d.entries[i].State, d.entries[i].Started, d.entries[i].at = s, n.Started, d.rev
		return
	}
	d.index[n.Index] = len(d.entries)
	d.entries = append(d.entries, Entry{Node: n, State: s, Started: n.Started, at: d.rev})
}

// learn has discovery know of a node's state after a while, and tell those who watch.
func (d *Discovery) learn(n *Node, s State, after time.Duration) {
	epoch := n.Epoch
	d.w.Clock.After(after+d.late, timeline.Func(func() {
		if s != Gone && (!n.Up || n.Epoch != epoch) {
			return // it has changed again, of which another word is on its way
		}
		if s == Gone && n.Up && n.Epoch != epoch {
			return
		}
		d.publish(n, s)
	}))
}

func (d *Discovery) publish(n *Node, s State) {
	if d.Down || d.empty {
		d.unsaid = append(d.unsaid, func() { d.publish(n, s) })
		return
	}
	d.state(n, s)
	d.w.Journal.Note(d.w.Clock.Now(), Learned, uint64(n.Index), uint64(s), uint64(d.lies[n]))
	if d.lies[n] == 0 {
		d.w.Seen.Knew(n, s)
	}
	d.tellAll()
	if s == Gone {
		d.forget()
	}
}

// forget drops entries that are gone for longer than the history, so that a long day does not grow the list.
func (d *Discovery) forget() {
	keep := int64(d.w.Sc.Discovery.History)
	gone := 0
	for i := range d.entries {
		if d.entries[i].State == Gone {
			gone++
		}
	}
	if gone < 256 {
		return
	}
	kept := d.entries[:0]
	for _, e := range d.entries {
		if e.State == Gone && e.at < d.rev-keep {
			d.index[e.Node.Index] = -1
			d.oldest = max(d.oldest, e.at+1)
			continue
		}
		d.index[e.Node.Index] = len(kept)
		kept = append(kept, e)
	}
	d.entries = kept
}

// shown is an entry as it is told, which may be a lie.
func (d *Discovery) shown(e *Entry) Entry {
	out := *e
	if d.lies[e.Node] > 0 {
		out.State = Gone
	}
	n := e.Node
	out.Weight = 1
	switch d.w.Sc.Discovery.Weights {
	case "nominal":
		out.Weight = n.Size
	case "rough":
		out.Weight = n.Size * (0.8 + 0.4*float64(n.Index*7919%101)/100)
	case "live":
		out.Weight = n.Size / (1 + float64(n.Held())/float64(n.Cores))
	}
	return out
}

// List is the whole list, those that are gone left out.
func (d *Discovery) List() List {
	if d.empty {
		return List{Revision: d.rev, Complete: true}
	}
	l := List{Revision: d.rev, Complete: true, Entries: make([]Entry, 0, len(d.entries))}
	for i := range d.entries {
		if e := d.shown(&d.entries[i]); e.State != Gone {
			l.Entries = append(l.Entries, e)
		}
	}
	return l
}

// from gives what is new since a revision.
func (d *Discovery) from(since int64) List {
	if d.empty || since < d.oldest || since > d.rev || d.rev-since > int64(d.w.Sc.Discovery.History) || since == 0 {
		return d.List()
	}
	l := List{Revision: d.rev}
	for i := range d.entries {
		if d.entries[i].at > since {
			l.Entries = append(l.Entries, d.shown(&d.entries[i]))
		}
	}
	return l
}

// ---- calls and watches ----

// Watch calls for a watch from a balancer.
func (d *Discovery) Watch(balancer int, since int64, to Listener) *Stream {
	w := d.w
	s := &Stream{d: d, seat: w.Balancers[balancer], life: w.Balancers[balancer].Life, to: to, since: since}
	w.Journal.Note(w.Clock.Now(), WatchOpened, uint64(balancer), uint64(since), 0)
	w.Seen.Called(balancer)
	w.tell("discovery_called", balancer)
	s.up(func() { d.queue(s) })
	return s
}

func (s *Stream) places() (balancer, discovery Place) {
	return s.d.w.Net.At(Balancers, s.seat.Zone), s.d.w.Net.At(DiscoverySide, 0)
}

// up carries a call to discovery.
func (s *Stream) up(fn func()) {
	a, b := s.places()
	s.d.w.Net.send(a, b, func(takes time.Duration) {
		s.d.w.Clock.After(takes, timeline.Func(func() {
			if !s.over {
				fn()
			}
		}))
	})
}

// down carries a message to the balancer, in order.
func (s *Stream) down(fn func()) {
	a, b := s.places()
	w := s.d.w
	w.Net.send(b, a, func(takes time.Duration) {
		if s.over || !s.seat.Up || s.seat.Life != s.life {
			return
		}
		s.delivered = max(w.Clock.Now()+takes, s.delivered+1)
		w.Clock.After(s.delivered-w.Clock.Now(), timeline.Func(func() {
			if !s.over && s.seat.Up && s.seat.Life == s.life {
				fn()
			}
		}))
	})
}

// queue has a call wait its turn.
func (d *Discovery) queue(s *Stream) {
	w := d.w
	if d.Silent {
		return
	}
	if d.Down && !d.cuts {
		s.end()
		return
	}
	now := w.Clock.Now()
	begin := max(now, d.freeAt)
	if begin-now > w.Sc.Discovery.Patience.D() {
		w.Clock.After(w.Sc.Discovery.Patience.D(), timeline.Func(s.end))
		return
	}
	d.freeAt = begin + time.Duration(float64(time.Second)/w.Sc.Discovery.Capacity)
	w.Clock.After(d.freeAt-now, timeline.Func(func() {
		switch {
		case s.over || d.Silent:
		case d.Down:
			if d.cuts {
				s.down(s.to.Opened)
			}
			s.end()
		default:
			s.open = true
			s.last = now
			d.watches = append(d.watches, s)
			s.down(s.to.Opened)
			s.write()
			s.armBlank()
		}
	}))
}

// write writes what the watch has not been told yet.
func (s *Stream) write() {
	d, w := s.d, s.d.w
	s.due = false
	if !s.open || s.over || d.Silent || d.Down {
		return
	}
	l := d.from(s.since)
	s.since, s.last = d.rev, w.Clock.Now()
	w.Journal.Note(w.Clock.Now(), ListWritten, uint64(s.seat.Index), uint64(l.Revision), uint64(len(l.Entries)))
	var gone []*Node
	if l.Complete && !d.empty { // an empty list of a broken registry is no word on any entry
		gone = d.gone()
	}
	// It is told once it is there: what a cut held back may come after the balancer has given the watch up.
	s.down(func() {
		w.told(s.seat.Index, &l, gone)
		s.to.Line(&l)
	})
}

// told: a balancer counts as told of what is on a list, and of what a whole one left out.
func (w *World) told(balancer int, l *List, gone []*Node) {
	if w.severed(balancer) {
		return // it is under way for as long as that lasts
	}
	for i := range l.Entries {
		if !l.Complete {
			w.Journal.Note(w.Clock.Now(), ToldOf, uint64(balancer), uint64(l.Entries[i].Node.Index), uint64(l.Entries[i].State))
		}
		w.Seen.Told(balancer, l.Entries[i])
	}
	for _, n := range gone {
		w.Seen.Told(balancer, Entry{Node: n, State: Gone})
	}
}

// gone are those that a whole list leaves out now.
func (d *Discovery) gone() (nodes []*Node) {
	for i := range d.entries {
		if e := d.shown(&d.entries[i]); e.State == Gone {
			nodes = append(nodes, e.Node)
		}
	}
	return nodes
}

func (d *Discovery) tellAll() {
	for _, s := range d.watches {
		if !s.due {
			s.due = true
			d.w.Clock.After(draw(d.rng, d.w.Sc.Discovery.Line), timeline.Func(s.write))
		}
	}
}

func (s *Stream) armBlank() {
	w := s.d.w
	every := w.Sc.Discovery.Blank.D()
	s.blank = w.Clock.After(max(0, s.last+every-w.Clock.Now()), timeline.Func(func() {
		if !s.open || s.over || s.d.Silent {
			return
		}
		if w.Clock.Now()-s.last >= every {
			s.last = w.Clock.Now()
			s.down(func() { s.to.Line(nil) })
		}
		s.armBlank()
	}))
}

// Close ends the balancer's side of a watch.
func (s *Stream) Close() {
	if s.over {
		return
	}
	s.over = true
	s.leave()
}

func (s *Stream) leave() {
	if !s.open {
		return
	}
	s.open = false
	s.blank.Stop()
	for i, o := range s.d.watches {
		if o == s {
			s.d.watches = append(s.d.watches[:i], s.d.watches[i+1:]...)
			break
		}
	}
}

// end has the balancer hear that a call has failed or that a watch is over.
func (s *Stream) end() {
	s.leave()
	w := s.d.w
	w.Journal.Note(w.Clock.Now(), WatchEnded, uint64(s.seat.Index), 0, 0)
	s.down(func() {
		s.over = true
		s.to.Closed()
	})
}

// ---- what goes wrong ----

// mute: it can tell nobody what it knows.
func (d *Discovery) mute() bool { return d.Down || d.Silent || d.empty }

func (d *Discovery) endAll() {
	for len(d.watches) > 0 {
		d.watches[len(d.watches)-1].end()
	}
}

// say publishes what was learned while that could not be told.
func (d *Discovery) say() {
	unsaid := d.unsaid
	d.unsaid = nil
	for _, fn := range unsaid {
		fn()
	}
}

func (d *Discovery) setDown(on bool) {
	d.Down = on
	if on {
		d.endAll()
	} else {
		d.say()
	}
	d.w.reachAll()
}

// setCuts: it is down in another way. Calls are taken in turn, and end behind the head.
func (d *Discovery) setCuts(on bool) {
	d.cuts = on
	d.setDown(on)
}

// setEmpty: it has lost its entries, and answers with a list of nobody under other revisions; false: they are back. Both
// end the watches, since nobody who follows one would get the whole list.
func (d *Discovery) setEmpty(on bool) {
	d.empty = on
	d.restart()
	d.endAll()
	if !on {
		d.say()
	}
	d.w.reachAll()
}

// setSilent: it takes calls and says nothing; watches that were open stay so without a word, also afterwards.
func (d *Discovery) setSilent(on bool) {
	d.Silent = on
	if !on {
		for len(d.watches) > 0 {
			d.watches[len(d.watches)-1].leave()
		}
		d.freeAt = d.w.Clock.Now()
	}
	d.w.reachAll()
}

// lie lists a node as gone while it serves; false ends that.
func (d *Discovery) lie(n *Node, on bool) {
	if on {
		d.lies[n]++
	} else {
		d.lies[n]--
	}
	if n.Index >= len(d.index) || d.index[n.Index] < 0 {
		return // not listed in any case
	}
	i := d.index[n.Index]
	d.rev++
	d.entries[i].at = d.rev
	if d.lies[n] == 0 {
		d.w.Seen.Knew(n, d.entries[i].State) // it may have learned of a change meanwhile
	}
	d.tellAll()
}

// restart numbers the list anew, far from the old numbers on either side: a watch from one of those gets the whole.
func (d *Discovery) restart() {
	kept := d.entries[:0]
	for _, e := range d.entries {
		if e.State == Gone {
			d.index[e.Node.Index] = -1
			continue
		}
		d.index[e.Node.Index] = len(kept)
		kept = append(kept, e)
	}
	d.entries = kept
	if d.rng.Float64() < 0.5 && d.rev > 2*revisionJump {
		d.rev -= revisionJump
	} else {
		d.rev += revisionJump
	}
	d.oldest = d.rev
	for i := range d.entries {
		d.entries[i].at = d.rev
	}
}

// revisionJump is more than the changes of any run.
const revisionJump = 1 << 30
