package main

import (
	"reflect"

	"pewterrudder/internal/config"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/routes"
)

// layout gives the routes, pools and zones of the settings file the form that the reducer takes.
func layout(cfg *config.Config) (reducer.Layout, error) {
	s := &cfg.Service
	var classes []string
	for i := range cfg.Brain.Classes {
		classes = append(classes, cfg.Brain.Classes[i].Name)
	}
	table, err := s.Table(classes)
	if err != nil {
		return reducer.Layout{}, err
	}
	zoned, err := s.Zones.In(&cfg.Brain)
	if err != nil {
		return reducer.Layout{}, err
	}
	var l reducer.Layout
	pools := s.PoolsInForce()
	for i := range pools {
		p := &pools[i]
		l.Pools = append(l.Pools, reducer.PoolSpec{Name: p.Name, Selector: p.Members.Selector(), MaxOpen: p.MaxOpen, Zones: zoned})
	}
	if len(s.Routes) == 0 {
		return l, nil
	}
	fallback := max(0, s.DefaultPool())
	l.Route = func(c *reducer.Call) int {
		r := c.Message.(*message.Call).Request
		entry := table.Match(r.Host, routes.PathOf(r.RequestURI), r.Method, r.Header.Get("X-Class"))
		if entry == routes.None {
			return fallback
		}
		return table.Pool(entry, routes.Key(r.Header.Get("Idempotency-Key"), c.Key, c.ClientID))
	}
	return l, nil
}

// samePools says whether two configurations divide the fleet alike.
func samePools(a, b *config.Config) bool {
	x, y := &a.Service, &b.Service
	return reflect.DeepEqual(x.Routes, y.Routes) && reflect.DeepEqual(x.Pools, y.Pools) && reflect.DeepEqual(x.Zones, y.Zones)
}
