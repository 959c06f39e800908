package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Roles of the table, in its order. Each is also a word for the command's --only.
const (
	Balancer  = "balancer"
	AppNode   = "app-node"
	Discovery = "discovery"
	Source    = "source"
	Peers     = "peers"
	EventRole = "events"
)

// Roles are all of them.
var Roles = []string{Balancer, AppNode, Discovery, Source, Peers, EventRole}

// groups of measures that a role's rows stand on.
var groups = map[string][]string{
	Balancer:  {"list", "settings", "catalog", "calls", "peers", "subset", "source"},
	AppNode:   {"subset"},
	Discovery: {"list", "discovery"},
	Source:    {"source", "catalog"},
	Peers:     {"peers"},
	EventRole: {"list", "settings", "catalog", "peers", "discovery", "source", "subset"},
}

const (
	day      = 86_400.0 // seconds
	megabyte = 1 << 20
	// idleClose is the time after which app nodes close an idle connection in the measures' settings, in seconds.
	idleClose = 60.0
	// descriptors for connections to app nodes of a balancer with the default limits: config.Limits.Budget.
	defaultSockets = 1024
	// watchBlank is how often discovery says at least something, in seconds: the protocol's.
	watchBlank = 2.0
	// subsetSize is what the subset's figures are for: choices enough that K can double twice.
	subsetSize = 8
)

// The mechanisms that carry things today. Those of the settings hang on what the program takes: see Probes.
const (
	byWatch   = "internal/registry: one watch, changes alone, taken up in slices"
	bySubset  = "internal/fleet/subset, for the program with peers, where settings ask for it"
	byPeers   = "internal/fleet/peers"
	byCatalog = "internal/catalog over internal/registry/kv: one entry a change"
	byCalls   = "internal/acceptor, internal/reducer, internal/delegation"
	byTable   = "internal/routes: a table compiled as a whole"
	byFile    = "the settings file, read whole at a SIGHUP"
	byBlank   = "internal/registry: an empty line every 2 s"
)

// daily is how many entries of the list change in a day.
func (s Site) daily() (entries float64) {
	for _, e := range s.Events() {
		entries += e.Day * float64(e.Entries)
	}
	return entries
}

// perBalancer is a balancer's share of the calls.
func (s Site) perBalancer() float64 { return s.Calls / float64(s.Balancers) }

// keys in the store of settings.
func (s Site) keys() float64 { return float64(s.Routes + s.Pools + s.Tenants) }

