package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"pewterrudder/internal/tenants"
)

// withTenants returns currentConfig with a list of tenants in its settings.
func withTenants(list string) string {
	return strings.Replace(currentConfig, `"zone":"a",`, `"zone":"a","tenants":`+list+`,`, 1)
}

const someTenants = `[{"name":"acme","quota_per_s":5,"share":0.25},
 {"share" : 0.5, "quota_per_s":12.5e0,"name":"b\u0065ta"} , {"name":"gamma","quota_per_s":-0,"share":1,"more":{"a":[1,"]}"]}}]`

// referenceTenants decodes a list with encoding/json and checks the quotas.
func referenceTenants(text []byte) ([]Tenant, error) {
	var list []Tenant
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	for i := range list {
		if list[i].Quota < 0 {
			return nil, fmt.Errorf("%d: %v", i, list[i].Quota)
		}
	}
	return list, nil
}

// parseTenants decodes a list with Tenants.
func parseTenants(text []byte) (list []Tenant, err error) {
	var t Tenants
	if err := t.UnmarshalJSON(bytes.Trim(text, " \n\r\t")); err != nil {
		return nil, err
	}
	for r := range t.entries.all() {
		list = append(list, Tenant{string(r.name), r.quota, r.share})
	}
	if len(list) != t.Len() {
		return list, fmt.Errorf("%d entries, but Len is %d", len(list), t.Len())
	}
	return list, err
}

// corrupt replaces, removes, duplicates or inserts a random piece of a text.
func corrupt(rng *rand.Rand, text []byte) []byte {
	at := rng.IntN(len(text))
	n := min(1+rng.IntN(12), len(text)-at)
	const pieces = `{}[]",:0-x\ .eE+u"nulltrue`
	switch rng.IntN(4) {
	case 0:
		return slices.Concat(text[:at], text[at+n:])
	case 1:
		return slices.Concat(text[:at+n], text[at:])
	case 2:
		i := rng.IntN(len(pieces))
		return slices.Concat(text[:at], []byte(pieces[i:min(len(pieces), i+1+rng.IntN(2))]), text[at:])
	}
	out := slices.Clone(text)
	out[at] = pieces[rng.IntN(len(pieces))]
	return out
}

// Tenants accepts the same texts as encoding/json and decodes them to the same values, also when they are corrupted.
func TestTenantsMatchEncodingJSON(t *testing.T) {
	texts := []string{someTenants, `[]`, ` [ ] `, `null`, `[null]`, `[{}]`, `[{"name":null,"share":null}]`, `[{"NAME":"x","Quota_Per_S":3}]`,
		`[{"name":"a","name":"b"}]`, `[{"name":"a","Name":"b","name":"c"}]`, `[{"ſhare":2}]`, `[{"nam\u0065":"x"}]`, "[{\"name\":\"\xff\"}]", "[{\"name\":\"a\tb\"}]",
		`[{"share":1e400}]`, `[{"share":01}]`, `[{"share":1.}]`, `[{"share":.5}]`, `[{"share":+1}]`, `[{"share":0x1p2}]`, `[{"share":1_0}]`,
		`[{"share":-}]`, `[{"share":--1}]`, `[{"share":1.5.5}]`, `[{"share":NaN}]`, `[{"share":"1"}]`, `[{"name":5}]`, `[{"name":"x",}]`, `[{"name":"x"},]`, `[,]`, `[1]`, `["x"]`, `[[]]`,
		`{}`, `5`, `""`, `[`, `]`, `[{`, `[{"`, `[{"name"`, `[{"name":`, `[{"name":"x"`, `[{"name":"x"}`, `[{"name":"x"}] x`, `[{"name":"x"}{"name":"y"}]`, `[{"name" "x"}]`, `[{"more":tru}]`, `[{"more":[1,]}]`, `[{"more":[}]`, `[{"quota_per_s":-1}]`,
		`[{"quota_per_s":123456789012345678901234567890.000000000000000001,"share":-0.0}]`, `[{"":1}]`, `[{"name":"x"}]]`, `[{"name":"x"}}]`,
		`[{"name":"x","quota_per_s":null,"share":2}]`, `[{"name":"x","quota_per_s":1,"share":null}]`}
	rng := rand.New(rand.NewPCG(5, 5))
	for range 40_000 {
		text := []byte(texts[rng.IntN(8)])
		for range 1 + rng.IntN(3) {
			if len(text) > 0 {
				text = corrupt(rng, text)
			}
		}
		texts = append(texts, string(text))
	}
	accepted, rejected := 0, 0
	for _, text := range texts {
		if strings.TrimSpace(text) == "" {
			continue // no JSON value: UnmarshalJSON is never called with one
		}
		want, wantErr := referenceTenants([]byte(text))
		got, err := parseTenants([]byte(text))
		if (err != nil) != (wantErr != nil) || err == nil && !slices.Equal(got, want) {
			t.Fatalf("%s: %+v, %v; encoding/json: %+v, %v", text, got, err, want, wantErr)
		}
		if err == nil {
			accepted++
		} else {
			rejected++
		}
	}
	if accepted < 2_000 || rejected < 2_000 {
		t.Errorf("%d accepted, %d rejected", accepted, rejected)
	}
}

