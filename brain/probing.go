package brain

// Probes for load reports.

// sendProbes probes the servers of the sample with the oldest probes, where reports come on probes only. Each
// request adds to the probe budget, so that probing stays in proportion to the traffic.
func (n *Node) sendProbes() {
	if !n.cfg.CanProbe || n.cfg.Reports != ReportsOnProbe {
		return
	}
	n.probeTokens = min(n.probeTokens+min(maxProbes, probeShare/max(n.cfg.Prices.Probe, 1e-6)), 2*maxProbes)
	for n.probeTokens >= 1 {
		var stalest *server
		for _, s := range n.ranked {
			if !s.probing && n.warmth(s) >= 1 && (stalest == nil || s.probedAt < stalest.probedAt) {
				stalest = s
			}
		}
		if stalest == nil || n.now-stalest.probedAt < probeMinAge {
			return
		}
		n.probeTokens--
		stalest.probing = true
		stalest.probedAt = n.now
		n.emit(Action{Kind: Probe, Server: stalest.Server})
	}
}

func (n *Node) onProbeEnded(e *ProbeEnded) {
	s := n.byID[e.Server]
	if s == nil {
		return
	}
	s.probing = false
	if e.Outcome != OK {
		s.failedProbes++
		return
	}
	s.failedProbes = 0
	if held, ok := n.parseReport(s, e.Report); ok {
		n.recordReport(s, held)
		n.reposition(s)
	}
}
