// Package view owns what a balancer believes of the others: which of them live, how many share an app node with it (Crowd), and
// what they say. It is fed with member events and facts in any order, late, twice or not at all, and gives words that are to be
// acted on. It must never do I/O, read a clock, start a goroutine, or make a decision about a call: what it holds may inform
// and bound one.
//
// view.go has the lives, crowd.go the number, facts.go what is said and how far it is believed.
//
//   - A life is one run of a process. A restart is another life, also under the same name and address.
//   - Of two lives at one address the later one counts, and one that has ended never returns. Which is later says the stamp,
//     a number as the incarnations of SWIM (Das et al., DSN 2002, 4.2), since clocks may be wrong: a process that
//     hears of another life at its own address takes a stamp above that, which only one that runs can do.
//   - A life that is lost may return, as after a cut or a pause. One that has left with notice does not.
//   - Two lives of one name at two addresses are two processes: both count, and both say so.
//   - A process that has stood still believes nothing of its old view until it has heard again for a while.
package view

import (
	"fmt"
	"slices"
	"time"
)

// Life is one run of a balancer's process.
type Life struct {
	ID      string `json:"id"` // drawn at its start
	Name    string `json:"name"`
	Stamp   uint64 `json:"stamp"`
	Address string `json:"address"`
	Version string `json:"version,omitempty"`
	Zone    string `json:"zone,omitempty"`
}

// Event is what comes in.
type Event struct {
	Kind Kind
	Life Life // Joined; of Lost and Left the ID alone
	Fact Fact // Told
	Age  time.Duration
}

// Kind of an event.
type Kind uint8

const (
	Tick   Kind = iota
	Joined      // a life is there, or says otherwise of itself than before
	Lost        // it answers nobody any more
	Left        // it has ended with notice
	Told        // a fact, so old when it came
)

// Out is what follows from an event.
type Out struct {
	Raise uint64   // the stamp that our own life must take; 0: as it is
	Crowd int      // balancers that share an app node, where that has changed; 0: it has not
	Say   []string // for a log
}

// Bounds of a view. Zero fields have the defaults of New.
type Bounds struct {
	Hold   time.Duration // how long a smaller crowd must have lasted before it is believed
	Settle time.Duration // after a start, a pause or a time alone the view is not believed for so long
	Away   time.Duration // a pause between two events that was none of ours
	Forget time.Duration // how long a life that is gone is kept, and one that was followed or has left is known
	Least  float64       // the crowd is never less than this share of the number in the settings
	Most   float64       // nor more than so many times that
	Lives  int           // that are kept at the most
	Kinds  map[string]Limit
}

// state of a peer.
type state uint8

const (
	alive state = iota
	gone
)

type peer struct {
	life  Life
	state state
	since time.Duration
	facts map[[2]string]held // by kind and key
	twin  bool               // it was said that it shares its name
}

// end of a life. It returns only with a stamp above that of what followed it, which proves that it runs.
type end struct {
	stamp uint64
	at    time.Duration
}

// never is the stamp of an end that no life returns from.
const never = ^uint64(0)

// View is all of it. Make it with New.
type View struct {
	own    Life
	bounds Bounds
	peers  map[string]*peer  // by life
	at     map[string]string // the life that counts at each address
	over   map[string]end    // lives that are over
	live   int               // peers that are alive

	now, heard time.Duration // heard: the last event
	believes   time.Duration // from when on the view is believed
	swept      time.Duration
	crowd      crowd
	kinds      map[string]*budget
	mine       map[[2]string]*said // our own facts
	dropped    uint64
}

// New is the view of a process that has just started and has heard of nobody. wanted is the number of balancers in its settings.
func New(own Life, wanted int, b Bounds, now time.Duration) *View {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&b.Hold, 5*time.Second)
	set(&b.Settle, 5*time.Second)
	set(&b.Away, 2*time.Second)
	set(&b.Forget, 5*time.Minute)
	if b.Least == 0 {
		b.Least = 0.25
	}
	if b.Most == 0 {
		b.Most = 4
	}
	if b.Lives == 0 {
		b.Lives = 4096
	}
	v := &View{own: own, bounds: b, peers: map[string]*peer{}, at: map[string]string{}, over: map[string]end{}, now: now, heard: now,
		believes: now + b.Settle, crowd: crowd{wanted: max(1, wanted)}, kinds: map[string]*budget{}, mine: map[[2]string]*said{}}
	v.crowd.told = v.crowd.wanted
	return v
}

// Own is our own life, with the stamp that it has now.
func (v *View) Own() Life { return v.own }

// Live is the number of other balancers that live, as far as is known.
func (v *View) Live() int { return v.live }

// Seen is another life as it is believed.
type Seen struct {
	Life
	Live  bool
	For   time.Duration // it has been believed so
	Facts int           // of its own that are held
}