// The key sets of entries are those that encoding/json finds, also if the text is read byte by byte.
func TestTenantKeySetsMatchEncodingJSON(t *testing.T) {
	texts := []string{someTenants, `[{"name":"a","quota_per_s":1,"share":2},{"share":2,"name":"a","quota_per_s":1}]`,
		`[{"name":"share","quota_per_s":1,"SHARE":2}]`, `[{"NAME":"quota_per_s","quota_per_s":1,"share":2}]`, `[{"name":"name","Quota_per_s":1,"share":2}]`,
		`[{"Name":"a","quota_per_s":1,"share":2}]`, `[{"name":"a","quota_per_s":1,"share":null},{"name":null,"quota_per_s":1,"share":2}]`,
		`[{"name":"a","quota_per_s":1,"share":2,"":3}]`, `[{"name":"a","quota_per_s":1,"share":2,"name":"b"}]`, `[{"name":"a","quota_per_s":1,"share":2,"share":3}]`,
		`[{"name":"a","quota_per_s":1,"\u0073hare":2}]`, `[{"name":"a\"","quota_per_s":1,"share":2}]`, `[{}, null , {"share":1},null,{}]`,
		`[{"a\",\"b":1},{"a":1,"b":1},{"a\u0000b":1}]`, `[{"more":"quota_per_s","name":"a","share":1}]`}
	rng := rand.New(rand.NewPCG(3, 3))
	for range 10_000 {
		text := []byte(texts[rng.IntN(15)])
		if text = corrupt(rng, text); json.Valid(text) {
			texts = append(texts, string(text))
		}
	}
	compared := 0
	for _, text := range texts {
		if _, err := referenceTenants([]byte(text)); err != nil || text[0] != '[' {
			continue
		}
		var want []map[string]any
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			in := newRecordingDecoder(from)
			var list Tenants
			if _, err := in.Token(); err != nil {
				t.Fatal(err)
			}
			if invalid, err := list.read(in); invalid != nil || err != nil || list.Len() != len(want) {
				t.Fatalf("%s: %v, %v, %d entries of %d", text, invalid, err, list.Len(), len(want))
			}
			i := 0
			for r := range list.entries.all() {
				got := list.keySets[r.keySetIndex]
				if (got == nil) != (want[i] == nil) || !slices.Equal(got, slices.Sorted(maps.Keys(want[i]))) {
					t.Fatalf("%s: entry %d has the keys %q, want %v", text, i, got, want[i])
				}
				i++
			}
		}
		compared++
	}
	if compared < 1_000 {
		t.Errorf("only %d texts compared", compared)
	}
}

