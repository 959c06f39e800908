package main

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry/eureka"
	"pewterrudder/internal/registry/kv"
	"pewterrudder/internal/roster"
)

// sources are the registries beside the platform's discovery that the settings file names, each with its place among them.
type sources struct {
	eureka map[int]*eureka.Client
	kv     map[int]*kv.Client
}

// sink posts what a source says.
type sink struct {
	post   func(reducer.Event)
	source int
}

func (s sink) Said(whole bool, revision int64, entries []roster.Entry) {
	s.post(reducer.SourceList{Source: s.source, Complete: whole, Revision: revision, Entries: entries})
}
func (s sink) Heard()          { s.post(reducer.SourceAlive{Source: s.source}) }
func (s sink) Broke(err error) { s.post(reducer.SourceFailed{Source: s.source, Err: err}) }

// believe gives the state the roster that the settings file asks for, and says which of its sources is discovery, -1 for
// none. Where discovery is alone and its word is the list there is no roster.
func believe(cfg *config.Config, state *reducer.Reducer) (discovery int, err error) {
	discovery = -1
	set := &cfg.Service.Roster
	if set.DiscoveryAlone() {
		return discovery, nil
	}
	m, err := roster.New(set.Rules())
	if err != nil {
		return discovery, fmt.Errorf("settings file: %w", err)
	}
	for i := range set.Sources {
		if set.Sources[i].Kind == config.Discovery {
			discovery = i
		}
	}
	state.UseRoster(m, discovery)
	return discovery, nil
}

// follow starts the sources. What they open is given back by stop.
func follow(cfg *config.Config, post func(reducer.Event), now func() time.Duration, started func(ms float64) time.Duration) (*sources, error) {
	all := &sources{eureka: map[int]*eureka.Client{}, kv: map[int]*kv.Client{}}
	set := &cfg.Service.Roster
	for i := range set.Sources {
		src := &set.Sources[i]
		name := src.Name
		say := func(text string) { log.Printf("%s: %s", name, text) }
		switch src.Kind {
		case config.Eureka:
			self, err := selfOf(cfg, src)
			if err != nil {
				all.stop()
				return nil, fmt.Errorf("settings file: roster.sources[%d].%w", i, err)
			}
			c, err := eureka.New(eureka.Settings{Addresses: src.Addresses, Apps: src.Apps, Keys: eureka.DefaultKeys(), Self: self,
				Seed: cfg.Prng, Now: now, Started: started, Log: say}, sink{post, i})
			if err != nil {
				all.stop()
				return nil, fmt.Errorf("settings file: roster.sources[%d]: %w", i, err)
			}
			all.eureka[i] = c
			c.Start()
		case config.KV:
			c, err := kv.New(kv.Settings{Endpoints: src.Addresses, Prefix: src.Prefix, Started: started, Log: say, Seed: cfg.Prng}, sink{post, i})
			if err != nil {
				all.stop()
				return nil, fmt.Errorf("settings file: roster.sources[%d]: %w", i, err)
			}
			all.kv[i] = c
		}
	}
	return all, nil
}

// selfOf is the balancer's own instance in a registry, where it is to be shown there.
func selfOf(cfg *config.Config, src *config.Source) (*eureka.Self, error) {
	if src.Register == "" {
		return nil, nil
	}
	host, port, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("register: listen: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("register: listen: %w", err)
	}
	return &eureka.Self{App: src.Register, ID: cfg.Name + ":" + port, Host: host, IP: host, Port: n,
		Metadata: map[string]string{"zone": cfg.Brain.Zone}}, nil
}

// show tells the registries that the balancer itself is in how it does.
func (s *sources) show(status eureka.Status) {
	for _, c := range s.eureka {
		c.Show(status)
	}
}

// again has a source tell its whole list. Eureka's client finds by itself when its deltas do not follow.
func (s *sources) again(source int) {
	if c := s.kv[source]; c != nil {
		c.Again()
	}
}

// stop gives back what follow has opened, and leaves the registries that the balancer is in.
func (s *sources) stop() {
	for _, c := range s.eureka {
		c.Close()
	}
	for _, c := range s.kv {
		c.Close()
	}
}
