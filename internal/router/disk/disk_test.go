package disk_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/disk"
	"pewterrudder/internal/router/disk/simdisk"
)

const (
	// contentSize spans several sectors, so that writes can be torn.
	contentSize = 1700
	// savesPerRun is the number of versions that a process saves, unless it is stopped first.
	savesPerRun = 4
	// trialsPerCut is the number of random outcomes of a loss of power that are tested at each operation.
	trialsPerCut = 60
)

var errInjected = errors.New("injected")

// contentOf returns the content for a number. It spans several sectors, and numberOf recovers the number from it.
func contentOf(number int) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%08d ", number), contentSize/9)
}

func numberOf(t *testing.T, content []byte) int {
	t.Helper()
	if content == nil {
		return 0
	}
	var number int
	_, err := fmt.Sscanf(string(content[:8]), "%d", &number)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(content, contentOf(number)))
	return number
}

// processRun is the result of one process that opens the disk and saves increasing numbers until it is stopped.
type processRun struct {
	found int // the number found at the start, 0 for an empty disk, -1 if Open failed
	saved int // the last number whose save succeeded, or else the number found
	tried int // the last number whose save was started
}

// runProcess runs a process that saves the given count of numbers above those tried before. It stops at the first error.
func runProcess(t *testing.T, files disk.FileSystem, triedBefore, saves int) processRun {
	t.Helper()
	run := processRun{tried: triedBefore}
	saver, content, err := disk.Open(files)
	if err != nil {
		run.found = -1
		return run
	}
	run.found = numberOf(t, content)
	run.saved = run.found
	for range saves {
		run.tried++
		if saver.Save(contentOf(run.tried)) != nil {
			return run
		}
		run.saved = run.tried
	}
	return run
}

// cutPowerAt makes the disk lose power before its operation with the given index, counted from now. The result is set
// to true once that has happened.
func cutPowerAt(simulated *simdisk.Disk, operation int) *bool {
	count := 0
	powerWasCut := new(bool)
	simulated.SetHook(func(simdisk.Operation, string) error {
		if count == operation {
			simulated.CutPower()
			*powerWasCut = true
		}
		count++
		return nil
	})
	return powerWasCut
}

// killProcessAt makes the disk fail all operations from the one with the given index on, as seen by a process that is
// killed there. The result is set to true once that has happened.
func killProcessAt(simulated *simdisk.Disk, operation int) *bool {
	count := 0
	wasKilled := new(bool)
	simulated.SetHook(func(simdisk.Operation, string) error {
		count++
		if count > operation {
			*wasKilled = true
			return errInjected
		}
		return nil
	})
	return wasKilled
}

// TestPowerLossAtEachOperation cuts the power before each operation of a process and then once more, at random, during
// the next process. The first operation of that next process stands for the point after the last operation of the first
// one.
func TestPowerLossAtEachOperation(t *testing.T) {
	cuts := 0
	for first := 0; ; first++ {
		powerWasCut := false
		for trial := range trialsPerCut {
			random := rand.New(rand.NewPCG(uint64(first), uint64(trial)))
			simulated := simdisk.New()
			initial := runProcess(t, simulated, 0, 1+trial%2)

			armed := cutPowerAt(simulated, first)
			before := runProcess(t, simulated, initial.tried, savesPerRun)
			powerWasCut = powerWasCut || *armed
			if before.found < 0 {
				before = initial
			}
			simulated.SetHook(nil)
			simulated.CutPower()
			simulated.PowerOn(random)

			cutPowerAt(simulated, random.IntN(20))
			between := runProcess(t, simulated, before.tried, savesPerRun)
			if between.found < 0 {
				between = before
			} else {
				assert.Assert(t, between.found >= before.saved && between.found <= before.tried,
					"cut %d, trial %d: found %d, saved %d, tried %d", first, trial, between.found, before.saved, before.tried)
			}
			simulated.SetHook(nil)
			simulated.CutPower()
			simulated.PowerOn(random)

			after := runProcess(t, simulated, between.tried, 0)
			assert.Assert(t, after.found >= between.saved && after.found <= between.tried,
				"cut %d, trial %d: found %d, saved %d, tried %d", first, trial, after.found, between.saved, between.tried)
		}
		if !powerWasCut {
			break
		}
		cuts++
	}
	assert.Assert(t, cuts > 7*savesPerRun, "only %d points were cut", cuts)
}

// TestKillThenPowerLoss kills the process at each operation. The version that the next process reads must survive a
// loss of power, although that process saves nothing: Open syncs the version that it finds.
func TestKillThenPowerLoss(t *testing.T) {
	for operation := 0; ; operation++ {
		wasKilled := false
		for trial := range trialsPerCut {
			random := rand.New(rand.NewPCG(uint64(operation), uint64(trial)))
			simulated := simdisk.New()
			armed := killProcessAt(simulated, operation)
			before := runProcess(t, simulated, 0, savesPerRun)
			wasKilled = wasKilled || *armed
			simulated.SetHook(nil)
			between := runProcess(t, simulated, before.tried, 0)
			assert.Assert(t, between.found >= before.saved && between.found <= before.tried)
			simulated.CutPower()
			simulated.PowerOn(random)
			after := runProcess(t, simulated, before.tried, 0)
			assert.Equal(t, after.found, between.found, "killed at operation %d, trial %d", operation, trial)
		}
		if !wasKilled {
			return
		}
	}
}

