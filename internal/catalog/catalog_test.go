package catalog

import (
	"fmt"
	"strings"
	"testing"

	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

// applyOne applies one record as a change; an empty value means a deletion.
func applyOne(c *Catalog, revision int64, key, value string) Changes {
	return c.Apply(false, revision, []Record{{Key: key, Value: []byte(value), Revision: revision, Deleted: value == ""}})
}

// newTestCatalog returns a catalog with the pool "all" from the files.
func newTestCatalog(t *testing.T) *Catalog {
	c := New(classes, new(tenants.Table))
	if _, err := c.ApplyFiles([]config.Pool{{Name: "all"}}, nil); err != nil {
		t.Fatal(err)
	}
	return c
}

// A flaw names the key, the revision and the reason, and the last valid value from the store stays in force.
func TestFlawsNameKeyAndRevision(t *testing.T) {
	c := newTestCatalog(t)
	applyOne(c, 4, "routes/a", `{"path":"/a","pool":"all"}`)
	if ch := applyOne(c, 5, "routes/a", `{"path":"a","pool":"all"}`); len(ch.LogLines) != 1 || ch.ViewChanged {
		t.Errorf("%+v", ch)
	}
	applyOne(c, 6, "routes/b", `{"path":"/b","pool":"far"}`)
	applyOne(c, 7, "routes/c", `{"path":"/a","pool":"all"}`)
	applyOne(c, 8, "tenants/", `{}`)
	applyOne(c, 9, "pools/x", `{"default":true}`)
	applyOne(c, 10, "pools/y", `{"default":true}`)
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
	if c.View().Fallback() != 1 { // x, which was added second
		t.Errorf("the fallback pool is %d, want 1", c.View().Fallback())
	}
}

// A store full of invalid entries floods neither the log nor the memory.
func TestFlawsAreBounded(t *testing.T) {
	c := newTestCatalog(t)
	var invalid, unresolved []Record
	for i := range 1000 {
		invalid = append(invalid, Record{Key: fmt.Sprintf("tenants/%d", i), Value: []byte("{"), Revision: 5})
		unresolved = append(unresolved, Record{Key: fmt.Sprintf("routes/%d", i), Value: []byte(`{"pool":"none"}`), Revision: 5})
	}
	for _, list := range [][]Record{invalid, unresolved} {
		if ch := c.Apply(false, 5, list); len(ch.LogLines) != maxLogLines {
			t.Errorf("%d log lines", len(ch.LogLines))
		}
	}
	if f := c.Flaws(); f.Refused != 1000 || f.Unresolved != 1000 || len(f.Named) != 2*maxNamedFlaws || c.Len() != 2000 {
		t.Errorf("%d refused, %d unresolved, %d named, %d held", f.Refused, f.Unresolved, len(f.Named), c.Len())
	}
}

// A route with an unknown class is refused, and comes into force when the class is added.
func TestRefusedRouteIsAcceptedWithItsClass(t *testing.T) {
	c := newTestCatalog(t)
	applyOne(c, 4, "pools/p", `{}`)
	applyOne(c, 5, "routes/a", `{"class":"bulk","pool":"p"}`)
	if f := c.Flaws(); f.Refused != 1 || c.View().Match("x", "/", "GET", "bulk") != nil {
		t.Errorf("%+v", f)
	}
	ch := c.SetClasses([]string{"read", "bulk"})
	if f := c.Flaws(); f.Refused != 0 || !ch.ViewChanged || c.View().Match("x", "/", "GET", "bulk") == nil {
		t.Errorf("%+v %+v", f, ch)
	}
	if revision, _, ok := c.Version("routes/a"); revision != 5 || !ok || c.Len() != 2 {
		t.Errorf("held at %d, %v, among %d", revision, ok, c.Len())
	}
}

// Deletions are kept to detect older records that arrive late, but only the latest maxTombstones.
func TestTombstonesAreBounded(t *testing.T) {
	c := newTestCatalog(t)
	for i := range int64(3 * maxTombstones) {
		key := fmt.Sprintf("tenants/%d", i)
		applyOne(c, 10+2*i, key, `{}`)
		applyOne(c, 11+2*i, key, "")
	}
	if len(c.tombstones.revisions) != maxTombstones || len(c.tombstones.queue) != maxTombstones || c.Len() != 0 {
		t.Errorf("%d and %d removals are kept, and %d keys", len(c.tombstones.revisions), len(c.tombstones.queue), c.Len())
	}
}
