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
func rostered(t *testing.T, change func(*roster.Settings)) (*world, *viewer) {
	w := &world{t: t, now: time.Hour, cfg: settings()}
	w.start(100)
	v := &viewer{t: t, view: map[string]brain.Member{}, sends: map[string]string{}}
	w.r = NewWith(w.cfg, v, 100)
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
	w.r.UseRoster(m, 0)
	w.do(Started{Discovery: "d:1"})
	w.do(Reloaded{Discovery: "d:2"}) // opens a watch
	return w, v
}

// fleetOf lists app nodes for a source.
func fleetOf(state roster.State, from, to int) (es []roster.Entry) {
	for i := from; i < to; i++ {
		es = append(es, roster.Entry{ID: fmt.Sprint("s", i), Address: fmt.Sprint("n", i, ":1"), Zone: "a", Weight: 1, State: state})
	}
	return es
}

func (v *viewer) states() (ready, draining int) {
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
	w, v := rostered(t, nil)
	l := List{Complete: true, Revision: 1}
	for _, e := range fleetOf(roster.Up, 0, 1000) {
		l.Members = append(l.Members, brain.Member{Server: e.ID, Zone: e.Zone, Weight: 1})
		l.Addresses = append(l.Addresses, e.Address)
	}
	w.listed(l)
	if len(w.r.feeds) == 0 {
		t.Error("a thousand entries in one event")
	}
	w.pass(0)
	w.do(Said{Source: 1, Whole: true, Revision: 7, Entries: append(fleetOf(roster.Up, 0, 900), fleetOf(roster.Draining, 900, 910)...)})
	w.pass(0)
	if ready, draining := v.states(); ready != 990 || draining != 10 || v.most > 2*sliceMost {
		t.Errorf("%d ready, %d draining, %d told at once", ready, draining, v.most)
	}
	for range 70 { // discovery says nothing any more, the store goes on
		w.do(Heard{1})
		w.pass(time.Second)
	}
	if ready, draining := v.states(); ready != 900 || draining > 100 {
		t.Errorf("by the store: %d ready, %d draining", ready, draining)
	}
	if !strings.Contains(fmt.Sprint(w.r.Roster().Sources()), "store") {
		t.Errorf("%+v", w.r.Roster().Sources())
	}
}

// A registry that breaks says so once, and its empty list takes no site down.
func TestAnEmptyListIsDoubted(t *testing.T) {
	w, v := rostered(t, func(s *roster.Settings) {
		s.Sources, s.LossShare, s.LossFor = s.Sources[:1], 0.5, time.Minute
	})
	w.listed(list(true, brain.Ready, "a:1", "b:1", "c:1", "e:1"))
	w.pass(0)
	said := 0
	w.do(Listed{w.r.watch, List{Complete: true, Revision: 2}})
	for _, e := range w.took {
		if l, ok := e.(Log); ok && strings.HasPrefix(l.Text, "roster: ") {
			said++
		}
	}
	w.pass(2 * time.Second)
	if ready, _ := v.states(); ready != 4 || said == 0 {
		t.Errorf("%d ready, %d lines", ready, said)
	}
	w.listed(List{Revision: 3, Addresses: []string{""}, Members: []brain.Member{{Server: "s0", State: brain.Gone}}})
	if ready, _ := v.states(); ready != 3 {
		t.Errorf("%d ready after one was told to be gone", ready)
	}
}

// An app node that is listed as up while every connect to it fails gets no calls but a rare trial, until one succeeds.
func TestADeadEntryGetsNoCalls(t *testing.T) {
	w, _ := rostered(t, func(s *roster.Settings) {
		s.SuspectFails, s.SuspectOver, s.SuspectShare = 3, 100*ms, 0.5
		s.TrialFirst, s.TrialMost, s.TrialFor = time.Second, 8*time.Second, 250*ms
	})
	module, err := brain.New(w.cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	w.r.pools[0].node = module
	w.listed(list(true, brain.Ready, "a:1", "b:1", "c:1"))
	w.pass(0)
	state := func() brain.Readiness { return w.r.servers["s2"].member.State }
	touched := 0
	run := func(alive bool) {
		for range 3 { // at a time, so that each app node would get one
			w.call(0, 600*ms)
		}
		for _, d := range w.in(dialing) {
			if w.r.conns[d].srv.id == "s2" {
				touched++
				var err error
				if !alive {
					err = errDown
				}
				w.dialed(d, err)
				continue
			}
			w.dialed(d, nil)
		}
		w.pass(5 * ms)
		for _, b := range w.in(busy) {
			w.exchanged(good(b))
		}
		w.pass(20 * ms)
	}
	for i := 0; i < 2000 && state() == brain.Ready; i++ {
		run(false)
	}
	if state() != brain.Draining || !strings.Contains(w.r.Roster().Why("s2"), "connect") {
		t.Fatalf("%d calls touched it: %v, %s", touched, state(), w.r.Roster().Why("s2"))
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
		t.Errorf("alive again: %v, %s", state(), w.r.Roster().Why("s2"))
	}
}

// A source whose changes do not follow on what was held is asked for its whole list, once.
func TestAWholeListIsAskedFor(t *testing.T) {
	w, _ := rostered(t, nil)
	w.do(Said{Source: 1, Whole: true, Revision: 9, Entries: fleetOf(roster.Up, 0, 3)})
	w.do(Said{Source: 1, Revision: 4, Entries: fleetOf(roster.Up, 3, 4)})
	asked := func() bool { return w.has(func(e Effect) bool { f, ok := e.(Refetch); return ok && f.Source == 1 }) }
	if !asked() {
		t.Errorf("%+v", w.took)
	}
	w.do(SourceBroke{1, errors.New("cut")})
	if asked() {
		t.Error("asked for twice")
	}
}
