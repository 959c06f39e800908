package hollow

import (
	"strings"
	"testing"
	"time"
)

// All scenes on sockets, at a small size: every balancer has each change, each restart costs it one list, and the source
// counts what it gave.
func TestScenesOnSockets(t *testing.T) {
	t.Parallel()
	s, err := NewSource(900, 10, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	plan := Sockets{Balancers: 60, Whole: 6, AppNodes: 900, Pools: 4, Every: 10, Steady: 2 * time.Second, Changes: 2, Rolling: 10, Restarts: 12, Most: 30 * time.Second}
	r, err := PlaySockets(plan, t.TempDir(), s.Do, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	wholes := map[string]int64{"first start of all, 50 at a time": 60, "12 restarts at once": 12, "rolling restart of all, 10 at a time": 60}
	for _, sc := range r.Scenes {
		if strings.HasPrefix(sc.Name, "first start") && sc.Seconds > 20 {
			t.Errorf("%s took %.0f s: a step waits for those of later ones", sc.Name, sc.Seconds)
		}
		if sc.Reached != sc.Of || (sc.Of == 0) != sc.Steady || sc.Source.Wholes != wholes[sc.Name] || sc.Source.Bytes == 0 || sc.WatchesEnded > 0 {
			t.Errorf("%s: %d of %d have it, %d whole lists, %d bytes, %d watches ended", sc.Name, sc.Reached, sc.Of, sc.Source.Wholes,
				sc.Source.Bytes, sc.WatchesEnded)
		}
		if sc.Entries > 0 && (sc.Lasts.P50 <= 0 || sc.Lasts.Max < sc.Lasts.P99) {
			t.Errorf("%s: %+v", sc.Name, sc.Lasts)
		}
	}
	if len(r.Scenes) != 7 {
		t.Errorf("%d scenes", len(r.Scenes))
	}
}

// The same in virtual time, for a part of the fleet.
func TestScenesInVirtualTime(t *testing.T) {
	t.Parallel()
	plan := Virtual{Balancers: 60, Played: 30, Batch: 10, AppNodes: 180, Pools: 1, Rate: 1.25e9, Seed: 1, Threads: 2}
	r, err := PlayVirtual(plan, t.TempDir(), func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, sc := range r.Scenes {
		if sc.Reached != sc.Of || (sc.Of == 0) != sc.Steady {
			t.Errorf("%s: %d of %d have it", sc.Name, sc.Reached, sc.Of)
		}
		if sc.Lasts.Max < 0 || sc.Entries > 0 && (sc.Lasts.P50 < oneWay.Seconds() || sc.Lasts.Max > 3) {
			t.Errorf("%s: %+v", sc.Name, sc.Lasts)
		}
		if strings.Contains(sc.Name, "restart") && sc.Source.Bytes < int64(sc.Of)*180*100 {
			t.Errorf("%s: %d bytes are no whole lists", sc.Name, sc.Source.Bytes)
		}
	}
}

// A figure over its bound, and a balancer that was left without, are named.
func TestVerdictsNameWhatIsBroken(t *testing.T) {
	r := &Result{Scenes: []Scene{
		{Name: "late", Entries: 1, Reached: 9, Of: 10, Lasts: Spread{Max: 4.1}, CPUMsEach: 5.1},
		{Name: "idle", Steady: true, Reached: 10, Of: 10, CoreShare: 0.02, BytesSecondEach: 4097},
		{Name: "zone", Entries: 2889, Reached: 10, Of: 10, Lasts: Spread{Max: 4.2}, CPUMsEach: 50},
		{Name: "well", Entries: 1, Reached: 10, Of: 10, Lasts: Spread{Max: 3.9}, CPUMsEach: 4.9},
	}}
	r.finish()
	got := strings.Join(r.Broken(), "; ")
	want := "late: until the last has it; late: CPU of a balancer; idle: CPU of a balancer; idle: bytes to a balancer; zone: until the last has it; balancers that were left without"
	if got != want {
		t.Errorf("broken: %s", got)
	}
}

// A change of a route's entry reaches the catalogs of all followers, of whole entries and of a part, and costs each its own
// bytes alone.
func TestAChangeOfAnEntryReachesAllFollowers(t *testing.T) {
	t.Parallel()
	s, err := NewStore(Entries{Routes: 300, Pools: 20, Tenants: 2000}, Entries{Routes: 30, Pools: 4, Tenants: 20})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	plan := Settings{Followers: 20, Whole: 4, Entries: s.entries[wholePrefix], Part: s.entries[partPrefix], Steady: 2 * time.Second, Changes: 5, Most: 30 * time.Second}
	r, err := PlaySettings(plan, s.Do, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Scenes) != 3 {
		t.Fatalf("%d scenes", len(r.Scenes))
	}
	for _, sc := range r.Scenes {
		if sc.Reached != sc.Of || (sc.Of == 0) != sc.Steady || sc.WatchesEnded > 0 {
			t.Errorf("%s: %d of %d have it, %d breaks", sc.Name, sc.Reached, sc.Of, sc.WatchesEnded)
		}
	}
	if change := r.Scenes[2]; change.Of != 100 || change.BytesEach <= 0 || change.BytesEach > 3000 {
		t.Errorf("%d times, %.0f bytes for each", change.Of, change.BytesEach)
	}
}
