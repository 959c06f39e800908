package zonelab

import (
	"strings"
	"testing"
)

// The table of a short comparison names each scenario and way, and the ways differ where a zone is cut and still listed.
func TestAShortComparison(t *testing.T) {
	seen := 0
	rows, err := Table([]string{"zone-cut-unlisted"}, Policies, 2, func(*Row) { seen++ })
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := Write(&text, rows); err != nil {
		t.Fatal(err)
	}
	for _, p := range Policies {
		if !strings.Contains(text.String(), p) {
			t.Errorf("%q is not in the table:\n%s", p, text.String())
		}
	}
	if seen != len(Policies) || len(rows) != len(Policies) {
		t.Fatalf("%d rows, %d seen", len(rows), seen)
	}
	if listed, zoned := rows[1], rows[2]; zoned.Of <= listed.Of || zoned.Broken > 0 {
		t.Errorf("of the best there is %.3f with zones, %.3f by the list alone", zoned.Of, listed.Of)
	}
}
