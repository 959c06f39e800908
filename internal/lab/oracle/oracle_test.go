package oracle

import (
	"testing"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
)

const site = `{
	"name": "small", "length": "10s", "zones": ["a", "b"],
	"balancers": {"count": 1},
	"nodes": [{"count": 4, "cold_from": 0.2, "cold_for": "10s"}],
	"classes": [
		{"name": "look", "work": {"mean": 10}, "aim": "150ms", "deadline": "600ms"},
		{"name": "order", "work": {"mean": 10}, "aim": "150ms", "deadline": "600ms", "repeat": "keyed", "scope": "zone", "window": "300ms"},
		{"name": "pay", "work": {"mean": 10}, "aim": "150ms", "deadline": "600ms", "repeat": "unsafe"},
	],
	"traffic": {"rate": 60},
	"discovery": {"ask": false},
}`

// plain is a balancer with no sense: it sends each request to the next app node on a connection of its own, and passes
// on what comes. Its flaws are what the oracle must see.
type plain struct {
	w     *world.World
	flaw  string
	next  int
	list  []world.Entry
	last  *world.Answer
	count int
	conns map[*world.Ask][]*world.Link
}

func (b *plain) Start(known world.List) {
	b.list = known.Entries
	b.w.Ready(0)
	b.w.Discovery.Watch(0, known.Revision, b)
}
func (b *plain) Kill()   {}
func (b *plain) Term()   {}
func (b *plain) Reload() {}
func (b *plain) Opened() {}
func (b *plain) Closed() {}

func (b *plain) Line(l *world.List) {
	if l == nil || b.flaw == "drain" {
		return
	}
	for _, e := range l.Entries {
		for i := range b.list {
			if b.list[i].Node == e.Node {
				b.list = append(b.list[:i:i], b.list[i+1:]...)
				break
			}
		}
		if e.State == world.Ready {
			b.list = append(b.list, e)
		}
	}
}

func (b *plain) Ask(a *world.Ask) bool {
	b.count++
	if b.count%100 == 0 && b.flaw == "lost" {
		return true
	}
	b.send(a, 1)
	if b.flaw != "late" {
		b.w.Clock.After(a.Deadline-20*time.Millisecond-b.w.Clock.Now(), timeline.Func(func() {
			b.end(a, world.Outcome{Kind: world.Failed})
		}))
	}
	return true
}

// send dials an app node for a request; times tells the copies.
func (b *plain) send(a *world.Ask, times int) {
	if len(b.list) == 0 {
		b.w.Answer(a, world.Outcome{Kind: world.Refused})
		return
	}
	b.next++
	e := b.list[b.next%len(b.list)]
	if b.flaw == "cold" { // all to the newest
		e = b.list[len(b.list)-1]
	}
	l := b.w.Dial(0, e.Node.Address, b)
	l.Data = a
	b.conns[a] = append(b.conns[a], l)
	if times > 1 {
		b.send(a, times-1)
	}
}

func (b *plain) end(a *world.Ask, o world.Outcome) {
	if len(b.conns[a]) == 0 {
		return
	}
	for _, l := range b.conns[a] {
		l.Close()
	}
	if b.flaw == "leak" && b.count >= 100 {
		b.flaw = ""
		b.w.Dial(0, b.list[0].Node.Address, b)
	}
	delete(b.conns, a)
	b.w.Answer(a, o)
}

func (b *plain) Leave(a *world.Ask) {
	for _, l := range b.conns[a] {
		l.Close()
	}
	delete(b.conns, a)
}

func (b *plain) LinkUp(l *world.Link) {
	if a, ok := l.Data.(*world.Ask); ok {
		l.Send(a.Op, a.ID, time.Second)
	}
}
func (b *plain) LinkRefused(l *world.Link)            { b.LinkEnded(l) }
func (b *plain) LinkHalts(*world.Link)                {}
func (b *plain) LinkFlows(*world.Link, *world.Answer) {}
func (b *plain) LinkEnded(l *world.Link) {
	b.end(l.Data.(*world.Ask), world.Outcome{Kind: world.Failed})
}
func (b *plain) LinkAnswered(l *world.Link, x *world.Answer) {
	a := l.Data.(*world.Ask)
	o := world.Outcome{Kind: world.Failed, Answer: x}
	if x.End == world.Finished {
		o.Kind = world.Served
	}
	copied := *x
	switch flawed := b.count%50 == 0; {
	case !flawed:
	case b.flaw == "other" && b.last != nil:
		o.Answer = b.last
	case b.flaw == "made up":
		o.Answer = nil
	case b.flaw == "refuse" && a.Op.Class != 0:
		o = world.Outcome{Kind: world.Refused}
	case b.flaw == "twice":
		b.w.Answer(a, o)
	case b.flaw == "late":
		b.w.Clock.After(a.Deadline+57900*time.Microsecond-b.w.Clock.Now(), timeline.Func(func() { b.end(a, o) }))
		return
	case b.flaw == "again" && len(b.conns[a]) == 1:
		b.send(a, 2)
		return
	}
	b.last = &copied
	b.end(a, o)
}

