// Package oracle owns the verdict on a run: what must never happen, and how much was served. It judges by what the
// world saw alone, and must never ask a balancer, nor know what one believes.
package oracle

import (
	"fmt"
	"time"

	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/world"
)

// Rule is what was broken.
type Rule uint8

const (
	Answers Rule = iota // exactly one final answer, in time, made by an app node for this request where it serves
	Effects             // no effect twice, and no word that a further try is harmless where it is not
	Drains              // nothing new for an app node that leaves
	Cold                // no cold app node pushed over
	Sums                // what was taken is what was served, refused, failed or left
	Leaks               // nothing is left over at the end
	Sound               // the balancer itself goes on: it does not panic
	rules
)

var ruleNames = [rules]string{"answers", "effects", "drains", "cold", "sums", "leaks", "sound"}

func (r Rule) String() string { return ruleNames[r] }

// Break is a broken rule.
type Break struct {
	Rule Rule
	At   time.Duration
	Text string
	Last []world.Event // up to it
}

func (b Break) String() string {
	return fmt.Sprintf("%s broken at %.6f s: %s", b.Rule, b.At.Seconds(), b.Text)
}

// shown is how many breaks are kept with their events; all are counted.
const shown = 8

// Counts are the sums of a run. What balancers have taken ends in exactly one of the second group.
type Counts struct {
	Wishes, Served, Unserved uint64 // Served: within the client's patience

	Took                                             uint64
	TookServed, Refused, Failed, Left, Crashed, Lost uint64

	Attempts, Duplicated, DrainBreaks, ColdBreaks, Leaked, Late uint64

	Fleet

	Asked, InTime float64 // worth
	Peak          float64 // pressure
	PeakNode      int
	PeakAt        time.Duration
	ByClass       []ClassCounts
	ByTenant      []ClassCounts
	Work          float64 // ms of work that app nodes were sent
	MeanWork      float64 // ms of a request, as the classes come
}

// ClassCounts are those of one class or tenant.
type ClassCounts struct {
	Wished, Served uint64
	Asked, InTime  float64
}

// Goodput is the worth answered within the aim over the worth asked for.
func (c *Counts) Goodput() float64 {
	if c.Asked == 0 {
		return 0
	}
	return c.InTime / c.Asked
}

// Oracle watches one run.
type Oracle struct {
	Counts
	Breaks []Break
	ByRule [rules]uint64

	w     *world.World
	sc    *scenario.Scenario
	grace time.Duration
	told  []map[*world.Node]time.Duration // by balancer: when it was told that a node leaves
	start []map[*world.Node]int           // and the start that it was told of
	began map[*world.Node]start           // which start discovery has, and since when
	knew  map[*world.Node]time.Duration   // when discovery knew that a node leaves
	since []time.Duration                 // when discovery could reach the balancer again; below 0: it can't
	loads []*load                         // by node
	cold  []*window                       // by node: what a cold one was sent

	attempts []tally // by node
	calls    tally   // to discovery
}

// slices of a window of pressure.
const slices = 20

// load is what a node was sent, in a ring of slices of a window.
type load struct {
	work, could [slices]float64 // ms; ms that it could do
	at          int64           // the slice that is being filled
	filled      int
	epoch       int
}

// New makes an oracle; Watch must follow.
func New(sc *scenario.Scenario) *Oracle {
	o := &Oracle{sc: sc, grace: sc.Rules.Grace.D(), knew: map[*world.Node]time.Duration{}, began: map[*world.Node]start{}}
	o.ByClass = make([]ClassCounts, len(sc.Classes))
	o.ByTenant = make([]ClassCounts, len(sc.Tenants))
	for range sc.Balancers.Count {
		o.told = append(o.told, map[*world.Node]time.Duration{})
		o.start = append(o.start, map[*world.Node]int{})
		o.since = append(o.since, -1)
	}
	return o
}

