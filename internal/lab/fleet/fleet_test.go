package fleet

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pewterrudder/internal/lab/fleet/shaky"
	"pewterrudder/internal/lab/rebuilt"
	"pewterrudder/internal/lab/scenario"
	"pewterrudder/internal/lab/sockets"
)

var program, inHand, withPeers string // the real balancer, its test build, and it with peers

func TestMain(m *testing.M) {
	if path := os.Getenv("FLEET_TEST_RIG"); path != "" {
		beRig(path)
		return
	}
	flag.Parse()
	flag.Set("test.parallel", strconv.Itoa(cap(beside)))
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "fleet-test-")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "pewterrudder")
		build := exec.Command("go", "build", "-o", program, "pewterrudder/cmd/pewterrudder")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Printf("%v: %s", err, out)
			return 1
		}
		root, err := rebuilt.Root(".")
		if err == nil {
			inHand, err = shaky.Build(root, dir, "in-hand", nil)
		}
		if err == nil {
			withPeers, err = BuildPeers(root, dir)
		}
		if err != nil {
			fmt.Println(err)
			return 1
		}
		return m.Run()
	}())
}

// patient is a bound that a busy machine keeps: what these tests claim does not hang on the rig's being in time.
var patient = sockets.Bound{Worst: time.Minute, Often: time.Minute, Starved: 1000}

// small is a short day for three processes, whose balancer 0 is hit from 1 to 3 s. Its patience is long, so that a machine
// that keeps a process waiting breaks no rule.
const small = `{
	"name": "small", "length": "4s", "zones": ["a", "b"], "balancers": {"count": 3},
	"nodes": [{"count": 4, "cores": 4}],
	"classes": [
		{"name": "look", "share": 0.6, "work": {"mean": 4}, "aim": "400ms", "deadline": "900ms"},
		{"name": "order", "share": 0.4, "work": {"mean": 8}, "repeat": "keyed", "window": "2s", "aim": "400ms", "deadline": "900ms"},
	],
	"traffic": {"rate": 240}, "clients": {"connections": 20, "churn": 0.2}, "discovery": {"capacity": 100},
	"rules": {"grace": "1s", "drain_grace": "10s"},
}`

// run is a day and what its processes said.
type seen struct {
	*Done
	log string
}

