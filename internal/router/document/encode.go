package document

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/pkg/errors"
)

// Marshal encodes the configuration as JSON. Decoded items and limits are written as the text that they were decoded
// from, including fields that the router does not know. Items keep their order, and absent lists stay absent.
func (c *Configuration) Marshal() ([]byte, error) {
	encoded := strconv.AppendInt([]byte(`{"generation":`), c.Generation, 10)
	var err error
	if encoded, err = appendItems(encoded, fieldRoutes, c.Routes); err != nil {
		return nil, err
	}
	if encoded, err = appendItems(encoded, fieldBackends, c.Backends); err != nil {
		return nil, err
	}
	if encoded, err = appendLimits(encoded, c.Limits); err != nil {
		return nil, err
	}
	if encoded, err = appendItems(encoded, fieldTenants, c.Tenants); err != nil {
		return nil, err
	}
	for _, name := range slices.Sorted(maps.Keys(c.Unknown)) {
		encoded = append(appendName(encoded, name), c.Unknown[name]...)
	}
	return append(encoded, '}'), nil
}

// appendName appends a comma, a quoted field name and a colon.
func appendName(encoded []byte, name string) []byte {
	quoted, err := json.Marshal(name)
	if err != nil { // cannot happen: every string can be encoded
		quoted = []byte(`""`)
	}
	encoded = append(encoded, ',')
	encoded = append(encoded, quoted...)
	return append(encoded, ':')
}

// appendItems appends a list field, or nothing if the list is nil.
func appendItems[T any, P part[T]](encoded []byte, name string, items []T) ([]byte, error) {
	if items == nil {
		return encoded, nil
	}
	return encodeList[T, P](appendName(encoded, name), items)
}

func encodeList[T any, P part[T]](encoded []byte, items []T) ([]byte, error) {
	encoded = append(encoded, '[')
	for index := range items {
		if index > 0 {
			encoded = append(encoded, ',')
		}
		element, err := encodePart(P(&items[index]))
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, element...)
	}
	return append(encoded, ']'), nil
}

// appendLimits appends the limits unless they are absent.
func appendLimits(encoded []byte, limits Limits) ([]byte, error) {
	if limits.rawBytes() == nil && limits.isZero() {
		return encoded, nil
	}
	object, err := encodePart(&limits)
	if err != nil {
		return nil, err
	}
	return append(appendName(encoded, fieldLimits), object...), nil
}

func (l Limits) isZero() bool {
	return l.MaxHeaderBytes == 0 && l.MaxBodyBytes == 0 && l.HeaderTimeoutMs == 0 && l.IdleTimeoutMs == 0
}

// encodePart returns the JSON text that a part was decoded from, or encodes a part that was constructed in Go.
func encodePart[T any, P part[T]](value P) ([]byte, error) {
	if raw := value.rawBytes(); raw != nil {
		return raw, nil
	}
	encoded, err := json.Marshal(value)
	return encoded, errors.Wrap(err, "encoding a part of the configuration")
}
