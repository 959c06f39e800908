package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log"
	"log/slog"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/brain"
	"pewterrudder/internal/boxd"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/config"
	"pewterrudder/internal/control"
	"pewterrudder/internal/fleet/view"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/store"
)

// box is what the control service sees of the balancer: it asks the reducer by events and waits for what they tell.
type box struct {
	post  func(reducer.Event)
	state *reducer.Reducer // touched within what Inspect tells alone, on the goroutine that drives it
	cfg   *config.Config
	now   func() time.Duration
	begin time.Duration
	peers fellows // nil: there are none

	*standing

	mu    sync.Mutex
	taken uint64 // at the last look
	at    time.Duration
	rate  float64
}

// standing is how the program as a whole stands.
type standing struct{ ready, draining, away atomic.Bool }

// operations is the control service with its store, for as long as the program runs.
type operations struct {
	box     *box
	store   *store.Store
	service *boxd.Service
}

// keeper makes records durable.
type keeper struct{ *store.Store }

func (k keeper) Keep(revision uint64, record []byte) error {
	return k.Append(store.Record{Revision: revision, Data: record})
}

const (
	schema = 1 // of what the store holds
	// compactAt is how many records a start replays at the most; with more it leaves a snapshot in their place.
	compactAt = 2000
	// historyMost is what stays of the history then, with the ids that are made once: months of a shift's edits.
	historyMost = 10000
)

// operate opens the state folder that the settings file names, puts what operators want in force, and serves them. Without
// a folder there is nothing to operate: nil. The reducer must be running.
func operate(cfg *config.Config, state *reducer.Reducer, post func(reducer.Event), now func() time.Duration, is *standing, peers fellows) (*operations, error) {
	folder := cfg.Service.Box.State
	if folder == "" {
		return nil, nil
	}
	o := &operations{box: &box{post: post, state: state, cfg: cfg, now: now, begin: now(), peers: peers, standing: is}}
	var err error
	if o.store, err = store.Open(folder, store.Options{Schema: schema, Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}); err != nil {
		return nil, fmt.Errorf("box.state: %w", err)
	}
	wants, err := o.load()
	if err != nil {
		o.store.Close()
		return nil, fmt.Errorf("box.state: %w", err)
	}
	socket, err := boxd.Listen(folder)
	if err != nil {
		o.store.Close()
		return nil, err
	}
	boot := "process " + fmt.Sprint(os.Getpid(), time.Now().UnixNano())
	if raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		boot = strings.TrimSpace(string(raw))
	}
	o.service = boxd.New(boxd.Setup{Box: o.box, State: wants, Store: keeper{o.store}, Log: func(text string) { log.Print("box: ", text) },
		Now: func() control.Now {
			var at unix.Timespec
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &at)
			return control.Now{Wall: time.Now(), Mono: time.Duration(at.Nano()), Boot: boot}
		}})
	go func() {
		if err := o.service.Serve(socket); err != nil {
			log.Print("box: ", err) // traffic goes on
		}
	}()
	log.Printf("box: %s answers operators, revision %d", folder, o.store.Last())
	return o, nil
}

// load gives what operators want by the store.
func (o *operations) load() (*control.State, error) {
	held, err := o.store.Load()
	if err != nil {
		return nil, err
	}
	state := control.New()
	from := uint64(0)
	if held.Snapshot != nil {
		if state, err = control.FromSnapshot(held.Snapshot.Data); err != nil {
			return nil, err
		}
		from = held.Snapshot.Revision
	}
	for _, kept := range held.Records {
		if kept.Revision <= from {
			continue
		}
		var r control.Record
		if err := json.Unmarshal(kept.Data, &r); err != nil {
			return nil, fmt.Errorf("revision %d: %w", kept.Revision, err)
		}
		if _, err := state.Commit(r); err != nil {
			return nil, fmt.Errorf("revision %d: %w", kept.Revision, err)
		}
	}
	if len(held.Records) > compactAt {
		state.Trim(historyMost)
		brief, err := state.Snapshot()
		if err == nil {
			err = o.store.Compact(store.Record{Revision: state.Revision(), Data: brief}, state.Revision()+1)
		}
		if err != nil {
			log.Printf("box: %v; all records stay", err) // the next start tries again
		}
	}
	return state, nil
}

// stop ends the service, what is under way answered, and gives the folder back.
func (o *operations) stop() {
	if o == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o.service.Close(ctx)
	o.store.Close()
}

