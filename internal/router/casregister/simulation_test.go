package casregister

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	// simulatedHosts is the number of machines that can be acceptors; the first firstVoters of them are the initial set.
	simulatedHosts   = 6
	firstVoters      = 3
	simulatedClients = 3
	simulatedSteps   = 500
	// attemptsPerOperation bounds the attempts of one operation; each times out after stepsPerAttempt steps.
	attemptsPerOperation = 6
	stepsPerAttempt      = 60
	maxWipes             = 2
)

// simulation runs a random history: acceptors with disks, a network that loses, duplicates and delays messages, and
// clients.
type simulation struct {
	random     *rand.Rand
	hosts      []*host
	clients    []*client
	network    []packet
	first      Set
	clock      int64
	wipes      int
	lastNumber byte

	acceptanceRecord
	history []operation
}

// acceptanceRecord is the data against which the states that proposers and readers report are checked.
type acceptanceRecord struct {
	// acceptedValues maps each ballot to the value durably accepted under it and the acceptors that did so.
	acceptedValues map[Ballot]*acceptedValue
	// reportedChosen are the states that a proposer or reader reported as chosen.
	reportedChosen []State
	// ended is the set of acceptors that have ended permanently.
	ended EndedAcceptors
}

type acceptedValue struct {
	value Value
	by    map[AcceptorID]bool
}

// host is a machine with an acceptor. unsynced holds the replies that wait for a sync.
type host struct {
	address     string
	incarnation int
	machine     *AcceptorMachine
	unsynced    []packet
}

// packet is a request in flight to a host or, if request is nil, a reply in flight to an attempt of a client.
type packet struct {
	request *Request
	address string
	reply   Reply
	// accepted is the value of the request to which the reply belongs, nil for a prepare or report request.
	accepted *Value
	client   int
	attempt  int
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		random:           rand.New(rand.NewPCG(seed, 1)),
		acceptanceRecord: acceptanceRecord{acceptedValues: make(map[Ballot]*acceptedValue)},
	}
	for index := range simulatedHosts {
		host := &host{address: fmt.Sprintf("h%d", index)}
		host.machine = NewAcceptorMachine(Record{ID: AcceptorID(host.address)})
		sim.hosts = append(sim.hosts, host)
		if index < firstVoters {
			sim.first.Voters = append(sim.first.Voters, host.acceptor())
		}
	}
	for index := range simulatedClients {
		sim.clients = append(sim.clients, &client{simulation: sim, index: index, start: sim.first})
	}
	return sim
}

func (host *host) acceptor() Acceptor {
	return Acceptor{ID: host.machine.Durable().ID, Address: host.address}
}

func (sim *simulation) chance(percent int) bool { return sim.random.IntN(100) < percent }

// run executes the random part of the history and then a read by a new client without faults.
func (sim *simulation) run() {
	for range simulatedSteps {
		sim.step()
	}
	sim.readWithoutFaults()
}

func (sim *simulation) step() {
	sim.clock++
	for _, client := range sim.clients {
		client.tick()
	}
	switch draw := sim.random.IntN(1000); {
	case draw < 560:
		sim.deliver(sim.removePacket())
	case draw < 590:
		sim.deliver(sim.copyPacket())
	case draw < 620:
		sim.removePacket()
	case draw < 970:
		sim.randomHost().sync(sim)
	case draw < 980:
		sim.randomHost().failSync()
	case draw < 997:
		sim.randomHost().crash(sim)
	default:
		sim.wipe()
	}
}

func (sim *simulation) randomHost() *host { return sim.hosts[sim.random.IntN(len(sim.hosts))] }

func (sim *simulation) removePacket() *packet {
	if len(sim.network) == 0 {
		return nil
	}
	index := sim.random.IntN(len(sim.network))
	taken := sim.network[index]
	sim.network = slices.Delete(sim.network, index, index+1)
	return &taken
}

func (sim *simulation) copyPacket() *packet {
	if len(sim.network) == 0 {
		return nil
	}
	copied := sim.network[sim.random.IntN(len(sim.network))]
	return &copied
}

