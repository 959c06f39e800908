package settings

import (
	"fmt"
	"net"
	"strconv"
)

// checkRelations checks what values say together. Only what keeps the router from doing its work is a fault.
func checkRelations(s *Settings) []Finding {
	var faults []Finding
	add := func(key, problem string) { faults = append(faults, Finding{Key: key, Problem: problem}) }
	if s.ServesTo(ServesControl) && s.Listen.Control == "" {
		add("listen.control", "is missing, though serves lists "+ServesControl)
	}
	if s.ServesTo(ServesEdge) && s.Listen.Front == "" {
		add("listen.front", "is missing, though serves lists "+ServesEdge)
	}
	if len(s.PortRange) != portRangeItems {
		return faults // named by the check of the value
	}
	if s.PortRange[0] > s.PortRange[1] {
		add("port_range", fmt.Sprintf("%d is after %d", s.PortRange[0], s.PortRange[1]))
	}
	for _, address := range s.Listen.all() {
		if address.value == net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])) {
			add(address.key, "is the address for messages between routers, the first port of port_range")
		}
	}
	return faults
}

// portRangeItems is the length of port_range: its first and its last port.
const portRangeItems = 2

// isolationLeastS is the time below which a router would count as cut off for a single lost packet.
const isolationLeastS = 1.0

// findOddities lists what may be meant so but seldom is.
func findOddities(s *Settings) []Finding {
	var warnings []Finding
	add := func(key, problem string) { warnings = append(warnings, Finding{Key: key, Problem: problem}) }
	if s.CountsForQuorum && s.DataDir == "" {
		add("data_dir", "is missing, so this router is no acceptor although counts_for_quorum is true")
	}
	if s.CountsForQuorum && !s.ServesTo(ServesControl) {
		add("serves", "does not list "+ServesControl+", so this router is no acceptor although counts_for_quorum is true")
	}
	if s.ServesTo(ServesEdge) && s.Listen.Ready == "" {
		add("listen.ready", "is missing, so nobody can ask whether the router is ready")
	}
	if len(s.Seeds) == 0 {
		add("seeds", "is empty, so this router finds no other")
	}
	if needed := 2*s.Tolerate.Machines + 1; s.Bootstrap && len(s.Seeds) < needed {
		add("seeds", fmt.Sprintf("lists %d; losing tolerate.machines at once takes %d acceptors", len(s.Seeds), needed))
	}
	if limit := s.Isolation.NotReadyAfterS; limit > 0 && limit < isolationLeastS {
		add("isolation.not_ready_after_s", fmt.Sprintf("%v is so short that a lost packet makes the router not ready", limit))
	}
	if _, known := s.Zones[s.Zone]; len(s.Zones) > 0 && !known {
		add("zone", fmt.Sprintf("%q is not in the table zones", s.Zone))
	}
	return warnings
}

// listenAddress is one address of the table listen with its key.
type listenAddress struct {
	key, value string
}

// all lists the addresses.
func (l *Listen) all() []listenAddress {
	return []listenAddress{
		{"listen.front", l.Front},
		{"listen.ready", l.Ready},
		{"listen.control", l.Control},
	}
}
