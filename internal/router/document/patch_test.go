package document

import (
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/resultcode"
)

func TestPatchRejects(t *testing.T) {
	cases := []struct {
		name string
		body string
		code resultcode.Code
	}{
		{"truncated", `{"generation":3`, resultcode.ConfigurationUnreadable},
		{"no generation", `{"upsert":{}}`, resultcode.FieldInvalid},
		{"upsert of a wrong type", `{"generation":3,"upsert":[]}`, resultcode.ConfigurationUnreadable},
		{"remove of a wrong type", `{"generation":3,"remove":{"routes":"r"}}`, resultcode.ConfigurationUnreadable},
		{"removal of a service in use", `{"generation":3,"remove":{"backends":["b"]}}`, resultcode.UnknownBackend},
		{"the same item twice", `{"generation":3,"upsert":{"backends":[{"name":"c"},{"name":"c"}]}}`, resultcode.PatchContradictory},
		{"upserted and removed", `{"generation":3,"upsert":{"backends":[{"name":"c"}]},"remove":{"backends":["c"]}}`, resultcode.PatchContradictory},
		{"no name", `{"generation":3,"upsert":{"backends":[{}]}}`, resultcode.FieldInvalid},
		{"no name in an unknown list", `{"generation":3,"upsert":{"regions":[{}]}}`, resultcode.FieldInvalid},
		{"limits removed", `{"generation":3,"remove":{"limits":["max_body_bytes"]}}`, resultcode.FieldInvalid},
		{"limits of a wrong type", `{"generation":3,"upsert":{"limits":[]}}`, resultcode.ConfigurationUnreadable},
		{"a limit of a wrong type", `{"generation":3,"upsert":{"limits":{"max_body_bytes":"x"}}}`, resultcode.ConfigurationUnreadable},
		{"a negative limit", `{"generation":3,"upsert":{"limits":{"max_body_bytes":-1}}}`, resultcode.FieldInvalid},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			base, err := Parse([]byte(smallConfiguration()))
			assert.NilError(t, err)
			_, err = applyPatch(base, []byte(test.body))
			assertCode(t, err, test.code)
		})
	}
}

func TestPatchRequiresBase(t *testing.T) {
	patch, err := ParsePatch([]byte(`{"generation":3}`))
	assert.NilError(t, err)
	_, err = patch.Apply(nil)
	assertCode(t, err, resultcode.RevisionMismatch)
}

func TestPatchChangesOnlyNamedLimits(t *testing.T) {
	base, err := Parse([]byte(smallConfiguration(`"generation":2`, `"generation":2,"limits":{"max_body_bytes":5,"max_header_bytes":6,"x":7}`)))
	assert.NilError(t, err)
	for _, body := range []string{
		`{"generation":3,"upsert":{"limits":{"max_body_bytes":8,"y":9}}}`,
		`{"generation":3,"limits":{"max_body_bytes":8,"y":9}}`,
	} {
		result, err := applyPatch(base, []byte(body))
		assert.NilError(t, err)
		assert.Equal(t, result.Limits.MaxBodyBytes, Integer(8))
		assert.Equal(t, result.Limits.MaxHeaderBytes, Integer(6))
		assert.Equal(t, string(result.Limits.rawBytes()), `{"max_body_bytes":8,"max_header_bytes":6,"x":7,"y":9}`)
	}
}

func TestPatchKeepsItemOrder(t *testing.T) {
	base, err := Parse([]byte(`{"generation":2,"backends":[{"name":"a"},{"name":"b"},{"name":"c"}]}`))
	assert.NilError(t, err)
	result, err := applyPatch(base, []byte(`{"generation":3,"upsert":{"backends":[{"name":"e"},{"name":"b","tls":true},{"name":"d"}]},"remove":{"backends":["a"]}}`))
	assert.NilError(t, err)
	encoded, err := result.Marshal()
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"generation":3,"backends":[{"name":"b","tls":true},{"name":"c"},{"name":"e"},{"name":"d"}]}`)
}

func TestMarshalEncodesConstructedConfiguration(t *testing.T) {
	built := &Configuration{Generation: 4, Backends: []Backend{{Name: "b"}}, Limits: Limits{MaxBodyBytes: 9}}
	encoded, err := built.Marshal()
	assert.NilError(t, err)
	parsed, err := Parse(encoded)
	assert.NilError(t, err)
	assertDeepEqual(t, withoutRaw(parsed.Backends[0]), built.Backends[0])
	assertDeepEqual(t, withoutRaw(parsed.Limits), built.Limits)
}
