package sockets

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/lab/oracle"
	"pewterrudder/internal/lab/timeline"
	"pewterrudder/internal/lab/world"
)

// ways is how clients go about their sockets.
type ways struct {
	r    *run
	rng  *rand.Rand
	over bool // nothing is kept any more
}

func newWays(r *run) *ways { return &ways{r: r, rng: r.src.Stream("sockets/ways")} }

// stop closes the connections that clients keep.
func (w *ways) stop() {
	w.over = true
	for _, s := range w.r.seats {
		for _, k := range s.pool {
			k.end()
		}
		s.pool = nil
	}
}

// flight is a client's request on its way through a balancer. It is known for a while after its end, since app nodes
// may be sent it later than that.
type flight struct {
	seat    *seat
	ask     *world.Ask // nil: of nobody in the world
	op      *world.Op
	conn    *clientConn
	alive   bool
	again   bool // it has been sent once more, since its connection had ended
	made    []made
	key     string
	reached bool          // an app node
	wrote   time.Duration // on the machine's clock: when its text went out
	spoke   time.Duration // and the answer of an app node, the latest
}

// made is an answer that an app node made to a request.
type made struct {
	number uint64
	size   int
	answer *world.Answer
}

// knownFor is how long a request is known after the longest time that it can take.
const knownFor = 10 * time.Second

// Ask sends a request on a connection that clients keep, or on a new one.
func (s *seat) Ask(a *world.Ask) bool {
	r := s.run
	if s.proc == nil {
		return false
	}
	f := &flight{seat: s, ask: a, op: a.Op, alive: true}
	if r.world.Classes[a.Op.Class].Repeat == "keyed" {
		f.key = fmt.Sprintf("%032x", a.Op.Serial)
	}
	k := s.idle()
	if k == nil && s.term && r.clock.Now()-s.termAt > 600*time.Millisecond {
		// It may have stopped listening. The world wants to know now, and the system says so at once.
		nc, err := net.DialTimeout("tcp4", s.listen, 5*time.Millisecond)
		if err != nil {
			return false
		}
		k = s.newClient(nc)
	}
	a.Data = f
	r.asks[a.ID] = f
	s.flying++
	r.clock.After(r.longest()+knownFor, timeline.Func(func() { delete(r.asks, a.ID) }))
	if k == nil {
		s.dial(f)
		return true
	}
	k.send(f)
	return true
}

// idle takes a connection that is kept. Some requests come on a new one all the same; an old one then goes.
func (s *seat) idle() *clientConn {
	n := len(s.pool)
	if n == 0 {
		return nil
	}
	k := s.pool[n-1]
	s.pool = s.pool[:n-1]
	if churn := s.run.sc.Clients.Churn; churn > 0 && s.run.ways.rng.Float64() < churn {
		k.end()
		return nil
	}
	return k
}

// dial opens a connection for a request. Where nobody listens, the client has not been heard.
func (s *seat) dial(f *flight) {
	s.io.Go(func() {
		to := s.listen
		if s.front != "" {
			to = s.front
		}
		nc, err := net.DialTimeout("tcp4", to, time.Second)
		s.run.clock.post(func() {
			switch {
			case err == nil && f.alive:
				s.newClient(nc).send(f)
			case err == nil:
				nc.Close()
			case f.alive:
				s.unanswered(f, world.Unreached, "")
			}
		})
	})
}

// unanswered ends a request without an answer, unless its balancer's end explains it, which takes a moment to be seen.
func (s *seat) unanswered(f *flight, kind world.Kind, why string) {
	s.run.clock.After(200*time.Millisecond, timeline.Func(func() {
		if !f.alive {
			return
		}
		if why != "" {
			s.run.oracle.Break(oracle.Answers, "balancer %d %s request %d", s.index, why, f.ask.ID)
		}
		f.forget()
		s.run.world.Answer(f.ask, world.Outcome{Kind: kind, Closes: true})
	}))
}

// forget: nobody waits for it any more.
func (f *flight) forget() {
	if !f.alive {
		return
	}
	f.alive = false
	f.seat.flying--
	if k := f.conn; k != nil {
		f.conn, k.flight = nil, nil
		k.end()
	}
}

// Leave: the client closes the connection.
func (s *seat) Leave(a *world.Ask) {
	if f, ok := a.Data.(*flight); ok {
		f.forget()
	}
}

// ---- the text of a request ----

