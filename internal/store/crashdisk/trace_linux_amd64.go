package crashdisk

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Call is one that may be refused.
type Call struct {
	Kind Kind // Write, Truncate, Begin (a sync), BeginDir, Create, Rename, Link or Remove
	Name string
}

// Fault is how a call ends; zero: as it does.
type Fault struct {
	Errno syscall.Errno
	Short bool // a write: half of it is taken, and the process asks for the rest
}

// Patience with a process; it is killed then.
const Patience = 100 * time.Second

type opened struct {
	ino  int
	name string
	dir  bool
	pos  int64
}

type thread struct {
	in    bool // a call
	regs  syscall.PtraceRegs
	fault Fault
}

type tracer struct {
	pid     int
	dir     string
	mem     *os.File
	fds     map[int]*opened
	names   map[string]int
	inos    int
	threads map[int]*thread
	events  []Event
	fault   func(Call) Fault
}

// ErrNoTrace is a machine that does not let a process watch its child.
var ErrNoTrace = errors.New("ptrace is not permitted here")

// Run starts a program and follows it to its end, or kills it. files are what the folder holds at the start.
func Run(argv, env []string, dir string, files map[string][]byte, fault func(Call) Fault) ([]Event, error) {
	runtime.LockOSThread() // a process is traced by one thread
	defer runtime.UnlockOSThread()
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer null.Close()
	pid, err := syscall.ForkExec(argv[0], argv, &syscall.ProcAttr{Env: env, Files: []uintptr{null.Fd(), null.Fd(), 2},
		Sys: &syscall.SysProcAttr{Ptrace: true}})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoTrace, err)
	}
	end := time.AfterFunc(Patience, func() { syscall.Kill(pid, syscall.SIGKILL) })
	defer end.Stop()
	t := &tracer{pid: pid, dir: dir, fds: map[int]*opened{}, names: map[string]int{}, threads: map[int]*thread{}, fault: fault}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		t.inos++
		t.names[name] = t.inos
	}
	if err := t.follow(); err != nil {
		syscall.Kill(pid, syscall.SIGKILL)
		var ws syscall.WaitStatus
		for { // the threads' ends come first
			got, werr := syscall.Wait4(-1, &ws, syscall.WALL|unix.WNOTHREAD, nil)
			if werr != nil && werr != syscall.EINTR || got == pid && (ws.Exited() || ws.Signaled()) {
				break
			}
		}
		return t.events, err
	}
	return t.events, nil
}

func (t *tracer) follow() error {
	var ws syscall.WaitStatus
	if _, err := syscall.Wait4(t.pid, &ws, syscall.WALL, nil); err != nil {
		return err
	}
	if !ws.Stopped() {
		return fmt.Errorf("%w: the child did not stop (%v)", ErrNoTrace, ws)
	}
	err := syscall.PtraceSetOptions(t.pid, syscall.PTRACE_O_TRACESYSGOOD|syscall.PTRACE_O_TRACECLONE|unix.PTRACE_O_EXITKILL)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoTrace, err)
	}
	if t.mem, err = os.Open(fmt.Sprintf("/proc/%d/mem", t.pid)); err != nil {
		return err
	}
	defer t.mem.Close()
	t.threads[t.pid] = &thread{}
	for tid, sig := t.pid, 0; ; {
		if tid != 0 {
			if err := syscall.PtraceSyscall(tid, sig); err != nil && err != syscall.ESRCH { // it may be ending
				return err
			}
		}
		if tid, err = syscall.Wait4(-1, &ws, syscall.WALL|unix.WNOTHREAD, nil); err == syscall.EINTR {
			tid = 0
			continue
		} else if err != nil {
			return err
		}
		sig = 0
		known := t.threads[tid]
		switch {
		case tid == t.pid && ws.Exited() && ws.ExitStatus() == 0:
			return nil
		case tid == t.pid && (ws.Exited() || ws.Signaled()):
			return fmt.Errorf("the program ended: status %d, signal %d", ws.ExitStatus(), ws.Signal())
		case ws.Exited() || ws.Signaled():
			delete(t.threads, tid)
			tid = 0
		case ws.StopSignal() == syscall.SIGTRAP|0x80 && known != nil:
			if err := t.call(tid, known); err != nil {
				return err
			}
		case known == nil: // a new thread's first stop
			t.threads[tid] = &thread{}
		case ws.StopSignal() == syscall.SIGTRAP: // a new thread is announced
		default:
			sig = int(ws.StopSignal())
		}
	}
}

