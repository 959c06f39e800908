package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Standing is what a router has of a tenant's limit.
type Standing struct {
	Tenant   string
	Limit    Limit
	Balance  float64
	Standing float64
	Scarce   bool
	asked    float64
}

// Standings describes the tenants with the most requests here.
func (a *Admission) Standings(most int) []Standing {
	list := make([]Standing, 0, len(a.accounts))
	for tenant, account := range a.accounts {
		list = append(list, Standing{
			Tenant:   tenant,
			Limit:    a.limits[tenant],
			Balance:  account.balance,
			Standing: account.standing,
			Scarce:   a.scarce[tenant],
			asked:    account.asked,
		})
	}
	slices.SortFunc(list, func(x, y Standing) int {
		return cmp.Or(cmp.Compare(y.asked, x.asked), strings.Compare(x.Tenant, y.Tenant))
	})
	return list[:min(most, len(list))]
}

// Silence is the time since the last answer; false: there was none.
func (a *Admission) Silence(now time.Duration) (time.Duration, bool) {
	return now - a.heardAt, a.heardEver
}
