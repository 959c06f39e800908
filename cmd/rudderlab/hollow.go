package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/lab/hollow"
)

type hollowCommand struct {
	Sockets hollowSockets `cmd:"" help:"All balancers at once over loopback: some with the whole list, the rest with a part of it."`
	Virtual hollowVirtual `cmd:"" help:"Balancers with whole lists in virtual time, some at a time, on one timeline."`
	Cost    hollowCost    `cmd:"" help:"What one balancer's list takes, by its parts."`
	Entries hollowEntries `cmd:"" help:"Followers of routes, pools and tenants in a key-value store, all at once over loopback."`
	Store   hollowStore   `cmd:"" hidden:"" help:"Be the key-value store of them; lines of standard input say what happens to it."`
	Source  hollowSource  `cmd:"" hidden:"" help:"Be the source of the list; lines of standard input say what happens to it."`
}

type hollowSockets struct {
	File      string        `name:"json" placeholder:"FILE" help:"Write one JSON object there."`
	Balancers int           `default:"3000" help:"At once."`
	Whole     int           `default:"60" help:"Of them with the whole list."`
	Every     int           `default:"10" help:"The rest hold one app node in so many."`
	AppNodes  int           `default:"26000" help:"In the list."`
	Pools     int           `default:"1" help:"That divide it, by kind."`
	Steady    time.Duration `default:"20s" help:"Without a change."`
	Changes   int           `default:"5" help:"Of one app node each."`
	Rolling   int           `default:"300" help:"Restarted at a time, until all are; 0: none."`
	Restarts  int           `default:"1000" help:"At once; 0: none."`
	Most      time.Duration `default:"120s" help:"That is waited for the last."`
	MemoryGB  float64       `name:"memory-gb" default:"11" help:"That the balancers' process keeps to, as far as what it holds allows."`
}

func (h *hollowSockets) Run() error {
	debug.SetMemoryLimit(int64(h.MemoryGB * (1 << 30)))
	self, err := os.Executable()
	if err != nil {
		return err
	}
	say, end, err := hollow.Child([]string{self, "hollow", "source", "--app-nodes", strconv.Itoa(h.AppNodes), "--every", strconv.Itoa(h.Every),
		"--pools", strconv.Itoa(h.Pools)})
	if err != nil {
		return err
	}
	defer end()
	return inFolder(func(folder string) error {
		r, err := hollow.PlaySockets(hollow.Sockets{Balancers: h.Balancers, Whole: h.Whole, AppNodes: h.AppNodes, Pools: h.Pools, Every: h.Every, Steady: h.Steady,
			Changes: h.Changes, Rolling: h.Rolling, Restarts: h.Restarts, Most: h.Most}, folder, say, tell)
		if err != nil {
			return err
		}
		return withCost(r, h.Pools, folder, h.File)
	})
}

type hollowVirtual struct {
	File      string  `name:"json" placeholder:"FILE" help:"Write one JSON object there."`
	Balancers int     `default:"3000" help:"Of the fleet."`
	Played    int     `default:"300" help:"Of them that are played."`
	Batch     int     `default:"50" help:"At a time, on each thread."`
	Threads   int     `default:"4" help:"That play batches."`
	AppNodes  int     `default:"26000" help:"In the list."`
	Pools     int     `default:"1" help:"That divide it, by kind."`
	Gbit      float64 `default:"10" help:"That the source can send in a second, in Gbit."`
	Seed      uint64  `default:"1" help:"Of when processes come up."`
}

func (h *hollowVirtual) Run() error {
	return inFolder(func(folder string) error {
		r, err := hollow.PlayVirtual(hollow.Virtual{Balancers: h.Balancers, Played: h.Played, Batch: h.Batch, AppNodes: h.AppNodes, Pools: h.Pools,
			Rate: h.Gbit * 1e9 / 8, Seed: h.Seed, Threads: h.Threads}, folder, tell)
		if err != nil {
			return err
		}
		return withCost(r, h.Pools, folder, h.File)
	})
}

