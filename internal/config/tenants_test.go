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

// withTenants is the configuration in force with a list of tenants in its settings.
func withTenants(list string) string {
	return strings.Replace(inForce, `"zone":"a",`, `"zone":"a","tenants":`+list+`,`, 1)
}

const someTenants = `[{"name":"acme","quota_per_s":5,"share":0.25},
 {"share" : 0.5, "quota_per_s":12.5e0,"name":"b\u0065ta"} , {"name":"gamma","quota_per_s":-0,"share":1,"more":{"a":[1,"]}"]}}]`

// plainly is the list as encoding/json takes it, with the check that the settings had for each.
func plainly(text []byte) ([]Tenant, error) {
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

// listOf is what our reading gives.
func listOf(text []byte) (list []Tenant, err error) {
	var t Tenants
	if err := t.UnmarshalJSON(bytes.Trim(text, " \n\r\t")); err != nil {
		return nil, err
	}
	for r := range t.entries.all() {
		list = append(list, Tenant{string(r.name), r.quota, r.share})
	}
	if len(list) != t.Len() {
		return list, fmt.Errorf("%d entries, and it says %d", len(list), t.Len())
	}
	return list, err
}

// damage writes over a piece of a text, takes one out, or doubles one.
func damage(rng *rand.Rand, text []byte) []byte {
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

// What is written is read as encoding/json reads it, however it is written, and what encoding/json turns down is turned down.
func TestTenantsAreReadAsEncodingJSONReadsThem(t *testing.T) {
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
				text = damage(rng, text)
			}
		}
		texts = append(texts, string(text))
	}
	taken, down := 0, 0
	for _, text := range texts {
		if strings.TrimSpace(text) == "" {
			continue // no value at all, which nobody hands on
		}
		want, wrong := plainly([]byte(text))
		got, err := listOf([]byte(text))
		if (err != nil) != (wrong != nil) || err == nil && !slices.Equal(got, want) {
			t.Fatalf("%s: %+v, %v; encoding/json: %+v, %v", text, got, err, want, wrong)
		}
		if err == nil {
			taken++
		} else {
			down++
		}
	}
	if taken < 2_000 || down < 2_000 {
		t.Errorf("%d taken, %d turned down", taken, down)
	}
}

// The keys that an entry is told by are noted as encoding/json finds them, in whatever pieces a text comes.
func TestEntriesHaveTheKeysTheyAreToldBy(t *testing.T) {
	texts := []string{someTenants, `[{"name":"a","quota_per_s":1,"share":2},{"share":2,"name":"a","quota_per_s":1}]`,
		`[{"name":"share","quota_per_s":1,"SHARE":2}]`, `[{"NAME":"quota_per_s","quota_per_s":1,"share":2}]`, `[{"name":"name","Quota_per_s":1,"share":2}]`,
		`[{"Name":"a","quota_per_s":1,"share":2}]`, `[{"name":"a","quota_per_s":1,"share":null},{"name":null,"quota_per_s":1,"share":2}]`,
		`[{"name":"a","quota_per_s":1,"share":2,"":3}]`, `[{"name":"a","quota_per_s":1,"share":2,"name":"b"}]`, `[{"name":"a","quota_per_s":1,"share":2,"share":3}]`,
		`[{"name":"a","quota_per_s":1,"\u0073hare":2}]`, `[{"name":"a\"","quota_per_s":1,"share":2}]`, `[{}, null , {"share":1},null,{}]`,
		`[{"a\",\"b":1},{"a":1,"b":1},{"a\u0000b":1}]`, `[{"more":"quota_per_s","name":"a","share":1}]`}
	rng := rand.New(rand.NewPCG(3, 3))
	for range 10_000 {
		text := []byte(texts[rng.IntN(15)])
		if text = damage(rng, text); json.Valid(text) {
			texts = append(texts, string(text))
		}
	}
	compared := 0
	for _, text := range texts {
		if _, err := plainly([]byte(text)); err != nil || text[0] != '[' {
			continue
		}
		var want []map[string]any
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			in := newStream(from)
			var list Tenants
			if _, err := in.Token(); err != nil {
				t.Fatal(err)
			}
			if fault, err := list.read(in); fault != nil || err != nil || list.Len() != len(want) {
				t.Fatalf("%s: %v, %v, %d entries of %d", text, fault, err, list.Len(), len(want))
			}
			i := 0
			for r := range list.entries.all() {
				got := list.shapes[r.shape]
				if (got == nil) != (want[i] == nil) || !slices.Equal(got, slices.Sorted(maps.Keys(want[i]))) {
					t.Fatalf("%s: [%d] has %q, want %v", text, i, got, want[i])
				}
				i++
			}
		}
		compared++
	}
	if compared < 1_000 {
		t.Errorf("%d compared", compared)
	}
}

