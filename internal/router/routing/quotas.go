package routing

// Quotas returns the tenants' rates by name, 0 for no limit. Rates in different units cannot be compared; if the units
// differ, all rates are 0, so that all tenants count alike. For a table without tenants it returns one with an empty
// name.
func (t *Table) Quotas() map[string]float64 {
	quotas := map[string]float64{}
	units := map[bool]bool{}
	for _, tenant := range t.tenantsByKey {
		quotas[tenant.Name] = tenant.RatePerSecond
		units[tenant.CountsTokens] = true
	}
	if len(quotas) == 0 {
		quotas[""] = 0
	}
	if len(units) > 1 {
		for name := range quotas {
			quotas[name] = 0
		}
	}
	return quotas
}
