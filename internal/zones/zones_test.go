package zones

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 0, 0) }

const ms = time.Millisecond

// twoZones returns settings with two classes: 0 (look) is movable and of low value, 1 (order) stays in its zone and is
// of higher value.
func twoZones(balancers int) Settings {
	return Settings{Zones: []string{"north", "south"}, OwnZone: 0, Tiers: [][]int{{0}, {1}}, Balancers: balancers,
		Classes: []Class{{Value: 1, Work: 10, Movable: true}, {Value: 5, Work: 30}}}
}

// newState returns a State whose zones have four ready members each.
func newState(t interface{ Fatal(...any) }, cfg Settings) *State {
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Zones {
		s.SetMembers(0, i, 4, 4, 0)
	}
	return s
}

func TestInvalidSettingsAreNamed(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"Zones: 0":           func(s *Settings) { s.Zones = nil },
		"Own: there is no":   func(s *Settings) { s.OwnZone = 2 },
		"Balancers must":     func(s *Settings) { s.Balancers = 0 },
		"Classes is empty":   func(s *Settings) { s.Classes = nil },
		"Fill: 1.5":          func(s *Settings) { s.MaxFill = 1.5 },
		"SpillFrom: 0.5":     func(s *Settings) { s.SpillFrom = 0.5 },
		"Classes[1]: Value":  func(s *Settings) { s.Classes[1].Work = -1 },
		"Tiers[1]: zone 0":   func(s *Settings) { s.Tiers[1][0] = 0 },
		"Tiers[0] must":      func(s *Settings) { s.Tiers = s.Tiers[1:] },
		"Settle is negative": func(s *Settings) { s.SettlingTime = -1 },
	} {
		cfg := twoZones(1)
		invalidate(&cfg)
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
}

