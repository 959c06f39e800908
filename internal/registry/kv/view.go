package kv

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"pewterrudder/internal/roster"
)

// held is a key of the store as last told.
type held struct {
	mod   int64
	sum   uint32       // of the value
	entry roster.Entry // without an id: the value makes no sense
}

// view is a roster's Holder: the part of the store that we follow, at one revision. It is told a reading in parts and tells
// it in one piece. Where two keys name the same id, the one that was written last counts: a node that registers anew may
// do so before its old key has run out.
type view struct {
	sink    Sink
	started func(ms float64) time.Duration
	name    func(string) // says what makes no sense
	keys    map[string]*held
	owner   map[string]string // the key that counts for an id
	doubles int               // keys that do not count because of another
	words   map[string]string // zones and kinds, of which there are few, held once
	parts   []change          // of a reading that has not come to its end
}

func newView(sink Sink, started func(ms float64) time.Duration, name func(string)) *view {
	return &view{sink: sink, started: started, name: name, keys: map[string]*held{}, owner: map[string]string{}, words: map[string]string{}}
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
func (v *view) read(r Record) *held {
	h := &held{mod: r.Revision, sum: Sum(r.Value)}
	was := v.keys[r.Key]
	if was != nil && was.sum == h.sum {
		h.entry = was.entry
		return h
	}
	e, err := Decode(r.Value, v.started)
	if err != nil {
		v.name(fmt.Sprintf("key %.200q: %v", r.Key, err))
		return h
	}
	e.Zone, e.Kind = v.word(e.Zone), v.word(e.Kind)
	h.entry = e
	return h
}

// put takes a key's new value, and adds to the changes what it makes of the entries.
func (v *view) put(key string, h *held, out []roster.Entry) []roster.Entry {
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
	case known && was.sum == h.sum:
		return out // written again without a change
	}
	v.owner[id] = key
	return append(out, h.entry)
}

// drop takes a key's deletion.
func (v *view) drop(key string, out []roster.Entry) []roster.Entry {
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
func (v *view) release(key, id string, out []roster.Entry) []roster.Entry {
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
		return append(out, roster.Entry{ID: id, State: roster.Gone})
	}
	v.doubles--
	v.owner[id] = heir
	return append(out, v.keys[heir].entry)
}

// whole gives all entries that count, in the order of their keys.
func (v *view) whole() []roster.Entry {
	out := make([]roster.Entry, 0, len(v.owner))
	for _, k := range slices.Sorted(maps.Keys(v.keys)) {
		if h := v.keys[k]; h.entry.ID != "" && v.owner[h.entry.ID] == k {
			out = append(out, h.entry)
		}
	}
	return out
}

// Len, At, Keys, Begin and Apply are the Holder.
func (v *view) Len() int { return len(v.keys) }

func (v *view) At(key string) (revision int64, sum uint32, ok bool) {
	h := v.keys[key]
	if h == nil {
		return 0, 0, false
	}
	return h.mod, h.sum, true
}

func (v *view) Keys() iter.Seq[string] { return maps.Keys(v.keys) }

func (v *view) Begin() { v.parts = nil }

func (v *view) Apply(whole bool, revision int64, records []Record) {
	if revision == 0 || whole {
		for _, r := range records {
			v.parts = append(v.parts, v.change(r))
		}
		if revision == 0 {
			return
		}
	}
	parts := v.parts
	v.parts = nil
	if whole {
		v.renew(parts)
		v.sink.Said(true, revision, v.whole())
		return
	}
	var out []roster.Entry
	for _, c := range parts {
		out = v.take(c, out)
	}
	for _, r := range records {
		out = v.take(v.change(r), out)
	}
	if len(out) == 0 {
		v.sink.Heard()
		return
	}
	v.sink.Said(false, revision, out)
}

type change struct {
	key  string
	held *held // nil: deleted
}

func (v *view) change(r Record) change {
	if r.Deleted {
		return change{key: r.Key}
	}
	return change{r.Key, v.read(r)}
}

func (v *view) take(c change, out []roster.Entry) []roster.Entry {
	if c.held == nil {
		return v.drop(c.key, out)
	}
	return v.put(c.key, c.held, out)
}

// renew makes the view that of another history, in which our revisions mean nothing: who counts for an id is found anew.
func (v *view) renew(news []change) {
	all := v.keys
	for _, c := range news {
		if c.held == nil {
			delete(all, c.key)
		} else {
			all[c.key] = c.held
		}
	}
	v.keys, v.doubles = make(map[string]*held, len(all)), 0
	clear(v.owner)
	for _, k := range slices.Sorted(maps.Keys(all)) {
		v.put(k, all[k], nil)
	}
}
