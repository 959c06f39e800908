package configstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
)

func TestMovedAt(t *testing.T) {
	first := casregister.Set{Voters: []casregister.Acceptor{{ID: "a", Address: "a"}}}
	joint := first.EnterJoint([]casregister.Acceptor{{ID: "b", Address: "b"}})
	later := joint.LeaveJoint()
	wiped := later.EnterJoint([]casregister.Acceptor{{ID: "c", Address: "b"}}).LeaveJoint()
	cases := []struct {
		name            string
		current, newest *casregister.Set
		notLoaded       bool
		want            bool
		epoch           uint64
	}{
		{name: "nothing chosen yet", newest: &first},
		{name: "first set", current: &first, newest: &first, want: true},
		{name: "joint set in force", current: &joint, newest: &joint},
		{name: "later set in force", current: &later, newest: &first, want: true, epoch: 2},
		{name: "acceptor with an empty disk", current: &wiped, newest: &wiped, want: true, epoch: 2},
		{name: "later set on the disk", current: &first, newest: &joint},
		{name: "disk not read", current: &first, newest: &first, notLoaded: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := &Store{acceptor: &acceptor{recordLoaded: make(chan struct{})}}
			store.newestSet.Store(test.newest)
			if test.current != nil {
				store.current.Store(&Chosen{Set: *test.current})
			}
			if !test.notLoaded {
				close(store.acceptor.recordLoaded)
			}
			epoch, known := store.AddressEpoch()
			assert.Equal(t, known, test.want)
			assert.Equal(t, epoch, test.epoch)
		})
	}
}
