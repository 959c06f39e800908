package sockets

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/lab/fleet/relay"
	"pewterrudder/internal/lab/gate"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
)

// rig carries out the faults of lines and processes on a run whose every line goes through a relay. Its fields belong to the
// clock's goroutine.
type rig struct {
	r      *run
	nodes  [][]*relay.Stream // by balancer and address
	halls  [][]*relay.Stream // by balancer
	fronts []*relay.Stream   // by balancer, towards which clients call
	pairs  []*pair           // of balancers that are peers
	on     map[*world.Episode]func()
	spans  []span
	first  []*world.List // that each balancer was first told
	lines  uint64
}

// span is a time in which a fault kept a balancer from a duty; an open one has no end.
type span struct {
	balancer int
	of       world.Duty
	from, to time.Duration
}

// forgiven is how long after a fault its traces may show: what was held back then arrives, and is worked off.
const forgiven = time.Second

// at a loopback address of its own for each kind of line.
const (
	atNodeLine      = 103
	atDiscoveryLine = 104
	atFrontLine     = 105
)

func newRig(r *run) *rig {
	n := r.sc.Balancers.Count
	return &rig{r: r, nodes: make([][]*relay.Stream, n), halls: make([][]*relay.Stream, n), fronts: make([]*relay.Stream, n),
		on: map[*world.Episode]func(){}, first: make([]*world.List, n)}
}

func (g *rig) line(at net.IP, target string) (*relay.Stream, error) {
	g.lines++
	return relay.NewStream(at, target, g.r.src.Number(fmt.Sprintf("lines/%d", g.lines)))
}

// toNode is where a balancer finds the app node of an address, once the gate behind it is there.
func (g *rig) toNode(balancer, at int) (string, error) {
	for a := len(g.nodes[balancer]); a <= at; a++ {
		s, err := g.line(address(atNodeLine, balancer), g.r.gates[balancer][a].Address)
		if err != nil {
			return "", err
		}
		g.nodes[balancer] = append(g.nodes[balancer], s)
		for e := range g.on { // an app node that has come while its line is hit
			if from, to := e.Between(); contains(e.Seats, balancer) && (from == "nodes" || to == "nodes") {
				g.hit(e, s, from == "nodes", true)
			}
		}
	}
	return g.nodes[balancer][at].Address(), nil
}

// toDiscovery is where a balancer finds discovery's address.
func (g *rig) toDiscovery(balancer int, target string) (string, error) {
	s, err := g.line(address(atDiscoveryLine, balancer), target)
	if err != nil {
		return "", err
	}
	g.halls[balancer] = append(g.halls[balancer], s)
	return s.Address(), nil
}

// toBalancer is where clients find a balancer.
func (g *rig) toBalancer(balancer int) (string, error) {
	if g.fronts[balancer] == nil {
		s, err := g.line(address(atFrontLine, balancer), g.r.seats[balancer].listen)
		if err != nil {
			return "", err
		}
		g.fronts[balancer] = s
	}
	return g.fronts[balancer].Address(), nil
}

// follow has a relay take connections as the one behind it does.
func (g *rig) follow(balancer, at int, s gate.State) {
	if at < len(g.nodes[balancer]) {
		g.nodes[balancer][at].Follow(s)
	}
}

func (g *rig) close() {
	for _, p := range g.pairs {
		p.close()
	}
	for _, of := range append(append(g.nodes, g.halls...), g.fronts) {
		for _, s := range of {
			if s != nil {
				s.Close()
			}
		}
	}
}

// ---- what the world asks ----

func (g *rig) Severed(balancer int) bool {
	for e := range g.on {
		if contains(e.Seats, balancer) {
			if from, to := e.Between(); from == "discovery" || to == "discovery" || e.Kind == "freeze" {
				return true
			}
		}
	}
	return false
}