type hollowEntries struct {
	File      string        `name:"json" placeholder:"FILE" help:"Write one JSON object there."`
	Followers int           `default:"3000" help:"At once."`
	Whole     int           `default:"10" help:"Of them with whole entries."`
	Steady    time.Duration `default:"20s" help:"Without a change."`
	Changes   int           `default:"10" help:"Of one route's entry each."`
	Most      time.Duration `default:"120s" help:"That is waited for the last."`
	hollowSizes
}

// hollowSizes are the numbers of entries, whole and of the rest.
type hollowSizes struct {
	Routes      int `default:"10000" help:"Of whole entries."`
	Pools       int `default:"550" help:"Of whole entries."`
	Tenants     int `default:"300000" help:"Of whole entries."`
	PartRoutes  int `default:"100" help:"That the rest hold."`
	PartPools   int `default:"10" help:"That the rest hold."`
	PartTenants int `default:"500" help:"That the rest hold."`
}

func (h *hollowSizes) entries() (whole, part hollow.Entries) {
	return hollow.Entries{Routes: h.Routes, Pools: h.Pools, Tenants: h.Tenants},
		hollow.Entries{Routes: h.PartRoutes, Pools: h.PartPools, Tenants: h.PartTenants}
}

func (h *hollowEntries) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{self, "hollow", "store"}
	for _, a := range []struct {
		name string
		n    int
	}{{"routes", h.Routes}, {"pools", h.Pools}, {"tenants", h.Tenants}, {"part-routes", h.PartRoutes}, {"part-pools", h.PartPools}, {"part-tenants", h.PartTenants}} {
		args = append(args, "--"+a.name, strconv.Itoa(a.n))
	}
	say, end, err := hollow.Child(args)
	if err != nil {
		return err
	}
	defer end()
	whole, part := h.entries()
	r, err := hollow.PlaySettings(hollow.Settings{Followers: h.Followers, Whole: h.Whole, Entries: whole, Part: part, Steady: h.Steady,
		Changes: h.Changes, Most: h.Most}, say, tell)
	if err != nil {
		return err
	}
	return told(r, h.File)
}

type hollowStore struct{ hollowSizes }

func (h *hollowStore) Run() error {
	s, err := hollow.NewStore(h.entries())
	if err != nil {
		return err
	}
	defer s.Close()
	return hollow.Answer(s.Do, os.Stdin, os.Stdout)
}

type hollowCost struct {
	JSON     bool `name:"json" help:"Write one JSON object."`
	AppNodes int  `default:"26000" help:"In the list."`
	Pools    int  `default:"1" help:"That divide it, by kind."`
}

func (h *hollowCost) Run() error {
	return inFolder(func(folder string) error {
		c, err := hollow.Measure(folder, h.AppNodes, h.Pools)
		if err != nil {
			return err
		}
		r := &hollow.Result{Form: "cost", AppNodes: h.AppNodes}
		r.WithCost(c)
		return show(r, h.JSON)
	})
}

type hollowSource struct {
	AppNodes int `default:"26000" help:"In the list."`
	Pools    int `default:"1" help:"That divide it, by kind."`
	Every    int `default:"10" help:"Of them that the second address leaves one of."`
}

func (h *hollowSource) Run() error {
	s, err := hollow.NewSource(h.AppNodes, h.Every, h.Pools)
	if err != nil {
		return err
	}
	defer s.Close()
	return hollow.Answer(s.Do, os.Stdin, os.Stdout)
}

// tell says on standard error what is played.
func tell(what string) { fmt.Fprintln(os.Stderr, time.Now().Format("15:04:05"), what) }

// inFolder does something with a folder that is removed behind it.
func inFolder(do func(folder string) error) error {
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	return do(folder)
}

// withCost adds what one balancer's list takes, and tells the result.
func withCost(r *hollow.Result, pools int, folder, file string) error {
	c, err := hollow.Measure(folder, r.AppNodes, pools)
	if err != nil {
		return err
	}
	r.WithCost(c)
	return told(r, file)
}

// told writes the result and names what is broken.
func told(r *hollow.Result, file string) error {
	r.Table(os.Stdout)
	if file != "" {
		raw, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(raw, '\n'), 0o666); err != nil {
			return err
		}
	}
	if names := r.Broken(); len(names) > 0 {
		return brokenError(fmt.Sprintf("%d verdicts are broken: %s", len(names), strings.Join(names, "; ")))
	}
	return nil
}
