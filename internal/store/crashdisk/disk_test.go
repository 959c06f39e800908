package crashdisk

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// outcomes are the contents that a file may have after a crash; absent is "-".
func outcomes(d *Disk, name string) map[string]int {
	r, seen := rand.New(rand.NewPCG(1, 1)), map[string]int{}
	for range 4000 {
		b, ok := d.Image(r)[name]
		if !ok {
			b = []byte("-")
		} else if len(b) == sector && bytes.Count(b, b[:1]) == sector {
			b = b[:1]
		} else if len(b) == sector {
			b = []byte("torn")
		}
		seen[string(b)]++
	}
	return seen
}

func fill(c byte) Event {
	return Event{Kind: Write, Ino: 1, Data: bytes.Repeat([]byte{c}, sector)}
}

func TestDisk(t *testing.T) {
	begin, done, bad := Event{Kind: Begin, Ino: 1}, Event{Kind: Done, Ino: 1}, Event{Kind: Done, Ino: 1, Failed: true}
	for name, c := range map[string]struct {
		events []Event
		may    []string
	}{
		"nothing synced":              {[]Event{fill('b'), fill('c')}, []string{"a", "b", "c", "torn"}},
		"synced":                      {[]Event{fill('b'), begin, done}, []string{"b"}},
		"written during the sync":     {[]Event{fill('b'), begin, fill('c'), done}, []string{"b", "c", "torn"}},
		"a sync that never ended":     {[]Event{fill('b'), begin}, []string{"a", "b", "torn"}},
		"a sync that failed":          {[]Event{fill('b'), begin, bad, begin, done}, []string{"a", "b", "torn"}},
		"one that failed, written on": {[]Event{fill('b'), begin, bad, fill('b'), begin, done}, []string{"b"}},
		"cut":                         {[]Event{{Kind: Truncate, Ino: 1}, begin, done}, []string{""}},
		"renamed":                     {[]Event{{Kind: Rename, Name: "f", To: "g"}}, []string{"a", "-"}},
		"renamed, synced":             {[]Event{{Kind: Rename, Name: "f", To: "g"}, {Kind: BeginDir}, {Kind: DoneDir}}, []string{"-"}},
		"removed, sync failed": {[]Event{{Kind: Remove, Name: "f"}, {Kind: BeginDir}, {Kind: DoneDir, Failed: true}},
			[]string{"a", "-"}},
		"exchanged for one without a sync": {[]Event{{Kind: Create, Name: "n", Ino: 2},
			{Kind: Write, Ino: 2, Data: fill('n').Data}, {Kind: Rename, Name: "n", To: "f"}, {Kind: BeginDir}, {Kind: DoneDir}},
			[]string{"", "n", "torn"}},
	} {
		d := New(map[string][]byte{"f": bytes.Repeat([]byte("a"), sector)})
		for _, e := range c.events {
			d.Apply(e)
		}
		got := outcomes(d, "f")
		// A file whose size alone has reached the disk reads as zeros.
		delete(got, "\x00")
		for _, m := range c.may {
			if got[m] == 0 {
				t.Errorf("%s: never %q: %v", name, m, got)
			}
			delete(got, m)
		}
		if len(got) > 0 {
			t.Errorf("%s: also %v", name, got)
		}
	}
}
