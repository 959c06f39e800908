package flowrig

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// schedClock marks a process's CPU clock among clock ids (Linux: CPUCLOCK_SCHED of posix-timers.h).
const schedClock = 2

// CPU is the time that a process has run so far, in user and kernel, all threads, ended ones included: the sum of
// utime and stime of /proc/PID/stat, which is told there in hundredths of a second alone. The process's CPU clock
// (clock_getcpuclockid(3)) has it in nanoseconds, so that rounds can be short.
func (p *Process) CPU() (time.Duration, error) {
	id := uintptr(^p.cmd.Process.Pid<<3 | schedClock)
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(int32(id)), uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0, fmt.Errorf("the CPU clock of process %d: %w", p.cmd.Process.Pid, errno)
	}
	return time.Duration(t.Nano()), nil
}

// Memory is a process's resident memory in KiB, now and at its most since the start or the last ForgetPeak.
func (p *Process) Memory() (now, peak int, err error) {
	f, err := os.Open(p.proc("status"))
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		key, value, _ := strings.Cut(s.Text(), ":")
		switch key {
		case "VmHWM":
			peak, err = strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		case "VmRSS":
			now, err = strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %s: %w", p.proc("status"), key, err)
		}
	}
	return now, peak, nil
}

// ForgetPeak has VmHWM start anew from what is resident now (proc(5): clear_refs, 5).
func (p *Process) ForgetPeak() error { return os.WriteFile(p.proc("clear_refs"), []byte("5"), 0) }

func (p *Process) proc(file string) string {
	return "/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/" + file
}
