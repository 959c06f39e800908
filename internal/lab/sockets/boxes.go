package sockets

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
	"pewterrudder/internal/lab/fleet/disk"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/world"
)

// boxes gives each balancer a state folder of its own, has operators edit what is in it, and has disks lie. Its fields
// belong to the clock's goroutine.
type boxes struct {
	r       *run
	edits   []*edit
	hit     map[int]bool // balancers whose disk has lied, or whose clock was off: an edit may be forgotten
	turned  map[int]bool // balancers that may turn edits down
	disks   []*disk.Served
	claims  []oracle.Claim // of folders, by the lives of processes
	boots   int            // starts of machines
	clients map[int]*boxclient.Client
	pending sync.WaitGroup
	kept    int
}

// edit is a drain that an operator asked a balancer for.
type edit struct {
	balancer int
	node     string
	acked    bool
	why      error
}

// Edits are what became of the edits of a run.
type Edits struct {
	Asked   int `json:"asked"`
	Acked   int `json:"acked"`
	Lost    int `json:"lost"`    // acked, and not in force at the end, where the disk had lied
	Foreign int `json:"foreign"` // in force at a balancer that was never asked for them
}

func (b *boxes) folder(balancer int) string {
	return filepath.Join(b.r.dir, "state-"+strconv.Itoa(balancer))
}

// client is the one operator of a balancer: a box has room for some tens of connections, and each client keeps one.
func (b *boxes) client(balancer int) *boxclient.Client {
	if b.clients[balancer] == nil {
		b.clients[balancer] = boxclient.New(filepath.Join(b.folder(balancer), boxapi.SocketName), editPatience)
	}
	return b.clients[balancer]
}

// editPatience is less than a day lasts, and more than a start takes.
const editPatience = 3 * time.Second

// ask has an operator drain app nodes at the balancers of an episode.
func (b *boxes) ask(e *world.Episode) {
	for _, at := range e.Seats {
		for _, n := range e.Nodes {
			d := &edit{balancer: at, node: b.r.world.Nodes[n].ID}
			b.edits = append(b.edits, d)
			b.pending.Add(1)
			box := b.client(at)
			wanted := control.Edit{ID: boxclient.NewID(), By: "rig", What: control.Drain{Node: d.node},
				For: time.Duration(e.Size * float64(time.Second))}
			go func() {
				defer b.pending.Done()
				ctx, cancel := context.WithTimeout(context.Background(), 2*editPatience)
				defer cancel()
				_, err := box.Edit(ctx, wanted)
				b.r.clock.post(func() {
					if d.acked, d.why = err == nil, err; d.acked {
						b.r.world.Happened("edit_answered", at)
					}
				})
			}()
			b.r.world.Happened("edit_asked", at)
		}
	}
}

