package reducer

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/roster"
)

// rostered is a world whose list comes through a roster: the platform's discovery first, another source as its fallback.
func newRosterHarness(t *testing.T, change func(*roster.Settings)) (*harness, *viewDecider) {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.start(100)
	v := &viewDecider{t: t, view: map[string]brain.Member{}, sends: map[string]string{}}
	h.r = NewWith(h.cfg, v, 100)
	s := roster.Settings{Hold: 2 * time.Second, Sources: []roster.Source{
		{Name: "discovery", Role: roster.Primary, Stale: 6 * time.Second, Lost: time.Minute},
		{Name: "store", Role: roster.Fallback, Stale: 6 * time.Second, Lost: time.Minute}}}
	if change != nil {
		change(&s)
	}
	m, err := roster.New(s)
	if err != nil {
		t.Fatal(err)
	}
	h.r.UseRoster(m, 0)
	h.do(Started{Discovery: "d:1"})
	h.do(Reloaded{Discovery: "d:2"}) // opens a watch
	return h, v
}

// fleetOf lists app nodes for a source.
func rosterFleet(state roster.State, from, to int) (es []roster.Entry) {
	for i := from; i < to; i++ {
		es = append(es, roster.Entry{ID: fmt.Sprint("s", i), Address: fmt.Sprint("n", i, ":1"), Zone: "a", Weight: 1, State: state})
	}
	return es
}

func (v *viewDecider) states() (ready, draining int) {
	for _, m := range v.view {
		if m.State == brain.Ready {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining
}

// What sources say becomes one list: discovery decides while it is heard, a drain of the other holds, and the other decides
// once discovery has been silent for too long. Large lists come in slices.
func TestSourcesBecomeOneList(t *testing.T) {
	h, v := newRosterHarness(t, nil)
	l := List{Complete: true, Revision: 1}
	for _, e := range rosterFleet(roster.Up, 0, 1000) {
		l.Members = append(l.Members, brain.Member{Server: e.ID, Zone: e.Zone, Weight: 1})
		l.Addresses = append(l.Addresses, e.Address)
	}
	h.listed(l)
	if len(h.r.jobs) == 0 {
		t.Error("a thousand entries in one event")
	}
	h.advance(0)
	h.do(Said{Source: 1, Whole: true, Revision: 7, Entries: append(rosterFleet(roster.Up, 0, 900), rosterFleet(roster.Draining, 900, 910)...)})
	h.advance(0)
	if ready, draining := v.states(); ready != 990 || draining != 10 || v.largestUpdate > 2*maxEntriesPerEvent {
		t.Errorf("%d ready, %d draining, %d told at once", ready, draining, v.largestUpdate)
	}
	for range 70 { // discovery says nothing any more, the store goes on
		h.do(Heard{1})
		h.advance(time.Second)
	}
	if ready, draining := v.states(); ready != 900 || draining > 100 {
		t.Errorf("by the store: %d ready, %d draining", ready, draining)
	}
	if !strings.Contains(fmt.Sprint(h.r.Roster().Sources()), "store") {
		t.Errorf("%+v", h.r.Roster().Sources())
	}
}

// A registry that breaks says so once, and its empty list takes no site down.
func TestAnEmptyListIsDoubted(t *testing.T) {
	h, v := newRosterHarness(t, func(s *roster.Settings) {
		s.Sources, s.LossShare, s.LossFor = s.Sources[:1], 0.5, time.Minute
	})
	h.listed(list(true, brain.Ready, "a:1", "b:1", "c:1", "e:1"))
	h.advance(0)
	said := 0
	h.do(Listed{h.r.watchID, List{Complete: true, Revision: 2}})
	for _, e := range h.effects {
		if l, ok := e.(Log); ok && strings.HasPrefix(l.Text, "roster: ") {
			said++
		}
	}
	h.advance(2 * time.Second)
	if ready, _ := v.states(); ready != 4 || said == 0 {
		t.Errorf("%d ready, %d lines", ready, said)
	}
	h.listed(List{Revision: 3, Addresses: []string{""}, Members: []brain.Member{{Server: "s0", State: brain.Gone}}})
	if ready, _ := v.states(); ready != 3 {
		t.Errorf("%d ready after one was told to be gone", ready)
	}
}

// An app node that is listed as up while every connect to it fails gets no calls but a rare trial, until one succeeds.
func TestADeadEntryGetsNoCalls(t *testing.T) {
	h, _ := newRosterHarness(t, func(s *roster.Settings) {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = 3, 100*ms, 0.5
		s.TrialFirst, s.TrialMost, s.TrialFor = time.Second, 8*time.Second, 250*ms
	})
	module, err := brain.New(h.cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	h.r.pools[0].decider = module
	h.listed(list(true, brain.Ready, "a:1", "b:1", "c:1"))
	h.advance(0)
	state := func() brain.Readiness { return h.r.servers["s2"].member.State }
	touched := 0
	run := func(alive bool) {
		for range 3 { // at a time, so that each app node would get one
			h.arrive(0, 600*ms)
		}
		for _, d := range h.inState(dialing) {
			if h.r.conns[d].srv.id == "s2" {
				touched++
				var err error
				if !alive {
					err = errDown
				}
				h.dialed(d, err)
				continue
			}
			h.dialed(d, nil)
		}
		h.advance(5 * ms)
		for _, b := range h.inState(busy) {
			h.exchanged(goodAnswer(b))
		}
		h.advance(20 * ms)
	}
	for i := 0; i < 2000 && state() == brain.Ready; i++ {
		run(false)
	}
	if state() != brain.Draining || !strings.Contains(h.r.Roster().Why("s2"), "connect") {
		t.Fatalf("%d calls touched it: %v, %s", touched, state(), h.r.Roster().Why("s2"))
	}
	touched = 0
	for range 1000 { // 20 s
		run(false)
	}
	if touched > 10 {
		t.Errorf("%d of 3000 calls touched it", touched)
	}
	for i := 0; i < 3000 && state() != brain.Ready; i++ { // a minute
		run(true)
	}
	if state() != brain.Ready {
		t.Errorf("alive again: %v, %s", state(), h.r.Roster().Why("s2"))
	}
}

// A source whose changes do not follow on what was held is asked for its whole list, once.
func TestAWholeListIsAskedFor(t *testing.T) {
	h, _ := newRosterHarness(t, nil)
	h.do(Said{Source: 1, Whole: true, Revision: 9, Entries: rosterFleet(roster.Up, 0, 3)})
	h.do(Said{Source: 1, Revision: 4, Entries: rosterFleet(roster.Up, 3, 4)})
	asked := func() bool {
		return h.hasEffect(func(e Effect) bool { f, ok := e.(Refetch); return ok && f.Source == 1 })
	}
	if !asked() {
		t.Errorf("%+v", h.effects)
	}
	h.do(SourceBroke{1, errors.New("cut")})
	if asked() {
		t.Error("asked for twice")
	}
}