func play(t *testing.T, flaw string, faults string, rate string, seed uint64) *Oracle {
	t.Helper()
	sc, err := scenario.Parse("site", []byte(site), "faults="+faults, "traffic.rate="+rate)
	if err != nil {
		t.Fatal(err)
	}
	clock := timeline.NewVirtual(0)
	o := New(sc)
	w := world.New(sc, clock, chance.New(seed), world.NewJournal(), o)
	o.Watch(w)
	b := &plain{w: w, flaw: flaw, conns: map[*world.Ask][]*world.Link{}}
	w.Open([]world.Balancer{b})
	clock.Run(w.End + 3*time.Second)
	o.Close()
	if n := w.Net.Links(); n > 0 {
		o.Break(Leaks, "%d connections are open", n)
	}
	return o
}

// Each rule must be seen to break where it is broken, and not where it is kept.
func TestEachRuleIsSeenToBreak(t *testing.T) {
	const (
		none  = "[]"
		drain = `[{"kind": "drain", "at": "2s", "for": "7s", "count": 1}]`
		joins = `[{"kind": "join", "at": "2s", "count": 1}]`
	)
	for _, c := range []struct {
		flaw, faults string
		rule         Rule
	}{
		{"", none, rules}, {"", drain, rules}, {"", joins, rules},
		{"lost", none, Answers}, {"twice", none, Answers}, {"late", none, Answers}, {"other", none, Answers}, {"made up", none, Answers},
		{"refuse", none, Effects}, {"again", none, Effects},
		{"drain", drain, Drains}, {"cold", joins, Cold}, {"leak", none, Leaks},
	} {
		rate := "60"
		if c.rule == Cold {
			rate = "250"
		}
		o := play(t, c.flaw, c.faults, rate, 3)
		for r := range rules {
			if (o.ByRule[r] > 0) != (r == c.rule) {
				t.Errorf("flaw %q with %s: rule %q was broken %d times", c.flaw, c.faults, r, o.ByRule[r])
				for _, b := range o.Breaks[:min(len(o.Breaks), 2)] {
					t.Log(b)
				}
			}
		}
		if o.Wishes < 400 || c.rule == rules && o.Goodput() < 0.9 {
			t.Errorf("flaw %q: %d wishes and a goodput of %.2f: this is no day to judge by", c.flaw, o.Wishes, o.Goodput())
		}
	}
}

func TestABreakShowsWhatCameBefore(t *testing.T) {
	o := play(t, "refuse", "[]", "60", 3)
	if len(o.Breaks) == 0 || len(o.Breaks[0].Last) < 50 {
		t.Fatal("a break without events")
	}
	last := o.Breaks[0].Last
	if e := last[len(last)-1]; e.What != world.Broke || e.At != o.Breaks[0].At {
		t.Errorf("the last event is %v", e)
	}
	for i := 1; i < len(last); i++ {
		if last[i].At < last[i-1].At {
			t.Errorf("%v comes before %v", last[i-1], last[i])
		}
	}
}

// Discovery may list a process of before an outage for seconds. Who is told that entry alone takes the app node for warm, and
// must not count as told of its start.
func TestAnEntryOfBeforeAStartTellsNothingOfIt(t *testing.T) {
	o := play(t, "", "[]", "60", 3)
	n := o.w.Nodes[0]
	n.Epoch, n.Started = 1, 5*time.Second
	o.Told(0, world.Entry{Node: n, State: world.Ready})
	if at, ok := o.start[0][n]; ok {
		t.Errorf("told of start %d by an entry of before it", at)
	}
	if o.Told(0, world.Entry{Node: n, State: world.Ready, Started: n.Started}); o.start[0][n] != 1 {
		t.Error("not told of the start by the entry of the new process")
	}
}
