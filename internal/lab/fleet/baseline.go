package fleet

import (
	"fmt"
	"slices"

	"pewterrudder/internal/lab/scenario"
)

// Case is one of the days that every program is measured by: the site of the rig under faults.
type Case struct {
	Name, About string
	Faults      string   // as a scenario has them
	Set         []string // other keys
}

// ground is the scenario that the cases are put on.
const ground = "rig-site"

// Cases are the days, the calm one first. Faults last from 4 to 7 s of 12, so that there is calm before and time after.
var Cases = []Case{
	{Name: "calm", About: "nothing"},
	{Name: "freeze", About: "two of eight processes are stopped, then continued",
		Faults: `{"kind": "freeze", "at": "4s", "for": "3s", "count": 2}`},
	{Name: "starve", About: "two are kept from their core for four fifths of the time",
		Faults: `{"kind": "starve", "at": "4s", "for": "3s", "count": 2, "size": 0.8}`},
	{Name: "descriptors", About: "three have no descriptor left for a new connection",
		Faults: `{"kind": "descriptors", "at": "4s", "for": "3s", "count": 3, "size": 16}`},
	{Name: "kill", About: "half of the processes are killed at once",
		Faults: `{"kind": "balancer_crash", "at": "4s", "for": "3s", "count": 4}`},
	{Name: "old-list", About: "half start with the list of the first day, a third of the app nodes having been replaced, and discovery is down",
		Faults: `{"kind": "replace", "at": "1s", "for": "1s", "nodes": [0, 1, 2, 3]}, {"kind": "old_list", "at": "4s", "for": "500ms", "count": 4},
			{"kind": "discovery_down", "at": "4s", "for": "3s"}`},
	{Name: "damaged-list", About: "half start with a list that makes no sense, and discovery is down",
		Faults: `{"kind": "damaged_list", "at": "4s", "for": "500ms", "count": 4}, {"kind": "discovery_down", "at": "4s", "for": "3s"}`},
	{Name: "nodes-cut", About: "two balancers are cut off from all app nodes",
		Faults: `{"kind": "line_cut", "at": "4s", "for": "3s", "count": 2, "from": "balancers", "to": "nodes"}`},
	{Name: "nodes-deaf", About: "what two balancers send reaches no app node",
		Faults: `{"kind": "line_cut_one_way", "at": "4s", "for": "3s", "count": 2, "from": "balancers", "to": "nodes"}`},
	{Name: "nodes-mute", About: "what app nodes answer does not reach two balancers",
		Faults: `{"kind": "line_cut_one_way", "at": "4s", "for": "3s", "count": 2, "from": "nodes", "to": "balancers"}`},
	{Name: "some-drop", About: "all connections to a quarter of the app nodes are reset, and none comes up",
		Faults: `{"kind": "line_drop", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "some-cut", About: "a quarter of the app nodes is cut off from all balancers, and listed",
		Faults: `{"kind": "line_cut", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "some-stall", About: "connections to a quarter of the app nodes come up, and nothing passes",
		Faults: `{"kind": "line_stall", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "some-cut-full", About: "a cut to a quarter, near full load", Set: []string{"traffic.load=0.7"},
		Faults: `{"kind": "line_cut", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "some-stall-full", About: "a stall of a quarter, near full load", Set: []string{"traffic.load=0.7"},
		Faults: `{"kind": "line_stall", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "some-stall-bare", About: "a stall of a quarter, near full load, where no second copy and no cancel is allowed and calls may take 2 s",
		Set:    []string{"traffic.load=0.85", "limits.second_copies=false", "limits.cancel=false", "classes[0].aim=2s", "classes[0].deadline=2500ms"},
		Faults: `{"kind": "line_stall", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "fail-in-turn", About: "a sixth of the app nodes fails for 4 s and is sound again, then another sixth, then a third one", Set: []string{"length=26s", "balancers.count=3", "traffic.load=0.65"},
		Faults: `{"kind": "errors", "at": "3s", "for": "4s", "nodes": [0, 1], "size": 1}, {"kind": "errors", "at": "9s", "for": "4s", "nodes": [2, 3], "size": 1},
			{"kind": "errors", "at": "15s", "for": "4s", "nodes": [4, 5], "size": 1}`},
	{Name: "loss", About: "every line to an app node loses a twentieth",
		Faults: `{"kind": "line_loss", "at": "4s", "for": "3s", "part": 1, "size": 0.05, "from": "balancers", "to": "nodes"}`},
	{Name: "delay", About: "half of the app nodes are 40 ms further away",
		Faults: `{"kind": "line_delay", "at": "4s", "for": "3s", "part": 1, "nodes": [0, 1, 2, 3, 4, 5], "size": 40, "from": "balancers", "to": "nodes"}`},
	{Name: "resets", About: "once a second each line to an app node resets a request in its middle",
		Faults: `{"kind": "line_resets", "at": "4s", "for": "3s", "every": "1s", "part": 1, "size": 60, "from": "balancers", "to": "nodes"}`},
	{Name: "trickle", About: "the lines of two balancers' clients take 4 kB a second",
		Faults: `{"kind": "line_trickle", "at": "4s", "for": "3s", "count": 2, "size": 4000, "from": "clients", "to": "balancers"}`},
	{Name: "clients-cut", About: "two balancers are cut off from their clients",
		Faults: `{"kind": "line_cut", "at": "4s", "for": "3s", "count": 2, "from": "clients", "to": "balancers"}`},
	{Name: "discovery-cut", About: "nobody reaches discovery while a third of the app nodes is replaced",
		Faults: `{"kind": "line_cut", "at": "4s", "for": "3s", "part": 1, "from": "balancers", "to": "discovery"},
			{"kind": "replace", "at": "4500ms", "for": "1s", "nodes": [0, 1, 2, 3]}`},
	{Name: "discovery-stall", About: "discovery's lines stall, open, while a third of the app nodes is replaced",
		Faults: `{"kind": "line_stall", "at": "4s", "for": "3s", "part": 1, "from": "balancers", "to": "discovery"},
			{"kind": "replace", "at": "4500ms", "for": "1s", "nodes": [0, 1, 2, 3]}`},
	{Name: "restart-split", About: "half restart at once while a zone's balancers are cut off from discovery",
		Faults: `{"kind": "balancer_crash", "at": "4s", "for": "1s", "count": 4},
			{"kind": "line_cut", "at": "4s", "for": "3s", "part": 1, "zone": "south", "from": "balancers", "to": "discovery"}`},
	{Name: "list-only", About: "all balancers are killed and start again with their list, and discovery is down for 5 s",
		Faults: `{"kind": "balancer_crash", "at": "4s", "for": "500ms", "part": 1}, {"kind": "discovery_down", "at": "4s", "for": "5s"}`},
	{Name: "late-lines", About: "all connections of three balancers to app nodes are reset four times, and none comes up for 700 ms; keys are kept for 300 ms, and a connection is waited for for longer",
		Faults: `{"kind": "line_drop", "at": "3s", "for": "700ms", "balancers": [0, 1, 2], "from": "balancers", "to": "nodes"},
			{"kind": "line_drop", "at": "5s", "for": "700ms", "balancers": [0, 1, 2], "from": "balancers", "to": "nodes"},
			{"kind": "line_drop", "at": "7s", "for": "700ms", "balancers": [0, 1, 2], "from": "balancers", "to": "nodes"},
			{"kind": "line_drop", "at": "9s", "for": "700ms", "balancers": [0, 1, 2], "from": "balancers", "to": "nodes"}`,
		Set: []string{"limits.connect_timeout=1500ms", "classes[1].aim=1500ms", "classes[1].deadline=2500ms", "classes[1].window=300ms"}},
	{Name: "all-start", About: "all balancers are killed, and start again with their list",
		Faults: `{"kind": "balancer_crash", "at": "4s", "for": "500ms", "part": 1}`},
	{Name: "discovery-half-open", About: "the open watches are forgotten on their way; later six app nodes come, and then six go", Set: []string{"length=20s"},
		Faults: `{"kind": "line_forgets", "at": "4s", "part": 1, "from": "balancers", "to": "discovery"}, {"kind": "join", "at": "10s", "count": 6},
			{"kind": "crash", "at": "12s", "nodes": [0, 1, 2, 3, 4, 5]}`},
	{Name: "some-forgotten", About: "all connections to a quarter of the app nodes are forgotten on their way",
		Faults: `{"kind": "line_forgets", "at": "4s", "part": 1, "nodes": [0, 1, 2], "from": "balancers", "to": "nodes"}`},
	{Name: "half-cold", About: "half of the app nodes restart at once, at five sixths of the load",
		Faults: `{"kind": "restart", "at": "4s", "for": "500ms", "part": 0.5}`, Set: []string{"traffic.load=0.83"}},
	{Name: "disk-old", About: "operators drain two app nodes in turn; two balancers start with their folder of between the two",
		Faults: `{"kind": "edit", "at": "1s", "part": 1, "nodes": [0]}, {"kind": "disk_old", "at": "3s", "for": "3s", "count": 2},
			{"kind": "edit", "at": "4s", "part": 1, "nodes": [1]}`},
	{Name: "disk-swapped", About: "two balancers start with each other's folders, of which one has an edit",
		Faults: `{"kind": "edit", "at": "1s", "balancers": [0], "nodes": [0]}, {"kind": "disk_swapped", "at": "4s", "for": "500ms", "balancers": [0, 1]}`},
	{Name: "disk-flipped", About: "three balancers start with 200 bits of their folders turned over",
		Faults: `{"kind": "edit", "at": "1s", "part": 1, "nodes": [0]}, {"kind": "disk_flipped", "at": "4s", "for": "500ms", "count": 3, "size": 200}`},
	{Name: "disk-cut", About: "three balancers start with the last 16 KiB of their files missing",
		Faults: `{"kind": "edit", "at": "1s", "part": 1, "nodes": [0]}, {"kind": "disk_cut", "at": "4s", "for": "500ms", "count": 3, "size": 16384}`},
	{Name: "disk-full", About: "no file of three balancers can grow while operators drain app nodes, and then half of the processes are killed",
		Faults: `{"kind": "disk_full", "at": "1s", "for": "5s", "balancers": [0, 1, 2]}, {"kind": "edit", "at": "2s", "part": 1, "nodes": [0, 1]},
			{"kind": "balancer_crash", "at": "6500ms", "for": "500ms", "count": 4}`},
	{Name: "disk-lies", About: "the disks of three answer syncs that they do not do, while operators drain app nodes; then their power goes",
		Faults: `{"kind": "edit", "at": "1s", "part": 1, "nodes": [0]}, {"kind": "disk_lies", "at": "3s", "for": "2s", "balancers": [0, 1, 2], "size": 0.3},
			{"kind": "edit", "at": "4s", "part": 1, "nodes": [1]}`},
	{Name: "disk-power", About: "half lose their power while a sync of theirs is under way, and start with what their disks had",
		Faults: `{"kind": "edit", "at": "1s", "part": 1, "nodes": [0]}, {"kind": "edit", "at": "4s", "part": 1, "nodes": [1]},
			{"kind": "disk_power", "when": {"event": "sync_began", "count": 18}, "for": "500ms", "balancers": [0, 1, 2, 3], "size": 0.5},
			{"kind": "edit", "at": "5s", "part": 1, "nodes": [2]},
			{"kind": "disk_power", "when": {"event": "edit_answered", "count": 20}, "for": "500ms", "balancers": [4, 5, 6, 7], "size": 0.5}`},
	{Name: "disk-stands", About: "the disks of three stand still while operators drain app nodes",
		Faults: `{"kind": "disk_stands", "at": "4s", "for": "3s", "balancers": [0, 1, 2]}, {"kind": "edit", "at": "5s", "part": 1, "nodes": [0]}`},
	{Name: "disk-slow", About: "each sync of three takes a second longer while operators drain app nodes",
		Faults: `{"kind": "disk_slow", "at": "4s", "for": "3s", "balancers": [0, 1, 2], "size": 1000}, {"kind": "edit", "at": "5s", "part": 1, "nodes": [0]}`},
	{Name: "disk-readonly", About: "the disks of three take no write while operators drain app nodes; later half of the processes are killed",
		Faults: `{"kind": "disk_readonly", "at": "4s", "for": "3s", "balancers": [0, 1, 2]}, {"kind": "edit", "at": "5s", "part": 1, "nodes": [0]},
			{"kind": "balancer_crash", "at": "8s", "for": "500ms", "balancers": [0, 1, 3, 4]}`},
	{Name: "clock-off", About: "half start on machines whose clocks are a day off, with drains that end in an hour",
		Faults: `{"kind": "edit", "at": "1s", "part": 1, "nodes": [0], "size": 3600}, {"kind": "clock_off", "at": "4s", "for": "3s", "balancers": [0, 1], "size": 86400},
			{"kind": "clock_off", "at": "4s", "for": "3s", "balancers": [2, 3], "size": -86400}`},
	{Name: "other-name", About: "two processes start under the name and with the folder of a third, which runs",
		Faults: `{"kind": "edit", "at": "1s", "balancers": [0], "nodes": [0]}, {"kind": "other_name", "at": "4s", "for": "3s", "balancers": [0, 1, 2]}`},
	{Name: "full-and-power", About: "no file of three can grow while operators drain app nodes, and then all lose their power", Set: []string{"length=24s"},
		Faults: `{"kind": "disk_full", "at": "1s", "for": "2500ms", "balancers": [0, 1, 2]}, {"kind": "edit", "at": "2s", "part": 1, "nodes": [0, 1]},
			{"kind": "restart", "at": "4s", "for": ["1s", "2s"], "part": 1}, {"kind": "disk_power", "at": "4s", "for": "1500ms", "part": 1, "size": 0.5},
			{"kind": "discovery_down", "at": "4s", "for": "3s"}`},
	{Name: "power-loss", About: "all lose their power, and start with the list that they had; discovery is back last", Set: []string{"length=24s"},
		Faults: `{"kind": "restart", "at": "4s", "for": ["1s", "2s"], "part": 1}, {"kind": "balancer_crash", "at": "4s", "for": "1500ms", "part": 1},
			{"kind": "discovery_down", "at": "4s", "for": "3s"}`},
	{Name: "power-loss-blank", About: "the same, with nothing known", Set: []string{"length=24s", `balancers.known="none"`},
		Faults: `{"kind": "restart", "at": "4s", "for": ["1s", "2s"], "part": 1}, {"kind": "balancer_crash", "at": "4s", "for": "1500ms", "part": 1},
			{"kind": "discovery_down", "at": "4s", "for": "3s"}`},
}

// PeerDay is the scenario of a case of peers.
func (c *Case) PeerDay(set ...string) (*scenario.Scenario, error) {
	on := *c
	on.Set = append(append([]string(nil), peerSet...), c.Set...)
	return on.Day(set...)
}

// CaseOf finds a case by name.
func CaseOf(name string) *Case {
	if i := slices.IndexFunc(Cases, func(c Case) bool { return c.Name == name }); i >= 0 {
		return &Cases[i]
	}
	return nil
}

// Day is the scenario of a case, some keys set otherwise.
func (c *Case) Day(set ...string) (*scenario.Scenario, error) {
	all := append(append([]string{"faults=[" + c.Faults + "]", fmt.Sprintf("name=%q", c.Name)}, c.Set...), set...)
	sc, err := scenario.Load(ground, all...)
	if err != nil {
		return nil, fmt.Errorf("case %s: %w", c.Name, err)
	}
	return sc, nil
}
