package brain

// Load shedding: requests of the lowest worth are refused first.

// worthPerTime returns the worth of a class's request per unit of work that it costs the fleet.
func (n *Node) worthPerTime(class int) float64 {
	c := &n.classes[class]
	if n.cfg.WorthByWork {
		return c.Worth
	}
	return c.Worth / max(c.mean, 1e-4)
}

// quotaWeight returns 1 for a tenant within its quota, down to OverQuotaWorth as it exceeds the quota. A node
// sees about 1/Nodes of a tenant's requests.
func (n *Node) quotaWeight(r *request) float64 {
	if r.Tenant < 0 || r.Quota <= 0 {
		return 1
	}
	rate := n.tenants.countAt(r.Tenant, n.rankedAt) / tenantDecay * float64(n.cfg.Nodes)
	excess := max(0, 1-r.Quota/max(rate, 1e-9))
	return 1 - excess*(1-n.cfg.OverQuotaWorth)
}

// setLimits sets each class's limit on the expected answer time, relative to the class mean: a share of its
// aim, or less if a class of higher worth would exceed its own at that load. Thus cheap requests cannot fill
// the queues that dearer ones need.
func (n *Node) setLimits() {
	for i := range n.classes {
		c := &n.classes[i]
		c.limit = c.Aim.Seconds() / c.mean
		share := aimShare
		for j := range n.classes {
			if d := &n.classes[j]; !d.Gone && n.worthPerTime(j) > n.worthPerTime(i) {
				c.limit = min(c.limit, d.Aim.Seconds()/d.mean)
				share *= cheaperClassShare
			}
		}
		c.limit *= share
	}
}

// expectedInTime is the load-shedding criterion: a server is a candidate only if its answer is expected
// within the class's limit, which is reduced for tenants over their quota. A server without a queue always
// qualifies, so that times learned during an overload cannot block the node.
func (n *Node) expectedInTime(s *server, r *request) bool {
	c := &n.classes[r.Class]
	held, age := s.loadScore*s.size-1, n.now-s.reportAt
	bindingAge := reportBindingAge.Seconds() * n.sharers()
	if age.Seconds() > bindingAge && s.inFlight == 0 && s.inSample && s.failedProbes == 0 {
		return true // a trial, to notice recovery; bindingAge spreads the trials over the nodes
	}
	if age < reportFreshAge {
		held = max(held, s.reportedHeld) // own answers since, scaled by sharers, must not make it look idle
	}
	if held <= idleMaxHeld*s.size || n.timeByLoad.at(s.loadScore) <= c.limit*n.quotaWeight(r) {
		return true
	}
	n.overloaded = true
	return false
}
