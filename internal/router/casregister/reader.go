package casregister

// Reader is the state machine of a quorum read: it queries the accepted states of acceptors and changes nothing.
type Reader struct {
	collector quorumCollector
	outbox    []Outgoing
}

// NewReader starts a read at the members of a set. Known is a state known to be chosen, or nil.
func NewReader(start Set, known *State) *Reader {
	reader := &Reader{collector: newQuorumCollector(start, known, nil)}
	reader.query(start)
	reader.query(reader.collector.base().Value.Set)
	return reader
}

// Outbox returns the requests generated since the last call.
func (reader *Reader) Outbox() []Outgoing {
	outbox := reader.outbox
	reader.outbox = nil
	return outbox
}

// Receive processes an acceptor's reply.
func (reader *Reader) Receive(reply Reply) {
	if reply.Verdict != Reported || !reader.collector.add(reply) {
		return
	}
	reader.query(reader.collector.base().Value.Set)
}

// Result returns the newest state found, and whether a quorum has replied and the state is known to be chosen.
func (reader *Reader) Result() (State, bool) {
	return reader.collector.base(), reader.collector.isComplete() && reader.collector.isChosen()
}

func (reader *Reader) query(set Set) {
	for _, acceptor := range reader.collector.takeUnqueried(set) {
		request := Request{Kind: Report, To: acceptor.ID, Known: reader.collector.knownBallot()}
		reader.outbox = append(reader.outbox, Outgoing{To: acceptor, Request: request})
	}
}
