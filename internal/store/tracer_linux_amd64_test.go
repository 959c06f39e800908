package store

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

	"pewterrudder/internal/store/crashdisk"
)

// tracedCall is a system call that the test can make fail.
type tracedCall struct {
	Kind crashdisk.Kind // Write, Truncate, SyncBegin, DirSyncBegin, Create, Rename, Link or Remove
	Name string
}

// callFault is how a system call ends; the zero value leaves it as it is.
type callFault struct {
	Errno syscall.Errno
	Short bool // a write: only half of it is written, and the process must write the rest
}

// traceTimeout is how long a traced process may run before it is killed.
const traceTimeout = 100 * time.Second

// openFile is a file of the traced folder that the process has open.
type openFile struct {
	ino  int
	name string
	dir  bool
	pos  int64
}

// tracedThread is the state of one thread of the traced process.
type tracedThread struct {
	inCall bool // inside a system call
	regs   syscall.PtraceRegs
	fault  callFault
}

// tracer follows a process through ptrace and records its writes, syncs and name changes in one folder, in the order of the
// system calls, and its standard output. It supports the calls that Go's os package and bbolt make; any other call on the
// folder's files is an error.
type tracer struct {
	pid     int
	dir     string
	mem     *os.File
	fds     map[int]*openFile
	names   map[string]int
	lastIno int
	threads map[int]*tracedThread
	events  []crashdisk.Event
	fault   func(tracedCall) callFault
}

// errNoTrace reports a machine that does not let a process trace its child.
var errNoTrace = errors.New("ptrace is not permitted here")

// traceRun starts a program, traces it until it ends, and returns the events in the folder dir. On an error the program is
// killed. files are what the folder holds at the start, numbered as crashdisk.New numbers them. fault chooses how each call
// ends; nil leaves all as they are.
func traceRun(argv, env []string, dir string, files map[string][]byte, fault func(tracedCall) callFault) ([]crashdisk.Event, error) {
	runtime.LockOSThread() // ptrace binds a traced process to one thread
	defer runtime.UnlockOSThread()
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer null.Close()
	pid, err := syscall.ForkExec(argv[0], argv, &syscall.ProcAttr{Env: env, Files: []uintptr{null.Fd(), null.Fd(), 2},
		Sys: &syscall.SysProcAttr{Ptrace: true}})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTrace, err)
	}
	end := time.AfterFunc(traceTimeout, func() { syscall.Kill(pid, syscall.SIGKILL) })
	defer end.Stop()
	t := &tracer{pid: pid, dir: dir, fds: map[int]*openFile{}, names: map[string]int{}, threads: map[int]*tracedThread{}, fault: fault}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		t.lastIno++
		t.names[name] = t.lastIno
	}
	if err := t.follow(); err != nil {
		syscall.Kill(pid, syscall.SIGKILL)
		var ws syscall.WaitStatus
		for { // the other threads end first
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
		return fmt.Errorf("%w: the child did not stop (%v)", errNoTrace, ws)
	}
	err := syscall.PtraceSetOptions(t.pid, syscall.PTRACE_O_TRACESYSGOOD|syscall.PTRACE_O_TRACECLONE|unix.PTRACE_O_EXITKILL)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoTrace, err)
	}
	if t.mem, err = os.Open(fmt.Sprintf("/proc/%d/mem", t.pid)); err != nil {
		return err
	}
	defer t.mem.Close()
	t.threads[t.pid] = &tracedThread{}
	for tid, sig := t.pid, 0; ; {
		if tid != 0 {
			if err := syscall.PtraceSyscall(tid, sig); err != nil && err != syscall.ESRCH { // the thread may be ending
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
			if err := t.handleSyscallStop(tid, known); err != nil {
				return err
			}
		case known == nil: // a new thread's first stop
			t.threads[tid] = &tracedThread{}
		case ws.StopSignal() == syscall.SIGTRAP: // a new thread is announced
		default:
			sig = int(ws.StopSignal())
		}
	}
}

func (t *tracer) record(e crashdisk.Event) { t.events = append(t.events, e) }

