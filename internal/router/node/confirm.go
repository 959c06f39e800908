package node

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/softstate"
)

// errNoAcceptors is returned while this router knows no acceptor set.
var errNoAcceptors = errors.New("node: no acceptor set is known yet")

// acceptorSetSource provides the acceptor set of the configuration register.
type acceptorSetSource interface {
	// CurrentSet returns the newest set that this router knows, or the zero set if it knows none.
	CurrentSet() casregister.Set
	// ReadSet reads the register from a quorum. It returns a set that was in force at some point during the call.
	ReadSet(ctx context.Context) (casregister.Set, error)
}

// replicaConfirmer asks replicas to confirm that they hold a record.
type replicaConfirmer interface {
	Confirm(ctx context.Context, id softstate.ID, replicas []string, isEnough func(holds func(string) bool) bool) error
}

// quorumConfirmer waits until a quorum of the acceptors holds a soft-state record. A router that is connected to the
// fleet reaches an acceptor of every quorum, so it receives the record from one of them if the relay tree does not
// deliver it. This holds only for the set in force: acceptors that have since left the set could confirm a record that
// no other router ever receives.
type quorumConfirmer struct {
	sets     acceptorSetSource
	replicas replicaConfirmer
}

// confirm returns nil once a quorum of the acceptor set in force holds the current record of a key. It repeats the
// confirmation if the set has changed meanwhile.
func (c quorumConfirmer) confirm(ctx context.Context, id softstate.ID) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	set := c.sets.CurrentSet()
	for {
		if set.IsZero() {
			return errNoAcceptors
		}
		newest, err := c.confirmWithSet(ctx, id, set)
		if err != nil {
			return err
		}
		if newest.Epoch == set.Epoch {
			return nil
		}
		set = newest
	}
}

// setReadResult is the result of a concurrent read of the acceptor set.
type setReadResult struct {
	set casregister.Set
	err error
}

// confirmWithSet waits until a quorum of the given set has confirmed a record. It returns a set that was in force at
// some point during the call.
func (c quorumConfirmer) confirmWithSet(ctx context.Context, id softstate.ID, set casregister.Set) (casregister.Set, error) {
	read := make(chan setReadResult, 1)
	go func() {
		newest, err := c.sets.ReadSet(ctx)
		read <- setReadResult{newest, err}
	}()
	if err := c.replicas.Confirm(ctx, id, acceptorAddresses(set.Members()), quorumCheck(set)); err != nil {
		return casregister.Set{}, err
	}
	select {
	case outcome := <-read:
		return outcome.set, outcome.err
	case <-ctx.Done():
		return casregister.Set{}, errors.WithStack(ctx.Err())
	}
}

// quorumCheck returns a function that reports whether the addresses that hold a record form a quorum of the set.
func quorumCheck(set casregister.Set) func(holds func(string) bool) bool {
	members := set.Members()
	return func(holds func(string) bool) bool {
		return set.HasQuorum(func(acceptor casregister.AcceptorID) bool {
			index := slices.IndexFunc(members, func(member casregister.Acceptor) bool { return member.ID == acceptor })
			return index >= 0 && holds(members[index].Address)
		})
	}
}
