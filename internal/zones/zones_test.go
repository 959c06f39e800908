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

// twoZones: look may be repeated anywhere and is worth little, order stays in its zone and is worth more.
func twoZones(balancers int) Settings {
	return Settings{Zones: []string{"north", "south"}, Own: 0, Tiers: [][]int{{0}, {1}}, Balancers: balancers,
		Classes: []Class{{Value: 1, Work: 10, Movable: true}, {Value: 5, Work: 30}}}
}

func made(t interface{ Fatal(...any) }, cfg Settings) *State {
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Zones {
		s.Members(0, i, 4, 4, 0)
	}
	return s
}

func TestSettingsAtFaultAreNamed(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"Zones: 0":           func(s *Settings) { s.Zones = nil },
		"Own: there is no":   func(s *Settings) { s.Own = 2 },
		"Balancers must":     func(s *Settings) { s.Balancers = 0 },
		"Classes is empty":   func(s *Settings) { s.Classes = nil },
		"Fill: 1.5":          func(s *Settings) { s.Fill = 1.5 },
		"SpillFrom: 0.5":     func(s *Settings) { s.SpillFrom = 0.5 },
		"Classes[1]: Value":  func(s *Settings) { s.Classes[1].Work = -1 },
		"Tiers[1]: zone 0":   func(s *Settings) { s.Tiers[1][0] = 0 },
		"Tiers[0] must":      func(s *Settings) { s.Tiers = s.Tiers[1:] },
		"Settle is negative": func(s *Settings) { s.Settle = -1 },
	} {
		cfg := twoZones(1)
		spoil(&cfg)
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
}

// What holds whatever happens, against a short model: who was bound where of late, and what each dark spell came to.
func TestBoundsHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := twoZones(rapid.IntRange(1, 4).Draw(t, "balancers"))
		if rapid.Bool().Draw(t, "three") {
			cfg.Zones = append(cfg.Zones, "east")
			cfg.Tiers = append(cfg.Tiers, []int{2})
		}
		s := made(t, cfg)
		var now time.Duration
		type sent struct {
			at   time.Duration
			cost float64
		}
		n := len(cfg.Zones)
		bound, rooms := make([][]sent, n), make([][]sent, n) // in the last second, by zone
		limitedAt, trialAt := make([]time.Duration, n), make([]time.Duration, n)
		holds, wasDark := make([]time.Duration, n), make([]bool, n)
		notes := []Note{}
		var lostNotes, lostChanges int
		wasLost := s.lost
		check := func() {
			if s.lost != wasLost && s.began {
				wasLost = s.lost
				lostChanges++
			}
			for i := range s.zones {
				z := &s.zones[i]
				if !z.limited {
					limitedAt[i], rooms[i], bound[i] = now, nil, nil
				}
				rooms[i] = append(rooms[i], sent{now, z.room})
				if isDark := z.state == dark; isDark != wasDark[i] {
					wasDark[i] = isDark
					if h := s.hold(z); isDark {
						if h < holds[i] && now-z.backAt < cfg.Forgive {
							t.Fatalf("zone %d relapsed after %v and is held %v, less than the %v before", i, now-z.backAt, h, holds[i])
						}
						holds[i] = h
					}
				}
			}
		}
		arrive := func(class int) Bound {
			lost := false
			b := s.Arrived(now, class)
			lost = s.lost
			check()
			switch {
			case b.Shed && (b.First|b.Later != 0 || lost):
				t.Fatalf("shed and bound, or shed though calls go everywhere: %+v", b)
			case lost && b != Bound{}:
				t.Fatalf("every zone is bad and the bound is %+v", b)
			case b.Trial:
				i := slices.IndexFunc(s.zones, func(z zone) bool {
					return b.First == 1<<slices.IndexFunc(cfg.Zones, func(v string) bool { return v == z.name })
				})
				if class != 0 || s.zones[i].state != dark || trialAt[i] > 0 && now-trialAt[i] < trialEvery {
					t.Fatalf("a trial of zone %d by class %d after %v", i, class, now-trialAt[i])
				}
				trialAt[i] = now
			case b.First != 0:
				for i := range s.zones {
					if b.First != 1<<i {
						continue
					}
					z := &s.zones[i]
					if !z.open() {
						t.Fatalf("a call for zone %d, which is %s with capacity %v", i, stateNames[z.state], z.capacity)
					}
					bound[i] = append(bound[i], sent{now, s.cost(class)})
					over := func(e sent) bool { return e.at < now-time.Second || e.at < limitedAt[i] }
					bound[i], rooms[i] = slices.DeleteFunc(bound[i], over), slices.DeleteFunc(rooms[i], over)
					most, sum, last := 0.0, 0.0, 0.0
					for _, r := range rooms[i] {
						most = max(most, r.cost)
					}
					for _, v := range bound[i] {
						sum += v.cost
						last = max(last, v.cost)
					}
					own := i == cfg.Own && z.state == well // is never shut for others' being full
					if z.limited && !own && limitedAt[i] < now-time.Second && sum > most*(1+credit+debt)+2*last {
						t.Fatalf("zone %d has a room of %.3f and got %.3f within a second", i, most, sum)
					}
				}
			}
			if class == 1 && b.Later != b.First {
				t.Fatalf("an order for %b may later go to %b", b.First, b.Later)
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
						t.Fatalf("an order was shed, and a look at the same instant was not: %+v", b)
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
				s.Members(now, zone.Draw(t, "zone"), float64(k)*rapid.Float64Range(0.2, 1).Draw(t, "warmth"), k, 0)
			}
			check()
			notes = append(notes, s.Tick(now)...)
			check()
		}
		for _, note := range notes {
			if note.Zone < 0 {
				lostNotes++
			}
		}
		if max(0, lostChanges-1) > lostNotes || lostNotes > lostChanges {
			t.Fatalf("%d lines on every zone's being bad for %d changes", lostNotes, lostChanges)
		}
	})
}

