// Package kvrig owns the measurement of following a large list in a key-value store: the time to the first list, what it
// holds of memory, and the time from a change to the callback. The store runs in a process of its own. It must never
// share the clock's reading with the store by anything but the values themselves: each tells when it was written.
package kvrig

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"pewterrudder/internal/lab/kvd"
	"pewterrudder/internal/registry/kv"
	"pewterrudder/internal/roster"
)

// Prefix of the entries' keys.
const Prefix = "nodes/"

// ready is what a store says of its address, on a line of its own.
const ready = "listening on "

// Store is a stand-in that is told by lines what to do.
type Store struct {
	*kvd.Server
	nodes int
	saved *kvd.Backup
}

// put writes one entry; up_since_ms tells when.
func (s *Store) put(i int, state string) error {
	_, err := s.Put(&pb.PutRequest{Key: fmt.Appendf(nil, "%ss-%05d", Prefix, i), Value: fmt.Appendf(nil,
		`{"id":"s-%05d","address":"10.%d.%d.%d:5000","zone":"z%d","kind":"m%d","cell":%d,"weight":1.5,"up_since_ms":%.3f,"state":"%s"}`,
		i, i>>16, i>>8&255, i&255, i%3, i%2, i%10, float64(time.Now().UnixMicro())/1e3, state)})
	return err
}

// Serve runs a store with some entries, of which a share changes each second, until the context ends. Lines of in are
// what can be done to it; see Commands.
func Serve(ctx context.Context, listen string, notes time.Duration, nodes int, share float64, seed uint64, in io.Reader, out io.Writer) error {
	s := &Store{Server: kvd.New(kvd.Options{Notes: notes, Seed: seed}), nodes: nodes}
	for i := range nodes {
		if err := s.put(i, "up"); err != nil {
			return err
		}
	}
	s.saved = s.Save()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Server.Serve(l) }()
	defer s.Close()
	fmt.Fprintf(out, "%s%s\n", ready, l.Addr())
	lines := make(chan string)
	go func() { // ends with the process: standard input cannot be called off
		for read := bufio.NewScanner(in); read.Scan(); {
			select {
			case lines <- read.Text():
			case <-ctx.Done():
				return
			}
		}
	}()
	var tick <-chan time.Time
	if changes := share * float64(nodes); changes > 0 {
		t := time.NewTicker(time.Duration(float64(time.Second) / changes))
		defer t.Stop()
		tick = t.C
	}
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return err
		case <-tick:
			state := "up"
			if next/nodes%2 == 0 {
				state = "draining"
			}
			if err := s.put(next%nodes, state); err != nil {
				return err
			}
			next++
		case line := <-lines:
			if err := s.Do(line); err != nil {
				fmt.Fprintln(out, err)
			}
		}
	}
}

// Commands that Do knows.
const Commands = "put KEY VALUE, delete KEY, compact, save, restart [saved], wipe, cut, down, up, heal, FAULT [CHANCE]"

// Do what a line says.
func (s *Store) Do(line string) error {
	word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch word {
	case "":
	case "put":
		key, value, _ := strings.Cut(rest, " ")
		_, err := s.Put(&pb.PutRequest{Key: []byte(key), Value: []byte(value)})
		return err
	case "delete":
		_, err := s.DeleteRange(&pb.DeleteRangeRequest{Key: []byte(rest)})
		return err
	case "compact":
		return s.Compact(s.Revision())
	case "save":
		s.saved = s.Save()
	case "restart":
		if rest == "saved" {
			s.Restart(s.saved)
		} else {
			s.Restart(nil)
		}
	case "wipe":
		s.Wipe()
	case "cut":
		s.Cut()
	case "down":
		s.Down()
	case "up":
		s.Up()
	case "heal":
		s.Heal()
	default:
		for f, name := range kvd.Names() {
			if name != word {
				continue
			}
			chance := 1.0
			if rest != "" {
				var err error
				if chance, err = strconv.ParseFloat(rest, 64); err != nil {
					return err
				}
			}
			if kvd.Fault(f) == kvd.Slow {
				s.SetSlow(time.Duration(chance * float64(time.Second)))
			} else {
				s.Set(kvd.Fault(f), chance)
			}
			return nil
		}
		return fmt.Errorf("%q is none of: %s; faults are %s", word, Commands, strings.Join(kvd.Names(), ", "))
	}
	return nil
}