func play(t *testing.T, faults string, set ...string) seen {
	t.Helper()
	sc, err := scenario.Parse("small", []byte(small), append([]string{"faults=[" + faults + "]"}, set...)...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var log lockedBuffer
	d, err := Play(ctx, sc, Options{Seed: 3, Balancer: program, InHand: inHand, Peers: withPeers, Log: &log, Bound: patient})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range d.Breaks {
		t.Error(b)
	}
	return seen{d, log.String()}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// within adds up what a balancer did between two moments, in seconds.
func (s seen) within(of []int, from, to float64) int {
	return int(sum(of[s.History.slotOf(from):s.History.slotOf(to)]))
}

// took is the mean time of a balancer's answers between two moments, in ms.
func (s seen) took(balancer int, from, to float64) float64 {
	l := &s.History.Lanes[balancer]
	all := 0.0
	for _, t := range l.Took[s.History.slotOf(from):s.History.slotOf(to)] {
		all += t
	}
	return 1000 * all / float64(max(1, s.within(l.Served, from, to)))
}

// Each fault of the rig bites the balancer that it is meant for, and leaves the others alone. Without its fault each of these
// days fails here: see TestADayWithoutAFaultBitesNobody.
var bites = []struct {
	kind, faults string
	bitten       func(s seen) string // empty: it was
}{
	{"freeze", `{"kind": "freeze", "at": "1s", "for": "2s", "balancers": [0]}`, silent},
	{"line_cut", `{"kind": "line_cut", "at": "1s", "for": "2s", "balancers": [0], "from": "balancers", "to": "nodes"}`, nothingSent},
	{"line_drop", `{"kind": "line_drop", "at": "1s", "for": "2s", "balancers": [0], "from": "balancers", "to": "nodes"}`,
		func(s seen) string {
			if n := s.dials(0, 0.99, 1.01) + s.dials(0, 3, 5); n < 3 { // a line that was only cut keeps its connections
				return fmt.Sprintf("it dialled %d times afterwards", n)
			}
			return nothingSent(s)
		}},
	{"line_cut_one_way", `{"kind": "line_cut_one_way", "at": "1s", "for": "2s", "balancers": [0], "from": "nodes", "to": "balancers"}`,
		func(s seen) string {
			l := &s.History.Lanes[0]
			if n := s.within(l.Attempts, 1, 2); n == 0 { // what has a connection is heard
				return "nothing that it sent came"
			}
			return silent(s)
		}},
	{"line_stall", `{"kind": "line_stall", "at": "1s", "for": "2s", "balancers": [0], "from": "clients", "to": "balancers"}`, silent},
	{"line_delay", `{"kind": "line_delay", "at": "1s", "for": "2s", "balancers": [0], "size": 60, "from": "balancers", "to": "nodes"}`, slower(100)},
	{"line_loss", `{"kind": "line_loss", "at": "1s", "for": "2s", "balancers": [0], "size": 0.3, "from": "clients", "to": "balancers"}`, slower(60)},
	{"line_trickle", `{"kind": "line_trickle", "at": "1s", "for": "2s", "balancers": [0], "size": 15000, "from": "clients", "to": "balancers"}`, slower(15)},
	{"line_forgets", `{"kind": "line_forgets", "at": "100ms", "balancers": [0], "from": "balancers", "to": "discovery"}`,
		func(s seen) string { // it calls anew, since nothing comes on its watch, and nobody else does
			if hit, other := s.calls(0), s.calls(1); hit < 2 || other != 1 {
				return fmt.Sprintf("it called %d times, and another balancer %d times", hit, other)
			}
			return ""
		}},
	{"line_resets", `{"kind": "line_resets", "at": "1s", "for": "2s", "every": "20ms", "balancers": [0], "size": 60, "from": "balancers", "to": "nodes"}`,
		func(s seen) string {
			hit, other := s.dials(0, 1, 3), s.dials(1, 1, 3)
			if hit < 3*max(other, 5) {
				return fmt.Sprintf("it dialled %d times, and another balancer %d times", hit, other)
			}
			return ""
		}},
	{"starve", `{"kind": "starve", "at": "1s", "for": "2s", "balancers": [0], "size": 0.9}`, slower(10)},
	{"descriptors", `{"kind": "descriptors", "at": "1s", "for": "2s", "balancers": [0], "size": 12}`,
		func(s seen) string {
			if hit, other := s.within(s.History.Lanes[0].Refused, 1, 3), s.within(s.History.Lanes[1].Refused, 1, 3); hit < 3 || other > hit/3 {
				return fmt.Sprintf("it turned %d away, and another balancer %d", hit, other)
			}
			return ""
		}},
	{"old_list", `{"kind": "line_cut", "at": "2500ms", "for": "1400ms", "balancers": [0], "from": "balancers", "to": "discovery"},
		{"kind": "discovery_restarts", "at": "200ms", "for": "200ms"}, {"kind": "old_list", "at": "2600ms", "for": "200ms", "balancers": [0]}`,
		func(s seen) string { // it serves though it reaches no discovery, and asks for what came after the first day's list
			if n := s.within(s.History.Lanes[0].Served, 2.9, 3.9); n == 0 || !strings.Contains(s.log, "balancer started 0 2 0") {
				return fmt.Sprintf("%d answers after a start", n)
			}
			before, after, _ := strings.Cut(s.log, "balancer started 0 2 0")
			first, later := asks(before), asks(after)
			if len(later) == 0 || later[0] != first[0] {
				return fmt.Sprintf("it asked for what came after %v, and after its start for %v", first, later)
			}
			return ""
		}},
	{"damaged_list", `{"kind": "line_cut", "at": "900ms", "for": "2100ms", "balancers": [0], "from": "balancers", "to": "discovery"},
		{"kind": "damaged_list", "at": "1s", "for": "200ms", "balancers": [0]}`,
		func(s seen) string {
			if !strings.Contains(s.log, " known: registry: ") {
				return "it has not complained of its list"
			}
			return silent(s)
		}},
}

// Each fault of disks bites the balancers that it is meant for: what their operators asked for is in force no more, or in force
// where nobody asked for it. All start again all the same, and those whose disk is sound forget nothing, as the oracle sees to.
var diskBites = []struct {
	kind, faults string
	want         sockets.Edits
}{
	{"edit", `{"kind": "edit", "at": "500ms", "part": 1, "nodes": [0, 1]}, {"kind": "balancer_crash", "at": "2s", "for": "200ms", "count": 2}`,
		sockets.Edits{Asked: 6, Acked: 6}},
	{"disk_old", `{"kind": "edit", "at": "500ms", "part": 1, "nodes": [0]}, {"kind": "disk_old", "at": "1500ms", "for": "1500ms", "balancers": [0]},
		{"kind": "edit", "at": "2s", "part": 1, "nodes": [1]}`, sockets.Edits{Asked: 6, Acked: 6, Lost: 1}},
	{"disk_swapped", `{"kind": "edit", "at": "500ms", "balancers": [0], "nodes": [0]}, {"kind": "disk_swapped", "at": "2s", "for": "200ms", "balancers": [0, 1]}`,
		sockets.Edits{Asked: 1, Acked: 1, Lost: 1, Foreign: 1}},
	{"disk_flipped", `{"kind": "edit", "at": "500ms", "part": 1, "nodes": [0]}, {"kind": "disk_flipped", "at": "2s", "for": "200ms", "balancers": [0], "size": 20000}`,
		sockets.Edits{Asked: 3, Acked: 3, Lost: 1}},
	{"disk_cut", `{"kind": "edit", "at": "500ms", "part": 1, "nodes": [0]}, {"kind": "disk_cut", "at": "2s", "for": "200ms", "balancers": [0], "size": 1000000000}`,
		sockets.Edits{Asked: 3, Acked: 3, Lost: 1}},
	// A disk that lies forgets what it has answered, and a sound one nothing, also where the power goes while a sync is under way,
	// or where its process is killed then: the edit is not answered, and may be there or not.
	{"disk_lies", `{"kind": "edit", "at": "500ms", "balancers": [0], "nodes": [0]}, {"kind": "disk_lies", "at": "1s", "for": "1500ms", "balancers": [0]},
		{"kind": "edit", "at": "1500ms", "part": 1, "nodes": [1]}`, sockets.Edits{Asked: 4, Acked: 4, Lost: 1}},
	{"disk_power", `{"kind": "edit", "at": "500ms", "part": 1, "nodes": [0]}, {"kind": "disk_power", "at": "1500ms", "for": "200ms", "balancers": [0, 1], "size": 0.5},
		{"kind": "edit", "at": "2500ms", "balancers": [0], "nodes": [1]}, {"kind": "disk_power", "when": {"event": "edit_answered", "count": 4},
		"for": "200ms", "balancers": [0]}`, sockets.Edits{Asked: 4, Acked: 4}},
	{"disk_readonly", `{"kind": "disk_readonly", "at": "300ms", "for": "1s", "balancers": [0]}, {"kind": "edit", "at": "800ms", "part": 1, "nodes": [0]},
		{"kind": "edit", "at": "2s", "balancers": [0], "nodes": [1]}`, sockets.Edits{Asked: 4, Acked: 3}},
	{"clock_off", `{"kind": "edit", "at": "500ms", "part": 1, "nodes": [0], "size": 3600}, {"kind": "clock_off", "at": "1500ms", "for": "1s", "balancers": [0], "size": 7200},
		{"kind": "clock_off", "at": "1500ms", "for": "1s", "balancers": [1]}`, sockets.Edits{Asked: 3, Acked: 3, Lost: 1}},
}

// What waits for a disk is answered when it goes on, and calls do not wait for it at all: until then the edit is not in force.
func TestADiskThatStandsStillHoldsEditsAndNoCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ kind, fault string }{
		{"disk_stands", `{"kind": "disk_stands", "at": "500ms", "for": "1500ms", "balancers": [0]}`},
		{"disk_slow", `{"kind": "disk_slow", "at": "500ms", "for": "3s", "balancers": [0], "size": 700}`},
	} {
		t.Run(c.kind, func(t *testing.T) {
			t.Parallel()
			beside <- struct{}{}
			defer func() { <-beside }()
			s := play(t, c.fault+`, {"kind": "edit", "at": "600ms", "part": 1, "nodes": [0]},
				{"kind": "freeze", "when": {"event": "edit_answered", "count": 3}, "for": "10ms", "balancers": [2]}`)
			if s.Edits != (sockets.Edits{Asked: 3, Acked: 3}) {
				t.Errorf("%+v", s.Edits)
			}
			last := s.Faults[len(s.Faults)-1]
			if last.Kind != "freeze" || last.From < 1.9 { // the third answer is that of the disk's own balancer
				t.Errorf("the last edit was answered at %.3f s", last.From)
			}
			if n := s.within(s.History.Lanes[0].Served, 0.7, 1.9); n < 20 {
				t.Errorf("it served %d meanwhile", n)
			}
		})
	}
}

