package scale

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"pewterrudder/internal/reducer"
)

// The shortest table has every figure, and the reducer knew every entry of every list.
func TestRows(t *testing.T) {
	r, err := Run(Budget{Sizes: []int{10, 40}, Changes: 9, Lists: 2, Calls: 500, Most: time.Minute}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range []int{10, 40} {
		row := r.Rows[i]
		if row.Nodes != n || row.Change.Times != 9 || row.Joined.Times != 3 || row.Left.Times != 3 || row.Full.Times != 2 ||
			row.Block.Times != 2 || row.Request.Times != 500 {
			t.Errorf("%d nodes: counts %+v", n, row)
		}
		if row.ChangeUs <= 0 || row.FullMs <= 0 || row.RequestUs <= 0 || row.BytesPerNode <= 0 || row.LongestBlockMs <= 0 {
			t.Errorf("%d nodes: a figure is missing: %+v", n, row)
		}
		if row.Block.Max > row.Replace.Max {
			t.Errorf("%d nodes: one event of a list took %v ms, the list %v", n, row.Block.Max, row.Replace.Max)
		}
	}
	var text bytes.Buffer
	r.Table(&text)
	if !strings.Contains(text.String(), "longest_block_ms") || strings.Count(text.String(), "its longest event") != 2 {
		t.Errorf("table:\n%s", text.String())
	}
}

// A list belongs to what the reducer sets for at once, and not to what it sets for later.
func TestTakeFollowsWhatIsDueAtOnce(t *testing.T) {
	g, err := newRig(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(4, 0)
	g.handle(reducer.Started{Known: f.list(true), Discovery: "scale"})
	g.rest()
	g.due = nil
	soon, late := &reducer.Call{ID: 1, Tenant: -1, Deadline: g.now + time.Hour}, &reducer.Call{ID: 2, Tenant: -1, Deadline: g.now + time.Hour}
	g.later(0, reducer.Arrived{Call: soon})
	g.later(2*atOnce, reducer.Arrived{Call: late})
	took, longest := g.take(f.list(true))
	if g.red.Open() != 1 {
		t.Errorf("%d calls have arrived, want the one that was due at once", g.red.Open())
	}
	if longest <= 0 || longest >= took {
		t.Errorf("the longest of two events took %v of %v", longest, took)
	}
}

// A replaced entry is another's at the same address, and the reducer drops the one that was there.
func TestReplacedEntriesAreDropped(t *testing.T) {
	g, err := newRig(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(2, 0)
	g.handle(reducer.Started{Known: f.list(true), Discovery: "scale"})
	first := f.members[0].Server
	g.now += time.Hour
	f.replace(0, g.now)
	if f.members[0].Server == first || f.addresses[0] != address(1) || f.members[0].Started != g.now {
		t.Fatalf("replaced by %+v at %s", f.members[0], f.addresses[0])
	}
	g.take(f.list(false, 0)) // the old entry is not named: its address tells
	for range 200 {
		g.call()
	}
	g.rest()
	if g.answers != 200 {
		t.Errorf("%d of 200 calls were answered", g.answers)
	}
}

// Divided into pools, all that is measured is the same, each app node is of one pool, and calls are answered by all of them.
func TestPoolsDivideTheFleet(t *testing.T) {
	r, err := Run(Budget{Sizes: []int{40}, Pools: 20, Changes: 9, Lists: 2, Calls: 500, Most: time.Minute}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if row := r.Rows[0]; r.Pools != 20 || row.Change.Times != 9 || row.Request.Times != 500 || row.FullMs <= 0 {
		t.Errorf("%+v", r)
	}
	g, err := newRig(1, 20)
	if err != nil {
		t.Fatal(err)
	}
	g.handle(reducer.Started{Known: newFleet(60, 20).list(true), Discovery: "scale"})
	g.until(g.now + atOnce)
	names, members, _ := g.red.Pools()
	for i, n := range members {
		if n != 3 {
			t.Errorf("pool %s has %d app nodes", names[i], n)
		}
	}
	for range 200 {
		g.call()
	}
	g.rest()
	var served uint64
	g.red.Handle(g.now, reducer.Look{To: func(v reducer.View) { served = v.Served }}, nil)[0].(reducer.Tell).Do()
	if len(members) != 20 || served != 200 {
		t.Errorf("%d pools served %d of 200 calls", len(members), served)
	}
}

func TestBudgets(t *testing.T) {
	for _, b := range []Budget{{}, {Sizes: []int{1}, Changes: 3, Lists: 1, Calls: 1}, {Sizes: []int{10}, Changes: 2, Lists: 1, Calls: 1},
		{Sizes: []int{10}, Changes: 3, Calls: 1}, {Sizes: []int{10}, Changes: 3, Lists: 1}, {Sizes: []int{10}, Pools: 11, Changes: 3, Lists: 1, Calls: 1},
		{Sizes: []int{10000}, Pools: reducer.PoolsMost + 1, Changes: 3, Lists: 1, Calls: 1}} {
		if _, err := Run(b, nil); err == nil {
			t.Errorf("%+v is taken", b)
		}
	}
}
