package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pewterrudder/internal/lab/flowrig"
	"pewterrudder/internal/lab/kvd"
	"pewterrudder/internal/lab/kvrig"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
)

const (
	sourceChanges = 20
	sourcePage    = 1000 // as the balancer reads
	// watchedKeys are those of a store whose watches are measured: their number plays no part in that.
	watchedKeys = 1000
	silentFor   = 3 * time.Second
	// wordsFor bounds the wait for what watches are to hear.
	wordsFor = 20 * time.Second
)

var (
	watchSizes = []int{10, 100, 250}
	keySizes   = []int{1000, 10_000, 50_000}
	// catalogSizes are tenants; the last are all that are coming.
	catalogSizes = []int{1000, 30_000, 300_000}
)

// measureDiscovery tells changes to watches on loopback, from one thread.
func measureDiscovery(_ context.Context, o *Options, _ *Results) ([]*Slope, error) {
	s := &Slope{Name: "discovery.cpu", What: "one changed entry told to all watches", X: "watches", Unit: "us",
		Note: "the lab's own, which writes one line to one socket after the other; the platform's discovery is not ours to measure"}
	d, err := newListing(1, 1)
	if err != nil {
		return []*Slope{s}, err
	}
	defer d.close()
	var open []net.Conn
	defer func() {
		for _, nc := range open {
			nc.Close()
		}
	}()
	for _, n := range watchSizes {
		for len(open) < n {
			nc, err := net.Dial("tcp4", d.address())
			if err != nil {
				return []*Slope{s}, err
			}
			open = append(open, nc)
			if _, err := io.WriteString(nc, "GET /registry/instances?follow=1&since=1 HTTP/1.1\r\nHost: discovery\r\n\r\n"); err != nil {
				return []*Slope{s}, err
			}
			go io.Copy(io.Discard, nc)
		}
		for until := time.Now().Add(wordsFor); d.watches() < n; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				return []*Slope{s}, fmt.Errorf("%d of %d watches are open", d.watches(), n)
			}
		}
		var total time.Duration
		for i := range sourceChanges {
			_, took := d.change(0, 1, i%2 == 0)
			total += took
			time.Sleep(5 * time.Millisecond)
		}
		s.add(float64(n), us(total)/sourceChanges)
	}
	return []*Slope{s}, nil
}

// startStore runs the lab's store in a process of its own.
func startStore(keys int) (*flowrig.Process, string, error) {
	p, err := flowrig.StartRole("kvd", "serve", "--listen", "127.0.0.1:0", "--nodes", strconv.Itoa(keys))
	if err != nil {
		return nil, "", err
	}
	at := p.Addr[strings.LastIndexByte(p.Addr, ' ')+1:]
	return p, "http://" + at, nil
}

// ask posts a question of etcd's gateway and reads the answer whole.
func ask(ctx context.Context, at string, question object) ([]byte, error) {
	raw, err := json.Marshal(question)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	said, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answers %s: %.200q", at, resp.Status, said)
	}
	return said, err
}

