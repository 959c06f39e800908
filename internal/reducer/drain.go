package reducer

import "time"

// Operators may drain the balancer of clients (Drain) and take it back into service (Activate) at any time. Calls
// already received are served as usual. While draining, the balancer reports that it is not ready, each answer ends its
// connection, and idle client connections are closed: not at once, because the frontend keeps sending for a moment and
// clients use the connections they have, but well before the platform checks, 4 s after the request.
const (
	// closeIdleAfter is when connections between calls are first closed, and closeSilentAfter when also connections that
	// have not sent anything yet are closed: their first header may take 2 s. closeInterval is the time between two
	// rounds.
	closeIdleAfter   = 700 * time.Millisecond
	closeSilentAfter = 2200 * time.Millisecond
	closeInterval    = 250 * time.Millisecond
)

type (
	// Drain asks to send clients away. Done is called once that is in force.
	Drain struct{ Done func() }
	// Activate asks to accept clients again. Done is called once that is in force.
	Activate struct{ Done func() }

	// ProcessesChanged reports how many other processes serve at the same address and share the machine's limits.
	ProcessesChanged struct{ Others int }

	closeClientsTimer struct{ epoch uint64 }
)

type (
	// SetDraining says whether clients are sent away from now on.
	SetDraining struct{ Draining bool }
	// CloseClientConns closes client connections that carry no call, and with IncludeSilent also those that have not sent
	// anything yet.
	CloseClientConns struct{ IncludeSilent bool }
	// DivideLimits says how many parts the machine's limits are divided into from now on.
	DivideLimits struct{ Parts int }
)

// setDraining starts or ends the drain of clients. Repeating a request has no effect.
func (r *Reducer) setDraining(drain bool, done func()) {
	if drain != r.clientsDraining {
		r.clientsDraining, r.clientsDrainingSince = drain, r.now
		r.drainEpoch++
		r.emit(SetDraining{drain})
		if drain {
			r.emit(Log{"draining: sending clients away at an operator's request"})
			r.emit(StartTimer{closeIdleAfter, closeClientsTimer{r.drainEpoch}})
		} else {
			r.emit(Log{"active: accepting clients again"})
		}
	}
	if done != nil {
		r.emit(RunCallback{done})
	}
}

func (r *Reducer) onCloseClients(epoch uint64) {
	if !r.clientsDraining || epoch != r.drainEpoch {
		return // the drain that armed this timer has ended
	}
	r.emit(CloseClientConns{IncludeSilent: r.now-r.clientsDrainingSince >= closeSilentAfter})
	r.emit(StartTimer{closeInterval, closeClientsTimer{epoch}})
}

// onProcessesChanged adjusts the connection budget to the number of processes. Excess connections are released: idle
// ones now, others by not being replaced.
func (r *Reducer) onProcessesChanged(others int) {
	parts := 1 + max(0, others)
	r.connBudget = max(1, r.fullConnBudget/parts)
	for len(r.conns) > r.connBudget && r.closeOldestIdle() {
	}
	r.emit(DivideLimits{parts})
}

func (Drain) event()             {}
func (ProcessesChanged) event()  {}
func (Activate) event()          {}
func (closeClientsTimer) event() {}

func (SetDraining) effect()      {}
func (DivideLimits) effect()     {}
func (CloseClientConns) effect() {}
