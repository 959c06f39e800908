// Package scenario owns the scenario file: its one type, its defaults, and the checks with key and line. It must
// never draw a random number or start anything: a scenario says what may be drawn, the world draws it.
package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duration is written as "150ms" or "4s".
type Duration time.Duration

// D is the duration in the form that the rest of the lab computes with.
func (d Duration) D() time.Duration { return time.Duration(d) }

func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return errors.New(`a time is written as "150ms" or "4s"`)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf(`%q is not a time such as "150ms" or "4s"`, text)
	}
	*d = Duration(v)
	return nil
}

// Span is a time, or two between which it is drawn.
type Span [2]Duration

func (s Span) MarshalJSON() ([]byte, error) {
	if s[0] == s[1] {
		return json.Marshal(s[0])
	}
	return json.Marshal([2]Duration(s))
}

func (s *Span) UnmarshalJSON(raw []byte) error {
	if len(raw) == 0 || raw[0] != '[' {
		err := s[0].UnmarshalJSON(raw)
		s[1] = s[0]
		return err
	}
	var pair []Duration
	if err := json.Unmarshal(raw, &pair); err != nil {
		return err
	}
	if len(pair) != 2 || pair[0] > pair[1] {
		return errors.New("a range is two times, the smaller first")
	}
	s[0], s[1] = pair[0], pair[1]
	return nil
}

// Range is a number, or two between which it is drawn.
type Range [2]float64

func (r Range) MarshalJSON() ([]byte, error) {
	if r[0] == r[1] {
		return json.Marshal(r[0])
	}
	return json.Marshal([2]float64(r))
}

func (r *Range) UnmarshalJSON(raw []byte) error {
	if len(raw) == 0 || raw[0] != '[' {
		var v float64
		if json.Unmarshal(raw, &v) != nil {
			return errors.New("a number is wanted, or two in brackets")
		}
		r[0], r[1] = v, v
		return nil
	}
	var pair []float64
	if err := json.Unmarshal(raw, &pair); err != nil {
		return errors.New("a number is wanted, or two in brackets")
	}
	if len(pair) != 2 || pair[0] > pair[1] {
		return errors.New("a range is two numbers, the smaller first")
	}
	r[0], r[1] = pair[0], pair[1]
	return nil
}

// Scenario is a day that may be tried.
type Scenario struct {
	Name      string    `json:"name"`
	About     string    `json:"about"`
	Length    Duration  `json:"length"` // requests come for so long
	Zones     []string  `json:"zones"`
	Balancers Balancers `json:"balancers"`
	Nodes     []Nodes   `json:"nodes"`
	Reports   Reports   `json:"reports"`
	Classes   []Class   `json:"classes"`
	Tenants   []Tenant  `json:"tenants"`
	Traffic   Traffic   `json:"traffic"`
	Clients   Clients   `json:"clients"`
	Front     Front     `json:"front"`
	Discovery Discovery `json:"discovery"`
	Network   Network   `json:"network"`
	Limits    Limits    `json:"limits"`
	Rules     Rules     `json:"rules"`
	Prices    Prices    `json:"prices"`
	Faults    []Fault   `json:"faults"`
}

// Balancers are spread over the zones in turn.
type Balancers struct {
	Count   int      `json:"count"`
	Sockets int      `json:"sockets"`  // file descriptors of each
	ReadyIn Duration `json:"ready_in"` // from a start to its first event
	Known   string   `json:"known"`    // the list it starts with: "last" as it had it, or "none"
	Peers   bool     `json:"peers"`    // they hear of each other; on sockets alone
	Subset  int      `json:"subset"`   // app nodes that each uses where they are peers; 0: as it likes
	Told    int      `json:"told"`     // their number in the settings, if not the true one
}

