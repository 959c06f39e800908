package recordstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/disk/simdisk"
	"pewterrudder/internal/router/softstate"
)

const (
	testRetention = 5 * time.Minute
	// diskPatience is how long the tests wait for a disk that refuses writes.
	diskPatience = time.Second
)

var errDiskFull = errors.New("disk full")

// process is one process that runs a store on a simulated disk.
type process struct {
	store *Store
	// restored holds the records that the process found.
	restored chan []softstate.Record
	cancel   context.CancelFunc
}

// startProcess starts a store that selects removals, and records whose payload is "kept".
func startProcess(t *testing.T, simulated *simdisk.Disk) *process {
	log, _ := test.NewNullLogger()
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{restored: make(chan []softstate.Record, 1), cancel: cancel}
	p.store = New(Options{
		Select: func(r softstate.Record) bool {
			return r.Removed && r.Version.Sequence == 0 || string(r.Payload) == "kept"
		},
		Retention: testRetention,
		Log:       log,
	})
	open := func() (disk.FileSystem, error) { return simulated, nil }
	go p.store.Run(ctx, open, func(records []softstate.Record) { p.restored <- records })
	return p
}

// persist persists one record, and gives up after diskPatience.
func (p *process) persist(record softstate.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), diskPatience)
	defer cancel()
	return p.store.Persist(ctx, []softstate.Record{record})
}

// alive returns a registration of key "a" with an epoch, removed a removal of it.
func alive(epoch uint64, payload string) softstate.Record {
	return softstate.Record{Key: "a", Version: softstate.Version{Epoch: epoch}, Payload: []byte(payload)}
}

func removed(epoch, sequence uint64) softstate.Record {
	return softstate.Record{Key: "a", Version: softstate.Version{Epoch: epoch, Sequence: sequence}, Removed: true}
}

// restart ends a process and returns what the next one restores from the disk.
func restart(t *testing.T, p *process, simulated *simdisk.Disk) (*process, []softstate.Record) {
	p.cancel()
	synctest.Wait()
	next := startProcess(t, simulated)
	return next, <-next.restored
}

// TestPersistedRecordOutlastsLossOfPower cuts the power during, or right after, the save of a second record.
func TestPersistedRecordOutlastsLossOfPower(t *testing.T) {
	for operation := range 12 {
		t.Run(fmt.Sprint(operation), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulated := simdisk.New()
				p := startProcess(t, simulated)
				assert.Equal(t, len(<-p.restored), 0)
				assert.NilError(t, p.persist(removed(3, 0)))
				cutPowerAfter(simulated, operation)
				other := softstate.Record{Key: "b", Version: softstate.Version{Epoch: 1}, Removed: true}
				persisted := p.persist(other) == nil
				simulated.CutPower()
				p.cancel()
				time.Sleep(2 * retryInterval)
				simulated.SetHook(nil)
				simulated.PowerOn(rand.New(rand.NewPCG(1, uint64(operation))))
				_, restored := restart(t, p, simulated)
				keys := map[string]bool{}
				for _, record := range restored {
					keys[record.Key] = true
				}
				assert.Assert(t, keys["a"], "lost: %v", restored)
				assert.Assert(t, !persisted || keys["b"], "lost: %v", restored)
			})
		})
	}
}

// cutPowerAfter cuts the power before the operation with the given index, counted from now.
func cutPowerAfter(simulated *simdisk.Disk, operation int) {
	count := 0
	simulated.SetHook(func(simdisk.Operation, string) error {
		count++
		if count > operation {
			return simdisk.ErrNoPower
		}
		return nil
	})
}

// TestPersistWaitsForTheDisk guards against an acknowledgement that rests on a write that failed or hangs.
func TestPersistWaitsForTheDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulated := simdisk.New()
		simulated.SetHook(func(operation simdisk.Operation, _ string) error {
			if operation == simdisk.Create {
				return errDiskFull
			}
			return nil
		})
		p := startProcess(t, simulated)
		assert.ErrorIs(t, p.persist(removed(3, 0)), context.DeadlineExceeded)
		simulated.SetHook(nil)
		assert.NilError(t, p.persist(removed(3, 0)))
		_, restored := restart(t, p, simulated)
		assert.DeepEqual(t, restored, []softstate.Record{removed(3, 0)})
	})
}

