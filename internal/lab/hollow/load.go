package hollow

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pewterrudder/internal/lab/kvrig"
)

// tick is the grain of what is said of a second.
const tick = 100 * time.Millisecond

// Load is what the source has given since it was last asked.
type Load struct {
	Bytes          int64   `json:"bytes"`
	BytesMostInS   int64   `json:"bytes_most_in_a_second"`
	Calls          int64   `json:"calls"`
	CallsMostInS   int64   `json:"calls_most_in_a_second"`
	Wholes         int64   `json:"whole_lists"`
	Open           int64   `json:"watches_open"`
	CPU            float64 `json:"cpu_s"` // of its process since that began
	PeakResidentMB float64 `json:"peak_resident_mb"`
}

// meter counts what a source gives.
type meter struct {
	bytes, calls, wholes, open atomic.Int64

	mu   sync.Mutex
	from load
	most load     // of a second
	ring [10]load // what had been counted ten ticks ago
	at   int
}

type load struct{ bytes, calls, wholes int64 }

func (m *meter) now() load { return load{m.bytes.Load(), m.calls.Load(), m.wholes.Load()} }

// count keeps what the most of a second was, until done.
func (m *meter) count(done <-chan struct{}) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.mu.Lock()
			m.keep(m.now())
			m.mu.Unlock()
		case <-done:
			return
		}
	}
}

func (m *meter) keep(now load) {
	was := m.ring[m.at]
	m.ring[m.at] = now
	m.at = (m.at + 1) % len(m.ring)
	m.most.bytes, m.most.calls = max(m.most.bytes, now.bytes-was.bytes), max(m.most.calls, now.calls-was.calls)
}

// take gives the load since the last time as JSON, and begins anew.
func (m *meter) take() (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.keep(now)
	raw, err := json.Marshal(Load{Bytes: now.bytes - m.from.bytes, Calls: now.calls - m.from.calls, Wholes: now.wholes - m.from.wholes,
		BytesMostInS: m.most.bytes, CallsMostInS: m.most.calls, Open: m.open.Load(), CPU: processCPU().Seconds(),
		PeakResidentMB: kvrig.Resident("VmHWM")})
	m.from, m.most = now, load{}
	return string(raw), err
}

// Answer does what lines say, one answer to each, until there are no more.
func Answer(do func(line string) (string, error), in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		answer, err := do(lines.Text())
		if err != nil {
			answer = "error " + err.Error()
		}
		if _, err := fmt.Fprintln(out, answer); err != nil {
			return err
		}
	}
	return lines.Err()
}

// processCPU is what this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
