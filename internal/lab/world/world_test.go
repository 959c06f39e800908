package world

import (
	"slices"
	"testing"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
)

const ms = time.Millisecond

func (s *scene) dial(node int) *Link { return s.Dial(0, s.Nodes[node].Address, s) }

// A connection from its dial to its end, and what each of its moments becomes when the app node dies.
func TestAConnectionAndADeath(t *testing.T) {
	s := newScene(t)
	l := s.dial(0)
	s.after(t, ms, "up")
	l.Send(s.op(0), 7, time.Second)
	s.after(t, 20*ms, "answer 7 0")
	l.Send(s.op(0), 8, time.Second)
	s.clock.Run(s.clock.Now() + 5*ms)
	s.crash(s.Nodes[0])
	s.after(t, 20*ms, "ended")
	s.dial(0)
	s.after(t, ms, "refused")
	s.comeBack(s.Nodes[0])
	s.after(t, 2*time.Second)
	s.dial(0)
	s.after(t, ms, "up")
	if s.Nodes[0].Warmth() >= 1 || s.Nodes[0].Epoch != 1 {
		t.Error("a process that has just started is cold")
	}
	if got := s.Net.Links(); got != 1 {
		t.Errorf("%d connections are open, want the last one", got)
	}
}

func TestAFullTableOfConnections(t *testing.T) {
	s := newScene(t)
	first := s.dial(0)
	s.dial(0)
	s.dial(0)
	s.after(t, ms, "up", "up", "up")
	s.dial(0)
	s.after(t, ms, "ended")
	first.Close()
	s.after(t, ms)
	s.dial(0)
	s.after(t, ms, "up")
}

// A machine that vanishes says nothing, not even that connections are gone; when it is back, those that wait for it are
// reset, and the others once they are used.
func TestAMachineThatVanishes(t *testing.T) {
	s := newScene(t)
	waits, idle := s.dial(0), s.dial(0)
	s.after(t, 5*ms, "up", "up")
	waits.Send(s.op(0), 1, time.Second)
	s.clock.Run(s.clock.Now() + 2*ms)
	s.vanish(s.Nodes[0])
	s.dial(0)
	s.after(t, 3*time.Second)
	s.appear(s.Nodes[0])
	s.after(t, 3*time.Second, "ended")
	idle.Send(s.op(0), 2, time.Second)
	s.after(t, 5*ms, "ended")
}

// What is sent into a cut arrives after it, in its order.
func TestACutHoldsWhatIsSent(t *testing.T) {
	s := newScene(t)
	l := s.dial(0)
	s.after(t, 5*ms, "up")
	cut := func(on bool) {
		s.Net.each("balancers", "nodes", s.Sc.Zones, func(p int) { s.Net.cut(p, on, time.Second) })
	}
	cut(true)
	l.Send(s.op(0), 1, time.Second)
	l.Send(s.op(0), 2, time.Second)
	s.dial(1)
	s.after(t, time.Second)
	cut(false)
	s.clock.Run(s.clock.Now() + time.Second)
	got := s.take()
	if first, second := slices.Index(got, "answer 1 0"), slices.Index(got, "answer 2 0"); len(got) != 3 || first < 0 || second < first {
		t.Errorf("heard %q", got)
	}
}

// An app node closes what stands idle, and a request that crosses the close ends as a reset.
func TestAnIdleCloseCrossesARequest(t *testing.T) {
	s := newScene(t, "limits.idle_close=2s")
	l := s.dial(0)
	s.after(t, 2*time.Second, "up")
	l.Send(s.op(0), 1, time.Second) // the close, made when the connection had stood 2 s, is on its way
	s.after(t, 5*ms, "ended")
	if n := s.Net.Links(); n != 0 {
		t.Errorf("%d connections are open", n)
	}
	l = s.dial(0)
	s.clock.Run(s.clock.Now() + 1900*ms)
	l.Send(s.op(0), 2, time.Second)
	s.after(t, 1900*ms, "up", "answer 2 0")
	s.after(t, time.Second, "ended")
}

