package retrybudget

import "time"

const (
	// headroom is the number of retries that a router is lent beyond those that it used or wanted.
	headroom = 2
	// maxFreeShare is the maximum fraction of the free amount by which the loan of a router grows at once.
	maxFreeShare = 0.5
	// sweepInterval is the time between two checks for routers that no longer report.
	sweepInterval = time.Second
)

// Coordinator lends lentShare of the slack to the routers that need it. It is not safe for concurrent use.
type Coordinator struct {
	rule          Rule
	term          uint64
	startedAt     time.Duration
	processes     map[processKey]*process
	totalReserved map[string]float64
	lastSweepAt   time.Duration
}

// processKey identifies a process of a router. What an earlier process of the same router used still counts, in
// addition to what the new one uses.
type processKey struct {
	router      string
	incarnation uint64
}

// process is what the coordinator knows about a process of a router.
type process struct {
	sequence   uint64
	reportedAt time.Duration
	// reserved is the maximum number of retries on loan that the process may have used or may use, by service.
	reserved map[string]float64
}

// NewCoordinator returns a coordinator that has just taken over the role with the given term.
func NewCoordinator(now time.Duration, rule Rule, term uint64) *Coordinator {
	return &Coordinator{
		rule:          rule,
		term:          term,
		startedAt:     now,
		processes:     map[processKey]*process{},
		totalReserved: map[string]float64{},
	}
}

// HandleReport processes a router's report and returns the router's loans. The answer is empty if the report is
// repeated or out of order, or if the router has already applied an answer of a later term.
func (c *Coordinator) HandleReport(now time.Duration, router string, report Report) Answer {
	answer := Answer{Term: c.term}
	c.removeExpired(now)
	if report.Term > c.term {
		return answer
	}
	p := c.process(processKey{router: router, incarnation: report.Incarnation})
	if report.Sequence <= p.sequence {
		return answer
	}
	p.sequence = report.Sequence
	p.reportedAt = now
	answer.Sequence = report.Sequence
	reserved := map[string]float64{}
	for _, usage := range report.Services {
		lent := c.lend(now, p, usage)
		answer.Services = append(answer.Services, ServiceShare{Service: usage.Service, Lent: lent})
		reserved[usage.Service] = max(usage.Used, usage.Lent, lent)
	}
	c.reserve(p, reserved)
	return answer
}

// lend returns the number of retries that a router has on loan from now on. A coordinator that has just taken over the
// role doesn't increase loans: routers that haven't reported to it yet may still use loans from its predecessor.
func (c *Coordinator) lend(now time.Duration, p *process, usage ServiceUse) float64 {
	wanted := usage.Used + usage.Wanted
	if wanted > 0 {
		wanted += headroom
	}
	reservedByOthers := c.totalReserved[usage.Service] - p.reserved[usage.Service]
	free := max(0, lentShare*c.rule.Slack-reservedByOthers)
	held := max(usage.Used, usage.Lent)
	if now-c.startedAt < c.retention() {
		return min(wanted, held, free)
	}
	increase := maxFreeShare * max(0, free-held)
	return min(wanted, held+increase, free)
}

// retention is how long the loan of a router counts after its last report.
func (c *Coordinator) retention() time.Duration { return loanTimeout + c.rule.Window }

func (c *Coordinator) process(key processKey) *process {
	p := c.processes[key]
	if p == nil {
		p = &process{reserved: map[string]float64{}}
		c.processes[key] = p
	}
	return p
}

func (c *Coordinator) reserve(p *process, reserved map[string]float64) {
	for service, amount := range p.reserved {
		c.totalReserved[service] -= amount
	}
	for service, amount := range reserved {
		c.totalReserved[service] += amount
	}
	p.reserved = reserved
}

func (c *Coordinator) removeExpired(now time.Duration) {
	if now < c.lastSweepAt+sweepInterval {
		return
	}
	c.lastSweepAt = now
	for key, p := range c.processes {
		if now-p.reportedAt >= c.retention() {
			c.reserve(p, nil)
			delete(c.processes, key)
		}
	}
}