// A list that is longer than what is read at a time is read apart from its file, whatever lies around it, and a fault in it is
// named, though what follows is read too.
func TestALongListIsReadApart(t *testing.T) {
	var long []Tenant
	for i := range 20_000 {
		long = append(long, Tenant{strconv.Itoa(i) + strings.Repeat("x", i%70), float64(i), 1 / float64(i+1)})
	}
	list, err := json.Marshal(TenantsOf(long))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	whole := strings.Replace(withTenants(string(list)), `{"name":"n3"`, ` {"known":["`+strings.Repeat("k", 3*readBytes)+`"], "name":"n3"`, 1)
	if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	text, got, apart, fault, err := readApart(path)
	if err != nil || fault != nil || !apart || string(text) != strings.Replace(whole, string(list), "null", 1) {
		t.Fatalf("%v, %v, %d bytes of %d", err, fault, len(text), len(whole))
	}
	if again, err := json.Marshal(got); err != nil || !bytes.Equal(again, list) {
		t.Errorf("%v, or another list is read", err)
	}
	bad := strings.Replace(strings.Replace(whole, `"quota_per_s":7,`, `"quota_per_s":-7,`, 1), `"quota_per_s":9,`, `"quota_per_s":"9",`, 1)
	if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, _, apart, fault, err = readApart(path); err != nil || !apart || len(text) > 4*readBytes || fault == nil || !strings.HasPrefix(fault.Error(), "tenants[7].quota_per_s: -7") {
		t.Errorf("%v, %v, %d bytes", err, fault, len(text))
	}
	if _, err := Load(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }); err == nil || !strings.Contains(err.Error(), "settings: conf: tenants[7].quota_per_s") {
		t.Errorf("a list with a fault: %v", err)
	}
}

