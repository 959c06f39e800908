package config

import (
	"fmt"
	"net"
)

// Peers configures how balancers learn of each other. Without an address no peers are known and no socket is opened.
// The program that runs on the platform is built without peers.
type Peers struct {
	Address string         `json:"address"` // IP and port, UDP and TCP, at which peers reach this balancer
	Site    string         `json:"site"`    // messages from other sites are ignored
	Seeds   []string       `json:"seeds"`   // addresses of a few peers, from which the others are learned
	Keys    []string       `json:"keys"`    // in base64; the first is used to send, all are accepted
	Least   float64        `json:"least"`   // lower bound of the balancer count, as a multiple of the count in the settings
	Most    float64        `json:"most"`    // upper bound, likewise
	Subset  int            `json:"subset"`  // mean number of app nodes that each balancer uses; 0: all
	Via     map[string]Via `json:"via"`     // other addresses to reach peers at, by peer address
}

// minSubset leaves a choice of healthy app nodes when a few are ejected.
const minSubset = 6

// Via holds alternative addresses of a peer.
type Via struct {
	Packets string `json:"packets"`
	Streams string `json:"streams"`
}

func defaultPeers() Peers {
	return Peers{Site: "pewterrudder", Seeds: []string{}, Keys: []string{}, Least: 0.25, Most: 4, Via: map[string]Via{}}
}

func (p *Peers) check() error {
	if p.Address == "" {
		return nil
	}
	addresses := map[string]string{"peers.address": p.Address}
	for i, s := range p.Seeds {
		addresses[fmt.Sprintf("peers.seeds[%d]", i)] = s
	}
	for key, at := range addresses {
		host, _, err := net.SplitHostPort(at)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("%s: %q is not an IP address and port", key, at)
		}
	}
	switch {
	case len(p.Keys) == 0:
		return fmt.Errorf("peers.keys: at least one is needed, or anybody could send messages")
	case p.Site == "" || len(p.Site) > 64:
		return fmt.Errorf("peers.site: must have 1 to 64 bytes")
	case !(p.Least > 0 && p.Least <= 1):
		return fmt.Errorf("peers.least: %v is outside (0, 1]", p.Least)
	case p.Subset != 0 && (p.Subset < minSubset || p.Subset > 10_000):
		return fmt.Errorf("peers.subset: %d is neither 0 nor within %d to 10000", p.Subset, minSubset)
	case !(p.Most >= 1 && p.Most <= 100):
		return fmt.Errorf("peers.most: %v is outside 1 to 100", p.Most)
	}
	return nil
}