// A process that is killed, or whose power goes, while a sync is under way: what was answered before holds, it starts again, and
// the edit of that moment, which its operator asks for once more under its id, is made once.
func TestAProcessThatEndsInsideASync(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		kind  string
		which int // of the two syncs that an edit takes
		share string
	}{{"balancer_crash", 2, "0"}, {"disk_power", 1, "0.5"}, {"disk_power", 2, "0.5"}} {
		t.Run(fmt.Sprint(c.kind, c.which), func(t *testing.T) {
			t.Parallel()
			beside <- struct{}{}
			defer func() { <-beside }()
			s := play(t, fmt.Sprintf(`{"kind": "edit", "at": "500ms", "balancers": [0], "nodes": [0]}, {"kind": "edit", "at": "1500ms", "balancers": [0], "nodes": [1]},
				{"kind": %q, "when": {"event": "sync_began", "count": %d, "balancers": [0]}, "for": "300ms", "balancers": [0], "size": %s}`,
				c.kind, 2+c.which, c.share))
			if s.Edits != (sockets.Edits{Asked: 2, Acked: 2}) {
				t.Errorf("%+v", s.Edits)
			}
			if last := s.Faults[len(s.Faults)-1]; last.Kind != c.kind || last.From < 1.5 || s.within(s.History.Lanes[0].Served, 3, 4) < 10 {
				t.Errorf("it ended at %.3f s, and served %d afterwards", last.From, s.within(s.History.Lanes[0].Served, 3, 4))
			}
		})
	}
}

