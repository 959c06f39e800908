package commonprefix

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/prefixcache"
)

// Set is the set of common prefixes that the routers agreed on. It is immutable.
type Set struct {
	// Version increases by one with each change. The empty set before the first agreement has version 0.
	Version uint64 `msgpack:"v"`
	// Seed is the seed of Hash. It is drawn once for a fleet.
	Seed uint64 `msgpack:"s"`
	// Prefixes are sorted by key.
	Prefixes []Common `msgpack:"p"`
	// Places are sorted by backend and number.
	Places []Place `msgpack:"h"`
}

// Common is a common prefix.
type Common struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      Key
	Home     prefixcache.Key // the key by which instances are ranked for the prefix
	Backend  string
	Tenant   string // the tenant with the largest share
	Tokens   int
	// Share is the fraction of the backend's prompt tokens that belong to requests with the prefix, in units of
	// 1/ShareUnits.
	Share int
}

// ShareUnits is the value of Common.Share that stands for all of a backend's traffic.
const ShareUnits = 1024

// Successor returns the set with the given prefixes and places and the next version, or s itself if they are unchanged.
func (s *Set) Successor(prefixes []Common, places []Place) *Set {
	if slices.Equal(prefixes, s.Prefixes) && slices.Equal(places, s.Places) {
		return s
	}
	return &Set{Version: s.Version + 1, Seed: s.Seed, Prefixes: prefixes, Places: places}
}

// Find returns the prefix with the given key.
func (s *Set) Find(key Key) (Common, bool) {
	at, found := slices.BinarySearchFunc(s.Prefixes, key, compareKey)
	if !found {
		return Common{}, false
	}
	return s.Prefixes[at], true
}

func compareKey(common Common, key Key) int {
	switch {
	case common.Key < key:
		return -1
	case common.Key > key:
		return 1
	}
	return 0
}

// Encode serializes the set. Equal sets have equal encodings.
func (s *Set) Encode() ([]byte, error) {
	encoded, err := msgpack.Marshal(s)
	return encoded, errors.Wrap(err, "encode common prefixes")
}

// Decode parses the output of Encode. Empty input yields the empty set of version 0.
func Decode(encoded []byte) (*Set, error) {
	set := &Set{}
	if len(encoded) == 0 {
		return set, nil
	}
	if err := msgpack.Unmarshal(encoded, set); err != nil {
		return nil, errors.Wrap(err, "decode common prefixes")
	}
	slices.SortFunc(set.Prefixes, func(a, b Common) int { return compareKey(a, b.Key) })
	return set, nil
}
