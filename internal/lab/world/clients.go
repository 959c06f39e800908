package world

import (
	"math"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/lab/chance"
	"pewterrudder/internal/lab/timeline"
)

// idleAtBalancer is how long a client's connection may stand without use until the balancer ends it. Clients then
// open another; that a request may cross the end is a matter of sockets.
const idleAtBalancer = 3 * time.Second

// unreachedAfter is how long a client takes to see that there is nobody: a refused connection, tried twice.
const unreachedAfter = 20 * time.Millisecond

// Clients ask at times of their own, whatever becomes of earlier requests, and try again as their classes allow.
type Clients struct {
	w       *World
	rng     *rand.Rand // of what is wished, and when
	ways    *rand.Rand // of how clients go about it, which hangs on what becomes of them
	process chance.Arrivals
	rate    *chance.Rate
	count   float64 // expected arrivals up to the last one
	surge   float64
	classes []float64 // cumulated shares
	tenants []float64
	zones   []float64
	quota   []quota
	pools   []pool
	asked   uint64
	wished  uint64
	waits   int // wishes not settled
	flying  int // requests not over
	next    timeline.Timer
}

// quota is what a tenant may still ask for in its right: a bucket of a second's worth.
type quota struct {
	left float64
	at   time.Duration
}

// pool holds a zone's client connections.
type pool struct {
	idle []*clientConn
	open int
}

// clientConn is a client's connection to a balancer.
type clientConn struct {
	zone, balancer, life int
	used                 time.Duration
}

func newClients(w *World) *Clients {
	sc := w.Sc
	c := &Clients{w: w, rng: w.Chance.Stream("clients"), ways: w.Chance.Stream("clients/ways"), surge: 1,
		pools: make([]pool, len(sc.Zones)), quota: make([]quota, len(sc.Tenants))}
	mean := drawRange(c.rng, sc.Traffic.Rate)
	work := 0.0 // mean work of a request, ms
	sum := 0.0
	for _, k := range w.Classes {
		sum += k.Share
		work += k.Share * k.Work.Mean()
		c.classes = append(c.classes, sum)
	}
	work /= sum
	if load := drawRange(c.rng, sc.Traffic.Load); mean == 0 {
		mean = load * w.Capacity * 1000 / work
	}
	for _, t := range sc.Tenants {
		c.tenants = append(c.tenants, t.Share)
	}
	accumulate(c.tenants)
	skew := drawRange(c.rng, sc.Traffic.Skew)
	for i := range sc.Zones {
		share := 1.0
		if i == 0 {
			share += skew
		}
		c.zones = append(c.zones, share)
	}
	accumulate(c.zones)
	at, rate := []float64{0}, []float64{mean}
	if len(sc.Traffic.Shape) > 0 {
		at, rate = nil, nil
		for _, p := range sc.Traffic.Shape {
			at, rate = append(at, p.At.D().Seconds()), append(rate, mean*p.Times)
		}
	}
	c.rate = chance.NewRate(at, rate)
	switch t := &sc.Traffic; t.Process {
	case "steady":
		c.process = chance.Steady{}
	case "mmpp":
		c.process = chance.NewMMPP(t.Dispersion, t.High, t.Share)
	case "recorded":
		c.process = &chance.Recorded{Times: t.Times}
		c.rate = chance.NewRate([]float64{0}, []float64{1})
	default:
		c.process = chance.Poisson{}
	}
	return c
}

func accumulate(shares []float64) {
	for i := 1; i < len(shares); i++ {
		shares[i] += shares[i-1]
	}
}

// choose draws one of several by their cumulated shares.
func choose(rng *rand.Rand, sums []float64) int {
	u := rng.Float64() * sums[len(sums)-1]
	for i, s := range sums {
		if u < s {
			return i
		}
	}
	return len(sums) - 1
}

// Rate is the mean rate of first tries at a moment of the run.
func (c *Clients) Rate(at time.Duration) float64 { return c.rate.At((at - Lead).Seconds()) * c.surge }