// Of a large body the last byte leaves later; what ends before that never reaches the app node.
func TestABodyThatIsTorn(t *testing.T) {
	s := newScene(t, "network.rate=1")
	l := s.dial(0)
	s.after(t, 5*ms, "up")
	op := s.op(0)
	op.Upload = 164_000
	l.Send(op, 1, time.Second)
	s.after(t, 50*ms)
	if l.Whole() {
		t.Error("164 kB have left within 50 ms at 1 MB/s")
	}
	l.Close()
	s.after(t, time.Second)
	if busy := s.Nodes[0].BusySeconds(); busy > 0.0011 { // the handshake
		t.Errorf("a torn request made %v s of work", busy)
	}
	l = s.dial(0)
	s.after(t, 5*ms, "up")
	l.Send(op, 2, time.Second)
	s.after(t, 190*ms, "answer 2 0")
}

// An answer that is larger than what is held flows, and breaks off where its app node dies.
func TestALargeAnswer(t *testing.T) {
	s := newScene(t, "network.rate=1", "classes[0].bytes=164000")
	l := s.dial(0)
	s.after(t, 5*ms, "up")
	l.Send(s.op(0), 1, time.Second)
	s.after(t, 90*ms, "flows 1")
	if rest := l.Rest(); rest < 97*ms || rest > 99*ms {
		t.Errorf("%v is the rest", rest)
	}
	s.after(t, 100*ms, "answer 1 0")
	l.Send(s.op(0), 2, time.Second)
	s.after(t, 90*ms, "flows 2")
	s.crash(s.Nodes[0])
	s.after(t, time.Second, "ended")
	s.Nodes[1].Halt = 1
	l = s.dial(1)
	s.after(t, 5*ms, "up")
	l.Send(s.op(1), 3, time.Second)
	s.after(t, time.Second, "halts")
}

// ---- app nodes ----

type keeper struct{ got []string }

func (k *keeper) JobDone(j *Job, end JobEnd) {
	k.got = append(k.got, [...]string{"ok", "error", "full", "leaving", "expired"}[end])
}

func TestAnAppNodesAnswers(t *testing.T) {
	clock := timeline.NewVirtual(0)
	n := NewNode(clock, NodeSpec{Cores: 1, Queue: 2, Cancels: true, Expires: true}, chance.New(1).Stream("n"), 2, nil)
	k := &keeper{}
	job := func(work float64) *Job { return &Job{Work: work, To: k} }
	expect := func(what string, want ...string) {
		t.Helper()
		if !slices.Equal(k.got, want) {
			t.Errorf("%s: %q, want %q", what, k.got, want)
		}
		k.got = nil
	}
	working, waiting, late := job(10), job(10), job(10)
	late.Expires = 15 * ms
	n.Take(working)
	n.Take(waiting)
	n.Take(late)
	n.Take(job(10))
	expect("no place to wait", "full")
	if n.Held() != 3 || n.Waiting() != 2 {
		t.Errorf("%d held, %d wait", n.Held(), n.Waiting())
	}
	clock.Run(30 * ms)
	expect("one after the other, and nothing past its time", "ok", "expired", "ok")
	n.Take(job(10))
	n.Draining = true
	n.Take(job(10))
	expect("draining", "leaving")
	clock.Run(50 * ms)
	expect("what it had is finished", "ok")
	n.Draining = false
	n.Fail(1, 1)
	n.Take(&Job{Class: 1, Work: 10, To: k})
	expect("one class fails", "error")
	a, b := job(10), job(10)
	n.Take(a)
	n.Take(b)
	if !n.Drop(a) || n.Waiting() != 0 {
		t.Error("the work of one that has gone ends")
	}
	clock.Run(61 * ms)
	expect("the next takes its place", "ok")
	n.Stall(true)
	n.Take(job(1))
	clock.Run(time.Second)
	n.Stall(false)
	clock.Run(2 * time.Second)
	expect("swallowed")
	n.Slow(4)
	n.Take(job(10))
	clock.Run(2039 * ms)
	expect("not yet")
	n.HangOnce(100 * ms)
	clock.Run(2100 * ms)
	expect("it hangs")
	clock.Run(2141 * ms)
	expect("slow, and stood still for a while", "ok")
}

