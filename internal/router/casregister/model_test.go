package casregister

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strconv"
)

// plan lists the proposals that an actor makes one after another. A preempted proposal is retried under the next ballot
// until no ballot is left.
type plan struct {
	name    string
	ballots []uint64
	changes []Change
	// isRecovery says that the actor starts once a recovery is needed, and then knows which acceptors have ended.
	isRecovery bool
	// rewrites sets Proposal.Rewrites.
	rewrites bool
}

// rewritePlan makes at most two rewrites of the unchanged base, under the given ballots.
func rewritePlan(name string, ballots ...uint64) plan {
	keep := func(base Value) (Value, error) { return base, nil }
	return plan{name: name, ballots: ballots, changes: []Change{keep, keep}, rewrites: true}
}

func (plan plan) asRecovery() plan {
	plan.isRecovery = true
	return plan
}

func appendPlan(name string, number byte, ballots ...uint64) plan {
	return plan{name: name, ballots: ballots, changes: []Change{func(base Value) (Value, error) {
		if slices.Contains(base.Payload, number) {
			return base, nil
		}
		return Value{Set: base.Set, Payload: append(slices.Clone(base.Payload), number)}, nil
	}}}
}

func refusePlan(name string, ballots ...uint64) plan {
	return plan{name: name, ballots: ballots, changes: []Change{refuse}}
}

func setChangePlan(name, voters string, ballots ...uint64) plan {
	enter := func(base Value) (Value, error) {
		if base.Set.IsJoint() {
			return base, errRefused
		}
		return setVoters(voters)(base)
	}
	leave := func(base Value) (Value, error) {
		if !base.Set.IsJoint() {
			return base, errRefused
		}
		return leaveJoint(base)
	}
	return plan{name: name, ballots: ballots, changes: []Change{enter, leave}}
}

// modelState is one state of a model: the acceptors, the proposers and the requests in flight.
type modelState struct {
	// interchangeable is how many acceptors, from the first on, have the same role, so that swapping them gives an
	// equivalent state.
	interchangeable int
	// first is the initial set.
	first       Set
	acceptors   []*AcceptorMachine
	actors      []*actor
	requests    []inFlightRequest
	crashesLeft int
	// endingsLeft is how many more acceptors may end permanently; ended is the set of those that have.
	endingsLeft    int
	ended          EndedAcceptors
	acceptedValues map[Ballot]*acceptedValue
	reportedChosen []State
}

// actor executes a plan.
type actor struct {
	plan     plan
	proposer *Proposer // nil when the plan is done
	ballot   int
	change   int
	known    *State
	// ended is the set of acceptors that the actor knows to have ended.
	ended EndedAcceptors
}

// withEndings lets the given number of acceptors end permanently.
func (model *modelState) withEndings(endings int) *modelState {
	model.endingsLeft = endings
	return model
}

// inFlightRequest is a request that was sent and not yet delivered. One that is never delivered is lost.
type inFlightRequest struct {
	actor   int
	request Request
	key     string
}

func newModelState(names, voters string, interchangeable, crashes int, plans ...plan) *modelState {
	model := &modelState{
		first:           plainSet(voters),
		interchangeable: interchangeable,
		crashesLeft:     crashes,
		ended:           EndedAcceptors{},
		acceptedValues:  make(map[Ballot]*acceptedValue),
	}
	for _, acceptor := range acceptorsNamed(names) {
		model.acceptors = append(model.acceptors, NewAcceptorMachine(Record{ID: acceptor.ID}))
	}
	for index, plan := range plans {
		model.actors = append(model.actors, &actor{plan: plan, ballot: -1, ended: EndedAcceptors{}})
		if !plan.isRecovery {
			model.propose(index, plainSet(voters))
		}
	}
	return model
}

