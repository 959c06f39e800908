package sightings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/prefixcache"
)

// benchmarkSightings returns the sightings of a busy interval: many blocks at a few dozen instances.
func benchmarkSightings(count int) []Sighting {
	var all []Sighting
	for i := range count {
		block := prefixcache.KeyOf(1, uint64(i))
		all = append(all, Sighting{Instance: uint64(i%40) << 32, Block: block, Tokens: 100 + i%8000})
	}
	return all
}

// BenchmarkMessage encodes and decodes a message and reports bytes and time per sighting.
func BenchmarkMessage(b *testing.B) {
	all := benchmarkSightings(200)
	size := 0
	for b.Loop() {
		body, err := encode(toMembers, all)
		assert.NilError(b, err)
		size = len(body)
		_, _, err = decode(body)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(size)/float64(len(all)), "bytes/sighting")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(all)), "ns/sighting")
}

// BenchmarkKeeper adds a batch of sightings in each interval.
func BenchmarkStore(b *testing.B) {
	k := NewStore(time.Second)
	all := benchmarkSightings(200)
	now := time.Unix(1000, 0)
	for b.Loop() {
		now = now.Add(flushInterval)
		k.Add(now, all)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(all)), "ns/sighting")
}
