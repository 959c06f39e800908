package document

import (
	"encoding/json"
	"fmt"

	"pgregory.net/rapid"
)

// jsonObject is a generated JSON object.
type jsonObject = map[string]any

var (
	hostGenerator         = rapid.SampledFrom([]string{"a.example", "A.example", "b.example"})
	prefixGenerator       = rapid.SampledFrom([]string{"/", "/p/", "/p/q/", "/r/", "/s/", "/t/"})
	kindGenerator         = rapid.SampledFrom([]string{KindIdempotent, KindNonIdempotent, KindStreaming})
	backendGenerator      = rapid.SampledFrom([]string{"b-0", "b-1", "b-2"})
	keyGenerator          = rapid.SampledFrom([]string{"k-0", "k-1", "k-2", "k-3", "k-4", "k-5", "k-6"})
	unknownValueGenerator = rapid.SampledFrom([]any{nil, true, 1.5, "text with \" and \\ and é", []any{}, jsonObject{"x": []any{1.0, jsonObject{}}}, "{[,]}"})
)

// drawConfiguration draws a configuration that is often valid.
func drawConfiguration(t *rapid.T) jsonObject {
	configuration := jsonObject{
		"generation": float64(rapid.IntRange(1, 1000).Draw(t, "generation")),
		"routes":     drawItems(t, "r", drawRoute),
		"backends":   drawItems(t, "b", drawBackend),
	}
	if rapid.Bool().Draw(t, "with tenants") {
		configuration["tenants"] = drawItems(t, "t", drawTenant)
	}
	if rapid.Bool().Draw(t, "with limits") {
		configuration["limits"] = withUnknownFields(t, jsonObject{"max_body_bytes": float64(rapid.IntRange(0, 1<<30).Draw(t, "bytes"))})
	}
	return withUnknownFields(t, configuration)
}

// drawItems draws a list of items with distinct names.
func drawItems(t *rapid.T, namePrefix string, draw func(*rapid.T) jsonObject) []any {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 0, 3, rapid.ID[int]).Draw(t, "numbers of "+namePrefix)
	items := []any{}
	for _, number := range numbers {
		item := draw(t)
		item["name"] = fmt.Sprintf("%s-%d", namePrefix, number)
		items = append(items, item)
	}
	return items
}

func drawRoute(t *rapid.T) jsonObject {
	route := jsonObject{
		"hostname":    hostGenerator.Draw(t, "host"),
		"path_prefix": prefixGenerator.Draw(t, "prefix"),
		"kind":        kindGenerator.Draw(t, "kind"),
		"timeout_ms":  float64(rapid.IntRange(0, 20).Draw(t, "timeout")),
	}
	if rapid.Bool().Draw(t, "direct") {
		route["backend"] = backendGenerator.Draw(t, "backend")
	} else {
		route["split"] = drawSplit(t)
	}
	return withUnknownFields(t, route)
}

func drawSplit(t *rapid.T) []any {
	split := []any{}
	for range rapid.IntRange(0, 3).Draw(t, "shares") {
		split = append(split, jsonObject{
			"backend": backendGenerator.Draw(t, "backend"),
			"weight":  float64(rapid.IntRange(0, 2).Draw(t, "weight")),
		})
	}
	return split
}

func drawBackend(t *rapid.T) jsonObject {
	return withUnknownFields(t, jsonObject{"health_path": "/healthz", "max_conns": float64(rapid.IntRange(0, 200).Draw(t, "conns"))})
}

func drawTenant(t *rapid.T) jsonObject {
	keys := []any{}
	for range rapid.IntRange(0, 2).Draw(t, "keys") {
		keys = append(keys, keyGenerator.Draw(t, "key"))
	}
	return withUnknownFields(t, jsonObject{"api_keys": keys, "per_s": float64(rapid.IntRange(0, 9).Draw(t, "rate"))})
}

// withUnknownFields adds fields that the router does not know.
func withUnknownFields(t *rapid.T, object jsonObject) jsonObject {
	for index := range rapid.IntRange(0, 2).Draw(t, "unknown fields") {
		object[fmt.Sprintf("x \"%d", index)] = unknownValueGenerator.Draw(t, "unknown")
	}
	return object
}

// marshalIndented encodes an object with a randomly chosen indentation.
func marshalIndented(t *rapid.T, object jsonObject) []byte {
	indent := rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent")
	body, err := json.MarshalIndent(object, "", indent)
	if err != nil {
		t.Fatal(err)
	}
	return body
}
