package catalog

import (
	"fmt"
	"strings"
	"testing"

	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

func told(c *Catalog, revision int64, key, value string) Changes {
	return c.Apply(false, revision, []Record{{Key: key, Value: []byte(value), Revision: revision, Deleted: value == ""}})
}

func fresh(t *testing.T) *Catalog {
	c := New(classes, new(tenants.Table))
	if _, err := c.Files([]config.Pool{{Name: "all"}}, nil); err != nil {
		t.Fatal(err)
	}
	return c
}

// A flaw is named with its key, its revision and what is wrong, and the store's last good value serves on.
func TestAFlawIsNamed(t *testing.T) {
	c := fresh(t)
	told(c, 4, "routes/a", `{"path":"/a","pool":"all"}`)
	if ch := told(c, 5, "routes/a", `{"path":"a","pool":"all"}`); len(ch.Said) != 1 || ch.Routed {
		t.Errorf("%+v", ch)
	}
	told(c, 6, "routes/b", `{"path":"/b","pool":"far"}`)
	told(c, 7, "routes/c", `{"path":"/a","pool":"all"}`)
	told(c, 8, "tenants/", `{}`)
	told(c, 9, "pools/x", `{"default":true}`)
	told(c, 10, "pools/y", `{"default":true}`)
	want := []string{
		`"routes/a" of revision 5 is refused: path: "a" does not begin with a slash`,
		`"tenants/" of revision 8 is refused: key: is none of routes/NAME, pools/NAME and tenants/NAME`,
		`"routes/b" waits for pool "far"`,
		`"routes/c" of revision 7 is shadowed: any host, /a, any method, any class: held by routes/a of revision 4`,
		`"pools/y" of revision 10 is no default: "pools/x" is it`,
	}
	if f := c.Flaws(); strings.Join(f.Named, "\n") != strings.Join(want, "\n") || f.Refused != 2 || f.Unresolved != 1 || f.Shadowed != 2 {
		t.Errorf("%d refused, %d unresolved, %d shadowed:\n%s", f.Refused, f.Unresolved, f.Shadowed, strings.Join(f.Named, "\n"))
	}
	if got := c.View().Match("x", "/a", "GET", "read"); got == nil || got.Key != "routes/a" || got.Revision != 4 {
		t.Errorf("%v", got)
	}
	if c.View().Fallback() != 1 { // x, which came second
		t.Errorf("the rest goes to %d", c.View().Fallback())
	}
}

// A store full of faults fills neither the log nor the memory.
func TestFlawsAreNamedUpToABound(t *testing.T) {
	c := fresh(t)
	var bad, astray []Record
	for i := range 1000 {
		bad = append(bad, Record{Key: fmt.Sprintf("tenants/%d", i), Value: []byte("{"), Revision: 5})
		astray = append(astray, Record{Key: fmt.Sprintf("routes/%d", i), Value: []byte(`{"pool":"none"}`), Revision: 5})
	}
	for _, list := range [][]Record{bad, astray} {
		if ch := c.Apply(false, 5, list); len(ch.Said) != mostSaid {
			t.Errorf("%d lines", len(ch.Said))
		}
	}
	if f := c.Flaws(); f.Refused != 1000 || f.Unresolved != 1000 || len(f.Named) != 2*mostNamed || c.Len() != 2000 {
		t.Errorf("%d refused, %d unresolved, %d named, %d held", f.Refused, f.Unresolved, len(f.Named), c.Len())
	}
}

// A route of a class that is not there yet comes into force with the class.
func TestARouteWaitsForItsClass(t *testing.T) {
	c := fresh(t)
	told(c, 4, "pools/p", `{}`)
	told(c, 5, "routes/a", `{"class":"bulk","pool":"p"}`)
	if f := c.Flaws(); f.Refused != 1 || c.View().Match("x", "/", "GET", "bulk") != nil {
		t.Errorf("%+v", f)
	}
	ch := c.Classes([]string{"read", "bulk"})
	if f := c.Flaws(); f.Refused != 0 || !ch.Routed || c.View().Match("x", "/", "GET", "bulk") == nil {
		t.Errorf("%+v %+v", f, ch)
	}
	if revision, _, ok := c.At("routes/a"); revision != 5 || !ok || c.Len() != 2 {
		t.Errorf("held at %d, %v, among %d", revision, ok, c.Len())
	}
}

// Removals are remembered against older words, but not without end.
func TestRemovalsAreForgottenAtLast(t *testing.T) {
	c := fresh(t)
	for i := range int64(3 * mostRemoved) {
		key := fmt.Sprintf("tenants/%d", i)
		told(c, 10+2*i, key, `{}`)
		told(c, 11+2*i, key, "")
	}
	if len(c.gone.at) != mostRemoved || len(c.gone.line) != mostRemoved || c.Len() != 0 {
		t.Errorf("%d and %d removals are kept, and %d keys", len(c.gone.at), len(c.gone.line), c.Len())
	}
}
