package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/flowrig"
	"pewterrudder/internal/registry"
)

// What a process is started with is what the program reads, and another turn changes a tenant and a route.
func TestAnInstallationIsRead(t *testing.T) {
	load := func(n installation, turn int) *config.Config {
		t.Helper()
		dir := t.TempDir()
		main, settings := filepath.Join(dir, "config.json"), filepath.Join(dir, "settings.json")
		if err := os.WriteFile(main, n.config("127.0.0.1:5000", turn), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(settings, n.settings(turn), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := config.Load(func(name string) string {
			return map[string]string{"RELAY_CONFIG": main, config.SettingsVariable: settings}[name]
		})
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	n := installation{pools: 4, routes: 20, tenants: 50, memoryMB: 192, discovery: "127.0.0.1:5001"}
	c, next := load(n, 0), load(n, 1)
	told, later := quotas(t, n, 0), quotas(t, n, 1)
	if len(c.Service.Pools) != 4 || len(c.Service.Routes) != 20 || len(told) != 50 || c.Limits.Sockets != defaultSockets {
		t.Errorf("%d pools, %d routes, %d tenants, %+v", len(c.Service.Pools), len(c.Service.Routes), len(told), c.Limits)
	}
	if c.Service.Routes[0].Pool == next.Service.Routes[0].Pool || told[0] == later[0] {
		t.Error("the next turn is the same")
	}
	if n = (installation{tenants: 1, discovery: "127.0.0.1:5001"}); n.settings(0) != nil {
		t.Errorf("a file with nothing in it: %s", n.settings(0))
	}
}

// quotas of the tenants, as they are told. The form in which the program holds them is its own.
func quotas(t *testing.T, n installation, turn int) (all []float64) {
	t.Helper()
	var told struct {
		Settings struct {
			Tenants []struct {
				Quota float64 `json:"quota_per_s"`
			} `json:"tenants"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(n.config("127.0.0.1:5000", turn), &told); err != nil {
		t.Fatal(err)
	}
	for _, k := range told.Settings.Tenants {
		all = append(all, k.Quota)
	}
	return all
}

// Each watch hears the whole list first, and then what changes, in the form that the program reads.
func TestAListingTellsWatches(t *testing.T) {
	d, err := newListing(30, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	nc, err := net.Dial("tcp4", d.address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	nc.Write([]byte("GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: x\r\n\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(resp.Body)
	read := func() string {
		for lines.Scan() {
			if lines.Text() != "" {
				return lines.Text()
			}
		}
		t.Fatalf("no line: %v", lines.Err())
		return ""
	}
	started := func(float64) time.Duration { return 0 }
	first, err := registry.Decode([]byte(read()), started)
	if err != nil || !first.Complete || len(first.Members) != 30 || first.Revision != 1 {
		t.Fatalf("the first line has %d members: %v", len(first.Members), err)
	}
	for d.watches() == 0 { // it is among them just after its first line
		time.Sleep(time.Millisecond)
	}
	if bytes, _ := d.change(3, 5, true); bytes == 0 {
		t.Error("nothing was told")
	}
	next, err := registry.Decode([]byte(read()), started)
	if err != nil || next.Complete || len(next.Members) != 2 || next.Revision != 2 || next.Members[0].Server != first.Members[3].Server ||
		next.Members[0].State == first.Members[3].State {
		t.Errorf("a change is %+v: %v", next, err)
	}
	d.again()
	if whole, err := registry.Decode([]byte(read()), started); err != nil || !whole.Complete || len(whole.Members) != 30 {
		t.Errorf("told anew it is %+v: %v", whole, err)
	}
}

// Calls at set moments are all made, and each has its time.
func TestCallsAtSetMoments(t *testing.T) {
	n, err := flowrig.NewNode(new(flowrig.Stock).Serve)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	times, refused, err := paced(context.Background(), n.Addr(), 40)
	if err != nil || refused != 0 || len(times) != int(40*callsFor.Seconds()) || times[0] <= 0 || times[0] > times[len(times)-1] {
		t.Errorf("%d times, %d refused: %v", len(times), refused, err)
	}
	if _, _, err = paced(context.Background(), "127.0.0.1:1", 40); err == nil {
		t.Error("nobody answers, and nothing is said of it")
	}
}

// Each role stands on measures that are there, and each measure has a role and a word on how it is got.
func TestRolesStandOnMeasures(t *testing.T) {
	for _, role := range Roles {
		for _, g := range groups[role] {
			found := false
			for _, m := range all {
				found = found || m.name == g
			}
			if !found {
				t.Errorf("%s stands on %s, which nothing measures", role, g)
			}
		}
	}
	for _, m := range all {
		if roleOf(m.name) == "" || about[m.name] == "" {
			t.Errorf("%s belongs to no role, or nothing says how it is got", m.name)
		}
	}
}