// Rows are the table of a site.
func (r *Results) Rows(s Site) []Row {
	var rows []Row
	add := func(role, kind, what string, a Amount, unit string, budget float64, from, by, gap string) {
		rows = append(rows, Row{Role: role, Kind: kind, What: what, Amount: a, Unit: unit, Budget: budget, From: from, By: by, Gap: gap})
	}
	nodes, pools, routes, tenants := float64(s.Nodes), float64(s.Pools), float64(s.Routes), float64(s.Tenants)
	fellows, changes := float64(s.Balancers-1), float64(s.Changes)
	core := 1000 * s.Control.Core // ms a second
	catalog := r.probe("catalog").Taken
	settingsBy, settingsGap := byFile, ""
	if catalog {
		settingsBy = byCatalog
	}
	poolsBy, poolsGap := byFile, ""
	if p := r.probe("pools"); !p.Taken {
		poolsBy, poolsGap = "", fmt.Sprintf("the program refuses %d pools: %s", s.Pools, p.Why)
	}

	// ---- a balancer ----
	base := r.at("list.memory", 0)
	tenantsFrom := "tenants.memory"
	if catalog {
		tenantsFrom = "catalog.memory"
	}
	parts := []struct {
		what, from string
		a          Amount
		by, gap    string
	}{
		{"the process alone", "list.memory at 0", base, "", ""},
		{"the list", "list.memory", r.each("list.memory", nodes), byWatch, ""},
		{"routes", "routes.memory", r.each("routes.memory", routes), byTable, ""},
		{"pools", "pools.memory", r.each("pools.memory", pools), poolsBy, poolsGap},
		{"tenants", tenantsFrom, r.each(tenantsFrom, tenants), settingsBy, settingsGap},
		{"other balancers, in each pool's subset", "subset.memory times pools", r.each("subset.memory", fellows).times(pools), bySubset, ""},
		{"other balancers, as members", "peers.memory", r.each("peers.memory", fellows), byPeers, ""},
	}
	sum := known(0)
	for i, p := range parts {
		by := p.by
		if i == 0 {
			by = "cmd/pewterrudder"
		}
		add(Balancer, "memory", p.what, p.a, "MB", s.Control.Memory, p.from, by, p.gap)
		sum = sum.plus(p.a)
	}
	add(Balancer, "memory", "all of these", sum, "MB", s.Control.Memory, "their sum", "cmd/pewterrudder", "")
	add(Balancer, "memory", "the most while the whole list is told anew, without the rest", r.at("list.whole_peak", nodes), "MB", s.Control.Memory,
		"list.whole_peak", byWatch, "")

	idle := r.at("list.idle", nodes)
	listCPU := r.each("list.change_cpu", s.daily()/day).times(1.0 / 1000)
	reload := r.at("tenants.reload_cpu", tenants).plus(r.each("routes.reload_cpu", routes), r.each("pools.reload_cpu", pools))
	change, changeFrom := reload, "reload of tenants, routes and pools"
	if catalog {
		change, changeFrom = r.at("catalog.change_cpu", s.keys()).times(1.0/1000), "catalog.change_cpu"
	}
	peersCPU := r.at("peers.cpu", fellows)
	add(Balancer, "CPU", "at rest, one pool", idle, "ms/s", core, "list.idle", "cmd/pewterrudder", "")
	add(Balancer, "CPU", "at rest, for the pools", r.each("pools.idle", pools), "ms/s", core, "pools.idle", poolsBy, poolsGap)
	after := r.each("tenants.idle_after", tenants)
	if catalog {
		after = known(0)
	} else {
		add(Balancer, "CPU", "at rest after a reload, for the tenants", after, "ms/s", core, "tenants.idle_after", settingsBy, settingsGap)
	}
	add(Balancer, "CPU", "changes of the list, mean of a day", listCPU, "ms/s", core, "list.change_cpu times the day's entries", byWatch, "")
	add(Balancer, "CPU", "changes of settings, mean of a day", change.times(changes/day), "ms/s", core, changeFrom+" times the day's", settingsBy, settingsGap)
	add(Balancer, "CPU", "other balancers", peersCPU, "ms/s", core, "peers.cpu", byPeers, "")
	add(Balancer, "CPU", "all control work, mean of a day", idle.plus(r.each("pools.idle", pools), after, listCPU, change.times(changes/day), peersCPU), "ms/s", core,
		"their sum", "cmd/pewterrudder", "")
	add(Balancer, "CPU", "carrying its calls", r.at("calls.cpu", s.perBalancer()), "ms/s", 0, "calls.cpu", byCalls, "")

	listBytes := r.each("list.bytes", s.daily()/day).plus(known(blankBytes / watchBlank))
	settingsBytes, settingsFrom := unknown("a file reaches the machine by other means"), "none"
	if catalog {
		settingsBytes, settingsFrom = r.at("source.change_bytes", 1).times(changes/day).plus(r.at("source.idle_bytes", 1)), "source.change_bytes, source.idle_bytes"
	}
	add(Balancer, "messages", "discovery's list", listBytes, "B/s", s.Control.Bytes, "list.bytes times the day's entries, empty lines", byWatch, "")
	if catalog {
		add(Balancer, "messages", "settings", settingsBytes, "B/s", s.Control.Bytes, settingsFrom, byCatalog, "")
	} else {
		add(Balancer, "messages", "settings", settingsBytes, "B/s", s.Control.Bytes, settingsFrom, "",
			"nothing brings settings to a balancer: a file and a SIGHUP on each machine")
	}
	add(Balancer, "messages", "other balancers", r.at("peers.bytes", fellows), "B/s", s.Control.Bytes, "peers.bytes", byPeers, "")

	add(Balancer, "time", "added to a call at 99 %", r.added(s), "ms", s.Added, "calls.added_p99 at a balancer's share", byCalls, "")
	add(Balancer, "time", "a change of settings in force, processor time alone", change, "ms", 1000*s.Within.Seconds(), changeFrom, settingsBy, settingsGap)
	add(Balancer, "time", "to find a call's route", r.at("routes.match", routes).times(1e-6), "ms", s.Added, "routes.match", byTable, "")

	// ---- an app node's view ----
	perNode := s.Calls / nodes
	pair := perNode / float64(s.Balancers) // calls a second of one balancer to one app node
	descriptors := float64(delegations(defaultSockets))
	wanted := nodes * (1 - math.Exp(-pair*idleClose))
	kept := min(wanted, descriptors)
	add(AppNode, "messages", "calls", known(perNode), "a second", 0, "calls over app nodes", byCalls, "")
	add(AppNode, "messages", "from one balancer, without subsets", known(pair), "a second", 0, "calls over pairs", byCalls, "")
	add(AppNode, "state", "balancers that may call it, without subsets", known(float64(s.Balancers)), "balancers", 0, "all", byCalls, "")
	add(AppNode, "state", "connections open to it, without subsets", known(kept*float64(s.Balancers)/nodes), "connections", 0,
		fmt.Sprintf("what %d balancers keep within %.0f descriptors", s.Balancers, descriptors), byCalls, "")
	add(AppNode, "messages", "new connections, without subsets", known(perNode*(1-kept/nodes)), "a second", 0,
		"calls that find none of the balancer's open ones at a node drawn at random", "", "subsets are off by default and need peers; nearly every call dials")
	held := r.at("subset.held", float64(s.Balancers)).times(pools)
	inSubset := held.times(float64(s.Balancers) / nodes)
	add(AppNode, "state", "balancers that may call it, with subsets", inSubset, "balancers", 0,
		fmt.Sprintf("subset.held, %d asked for in each pool", subsetSize), bySubset, "")
	add(AppNode, "state", "app nodes of one balancer, with subsets", held, "app nodes", descriptors,
		fmt.Sprintf("subset.held times pools, against the descriptors of limits.sockets %d", defaultSockets), bySubset, "")
	if held.Known {
		own := s.perBalancer() / held.Value
		warm := min(1, descriptors/held.Value) * (1 - math.Exp(-own*idleClose))
		add(AppNode, "messages", "new connections, with subsets", known(perNode*(1-warm)), "a second", 0,
			"the same, drawn from the subset", bySubset, "")
	}

	// ---- discovery ----
	watchers := float64(s.Balancers)
	whole := r.at("list.bytes", nodes)
	add(Discovery, "state", "watches", known(watchers), "watches", 0, "one a balancer", byWatch, "")
	add(Discovery, "state", "the list", whole.times(1.0/megabyte), "MB", 0, "list.bytes", byWatch, "")
	add(Discovery, "messages", "empty lines", known(watchers*blankBytes/watchBlank), "B/s", 0, "5 bytes and their chunk every 2 s", byBlank, "")
	add(Discovery, "messages", "changes, mean of a day", r.each("list.bytes", s.daily()/day).times(watchers), "B/s", 0, "list.bytes", byWatch, "")
	add(Discovery, "CPU", "changes, mean of a day", r.at("discovery.cpu", watchers).times(s.daily()/day/1000), "ms/s", 0, "discovery.cpu", byWatch, "")
	add(Discovery, "messages", "all balancers start: the list to each", whole.times(watchers/megabyte), "MB", 0, "list.bytes", "",
		"no delta from a list of one's own: a start reads all, and nothing spreads the starts")

	// ---- a machine of control ----
	each := watchers / float64(s.Machines)
	sourceBy, sourceGap := byCatalog, ""
	if !catalog {
		sourceBy, sourceGap = "", "the program follows no store of settings: "+r.probe("catalog").Why
	}
	add(Source, "state", "watches", known(each), "watches", 0, "balancers over machines", sourceBy, sourceGap)
	add(Source, "state", "entries", known(s.keys()), "keys", 0, "routes, pools, tenants", sourceBy, sourceGap)
	add(Source, "memory", "entries", r.each("source.memory", s.keys()), "MB", 0, "source.memory", sourceBy, sourceGap)
	add(Source, "messages", "a change to all its watches", r.at("source.change_bytes", 1).times(each/1000), "kB", 0, "source.change_bytes", sourceBy, sourceGap)
	add(Source, "messages", "watches that say nothing", r.at("source.idle_bytes", 1).times(each/1000), "kB/s", 0, "source.idle_bytes", sourceBy, sourceGap)
	add(Source, "CPU", "a change to all its watches", r.at("source.change_cpu", each).times(1.0/1000), "ms", 0, "source.change_cpu", sourceBy, sourceGap)
	add(Source, "CPU", "changes, mean of a day", r.at("source.change_cpu", each).times(changes/day/1000), "ms/s", 0, "source.change_cpu", sourceBy, sourceGap)
	add(Source, "CPU", "watches that say nothing", r.each("source.idle_cpu", each), "ms/s", 0, "source.idle_cpu", sourceBy, sourceGap)
	add(Source, "messages", "all balancers start: all entries to each of its own", r.each("source.whole_bytes", s.keys()).times(each/megabyte), "MB", 0,
		"source.whole_bytes", "", "nothing spreads the starts, and a start reads all")
	add(Source, "CPU", "all balancers start: all entries to each of its own", r.each("source.whole_cpu", s.keys()).times(each/1000), "s", 0,
		"source.whole_cpu", "", "nothing spreads the starts, and a start reads all")

	// ---- peers ----
	add(Peers, "state", "members that each knows", known(fellows), "members", 0, "all others", byPeers, "")
	add(Peers, "CPU", "at rest", peersCPU, "ms/s", core, "peers.cpu", byPeers, "")
	add(Peers, "memory", "members", r.each("peers.memory", fellows), "MB", s.Control.Memory, "peers.memory", byPeers, "")
	add(Peers, "messages", "sent", r.at("peers.bytes", fellows), "B/s", s.Control.Bytes, "peers.bytes", byPeers, "")
	add(Peers, "messages", "packets sent", r.at("peers.packets", fellows), "a second", 0, "peers.packets", byPeers, "")
	return rows
}

