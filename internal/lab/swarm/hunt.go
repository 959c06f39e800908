package swarm

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/run"
	"pewterrudder/internal/lab/virtual"
)

// Options of a hunt.
type Options struct {
	From     uint64 // number of the first day; the others follow
	Runs     int
	Length   time.Duration
	Stop     bool // at the first day that breaks a rule
	Policy   virtual.Policy
	Progress run.Progress
}

// Hunt is what a swarm came to.
type Hunt struct {
	From     uint64     `json:"seed"`
	Runs     int        `json:"runs"` // made; fewer than asked for where it stopped at a break
	Length   float64    `json:"length_s"`
	Digest   string     `json:"digest"` // of the digests of all runs, in order
	Requests uint64     `json:"requests"`
	Attempts uint64     `json:"attempts"`
	Events   uint64     `json:"events"`
	Faults   int        `json:"faults"`
	Served   uint64     `json:"served"`
	Goodput  float64    `json:"goodput"` // mean
	Took     float64    `json:"took_s"`
	Broken   int        `json:"broken"` // runs
	Ways     []Count    `json:"ways"`   // in order of their first break
	Found    []*Finding `json:"-"`
}

// Count of runs whose first break is of one way.
type Count struct {
	Way   string `json:"way"`
	Runs  int    `json:"runs"`
	First uint64 `json:"first_seed"`
	File  string `json:"file,omitempty"`
}

// foundMost bounds the findings that are kept whole: a defect that shows in every run needs no thousand files.
const foundMost = 100

// Go plays the days.
func Go(opt Options) (*Hunt, error) {
	h := &Hunt{From: opt.From, Length: opt.Length.Seconds()}
	made := make([]*day, opt.Runs)
	var mu sync.Mutex
	var failed error
	stopped, count := false, 0
	began := time.Now()
	run.Each(opt.Runs, func(i int) {
		mu.Lock()
		over := stopped
		mu.Unlock()
		if over {
			return
		}
		c, err := Draw(opt.From+uint64(i), opt.Length)
		var rec *virtual.Record
		if err == nil {
			c.Policy = opt.Policy
			rec, err = c.Play(nil)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed, stopped = fmt.Errorf("swarm: day %d: %w", opt.From+uint64(i), err), true
			return
		}
		made[i] = &day{digest: rec.Digest, events: rec.Events, faults: len(rec.Episodes), counts: rec.Counts}
		if !rec.OK() {
			made[i].found = newFinding(c, rec)
			stopped = stopped || opt.Stop
		}
		if count++; opt.Progress != nil {
			opt.Progress(float64(count) / float64(opt.Runs))
		}
	})
	h.Took = time.Since(began).Seconds()
	if failed != nil {
		return nil, failed
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, d := range made {
		if d == nil { // it stopped before this one
			break
		}
		h.add(d)
		var raw [8]byte
		binary.LittleEndian.PutUint64(raw[:], d.digest)
		digest.Write(raw[:])
		if d.found != nil {
			h.enter(d.found)
			if opt.Stop {
				break // those after it were made by chance of timing
			}
		}
	}
	if h.Runs > 0 {
		h.Goodput /= float64(h.Runs)
	}
	h.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return h, nil
}

// day is what is kept of a run: a record holds on to its whole world.
type day struct {
	digest, events uint64
	faults         int
	counts         oracle.Counts
	found          *Finding
}

func (h *Hunt) add(d *day) {
	c := &d.counts
	h.Runs++
	h.Requests += c.Wishes
	h.Attempts += c.Attempts
	h.Served += c.Served
	h.Events += d.events
	h.Faults += d.faults
	h.Goodput += c.Goodput()
}

func (h *Hunt) enter(f *Finding) {
	h.Broken++
	if len(h.Found) < foundMost {
		h.Found = append(h.Found, f)
	}
	for i := range h.Ways {
		if h.Ways[i].Way == f.Way {
			h.Ways[i].Runs++
			return
		}
	}
	h.Ways = append(h.Ways, Count{Way: f.Way, Runs: 1, First: f.Seed})
}
