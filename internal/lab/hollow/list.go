package hollow

import (
	"strconv"
	"time"
)

// node is an app node as the source has it.
type node struct {
	id, address, kind string
	zone, cell        int
	since             int64 // Unix milliseconds
	gone              bool
}

// list is what the source tells: in the form of discovery's wire, rendered once for all who hear it.
type list struct {
	nodes    []node
	revision int64
	every    int // of the nodes that this list holds: one in so many
	whole    []byte
	changes  []change // in the order of their revisions
}

type change struct {
	revision int64
	text     []byte
}

// leastKinds there are where one pool takes all.
const leastKinds = 5

// epoch is when the app nodes began; what counts is that their times have thirteen digits.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// newList makes a list of n app nodes, of which one in so many is held, of as many kinds as there are pools.
func newList(n, every, pools int) *list {
	l := &list{revision: 1, every: every}
	for i := range n {
		l.nodes = append(l.nodes, node{id: "s-" + strconv.FormatUint(uint64(i)*0x9e3779b1&0xffffffff|0x10000000, 16),
			address: "10." + strconv.Itoa(i>>14&255) + "." + strconv.Itoa(i>>7&127) + "." + strconv.Itoa(i&127) + ":5000",
			kind:    "m" + strconv.Itoa(i/every%max(leastKinds, pools)), zone: i % Zones, cell: i / 8, since: epoch + int64(i)*37})
	}
	l.render()
	return l
}

func (l *list) render() { l.whole = l.text(true, nil) }

// text renders the list, or the nodes at some places; none of them may be this list's.
func (l *list) text(complete bool, at []int) []byte {
	b := make([]byte, 0, 160*(len(at)+1))
	b = append(b, `{"revision":`...)
	b = strconv.AppendInt(b, l.revision, 10)
	b = append(b, `,"complete":`...)
	b = strconv.AppendBool(b, complete)
	b = append(b, `,"members":[`...)
	first := true
	one := func(i int) {
		n := &l.nodes[i]
		if i%l.every != 0 || complete && n.gone {
			return
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, `{"id":"`+n.id+`","host_port":"`+n.address+`","locality":"`+zoneName(n.zone)+`","flavor":"`+n.kind+`","cell":`...)
		b = strconv.AppendInt(b, int64(n.cell), 10)
		b = append(b, `,"phase":"`...)
		if n.gone {
			b = append(b, "Gone"...)
		} else {
			b = append(b, "Ready"...)
		}
		b = append(b, `","size":1.0,"up_since_ms":`...)
		b = strconv.AppendInt(b, n.since, 10)
		b = append(b, '}')
	}
	if complete {
		for i := range l.nodes {
			one(i)
		}
	} else {
		for _, i := range at {
			one(i)
		}
	}
	return append(b, "]}\n"...)
}

// inZone names the places of a zone's nodes.
func (l *list) inZone(zone int) (at []int) {
	for i := range l.nodes {
		if l.nodes[i].zone == zone {
			at = append(at, i)
		}
	}
	return at
}

// kept bounds the changes that are held: who is further behind gets the whole list.
const kept = 64

// turn makes a change of some nodes known. again says that they have started anew.
func (l *list) turn(at []int, gone bool) {
	l.revision++
	for _, i := range at {
		l.nodes[i].gone = gone
		if !gone {
			l.nodes[i].since += 1000
		}
	}
	l.render()
	l.changes = append(l.changes, change{l.revision, l.text(false, at)})
	if len(l.changes) > kept {
		l.changes = l.changes[len(l.changes)-kept:]
	}
}

// after gives what one who has a revision is to be told, in order, and the revision that makes. A whole list comes where
// the changes since are not held.
func (l *list) after(revision int64) (texts [][]byte, now int64) {
	if revision == l.revision {
		return nil, revision
	}
	if len(l.changes) == 0 || revision < l.changes[0].revision-1 || revision > l.revision {
		return [][]byte{l.whole}, l.revision
	}
	for _, c := range l.changes {
		if c.revision > revision {
			texts = append(texts, c.text)
		}
	}
	return texts, l.revision
}
