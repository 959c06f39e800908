package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

func TestBackoffOfUnreachableInstanceGrows(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	now := testStart
	for _, pause := range []float64{300, 600, 1200, 2400, 3000, 3000} {
		sendTo(t, s, "a", now).Done(now, Outcome{Result: Unreachable})
		assert.Equal(t, countPicks(t, s, now.Add(fromMilliseconds(pause-1)))["a"], 0, "%v", pause)
		now = now.Add(fromMilliseconds(pause))
		assert.Assert(t, countPicks(t, s, now)["a"] > 0, "%v", pause)
	}
}

func TestConcurrentFailuresCountOnce(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	var picks []*Pick
	for range 5 {
		picks = append(picks, sendTo(t, s, "a", testStart))
	}
	for _, pick := range picks {
		pick.Done(afterMs(10), Outcome{Result: Unreachable})
	}
	assert.Equal(t, s.byID["a"].health.backoffs, 1)
}

func TestHalfOpenInstanceGetsOneRequestAtATime(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	sendTo(t, s, "a", testStart).Done(testStart, Outcome{Result: Unreachable})
	s.byID["a"].applyReport(afterMs(400), &protocol.Report{}) // by load alone "a" would be picked
	s.byID["c"].applyReport(afterMs(400), &protocol.Report{Running: 6})
	trial := sendTo(t, s, "a", afterMs(400))
	assert.DeepEqual(t, countPicks(t, s, afterMs(401)), map[string]int{"c": 200})
	trial.Done(afterMs(410), Outcome{Result: Succeeded})
	assert.DeepEqual(t, countPicks(t, s, afterMs(420)), map[string]int{"a": 200})
	sendTo(t, s, "a", afterMs(420))
	sendTo(t, s, "a", afterMs(420))
	assert.Equal(t, s.byID["a"].health.backoffs, 0, "the backoff is reset")
}

func TestSelectFallsBackToUnreachableInstances(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	for _, id := range []string{"a", "c"} {
		sendTo(t, s, id, testStart).Done(testStart, Outcome{Result: Unreachable})
	}
	mustSelect(t, s, Request{Backend: "b", Now: afterMs(1)})
}

func TestWrongInstanceIsNeverSelected(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a")
	sendTo(t, s, "a", testStart).Done(testStart, Outcome{Result: WrongInstance})
	_, err := s.Select(Request{Backend: "b", Now: afterMs(100_000)})
	assert.ErrorIs(t, err, ErrNoInstance)
}

func TestFullInstanceBacksOff(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	sendTo(t, s, "a", testStart).Done(testStart, Outcome{Result: Rejected})
	assert.Equal(t, countPicks(t, s, afterMs(149))["a"], 0)
	assert.Assert(t, countPicks(t, s, afterMs(150))["a"] > 0)
	sendTo(t, s, "a", afterMs(200)).Done(afterMs(200), Outcome{Result: Rejected})
	s.byID["a"].applyLoad(afterMs(210), Load{Running: 0, Slots: testSlots})
	assert.Assert(t, countPicks(t, s, afterMs(210))["a"] > 0, "a newer load report ends the backoff")
}

func TestFullInstancesAreUsedBeforeUnreachableOnes(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	sendTo(t, s, "a", testStart).Done(testStart, Outcome{Result: Rejected})
	sendTo(t, s, "c", testStart).Done(testStart, Outcome{Result: Unreachable})
	assert.DeepEqual(t, countPicks(t, s, afterMs(1)), map[string]int{"a": 200})
}

// failRequests sends an instance requests that fail after the first byte of the answer.
func failRequests(t *testing.T, s *Selector, id string, now time.Time, times int) {
	for range times {
		pick := sendTo(t, s, id, now)
		pick.FirstByte(now)
		pick.Done(now, Outcome{Result: Failed})
	}
}

func TestInstanceWithHighErrorRateIsEjected(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d")
	failRequests(t, s, "a", testStart, 4)
	assert.Assert(t, countPicks(t, s, testStart)["a"] > 0, "four failures do not eject")
	failRequests(t, s, "a", testStart, 1)
	assert.Equal(t, countPicks(t, s, afterMs(999))["a"], 0)
	assert.Assert(t, countPicks(t, s, afterMs(1001))["a"] > 0)
	failRequests(t, s, "a", afterMs(1001), 5)
	assert.Equal(t, countPicks(t, s, afterMs(2999))["a"], 0, "the second ejection lasts twice as long")
	assert.Assert(t, countPicks(t, s, afterMs(3002))["a"] > 0)
}

func TestErrorsOfAllInstancesEjectNone(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d")
	for range 20 {
		for _, id := range []string{"a", "c", "d"} {
			failRequests(t, s, id, testStart, 1)
		}
	}
	for _, id := range []string{"a", "c", "d"} {
		assert.Equal(t, s.byID[id].healthStatus(afterMs(1)), statusUsable)
	}
}

func TestSuspectMajorityAreCandidates(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d", "e")
	eject := func(id string) { s.byID[id].health.ejectedUntil = afterMs(5000) }
	eject("a")
	eject("c")
	assert.Equal(t, len(countPicks(t, s, testStart)), 2)
	eject("d")
	assert.Equal(t, len(countPicks(t, s, testStart)), 4)
}

func TestSilentInstanceIsSuspectAndThenBacksOff(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c", "d")
	for range 100 {
		sendTo(t, s, "c", testStart).Done(afterMs(20), Outcome{Result: Succeeded})
	}
	silent := sendTo(t, s, "a", afterMs(100))
	assert.Assert(t, countPicks(t, s, afterMs(100))["d"] > 0)
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(349)), statusUsable)
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(351)), statusSuspect)
	silent.Done(afterMs(2000), Outcome{Result: Abandoned})
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(2001)), statusUnreachable)
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(2301)), statusUsable)
}

func TestAnswerToAnotherRequestProvesLiveness(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	for range 100 {
		sendTo(t, s, "c", testStart).Done(afterMs(20), Outcome{Result: Succeeded})
	}
	slow := sendTo(t, s, "a", afterMs(100))
	sendTo(t, s, "a", afterMs(300)).FirstByte(afterMs(320))
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(360)), statusUsable)
	slow.Done(afterMs(400), Outcome{Result: Abandoned})
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(401)), statusUsable)
}

func TestEarlyClientDisconnectsAreNotFailures(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "a", "c")
	for range 50 {
		sendTo(t, s, "a", testStart).Done(afterMs(100), Outcome{Result: Abandoned})
	}
	assert.Equal(t, s.byID["a"].healthStatus(afterMs(100)), statusUsable)
}

func TestSlowInstanceGetsFewerRequests(t *testing.T) {
	s := newTestSelector(BackendConfig{}, "slow", "quick")
	for i := range 100 {
		now := afterMs(float64(100 * i))
		sendTo(t, s, "slow", now).Done(now.Add(60*time.Millisecond), Outcome{Result: Succeeded})
		sendTo(t, s, "quick", now).Done(now.Add(20*time.Millisecond), Outcome{Result: Succeeded})
	}
	now := afterMs(20_000)
	counts := map[string]int{}
	for range 16 {
		counts[mustSelect(t, s, Request{Backend: "b", Now: now}).Instance().ID]++
	}
	assert.Assert(t, counts["quick"] > 2*counts["slow"], "%v", counts)
}