// A process that starts with the folder of another one that runs sees that it is held, says by whom, and ends. The one that
// runs serves on, and the other is itself again afterwards.
func TestAFolderHasOneHolder(t *testing.T) {
	t.Parallel()
	beside <- struct{}{}
	defer func() { <-beside }()
	s := play(t, `{"kind": "edit", "at": "500ms", "balancers": [0], "nodes": [0]}, {"kind": "other_name", "at": "1s", "for": "1s", "balancers": [0, 1]}`)
	if s.Edits != (sockets.Edits{Asked: 1, Acked: 1}) || !strings.Contains(s.log, "balancer 1: pewterrudder: box.state: the state folder") {
		t.Errorf("%+v", s.Edits)
	}
	if a, b := s.within(s.History.Lanes[0].Served, 1, 2), s.within(s.History.Lanes[1].Served, 2.5, 4); a < 20 || b < 20 {
		t.Errorf("served by the holder %d, and by the other one afterwards %d", a, b)
	}
}

// A fault whose event does not come leaves a day that counts for nothing.
func TestADayWithoutItsEventIsVoid(t *testing.T) {
	t.Parallel()
	s := play(t, `{"kind": "freeze", "when": {"event": "balancer_ended"}, "for": "100ms", "balancers": [0]}`, "length=500ms")
	if s.Void == "" || len(s.Faults) != 0 {
		t.Errorf("void because %q, %d faults", s.Void, len(s.Faults))
	}
}

