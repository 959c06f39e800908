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

// newRosterHarness returns a harness whose list comes through a roster, with discovery as primary source and another one
// as fallback.
func newRosterHarness(t *testing.T, change func(*roster.Settings)) (*harness, *viewDecider) {
	h := &harness{t: t, now: time.Hour, cfg: settings()}
	h.start(100)
	v := &viewDecider{t: t, members: map[string]brain.Member{}, sends: map[string]string{}}
	h.r = NewWithDecider(h.cfg, v, 100)
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

// rosterFleet returns entries of app nodes for a source.
func rosterFleet(state roster.State, from, to int) (entries []roster.Entry) {
	for i := from; i < to; i++ {
		entries = append(entries, roster.Entry{ID: fmt.Sprint("s", i), Address: fmt.Sprint("n", i, ":1"), Zone: "a", Weight: 1, State: state})
	}
	return entries
}

func (v *viewDecider) states() (ready, draining int) {
	for _, m := range v.members {
		if m.State == brain.Ready {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining
}

// The lists of the sources are merged: discovery decides while it is heard, a drain by the other source applies, and the
// other one decides once discovery has been silent for too long. Large lists are processed in slices.
func TestSourcesAreMerged(t *testing.T) {
	h, v := newRosterHarness(t, nil)
	l := List{Complete: true, Revision: 1}
	for _, e := range rosterFleet(roster.Up, 0, 1000) {
		l.Members = append(l.Members, brain.Member{Server: e.ID, Zone: e.Zone, Weight: 1})
		l.Addresses = append(l.Addresses, e.Address)
	}
	h.listed(l)
	if len(h.r.jobs) == 0 {
		t.Error("1,000 entries processed in one event")
	}
	h.advance(0)
	h.do(SourceList{Source: 1, Complete: true, Revision: 7, Entries: append(rosterFleet(roster.Up, 0, 900), rosterFleet(roster.Draining, 900, 910)...)})
	h.advance(0)
	if ready, draining := v.states(); ready != 990 || draining != 10 || v.largestUpdate > 2*maxEntriesPerEvent {
		t.Errorf("%d ready, %d draining, largest update %d", ready, draining, v.largestUpdate)
	}
	for range 70 { // discovery is silent, the store is still heard
		h.do(SourceAlive{1})
		h.advance(time.Second)
	}
	if ready, draining := v.states(); ready != 900 || draining > 100 {
		t.Errorf("according to the store: %d ready, %d draining", ready, draining)
	}
	if !strings.Contains(fmt.Sprint(h.r.Roster().Sources()), "store") {
		t.Errorf("%+v", h.r.Roster().Sources())
	}
}

// An implausible empty list is logged and does not take all app nodes out of service.
func TestEmptyListIsNotTrusted(t *testing.T) {
	h, v := newRosterHarness(t, func(s *roster.Settings) {
		s.Sources, s.LossShare, s.LossFor = s.Sources[:1], 0.5, time.Minute
	})
	h.listed(list(true, brain.Ready, "a:1", "b:1", "c:1", "e:1"))
	h.advance(0)
	logLines := 0
	h.do(Listed{h.r.watchID, List{Complete: true, Revision: 2}})
	for _, e := range h.effects {
		if l, ok := e.(Log); ok && strings.HasPrefix(l.Text, "roster: ") {
			logLines++
		}
	}
	h.advance(2 * time.Second)
	if ready, _ := v.states(); ready != 4 || logLines == 0 {
		t.Errorf("%d ready, %d log lines", ready, logLines)
	}
	h.listed(List{Revision: 3, Addresses: []string{""}, Members: []brain.Member{{Server: "s0", State: brain.Gone}}})
	if ready, _ := v.states(); ready != 3 {
		t.Errorf("%d ready after one was removed", ready)
	}
}

// An app node that is listed as up but cannot be connected to gets only an occasional trial call, until a connect
// succeeds.
func TestUnreachableServerGetsNoCalls(t *testing.T) {
	h, _ := newRosterHarness(t, func(s *roster.Settings) {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = 3, 100*ms, 0.5
		s.TrialFirst, s.TrialMost, s.TrialFor = time.Second, 8*time.Second, 250*ms
	})
	decider, err := brain.New(h.cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	h.r.pools[0].decider = decider
	h.listed(list(true, brain.Ready, "a:1", "b:1", "c:1"))
	h.advance(0)
	state := func() brain.Readiness { return h.r.servers["s2"].member.State }
	connects := 0
	run := func(alive bool) {
		for range 3 { // at once, so that each app node would get one
			h.arrive(0, 600*ms)
		}
		for _, d := range h.inState(dialing) {
			if h.r.conns[d].srv.id == "s2" {
				connects++
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
	if state() != brain.Draining || !strings.Contains(h.r.Roster().Explain("s2"), "connect") {
		t.Fatalf("after %d connects to s2: %v, %s", connects, state(), h.r.Roster().Explain("s2"))
	}
	connects = 0
	for range 1000 { // 20 s
		run(false)
	}
	if connects > 10 {
		t.Errorf("%d of 3000 calls tried s2", connects)
	}
	for i := 0; i < 3000 && state() != brain.Ready; i++ { // a minute
		run(true)
	}
	if state() != brain.Ready {
		t.Errorf("s2 reachable again: %v, %s", state(), h.r.Roster().Explain("s2"))
	}
}

// A source whose changes do not follow on the held revision is asked once for its complete list.
func TestRefetchOnRevisionGap(t *testing.T) {
	h, _ := newRosterHarness(t, nil)
	h.do(SourceList{Source: 1, Complete: true, Revision: 9, Entries: rosterFleet(roster.Up, 0, 3)})
	h.do(SourceList{Source: 1, Revision: 4, Entries: rosterFleet(roster.Up, 3, 4)})
	refetched := func() bool {
		return h.hasEffect(func(e Effect) bool { f, ok := e.(Refetch); return ok && f.Source == 1 })
	}
	if !refetched() {
		t.Errorf("%+v", h.effects)
	}
	h.do(SourceFailed{1, errors.New("cut")})
	if refetched() {
		t.Error("list requested twice")
	}
}
