package eureka

import (
	"cmp"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"time"

	"pewterrudder/internal/roster"
)

const (
	// rememberFor is how long the start of an instance that a whole list left out is remembered: a registry that has
	// lost its memory says of each that it has just come up, and a fleet that is taken for new would be spared work.
	rememberFor = 10 * time.Minute
	// yieldEvery instances the decoder lets others run: the balancer has one processor, and its calls come first.
	yieldEvery = 16
	// skewFrom is what a registry's clock may be off by before it is corrected: its Date has whole seconds.
	skewFrom = 2 * time.Second
)

// held is one instance as last told. Instances that are not wanted, or cannot be called, are held without an entry:
// the hash code counts them.
type held struct {
	entry       roster.Entry
	listed      bool // entry counts
	wanted      bool // it would, but for its status
	status      status
	updated, up int64
	seen        uint32 // the whole list that named it last
}

// start of an instance, kept for a while after a whole list left it out.
type start struct {
	address string
	up      int64
	started time.Duration
	left    time.Duration
}

// view is the registry as last told, with no second copy: an answer is compared while it is read, and what differs is
// kept aside until all of it is there. It is pure; whoever reads an answer has it alone meanwhile.
type view struct {
	keys    Keys
	apps    map[string]bool // those wanted; empty: all
	byHost  bool
	self    string // key of the balancer's own instance, which is no app node
	most    int    // instances
	started func(ms float64) time.Duration

	held   map[string]*held
	owner  map[string]string // entry's id -> key: ids are an app's own, the list's are not
	counts [statuses]int
	left   map[string]start
	gen    uint32
}

func newView(s *Settings) *view {
	v := &view{keys: s.Keys, apps: map[string]bool{}, byHost: s.ByHost, most: s.Most, started: s.Started,
		held: map[string]*held{}, owner: map[string]string{}, left: map[string]start{}}
	for _, a := range s.Apps {
		v.apps[strings.ToUpper(a)] = true
	}
	if s.Self != nil {
		v.self = s.Self.key()
	}
	return v
}

// hashOf is the published reconcile hash code: each status with its count, in the order of their names.
func hashOf(counts *[statuses]int) string {
	var b strings.Builder
	for s, n := range counts {
		if n > 0 {
			fmt.Fprintf(&b, "%s_%d_", statusNames[s], n)
		}
	}
	return b.String()
}

// answer is one that is being read.
type answer struct {
	v      *view
	whole  bool
	now    time.Duration
	skew   time.Duration // of the registry's clock
	counts [statuses]int
	aside  map[string]*held // nil: deleted
	read   int
	stale  bool // a delta says something older than what is held
	flaw   error
	flaws  int
}

func (v *view) begin(whole bool, now, skew time.Duration) *answer {
	a := &answer{v: v, whole: whole, now: now, skew: skew, aside: map[string]*held{}}
	if whole {
		v.gen++
	} else {
		a.counts = v.counts
	}
	return a
}

func (a *answer) fault(err error) {
	if a.flaws++; a.flaw == nil {
		a.flaw = err
	}
}

// take enters one instance.
func (a *answer) take(in *instance) error {
	if a.read++; a.read%yieldEvery == 0 {
		runtime.Gosched()
	}
	if a.read > a.v.most {
		return fmt.Errorf("more than %d instances", a.v.most)
	}
	if in.app == "" || in.name() == "" {
		a.fault(fmt.Errorf("an instance without app or id: %q", in.key()))
		if a.whole {
			a.counts[in.status]++ // the registry counts it as well
		}
		return nil
	}
	key := in.key()
	old := a.v.held[key]
	now, changed := a.aside[key]
	if !changed {
		now = old
		if a.whole && old != nil && old.seen != a.v.gen {
			now = nil // not counted yet
		}
	}
	if !a.whole && old != nil && in.updated != 0 && in.updated < old.updated {
		a.stale = true
	}
	if now != nil {
		a.counts[now.status]--
	}
	if in.action == "DELETED" {
		if !a.whole {
			a.aside[key] = nil
		}
		return nil
	}
	a.counts[in.status]++
	h := a.make(in, key, old)
	if a.whole {
		h.seen = a.v.gen
	}
	if old != nil && old.status == h.status && old.updated == h.updated && old.up == h.up && old.listed == h.listed &&
		old.wanted == h.wanted && same(&old.entry, &h.entry) {
		if a.whole {
			old.seen = a.v.gen
		}
		delete(a.aside, key)
		return nil
	}
	a.aside[key] = h
	return nil
}

