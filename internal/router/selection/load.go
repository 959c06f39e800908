package selection

import (
	"math"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/router/protocol"
)

// Load is the instance's own load as given in the load header of an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ParseLoad parses the value of the load header: running requests, waiting requests and slots, separated by commas.
func ParseLoad(value string) (Load, bool) {
	var numbers [3]int
	rest := value
	for i := range numbers {
		field, after, found := strings.Cut(rest, ",")
		if found == (i == len(numbers)-1) {
			return Load{}, false
		}
		number, err := strconv.ParseUint(strings.TrimSpace(field), 10, 31)
		if err != nil {
			return Load{}, false
		}
		numbers[i] = int(number)
		rest = after
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// loadMeanTimeConstant is the time constant of the moving average of an instance's load.
const loadMeanTimeConstant = 3 * time.Second

// loadEstimate holds the number of requests that other routers have at an instance, as last reported, and its moving
// average. As the report ages, the estimate moves from it to the average, since a queue seen then need not exist now.
type loadEstimate struct {
	isKnown       bool // a load was reported
	updatedAt     time.Time
	queued        float64
	inFlight      float64
	meanQueued    float64
	meanInFlight  float64
	slots         int
	isFromAnswers bool // answers carry the load header
	kvUsed        int64
}

// update records a new report, from which this router's own requests have been subtracted.
func (l *loadEstimate) update(now time.Time, queued, inFlight float64) {
	queued, inFlight = max(0, queued), max(0, inFlight)
	if !l.isKnown {
		l.isKnown = true
		l.meanQueued, l.meanInFlight = queued, inFlight
	} else {
		share := 1 - decay(now.Sub(l.updatedAt), loadMeanTimeConstant)
		l.meanQueued += share * (queued - l.meanQueued)
		l.meanInFlight += share * (inFlight - l.meanInFlight)
	}
	l.queued, l.inFlight, l.updatedAt = queued, inFlight, now
}

// estimateAt extrapolates the load to a time after the report. The deviation of the queue from its mean decays over the
// mean time to first byte, that of the requests in flight over the mean service time.
func (l *loadEstimate) estimateAt(now time.Time, waitTime, serviceTime time.Duration) (queued, inFlight float64) {
	age := now.Sub(l.updatedAt)
	queued = l.meanQueued + decay(age, waitTime)*(l.queued-l.meanQueued)
	inFlight = l.meanInFlight + decay(age, serviceTime)*(l.inFlight-l.meanInFlight)
	return queued, max(inFlight, queued)
}

// negligibleAfter is the number of time constants after which decay returns 0.
const negligibleAfter = 10

// decay returns the share that remains at an age in an exponential decay with the given time constant.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if age > negligibleAfter*timeConstant {
		return 0
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// applyReport records a polled report. Reports lag, so that this router's own requests are subtracted as of a while
// ago.
func (t *target) applyReport(now time.Time, report *protocol.Report) {
	t.own.advanceLagged(now)
	queued := float64(report.Queued) - t.own.laggedWaiting
	inFlight := float64(report.Queued+report.Running) - t.own.laggedInFlight
	t.load.update(now, queued, inFlight)
	t.load.kvUsed = report.KVUsed
}

// applyLoad records the load that an answer carried. It is current, so that this router's own requests are subtracted
// as they are now.
func (t *target) applyLoad(now time.Time, load Load) {
	queued := float64(load.Waiting - t.own.waiting)
	inFlight := float64(load.Waiting + load.Running - t.own.waiting - t.own.running)
	t.load.update(now, queued, inFlight)
	t.load.slots = load.Slots
	t.load.isFromAnswers = true
	t.health.fullUntil = time.Time{}
}

// slots returns the number of requests that the instance runs at once: as its answers say, or its heartbeats, or the
// configuration; at least 1.
func (t *target) slots() int {
	if t.load.slots > 0 {
		return t.load.slots
	}
	if t.instance.Slots > 0 {
		return t.instance.Slots
	}
	return max(1, t.backend.config.Slots)
}
