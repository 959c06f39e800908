package settings

import (
	"fmt"
	"net"
	"strconv"
)

// checkConsistency checks values against each other. Only a combination with which the router cannot work is a fault.
func checkConsistency(s *Settings) []Finding {
	var faults []Finding
	add := func(key, problem string) { faults = append(faults, Finding{Key: key, Problem: problem}) }
	if s.ServesTo(ServesControl) && s.Listen.Control == "" {
		add("listen.control", "is missing, though serves lists "+ServesControl)
	}
	if s.ServesTo(ServesEdge) && s.Listen.Front == "" {
		add("listen.front", "is missing, though serves lists "+ServesEdge)
	}
	if len(s.PortRange) != portRangeLength {
		return faults // reported by checkValues
	}
	if s.PortRange[0] > s.PortRange[1] {
		add("port_range", fmt.Sprintf("first port %d is greater than last port %d", s.PortRange[0], s.PortRange[1]))
	}
	for _, address := range s.Listen.addresses() {
		if address.value == net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])) {
			add(address.key, "is the address for messages between routers, the first port of port_range")
		}
	}
	return faults
}

// portRangeLength is the number of items in port_range: the first and the last port.
const portRangeLength = 2

// minIsolationS is the time in seconds below which a single lost packet would make a router count as isolated.
const minIsolationS = 1.0

// findWarnings returns warnings about values that are valid but probably not intended.
func findWarnings(s *Settings) []Finding {
	var warnings []Finding
	add := func(key, problem string) { warnings = append(warnings, Finding{Key: key, Problem: problem}) }
	if s.CountsForQuorum && s.DataDir == "" {
		add("data_dir", "is missing, so this router is not an acceptor although counts_for_quorum is true")
	}
	if s.CountsForQuorum && !s.ServesTo(ServesControl) {
		add("serves", "does not list "+ServesControl+", so this router is not an acceptor although counts_for_quorum is true")
	}
	if s.ServesTo(ServesEdge) && s.Listen.Ready == "" {
		add("listen.ready", "is missing, so the readiness of the router cannot be queried")
	}
	if len(s.Seeds) == 0 {
		add("seeds", "is empty, so this router cannot discover other routers")
	}
	if needed := 2*s.Tolerate.Machines + 1; s.Bootstrap && len(s.Seeds) < needed {
		add("seeds", fmt.Sprintf("lists %d; tolerating the loss of tolerate.machines needs %d acceptors", len(s.Seeds), needed))
	}
	if limit := s.Isolation.NotReadyAfterS; limit > 0 && limit < minIsolationS {
		add("isolation.not_ready_after_s", fmt.Sprintf("%v is so short that a lost packet makes the router not ready", limit))
	}
	if _, known := s.Zones[s.Zone]; len(s.Zones) > 0 && !known {
		add("zone", fmt.Sprintf("%q is not in the table zones", s.Zone))
	}
	return warnings
}

// listenAddress is one address of the table listen, with its key.
type listenAddress struct {
	key, value string
}

// addresses returns the listen addresses, including empty ones.
func (l *Listen) addresses() []listenAddress {
	return []listenAddress{
		{"listen.front", l.Front},
		{"listen.ready", l.Ready},
		{"listen.control", l.Control},
	}
}
