package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/tenants"
)

// Tenant is one of those who share the service, as the settings name it.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
	Share float64 `json:"share"`
}

// Tenants are those that the settings name. There may be hundreds of thousands, so that they are held as they are told until
// they have gone Into a table, one by one; what is known of the list afterwards is what another is compared with.
type Tenants struct {
	text  []byte   // a list that was read and found sound; nil: none, or gone into a table
	count int      // of entries
	keys  []string // that all of them have, in order; nil: there are none, or not all are objects
	sum   uint64   // of the text
	told  bool     // there is a list, if an empty one
}

// TenantsOf makes the list that settings would tell, unchecked.
func TenantsOf(list []Tenant) Tenants {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // a figure that is no number: whoever lists it has drawn it wrongly
	}
	return Tenants{text: text, count: len(list), sum: xxhash.Sum64(text), told: true}
}

// MarshalJSON writes the list that is held.
func (t Tenants) MarshalJSON() ([]byte, error) {
	if t.text == nil {
		return []byte("[]"), nil
	}
	return t.text, nil
}

// UnmarshalJSON reads a list and keeps a copy of it.
func (t *Tenants) UnmarshalJSON(text []byte) error {
	if *t = (Tenants{}); string(text) == "null" {
		return nil
	}
	return t.read(bytes.Clone(text))
}

// read takes a list up if it is sound. An error names the entry at fault.
func (t *Tenants) read(text []byte) error {
	var keys []string
	objects := true
	count, err := eachTenant(text, func(i int, e *entry) error {
		if e.quota < 0 {
			return fmt.Errorf("tenants[%d].quota_per_s: %v is out of range", i, e.quota)
		}
		if objects = objects && e.object; !objects {
			return nil
		}
		if i == 0 {
			for _, k := range e.keys {
				keys = append(keys, string(k))
			}
			slices.Sort(keys)
			keys = slices.Compact(keys)
			return nil
		}
		keys = slices.DeleteFunc(keys, func(k string) bool { return !e.has(k) })
		return nil
	})
	if err != nil {
		return err
	}
	if !objects || count == 0 {
		keys = nil
	} else if keys == nil {
		keys = []string{}
	}
	*t = Tenants{text, count, keys, xxhash.Sum64(text), true}
	return nil
}

// Len is how many entries the list has.
func (t *Tenants) Len() int { return t.count }

// Differ says that another list is told by another text.
func (t *Tenants) Differ(other *Tenants) bool {
	return t.told != other.told || t.sum != other.sum || t.count != other.count
}

// Into enters the list in a table and gives back what it took itself. The entries that an earlier list entered there, and
// this one does not name, go out; those with a revision are somebody else's and stay as they are. The round has to differ
// from list to list.
func (t *Tenants) Into(table *tenants.Table, round uint32) error {
	return t.IntoBeside(table, round, func(string, tenants.Terms) {})
}

// IntoBeside does as Into, and says what the list grants to those who are somebody else's.
func (t *Tenants) IntoBeside(table *tenants.Table, round uint32, others func(name string, t tenants.Terms)) error {
	_, err := eachTenant(t.text, func(_ int, e *entry) error {
		terms := tenants.Terms{Quota: e.quota, Share: e.share}
		if revision, _, ok := table.At(string(e.name)); ok && revision != 0 {
			others(string(e.name), terms)
		} else {
			table.Put(string(e.name), terms, 0, round)
		}
		return nil
	})
	t.text = nil
	for name := range table.All() {
		if revision, sum, ok := table.At(name); ok && revision == 0 && sum != round {
			table.Delete(name)
		}
	}
	return err
}

// lacks names a key of those that all entries of a list have, which an entry of this one has not; "": none.
func (t *Tenants) lacks(at string, keys []string) (missing string) {
	if keys == nil || t.count == 0 || t.keys != nil && !slices.ContainsFunc(keys, func(k string) bool { return !slices.Contains(t.keys, k) }) {
		return ""
	}
	eachTenant(t.text, func(i int, e *entry) error {
		if !e.object {
			missing = fmt.Sprintf("%s[%d]", at, i)
		} else if k := slices.IndexFunc(keys, func(k string) bool { return !e.has(k) }); k >= 0 {
			missing = fmt.Sprintf("%s[%d].%s", at, i, keys[k])
		}
		if missing != "" {
			return errors.New("enough")
		}
		return nil
	})
	return missing
}

