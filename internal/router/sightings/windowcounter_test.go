package sightings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

const testPeriod = time.Second

// referenceRecent is a simple, slow implementation of WindowCounter: a list of all members ever added, with their
// times.
type referenceCounter []struct {
	member int
	at     time.Time
}

func (p referenceCounter) since(member int, from time.Time) int {
	count := 0
	for _, added := range p {
		if added.member == member && !added.at.Before(from) {
			count++
		}
	}
	return count
}

// TestWindowCounterForgetsBetweenOneAndTwoPeriods compares the counts with the bounds that the reference implementation
// gives.
func TestWindowCounterForgetsBetweenOneAndTwoPeriods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recent := NewWindowCounter[int](testPeriod, 1<<20)
		var reference referenceCounter
		now := testStart
		members := rapid.IntRange(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				member := members.Draw(t, "member")
				recent.Add(now, member)
				reference = append(reference, struct {
					member int
					at     time.Time
				}{member, now})
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				listed := map[int]bool{}
				for _, member := range recent.Members(now) {
					assert.Assert(t, !listed[member], "%d is listed twice", member)
					listed[member] = true
				}
				for member := range 5 {
					count := recent.Count(now, member)
					assert.Assert(t, count >= reference.since(member, now.Add(-testPeriod+1)), "%d was forgotten too early", member)
					assert.Assert(t, count <= reference.since(member, now.Add(-2*testPeriod)), "%d was forgotten too late", member)
					assert.Equal(t, listed[member], count > 0)
					assert.Equal(t, recent.Has(now, member), count > 0)
				}
			},
		})
	})
}

func TestRecentIsBounded(t *testing.T) {
	const limit = 100
	recent := NewWindowCounter[int](time.Hour, limit)
	for member := range 10 * limit {
		recent.Add(testStart, member)
		assert.Assert(t, len(recent.Members(testStart)) <= limit)
		assert.Assert(t, recent.Has(testStart, member))
	}
}