// While the own zone answers and is not full, nothing leaves it, whatever other zones do.
func TestNothingSpillsWhileTheOwnZoneCarries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := made(t, twoZones(2))
		busy := rapid.Float64Range(0, spillFrom-0.01)
		for now := time.Duration(0); now < 20*time.Second; now += 12 * ms {
			class := rapid.IntRange(0, 1).Draw(t, "class")
			if b := s.Arrived(now, class); b.First != 1 && !b.Trial {
				t.Fatalf("at %v: %+v though the own zone carries", now, b)
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

// goesDark has the own zone fall silent at a moment and gives the time until calls went elsewhere.
func goesDark(t *testing.T, s *State, now time.Duration, gap time.Duration) time.Duration {
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
	t.Fatal("never seen to be dark")
	return 0
}

func serve(s *State, from, to, gap time.Duration) {
	for now := from; now < to; now += gap {
		s.Arrived(now, 0)
		s.Sent(now, 0, 0)
		s.Ended(now+gap/2, 0, 0, OK, 10*ms, true, 0.4, 0)
	}
}

func TestDarkZoneIsSeenWithinMoments(t *testing.T) {
	s := made(t, twoZones(1))
	serve(s, 0, 5*time.Second, 12*ms)
	if took := goesDark(t, s, 5*time.Second, 12*ms); took > 350*ms {
		t.Errorf("seen after %v at 80 calls a second", took)
	}
	s = made(t, twoZones(1)) // hardly any calls: it takes longer, and three lost ones
	serve(s, 0, 50*time.Second, 500*ms)
	if took := goesDark(t, s, 50*time.Second, 500*ms); took > 2*time.Second {
		t.Errorf("seen after %v at 2 calls a second", took)
	}
}

// backAfter has trials succeed from a moment on and gives the time until the zone got calls back.
func backAfter(t *testing.T, s *State, now time.Duration) time.Duration {
	for at := now; at < now+2*time.Minute; at += 12 * ms {
		if b := s.Arrived(at, 0); b.Trial {
			s.Sent(at, 0, 0)
			s.Ended(at+10*ms, 0, 0, OK, 10*ms, true, 0, 0)
		}
		s.Ended(at+10*ms, 1, 0, OK, 10*ms, true, 0.4, 0) // the other zone stands
		if s.zones[0].state == returning {
			return at - now
		}
	}
	t.Fatal("never back")
	return 0
}

// A zone that flaps waits longer each time, up to a bound, and as short as ever when it has been good for long.
func TestFlappingHoldsBackAndIsForgiven(t *testing.T) {
	s := made(t, twoZones(1))
	serve(s, 0, 5*time.Second, 12*ms)
	now, last := 5*time.Second, time.Duration(0)
	for i := range 8 {
		now += goesDark(t, s, now, 12*ms)
		took := backAfter(t, s, now)
		now += took
		if i > 0 && i < 6 && took < last*3/2 || took > holdMost+2*time.Second || took < last-time.Second {
			t.Errorf("relapse %d: held back for %v, before for %v", i, took, last)
		}
		last = took
	}
	serve(s, now, now+10*forgive, 12*ms)
	now += 10 * forgive
	now += goesDark(t, s, now, 12*ms)
	if took := backAfter(t, s, now); took > 2*time.Second {
		t.Errorf("held back for %v after ten minutes of good service", took)
	}
}

func TestEveryZoneBadMeansEverywhereAndOneLine(t *testing.T) {
	s := made(t, twoZones(1))
	serve(s, 0, 5*time.Second, 12*ms)
	s.Members(5*time.Second, 1, 0, 0, 0)
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
		t.Errorf("%d lines", lines)
	}
}

// Half of the own zone gone: what it has lost goes elsewhere at once, not what is left.
func TestLostCapacitySpillsWhatItCarried(t *testing.T) {
	s := made(t, twoZones(1))
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
	s.Members(now, 0, 2, 2, 0)
	away, all := 0, 0
	for from := now; now < from+time.Second; all++ {
		if b := step(0.625); b.First == 2 {
			away++
		}
	}
	if share := float64(away) / float64(all); share < 0.15 || share > 0.4 { // 2.5 come, 2*0.92 stay: 26%
		t.Errorf("%.0f%% of the calls left", 100*share)
	}
}

func TestZoneThatFailsEverythingIsAsGoodAsDark(t *testing.T) {
	s := made(t, twoZones(1))
	serve(s, 0, 5*time.Second, 12*ms)
	for now := 5 * time.Second; now < 7*time.Second; now += 12 * ms {
		s.Arrived(now, 0)
		s.Sent(now, 0, 0)
		s.Ended(now+2*ms, 0, 0, Errored, 2*ms, false, 0.1, 0)
	}
	if b := s.Arrived(7*time.Second, 1); b.First == 1 {
		t.Errorf("%+v, to a zone that has failed all for 2 s", b)
	}
}

// Copies that are called off because another was faster are no silence.
func TestCopiesCalledOffSayNothing(t *testing.T) {
	s := made(t, twoZones(1))
	serve(s, 0, 5*time.Second, 12*ms)
	s.Sent(5*time.Second, 1, 0)
	s.Ended(5*time.Second+10*ms, 1, 0, OK, 10*ms, true, 0.4, 0)
	for now := 5 * time.Second; now < 15*time.Second; now += 200 * ms {
		serve(s, now, now+200*ms, 12*ms)
		s.Sent(now+200*ms, 1, 0)
		s.Ended(now+205*ms, 1, 0, Cancelled, 5*ms, false, -1, 0)
	}
	if s.zones[1].state != well {
		t.Error(s.Describe())
	}
}

// comes gives a state whose own zone has just answered its trials, all members cold.
func comes(t *testing.T) (*State, time.Duration) {
	s := made(t, twoZones(1))
	serve(s, 0, 20*time.Second, 12*ms)
	now := 20*time.Second + goesDark(t, s, 20*time.Second, 12*ms)
	s.Members(now, 0, 2, 4, 4)
	return s, now + backAfter(t, s, now)
}

// A return goes on only while answers are good, and never by more than twice at a step.
func TestReturnGrowsWithGoodAnswersOnly(t *testing.T) {
	for _, good := range []bool{true, false} {
		s, now := comes(t)
		first := s.zones[0].room
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
			room := s.zones[0].room
			if room > 2.3*last {
				t.Fatalf("room %.3f after %.3f", room, last)
			}
			last = room
			if !good && room > first*1.01 && s.zones[0].state == returning {
				t.Fatalf("the room grew from %.3f to %.3f while connects fail", first, room)
			}
		}
		if good && last < 4*first {
			t.Errorf("the room is %.3f after 15 good seconds, from %.3f", last, first)
		}
	}
}

// A call that is held for want of an app node that is warm enough keeps others from following it there.
func TestHeldCallsStopTheReturn(t *testing.T) {
	s, now := comes(t)
	now += 100 * ms
	held := -1
	for i := range 100 {
		b := s.Arrived(now+time.Duration(i)*ms, 0)
		switch {
		case b.First == 1 && held < 0:
			held = i // and not sent
		case b.First == 1:
			t.Fatalf("call %d follows %d, which is held", i, held)
		}
	}
	if held < 0 {
		t.Fatal("none went there")
	}
	s.Sent(now+100*ms, 0, 0)
	for i := range 100 {
		if b := s.Arrived(now+time.Duration(100+10*i)*ms, 0); b.First == 1 {
			return
		}
	}
	t.Error("none goes there any more")
}

func BenchmarkCall(b *testing.B) {
	s := made(b, twoZones(3))
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 12 * ms
		s.Arrived(now, i%2)
		s.Sent(now, 0, i%2)
		s.Ended(now+10*ms, 0, i%2, OK, 10*ms, true, 0.5, 1)
	}
}