// make gives the held form of an instance.
func (a *answer) make(in *instance, key string, old *held) *held {
	v := a.v
	h := &held{status: in.status, updated: in.updated, up: in.up}
	if key == v.self || len(v.apps) > 0 && !v.apps[in.app] {
		return h
	}
	e, flaw, err := in.entry(&v.keys, v.byHost)
	if err != nil {
		a.fault(err)
		return h
	}
	if flaw != nil {
		a.fault(flaw)
	}
	// The start stays as first told while the process may be the same: registries' clocks differ, they may run an hour
	// ahead, and one that has forgotten its leases has all of them begin anew.
	remembered := v.left[key]
	switch {
	case in.meta[v.keys.Started] != "" && v.keys.Started != "":
		h.up = number(in.meta[v.keys.Started])
		e.Started = v.since(h.up, 0, a.now)
	case old != nil && old.wanted && old.entry.Address == e.Address && old.status != starting && in.status != starting:
		e.Started, h.up = old.entry.Started, old.up
	case remembered.address == e.Address:
		e.Started, h.up = remembered.started, remembered.up
	default:
		e.Started = v.since(in.up, a.skew, a.now)
	}
	h.entry, h.wanted, h.listed = e, true, e.State != roster.Gone
	return h
}

// since maps a registry's Unix ms on the node's clock. A moment that is still to come is now.
func (v *view) since(ms int64, skew, now time.Duration) time.Duration {
	if ms <= 0 || v.started == nil {
		return 0
	}
	at := min(v.started(float64(ms)-float64(skew)/1e6), now)
	if at == 0 {
		at = 1 // the very start of the clock is not "long ago"
	}
	return at
}

// wrong says why an answer that was read to its end is not to be believed, if it is not.
func (a *answer) wrong(h head) error {
	ours := hashOf(&a.counts)
	if !a.whole {
		switch {
		case a.stale:
			return fmt.Errorf("the delta is older than the list")
		case h.hash != ours:
			return fmt.Errorf("the hash code of the delta is %q, the list's %q", h.hash, ours)
		}
		return nil
	}
	// A whole list that has less than its own hash code counts has been cut short in a way that the format does not
	// show. One that has as much or more is taken: servers of other makers have sloppy hash codes.
	if n := counted(h.hash); n > a.read {
		return fmt.Errorf("half a list: %d instances of %d", a.read, n)
	}
	return nil
}

// counted is the number of instances that a hash code speaks of.
func counted(hash string) int {
	n := 0
	for i, part := range strings.Split(hash, "_") {
		if c := number(part); i > 0 && c > 0 {
			n += int(min(c, 1<<30))
		}
	}
	return n
}

// commit makes the answer the view. It gives the changes, or, for a whole list that differs, all entries.
func (a *answer) commit() (entries []roster.Entry, news bool) {
	v := a.v
	var gone []roster.Entry
	if a.whole {
		for key, h := range v.held {
			if _, changed := a.aside[key]; changed || h.seen == v.gen {
				continue
			}
			if h.wanted {
				v.left[key] = start{h.entry.Address, h.up, h.entry.Started, a.now}
			}
			gone = v.drop(key, h, gone)
		}
	}
	keys := slices.Sorted(maps.Keys(a.aside))
	for _, key := range keys {
		if old := v.held[key]; a.aside[key] == nil && old != nil {
			gone = v.drop(key, old, gone)
			delete(v.left, key) // it has left by itself, and comes back as another process
		}
	}
	for _, key := range keys {
		h, old := a.aside[key], v.held[key]
		if h == nil {
			continue
		}
		if h.listed {
			if k, taken := v.owner[h.entry.ID]; taken && k != key {
				h.listed = false
				a.fault(fmt.Errorf("%s has the id of %s", key, k))
			}
		}
		if old != nil && old.listed && (!h.listed || old.entry.ID != h.entry.ID) {
			gone = v.drop(key, old, gone)
		}
		if h.listed {
			v.owner[h.entry.ID] = key
			if old == nil || !old.listed || !same(&old.entry, &h.entry) {
				entries = append(entries, h.entry)
			}
			delete(v.left, key)
		}
		v.held[key] = h
	}
	for key, s := range v.left {
		if a.now-s.left > rememberFor {
			delete(v.left, key)
		}
	}
	v.counts = a.counts
	news = len(entries)+len(gone) > 0
	if !a.whole || !news {
		return append(gone, entries...), news
	}
	entries = make([]roster.Entry, 0, len(v.held))
	for _, h := range v.held {
		if h.listed {
			entries = append(entries, h.entry)
		}
	}
	slices.SortFunc(entries, func(a, b roster.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries, true
}

func (v *view) drop(key string, h *held, gone []roster.Entry) []roster.Entry {
	if h.listed {
		gone = append(gone, roster.Entry{ID: h.entry.ID, Address: h.entry.Address, State: roster.Gone})
		if v.owner[h.entry.ID] == key {
			delete(v.owner, h.entry.ID)
		}
	}
	delete(v.held, key)
	return gone
}
