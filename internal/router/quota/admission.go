package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// idleTimeout is how long a tenant's account is kept without a request.
	idleTimeout = time.Minute
	// busyWindow is how long after a request of a tenant the router counts as busy.
	busyWindow = 2 * time.Second
	// unreportedTenantFraction is the fraction of its equal part with which a router supplies itself after it has lost
	// contact, for a tenant that it has not reported to the coordinator. The coordinator withholds as much.
	unreportedTenantFraction = 0.25
	// urgentFraction is the fraction of the ceiling below which a balance makes an early report due.
	urgentFraction = 0.3
)

// Admission decides at one router which requests of tenants are admitted.
type Admission struct {
	rule         Rule
	incarnation  uint64
	limits       map[string]Limit
	accounts     map[string]*account
	scarce       map[string]bool
	size         fleetSize
	sequence     uint64
	term         uint64
	lastAnswerAt time.Duration
	hasAnswer    bool
	urgent       bool
	// wholeReportDue is true if the next report must name all tenants.
	wholeReportDue bool
	floors         floorKeeper
}

// NewAdmission returns the admission of a router that has just started. The incarnation must differ from those of all
// earlier processes of the router.
func NewAdmission(rule Rule, incarnation uint64) *Admission {
	return &Admission{
		rule:           rule,
		incarnation:    incarnation,
		limits:         map[string]Limit{},
		accounts:       map[string]*account{},
		wholeReportDue: true,
	}
}

// SetRouters sets the number of live routers, and of those that have left. Before the first call the router admits only
// what the coordinator grants.
func (a *Admission) SetRouters(now time.Duration, live, left int) {
	wasKnown := a.size.known
	a.size.observe(now, live, left)
	if wasKnown {
		return
	}
	for tenant, account := range a.accounts {
		account.applyInitialShare(now, a.rule, a.limits[tenant], a.size)
	}
}

// SetLimits replaces the limits of all tenants. Accounts whose limit changes are scaled in proportion.
func (a *Admission) SetLimits(limits map[string]Limit) {
	for tenant, account := range a.accounts {
		limit := limits[tenant]
		if limit.Unlimited() {
			delete(a.accounts, tenant)
			continue
		}
		account.rescale(a.rule, a.limits[tenant], limit)
	}
	a.limits = maps.Clone(limits)
	if a.limits == nil {
		a.limits = map[string]Limit{}
	}
}

// SetKeptFloors sets the router's address and the floor table that is on its disk. From the first call on the router
// reports itself as a keeper of floor tables.
func (a *Admission) SetKeptFloors(address string, table FloorTable) { a.floors.setKept(address, table) }

// PendingFloors returns the floor table that the coordinator wants written to the disk, or nil if the disk has it.
func (a *Admission) PendingFloors() *FloorTable { return a.floors.pending }

// AddLimit sets the limit of a tenant that the last call of SetLimits did not name.
func (a *Admission) AddLimit(tenant string, limit Limit) {
	if _, known := a.limits[tenant]; known {
		return
	}
	limits := maps.Clone(a.limits)
	limits[tenant] = limit
	a.limits = limits
}

// TakeUrgent reports whether a report is due before its regular time, and resets the mark.
func (a *Admission) TakeUrgent() bool {
	urgent := a.urgent
	a.urgent = false
	return urgent
}

// AwaitsShare reports whether the coordinator has not yet answered a tenant's first requests at this router, and the
// first of them came less than the given time ago. The grant is usually on its way then.
func (a *Admission) AwaitsShare(now time.Duration, tenant string, within time.Duration) bool {
	account := a.accounts[tenant]
	return account != nil && !account.answered && now-account.openedAt < within
}

// Busy reports whether any tenant with a limit had requests within the last busyWindow.
func (a *Admission) Busy(now time.Duration) bool {
	for _, account := range a.accounts {
		if now-account.lastRequestAt < busyWindow {
			return true
		}
	}
	return false
}

// Admit decides whether a request of the given amount is admitted. If not, retryAfter says when another attempt may
// succeed.
func (a *Admission) Admit(now time.Duration, tenant string, amount float64) (ok bool, retryAfter time.Duration) {
	limit := a.limits[tenant]
	if limit.Unlimited() {
		return true, 0
	}
	account := a.accountOf(now, tenant, limit)
	account.supply(now)
	account.lastRequestAt = now
	account.asked += amount
	account.requests++
	ok = account.spend(now, amount) || account.drawReserve(now) && account.spend(now, amount)
	if account.balance < urgentFraction*account.ceiling && !a.scarce[tenant] {
		a.urgent = true
	}
	if ok {
		return true, 0
	}
	account.noteRefused(amount)
	return false, account.retryAfter(amount)
}

