// Package size measures what a large registry costs the Eureka client: the time to its first list, memory, and the time
// from a change to the word of it. It owns the client it measures and, for memory, the process of a registry beside it.
package size

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pewterrudder/internal/lab/eurekad"
	"pewterrudder/internal/registry/eureka"
	"pewterrudder/internal/roster"
)

// Cost is what was measured.
type Cost struct {
	Instances int   `json:"instances"`
	Rows      []Row `json:"rows"`

	Changes int     `json:"changes"`
	PollS   float64 `json:"poll_s"`
	P50Ms   float64 `json:"p50_ms"` // from the arrival of the poll that tells a change to the callback
	P99Ms   float64 `json:"p99_ms"`
	MaxMs   float64 `json:"max_ms"`
	TotalMs float64 `json:"total_p99_ms"` // from the change itself
}

// Row is one format.
type Row struct {
	Format    string  `json:"format"`
	FirstMs   float64 `json:"first_list_ms"`
	CPUMs     float64 `json:"cpu_ms"`
	HeapMB    float64 `json:"heap_mb"`    // held, with the entries that were handed on
	PeakMB    float64 `json:"peak_mb"`    // resident, above what it was before
	RefreshMB float64 `json:"refresh_mb"` // the same, over further whole lists
	RereadMs  float64 `json:"reread_ms"`  // for one of those
}

// sink keeps the last list as whoever is told would.
type sink struct {
	mu     sync.Mutex
	list   []roster.Entry
	told   chan struct{}
	onSaid func([]roster.Entry)
}

func (s *sink) Said(whole bool, _ int64, entries []roster.Entry) {
	s.mu.Lock()
	if whole {
		s.list = entries
	}
	s.mu.Unlock()
	if s.onSaid != nil {
		s.onSaid(entries)
	}
	s.tell()
}
func (s *sink) Heard() { s.tell() }
func (s *sink) Broke(err error) {
	fmt.Fprintln(os.Stderr, "eurekad size:", err)
}
func (s *sink) tell() {
	select {
	case s.told <- struct{}{}:
	default:
	}
}

func settings(url string) eureka.Settings {
	begun := time.Now()
	return eureka.Settings{Addresses: []string{url}, Keys: eureka.DefaultKeys(),
		Now:     func() time.Duration { return time.Hour + time.Since(begun) },
		Started: func(ms float64) time.Duration { return time.Hour + time.Duration((ms-float64(begun.UnixMilli()))*1e6) }}
}

const patience = 60 * time.Second

func wait(s *sink) error {
	select {
	case <-s.told:
		return nil
	case <-time.After(patience):
		return errors.New("no list came")
	}
}

// Measure measures n instances; program is rudderlab's own, which serves the registry from a process beside this one.
func Measure(program string, n int, changes time.Duration) (Cost, error) {
	c := Cost{Instances: n}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as the daemon has it
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cmd := exec.CommandContext(ctx, program, "eurekad", "serve", "--listen", "127.0.0.1:0", "--instances", strconv.Itoa(n))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return c, err
	}
	if err := cmd.Start(); err != nil {
		return c, err
	}
	defer func() { cancel(); cmd.Wait() }()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return c, fmt.Errorf("the registry's process: %w", err)
	}
	url := strings.TrimSpace(line)
	for _, format := range []string{"json", "xml"} {
		if _, err := one(url, format); err != nil { // the registry has its answers ready from here on
			return c, err
		}
		row, err := one(url, format)
		if err != nil {
			return c, err
		}
		c.Rows = append(c.Rows, row)
	}
	cancel()
	cmd.Wait()
	return c, c.follow(n, changes)
}

