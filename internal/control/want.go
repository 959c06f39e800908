package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Want is what operators say of one key: whose word it is, since when and until when.
type Want struct {
	Key      Key
	What     Op // never Restore, Several, or one that takes its own word back
	By       string
	At       time.Time
	Revision uint64    // of the edit
	Since    uint64    // the revision that brought it into force: the edit's, or that of an undo or an end
	ID       string    // of the edit: a trial is confirmed by it
	Trial    bool      // it goes back at Until unless confirmed
	Until    time.Time // zero: it stays. By the wall clock as it was at the latest record
}

// Wants is all that operators want, in the order of the keys.
type Wants struct {
	Revision uint64 `json:"revision"`
	All      []Want `json:"wants"`
}

// Find gives the word on a key.
func (w Wants) Find(k Key) (Want, bool) {
	i, ok := slices.BinarySearchFunc(w.All, k, func(w Want, k Key) int { return cmp.Compare(w.Key, k) })
	if !ok {
		return Want{}, false
	}
	return w.All[i], true
}

type plainWant struct {
	Key      Key             `json:"key"`
	What     json.RawMessage `json:"what"`
	By       string          `json:"by"`
	At       time.Time       `json:"at"`
	Revision uint64          `json:"revision"`
	Since    uint64          `json:"since"`
	ID       string          `json:"id"`
	Trial    bool            `json:"trial,omitempty"`
	Until    time.Time       `json:"until,omitzero"`
}

func (w Want) MarshalJSON() ([]byte, error) {
	what, err := json.Marshal(w.What)
	if err != nil {
		return nil, err
	}
	return json.Marshal(plainWant{w.Key, what, w.By, w.At, w.Revision, w.Since, w.ID, w.Trial, w.Until})
}

func (w *Want) UnmarshalJSON(b []byte) error {
	var p plainWant
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	what, err := DecodeOp(p.What)
	*w = Want{p.Key, what, p.By, p.At, p.Revision, p.Since, p.ID, p.Trial, p.Until}
	return err
}

// want is the word on a key that is in force.
func (s *State) want(k Key) (Want, bool) { return s.wantAt(k, s.keys[k]) }

func (s *State) wantAt(k Key, at slot) (Want, bool) {
	op := s.word(k, at.layer)
	if op == nil {
		return Want{}, false
	}
	l := s.layers[at.layer]
	w := Want{Key: k, What: op, By: l.By, At: l.Wall, Revision: l.Revision, Since: at.revision, ID: l.ID}
	if end, ok := l.ends(); ok {
		w.Until = s.last.Wall.Add(end - s.last.Box)
		w.Trial = l.Edit.Trial > 0 && l.confirmed == 0
	}
	return w, true
}

// Want is all that operators want now.
func (s *State) Want() Wants { return s.wants(s.revision, s.keys) }

func (s *State) wants(revision uint64, keys map[Key]slot) Wants {
	w := Wants{Revision: revision, All: []Want{}}
	for k, at := range keys {
		if one, ok := s.wantAt(k, at); ok {
			w.All = append(w.All, one)
		}
	}
	slices.SortFunc(w.All, func(a, b Want) int { return cmp.Compare(a.Key, b.Key) })
	return w
}

// At is what they wanted at an earlier revision. Whether a trial was confirmed, and Until, are as of now. The work is
// that of the records since.
func (s *State) At(revision uint64) (Wants, error) {
	if revision > s.revision || s.place(revision+1) == 0 && revision+1 != s.first() {
		return Wants{}, refuse(Unknown, "revision %d is not in the history, which has %d to %d", revision, s.first(), s.revision)
	}
	keys := make(map[Key]slot, len(s.keys))
	for k, at := range s.keys {
		keys[k] = at
	}
	for i := len(s.history) - 1; i >= s.place(revision+1); i-- {
		for _, set := range s.history[i].Sets {
			keys[set.Key] = slot{set.Was, 0}
		}
	}
	return s.wants(revision, keys), nil
}

// first revision of the history, or the next one if it is empty.
func (s *State) first() uint64 { return s.revision + 1 - uint64(len(s.history)) }

// Change is all that operators say of one node, or of one pool, for the fleet to go by from now on.
type Change struct {
	Node    string
	Drained bool
	Weight  float64 // 0: the roster's

	Pool    string
	Cap     int      // 0: the settings'
	Members []string // nil: as the settings have it
	Gone    bool     // the pool is taken away
}

func (c Change) String() string {
	if c.Node != "" {
		return fmt.Sprintf("node %s drained=%t weight=%g", c.Node, c.Drained, c.Weight)
	}
	return fmt.Sprintf("pool %s cap=%d members=%v gone=%t", c.Pool, c.Cap, c.Members, c.Gone)
}

// Changes is all that operators say of the fleet, for a start.
func (s *State) Changes() []Change {
	w := s.Want()
	sets := make([]Set, len(w.All))
	for i := range w.All {
		sets[i].Key = w.All[i].Key
	}
	return s.changes(sets)
}

func (s *State) changes(sets []Set) []Change {
	var out []Change
	seen := map[[2]string]bool{}
	for _, set := range sets {
		thing, name := set.Key.Parts()
		c := Change{Node: name}
		switch thing {
		case thingNote:
			continue
		case thingPool, thingCap:
			c = Change{Pool: name}
		}
		if seen[[2]string{c.Node, c.Pool}] {
			continue
		}
		seen[[2]string{c.Node, c.Pool}] = true
		word := func(thing string) Op { k := key(thing, name); return s.word(k, s.keys[k].layer) }
		if c.Node != "" {
			c.Drained = word(thingDrain) != nil
			if w, ok := word(thingWeight).(Weight); ok {
				c.Weight = w.Weight
			}
		} else {
			if w, ok := word(thingCap).(Cap); ok {
				c.Cap = w.Open
			}
			switch p := word(thingPool).(type) {
			case Pool:
				c.Members = p.Members
			case Unpool:
				c.Gone = true
			}
		}
		out = append(out, c)
	}
	return out
}
