// Package simdisk is a simulated disk for tests, with the durability guarantees of a real one. After a loss of power, a
// file has the content of its last sync; later writes are present, missing or torn. A new file is durable once it was
// synced itself. Renames and removals are durable once the directory was synced, and until then each is retained or
// lost independently.
package simdisk

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/disk"
)

// sectorSize is the unit, in bytes, in which a write is torn.
const sectorSize = 512

// Errors of the simulated disk.
var (
	ErrNoPower  = errors.New("simdisk: no power")
	ErrFull     = errors.New("simdisk: no space left")
	ErrNotExist = errors.New("simdisk: no such file")
)

// Operation is the kind of an operation on the disk.
type Operation string

// The operations.
const (
	Create        Operation = "create"
	Write         Operation = "write"
	Sync          Operation = "sync"
	Rename        Operation = "rename"
	Remove        Operation = "remove"
	SyncDirectory Operation = "sync directory"
	Read          Operation = "read"
)

// Disk is a simulated directory. It implements disk.FileSystem.
type Disk struct {
	mutex      sync.Mutex
	hook       func(operation Operation, name string) error
	capacity   int               // unlimited if zero
	names      map[string]*inode // as seen by the running system
	durable    map[string]*inode // as of the last sync of the directory
	changes    []change          // not yet durable
	noPower    bool
	powerCycle int // incremented by CutPower and PowerOn; files opened before the last increment return ErrNoPower
}

// inode holds the content of a file.
type inode struct {
	content []byte
	synced  []byte
	writes  []write // since the last sync
}

// write is an unsynced write. A nil content truncates the file.
type write struct {
	offset  int
	content []byte
}

// change is an unsynced creation, rename or removal.
type change struct {
	operation Operation
	from, to  string
	node      *inode
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: make(map[string]*inode), durable: make(map[string]*inode)}
}

// SetHook sets a hook that is called before each operation; nil removes it. If the hook returns an error, the operation
// returns it and has no effect. The hook may block, to simulate a hanging disk, or cut the power.
func (simulated *Disk) SetHook(hook func(operation Operation, name string) error) {
	simulated.mutex.Lock()
	defer simulated.mutex.Unlock()
	simulated.hook = hook
}

// SetCapacity sets the capacity in bytes. Zero means no limit.
func (simulated *Disk) SetCapacity(capacity int) {
	simulated.mutex.Lock()
	defer simulated.mutex.Unlock()
	simulated.capacity = capacity
}

// CutPower makes every operation fail with ErrNoPower until PowerOn is called.
func (simulated *Disk) CutPower() {
	simulated.mutex.Lock()
	defer simulated.mutex.Unlock()
	simulated.noPower = true
	simulated.powerCycle++
}

// PowerOn decides at random which unsynced changes survived the loss of power, and allows operations again.
func (simulated *Disk) PowerOn(random *rand.Rand) {
	simulated.mutex.Lock()
	defer simulated.mutex.Unlock()
	keep := drawRetention(random)
	for _, pending := range simulated.changes {
		if keep() {
			pending.apply(simulated.durable)
		}
	}
	simulated.changes = nil
	processed := make(map[*inode]bool)
	for _, node := range simulated.durable {
		if !processed[node] {
			node.loseUnsynced(random, keep)
			processed[node] = true
		}
	}
	simulated.names = maps.Clone(simulated.durable)
	simulated.noPower = false
	simulated.powerCycle++
}

// drawRetention returns a function that decides whether an unsynced change survives: none does, all do, or each is
// decided at random.
func drawRetention(random *rand.Rand) func() bool {
	switch random.IntN(4) {
	case 0:
		return func() bool { return false }
	case 1:
		return func() bool { return true }
	default:
		return func() bool { return random.IntN(2) == 0 }
	}
}

// List returns the names in the directory.
func (simulated *Disk) List() ([]string, error) {
	if err := simulated.begin(Read, ""); err != nil {
		return nil, err
	}
	defer simulated.mutex.Unlock()
	return slices.Sorted(maps.Keys(simulated.names)), nil
}

// Read returns a file's content.
func (simulated *Disk) Read(name string) ([]byte, error) {
	if err := simulated.begin(Read, name); err != nil {
		return nil, err
	}
	defer simulated.mutex.Unlock()
	node, exists := simulated.names[name]
	if !exists {
		return nil, ErrNotExist
	}
	return slices.Clone(node.content), nil
}

// Create creates a file for writing, or truncates an existing one.
func (simulated *Disk) Create(name string) (disk.File, error) {
	if err := simulated.begin(Create, name); err != nil {
		return nil, err
	}
	defer simulated.mutex.Unlock()
	node, exists := simulated.names[name]
	if exists {
		node.content = nil
		node.writes = append(node.writes, write{})
	} else {
		node = &inode{}
		simulated.names[name] = node
		simulated.changes = append(simulated.changes, change{operation: Create, to: name, node: node})
	}
	return &file{disk: simulated, node: node, name: name, powerCycle: simulated.powerCycle}, nil
}

// Open opens an existing file.
func (simulated *Disk) Open(name string) (disk.File, error) {
	if err := simulated.begin(Read, name); err != nil {
		return nil, err
	}
	defer simulated.mutex.Unlock()
	node, exists := simulated.names[name]
	if !exists {
		return nil, ErrNotExist
	}
	return &file{disk: simulated, node: node, name: name, powerCycle: simulated.powerCycle}, nil
}