func TestAColdNodeWarmsAndACrowdedOneLoses(t *testing.T) {
	clock := timeline.NewVirtual(0)
	n := NewNode(clock, NodeSpec{Cores: 2, Slots: 100, ColdFrom: 0.25, ColdFor: 10 * time.Second, CrowdFrom: 5, CrowdLoss: 0.5},
		chance.New(1).Stream("n"), 1, nil)
	near := func(what string, got, want float64) {
		t.Helper()
		if got < want-0.02 || got > want+0.02 {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	near("warm", n.Capacity(), 2)
	for range 20 {
		n.Take(&Job{Work: 1e6, To: &keeper{}})
	}
	near("twice as many as it bears well", n.Capacity(), 2/1.5)
	n.Stop()
	near("stopped", n.Capacity(), 0)
	n.Start()
	near("just started", n.Capacity(), 0.5)
	k := &keeper{}
	n.Take(&Job{Work: 8 * 625, To: k}) // one core's work at the mean pace of 8 s: from 0.25 to 0.85 of it
	clock.Run(8 * time.Second)
	near("8 s later", n.Capacity(), 1.7)
	if len(k.got) > 0 {
		t.Error("done too soon")
	}
	clock.Run(10 * time.Second)
	if len(k.got) != 1 {
		t.Error("the pace does not follow the warmth")
	}
	near("warm again", n.Capacity(), 2)
}

// A report shows a stretch of the past, and only after its delay.
func TestReportsComeLate(t *testing.T) {
	clock := timeline.NewVirtual(0)
	n := NewNode(clock, NodeSpec{Cores: 1, Queue: -1, ReportEvery: time.Second, ReportDelay: 300 * ms}, chance.New(1).Stream("n"), 1, nil)
	for range 3 {
		n.Take(&Job{Work: 600, To: &keeper{}})
	}
	if _, ok := n.Load(); ok {
		t.Error("a report before the first")
	}
	last, changed := Report{}, []time.Duration{}
	for at := time.Duration(0); at < 4*time.Second; at += 10 * ms {
		clock.Run(at)
		if r, ok := n.Load(); ok && r != last {
			last, changed = r, append(changed, at)
		}
	}
	for i := 1; i < len(changed); i++ {
		if d := changed[i] - changed[i-1]; d != time.Second {
			t.Errorf("reports change after %v", d)
		}
	}
	if len(changed) < 3 || last.Held != 0 || last.Busy > 0.01 {
		t.Errorf("%d reports, the last %+v", len(changed), last)
	}
}

// ---- discovery ----

func TestAWatch(t *testing.T) {
	s := newScene(t, "discovery.capacity=10", "discovery.line=100ms", "discovery.notice=50ms", "discovery.silent=200ms", "discovery.add=50ms", "nodes[0].starts_in=1ms")
	d := s.Discovery
	s.startBalancer(s.Balancers[0].with(s))
	w := d.Watch(0, 0, ear{s})
	s.after(t, 120*ms, "opened", "list 0:0 1:0 2:0 3:0")
	s.after(t, 4100*ms, "blank", "blank")
	s.crash(s.Nodes[1])
	s.drain(s.Nodes[2], false, time.Hour)
	s.after(t, 500*ms, "changes 2:1", "changes 1:2")
	s.comeBack(s.Nodes[1])
	s.after(t, 300*ms, "changes 1:0")
	at := d.rev
	d.lie(s.Nodes[3], true)
	s.after(t, 300*ms, "changes 3:2")
	d.lie(s.Nodes[3], false)
	s.after(t, 300*ms, "changes 3:0")
	w.Close()
	d.publish(s.Nodes[2], Gone)
	s.after(t, 10*time.Second)
	d.Watch(0, at, ear{s}).Close()
	w = d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "opened", "changes 2:2 3:0")
	d.setDown(true)
	s.after(t, 100*ms, "closed")
	d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "closed")
	d.restart()
	d.setDown(false)
	d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "opened", "list 0:0 1:0 3:0")
	d.setSilent(true)
	d.Watch(0, at, ear{s})
	s.after(t, 10*time.Second)
}

