package document

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// objectReader decodes the fields of one JSON object into variables. A field that is absent or null leaves its variable
// unchanged. The first field of a wrong type sets err, and later reads do nothing. It decodes like encoding/json, but
// matches names exactly and takes a fraction of the time, since a configuration has thousands of fields.
type objectReader struct {
	members []member
	err     error
}

// newObjectReader returns a reader of an object, which must be valid JSON. null has no fields.
func newObjectReader(valid []byte) *objectReader {
	if isAbsent(valid) {
		return &objectReader{}
	}
	members, err := splitObject(valid)
	return &objectReader{members: members, err: err}
}

// value returns the value of a field, or nil if it is absent or null. If a name occurs twice, the last field counts.
func (o *objectReader) value(name string) json.RawMessage {
	for index := len(o.members) - 1; index >= 0; index-- {
		if string(o.members[index].name) != name {
			continue
		}
		if isAbsent(o.members[index].value) {
			return nil
		}
		return o.members[index].value
	}
	return nil
}

// readField decodes a field with the given function if the field is present.
func (o *objectReader) readField(name string, decode func(value json.RawMessage) error) {
	if o.err != nil {
		return
	}
	if value := o.value(name); value != nil {
		o.err = errors.Wrap(decode(value), name)
	}
}

func (o *objectReader) readString(name string, into *string) {
	o.readField(name, func(value json.RawMessage) (err error) {
		*into, err = decodeString(value)
		return err
	})
}

func (o *objectReader) readBool(name string, into *bool) {
	o.readField(name, func(value json.RawMessage) (err error) {
		*into, err = decodeBool(value)
		return err
	})
}

func (o *objectReader) readFloat(name string, into *float64) {
	o.readField(name, func(value json.RawMessage) (err error) {
		*into, err = strconv.ParseFloat(string(value), 64)
		return err
	})
}

func (o *objectReader) readInteger(name string, into *Integer) {
	o.readField(name, func(value json.RawMessage) error { return into.UnmarshalJSON(value) })
}

// readJSON decodes a field of any type with encoding/json.
func (o *objectReader) readJSON(name string, into any) {
	o.readField(name, func(value json.RawMessage) error { return json.Unmarshal(value, into) })
}

func (o *objectReader) readStrings(name string, into *[]string) {
	o.readField(name, func(value json.RawMessage) error {
		elements, err := splitList(value)
		if err != nil {
			return err
		}
		*into = make([]string, len(elements))
		for index, element := range elements {
			if (*into)[index], err = decodeString(element); err != nil {
				return err
			}
		}
		return nil
	})
}

func (o *objectReader) readShares(name string, into *[]Share) {
	o.readField(name, func(value json.RawMessage) error {
		elements, err := splitList(value)
		if err != nil {
			return err
		}
		*into = make([]Share, len(elements))
		for index, element := range elements {
			if err := (*into)[index].decode(element); err != nil {
				return err
			}
		}
		return nil
	})
}

func decodeBool(value json.RawMessage) (bool, error) {
	switch string(value) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.Errorf("%.40s is neither true nor false", value)
	}
}

// decodeString decodes a string. The content of a string of ASCII without escapes is used directly.
func decodeString(quoted json.RawMessage) (string, error) {
	if isUnescapedASCII(quoted) {
		return string(quoted[1 : len(quoted)-1]), nil
	}
	var text string
	err := json.Unmarshal(quoted, &text)
	return text, errors.Wrap(err, "string")
}

func isUnescapedASCII(quoted []byte) bool {
	if len(quoted) < 2 || quoted[0] != '"' {
		return false
	}
	for _, char := range quoted {
		if char == '\\' || char >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
