package configlease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const bound = 10 * time.Second

func TestLeaseCountsFromStartOfConfirmation(t *testing.T) {
	lease := New(bound)
	assert.Assert(t, !lease.IsValid(0))
	lease.Apply(3)
	lease.AddConfirmation(20*time.Second, Confirmation{Revision: 3, Age: 4 * time.Second})
	age, known := lease.Age(21 * time.Second)
	assert.Assert(t, known)
	assert.Equal(t, age, 5*time.Second+80*time.Millisecond)
	assert.Assert(t, lease.IsValid(24*time.Second))
	assert.Assert(t, !lease.IsValid(25*time.Second))
}

func TestConfirmationCountsOnceRevisionIsApplied(t *testing.T) {
	lease := New(bound)
	lease.Apply(3)
	lease.AddConfirmation(20*time.Second, Confirmation{Revision: 5})
	assert.Assert(t, !lease.IsValid(21*time.Second))
	lease.Apply(4)
	assert.Assert(t, !lease.IsValid(21*time.Second))
	lease.Apply(5)
	assert.Assert(t, lease.IsValid(21*time.Second))
	assert.Assert(t, !lease.IsValid(29*time.Second))
}

func TestOlderConfirmationChangesNothing(t *testing.T) {
	lease := New(bound)
	lease.Apply(3)
	lease.AddConfirmation(20*time.Second, Confirmation{Revision: 3})
	lease.AddConfirmation(21*time.Second, Confirmation{Revision: 2, Age: 8 * time.Second})
	age, _ := lease.Age(21 * time.Second)
	assert.Equal(t, age, time.Second)
}

func TestTellReturnsAgeOfConfirmation(t *testing.T) {
	lease := New(bound)
	_, ok := lease.LatestConfirmation(0)
	assert.Assert(t, !ok)
	lease.Apply(3)
	lease.AddConfirmation(20*time.Second, Confirmation{Revision: 3})
	confirmation, ok := lease.LatestConfirmation(23 * time.Second)
	assert.Assert(t, ok)
	assert.DeepEqual(t, confirmation, Confirmation{Revision: 3, Age: 3 * time.Second})
	_, ok = lease.LatestConfirmation(29 * time.Second)
	assert.Assert(t, !ok, "a confirmation of an expired lease")
}

// TestLeaseMatchesReferenceModel compares a lease with a plain list of all confirmations, which is searched for each answer.
func TestLeaseMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := New(bound)
		var confirmations []localConfirmation
		var applied uint64
		now := time.Duration(0)
		for range rapid.IntRange(1, maxPending).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			revision := rapid.Uint64Range(0, 5).Draw(t, "revision")
			if rapid.Bool().Draw(t, "apply") {
				lease.Apply(revision)
				applied = max(applied, revision)
			} else {
				lease.AddConfirmation(now, Confirmation{Revision: revision})
				confirmations = append(confirmations, localConfirmation{revision: revision, at: now})
			}
			want := false
			for _, confirmation := range confirmations {
				want = want || confirmation.revision <= applied && now-confirmation.at < lease.Duration()
			}
			assert.Equal(t, lease.IsValid(now), want)
		}
	})
}
