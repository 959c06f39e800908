package document

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestParseAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration := drawConfiguration(t)
		_, err := Parse(marshalIndented(t, configuration))
		if (err == nil) != modelIsValid(configuration) {
			t.Fatalf("parsed with %v, valid by the model: %v", err, modelIsValid(configuration))
		}
	})
}

func TestMarshalRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawConfiguration(t)
		parsed, err := Parse(marshalIndented(t, input))
		if err != nil {
			t.Skip("not valid")
		}
		assertMarshalsTo(t, parsed, input)
	})
}

func TestParseAfterEqualsParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous, err := Parse(marshalIndented(t, drawConfiguration(t)))
		if err != nil {
			t.Skip("not valid")
		}
		next := drawConfiguration(t)
		reuseBackends(t, previous, next)
		body := marshalIndented(t, next)
		fresh, freshErr := Parse(body)
		reused, reusedErr := ParseAfter(previous, body)
		if !reflect.DeepEqual(fresh, reused) || (freshErr == nil) != (reusedErr == nil) {
			t.Fatalf("fresh %+v %v\nreused %+v %v", fresh, freshErr, reused, reusedErr)
		}
	})
}

// reuseBackends randomly replaces the services of the next configuration with those of the previous one, byte for byte.
func reuseBackends(t *rapid.T, previous *Configuration, next jsonObject) {
	if !rapid.Bool().Draw(t, "keep services") {
		return
	}
	kept := []any{}
	for index := range previous.Backends {
		kept = append(kept, json.RawMessage(previous.Backends[index].raw))
	}
	next["backends"] = kept
}

func TestPatchAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawConfiguration(t)
		if rapid.Bool().Draw(t, "with regions") {
			input["regions"] = drawItems(t, "g", drawBackend)
		}
		base, err := Parse(marshalIndented(t, input))
		if err != nil {
			t.Skip("not valid")
		}
		change := drawPatch(t)
		expected := modelPatch(input, change)
		result, err := applyPatch(base, marshalIndented(t, change))
		if (err == nil) != (modelIsValid(expected) && modelTimeoutsValid(change)) {
			t.Fatalf("patched with %v, valid by the model: %v", err, modelIsValid(expected))
		}
		if err == nil {
			assertMarshalsTo(t, result, expected)
		}
		assertMarshalsTo(t, base, input)
	})
}

func applyPatch(base *Configuration, body []byte) (*Configuration, error) {
	patch, err := ParsePatch(body)
	if err != nil {
		return nil, err
	}
	return patch.Apply(base)
}

// drawPatch draws a patch that names no item twice.
func drawPatch(t *rapid.T) jsonObject {
	upsert, remove := jsonObject{}, jsonObject{}
	drawFuncs := map[string]func(*rapid.T) jsonObject{"routes": drawRoute, "backends": drawBackend, "tenants": drawTenant, "regions": drawBackend}
	namePrefixes := map[string]string{"routes": "r", "backends": "b", "tenants": "t", "regions": "g"}
	for _, list := range []string{"routes", "backends", "tenants", "regions"} {
		if !rapid.Bool().Draw(t, "change "+list) {
			continue
		}
		items := drawItems(t, namePrefixes[list], drawFuncs[list])
		upsert[list] = items
		remove[list] = drawRemovals(t, namePrefixes[list], items)
	}
	patch := jsonObject{"generation": 2000.0}
	if rapid.Bool().Draw(t, "with upsert") {
		patch["upsert"] = upsert
	}
	if rapid.Bool().Draw(t, "with remove") {
		patch["remove"] = remove
	}
	return patch
}

func drawRemovals(t *rapid.T, namePrefix string, upserts []any) []any {
	names := []any{}
	for _, name := range []string{namePrefix + "-0", namePrefix + "-1", namePrefix + "-2", "nobody"} {
		replaced := false
		for _, item := range upserts {
			replaced = replaced || item.(jsonObject)["name"] == name
		}
		if !replaced && rapid.Bool().Draw(t, "remove "+name) {
			names = append(names, name)
		}
	}
	return names
}

// modelTimeoutsValid reports whether all routes of a patch have positive timeouts. A patch without them is rejected
// whatever its base is.
func modelTimeoutsValid(patch jsonObject) bool {
	upsert, _ := patch["upsert"].(jsonObject)
	for _, route := range objectList(upsert, "routes") {
		if route["timeout_ms"].(float64) <= 0 {
			return false
		}
	}
	return true
}

// assertMarshalsTo compares a configuration's JSON with an object, and checks that parsing it again gives an equal
// configuration.
func assertMarshalsTo(t *rapid.T, configuration *Configuration, expected jsonObject) {
	encoded, err := configuration.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	var got jsonObject
	if err := json.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, expected) {
		t.Fatalf("got  %v\nwant %v", got, expected)
	}
	again, err := Parse(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(again, configuration) {
		t.Fatalf("got  %+v\nwant %+v", again, configuration)
	}
}
