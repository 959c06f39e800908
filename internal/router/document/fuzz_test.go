package document

import (
	"testing"

	"pewterrudder/internal/router/resultcode"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleConfiguration))
	f.Add([]byte(smallConfiguration()))
	f.Add([]byte(`{"generation":1.0,"routes":null,"limits":{},"x":"\"\\","y":[{"a":"]"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		configuration, err := Parse(body)
		if err != nil {
			requireCode(t, err)
			return
		}
		encoded, err := configuration.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(encoded); err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
	})
}

func FuzzParsePatch(f *testing.F) {
	f.Add([]byte(`{"generation":9,"upsert":{"routes":[],"limits":{"x":1}},"remove":{"routes":["r-2"],"regions":["north"]}}`))
	f.Add([]byte(`{"generation":9,"upsert":{"regions":[{"name":"south"}]},"limits":{"max_body_bytes":1}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		base, err := Parse([]byte(exampleConfiguration))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := applyPatch(base, body); err != nil {
			requireCode(t, err)
		}
	})
}

func requireCode(t *testing.T, err error) {
	t.Helper()
	if _, found := resultcode.FromError(err); !found {
		t.Fatalf("no result code: %v", err)
	}
}
