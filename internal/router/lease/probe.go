package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// probesPerDuration is how often a candidate probes within one duration.
	probesPerDuration = 20
	// confirmationTurnFraction is the fraction of the duration by which a candidate's second probe is delayed for each
	// candidate before it in the set.
	confirmationTurnFraction = 0.05
)

// prober collects a proof that no lease depends on grants which grantors may have forgotten.
//
// A grantor that has just started refuses all candidates, since it may have made grants before its start. A grant is void
// once the candidate that received it reports that it is idle, with no lease and no open round: it counts no grant of an
// earlier round. So if every candidate reports this after a grantor has started, every grant that the grantor has
// forgotten is void for good. The prober ensures this order in two steps. The first probe learns the incarnations of the
// grantors. The second is sent only once all of them are known. If all candidates then report that they are idle, and the
// incarnations are still the same, each grantor had started before any of these responses was given.
//
// The proof is sent to each grantor with the incarnation that it is about, so that a grantor which has restarted since
// does not accept it. A proof does not expire, so late and repeated messages do no harm.
type prober struct {
	// deadline is when the prober gives up; by then requests succeed without a proof.
	deadline    time.Duration
	nextProbeAt time.Duration
	// incarnations holds the last known incarnation of each grantor.
	incarnations map[string]uint64
	probe        probe
	// proof holds the incarnations of the grantors whose forgotten grants are void; nil without a proof.
	proof map[string]uint64
}

// probe is one probe of all members of the grantor sets, and the responses to it.
type probe struct {
	number uint64
	// knownIncarnations are the incarnations that were known when the probe was sent.
	knownIncarnations map[string]uint64
	// idle says for each member that responded whether it reported an idle candidate and still has its known incarnation.
	idle map[string]bool
	sets grantorSets
	// confirming marks the second step.
	confirming bool
}

// AllowProof sets whether the candidate may use proofs. They are sound only if the grantor sets are the first ever, or have
// been in force for so long that no lease depends on earlier ones: only then is every process that may hold a lease a
// member of them.
func (c *Candidate) AllowProof(allowed bool) { c.proofAllowed = allowed }

// SetOnlyCurrentGrantorsKnown sets whether this process knows of no grantor sets other than those in force, after
// reading what its disk says of them. A majority of each set's grantors knows of the next one. So at least one member
// of an outdated set does not report that it is idle, unless more members have lost their disks than the system
// tolerates.
func (c *Candidate) SetOnlyCurrentGrantorsKnown(known bool) { c.onlyCurrentGrantorsKnown = known }

// Idle reports whether the candidate counts no grant made until now, and knows the same grantor sets as the sender of the
// probe. Grants to the sender itself block nobody. The value set by AllowProof is not used here: it decides whose responses
// the sender needs, and a candidate whose disk was lost may not know it.
func (c *Candidate) Idle(now time.Duration, request Request) bool {
	if !c.onlyCurrentGrantorsKnown || !slices.EqualFunc(c.sets.activeAt(now).memberLists(), request.Sets, slices.Equal) {
		return false
	}
	_, held := c.Held(now)
	return request.Holder == c.name || !held && !c.round.open
}

// wantsProof reports whether the candidate should collect a proof.
func (c *Candidate) wantsProof(now time.Duration) bool {
	return c.proofAllowed && now < c.prober.deadline && len(c.sets) > 0
}

// dueProbes returns the messages of a new probe, if one is due.
func (c *Candidate) dueProbes(now time.Duration) []Message {
	if !c.wantsProof(now) || now < c.prober.nextProbeAt {
		return nil
	}
	sets := c.sets.activeAt(now)
	members := sets.members()
	c.lastNumber++
	c.prober.probe = probe{
		number:            c.lastNumber,
		knownIncarnations: maps.Clone(c.prober.incarnations),
		idle:              map[string]bool{},
		sets:              sets,
		confirming:        c.prober.knowsIncarnations(members),
	}
	c.prober.nextProbeAt = now + c.config.Duration/probesPerDuration
	request := Request{Holder: c.name, Round: c.lastNumber, Probe: true, Sets: sets.memberLists()}
	return messagesTo(members, request)
}

// receiveProbeResponse handles the response to a probe. It starts a round as soon as the proof is complete.
func (c *Candidate) receiveProbeResponse(now time.Duration, from string, response Response) {
	p := &c.prober
	if p.probe.number != response.Round || !c.wantsProof(now) {
		return
	}
	members := p.probe.sets.members()
	p.incarnations[from] = response.Incarnation
	p.probe.idle[from] = response.Idle && p.probe.knownIncarnations[from] == response.Incarnation
	if !p.probe.confirming {
		c.scheduleConfirmation(now, members)
		return
	}
	for _, member := range members {
		if !p.probe.idle[member] {
			return
		}
	}
	p.proof = maps.Clone(p.probe.knownIncarnations)
	p.probe = probe{}
	c.nextRoundAt = now
}

// scheduleConfirmation schedules the second step once all incarnations are known. Candidates take turns in the order of
// their names, since concurrent ones would each get only part of the grants.
func (c *Candidate) scheduleConfirmation(now time.Duration, members []string) {
	if !c.prober.knowsIncarnations(members) {
		return
	}
	turn := max(0, slices.Index(members, c.name))
	c.prober.nextProbeAt = now + time.Duration(float64(turn)*confirmationTurnFraction*float64(c.config.Duration))
	c.prober.probe = probe{}
}

// attachProof adds the proof to the requests to the grantors that it is about.
func (p *prober) attachProof(messages []Message) []Message {
	for index := range messages {
		messages[index].Request.Proof = p.proof[messages[index].To]
	}
	return messages
}

func (p *prober) knowsIncarnations(members []string) bool {
	return !slices.ContainsFunc(members, func(member string) bool { return p.incarnations[member] == 0 })
}