// The empty list of a broken registry ends the watches and is no word on anybody, nor is what it learns meanwhile known.
// A registry that cuts its first lines takes calls and says nothing.
func TestAnEmptyListIsNoWord(t *testing.T) {
	s := newScene(t, "discovery.line=100ms", "discovery.capacity=1000")
	s.startBalancer(s.Balancers[0].with(s))
	d := s.Discovery
	at := d.rev
	d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "opened", "changes")
	d.setEmpty(true)
	s.after(t, 100*ms, "closed")
	w := d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "opened", "list")
	d.publish(s.Nodes[1], Draining)
	d.lie(s.Nodes[2], true)
	s.after(t, 300*ms, "list")
	d.lie(s.Nodes[2], false)
	if s.gone > 0 || len(s.told) > 1 || s.Balancers[0].reached {
		t.Errorf("%d told to be gone, %q; can be told: %v", s.gone, s.told, s.Balancers[0].reached)
	}
	w.Close()
	d.setEmpty(false)
	d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "opened", "list 0:0 1:1 2:0 3:0")
	if !slices.Contains(s.told, "knew 1 1") || !s.Balancers[0].reached {
		t.Errorf("%q; can be told: %v", s.told, s.Balancers[0].reached)
	}
	d.setCuts(true)
	s.after(t, 100*ms, "closed")
	d.Watch(0, at, ear{s})
	s.after(t, 300*ms, "opened", "closed")
}

func (s *Seat) with(b Balancer) *Seat { s.B = b; return s }

// Calls are served in turn, and one that has to wait for too long fails.
func TestDiscoveryServesInTurn(t *testing.T) {
	s := newScene(t, "discovery.capacity=2", "discovery.patience=1100ms")
	s.startBalancer(s.Balancers[0].with(s))
	for range 5 {
		s.Discovery.Watch(0, s.Discovery.rev, ear{s})
	}
	s.after(t, 1600*ms, "opened", "changes", "opened", "changes", "closed", "closed", "opened", "changes")
}

// ---- clients ----

// Requests come when they are due, whatever becomes of those before; a change to the clients changes no app node.
func TestRequestsComeWhenTheyAreDue(t *testing.T) {
	play := func(answer func(s *scene, a *Ask), set ...string) *scene {
		s := newScene(t, append(set, "nodes[0].speed=[0.5, 2]")...)
		s.answer = func(a *Ask) { answer(s, a) }
		s.Open([]Balancer{s})
		s.clock.Run(s.End + 5*time.Second)
		return s
	}
	served := play(func(s *scene, a *Ask) { s.Answer(a, Outcome{Kind: Served}) })
	silent := play(func(*scene, *Ask) {})
	if len(served.wished) < 300 || !slices.Equal(served.wished, silent.wished) {
		t.Errorf("%d and %d requests", len(served.wished), len(silent.wished))
	}
	if n := len(served.wished); served.ended[Served] != n || silent.ended[Lost] != n {
		t.Errorf("served: %v, silent: %v", served.ended, silent.ended)
	}
	other := play(func(s *scene, a *Ask) { s.Answer(a, Outcome{Kind: Refused, After: 50 * ms}) }, "clients.retries=3", "clients.impatient=0.5", "traffic.rate=80")
	for i := range served.Nodes {
		if served.Nodes[i].NodeSpec != other.Nodes[i].NodeSpec {
			t.Errorf("app node %d: %+v and %+v", i, served.Nodes[i].NodeSpec, other.Nodes[i].NodeSpec)
		}
	}
	if w, a := other.Clients.Waiting(); w != 0 || a != 0 {
		t.Errorf("%d wishes and %d requests are left", w, a)
	}
}

