package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Standing describes a tenant at a router: its limit, and the router's balance and standing rate.
type Standing struct {
	Tenant   string
	Limit    Limit
	Balance  float64
	Standing float64
	Scarce   bool
	asked    float64
}

// Standings returns the tenants with the most requests at this router, at most the given number.
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

// Silence returns the time since the last answer, and false if there was none.
func (a *Admission) Silence(now time.Duration) (time.Duration, bool) {
	return now - a.lastAnswerAt, a.hasAnswer
}
