package selection

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/sightings"
)

const testDuplicateWindow = 4 * time.Second

// sightingFixture is a selector in zone "z" that exchanges sightings.
type sightingFixture struct {
	selector  *Selector
	announced []sightings.Sighting
	alive     bool // sightings of other routers arrive
}

// newSightingFixture returns a selector with the given instances; those with a capital letter are in another zone.
func newSightingFixture(ids ...string) *sightingFixture {
	fixture := &sightingFixture{alive: true}
	fixture.selector = New(Options{Zone: "z", Sightings: &SightingOptions{
		Announce:        func(sighting sightings.Sighting) { fixture.announced = append(fixture.announced, sighting) },
		IsCurrent:       func(time.Time) bool { return fixture.alive },
		Recent:          func(time.Time) []sightings.Sighting { return fixture.announced },
		DuplicateWindow: testDuplicateWindow,
	}})
	fixture.selector.SetBackends(map[string]BackendConfig{"b": engineConfig})
	fixture.selector.SetInstances(zonedSnapshot(ids...))
	return fixture
}

func zonedSnapshot(ids ...string) *instances.Snapshot {
	var all []*instances.Instance
	for _, id := range ids {
		instance := testInstance(id)
		if id[0] < 'a' {
			instance.Zone = "other"
		}
		all = append(all, instance)
	}
	return instances.NewSnapshot(all)
}

// send sends a request that ends at once and returns the id of its instance.
func (s *sightingFixture) send(t *testing.T, chain, own uint64, now time.Time) string {
	t.Helper()
	pick := mustSelect(t, s.selector, engineRequest(chain, own, now))
	pick.Done(now, Outcome{Result: Abandoned})
	return pick.Instance().ID
}

func sightingAt(id string, chain uint64) sightings.Sighting {
	return sightings.Sighting{
		Instance: prefixcache.HashName(id),
		Block:    prefixcache.KeyOf(prefixcache.HashName("m"), chain),
		Tokens:   4000,
	}
}

func TestBlockIsSentToTheInstanceThatCachesIt(t *testing.T) {
	fixture := newSightingFixture("a", "c", "X", "Y")
	for chain := range uint64(20) {
		fixture.selector.RecordRemoteSightings(testStart, []sightings.Sighting{sightingAt("Y", chain)})
		assert.Equal(t, fixture.send(t, chain, chain, testStart), "Y")
	}
}

func TestUnseenBlockStaysInOwnZone(t *testing.T) {
	fixture := newSightingFixture("a", "c", "X", "Y", "Z")
	counts := map[string]int{}
	for chain := range uint64(50) {
		counts[fixture.send(t, chain, chain, testStart)]++
	}
	assert.Equal(t, counts["a"]+counts["c"], 50)
}

// TestOldSightingDoesNotOutweighZoneCost checks that a sighting older than DuplicateWindow no longer draws a large
// request to another zone: a second prefill after that time is no duplicate work.
func TestOldSightingDoesNotOutweighZoneCost(t *testing.T) {
	fixture := newSightingFixture("a", "Y")
	fixture.selector.RecordRemoteSightings(testStart, []sightings.Sighting{sightingAt("Y", 1)})
	request := engineRequest(1, 1, testStart.Add(2*testDuplicateWindow))
	request.Bytes = 1 << 20
	assert.Equal(t, mustSelect(t, fixture.selector, request).Instance().ID, "a")
	request.Now = testStart.Add(testDuplicateWindow / 2)
	fresh := newSightingFixture("a", "Y")
	fresh.selector.RecordRemoteSightings(testStart, []sightings.Sighting{sightingAt("Y", 1)})
	request.Bytes = 0
	assert.Equal(t, mustSelect(t, fresh.selector, request).Instance().ID, "Y")
}

func TestBlocksGoToTheirHomesWithoutSightings(t *testing.T) {
	fixture := newSightingFixture("a", "c", "X", "Y", "Z")
	fixture.alive = false
	withoutSightings := newTestSelector(engineConfig)
	withoutSightings.SetInstances(zonedSnapshot("a", "c", "X", "Y", "Z"))
	for chain := range uint64(20) {
		home := mustSelect(t, withoutSightings, engineRequest(chain, chain, testStart))
		home.Done(testStart, Outcome{Result: Abandoned})
		assert.Equal(t, fixture.send(t, chain, chain, testStart), home.Instance().ID)
	}
}

// TestSightingsAreAnnouncedOncePerPeriod checks that only the shared block is announced, and again only when the others
// would soon forget it.
func TestSightingsAreAnnouncedOncePerPeriod(t *testing.T) {
	fixture := newSightingFixture("a")
	fixture.send(t, 1, 1, testStart)
	fixture.send(t, 1, 2, testStart)
	assert.DeepEqual(t, fixture.announced, []sightings.Sighting{sightingAt("a", 1)})
	fixture.send(t, 1, 3, testStart.Add(testDuplicateWindow/2))
	assert.Equal(t, len(fixture.announced), 2)
	fixture.selector.RecordRemoteSightings(testStart, []sightings.Sighting{sightingAt("a", 2)})
	fixture.send(t, 2, 1, testStart)
	assert.Equal(t, len(fixture.announced), 2, "the other routers know it already")
}

// TestFrequentBlockSpreadsOverAllInstances checks that requests with a frequent block do not pile up on the instance
// that prefilled it first.
func TestFrequentBlockSpreadsOverAllInstances(t *testing.T) {
	fixture := newSightingFixture("a", "c", "d", "e")
	counts := map[string]int{}
	for own := range uint64(40) {
		pick := mustSelect(t, fixture.selector, engineRequest(1, own, testStart))
		counts[pick.Instance().ID]++
	}
	assert.Equal(t, len(counts), 4)
	for id, count := range counts {
		assert.Assert(t, count <= 20, "%s: %v", id, counts)
	}
}

func TestBurstStaysOnInstancesThatCacheTheBlock(t *testing.T) {
	fixture := newSightingFixture("a", "c", "d", "e")
	s := fixture.selector
	s.options.Detector = constantDetector{burst: true}
	s.isBurst = true
	for chain := range uint64(30) {
		s.RecordRemoteSightings(testStart, []sightings.Sighting{sightingAt("c", chain)})
		assert.Equal(t, fixture.send(t, chain, chain, testStart), "c")
	}
}

// TestSightingsApplyToInstancesAddedLater covers a router that starts: it learns of sightings before it learns of the
// instances.
func TestSightingsApplyToInstancesAddedLater(t *testing.T) {
	fixture := newSightingFixture("a")
	fixture.announced = []sightings.Sighting{sightingAt("Y", 1)}
	fixture.selector.RecordRemoteSightings(testStart, fixture.announced)
	fixture.selector.SetInstances(zonedSnapshot("a", "Y"))
	assert.Equal(t, fixture.send(t, 1, 1, testStart), "Y")
}