// A list longer than the read buffer is extracted from its file, with long values around it. An error in an entry is
// reported, and the rest of the list is still read.
func TestLongTenantListIsExtracted(t *testing.T) {
	var long []Tenant
	for i := range 20_000 {
		long = append(long, Tenant{strconv.Itoa(i) + strings.Repeat("x", i%70), float64(i), 1 / float64(i+1)})
	}
	list, err := json.Marshal(TenantsOf(long))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	whole := strings.Replace(withTenants(string(list)), `{"name":"n3"`, ` {"known":["`+strings.Repeat("k", 3*readBufferBytes)+`"], "name":"n3"`, 1)
	if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	text, got, extracted, invalid, err := readExtractingTenants(path)
	if err != nil || invalid != nil || !extracted || string(text) != strings.Replace(whole, string(list), "null", 1) {
		t.Fatalf("%v, %v, %d bytes of %d", err, invalid, len(text), len(whole))
	}
	if again, err := json.Marshal(got); err != nil || !bytes.Equal(again, list) {
		t.Errorf("%v, or the list differs", err)
	}
	bad := strings.Replace(strings.Replace(whole, `"quota_per_s":7,`, `"quota_per_s":-7,`, 1), `"quota_per_s":9,`, `"quota_per_s":"9",`, 1)
	if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, _, extracted, invalid, err = readExtractingTenants(path); err != nil || !extracted || len(text) > 4*readBufferBytes || invalid == nil || !strings.HasPrefix(invalid.Error(), "tenants[7].quota_per_s: -7") {
		t.Errorf("%v, %v, %d bytes", err, invalid, len(text))
	}
	if _, err := Load(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }); err == nil || !strings.Contains(err.Error(), "settings: conf: tenants[7].quota_per_s") {
		t.Errorf("a list with an invalid entry: %v", err)
	}
}

// A configuration may be read from a pipe, which can only be read once.
func TestLoadFromPipe(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	go os.WriteFile(path, []byte(withTenants(someTenants)), 0)
	c, err := Load(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] })
	if err != nil || c.Tenants.Len() != 3 {
		t.Errorf("%+v, %v", c, err)
	}
}