func (f *flight) target() (method, path string) {
	k := &f.seat.run.world.Classes[f.op.Class]
	method = http.MethodPost
	if k.Repeat == "safe" && f.op.Upload < 1 {
		method = http.MethodGet
	}
	return method, "/" + k.Name + "/" + strconv.FormatUint(f.op.Serial, 10)
}

func (f *flight) text() []byte {
	r, a := f.seat.run, f.ask
	method, path := f.target()
	const head = "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %x\r\nX-Class: %s\r\nX-Deadline: %du\r\n"
	out := fmt.Appendf(nil, head, method, path, a.ID, r.world.Classes[a.Op.Class].Name,
		max(1, (a.Deadline-a.Sent).Microseconds()))
	if a.Op.Tenant >= 0 {
		out = fmt.Appendf(out, "X-Tenant: %s\r\n", r.sc.Tenants[a.Op.Tenant].Name)
	}
	if a.Retry {
		out = append(out, "X-Retry: 1\r\n"...)
	}
	if a.Op.Hint > 0 {
		out = fmt.Appendf(out, "X-Cost-Hint: %.3fm\r\n", a.Op.Hint)
	}
	if f.key != "" {
		out = fmt.Appendf(out, "Idempotency-Key: %s\r\n", f.key)
	}
	n := int(f.op.Upload)
	if n > 0 || method == http.MethodPost {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", n)
	}
	out = append(out, "\r\n"...)
	pieces(a.ID, a.ID, firstLine, firstLine+n, func(p []byte) { out = append(out, p...) })
	return out
}

// differs names what an app node was sent otherwise than the client has written it.
func (f *flight) differs(req *http.Request, body []byte) string {
	method, path := f.target()
	switch {
	case req.Method != method:
		return "method"
	case req.RequestURI != path:
		return "path"
	case req.Header.Get("Idempotency-Key") != f.key:
		return "key"
	case len(body) != int(f.op.Upload) || !check(f.ask.ID, f.ask.ID, firstLine, body):
		return "body"
	}
	return ""
}

// ---- connections ----

// clientConn is a client's connection to a balancer. Its fields belong to the clock's goroutine; a goroutine reads it.
type clientConn struct {
	s      *seat
	nc     net.Conn
	out    writer
	flight *flight
	used   bool // it has carried a request before
	over   bool
}

func (s *seat) newClient(nc net.Conn) *clientConn {
	k := &clientConn{s: s, nc: nc}
	if s.track(nc) {
		s.io.Go(k.read)
	}
	return k
}

func (k *clientConn) send(f *flight) {
	f.conn, k.flight = k, f
	f.wrote = k.s.run.clock.real.Now()
	k.out.write(k.nc, f.text())
}

func (k *clientConn) end() {
	k.over = true
	k.nc.Close()
}

// answer is what a client has read.
type answer struct {
	status int
	after  time.Duration
	closes bool
	flows  bool
	whole  bool
	ask    uint64 // as its first line has it
	number uint64
	size   int
	intact bool // up to where it ended
	at     time.Duration
}

// read is the connection's goroutine.
func (k *clientConn) read() {
	c := k.s.run.clock
	defer k.s.untrack(k.nc)
	in := bufio.NewReaderSize(k.nc, 32<<10)
	for {
		if _, err := in.Peek(1); err != nil {
			break
		}
		at := c.real.Now()
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err != nil {
			c.post(func() { k.answered(&answer{status: 0, closes: true}) })
			return
		}
		a := &answer{status: resp.StatusCode, closes: resp.Close, flows: resp.ContentLength > heldSize, at: at}
		if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && v >= 0 && v < 1e6 {
			a.after = time.Duration(v * float64(time.Second))
		}
		k.body(a, resp.Body, func() {
			early := *a
			c.post(func() { k.flows(&early) })
		})
		c.post(func() { k.answered(a) })
		if !a.whole || a.closes {
			return
		}
	}
	c.post(k.ended)
}

// body reads and checks a body; flows is called once the first piece of a large one is there.
func (k *clientConn) body(a *answer, body io.Reader, flows func()) {
	first := make([]byte, firstLine)
	n, err := io.ReadFull(body, first)
	a.size = n
	if err != nil {
		a.whole = err == io.EOF || err == io.ErrUnexpectedEOF && a.status != http.StatusOK
		return
	}
	if name, rest, ok := strings.Cut(strings.TrimSpace(string(first)), " "); ok {
		a.ask, _ = strconv.ParseUint(name, 16, 64)
		a.number, _ = strconv.ParseUint(rest, 16, 64)
	}
	a.intact = true
	if a.flows {
		flows()
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		a.intact = a.intact && check(a.ask, a.number, a.size, buffer[:n])
		a.size += n
		if err != nil {
			a.whole = err == io.EOF
			return
		}
	}
}