// Watch sets the world that is judged.
func (o *Oracle) Watch(w *world.World) {
	o.w = w
	sum := 0.0
	for i := range w.Classes {
		k := &w.Classes[i]
		o.MeanWork, sum = o.MeanWork+k.Share*k.Work.Mean(), sum+k.Share
	}
	o.MeanWork /= sum
}

// Break enters a broken rule.
func (o *Oracle) Break(r Rule, format string, args ...any) {
	o.ByRule[r]++
	switch r {
	case Effects:
		o.Duplicated++
	case Drains:
		o.DrainBreaks++
	case Cold:
		o.ColdBreaks++
	case Leaks:
		o.Leaked++
	}
	now := o.w.Clock.Now()
	o.w.Journal.Note(now, world.Broke, uint64(r), o.ByRule[r], 0)
	if len(o.Breaks) < shown {
		o.Breaks = append(o.Breaks, Break{r, now, fmt.Sprintf(format, args...), o.w.Journal.Last()})
	}
}

// OK says whether no rule was broken.
func (o *Oracle) OK() bool {
	for _, n := range o.ByRule {
		if n > 0 {
			return false
		}
	}
	return true
}

// ---- answers ----

func (o *Oracle) Wished(op *world.Op) {
	o.Wishes++
	o.Asked += op.Worth
	c := &o.ByClass[op.Class]
	c.Wished++
	c.Asked += op.Worth
	if op.Tenant >= 0 {
		t := &o.ByTenant[op.Tenant]
		t.Wished++
		t.Asked += op.Worth
	}
}

func (o *Oracle) Settled(op *world.Op, how world.Kind, at time.Duration) {
	if how != world.Served {
		o.Unserved++
		return
	}
	o.Served++
	k := &o.sc.Classes[op.Class]
	worth := op.Worth
	if at-op.Due > k.Aim.D() {
		o.AfterAim++
		worth *= k.Late
	}
	o.InTime += worth
	c := &o.ByClass[op.Class]
	c.Served++
	c.InTime += worth
	if op.Tenant >= 0 {
		t := &o.ByTenant[op.Tenant]
		t.Served++
		t.InTime += worth
	}
}

func (o *Oracle) Taken(*world.Ask) { o.Took++ }

func (o *Oracle) Answered(a *world.Ask, out world.Outcome, at time.Duration) {
	if at > a.Deadline+o.grace && !o.w.Excused(a.Balancer, world.Answering, a.Sent) {
		o.Late++
		o.Break(Answers, "request %d is answered %v after its deadline", a.ID, at-a.Deadline)
	}
	switch out.Kind {
	case world.Served:
		o.TookServed++
		if out.Answer == nil || out.Answer.End != world.Finished {
			o.Break(Answers, "request %d is served with what no app node made", a.ID)
		} else if out.Answer.Op != a.Op || out.Answer.Ask != a.ID {
			o.Break(Answers, "request %d is served with the answer to %d", a.ID, out.Answer.Ask)
		}
	case world.Refused:
		o.Refused++
		if k := &o.sc.Classes[a.Op.Class]; k.Repeat == "unsafe" || k.Repeat == "keyed" && k.Scope != "all" {
			for i := range a.Op.Runs {
				if a.Op.Runs[i].Began && !o.w.Excused(a.Balancer, world.Repeating, a.Sent) {
					o.Break(Effects, "request %d is refused though its work has begun", a.ID)
					break
				}
			}
		}
	default:
		o.Failed++
	}
}

func (o *Oracle) Over(a *world.Ask, why world.Kind) {
	switch why {
	case world.Left:
		o.Left++
	case world.Crashed:
		o.Crashed++
	case world.Failed:
		o.Failed++
	default:
		o.Lost++
		o.Break(Answers, "request %d has no answer, %v after its deadline", a.ID, o.w.Clock.Now()-a.Deadline)
	}
}

func (o *Oracle) Broken(text string) { o.Break(Answers, "%s", text) }

// ---- effects ----

