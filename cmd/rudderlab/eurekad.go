package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"pewterrudder/internal/lab/eurekad"
	"pewterrudder/internal/lab/eurekad/pacing"
	"pewterrudder/internal/lab/eurekad/size"
	"pewterrudder/internal/registry/eureka"
	"pewterrudder/internal/roster"
)

type eurekadCommand struct {
	Serve eurekadServe `cmd:"" help:"Be a registry: its URL is printed, POST /lab/fault?name=stall has it stall."`
	Read  eurekadRead  `cmd:"" help:"Read a registry with our client, and print its list."`
	Show  eurekadShow  `cmd:"" help:"Register with our client; up, drain and leave are read from standard input."`
	Blind eurekadBlind `cmd:"" help:"Blind times after outages, in virtual time."`
	Crowd eurekadCrowd `cmd:"" help:"How a crowd comes back to a registry that works slowly, in virtual time."`
	Size  eurekadSize  `cmd:"" help:"Memory, time to the first list and from a change, for many instances."`
}

type eurekadServe struct {
	Listen    string  `default:"127.0.0.1:8761" help:"Address and port; port 0 takes a free one." placeholder:"HOST:PORT"`
	Instances int     `help:"Instances that are there from the start."`
	Churn     float64 `help:"Of those, changed each second."`
	Older     bool    `help:"The older JSON: a list of one stands alone, numbers are text."`
	Fault     string  `enum:",stall,slow,refuse,cut,half,wrong-hash,repeat-deltas,stuck-deltas,lie,empty,no-deltas" default:"" help:"From the start."`
}

func (e *eurekadServe) Run() error {
	r := eurekad.New(eurekad.Options{Older: e.Older})
	eurekad.Fill(r, e.Instances)
	r.Set(eurekad.Fault(e.Fault))
	s, err := eurekad.Listen(e.Listen, r)
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println(s.URL())
	if e.Instances > 0 && e.Churn > 0 {
		go eurekad.Churn(ctx, r, e.Instances, e.Churn, 1)
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			r.Evict()
		}
	}
}

// eurekadList is a list that is read.
type eurekadList struct {
	mu   sync.Mutex
	list map[string]roster.Entry
	news chan struct{}
}

func (l *eurekadList) Said(whole bool, _ int64, entries []roster.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole {
		clear(l.list)
	}
	for _, e := range entries {
		if e.State == roster.Gone {
			delete(l.list, e.ID)
		} else {
			l.list[e.ID] = e
		}
	}
	select {
	case l.news <- struct{}{}:
	default:
	}
}
func (l *eurekadList) Heard()          {}
func (l *eurekadList) Broke(err error) { fmt.Fprintln(os.Stderr, "rudderlab: eurekad:", err) }

func eurekadClient(addresses []string, xml bool) eureka.Settings {
	begun := time.Now()
	return eureka.Settings{Addresses: addresses, XML: xml, Keys: eureka.DefaultKeys(),
		Pacing: eureka.Pacing{Every: 200 * time.Millisecond},
		Now:    func() time.Duration { return time.Hour + time.Since(begun) },
		Started: func(ms float64) time.Duration {
			return time.Hour + time.Duration((ms-float64(begun.UnixMilli()))*float64(time.Millisecond))
		},
		Log: func(s string) { fmt.Fprintln(os.Stderr, "rudderlab:", s) }}
}

type eurekadRead struct {
	Address []string      `required:"" help:"Of the registry, tried in turn." placeholder:"URL"`
	App     []string      `help:"Whose instances are wanted." placeholder:"NAME"`
	XML     bool          `name:"xml" help:"Ask for XML."`
	Until   int           `default:"1" help:"Read until the list has so many entries."`
	Within  time.Duration `default:"20s" help:"Give up after so long."`
}

func (e *eurekadRead) Run() error {
	l := &eurekadList{list: map[string]roster.Entry{}, news: make(chan struct{}, 1)}
	set := eurekadClient(e.Address, e.XML)
	set.Apps = e.App
	c, err := eureka.New(set, l)
	if err != nil {
		return misuseError{err}
	}
	c.Start()
	defer c.Close()
	late := time.After(e.Within)
	for {
		select {
		case <-late:
			return fmt.Errorf("the list did not come to %d entries within %v", e.Until, e.Within)
		case <-l.news:
		}
		l.mu.Lock()
		if len(l.list) == e.Until {
			defer l.mu.Unlock()
			return writeJSON(l.list)
		}
		l.mu.Unlock()
	}
}

type eurekadShow struct {
	Address []string      `required:"" help:"Of the registry, tried in turn." placeholder:"URL"`
	App     string        `default:"pewterrudder" help:"Its app."`
	ID      string        `default:"balancer-1" help:"Its id."`
	Host    string        `default:"127.0.0.1" help:"Its address."`
	Port    int           `default:"8080" help:"Its port."`
	Renew   time.Duration `default:"1s" help:"Between renewals."`
}

func (e *eurekadShow) Run() error {
	l := &eurekadList{list: map[string]roster.Entry{}, news: make(chan struct{}, 1)}
	set := eurekadClient(e.Address, false)
	set.Self = &eureka.Self{App: e.App, ID: e.ID, Host: e.Host, Port: e.Port, Renew: e.Renew,
		Metadata: map[string]string{"zone": "lab"}}
	c, err := eureka.New(set, l)
	if err != nil {
		return misuseError{err}
	}
	c.Start()
	defer c.Close()
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		switch word := strings.TrimSpace(in.Text()); word {
		case "up":
			c.Show(eureka.Serving)
		case "drain":
			c.Show(eureka.OutOfService)
		case "leave":
			return nil
		case "":
		default:
			return misuseError{fmt.Errorf("%q: up, drain or leave was expected", word)}
		}
	}
	return in.Err()
}

type eurekadBlind struct {
	Seeds int  `default:"200" help:"Outages of each kind."`
	JSON  bool `name:"json" help:"Write one JSON object."`
}

func (e *eurekadBlind) Run() error {
	if e.Seeds < 1 {
		return misuseError{errors.New("--seeds: at least 1")}
	}
	return show(pacing.MeasureBlind(eureka.Pacing{}, e.Seeds), e.JSON)
}

type eurekadCrowd struct {
	Balancers int     `default:"1000" help:"That come back."`
	PerSecond float64 `default:"5" help:"Calls that the registry works through."`
	Seed      uint64  `default:"1" help:"Of all that is drawn."`
	JSON      bool    `name:"json" help:"Write one JSON object."`
}

func (e *eurekadCrowd) Run() error {
	if e.Balancers < 1 || !(e.PerSecond > 0) {
		return misuseError{errors.New("--balancers and --per-second must be above 0")}
	}
	return show(pacing.MeasureCrowd(eureka.Pacing{}, e.Balancers, e.PerSecond, e.Seed), e.JSON)
}

type eurekadSize struct {
	Instances int           `default:"10000" help:"In the registry."`
	Changes   time.Duration `default:"20s" help:"How long changes are measured."`
	JSON      bool          `name:"json" help:"Write one JSON object."`
}

func (e *eurekadSize) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c, err := size.Measure(self, e.Instances, e.Changes)
	if err != nil {
		return err
	}
	return show(c, e.JSON)
}