// NextReport returns the next report for the coordinator.
func (a *Admission) NextReport(now time.Duration) DemandReport {
	a.sequence++
	report := DemandReport{
		Incarnation: a.incarnation,
		Sequence:    a.sequence,
		Term:        a.term,
		Routers:     a.size.routers(),
		Whole:       a.wholeReportDue || now-a.lastAnswerAt >= wholeReportAfter,
	}
	report.Keeper, report.Kept = a.floors.report(a.term, report.Whole)
	a.removeIdleAccounts(now)
	for _, tenant := range a.tenantsDue(now, report.Whole) {
		account := a.accounts[tenant]
		report.Tenants = append(report.Tenants, account.demand(tenant))
		account.wanted = 0
		account.sentTotals, account.sentSequence = account.totals(), a.sequence
	}
	return report
}

func (a *Admission) removeIdleAccounts(now time.Duration) {
	maps.DeleteFunc(a.accounts, func(_ string, account *account) bool { return now-account.lastRequestAt >= idleTimeout })
}

// tenantsDue returns the tenants that the next report names, sorted: all tenants for a whole report, otherwise those
// with changed totals and some that have not been reported for refreshInterval.
func (a *Admission) tenantsDue(now time.Duration, whole bool) []string {
	var named, refreshable []string
	for tenant, account := range a.accounts {
		account.supply(now)
		switch {
		case whole || account.needsReport():
			named = append(named, tenant)
		case now-account.answeredAt >= refreshInterval:
			refreshable = append(refreshable, tenant)
		}
	}
	slices.SortFunc(refreshable, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.accounts[x].answeredAt, a.accounts[y].answeredAt), strings.Compare(x, y))
	})
	named = append(named, refreshable[:min(len(refreshable), maxRefreshes)]...)
	slices.Sort(named)
	return named
}

// ApplyAnswer applies the answer to the latest report. Answers to earlier reports and those of earlier terms are
// ignored; what they grant is included in a later answer.
func (a *Admission) ApplyAnswer(now time.Duration, answer ShareAnswer) {
	if answer.Sequence != a.sequence || answer.Term < a.term {
		return
	}
	if answer.WantsWhole {
		a.scheduleWholeReport()
		return
	}
	if answer.Term > a.term {
		a.enterTerm(answer.Term)
	}
	a.wholeReportDue = false
	a.floors.setPending(answer.Floors)
	a.lastAnswerAt = now
	a.hasAnswer = true
	a.scarce = map[string]bool{}
	for _, tenant := range answer.Scarce {
		a.scarce[tenant] = true
	}
	a.noteContactForOthers(now)
	for _, share := range answer.Shares {
		if account := a.accounts[share.Tenant]; account != nil {
			account.applyShare(now, share)
			account.equalRate = a.equalRate(a.limits[share.Tenant])
		}
	}
}

// noteContactForOthers records contact with the coordinator for the tenants that the last report did not name: their
// shares stay in force.
func (a *Admission) noteContactForOthers(now time.Duration) {
	for tenant, account := range a.accounts {
		if account.sentSequence != a.sequence {
			account.noteContact(now, a.scarce[tenant])
		}
	}
}

// scheduleWholeReport makes the next report name all tenants and be sent early.
func (a *Admission) scheduleWholeReport() {
	a.wholeReportDue = true
	a.urgent = true
}

// ReportLost records that a report got no answer. The next report names all tenants, since it may reach another
// coordinator.
func (a *Admission) ReportLost() { a.wholeReportDue = true }

// Term returns the term of the last applied answer.
func (a *Admission) Term() uint64 { return a.term }

// enterTerm resets the granted amounts, which are counted per term.
func (a *Admission) enterTerm(term uint64) {
	a.term = term
	for _, account := range a.accounts {
		account.granted = 0
	}
}

func (a *Admission) accountOf(now time.Duration, tenant string, limit Limit) *account {
	if account := a.accounts[tenant]; account != nil {
		return account
	}
	account := a.openAccount(now, tenant, limit)
	a.accounts[tenant] = account
	a.urgent = true
	return account
}

// openAccount creates the account of a tenant that has its first request here. Until the coordinator answers, the
// router counts on an equal part or a fraction of it, if it knows the number of routers.
func (a *Admission) openAccount(now time.Duration, tenant string, limit Limit) *account {
	account := &account{initialFraction: 1, lastContactAt: now, suppliedAt: now, openedAt: now}
	switch {
	case !a.hasAnswer:
		account.lastContactAt = now - silenceTimeout
	case now-a.lastAnswerAt >= silenceTimeout:
		account.lastContactAt = now - silenceTimeout
		account.initialFraction = unreportedTenantFraction
	default:
		account.initialFraction = unreportedTenantFraction
		if !a.scarce[tenant] {
			account.overdraft = a.rule.capacity(limit) * firstOverdraftFraction
		}
	}
	account.applyInitialShare(now, a.rule, limit, a.size)
	return account
}

// equalRate returns this router's part of a limit that is divided equally among all routers.
func (a *Admission) equalRate(limit Limit) float64 {
	return limit.PerSecond / float64(a.size.routers())
}
