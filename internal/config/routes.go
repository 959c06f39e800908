package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"pewterrudder/internal/routes"
	"pewterrudder/internal/selector"
)

// Route sends the requests that it matches to a pool, or splits them over several. Keys that are left out match
// everything. internal/routes decides which of several matching routes wins; the order in the file has no meaning.
type Route struct {
	Name    string   `json:"name"`
	Host    string   `json:"host"` // a host name, or *.domain for exactly one label before the domain
	Path    string   `json:"path"` // prefix, in whole path segments
	Methods []string `json:"methods"`
	Class   string   `json:"class"`
	Pool    string   `json:"pool"` // set either Pool or Split
	Split   []Share  `json:"split"`
}

// Share is the weight of a pool in a split, relative to the other weights. A pool of weight 0 is on standby.
type Share struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Pool is a group of app nodes that is balanced on its own.
type Pool struct {
	Name    string  `json:"name"`
	Default bool    `json:"default"` // receives the requests that no route matches
	Members Members `json:"members"`
	MaxOpen int     `json:"max_open"` // concurrent requests; 0: as many as the limits of the machine allow
}

// Members selects app nodes by their entries in the list. An app node must match every key that is set, each by one of
// its values; without any key, all app nodes are members. A name may have one *, which matches any run of characters.
type Members struct {
	Zones []string `json:"zones"`
	Kinds []string `json:"kinds"`
	Cells []int    `json:"cells"`
	IDs   []string `json:"ids"`
}

// implicitPoolName is the name of the pool that exists if none is configured.
const implicitPoolName = "all"

// maxPools is the limit of package reducer: several times the pools planned for one site.
const maxPools = 4096

// PoolsInForce returns the pools by index: the configured ones, or else a single pool of all app nodes.
func (s *Service) PoolsInForce() []Pool {
	if len(s.Pools) == 0 {
		return []Pool{{Name: implicitPoolName, Default: true}}
	}
	return s.Pools
}

// DefaultPool returns the index of the pool for requests that no route matches, or -1 if there is none because a route
// matches every request.
func (s *Service) DefaultPool() int {
	pools := s.PoolsInForce()
	if len(pools) == 1 {
		return 0
	}
	return slices.IndexFunc(pools, func(p Pool) bool { return p.Default })
}

// Table compiles the routes for the pool indices of PoolsInForce. classes are all classes that requests can have, or
// nil if they are not known yet.
func (s *Service) Table(classes []string) (*routes.Table, error) {
	var names []string
	for _, p := range s.PoolsInForce() {
		names = append(names, p.Name)
	}
	rules := make([]routes.Rule, len(s.Routes))
	for i := range s.Routes {
		var err error
		if rules[i], err = s.Routes[i].Rule(); err != nil {
			return nil, fmt.Errorf("routes[%d]: %w", i, err)
		}
	}
	return routes.Compile(rules, names, classes)
}

// Rule converts a route to the form that package routes compiles. It only checks that the route has either a pool or a
// split.
func (r *Route) Rule() (routes.Rule, error) {
	rule := routes.Rule{Name: r.Name, Host: r.Host, Prefix: r.Path, Methods: r.Methods, Class: r.Class}
	switch {
	case (r.Pool != "") == (r.Split != nil):
		return rule, errors.New("either pool or split must be set, and not both")
	case r.Pool != "":
		rule.Shares = []routes.Share{{Pool: r.Pool, Weight: 1}}
	}
	for _, p := range r.Split {
		rule.Shares = append(rule.Shares, routes.Share(p))
	}
	return rule, nil
}

// checkRoutes reports invalid pools and pools that no request can reach.
func (s *Service) checkRoutes() error {
	if len(s.Pools) > maxPools {
		return fmt.Errorf("pools: %d are more than %d", len(s.Pools), maxPools)
	}
	reached, indices, defaultPool := map[string]bool{}, map[string]int{}, -1
	for i := range s.Pools {
		p := &s.Pools[i]
		keyPath := "pools[" + strconv.Itoa(i) + "]"
		if p.Name == "" {
			return errors.New(keyPath + ".name is missing")
		}
		keyPath += fmt.Sprintf(" %q", p.Name)
		if other, ok := indices[p.Name]; ok {
			return fmt.Errorf("%s: pools[%d] has the same name", keyPath, other)
		}
		indices[p.Name] = i
		if err := p.check(); err != nil {
			return fmt.Errorf("%s: %w", keyPath, err)
		}
		if p.Default {
			if defaultPool >= 0 {
				return fmt.Errorf("%s: default: pools[%d] %q is the default already", keyPath, defaultPool, s.Pools[defaultPool].Name)
			}
			defaultPool = i
		}
	}
	if _, err := s.Table(nil); err != nil {
		return err
	}
	catchAll := -1
	for i, r := range s.Routes {
		reached[r.Pool] = true
		for _, p := range r.Split {
			reached[p.Pool] = true // also with weight 0: the pool is on standby
		}
		if r.Host == "" && (r.Path == "" || r.Path == "/") && r.Methods == nil && r.Class == "" {
			catchAll = i
		}
	}
	switch {
	case defaultPool >= 0 && catchAll >= 0:
		return fmt.Errorf("pools[%d] %q: default: routes[%d] %q matches every call, so a default would receive none",
			defaultPool, s.Pools[defaultPool].Name, catchAll, s.Routes[catchAll].Name)
	case defaultPool < 0 && catchAll < 0 && len(s.Pools) > 1:
		return errors.New("pools: a call that no route matches has no pool: give one of them \"default\": true, " +
			"or a route that matches every call")
	}
	for i, p := range s.Pools {
		if !reached[p.Name] && i != defaultPool && (len(s.Pools) > 1 || catchAll >= 0) {
			return fmt.Errorf("pools[%d] %q: no route leads to it, and it is not the default", i, p.Name)
		}
	}
	return nil
}

func (p *Pool) check() error {
	if p.MaxOpen < 0 {
		return fmt.Errorf("max_open: %d is negative", p.MaxOpen)
	}
	if err := p.Members.check(); err != nil {
		return fmt.Errorf("members.%w", err)
	}
	return nil
}

func (m *Members) check() error {
	for _, k := range []struct {
		key      string
		patterns []string
	}{{"zones", m.Zones}, {"kinds", m.Kinds}, {"ids", m.IDs}} {
		if k.patterns != nil && len(k.patterns) == 0 {
			return fmt.Errorf("%s: an empty list matches no app node; without the key all match", k.key)
		}
		for i, p := range k.patterns {
			switch {
			case p == "":
				return fmt.Errorf("%s[%d] is empty", k.key, i)
			case strings.Count(p, "*") > 1:
				return fmt.Errorf("%s[%d]: %q has more than one *", k.key, i, p)
			case slices.Contains(k.patterns[:i], p):
				return fmt.Errorf("%s[%d]: %q is listed twice", k.key, i, p)
			}
		}
	}
	if m.Cells != nil && len(m.Cells) == 0 {
		return errors.New("cells: an empty list matches no app node; without the key all match")
	}
	return nil
}

// Selector converts m to the form that is matched against app nodes.
func (m *Members) Selector() selector.Selector { return selector.Selector(*m) }