// Random events, with these invariants: no zone gets more than its limit within a second, no call goes to a dark zone
// but as a trial, trials are not too frequent, hold times grow with relapses, and orders are not shed before looks.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := twoZones(rapid.IntRange(1, 4).Draw(t, "balancers"))
		if rapid.Bool().Draw(t, "three") {
			cfg.Zones = append(cfg.Zones, "east")
			cfg.Tiers = append(cfg.Tiers, []int{2})
		}
		s := newState(t, cfg)
		var now time.Duration
		type sent struct {
			at   time.Duration
			cost float64
		}
		n := len(cfg.Zones)
		bound, limits := make([][]sent, n), make([][]sent, n) // in the last second, by zone
		limitedAt, trialAt := make([]time.Duration, n), make([]time.Duration, n)
		holdTimes, wasDark := make([]time.Duration, n), make([]bool, n)
		notes := []LogLine{}
		var downNotes, downChanges int
		wasDown := s.allDown
		check := func() {
			if s.allDown != wasDown && s.membersSeen {
				wasDown = s.allDown
				downChanges++
			}
			for i := range s.zones {
				z := &s.zones[i]
				if !z.limited {
					limitedAt[i], limits[i], bound[i] = now, nil, nil
				}
				limits[i] = append(limits[i], sent{now, z.limit})
				if isDark := z.state == dark; isDark != wasDark[i] {
					wasDark[i] = isDark
					if h := s.holdTime(z); isDark {
						if h < holdTimes[i] && now-z.returnedAt < cfg.RelapseExpiry {
							t.Fatalf("zone %d relapsed after %v and has a hold time of %v, less than the %v before", i, now-z.returnedAt, h, holdTimes[i])
						}
						holdTimes[i] = h
					}
				}
			}
		}
		arrive := func(class int) Bound {
			allDown := false
			b := s.Arrived(now, class)
			allDown = s.allDown
			check()
			switch {
			case b.Shed && (b.First|b.Later != 0 || allDown):
				t.Fatalf("a shed call has a bound, or was shed while no zone is usable: %+v", b)
			case allDown && b != Bound{}:
				t.Fatalf("no zone is usable and the bound is %+v, want none", b)
			case b.Trial:
				i := slices.IndexFunc(s.zones, func(z zone) bool {
					return b.First == 1<<slices.IndexFunc(cfg.Zones, func(v string) bool { return v == z.name })
				})
				if class != 0 || s.zones[i].state != dark || trialAt[i] > 0 && now-trialAt[i] < defaultTrialEvery {
					t.Fatalf("trial of zone %d by class %d, %v after the last one", i, class, now-trialAt[i])
				}
				trialAt[i] = now
			case b.First != 0:
				for i := range s.zones {
					if b.First != 1<<i {
						continue
					}
					z := &s.zones[i]
					if !z.usable() {
						t.Fatalf("a call goes to zone %d, which is %s with capacity %v", i, stateNames[z.state], z.capacity)
					}
					bound[i] = append(bound[i], sent{now, s.cost(class)})
					expired := func(e sent) bool { return e.at < now-time.Second || e.at < limitedAt[i] }
					bound[i], limits[i] = slices.DeleteFunc(bound[i], expired), slices.DeleteFunc(limits[i], expired)
					maxLimit, sum, last := 0.0, 0.0, 0.0
					for _, r := range limits[i] {
						maxLimit = max(maxLimit, r.cost)
					}
					for _, v := range bound[i] {
						sum += v.cost
						last = max(last, v.cost)
					}
					own := i == cfg.OwnZone && z.state == well // is used beyond its limit if the others are full
					if z.limited && !own && limitedAt[i] < now-time.Second && sum > maxLimit*(1+maxCredit+maxDebt)+2*last {
						t.Fatalf("zone %d has a limit of %.3f cores and got %.3f core-seconds within a second", i, maxLimit, sum)
					}
				}
			}
			if class == 1 && b.Later != b.First {
				t.Fatalf("an order for zones %b may later go to %b", b.First, b.Later)
			}
			return b
		}
		zone, class := rapid.IntRange(0, n-1), rapid.IntRange(0, 1)
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 10, 10, 40, 300, 3000}).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3:
				c := class.Draw(t, "class")
				if b := arrive(c); b.Shed && c == 1 {
					if b := arrive(0); !b.Shed && !b.Trial {
						t.Fatalf("an order was shed, but a look at the same time was not: %+v", b)
					}
				}
			case 4, 5:
				s.Sent(now, zone.Draw(t, "zone"), class.Draw(t, "class"))
			case 6, 7, 8:
				o := Outcome(rapid.IntRange(int(OK), int(Cancelled)).Draw(t, "outcome"))
				s.Ended(now, zone.Draw(t, "zone"), class.Draw(t, "class"), o, 20*ms, rapid.Bool().Draw(t, "inTime"),
					rapid.Float64Range(-0.1, 1.2).Draw(t, "util"), 0)
			case 9:
				k := rapid.IntRange(0, 4).Draw(t, "members")
				s.SetMembers(now, zone.Draw(t, "zone"), float64(k)*rapid.Float64Range(0.2, 1).Draw(t, "warmth"), k, 0)
			}
			check()
			notes = append(notes, s.Tick(now)...)
			check()
		}
		for _, note := range notes {
			if note.Zone < 0 {
				downNotes++
			}
		}
		if max(0, downChanges-1) > downNotes || downNotes > downChanges {
			t.Fatalf("%d log lines on whether any zone is usable, for %d changes", downNotes, downChanges)
		}
	})
}

// While the own zone answers and is not full, no call may leave it, whatever other zones do.
func TestNoSpillWhileOwnZoneHasCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(t, twoZones(2))
		busy := rapid.Float64Range(0, defaultSpillFrom-0.01)
		for now := time.Duration(0); now < 20*time.Second; now += 12 * ms {
			class := rapid.IntRange(0, 1).Draw(t, "class")
			if b := s.Arrived(now, class); b.First != 1 && !b.Trial {
				t.Fatalf("at %v: %+v, though the own zone has capacity", now, b)
			}
			s.Sent(now, 0, class)
			o := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, OK, Late, Errored, Shed, ConnectFailed, TimedOut}).Draw(t, "outcome")
			s.Ended(now+10*ms, 0, class, o, 10*ms, true, busy.Draw(t, "busy"), 0)
			if rapid.IntRange(0, 9).Draw(t, "far") == 0 {
				s.Ended(now+10*ms, 1, class, Outcome(rapid.IntRange(0, 7).Draw(t, "far outcome")), 10*ms, false, 1, 9)
			}
		}
	})
}

// timeUntilDark stops all answers of the own zone from a given time on and returns the time until it is dark.
func timeUntilDark(t *testing.T, s *State, now time.Duration, gap time.Duration) time.Duration {
	for at := now; at < now+10*time.Second; at += gap {
		b := s.Arrived(at, 1)
		if s.zones[0].state == dark {
			if b.First == 1 {
				t.Fatalf("at %v an order goes to the dark zone", at)
			}
			return at - now
		}
		s.Sent(at, 0, 1)
	}
	t.Fatal("the zone was not marked dark within 10 s")
	return 0
}

