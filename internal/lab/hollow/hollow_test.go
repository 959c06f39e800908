package hollow

import (
	"testing"

	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry"
)

// What the source tells is what the real decoder reads, whole and as changes, and a list of one in ten is that.
func TestTheSourcesWordsAreDiscoverys(t *testing.T) {
	l, thin := newList(900, 1, 1), newList(900, 10, 1)
	for _, want := range []struct {
		of *list
		n  int
	}{{l, 900}, {thin, 90}} {
		got, err := registry.Decode(want.of.whole, started)
		if err != nil || len(got.Members) != want.n || !got.Complete || got.Revision != 1 {
			t.Errorf("%d members of %d, complete %v, revision %d: %v", len(got.Members), want.n, got.Complete, got.Revision, err)
		}
		seen := map[string]bool{}
		for _, m := range got.Members {
			seen[m.Server] = true
		}
		if len(seen) != want.n {
			t.Errorf("%d ids of %d", len(seen), want.n)
		}
	}
	lost := l.inZone(2)
	l.turn(lost, true)
	texts, now := l.after(1)
	if len(texts) != 1 || now != 2 {
		t.Fatalf("%d texts up to %d", len(texts), now)
	}
	got, err := registry.Decode(texts[0], started)
	if err != nil || got.Complete || len(got.Members) != 100 || len(lost) != 100 {
		t.Errorf("%d of %d entries: %v", len(got.Members), len(lost), err)
	}
	if whole, _ := registry.Decode(l.whole, started); len(whole.Members) != 800 {
		t.Errorf("%d stay", len(whole.Members))
	}
	for range kept + 5 {
		l.turn([]int{0}, false)
	}
	if texts, now := l.after(2); len(texts) != 1 || now != l.revision || &texts[0][0] != &l.whole[0] {
		t.Error("who is far behind needs the whole list")
	}
}

func TestTheCostOfAListHasItsParts(t *testing.T) {
	c, err := Measure(t.TempDir(), 500, 1)
	if err != nil {
		t.Fatal(err)
	}
	if c.DecodedBytes <= 0 || c.HeldBytes <= 0 || c.DecodeMs <= 0 || c.TakeMs <= 0 || c.ChangeUs <= 0 || c.WireBytes < 500*100 {
		t.Errorf("%+v", c)
	}
}

// With pools each app node belongs to one of them, by its kind.
func TestPoolsDivideTheList(t *testing.T) {
	folder := t.TempDir()
	if err := divide(folder, 20); err != nil {
		t.Fatal(err)
	}
	cfg, err := configure(folder, 0, 3, nowhere)
	if err != nil {
		t.Fatal(err)
	}
	red, err := state(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &replica{red: red}
	b.alone()
	l, err := registry.Decode(newList(900, 1, 20).whole, started)
	if err != nil {
		t.Fatal(err)
	}
	b.take(reducer.Started{Discovery: nowhere, Known: l})
	names, members, _ := red.Pools()
	for i, n := range members {
		if n != 45 {
			t.Errorf("%s has %d members", names[i], n)
		}
	}
	if len(names) != 20 {
		t.Errorf("%d pools", len(names))
	}
}