// Nodes are a group of app nodes that are alike. Work is in ms on a standard core.
type Nodes struct {
	Count     int      `json:"count"`
	Zone      string   `json:"zone"` // empty: spread over the zones in turn
	Kind      string   `json:"kind"`
	Size      float64  `json:"size"` // as discovery has it
	CellSize  int      `json:"cell_size"`
	Cores     int      `json:"cores"`
	Slots     int      `json:"slots"` // requests in work at once; 0: one a core
	Queue     int      `json:"queue"`
	Speed     Range    `json:"speed"` // drawn for each
	CrowdFrom float64  `json:"crowd_from"`
	CrowdLoss float64  `json:"crowd_loss"`
	ColdFrom  Range    `json:"cold_from"`
	ColdFor   Span     `json:"cold_for"`
	Handshake float64  `json:"handshake_ms"`
	Trips     float64  `json:"handshake_trips"`
	MaxConns  int      `json:"max_conns"`
	ConnTax   float64  `json:"conn_tax"`
	Errors    Range    `json:"errors"`
	Cancels   bool     `json:"cancels"`
	Expires   bool     `json:"expires"`
	HangEvery Span     `json:"hang_every"`
	HangFor   Span     `json:"hang_for"`
	StartsIn  Duration `json:"starts_in"` // a process's start takes so long
}

// Reports are the load reports in answers.
type Reports struct {
	Columns []string `json:"columns"` // held, waiting, busy, took_ms, per_second, errors_per_second
	How     string   `json:"how"`     // answers: each carries the last; polled: every balancer gets all of them at once
	Every   Span     `json:"every"`
	Delay   Span     `json:"delay"`
	Noise   Range    `json:"noise"`
}

// Work is a distribution of work in ms.
type Work struct {
	Mean  Range     `json:"mean"`
	Dist  string    `json:"dist"` // constant, exponential, lognormal, hyperexponential, trace
	CV    float64   `json:"cv"`   // lognormal, hyperexponential
	Trace []float64 `json:"trace"`
	Noise float64   `json:"noise"` // coefficient of variation between attempts at one request
}

// Class is one kind of request.
type Class struct {
	Name     string   `json:"name"`
	Share    float64  `json:"share"`
	Work     Work     `json:"work"`
	Repeat   string   `json:"repeat"` // safe, keyed, unsafe
	Scope    string   `json:"scope"`  // keyed: who drops repeats: all, zone, cell
	Window   Duration `json:"window"`
	Aim      Duration `json:"aim"`
	Deadline Duration `json:"deadline"`
	Worth    float64  `json:"worth"`
	Late     float64  `json:"late"`   // share of the worth after the aim
	Bytes    Range    `json:"bytes"`  // of an answer, drawn on a scale of powers; over 64 KiB it flows
	Upload   Range    `json:"upload"` // bytes of a request's body, likewise
	Hint     bool     `json:"hint"`   // requests tell their work, roughly
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"` // of the requests
	Quota float64 `json:"quota"` // requests a second in its right; 0: no bound
}

// Point is a moment of the day and the rate there, relative to the mean rate as told.
type Point struct {
	At    Duration `json:"at"`
	Times float64  `json:"times"`
}

// Traffic is what comes, whatever becomes of it.
type Traffic struct {
	Rate       Range     `json:"rate"` // first tries a second; or
	Load       Range     `json:"load"` // the same as a share of what all app nodes can do
	Shape      []Point   `json:"shape"`
	Process    string    `json:"process"` // steady, poisson, mmpp, recorded
	Dispersion float64   `json:"dispersion"`
	High       float64   `json:"high"`  // mmpp: rate in bursts, over the mean
	Share      float64   `json:"share"` // mmpp: of the time in bursts
	Times      []float64 `json:"times"` // recorded: seconds
	Skew       Range     `json:"skew"`  // the first zone has so much more than its part, as a share
}

// Clients say what clients do when they are not served.
type Clients struct {
	Retries     int     `json:"retries"`
	Backoff     Span    `json:"backoff"`
	Growth      float64 `json:"growth"` // of the backoff at each further try
	Honour      float64 `json:"honour"` // share that heeds Retry-After
	Patience    Range   `json:"patience"`
	Impatient   float64 `json:"impatient"`   // share that leaves early, at a random moment
	Marks       bool    `json:"marks"`       // retries are marked
	Connections int     `json:"connections"` // kept in each zone, for good; more are opened when all are busy
	Churn       float64 `json:"churn"`       // share of requests that come on a new connection all the same
}

// Front spreads new connections over the balancers of its zone.
type Front struct {
	Spread string `json:"spread"` // random, in_turn
	Notice Span   `json:"notice"` // until it sees that a balancer is dead
	Admit  Span   `json:"admit"`  // until it sees that one is ready
}

