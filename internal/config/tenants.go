package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"runtime"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/tenants"
)

// Tenant is one of those who share the service, as the settings name it.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
	Share float64 `json:"share"`
}

// Tenants are those that the settings name. There may be hundreds of thousands, so that they are read entry by entry and held
// packed until they have gone Into a table; what is known of the list afterwards is what another is compared with.
type Tenants struct {
	entries packed   // of a list that was read and found sound; nil: none, or gone into a table
	count   int      // of entries
	shapes  []shape  // that entries have, while they are held
	keys    []string // that all of them have, in order; nil: there are none, or not all are objects
	sum     uint64   // of the entries
	told    bool     // there is a list, if an empty one
}

// shape is the keys that an entry was told by, in order; nil: it is no object.
type shape []string

func (s shape) is(other shape) bool { return (s == nil) == (other == nil) && slices.Equal(s, other) }

// TenantsOf makes the list that settings would tell, unchecked.
func TenantsOf(list []Tenant) (t Tenants) {
	for i := range list {
		t.entries.add(&list[i], 0)
	}
	t.shapes = []shape{usual}
	t.close(len(list))
	return t
}

// MarshalJSON writes the list that is held.
func (t Tenants) MarshalJSON() ([]byte, error) {
	list := []Tenant{}
	for r := range t.entries.all() {
		list = append(list, Tenant{string(r.name), r.quota, r.share})
	}
	return json.Marshal(list)
}

// UnmarshalJSON reads a list.
func (t *Tenants) UnmarshalJSON(text []byte) error {
	if *t = (Tenants{}); string(text) == "null" {
		return nil
	}
	in := newStream(bytes.NewReader(text))
	if begin, err := in.Token(); err != nil {
		return err
	} else if begin != json.Delim('[') {
		return errors.New("tenants is no list")
	}
	fault, err := t.read(in)
	if err = cmp.Or(err, fault); err != nil {
		return err
	}
	if _, err := in.Token(); err != io.EOF {
		return cmp.Or(err, errors.New("tenants: there is more behind the list"))
	}
	return nil
}

// between is how many entries are read before others have a turn: the calls of a process that reads a long list again shall
// wait for a part of a millisecond.
const between = 256

// read takes up a list whose beginning was read, if it is sound. A fault names the entry that has it, and the list is read to
// its end all the same; an error is one of the text, behind which nothing can be read.
func (t *Tenants) read(in *stream) (fault, err error) {
	*t = Tenants{}
	count, last, e := 0, -1, new(entry)
	numbers := map[string]int{} // of shapes
	for ; in.More(); count++ {
		if err := e.read(in); err != nil {
			return nil, err
		}
		switch {
		case fault != nil:
		case e.fault != nil:
			fault = fmt.Errorf("tenants[%d]: %w", count, e.fault)
		case e.Quota < 0:
			fault = fmt.Errorf("tenants[%d].quota_per_s: %v is out of range", count, e.Quota)
		default:
			if last < 0 || !e.shape.is(t.shapes[last]) {
				last = t.number(numbers, e.shape)
			}
			t.entries.add(&e.Tenant, last)
		}
		if count%between == between-1 {
			runtime.Gosched()
		}
	}
	if _, err := in.Token(); err != nil {
		return nil, err
	}
	if fault != nil {
		*t = Tenants{}
		return fault, nil
	}
	t.close(count)
	return nil, nil
}

// number is the place of a shape among those of the list.
func (t *Tenants) number(numbers map[string]int, s shape) int {
	name := fmt.Sprintf("%t%q", s == nil, []string(s))
	n, ok := numbers[name]
	if !ok {
		n = len(t.shapes)
		numbers[name], t.shapes = n, append(t.shapes, s)
	}
	return n
}

// close notes what is known of the list as a whole.
func (t *Tenants) close(count int) {
	sum := xxhash.New()
	for _, b := range t.entries {
		sum.Write(b)
	}
	t.count, t.sum, t.told = count, sum.Sum64(), true
	if count == 0 {
		return
	}
	t.keys = slices.Clone(t.shapes[0])
	for _, s := range t.shapes {
		if s == nil {
			t.keys = nil
			return
		}
		t.keys = slices.DeleteFunc(t.keys, func(k string) bool { return !slices.Contains(s, k) })
	}
}

// Len is how many entries the list has.
func (t *Tenants) Len() int { return t.count }

// Differ says that another list tells other tenants, or tells them otherwise.
func (t *Tenants) Differ(other *Tenants) bool {
	return t.told != other.told || t.sum != other.sum || t.count != other.count
}