// Figures of a measurement; times in milliseconds.
type Figures struct {
	Entries int     `json:"entries"`
	Share   float64 `json:"share_changed_each_second"`
	Seconds float64 `json:"seconds"`
	First   float64 `json:"first_list_ms"`
	Heap    float64 `json:"heap_mb"` // that is held once the list is there, beyond what was before
	Peak    float64 `json:"peak_resident_mb"`
	Base    float64 `json:"resident_before_mb"`
	Changes int64   `json:"changes"`
	Median  float64 `json:"change_median_ms"`
	P99     float64 `json:"change_p99_ms"`
	Most    float64 `json:"change_max_ms"`
	Broke   int     `json:"breaks"`
}

// Table writes the figures for people.
func (f Figures) Table(w io.Writer) {
	fmt.Fprintf(w, "%d entries, %.3g %% changed each second, %.0f s\n", f.Entries, 100*f.Share, f.Seconds)
	fmt.Fprintf(w, "first list   %.0f ms\n", f.First)
	fmt.Fprintf(w, "heap held    %.2f MB; resident %.1f MB before, %.1f MB at most\n", f.Heap, f.Base, f.Peak)
	fmt.Fprintf(w, "a change     %.2f ms median, %.2f ms 99 %%, %.2f ms at most, of %d; %d breaks\n", f.Median, f.P99, f.Most, f.Changes, f.Broke)
}

type sink struct {
	mu    sync.Mutex
	first chan time.Time
	hist  *hdrhistogram.Histogram
	broke int
}

func (s *sink) Said(whole bool, _ int64, entries []roster.Entry) {
	now := time.Duration(time.Now().UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		select {
		case s.first <- time.Now():
		default:
		}
		return
	}
	for i := range entries {
		s.hist.RecordValue(max(1, (now - entries[i].Started).Microseconds()))
	}
}

func (s *sink) Heard() {}

func (s *sink) Broke(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broke++
}

// Measure follows a store that a child process runs; serve is the command line that starts one.
func Measure(serve []string, entries int, share float64, last time.Duration) (f Figures, err error) {
	child := exec.Command(serve[0], serve[1:]...)
	child.Stderr, child.SysProcAttr = os.Stderr, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := child.StdoutPipe()
	if err != nil {
		return f, err
	}
	in, err := child.StdinPipe() // stays open: a store without lines to read goes on
	if err != nil {
		return f, err
	}
	defer in.Close()
	if err := child.Start(); err != nil {
		return f, err
	}
	defer child.Wait()
	defer child.Process.Kill()
	line, err := bufio.NewReader(out).ReadString('\n')
	at, ok := strings.CutPrefix(strings.TrimSpace(line), ready)
	if err != nil || !ok {
		return f, fmt.Errorf("the store says %q: %v", line, err)
	}
	f = Figures{Entries: entries, Share: share, Seconds: last.Seconds(), Base: Resident("VmRSS")}
	before := heap()
	s := &sink{first: make(chan time.Time, 1), hist: hdrhistogram.New(1, 60e6, 3)}
	held := heap() - before // the histogram's own
	began := time.Now()
	c, err := kv.New(kv.Settings{Endpoints: []string{at}, Prefix: Prefix,
		Started: func(ms float64) time.Duration { return time.Duration(ms * 1e6) }}, s)
	if err != nil {
		return f, err
	}
	defer c.Close()
	select {
	case t := <-s.first:
		f.First = t.Sub(began).Seconds() * 1e3
	case <-time.After(time.Minute):
		return f, fmt.Errorf("no list within a minute")
	}
	f.Peak = Resident("VmHWM")
	f.Heap = (heap() - before - held) / (1 << 20)
	time.Sleep(last)
	f.Peak = max(f.Peak, Resident("VmHWM"))
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := func(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1e3 }
	f.Changes, f.Median, f.P99, f.Most, f.Broke = s.hist.TotalCount(), ms(50), ms(99), float64(s.hist.Max())/1e3, s.broke
	return f, nil
}

// heap in use, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Resident reads a figure of this process in MB: VmRSS is what is, VmHWM what was at most.
func Resident(key string) float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		if name, rest, ok := bytes.Cut(line, []byte(":")); ok && string(name) == key {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(string(bytes.TrimSpace(rest)), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}