// Discovery keeps the list of app nodes.
type Discovery struct {
	Ask      bool     `json:"ask"`      // balancers must ask; else they are told
	Notice   Span     `json:"notice"`   // from a change that is announced to the list
	Silent   Span     `json:"silent"`   // from one that is not
	Add      Span     `json:"add"`      // from a start
	Line     Span     `json:"line"`     // from the list to the line of a watch
	Capacity float64  `json:"capacity"` // calls a second, in turn
	Patience Duration `json:"patience"` // calls that wait longer fail
	Blank    Duration `json:"blank"`    // an empty line after so long without news
	History  int      `json:"history"`  // changes kept; a watch from before gets the whole list
	Weights  string   `json:"weights"`  // off, nominal, rough, live
}

// Network is one-way times.
type Network struct {
	Same   Span    `json:"same"`
	Cross  Span    `json:"cross"`
	Client Span    `json:"client"`
	Jitter float64 `json:"jitter"` // share by which a message's time differs, evenly
	Rate   float64 `json:"rate"`   // megabytes a second of one connection, for answers that flow
	Grain  Span    `json:"grain"`  // messages arrive and timers go off at multiples of it, so that many meet at one instant
}

// Limits are what balancers are told that they may do.
type Limits struct {
	Cancel         bool     `json:"cancel"`
	SecondCopies   bool     `json:"second_copies"`
	RetryAfter     bool     `json:"retry_after"`
	MaxAttempts    int      `json:"max_attempts"`
	MaxRetryAfter  Duration `json:"max_retry_after"`
	ConnectTimeout Duration `json:"connect_timeout"`
	IdleClose      Duration `json:"idle_close"`
}

// Rules are the figures of what must never happen.
type Rules struct {
	Grace          Duration `json:"grace"` // for an answer after the deadline, and for sends and windows
	DrainGrace     Duration `json:"drain_grace"`
	ToldWithin     Duration `json:"told_within"` // what discovery knows counts as told then
	AskEvery       Duration `json:"ask_every"`
	ColdFrom       float64  `json:"cold_from"`
	ColdFor        Duration `json:"cold_for"`
	OverloadFactor float64  `json:"overload_factor"`
	FallFor        Duration `json:"fall_for"`
	Falls          bool     `json:"falls"` // a cold app node that is sent too much falls over and stays down
	OverQuotaWorth float64  `json:"over_quota_worth"`
	WorthBy        string   `json:"worth_by"` // work, request
}

// Prices are told to the balancers, which weigh them.
type Prices struct {
	Connection float64 `json:"connection"`
	CrossZone  float64 `json:"cross_zone"`
	Handshake  float64 `json:"handshake"`
	Waste      float64 `json:"waste"`
	LateFail   float64 `json:"late_fail"`
}

// Fault is something that goes wrong, or a class of such things to draw from where its figures are ranges.
type Fault struct {
	Kind      string  `json:"kind"`
	Draw      string  `json:"draw"` // names the stream of its draws; else its place in the list does
	Nth       int     `json:"nth"`  // the number of the first of them in that stream; see Times
	At        Span    `json:"at"`
	When      When    `json:"when"` // it waits for this, and then for At
	For       Span    `json:"for"`
	Every     Span    `json:"every"`  // between pauses, on and off times, steps of a deploy, flaps
	Part      Range   `json:"part"`   // share of the targets
	Count     Range   `json:"count"`  // or their number
	Size      Range   `json:"size"`   // how bad; see Kinds
	Times     Range   `json:"times"`  // how many such faults there are
	Chance    float64 `json:"chance"` // that there are any
	Zone      string  `json:"zone"`   // only there
	Nodes     []int   `json:"nodes"`  // these app nodes
	Balancers []int   `json:"balancers"`
	Class     string  `json:"class"`
	From      string  `json:"from"` // network: a zone, "balancers", "nodes", "clients" or "discovery"
	To        string  `json:"to"`
}

// When is what a fault waits for: the Count-th time that something happens, at one of some balancers or at any.
type When struct {
	Event     string `json:"event"`
	Count     int    `json:"count"` // 0: the first
	Balancers []int  `json:"balancers"`
}

// Events are what faults can wait for, as the world sees it. Those of syncs are told by a balancer's disk, which the rig has
// in hand in a test build alone; the disk waits until what begins at that moment has begun.
var Events = []string{"balancer_ready", "balancer_ended", "discovery_called", "edit_asked", "edit_answered", "sync_began", "sync_done"}

