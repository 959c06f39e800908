package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/zones"
)

func TestZonesStartWithOwnZone(t *testing.T) {
	z := Zones{Names: []string{"x", "y", "z", "w"}, Tiers: [][]string{{"x", "y"}, {"z"}}, SilentMs: 300, Fill: 0.7}
	b := brain.Settings{Zone: "y", Nodes: 3, WorthByWork: true, Classes: []brain.Class{{Repeat: brain.Safe, Worth: 1, Aim: time.Second},
		{Repeat: brain.Keyed, Scope: brain.ScopeZone, Worth: 5, Aim: time.Second}, {Repeat: brain.Keyed, Scope: brain.ScopeAll, Worth: 2, Aim: time.Second}}}
	s, err := z.In(&b)
	want := [][]int{{1}, {0}, {2}, {3}}
	if err != nil || s.OwnZone != 1 || !reflect.DeepEqual(s.Tiers, want) || s.SilenceTimeout != 300*time.Millisecond || s.MaxFill != 0.7 || s.Balancers != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	if !reflect.DeepEqual(s.Classes, []zones.Class{{Value: 1, Movable: true}, {Value: 5}, {Value: 2, Movable: true}}) {
		t.Errorf("%+v", s.Classes)
	}
	b.Zone = "elsewhere"
	if _, err := z.In(&b); err == nil || !strings.Contains(err.Error(), "zones.names") {
		t.Errorf("%v", err)
	}
	if s, err := (&Zones{}).In(&b); s != nil || err != nil {
		t.Errorf("%+v, %v", s, err)
	}
}
