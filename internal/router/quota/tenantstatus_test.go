package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBusiestTenants checks that BusiestTenants returns the tenants with the most requests, and what the
// router has of each.
func TestBusiestTenants(t *testing.T) {
	admission := NewAdmission(testRule, 1)
	admission.SetRouters(0, 1, 0)
	limit := Limit{PerSecond: 1000, Burst: 1000}
	limits := map[string]Limit{}
	for i := range 30 {
		limits[fmt.Sprint("tenant-", i)] = limit
	}
	admission.SetLimits(limits)
	for i := range 30 {
		for range 1 + i {
			admission.Admit(0, fmt.Sprint("tenant-", i), 1)
		}
	}
	list := admission.BusiestTenants(20)
	assert.Equal(t, len(list), 20)
	assert.Equal(t, list[0].Tenant, "tenant-29")
	assert.Equal(t, list[19].Tenant, "tenant-10")
	assert.Equal(t, list[0].Limit, limit)
	assert.Equal(t, list[0].Balance, testRule.startBalance(limit, 1)-30)
	assert.Equal(t, list[0].Standing, limit.PerSecond)
	_, heard := admission.SinceLastAnswer(time.Second)
	assert.Assert(t, !heard)
}