// Into enters the list in a table and gives back what it took itself. The entries that an earlier list entered there, and
// this one does not name, go out; those with a revision are somebody else's and stay as they are. The round has to differ
// from list to list.
func (t *Tenants) Into(table *tenants.Table, round uint32) {
	t.IntoBeside(table, round, func(string, tenants.Terms) {})
}

// IntoBeside does as Into, and says what the list grants to those who are somebody else's.
func (t *Tenants) IntoBeside(table *tenants.Table, round uint32, others func(name string, t tenants.Terms)) {
	before, looked := table.Len(), 0
	turn := func() {
		if looked++; looked%between == 0 {
			runtime.Gosched()
		}
	}
	for i := range t.entries {
		block := t.entries[i : i+1]
		for r := range block.all() {
			terms := tenants.Terms{Quota: r.quota, Share: r.share}
			if revision, _, ok := table.Version(string(r.name)); ok && revision != 0 {
				others(string(r.name), terms)
			} else {
				table.Put(string(r.name), terms, 0, round)
			}
			turn()
		}
		block[0] = nil
	}
	if t.release(); before == 0 {
		return
	}
	for name := range table.All() {
		turn()
		if revision, sum, ok := table.Version(name); ok && revision == 0 && sum != round {
			table.Delete(name)
		}
	}
}

// release gives back what is held of the entries.
func (t *Tenants) release() { t.entries, t.shapes = nil, nil }

// lacks names a key of those that all entries of a list have, which an entry of this one has not; "": none.
func (t *Tenants) lacks(at string, keys []string) string {
	if keys == nil {
		return ""
	}
	missing := make([]string, len(t.shapes)) // behind an entry's place; "": nothing
	for i, s := range t.shapes {
		if s == nil {
			missing[i] = "]"
		} else if k := slices.IndexFunc(keys, func(k string) bool { return !slices.Contains(s, k) }); k >= 0 {
			missing[i] = "]." + keys[k]
		}
	}
	if !slices.ContainsFunc(missing, func(m string) bool { return m != "" }) {
		return ""
	}
	i := 0
	for r := range t.entries.all() {
		if m := missing[r.shape]; m != "" {
			return fmt.Sprintf("%s[%d%s", at, i, m)
		}
		i++
	}
	return ""
}

// entry is a tenant as a list tells it; one serves for reading all of them.
type entry struct {
	Tenant
	shape shape
	fault error // it is no tenant
}

// usual is the shape of nearly all entries, in order.
var usual = shape{"name", "quota_per_s", "share"}

// untold is what no text can tell: no string of JSON is malformed, and no number is none.
var untold = Tenant{"\xff", math.NaN(), math.NaN()}

// read takes the next entry of a list. An error is one of the text.
func (e *entry) read(in *stream) error {
	begin := in.InputOffset()
	*e = entry{Tenant: untold, shape: usual}
	if err := in.Decode(&e.Tenant); err != nil {
		if wrong := (*json.UnmarshalTypeError)(nil); !errors.As(err, &wrong) {
			return err
		}
		e.fault = err
		return nil
	}
	text := in.since(begin)
	if e.plain(text) {
		return nil
	}
	if e.Name == untold.Name {
		e.Name = ""
	}
	if math.IsNaN(e.Quota) {
		e.Quota = 0
	}
	if math.IsNaN(e.Share) {
		e.Share = 0
	}
	var keys map[string]named
	e.fault = json.Unmarshal(bytes.TrimLeft(text, ", \n\t\r"), &keys)
	if e.shape = nil; keys != nil {
		e.shape = slices.AppendSeq(shape{}, maps.Keys(keys))
		slices.Sort(e.shape)
	}
	return nil
}

// plain says that an entry, read from a sound text, has the usual keys and nothing else. All were told, so that a text with
// four strings has no more than those keys, in whatever case, and the name.
func (e *entry) plain(text []byte) bool {
	return e.Name != untold.Name && !math.IsNaN(e.Quota) && !math.IsNaN(e.Share) && !slices.Contains(usual, e.Name) &&
		bytes.Count(text, []byte{'"'}) == 8 &&
		!slices.ContainsFunc(quoted, func(key []byte) bool { return !bytes.Contains(text, key) })
}

// quoted are the usual keys as a text has them.
var quoted = [][]byte{[]byte(`"name"`), []byte(`"quota_per_s"`), []byte(`"share"`)}

// named stands for a value of which the key alone counts.
type named struct{}

func (named) UnmarshalJSON([]byte) error { return nil }
