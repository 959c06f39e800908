package settings

import (
	"fmt"
	"math"
	"reflect"
)

// decode copies the values of a parsed file to the settings, and returns the keys that it ignored. A value of an
// unexpected type counts as missing instead of being an error, so that a key which the router does not need never keeps
// it from starting.
func decode(s *Settings, table map[string]any) []Finding {
	var d decoder
	d.decodeTable(reflect.ValueOf(s).Elem(), table, "")
	return d.ignored
}

// decoder collects findings about the values that it ignores.
type decoder struct {
	ignored []Finding
}

// decodeTable sets the fields of a struct whose toml tags match keys of the table. prefix is the path of the table.
func (d *decoder) decodeTable(target reflect.Value, table map[string]any, prefix string) {
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("toml")
		value, found := table[name]
		if found && name != "" {
			d.decodeField(target.Field(i), value, prefix+name)
		}
	}
}

// decodeField sets a field, or records that the value has the wrong type.
func (d *decoder) decodeField(target reflect.Value, value any, key string) {
	if target.Kind() == reflect.Struct {
		if table, isTable := value.(map[string]any); isTable {
			d.decodeTable(target, table, key+".")
			return
		}
	}
	converted, fits := convert(value, target.Type())
	if !fits {
		d.ignored = append(d.ignored, Finding{Key: key, Problem: fmt.Sprintf("%v is not %s; ignored", value, typeName(target.Kind()))})
		return
	}
	target.Set(converted)
}

// convert converts a decoded TOML value to the given type and reports whether that is possible.
func convert(value any, to reflect.Type) (reflect.Value, bool) {
	switch to.Kind() {
	case reflect.Int, reflect.Float64:
		return convertNumber(value, to)
	case reflect.Slice:
		return convertList(value, to)
	case reflect.Map:
		return convertMap(value, to)
	default:
		given := reflect.ValueOf(value)
		return given, given.IsValid() && given.Type() == to
	}
}

// convertNumber converts integers and floats to either kind. A float is rounded if an integer is expected.
func convertNumber(value any, to reflect.Type) (reflect.Value, bool) {
	var number float64
	switch given := value.(type) {
	case int64:
		number = float64(given)
	case float64:
		number = given
	default:
		return reflect.Value{}, false
	}
	if math.IsNaN(number) || math.Abs(number) > math.MaxInt32 && to.Kind() == reflect.Int || math.IsInf(number, 0) {
		return reflect.Value{}, false
	}
	if to.Kind() == reflect.Int {
		number = math.Round(number)
	}
	return reflect.ValueOf(number).Convert(to), true
}

// convertList converts a list. It fails if one of the items cannot be converted.
func convertList(value any, to reflect.Type) (reflect.Value, bool) {
	items, isList := value.([]any)
	if !isList {
		return reflect.Value{}, false
	}
	list := reflect.MakeSlice(to, len(items), len(items))
	for i, item := range items {
		converted, fits := convert(item, to.Elem())
		if !fits {
			return reflect.Value{}, false
		}
		list.Index(i).Set(converted)
	}
	return list, true
}

// convertMap converts a table. It fails if one of the values cannot be converted.
func convertMap(value any, to reflect.Type) (reflect.Value, bool) {
	table, isTable := value.(map[string]any)
	if !isTable {
		return reflect.Value{}, false
	}
	converted := reflect.MakeMapWithSize(to, len(table))
	for key, item := range table {
		element, fits := convert(item, to.Elem())
		if !fits {
			return reflect.Value{}, false
		}
		converted.SetMapIndex(reflect.ValueOf(key), element)
	}
	return converted, true
}

// typeName returns the name of a kind for messages.
func typeName(kind reflect.Kind) string {
	names := map[reflect.Kind]string{
		reflect.Int:     "a number",
		reflect.Float64: "a number",
		reflect.String:  "a string",
		reflect.Bool:    "true or false",
		reflect.Slice:   "a list of items of the expected type",
	}
	if name, found := names[kind]; found {
		return name
	}
	return "a table with values of the expected type"
}
