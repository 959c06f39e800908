// Package crashdisk models what a disk may hold after a crash. A Disk replays the writes, syncs and name changes that a
// process made in one folder, in the order of the system calls, and returns images of the folder as a crash at that moment
// may leave it: unsynced data may be present, lost, torn or reordered.
//
// It is used only in tests; no program links it. The tests of internal/store record the events of real processes.
package crashdisk

import (
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
)

// Kind is the kind of an event.
type Kind uint8

const (
	Write        Kind = iota // Data was written at Off to file Ino
	Truncate                 // file Ino was set to the size Off
	SyncBegin                // a sync of file Ino began
	SyncDone                 // that sync ended; with an error if Failed is set
	Create                   // Name was created as file Ino
	Rename                   // Name was renamed to To
	Link                     // Name was also linked as To
	Remove                   // Name was removed
	DirSyncBegin             // a sync of the folder began
	DirSyncDone              // that sync ended; with an error if Failed is set
	Output                   // Text was written to standard output
)

// Event is one recorded action of a process. Files are identified by a number that this package assigns (Ino), since names
// change.
type Event struct {
	Kind     Kind
	Ino      int
	Off      int64
	Data     []byte
	Name, To string
	Failed   bool
	Text     string
}

// sectorSize is the unit, in bytes, that disks usually write atomically. Some do not, so images may hold torn sectors too
// (tear).
const sectorSize = 512

// version is the content of a sector, or the size of a file, from a time on. Times count the events applied.
type version struct {
	at   int
	data []byte
	size int64
	lost bool // a sync of it failed: the kernel then counts it as written, so later syncs do not write it
}

// file holds the cached and the durable content of a file, and the versions in between that may reach the disk.
type file struct {
	cache, disk []byte
	sectors     map[int64][]version
	sizes       []version
	syncBegan   int
}

// nameChange is a change of the folder that was made at a time.
type nameChange struct {
	at   int
	name string
	to   string
	ino  int
	kind Kind
}

// Disk simulates one folder on a disk behind a write cache.
type Disk struct {
	now            int
	files          map[int]*file
	cachedNames    map[string]int
	durableNames   map[string]int
	pendingChanges []nameChange
	dirSyncBegan   int
}

// New returns a disk that holds the given files, all synced and numbered from 1 in the order of their names.
func New(files map[string][]byte) *Disk {
	d := &Disk{files: map[int]*file{}, cachedNames: map[string]int{}, durableNames: map[string]int{}}
	for i, name := range slices.Sorted(maps.Keys(files)) {
		d.cachedNames[name], d.durableNames[name] = i+1, i+1
		d.files[i+1] = &file{cache: slices.Clone(files[name]), disk: slices.Clone(files[name]), sectors: map[int64][]version{}}
	}
	return d
}

func (d *Disk) file(ino int) *file {
	if d.files[ino] == nil {
		d.files[ino] = &file{sectors: map[int64][]version{}}
	}
	return d.files[ino]
}

// Apply replays the next event.
func (d *Disk) Apply(e Event) {
	d.now++
	switch e.Kind {
	case Write:
		f := d.file(e.Ino)
		end := e.Off + int64(len(e.Data))
		if int64(len(f.cache)) < end {
			f.cache = append(f.cache, make([]byte, end-int64(len(f.cache)))...)
			f.sizes = append(f.sizes, version{at: d.now, size: end})
		}
		copy(f.cache[e.Off:], e.Data)
		for s := e.Off / sectorSize; s*sectorSize < end; s++ {
			f.sectors[s] = append(f.sectors[s], version{at: d.now, data: f.readSector(s)})
		}
	case Truncate:
		f := d.file(e.Ino)
		old := int64(len(f.cache))
		f.cache = append(f.cache[:min(old, e.Off)], make([]byte, max(0, e.Off-old))...)
		f.sizes = append(f.sizes, version{at: d.now, size: e.Off})
		for s := e.Off / sectorSize; s*sectorSize < old; s++ {
			f.sectors[s] = append(f.sectors[s], version{at: d.now, data: f.readSector(s)})
		}
	case SyncBegin:
		d.file(e.Ino).syncBegan = d.now
	case SyncDone:
		f := d.file(e.Ino)
		for s, all := range f.sectors {
			var durable *version
			if all, durable = splitAtSync(all, f.syncBegan, e.Failed); durable != nil {
				f.writeSector(s, durable.data)
			}
			if f.sectors[s] = all; len(all) == 0 {
				delete(f.sectors, s)
			}
		}
		var durable *version
		if f.sizes, durable = splitAtSync(f.sizes, f.syncBegan, e.Failed); durable != nil {
			f.disk = resized(f.disk, durable.size)
		}
	case Create, Rename, Link, Remove:
		n := nameChange{at: d.now, name: e.Name, to: e.To, ino: e.Ino, kind: e.Kind}
		if e.Kind != Create {
			n.ino = d.cachedNames[e.Name]
		}
		n.apply(d.cachedNames)
		d.pendingChanges = append(d.pendingChanges, n)
	case DirSyncBegin:
		d.dirSyncBegan = d.now
	case DirSyncDone:
		if e.Failed {
			break // changes of a folder stay in the file system's journal, so a later successful sync covers them
		}
		for len(d.pendingChanges) > 0 && d.pendingChanges[0].at < d.dirSyncBegan {
			d.pendingChanges[0].apply(d.durableNames)
			d.pendingChanges = d.pendingChanges[1:]
		}
	}
}