// Waiting is the number of wishes that are not settled, and of requests that are not over.
func (c *Clients) Waiting() (wishes, asks int) { return c.waits, c.flying }

// Wished is the number of wishes so far.
func (c *Clients) Wished() uint64 { return c.wished }

func (c *Clients) open() {
	c.count = 0
	c.arm()
}

// arm sets the next arrival. A surge speeds the process up: its time is divided by the surge.
func (c *Clients) arm() {
	c.count += c.process.Next(c.rng) / c.surge
	seconds := c.rate.When(c.count)
	if seconds > 1e9 {
		return
	}
	at := Lead + time.Duration(math.Round(seconds*1e9))
	if at >= c.w.End {
		return
	}
	c.next = c.w.Clock.After(at-c.w.Clock.Now(), (*arrival)(c))
}

// setSurge has so many times as many requests come from now on.
func (c *Clients) setSurge(times float64) {
	waits := c.next.Stop()
	now := (c.w.Clock.Now() - Lead).Seconds()
	left := 0.0
	if waits { // what is left until the next arrival passes at the new pace
		before := c.expected(now)
		left = max(0, c.count-before) * c.surge
		c.count = before
	}
	c.surge = times
	if !waits {
		return
	}
	c.count += left / c.surge
	seconds := c.rate.When(c.count)
	if at := Lead + time.Duration(math.Round(min(seconds, 1e9)*1e9)); at < c.w.End {
		c.next = c.w.Clock.After(at-c.w.Clock.Now(), (*arrival)(c))
	}
}

