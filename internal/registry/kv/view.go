package kv

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// held is a key of the store as last told.
type held struct {
	mod   int64
	sum   uint64 // of the value
	entry Entry  // without an id: the value makes no sense
	seen  uint64 // the reading that saw it last
}

// view is the part of the store that we follow, at one revision. Where two keys name the same id, the one that was
// written last counts: a node that registers anew may do so before its old key has run out.
type view struct {
	started func(ms float64) time.Duration
	name    func(string) // says what makes no sense
	keys    map[string]*held
	owner   map[string]string // the key that counts for an id
	doubles int               // keys that do not count because of another
	words   map[string]string // zones and kinds, of which there are few, held once
}

func newView(started func(ms float64) time.Duration, name func(string)) *view {
	return &view{started: started, name: name, keys: map[string]*held{}, owner: map[string]string{}, words: map[string]string{}}
}

// most words that are held once; more of them are no zones and kinds.
const mostWords = 1024

func (v *view) word(s string) string {
	if w, ok := v.words[s]; ok {
		return w
	}
	if len(v.words) < mostWords {
		v.words[s] = s
	}
	return s
}

// read makes of a record what is held of it. What makes no sense is named, once for each value.
func (v *view) read(r record) *held {
	h := &held{mod: r.mod, sum: sumOf(r.value)}
	was := v.keys[r.key]
	if was != nil && was.sum == h.sum {
		h.entry = was.entry
		return h
	}
	e, err := Decode(r.value, v.started)
	if err != nil {
		v.name(fmt.Sprintf("key %.200q: %v", r.key, err))
		return h
	}
	e.Zone, e.Kind = v.word(e.Zone), v.word(e.Kind)
	h.entry = e
	return h
}

// put takes a key's new value, and adds to the changes what it makes of the entries.
func (v *view) put(key string, h *held, out []Entry) []Entry {
	was := v.keys[key]
	v.keys[key] = h
	if was != nil && was.entry.ID != "" && was.entry.ID != h.entry.ID {
		out = v.release(key, was.entry.ID, out)
	}
	id := h.entry.ID
	if id == "" {
		return out
	}
	owner, known := v.owner[id]
	switch {
	case known && owner != key && (v.keys[owner].mod > h.mod || v.keys[owner].mod == h.mod && owner < key):
		if was == nil || was.entry.ID != id {
			v.doubles++ // an older key, of which a reading tells
		}
		return out
	case known && owner != key:
		if was == nil || was.entry.ID != id {
			v.doubles++
		} // else the two change places
	case known && was.entry == h.entry:
		return out // written again without a change
	}
	v.owner[id] = key
	return append(out, h.entry)
}

// drop takes a key's deletion.
func (v *view) drop(key string, out []Entry) []Entry {
	was := v.keys[key]
	if was == nil {
		return out
	}
	delete(v.keys, key)
	if was.entry.ID == "" {
		return out
	}
	return v.release(key, was.entry.ID, out)
}

// release an id from a key that does not name it any more. Another key that does takes its place.
func (v *view) release(key, id string, out []Entry) []Entry {
	if v.owner[id] != key {
		v.doubles--
		return out
	}
	delete(v.owner, id)
	heir := ""
	if v.doubles > 0 {
		for k, h := range v.keys {
			if k == key || h.entry.ID != id {
				continue
			}
			if best := v.keys[heir]; best == nil || h.mod > best.mod || h.mod == best.mod && k < heir {
				heir = k
			}
		}
	}
	if heir == "" {
		return append(out, Entry{ID: id, State: Gone})
	}
	v.doubles--
	v.owner[id] = heir
	return append(out, v.keys[heir].entry)
}

// whole gives all entries that count, in the order of their keys.
func (v *view) whole() []Entry {
	out := make([]Entry, 0, len(v.owner))
	for _, k := range slices.Sorted(maps.Keys(v.keys)) {
		if h := v.keys[k]; h.entry.ID != "" && v.owner[h.entry.ID] == k {
			out = append(out, h.entry)
		}
	}
	return out
}

// refill makes the view that of a reading of another history, in which our revisions mean nothing.
func (v *view) refill(news []change) {
	clear(v.keys)
	clear(v.owner)
	v.doubles = 0
	for _, c := range news {
		v.put(c.key, c.held, nil)
	}
}

// turn makes the view that of a reading: what differs is put, what the reading has not seen is dropped.
func (v *view) turn(news []change, reading uint64) (out []Entry) {
	for _, c := range news {
		c.held.seen = reading
		out = v.put(c.key, c.held, out)
	}
	var gone []string
	for k, h := range v.keys {
		if h.seen != reading {
			gone = append(gone, k)
		}
	}
	slices.Sort(gone)
	for _, k := range gone {
		out = v.drop(k, out)
	}
	return out
}

type change struct {
	key  string
	held *held
}

func sumOf(value []byte) uint64 { return xxhash.Sum64(value) }