// referenceMissingKey is a plain implementation of missingKey on two texts that encoding/json decoded.
func referenceMissingKey(parent string, current, updated any) string {
	switch current := current.(type) {
	case map[string]any:
		updated, ok := updated.(map[string]any)
		if !ok {
			return parent
		}
		for _, key := range slices.Sorted(maps.Keys(current)) {
			v, ok := updated[key]
			if parent == "" && (key == "known" || key == "seed") {
				continue
			}
			path := strings.TrimPrefix(parent+"."+key, ".")
			if !ok {
				return path
			}
			if missing := referenceMissingKey(path, current[key], v); missing != "" {
				return missing
			}
		}
	case []any:
		list, ok := updated.([]any)
		if !ok {
			return parent
		}
		common, objects := map[string]any{}, len(current) > 0
		for i, v := range current {
			o, ok := v.(map[string]any)
			if objects = objects && ok; !objects {
				break
			}
			if i == 0 {
				for k := range o {
					common[k] = nil
				}
			}
			maps.DeleteFunc(common, func(k string, _ any) bool { _, ok := o[k]; return !ok })
		}
		for i, v := range list {
			if !objects {
				break
			}
			if missing := referenceMissingKey(parent+"["+strconv.Itoa(i)+"]", common, v); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// Reload must accept and reject the same configurations as a plain implementation, also after the tenants were moved to
// a table. It must name the same missing key, and the table must hold what was written.
func TestReloadTenantsMatchesReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	lists := []string{someTenants, `[]`, `null`, `[{"name":"acme","quota_per_s":5}]`, `[{"quota_per_s":5,"name":"x"},{"name":"acme","quota_per_s":5}]`,
		`[{"name":"acme"},{"quota_per_s":5}]`, `[null]`, `[{}]`, `[{"name":"acme","quota_per_s":5,"share":1},null]`, `5`, `{}`, `[{"NAME":"x","share":1}]`}
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	texts := []string{currentConfig, strings.Replace(withTenants(someTenants), `"zone":"a",`, `"zone":"a","Tenants":[{"name":"last"}],`, 1),
		strings.Replace(withTenants(someTenants), `"discovery":"ask",`, `"Tenants":[{"name":"last"}],"discovery":"ask",`, 1), strings.Replace(withTenants(someTenants), `"tenants"`, `"Tenants"`, 1), strings.Replace(withTenants(someTenants), `"tenants"`, `"t\u0065nants"`, 1),
		strings.Replace(withTenants(someTenants), `"zone":"a",`, `"zone":"a","tenants":[{"name":"first"}],`, 1), strings.Replace(withTenants(someTenants), `"settings":`, `"settings":{"tenants":[5]},"settings":`, 1),
		strings.Replace(currentConfig, `"settings":`, `"settings":{"tenants":[{"name":"before"}]},"settings":`, 1),
		strings.Replace(withTenants(someTenants), `"tenants":`, `"tenants":x`, 1), strings.Replace(withTenants(`[]`), `[]`, `[]x`, 1)}
	for _, list := range lists {
		texts = append(texts, withTenants(list))
	}
	bases := slices.Clone(texts)
	for range 1_500 {
		text := []byte(bases[rng.IntN(len(bases))])
		if i := strings.Index(string(text), "enants"); i > 0 && rng.IntN(3) > 0 { // in or near the list
			end := min(len(text), i+rng.IntN(220))
			i -= 3
			text = slices.Concat(text[:i], corrupt(rng, slices.Clone(text[i:end])), text[end:])
		} else {
			text = corrupt(rng, text)
		}
		texts = append(texts, string(text))
	}
	verdicts := map[string]int{}
	for i, currentText := range bases {
		write(currentText)
		c, err := Load(env)
		if err != nil {
			continue
		}
		var current any
		if err := json.Unmarshal([]byte(currentText), &current); err != nil {
			t.Fatal(err)
		}
		table := new(tenants.Table)
		c.Tenants.Into(table, 1)
		for k, text := range texts {
			if k >= len(bases) && k%len(bases) != i {
				continue
			}
			write(text)
			next, err := c.Reload(env)
			var updated any
			var outer struct{ Settings json.RawMessage }
			var plain struct{ Tenants json.RawMessage }
			var list []Tenant
			wantErr := json.Unmarshal([]byte(text), &updated)
			if wantErr == nil {
				wantErr = json.Unmarshal([]byte(text), &outer)
			}
			if wantErr == nil {
				wantErr = json.Unmarshal(outer.Settings, &plain)
			}
			if wantErr == nil && plain.Tenants != nil {
				list, wantErr = referenceTenants(plain.Tenants)
			}
			switch missing := referenceMissingKey("", current, updated); {
			case wantErr != nil:
				if err == nil {
					t.Fatalf("accepted, though %v: %s", wantErr, text)
				}
				verdicts["malformed"]++
			case err == nil && missing != "":
				t.Fatalf("accepted, though %s is missing: %s", missing, text)
			case err != nil && strings.HasSuffix(err.Error(), " is missing") && !strings.Contains(err.Error(), "settings: ") && err.Error() != missing+" is missing":
				t.Fatalf("%v, want %q: %s after %s", err, missing, text, currentText)
			case err != nil && strings.Contains(err.Error(), "tenants") && missing == "":
				t.Fatalf("%v, though nothing is missing: %s after %s", err, text, currentText)
			case err != nil:
				verdicts["rejected"]++
			default:
				verdicts["accepted"]++
				want := map[string]tenants.Terms{}
				for _, e := range list {
					want[e.Name] = tenants.Terms{Quota: e.Quota, Share: e.Share}
				}
				next.Tenants.Into(table, uint32(k+2))
				got := map[string]tenants.Terms{}
				for name, held := range table.All() {
					got[name] = held.Terms
				}
				if !maps.Equal(got, want) {
					t.Fatalf("the table has %v, want %v: %s", got, want, text)
				}
			}
		}
	}
	for _, v := range []string{"malformed", "rejected", "accepted"} {
		if verdicts[v] < 100 {
			t.Errorf("only %d are %s", verdicts[v], v)
		}
	}
}

// Into replaces the entries of the previous list and leaves entries of other sources in the table.
func TestTenantsIntoKeepsForeignEntries(t *testing.T) {
	table := new(tenants.Table)
	table.Put("theirs", tenants.Terms{Quota: 1}, 17, 3)
	table.Put("both", tenants.Terms{Quota: 2}, 18, 4)
	first := TenantsOf([]Tenant{{"own", 5, 0}, {"both", 6, 0}, {"twice", 7, 0}, {"twice", 8, 0}, {"goes", 9, 0}})
	first.Into(table, 1)
	own, _ := table.Find("own")
	second := TenantsOf([]Tenant{{"comes", 1, 0}, {"own", 50, 0.5}, {"twice", 8, 0}})
	if !first.Differ(&second) || second.Differ(&second) {
		t.Error("Differ is false for different lists, or true for the same list")
	}
	second.Into(table, 2)
	got := map[string]float64{}
	for name, held := range table.All() {
		got[name] = held.Quota
	}
	want := map[string]float64{"theirs": 1, "both": 2, "own": 50, "twice": 8, "comes": 1}
	if again, _ := table.Find("own"); !maps.Equal(got, want) || again.ID != own.ID {
		t.Errorf("%v, want %v; the ID %d became %d", got, want, own.ID, again.ID)
	}
	if revision, sum, ok := table.Version("theirs"); revision != 17 || sum != 3 || !ok {
		t.Errorf("theirs has revision %d and sum %d", revision, sum)
	}
}

// Once the entries are in a table, neither they nor their text are kept, and the keys of the list can still be compared
// with those of the next one.
func TestTenantEntriesAreReleased(t *testing.T) {
	c, reload := newReloader(t)
	next, err := reload(withTenants(someTenants))
	if err != nil || !c.Tenants.Differ(&next.Tenants) {
		t.Fatalf("%v", err)
	}
	next.Tenants.Into(new(tenants.Table), 2)
	if next.Tenants.entries != nil {
		t.Error("the entries are kept after Into")
	}
	c.Keep(next)
	if c.Tenants.entries != nil || len(c.text) > len(currentConfig)+40 || len(c.Raw) > len(currentConfig) || !reflect.DeepEqual(c.Settings.Tenants, Tenants{}) {
		t.Errorf("%d bytes of text, %d of the settings and %d blocks of tenants are still held", len(c.text), len(c.Raw), len(c.Tenants.entries))
	}
	if same, err := reload(withTenants(someTenants)); err != nil || c.Tenants.Differ(&same.Tenants) {
		t.Errorf("reload of the same list: %v", err)
	} else if c.Keep(same); c.Tenants.entries != nil {
		t.Error("Keep holds the entries of a list that is already in the table")
	}
	if _, err := reload(strings.Replace(withTenants(someTenants), `"quota_per_s":5,`, "", 1)); err == nil || !strings.Contains(err.Error(), "settings.tenants[0].quota_per_s is missing") {
		t.Errorf("%v", err)
	}
	if _, err := reload(currentConfig); err == nil || !strings.Contains(err.Error(), "settings.tenants is missing") {
		t.Errorf("%v", err)
	}
}

func BenchmarkReadTenants(b *testing.B) {
	list := make([]Tenant, 300_000)
	for i := range list {
		list[i] = Tenant{fmt.Sprintf("tenant-%09d", i), float64(i % 100), 1 / float64(i+1)}
	}
	text, err := json.Marshal(TenantsOf(list))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		var t Tenants
		if err := t.UnmarshalJSON(text); err != nil {
			b.Fatal(err)
		}
	}
}