func encoded(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// prefixEnd is the first key behind kvrig.Prefix.
var prefixEnd = kvrig.Prefix[:len(kvrig.Prefix)-1] + string(kvrig.Prefix[len(kvrig.Prefix)-1]+1)

// measureSource reads and watches the lab's store as a balancer does, over etcd's gateway.
func measureSource(ctx context.Context, _ *Options, _ *Results) ([]*Slope, error) {
	const note = "the lab's store in etcd's form, in memory; etcd writes to a disk besides"
	memory := &Slope{Name: "source.memory", What: "resident with so many entries", X: "keys", Unit: "MB", Note: note}
	whole := &Slope{Name: "source.whole_bytes", What: "all entries read once", X: "keys", Unit: "B", Note: note + "; entries of app nodes, some 130 bytes each"}
	wholeCPU := &Slope{Name: "source.whole_cpu", What: "all entries read once", X: "keys", Unit: "ms", Note: note}
	change := &Slope{Name: "source.change_bytes", What: "one change to all watches", X: "watches", Unit: "B", Note: note}
	changeCPU := &Slope{Name: "source.change_cpu", What: "one change to all watches", X: "watches", Unit: "us", Note: note}
	idle := &Slope{Name: "source.idle_bytes", What: "watches that say nothing", X: "watches", Unit: "B/s",
		Note: "with a progress note every second; without them each balancer opens its watch anew every 2 s, which is not in this"}
	idleCPU := &Slope{Name: "source.idle_cpu", What: "watches that say nothing", X: "watches", Unit: "ms/s", Note: note}
	all := []*Slope{memory, whole, wholeCPU, change, changeCPU, idle, idleCPU}
	for _, n := range keySizes {
		if err := wholeReading(ctx, n, memory, whole, wholeCPU); err != nil {
			return all, err
		}
	}
	p, at, err := startStore(watchedKeys)
	if err != nil {
		return all, err
	}
	defer p.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watches{at: at}
	for _, n := range watchSizes {
		if err := w.open(ctx, n); err != nil {
			return all, err
		}
		before, err := p.CPU()
		if err != nil {
			return all, err
		}
		said, began := w.bytes.Load(), time.Now()
		time.Sleep(silentFor)
		rested, err := p.CPU()
		if err != nil {
			return all, err
		}
		took := time.Since(began).Seconds()
		x, rest := float64(n), (rested-before).Seconds()/took
		idle.add(x, float64(w.bytes.Load()-said)/took)
		idleCPU.add(x, msPerSecond(rest))
		told, quiet := w.events.Load(), w.bytes.Load()
		began = time.Now()
		for i := range sourceChanges {
			if _, err := ask(ctx, at+"/v3/kv/put", object{"key": encoded(fmt.Sprintf("%ss-%05d", kvrig.Prefix, i)),
				"value": encoded(fmt.Sprintf(`{"id":"s-%05d","address":"10.0.0.%d:5000","zone":"z1","kind":"m1","cell":3,"weight":1.5,"state":"up"}`, i, i))}); err != nil {
				return all, err
			}
		}
		for until := time.Now().Add(wordsFor); w.events.Load()-told < int64(n*sourceChanges); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				return all, fmt.Errorf("%d of %d words have come", w.events.Load()-told, n*sourceChanges)
			}
		}
		after, err := p.CPU()
		if err != nil {
			return all, err
		}
		span := time.Since(began)
		change.add(x, (float64(w.bytes.Load()-quiet)-idle.Points[len(idle.Points)-1].Y*span.Seconds())/sourceChanges)
		changeCPU.add(x, us(after-rested-time.Duration(rest*float64(span)))/sourceChanges)
	}
	return all, errors.Join(w.err())
}

// wholeReading reads all entries of a store twice, page by page; the first time makes what is made once.
func wholeReading(ctx context.Context, keys int, memory, whole, cpu *Slope) error {
	p, at, err := startStore(keys)
	if err != nil {
		return err
	}
	defer p.Stop()
	for turn := range 2 {
		before, err := p.CPU()
		if err != nil {
			return err
		}
		total := 0
		for from, more := kvrig.Prefix, true; more; {
			raw, err := ask(ctx, at+"/v3/kv/range", object{"key": encoded(from), "range_end": encoded(prefixEnd), "limit": sourcePage})
			if err != nil {
				return err
			}
			var page struct {
				Kvs []struct {
					Key []byte `json:"key"`
				} `json:"kvs"`
				More bool `json:"more"`
			}
			if err := json.Unmarshal(raw, &page); err != nil || len(page.Kvs) == 0 {
				return fmt.Errorf("a page of %d bytes with %d entries: %v", len(raw), len(page.Kvs), err)
			}
			from, more, total = string(page.Kvs[len(page.Kvs)-1].Key)+"\x00", page.More, total+len(raw)
		}
		after, err := p.CPU()
		if err != nil {
			return err
		}
		if turn == 0 {
			continue
		}
		cpu.add(float64(keys), ms(after-before))
		whole.add(float64(keys), float64(total))
	}
	now, _, err := p.Memory()
	memory.add(float64(keys), float64(now)/1024)
	return err
}

// watches on a store. Each counts what comes; its events are those of the keys.
type watches struct {
	at     string
	n      int
	opened atomic.Int64
	bytes  atomic.Int64
	events atomic.Int64

	mu   sync.Mutex
	fail error
}

// open so many, and wait until the store has said of each that it is.
func (w *watches) open(ctx context.Context, n int) error {
	for ; w.n < n; w.n++ {
		go func() {
			if err := w.follow(ctx); err != nil && ctx.Err() == nil {
				w.mu.Lock()
				w.fail = errors.Join(w.fail, err)
				w.mu.Unlock()
			}
		}()
	}
	for until := time.Now().Add(wordsFor); w.opened.Load() < int64(n); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) || w.err() != nil {
			return fmt.Errorf("%d of %d watches are open: %v", w.opened.Load(), n, w.err())
		}
	}
	return nil
}

func (w *watches) err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fail
}

