package quota

import (
	"slices"
	"strings"
	"time"
)

// Coordinator divides the limits of all tenants among the routers.
type Coordinator struct {
	rule      Rule
	term      uint64
	startedAt time.Duration
	// assumedIdle is how long before the start nothing was granted, as far as the router knows. It becomes zero once a
	// router reports that it has followed an earlier coordinator.
	assumedIdle time.Duration
	limits      map[string]Limit
	members     map[string]*member
	ledgers     map[string]*ledger
	size        fleetSize
	sweptAt     time.Duration
	floors      floorTracker
}

// member is the coordinator's state of one router.
type member struct {
	incarnation  uint64
	sequence     uint64
	lastReportAt time.Duration
	// routers is the number of routers that the reporting router knows of.
	routers int
	// confirmed is true if the router has applied an answer of this term.
	confirmed bool
}

// unreportedFraction returns the fraction of its equal part that the router may use of a tenant that it has not
// reported.
func (m *member) unreportedFraction() float64 {
	if m.confirmed {
		return unreportedTenantFraction
	}
	return 1
}

// sweepInterval is how often the coordinator checks for silent routers.
const sweepInterval = 200 * time.Millisecond

// NewCoordinator returns a coordinator that has just obtained the role under a term.
func NewCoordinator(now time.Duration, rule Rule, term uint64) *Coordinator {
	return &Coordinator{
		rule:      rule,
		term:      term,
		startedAt: now,
		limits:    map[string]Limit{},
		members:   map[string]*member{},
		ledgers:   map[string]*ledger{},
		floors:    newFloorTracker(term),
	}
}

// SetFloorKeepers sets the addresses of the keepers, the routers that store floor tables on their disks.
func (c *Coordinator) SetFloorKeepers(keepers []string) { c.floors.keepers = keepers }

// AssumeIdle sets how long the coordinator's router has been running without hearing of a coordinator, if it started
// recently. If the whole fleet started then, no router was granted anything in that time, and the stores begin with
// what the limits brought in it. A report of a router that has followed an earlier coordinator resets it.
func (c *Coordinator) AssumeIdle(idle time.Duration) { c.assumedIdle = idle }

// Term returns the term under which the coordinator answers.
func (c *Coordinator) Term() uint64 { return c.term }

// SetRouters sets the number of live routers, and of those that have left.
func (c *Coordinator) SetRouters(now time.Duration, live, left int) { c.size.observe(now, live, left) }

// routers returns the greatest number of routers that this router, or one that reported within fullRateFor, knows of.
func (c *Coordinator) routers(now time.Duration) int {
	routers := c.size.routers()
	for _, member := range c.members {
		if now-member.lastReportAt < fullRateFor {
			routers = max(routers, member.routers)
		}
	}
	return routers
}

// SetLimits replaces the limits of all tenants.
func (c *Coordinator) SetLimits(now time.Duration, limits map[string]Limit) {
	c.sweep(now)
	for tenant, ledger := range c.ledgers {
		limit := limits[tenant]
		if limit.Unlimited() {
			delete(c.ledgers, tenant)
			continue
		}
		ledger.setLimit(limit)
	}
	c.limits = limits
}

// HandleReport processes a router's report and returns the router's shares. A late report, and one of a router that
// follows a later coordinator, gets an empty answer.
func (c *Coordinator) HandleReport(now time.Duration, router string, report DemandReport) ShareAnswer {
	answer := ShareAnswer{Term: c.term}
	if report.Term > c.term {
		return answer
	}
	current := c.members[router]
	if current != nil && current.incarnation == report.Incarnation && report.Sequence <= current.sequence {
		return answer
	}
	if current != nil && current.incarnation != report.Incarnation {
		c.removeRouter(router)
	}
	if report.Leaving {
		c.removeRouter(router)
		return answer
	}
	if !report.Whole && !c.knowsTenantsOf(now, router, report.Term) {
		return ShareAnswer{Term: c.term, Sequence: report.Sequence, WantsWhole: true}
	}
	c.members[router] = &member{
		incarnation:  report.Incarnation,
		sequence:     report.Sequence,
		lastReportAt: now,
		routers:      report.Routers,
		confirmed:    report.Term == c.term,
	}
	if report.Term > 0 && report.Term < c.term {
		c.assumedIdle = 0
	}
	c.sweepIfDue(now)
	if c.floors.recordKept(report.Keeper, report.Kept) {
		c.recoverStores()
	}
	answer.Sequence = report.Sequence
	answer.Shares = c.tenantShares(now, router, report)
	answer.Scarce = c.scarceTenants()
	answer.Floors = c.floorTableFor(now, report)
	return answer
}

// recoverStores adds to the stores what floors of earlier coordinators have left in them.
func (c *Coordinator) recoverStores() {
	for tenant, ledger := range c.ledgers {
		ledger.addRecoveredFloor(c.floors.recoveredFloor(tenant))
	}
}

