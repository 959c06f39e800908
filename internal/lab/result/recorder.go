package result

import "time"

const (
	// windowFirst is the width that windows begin with; when a run outgrows their number, neighbours are joined and
	// the width doubles. So a run of any length has between half of windowsMost and all of it, without being told.
	windowFirst = 100 * time.Millisecond
	windowsMost = 512
	// rowsMost bounds the rows of the map of loads: a wide fleet has several neighbours in one.
	rowsMost = 128
)

// End is what became of a request.
type End uint8

const (
	Served End = iota
	Refused
	Failed
	Lost // no final answer came
	Left // its client went away first, so that nothing was owed: it counts as offered alone
)

// Recorder gathers one run. Everything is told to it on one goroutine; times are on the run's clock, from 0.
type Recorder struct {
	rec   Record
	width time.Duration
	nodes map[string]int // by name, in order of their first report
	names []string
	shift int // log2 of the nodes in a row
}

// NewRecorder makes an empty one.
func NewRecorder() *Recorder {
	return &Recorder{width: windowFirst, nodes: map[string]int{}, rec: Record{Runs: 1, Times: newTimes()}}
}

// window finds the place of a moment.
func (r *Recorder) window(at time.Duration) int {
	at = max(0, at)
	for at >= r.width*windowsMost {
		r.rec.widen()
		r.width *= 2
	}
	i := int(at / r.width)
	for len(r.rec.Windows) <= i {
		r.rec.Windows = append(r.rec.Windows, Window{})
	}
	return i
}

// Offered: a client's request fell due, and is worth so much if it is answered in time.
func (r *Recorder) Offered(due time.Duration, worth float64) {
	w := &r.rec.Windows[r.window(due)]
	w.Offered++
	w.Asked += worth
	r.rec.Offered++
}

// Ended: a request that was due then has come to its end now, and earned so much.
func (r *Recorder) Ended(end End, due, now time.Duration, earned float64) {
	w := &r.rec.Windows[r.window(due)]
	w.Earned += earned
	switch end {
	case Served:
		w.Served++
		r.rec.Served++
		r.rec.Times.record(now - due)
	case Refused:
		w.Refused++
		r.rec.Refused++
	case Failed:
		w.Failed++
		r.rec.Failed++
	case Lost:
		w.Lost++
		r.rec.Lost++
	case Left:
	}
}

// Load: a look at an app node found so much load.
func (r *Recorder) Load(node string, at time.Duration, load float64) {
	n, ok := r.nodes[node]
	if !ok {
		n = len(r.names)
		r.nodes[node] = n
		r.names = append(r.names, node)
		if n>>r.shift >= rowsMost {
			r.joinRows()
		}
	}
	row, i := n>>r.shift, r.window(at)
	if row == len(r.rec.Loads) {
		r.rec.Loads = append(r.rec.Loads, Load{})
	}
	l := &r.rec.Loads[row]
	for len(l.Looks) <= i {
		l.Looks, l.Sum = append(l.Looks, 0), append(l.Sum, 0)
	}
	l.Looks[i]++
	l.Sum[i] += load
}

func (r *Recorder) joinRows() {
	r.shift++
	for i := 0; i < len(r.rec.Loads); i += 2 {
		l := r.rec.Loads[i]
		if i+1 < len(r.rec.Loads) {
			l.add(&r.rec.Loads[i+1])
		}
		r.rec.Loads[i/2] = l
	}
	r.rec.Loads = r.rec.Loads[:(len(r.rec.Loads)+1)/2]
}

// Choices: a look at a balancer found it to draw one of k servers.
func (r *Recorder) Choices(at time.Duration, k int, burst bool) {
	w := &r.rec.Windows[r.window(at)]
	w.Looks++
	w.K += float64(k)
	if burst {
		w.Bursts++
	}
}

// Fault: something was made to go wrong for a while.
func (r *Recorder) Fault(what, target string, from, to time.Duration) {
	r.rec.Faults = append(r.rec.Faults, Fault{what, target, from.Seconds(), to.Seconds()})
}

// Record ends the run. head has what the recorder cannot know: names, digest, what the oracles counted, speed.
func (r *Recorder) Record(head Run) Record {
	rec := r.rec
	head.Offered, head.Served, head.Refused = rec.Offered, rec.Served, rec.Refused
	head.Failed, head.Lost = rec.Failed, rec.Lost
	rec.Run = head
	rec.Latency = rec.Times.Latency()
	rec.Width = r.width.Seconds()
	rec.Goodput = rec.goodput()
	for i := range rec.Loads {
		from, to := i<<r.shift, min((i+1)<<r.shift, len(r.names))-1
		rec.Loads[i].Nodes = r.names[from]
		if to > from {
			rec.Loads[i].Nodes += " to " + r.names[to]
		}
	}
	return rec
}

func (r *Record) goodput() float64 {
	asked, earned := 0.0, 0.0
	for i := range r.Windows {
		asked += r.Windows[i].Asked
		earned += r.Windows[i].Earned
	}
	if asked == 0 {
		return 0
	}
	return earned / asked
}

// widen joins the windows in pairs.
func (r *Record) widen() {
	for i := range r.Windows {
		if i%2 == 0 {
			r.Windows[i/2] = r.Windows[i]
		} else {
			r.Windows[i/2].add(&r.Windows[i])
		}
	}
	r.Windows = r.Windows[:(len(r.Windows)+1)/2]
	for k := range r.Loads {
		l := &r.Loads[k]
		for i := range l.Looks {
			if i%2 == 0 {
				l.Looks[i/2], l.Sum[i/2] = l.Looks[i], l.Sum[i]
			} else {
				l.Looks[i/2] += l.Looks[i]
				l.Sum[i/2] += l.Sum[i]
			}
		}
		l.Looks, l.Sum = l.Looks[:(len(l.Looks)+1)/2], l.Sum[:(len(l.Sum)+1)/2]
	}
}

func (l *Load) add(o *Load) {
	for i := range o.Looks {
		if i == len(l.Looks) {
			l.Looks, l.Sum = append(l.Looks, 0), append(l.Sum, 0)
		}
		l.Looks[i] += o.Looks[i]
		l.Sum[i] += o.Sum[i]
	}
}
