package main

import (
	"reflect"

	"pewterrudder/internal/config"
	"pewterrudder/internal/message"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/routes"
	"pewterrudder/internal/zones"
)

// layout gives the routes, pools and zones of the settings file the form that the reducer takes.
func layout(cfg *config.Config) (reducer.Layout, error) {
	s := &cfg.Service
	table, err := s.Table(classNames(cfg))
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
		l.Pools = append(l.Pools, specOf(&pools[i], zoned))
	}
	if len(s.Routes) == 0 {
		return l, nil
	}
	fallback := max(0, s.DefaultPool())
	l.Route = func(c *reducer.Call) int {
		entry := table.Match(matchedBy(c))
		if entry == routes.None {
			return fallback
		}
		return table.Pool(entry, stickiness(c))
	}
	return l, nil
}

// specOf gives a pool the form that the reducer takes.
func specOf(p *config.Pool, zoned *zones.Settings) reducer.PoolSpec {
	return reducer.PoolSpec{Name: p.Name, Selector: p.Members.Selector(), MaxOpen: p.MaxOpen, Zones: zoned}
}

// matchedBy is what of a call routes are matched by.
func matchedBy(c *reducer.Call) (host, path, method, class string) {
	r := c.Message.(*message.Call).Request
	return r.Host, routes.PathOf(r.RequestURI), r.Method, r.Header.Get("X-Class")
}

// stickiness is what a call draws its pool of a split by.
func stickiness(c *reducer.Call) uint64 {
	return routes.Key(c.Message.(*message.Call).Request.Header.Get("Idempotency-Key"), c.Key, c.ClientID)
}

// samePools says whether two configurations divide the fleet alike.
func samePools(a, b *config.Config) bool {
	x, y := &a.Service, &b.Service
	return reflect.DeepEqual(x.Routes, y.Routes) && reflect.DeepEqual(x.Pools, y.Pools) && reflect.DeepEqual(x.Zones, y.Zones)
}