// group is the set of app nodes that drop repeats for each other.
func (o *Oracle) group(k *scenario.Class, n *world.Node) int {
	switch k.Scope {
	case "zone":
		return n.Zone
	case "cell":
		return n.Cell
	}
	return 0
}

// JobKept finds the run of an attempt that may have its effect: that of an earlier one in the same group, if it was sent
// within the window, else one of its own. A network that held the second back for longer than the window makes two
// effects of them, but that is nothing that a balancer could know. Nor could it know of a client's earlier try, which
// clients repeat by themselves only where all app nodes drop repeats: the window counts from each try's first attempt.
func (o *Oracle) JobKept(n *world.Node, j *world.Job) {
	op := j.Op
	k := &o.sc.Classes[op.Class]
	if k.Repeat == "safe" {
		return
	}
	group := o.group(k, n)
	if k.Repeat == "keyed" {
		for i := range op.Runs {
			r := &op.Runs[i]
			if r.Group == group && k.Scope == "all" && r.Ask != j.Ask {
				r.Ask, r.At = j.Ask, j.Sent
			}
			if r.Group == group && max(j.Sent, r.At)-min(j.Sent, r.At) <= k.Window.D()+o.grace {
				j.Run = i
				r.At = min(r.At, j.Sent)
				return
			}
		}
	}
	j.Run = len(op.Runs)
	op.Runs = append(op.Runs, world.Run{Group: group, Ask: j.Ask, At: j.Sent})
}

// heldBack: a line of the rig had an attempt come later than its balancer could know, after an earlier run. What comes over a
// connection that was made once the key's window was over was written after it, whatever the line did.
func (o *Oracle) heldBack(j *world.Job, earlier, own *world.Run) bool {
	l, ok := j.To.(*world.Link)
	if !ok || !o.w.Excused(l.Balancer, world.Repeating, j.Op.Due) {
		return false
	}
	k := &o.sc.Classes[j.Op.Class]
	return k.Repeat != "keyed" || earlier.Group != own.Group || l.Made <= earlier.At+k.Window.D()+o.grace
}

func (o *Oracle) JobBegan(n *world.Node, j *world.Job) {
	op := j.Op
	if len(op.Runs) == 0 {
		return
	}
	r := &op.Runs[j.Run]
	if r.Began {
		return
	}
	r.Began = true
	for i := range op.Runs {
		if i != j.Run && op.Runs[i].Began && !o.heldBack(j, &op.Runs[i], r) {
			o.Break(Effects, "wish %d has its effect a second time, at app node %d, %v after it came up", op.Serial, n.Index,
				o.w.Clock.Now()-op.Due)
			return
		}
	}
}

// ---- drains ----

func (o *Oracle) Knew(n *world.Node, s world.State) {
	if s == world.Ready {
		delete(o.knew, n)
		if o.began[n].epoch != n.Epoch {
			o.began[n] = start{n.Epoch, o.w.Clock.Now()}
		}
	} else if _, ok := o.knew[n]; !ok {
		o.knew[n] = o.w.Clock.Now()
	}
}

// Told: an entry of before a start, which discovery may still hold, tells nothing of that start.
func (o *Oracle) Told(balancer int, e world.Entry) {
	n := e.Node
	if e.State == world.Ready {
		delete(o.told[balancer], n)
		if n.Epoch > 0 && e.Started == n.Started {
			o.start[balancer][n] = n.Epoch
		}
	} else if _, ok := o.told[balancer][n]; !ok {
		o.told[balancer][n] = o.w.Clock.Now()
	}
}

func (o *Oracle) Reached(balancer int, can bool) {
	if !can {
		o.since[balancer] = -1
		if !o.w.Balancers[balancer].Up { // what its process was told ends with it
			clear(o.told[balancer])
			clear(o.start[balancer])
		}
		return
	}
	o.since[balancer] = o.w.Clock.Now()
}

