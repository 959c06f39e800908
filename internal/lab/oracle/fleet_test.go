package oracle

import (
	"testing"
	"time"
)

// What the balancers do together is counted where it is known how much that must be.
func TestFleetCounts(t *testing.T) {
	// 60 a second go to four app nodes in turn, each on a connection of its own, and one watch stays open.
	even := play(t, "", "[]", "60", 3)
	if even.HottestNode < 15 || even.HottestNode > 40 || even.MostConns < 1 || even.MostConns > 20 || even.MostCalls != 1 || even.ColdShare != 0 {
		t.Errorf("%+v", even.Fleet)
	}
	// All go to the newest, which is cold: more than it bears, from a balancer that was told of its start.
	one := play(t, "cold", `[{"kind": "join", "at": "2s", "count": 1}]`, "250", 3)
	if one.HottestNode < 200 || one.ColdShare <= 1 || one.MostConns <= even.MostConns {
		t.Errorf("%+v", one.Fleet)
	}
	// Answers that come late are served after their aim; here most, since one app node has the work of four.
	if one.AfterAim <= even.AfterAim || one.AfterAim > one.Served {
		t.Errorf("%d of %d and %d of %d served after their aim", even.AfterAim, even.Served, one.AfterAim, one.Served)
	}
	// An even part of a cold one's load stays under its bound, and is counted.
	if kept := play(t, "", `[{"kind": "join", "at": "2s", "count": 1}]`, "60", 3); kept.ColdShare <= 0 || kept.ColdShare >= 1 {
		t.Errorf("%+v", kept.Fleet)
	}
}

func TestATallyBeginsAnewEachSecond(t *testing.T) {
	var c tally
	for _, x := range []struct {
		at   time.Duration
		want uint64
	}{{0, 1}, {999 * time.Millisecond, 2}, {time.Second, 1}, {5 * time.Second, 1}, {5500 * time.Millisecond, 2}} {
		if got := c.add(x.at); got != x.want {
			t.Errorf("at %v: %d, want %d", x.at, got, x.want)
		}
	}
}