func (g *rig) Excuses(balancer int, of world.Duty, since time.Duration) bool {
	for i := range g.spans {
		if s := &g.spans[i]; s.balancer == balancer && s.of == of && (s.to == 0 || s.to+forgiven >= since) {
			return true
		}
	}
	return false
}

func contains(all []int, n int) bool {
	for _, o := range all {
		if o == n {
			return true
		}
	}
	return false
}

// Begin starts a fault. Each has its undoing noted, which End does.
func (g *rig) Begin(e *world.Episode) {
	if e.Kind == "edit" {
		g.r.boxes.ask(e)
		return
	}
	from, to := e.Between()
	duty, counts := world.Answering, true
	switch {
	case from == "nodes" || to == "nodes":
		duty = world.Repeating
		counts = from != "nodes" || e.Kind != "line_cut_one_way" // what it sends then comes as ever
	case from == to && from != "", from == "discovery" || to == "discovery" || e.Kind == "descriptors" || from == "" && e.Kind != "freeze" && e.Kind != "starve":
		counts = false // it owes all that it owed before
	}
	for _, b := range e.Seats {
		if counts {
			g.spans = append(g.spans, span{b, duty, e.From, 0})
		}
	}
	g.on[e] = func() {}
	switch e.Kind {
	case "freeze":
		g.on[e] = g.freeze(e)
	case "starve":
		g.starve(e, true)
		g.on[e] = func() { g.signal(e, syscall.SIGCONT) }
	case "descriptors":
		g.on[e] = g.descriptors(e)
	case "old_list", "damaged_list":
		g.on[e] = g.respawn(e)
	case "disk_old", "disk_swapped", "disk_flipped", "disk_cut", "disk_full", "disk_power", "disk_lies", "disk_slow", "disk_stands",
		"disk_readonly", "clock_off", "other_name":
		g.on[e] = g.r.boxes.begin(e)
	default:
		g.each(e, func(s *relay.Stream, back bool) { g.hit(e, s, back, true) })
		g.between(e, true)
		g.on[e] = func() {
			g.each(e, func(s *relay.Stream, back bool) { g.hit(e, s, back, false) })
			g.between(e, false)
		}
	}
}

func (g *rig) End(e *world.Episode) {
	undo := g.on[e]
	if undo == nil {
		return // it was over at once
	}
	delete(g.on, e)
	undo()
	for i := range g.spans {
		if s := &g.spans[i]; s.to == 0 && s.from == e.From && contains(e.Seats, s.balancer) {
			s.to = g.r.clock.Now()
		}
	}
}

// ---- lines ----

// each is called for the lines that a fault hits; back: the fault is in the direction from the called to the caller.
func (g *rig) each(e *world.Episode, hit func(s *relay.Stream, back bool)) {
	from, to := e.Between()
	for _, b := range e.Seats {
		if from == "nodes" || to == "nodes" {
			for _, n := range e.Nodes {
				if at := g.r.world.Nodes[n].Address; at < len(g.nodes[b]) {
					hit(g.nodes[b][at], from == "nodes")
				}
			}
		}
		if from == "discovery" || to == "discovery" {
			for _, s := range g.halls[b] {
				hit(s, from == "discovery")
			}
		}
		if (from == "clients" || to == "clients") && g.fronts[b] != nil {
			hit(g.fronts[b], from == "balancers")
		}
	}
}

// hit puts a fault on a line, or takes it off.
func (g *rig) hit(e *world.Episode, s *relay.Stream, back, on bool) {
	switch e.Kind {
	case "line_drop":
		if on {
			defer s.Reset() // with the line cut, so that what is dialled at once hangs
		}
	case "line_forgets":
		if on {
			s.Forget()
		}
		return
	case "line_resets":
		if on {
			g.breakAgain(e, s)
		} else {
			s.BreakAfter(-1)
		}
		return
	}
	bend(e, s, back, on)
}

