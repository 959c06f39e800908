package document

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/resultcode"
)

func TestParseRejects(t *testing.T) {
	cases := []struct {
		name string
		body string
		code resultcode.Code
	}{
		{"empty body", "", resultcode.ConfigurationUnreadable},
		{"truncated", exampleConfiguration[:len(exampleConfiguration)-1], resultcode.ConfigurationUnreadable},
		{"trailing bytes", exampleConfiguration + "}", resultcode.ConfigurationUnreadable},
		{"two documents", exampleConfiguration + exampleConfiguration, resultcode.ConfigurationUnreadable},
		{"a list", "[]", resultcode.ConfigurationUnreadable},
		{"null", "null", resultcode.ConfigurationUnreadable},
		{"routes of a wrong type", `{"generation":1,"routes":"x"}`, resultcode.ConfigurationUnreadable},
		{"route of a wrong type", `{"generation":1,"routes":[7]}`, resultcode.ConfigurationUnreadable},
		{"null route", `{"generation":1,"routes":[null]}`, resultcode.FieldInvalid},
		{"limits of a wrong type", smallConfiguration(`"generation":2`, `"generation":2,"limits":[]`), resultcode.ConfigurationUnreadable},
		{"timeout of a wrong type", smallConfiguration(`"timeout_ms":10`, `"timeout_ms":"10"`), resultcode.ConfigurationUnreadable},
		{"generation of a wrong type", smallConfiguration(`"generation":2`, `"generation":"2"`), resultcode.ConfigurationUnreadable},
		{"generation with a fraction", smallConfiguration(`"generation":2`, `"generation":2.5`), resultcode.ConfigurationUnreadable},
		{"huge generation", smallConfiguration(`"generation":2`, `"generation":1e300`), resultcode.ConfigurationUnreadable},
		{"no generation", `{}`, resultcode.FieldInvalid},
		{"generation 0", smallConfiguration(`"generation":2`, `"generation":0`), resultcode.GenerationNotAbove},
		{"no name", smallConfiguration(`"name":"r",`, ``), resultcode.FieldInvalid},
		{"no host", smallConfiguration(`"hostname":"h",`, ``), resultcode.FieldInvalid},
		{"prefix without trailing slash", smallConfiguration(`/p/`, `/p`), resultcode.FieldInvalid},
		{"prefix without leading slash", smallConfiguration(`/p/`, `p/`), resultcode.FieldInvalid},
		{"unknown kind", smallConfiguration(`idempotent`, `other`), resultcode.FieldInvalid},
		{"negative retries", smallConfiguration(`"timeout_ms":10`, `"timeout_ms":10,"retries":-1`), resultcode.FieldInvalid},
		{"negative weight", smallConfiguration(`"backend":"b"`, `"split":[{"backend":"b","weight":-1}]`), resultcode.FieldInvalid},
		{"timeout 0", smallConfiguration(`"timeout_ms":10`, `"timeout_ms":0`), resultcode.ZeroTimeout},
		{"timeout below 0", smallConfiguration(`"timeout_ms":10`, `"timeout_ms":-1`), resultcode.ZeroTimeout},
		{"no timeout", smallConfiguration(`"timeout_ms":10,`, ``), resultcode.ZeroTimeout},
		{"unknown service", smallConfiguration(`"backend":"b"`, `"backend":"c"`), resultcode.UnknownBackend},
		{"no service", smallConfiguration(`,"backend":"b"`, ``), resultcode.UnknownBackend},
		{"unknown service in a split", smallConfiguration(`"backend":"b"`, `"split":[{"backend":"b","weight":1},{"backend":"c","weight":0}]`), resultcode.UnknownBackend},
		{"unknown service beside a split", smallConfiguration(`"backend":"b"`, `"backend":"c","split":[{"backend":"b","weight":1}]`), resultcode.UnknownBackend},
		{"weights of 0", smallConfiguration(`"backend":"b"`, `"split":[{"backend":"b","weight":0},{"backend":"b","weight":0}]`), resultcode.ZeroWeight},
		{"two services of one name", smallConfiguration(`{"name":"b"}`, `{"name":"b"},{"name":"b"}`), resultcode.DuplicateName},
		{"two routes of one name", smallConfiguration(`"routes":[`, `"routes":[{"name":"r","hostname":"h","path_prefix":"/q/","kind":"idempotent","timeout_ms":10,"backend":"b"},`), resultcode.DuplicateName},
		{"two routes with one host and prefix", smallConfiguration(`"routes":[`, `"routes":[{"name":"r2","hostname":"H","path_prefix":"/p/","kind":"idempotent","timeout_ms":10,"backend":"b"},`), resultcode.DuplicateRoute},
		{"two tenants of one name", smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t"},{"name":"t"}]`), resultcode.DuplicateName},
		{"two tenants with one key", smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t","api_keys":["k"]},{"name":"u","api_keys":["l","k"]}]`), resultcode.SharedKey},
		{"a null key", smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t","api_keys":[null]}]`), resultcode.FieldInvalid},
		{"a key of a wrong type", smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t","api_keys":[7]}]`), resultcode.ConfigurationUnreadable},
		{"an empty key", smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t","api_keys":[""]}]`), resultcode.FieldInvalid},
		{"unknown unit", smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t","unit":"kg"}]`), resultcode.FieldInvalid},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.body))
			assertCode(t, err, test.code)
		})
	}
}

func TestParseAccepts(t *testing.T) {
	cases := map[string]string{
		"every field":               exampleConfiguration,
		"white space around":        " \n" + exampleConfiguration + "\t\r\n ",
		"few fields":                smallConfiguration(),
		"generation only":           `{"generation":1}`,
		"empty lists":               `{"generation":1,"routes":[],"backends":[],"limits":{},"tenants":[]}`,
		"null lists":                `{"generation":1,"routes":null,"backends":null,"limits":null,"tenants":null}`,
		"generation with a point":   smallConfiguration(`"generation":2`, `"generation":2.0`),
		"a weight of 0":             smallConfiguration(`"backend":"b"`, `"split":[{"backend":"b","weight":0},{"backend":"b","weight":0.5}]`),
		"empty split beside":        smallConfiguration(`"backend":"b"`, `"backend":"b","split":[]`),
		"one key twice":             smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t","api_keys":["k","k"]}]`),
		"a tenant without keys":     smallConfiguration(`"generation":2`, `"generation":2,"tenants":[{"name":"t"}]`),
		"one name in two lists":     smallConfiguration(`"name":"r"`, `"name":"b"`),
		"the same prefix elsewhere": smallConfiguration(`"routes":[`, `"routes":[{"name":"r2","hostname":"h2","path_prefix":"/p/","kind":"streaming","timeout_ms":10,"backend":"b"},`),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(body))
			assert.NilError(t, err)
		})
	}
}

func TestParseReadsEveryField(t *testing.T) {
	configuration, err := Parse([]byte(exampleConfiguration))
	assert.NilError(t, err)
	assert.Equal(t, configuration.Generation, int64(7))
	assertDeepEqual(t, withoutRaw(configuration.Routes[0]), Route{
		Name: "r-1", Hostname: "a.example", PathPrefix: "/chat/", Kind: KindStreaming, TimeoutMs: 15000, TargetMs: 150,
		Backend: "large", Retries: 2, Sticky: true, Resume: true, GapAimMs: 200,
	})
	assert.DeepEqual(t, configuration.Routes[1].Split, []Share{{"large", 90}, {"small", 10}})
	assert.Equal(t, configuration.Routes[1].TimeoutMs, 2000.0)
	assert.Equal(t, configuration.Routes[1].Public, true)
	assert.DeepEqual(t, *configuration.Backends[0].Engine, Engine{
		Slots: 16, KVCapacity: 1399180, KVTokenBytes: 18432, LinkMbps: 1100000, Stride: 39, Models: []EngineModel{{"m"}},
	})
	assert.Equal(t, configuration.Backends[0].MaxConns, Integer(190))
	assertDeepEqual(t, withoutRaw(configuration.Limits), Limits{
		MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000,
	})
	assertDeepEqual(t, withoutRaw(configuration.Tenants[0]), Tenant{
		Name: "t-1", APIKeys: []string{"key-1", "key-2"}, Priority: 1, Unit: UnitTokens, PlainTokens: 200, PerS: 891463, Burst: 891463,
	})
}

func TestCheckSuccessor(t *testing.T) {
	older, newer := &Configuration{Generation: 4}, &Configuration{Generation: 5}
	assert.NilError(t, newer.CheckSuccessor(older))
	assert.NilError(t, older.CheckSuccessor(nil))
	assertCode(t, older.CheckSuccessor(newer), resultcode.GenerationNotAbove)
	assertCode(t, older.CheckSuccessor(older), resultcode.GenerationNotAbove)
}

func TestIdentity(t *testing.T) {
	first := Identity("put", 3, []byte("body"))
	assert.Equal(t, first, Identity("put", 3, []byte("body")))
	for _, other := range [][16]byte{
		Identity("patch", 3, []byte("body")),
		Identity("put", 4, []byte("body")),
		Identity("put", 3, []byte("bodies")),
		Identity("pup", 3, []byte("body")),
	} {
		assert.Assert(t, first != other)
	}
	zeros := strings.Repeat("\x00", 8)
	assert.Assert(t, Identity("put", 0, []byte(zeros+"body")) != Identity("put"+zeros, 0, []byte("body")))
}

// assertDeepEqual compares values including their unexported fields.
func assertDeepEqual(t *testing.T, got, want any) {
	t.Helper()
	assert.Assert(t, reflect.DeepEqual(got, want), "got %+v, want %+v", got, want)
}

// withoutRaw returns a part without the JSON text that it was decoded from.
func withoutRaw[T any, P part[T]](value T) T {
	P(&value).setRaw(nil)
	return value
}

func assertCode(t *testing.T, err error, code resultcode.Code) {
	t.Helper()
	coded, found := resultcode.FromError(err)
	assert.Assert(t, found, "no result code: %v", err)
	assert.Equal(t, coded.Code, code, "%v", err)
}
