// Package result owns what a run of the lab comes to: one object with its counts and times, the series behind its
// plots, and what can be told from many runs together. Memory is bounded whatever a run's length. It must never judge
// (that is the oracles' part), nor call a difference one where chance explains it.
package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency of served requests, from the moment they were due, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Run is one run as the command line prints it.
type Run struct {
	Scenario     string  `json:"scenario"`
	Seed         uint64  `json:"seed"`
	Policy       string  `json:"policy"`
	On           string  `json:"on"` // virtual or sockets
	Digest       string  `json:"digest"`
	Offered      int64   `json:"offered"`
	Served       int64   `json:"served"`
	Refused      int64   `json:"refused"`
	Failed       int64   `json:"failed"`
	Lost         int64   `json:"lost"`
	Duplicated   int64   `json:"duplicated"`
	DrainBreaks  int64   `json:"drain_breaks"`
	ColdBreaks   int64   `json:"cold_breaks"`
	Leaked       int64   `json:"leaked"`
	Goodput      float64 `json:"goodput"` // worth earned over worth asked for
	Latency      Latency `json:"latency_ms"`
	PeakPressure float64 `json:"peak_pressure"` // work sent to a node in any 2 s over what it could do then, its highest
	Speedup      float64 `json:"speedup"`       // simulated time over real time

	// What the balancers do together.
	HottestNode int64   `json:"hottest_node"` // attempts that came to one app node in a second, the most
	MostConns   int64   `json:"most_conns"`   // connections open at one app node, the most
	MostCalls   int64   `json:"most_calls"`   // calls to discovery in a second, the most
	AfterAim    int64   `json:"after_aim"`    // requests served after their aim
	ColdShare   float64 `json:"cold_share"`   // work sent to a cold node by balancers that knew of its start, over what the rule bears, its highest

	Void bool   `json:"void"`
	Why  string `json:"why,omitempty"` // it is void
}

// Window is what became of the requests that were due in one stretch of time, and what was seen in it.
type Window struct {
	Offered int64   `json:"offered"`
	Served  int64   `json:"served"`
	Refused int64   `json:"refused"`
	Failed  int64   `json:"failed"`
	Lost    int64   `json:"lost"`
	Asked   float64 `json:"asked"`  // worth
	Earned  float64 `json:"earned"` // worth
	Looks   int64   `json:"looks"`  // at a balancer's choices
	K       float64 `json:"k"`      // sum over the looks
	Bursts  int64   `json:"bursts"` // looks that found a balancer in the state of a burst
}

// Goodput of what was due in the window; false where nothing was.
func (w *Window) Goodput() (float64, bool) { return w.Earned / w.Asked, w.Asked > 0 }

func (w *Window) add(o *Window) {
	w.Offered += o.Offered
	w.Served += o.Served
	w.Refused += o.Refused
	w.Failed += o.Failed
	w.Lost += o.Lost
	w.Asked += o.Asked
	w.Earned += o.Earned
	w.Looks += o.Looks
	w.K += o.K
	w.Bursts += o.Bursts
}

// Fault is a stretch of time in which something was made to go wrong.
type Fault struct {
	What   string  `json:"what"`
	Target string  `json:"target"`
	From   float64 `json:"from_s"`
	To     float64 `json:"to_s"`
}

// Load is the load of one app node, or of some neighbours in a wide fleet, over time.
type Load struct {
	Nodes string    `json:"nodes"`
	Looks []int64   `json:"looks"`
	Sum   []float64 `json:"sum"`
}

// Mean load in a window; false where nobody looked.
func (l *Load) Mean(window int) (float64, bool) {
	if window >= len(l.Looks) || l.Looks[window] == 0 {
		return 0, false
	}
	return l.Sum[window] / float64(l.Looks[window]), true
}

// Record is a run with the series behind its plots.
type Record struct {
	Run
	Runs    int      `json:"runs"` // that were merged into it
	Width   float64  `json:"window_s"`
	Windows []Window `json:"windows"`
	Loads   []Load   `json:"loads"`
	Faults  []Fault  `json:"faults"`
	Times   Times    `json:"times"`
}

// Times is a histogram of latencies in microseconds, written in HdrHistogram's own form (V2, compressed, base64).
type Times struct{ *hdrhistogram.Histogram }

// The histogram reaches from a microsecond to an hour and keeps three digits: finer than any clock here, longer than
// any patience, and small enough to be kept by the thousand.
func newTimes() Times { return Times{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

func (t Times) record(d time.Duration) {
	t.RecordValue(min(max(1, d.Microseconds()), time.Hour.Microseconds()))
}

// Latency gives the quantiles.
func (t Times) Latency() (l Latency) {
	if t.Histogram == nil || t.TotalCount() == 0 {
		return l
	}
	at := func(percentile float64) float64 { return float64(t.ValueAtPercentile(percentile)) / 1000 }
	return Latency{at(50), at(90), at(99), at(99.9), float64(t.Max()) / 1000}
}

// MarshalText and UnmarshalText make a histogram a string of JSON.
func (t Times) MarshalText() ([]byte, error) {
	if t.Histogram == nil {
		t = newTimes()
	}
	return t.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
}

func (t *Times) UnmarshalText(text []byte) (err error) {
	t.Histogram, err = hdrhistogram.Decode(text)
	return err
}
