package peers

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"pewterrudder/internal/fleet/view"
)

// The library calls the types of this file: each is Peers under another name.

// notes counts the library's complaints: one packet that cannot be read may be followed by millions.
type notes Peers

func (n *notes) Write(line []byte) (int, error) {
	p := (*Peers)(n)
	text := string(line)
	if !strings.Contains(text, "[ERR]") && !strings.Contains(text, "[WARN]") {
		return len(line), nil
	}
	for _, unread := range []string{"Decrypt", "decrypt", "label", "encrypted", "Got invalid", "Failed to decode", "Failed to receive", "msg type", "CRC", "too small"} {
		if strings.Contains(text, unread) {
			if p.unread.Add(1) == 1 {
				p.o.Log("peers: something cannot be read, and is counted from now on: " + strings.TrimSpace(text))
			}
			return len(line), nil
		}
	}
	return len(line), nil
}

// meta is what a member says of itself.
type meta struct {
	view.Life
	Leaving bool `json:"leaving,omitempty"`
}

// events turns members into lives.
type events Peers

func (e *events) post(n *memberlist.Node, kind view.Kind) {
	p := (*Peers)(e)
	var said meta
	err := json.Unmarshal(n.Meta, &said)
	l := said.Life
	if err == nil && said.Leaving {
		kind = view.Left
	}
	if err != nil || n.Name != l.ID {
		p.garbled.Add(1)
		l = view.Life{ID: n.Name, Name: n.Name}
		if kind == view.Joined {
			return // one who has the key and says nonsense of itself is nobody
		}
	}
	l.Address = n.Address() // as the library knows it, whatever it says
	p.o.Post(view.Event{Kind: kind, Life: l})
}

func (e *events) NotifyJoin(n *memberlist.Node)   { e.post(n, view.Joined) }
func (e *events) NotifyUpdate(n *memberlist.Node) { e.post(n, view.Joined) }
func (e *events) NotifyLeave(n *memberlist.Node) {
	p := (*Peers)(e)
	p.mu.Lock()
	if len(p.lost) < lostMost {
		p.lost[n.Address()] = time.Now()
	}
	p.mu.Unlock()
	e.post(n, view.Lost)
}

// delegate carries what we say.
type delegate Peers

func (d *delegate) NodeMeta(limit int) []byte {
	p := (*Peers)(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := json.Marshal(&meta{p.own, p.leaving})
	if err != nil || len(raw) > limit {
		raw, _ = json.Marshal(&meta{view.Life{ID: p.own.ID, Name: p.own.Name[:min(64, len(p.own.Name))], Stamp: p.own.Stamp}, p.leaving})
	}
	return raw
}

func (d *delegate) NotifyMsg(raw []byte) {
	var k Known
	if err := json.Unmarshal(raw, &k); err != nil {
		(*Peers)(d).garbled.Add(1)
		return
	}
	d.told(&k)
}

func (d *delegate) told(k *Known) {
	p := (*Peers)(d)
	if k.Owner == p.own.ID || k.AgeMs < 0 || k.AgeMs > int64(lostFor/time.Millisecond) {
		return
	}
	p.o.Post(view.Event{Kind: view.Told, Fact: k.Fact, Age: time.Duration(k.AgeMs) * time.Millisecond})
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return (*Peers)(d).queue.GetBroadcasts(overhead, limit)
}

// LocalState and MergeRemoteState exchange whole views, as facts: a peer that was cut off has missed packets.
func (d *delegate) LocalState(bool) []byte {
	raw, _ := json.Marshal((*Peers)(d).o.Known())
	return raw
}

func (d *delegate) MergeRemoteState(raw []byte, _ bool) {
	var all []Known
	if err := json.Unmarshal(raw, &all); err != nil {
		(*Peers)(d).garbled.Add(1)
		return
	}
	for i := range all {
		d.told(&all[i])
	}
}

// broadcast is a fact that takes the place of what was said before under its key.
type broadcast struct {
	name string
	text []byte
}

func (b *broadcast) Name() string { return b.name }
func (b *broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*broadcast)
	return ok && other.name == b.name
}
func (b *broadcast) Message() []byte { return b.text }
func (b *broadcast) Finished()       {}
