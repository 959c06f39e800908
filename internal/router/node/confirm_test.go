package node

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/cluster"
	"pewterrudder/internal/router/softstate"
)

// acceptorSet returns a set without previous voters. The acceptors' ids are their addresses.
func acceptorSet(epoch uint64, voters ...string) casregister.Set {
	set := casregister.Set{Epoch: epoch}
	for _, voter := range voters {
		set.Voters = append(set.Voters, casregister.Acceptor{ID: casregister.AcceptorID(voter), Address: voter})
	}
	return set
}

// fakeSetSource is a fake acceptorSetSource. Successive reads return readResults in order; the last one repeats.
// Without any, reads fail with errNoQuorum.
type fakeSetSource struct {
	current     casregister.Set
	readResults []casregister.Set
	reads       int
}

var errNoQuorum = errors.New("no quorum")

func (s *fakeSetSource) CurrentSet() casregister.Set { return s.current }

func (s *fakeSetSource) ReadSet(context.Context) (casregister.Set, error) {
	if len(s.readResults) == 0 {
		return casregister.Set{}, errNoQuorum
	}
	found := s.readResults[min(s.reads, len(s.readResults)-1)]
	s.reads++
	return found, nil
}

// fakeReplicas is a fake replicaConfirmer that lists the replicas that are reachable and hold the record.
type fakeReplicas []string

func (r fakeReplicas) Confirm(_ context.Context, _ softstate.ID, replicas []string, isEnough func(holds func(string) bool) bool) error {
	holds := func(address string) bool { return slices.Contains(replicas, address) && slices.Contains(r, address) }
	if !isEnough(holds) {
		return cluster.ErrNotConfirmed
	}
	return nil
}

// TestRecordIsConfirmedByCurrentAcceptorSet starts from a set that may be outdated: a quorum of acceptors that have
// since left the set must not be enough to confirm a record.
func TestRecordIsConfirmedByCurrentAcceptorSet(t *testing.T) {
	known := acceptorSet(4, "a", "b", "c")
	next := acceptorSet(6, "b", "c", "d")
	later := acceptorSet(8, "c", "d", "e")
	for name, test := range map[string]struct {
		sets      fakeSetSource
		reachable fakeReplicas
		wanted    error
	}{
		"known set is in force": {fakeSetSource{known, []casregister.Set{known}, 0}, fakeReplicas{"a", "b"}, nil},
		"known set is in force, no quorum holds the record": {
			fakeSetSource{known, []casregister.Set{known}, 0}, fakeReplicas{"a", "d", "e"}, cluster.ErrNotConfirmed,
		},
		"quorum of the known set holds it, register is unreachable": {fakeSetSource{known, nil, 0}, fakeReplicas{"a", "b"}, errNoQuorum},
		"set changed, quorum of the new set holds it":               {fakeSetSource{known, []casregister.Set{later}, 0}, fakeReplicas{"a", "b", "c", "d"}, nil},
		"set changed, only the old set holds it":                    {fakeSetSource{known, []casregister.Set{later}, 0}, fakeReplicas{"a", "b", "c"}, cluster.ErrNotConfirmed},
		"set changed twice, quorum of the last set holds it":        {fakeSetSource{known, []casregister.Set{next, later}, 0}, fakeReplicas{"a", "b", "c", "e"}, nil},
		"set changed twice, one acceptor of the last set holds it":  {fakeSetSource{known, []casregister.Set{next, later}, 0}, fakeReplicas{"a", "b", "c"}, cluster.ErrNotConfirmed},
		"no acceptor set is known":                                  {fakeSetSource{}, fakeReplicas{"a", "b"}, errNoAcceptors},
	} {
		t.Run(name, func(t *testing.T) {
			confirmer := quorumConfirmer{sets: &test.sets, replicas: test.reachable}
			assert.Assert(t, errors.Is(confirmer.confirm(t.Context(), softstate.ID{Key: "i-1"}), test.wanted))
		})
	}
}