// calls counts the watches that a balancer has opened.
func (s seen) calls(balancer int) (n int) {
	for _, line := range strings.Split(s.log, "\n") {
		var at float64
		var b int
		if k, _ := fmt.Sscanf(line, "%f watch opened %d", &at, &b); k == 2 && b == balancer {
			n++
		}
	}
	return n
}

// asks are the revisions after which balancer 0 has asked discovery for changes.
func asks(log string) (since []int64) {
	for _, line := range strings.Split(log, "\n") {
		var at float64
		var b int
		var rev int64
		if n, _ := fmt.Sscanf(line, "%f watch opened %d %d", &at, &b, &rev); n == 3 && b == 0 {
			since = append(since, rev)
		}
	}
	return since
}

// silent: the balancer answers nothing while it is hit, the others do, and afterwards it does.
func silent(s seen) string {
	hit, other, end := &s.History.Lanes[0], &s.History.Lanes[1], float64(s.History.length)*s.History.Slot
	if n := s.within(hit.Served, 1.4, 3); n > 0 {
		return fmt.Sprintf("it served %d while it was hit", n)
	}
	if n := s.within(other.Served, 1.4, 3); n < 20 {
		return fmt.Sprintf("another one served %d", n)
	}
	if n := s.within(hit.Served, 3.3, end); n == 0 {
		return "it serves nothing afterwards"
	}
	return ""
}

func nothingSent(s seen) string {
	if n := s.within(s.History.Lanes[0].Attempts, 1.2, 3); n > 0 {
		return fmt.Sprintf("%d of its attempts came to app nodes", n)
	}
	return silent(s)
}

// slower: its answers take so many ms longer than those of another balancer, or of itself before.
func slower(ms float64) func(s seen) string {
	return func(s seen) string {
		hit, other, before := s.took(0, 1.2, 3), s.took(1, 1.2, 3), s.took(0, 0, 1)
		if hit < other+ms || hit < before+ms {
			return fmt.Sprintf("it took %.1f ms, before %.1f, and another balancer %.1f", hit, before, other)
		}
		return ""
	}
}

// dials counts the connections to app nodes that came up, off the world's log, whose clock begins some seconds earlier.
func (s seen) dials(balancer int, from, to float64) (n int) {
	for _, line := range strings.Split(s.log, "\n") {
		var at float64
		var b, node int
		if k, _ := fmt.Sscanf(line, "%f dialed %d %d", &at, &b, &node); k == 3 && b == balancer && since(time.Duration(at*1e9)) >= from &&
			since(time.Duration(at*1e9)) < to {
			n++
		}
	}
	return n
}

// beside is how many days are played at a time: enough for a verdict in a minute, and few enough for the processes' cores.
var beside = make(chan struct{}, 8)

func TestEachFaultBites(t *testing.T) {
	t.Parallel()
	kinds := map[string]bool{}
	for _, b := range bites {
		kinds[b.kind] = true
	}
	// Each of these has a test of its own; those of packets have TestOldPacketsRaiseNobody.
	for _, kind := range []string{"disk_full", "disk_stands", "disk_slow", "other_name", "line_doubles", "line_overtakes", "line_replays"} {
		kinds[kind] = true
	}
	for _, b := range diskBites {
		kinds[b.kind] = true
	}
	for _, k := range scenario.Kinds {
		if k.Rigged() && !kinds[k.Name] {
			t.Errorf("nobody has seen %s bite", k.Name)
		}
	}
	for _, b := range bites {
		t.Run(b.kind, func(t *testing.T) {
			t.Parallel()
			beside <- struct{}{}
			defer func() { <-beside }()
			length := "4s"
			if b.kind == "damaged_list" { // it has to find discovery again
				length = "8s"
			}
			if why := b.bitten(play(t, b.faults, "length="+length)); why != "" {
				t.Error(why)
			}
		})
	}
}

