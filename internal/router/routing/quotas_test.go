package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/document"
)

func TestQuotas(t *testing.T) {
	quotas := func(tenants ...document.Tenant) map[string]float64 {
		return Build(&document.Configuration{Tenants: tenants}, Options{}).Quotas()
	}
	a := document.Tenant{Name: "a", APIKeys: []string{"k", "l"}, PerS: 4}
	b := document.Tenant{Name: "b", APIKeys: []string{"m"}, PerS: 6}
	assert.DeepEqual(t, quotas(), map[string]float64{"": 0})
	assert.DeepEqual(t, quotas(a, b), map[string]float64{"a": 4, "b": 6})
	b.Unit = document.UnitTokens
	assert.DeepEqual(t, quotas(a, b), map[string]float64{"a": 0, "b": 0})
}
