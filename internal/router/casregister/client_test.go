package casregister

import (
	"fmt"
	"slices"
)

// operationKind is the kind of a client's operation. The payload of the register is the list of the appended numbers, one
// byte each.
type operationKind int

const (
	appendNumber operationKind = iota
	refuseChange
	readState
	changeSet
)

// operation is one operation as its client observed it. isDefinite says that the client learned its outcome; otherwise
// the operation counts as one that never returned.
type operation struct {
	kind       operationKind
	client     int
	number     byte
	calledAt   int64
	returnedAt int64
	isDefinite bool
	payload    string
}

// client runs one operation after another, each in one or more attempts under increasing ballots.
type client struct {
	simulation *simulation
	index      int
	isFinal    bool
	isDone     bool
	start      Set
	known      *State

	current          *operation
	attempts         int
	attempt          int
	attemptStartedAt int64
	highest          Ballot
	proposer         *Proposer
	reader           *Reader
}

func (client *client) tick() {
	switch {
	case client.isDone:
	case client.current == nil:
		client.startOperation()
	case client.simulation.clock-client.attemptStartedAt > stepsPerAttempt:
		client.retry()
	}
}

// startOperation draws the next operation at random.
func (client *client) startOperation() {
	kind := readState
	if !client.isFinal {
		if !client.simulation.chance(4) {
			return
		}
		kind = []operationKind{appendNumber, appendNumber, refuseChange, readState, changeSet, changeSet}[client.simulation.random.IntN(6)]
	}
	client.current = &operation{
		kind:     kind,
		client:   client.index,
		calledAt: client.simulation.clock,
	}
	client.current.number = client.simulation.nextNumber()
	client.attempts = 0
	client.startAttempt()
}

// nextNumber returns a number that no operation has had.
func (sim *simulation) nextNumber() byte {
	sim.lastNumber++
	return sim.lastNumber
}

// retry abandons the attempt, and the operation after attemptsPerOperation attempts.
func (client *client) retry() {
	if client.attempts == attemptsPerOperation && !client.isFinal {
		client.finishOperation(false, nil)
		return
	}
	client.startAttempt()
}

// startAttempt starts an attempt from the newest set and state that the client knows or, at random, from the initial set.
func (client *client) startAttempt() {
	sim := client.simulation
	client.attempts++
	client.attempt++
	client.attemptStartedAt = sim.clock
	start, known := client.start, client.known
	if sim.chance(20) {
		start, known = sim.first, nil
	}
	client.reader, client.proposer = nil, nil
	if client.current.kind == readState && client.attempts%2 == 1 {
		client.reader = NewReader(start, known)
		client.send(client.reader.Outbox())
		return
	}
	client.highest = client.highest.Next(fmt.Sprint(client.index))
	client.proposer = NewProposer(Proposal{
		Ballot: client.highest,
		Start:  start,
		Known:  known,
		Change: client.change,
	})
	client.send(client.proposer.Outbox())
}

func (client *client) send(outbox []Outgoing) {
	for _, outgoing := range outbox {
		client.simulation.network = append(client.simulation.network, packet{
			request: &outgoing.Request,
			address: outgoing.To.Address,
			client:  client.index,
			attempt: client.attempt,
		})
	}
}

// change is the change function of the current operation.
func (client *client) change(base Value) (Value, error) {
	switch client.current.kind {
	case appendNumber:
		if slices.Contains(base.Payload, client.current.number) {
			return base, nil
		}
		return Value{Set: base.Set, Payload: append(slices.Clone(base.Payload), client.current.number)}, nil
	case refuseChange:
		return base, errRefused
	case changeSet:
		if base.Set.IsJoint() {
			return Value{Set: base.Set.LeaveJoint(), Payload: base.Payload}, nil
		}
		voters := client.simulation.randomVoters(base.Set.Voters)
		return Value{Set: base.Set.EnterJoint(voters), Payload: base.Payload}, nil
	default:
		return base, nil
	}
}

func (client *client) receive(attempt int, reply Reply) {
	if client.current == nil || attempt != client.attempt {
		return
	}
	if client.reader != nil {
		client.reader.Receive(reply)
		client.send(client.reader.Outbox())
		if state, isChosen := client.reader.Result(); isChosen {
			client.finishOperation(true, &state)
		}
		return
	}
	client.proposer.Receive(reply)
	client.send(client.proposer.Outbox())
	switch result := client.proposer.Result(); result.Outcome {
	case Chosen, Refused:
		client.finishOperation(true, &result.State)
	case BaseChosen:
		client.recordChosen(result.State)
		client.retry()
	case Preempted:
		client.highest = result.HigherBallot
		client.retry()
	}
}

func (client *client) recordChosen(state State) {
	client.simulation.reportedChosen = append(client.simulation.reportedChosen, state)
	if state.Ballot.IsZero() {
		return
	}
	if client.known == nil || client.known.Ballot.Less(state.Ballot) {
		client.known = &state
		client.start = state.Value.Set
	}
}

// finishOperation adds the operation to the history. state is the chosen state that it saw, nil if it was abandoned.
func (client *client) finishOperation(isDefinite bool, state *State) {
	ended := *client.current
	ended.isDefinite = isDefinite
	ended.returnedAt = client.simulation.clock
	if state != nil {
		client.recordChosen(*state)
		ended.payload = string(state.Value.Payload)
	}
	client.simulation.history = append(client.simulation.history, ended)
	client.current = nil
	client.attempt++
	client.isDone = client.isFinal
}
