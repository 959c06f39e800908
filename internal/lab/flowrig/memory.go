package flowrig

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// MemoryCase is one measurement of resident memory: so many clients that read one answer each, slowly and at once.
type MemoryCase struct {
	Readers  int `json:"readers"`
	Bytes    int `json:"bytes"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// MemoryRow is what came of it. Memory is that of the balancer's process.
type MemoryRow struct {
	MemoryCase
	BaseKB    int     `json:"base_kb"`    // resident after the warm-up
	PeakKB    int     `json:"peak_kb"`    // VmHWM since then
	SampledKB int     `json:"sampled_kb"` // the largest VmRSS seen
	EachKB    float64 `json:"each_kb"`    // (peak - base) for each reader
	Whole     int     `json:"whole"`      // by hash
	Refused   int     `json:"refused"`    // 503 or 429
	Failed    int     `json:"failed"`     // any other end
	Seconds   float64 `json:"seconds"`
	QueuedKB  int     `json:"queued_kb"` // in the kernel's queues of its sockets, at the most
	FirstFail string  `json:"first_fail,omitempty"`
}

// Memory is the table.
type Memory struct {
	Program string      `json:"program"`
	Rate    int         `json:"rate"` // bytes a second of each reader
	Rows    []MemoryRow `json:"rows"`
}

const (
	memoryNodes  = 4 // so that no limit on the calls of one app node is what is measured
	slowWindow   = 32 << 10
	slowPiece    = 8 << 10
	sampleEvery  = 20 * time.Millisecond
	queuedEvery  = 10   // samples: reading every socket of the machine costs more
	warmUpCalls  = 2000 // makes pools, stacks and the runtime's own memory, and a few collections
	warmUpConns  = 16
	slowPatience = 110 * time.Second // for a whole row
)

// MemoryCases is the standard table.
func MemoryCases() []MemoryCase {
	const mb = 1 << 20
	return []MemoryCase{
		{1, mb, 192, 1024}, {16, mb, 192, 1024}, {64, mb, 192, 1024}, {256, mb, 192, 1024},
		{1, 4 * mb, 192, 1024}, {16, 4 * mb, 192, 1024}, {64, 4 * mb, 192, 1024},
		{64, mb, 32, 256},
	}
}

// MeasureMemory runs the cases one after the other, each on a balancer of its own.
func MeasureMemory(program string, rate int, cases []MemoryCase, progress io.Writer) (*Memory, error) {
	m := &Memory{Program: program, Rate: rate}
	for _, c := range cases {
		row, err := measureMemory(program, rate, c)
		if err != nil {
			return m, fmt.Errorf("%d readers of %d bytes: %w", c.Readers, c.Bytes, err)
		}
		m.Rows = append(m.Rows, row)
		fmt.Fprintf(progress, "%d readers of %d KiB: %d whole, peak %d KiB\n", c.Readers, c.Bytes>>10, row.Whole, row.PeakKB)
	}
	return m, nil
}

func measureMemory(program string, rate int, c MemoryCase) (MemoryRow, error) {
	row := MemoryRow{MemoryCase: c}
	stock := new(Stock)
	setup := Setup{Classes: []Class{Bulk}, MemoryMB: c.MemoryMB, Sockets: c.Sockets, Attempts: 2}
	for range memoryNodes {
		n, err := NewNode(stock.Serve)
		if err != nil {
			return row, err
		}
		defer n.Close()
		setup.Nodes = append(setup.Nodes, n.Addr())
	}
	p, err := StartBalancer(program, setup)
	if err != nil {
		return row, err
	}
	defer p.Stop()
	if err := Settle(p.Addr, stock); err != nil {
		return row, err
	}
	warm := Load{Addr: p.Addr, Conns: warmUpConns, Calls: warmUpCalls, Bytes: 200, Stock: stock}
	if _, err := warm.Run(); err != nil {
		return row, fmt.Errorf("warm-up: %w", err)
	}
	if row.BaseKB, _, err = p.Memory(); err != nil {
		return row, err
	}
	if err := p.ForgetPeak(); err != nil {
		return row, err
	}

	stop, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for tick, n := time.NewTicker(sampleEvery), 0; ; {
			if now, _, err := p.Memory(); err == nil {
				row.SampledKB = max(row.SampledKB, now)
			}
			if n++; n%queuedEvery == 0 {
				row.QueuedKB = max(row.QueuedKB, queued(p.Addr, setup.Nodes))
			}
			select {
			case <-tick.C:
			case <-stop:
				tick.Stop()
				return
			}
		}
	}()
	answers := make([]Answer, c.Readers)
	var all sync.WaitGroup
	began := time.Now()
	for i := range answers {
		all.Go(func() { answers[i] = slowCall(p.Addr, c.Bytes, rate, uint64(i)) })
	}
	all.Wait()
	row.Seconds = time.Since(began).Seconds()
	close(stop)
	<-sampled
	for i, a := range answers {
		switch {
		case a.Err == nil && a.Status == http.StatusOK && a.Length == int64(c.Bytes) && a.Sum == stock.Sum(c.Bytes, uint64(i)):
			row.Whole++
			continue
		case a.Err == nil && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests):
			row.Refused++
		default:
			row.Failed++
		}
		if row.FirstFail == "" {
			row.FirstFail = a.String()
		}
	}
	if _, row.PeakKB, err = p.Memory(); err != nil {
		return row, errors.Join(err, errors.New(p.Log()))
	}
	row.EachKB = float64(row.PeakKB-row.BaseKB) / float64(c.Readers)
	return row, nil
}

func slowCall(addr string, n, rate int, id uint64) Answer {
	c, err := Dial(addr, slowWindow)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	c.Deadline(slowPatience)
	err = c.Send(Ask{Path: Path(Bulk.Name, n, id), ID: fmt.Sprint("slow-", id), Class: Bulk.Name, Wait: slowPatience})
	if err != nil {
		return Answer{Err: err}
	}
	resp, err := c.Response("GET")
	if err != nil {
		return Answer{Err: err}
	}
	return Drain(resp, &Slow{R: resp.Body, Rate: rate, Piece: slowPiece})
}

// queued is how many bytes lie in the kernel's queues of the balancer's own sockets, in both directions: bodies that
// have left the balancer for a client's socket, or have not come in from an app node's yet, are in no process's memory.
// The sockets are told by their ports (proc(5), /proc/net/tcp).
func queued(listen string, nodes []string) (kb int) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	port := func(addr string) string {
		_, p, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(p)
		return fmt.Sprintf("%04X", n)
	}
	near, far := port(listen), map[string]bool{}
	for _, n := range nodes {
		far[port(n)] = true
	}
	sum := int64(0)
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == "0A" { // a listener's queue is of connections
			continue
		}
		_, local, _ := strings.Cut(f[1], ":")
		_, remote, _ := strings.Cut(f[2], ":")
		if local != near && !far[remote] {
			continue
		}
		tx, rx, _ := strings.Cut(f[4], ":")
		for _, q := range []string{tx, rx} {
			n, _ := strconv.ParseInt(q, 16, 64)
			sum += n
		}
	}
	return int(sum >> 10)
}

// Table writes the rows for people.
func (m *Memory) Table(w io.Writer) {
	fmt.Fprintf(w, "balancer %s, each reader %d KiB/s in pieces of %d KiB\n", m.Program, m.Rate>>10, slowPiece>>10)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "readers\tanswer KiB\tlimit MB\tsockets\tbase KiB\tpeak KiB\tsampled KiB\teach KiB\twhole\trefused\tfailed\ts\tqueued KiB\t")
	for _, r := range m.Rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%.1f\t%d\t\n", r.Readers, r.Bytes>>10, r.MemoryMB, r.Sockets,
			r.BaseKB, r.PeakKB, r.SampledKB, r.EachKB, r.Whole, r.Refused, r.Failed, r.Seconds, r.QueuedKB)
	}
	t.Flush()
	for _, r := range m.Rows {
		if r.FirstFail != "" {
			fmt.Fprintf(w, "%d readers of %d KiB: the first not whole: %s\n", r.Readers, r.Bytes>>10, r.FirstFail)
		}
	}
}