// begin starts a fault of disks, and gives what its end has to do.
func (b *boxes) begin(e *world.Episode) (undo func()) {
	for _, at := range e.Seats {
		switch e.Kind {
		case "disk_power", "disk_slow", "disk_stands", "disk_readonly", "other_name": // what was answered holds all the same
		default:
			b.hit[at] = true
		}
		b.turned[at] = true
	}
	check := func(err error) {
		if err != nil && b.r.fault == "" {
			b.r.fault = fmt.Sprintf("%s did not bite: %v", e.Kind, err)
		}
	}
	switch e.Kind {
	case "disk_old":
		copies := map[int]string{}
		for _, at := range e.Seats {
			b.kept++
			copies[at] = filepath.Join(b.r.dir, fmt.Sprintf("kept-%d", b.kept))
			pid := b.r.seats[at].pid()
			syscall.Kill(pid, syscall.SIGSTOP)
			check(disk.Copy(b.folder(at), copies[at]))
			syscall.Kill(pid, syscall.SIGCONT)
		}
		return func() {
			for _, at := range e.Seats {
				start := b.r.world.Respawn(at, nil)
				b.r.seats[at].awaitEnd()
				check(disk.Restore(b.folder(at), copies[at]))
				start()
			}
		}
	case "disk_full":
		var was []func()
		for _, at := range e.Seats {
			most, err := disk.Largest(b.folder(at))
			check(err)
			pid := b.r.seats[at].pid()
			var old unix.Rlimit
			check(unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old))
			low := unix.Rlimit{Cur: uint64(most), Max: old.Max}
			check(unix.Prlimit(pid, unix.RLIMIT_FSIZE, &low, nil))
			was = append(was, func() { unix.Prlimit(pid, unix.RLIMIT_FSIZE, &old, nil) })
		}
		return func() {
			for _, undo := range was {
				undo()
			}
		}
	}
	if undo, ok := b.inHand(e, check); ok {
		return undo
	}
	var starts []func()
	for _, at := range e.Seats {
		starts = append(starts, b.r.world.Respawn(at, nil))
	}
	return func() {
		for i, at := range e.Seats {
			b.r.seats[at].awaitEnd()
			switch e.Kind {
			case "disk_flipped":
				check(disk.Flip(b.folder(at), int(e.Size), b.r.src.Stream(fmt.Sprintf("disks/%d/%v", at, e.From))))
			case "disk_cut":
				check(disk.Cut(b.folder(at), int64(e.Size)))
			case "disk_swapped":
				if i%2 == 1 {
					check(disk.Swap(b.folder(e.Seats[i-1]), b.folder(at)))
				}
			}
		}
		for _, start := range starts {
			start()
		}
	}
}

// awaitEnd waits for a process that has been killed, which is a matter of a millisecond.
func (s *seat) awaitEnd() {
	if s.last != nil {
		<-s.last.done
	}
}

// look holds what is in force at each balancer against what it was asked for, at the end of the day.
func (b *boxes) look(then func(Edits)) {
	all := make([]control.Wants, len(b.r.seats))
	errs := make([]error, len(b.r.seats))
	for i := range all {
		b.client(i)
	}
	go func() {
		b.pending.Wait()
		for i := range all {
			ctx, cancel := context.WithTimeout(context.Background(), editPatience)
			all[i], errs[i] = b.clients[i].Wants(ctx)
			cancel()
		}
		b.r.clock.post(func() { then(b.judge(all, errs)) })
	}()
}

func (b *boxes) judge(all []control.Wants, errs []error) (sum Edits) {
	if ok, why := oracle.Alone(b.claims); !ok {
		b.r.oracle.Break(oracle.Sound, "%s", why)
	}
	drained := make([]map[string]bool, len(all))
	for i := range all {
		drained[i] = map[string]bool{}
		if errs[i] != nil {
			b.r.oracle.Break(oracle.Sound, "balancer %d does not say what is wanted of it: %v", i, errs[i])
		}
		for _, w := range all[i].All {
			if d, ok := w.What.(control.Drain); ok {
				drained[i][d.Node] = true
			}
		}
	}
	asked := map[[2]string]bool{}
	for _, d := range b.edits {
		sum.Asked++
		asked[[2]string{strconv.Itoa(d.balancer), d.node}] = true
		if !d.acked {
			if !b.turned[d.balancer] {
				b.r.oracle.Break(oracle.Sound, "balancer %d refuses an edit: %v", d.balancer, d.why)
			}
			continue
		}
		sum.Acked++
		if drained[d.balancer][d.node] || errs[d.balancer] != nil {
			continue
		}
		if !b.hit[d.balancer] {
			b.r.oracle.Break(oracle.Sound, "balancer %d has forgotten an edit on %s", d.balancer, d.node)
			continue
		}
		sum.Lost++
	}
	for i := range drained {
		for node := range drained[i] {
			if !asked[[2]string{strconv.Itoa(i), node}] {
				sum.Foreign++
			}
		}
	}
	return sum
}
