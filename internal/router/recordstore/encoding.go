package recordstore

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/softstate"
)

// savedRecord is a record on the disk. It is encoded as an array: the order of its fields is part of the format.
type savedRecord struct {
	_msgpack struct{} `msgpack:",as_array"`
	Record   softstate.Record
	// AgeMs is how long the record had been kept when it was saved, in milliseconds.
	AgeMs int64
}

func (r savedRecord) age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

func encode(records []savedRecord) ([]byte, error) {
	content, err := msgpack.Marshal(records)
	return content, errors.Wrap(err, "recordstore: encode")
}

// decode returns the records of a file's content. An empty content holds none.
func decode(content []byte) ([]savedRecord, error) {
	if len(content) == 0 {
		return nil, nil
	}
	var records []savedRecord
	err := msgpack.Unmarshal(content, &records)
	return records, errors.Wrap(err, "recordstore: decode")
}