// serveWell has the own zone answer calls successfully during a period.
func serveWell(s *State, from, to, gap time.Duration) {
	for now := from; now < to; now += gap {
		s.Arrived(now, 0)
		s.Sent(now, 0, 0)
		s.Ended(now+gap/2, 0, 0, OK, 10*ms, true, 0.4, 0)
	}
}

func TestDarkZoneIsDetectedQuickly(t *testing.T) {
	s := newState(t, twoZones(1))
	serveWell(s, 0, 5*time.Second, 12*ms)
	if took := timeUntilDark(t, s, 5*time.Second, 12*ms); took > 350*ms {
		t.Errorf("detected after %v at 80 calls a second", took)
	}
	s = newState(t, twoZones(1)) // at few calls detection takes longer, and three lost calls
	serveWell(s, 0, 50*time.Second, 500*ms)
	if took := timeUntilDark(t, s, 50*time.Second, 500*ms); took > 2*time.Second {
		t.Errorf("detected after %v at 2 calls a second", took)
	}
}

// timeUntilReturn has all trials succeed from a given time on and returns the time until the zone gets calls back.
func timeUntilReturn(t *testing.T, s *State, now time.Duration) time.Duration {
	for at := now; at < now+2*time.Minute; at += 12 * ms {
		if b := s.Arrived(at, 0); b.Trial {
			s.Sent(at, 0, 0)
			s.Ended(at+10*ms, 0, 0, OK, 10*ms, true, 0, 0)
		}
		s.Ended(at+10*ms, 1, 0, OK, 10*ms, true, 0.4, 0) // the other zone stays well
		if s.zones[0].state == returning {
			return at - now
		}
	}
	t.Fatal("the zone did not return within 2 minutes")
	return 0
}

// A flapping zone must wait longer after each relapse, up to a bound, and as short as at first after long good service.
func TestHoldTimeGrowsWithRelapsesAndResets(t *testing.T) {
	s := newState(t, twoZones(1))
	serveWell(s, 0, 5*time.Second, 12*ms)
	now, last := 5*time.Second, time.Duration(0)
	for i := range 8 {
		now += timeUntilDark(t, s, now, 12*ms)
		took := timeUntilReturn(t, s, now)
		now += took
		if i > 0 && i < 6 && took < last*3/2 || took > defaultHoldMost+2*time.Second || took < last-time.Second {
			t.Errorf("relapse %d: returned after %v, the time before after %v", i, took, last)
		}
		last = took
	}
	serveWell(s, now, now+10*defaultForgive, 12*ms)
	now += 10 * defaultForgive
	now += timeUntilDark(t, s, now, 12*ms)
	if took := timeUntilReturn(t, s, now); took > 2*time.Second {
		t.Errorf("returned after %v, after ten minutes of good service", took)
	}
}

