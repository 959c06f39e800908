package crashdisk

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// possibleContents returns the contents that a file has in 4,000 random images, with their counts. A sector of equal bytes
// is given as that byte, any other one as "torn", an absent file as "-".
func possibleContents(d *Disk, name string) map[string]int {
	r, seen := rand.New(rand.NewPCG(1, 1)), map[string]int{}
	for range 4000 {
		b, ok := d.Image(r)[name]
		if !ok {
			b = []byte("-")
		} else if len(b) == sectorSize && bytes.Count(b, b[:1]) == sectorSize {
			b = b[:1]
		} else if len(b) == sectorSize {
			b = []byte("torn")
		}
		seen[string(b)]++
	}
	return seen
}

func writeEvent(c byte) Event {
	return Event{Kind: Write, Ino: 1, Data: bytes.Repeat([]byte{c}, sectorSize)}
}

func TestDisk(t *testing.T) {
	begin, done, failed := Event{Kind: SyncBegin, Ino: 1}, Event{Kind: SyncDone, Ino: 1}, Event{Kind: SyncDone, Ino: 1, Failed: true}
	for name, c := range map[string]struct {
		events []Event
		may    []string
	}{
		"nothing synced":             {[]Event{writeEvent('b'), writeEvent('c')}, []string{"a", "b", "c", "torn"}},
		"synced":                     {[]Event{writeEvent('b'), begin, done}, []string{"b"}},
		"written during the sync":    {[]Event{writeEvent('b'), begin, writeEvent('c'), done}, []string{"b", "c", "torn"}},
		"sync not ended":             {[]Event{writeEvent('b'), begin}, []string{"a", "b", "torn"}},
		"sync failed":                {[]Event{writeEvent('b'), begin, failed, begin, done}, []string{"a", "b", "torn"}},
		"sync failed, written again": {[]Event{writeEvent('b'), begin, failed, writeEvent('b'), begin, done}, []string{"b"}},
		"truncated":                  {[]Event{{Kind: Truncate, Ino: 1}, begin, done}, []string{""}},
		"renamed":                    {[]Event{{Kind: Rename, Name: "f", To: "g"}}, []string{"a", "-"}},
		"renamed, synced":            {[]Event{{Kind: Rename, Name: "f", To: "g"}, {Kind: DirSyncBegin}, {Kind: DirSyncDone}}, []string{"-"}},
		"removed, sync failed": {[]Event{{Kind: Remove, Name: "f"}, {Kind: DirSyncBegin}, {Kind: DirSyncDone, Failed: true}},
			[]string{"a", "-"}},
		"replaced by an unsynced file": {[]Event{{Kind: Create, Name: "n", Ino: 2},
			{Kind: Write, Ino: 2, Data: writeEvent('n').Data}, {Kind: Rename, Name: "n", To: "f"}, {Kind: DirSyncBegin}, {Kind: DirSyncDone}},
			[]string{"", "n", "torn"}},
	} {
		d := New(map[string][]byte{"f": bytes.Repeat([]byte("a"), sectorSize)})
		for _, e := range c.events {
			d.Apply(e)
		}
		got := possibleContents(d, "f")
		// A file of which only the size has reached the disk reads as zeros.
		delete(got, "\x00")
		for _, m := range c.may {
			if got[m] == 0 {
				t.Errorf("%s: %q is missing from the outcomes %v", name, m, got)
			}
			delete(got, m)
		}
		if len(got) > 0 {
			t.Errorf("%s: unexpected outcomes %v", name, got)
		}
	}
}