// TestFailureOfEachStep makes each step of a save fail repeatedly: the saved version remains current, files don't
// accumulate, and the next save succeeds.
func TestFailureOfEachStep(t *testing.T) {
	steps := map[simdisk.Operation]disk.Step{
		simdisk.Create:        disk.StepCreateTemporary,
		simdisk.Write:         disk.StepWriteTemporary,
		simdisk.Sync:          disk.StepSyncTemporary,
		simdisk.Rename:        disk.StepRename,
		simdisk.SyncDirectory: disk.StepSyncDirectory,
	}
	for operation, step := range steps {
		t.Run(string(step), func(t *testing.T) {
			simulated := simdisk.New()
			saver, _, err := disk.Open(simulated)
			assert.NilError(t, err)
			assert.NilError(t, saver.Save(contentOf(1)))

			simulated.SetHook(func(current simdisk.Operation, _ string) error {
				if current == operation {
					return errInjected
				}
				return nil
			})
			for range 10 {
				failure := new(disk.SaveError)
				assert.Assert(t, errors.As(saver.Save(contentOf(2)), &failure))
				assert.Equal(t, failure.Step, step)
				assert.ErrorIs(t, failure, errInjected)
			}
			simulated.SetHook(nil)
			names, err := simulated.List()
			assert.NilError(t, err)
			left := 1
			if step == disk.StepSyncDirectory {
				left = 2 // the renamed version, which the next save replaces
			}
			assert.Equal(t, len(names), left, "files have accumulated: %v", names)

			assert.NilError(t, saver.Save(contentOf(3)))
			assert.Equal(t, runProcess(t, simulated, 3, 0).found, 3)
		})
	}
}

// TestRemovalOfObsoleteFilesMayFail makes every removal fail: saves still succeed, and the files are removed once removal
// works again.
func TestRemovalOfObsoleteFilesMayFail(t *testing.T) {
	simulated := simdisk.New()
	saver, _, err := disk.Open(simulated)
	assert.NilError(t, err)
	simulated.SetHook(func(current simdisk.Operation, _ string) error {
		if current == simdisk.Remove {
			return errInjected
		}
		return nil
	})
	for number := range 5 {
		assert.NilError(t, saver.Save(contentOf(number+1)))
	}
	simulated.SetHook(nil)
	assert.NilError(t, saver.Save(contentOf(6)))
	names, err := simulated.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 2, "%v", names)
}

// TestFullDisk fills the disk: saves fail, the saved version remains, and saves succeed again once there is space.
func TestFullDisk(t *testing.T) {
	simulated := simdisk.New()
	saver, _, err := disk.Open(simulated)
	assert.NilError(t, err)
	assert.NilError(t, saver.Save(contentOf(1)))
	simulated.SetCapacity(contentSize + contentSize/2)
	for range 5 {
		assert.ErrorIs(t, saver.Save(contentOf(2)), simdisk.ErrFull)
	}
	names, err := simulated.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1, "%v", names)
	assert.Equal(t, runProcess(t, simulated, 2, 0).found, 1)

	simulated.SetCapacity(0)
	assert.NilError(t, saver.Save(contentOf(3)))
	assert.Equal(t, runProcess(t, simulated, 3, 0).found, 3)
}

// TestDirectory saves in a directory of the real file system that contains files of other origin.
func TestDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "missing", "parent")
	directory, err := disk.OpenDirectory(path)
	assert.NilError(t, err)
	junk := []string{
		"version-.state", "version-zz.state", "version-1.state", "version-ffffffffffffffffff.state", "lost+found",
		"version-00000000000000FF.state", "version-ffffffffffffffff.state", "version-00000000000000ff.state",
	}
	for _, name := range junk {
		assert.NilError(t, os.WriteFile(filepath.Join(path, name), []byte("junk"), 0o600))
	}
	assert.Equal(t, runProcess(t, directory, 0, savesPerRun).saved, savesPerRun)
	assert.Equal(t, runProcess(t, directory, savesPerRun, 0).found, savesPerRun)
	names, err := directory.List()
	assert.NilError(t, err)
	own := 0
	for _, name := range names {
		if strings.HasPrefix(name, "version-000000000000000") && strings.HasSuffix(name, ".state") {
			own++
		}
	}
	assert.Equal(t, own, 2, "%v", names)
}

// TestDamagedVersion damages the newest version: Open returns the one before it.
func TestDamagedVersion(t *testing.T) {
	path := t.TempDir()
	directory, err := disk.OpenDirectory(path)
	assert.NilError(t, err)
	runProcess(t, directory, 0, 3)
	newest := filepath.Join(path, "version-0000000000000003.state")
	content, err := os.ReadFile(newest)
	assert.NilError(t, err)
	for _, damaged := range [][]byte{content[:len(content)-1], content[:10], {}, bytes.Replace(content, []byte("3"), []byte("4"), 1)} {
		assert.NilError(t, os.WriteFile(newest, damaged, 0o600))
		assert.Equal(t, runProcess(t, directory, 3, 0).found, 2)
	}
}
