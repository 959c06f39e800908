package main

import (
	"os"

	"pewterrudder/internal/lab/flowrig"
)

type flow struct {
	Memory     flowMemory     `cmd:"" help:"Peak resident memory for slow readers of large answers."`
	Throughput flowThroughput `cmd:"" help:"Large answers against a plain httputil.ReverseProxy, by turns."`
	CPU        flowCPU        `cmd:"" name:"cpu" help:"CPU for a call of a small answer against another balancer, by turns."`
	Departures flowDepartures `cmd:"" help:"Time from a client's leaving to the end of the app node's connection."`

	Node  flowNode  `cmd:"" hidden:"" help:"Be a stand-in app node."`
	Plain flowPlain `cmd:"" hidden:"" help:"Be a plain httputil.ReverseProxy."`
}

// measured is what every measurement is told.
type measured struct {
	Balancer string `default:"bin/pewterrudder" help:"The balancer's program." placeholder:"PATH"`
	JSON     bool   `name:"json" help:"Write one JSON object."`
}

type flowMemory struct {
	measured
	Rate    int   `default:"256" help:"KiB a second that each reader takes."`
	Readers []int `help:"Numbers of readers, in place of the standard table." placeholder:"N"`
	KiB     []int `name:"kib" help:"Sizes of answers in KiB, in place of the standard table." placeholder:"N"`
	Memory  int   `default:"192" help:"limits.memory_mb where readers and sizes are given."`
	Sockets int   `default:"1024" help:"limits.sockets where readers and sizes are given."`
}

func (f *flowMemory) Run() error {
	var cases []flowrig.MemoryCase
	for _, kib := range f.KiB {
		for _, n := range f.Readers {
			cases = append(cases, flowrig.MemoryCase{Readers: n, Bytes: kib << 10, MemoryMB: f.Memory, Sockets: f.Sockets})
		}
	}
	if len(cases) == 0 {
		cases = flowrig.MemoryCases()
	}
	m, err := flowrig.MeasureMemory(f.Balancer, f.Rate<<10, cases, os.Stderr)
	if err != nil {
		return err
	}
	return show(m, f.JSON)
}

type flowThroughput struct {
	measured
	KiB    []int `name:"kib" default:"64,1024,16384" help:"Sizes of answers."`
	Conns  int   `default:"4" help:"Kept connections."`
	Rounds int   `default:"9" help:"Pairs of rounds."`
	MiB    int   `name:"mib" default:"512" help:"Moved in a round."`
}

func (f *flowThroughput) Run() error {
	var sizes []int
	for _, kib := range f.KiB {
		sizes = append(sizes, kib<<10)
	}
	t, err := flowrig.MeasureThroughput(f.Balancer, sizes, f.Conns, f.Rounds, f.MiB<<20, os.Stderr)
	if err != nil {
		return err
	}
	return show(t, f.JSON)
}

type flowCPU struct {
	measured
	Against string `required:"" help:"The other balancer's program." placeholder:"PATH"`
	Bytes   int    `default:"200" help:"Of an answer."`
	Conns   int    `default:"16" help:"Kept connections."`
	Calls   int    `default:"4000" help:"Calls of a round."`
	Rounds  int    `default:"40" help:"Pairs of rounds."`
}

func (f *flowCPU) Run() error {
	c, err := flowrig.MeasureCost(f.Balancer, f.Against, f.Bytes, f.Conns, f.Calls, f.Rounds, os.Stderr)
	if err != nil {
		return err
	}
	return show(c, f.JSON)
}

type flowDepartures struct {
	measured
	Count int `default:"1000" help:"Departures at each moment."`
}

func (f *flowDepartures) Run() error {
	d, err := flowrig.MeasureDepartures(f.Balancer, flowrig.Moments, f.Count, os.Stderr)
	if err != nil {
		return err
	}
	return show(d, f.JSON)
}

type flowNode struct {
	Addresses int `default:"1" help:"To listen on."`
}

func (f *flowNode) Run() error { return flowrig.RunNode(f.Addresses) }

type flowPlain struct {
	To string `required:"" help:"The app node."`
}

func (f *flowPlain) Run() error { return flowrig.RunPlain(f.To) }