// TestRecordsAddedBeforeTheDiskOpensAreSaved adds a record while the disk cannot be opened yet.
func TestRecordsAddedBeforeTheDiskOpensAreSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulated := simdisk.New()
		first := startProcess(t, simulated)
		assert.NilError(t, first.persist(removed(3, 0)))
		first.cancel()
		synctest.Wait()
		simulated.SetHook(func(simdisk.Operation, string) error { return errDiskFull })
		p := startProcess(t, simulated)
		p.store.Add(softstate.Record{Key: "b", Version: softstate.Version{Epoch: 1}, Removed: true})
		time.Sleep(diskPatience)
		simulated.SetHook(nil)
		assert.Equal(t, len(<-p.restored), 1)
		assert.NilError(t, p.persist(removed(3, 0)))
		_, restored := restart(t, p, simulated)
		assert.Equal(t, len(restored), 2)
	})
}

// TestNewestVersionIsKept passes versions of one key to the store and checks what a restart finds.
func TestNewestVersionIsKept(t *testing.T) {
	cases := []struct {
		name    string
		records []softstate.Record
		kept    []softstate.Record
	}{
		{"a record that is not selected", []softstate.Record{alive(1, "other")}, nil},
		{"an expiry of an unknown record", []softstate.Record{removed(1, 1)}, nil},
		{"a newer version", []softstate.Record{alive(1, "kept"), alive(2, "kept")}, []softstate.Record{alive(2, "kept")}},
		{"an older version", []softstate.Record{alive(2, "kept"), alive(1, "kept")}, []softstate.Record{alive(2, "kept")}},
		{"superseded", []softstate.Record{alive(1, "kept"), alive(2, "other")}, nil},
		{"not superseded", []softstate.Record{alive(2, "kept"), alive(1, "other")}, []softstate.Record{alive(2, "kept")}},
		{"expired", []softstate.Record{alive(2, "kept"), removed(2, 1)}, []softstate.Record{removed(2, 1)}},
		{"removed", []softstate.Record{alive(2, "kept"), removed(9, 0)}, []softstate.Record{removed(9, 0)}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulated := simdisk.New()
				p := startProcess(t, simulated)
				for _, record := range test.records {
					assert.NilError(t, p.persist(record))
				}
				_, restored := restart(t, p, simulated)
				assert.Equal(t, len(restored), len(test.kept))
				for i := range restored {
					assert.DeepEqual(t, restored[i], test.kept[i])
				}
			})
		})
	}
}

// TestRemovalsAreDroppedAfterRetention checks that a removal is dropped although the process restarts again and again,
// and that a record that is not removed is kept.
func TestRemovalsAreDroppedAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulated := simdisk.New()
		p := startProcess(t, simulated)
		assert.NilError(t, p.persist(removed(3, 0)))
		assert.NilError(t, p.persist(softstate.Record{Key: "b", Version: softstate.Version{Epoch: 1}, Payload: []byte("kept")}))
		const uptime = 2*refreshInterval + time.Second
		var restored []softstate.Record
		for elapsed := time.Duration(0); elapsed < testRetention; elapsed += 2 * refreshInterval {
			time.Sleep(uptime)
			p, restored = restart(t, p, simulated)
		}
		assert.Equal(t, len(restored), 1)
		assert.Equal(t, restored[0].Key, "b")
	})
}

// TestUnreadableFileStartsEmpty checks that a file of another format does not keep the store from working.
func TestUnreadableFileStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulated := simdisk.New()
		file, _, err := disk.Open(simulated)
		assert.NilError(t, err)
		assert.NilError(t, file.Save([]byte("\xff rubbish")))
		p := startProcess(t, simulated)
		assert.Equal(t, len(<-p.restored), 0)
		assert.NilError(t, p.persist(removed(3, 0)))
	})
}