// toldAt is when a balancer counts as told of what happened to a node: once it was, or so long after discovery knew and
// could have told it.
func (o *Oracle) toldAt(balancer int, n *world.Node) (time.Duration, bool) {
	at, ok := o.told[balancer][n]
	if knew, is := o.knew[n]; is && o.since[balancer] >= 0 {
		if due := max(knew, o.since[balancer]) + o.sc.Rules.ToldWithin.D(); !ok || due < at {
			return due, true
		}
	}
	return at, ok
}

func (o *Oracle) Wrote(balancer int, n *world.Node, op *world.Op) {
	o.Attempts++
	if len(o.told[balancer]) == 0 && len(o.knew) == 0 {
		return
	}
	late := o.late(balancer, n)
	// Requests go to addresses: a balancer that has yet to hear that an earlier app node has left this one means that.
	for p := n.Before; p != nil && late > 0; p = p.Before {
		late = min(late, o.late(balancer, p))
	}
	if late > 0 {
		o.Break(Drains, "balancer %d sends wish %d to app node %d, %v after the grace for a drain", balancer, op.Serial,
			n.Index, late)
	}
}

// late is by how much a send to a node would come after the grace for its drain.
func (o *Oracle) late(balancer int, n *world.Node) time.Duration {
	at, ok := o.toldAt(balancer, n)
	if !ok {
		return 0
	}
	return max(0, o.w.Clock.Now()-at-o.sc.Rules.DrainGrace.D()-o.grace)
}

// ---- pressure ----

func (o *Oracle) width() time.Duration { return o.sc.Rules.FallFor.D() / slices }

func (o *Oracle) JobCame(n *world.Node, j *world.Job, balancer int) {
	o.came(n)
	for len(o.loads) <= n.Index {
		o.loads = append(o.loads, nil)
	}
	l := o.loads[n.Index]
	slice := int64(o.w.Clock.Now() / o.width())
	if l == nil || l.epoch != n.Epoch {
		l = &load{at: slice, epoch: n.Epoch}
		o.loads[n.Index] = l
		l.could[slice%slices] = o.canDo(n)
	}
	if slice > l.at {
		o.roll(n, l, slice)
	}
	i := slice % slices
	l.work[i] += j.Work
	o.Work += j.Work
	o.coldCame(n, j, balancer)
}

// canDo is the work that a node can do in a slice, at its present state.
func (o *Oracle) canDo(n *world.Node) float64 {
	return n.Capacity() * o.width().Seconds() * 1000
}

// roll begins a new slice. The highest pressure is looked for in each full window.
func (o *Oracle) roll(n *world.Node, l *load, slice int64) {
	if l.filled >= slices {
		work, could := 0.0, 0.0
		for i := range l.work {
			work += l.work[i]
			could += l.could[i]
		}
		// A machine that stands still can do nothing: a twentieth of its cores is the least that is divided by.
		least := 0.05 * float64(n.Cores) * n.Speed * o.sc.Rules.FallFor.D().Seconds() * 1000
		if p := work / max(could, least); p > o.Peak {
			o.Peak, o.PeakNode, o.PeakAt = p, n.Index, o.w.Clock.Now()
		}
	}
	could := o.canDo(n)
	from := max(l.at+1, slice-slices+1)
	l.filled = min(slices, l.filled+int(slice-l.at))
	for s := from; s <= slice; s++ {
		l.work[s%slices], l.could[s%slices] = 0, could
	}
	l.at = slice
}

// ---- the end ----

// Close checks the sums.
func (o *Oracle) Close() {
	ends := o.TookServed + o.Refused + o.Failed + o.Left + o.Crashed + o.Lost
	if o.Took != ends {
		o.Break(Sums, "%d requests were taken, and %d have ended", o.Took, ends)
	}
	if wishes := o.Served + o.Unserved; wishes != o.Wishes {
		o.Break(Sums, "%d wishes came up, and %d were settled", o.Wishes, wishes)
	}
}