func TestASurgeMultipliesWhatComes(t *testing.T) {
	s := newScene(t, "traffic.process=steady", `faults=[{"kind": "surge", "at": "2s", "for": "3s", "size": 4}]`)
	s.answer = func(a *Ask) { s.Answer(a, Outcome{Kind: Served}) }
	s.Open([]Balancer{s})
	s.clock.Run(s.End)
	count := func(from, to time.Duration) (n int) {
		for _, at := range s.wished {
			if at >= Lead+from && at < Lead+to {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		from, to time.Duration
		want     int
	}{{0, 2 * time.Second, 80}, {2 * time.Second, 5 * time.Second, 480}, {5 * time.Second, 10 * time.Second, 200}} {
		if got := count(c.from, c.to); got < c.want-2 || got > c.want+2 {
			t.Errorf("%d requests from %v to %v, want %d", got, c.from, c.to, c.want)
		}
	}
}

// What may be tried again: safe ones after any failure, keyed ones that all app nodes know within their window, others
// only where nothing can have run.
func TestWhatClientsTryAgain(t *testing.T) {
	s := newScene(t, "clients.retries=1")
	for _, c := range []struct {
		class int
		how   Kind
		later time.Duration
		want  bool
	}{
		{0, Failed, 0, true}, {0, Lost, 0, true}, {0, Left, 0, false},
		{1, Failed, 0, false}, {1, Refused, 0, true}, {1, Unreached, 0, true}, {1, Crashed, 0, false},
		{2, Failed, 0, true}, {2, Failed, 300 * ms, false}, {2, Refused, 300 * ms, true},
		{3, Failed, 0, false}, {3, Lost, 0, false}, {3, Refused, 0, true},
	} {
		op := &Op{Class: c.class, Due: s.clock.Now() - c.later, Tries: 1}
		if got := s.Clients.mayRetry(op, c.how); got != c.want {
			t.Errorf("class %d, %v after %v: %v", c.class, c.how, c.later, got)
		}
		if op.Tries = 2; s.Clients.mayRetry(op, c.how) {
			t.Error("a third try")
		}
	}
}

// ---- faults ----

// Each kind of fault happens and, where it has a length, leaves nothing behind.
func TestEveryFaultHappensAndHeals(t *testing.T) {
	for _, k := range scenario.Kinds {
		if k.Rigged() {
			continue // internal/lab/fleet has them
		}
		text := `faults=[{"kind": "` + k.Name + `", "at": "1s", "count": 2, "class": ""`
		if k.Lasts {
			text += `, "for": "3s"`
		}
		if k.Every {
			text += `, "every": "500ms"`
		}
		if k.Size != "" {
			text += `, "size": 1`
		}
		switch {
		case k.Name == "dark":
			text += `, "zone": "b"`
		case k.On == "network":
			text += `, "from": "balancers", "to": "nodes"`
		}
		s := newScene(t, text+"}]")
		s.answer = func(a *Ask) { s.Answer(a, Outcome{Kind: Served}) }
		s.Open([]Balancer{s})
		s.clock.Run(Lead + 2*time.Second)
		if len(s.Episodes) != 1 || s.Episodes[0].Kind != k.Name {
			t.Errorf("%s: %d episodes", k.Name, len(s.Episodes))
			continue
		}
		if k.On == "nodes" && k.Name != "join" && len(s.Episodes[0].Nodes) != 2 {
			t.Errorf("%s: app nodes %v", k.Name, s.Episodes[0].Nodes)
		}
		s.clock.Run(s.End + 10*time.Second)
		d := s.Discovery
		if d.mute() || d.cuts || d.late != 0 || s.Clients.surge != 1 || slices.Max(s.Net.cuts) != 0 || slices.Max(s.Net.extra) != 0 {
			t.Errorf("%s has left something behind", k.Name)
		}
		up := 0
		for _, n := range s.Nodes {
			if n.Up {
				up++
			}
			if n.slow != 1 || n.stolen != 0 || n.hung != 0 || n.stalled || n.Halt != 0 || n.Dark || slices.Max(n.fail) > 0 || slices.Max(n.lose) > 0 || d.lies[n] != 0 {
				t.Errorf("%s has left app node %d spoilt", k.Name, n.Index)
			}
		}
		want := map[string]int{"crash": 2, "drain": 2, "join": 6}[k.Name]
		if want == 0 {
			want = 4
		}
		if up != want {
			t.Errorf("after %s %d app nodes run, want %d", k.Name, up, want)
		}
	}
}

func TestRecordedTimesAndTraces(t *testing.T) {
	s := newScene(t, "traffic.process=recorded", "traffic.times=[0.5, 0.5, 2.25, 60]", "classes[0].work.dist=trace", "classes[0].work.trace=[7, 21]")
	var work []float64
	s.answer = func(a *Ask) { work = append(work, a.Op.Work); s.Answer(a, Outcome{Kind: Served}) }
	s.Open([]Balancer{s})
	s.clock.Run(s.End + time.Second)
	if want := []time.Duration{Lead + 500*ms, Lead + 500*ms, Lead + 2250*ms}; !slices.Equal(s.wished, want) { // the last is past the day
		t.Errorf("requests at %v, want %v", s.wished, want)
	}
	for _, w := range work {
		if w != 7 && w != 21 && w != 10 {
			t.Errorf("work of %v", w)
		}
	}
}
