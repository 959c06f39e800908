package sockets

import (
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"pewterrudder/internal/lab/fleet/disk"
	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/world"
)

// What the rig does to the disk, the clock and the name of a process, and who has held a state folder when.

// serve puts a disk of the rig's under a balancer's folder, where the day needs one.
func (b *boxes) serve(balancer int) error {
	if !b.r.sc.InHand() {
		return nil
	}
	d, err := disk.Serve(b.folder(balancer), b.diskAt(balancer), func(event string) {
		done := make(chan struct{})
		b.r.clock.post(func() {
			b.r.world.Happened(event, balancer)
			close(done)
		})
		select {
		case <-done:
		case <-b.r.clock.end:
		}
	})
	b.disks = append(b.disks, d)
	return err
}

func (b *boxes) diskAt(balancer int) string {
	return filepath.Join(b.r.dir, "disk-"+strconv.Itoa(balancer))
}

func (b *boxes) close() {
	if b == nil {
		return
	}
	for _, d := range b.disks {
		if d != nil {
			d.Close()
		}
	}
}

// holder is the balancer whose name and folder a process starts with.
func (s *seat) holder() *seat {
	if s.borrows != nil {
		return s.borrows
	}
	return s
}

// variables tell a process of its folder, and one of the test build of its disk and clock.
func (b *boxes) variables(s *seat) []string {
	env := []string{"RUDDER_SETTINGS=" + s.holder().settings}
	if b != nil && len(b.disks) > 0 {
		env = append(env, "RIG_DISK="+b.diskAt(s.holder().index), "RIG_CLOCK="+s.clock.String())
		if s.boot != "" {
			env = append(env, "RIG_BOOT="+s.boot)
		}
	}
	return env
}

// inHand begins what the rig's own disks and clocks do, and a start under another's name.
func (b *boxes) inHand(e *world.Episode, check func(error)) (undo func(), ok bool) {
	mood := disk.Mood{}
	switch e.Kind {
	case "disk_slow":
		mood.Slow = time.Duration(e.Size * float64(time.Millisecond))
	case "disk_stands":
		mood.Stands = true
	case "disk_readonly":
		mood.ReadOnly = true
	case "disk_lies":
		mood.Lies = true
	case "disk_power":
		return b.power(e, check, b.kill(e)), true
	case "clock_off":
		b.rebooted(e, time.Duration(e.Size*float64(time.Second)))
		return func() { b.rebooted(e, 0) }, true
	case "other_name":
		return b.borrow(e), true
	default:
		return nil, false
	}
	set := func(m disk.Mood) {
		for _, at := range e.Seats {
			b.disks[at].Set(m)
		}
	}
	set(mood)
	return func() {
		if e.Kind == "disk_lies" {
			b.power(e, check, b.kill(e))()
		}
		set(disk.Mood{})
	}, true
}

func (b *boxes) kill(e *world.Episode) (starts []func()) {
	for _, at := range e.Seats {
		starts = append(starts, b.r.world.Respawn(at, nil))
	}
	return starts
}

// power gives what is done once the power is back: the folders hold what a disk has then, and the processes start.
func (b *boxes) power(e *world.Episode, check func(error), starts []func()) func() {
	return func() {
		for i, at := range e.Seats {
			b.r.seats[at].awaitEnd()
			check(b.disks[at].Power(e.Size, b.r.src.Stream(fmt.Sprintf("disks/%d/%v", at, e.From))))
			starts[i]()
		}
	}
}

// rebooted starts the processes on machines that have just been started, with their clocks off by so much.
func (b *boxes) rebooted(e *world.Episode, off time.Duration) {
	starts := b.kill(e)
	for i, at := range e.Seats {
		b.boots++
		s := b.r.seats[at]
		s.clock, s.boot = off, fmt.Sprintf("start %d", b.boots)
		starts[i]()
	}
}

// borrow starts processes as another one that runs, and at the end as themselves.
func (b *boxes) borrow(e *world.Episode) (undo func()) {
	named := e.Named()
	var starts []func()
	for _, at := range named[1:] {
		start := b.r.world.Respawn(at, nil)
		b.r.seats[at].borrows = b.r.seats[named[0]]
		start()
	}
	return func() {
		for _, at := range named[1:] {
			starts = append(starts, b.r.world.Respawn(at, nil)) // it has seen to its own end, or it has not
			b.r.seats[at].borrows = nil
		}
		for _, start := range starts {
			start()
		}
	}
}

// ---- who holds a folder ----

// had: a process that has a folder serves.
func (b *boxes) had(s *seat, p *process) {
	if b == nil {
		return
	}
	b.claims = append(b.claims, oracle.Claim{Thing: "the folder of balancer " + strconv.Itoa(s.holder().index), By: s.index,
		Asked: p.asked, Had: b.r.clock.Now(), Left: oracle.Held, Gone: oracle.Held})
	p.claim = len(b.claims)
}

// leaves: from now on it may have let go; gone: now it has.
func (b *boxes) leaves(p *process) {
	if b != nil && p.claim > 0 {
		if c := &b.claims[p.claim-1]; c.Left == oracle.Held {
			c.Left = b.r.clock.Now()
		}
	}
}

func (b *boxes) gone(p *process) {
	if b != nil && p.claim > 0 {
		b.leaves(p)
		b.claims[p.claim-1].Gone = b.r.clock.Now()
	}
}
