package sightings

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/prefixcache"
)

var sightingGenerator = rapid.Custom(func(t *rapid.T) Sighting {
	return Sighting{
		Instance: rapid.Uint64Range(0, 5).Draw(t, "instance") << 40,
		Block:    prefixcache.Key(rapid.Uint64().Draw(t, "block")),
		Tokens:   rapid.IntRange(0, maxTokens).Draw(t, "tokens"),
	}
})

func TestMessagesSurviveEncodingAndDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(sightingGenerator, 0, 30).Draw(t, "sightings")
		messageStage := rapid.SampledFrom([]stage{
			toCollector, toZone, toMembers, recentRequest, recentResponse,
		}).Draw(t, "stage")
		body, err := encodeFrom("address", messageStage, sent)
		assert.NilError(t, err)
		m, received, err := decode(body)
		assert.NilError(t, err)
		assert.Equal(t, m.Stage, messageStage)
		assert.Equal(t, m.From, "address")
		assert.Equal(t, len(received), len(sent))
		for i := range sent {
			assert.Equal(t, received[i], sent[i])
		}
	})
}

// TestCorruptMessagesDoNotPanic decodes messages that were truncated or altered: they are either rejected or decoded.
func TestCorruptMessagesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body, err := encode(toMembers, rapid.SliceOfN(sightingGenerator, 0, 5).Draw(t, "sightings"))
		assert.NilError(t, err)
		body = body[:rapid.IntRange(0, len(body)).Draw(t, "length")]
		if len(body) > 0 {
			body[rapid.IntRange(0, len(body)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		_, received, err := decode(body)
		assert.Assert(t, err == nil || received == nil)
	})
}

func TestABlockWithAnInvalidInstancePositionIsRejected(t *testing.T) {
	m := message{Blocks: append(make([]byte, keyBytes), 0, 1)}
	_, length := m.decodeFirst(m.Blocks)
	assert.Equal(t, length, 0)
	m.Instances = []uint64{7}
	found, length := m.decodeFirst(m.Blocks)
	assert.Equal(t, length, len(m.Blocks))
	assert.Equal(t, found, Sighting{Instance: 7, Tokens: 1})
}
