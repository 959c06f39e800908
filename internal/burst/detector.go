// Package burst detects bursts in a stream of arrivals by the index of dispersion of the intervals between
// them. It reads no clock, starts no goroutine and does no I/O: the caller passes the time.
package burst

import "time"

// Detector detects bursts. It is not safe for concurrent use.
type Detector struct {
	config    Config
	times     []time.Duration // ring buffer of the last 2*Samples+1 arrivals
	arrivals  int             // recorded so far
	intervals []float64       // scratch space, in seconds
	active    bool            // result of the last evaluation
	trippedAt time.Duration
}

// New returns a detector without arrivals.
func New(config Config) (*Detector, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	return &Detector{
		config:    config,
		times:     make([]time.Duration, 2*config.Samples+1),
		intervals: make([]float64, 2*config.Samples),
	}, nil
}

// Arrive records an arrival. Times must not decrease from call to call.
func (d *Detector) Arrive(now time.Duration) {
	d.times[d.arrivals%len(d.times)] = now
	d.arrivals++
}

// Arrivals returns the number of arrivals recorded.
func (d *Detector) Arrivals() int { return d.arrivals }

// Evaluate reports whether a burst is in progress. If the index of the latest arrivals is above the trip
// level, a rising rate starts a burst and a falling rate ends it. Otherwise the state remains, a burst for at
// most Hold.
func (d *Detector) Evaluate(now time.Duration) bool {
	sample := d.sample()
	if len(sample) < d.config.Samples/2 {
		return d.active
	}
	if dispersion(sample, d.config.Lags) > d.config.TripLevel {
		d.active = rising(sample)
		d.trippedAt = now
	} else if now-d.trippedAt > d.config.Hold {
		d.active = false
	}
	return d.active
}

// sample returns the intervals to be evaluated, oldest first.
func (d *Detector) sample() []float64 {
	size := max(0, min(d.config.Samples, d.arrivals-1))
	sample := d.latest(size)
	if total(sample) < d.config.MinSpan.Seconds() && d.arrivals > 2*d.config.Samples {
		return d.latest(2 * d.config.Samples)
	}
	return sample
}

// latest returns the last size intervals, oldest first.
func (d *Detector) latest(size int) []float64 {
	latest := d.intervals[:size]
	for i := range latest {
		at := d.arrivals - size + i
		latest[i] = (d.time(at) - d.time(at-1)).Seconds()
	}
	return latest
}

// time returns the time of an arrival by its number, counted from 0.
func (d *Detector) time(arrival int) time.Duration {
	return d.times[arrival%len(d.times)]
}

// rising reports whether the rate rises: the newer half of the intervals is shorter in sum than the older
// half.
func rising(intervals []float64) bool {
	half := len(intervals) / 2
	return total(intervals[half:]) < total(intervals[:half])
}