// propose starts the actor's next proposal, if it has a ballot and a change left.
func (model *modelState) propose(index int, start Set) {
	actor := model.actors[index]
	actor.ballot++
	actor.proposer = nil
	if actor.ballot == len(actor.plan.ballots) || actor.change == len(actor.plan.changes) {
		return
	}
	if actor.known != nil {
		start = actor.known.Value.Set
	}
	proposal := Proposal{
		Ballot: Ballot{Counter: actor.plan.ballots[actor.ballot], Proposer: actor.plan.name},
		Start:  start,
		Known:  actor.known,
		Change: actor.plan.changes[actor.change],

		Rewrites: actor.plan.rewrites,
	}
	if start.NeedsRecovery(actor.ended) {
		proposal.Ballot = proposal.Ballot.NextRecovery(actor.plan.name)
		proposal.Ended = maps.Clone(actor.ended)
	}
	actor.proposer = NewProposer(proposal)
	model.send(index)
}

func (model *modelState) send(index int) {
	for _, outgoing := range model.actors[index].proposer.Outbox() {
		request := outgoing.Request
		key := fmt.Sprint(index, ">", request.Kind, request.Ballot)
		model.requests = append(model.requests, inFlightRequest{actor: index, request: request, key: key})
	}
}

// successors returns the states one step later. A step delivers an in-flight request, and its reply reaches the
// proposer immediately or never; or an acceptor ends, or a recovery starts.
//
// This also covers delayed replies: a proposer's only reaction to a reply is to send requests, which may be delayed
// themselves, and a reply that arrives after the proposer has continued without it has no effect. A crash that loses
// unsynced changes is equivalent to a lost request, and a crash after the sync to a lost reply, as long as the reply
// waits for the sync. If it does not, the acceptor may crash between reply and sync, at most crashesLeft times.
func (model *modelState) successors() []*modelState {
	var successors []*modelState
	for _, machine := range model.acceptors {
		if id := machine.Durable().ID; model.canEnd(id) {
			successors = append(successors, model.endAcceptor(id))
		}
	}
	for index, actor := range model.actors {
		if actor.plan.isRecovery && actor.ballot < 0 && model.first.NeedsRecovery(model.ended) {
			successors = append(successors, model.beginRecovery(index))
		}
	}
	for index := range model.requests {
		if model.ended[model.requests[index].request.To] {
			successors = append(successors, model.deliverEndNotice(index)...)
			continue
		}
		successors = append(successors, model.deliverRequest(index, true, true), model.deliverRequest(index, true, false))
		if unsynced := model.deliverRequest(index, false, true); unsynced != nil {
			successors = append(successors, unsynced)
		}
	}
	return successors
}

// canEnd reports whether an acceptor may end. At least one remaining acceptor must keep each chosen state or a newer one:
// nothing could restore a state that only ended acceptors had accepted.
func (model *modelState) canEnd(id AcceptorID) bool {
	if model.endingsLeft == 0 || model.ended[id] {
		return false
	}
	for _, state := range model.acceptanceRecord().chosenStates() {
		isKept := slices.ContainsFunc(model.acceptors, func(machine *AcceptorMachine) bool {
			record := machine.Durable()
			return record.ID != id && !model.ended[record.ID] && !record.Accepted.Ballot.Less(state.Ballot)
		})
		if !isKept {
			return false
		}
	}
	return len(model.ended)+1 < len(model.acceptors)
}

func (model *modelState) endAcceptor(id AcceptorID) *modelState {
	next := model.clone(len(model.requests))
	next.endingsLeft--
	next.ended[id] = true
	return next
}

func (model *modelState) beginRecovery(index int) *modelState {
	next := model.clone(len(model.requests))
	next.actors[index].ended = maps.Clone(model.ended)
	next.propose(index, model.first)
	return next
}

// deliverEndNotice returns the states after the sender of a request learns that the acceptor has ended: it continues to
// wait, or starts a recovery if it needs one.
func (model *modelState) deliverEndNotice(index int) []*modelState {
	waiting := model.withEndNotice(index)
	successors := []*modelState{waiting}
	actorIndex := model.requests[index].actor
	actor := waiting.actors[actorIndex]
	if actor.proposer == nil || !actor.proposer.proposal.Start.NeedsRecovery(actor.ended) {
		return successors
	}
	recovering := model.withEndNotice(index)
	recovering.propose(actorIndex, actor.proposer.proposal.Start)
	return append(successors, recovering)
}

func (model *modelState) withEndNotice(index int) *modelState {
	next := model.clone(index)
	inFlight := model.requests[index]
	next.actors[inFlight.actor].ended[inFlight.request.To] = true
	next.deliverReply(inFlight.actor, Reply{Verdict: WrongAcceptor, From: inFlight.request.To, IsVolatile: true})
	return next
}

