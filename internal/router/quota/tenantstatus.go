package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// TenantStatus describes a tenant at a router: its limit, and the router's balance and standing rate.
type TenantStatus struct {
	Tenant   string
	Limit    Limit
	Balance  float64
	Standing float64
	Scarce   bool
	asked    float64
}

// BusiestTenants returns the tenants with the most requests at this router, at most the given number.
func (a *Admission) BusiestTenants(most int) []TenantStatus {
	list := make([]TenantStatus, 0, len(a.accounts))
	for tenant, account := range a.accounts {
		list = append(list, TenantStatus{
			Tenant:   tenant,
			Limit:    a.limits[tenant],
			Balance:  account.balance,
			Standing: account.standing,
			Scarce:   a.scarce[tenant],
			asked:    account.asked,
		})
	}
	slices.SortFunc(list, func(x, y TenantStatus) int {
		return cmp.Or(cmp.Compare(y.asked, x.asked), strings.Compare(x.Tenant, y.Tenant))
	})
	return list[:min(most, len(list))]
}

// SinceLastAnswer returns the time since the last answer, and false if there was none.
func (a *Admission) SinceLastAnswer(now time.Duration) (time.Duration, bool) {
	return now - a.lastAnswerAt, a.hasAnswer
}