func TestEachDiskBites(t *testing.T) {
	t.Parallel()
	for _, b := range diskBites {
		t.Run(b.kind, func(t *testing.T) {
			t.Parallel()
			beside <- struct{}{}
			defer func() { <-beside }()
			if s := play(t, b.faults); s.Edits != b.want {
				t.Errorf("%+v, and not %+v", s.Edits, b.want)
			}
		})
	}
}

// A disk on which nothing can grow costs edits, and neither calls nor the process.
func TestAFullDiskTurnsEditsDown(t *testing.T) {
	t.Parallel()
	var many []string
	for range 12 { // until the file has to grow
		many = append(many, `{"kind": "edit", "at": ["1s", "2s"], "balancers": [0], "nodes": [0, 1, 2]}`)
	}
	s := play(t, `{"kind": "disk_full", "at": "100ms", "for": "3500ms", "balancers": [0]}, `+strings.Join(many, ","))
	if s.Edits.Asked != 36 || s.Edits.Acked == 36 {
		t.Errorf("%+v", s.Edits)
	}
	if n := s.within(s.History.Lanes[0].Served, 1, 4); n < 20 {
		t.Errorf("it served %d", n)
	}
}

// The other side of the same checks: on a day without faults none of them finds anything.
func TestADayWithoutAFaultBitesNobody(t *testing.T) {
	t.Parallel()
	s := play(t, "")
	for _, b := range bites {
		if why := b.bitten(s); why == "" {
			t.Errorf("%s is found where it is not", b.kind)
		}
	}
	if s.Goodput < 0.9 || s.First < 0 {
		t.Errorf("a day without faults has figures %+v", s.Figures)
	}
}

func TestCasesAreDays(t *testing.T) {
	names := map[string]bool{}
	for i := range Cases {
		c := &Cases[i]
		if _, err := c.Day(); err != nil || names[c.Name] || c.About == "" {
			t.Errorf("%s: %v", c.Name, err)
		}
		names[c.Name] = true
	}
	if len(Cases) < 17 || CaseOf("freeze") == nil || CaseOf("luck") != nil {
		t.Error(len(Cases))
	}
}

// Each defect has its place in the source as it is, and its cases; that the rig finds them is a longer measurement.
func TestTheDefectsHaveTheirPlaces(t *testing.T) {
	root, err := rebuilt.Root(".")
	if err != nil {
		t.Fatal(err)
	}
	for i := range Defects {
		d := &Defects[i]
		if _, err := d.Texts(root); err != nil {
			t.Error(err)
		}
		for _, name := range d.Cases {
			among := Cases
			if d.Peers {
				among = PeerCases
			}
			if !slices.ContainsFunc(among, func(c Case) bool { return c.Name == name }) {
				t.Errorf("%s: there is no case %q", d.Name, name)
			}
		}
	}
}

// The same of days with peers.
func TestTrustThatIsWorseIsNamed(t *testing.T) {
	sound := TrustRow{Name: "x", Deaths: []float64{1, 2}, Agree: 1, CrowdOff: 0.4}
	alike := TrustRow{Name: "x", Deaths: []float64{1.5, 2.9}, Agree: 5, CrowdOff: 0.8}
	if by := worseTrust(&sound, &alike); len(by) > 0 {
		t.Error(by)
	}
	for _, w := range []TrustRow{{Wrong: 1}, {Acted: 1}, {Missed: 1}, {Deaths: []float64{1, 3.1}}, {Agree: -1}, {Agree: 7}, {CrowdOff: 1}} {
		if w.Name = "x"; len(worseTrust(&sound, &w)) != 1 {
			t.Errorf("%+v: %q", w, worseTrust(&sound, &w))
		}
	}
}