// A configuration may come through a pipe, which is read once.
func TestTenantsComeThroughAPipe(t *testing.T) {
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

// lacksPlainly is the comparison of keys on all that encoding/json makes of two texts, without anything of ours.
func lacksPlainly(at string, had, has any) string {
	switch had := had.(type) {
	case map[string]any:
		has, ok := has.(map[string]any)
		if !ok {
			return at
		}
		for _, key := range slices.Sorted(maps.Keys(had)) {
			v, ok := has[key]
			if at == "" && (key == "known" || key == "seed") {
				continue
			}
			path := strings.TrimPrefix(at+"."+key, ".")
			if !ok {
				return path
			}
			if missing := lacksPlainly(path, had[key], v); missing != "" {
				return missing
			}
		}
	case []any:
		list, ok := has.([]any)
		if !ok {
			return at
		}
		common, objects := map[string]any{}, len(had) > 0
		for i, v := range had {
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
			if missing := lacksPlainly(at+"["+strconv.Itoa(i)+"]", common, v); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// A configuration that is read again gets the verdict of the plain way, whatever became of its tenants: what is missing is
// named by the same key, and what is taken is what was written.
func TestReloadedTenantsGetThePlainVerdict(t *testing.T) {
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
	texts := []string{inForce, strings.Replace(withTenants(someTenants), `"zone":"a",`, `"zone":"a","Tenants":[{"name":"last"}],`, 1),
		strings.Replace(withTenants(someTenants), `"discovery":"ask",`, `"Tenants":[{"name":"last"}],"discovery":"ask",`, 1), strings.Replace(withTenants(someTenants), `"tenants"`, `"Tenants"`, 1), strings.Replace(withTenants(someTenants), `"tenants"`, `"t\u0065nants"`, 1),
		strings.Replace(withTenants(someTenants), `"zone":"a",`, `"zone":"a","tenants":[{"name":"first"}],`, 1), strings.Replace(withTenants(someTenants), `"settings":`, `"settings":{"tenants":[5]},"settings":`, 1),
		strings.Replace(inForce, `"settings":`, `"settings":{"tenants":[{"name":"before"}]},"settings":`, 1),
		strings.Replace(withTenants(someTenants), `"tenants":`, `"tenants":x`, 1), strings.Replace(withTenants(`[]`), `[]`, `[]x`, 1)}
	for _, list := range lists {
		texts = append(texts, withTenants(list))
	}
	whole := slices.Clone(texts)
	for range 1_500 {
		text := []byte(whole[rng.IntN(len(whole))])
		if i := strings.Index(string(text), "enants"); i > 0 && rng.IntN(3) > 0 { // in the list or close to it
			end := min(len(text), i+rng.IntN(220))
			i -= 3
			text = slices.Concat(text[:i], damage(rng, slices.Clone(text[i:end])), text[end:])
		} else {
			text = damage(rng, text)
		}
		texts = append(texts, string(text))
	}
	verdicts := map[string]int{}
	for i, force := range whole {
		write(force)
		c, err := Load(env)
		if err != nil {
			continue
		}
		var had any
		if err := json.Unmarshal([]byte(force), &had); err != nil {
			t.Fatal(err)
		}
		table := new(tenants.Table)
		c.Tenants.Into(table, 1)
		for k, text := range texts {
			if k >= len(whole) && k%len(whole) != i {
				continue
			}
			write(text)
			next, err := c.Reload(env)
			var has any
			var outer struct{ Settings json.RawMessage }
			var plain struct{ Tenants json.RawMessage }
			var list []Tenant
			broken := json.Unmarshal([]byte(text), &has)
			if broken == nil {
				broken = json.Unmarshal([]byte(text), &outer)
			}
			if broken == nil {
				broken = json.Unmarshal(outer.Settings, &plain)
			}
			if broken == nil && plain.Tenants != nil {
				list, broken = plainly(plain.Tenants)
			}
			switch missing := lacksPlainly("", had, has); {
			case broken != nil:
				if err == nil {
					t.Fatalf("taken, though %v: %s", broken, text)
				}
				verdicts["broken"]++
			case err == nil && missing != "":
				t.Fatalf("taken, though %s is missing: %s", missing, text)
			case err != nil && strings.HasSuffix(err.Error(), " is missing") && !strings.Contains(err.Error(), "settings: ") && err.Error() != missing+" is missing":
				t.Fatalf("%v; plainly it is %q: %s after %s", err, missing, text, force)
			case err != nil && strings.Contains(err.Error(), "tenants") && missing == "":
				t.Fatalf("%v, though nothing is missing: %s after %s", err, text, force)
			case err != nil:
				verdicts["missing"]++
			default:
				verdicts["taken"]++
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
	for _, v := range []string{"broken", "missing", "taken"} {
		if verdicts[v] < 100 {
			t.Errorf("%d are %s", verdicts[v], v)
		}
	}
}

// A list enters a table beside entries that somebody else told, and takes its own out again, not theirs.
func TestAListEntersATableBesideOthers(t *testing.T) {
	table := new(tenants.Table)
	table.Put("theirs", tenants.Terms{Quota: 1}, 17, 3)
	table.Put("both", tenants.Terms{Quota: 2}, 18, 4)
	first := TenantsOf([]Tenant{{"own", 5, 0}, {"both", 6, 0}, {"twice", 7, 0}, {"twice", 8, 0}, {"goes", 9, 0}})
	first.Into(table, 1)
	own, _ := table.Find("own")
	second := TenantsOf([]Tenant{{"comes", 1, 0}, {"own", 50, 0.5}, {"twice", 8, 0}})
	if !first.Differ(&second) || second.Differ(&second) {
		t.Error("lists that differ do not, or one that does not does")
	}
	second.Into(table, 2)
	got := map[string]float64{}
	for name, held := range table.All() {
		got[name] = held.Quota
	}
	want := map[string]float64{"theirs": 1, "both": 2, "own": 50, "twice": 8, "comes": 1}
	if again, _ := table.Find("own"); !maps.Equal(got, want) || again.ID != own.ID {
		t.Errorf("%v, want %v; the number %d became %d", got, want, own.ID, again.ID)
	}
	if revision, sum, ok := table.Version("theirs"); revision != 17 || sum != 3 || !ok {
		t.Errorf("theirs has revision %d and sum %d", revision, sum)
	}
}

// The lists of two configurations in force tell what a third must have, also once they have gone into a table; nothing of
// their text is kept.
func TestALongListIsNotKept(t *testing.T) {
	c, reload := reloading(t)
	next, err := reload(withTenants(someTenants))
	if err != nil || !c.Tenants.Differ(&next.Tenants) {
		t.Fatalf("%v", err)
	}
	next.Tenants.Into(new(tenants.Table), 2)
	if next.Tenants.entries != nil {
		t.Error("entries are kept of a list that is in a table")
	}
	c.Keep(next)
	if c.Tenants.entries != nil || len(c.text) > len(inForce)+40 || len(c.Raw) > len(inForce) || !reflect.DeepEqual(c.Settings.Tenants, Tenants{}) {
		t.Errorf("%d bytes of text, %d of the settings and %d blocks of tenants are kept", len(c.text), len(c.Raw), len(c.Tenants.entries))
	}
	if same, err := reload(withTenants(someTenants)); err != nil || c.Tenants.Differ(&same.Tenants) {
		t.Errorf("the same again: %v", err)
	} else if c.Keep(same); c.Tenants.entries != nil {
		t.Error("entries are kept of a list that was in the table already")
	}
	if _, err := reload(strings.Replace(withTenants(someTenants), `"quota_per_s":5,`, "", 1)); err == nil || !strings.Contains(err.Error(), "settings.tenants[0].quota_per_s is missing") {
		t.Errorf("%v", err)
	}
	if _, err := reload(inForce); err == nil || !strings.Contains(err.Error(), "settings.tenants is missing") {
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
