// Command pewterrudder is one real balancer. This file owns the wiring, the clock and the goroutine that
// drives the reducer and carries out its effects; it must never decide anything itself.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"pewterrudder/internal/acceptor"
	"pewterrudder/internal/config"
	"pewterrudder/internal/delegation"
	"pewterrudder/internal/flow"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry"
	"pewterrudder/internal/registry/eureka"
	"pewterrudder/internal/router/command"
	"pewterrudder/internal/tenants"
)

const (
	// clockStart keeps the node's clock away from 0, which means "long ago" in lists, and lets app nodes
	// that started before this process have a moment above 0.
	clockStart = 24 * time.Hour
	// memoryShare of the limit is the collector's goal; the rest is for stacks, sockets' buffers and code.
	memoryShare = 0.6
	backlog     = 4096 // events under way to the reducer
	// fillingPercent is the collector's pace until shareMemory sets it: nobody waits yet, and with hundreds of thousands of
	// tenants the start would take the most memory of all that the process does.
	fillingPercent = 20
	// manyTenants are worth a collection once their list has been read: what reading one takes is some 100 bytes, so that
	// fewer leave less than a megabyte behind, and a forced collection holds up calls on a fourth of a core.
	manyTenants = 10_000
)

func main() {
	if len(os.Args) > 1 && slices.Contains(command.Names(), os.Args[1]) {
		os.Exit(command.Main(os.Args[1:]))
	}
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	log.SetOutput(os.Stderr)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pewterrudder:", err)
		os.Exit(1)
	}
}