// What is worse than the sound program's is named, and what is alike is not.
func TestAFigureThatIsWorseIsNamed(t *testing.T) {
	sound := Row{Name: "x", Goodput: 0.9, Hit: 0.8, Return: 1, Calls: 8, InStep: 4, Cold: 0.4}
	alike := sound
	alike.Goodput, alike.Hit, alike.Return, alike.Calls, alike.Cold = 0.89, 0.77, 2, 12, 0.55
	if by := worse(&sound, &alike); len(by) > 0 {
		t.Error(by)
	}
	for _, change := range []func(r *Row){
		func(r *Row) { r.Broken = 1 }, func(r *Row) { r.Goodput = 0.87 }, func(r *Row) { r.Hit = 0.7 },
		func(r *Row) { r.Return = -1 }, func(r *Row) { r.Return = 3 }, func(r *Row) { r.Calls = 20 }, func(r *Row) { r.InStep = 8 }, func(r *Row) { r.Cold = 0.9 },
	} {
		bad := sound
		if change(&bad); len(worse(&sound, &bad)) != 1 {
			t.Errorf("%+v: %v", bad, worse(&sound, &bad))
		}
	}
}

// A row leaves void runs out, and a return that once did not come is late.
func TestARowSumsItsRunsUp(t *testing.T) {
	run := func(goodput, back float64) *Done {
		return &Done{Figures: Figures{Goodput: goodput, Return: back, First: back, Worst: goodput}}
	}
	r := RowOf("x", []*Done{run(0.9, 1), run(0.7, 2), {Void: "late"}, run(0.8, -1)})
	if r.Runs != 3 || r.Void != 1 || r.Goodput < 0.799 || r.Goodput > 0.801 || r.Return != 2 || r.Latest != -1 || r.Worst != 0.7 {
		t.Errorf("%+v", r)
	}
}

// beRig plays a day with a stopped process until it is killed.
func beRig(path string) {
	sc, err := scenario.Parse("small", []byte(small), "length=60s",
		`faults=[{"kind": "freeze", "at": "100ms", "for": "50s", "balancers": [0]}]`)
	if err != nil {
		panic(err)
	}
	Play(context.Background(), sc, Options{Seed: 1, Balancer: path, Bound: patient})
}

// processes are those of a program, and how many of them are stopped.
func processes(path string) (all, stopped int) {
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, dir := range dirs {
		if exe, err := os.Readlink(filepath.Join(dir, "exe")); err != nil || exe != path {
			continue
		}
		all++
		stat, _ := os.ReadFile(filepath.Join(dir, "stat"))
		if _, rest, ok := strings.Cut(string(stat), ") "); ok && strings.HasPrefix(rest, "T") {
			stopped++
		}
	}
	return all, stopped
}

// A rig that is killed leaves no process behind, also none that it had stopped, and its folder goes with the next run.
func TestAKilledRigLeavesNothing(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "balancer")
	raw, err := os.ReadFile(program)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o755); err != nil {
		t.Fatal(err)
	}
	temp := filepath.Join(dir, "tmp")
	os.Mkdir(temp, 0o755)
	t.Setenv("TMPDIR", temp)
	rig := exec.Command(os.Args[0])
	rig.Env = append(os.Environ(), "FLEET_TEST_RIG="+path)
	if err := rig.Start(); err != nil {
		t.Fatal(err)
	}
	until := time.Now().Add(time.Minute)
	for {
		if all, stopped := processes(path); all == 3 && stopped == 1 {
			break
		}
		if time.Now().After(until) {
			rig.Process.Kill()
			t.Fatal("the rig has not stopped a process")
		}
		time.Sleep(10 * time.Millisecond)
	}
	rig.Process.Kill()
	rig.Wait()
	for all := 1; all > 0; all, _ = processes(path) {
		if time.Now().After(until) {
			t.Fatalf("%d processes are left", all)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if left, _ := filepath.Glob(filepath.Join(temp, "*")); len(left) != 1 {
		t.Fatalf("folders %v: the one of the rig that was killed was to be there", left)
	}
	play(t, "", "length=500ms")
	if left, _ := filepath.Glob(filepath.Join(temp, "*")); len(left) != 0 {
		t.Errorf("folders %v are left", left)
	}
}