// Apply returns once the changes are in force.
func (b *box) Apply(changes []control.Change) {
	if len(changes) == 0 {
		return
	}
	done := make(chan struct{})
	b.post(reducer.OverridesChanged{Changes: changes, Done: func() { close(done) }})
	<-done
}

// look asks for all that is seen, a part at a time.
func (b *box) look() reducer.Snapshot {
	var all reducer.Snapshot
	for from := ""; ; {
		seen := make(chan reducer.Snapshot, 1)
		b.post(reducer.Inspect{From: from, Done: func(v reducer.Snapshot) { seen <- v }})
		v := <-seen
		nodes := append(all.Nodes, v.Nodes...)
		all = v
		all.Nodes = nodes
		if len(v.Nodes) == 0 || len(nodes) >= v.Total {
			return all
		}
		from = v.Nodes[len(v.Nodes)-1].ID
	}
}

// perSecond is the rate of calls since the last look, over a second at the least.
func (b *box) perSecond(taken uint64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at == 0 {
		b.at = b.begin // the first look back goes that far
	}
	if d := b.now() - b.at; d >= time.Second {
		b.rate = float64(taken-b.taken) / d.Seconds()
		b.taken, b.at = taken, b.now()
	}
	return b.rate
}

func (b *box) Status() boxapi.Status {
	v := b.look()
	s := boxapi.Status{Name: b.cfg.Name, Version: version(), Up: b.now() - b.begin, Ready: b.ready.Load(), Draining: b.draining.Load() || b.away.Load(),
		Pools: len(v.Pools), Nodes: v.Total, Calls: v.Taken, Rate: b.perSecond(v.Taken), Open: v.Calls, Refused: v.Refused, Failed: v.Failed}
	for i := range v.Nodes {
		if b.stateOf(&v.Nodes[i]).Works() {
			s.Serving++
		}
	}
	return s
}

func (b *box) Pools() []boxapi.Pool {
	v := b.look()
	out := make([]boxapi.Pool, len(v.Pools))
	for i, p := range v.Pools {
		out[i] = boxapi.Pool{Name: p.Name, Serving: p.Members, Open: p.Open, Cap: p.Cap}
		for j := range v.Nodes {
			if slices.Contains(v.Nodes[j].Pools, p.Name) {
				out[i].Members++
			}
		}
		if p.Members == 0 {
			out[i].Warnings = "no node takes work: its calls are refused"
		}
	}
	return out
}

// deadAfter is how long every connect must have failed, with no answer since, until a node counts as dead.
const deadAfter = time.Second

func (b *box) stateOf(n *reducer.NodeView) boxapi.State {
	now := b.now()
	switch {
	case n.Drained:
		return boxapi.Drained
	case n.Effective != brain.Ready:
		return boxapi.Leaving
	case n.LastFailure > n.LastAnswer && n.LastFailure-n.LastAnswer > deadAfter && n.Idle == 0 && n.LastFailure > 0:
		return boxapi.Dead
	case n.Sight.Ejected > now || n.Sight.Paused > now:
		return boxapi.Ejected
	case n.Warmth < 1:
		return boxapi.Cold
	}
	return boxapi.Serving
}

func (b *box) node(n *reducer.NodeView) boxapi.Node {
	out := boxapi.Node{ID: n.ID, Address: n.Address, Zone: n.Zone, Pools: n.Pools, State: b.stateOf(n), Ready: n.Listed == brain.Ready,
		Load: n.Sight.Load, Open: n.InUse, RosterWeight: n.Weight, RosterDrains: n.Listed == brain.Draining, Drained: n.Drained}
	return out
}

func (b *box) Nodes() []boxapi.Node {
	v := b.look()
	out := make([]boxapi.Node, len(v.Nodes))
	for i := range v.Nodes {
		out[i] = b.node(&v.Nodes[i])
	}
	return out
}