func (t *tracer) readString(at uint64) string {
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

// nameInDir returns the file name of a path and whether it is directly in the traced folder.
func (t *tracer) nameInDir(path string) (string, bool) {
	return filepath.Base(path), filepath.Dir(path) == t.dir
}

// handleSyscallStop handles the entry of a thread into a system call, or its exit.
func (t *tracer) handleSyscallStop(tid int, th *tracedThread) error {
	var regs syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(tid, &regs); err != nil {
		if err == syscall.ESRCH {
			return nil
		}
		return err
	}
	if th.inCall {
		th.inCall = false
		return t.recordExit(tid, th, &regs)
	}
	if int64(regs.Rax) != -int64(syscall.ENOSYS) {
		return nil // exit of the exec or clone that started the thread
	}
	th.inCall, th.regs, th.fault = true, regs, callFault{}
	call, ok, err := t.classify(&regs)
	if err != nil || !ok {
		return err
	}
	if t.fault != nil {
		th.fault = t.fault(call)
	}
	switch {
	case th.fault.Errno != 0:
		regs.Orig_rax = ^uint64(0)
		if err := syscall.PtraceSetRegs(tid, &regs); err != nil || call.Kind != crashdisk.SyncBegin && call.Kind != crashdisk.DirSyncBegin {
			return err // a sync that fails has still begun
		}
	case th.fault.Short && call.Kind == crashdisk.Write && regs.Rdx > 1:
		regs.Rdx /= 2
		th.regs.Rdx = regs.Rdx
		if err := syscall.PtraceSetRegs(tid, &regs); err != nil {
			return err
		}
	}
	return t.recordEntry(&th.regs)
}

// classify returns the call if it is one that is recorded, and an error if it is one that the tracer does not support.
func (t *tracer) classify(regs *syscall.PtraceRegs) (tracedCall, bool, error) {
	o := t.fds[int(int32(regs.Rdi))]
	named := func(kind crashdisk.Kind, at uint64) (tracedCall, bool, error) {
		name, in := t.nameInDir(t.readString(at))
		return tracedCall{Kind: kind, Name: name}, in, nil
	}
	switch nr := regs.Orig_rax; nr {
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64:
		if o != nil {
			return tracedCall{Kind: crashdisk.Write, Name: o.name}, true, nil
		}
		if nr == syscall.SYS_WRITE && regs.Rdi == 1 {
			b := make([]byte, regs.Rdx)
			_, err := t.mem.ReadAt(b, int64(regs.Rsi))
			t.record(crashdisk.Event{Kind: crashdisk.Output, Text: string(b)})
			return tracedCall{}, false, err
		}
	case syscall.SYS_FTRUNCATE:
		if o != nil {
			return tracedCall{Kind: crashdisk.Truncate, Name: o.name}, true, nil
		}
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if o != nil && o.dir {
			return tracedCall{Kind: crashdisk.DirSyncBegin}, true, nil
		} else if o != nil {
			return tracedCall{Kind: crashdisk.SyncBegin, Name: o.name}, true, nil
		}
	case syscall.SYS_RENAMEAT, unix.SYS_RENAMEAT2, syscall.SYS_RENAME:
		at := regs.Rsi
		if nr == syscall.SYS_RENAME {
			at = regs.Rdi
		}
		return named(crashdisk.Rename, at)
	case syscall.SYS_LINKAT:
		return named(crashdisk.Link, regs.Rsi)
	case syscall.SYS_UNLINKAT:
		return named(crashdisk.Remove, regs.Rsi)
	case syscall.SYS_OPENAT:
		if name, in := t.nameInDir(t.readString(regs.Rsi)); in && regs.Rdx&syscall.O_CREAT != 0 && t.names[name] == 0 {
			return tracedCall{Kind: crashdisk.Create, Name: name}, true, nil
		}
	case syscall.SYS_PWRITEV, unix.SYS_PWRITEV2, syscall.SYS_WRITEV, syscall.SYS_FALLOCATE, unix.SYS_COPY_FILE_RANGE,
		syscall.SYS_SENDFILE, syscall.SYS_SPLICE, syscall.SYS_DUP, syscall.SYS_DUP2, unix.SYS_DUP3:
		if o != nil {
			return tracedCall{}, false, fmt.Errorf("system call %d on %s is not supported", nr, o.name)
		}
	case syscall.SYS_MMAP:
		if o := t.fds[int(int32(regs.R8))]; o != nil && regs.Rdx&syscall.PROT_WRITE != 0 && regs.R10&syscall.MAP_SHARED != 0 {
			return tracedCall{}, false, fmt.Errorf("%s is mapped for writing, which is not supported", o.name)
		}
	case syscall.SYS_TRUNCATE, syscall.SYS_CREAT, syscall.SYS_UNLINK, syscall.SYS_LINK, syscall.SYS_FORK, syscall.SYS_VFORK:
		return tracedCall{}, false, fmt.Errorf("system call %d is not supported", nr)
	}
	return tracedCall{}, false, nil
}

// recordEntry records what may take effect as soon as the call has begun.
func (t *tracer) recordEntry(regs *syscall.PtraceRegs) error {
	fd := int(int32(regs.Rdi))
	o := t.fds[fd]
	switch nr := regs.Orig_rax; nr {
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64:
		data := make([]byte, regs.Rdx)
		if _, err := t.mem.ReadAt(data, int64(regs.Rsi)); err != nil {
			return err
		}
		e := crashdisk.Event{Kind: crashdisk.Write, Ino: o.ino, Off: int64(regs.R10), Data: data}
		if nr == syscall.SYS_WRITE {
			e.Off = o.pos
			o.pos += int64(len(data))
		}
		t.record(e)
	case syscall.SYS_FTRUNCATE:
		t.record(crashdisk.Event{Kind: crashdisk.Truncate, Ino: o.ino, Off: int64(regs.Rsi)})
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if o.dir {
			t.record(crashdisk.Event{Kind: crashdisk.DirSyncBegin})
		} else {
			t.record(crashdisk.Event{Kind: crashdisk.SyncBegin, Ino: o.ino})
		}
	}
	return nil
}

// recordExit records what is known only from the result of the call.
func (t *tracer) recordExit(tid int, th *tracedThread, regs *syscall.PtraceRegs) error {
	if th.fault.Errno != 0 {
		regs.Rax = -uint64(th.fault.Errno)
		if err := syscall.PtraceSetRegs(tid, regs); err != nil {
			return err
		}
	}
	failed := int64(regs.Rax) < 0
	entry := &th.regs
	fd := int(int32(entry.Rdi))
	o := t.fds[fd]
	switch nr := entry.Orig_rax; nr {
	case syscall.SYS_OPENAT:
		path := t.readString(entry.Rsi)
		name, in := t.nameInDir(path)
		if failed || !in && path != t.dir {
			break
		}
		if path == t.dir {
			t.fds[int(regs.Rax)] = &openFile{name: ".", dir: true}
			break
		}
		if t.names[name] == 0 {
			t.lastIno++
			t.names[name] = t.lastIno
			t.record(crashdisk.Event{Kind: crashdisk.Create, Name: name, Ino: t.lastIno})
		}
		t.fds[int(regs.Rax)] = &openFile{ino: t.names[name], name: name}
		if entry.Rdx&syscall.O_TRUNC != 0 {
			t.record(crashdisk.Event{Kind: crashdisk.Truncate, Ino: t.names[name]})
		}
	case syscall.SYS_CLOSE:
		delete(t.fds, fd)
	case syscall.SYS_READ:
		if o != nil && !failed {
			o.pos += int64(regs.Rax)
		}
	case syscall.SYS_WRITE, syscall.SYS_PWRITE64, syscall.SYS_FTRUNCATE:
		if o != nil && failed && th.fault.Errno == 0 || o != nil && nr != syscall.SYS_FTRUNCATE && !failed && regs.Rax != entry.Rdx {
			return fmt.Errorf("the real disk failed in system call %d on %s: %d", nr, o.name, int64(regs.Rax))
		}
	case syscall.SYS_FSYNC, syscall.SYS_FDATASYNC:
		if o != nil && o.dir {
			t.record(crashdisk.Event{Kind: crashdisk.DirSyncDone, Failed: failed})
		} else if o != nil {
			t.record(crashdisk.Event{Kind: crashdisk.SyncDone, Ino: o.ino, Failed: failed})
		}
	case syscall.SYS_RENAME, syscall.SYS_RENAMEAT, unix.SYS_RENAMEAT2, syscall.SYS_LINKAT:
		from, to, kind := entry.Rsi, entry.R10, crashdisk.Rename
		if nr == syscall.SYS_RENAME {
			from, to = entry.Rdi, entry.Rsi
		} else if nr == syscall.SYS_LINKAT {
			kind = crashdisk.Link
		}
		a, in := t.nameInDir(t.readString(from))
		b, into := t.nameInDir(t.readString(to))
		if failed || !in {
			break
		}
		if !into {
			return fmt.Errorf("%s is moved out of the folder, which is not supported", a)
		}
		t.record(crashdisk.Event{Kind: kind, Name: a, To: b})
		t.names[b] = t.names[a]
		if kind == crashdisk.Rename {
			delete(t.names, a)
		}
	case syscall.SYS_UNLINKAT:
		if name, in := t.nameInDir(t.readString(entry.Rsi)); in && !failed {
			t.record(crashdisk.Event{Kind: crashdisk.Remove, Name: name})
			delete(t.names, name)
		}
	}
	return nil
}