// blankBytes is an empty line on a watch, as a chunk of its own.
const blankBytes = 6.0

// delegations is what of so many descriptors may go to app nodes.
func delegations(sockets int) int {
	_, _, n := limits(sockets).Budget()
	return n
}

// Cost is what an event costs.
type Cost struct {
	Event
	BalancerCPU   Amount // ms, one balancer
	BalancerBytes Amount // kB, one balancer
	Discovery     Amount // MB, all balancers
	Machine       Amount // MB, one machine of control
	MachineCPU    Amount // ms, one machine of control
	AtPeak        Amount // ms of CPU a second at the busiest, one balancer; what comes alone: 0
}

// Costs of a site's events.
func (r *Results) Costs(s Site) []Cost {
	var all []Cost
	catalog := r.probe("catalog").Taken
	each := float64(s.Balancers) / float64(s.Machines)
	for _, e := range s.Events() {
		c := Cost{Event: e, BalancerCPU: known(0), BalancerBytes: known(0), Discovery: known(0), Machine: known(0), MachineCPU: known(0)}
		if e.Entries > 0 {
			n := float64(e.Entries)
			if e.Entries < burstFrom { // one after the other
				c.BalancerCPU = r.each("list.change_cpu", n).times(1.0 / 1000)
			} else { // many a line
				c.BalancerCPU = r.each("list.burst_cpu", n)
			}
			bytes := r.each("list.bytes", n)
			c.BalancerBytes = bytes.times(1.0 / 1000)
			c.Discovery = bytes.times(float64(s.Balancers) / megabyte)
		}
		if e.Keys > 0 {
			n := float64(e.Keys)
			if catalog {
				c.BalancerCPU = r.at("catalog.change_cpu", s.keys()).times(n / 1000)
				c.BalancerBytes = r.at("source.change_bytes", 1).times(n / 1000)
				c.Machine = r.at("source.change_bytes", 1).times(n * each / megabyte)
				c.MachineCPU = r.at("source.change_cpu", each).times(n / 1000)
			} else {
				c.BalancerCPU = r.at("tenants.reload_cpu", float64(s.Tenants)).plus(r.each("routes.reload_cpu", float64(s.Routes)),
					r.each("pools.reload_cpu", float64(s.Pools)))
				why := unknown("no store of settings is followed")
				c.BalancerBytes, c.Machine, c.MachineCPU = why, why, why
			}
		}
		if e.Fellows > 0 { // each pool's subset, of its share of the list, is dealt anew for each of them
			c.BalancerCPU = c.BalancerCPU.plus(r.each("subset.enter", float64(s.Nodes)).times(float64(e.Fellows) / 1000))
		}
		if e.Restarts > 0 && catalog {
			n := float64(e.Restarts) / float64(s.Machines)
			c.Machine = c.Machine.plus(r.each("source.whole_bytes", s.keys()).times(n / megabyte))
			c.MachineCPU = c.MachineCPU.plus(r.each("source.whole_cpu", s.keys()).times(n))
		}
		c.AtPeak = c.BalancerCPU.times(e.Peak)
		all = append(all, c)
	}
	return all
}

// burstFrom is how many entries come together in a line at the least, for the cost of a burst to be the measure.
const burstFrom = 100

// Needs says whether a role's rows stand on a group of measures.
func Needs(role, group string) bool { return slices.Contains(groups[role], group) }
