package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Want is the operators' setting of one key: its author, and the time from and until which it applies.
type Want struct {
	Key      Key
	What     Op // never Restore, Several, or an operation that resets its key
	By       string
	At       time.Time
	Revision uint64    // of the edit
	Since    uint64    // revision that put it in force: of the edit, or of an undo or an expiry
	ID       string    // of the edit; Confirm takes it
	Trial    bool      // reverted at Until unless confirmed
	Until    time.Time // zero: no deadline. By the wall clock as of the latest record
}

// Wants is the operators' settings at a revision, sorted by key.
type Wants struct {
	Revision uint64 `json:"revision"`
	All      []Want `json:"wants"`
}

// Find returns the setting of a key.
func (w Wants) Find(k Key) (Want, bool) {
	i, ok := slices.BinarySearchFunc(w.All, k, func(w Want, k Key) int { return cmp.Compare(w.Key, k) })
	if !ok {
		return Want{}, false
	}
	return w.All[i], true
}

// wantJSON is the JSON form of a Want.
type wantJSON struct {
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
	return json.Marshal(wantJSON{w.Key, what, w.By, w.At, w.Revision, w.Since, w.ID, w.Trial, w.Until})
}

func (w *Want) UnmarshalJSON(b []byte) error {
	var p wantJSON
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	what, err := DecodeOp(p.What)
	*w = Want{p.Key, what, p.By, p.At, p.Revision, p.Since, p.ID, p.Trial, p.Until}
	return err
}

// wantFor returns the setting in force at a key.
func (s *State) wantFor(k Key) (Want, bool) { return s.wantInSlot(k, s.slots[k]) }

func (s *State) wantInSlot(k Key, at slot) (Want, bool) {
	op := s.opAt(k, at.layer)
	if op == nil {
		return Want{}, false
	}
	l := s.layers[at.layer]
	w := Want{Key: k, What: op, By: l.By, At: l.Wall, Revision: l.Revision, Since: at.revision, ID: l.ID}
	if end, ok := l.deadline(); ok {
		w.Until = s.lastStamp.Wall.Add(end - s.lastStamp.Box)
		w.Trial = l.Edit.Trial > 0 && l.confirmedBy == 0
	}
	return w, true
}

// Want returns the operators' settings in force.
func (s *State) Want() Wants { return s.wantsOf(s.revision, s.slots) }

func (s *State) wantsOf(revision uint64, keys map[Key]slot) Wants {
	w := Wants{Revision: revision, All: []Want{}}
	for k, at := range keys {
		if want, ok := s.wantInSlot(k, at); ok {
			w.All = append(w.All, want)
		}
	}
	slices.SortFunc(w.All, func(a, b Want) int { return cmp.Compare(a.Key, b.Key) })
	return w
}

// At returns the operators' settings at an earlier revision. Want.Trial and Want.Until are as of now, and Want.Since is 0
// for keys written since then. The cost is linear in the records since then and the keys.
func (s *State) At(revision uint64) (Wants, error) {
	if revision > s.revision || s.historyIndex(revision+1) == 0 && revision+1 != s.firstRevision() {
		return Wants{}, newRefusal(Unknown, "revision %d is not in the history, which has %d to %d", revision, s.firstRevision(), s.revision)
	}
	keys := make(map[Key]slot, len(s.slots))
	for k, at := range s.slots {
		keys[k] = at
	}
	for i := len(s.history) - 1; i >= s.historyIndex(revision+1); i-- {
		for _, set := range s.history[i].Sets {
			keys[set.Key] = slot{set.Was, 0}
		}
	}
	return s.wantsOf(revision, keys), nil
}

// firstRevision returns the first revision of the history, or the next revision if the history is empty.
func (s *State) firstRevision() uint64 { return s.revision + 1 - uint64(len(s.history)) }

// Change is the operators' complete settings of one node or one pool, to be applied to the fleet.
type Change struct {
	Node    string
	Drained bool
	Weight  float64 // 0: the roster's

	Pool    string
	Cap     int      // 0: as in the settings
	Members []string // nil: as in the settings
	Gone    bool     // the pool is removed
}

func (c Change) String() string {
	if c.Node != "" {
		return fmt.Sprintf("node %s drained=%t weight=%g", c.Node, c.Drained, c.Weight)
	}
	return fmt.Sprintf("pool %s cap=%d members=%v gone=%t", c.Pool, c.Cap, c.Members, c.Gone)
}

// Changes returns the operators' settings of the whole fleet, to apply at start.
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
		keyType, name := set.Key.Parts()
		c := Change{Node: name}
		switch keyType {
		case keyTypeNote:
			continue
		case keyTypePool, keyTypeCap:
			c = Change{Pool: name}
		}
		if seen[[2]string{c.Node, c.Pool}] {
			continue
		}
		seen[[2]string{c.Node, c.Pool}] = true
		opFor := func(keyType string) Op { k := newKey(keyType, name); return s.opAt(k, s.slots[k].layer) }
		if c.Node != "" {
			c.Drained = opFor(keyTypeDrain) != nil
			if w, ok := opFor(keyTypeWeight).(Weight); ok {
				c.Weight = w.Weight
			}
		} else {
			if w, ok := opFor(keyTypeCap).(Cap); ok {
				c.Cap = w.Open
			}
			switch p := opFor(keyTypePool).(type) {
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