// made finds the answer that a client has read among those that app nodes made.
func (a *answer) made(r *run) *made {
	if f := r.asks[a.ask]; f != nil {
		for i := range f.made {
			if f.made[i].number == a.number {
				return &f.made[i]
			}
		}
	}
	return nil
}

// outcome puts an answer in the world's terms.
func (k *clientConn) outcome(a *answer) world.Outcome {
	r := k.s.run
	o := world.Outcome{After: a.after, Closes: a.closes || !a.whole}
	switch {
	case a.status == http.StatusOK && !a.whole && !a.flows:
		o.Kind = world.Failed // the client can tell
	case a.status == http.StatusOK:
		o.Kind = world.Served
		m := a.made(r)
		if m != nil && a.intact && (a.flows && !a.whole || a.size == m.size) {
			o.Answer = m.answer
		}
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		o.Kind = world.Refused
	default:
		o.Kind = world.Failed
	}
	return o
}

// flows: a large answer has begun.
func (k *clientConn) flows(a *answer) {
	f := k.flight
	if f == nil {
		return
	}
	o := k.outcome(a)
	o.Flows = true
	k.s.run.world.Answer(f.ask, o)
}

// answered: an answer has come, or what there is of it.
func (k *clientConn) answered(a *answer) {
	f := k.flight
	if f == nil {
		if !k.over {
			k.s.run.world.Seen.Broken(fmt.Sprintf("balancer %d answers on a connection without a request", k.s.index))
			k.end()
		}
		return
	}
	o := k.outcome(a)
	if o.Kind == world.Served && f.spoke > 0 {
		k.s.run.back.record(a.at - f.spoke)
	}
	f.alive = false
	k.s.flying--
	f.conn, k.flight = nil, nil
	if k.used = true; o.Closes {
		k.end()
	} else {
		k.s.keep(k)
	}
	if !a.flows {
		k.s.run.world.Answer(f.ask, o)
		return
	}
	if a.whole && o.Answer == nil {
		k.s.run.world.Seen.Broken(fmt.Sprintf("request %d is served with a flow that is not what was made", f.ask.ID))
	}
	k.s.run.world.FlowEnded(f.ask, a.whole)
}

// keep puts a connection among those that are kept, which are as many as the scenario says.
func (s *seat) keep(k *clientConn) {
	if len(s.pool) >= s.run.sc.Clients.Connections || s.run.ways.over {
		k.end()
		return
	}
	s.pool = append(s.pool, k)
}

// ended: the balancer has closed the connection. A request that it had not read goes out once more on a new one.
func (k *clientConn) ended() {
	s, f := k.s, k.flight
	k.end()
	for i, o := range s.pool {
		if o == k {
			s.pool = append(s.pool[:i], s.pool[i+1:]...)
			return
		}
	}
	if f == nil {
		return
	}
	f.conn, k.flight = nil, nil
	if k.used && !f.again {
		f.again = true
		s.dial(f)
		return
	}
	s.unanswered(f, world.Failed, "ends the connection of")
}

// ---- requests of nobody in the world ----

// strangers have numbers of their own.
const strangerBase = 1 << 63

// stranger makes a wish of a request that somebody has sent by hand; it counts in no sum.
func (r *run) stranger(id uint64, req *http.Request) *flight {
	f := &flight{op: &world.Op{Serial: id, Tenant: -1, Due: r.clock.Now()}}
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	for i := range r.world.Classes {
		if r.world.Classes[i].Name == name {
			f.op.Class = i
		}
	}
	f.op.Work = r.world.Classes[f.op.Class].Work.Mean()
	r.asks[id] = f
	r.clock.After(r.longest()+knownFor, timeline.Func(func() { delete(r.asks, id) }))
	return f
}

// words are what an app node says to whoever has asked by hand.
func (r *run) words(f *flight, a *world.Answer) string {
	if a.End != world.Finished {
		return "no\n"
	}
	return fmt.Sprintf("%s: done by app node %s in zone %s, %.1f ms after it came\n", r.world.Classes[f.op.Class].Name,
		a.Node.ID, r.sc.Zones[a.Node.Zone], float64(r.clock.Now()-f.op.Due)/1e6)
}