// Lives are the others that are known, by name and id.
func (v *View) Lives() []Seen {
	ids := make([]string, 0, len(v.peers))
	for id := range v.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := &v.peers[a].life, &v.peers[b].life
		if x.Name != y.Name {
			if x.Name < y.Name {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	lives := make([]Seen, 0, len(ids))
	for _, id := range ids {
		p := v.peers[id]
		lives = append(lives, Seen{Life: p.life, Live: p.state == alive, For: v.now - p.since, Facts: len(p.facts)})
	}
	return lives
}

// Handle takes an event at a moment of the process's own clock, which must not go back.
func (v *View) Handle(now time.Duration, e Event) (out Out) {
	v.awake(now, &out)
	switch e.Kind {
	case Joined:
		v.joined(&e.Life, &out)
	case Lost:
		v.lost(e.Life.ID, false, &out)
	case Left:
		v.lost(e.Life.ID, true, &out)
	case Told:
		v.told(&e.Fact, e.Age)
	}
	v.sweep()
	v.count(&out)
	return out
}

// Awake is for what is about to rest on the view, whatever event that came with: it notices a pause. The work is a comparison.
func (v *View) Awake(now time.Duration) (out Out) {
	v.awake(now, &out)
	if len(out.Say) > 0 {
		v.count(&out)
	}
	return out
}

// awake notices that the process has stood still: what it knew is of before.
func (v *View) awake(now time.Duration, out *Out) {
	v.now = max(now, v.now)
	if away := v.now - v.heard; away > v.bounds.Away {
		v.believes = v.now + v.bounds.Settle
		out.Say = append(out.Say, fmt.Sprintf("peers: away for %v; the view is not believed until it has settled", away.Round(time.Millisecond)))
	}
	v.heard = v.now
}

func (v *View) joined(l *Life, out *Out) {
	o, over := v.over[l.ID]
	switch {
	case l.ID == v.own.ID || l.ID == "" || over && l.Stamp <= o.stamp || l.Stamp == never:
		return
	case l.Address == v.own.Address:
		if l.Stamp >= v.own.Stamp { // an earlier life of ours, whatever its clock said
			v.own.Stamp = l.Stamp + 1
			out.Raise = v.own.Stamp
		}
		v.follow(l.ID, never)
		return
	}
	if before := v.at[l.Address]; before != "" && before != l.ID {
		if l.Stamp <= v.peers[before].life.Stamp {
			return // an earlier life there; or the later one, which will hear of this and take a stamp above it
		}
		v.follow(before, l.Stamp)
	}
	delete(v.over, l.ID)
	p := v.peers[l.ID]
	if p == nil {
		if len(v.peers) >= v.bounds.Lives {
			v.dropped++
			return
		}
		p = &peer{state: gone, facts: map[[2]string]held{}}
		v.peers[l.ID] = p
	} else if l.Stamp < p.life.Stamp {
		return // what it said before
	}
	if v.at[p.life.Address] == l.ID && p.life.Address != l.Address {
		delete(v.at, p.life.Address)
	}
	v.at[l.Address] = l.ID
	p.life = *l
	if p.state == gone {
		p.state, p.since = alive, v.now
		v.live++
		out.Say = append(out.Say, "peers: "+l.Name+" is here")
	}
	v.twins(p, out)
}

// follow: a life has been followed by another at its address, which has that stamp.
func (v *View) follow(id string, stamp uint64) {
	v.over[id] = end{stamp, v.now}
	if p := v.peers[id]; p != nil {
		if p.state == alive {
			v.live--
		}
		if v.at[p.life.Address] == id {
			delete(v.at, p.life.Address)
		}
		delete(v.peers, id)
	}
}

func (v *View) lost(id string, notice bool, out *Out) {
	p := v.peers[id]
	if p == nil {
		if notice && id != "" && id != v.own.ID {
			v.over[id] = end{never, v.now}
		}
		return
	}
	if p.state == alive {
		p.state, p.since = gone, v.now
		v.live--
		word := " is lost"
		if notice {
			word = " has left"
		}
		out.Say = append(out.Say, "peers: "+p.life.Name+word)
	}
	if notice {
		v.follow(id, never)
	}
}

// twins says, once for each life, that another one that lives has its name.
func (v *View) twins(p *peer, out *Out) {
	if p.twin {
		return
	}
	other := ""
	if p.life.Name == v.own.Name {
		other = v.own.Address
	} else {
		for _, o := range v.peers {
			if o != p && o.state == alive && o.life.Name == p.life.Name {
				other = o.life.Address
			}
		}
	}
	if other != "" {
		p.twin = true
		out.Say = append(out.Say, fmt.Sprintf("peers: two processes are called %s, at %s and at %s", p.life.Name, p.life.Address, other))
	}
}

// sweepEvery is how often what is old is looked for.
const sweepEvery = time.Second

// sweep forgets lives that are long gone, and facts past their age.
func (v *View) sweep() {
	if v.now-v.swept < sweepEvery {
		return
	}
	v.swept = v.now
	for id, p := range v.peers {
		if p.state == gone && v.now-p.since > v.bounds.Forget {
			if v.at[p.life.Address] == id {
				delete(v.at, p.life.Address)
			}
			delete(v.peers, id)
			continue
		}
		for k, f := range p.facts {
			if v.old(k[0], f) {
				delete(p.facts, k)
			}
		}
	}
	for id, o := range v.over {
		if v.now-o.at > v.bounds.Forget {
			delete(v.over, id)
		}
	}
}