// deliverRequest delivers a request to its acceptor, which syncs the change or loses it in a crash; its reply is
// delivered or lost. It returns nil if the acceptor can't have replied before the crash.
func (model *modelState) deliverRequest(index int, syncs, replies bool) *modelState {
	next := model.clone(index)
	inFlight := model.requests[index]
	machine := next.acceptorOf(inFlight.request.To)
	output, err := machine.Step(inFlight.request)
	if err != nil {
		panic(err)
	}
	if !syncs && (output.NeedsSync || !machine.dirty || model.crashesLeft == 0) {
		return nil
	}
	if syncs {
		machine.Synced()
		if output.Reply.Verdict == Accepted {
			next.recordAccepted(inFlight.request.To, State{Ballot: inFlight.request.Ballot, Value: *inFlight.request.Value})
		}
	} else {
		machine.Discard()
		next.crashesLeft--
	}
	if replies {
		next.deliverReply(inFlight.actor, output.Reply)
	}
	return next
}

func (model *modelState) deliverReply(index int, reply Reply) {
	actor := model.actors[index]
	if actor.proposer == nil {
		return
	}
	actor.proposer.Receive(reply)
	model.send(index)
	result := actor.proposer.Result()
	if result.Outcome == Pending {
		return
	}
	if result.Outcome != Preempted {
		model.reportedChosen = append(slices.Clone(model.reportedChosen), result.State)
		if !result.State.Ballot.IsZero() {
			actor.known = &result.State
		}
	}
	if result.Outcome == Chosen {
		actor.change++
	}
	if result.Outcome == Refused {
		actor.change = len(actor.plan.changes)
	}
	model.propose(index, actor.proposer.proposal.Start)
}

func (model *modelState) acceptorOf(id AcceptorID) *AcceptorMachine {
	index := slices.IndexFunc(model.acceptors, func(machine *AcceptorMachine) bool { return machine.Durable().ID == id })
	return model.acceptors[index]
}

func (model *modelState) recordAccepted(id AcceptorID, state State) {
	merged := &acceptedValue{value: state.Value, by: map[AcceptorID]bool{id: true}}
	if before := model.acceptedValues[state.Ballot]; before != nil {
		maps.Copy(merged.by, before.by)
	}
	model.acceptedValues[state.Ballot] = merged
}

// clone copies the state except for the request with the given index; with the number of requests as index, it copies
// all.
func (model *modelState) clone(without int) *modelState {
	copied := &modelState{
		first:           model.first,
		interchangeable: model.interchangeable,
		crashesLeft:     model.crashesLeft,
		acceptedValues:  maps.Clone(model.acceptedValues),
		reportedChosen:  model.reportedChosen,
	}
	copied.endingsLeft = model.endingsLeft
	copied.ended = maps.Clone(model.ended)
	copied.requests = slices.Clone(model.requests)
	if without < len(model.requests) {
		copied.requests = slices.Delete(copied.requests, without, without+1)
	}
	for _, machine := range model.acceptors {
		clone := *machine
		copied.acceptors = append(copied.acceptors, &clone)
	}
	for _, original := range model.actors {
		clone := *original
		if clone.proposer != nil {
			clone.proposer = cloneProposer(clone.proposer)
		}
		clone.ended = maps.Clone(original.ended)
		copied.actors = append(copied.actors, &clone)
	}
	return copied
}

func cloneProposer(original *Proposer) *Proposer {
	clone := *original
	clone.collector.queried = maps.Clone(original.collector.queried)
	clone.collector.acceptedBallots = maps.Clone(original.collector.acceptedBallots)
	clone.rejected = maps.Clone(original.rejected)
	clone.accepted = maps.Clone(original.accepted)
	return &clone
}

