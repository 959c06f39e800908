package document

import (
	"encoding/json"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// standardRoute has some of Route's fields and is decoded by encoding/json alone.
type standardRoute struct {
	Name       string  `json:"name"`
	TimeoutMs  float64 `json:"timeout_ms"`
	Priority   Integer `json:"priority"`
	Split      []Share `json:"split"`
	Public     bool    `json:"public"`
	PathPrefix string  `json:"path_prefix"`
}

var valueGenerator = rapid.SampledFrom([]string{
	`null`, `true`, `false`, `0`, `-1.5`, `2.0`, `1e3`, `1e999`, `"plain"`, `""`, `"é\n\"\\é\ud800"`, `[]`, `{}`, `[1]`, `[null]`, `[{}]`,
	` [ {"backend" : "b" , "weight" : 3 , "x" : [ "}" ] } , { "weight" : 0.5 } ] `, `[{"weight":"1"}]`, "\"\xff\"", `9223372036854775807`, `9223372036854775808`,
})

// TestFieldsMatchEncodingJSON compares readPart with encoding/json on fields of right and wrong types.
func TestFieldsMatchEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawObject(t)
		var want standardRoute
		wantErr := json.Unmarshal([]byte(text), &want)
		var route Route
		err := readPart([]byte(text), &route)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%s: got %v, want %v", text, err, wantErr)
		}
		got := standardRoute{route.Name, route.TimeoutMs, route.Priority, route.Split, route.Public, route.PathPrefix}
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: got %+v, want %+v", text, got, want)
		}
	})
}

func drawObject(t *rapid.T) string {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{
		`"name"`, `"timeout_ms"`, `"priority"`, `"split"`, `"public"`, `"pa\u0074h_prefix"`, `"unknown"`,
	}), rapid.ID[string]).Draw(t, "names")
	text := "{"
	for index, name := range names {
		if index > 0 {
			text += " ,"
		}
		text += "\n" + name + " :" + valueGenerator.Draw(t, "value")
	}
	return text + "\t}"
}

func TestFieldNamesAreCaseSensitiveAndLastOneCounts(t *testing.T) {
	var route Route
	assert.NilError(t, readPart([]byte(`{"name":"first","NAME":"other","name":"last"}`), &route))
	assert.Equal(t, route.Name, "last")
}

func TestEveryTaggedFieldIsRead(t *testing.T) {
	assertReadsEveryField(t, &Route{Split: []Share{{Backend: "b", Weight: 1}}})
	assertReadsEveryField(t, &Backend{Engine: &Engine{Slots: 1, Models: []EngineModel{{Name: "m"}}}})
	assertReadsEveryField(t, &Limits{})
	assertReadsEveryField(t, &Tenant{APIKeys: []string{"k"}})
}

// assertReadsEveryField sets all fields, encodes them with encoding/json and checks that readPart decodes each of them.
func assertReadsEveryField[T any, P part[T]](t *testing.T, filled P) {
	t.Helper()
	fields := reflect.ValueOf(filled).Elem()
	for index := range fields.NumField() {
		switch field := fields.Field(index); field.Kind() {
		case reflect.String:
			field.SetString(fields.Type().Field(index).Name)
		case reflect.Float64:
			field.SetFloat(float64(index) + 0.5)
		case reflect.Int64:
			field.SetInt(int64(index) + 1)
		case reflect.Bool:
			field.SetBool(true)
		}
	}
	encoded, err := json.Marshal(filled)
	assert.NilError(t, err)
	var got T
	assert.NilError(t, readPart([]byte(encoded), P(&got)))
	assertDeepEqual(t, got, *filled)
}