// entry is a tenant on its way out of a list's text.
type entry struct {
	name         []byte
	quota, share float64
	object       bool
	keys         [][]byte
}

func (e *entry) has(key string) bool {
	return slices.ContainsFunc(e.keys, func(k []byte) bool { return string(k) == key })
}

// between is how many entries are read before others have a turn: the calls of a process that reads a long list again shall
// wait for a part of a millisecond.
const between = 256

// eachTenant reads a list entry by entry; what it gives is good until the next. It accepts what encoding/json would.
func eachTenant(text []byte, each func(i int, e *entry) error) (count int, err error) {
	if len(text) == 0 {
		return 0, nil
	}
	s, e := scan{text: text}, entry{}
	if !s.take('[') {
		return 0, errors.New("tenants is no list")
	}
	for open := !s.take(']'); open; count++ {
		from, to, ok := s.value()
		if !ok {
			return count, fmt.Errorf("tenants[%d] is malformed", count)
		}
		if err := e.parse(text[from:to]); err != nil {
			return count, fmt.Errorf("tenants[%d]: %w", count, err)
		}
		if err := each(count, &e); err != nil {
			return count, err
		}
		if open = s.take(','); !open && !s.take(']') {
			return count, fmt.Errorf("tenants: no comma or end behind [%d]", count)
		}
		if count%between == between-1 {
			runtime.Gosched()
		}
	}
	if s.space(); s.i < len(text) {
		return count, errors.New("tenants: there is more behind the list")
	}
	return count, nil
}

var tenantKeys = []string{"name", "quota_per_s", "share"}

// parse takes an entry apart. What is not written the plain way is left to encoding/json.
func (e *entry) parse(text []byte) error {
	*e = entry{keys: e.keys[:0]}
	plain := true
	whole := text[0] == '{' && members(text, func(key []byte, from, to int) {
		name, ok := plainString(key)
		if !ok {
			plain = false
			return
		}
		e.keys = append(e.keys, name)
		value := text[from:to]
		switch string(name) {
		case "name":
			e.name, ok = plainString(value)
		case "quota_per_s":
			e.quota, ok = plainNumber(value)
		case "share":
			e.share, ok = plainNumber(value)
		default:
			ok = json.Valid(value) && !slices.ContainsFunc(tenantKeys, func(k string) bool { return strings.EqualFold(k, string(name)) })
		}
		plain = plain && ok
	})
	if e.object = whole; whole && plain {
		return nil
	}
	var t Tenant
	if err := json.Unmarshal(text, &t); err != nil {
		return err
	}
	e.name, e.quota, e.share, e.keys = []byte(t.Name), t.Quota, t.Share, e.keys[:0]
	var keys map[string]json.RawMessage
	if e.object = text[0] == '{'; e.object {
		if err := json.Unmarshal(text, &keys); err != nil {
			return err
		}
		for k := range keys {
			e.keys = append(e.keys, []byte(k))
		}
	}
	return nil
}

// plainString is what a string holds if that is what is written.
func plainString(text []byte) (inner []byte, ok bool) {
	if len(text) < 2 || text[0] != '"' || text[len(text)-1] != '"' {
		return nil, false
	}
	inner = text[1 : len(text)-1]
	for _, c := range inner {
		if c < ' ' || c == '"' || c == '\\' {
			return nil, false
		}
	}
	return inner, utf8.Valid(inner)
}

// plainNumber is a number without an exponent.
func plainNumber(text []byte) (v float64, ok bool) {
	digits := bytes.TrimPrefix(text, []byte("-"))
	whole, part, point := bytes.Cut(digits, []byte("."))
	if len(whole) == 0 || len(whole) > 1 && whole[0] == '0' || point && len(part) == 0 ||
		len(bytes.Trim(whole, "0123456789")) > 0 || len(bytes.Trim(part, "0123456789")) > 0 {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil
}