func (w *watches) follow(ctx context.Context) error {
	raw, err := json.Marshal(object{"create_request": object{"key": encoded(kvrig.Prefix), "range_end": encoded(prefixEnd), "progress_notify": true,
		"fragment": true}})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.at+"/v3/watch", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Contains(line, []byte(`"created":true`)) {
			w.opened.Add(1)
			continue
		}
		w.bytes.Add(int64(len(line) + 1))
		w.events.Add(int64(bytes.Count(line, []byte(`"kv":`))))
	}
	return lines.Err()
}

const (
	// leastEntry is less than any entry takes on the wire.
	leastEntry = 50
	// noteBytes is more than notes take within a look.
	noteBytes = 4096
)

// counting is a listener that counts what is written to those who come.
type counting struct {
	net.Listener
	written atomic.Int64
}

// read waits until so many entries have been written, and nothing follows but now and then a note. A program may take the section
// of settings and ask the store for nothing.
func (c *counting) read(entries int) error {
	last, quiet := int64(0), 0
	for until := time.Now().Add(wordsFor); ; time.Sleep(quietEach) {
		now := c.written.Load()
		if quiet++; now-last > noteBytes {
			quiet = 0
		}
		last = now
		switch {
		case now >= int64(entries*leastEntry) && quiet >= quietLooks:
			return nil
		case now == 0 && time.Until(until) < wordsFor-quietMost, time.Now().After(until):
			return fmt.Errorf("the section is taken, and of %d entries %d bytes are read", entries, now)
		}
	}
}

func (c *counting) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{nc, c}, nil
}

type counted struct {
	net.Conn
	by *counting
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.by.written.Add(int64(n))
	return n, err
}

// measureCatalog has a balancer follow settings in a store, where the program does that, and changes one tenant after the
// other.
func measureCatalog(ctx context.Context, o *Options, r *Results) ([]*Slope, error) {
	const x, prefix = "tenants", "capacity/"
	change := &Slope{Name: "catalog.change_cpu", What: "one tenant changed", X: x, Unit: "us"}
	memory := &Slope{Name: "catalog.memory", What: "the most resident once all entries are in force", X: x, Unit: "MB"}
	started := &Slope{Name: "catalog.start_cpu", What: "processor time of a start, all entries read", X: x, Unit: "ms"}
	whole := &Slope{Name: "catalog.whole_bytes", What: "read at a start", X: x, Unit: "B"}
	all := []*Slope{change, memory, started, whole}
	for _, n := range catalogSizes {
		if err := ctx.Err(); err != nil {
			return all, err
		}
		server := kvd.New(kvd.Options{})
		put := func(key string, value any) error {
			raw, err := json.Marshal(value)
			if err == nil {
				_, err = server.Put(&pb.PutRequest{Key: []byte(prefix + key), Value: raw})
			}
			return err
		}
		terms := func(i, turn int) object {
			t := tenant(i, turn)
			delete(t, "name")
			return t
		}
		err := func() error {
			tcp, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return err
			}
			lis := &counting{Listener: tcp}
			go server.Serve(lis)
			defer server.Close()
			for i := range n {
				if err := put(fmt.Sprintf("tenants/tenant-%06d", i), terms(i, 0)); err != nil {
					return err
				}
			}
			b, _, end, err := o.balancer(1, installation{catalog: &store{[]string{"http://" + lis.Addr().String()}, prefix}})
			if err != nil {
				return err
			}
			defer end()
			if err := lis.read(n); err != nil {
				return err
			}
			b.rest = 0 // until now it was reading
			if err := b.settle(); err != nil {
				return err
			}
			if b.rest, err = b.idle(restFor); err != nil {
				return err
			}
			whole.add(float64(n), float64(lis.written.Load()))
			took, most, err := b.soFar()
			if err != nil {
				return err
			}
			started.add(float64(n), ms(took))
			memory.add(float64(n), most)
			told := lis.written.Load()
			if took, err = b.spent(func() error {
				for i := range sourceChanges {
					if err := put(fmt.Sprintf("tenants/tenant-%06d", i), terms(i, 1)); err != nil {
						return err
					}
					time.Sleep(10 * time.Millisecond) // they come one by one
				}
				return nil
			}); err != nil {
				return err
			}
			if told = lis.written.Load() - told; told < sourceChanges*leastEntry {
				return fmt.Errorf("%d changes were told in %d bytes", sourceChanges, told)
			}
			change.add(float64(n), us(took)/sourceChanges)
			return nil
		}()
		if err != nil {
			why := refusal(err)
			for _, s := range all {
				s.Refused = why
			}
			r.Probes = append(r.Probes, Probe{Name: "catalog", Why: why})
			return all, nil
		}
	}
	r.Probes = append(r.Probes, Probe{Name: "catalog", Taken: true})
	return all, nil
}