func (b *box) Why(node string) (why boxapi.Why, known bool) {
	v := b.look()
	i := slices.IndexFunc(v.Nodes, func(n reducer.NodeView) bool { return n.ID == node })
	if i < 0 {
		return why, false
	}
	n, now := &v.Nodes[i], b.now()
	why = boxapi.Why{Node: node, State: b.stateOf(n)}
	why.Works = why.State.Works()
	add := func(kind boxapi.State, text, try string) {
		why.Reasons = append(why.Reasons, boxapi.Reason{Kind: string(kind), Text: text, Try: try})
	}
	if n.Drained {
		add(boxapi.Drained, "an operator has drained it", "rudderctl restore "+node)
	}
	if n.Listed == brain.Draining {
		add(boxapi.Leaving, "the roster says that it drains", "rudderctl roster")
	}
	if why.State == boxapi.Dead {
		add(boxapi.Dead, fmt.Sprintf("no connect or answer has come from it since %v ago", (now-n.LastAnswer).Round(time.Second)), "")
	}
	if n.Sight.Ejected > now {
		add(boxapi.Ejected, fmt.Sprintf("it failed far more often than the others; one call at a time in %v", (n.Sight.Ejected-now).Round(time.Millisecond)), "")
	}
	if n.Sight.Paused > now {
		add(boxapi.Ejected, fmt.Sprintf("it turned calls away; tried again in %v", (n.Sight.Paused-now).Round(time.Millisecond)), "")
	}
	if n.Warmth < 1 {
		add(boxapi.Cold, fmt.Sprintf("it has just started, and counts for %.0f %% of its size", 100*n.Warmth), "")
	}
	if len(n.Pools) == 0 {
		var held, of int
		b.seen(func() { held, of = b.state.SubsetCount() })
		text := "it is a member of no pool"
		if held < of {
			text = fmt.Sprintf("other balancers use it: of %d app nodes %d are this one's", of, held)
		}
		why.Reasons = append(why.Reasons, boxapi.Reason{Kind: "pool", Text: text, Try: "rudderctl peers"})
	}
	if len(why.Reasons) == 0 {
		why.Reasons = append(why.Reasons, boxapi.Reason{Kind: string(boxapi.Serving), Text: "it gets its share"})
	}
	return why, true
}

func (b *box) Roster() (out boxapi.Roster) {
	b.seen(func() {
		m := b.state.Roster()
		if m == nil {
			return
		}
		for _, s := range m.Sources() {
			out.Sources = append(out.Sources, boxapi.Source{Name: s.Name, Role: s.Role.String(), Health: s.Health.String(),
				Standing: s.Standing.String(), Age: s.Age, Entries: s.Entries, Why: s.Why})
		}
		for _, e := range m.Entries() {
			out.Entries = append(out.Entries, boxapi.Entry{ID: e.ID, Address: e.Address, Zone: e.Zone, State: e.State.String(), Weight: e.Weight,
				By: e.By, From: e.From})
		}
	})
	if len(out.Sources) == 0 { // discovery's word is the list
		v := b.look()
		out.Sources = []boxapi.Source{{Name: config.Discovery, Role: "primary", Health: "fresh", Standing: "decides", Entries: v.Total}}
		for _, n := range v.Nodes {
			out.Entries = append(out.Entries, boxapi.Entry{ID: n.ID, Address: n.Address, Zone: n.Zone, Weight: n.Weight,
				By: []string{config.Discovery}, From: config.Discovery,
				State: [...]string{brain.Ready: "up", brain.Draining: "draining", brain.Gone: "gone"}[n.Listed]})
		}
	}
	return out
}

func (b *box) Peers() (out boxapi.Peers) {
	b.seen(func() {
		v := b.state.PeerView()
		if v == nil {
			return
		}
		one := func(l view.Life) boxapi.Peer {
			return boxapi.Peer{ID: l.ID, Name: l.Name, Address: l.Address, Zone: l.Zone, Version: l.Version, Live: true}
		}
		out.On, out.Own, out.Crowd, out.Believed = true, one(v.Own()), v.Crowd(), v.Believed()
		for _, s := range v.Lives() {
			p := one(s.Life)
			p.Live, p.For, p.Facts = s.Live, s.For, s.Facts
			out.Peers = append(out.Peers, p)
		}
	})
	if b.peers != nil {
		out.Counts, _ = json.Marshal(b.peers.Counts())
	}
	return out
}

// seen has something looked at on the goroutine that drives the reducer, and waits for it.
func (b *box) seen(look func()) {
	done := make(chan struct{})
	b.post(reducer.Inspect{Done: func(reducer.Snapshot) {
		defer close(done)
		look()
	}})
	<-done
}

// version of the program, as its build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return cmp.Or(s.Value[:min(12, len(s.Value))], "unknown")
		}
	}
	return cmp.Or(info.Main.Version, "unknown")
}
