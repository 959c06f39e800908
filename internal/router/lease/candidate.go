package lease

import (
	"slices"
	"time"
)

const (
	// renewalsPerDuration is how often a holder renews within one duration.
	renewalsPerDuration = 3
	// roundTimeoutFraction is the fraction of the duration after which a round without majorities is abandoned.
	roundTimeoutFraction = 0.25
	// backoffFraction is the fraction of the duration within which a candidate starts another round after a failed one.
	backoffFraction = 0.3
	// earlyRetryFraction is the fraction of the duration within which a candidate starts a round after another one has
	// released its grants.
	earlyRetryFraction = 0.1
	// firstRoundRange is the range of a candidate's first round number. The number is random, so that a late response to an
	// earlier process of the same name is not mistaken for one to this process.
	firstRoundRange = 1 << 48
)

// Message is a request to the grantor named To.
type Message struct {
	To      string
	Request Request
}

// Candidate competes for the lease, and renews it while it holds it.
type Candidate struct {
	name        string
	config      Config
	jitter      func() float64
	sets        grantorSets
	round       round
	lastNumber  uint64 // of rounds and probes
	highestTerm Term   // of all terms seen
	term        Term   // of the lease held last
	heldUntil   time.Duration
	nextRoundAt time.Duration
	// earliestRoundAt is the earliest time of a round without a proof, one duration after the start.
	earliestRoundAt time.Duration
	pendingReleases []Message

	proofAllowed             bool
	onlyCurrentGrantorsKnown bool
	prober                   prober
}

// round is one attempt to get grants from majorities of the grantor sets.
type round struct {
	number  uint64
	term    Term
	sentAt  time.Duration
	open    bool
	granted map[string]bool
	refused map[string]bool
	sets    grantorSets
	// abandoned is true once the round's grants were released. Grants that arrive later are released as well.
	abandoned bool
}

// cannotWin reports whether so many grantors have refused that the others do not form majorities.
func (r *round) cannotWin() bool {
	mayGrant := map[string]bool{}
	for _, grantor := range r.sets.members() {
		mayGrant[grantor] = !r.refused[grantor]
	}
	return !r.sets.hasMajorities(mayGrant)
}

// NewCandidate returns a candidate that has just started. Without a proof that nobody holds the lease, it waits for one duration
// before its first round, by when no lease depends on grantor sets that it does not know of. Jitter returns numbers in [0, 1).
func NewCandidate(now time.Duration, name string, config Config, jitter func() float64) *Candidate {
	firstRound := uint64(jitter() * firstRoundRange)
	return &Candidate{
		name:            name,
		config:          config,
		jitter:          jitter,
		lastNumber:      firstRound,
		nextRoundAt:     now + config.Duration,
		earliestRoundAt: now + config.Duration,
		prober:          prober{deadline: now + config.Duration, incarnations: map[string]uint64{}},
	}
}

// SetGrantors replaces the grantor sets in force. During a joint change there are two, otherwise previous is empty.
func (c *Candidate) SetGrantors(now time.Duration, voters, previous []string) {
	c.sets = c.sets.replace(now, c.config.Duration, sortedUnique(voters), sortedUnique(previous))
}

// Held returns the term of the lease, and whether the candidate holds it now.
func (c *Candidate) Held(now time.Duration) (Term, bool) {
	if now >= c.heldUntil {
		return 0, false
	}
	return c.term, true
}

// ObserveTerm notes a term that is in use elsewhere. The candidate gives up a lease with a lower term, since processes that
// know the higher one would not follow it.
func (c *Candidate) ObserveTerm(now time.Duration, term Term) {
	c.highestTerm = max(c.highestTerm, term)
	if held, ok := c.Held(now); ok && held < term {
		c.Resign(now)
	}
}

// Resign gives up the lease at once, if the candidate holds it.
func (c *Candidate) Resign(now time.Duration) {
	if _, held := c.Held(now); !held {
		return
	}
	c.heldUntil = now
	c.round.open = false
	c.round.abandoned = true
	c.queueReleases(c.sets.activeAt(now).members(), c.term)
	c.nextRoundAt = now + c.backoff()
}

// RetrySoon lets a candidate that waits for another's lease to expire start a round soon, because the other has sent the given
// release to the grantor of this process.
func (c *Candidate) RetrySoon(now time.Duration, release Request) {
	if _, held := c.Held(now); held || c.round.open || release.Holder == c.name {
		return
	}
	c.nextRoundAt = min(c.nextRoundAt, max(c.earliestRoundAt, now+c.earlyRetryDelay(now)))
}

// earlyRetryDelay returns the time until the round that RetrySoon schedules. Candidates take turns in the order of their names,
// since two concurrent ones would each get only part of the grants. The jitter covers half of a turn, so that turns stay apart.
func (c *Candidate) earlyRetryDelay(now time.Duration) time.Duration {
	members := c.sets.activeAt(now).members()
	turn := float64(max(0, slices.Index(members, c.name))) + c.jitter()/2
	return time.Duration(float64(c.config.Duration) * earlyRetryFraction * turn / float64(max(1, len(members))))
}

// TakeReleases returns the pending messages that release grants, and forgets them. They are to be sent at once.
func (c *Candidate) TakeReleases() []Message {
	messages := c.pendingReleases
	c.pendingReleases = nil
	return messages
}