// floorTableFor returns the floor table that a keeper lacks, or nil if there is none.
func (c *Coordinator) floorTableFor(now time.Duration, report DemandReport) *FloorTable {
	if report.Keeper == "" {
		return nil
	}
	c.updateFloors(now)
	latest := c.floors.latestTable()
	if latest.Term != c.term || !latest.After(report.Kept) {
		return nil
	}
	return &latest
}

// updateFloors makes a new floor table if the floor of any tenant is due to change.
func (c *Coordinator) updateFloors(now time.Duration) {
	isDue := false
	for tenant, ledger := range c.ledgers {
		isDue = isDue || c.floors.isDue(now, tenant, ledger.floorBase())
	}
	if !isDue || !c.floors.recovered {
		return
	}
	var floors []TenantFloor
	for tenant, ledger := range c.ledgers {
		if base := ledger.floorBase(); base > 0 {
			floors = append(floors, TenantFloor{Tenant: tenant, Floor: floorFraction * base})
		}
	}
	slices.SortFunc(floors, func(x, y TenantFloor) int { return strings.Compare(x.Tenant, y.Tenant) })
	c.floors.addTable(now, floors)
}

// knowsTenantsOf reports whether the coordinator knows all tenants of a router, so that a report of the changes is
// enough.
func (c *Coordinator) knowsTenantsOf(now time.Duration, router string, term uint64) bool {
	current := c.members[router]
	return current != nil && term == c.term && now-current.lastReportAt < silenceTimeout
}

func (c *Coordinator) tenantShares(now time.Duration, router string, report DemandReport) []TenantShare {
	var shares []TenantShare
	reported := make(map[string]bool, len(report.Tenants))
	for _, demand := range report.Tenants {
		limit := c.limits[demand.Tenant]
		if limit.Unlimited() {
			continue
		}
		reported[demand.Tenant] = true
		ledger := c.ledgerOf(now, demand.Tenant, limit)
		ledger.heldFloor = c.floors.effectiveFloor(demand.Tenant)
		ledger.accrue(now, c.fleetView(now))
		if report.Term < c.term {
			ledger.inherit(version{term: report.Term, number: demand.Number}, demand.Store)
			ledger.chargeDrawn(router, demand)
		}
		ledger.applyDemand(now, router, report.Term == c.term, demand)
		shares = append(shares, ledger.allocate(router, demand, c.fleetView(now)))
	}
	for tenant, ledger := range c.ledgers {
		if !reported[tenant] && (report.Whole || ledger.isUnreported(now, router)) {
			ledger.removeRouter(router)
		}
	}
	return shares
}

// ledgerOf returns the ledger of a tenant. A new one starts as if it had existed since the coordinator got the role,
// since no router that has reported in the meantime has admitted anything of the tenant.
func (c *Coordinator) ledgerOf(now time.Duration, tenant string, limit Limit) *ledger {
	if ledger := c.ledgers[tenant]; ledger != nil {
		return ledger
	}
	ledger := newLedger(c.startedAt, c.rule, limit)
	ledger.assumeIdle(c.assumedIdle)
	if c.floors.recovered {
		ledger.addRecoveredFloor(c.floors.recoveredFloor(tenant))
	}
	ledger.accrue(now, c.fleetView(now))
	c.ledgers[tenant] = ledger
	return ledger
}

func (c *Coordinator) scarceTenants() []string {
	var scarce []string
	for tenant, ledger := range c.ledgers {
		if ledger.isScarce() {
			scarce = append(scarce, tenant)
		}
	}
	slices.Sort(scarce)
	return scarce
}

func (c *Coordinator) removeRouter(router string) {
	delete(c.members, router)
	for _, ledger := range c.ledgers {
		ledger.removeRouter(router)
	}
}

func (c *Coordinator) sweepIfDue(now time.Duration) {
	if now >= c.sweptAt+sweepInterval {
		c.sweep(now)
	}
}

// sweep updates the rates withheld for silent routers, and removes those that have been silent for so long that what
// they use is negligible.
func (c *Coordinator) sweep(now time.Duration) {
	c.sweptAt = now
	routers := c.routers(now)
	for _, ledger := range c.ledgers {
		ledger.accrue(now, c.fleetView(now))
	}
	for router, member := range c.members {
		silence := now - member.lastReportAt
		if isNegligible(silence) {
			c.removeRouter(router)
			continue
		}
		if silence < silenceTimeout {
			continue
		}
		equal := 1 / float64(routers)
		for _, ledger := range c.ledgers {
			ledger.withholdForSilent(now, router, silence, silentFractions{unreported: member.unreportedFraction() * equal, equal: equal})
		}
	}
}
