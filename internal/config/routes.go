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

// Route sends the calls that it matches to a pool, or splits them. Keys that are left out match everything. Which of
// several goes first is internal/routes' to say; the order in the file has no meaning.
type Route struct {
	Name    string   `json:"name"`
	Host    string   `json:"host"` // one host, or *.domain for one label before it
	Path    string   `json:"path"` // whole segments from the first on
	Methods []string `json:"methods"`
	Class   string   `json:"class"`
	Pool    string   `json:"pool"` // one pool, or a split
	Split   []Share  `json:"split"`
}

// Share is a pool's part of a split, in relation to the others'. A pool with 0 stands by.
type Share struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// Pool is a group of app nodes that decides for itself.
type Pool struct {
	Name    string  `json:"name"`
	Default bool    `json:"default"` // takes the calls that no route matches
	Members Members `json:"members"`
	MaxOpen int     `json:"max_open"` // calls at a time; 0: as many as the machine's limits allow
}

// Members picks app nodes by what the list says of them. Each key that is there must fit, by one of its entries; with
// no key every app node is a member. Names may have one * that stands for any run of letters.
type Members struct {
	Zones []string `json:"zones"`
	Kinds []string `json:"kinds"`
	Cells []int    `json:"cells"`
	IDs   []string `json:"ids"`
}

// onlyPool names the pool of an installation that has set none.
const onlyPool = "all"

// mostPools is what the reducer takes: some times what one site is planned to have.
const mostPools = 4096

// PoolsInForce are the pools in the order of their indices: those that are set, or one with every app node.
func (s *Service) PoolsInForce() []Pool {
	if len(s.Pools) == 0 {
		return []Pool{{Name: onlyPool, Default: true}}
	}
	return s.Pools
}

// DefaultPool is the index of the pool for calls that no route matches. Where a route matches every call there need be
// none: -1.
func (s *Service) DefaultPool() int {
	pools := s.PoolsInForce()
	if len(pools) == 1 {
		return 0
	}
	return slices.IndexFunc(pools, func(p Pool) bool { return p.Default })
}

// Table compiles the routes, for the indices of PoolsInForce. classes are all that calls can have, or nil where they
// are not known yet.
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

// Rule gives a route the form that is compiled, and checks no more than whether it says where it leads.
func (r *Route) Rule() (routes.Rule, error) {
	rule := routes.Rule{Name: r.Name, Host: r.Host, Prefix: r.Path, Methods: r.Methods, Class: r.Class}
	switch {
	case (r.Pool != "") == (r.Split != nil):
		return rule, errors.New("either pool or split says where it leads")
	case r.Pool != "":
		rule.Shares = []routes.Share{{Pool: r.Pool, Weight: 1}}
	}
	for _, p := range r.Split {
		rule.Shares = append(rule.Shares, routes.Share(p))
	}
	return rule, nil
}

// checkRoutes finds pools that cannot be, and those that no call comes to.
func (s *Service) checkRoutes() error {
	if len(s.Pools) > mostPools {
		return fmt.Errorf("pools: %d are more than %d", len(s.Pools), mostPools)
	}
	reached, places, fallback := map[string]bool{}, map[string]int{}, -1
	for i := range s.Pools {
		p := &s.Pools[i]
		at := "pools[" + strconv.Itoa(i) + "]"
		if p.Name == "" {
			return errors.New(at + ".name is missing")
		}
		at += fmt.Sprintf(" %q", p.Name)
		if other, ok := places[p.Name]; ok {
			return fmt.Errorf("%s: pools[%d] has the same name", at, other)
		}
		places[p.Name] = i
		if err := p.check(); err != nil {
			return fmt.Errorf("%s: %w", at, err)
		}
		if p.Default {
			if fallback >= 0 {
				return fmt.Errorf("%s: default: pools[%d] %q is the default already", at, fallback, s.Pools[fallback].Name)
			}
			fallback = i
		}
	}
	if _, err := s.Table(nil); err != nil {
		return err
	}
	all := -1
	for i, r := range s.Routes {
		reached[r.Pool] = true
		for _, p := range r.Split {
			reached[p.Pool] = true // with a weight of 0 too: it stands by
		}
		if r.Host == "" && (r.Path == "" || r.Path == "/") && r.Methods == nil && r.Class == "" {
			all = i
		}
	}
	switch {
	case fallback >= 0 && all >= 0:
		return fmt.Errorf("pools[%d] %q: default: routes[%d] %q matches every call, and none is left to a default",
			fallback, s.Pools[fallback].Name, all, s.Routes[all].Name)
	case fallback < 0 && all < 0 && len(s.Pools) > 1:
		return errors.New("pools: a call that no route matches has no pool: give one of them \"default\": true, " +
			"or a route that matches every call")
	}
	for i, p := range s.Pools {
		if !reached[p.Name] && i != fallback && (len(s.Pools) > 1 || all >= 0) {
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
			return fmt.Errorf("%s: an empty list fits no app node; without the key all fit", k.key)
		}
		for i, p := range k.patterns {
			switch {
			case p == "":
				return fmt.Errorf("%s[%d] is empty", k.key, i)
			case strings.Count(p, "*") > 1:
				return fmt.Errorf("%s[%d]: %q has more than one *", k.key, i, p)
			case slices.Contains(k.patterns[:i], p):
				return fmt.Errorf("%s[%d]: %q is there twice", k.key, i, p)
			}
		}
	}
	if m.Cells != nil && len(m.Cells) == 0 {
		return errors.New("cells: an empty list fits no app node; without the key all fit")
	}
	return nil
}

// Selector gives them the form in which app nodes are compared with them.
func (m *Members) Selector() selector.Selector { return selector.Selector(*m) }
