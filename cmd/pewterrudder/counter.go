package main

import (
	"fmt"
	"log"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"pewterrudder/internal/acceptor"
	"pewterrudder/internal/admin"
	"pewterrudder/internal/beside"
	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
)

// counter is what the second address sees of the balancer.
type counter struct {
	post    func(reducer.Event)
	is      *standing
	tries   func() uint64
	figures atomic.Pointer[reducer.Figures] // as last published
	fellows fellows                         // nil: none
	entries *entries                        // nil: none
	server  *admin.Server
}

// attend opens the second address and answers there. Where there is none nothing is opened.
func attend(cfg *config.Config, post func(reducer.Event), is *standing, tries func() uint64, others fellows, told *entries) (*counter, error) {
	d := &counter{post: post, is: is, tries: tries, fellows: others, entries: told}
	d.figures.Store(new(reducer.Figures))
	if cfg.Control == "" {
		return d, nil
	}
	l, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	d.server = admin.New(d)
	go func() {
		if err := d.server.Serve(l); err != nil {
			log.Print("control: ", err) // traffic goes on
		}
	}()
	return d, nil
}

func (d *counter) close() {
	if d.server != nil {
		d.server.Close()
	}
}

func (d *counter) Ready() bool {
	return d.is.ready.Load() && !d.is.draining.Load() && !d.is.away.Load()
}

func (d *counter) packets() any {
	if d.fellows == nil {
		return nil
	}
	return d.fellows.Counts()
}

func (d *counter) Drain(done func())    { d.post(reducer.Drain{Done: done}) }
func (d *counter) Activate(done func()) { d.post(reducer.Activate{Done: done}) }

// Metrics returns the metrics as operators read them.
func (d *counter) Metrics() any {
	f := d.figures.Load()
	return struct {
		OK       map[string]uint64 `json:"ok"`
		Shed     map[string]uint64 `json:"shed"`
		Errors   map[string]uint64 `json:"errors"`
		Tries    uint64            `json:"tries"`
		Active   int               `json:"active"`
		Listed   int               `json:"pool_size"`
		Avoided  int               `json:"pool_ejected"`
		Applied  uint64            `json:"config_applied"`
		Rejected uint64            `json:"config_rejected"`
		Fleet    *reducer.Fleet    `json:"peers,omitempty"`
		Packets  any               `json:"peers_counts,omitempty"`
		Catalog  any               `json:"catalog,omitempty"`
	}{f.OK, f.Shed, f.Errors, d.tries(), f.Active, f.Listed, f.Avoided, f.Applied, f.Rejected, f.Fleet, d.packets(), d.entries.figures()}
}

// company is how often it is looked whether another process serves at the same address.
const company = 250 * time.Millisecond

// attendCompany leaves this process's mark in the folder that versions of the balancer share, and tells of others' marks
// until stop. Where there is no such folder the process is alone as far as it knows.
func attendCompany(cfg *config.Config, post func(reducer.Event)) (stop func()) {
	mark, err := beside.Create(os.Getenv("TMPDIR"), cfg.Listen)
	if err != nil {
		log.Printf("%v; the limits are not shared with another version", err)
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	look := time.NewTicker(company)
	last := mark.OtherProcesses()
	if last > 0 {
		post(reducer.ProcessesChanged{Others: last})
	}
	go func() {
		defer close(ended)
		defer look.Stop()
		for {
			select {
			case <-done:
				return
			case <-look.C:
				if n := mark.OtherProcesses(); n != last {
					last = n
					log.Printf("%d other versions serve at %s", n, cfg.Listen)
					post(reducer.ProcessesChanged{Others: n})
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
		mark.Close()
	}
}

// shareMemory has the collector keep to one part of so many, and work harder while there are several.
func shareMemory(cfg *config.Config, parts int) {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB) * (1 << 20) / float64(parts)))
	percent := 400
	if parts > 1 {
		percent = 100
	}
	debug.SetGCPercent(percent)
}

// share opens the clients' address beside an earlier version of the balancer, if one runs.
func share(address string) (net.Listener, error) {
	l, err := acceptor.Listen(address, true)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
