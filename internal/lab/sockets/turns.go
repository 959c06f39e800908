package sockets

import (
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// turn is the length of a turn on a core that the lab asks for. Linux gives a task that asks for short turns its turn
// sooner, and no larger share of the core (EEVDF, since 6.12). A lab that does little but must be in time is what that
// is for; where the system does not have it, the lab is late more often on a busy machine, and says so.
const turn = 100_000 // ns, the least that is taken

// shortTurns asks for them on behalf of all threads. Later ones, and processes started from here, have them from these.
func shortTurns() {
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return
	}
	for _, t := range tasks {
		id, err := strconv.Atoi(t.Name())
		if err != nil {
			continue
		}
		attr, err := unix.SchedGetAttr(id, 0)
		if err != nil || attr.Policy != unix.SCHED_NORMAL {
			continue
		}
		attr.Runtime = turn
		unix.SchedSetAttr(id, attr, 0) // a wish: what refuses it is no fault
	}
}
