package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// keysOf returns the TOML keys of a struct type. Keys in tables are prefixed with the path of the table.
func keysOf(of reflect.Type, prefix string) []string {
	var keys []string
	for i := range of.NumField() {
		field := of.Field(i)
		name := field.Tag.Get("toml")
		switch {
		case name == "":
		case field.Type.Kind() == reflect.Struct:
			keys = append(keys, keysOf(field.Type, prefix+name+".")...)
		default:
			keys = append(keys, prefix+name)
		}
	}
	return keys
}

func TestSettingsPageListsEachKeyOnce(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "settings.md"))
	assert.NilError(t, err)
	listed := map[string]int{}
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		first := strings.Split(line, "|")[1]
		for _, key := range strings.Split(first, ",") {
			listed[strings.Trim(key, " `")]++
		}
	}
	for _, key := range keysOf(reflect.TypeFor[Settings](), "") {
		assert.Equal(t, listed[key], 1, key)
		delete(listed, key)
	}
	assert.Equal(t, len(listed), 0, "%v", listed)
}
