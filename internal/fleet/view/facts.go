package view

import (
	"encoding/json"
	"time"
)

// Fact is what one life says of something: of a kind, under a key, at a revision of its own.
type Fact struct {
	Owner    string          `json:"owner"`
	Kind     string          `json:"kind"`
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Limit is what facts of a kind may cost and do.
type Limit struct {
	Age    time.Duration // older ones are dropped
	Bytes  float64       // a second, that we say of the kind
	Weight float64       // the most that they can count for, of 1
	Keys   int           // of one owner; what goes beyond is dropped
}

// maxValue bounds a fact, which has to fit into a packet with others.
const maxValue = 512

type held struct {
	Fact
	made time.Duration
}

// said is a fact of ours: as it was said last, and what waits for the budget.
type said struct {
	fact    Fact
	waits   bool
	changed time.Duration
}

type budget struct {
	left float64
	at   time.Duration
}

func (v *View) old(kind string, f held) bool { return v.now-f.made > v.bounds.Kinds[kind].Age }

// told keeps the newest word of each owner under a key.
func (v *View) told(f *Fact, age time.Duration) {
	limit, known := v.bounds.Kinds[f.Kind]
	p := v.peers[f.Owner]
	key := [2]string{f.Kind, f.Key}
	if !known || p == nil || len(f.Value) > maxValue || len(f.Key) > maxValue || age < 0 || age > limit.Age {
		v.dropped++
		return
	}
	before, there := p.facts[key]
	if there && before.Revision >= f.Revision {
		return
	}
	if !there {
		n := 0
		for k := range p.facts {
			if k[0] == f.Kind {
				n++
			}
		}
		if n >= limit.Keys {
			v.dropped++
			return
		}
	}
	p.facts[key] = held{*f, v.now - age}
}

// Dropped counts what was not taken: unknown kinds and owners, facts that are too large, too old or too many.
func (v *View) Dropped() uint64 { return v.dropped }

// Say makes a fact of ours and gives it if the kind's budget has room; else it waits, the newest of each key alone, for Due.
func (v *View) Say(now time.Duration, kind, key string, value json.RawMessage) (f Fact, ok bool) {
	v.now = max(v.now, now)
	if _, known := v.bounds.Kinds[kind]; !known || len(value) > maxValue || len(key) > maxValue {
		return f, false
	}
	at := [2]string{kind, key}
	m := v.mine[at]
	if m == nil {
		m = &said{}
		v.mine[at] = m
	}
	m.fact = Fact{v.own.ID, kind, key, m.fact.Revision + 1, value}
	m.changed, m.waits = v.now, true
	return v.afford(m)
}

func (v *View) afford(m *said) (Fact, bool) {
	limit := v.bounds.Kinds[m.fact.Kind]
	b := v.kinds[m.fact.Kind]
	if b == nil {
		b = &budget{left: limit.Bytes, at: v.now}
		v.kinds[m.fact.Kind] = b
	}
	b.left, b.at = min(limit.Bytes, b.left+limit.Bytes*(v.now-b.at).Seconds()), v.now
	size := float64(len(m.fact.Value) + len(m.fact.Key) + len(m.fact.Kind) + len(m.fact.Owner) + 32)
	if b.left < min(size, limit.Bytes) {
		return Fact{}, false
	}
	b.left -= size
	m.waits = false
	return m.fact, true
}

// Due are facts of ours that waited and can be said now.
func (v *View) Due(now time.Duration) (facts []Fact) {
	v.now = max(v.now, now)
	for at, m := range v.mine {
		if v.now-m.changed > v.bounds.Kinds[m.fact.Kind].Age {
			delete(v.mine, at)
		} else if m.waits {
			if f, ok := v.afford(m); ok {
				facts = append(facts, f)
			}
		}
	}
	return facts
}

// Known are all facts that are held, our own too, with their ages: what is handed to a peer that has missed some.
func (v *View) Known(each func(f *Fact, age time.Duration)) {
	for _, m := range v.mine {
		if !m.waits {
			each(&m.fact, v.now-m.changed)
		}
	}
	for _, p := range v.peers {
		for k, f := range p.facts {
			if !v.old(k[0], f) {
				each(&f.Fact, v.now-f.made)
			}
		}
	}
}

// Evidence is how far a word is to be believed.
type Evidence struct {
	Witnesses int     // that live and say so, each of its own knowledge
	Of        int     // that live
	Weight    float64 // what it may count for: nothing by one alone, and never more than the kind's limit
}

// quorum is the share of those who live that has to say so before a word has all of its weight.
const quorum = 0.25

// Believe asks who says something of a kind under a key, by a test of the value.
func (v *View) Believe(kind, key string, says func(value json.RawMessage) bool) (e Evidence) {
	limit := v.bounds.Kinds[kind]
	for _, p := range v.peers {
		if p.state != alive {
			continue
		}
		e.Of++
		if f, ok := p.facts[[2]string{kind, key}]; ok && !v.old(kind, f) && says(f.Value) {
			e.Witnesses++
		}
	}
	if enough := max(1, quorum*float64(e.Of)); e.Witnesses > 1 && v.Believed() {
		e.Weight = limit.Weight * min(1, float64(e.Witnesses-1)/enough)
	}
	return e
}