// Kind says what a kind of fault does and which keys it must have.
type Kind struct {
	Name, About string
	Size        string // what Size means; empty: nothing
	Min, Max    float64
	On          string // nodes, balancers, network, discovery, clients
	Lasts       bool   // it needs For
	Every       bool   // it needs Every
}

// Kinds are the faults that the world knows.
var Kinds = []Kind{
	{"slow", "machines are slower", "times slower", 1, 1e6, "nodes", true, false},
	{"errors", "requests fail at once, those of one class or all", "share", 0, 1, "nodes", true, false},
	{"lose", "requests are taken and never answered, those of one class or all", "share", 0, 1, "nodes", true, false},
	{"halt", "answers stop in their middle", "share", 0, 1, "nodes", true, false},
	{"pauses", "machines stand still again and again", "pause in ms", 0, 1e6, "nodes", true, true},
	{"neighbour", "another program takes a share of the machine, on and off", "share", 0, 1, "nodes", true, true},
	{"stall", "processes take requests and say nothing", "", 0, 0, "nodes", true, false},
	{"crash", "processes die and stay dead", "", 0, 0, "nodes", false, false},
	{"restart", "processes die and start again under their ids", "", 0, 0, "nodes", true, false},
	{"vanish", "machines fall silent, and come back with dead connections", "", 0, 0, "nodes", true, false},
	{"drain", "app nodes are drained, then leave for good", "", 0, 0, "nodes", true, false},
	{"replace", "app nodes are drained, and others start at their addresses under new ids", "", 0, 0, "nodes", true, false},
	{"deploy", "app nodes are replaced in turn, one each step", "at once", 1, 1e6, "nodes", true, true},
	{"join", "so many further app nodes start, cold, like the first of the group", "", 0, 0, "nodes", false, false},
	{"dark", "a zone's machines fall silent, its balancers with them", "", 0, 0, "network", true, false},
	{"cut", "nothing passes between two parts of the network", "", 0, 0, "network", true, false},
	{"cut_one_way", "nothing passes from one part of the network to another", "", 0, 0, "network", true, false},
	{"reset", "connections between two parts are reset", "", 0, 0, "network", false, false},
	{"latency", "messages take longer between two parts", "ms more", 0, 1e6, "network", true, false},
	{"discovery_late", "discovery learns late", "s more", 0, 1e6, "discovery", true, false},
	{"discovery_down", "discovery is down: watches end and calls fail", "", 0, 0, "discovery", true, false},
	{"discovery_silent", "discovery takes calls and says nothing", "", 0, 0, "discovery", true, false},
	{"discovery_lies", "discovery lists sound app nodes as gone", "", 0, 0, "nodes", true, false},
	{"discovery_restarts", "discovery starts again with other revisions", "", 0, 0, "discovery", true, false},
	{"discovery_cuts", "discovery takes calls and ends each inside its first line", "", 0, 0, "discovery", true, false},
	{"discovery_empty", "discovery has lost its entries: its whole list is empty, under other revisions", "", 0, 0, "discovery", true, false},
	{"balancer_crash", "balancers are killed and start again after a while", "", 0, 0, "balancers", true, false},
	{"balancer_restart", "balancers are ended with a notice and start again", "", 0, 0, "balancers", true, false},
	{"reload", "balancers read their configuration again, with another address of discovery", "", 0, 0, "balancers", false, false},
	{"surge", "more requests come", "times as many", 0.01, 1e6, "clients", true, false},

	// Those of the rig alone: real processes, a relay on each line.
	{"line_delay", "lines are slower, and uneven by half as much", "ms one way", 0, 1e6, "lines", true, false},
	{"line_loss", "lines lose segments, which come again after 200 ms and more", "share", 0, 1, "lines", true, false},
	{"line_cut", "nothing passes, and no connection comes up", "", 0, 0, "lines", true, false},
	{"line_drop", "connections are reset at both ends, and none comes up", "", 0, 0, "lines", true, false},
	{"line_cut_one_way", "nothing passes in one direction, and no connection comes up", "", 0, 0, "lines", true, false},
	{"line_stall", "connections stay open and come up, and nothing passes", "", 0, 0, "lines", true, false},
	{"line_forgets", "connections stay open and nothing passes on them any more, and new ones come up", "", 0, 0, "lines", false, false},
	{"line_resets", "a connection is reset in the middle of a message, again and again", "bytes that pass", 0, 1e9, "lines", true, true},
	{"line_doubles", "packets between balancers come twice", "share", 0, 1, "lines", true, false},
	{"line_overtakes", "packets between balancers are overtaken by later ones", "share", 0, 1, "lines", true, false},
	{"line_replays", "packets between balancers come again, one to five seconds later", "share", 0, 1, "lines", true, false},
	{"line_trickle", "lines are narrow", "bytes a second", 1, 1e12, "lines", true, false},
	{"freeze", "processes are stopped, and continued", "", 0, 0, "processes", true, false},
	{"starve", "processes are kept from their cores for a share of the time", "share", 0, 0.99, "processes", true, false},
	{"descriptors", "processes may hold so many descriptors, and no more", "descriptors", 1, 1e6, "processes", true, false},
	{"old_list", "processes are killed, and start with the list of the first day", "", 0, 0, "processes", true, false},
	{"damaged_list", "processes are killed, and start with a list that makes no sense", "", 0, 0, "processes", true, false},
	{"edit", "an operator drains app nodes at balancers, which keep that in their state folders", "seconds until it ends by itself, or 0", 0, 1e7, "disks", false, false},
	{"disk_old", "a folder is kept as it is; at the end its process is killed, and starts with that", "", 0, 0, "disks", true, false},
	{"disk_swapped", "processes are killed, and start with each other's folders", "", 0, 0, "disks", true, false},
	{"disk_flipped", "processes are killed, and start with bits of their folders turned over", "bits", 1, 1e9, "disks", true, false},
	{"disk_cut", "processes are killed, and start with the end of their files cut off", "bytes", 1, 1e12, "disks", true, false},
	{"disk_full", "no file of a process can grow", "", 0, 0, "disks", true, false},
	{"other_name", "processes are killed, and start under the name and with the folder of the one before in the list, which runs", "", 0, 0, "disks", true, false},

	// Those of the rig's test build, whose disk and clock the rig has in hand.
	{"disk_power", "processes lose their power: of what was not synced, a share of the sectors is there afterwards", "share", 0, 1, "disks", true, false},
	{"disk_lies", "syncs are answered and not done; at the end the power goes, as above", "share", 0, 1, "disks", true, false},
	{"disk_slow", "each sync takes longer", "ms", 0, 1e6, "disks", true, false},
	{"disk_stands", "no write and no sync comes to an end", "", 0, 0, "disks", true, false},
	{"disk_readonly", "no write and no sync is taken", "", 0, 0, "disks", true, false},
	{"clock_off", "processes are killed, and start on a machine that has been started anew with its clock off", "seconds", -1e9, 1e9, "disks", true, false},
}