func TestAllZonesDownSendsCallsEverywhereAndLogsOnce(t *testing.T) {
	s := newState(t, twoZones(1))
	serveWell(s, 0, 5*time.Second, 12*ms)
	s.SetMembers(5*time.Second, 1, 0, 0, 0)
	lines := 0
	for now := 5 * time.Second; now < 9*time.Second; now += 12 * ms {
		b := s.Arrived(now, 1)
		if now > 6*time.Second && b != (Bound{}) {
			t.Fatalf("at %v: %+v", now, b)
		}
		for _, n := range s.Tick(now) {
			if n.Zone < 0 {
				lines++
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d log lines, want 1", lines)
	}
}

// When the own zone loses half of its capacity, the calls above the rest must spill at once, and no more than those.
func TestCapacityLossSpillsTheLostShare(t *testing.T) {
	s := newState(t, twoZones(1))
	now := time.Duration(0)
	step := func(busy float64) Bound {
		now += 4 * ms // 250 calls a second of 10 ms: 2.5 cores of 4
		b := s.Arrived(now, 0)
		z := 0
		if b.First == 2 {
			z = 1
		}
		if !b.Shed {
			s.Sent(now, z, 0)
			s.Ended(now, z, 0, OK, 10*ms, true, busy, 0)
		}
		return b
	}
	for now < 20*time.Second {
		step(0.625)
	}
	s.SetMembers(now, 0, 2, 2, 0)
	spilled, all := 0, 0
	for from := now; now < from+time.Second; all++ {
		if b := step(0.625); b.First == 2 {
			spilled++
		}
	}
	if share := float64(spilled) / float64(all); share < 0.15 || share > 0.4 { // of 2.5 cores 2*0.92 stay, so 26% leave
		t.Errorf("%.0f%% of the calls left the zone", 100*share)
	}
}

func TestZoneThatOnlyFailsIsAvoided(t *testing.T) {
	s := newState(t, twoZones(1))
	serveWell(s, 0, 5*time.Second, 12*ms)
	for now := 5 * time.Second; now < 7*time.Second; now += 12 * ms {
		s.Arrived(now, 0)
		s.Sent(now, 0, 0)
		s.Ended(now+2*ms, 0, 0, Errored, 2*ms, false, 0.1, 0)
	}
	if b := s.Arrived(7*time.Second, 1); b.First == 1 {
		t.Errorf("%+v: a call goes to a zone that has failed all calls for 2 s", b)
	}
}

// Duplicates cancelled because another copy was faster must not count as silence of their zone.
func TestCancelledDuplicatesAreNotSilence(t *testing.T) {
	s := newState(t, twoZones(1))
	serveWell(s, 0, 5*time.Second, 12*ms)
	s.Sent(5*time.Second, 1, 0)
	s.Ended(5*time.Second+10*ms, 1, 0, OK, 10*ms, true, 0.4, 0)
	for now := 5 * time.Second; now < 15*time.Second; now += 200 * ms {
		serveWell(s, now, now+200*ms, 12*ms)
		s.Sent(now+200*ms, 1, 0)
		s.Ended(now+205*ms, 1, 0, Cancelled, 5*ms, false, -1, 0)
	}
	if s.zones[1].state != well {
		t.Error(s.Describe())
	}
}

// newReturningState returns a State whose own zone has just become returning, with all members cold, and the time.
func newReturningState(t *testing.T) (*State, time.Duration) {
	s := newState(t, twoZones(1))
	serveWell(s, 0, 20*time.Second, 12*ms)
	now := 20*time.Second + timeUntilDark(t, s, 20*time.Second, 12*ms)
	s.SetMembers(now, 0, 2, 4, 4)
	return s, now + timeUntilReturn(t, s, now)
}

// A returning zone's limit must grow only while answers are good, and at most double at a step.
func TestReturningLimitGrowsOnlyWithGoodAnswers(t *testing.T) {
	for _, good := range []bool{true, false} {
		s, now := newReturningState(t)
		first := s.zones[0].limit
		last := first
		for end := now + 15*time.Second; now < end; now += 2 * ms {
			b := s.Arrived(now, 0)
			if b.First == 2 {
				s.Sent(now, 1, 0)
				s.Ended(now+ms, 1, 0, OK, 10*ms, true, 0.2, 0)
			}
			if b.First == 1 {
				s.Sent(now, 0, 0)
				if o := OK; good || now%(100*ms) > 20*ms {
					s.Ended(now+ms, 0, 0, o, 10*ms, true, 0.05, 0)
				} else {
					s.Ended(now+ms, 0, 0, ConnectFailed, 75*ms, false, -1, 0)
				}
			}
			limit := s.zones[0].limit
			if limit > 2.3*last {
				t.Fatalf("limit %.3f after %.3f", limit, last)
			}
			last = limit
			if !good && limit > first*1.01 && s.zones[0].state == returning {
				t.Fatalf("the limit grew from %.3f to %.3f while connects fail", first, limit)
			}
		}
		if good && last < 4*first {
			t.Errorf("the limit is %.3f after 15 good seconds, from %.3f", last, first)
		}
	}
}

// While a call for a returning zone is held, because no app node is warm enough, no others may be accepted there.
func TestHeldCallsBlockFurtherCallsToReturningZone(t *testing.T) {
	s, now := newReturningState(t)
	now += 100 * ms
	held := -1
	for i := range 100 {
		b := s.Arrived(now+time.Duration(i)*ms, 0)
		switch {
		case b.First == 1 && held < 0:
			held = i // never sent
		case b.First == 1:
			t.Fatalf("call %d was accepted while call %d is held", i, held)
		}
	}
	if held < 0 {
		t.Fatal("no call went to the returning zone")
	}
	s.Sent(now+100*ms, 0, 0)
	for i := range 100 {
		if b := s.Arrived(now+time.Duration(100+10*i)*ms, 0); b.First == 1 {
			return
		}
	}
	t.Error("no call goes to the zone after the held one was sent")
}

func BenchmarkCall(b *testing.B) {
	s := newState(b, twoZones(3))
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 12 * ms
		s.Arrived(now, i%2)
		s.Sent(now, 0, i%2)
		s.Ended(now+10*ms, 0, i%2, OK, 10*ms, true, 0.5, 1)
	}
}
