package catalog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

var errNoKind = errors.New("key: is none of routes/NAME, pools/NAME and tenants/NAME")

// Flaws are the entries that are not in force as they were written, by their counts, and some of them by name.
type Flaws struct {
	Refused    int // their values make no sense
	Unresolved int // routes that name a pool which is not there
	Shadowed   int // routes that have lost calls to others, and default pools that are not the first
	Named      []string
}

// mostNamed bounds what is kept of reasons, and what a list of flaws names of each kind.
const mostNamed = 64

// mostKept is the longest value that is kept of a refused entry: an ordinary one has some hundred bytes.
const mostKept = 4096

// reason of a refusal.
type reason struct {
	text  string
	value []byte // nil: too long
}

func (c *Catalog) refuse(r *Record, said word, err error, ch *Changes) {
	c.refused[r.Key] = said
	why := reason{text: fmt.Sprintf("%.200q of revision %d is refused: %.300v", r.Key, said.revision, err)}
	if len(r.Value) <= mostKept {
		why.value = slices.Clone(r.Value)
	}
	if _, ok := c.why[r.Key]; ok || len(c.why) < mostNamed {
		c.why[r.Key] = why
	}
	ch.say(why.text)
}

// Flaws gives what is not in force now.
func (c *Catalog) Flaws() Flaws {
	f := Flaws{Refused: len(c.refused), Unresolved: len(c.lacking), Shadowed: len(c.lost)}
	for _, key := range slices.Sorted(maps.Keys(c.why)) {
		f.Named = append(f.Named, c.why[key].text)
	}
	var some []string
	for r := range c.lacking {
		if some = append(some, fmt.Sprintf("%q waits for pool %q", r.key, c.missing(r))); len(some) == mostNamed {
			break
		}
	}
	slices.Sort(some)
	f.Named = append(f.Named, some...)
	some = nil
	for _, ties := range c.shadowed {
		for _, t := range ties {
			some = append(some, fmt.Sprintf("%q of revision %d is shadowed: %v", t.Lost.Key, t.Lost.Revision, t))
		}
		if len(some) >= mostNamed {
			break
		}
	}
	slices.Sort(some)
	f.Named = append(f.Named, some[:min(len(some), mostNamed)]...)
	for _, p := range c.order[min(1, len(c.order)):] {
		if !p.now.Default {
			break
		}
		if f.Shadowed++; f.Shadowed <= len(c.lost)+mostNamed {
			f.Named = append(f.Named, fmt.Sprintf("%q of revision %d is no default: %q is it", p.key, p.rank.revision, c.order[0].key))
		}
	}
	return f
}
