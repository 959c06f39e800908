package selection

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
)

// pollCounter records the times at which each instance was polled. A poll returns a report and err.
type pollCounter struct {
	mutex sync.Mutex
	times map[string][]time.Time
	err   error
}

func (c *pollCounter) poll(_ context.Context, instance *instances.Instance) (*protocol.Report, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.times == nil {
		c.times = map[string][]time.Time{}
	}
	c.times[instance.ID] = append(c.times[instance.ID], time.Now())
	return &protocol.Report{Running: 3, KVUsed: 100}, c.err
}

func (c *pollCounter) count(id string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.times[id])
}

// runPolling runs a polling selector in virtual time for as long as body takes.
func runPolling(t *testing.T, counter *pollCounter, body func(s *Selector)) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Poll: counter.poll})
		s.SetBackends(map[string]BackendConfig{"b": engineConfig})
		s.SetInstances(testSnapshot("a", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { s.Run(ctx) })
		body(s)
		cancel()
		group.Wait()
	})
}

// loadOf returns a copy of an instance's load. It may be called while polls are running.
func loadOf(s *Selector, id string) loadEstimate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id].load
}

// sendRequests sends a request every 100 ms for the given time; each ends at once.
func sendRequests(t *testing.T, s *Selector, length time.Duration) {
	for range int(length / (100 * time.Millisecond)) {
		mustSelect(t, s, Request{Backend: "b", Now: time.Now()}).Done(time.Now(), Outcome{Result: Abandoned})
		time.Sleep(100 * time.Millisecond) // virtual
	}
}

func TestIdleBackendIsNotPolled(t *testing.T) {
	counter := &pollCounter{}
	runPolling(t, counter, func(s *Selector) {
		time.Sleep(time.Minute)
		assert.Equal(t, counter.count("a")+counter.count("c"), 0)
		sendRequests(t, s, time.Second)
		time.Sleep(time.Minute)
		assert.Assert(t, counter.count("a") >= 1 && counter.count("a") <= activeIntervals+2)
	})
}

func TestReportsArePolledEveryInterval(t *testing.T) {
	counter := &pollCounter{}
	runPolling(t, counter, func(s *Selector) {
		sendRequests(t, s, 20*time.Second)
		for _, id := range []string{"a", "c"} {
			assert.Assert(t, counter.count(id) >= 16 && counter.count(id) <= 20, "%d", counter.count(id))
		}
		assert.Assert(t, loadOf(s, "a").isKnown)
		assert.Equal(t, loadOf(s, "a").kvUsed, int64(100))
	})
}

func TestLoadHeadersReducePolling(t *testing.T) {
	counter := &pollCounter{}
	runPolling(t, counter, func(s *Selector) {
		for range 20 { // each instance reports its load every two refresh intervals
			for _, id := range []string{"a", "c"} {
				pick := sendTo(t, s, id, time.Now())
				pick.ReportLoad(time.Now(), Load{Running: 1, Slots: 8})
				pick.Done(time.Now(), Outcome{Result: Succeeded})
				time.Sleep(time.Second)
			}
		}
		assert.Assert(t, counter.count("a")+counter.count("c") <= 2)
	})
}

func TestFailedPollsBackOff(t *testing.T) {
	counter := &pollCounter{err: errors.New("no report")}
	runPolling(t, counter, func(s *Selector) {
		sendRequests(t, s, 60*time.Second)
		assert.Assert(t, counter.count("a") >= 3 && counter.count("a") <= 7, "%d", counter.count("a"))
		assert.Assert(t, !loadOf(s, "a").isKnown)
	})
}

func TestRunWithoutPollStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	New(Options{}).Run(ctx)
}

func TestAssignedInstancesArePolledAndShared(t *testing.T) {
	counter := &pollCounter{}
	shared := map[string]int{}
	var mutex sync.Mutex
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{
			Poll:     counter.poll,
			Assigned: func(instance *instances.Instance) bool { return instance.ID == "a" },
			BroadcastReport: func(id string, report *protocol.Report) {
				mutex.Lock()
				defer mutex.Unlock()
				shared[id]++
			},
		})
		s.SetBackends(map[string]BackendConfig{"b": engineConfig})
		s.SetInstances(testSnapshot("a", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { s.Run(ctx) })
		time.Sleep(10 * DefaultRefreshInterval) // virtual
		assert.Assert(t, counter.count("a") >= 8, "%d", counter.count("a"))
		assert.Equal(t, counter.count("c"), 0)
		sendRequests(t, s, 2*DefaultRefreshInterval)
		assert.Assert(t, counter.count("c") > 0, "an unassigned instance of unknown load is polled while in use")
		before := counter.count("c")
		s.RecordRemoteReport("c", &protocol.Report{Queued: 7, Running: 2})
		assert.Equal(t, loadOf(s, "c").queued, 7.0)
		sendRequests(t, s, 2*DefaultRefreshInterval)
		assert.Equal(t, counter.count("c"), before, "a report from another router replaces a poll")
		cancel()
		group.Wait()
	})
	assert.Equal(t, shared["c"], 0)
	assert.Equal(t, shared["a"], counter.count("a"))
}

func TestAssignedInstancesArePolledTogether(t *testing.T) {
	counter := &pollCounter{}
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{
			Poll:     counter.poll,
			Assigned: func(*instances.Instance) bool { return true },
		})
		s.SetBackends(map[string]BackendConfig{"b": engineConfig})
		s.SetInstances(testSnapshot("a", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { s.Run(ctx) })
		time.Sleep(3 * DefaultRefreshInterval / 2) // virtual
		s.SetInstances(testSnapshot("a", "c", "d"))
		time.Sleep(5 * DefaultRefreshInterval) // virtual
		cancel()
		group.Wait()
	})
	assert.DeepEqual(t, counter.times["a"], counter.times["c"])
	later := counter.times["a"]
	late := counter.times["d"]
	assert.Assert(t, len(late) >= 4, "%d", len(late))
	assert.DeepEqual(t, later[len(later)-len(late):], late)
}

// TestRefreshIntervalGrowsWithInstances checks that all routers together are sent at most maxReportsPerSecond reports
// each.
func TestRefreshIntervalGrowsWithInstances(t *testing.T) {
	cases := []struct {
		instances int
		want      time.Duration
	}{{2, DefaultRefreshInterval}, {maxReportsPerSecond, DefaultRefreshInterval}, {10 * maxReportsPerSecond, 10 * time.Second}}
	for _, c := range cases {
		s := New(Options{Assigned: func(*instances.Instance) bool { return true }})
		s.SetBackends(map[string]BackendConfig{"b": engineConfig, "plain": {Slots: 1}})
		s.SetInstances(testSnapshot(instanceIDs(c.instances)...))
		assert.Equal(t, s.refreshInterval(), c.want, "%d instances", c.instances)
	}
	alone := New(Options{})
	alone.SetBackends(map[string]BackendConfig{"b": engineConfig})
	alone.SetInstances(testSnapshot(instanceIDs(10 * maxReportsPerSecond)...))
	assert.Equal(t, alone.refreshInterval(), DefaultRefreshInterval, "unlimited where each router polls for itself")
}

func TestOnlyEnginesArePolled(t *testing.T) {
	counter := &pollCounter{}
	runPolling(t, counter, func(s *Selector) {
		s.SetBackends(map[string]BackendConfig{"b": {Slots: 4}})
		sendRequests(t, s, 5*DefaultRefreshInterval)
		assert.Equal(t, counter.count("a")+counter.count("c"), 0)
	})
}