func one(url, format string) (Row, error) {
	row := Row{Format: format}
	set := settings(url)
	set.XML = format == "xml"
	set.WholeEvery = time.Nanosecond // each poll is whole
	set.Pacing.Every = 10 * time.Millisecond
	s := &sink{told: make(chan struct{}, 1)}
	cl, err := eureka.New(set, s)
	if err != nil {
		return row, err
	}
	debug.FreeOSMemory()
	heap, rss := inUse(), resident()
	var peak atomic.Int64
	done := make(chan struct{})
	var watched sync.WaitGroup
	watched.Go(func() {
		t := time.NewTicker(2 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				peak.Store(max(peak.Load(), resident()))
			}
		}
	})
	cpu, begun := cpuTime(), time.Now()
	cl.Start()
	if err := wait(s); err != nil {
		return row, err
	}
	row.FirstMs, row.CPUMs = ms(time.Since(begun)), ms(cpuTime()-cpu)
	row.PeakMB = mb(max(peak.Load(), resident()) - rss)
	row.HeapMB = mb(inUse() - heap)
	peak.Store(0)
	begun = time.Now()
	const rereads = 5
	for range rereads {
		if err := wait(s); err != nil {
			return row, err
		}
	}
	row.RereadMs = ms(time.Since(begun)) / rereads
	row.RefreshMB = mb(max(peak.Load(), resident()) - rss)
	close(done)
	watched.Wait()
	cl.Close()
	runtime.KeepAlive(s)
	return row, nil
}

// keep is how far the registry's deltas reach back: with a hundred changes a second they hold five hundred.
const keep = 5 * time.Second

// follow measures changes, one hundredth of the instances each second, beside a registry in this process.
func (c *Cost) follow(n int, length time.Duration) error {
	runtime.GOMAXPROCS(2) // one for the client, one for the registry
	var asked atomic.Int64
	r := eurekad.New(eurekad.Options{Keep: keep, Asked: func() { asked.Store(time.Now().UnixNano()) }})
	eurekad.Fill(r, n)
	server, err := eurekad.Listen("127.0.0.1:0", r)
	if err != nil {
		return err
	}
	defer server.Close()
	set := settings(server.URL())
	set.Keys.Labels = []string{eurekad.ChangedAt}
	set.Pacing.Every = time.Second
	set.Window = 4 * time.Second
	set.WholeEvery = time.Hour
	c.PollS = set.Pacing.Every.Seconds()
	var extra, total []time.Duration
	seen := map[string]bool{}
	s := &sink{told: make(chan struct{}, 1)}
	s.onSaid = func(entries []roster.Entry) {
		now := time.Now().UnixNano()
		for _, e := range entries {
			at := e.Labels[eurekad.ChangedAt]
			if at == "" || seen[e.ID+at] {
				continue
			}
			seen[e.ID+at] = true
			ns, _ := strconv.ParseInt(at, 10, 64)
			extra = append(extra, time.Duration(now-asked.Load()))
			total = append(total, time.Duration(now-ns))
		}
	}
	cl, err := eureka.New(set, s)
	if err != nil {
		return err
	}
	cl.Start()
	if err := wait(s); err != nil {
		return err
	}
	time.Sleep(keep) // until the registering is out of the deltas: they would hold everything
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	eurekad.Churn(ctx, r, n, float64(n)/100, 1)
	wait(s)
	cl.Close()
	if len(extra) == 0 {
		return errors.New("no change came")
	}
	slices.Sort(extra)
	slices.Sort(total)
	at := func(d []time.Duration, share float64) float64 { return ms(d[int(share*float64(len(d)-1))]) }
	c.Changes, c.P50Ms, c.P99Ms, c.MaxMs = len(extra), at(extra, 0.5), at(extra, 0.99), at(extra, 1)
	c.TotalMs = at(total, 0.99)
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }
func mb(n int64) float64         { return float64(n) / (1 << 20) }

func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func resident() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Table writes it for people.
func (c Cost) Table(w io.Writer) {
	fmt.Fprintf(w, "%d instances\n%-6s %12s %10s %10s %10s %12s %12s\n", c.Instances, "format", "first list", "CPU",
		"held", "peak", "peak, again", "read again")
	for _, r := range c.Rows {
		fmt.Fprintf(w, "%-6s %9.0f ms %7.0f ms %7.1f MB %7.1f MB %9.1f MB %9.0f ms\n", r.Format, r.FirstMs, r.CPUMs,
			r.HeapMB, r.PeakMB, r.RefreshMB, r.RereadMs)
	}
	fmt.Fprintf(w, "%d changes, 1 %% of the instances a second, polled each %g s: from the poll's arrival to the callback "+
		"%.1f ms (median), %.1f ms (99 %%), %.1f ms (longest); from the change itself %.0f ms (99 %%)\n", c.Changes, c.PollS,
		c.P50Ms, c.P99Ms, c.MaxMs, c.TotalMs)
}