func run() error {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	settings := flag.String("settings", "", "`file` of settings, JSON with comments; else $"+config.SettingsVariable)
	flag.Parse()
	if flag.NArg() > 0 {
		return fmt.Errorf("%q: there is nothing to name but flags", flag.Arg(0))
	}
	env := func(name string) string {
		if name == config.SettingsVariable && *settings != "" {
			return *settings
		}
		return os.Getenv(name)
	}
	reload := make(chan os.Signal, 1) // one that comes during a reload waits: the file is then read once more
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Load(env)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	tenants := new(tenants.Table)
	tenantRound := uint32(1)
	if cfg.Tenants.Len() >= manyTenants {
		debug.SetGCPercent(fillingPercent)
		cfg.Tenants.Into(tenants, tenantRound)
		debug.FreeOSMemory() // what reading took
	} else {
		cfg.Tenants.Into(tenants, tenantRound)
	}
	shareMemory(cfg, 1)

	begin := time.Now()
	now := func() time.Duration { return clockStart + time.Since(begin) }
	started := func(ms float64) time.Duration { return clockStart + config.FromMs(ms-unixMs(begin)) }
	var known reducer.List
	if len(cfg.Known) > 0 {
		if known, err = registry.Decode(cfg.Known, started); err != nil {
			log.Printf("known: %v", err) // an old list with a flaw is no reason to stay down
		}
	}
	clientBudget, keptBudget, delegationBudget := cfg.Limits.Budget()
	divided, err := layout(cfg)
	if err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	events := make(chan reducer.Event, backlog)
	post := func(ev reducer.Event) { events <- ev }
	told, err := enter(cfg, tenants, &divided, post)
	if err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	state, err := reducer.NewWithLayout(cfg.Brain, cfg.Prng, delegationBudget, divided)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	flows := cfg.Service.Flow
	if stall := flows.Stall(); stall > 0 {
		state.SetFixedStallTimeout(stall)
	}
	var deadlines []time.Duration
	for _, c := range cfg.Brain.Classes {
		deadlines = append(deadlines, c.Deadline)
	}
	front := acceptor.New(now, post, cfg.Settings.Places(), deadlines, tenants, clientBudget, keptBudget,
		acceptor.BodyLimits{MaxUploadBytes: flows.MaxUploadBytes, ClientIdleTimeout: flows.ClientIdle()})
	nodes := delegation.New(post, cfg.Settings.Stats.Columns, delegation.Limits{MaxAnswerBytes: flows.MaxAnswerBytes,
		Memory: flow.NewMemoryLimit(flows.Room(cfg.Limits)), MemoryWait: flows.Wait()})
	list := registry.New(post, func(text string) { log.Print(text) }, started)
	discovery, err := believe(cfg, state)
	if err != nil {
		return err
	}
	if discovery >= 0 {
		list.Hear(func() { post(reducer.SourceAlive{Source: discovery}) })
	}

	// With a second address a later version may start beside this process. The clients' address is then opened once calls
	// can be served: from that moment on new connections come here.
	var listener net.Listener
	if cfg.Control == "" {
		if listener, err = acceptor.Listen(cfg.Listen, false); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	others, err := follow(cfg, post, now, started)
	if err != nil {
		return err
	}
	defer others.stop()
	var standing standing
	able := make(chan struct{}, 1)
	fellows, err := meet(cfg, state, post, now)
	if err != nil {
		return err
	}
	if fellows != nil {
		defer fellows.Close()
	}
	counter, err := attend(cfg, post, &standing, nodes.WrittenCalls, fellows, told)
	if err != nil {
		return err
	}
	defer counter.close()
	go func() {
		var effects []reducer.Effect
		for ev := range events {
			effects = state.Handle(now(), ev, effects[:0])
			for _, e := range effects {
				switch e := e.(type) {
				case reducer.Answer:
					front.Answer(e.Call, e.Reply)
				case reducer.Exchange:
					nodes.Exchange(e)
				case reducer.Dial:
					nodes.Dial(e)
				case reducer.Close:
					nodes.Close(e)
				case reducer.Watch:
					list.Watch(e)
				case reducer.RunCallback:
					e.Do()
				case reducer.Refetch:
					others.again(e.Source)
				case reducer.StartTimer:
					time.AfterFunc(e.After, func() { post(e.Event) })
				case reducer.Ready:
					able <- struct{}{}
				case reducer.Log:
					log.Print(e.Text)
				case reducer.SettingsChanged:
					next := e.Tag.(*config.Settings)
					terms := acceptor.ClassLimits{Classes: e.ClassSlots}
					for i := range e.Classes {
						terms.Deadlines = append(terms.Deadlines, e.Classes[i].Deadline)
					}
					front.SetClassLimits(terms)
					nodes.SetReportColumns(next.Stats.Columns)
				case reducer.RaiseStamp:
					fellows.Raise(e.Stamp)
				case reducer.AnnounceFact:
					fellows.Say(e.Fact)
				case reducer.SetDraining:
					front.SetDraining(e.Draining)
					standing.away.Store(e.Draining)
				case reducer.DivideLimits:
					front.DivideLimits(e.Parts)
					shareMemory(cfg, e.Parts)
				case reducer.CloseClientConns:
					front.CloseClientConns(e.IncludeSilent)
				case reducer.Publish:
					counter.figures.Store(e.Figures)
				}
			}
			clear(effects)
		}
	}()
	post(reducer.Started{Known: known, Discovery: cfg.Discovery, Figures: cfg.Control != ""})
	if cfg.Control != "" {
		defer attendCompany(cfg, post)()
	}
	if told != nil {
		if err := told.follow(cfg); err != nil {
			return err
		}
		defer told.stop()
	}
	ops, err := operate(cfg, state, post, now, &standing, fellows)
	if err != nil {
		return err
	}
	defer ops.stop()

	served := make(chan error, 1)
	if listener != nil {
		go func() { served <- front.Serve(listener) }()
	}
	drained := make(chan error, 1)
	for {
		select {
		case <-able:
			if listener == nil && !standing.draining.Load() {
				if listener, err = share(cfg.Listen); err != nil {
					return err
				}
				go func() { served <- front.Serve(listener) }()
			}
			front.SetReady()
			standing.ready.Store(true)
			others.show(eureka.Serving)
		case err := <-served:
			if err == nil {
				err = errors.New("the listener has ended")
			}
			return err
		case <-reload:
			// A file with a fault must not cost the service: the old configuration stays in force.
			next, err := cfg.Reload(env)
			moved := reducer.Reloaded{}
			retuned, divides := false, false
			if err == nil {
				retuned = !reflect.DeepEqual(cfg.Settings, next.Settings)
				divides = !samePools(cfg, next) || retuned && len(next.Service.Routes) > 0
			}
			if divides && told == nil {
				divided, wrong := layout(next)
				moved.Layout, err = &divided, wrong
			}
			if err != nil { // nothing of it is taken
				log.Printf("reload: %v; the old configuration stays", err)
				post(reducer.ReloadRejected{})
				continue
			}
			for _, key := range cfg.Fixed(next) {
				log.Printf("reload: %s has changed, which takes a restart", key)
			}
			log.Printf("reload: discovery is %s", next.Discovery)
			moved.Discovery = next.Discovery
			if retuned {
				moved.Settings, moved.Tag = &next.Brain, next.Settings
			}
			if divides {
				cfg.Service.Routes, cfg.Service.Pools, cfg.Service.Zones = next.Service.Routes, next.Service.Pools, next.Service.Zones
			}
			if fellows != nil && !slices.Equal(cfg.Service.Peers.Keys, next.Service.Peers.Keys) {
				if err := fellows.Rekey(next.Service.Peers.Keys); err != nil {
					log.Printf("reload: %v; the old keys stay", err)
				} else {
					cfg.Service.Peers.Keys = next.Service.Peers.Keys
				}
			}
			if cfg.Tenants.Differ(&next.Tenants) {
				tenantRound++
				told.read(&next.Tenants, tenants, tenantRound)
				log.Printf("reload: %d tenants", tenants.Len())
			}
			cfg.Keep(next)
			post(moved)
			if cfg.Tenants.Len() >= manyTenants {
				debug.FreeOSMemory() // what reading took: with many tenants as much as the table
			}
			if told != nil && (divides || retuned) {
				if err := told.reload(cfg); err != nil { // it was found sound when it was read
					log.Printf("reload: %v", err)
				}
			}
			if retuned {
				log.Printf("reload: settings with %d classes and %d attempts", len(next.Brain.Classes), next.Brain.MaxAttempts)
			}
			if divides { // from here on calls go by the new ones
				log.Printf("reload: %d routes over %d pools", len(next.Service.Routes), len(next.Service.PoolsInForce()))
			}
		case <-term:
			log.Print("draining")
			standing.draining.Store(true)
			others.show(eureka.OutOfService)
			term = nil   // once is enough
			served = nil // the listener ends by itself now
			go func() { drained <- front.Drain() }()
		case err := <-drained:
			if err != nil {
				return fmt.Errorf("drain: %w; what is open is cut off", err)
			}
			log.Print("drained")
			return nil
		}
	}
}

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }
