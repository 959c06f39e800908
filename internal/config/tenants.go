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

// Tenant is one tenant of the settings, with its quota in requests per second and its share.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
	Share float64 `json:"share"`
}

// Tenants is the list of tenants in the settings. It may have hundreds of thousands of entries, so it is decoded entry
// by entry and held packed until Into moves the entries to a table. What remains is only what Reload needs to compare
// lists.
type Tenants struct {
	entries    packedTenants // of a valid list; nil: none, or moved to a table
	count      int           // number of entries
	keySets    []keySet      // distinct key sets of the entries, as long as those are held
	commonKeys []string      // sorted keys that all entries have; nil: no entries, or not all are objects
	checksum   uint64        // of the packed entries
	present    bool          // the settings have a list, possibly empty
}

// keySet holds the sorted keys of an entry in its JSON text, or nil if the entry is not an object.
type keySet []string

func (s keySet) equal(other keySet) bool {
	return (s == nil) == (other == nil) && slices.Equal(s, other)
}

// TenantsOf returns the list as if it had been read from settings, without checks.
func TenantsOf(list []Tenant) (t Tenants) {
	for i := range list {
		t.entries.add(&list[i], 0)
	}
	t.keySets = []keySet{usualKeys}
	t.finish(len(list))
	return t
}

// MarshalJSON encodes the entries that are still held.
func (t Tenants) MarshalJSON() ([]byte, error) {
	list := []Tenant{}
	for r := range t.entries.all() {
		list = append(list, Tenant{string(r.name), r.quota, r.share})
	}
	return json.Marshal(list)
}

// UnmarshalJSON decodes and checks a list.
func (t *Tenants) UnmarshalJSON(text []byte) error {
	if *t = (Tenants{}); string(text) == "null" {
		return nil
	}
	in := newRecordingDecoder(bytes.NewReader(text))
	if begin, err := in.Token(); err != nil {
		return err
	} else if begin != json.Delim('[') {
		return errors.New("tenants is not a list")
	}
	invalid, err := t.read(in)
	if err = cmp.Or(err, invalid); err != nil {
		return err
	}
	if _, err := in.Token(); err != io.EOF {
		return cmp.Or(err, errors.New("tenants: unexpected data after the list"))
	}
	return nil
}

// entriesPerYield is the number of entries that are processed between calls to the scheduler, so that a reload of a
// long list delays the requests of the process by less than a millisecond.
const entriesPerYield = 256

// read decodes a list whose opening bracket has been read, and keeps it if it is valid. invalid names the first entry
// that is invalid; the list is still read to its end. err is a syntax or read error, after which nothing more can be
// read.
func (t *Tenants) read(in *recordingDecoder) (invalid, err error) {
	*t = Tenants{}
	count, last, e := 0, -1, new(tenantEntry)
	indices := map[string]int{} // of key sets, by their text
	for ; in.More(); count++ {
		if err := e.read(in); err != nil {
			return nil, err
		}
		switch {
		case invalid != nil:
		case e.invalid != nil:
			invalid = fmt.Errorf("tenants[%d]: %w", count, e.invalid)
		case e.Quota < 0:
			invalid = fmt.Errorf("tenants[%d].quota_per_s: %v is out of range", count, e.Quota)
		default:
			if last < 0 || !e.keys.equal(t.keySets[last]) {
				last = t.keySetIndex(indices, e.keys)
			}
			t.entries.add(&e.Tenant, last)
		}
		if count%entriesPerYield == entriesPerYield-1 {
			runtime.Gosched()
		}
	}
	if _, err := in.Token(); err != nil {
		return nil, err
	}
	if invalid != nil {
		*t = Tenants{}
		return invalid, nil
	}
	t.finish(count)
	return nil, nil
}

// keySetIndex returns the index of a key set in keySets, and adds it if it is new.
func (t *Tenants) keySetIndex(indices map[string]int, s keySet) int {
	name := fmt.Sprintf("%t%q", s == nil, []string(s))
	n, ok := indices[name]
	if !ok {
		n = len(t.keySets)
		indices[name], t.keySets = n, append(t.keySets, s)
	}
	return n
}

// finish sets the fields that describe the list as a whole.
func (t *Tenants) finish(count int) {
	sum := xxhash.New()
	for _, b := range t.entries {
		sum.Write(b)
	}
	t.count, t.checksum, t.present = count, sum.Sum64(), true
	if count == 0 {
		return
	}
	t.commonKeys = slices.Clone(t.keySets[0])
	for _, s := range t.keySets {
		if s == nil {
			t.commonKeys = nil
			return
		}
		t.commonKeys = slices.DeleteFunc(t.commonKeys, func(k string) bool { return !slices.Contains(s, k) })
	}
}

// Len returns the number of entries.
func (t *Tenants) Len() int { return t.count }

// Differ reports whether the lists have different entries.
func (t *Tenants) Differ(other *Tenants) bool {
	return t.present != other.present || t.checksum != other.checksum || t.count != other.count
}

// Into moves the entries of the list to a table and releases them. It deletes the entries that an earlier list put
// there and that this one lacks. Entries with a revision come from another source and are left unchanged. listID must
// differ from list to list.
func (t *Tenants) Into(table *tenants.Table, listID uint32) {
	t.IntoBeside(table, listID, func(string, tenants.Terms) {})
}

// IntoBeside does the same as Into, and calls onForeign with the terms that the list has for entries of other sources.
func (t *Tenants) IntoBeside(table *tenants.Table, listID uint32, onForeign func(name string, t tenants.Terms)) {
	before, visited := table.Len(), 0
	yieldRegularly := func() {
		if visited++; visited%entriesPerYield == 0 {
			runtime.Gosched()
		}
	}
	for i := range t.entries {
		block := t.entries[i : i+1]
		for r := range block.all() {
			terms := tenants.Terms{Quota: r.quota, Share: r.share}
			if revision, _, ok := table.Version(string(r.name)); ok && revision != 0 {
				onForeign(string(r.name), terms)
			} else {
				table.Put(string(r.name), terms, 0, listID)
			}
			yieldRegularly()
		}
		block[0] = nil
	}
	if t.release(); before == 0 {
		return
	}
	for name := range table.All() {
		yieldRegularly()
		if revision, sum, ok := table.Version(name); ok && revision == 0 && sum != listID {
			table.Delete(name)
		}
	}
}

// release drops the entries.
func (t *Tenants) release() { t.entries, t.keySets = nil, nil }

// missingKey returns the path of the first of the keys that an entry lacks, or "". With nil keys there is nothing to
// check.
func (t *Tenants) missingKey(parent string, keys []string) string {
	if keys == nil {
		return ""
	}
	missing := make([]string, len(t.keySets)) // by key set: what follows the index in the path; "": nothing is missing
	for i, s := range t.keySets {
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
		if m := missing[r.keySetIndex]; m != "" {
			return fmt.Sprintf("%s[%d%s", parent, i, m)
		}
		i++
	}
	return ""
}

// tenantEntry is the decoder state for one entry. It is reused for all entries of a list.
type tenantEntry struct {
	Tenant
	keys    keySet
	invalid error // why the entry is not a tenant
}

// usualKeys is the key set of nearly all entries.
var usualKeys = keySet{"name", "quota_per_s", "share"}

// unsetTenant has values that JSON cannot produce, to detect fields that were not set: decoded strings are valid UTF-8,
// and numbers are never NaN.
var unsetTenant = Tenant{"\xff", math.NaN(), math.NaN()}

// read decodes the next entry of a list. err is a syntax or read error.
func (e *tenantEntry) read(in *recordingDecoder) error {
	begin := in.InputOffset()
	*e = tenantEntry{Tenant: unsetTenant, keys: usualKeys}
	if err := in.Decode(&e.Tenant); err != nil {
		if typeErr := (*json.UnmarshalTypeError)(nil); !errors.As(err, &typeErr) {
			return err
		}
		e.invalid = err
		return nil
	}
	text := in.textSince(begin)
	if e.hasOnlyUsualKeys(text) {
		return nil
	}
	if e.Name == unsetTenant.Name {
		e.Name = ""
	}
	if math.IsNaN(e.Quota) {
		e.Quota = 0
	}
	if math.IsNaN(e.Share) {
		e.Share = 0
	}
	var keys map[string]ignoredValue
	e.invalid = json.Unmarshal(bytes.TrimLeft(text, ", \n\t\r"), &keys)
	if e.keys = nil; keys != nil {
		e.keys = slices.AppendSeq(keySet{}, maps.Keys(keys))
		slices.Sort(e.keys)
	}
	return nil
}

// hasOnlyUsualKeys reports whether a valid entry has exactly the usual keys. If all three fields were set, a text with
// four strings contains three keys, in any case, and the name.
func (e *tenantEntry) hasOnlyUsualKeys(text []byte) bool {
	return e.Name != unsetTenant.Name && !math.IsNaN(e.Quota) && !math.IsNaN(e.Share) && !slices.Contains(usualKeys, e.Name) &&
		bytes.Count(text, []byte{'"'}) == 8 &&
		!slices.ContainsFunc(quotedUsualKeys, func(key []byte) bool { return !bytes.Contains(text, key) })
}

// quotedUsualKeys are the usual keys as they appear in the text.
var quotedUsualKeys = [][]byte{[]byte(`"name"`), []byte(`"quota_per_s"`), []byte(`"share"`)}

// ignoredValue decodes any JSON value and drops it.
type ignoredValue struct{}

func (ignoredValue) UnmarshalJSON([]byte) error { return nil }