// fingerprint returns a hash that is equal for equivalent states. All data about one acceptor form one key, and the
// keys of interchangeable acceptors are sorted, so that states which differ only by swapping these acceptors are equal.
func (model *modelState) fingerprint(seed maphash.Seed) uint64 {
	var hash maphash.Hash
	hash.SetSeed(seed)
	_, _ = hash.Write([]byte{byte(model.crashesLeft), byte(model.endingsLeft)})
	for _, actor := range model.actors {
		_, _ = hash.Write(actor.appendOwnState(nil))
	}
	acceptorKeys := make([]string, 0, len(model.acceptors))
	for _, machine := range model.acceptors {
		acceptorKeys = append(acceptorKeys, string(model.appendAcceptor(nil, machine)))
	}
	slices.Sort(acceptorKeys[:model.interchangeable])
	for _, key := range acceptorKeys {
		_, _ = hash.WriteString(key)
	}
	return hash.Sum64()
}

// appendAcceptor appends all data about an acceptor: its record, every state that it ever accepted, the in-flight
// requests to it, and what the proposers have received from it.
func (model *modelState) appendAcceptor(text []byte, machine *AcceptorMachine) []byte {
	record := machine.Durable()
	text = appendState(appendBallot(text, record.Promised), record.Accepted)
	text = strconv.AppendBool(text, model.ended[record.ID])
	var accepted []Ballot
	for ballot, merged := range model.acceptedValues {
		if merged.by[record.ID] {
			accepted = append(accepted, ballot)
		}
	}
	slices.SortFunc(accepted, Ballot.Compare)
	for _, ballot := range accepted {
		text = appendState(text, State{Ballot: ballot, Value: model.acceptedValues[ballot].value})
	}
	var inFlight []string
	for _, sent := range model.requests {
		if sent.request.To == record.ID {
			inFlight = append(inFlight, sent.key)
		}
	}
	slices.Sort(inFlight)
	for _, key := range inFlight {
		text = append(append(text, key...), ';')
	}
	for _, actor := range model.actors {
		text = actor.appendAcceptor(append(text, '/'), record.ID)
		text = strconv.AppendBool(text, actor.ended[record.ID])
	}
	return text
}

// appendAcceptor appends what the actor's proposer has received from an acceptor.
func (actor *actor) appendAcceptor(text []byte, id AcceptorID) []byte {
	proposer := actor.proposer
	if proposer == nil {
		return text
	}
	text = strconv.AppendBool(text, proposer.rejected[id])
	text = strconv.AppendBool(text, proposer.proposal.Ended[id])
	text = strconv.AppendBool(text, proposer.accepted[id])
	text = strconv.AppendBool(text, proposer.collector.queried[id])
	if held, replied := proposer.collector.acceptedBallots[id]; replied && proposer.proposed == nil {
		text = appendBallot(text, held)
	}
	return text
}

// appendOwnState appends the actor's data that concern no single acceptor.
func (actor *actor) appendOwnState(text []byte) []byte {
	text = append(text, '/', byte(actor.ballot), byte(actor.change))
	if actor.known != nil {
		text = appendState(text, *actor.known)
	}
	if actor.proposer == nil {
		return append(text, '-')
	}
	proposer := actor.proposer
	text = appendBallot(text, proposer.higherBallot)
	if proposer.proposed != nil {
		return append(appendState(text, *proposer.proposed), byte(proposer.intendedResult.Outcome))
	}
	if proposer.collector.newest != nil {
		text = appendState(text, *proposer.collector.newest)
	}
	return text
}

func appendBallot(text []byte, ballot Ballot) []byte {
	text = strconv.AppendUint(text, ballot.Counter, 10)
	return append(append(text, ballot.Proposer...), ',')
}

func appendState(text []byte, state State) []byte {
	text = appendBallot(text, state.Ballot)
	text = append(append(text, state.Value.Payload...), '|')
	text = strconv.AppendUint(text, state.Value.Set.Epoch, 10)
	text = append(text, namesOf(state.Value.Set.Voters)...)
	return append(append(append(text, '+'), namesOf(state.Value.Set.Previous)...), ',')
}

func (model *modelState) acceptanceRecord() *acceptanceRecord {
	return &acceptanceRecord{acceptedValues: model.acceptedValues, reportedChosen: model.reportedChosen, ended: model.ended}
}

// check applies the checks of the random histories to the state.
func (model *modelState) check() error {
	checked := model.acceptanceRecord()
	if err := checked.checkReportedChosen(); err != nil {
		return err
	}
	return checkChain(checked.chosenStates())
}
