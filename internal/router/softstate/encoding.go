package softstate

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Records and summaries have their own encoders and decoders, since they make up most of what routers send each other.

const (
	recordFields  = 6 // kind, key, epoch, sequence, payload, removed
	summaryFields = 5 // kind, key, epoch, sequence, hash
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *Record) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return firstError(
		encoder.EncodeArrayLen(recordFields),
		encodeID(encoder, r.ID()),
		encodeVersion(encoder, r.Version),
		encoder.EncodeBytes(r.Payload),
		encoder.EncodeBool(r.Removed),
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Record) DecodeMsgpack(decoder *msgpack.Decoder) error {
	if err := decodeArrayLength(decoder, recordFields); err != nil {
		return err
	}
	var id ID
	var err error
	if id, err = decodeID(decoder); err != nil {
		return err
	}
	r.Kind, r.Key = id.Kind, id.Key
	if r.Version, err = decodeVersion(decoder); err != nil {
		return err
	}
	if r.Payload, err = decoder.DecodeBytes(); err != nil {
		return err
	}
	r.Removed, err = decoder.DecodeBool()
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *Summary) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return firstError(
		encoder.EncodeArrayLen(summaryFields),
		encodeID(encoder, s.ID()),
		encodeVersion(encoder, s.Version),
		encoder.EncodeUint64(s.Hash),
	)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Summary) DecodeMsgpack(decoder *msgpack.Decoder) error {
	if err := decodeArrayLength(decoder, summaryFields); err != nil {
		return err
	}
	var id ID
	var err error
	if id, err = decodeID(decoder); err != nil {
		return err
	}
	s.Kind, s.Key = id.Kind, id.Key
	if s.Version, err = decodeVersion(decoder); err != nil {
		return err
	}
	s.Hash, err = decoder.DecodeUint64()
	return err
}

func encodeID(encoder *msgpack.Encoder, id ID) error {
	return firstError(encoder.EncodeUint8(uint8(id.Kind)), encoder.EncodeString(id.Key))
}

func decodeID(decoder *msgpack.Decoder) (ID, error) {
	kind, err := decoder.DecodeUint8()
	if err != nil {
		return ID{}, err
	}
	key, err := decoder.DecodeString()
	return ID{Kind: Kind(kind), Key: key}, err
}

func encodeVersion(encoder *msgpack.Encoder, version Version) error {
	return firstError(encoder.EncodeUint(version.Epoch), encoder.EncodeUint(version.Sequence))
}

func decodeVersion(decoder *msgpack.Decoder) (Version, error) {
	epoch, err := decoder.DecodeUint64()
	if err != nil {
		return Version{}, err
	}
	sequence, err := decoder.DecodeUint64()
	return Version{Epoch: epoch, Sequence: sequence}, err
}

func decodeArrayLength(decoder *msgpack.Decoder, fields int) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length != fields {
		return errors.Errorf("array has %d fields instead of %d", length, fields)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
