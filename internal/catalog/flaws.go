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

func (c *Catalog) refuse(key string, said word, err error, ch *Changes) {
	c.refused[key] = said
	why := fmt.Sprintf("%.200q of revision %d is refused: %.300v", key, said.revision, err)
	if _, ok := c.why[key]; ok || len(c.why) < mostNamed {
		c.why[key] = why
	}
	ch.say(why)
}

// Flaws gives what is not in force now.
func (c *Catalog) Flaws() Flaws {
	f := Flaws{Refused: len(c.refused), Unresolved: len(c.lacking), Shadowed: len(c.lost)}
	for _, key := range slices.Sorted(maps.Keys(c.why)) {
		f.Named = append(f.Named, c.why[key])
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