// bend has a line's directions be as a fault has them, or sound again.
func bend(e *world.Episode, line interface {
	Set(relay.Direction, relay.Way)
}, back, on bool) {
	var w relay.Way
	both := true
	switch ms := time.Duration(e.Size * float64(time.Millisecond)); e.Kind {
	case "line_delay":
		w.Delay, w.Jitter = ms, ms/2
	case "line_loss":
		w.Loss = e.Size
	case "line_cut", "line_drop":
		w.Cut = true
	case "line_cut_one_way":
		w.Cut, both = true, false
	case "line_stall":
		w.Stall = true
	case "line_trickle":
		w.Rate = e.Size
	case "line_doubles":
		w.Double = e.Size
	case "line_overtakes":
		w.Overtake = e.Size
	case "line_replays":
		w.Replay = e.Size
	}
	if !on {
		w = relay.Way{}
	}
	if both || !back {
		line.Set(relay.There, w)
	}
	if both || back {
		line.Set(relay.Back, w)
	}
}

func (g *rig) breakAgain(e *world.Episode, s *relay.Stream) {
	s.BreakAfter(int(e.Size))
	g.r.clock.After(e.Every(), timeline.Func(func() {
		if _, on := g.on[e]; on {
			g.breakAgain(e, s)
		}
	}))
}

// ---- processes ----

// running calls a function for each process that a fault hits and that runs now.
func (g *rig) running(e *world.Episode, do func(s *seat, pid int)) {
	for _, b := range e.Seats {
		if s := g.r.seats[b]; s.pid() != 0 {
			do(s, s.pid())
		}
	}
}

func (g *rig) signal(e *world.Episode, s syscall.Signal) {
	g.running(e, func(_ *seat, pid int) { syscall.Kill(pid, s) })
}

func (g *rig) freeze(e *world.Episode) (undo func()) {
	g.signal(e, syscall.SIGSTOP)
	return func() { g.signal(e, syscall.SIGCONT) }
}

// starveEvery is short against what a call may take, and long against a turn on a core.
const starveEvery = 20 * time.Millisecond

// starve stops processes for a share of each turn.
func (g *rig) starve(e *world.Episode, stop bool) {
	if _, on := g.on[e]; !on {
		return
	}
	share, signal := 1-e.Size, syscall.SIGCONT
	if stop {
		share, signal = e.Size, syscall.SIGSTOP
	}
	g.signal(e, signal)
	g.r.clock.After(time.Duration(share*float64(starveEvery)), timeline.Func(func() { g.starve(e, !stop) }))
}

// descriptors lowers the bound that the system has for a process; what it has beyond that stays open.
func (g *rig) descriptors(e *world.Episode) (undo func()) {
	was := map[int]unix.Rlimit{}
	g.running(e, func(_ *seat, pid int) {
		var old unix.Rlimit
		if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old) != nil {
			return
		}
		low := unix.Rlimit{Cur: min(uint64(math.Round(e.Size)), old.Max), Max: old.Max}
		if unix.Prlimit(pid, unix.RLIMIT_NOFILE, &low, nil) == nil {
			was[pid] = old
		}
	})
	return func() {
		g.running(e, func(_ *seat, pid int) {
			if old, ok := was[pid]; ok {
				unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil)
			}
		})
	}
}

// nonsense is a list that is JSON and no list.
var nonsense = json.RawMessage(`{"revision":-7,"complete":"perhaps","members":[{"id":4,"host_port":"127.0.0.1:99999","phase":"?"},null]}`)

// respawn kills processes, and starts them at the end of the fault with what it has left of their list.
func (g *rig) respawn(e *world.Episode) (undo func()) {
	var starts []func()
	for _, b := range e.Seats {
		var old *world.List
		if e.Kind == "old_list" {
			old = g.first[b]
		} else {
			g.r.seats[b].known = nonsense
		}
		starts = append(starts, g.r.world.Respawn(b, old))
	}
	return func() {
		for _, start := range starts {
			start()
		}
	}
}
