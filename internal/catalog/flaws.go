package catalog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

var errUnknownKind = errors.New("key: is none of routes/NAME, pools/NAME and tenants/NAME")

// Flaws counts the entries that are not in force as written, and names some of them.
type Flaws struct {
	Refused    int      // entries with an invalid value
	Unresolved int      // routes that name a pool that does not exist
	Shadowed   int      // routes that lose calls to a route of higher precedence, and default pools after the first
	Named      []string // descriptions of some flaws, in a fixed order of their kinds
}

// maxNamedFlaws limits the refusal reasons that are kept, and the flaws of each kind that are named.
const maxNamedFlaws = 64

// maxKeptValue is the size in bytes up to which the value of a refused entry is kept. A typical value has a few hundred
// bytes.
const maxKeptValue = 4096

// reason describes why an entry was refused.
type reason struct {
	text  string
	value []byte // the refused value; nil: longer than maxKeptValue
}

// refuse records that the value of a record is invalid.
func (c *Catalog) refuse(r *Record, v version, err error, ch *Changes) {
	c.refused[r.Key] = v
	refusal := reason{text: fmt.Sprintf("%.200q of revision %d is refused: %.300v", r.Key, v.revision, err)}
	if len(r.Value) <= maxKeptValue {
		refusal.value = slices.Clone(r.Value)
	}
	if _, ok := c.reasons[r.Key]; ok || len(c.reasons) < maxNamedFlaws {
		c.reasons[r.Key] = refusal
	}
	ch.addLog(refusal.text)
}

// Flaws returns the entries that are not in force as written.
func (c *Catalog) Flaws() Flaws {
	f := Flaws{Refused: len(c.refused), Unresolved: len(c.unresolved), Shadowed: len(c.shadowed)}
	for _, key := range slices.Sorted(maps.Keys(c.reasons)) {
		f.Named = append(f.Named, c.reasons[key].text)
	}
	var some []string
	for r := range c.unresolved {
		if some = append(some, fmt.Sprintf("%q waits for pool %q", r.key, c.missingPool(r))); len(some) == maxNamedFlaws {
			break
		}
	}
	slices.Sort(some)
	f.Named = append(f.Named, some...)
	some = nil
	for _, ties := range c.ties {
		for _, t := range ties {
			some = append(some, fmt.Sprintf("%q of revision %d is shadowed: %v", t.Loser.Key, t.Loser.Revision, t))
		}
		if len(some) >= maxNamedFlaws {
			break
		}
	}
	slices.Sort(some)
	f.Named = append(f.Named, some[:min(len(some), maxNamedFlaws)]...)
	for _, p := range c.poolOrder[min(1, len(c.poolOrder)):] {
		if !p.current.Default {
			break
		}
		if f.Shadowed++; f.Shadowed <= len(c.shadowed)+maxNamedFlaws {
			f.Named = append(f.Named, fmt.Sprintf("%q of revision %d is no default: %q is it", p.key, p.precedence.revision, c.poolOrder[0].key))
		}
	}
	return f
}