func (sim *simulation) deliver(received *packet) {
	if received == nil {
		return
	}
	if received.request == nil {
		sim.clients[received.client].receive(received.attempt, received.reply)
		return
	}
	index := slices.IndexFunc(sim.hosts, func(host *host) bool { return host.address == received.address })
	sim.hosts[index].receive(sim, *received)
}

// receive steps the acceptor. Its reply is sent immediately only if it needs no sync.
func (host *host) receive(sim *simulation, received packet) {
	response := packet{client: received.client, attempt: received.attempt, accepted: received.request.Value}
	output, err := host.machine.Step(*received.request)
	if err != nil {
		response.reply = Reply{Verdict: WrongAcceptor, From: received.request.To, Ballot: received.request.Ballot}
		sim.network = append(sim.network, response)
		return
	}
	response.reply = output.Reply
	if output.NeedsSync {
		host.unsynced = append(host.unsynced, response)
		return
	}
	sim.network = append(sim.network, response)
}

func (host *host) sync(sim *simulation) {
	host.machine.Synced()
	for _, waiting := range host.unsynced {
		if waiting.reply.Verdict == Accepted {
			sim.recordAccepted(host.machine.Durable().ID, State{Ballot: waiting.reply.Ballot, Value: *waiting.accepted})
		}
	}
	sim.network = append(sim.network, host.unsynced...)
	host.unsynced = nil
}

// failSync simulates a full disk: nothing is written and the waiting replies are dropped.
func (host *host) failSync() {
	host.machine.Discard()
	host.unsynced = nil
}

// crash simulates a loss of power: the pending record is on disk or not, at random, and the waiting replies are lost.
func (host *host) crash(sim *simulation) {
	record := host.machine.Durable()
	if sim.chance(50) {
		record = host.machine.Pending()
		sim.recordAccepted(record.ID, record.Accepted)
	}
	host.machine = NewAcceptorMachine(record)
	host.unsynced = nil
}

// wipe simulates the loss of a disk: the machine restarts at its address as a new acceptor.
func (sim *simulation) wipe() {
	if sim.wipes == maxWipes {
		return
	}
	sim.wipes++
	host := sim.randomHost()
	host.incarnation++
	id := AcceptorID(fmt.Sprintf("%s#%d", host.address, host.incarnation))
	host.machine = NewAcceptorMachine(Record{ID: id})
	host.unsynced = nil
}

func (sim *simulation) recordAccepted(id AcceptorID, state State) {
	if state.Ballot.IsZero() {
		return
	}
	if sim.acceptedValues[state.Ballot] == nil {
		sim.acceptedValues[state.Ballot] = &acceptedValue{value: state.Value, by: make(map[AcceptorID]bool)}
	}
	sim.acceptedValues[state.Ballot].by[id] = true
}

// readWithoutFaults stops the faults: a new client that knows only the initial set reads until it has a result, or
// until a limit of 4 * simulatedSteps steps is reached.
func (sim *simulation) readWithoutFaults() {
	reader := &client{simulation: sim, index: len(sim.clients), start: sim.first, isFinal: true}
	sim.clients = append(sim.clients, reader)
	for range 4 * simulatedSteps {
		sim.clock++
		reader.tick()
		if reader.isDone {
			return
		}
		sim.deliver(sim.removePacket())
		for _, host := range sim.hosts {
			host.sync(sim)
		}
	}
}

// randomVoters returns the voters of the next set: a voter whose disk was wiped is replaced first; otherwise one member
// is added, replaced or removed at random.
func (sim *simulation) randomVoters(voters []Acceptor) []Acceptor {
	next := slices.Clone(voters)
	for index, voter := range voters {
		for _, host := range sim.hosts {
			if host.address == voter.Address && host.acceptor().ID != voter.ID {
				next[index] = host.acceptor()
				return next
			}
		}
	}
	candidate := sim.randomHost().acceptor()
	index := sim.random.IntN(len(voters))
	switch {
	case !containsID(voters, candidate.ID) && len(voters) < 5 && sim.chance(50):
		return append(next, candidate)
	case !containsID(voters, candidate.ID):
		next[index] = candidate
		return next
	case len(voters) > 2:
		return slices.Delete(next, index, index+1)
	}
	return next
}
