// Package sightings tells all routers to which instances the shared blocks of prompts are sent. A sighting is the
// information that one block was sent to one instance.
//
// Each router batches its own sightings for a short interval and sends them to the collector of its zone. The
// collectors exchange their batches with those of other zones, and send them down the relay tree of their own zone. So
// the number of messages that a router sends and receives per second doesn't depend on the number of routers, and a
// sighting crosses from its zone into each other zone once.
//
// Lost messages are not sent again: the cost of a missing sighting is that a block is computed once more than
// necessary.
package sightings

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/prefixcache"
)

// Sighting records that a block of a prompt was sent to an instance.
type Sighting struct {
	Instance uint64 // hash of the instance's ID
	Block    prefixcache.Key
	Tokens   int
}

// stage is the kind of a message: a step on its way through the fleet, or a request or response at the start of a
// router.
type stage uint8

// The values are part of the message format.
const (
	toCollector    stage = iota // from a router to the collector of its zone
	toZone                      // from a collector to those of other zones
	toMembers                   // from a collector down the tree of its zone
	recentRequest               // from a router that has just started, to request recent sightings
	recentResponse              // the response to recentRequest
)

// message carries sightings. Blocks holds for each sighting the block's key, the position of its instance in Instances,
// and the block's tokens; so each instance is encoded once.
type message struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Stage     stage
	From      string // address of the sender of a recentRequest
	Instances []uint64
	Blocks    []byte
}

var errMalformed = errors.New("sightings: malformed message")

// encode returns the encoded message without a sender address.
func encode(messageStage stage, sightings []Sighting) ([]byte, error) {
	return encodeFrom("", messageStage, sightings)
}

func encodeFrom(from string, messageStage stage, sightings []Sighting) ([]byte, error) {
	m := message{Stage: messageStage, From: from}
	positions := map[uint64]int{}
	for _, sighting := range sightings {
		position, known := positions[sighting.Instance]
		if !known {
			position = len(m.Instances)
			positions[sighting.Instance] = position
			m.Instances = append(m.Instances, sighting.Instance)
		}
		m.Blocks = binary.LittleEndian.AppendUint64(m.Blocks, uint64(sighting.Block))
		m.Blocks = binary.AppendUvarint(m.Blocks, uint64(position))
		m.Blocks = binary.AppendUvarint(m.Blocks, uint64(sighting.Tokens))
	}
	body, err := msgpack.Marshal(&m)
	return body, errors.Wrap(err, "sightings: encode message")
}

func decode(body []byte) (*message, []Sighting, error) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, nil, errors.Wrap(err, "sightings: decode message")
	}
	var list []Sighting
	for rest := m.Blocks; len(rest) > 0; {
		sighting, length := m.decodeFirst(rest)
		if length <= 0 {
			return nil, nil, errMalformed
		}
		list = append(list, sighting)
		rest = rest[length:]
	}
	return &m, list, nil
}

const keyBytes = 8

// maxTokens is the maximum number of tokens of a block that is accepted in a message.
const maxTokens = 1 << 30

// decodeFirst decodes the first sighting in blocks and returns its length in bytes, or 0 if it is malformed.
func (m *message) decodeFirst(blocks []byte) (Sighting, int) {
	if len(blocks) < keyBytes {
		return Sighting{}, 0
	}
	block := binary.LittleEndian.Uint64(blocks)
	position, width := binary.Uvarint(blocks[keyBytes:])
	if width <= 0 || position >= uint64(len(m.Instances)) {
		return Sighting{}, 0
	}
	tokens, tokensWidth := binary.Uvarint(blocks[keyBytes+width:])
	if tokensWidth <= 0 || tokens > maxTokens {
		return Sighting{}, 0
	}
	found := Sighting{Instance: m.Instances[position], Block: prefixcache.Key(block), Tokens: int(tokens)}
	return found, keyBytes + width + tokensWidth
}
