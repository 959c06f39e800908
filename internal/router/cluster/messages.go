package cluster

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/softstate"
	"pewterrudder/internal/router/transport"
)

// Message kinds. Those up to LastTransportKind are reserved for this package.
const (
	kindHeartbeat transport.Kind = iota + 1
	kindRelay
	kindDigest
	kindPull
	kindPush
	kindPing
	kindPingOther
	kindConfirm

	// LastTransportKind is the highest message kind that is reserved for this package.
	LastTransportKind transport.Kind = 15
)

// heartbeat shows that its sender is alive and carries the hash of the sender's table.
type heartbeat struct {
	Node        string
	Address     string
	Incarnation uint64
	TableHash   uint64
	// Settled means that the table has not changed recently, so a differing hash is not due to records that are still
	// being relayed.
	Settled bool
}

const heartbeatFields = 5

// EncodeMsgpack implements msgpack.CustomEncoder without reflection, since most messages of an idle fleet are
// heartbeats.
func (h *heartbeat) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(heartbeatFields); err != nil {
		return err
	}
	if err := encoder.EncodeString(h.Node); err != nil {
		return err
	}
	if err := encoder.EncodeString(h.Address); err != nil {
		return err
	}
	if err := encoder.EncodeUint64(h.Incarnation); err != nil {
		return err
	}
	if err := encoder.EncodeUint64(h.TableHash); err != nil {
		return err
	}
	return encoder.EncodeBool(h.Settled)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (h *heartbeat) DecodeMsgpack(decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length != heartbeatFields {
		return errors.Errorf("heartbeat has %d fields instead of %d", length, heartbeatFields)
	}
	if h.Node, err = decoder.DecodeString(); err != nil {
		return err
	}
	if h.Address, err = decoder.DecodeString(); err != nil {
		return err
	}
	if h.Incarnation, err = decoder.DecodeUint64(); err != nil {
		return err
	}
	if h.TableHash, err = decoder.DecodeUint64(); err != nil {
		return err
	}
	h.Settled, err = decoder.DecodeBool()
	return err
}

// group holds the records that are relayed along the tree of one origin.
type group struct {
	_msgpack struct{} `msgpack:",as_array"`
	Origin   string
	// Repair means that the origin received the records in an exchange, so most other routers may hold them already.
	// Records that their publisher relays are in a group of their own, which is relayed even where a repair has
	// delivered them before.
	Repair  bool
	Records []softstate.Record
	// Announced lists large records without their payloads. A router that lacks one exchanges tables with the sender.
	Announced []softstate.Summary
}

// relayMessage carries records from a parent to a child of one or more relay trees.
type relayMessage struct {
	_msgpack struct{} `msgpack:",as_array"`
	Sender   string   // transport address
	Groups   []group
}

// digestRequest asks which buckets of the tables may differ. It includes the sender's heartbeat.
type digestRequest struct {
	_msgpack struct{} `msgpack:",as_array"`
	Sender   heartbeat
	Kinds    []softstate.KindHash
}

type digestAnswer struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation uint64
	Differing   []softstate.KindBuckets
}

// pullRequest lists the versions that the sender holds in some or all buckets, and asks for the records that are newer
// at the receiver.
type pullRequest struct {
	_msgpack  struct{} `msgpack:",as_array"`
	All       bool
	Fresh     bool // include large records that the relay tree may still be delivering
	Buckets   []softstate.BucketID
	Summaries []softstate.Summary
}

type pullAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Records  []softstate.Record
	Wanted   []softstate.ID
	More     bool // some records didn't fit into this answer
}

type pushMessage struct {
	_msgpack struct{} `msgpack:",as_array"`
	Records  []softstate.Record
}

// pingOther asks a member to ping the member at Address.
type pingOther struct {
	_msgpack struct{} `msgpack:",as_array"`
	Address  string
}

type pingAnswer struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation uint64
}

// encode panics on an error, since the message types above always encode.
func encode(message any) []byte {
	body, err := msgpack.Marshal(message)
	if err != nil {
		panic(errors.Wrapf(err, "encoding %T", message))
	}
	return body
}

func decode(body []byte, message any) error {
	return errors.Wrapf(msgpack.Unmarshal(body, message), "decoding %T", message)
}