func (t *tracer) note(e Event) { t.events = append(t.events, e) }

func (t *tracer) text(at uint64) string {
	var b []byte
	var c [1]byte
	for len(b) < 4096 {
		if _, err := t.mem.ReadAt(c[:], int64(at)+int64(len(b))); err != nil || c[0] == 0 {
			break
		}
		b = append(b, c[0])
	}
	return string(b)
}

// inside gives a path's name in the folder.
func (t *tracer) inside(path string) (string, bool) {
	return filepath.Base(path), filepath.Dir(path) == t.dir
}

// call sees a thread go into the kernel, and come out.
func (t *tracer) call(tid int, th *thread) error {
	var regs syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(tid, &regs); err != nil {
		if err == syscall.ESRCH {
			return nil
		}
		return err
	}
	if th.in {
		th.in = false
		return t.leave(tid, th, &regs)
	}
	if int64(regs.Rax) != -int64(syscall.ENOSYS) {
		return nil // the end of the exec, or the clone, that the thread began with
	}
	th.in, th.regs, th.fault = true, regs, Fault{}
	what, ok, err := t.enter(&regs)
	if err != nil || !ok {
		return err
	}
	if t.fault != nil {
		th.fault = t.fault(what)
	}
	switch {
	case th.fault.Errno != 0:
		regs.Orig_rax = ^uint64(0)
		if err := syscall.PtraceSetRegs(tid, &regs); err != nil || what.Kind != Begin && what.Kind != BeginDir {
			return err // a sync that fails has begun all the same
		}
	case th.fault.Short && what.Kind == Write && regs.Rdx > 1:
		regs.Rdx /= 2
		th.regs.Rdx = regs.Rdx
		if err := syscall.PtraceSetRegs(tid, &regs); err != nil {
			return err
		}
	}
	return t.begin(&th.regs)
}

// enter tells whether a call is one that is followed.
func (t *tracer) enter(regs *syscall.PtraceRegs) (Call, bool, error) {
	o := t.fds[int(int32(regs.Rdi))]
	named := func(kind Kind, at uint64) (Call, bool, error) {
		name, in := t.inside(t.text(at))
		return Call{Kind: kind, Name: name}, in, nil
	}
	switch nr := regs.Orig_rax; nr {
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64:
		if o != nil {
			return Call{Kind: Write, Name: o.name}, true, nil
		}
		if nr == syscall.SYS_WRITE && regs.Rdi == 1 {
			b := make([]byte, regs.Rdx)
			_, err := t.mem.ReadAt(b, int64(regs.Rsi))
			t.note(Event{Kind: Said, Text: string(b)})
			return Call{}, false, err
		}
	case syscall.SYS_FTRUNCATE:
		if o != nil {
			return Call{Kind: Truncate, Name: o.name}, true, nil
		}
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if o != nil && o.dir {
			return Call{Kind: BeginDir}, true, nil
		} else if o != nil {
			return Call{Kind: Begin, Name: o.name}, true, nil
		}
	case syscall.SYS_RENAMEAT, unix.SYS_RENAMEAT2, syscall.SYS_RENAME:
		at := regs.Rsi
		if nr == syscall.SYS_RENAME {
			at = regs.Rdi
		}
		return named(Rename, at)
	case syscall.SYS_LINKAT:
		return named(Link, regs.Rsi)
	case syscall.SYS_UNLINKAT:
		return named(Remove, regs.Rsi)
	case syscall.SYS_OPENAT:
		if name, in := t.inside(t.text(regs.Rsi)); in && regs.Rdx&syscall.O_CREAT != 0 && t.names[name] == 0 {
			return Call{Kind: Create, Name: name}, true, nil
		}
	case syscall.SYS_PWRITEV, unix.SYS_PWRITEV2, syscall.SYS_WRITEV, syscall.SYS_FALLOCATE, unix.SYS_COPY_FILE_RANGE,
		syscall.SYS_SENDFILE, syscall.SYS_SPLICE, syscall.SYS_DUP, syscall.SYS_DUP2, unix.SYS_DUP3:
		if o != nil {
			return Call{}, false, fmt.Errorf("call %d on %s is not followed", nr, o.name)
		}
	case syscall.SYS_MMAP:
		if o := t.fds[int(int32(regs.R8))]; o != nil && regs.Rdx&syscall.PROT_WRITE != 0 && regs.R10&syscall.MAP_SHARED != 0 {
			return Call{}, false, fmt.Errorf("%s is mapped for writing, which is not followed", o.name)
		}
	case syscall.SYS_TRUNCATE, syscall.SYS_CREAT, syscall.SYS_UNLINK, syscall.SYS_LINK, syscall.SYS_FORK, syscall.SYS_VFORK:
		return Call{}, false, fmt.Errorf("call %d is not followed", nr)
	}
	return Call{}, false, nil
}