// Rename renames a file.
func (simulated *Disk) Rename(from, to string) error {
	if err := simulated.begin(Rename, from); err != nil {
		return err
	}
	defer simulated.mutex.Unlock()
	node, exists := simulated.names[from]
	if !exists {
		return ErrNotExist
	}
	simulated.applyChange(change{operation: Rename, from: from, to: to, node: node})
	return nil
}

// Remove removes a file.
func (simulated *Disk) Remove(name string) error {
	if err := simulated.begin(Remove, name); err != nil {
		return err
	}
	defer simulated.mutex.Unlock()
	if _, exists := simulated.names[name]; !exists {
		return ErrNotExist
	}
	simulated.applyChange(change{operation: Remove, from: name})
	return nil
}

// SyncDirectory makes created, renamed and removed names durable.
func (simulated *Disk) SyncDirectory() error {
	if err := simulated.begin(SyncDirectory, ""); err != nil {
		return err
	}
	defer simulated.mutex.Unlock()
	simulated.durable = maps.Clone(simulated.names)
	simulated.changes = nil
	return nil
}

// begin calls the hook and locks the mutex. If it returns an error, the mutex is not locked.
func (simulated *Disk) begin(operation Operation, name string) error {
	simulated.mutex.Lock()
	hook := simulated.hook
	simulated.mutex.Unlock()
	if hook != nil {
		if err := hook(operation, name); err != nil {
			return err
		}
	}
	simulated.mutex.Lock()
	if simulated.noPower {
		simulated.mutex.Unlock()
		return ErrNoPower
	}
	return nil
}

func (simulated *Disk) applyChange(change change) {
	change.apply(simulated.names)
	simulated.changes = append(simulated.changes, change)
}

func (simulated *Disk) usedBytes() int {
	total := 0
	for _, node := range simulated.names {
		total += len(node.content)
	}
	return total
}

// persistCreation makes the creation of a synced file durable.
func (simulated *Disk) persistCreation(node *inode) {
	simulated.changes = slices.DeleteFunc(simulated.changes, func(pending change) bool {
		if pending.operation != Create || pending.node != node {
			return false
		}
		pending.apply(simulated.durable)
		return true
	})
}

func (change change) apply(names map[string]*inode) {
	if change.from != "" {
		delete(names, change.from)
	}
	if change.to != "" {
		names[change.to] = change.node
	}
}

// loseUnsynced applies the unsynced writes for which keep returns true, possibly torn, and drops the others.
func (node *inode) loseUnsynced(random *rand.Rand, keep func() bool) {
	content := slices.Clone(node.synced)
	for _, unsynced := range node.writes {
		if !keep() {
			continue
		}
		if unsynced.content == nil {
			content = nil
			continue
		}
		content = unsynced.tear(random).applyTo(content)
	}
	node.content = content
	node.synced = slices.Clone(content)
	node.writes = nil
}

// tear returns the write, at random either unchanged or with some sectors zeroed and possibly cut short.
func (unsynced write) tear(random *rand.Rand) write {
	if random.IntN(2) == 0 {
		return unsynced
	}
	torn := slices.Clone(unsynced.content)
	for start := 0; start < len(torn); start += sectorSize {
		if random.IntN(2) == 0 {
			clear(torn[start:min(start+sectorSize, len(torn))])
		}
	}
	end := len(torn)
	if random.IntN(2) == 0 {
		end = random.IntN(len(torn) + 1)
	}
	return write{offset: unsynced.offset, content: torn[:end]}
}

func (unsynced write) applyTo(content []byte) []byte {
	end := unsynced.offset + len(unsynced.content)
	if missing := end - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[unsynced.offset:], unsynced.content)
	return content
}

// file is an open file. It implements disk.File.
type file struct {
	disk       *Disk
	node       *inode
	name       string
	powerCycle int
}

// Write appends to the file. If the disk becomes full, it writes the part that fits and returns ErrFull.
func (file *file) Write(content []byte) (int, error) {
	if err := file.begin(Write); err != nil {
		return 0, err
	}
	defer file.disk.mutex.Unlock()
	written := len(content)
	if file.disk.capacity > 0 {
		written = max(0, min(written, file.disk.capacity-file.disk.usedBytes()))
	}
	unsynced := write{offset: len(file.node.content), content: slices.Clone(content[:written])}
	file.node.content = unsynced.applyTo(file.node.content)
	file.node.writes = append(file.node.writes, unsynced)
	if written < len(content) {
		return written, ErrFull
	}
	return written, nil
}

// Sync makes the content and the creation of the file durable.
func (file *file) Sync() error {
	if err := file.begin(Sync); err != nil {
		return err
	}
	defer file.disk.mutex.Unlock()
	file.node.synced = slices.Clone(file.node.content)
	file.node.writes = nil
	file.disk.persistCreation(file.node)
	return nil
}

// Close does nothing and returns nil.
func (file *file) Close() error { return nil }

func (file *file) begin(operation Operation) error {
	if err := file.disk.begin(operation, file.name); err != nil {
		return err
	}
	if file.powerCycle != file.disk.powerCycle {
		file.disk.mutex.Unlock()
		return ErrNoPower
	}
	return nil
}
