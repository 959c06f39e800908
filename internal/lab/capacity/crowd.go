package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/fleet/subset"
	"pewterrudder/internal/lab/fleet"
)

const (
	// sets are made for one figure of memory, and enters for one of time.
	sets, enters = 20, 20
	// peersFor is how long a process among others is measured.
	peersFor = 3 * time.Second
	// peersMost bounds all of them, with the build of the program; peersGrace is for the command to end by itself.
	peersMost  = 45 * time.Second
	peersGrace = 3 * time.Second
)

var (
	crowdSizes = []int{300, 1000, 3000}
	dealtSizes = []int{2000, 8000, 26_000}
	// peerSizes end at what the members' own knowledge takes today.
	peerSizes = []int{0, 20, 50, 100}
)

func fellow(i int) string { return fmt.Sprintf("10.9.%d.%d:7946", i>>8, i&255) }

// deal makes a subset's question: a pool of app nodes in all zones, and the other balancers.
func deal(nodes, others int) *subset.Set {
	s := subset.New(fellow(0), subsetSize)
	for i := range others {
		s.Enter(fellow(1 + i))
	}
	for i := range nodes {
		s.Put(fmt.Sprintf("s-%08x", i*2654435761), zoneName(i), 1)
	}
	return s
}

// measureSubset deals app nodes to balancers.
func measureSubset(_ context.Context, o *Options, _ *Results) ([]*Slope, error) {
	memory := &Slope{Name: "subset.memory", What: "heap of one pool's set", X: "balancers", Unit: "MB"}
	held := &Slope{Name: "subset.held", What: "app nodes of one balancer in one pool", X: "balancers", Unit: "app nodes"}
	enter := &Slope{Name: "subset.enter", What: "one balancer comes", X: "app nodes", Unit: "us"}
	perPool := max(1, o.Site.Nodes/o.Site.Pools)
	for _, n := range crowdSizes {
		before := heap()
		var kept []*subset.Set
		total := 0
		for range sets {
			s := deal(perPool, n-1)
			mine, _ := s.Count()
			kept, total = append(kept, s), total+mine
		}
		memory.add(float64(n), (heap()-before)/sets/megabyte)
		held.add(float64(n), float64(total)/sets)
		runtime.KeepAlive(kept)
	}
	held.Note = fmt.Sprintf("%d asked for, of %d app nodes in %d zones", subsetSize, perPool, Coming.Zones)
	for _, n := range dealtSizes {
		s := deal(n, 0)
		took := spentHere(func() {
			for i := range enters {
				s.Enter(fellow(1 + i))
			}
		})
		enter.add(float64(n), us(took)/enters)
	}
	return []*Slope{memory, held, enter}, nil
}

// spentHere is the processor time of something on this thread.
func spentHere(do func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from := onThread()
	do()
	return onThread() - from
}

// measurePeers has one process hear others, by a command of this program that is ended when its time is up: members that
// live in one process find each other slowly on a busy machine, and leave slowly too.
func measurePeers(ctx context.Context, _ *Options, _ *Results) ([]*Slope, error) {
	const x = "others"
	cpu := &Slope{Name: "peers.cpu", What: "processor time at rest", X: x, Unit: "ms/s"}
	memory := &Slope{Name: "peers.memory", What: "anonymous memory", X: x, Unit: "MB"}
	sent := &Slope{Name: "peers.bytes", What: "sent", X: x, Unit: "B/s"}
	packets := &Slope{Name: "peers.packets", What: "sent", X: x, Unit: "packets/s"}
	all := []*Slope{cpu, memory, sent, packets}
	self, err := os.Executable()
	if err != nil {
		return all, err
	}
	dir, err := os.MkdirTemp("", "rudderlab-peers-")
	if err != nil {
		return all, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(ctx, peersMost)
	defer cancel()
	cmd := exec.CommandContext(ctx, self, "peers-cost", "--json", "--peers", sizesOf(peerSizes), "--during", peersFor.String())
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	var out, said bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &said
	cmd.Cancel, cmd.WaitDelay = func() error { return cmd.Process.Signal(os.Interrupt) }, peersGrace
	ended := cmd.Run()
	last := -1
	for in := json.NewDecoder(&out); ; {
		var m fleet.Cost
		if err := in.Decode(&m); err != nil {
			break // the end, or an object that was cut off with the command
		}
		x := float64(m.Peers)
		last = m.Peers
		cpu.add(x, m.CPU)
		memory.add(x, float64(m.Own)/1024)
		sent.add(x, m.Bytes)
		packets.add(x, m.Packets)
	}
	if ended != nil {
		why := "no figure within " + peersMost.String()
		if ctx.Err() == nil {
			why = refusal(fmt.Errorf("%w: %s", ended, &said))
		}
		for _, s := range all {
			s.Refused = fmt.Sprintf("beyond %d others: %s", last, why)
		}
	}
	return all, nil
}

// sizesOf is a list of sizes as a flag takes it.
func sizesOf(sizes []int) string {
	var words []string
	for _, n := range sizes {
		words = append(words, strconv.Itoa(n))
	}
	return strings.Join(words, ",")
}
