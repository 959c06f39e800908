package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/x/vt"
	"github.com/creack/pty"
	"golang.org/x/sys/unix"

	"pewterrudder/internal/boxclient"
	"pewterrudder/internal/boxd"
	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// The tests of this program run the program: the test's own binary, started anew.
func TestMain(m *testing.M) {
	if os.Getenv("BE_RUDDERCTL") != "" {
		os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const patience = 30 * time.Second // bounds a wait that should not be one

// testBox is a box of six nodes in two pools that calls nobody, with the disk under it.
type testBox struct {
	mu            sync.Mutex
	kept          [][]byte
	changes       map[string]control.Change // in force, by node or pool
	afterNextKeep func()                    // once, between the disk's word and the answer
}

var fleet = []struct{ node, pool string }{{"n1", "main"}, {"n2", "main"}, {"n3", "main"}, {"n4", "main"}, {"n5", "main"}, {"n6", "small"}}

func (y *testBox) Status() boxapi.Status {
	return boxapi.Status{Name: "testBox", Version: "test", Ready: true, Pools: 2, Nodes: len(fleet), Up: time.Hour}
}

func (y *testBox) Pools() []boxapi.Pool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return []boxapi.Pool{{Name: "main", Members: 5, Cap: y.changes["main"].Cap}, {Name: "small", Members: 1, Cap: y.changes["small"].Cap}}
}

func (y *testBox) Nodes() (out []boxapi.Node) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, f := range fleet {
		c := y.changes[f.node]
		n := boxapi.Node{ID: f.node, Address: "127.0.0.1:1", Pools: []string{f.pool}, State: boxapi.Serving, Ready: true, RosterWeight: 1,
			Weight: c.Weight, Drained: c.Drained, Load: 0.25}
		if c.Drained {
			n.State = boxapi.Drained
		}
		out = append(out, n)
	}
	return out
}

func (y *testBox) Why(node string) (boxapi.Why, bool) {
	for _, n := range y.Nodes() {
		if n.ID == node {
			return boxapi.Why{Node: node, State: n.State, Works: n.State.Works(), Reasons: []boxapi.Reason{{Kind: string(n.State), Text: "that is so"}}}, true
		}
	}
	return boxapi.Why{}, false
}

func (y *testBox) Peers() boxapi.Peers {
	return boxapi.Peers{On: true, Own: boxapi.Peer{Name: "lab-0", Address: "127.0.0.1:7946", Live: true}, Crowd: 2, Believed: true,
		Peers: []boxapi.Peer{{ID: "a", Name: "lab-1", Address: "127.0.0.2:7946", Live: true, For: time.Minute},
			{ID: "b", Name: "lab-2", Address: "127.0.0.3:7946", For: 3 * time.Second}}}
}

func (y *testBox) Roster() boxapi.Roster {
	return boxapi.Roster{Sources: []boxapi.Source{{Name: "discovery"}}, Entries: []boxapi.Entry{{ID: "n1"}}}
}

func (y *testBox) Apply(all []control.Change) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, c := range all {
		y.changes[c.Node+c.Pool] = c
	}
}

func (y *testBox) Keep(revision uint64, b []byte) error {
	y.mu.Lock()
	hook := y.afterNextKeep
	y.kept, y.afterNextKeep = append(y.kept, b), nil
	y.mu.Unlock()
	if hook != nil {
		hook()
	}
	return nil
}

// rig is a testBox with its service, which can die and start anew.
type rig struct {
	*testBox
	folder string
	ask    *boxclient.Client

	life    sync.Mutex
	service *boxd.Service
	served  chan struct{}
	gone    bool
}

func newRig(t *testing.T) *rig {
	t.Helper()
	folder, err := os.MkdirTemp("", "ctl") // t.TempDir has the test's name in it, too long for a socket's path
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{testBox: &testBox{}, folder: folder}
	r.ask = boxclient.New(filepath.Join(folder, boxapi.SocketName), patience)
	if err := r.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.life.Lock()
		defer r.life.Unlock()
		r.gone = true
		r.end()
		os.RemoveAll(folder)
	})
	return r
}

func (r *rig) start() error {
	r.life.Lock()
	defer r.life.Unlock()
	if r.gone {
		return nil
	}
	state := control.New()
	r.mu.Lock()
	r.changes = map[string]control.Change{}
	for _, b := range r.kept {
		var record control.Record
		if err := json.Unmarshal(b, &record); err != nil {
			return err
		}
		if _, err := state.Commit(record); err != nil {
			return err
		}
	}
	r.mu.Unlock()
	l, err := boxd.Listen(r.folder)
	if err != nil {
		return err
	}
	begin := time.Now()
	r.service = boxd.New(boxd.Setup{Box: r.testBox, State: state, Store: r.testBox, Now: func() control.Now {
		return control.Now{Wall: time.Now(), Mono: time.Since(begin), Boot: begin.String()}
	}})
	service, served := r.service, make(chan struct{})
	r.served = served
	go func() { service.Serve(l); close(served) }()
	return nil
}

func (r *rig) end() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // connections break at once
	r.service.Close(ctx)
	<-r.served
}

// dies breaks every connection and starts the box anew from its disk, on a goroutine of its own.
func (r *rig) dies(t *testing.T, done chan<- struct{}) {
	r.life.Lock()
	r.service.Break()
	r.life.Unlock()
	go func() {
		defer close(done)
		r.life.Lock()
		r.end()
		r.life.Unlock()
		if err := r.start(); err != nil {
			t.Error(err)
		}
	}()
}

