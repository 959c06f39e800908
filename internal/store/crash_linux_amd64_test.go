package store

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"

	"pewterrudder/internal/store/crashdisk"
)

// For a long run: go test ./internal/store -run TestCrash -crashes 12000 -crash.seed 7
var (
	crashes   = flag.Int("crashes", 1600, "crash points of TestCrash")
	crashSeed = flag.Uint64("crash.seed", 1, "seed of TestCrash")
)

const (
	chainCount    = 4   // stores tested in parallel
	crashesPerRun = 100 // crash points per process
	stepsPerRun   = 60  // steps of the load per process
)

// A crash at any moment must lose no acknowledged edit. Each store is used by many processes in turn. Each process applies a
// random load and is traced to its end; then disk images that a crash at random moments may leave are opened and must hold
// what was acknowledged. The next process starts from one of these images. In every second run the disk returns errors.
func TestCrash(t *testing.T) {
	var group sync.WaitGroup
	var count crashCounts
	for chain := range chainCount {
		group.Go(func() {
			if err := runChain(t, uint64(chain), &count); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if t.Failed() || t.Skipped() {
		return
	}
	t.Logf("%d crash points in %d runs: %d appends confirmed, %d rejected, %d uncertain; %d images held unconfirmed edits",
		count.points, count.runs, count.confirmed, count.rejected, count.uncertain, count.unconfirmed)
	if count.points < *crashes || count.confirmed == 0 || count.rejected == 0 || count.uncertain == 0 || count.unconfirmed == 0 {
		t.Error("the run did not cover all crash points and all kinds of results")
	}
}

// crashCounts counts the crash points and results of all runs.
type crashCounts struct {
	sync.Mutex
	points, runs, confirmed, rejected, uncertain, unconfirmed int
}

func runChain(t *testing.T, chain uint64, count *crashCounts) error {
	image := map[string][]byte{}
	viewBefore := &clientView{}
	for n := uint64(0); n < uint64((*crashes+chainCount*crashesPerRun-1)/(chainCount*crashesPerRun)); n++ {
		seed := *crashSeed<<32 | chain<<16 | n + 1
		r := rand.New(rand.NewPCG(seed, 2))
		dir := memoryDir(t)
		if err := crashdisk.WriteImage(dir, image); err != nil {
			return err
		}
		var fault func(tracedCall) callFault
		if n%2 == 1 {
			fault = intermittentFaults(rand.New(rand.NewPCG(seed, 3)))
		}
		schema := 1 + n/2 // every second run begins with a migration
		env := append(os.Environ(), "STORE_CHILD=load", "STORE_DIR="+dir, fmt.Sprint("STORE_SEED=", seed),
			fmt.Sprint("STORE_STEPS=", stepsPerRun), fmt.Sprint("STORE_SCHEMA=", schema), "GOMAXPROCS=2")
		events, err := traceRun([]string{os.Args[0]}, env, dir, image, fault)
		if errors.Is(err, errNoTrace) {
			t.Skip(err)
		}
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		crashPoints := make([]int, crashesPerRun)
		for i := range crashPoints {
			if crashPoints[i] = r.IntN(len(events) + 1); i%10 == 0 { // more points in the start, which creates, migrates and syncs
				crashPoints[i] = r.IntN(min(len(events), 40) + 1)
			}
		}
		slices.Sort(crashPoints)
		chosen := r.IntN(crashesPerRun)
		disk, view := crashdisk.New(image), viewBefore.clone()
		at := 0
		for i, p := range crashPoints {
			for ; at < p; at++ {
				if e := events[at]; e.Kind == crashdisk.Output {
					if err := view.observe(e.Text); err != nil {
						return fmt.Errorf("seed %d, event %d: %w", seed, at, err)
					}
					count.countAnswer(e.Text)
				} else {
					disk.Apply(e)
				}
			}
			crashed := disk.Image(r)
			unconfirmed, err := checkImage(t, crashed, schema, view)
			if err != nil {
				return fmt.Errorf("seed %d, crash before event %d of %d: %w", seed, p, len(events), err)
			}
			count.countPoint(unconfirmed)
			if i == chosen {
				image, viewBefore = crashed, view.clone()
			}
		}
		count.countRun()
	}
	return nil
}

func (c *crashCounts) countAnswer(line string) {
	c.Lock()
	defer c.Unlock()
	switch line[0] {
	case 'y':
		c.confirmed++
	case 'n':
		c.rejected++
	case 'd':
		c.uncertain++
	}
}

func (c *crashCounts) countPoint(unconfirmed bool) {
	c.Lock()
	defer c.Unlock()
	if c.points++; unconfirmed {
		c.unconfirmed++
	}
}

func (c *crashCounts) countRun() {
	c.Lock()
	c.runs++
	c.Unlock()
}

// checkImage opens a disk image that a crash left, checks its contents and that an append to it succeeds. It returns whether
// the image holds unconfirmed edits.
func checkImage(t *testing.T, image map[string][]byte, schema uint64, view *clientView) (unconfirmed bool, err error) {
	dir := memoryDir(t)
	defer os.RemoveAll(dir)
	if err := crashdisk.WriteImage(dir, image); err != nil {
		return false, err
	}
	got, err := reopen(dir, schema, edit{})
	if err != nil {
		return false, err
	}
	if err := view.check(got); err != nil {
		return false, err
	}
	next := edit{rev: 1, attempt: 1}
	if len(got) > 0 {
		next.rev = got[len(got)-1].rev + 1
	}
	if _, err := reopen(dir, schema, next); err != nil {
		return false, err
	}
	reread, err := reopen(dir, schema, edit{})
	if err == nil && !slices.Equal(reread, append(got, next)) {
		err = fmt.Errorf("an append after the crash led to%s, after%s", formatEdits(lastEdits(reread)), formatEdits(lastEdits(got)))
	}
	return len(got) > len(view.confirmed), err
}

func reopen(dir string, schema uint64, next edit) ([]edit, error) {
	s, err := Open(dir, Options{Schema: schema, Migrate: keepContents})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if path, why := s.Quarantined(); path != "" {
		return nil, fmt.Errorf("quarantined: %w", why)
	}
	if next.rev > 0 {
		if err := s.Append(next.record()); err != nil {
			return nil, err
		}
	}
	c, err := s.Load()
	if err != nil {
		return nil, err
	}
	return editsOf(c)
}

// intermittentFaults simulates a disk that is full or broken for a few calls in a row.
func intermittentFaults(r *rand.Rand) func(tracedCall) callFault {
	remaining, errno := 0, syscall.EIO
	return func(c tracedCall) callFault {
		if remaining == 0 {
			if r.IntN(40) != 0 {
				return callFault{}
			}
			remaining, errno = 1+r.IntN(6), []syscall.Errno{syscall.EIO, syscall.ENOSPC}[r.IntN(2)]
		}
		remaining--
		if c.Kind == crashdisk.Write && r.IntN(3) == 0 {
			return callFault{Short: true}
		}
		return callFault{Errno: errno}
	}
}
