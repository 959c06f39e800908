package document

import (
	"bytes"
	"encoding/json"

	"pewterrudder/internal/router/resultcode"
)

// Names of the top-level JSON fields.
const (
	fieldGeneration = "generation"
	fieldRoutes     = "routes"
	fieldBackends   = "backends"
	fieldLimits     = "limits"
	fieldTenants    = "tenants"
)

var jsonNull = []byte("null")

// Parse decodes and validates a whole configuration. The error is a *resultcode.Error.
func Parse(body []byte) (*Configuration, error) {
	return ParseAfter(nil, body)
}

// ParseAfter returns the same result as Parse, but is faster for a body that differs little from the previous
// configuration: items with the same bytes are copied from it instead of being decoded again. previous may be nil.
func ParseAfter(previous *Configuration, body []byte) (*Configuration, error) {
	fields, err := decodeObject(body)
	if err != nil {
		return nil, err
	}
	if previous == nil {
		previous = &Configuration{}
	}
	configuration := &Configuration{Unknown: unknownFields(fields)}
	if err := configuration.decodeKnownFields(fields, previous); err != nil {
		return nil, err
	}
	if err := configuration.checkConsistency(); err != nil {
		return nil, err
	}
	return configuration, nil
}

func (c *Configuration) decodeKnownFields(fields map[string]json.RawMessage, previous *Configuration) error {
	var err error
	if c.Generation, err = decodeGeneration(fields[fieldGeneration]); err != nil {
		return err
	}
	if c.Routes, err = decodeItems(fieldRoutes, fields[fieldRoutes], previous.Routes); err != nil {
		return err
	}
	if c.Backends, err = decodeItems(fieldBackends, fields[fieldBackends], previous.Backends); err != nil {
		return err
	}
	if c.Tenants, err = decodeItems(fieldTenants, fields[fieldTenants], previous.Tenants); err != nil {
		return err
	}
	return decodePart(fieldLimits, fields[fieldLimits], &c.Limits)
}

// decodeObject splits a body into its top-level fields. If a name occurs twice, the last field counts.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
	if !json.Valid(body) {
		return nil, resultcode.New(resultcode.ConfigurationUnreadable, "the body is not one whole JSON document")
	}
	members, err := splitObject(body)
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.ConfigurationUnreadable, "the body")
	}
	fields := make(map[string]json.RawMessage, len(members))
	for _, member := range members {
		fields[string(member.name)] = member.value
	}
	return fields, nil
}

func unknownFields(fields map[string]json.RawMessage) map[string]json.RawMessage {
	unknown := make(map[string]json.RawMessage)
	for name, value := range fields {
		switch name {
		case fieldGeneration, fieldRoutes, fieldBackends, fieldLimits, fieldTenants:
		default:
			unknown[name] = bytes.Clone(value)
		}
	}
	return unknown
}

// decodeGeneration decodes the generation of a configuration or patch, which must be at least 1.
func decodeGeneration(raw json.RawMessage) (int64, error) {
	if isAbsent(raw) {
		return 0, resultcode.New(resultcode.FieldInvalid, "generation is missing")
	}
	var generation Integer
	if err := json.Unmarshal(raw, &generation); err != nil {
		return 0, resultcode.Wrap(err, resultcode.ConfigurationUnreadable, "generation")
	}
	if generation < 1 {
		return 0, resultcode.New(resultcode.GenerationNotAbove, "generation is %d", generation)
	}
	return int64(generation), nil
}

// decodeItems decodes a list of items and validates the fields of each, except those that previous holds with the same
// bytes, which were validated before. It returns nil if the list is absent.
func decodeItems[T any, P part[T]](list string, raw json.RawMessage, previous []T) ([]T, error) {
	if isAbsent(raw) {
		return nil, nil
	}
	elements, err := splitList(raw)
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.ConfigurationUnreadable, "%s", list)
	}
	reusable := indexByRaw[T, P](previous)
	items := make([]T, len(elements))
	for index, element := range elements {
		if previousIndex, found := reusable[string(element)]; found {
			items[index] = previous[previousIndex]
			continue
		}
		if err := decodePart(list, element, P(&items[index])); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// indexByRaw returns the indexes of items by the JSON text that they were decoded from.
func indexByRaw[T any, P part[T]](items []T) map[string]int {
	indexes := make(map[string]int, len(items))
	for index := range items {
		if raw := P(&items[index]).rawBytes(); raw != nil {
			indexes[string(raw)] = index
		}
	}
	return indexes
}

// decodePart decodes one part, keeps a copy of its JSON text and validates its fields. An absent part is left
// unchanged.
func decodePart[T any, P part[T]](list string, raw json.RawMessage, into P) error {
	if len(raw) == 0 {
		return nil
	}
	if err := readPart(raw, into); err != nil {
		return resultcode.Wrap(err, resultcode.ConfigurationUnreadable, "%s", list)
	}
	into.setRaw(bytes.Clone(raw))
	return validateFields(list, into)
}

// readPart decodes the fields of one part without validating them.
func readPart[T any, P part[T]](raw json.RawMessage, into P) error {
	fields := newObjectReader(raw)
	into.read(fields)
	return fields.err
}

func isAbsent(raw json.RawMessage) bool {
	return len(raw) == 0 || bytes.Equal(raw, jsonNull)
}
