package main

import (
	"fmt"
	"log"
	"net"
	"sync/atomic"

	"pewterrudder/internal/acceptor"
	"pewterrudder/internal/admin"
	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
)

// counter is what the second address sees of the balancer.
type counter struct {
	post    func(reducer.Event)
	is      *standing
	tries   func() uint64
	figures atomic.Pointer[reducer.Figures] // as last published
	server  *admin.Server
}

// attend opens the second address and answers there. Where there is none nothing is opened.
func attend(cfg *config.Config, post func(reducer.Event), is *standing, tries func() uint64) (*counter, error) {
	d := &counter{post: post, is: is, tries: tries}
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

func (d *counter) Drain(done func())    { d.post(reducer.Drain{Done: done}) }
func (d *counter) Activate(done func()) { d.post(reducer.Activate{Done: done}) }

// Figures are as operators read them.
func (d *counter) Figures() any {
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
	}{f.OK, f.Shed, f.Errors, d.tries(), f.Active, f.Listed, f.Avoided, f.Applied, f.Rejected}
}

// share opens the clients' address beside an earlier version of the balancer, if one runs.
func share(address string) (net.Listener, error) {
	l, err := acceptor.Listen(address, true)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
