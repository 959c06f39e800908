package pacing

import (
	"os"
	"testing"

	"pewterrudder/internal/registry/eureka"
)

// Bounds of the operators: blind after recovery under 1.5 s in 95 % of cases, never over 3 s.
func TestNobodyIsBlindForLong(t *testing.T) {
	b := MeasureBlind(eureka.Pacing{}, 200)
	for _, r := range b.Rows {
		if r.P95S >= 1.5 || r.LongestS > 3 {
			t.Errorf("%+v", r)
		}
	}
	if t.Failed() {
		b.Table(os.Stderr)
	}
}

// A thousand come back: the oldest calls are kept, so the registry works through them once and all are served in the time
// that it takes; told what it serves, they do not ask beside.
func TestACrowdIsServedInTurn(t *testing.T) {
	c := MeasureCrowd(eureka.Pacing{}, 1000, 5, 1)
	for _, r := range c.Rows {
		if r.LastS > 1000.0/5*1.3+60 || r.Told && r.Wasted > 0 {
			t.Errorf("%+v", r)
		}
	}
	if t.Failed() {
		c.Table(os.Stderr)
	}
}