// Packets says whether a kind befalls packets, which pass between balancers alone.
func (k *Kind) Packets() bool {
	return k.Name == "line_doubles" || k.Name == "line_overtakes" || k.Name == "line_replays"
}

// Rigged says whether a kind is of the rig alone.
func (k *Kind) Rigged() bool { return k.On == "lines" || k.On == "processes" || k.On == "disks" }

// InHand says whether a day needs the test build, whose disk and clock the rig has in hand.
func (s *Scenario) InHand() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		switch f.Kind {
		case "disk_power", "disk_lies", "disk_slow", "disk_stands", "disk_readonly", "clock_off":
			return true
		}
		return strings.HasPrefix(f.When.Event, "sync_")
	})
}

// Boxed says whether a day has faults of state folders, which its balancers then have.
func (s *Scenario) Boxed() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		k := KindOf(f.Kind)
		return k != nil && k.On == "disks"
	})
}

// Rigged says whether a day has faults that only real processes can have, with a relay on each line between them.
func (s *Scenario) Rigged() bool {
	return s.Balancers.Peers || slices.ContainsFunc(s.Faults, func(f Fault) bool {
		k := KindOf(f.Kind)
		return k != nil && k.Rigged()
	})
}

// KindOf finds a kind by name.
func KindOf(name string) *Kind {
	for i := range Kinds {
		if Kinds[i].Name == name {
			return &Kinds[i]
		}
	}
	return nil
}
