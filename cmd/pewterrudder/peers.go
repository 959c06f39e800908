package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/view"
	"pewterrudder/internal/reducer"
)

// fellows is the member by which this process hears of the other balancers.
type fellows interface {
	Raise(stamp uint64)
	Say(f view.Fact)
	Rekey(keys []string) error
	Counts() any
	Close()
}

// joinFellows is set where the program is built with peers (peers_on.go).
var joinFellows func(set config.Peers, own view.Life, post func(reducer.Event)) (fellows, error)

// meet gives the state a view of the other balancers and joins them, if the settings file names an address. nil: there are none.
// It must be followed by the goroutine that drives the reducer.
func meet(cfg *config.Config, state *reducer.Reducer, post func(reducer.Event), now func() time.Duration) (fellows, error) {
	set := cfg.Service.Peers
	if set.Address == "" {
		return nil, nil
	}
	if joinFellows == nil {
		return nil, fmt.Errorf("settings file: peers.address: this program is built without peers; bin/pewterrudder-peers has them")
	}
	raw := make([]byte, 8)
	rand.Read(raw)
	own := view.Life{ID: hex.EncodeToString(raw), Name: cfg.Name, Stamp: uint64(time.Now().UnixMilli()), Address: set.Address, Version: version(),
		Zone: cfg.Settings.Zone}
	state.UsePeers(view.New(own, cfg.Brain.Nodes, view.Bounds{Least: set.Least, Most: set.Most, Kinds: reducer.FactLimits()}, now()))
	if set.Subset > 0 {
		if err := state.UseSubsets(set.Subset); err != nil {
			return nil, fmt.Errorf("settings file: peers.subset: %w", err)
		}
	}
	f, err := joinFellows(set, own, post)
	if err == nil {
		log.Printf("peers: %s at %s is life %s", own.Name, own.Address, own.ID)
	}
	return f, err
}

// askWithin bounds the wait for the view of a driving goroutine that is at its end.
const askWithin = time.Second

// askView has the reducer's goroutine show its view; false: it did not in time.
func askView(post func(reducer.Event), look func(v *view.View)) bool {
	done := make(chan struct{})
	post(reducer.PeerEvent{Inspect: func(v *view.View) { look(v); close(done) }})
	select {
	case <-done:
		return true
	case <-time.After(askWithin):
		return false
	}
}
