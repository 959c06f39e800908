package flowrig

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Moment is when a client leaves.
type Moment string

const (
	Silent  Moment = "before the answer"                // the app node has the call and has said nothing
	Begun   Moment = "before the commit"                // its head and 10 KB of 1 MiB are out
	Flowing Moment = "after the commit, trickling"      // the client has its first bytes, the app node trickles
	Full    Moment = "after the commit, socket full"    // the client reads nothing and nothing fits any more
	Idle    Moment = "reads nothing, past its patience" // the client stays, and reads nothing from the commit on
)

// Moments are all of them, in the order of a call's life.
var Moments = []Moment{Silent, Begun, Flowing, Full, Idle}

// DepartureRow is the time from the client's close to the app node's connection seeing its end.
type DepartureRow struct {
	Moment   Moment  `json:"moment"`
	Count    int     `json:"count"`
	Seen     int     `json:"seen"`    // the app node's connection ended
	Missed   int     `json:"missed"`  // it did not within a second
	Spoiled  int     `json:"spoiled"` // the moment never came: the client was refused, say, or nothing ever got full
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Max      float64 `json:"max_ms"`
	Under100 float64 `json:"under_100ms"` // share of those that left; missed ones are over
	First    string  `json:"first_spoiled,omitempty"`
}

// Departures is the table.
type Departures struct {
	Program string         `json:"program"`
	Rows    []DepartureRow `json:"rows"`
}

const (
	departAtOnce = 16          // so many clients are about at one time
	missedAfter  = time.Second // far past the 100 ms that are asked for
	onTime       = 100 * time.Millisecond
	beginning    = 10000        // bytes out before the commit, of a MiB
	committed    = 65<<10 + 512 // more than what a balancer holds back
	trickleEvery = 5 * time.Millisecond
	// fullBytes is under the largest answer that passes by default, and more than the kernel's buffers on the way.
	fullBytes = 16<<20 - 1
	fullQuiet = 60 * time.Millisecond // nothing taken for so long: full
	// idleWait is the patience set for a client that reads nothing, shorter than the default for the sake of the run. Its
	// time is taken off: what is shown is by how much the end comes later than set.
	idleWait = 400 * time.Millisecond
)

// visit is one call, from the side of the app node.
type visit struct {
	ready chan struct{}  // the moment has come for what the app node sees of it
	ended chan time.Time // its connection has
	spoil chan string
}

// MeasureDepartures has count clients leave at each moment.
func MeasureDepartures(program string, moments []Moment, count int, progress io.Writer) (*Departures, error) {
	var visits sync.Map // by id
	body := Content(7, fullBytes)
	node, err := NewNode(func(x *Exchange) {
		v, ok := visits.Load(x.Request.Header.Get("X-Request-Id"))
		if !ok {
			x.Say(head(2) + "ok")
			return
		}
		attend(x, v.(*visit), Moment(x.Request.Header.Get("X-Moment")), body)
	})
	if err != nil {
		return nil, err
	}
	defer node.Close()
	p, err := StartBalancer(program, Setup{Nodes: []string{node.Addr()}, Classes: []Class{Bulk}, MemoryMB: 192,
		Sockets: 1024, Attempts: 1, Settings: fmt.Sprintf(`{"flow": {"client_idle_ms": %d}}`, idleWait.Milliseconds())})
	if err != nil {
		return nil, err
	}
	defer p.Stop()
	d := &Departures{Program: program}
	for at, m := range moments {
		row := DepartureRow{Moment: m, Count: count}
		took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		var mu sync.Mutex
		var next atomic.Int64
		var all sync.WaitGroup
		for range departAtOnce {
			all.Go(func() {
				for n := next.Add(1); n <= int64(count); n = next.Add(1) {
					v := &visit{ready: make(chan struct{}), ended: make(chan time.Time, 1), spoil: make(chan string, 1)}
					id := fmt.Sprintf("d%d-%d", at, n)
					visits.Store(id, v)
					after, seen, err := depart(p.Addr, id, m, v)
					visits.Delete(id)
					mu.Lock()
					switch {
					case err != nil:
						if row.Spoiled++; row.First == "" {
							row.First = err.Error()
						}
					case !seen:
						row.Missed++
					default:
						row.Seen++
						took.RecordValue(max(1, after.Microseconds()))
						if after < onTime {
							row.Under100++
						}
					}
					mu.Unlock()
				}
			})
		}
		all.Wait()
		row.P50, row.P99 = float64(took.ValueAtQuantile(50))/1e3, float64(took.ValueAtQuantile(99))/1e3
		row.Max = float64(took.Max()) / 1e3
		if left := row.Seen + row.Missed; left > 0 {
			row.Under100 /= float64(left)
		}
		d.Rows = append(d.Rows, row)
		fmt.Fprintf(progress, "%s: %d of %d seen, p99 %.2f ms\n", m, row.Seen, count, row.P99)
	}
	return d, nil
}