// expected is the reverse of Rate.When, by halving.
func (c *Clients) expected(seconds float64) float64 {
	low, high := 0.0, max(1, c.count)*2
	for range 60 {
		mid := (low + high) / 2
		if c.rate.When(mid) < seconds {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// arrival is the clients as the task that brings up a wish.
type arrival Clients

func (t *arrival) Run() {
	c := (*Clients)(t)
	c.arm()
	c.wish()
}

func (c *Clients) wish() {
	w, now := c.w, c.w.Clock.Now()
	c.wished++
	op := &Op{Serial: c.wished, Tenant: -1, Due: now}
	op.Class = choose(c.rng, c.classes)
	if len(c.tenants) > 0 {
		op.Tenant = choose(c.rng, c.tenants)
	}
	op.Zone = choose(c.rng, c.zones)
	k := &w.Classes[op.Class]
	op.Work = max(0.01, k.Work.Draw(w.workRng))
	if k.Hint {
		op.Hint = op.Work * math.Exp(0.3*w.workRng.NormFloat64()-0.045)
	}
	op.Upload = drawSize(w.workRng, k.Upload)
	op.Until = now + k.Deadline.D()
	op.Worth = k.Worth
	if w.Sc.Rules.WorthBy == "work" {
		op.Worth *= op.Work
	}
	if op.Tenant >= 0 && c.over(op.Tenant, now) {
		op.Worth *= w.Sc.Rules.OverQuotaWorth
	}
	c.waits++
	w.Journal.Note(now, Began, op.Serial, uint64(op.Class), uint64(op.Zone))
	w.Seen.Wished(op)
	c.try(op)
}

// over counts a wish of a tenant and says whether it is past its quota.
func (c *Clients) over(tenant int, now time.Duration) bool {
	limit := c.w.Sc.Tenants[tenant].Quota
	if limit <= 0 {
		return false
	}
	q := &c.quota[tenant]
	if q.at == 0 {
		q.left = limit
	}
	q.left = min(limit, q.left+limit*(now-q.at).Seconds())
	q.at = now
	if q.left < 1 {
		return true
	}
	q.left--
	return false
}

// try sends a wish to a balancer once more.
func (c *Clients) try(op *Op) {
	w, now := c.w, c.w.Clock.Now()
	op.Tries++
	c.asked++
	patience := time.Duration(drawRange(c.ways, w.Sc.Clients.Patience) * float64(w.Classes[op.Class].Deadline))
	a := &Ask{ID: c.asked, Op: op, home: w, Retry: op.Tries > 1 && w.Sc.Clients.Marks, Sent: now,
		Deadline: min(op.Until, now+patience), place: -1}
	c.flying++
	w.Journal.Note(now, AskSent, a.ID, op.Serial, uint64(op.Tries))
	a.timer = w.Clock.After(a.Deadline+w.Sc.Rules.Grace.D()-now, (*deadlineOf)(a))
	if imp := w.Sc.Clients.Impatient; imp > 0 && c.ways.Float64() < imp {
		a.leaves = w.Clock.After(time.Duration(c.ways.Float64()*float64(a.Deadline-now)), leaving{a})
	}
	c.send(a, 0)
}

// send puts a request on a connection: one that is idle, or a new one that the front leads to a balancer.
func (c *Clients) send(a *Ask, more time.Duration) {
	w := c.w
	a.conn = c.connection(a.Op.Zone, &more)
	if a.conn == nil {
		w.Clock.After(unreachedAfter, unreached{a})
		return
	}
	a.Balancer, a.Life = a.conn.balancer, a.conn.life
	from, to := c.places(a)
	if w.Net.Cut(from, to) {
		return // nothing comes; the client's patience ends it
	}
	w.Clock.After(more+w.Net.delay(from, to), (*arriving)(a))
}

func (c *Clients) places(a *Ask) (client, balancer Place) {
	return c.w.Net.At(ClientSide, a.Op.Zone), c.w.Net.At(Balancers, c.w.Balancers[a.Balancer].Zone)
}

// connection takes one from the pool or opens one, which costs a round trip.
func (c *Clients) connection(zone int, more *time.Duration) *clientConn {
	w := c.w
	p := &c.pools[zone]
	now := w.Clock.Now()
	fresh := p.open < w.Sc.Clients.Connections || w.Sc.Clients.Churn > 0 && c.ways.Float64() < w.Sc.Clients.Churn
	for !fresh && len(p.idle) > 0 {
		i := c.ways.IntN(len(p.idle))
		k := p.idle[i]
		end := len(p.idle) - 1
		p.idle[i] = p.idle[end]
		p.idle = p.idle[:end]
		if s := w.Balancers[k.balancer]; s.Up && s.Life == k.life && now-k.used < idleAtBalancer {
			return k
		}
		p.open-- // reset when the balancer died, or closed for want of use
	}
	// One that is churned takes an idle one's place.
	if end := len(p.idle) - 1; end >= 0 && p.open >= w.Sc.Clients.Connections {
		p.idle = p.idle[:end]
		p.open--
	}
	b := w.Front.pick(zone)
	if b < 0 {
		return nil
	}
	s := w.Balancers[b]
	if !s.Up {
		return nil
	}
	from, to := w.Net.At(ClientSide, zone), w.Net.At(Balancers, s.Zone)
	*more += w.Net.delay(from, to) + w.Net.delay(to, from)
	p.open++
	return &clientConn{zone: zone, balancer: b, life: s.Life}
}

func (c *Clients) keep(k *clientConn) {
	k.used = c.w.Clock.Now()
	p := &c.pools[k.zone]
	p.idle = append(p.idle, k)
}

func (c *Clients) lose(k *clientConn) {
	if k != nil {
		c.pools[k.zone].open--
	}
}

// arriving is a request on its way to a balancer.
type arriving Ask

func (t *arriving) Run() {
	a := (*Ask)(t)
	w := a.world()
	c := w.Clients
	if a.over {
		return // the client has left meanwhile, and its balancer has not read it
	}
	s := w.Balancers[a.Balancer]
	if !s.Up || s.Life != a.Life {
		c.again(a)
		return
	}
	a.taken, a.Took = true, w.Clock.Now()
	a.place = len(s.asks)
	s.asks = append(s.asks, a)
	if !s.B.Ask(a) {
		a.taken = false
		c.release(a)
		c.again(a)
		return
	}
	w.Journal.Note(w.Clock.Now(), AskTaken, a.ID, uint64(a.Balancer), 0)
	w.Seen.Taken(a)
}

// again: the connection had ended before the request was read, so it goes out once more on a new one.
func (c *Clients) again(a *Ask) {
	c.lose(a.conn)
	a.conn = nil
	if a.moved {
		c.w.Clock.After(0, unreached{a})
		return
	}
	a.moved = true
	a.Sent = c.w.Clock.Now() // what is left of its patience is told anew
	c.send(a, 0)
}

// release takes a request off its seat.
func (c *Clients) release(a *Ask) {
	if a.place < 0 {
		return
	}
	s := c.w.Balancers[a.Balancer]
	end := len(s.asks) - 1
	s.asks[a.place] = s.asks[end]
	s.asks[a.place].place = a.place
	s.asks[end] = nil
	s.asks = s.asks[:end]
	a.place = -1
}

type unreached struct{ a *Ask }

func (u unreached) Run() {
	if u.a.over {
		return
	}
	w := u.a.world()
	w.Journal.Note(w.Clock.Now(), AskUnreached, u.a.ID, 0, 0)
	w.Clients.end(u.a, Outcome{Kind: Unreached})
}

// Answer takes a balancer's final answer to a request, or the beginning of one that flows.
func (w *World) Answer(a *Ask, o Outcome) {
	now := w.Clock.Now()
	w.Journal.Note(now, Answered, a.ID, uint64(o.Kind), uint64(a.Balancer))
	if a.written {
		w.Seen.Broken("a second answer to one request")
		return
	}
	a.written = true
	if a.answered { // the client has left, and the balancer could not know yet
		return
	}
	a.answered = true
	a.outcome = o
	if a.flows = o.Flows; !a.flows {
		w.Clients.finish(a)
		return
	}
	a.begun = now
}

// FlowEnded is the end of an answer that flowed: whole, or broken off in a way that the client can tell.
func (w *World) FlowEnded(a *Ask, whole bool) {
	if !a.flows {
		return
	}
	a.flows = false
	if !whole {
		a.outcome.Kind, a.outcome.Closes = Failed, true
	}
	w.Clients.finish(a)
}

// finish sends the last byte of an answer on its way.
func (c *Clients) finish(a *Ask) {
	w := c.w
	c.release(a)
	from, to := c.places(a)
	d := w.Net.delay(to, from)
	at := w.Clock.Now()
	if a.begun > 0 {
		at = a.begun // of an answer that flows the first bytes are timed
	}
	w.Seen.Answered(a, a.outcome, at+d)
	if !w.Net.Cut(to, from) {
		w.Clock.After(d, (*answering)(a))
	}
}

// answering is an answer on its way to the client.
type answering Ask

func (t *answering) Run() {
	a := (*Ask)(t)
	c := a.world().Clients
	if a.over {
		return
	}
	if s := c.w.Balancers[a.Balancer]; a.outcome.Closes || !s.Up || s.Life != a.Life {
		c.lose(a.conn)
	} else {
		c.keep(a.conn)
	}
	a.conn = nil
	c.end(a, a.outcome)
}

// deadlineOf is a request as the task that ends the client's patience. The grace is over by then.
type deadlineOf Ask

func (t *deadlineOf) Run() {
	a := (*Ask)(t)
	if a.flows && !a.stayed { // who has the first bytes stays for the others
		a.stayed = true
		a.timer = a.world().Clock.After(flowPatience, t)
		return
	}
	a.leave(Lost)
}

// flowPatience is how long a client stays past its deadline for the rest of an answer that has begun to come.
const flowPatience = 2 * time.Second

type leaving struct{ a *Ask }

func (l leaving) Run() { l.a.leave(Left) }

// leave: the client closes the connection of a request.
func (a *Ask) leave(why Kind) {
	if a.over {
		return
	}
	w := a.world()
	w.Journal.Note(w.Clock.Now(), AskLeft, a.ID, uint64(why), 0)
	w.Clients.lose(a.conn)
	a.conn = nil
	if a.taken && (!a.answered || a.flows) {
		from, to := w.Clients.places(a)
		w.Clients.release(a)
		if why == Lost && (a.flows || w.Excused(a.Balancer, Answering, a.Sent)) { // it came too slowly, which is nobody's loss
			why = Failed
		}
		a.answered, a.flows = true, false
		w.Seen.Over(a, why)
		if !w.Net.Cut(from, to) {
			w.Clock.After(w.Net.delay(from, to), gone{a})
		}
	}
	w.Clients.end(a, Outcome{Kind: why})
}

type gone struct{ a *Ask }

func (g gone) Run() {
	s := g.a.world().Balancers[g.a.Balancer]
	if s.Up && s.Life == g.a.Life {
		s.B.Leave(g.a)
	}
}

// crashed: the balancer that had taken a request has died.
func (c *Clients) crashed(a *Ask, notice bool) {
	why := Crashed
	if notice {
		why = Lost // there was time to finish what it had taken
	}
	if a.flows && a.outcome.Answer.Halts {
		why = Failed // but the rest never came, and the client sees that
	}
	a.answered, a.flows = true, false
	c.w.Seen.Over(a, why)
	from, to := c.places(a)
	if c.w.Net.Cut(to, from) {
		return
	}
	c.w.Clock.After(c.w.Net.delay(to, from), resetting{a})
}

// noticeTaken is how long after a notice connections are still taken; a kill comes no sooner than that and the longest
// deadline.
const noticeTaken = 700 * time.Millisecond

type resetting struct{ a *Ask }

func (r resetting) Run() {
	if r.a.over {
		return
	}
	c := r.a.world().Clients
	c.lose(r.a.conn)
	r.a.conn = nil
	c.end(r.a, Outcome{Kind: Crashed})
}

// end: a request is over for its client, who may try again.
func (c *Clients) end(a *Ask, o Outcome) {
	w, op := c.w, a.Op
	a.over = true
	a.timer.Stop()
	a.leaves.Stop()
	c.flying--
	now := w.Clock.Now()
	if o.Kind != Served && c.mayRetry(op, o.Kind) {
		grown := math.Pow(w.Sc.Clients.Growth, float64(op.Tries-1))
		wait := time.Duration(float64(draw(c.ways, w.Sc.Clients.Backoff)) * grown)
		if o.After > 0 && c.ways.Float64() < w.Sc.Clients.Honour {
			wait = max(wait, min(o.After, w.Sc.Limits.MaxRetryAfter.D()))
		}
		if now+wait < op.Until {
			w.Clock.After(wait, retry{c, op})
			return
		}
	}
	op.Settled = true
	c.waits--
	w.Journal.Note(now, Settled, op.Serial, uint64(o.Kind), 0)
	if a.begun > 0 && o.Kind == Served {
		now = a.begun
	}
	w.Seen.Settled(op, o.Kind, now)
}

type retry struct {
	c  *Clients
	op *Op
}

func (r retry) Run() { r.c.try(r.op) }

// mayRetry: safe ones after any failure, keyed ones that all app nodes know within their window, others only where
// nothing can have run.
func (c *Clients) mayRetry(op *Op, how Kind) bool {
	if op.Tries > c.w.Sc.Clients.Retries || how == Left {
		return false
	}
	k := &c.w.Classes[op.Class]
	switch {
	case how == Refused, how == Unreached, k.Repeat == "safe":
		return true
	case k.Repeat == "keyed" && k.Scope == "all":
		return c.w.Clock.Now()-op.Due < k.Window.D()
	}
	return false
}