// state is all that is wanted, as one line a key, and what is in force of it.
func (r *rig) state(t *testing.T) string {
	t.Helper()
	w, err := r.ask.Wants(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, one := range w.All {
		fmt.Fprintf(&b, "%s", one.What)
		if !one.Until.IsZero() {
			b.WriteString(" for a time")
		}
		b.WriteByte('\n')
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fleet {
		if c := r.changes[f.node]; c.Drained || c.Weight > 0 {
			fmt.Fprintln(&b, "in force:", c)
		}
	}
	for _, p := range []string{"main", "small"} {
		if c := r.changes[p]; c.Cap > 0 {
			fmt.Fprintln(&b, "in force:", c)
		}
	}
	return b.String()
}

// wanted says whether an operation is in force, to stay.
func (r *rig) wanted(t *testing.T, key, what string) bool {
	t.Helper()
	w, err := r.ask.Wants(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	one, ok := w.Find(control.Key(key))
	if what == "" {
		return !ok
	}
	return ok && one.What.String() == what && one.Until.IsZero()
}

func (r *rig) command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(slices.DeleteFunc(os.Environ(), func(s string) bool { return strings.HasPrefix(s, "TERM=") }),
		"BE_RUDDERCTL=1", "RUDDER_SOCKET="+r.folder, "TERM=vt100", "TZ=UTC")
	return cmd
}

// ctl runs a command without a terminal, and gives its output and status.
func (r *rig) ctl(t *testing.T, args ...string) (out, errs string, status int) {
	t.Helper()
	cmd := r.command(args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	if _, ok := err.(*exec.ExitError); err != nil && !ok {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// terminal is a pseudo-terminal of 80 by 24 with a command on it, and what its screen shows.
type terminal struct {
	t    *testing.T
	file *os.File
	cmd  *exec.Cmd

	mu       sync.Mutex
	changed  *sync.Cond
	emulator *vt.Emulator
	raw      []byte
	over     bool
	ended    chan struct{}
}

func (r *rig) terminal(t *testing.T, args ...string) *terminal {
	t.Helper()
	return newTerminal(t, r.command(args...))
}

// newTerminal starts a command on a terminal.
func newTerminal(t *testing.T, cmd *exec.Cmd) *terminal {
	t.Helper()
	s := &terminal{t: t, cmd: cmd, emulator: vt.NewEmulator(80, 24), ended: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	line, err := pty.StartWithSize(s.cmd, &pty.Winsize{Rows: 24, Cols: 80})
	if err != nil {
		t.Fatal(err)
	}
	// A descriptor that blocks stays open while it is read, and the line would not hang up when we do. Nor would it while a
	// program that was started in the meantime has a copy.
	own, err := unix.FcntlInt(line.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err == nil {
		err = unix.SetNonblock(own, true)
	}
	if err != nil {
		t.Fatal(err)
	}
	line.Close()
	s.file = os.NewFile(uintptr(own), "line")
	go func() {
		io.Copy(s.file, s.emulator)     // what the terminal answers to questions
		io.Copy(io.Discard, s.emulator) // with the far end closed nobody takes them, and the screen would wait for that
	}()
	read := make(chan struct{})
	go func() {
		defer close(read)
		b := make([]byte, 4096)
		for {
			n, err := s.file.Read(b)
			s.mu.Lock()
			s.emulator.Write(b[:n])
			s.raw = append(s.raw, b[:n]...)
			s.changed.Broadcast()
			s.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	go func() {
		<-read // the far end is closed, by us or by its end
		s.cmd.Wait()
		s.mu.Lock()
		s.over = true
		s.changed.Broadcast()
		s.mu.Unlock()
		close(s.ended)
	}()
	t.Cleanup(s.kill)
	return s
}

// sees waits until the screen shows a text; false: the program has ended without.
func (s *terminal) sees(text string) bool {
	s.t.Helper()
	late := false
	wake := time.AfterFunc(patience, func() { s.mu.Lock(); late = true; s.changed.Broadcast(); s.mu.Unlock() })
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for !strings.Contains(s.emulator.String(), text) {
		if s.over {
			return false
		}
		if late {
			s.t.Fatalf("%q never came; the screen:\n%s\nand all that was written:\n%q", text, s.emulator.String(), s.raw)
		}
		s.changed.Wait()
	}
	return true
}

// must is sees, where nothing has been cut off.
func (s *terminal) must(text string) {
	s.t.Helper()
	if !s.sees(text) {
		s.t.Fatalf("%q never came; the screen:\n%s", text, s.screen())
	}
}

func (s *terminal) screen() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.emulator.String()
}

func (s *terminal) types(keys string) { io.WriteString(s.file, keys) }

// status waits for the program's end.
func (s *terminal) status() int {
	s.t.Helper()
	select {
	case <-s.ended:
	case <-time.After(patience):
		s.t.Fatalf("it does not end; the screen:\n%s", s.screen())
	}
	return s.cmd.ProcessState.ExitCode()
}

// kill is kill -9.
func (s *terminal) kill() {
	s.cmd.Process.Signal(syscall.SIGKILL)
	s.awaitEnd("it was killed")
	s.hangUp()
}

// awaitEnd waits for the program's end, which is at hand. If it does not come, the test ends with what the kernel says of the program and
// where this process stands: a hang was seen on a crowded machine, and left no trace.
func (s *terminal) awaitEnd(since string) {
	s.t.Helper()
	select {
	case <-s.ended:
		return
	case <-time.After(patience):
	}
	var seen strings.Builder
	for _, name := range []string{"status", "wchan", "syscall"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", s.cmd.Process.Pid, name))
		fmt.Fprintf(&seen, "%s (%v):\n%s\n", name, err, text)
	}
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	s.t.Fatalf("the program runs on though %s\n%s\n%s", since, seen.String(), stacks)
}

// hangUp takes the line away: the program gets SIGHUP, and its reads end.
func (s *terminal) hangUp() {
	s.file.Close()
	s.emulator.Close()
}
