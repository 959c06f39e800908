// Package casregister implements a replicated compare-and-swap register after CASPaxos (Rystsov 2018): one value,
// ballots ordered by counter and proposer, a change function, two quorum rounds, no log and no leader. The package
// performs no I/O, reads no clock and starts no goroutine. Its callers step the state machines, which return what to
// sync and what to send.
//
// # Acceptor sets
//
// The value contains the set of acceptors that store it. A set is plain (a quorum is a majority of its voters) or joint
// (a quorum is a majority of its voters together with a majority of the previous voters). A set changes from a plain
// set S to the joint set (S', S), where S' differs from S by one member, and from there only to the plain set S'; a
// joint set is never rolled back. Either step of a set change is proposed only on a base that is known to be chosen; a
// base of which only some acceptances are known is proposed again unchanged first.
//
// # Safety: no chosen value is lost
//
// A proposal (b, w) with base (c, v), where c < b, is made only after a quorum of set(v) has promised b and v was the
// newest value among all promises received. Its value w is chosen once a quorum of set(w) has accepted it under b; this
// implementation waits for a quorum of set(v) too. The initial value has ballot zero and counts as chosen by the
// initial set.
//
// Claim: a proposal with ballot b descends from every value chosen under a ballot below b. Let b be the lowest ballot
// for which the claim is false. Let (c, v) be its base and u the chosen value with the lowest ballot above c; u's
// ballot is below b. Let t be the chosen value with the highest ballot up to c. Both v and u descend from t. As each
// set change starts from a chosen value, set(v) is set(t) or one step away from it, and the same holds for set(u). Any
// two sets at most one step away from the same set have intersecting quorums: from a plain S the steps are joint sets
// that all need a majority of S; from a joint (S', S) the only step is S', of which the joint set needs a majority. So
// some acceptor of u's quorum is in the promise quorum of b. If it had accepted u before it promised b, v would not be
// the newest value found; if it had promised b first, it would have rejected u. This contradicts the choice of v.
//
// This covers a proposer with an outdated set: the set from which it starts only determines which acceptors it queries
// first. It continues with the voters of every value that it finds until a quorum of the newest value's own set has
// promised. It may treat the register as empty only if it started from the initial set and a quorum of that set
// reported no value. The set of a partially accepted change is treated like that of any other value found. Two
// concurrent set changes each need a quorum of the same plain set, so one of them is preempted and is proposed again on
// the result of the other.
//
// An acceptor is identified by its ID. A machine that has lost its disk has a new ID and is a new acceptor, which has
// no vote until a set change has added it.
//
// # Recovery of volatile acceptors
//
// An acceptor that stores its record in memory alone ends permanently with its process. A reply from another acceptor
// without a disk at its address proves that it has ended and will never reply again (EndedAcceptors). If so many voters
// of a list have ended that the remaining ones are no majority, a proposal may be a recovery: its quorum in such a list
// is all remaining members, of which there must be at least one.
//
// The set of ended acceptors is fixed before the recovery's ballot is generated, and that ballot is far above all known
// ones (NextRecovery). A proposer with a higher ballot therefore started after these acceptors had ended, and none of
// them replies to it; a proposer that started earlier is rejected by every remaining acceptor once that acceptor has
// promised the recovery's ballot, whatever the ended acceptors have promised or accepted. Every acceptor that remains
// at the end of the later of two recoveries belongs to the quorums of both. Without the gap between the ballots, an
// older proposal could count an acceptance by an ended acceptor together with one given after the recovery. A read
// never takes all remaining members for a quorum, since it leaves no promise behind.
//
// A value that only ended acceptors had accepted, and that no recovering process has learned, is lost, and the register
// keeps no trace of it.
package casregister