// NextAt returns the time at which Tick must be called next.
func (c *Candidate) NextAt(now time.Duration) time.Duration {
	if len(c.pendingReleases) > 0 {
		return now
	}
	next := c.nextRoundAt
	if c.round.open {
		next = min(next, c.round.sentAt+c.roundTimeout())
	}
	if c.wantsProof(now) {
		next = min(next, c.prober.nextProbeAt)
	}
	return next
}

// Tick returns the messages that are due now. The seed is a lower bound for the term of a new lease.
func (c *Candidate) Tick(now time.Duration, seed Term) []Message {
	c.closeOverdueRound(now)
	messages := c.TakeReleases()
	if now < c.nextRoundAt {
		return append(messages, c.dueProbes(now)...)
	}
	term, held := c.Held(now)
	if !held {
		term = max(c.highestTerm+1, seed)
	}
	return append(messages, c.startRound(now, term)...)
}

// Receive handles a grantor's response.
func (c *Candidate) Receive(now time.Duration, from string, response Response) {
	c.highestTerm = max(c.highestTerm, response.HighestTerm)
	if response.Probe {
		c.receiveProbeResponse(now, from, response)
		return
	}
	if response.Round != c.round.number {
		return
	}
	if c.round.abandoned && response.Granted {
		c.queueReleases([]string{from}, c.round.term)
	}
	if !c.round.open {
		return
	}
	if !response.Granted {
		c.receiveRefusal(now, from, response)
		return
	}
	c.round.granted[from] = true
	if c.round.sets.hasMajorities(c.round.granted) {
		c.extendLease(now)
	}
}

// startRound returns the requests of a new round for the given term.
func (c *Candidate) startRound(now time.Duration, term Term) []Message {
	sets := c.sets.activeAt(now)
	c.lastNumber++
	c.highestTerm = max(c.highestTerm, term)
	c.round = round{number: c.lastNumber, term: term, sentAt: now, open: true, granted: map[string]bool{}, refused: map[string]bool{}, sets: sets}
	c.nextRoundAt = now + c.config.Duration/renewalsPerDuration
	request := Request{Holder: c.name, Term: term, Round: c.lastNumber, Sets: sets.memberLists()}
	return c.prober.attachProof(messagesTo(sets.members(), request))
}

// extendLease acquires or extends the lease. Its duration counts from when the round's requests were sent.
func (c *Candidate) extendLease(now time.Duration) {
	c.round.open = false
	until := c.round.sentAt + c.config.holdDuration()
	if now >= until {
		return
	}
	c.term = c.round.term
	c.heldUntil = until
	c.prober.deadline = now
	c.nextRoundAt = c.round.sentAt + c.config.Duration/renewalsPerDuration
}

// receiveRefusal delays the next round while another holder has the grantor's grant. A round that can no longer win ends at once,
// since its grants would only block other candidates.
func (c *Candidate) receiveRefusal(now time.Duration, from string, response Response) {
	c.round.refused[from] = true
	wait := min(response.Remaining, c.config.Duration)
	if response.InGracePeriod {
		c.prober.deadline = max(c.prober.deadline, now+wait)
	}
	if _, held := c.Held(now); held {
		return
	}
	c.nextRoundAt = max(c.nextRoundAt, now+min(wait, c.config.Duration/renewalsPerDuration)+c.backoff())
	if c.round.cannotWin() {
		c.abandonRound()
	}
}

// closeOverdueRound ends a round that has timed out. A holder starts the next one at once, and releases nothing, since its lease
// depends on the grants.
func (c *Candidate) closeOverdueRound(now time.Duration) {
	if !c.round.open || now < c.round.sentAt+c.roundTimeout() {
		return
	}
	if _, held := c.Held(now); held {
		c.round.open = false
		c.nextRoundAt = min(c.nextRoundAt, now)
		return
	}
	c.abandonRound()
	c.nextRoundAt = max(c.nextRoundAt, now+c.backoff())
}

// abandonRound ends a failed round and releases its grants, so that another candidate need not wait until they expire.
func (c *Candidate) abandonRound() {
	c.round.open = false
	c.round.abandoned = true
	granted := make([]string, 0, len(c.round.granted))
	for grantor := range c.round.granted {
		granted = append(granted, grantor)
	}
	slices.Sort(granted)
	c.queueReleases(granted, c.round.term)
}

// queueReleases adds releases of the grants for a term to the pending messages.
func (c *Candidate) queueReleases(grantors []string, term Term) {
	request := Request{Holder: c.name, Term: term, Release: true}
	c.pendingReleases = append(c.pendingReleases, messagesTo(grantors, request)...)
}

// backoff returns a random delay before another round.
func (c *Candidate) backoff() time.Duration {
	return time.Duration(float64(c.config.Duration) * backoffFraction * c.jitter())
}

func (c *Candidate) roundTimeout() time.Duration {
	return time.Duration(float64(c.config.Duration) * roundTimeoutFraction)
}

func messagesTo(grantors []string, request Request) []Message {
	messages := make([]Message, 0, len(grantors))
	for _, grantor := range grantors {
		messages = append(messages, Message{To: grantor, Request: request})
	}
	return messages
}