// attend is the app node's part.
func attend(x *Exchange, v *visit, m Moment, body []byte) {
	end := func() { v.ended <- <-x.Gone() }
	switch m {
	case Silent:
		close(v.ready)
		end()
	case Begun:
		x.Say(head(1 << 20))
		x.Write(body[:beginning])
		close(v.ready)
		end()
	case Flowing:
		gone := x.Gone()
		x.Say(head(1 << 20))
		x.Write(body[:committed])
		close(v.ready)
		tick := time.NewTicker(trickleEvery)
		defer tick.Stop()
		for at := committed; ; at++ {
			select {
			case t := <-gone:
				v.ended <- t
				return
			case <-tick.C:
				if at < 1<<20-1 { // an error is seen by the reader as well
					x.Write(body[at : at+1])
				}
			}
		}
	case Idle:
		gone := x.Gone()
		x.Say(head(len(body)))
		x.Write(body) // until the end
		v.ended <- <-gone
	case Full:
		x.Say(head(len(body)))
		if _, full := x.Stalled(body, fullQuiet); !full {
			v.spoil <- "the app node could write all of its answer, or its connection ended"
			return
		}
		close(v.ready)
		end()
	}
}

// depart is the client's part: it waits for the moment, leaves, and has the time until the app node knew.
func depart(addr, id string, m Moment, v *visit) (after time.Duration, seen bool, err error) {
	window := 0
	if m == Full || m == Idle {
		window = slowWindow
	}
	c, err := Dial(addr, window)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	c.Deadline(10 * time.Second)
	if err := c.Send(Ask{Path: "/bulk/x/" + id, ID: id, Class: Bulk.Name, Wait: time.Minute,
		Header: "X-Moment: " + string(m) + "\r\n"}); err != nil {
		return 0, false, err
	}
	if m == Flowing || m == Idle {
		resp, err := c.Response("GET")
		if err == nil && resp.StatusCode != 200 {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if err == nil && m == Flowing {
			_, err = io.ReadFull(resp.Body, make([]byte, committed))
		}
		if err != nil {
			return 0, false, err
		}
	}
	left := time.Now()
	if m == Idle {
		at, err := within(v.ended, idleWait+10*missedAfter)
		return at.Sub(left) - idleWait, err == nil, nil
	}
	select {
	case <-v.ready:
	case why := <-v.spoil:
		return 0, false, fmt.Errorf("%s", why)
	case <-time.After(10 * time.Second):
		return 0, false, fmt.Errorf("the moment never came")
	}
	left = time.Now()
	c.Close()
	at, err := within(v.ended, missedAfter)
	return at.Sub(left), err == nil, nil
}

func within(c <-chan time.Time, patience time.Duration) (time.Time, error) {
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case at := <-c:
		return at, nil
	case <-late.C:
		return time.Time{}, fmt.Errorf("nothing within %v", patience)
	}
}

// Table writes the rows for people.
func (d *Departures) Table(w io.Writer) {
	fmt.Fprintf(w, "balancer %s: from the client's close to the end of the app node's connection\n", d.Program)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "leaves\tcount\tseen\tmissed\tspoiled\tp50 ms\tp99 ms\tmax ms\tunder 100 ms\t")
	for _, r := range d.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.4f\t\n", r.Moment, r.Count, r.Seen, r.Missed, r.Spoiled, r.P50, r.P99,
			r.Max, r.Under100)
	}
	t.Flush()
	for _, r := range d.Rows {
		if r.First != "" {
			fmt.Fprintf(w, "%s: the first spoiled: %s\n", r.Moment, r.First)
		}
	}
}
