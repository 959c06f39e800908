package sightings

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// runStore runs a store for the given time and returns the restored sightings, and whether restore was called.
func runStore(t *testing.T, k *Store, directory string, span time.Duration) (restored []Sighting, called bool) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	k.Run(ctx, directory, func(saved []Sighting) { restored, called = saved, true }, log)
	return restored, called
}

func TestSightingsSurviveARestart(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "sightings")
	synctest.Test(t, func(t *testing.T) {
		first := NewStore(time.Minute)
		first.Add(time.Now(), []Sighting{sightingOf(1), sightingOf(2)})
		_, called := runStore(t, first, directory, 3*saveInterval)
		assert.Assert(t, !called, "there was nothing to restore")
		restored, _ := runStore(t, NewStore(time.Minute), directory, saveInterval/2)
		assert.Equal(t, len(restored), 2)
	})
}

func TestAnUnchangedStoreDoesNotWrite(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "sightings")
	synctest.Test(t, func(t *testing.T) {
		k := NewStore(time.Minute)
		k.Add(time.Now(), []Sighting{sightingOf(1)})
		runStore(t, k, directory, 3*saveInterval)
		before, err := os.ReadDir(directory)
		assert.NilError(t, err)
		runStore(t, k, directory, 10*saveInterval)
		after, err := os.ReadDir(directory)
		assert.NilError(t, err)
		assert.Equal(t, len(after), len(before))
		assert.Equal(t, after[0].Name(), before[0].Name())
	})
}

func TestAStoreWithoutADiskRestoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, called := runStore(t, NewStore(time.Minute), "/dev/null/none", 3*saveInterval)
		assert.Assert(t, !called)
	})
}

func TestAMalformedFileIsIgnored(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	restoreSaved([]byte{0xc1}, func([]Sighting) { t.Error("restored") }, log)
}
