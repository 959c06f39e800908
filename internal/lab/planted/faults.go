package planted

// Faults are those that the swarm must catch. Each is of a kind that a change in good faith could bring, and none shows
// in the compiler or in a run where nothing goes wrong at the wrong moment.
var Faults = []Fault{
	{Name: "second-answer", About: "a call that has its answer may get another", File: "internal/reducer/calls.go",
		Old: `	if c == nil || c.noMoreAttempts() {
		return
	}
	c.done = true`,
		New: `	if c == nil {
		return
	}
	c.done = true`,
		Rules: []string{"answers"}},
	{Name: "booking-to-the-other-zone", About: "repeats of a keyed class go to any group of app nodes", File: "brain/picking.go",
		Old: `		if c.Scope == ScopeZone && s.Zone != a.server.Zone {
			return false
		}
		if c.Scope == ScopeCell && s.Cell != a.server.Cell {
			return false
		}
`,
		New:   "",
		Rules: []string{"effects"}},
	{Name: "window-forgotten", About: "repeats of a keyed class go out after its window", File: "brain/picking.go",
		Old:   `if c.Repeat == Unsafe || n.now-a.sent > c.Window-answerMargin {`,
		New:   `if c.Repeat == Unsafe {`,
		Rules: []string{"effects"}},
	{Name: "drain-ignored", About: "app nodes that drain are sent requests like all others", File: "brain/discovery.go",
		Old:   `	s.Member = *m` + "\n" + `	s.listedEpoch = n.listEpoch`,
		New:   `	s.Member = *m` + "\n" + `	if s.State == Draining {` + "\n" + `		s.State = Ready` + "\n" + `	}` + "\n" + `	s.listedEpoch = n.listEpoch`,
		Rules: []string{"drains"}},
	{Name: "cold-limit-ignored", About: "a cold app node gets what a warm one gets", File: "brain/slowstart.go",
		Old:   `	return s.coldTokens >= 1`,
		New:   `	return true`,
		Rules: []string{"cold"}},
	{Name: "answer-to-the-wrong-call", About: "an answer goes to the call that came before", File: "internal/reducer/delegations.go",
		Old:   `		r.answer(c, Reply{Kind: Served, Message: e.Message})`,
		New:   `		if o := r.calls[c.ID-1]; o != nil && !o.noMoreAttempts() {` + "\n" + `			r.answer(o, Reply{Kind: Served, Message: e.Message})` + "\n" + `		}` + "\n" + `		r.answer(c, Reply{Kind: Served, Message: e.Message})`,
		Rules: []string{"answers"}},
	{Name: "deadline-unmarked", About: "no timer is armed for the deadline of a call", File: "internal/reducer/calls.go",
		Old: `	r.emit(StartTimer{max(0, c.deadline-r.now), callDeadline{c.ID}})
`,
		New:   "",
		Rules: []string{"answers"}},
	{Name: "unsafe-repeated", About: "an attempt that broke after its last byte counts as never sent", File: "internal/reducer/delegations.go",
		Old: `	case noAnswer:
		r.endAttempt(att, brain.Dropped, nil)`,
		New: `	case noAnswer:
		r.endAttempt(att, brain.ConnectFailed, nil)`,
		Rules: []string{"effects"}},
	{Name: "connection-kept", About: "the connection of a flow whose client has left stays open, and its end meets nobody", File: "internal/reducer/delegations.go",
		Old:   `		if cn.state == busy || cn.state == flowing {`,
		New:   `		if cn.state == busy {`,
		Rules: []string{"sound"}},
	{Name: "body-sent-twice", About: "an upload whose body is gone is sent again", File: "internal/reducer/delegations.go",
		Old:   `	if c.StreamedBody && slices.ContainsFunc(`,
		New:   `	if c.StreamedBody && len(c.attempts) > 9 && slices.ContainsFunc(`,
		Rules: []string{"sound"}},
	{Name: "used-after-its-end", About: "a connection that its app node has closed is given back, and stays among the idle ones",
		File: "internal/reducer/reducer.go",
		Old: `			r.close(cn) // a busy connection ends with its Exchanged event
`,
		New: `			delete(r.conns, cn.id)
			r.emit(Close{cn.id})
`,
		Rules: []string{"sound"}},
	{Name: "used-while-busy", About: "a connection whose answer was given up carries the next call", File: "internal/reducer/delegations.go",
		Old: `		if cn.state == busy || cn.state == flowing {
			r.close(cn)`,
		New: `		if cn.state == busy || cn.state == flowing {
			r.putIdle(cn)`,
		Rules: []string{"answers", "effects", "sound"}},
	{Name: "call-kept", About: "a call with more than one attempt is never forgotten", File: "internal/reducer/calls.go",
		Old:   `	if c.done && c.outstanding == 0 && r.calls[c.ID] == c {`,
		New:   `	if c.done && c.outstanding == 0 && r.calls[c.ID] == c && len(c.attempts) < 2 {`,
		Rules: []string{"leaks"}},
	{Name: "timer-kept", About: "the deadline of a call that is over is armed anew", File: "internal/reducer/calls.go",
		Old: `	c := r.calls[id]
	if c == nil {
		return`,
		New: `	c := r.calls[id]
	if c == nil {
		r.emit(StartTimer{idleSweepInterval, callDeadline{id}})
		return`,
		Rules: []string{"leaks"}},
	{Name: "no-answer-at-the-deadline", About: "a call whose deadline comes counts as answered", File: "internal/reducer/calls.go",
		Old:   `	if !c.done { // held by the decider, or lost by it`,
		New:   `	if c.done = true; !c.done {`,
		Rules: []string{"answers"}},
	{Name: "refused-after-it-ran", About: "keyed classes are refused as if all app nodes dropped their repeats", File: "brain/picking.go",
		Old:   `	return c.Repeat == Safe || c.Repeat == Keyed && c.Scope == ScopeAll || !r.mayHaveRun()`,
		New:   `	return c.Repeat == Safe || c.Repeat == Keyed || !r.mayHaveRun()`,
		Rules: []string{"effects"}},
	{Name: "out-counts-as-never-run", About: "an attempt that is still out does not bar a refusal", File: "brain/picking.go",
		Old:   `func(a attempt) bool { return !a.ended || a.mayHaveRun })`,
		New:   `func(a attempt) bool { return a.mayHaveRun })`,
		Rules: []string{"effects"}},
}
