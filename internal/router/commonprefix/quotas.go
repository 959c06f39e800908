package commonprefix

import "sort"

// Quotas holds the tenants' limits, all in the same unit. 0 means that the tenant has no limit; it is then treated like
// the tenant with the largest quota.
type Quotas map[string]float64

// Portion returns the part of total that a tenant gets: in proportion to its quota, and at least 1. A tenant without an
// entry in the quotas gets 1.
func (q Quotas) Portion(tenant string, total int) int {
	quota, ok := q[tenant]
	if !ok {
		return 1
	}
	sum, largest := q.totals()
	if quota <= 0 {
		quota = largest
	}
	if sum <= 0 {
		return max(1, total/len(q))
	}
	return max(1, int(float64(total)*quota/sum))
}

func (q Quotas) totals() (sum, largest float64) {
	for _, quota := range q {
		largest = max(largest, quota)
	}
	for _, tenant := range q.sortedTenants() {
		quota := q[tenant]
		if quota <= 0 {
			quota = largest
		}
		sum += quota
	}
	return sum, largest
}

// sortedTenants returns the tenants in a fixed order, so that all routers get the same floating-point sum.
func (q Quotas) sortedTenants() []string {
	tenants := make([]string, 0, len(q))
	for tenant := range q {
		tenants = append(tenants, tenant)
	}
	sort.Strings(tenants)
	return tenants
}