// begin notes what may have happened as soon as the call has begun.
func (t *tracer) begin(regs *syscall.PtraceRegs) error {
	fd := int(int32(regs.Rdi))
	o := t.fds[fd]
	switch nr := regs.Orig_rax; nr {
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64:
		data := make([]byte, regs.Rdx)
		if _, err := t.mem.ReadAt(data, int64(regs.Rsi)); err != nil {
			return err
		}
		e := Event{Kind: Write, Ino: o.ino, Off: int64(regs.R10), Data: data}
		if nr == syscall.SYS_WRITE {
			e.Off = o.pos
			o.pos += int64(len(data))
		}
		t.note(e)
	case syscall.SYS_FTRUNCATE:
		t.note(Event{Kind: Truncate, Ino: o.ino, Off: int64(regs.Rsi)})
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if o.dir {
			t.note(Event{Kind: BeginDir})
		} else {
			t.note(Event{Kind: Begin, Ino: o.ino})
		}
	}
	return nil
}

// leave notes what is known only by a call's result.
func (t *tracer) leave(tid int, th *thread, regs *syscall.PtraceRegs) error {
	if th.fault.Errno != 0 {
		regs.Rax = -uint64(th.fault.Errno)
		if err := syscall.PtraceSetRegs(tid, regs); err != nil {
			return err
		}
	}
	failed := int64(regs.Rax) < 0
	was := &th.regs
	fd := int(int32(was.Rdi))
	o := t.fds[fd]
	switch nr := was.Orig_rax; nr {
	case syscall.SYS_OPENAT:
		path := t.text(was.Rsi)
		name, in := t.inside(path)
		if failed || !in && path != t.dir {
			break
		}
		if path == t.dir {
			t.fds[int(regs.Rax)] = &opened{name: ".", dir: true}
			break
		}
		if t.names[name] == 0 {
			t.inos++
			t.names[name] = t.inos
			t.note(Event{Kind: Create, Name: name, Ino: t.inos})
		}
		t.fds[int(regs.Rax)] = &opened{ino: t.names[name], name: name}
		if was.Rdx&syscall.O_TRUNC != 0 {
			t.note(Event{Kind: Truncate, Ino: t.names[name]})
		}
	case syscall.SYS_CLOSE:
		delete(t.fds, fd)
	case syscall.SYS_READ:
		if o != nil && !failed {
			o.pos += int64(regs.Rax)
		}
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64, syscall.SYS_FTRUNCATE:
		if o != nil && failed && th.fault.Errno == 0 || o != nil && nr != syscall.SYS_FTRUNCATE && !failed && regs.Rax != was.Rdx {
			return fmt.Errorf("the disk under the test failed in call %d on %s: %d", nr, o.name, int64(regs.Rax))
		}
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if o != nil && o.dir {
			t.note(Event{Kind: DoneDir, Failed: failed})
		} else if o != nil {
			t.note(Event{Kind: Done, Ino: o.ino, Failed: failed})
		}
	case syscall.SYS_RENAME, syscall.SYS_RENAMEAT, unix.SYS_RENAMEAT2, syscall.SYS_LINKAT:
		from, to, kind := was.Rsi, was.R10, Rename
		if nr == syscall.SYS_RENAME {
			from, to = was.Rdi, was.Rsi
		} else if nr == syscall.SYS_LINKAT {
			kind = Link
		}
		a, in := t.inside(t.text(from))
		b, into := t.inside(t.text(to))
		if failed || !in {
			break
		}
		if !into {
			return fmt.Errorf("%s leaves the folder, which is not followed", a)
		}
		t.note(Event{Kind: kind, Name: a, To: b})
		t.names[b] = t.names[a]
		if kind == Rename {
			delete(t.names, a)
		}
	case syscall.SYS_UNLINKAT:
		if name, in := t.inside(t.text(was.Rsi)); in && !failed {
			t.note(Event{Kind: Remove, Name: name})
			delete(t.names, name)
		}
	}
	return nil
}