func (n nameChange) apply(names map[string]int) {
	switch n.kind {
	case Create:
		names[n.name] = n.ino
	case Rename:
		delete(names, n.name)
		names[n.to] = n.ino
	case Link:
		names[n.to] = n.ino
	case Remove:
		delete(names, n.name)
	}
}

// splitAtSync applies the end of a sync that began at a time: it returns the versions that may still replace the durable
// one, and the newest version that is now durable, nil if there is none.
func splitAtSync(all []version, began int, failed bool) (open []version, durable *version) {
	for i := range all {
		if all[i].at >= began {
			continue
		}
		if failed {
			all[i].lost = true
		} else if !all[i].lost {
			durable = &all[i]
		}
	}
	if durable == nil {
		return all, nil
	}
	for _, v := range all {
		if v.at > durable.at {
			open = append(open, v)
		}
	}
	return open, durable
}

func (f *file) readSector(s int64) []byte {
	from := min(s*sectorSize, int64(len(f.cache)))
	return slices.Clone(f.cache[from:min((s+1)*sectorSize, int64(len(f.cache)))])
}

func (f *file) writeSector(s int64, data []byte) {
	if end := s*sectorSize + int64(len(data)); int64(len(f.disk)) < end {
		f.disk = resized(f.disk, end)
	}
	copy(f.disk[s*sectorSize:], data)
}

func resized(b []byte, size int64) []byte {
	if size <= int64(len(b)) {
		return b[:size:size]
	}
	return append(b[:len(b):len(b)], make([]byte, size-int64(len(b)))...)
}

// Image returns the folder as a crash at this moment may leave it, chosen by r.
func (d *Disk) Image(r *rand.Rand) map[string][]byte {
	// The share of unsynced changes that reached the disk, from none to all.
	writtenShare := []float64{0, 0.1, 0.5, 0.9, 1}[r.IntN(5)]
	tear := r.IntN(3) == 0
	names := maps.Clone(d.durableNames)
	for _, n := range d.pendingChanges {
		if r.Float64() < writtenShare {
			n.apply(names)
		}
	}
	image := map[string][]byte{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		f := d.file(names[name])
		b := slices.Clone(f.disk)
		size := int64(len(b))
		if len(f.sizes) > 0 && r.Float64() < writtenShare {
			size = f.sizes[r.IntN(len(f.sizes))].size
			b = resized(b, size)
		}
		for _, s := range slices.Sorted(maps.Keys(f.sectors)) {
			all := f.sectors[s]
			if r.Float64() >= writtenShare {
				continue
			}
			data := all[len(all)-1].data
			if r.IntN(2) == 0 { // an older write may have reached the disk without the newer ones
				data = all[r.IntN(len(all))].data
			}
			if s*sectorSize >= size {
				continue
			}
			if tear && r.IntN(8) == 0 {
				data = data[:r.IntN(len(data)+1)]
			}
			copy(b[s*sectorSize:], data)
		}
		image[name] = b
	}
	return image
}

// WriteImage writes an image into an empty folder.
func WriteImage(dir string, image map[string][]byte) error {
	for name, data := range image {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
