package routing

import "strings"

// maxHostLength is the length of the longest host name that is looked up. A domain name has at most 253 bytes.
const maxHostLength = 253

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int // length of the longest prefix, in bytes
}

func (h *hostRoutes) add(route *Route) {
	h.byPrefix[route.PathPrefix] = route
	h.longestPrefix = max(h.longestPrefix, len(route.PathPrefix))
}

// ensureHost returns the routes of a host, which it adds if there are none.
func (t *Table) ensureHost(name string) *hostRoutes {
	routes, found := t.hosts[name]
	if !found {
		routes = &hostRoutes{byPrefix: make(map[string]*Route)}
		t.hosts[name] = routes
	}
	return routes
}

// Lookup returns the route of a request: among the routes of the host, the one with the longest prefix of the path. The
// host is not case-sensitive, and its port is ignored. Lookup returns nil if there is no such route.
func (t *Table) Lookup(host, path string) *Route {
	routes := t.lookupHost(withoutPort(host))
	if routes == nil {
		return nil
	}
	return routes.lookup(path)
}

// lookup tries the path up to each of its slashes, longest first.
func (h *hostRoutes) lookup(path string) *Route {
	rest := path[:min(len(path), h.longestPrefix)]
	for {
		slash := strings.LastIndexByte(rest, '/')
		if slash < 0 {
			return nil
		}
		if route, found := h.byPrefix[rest[:slash+1]]; found {
			return route
		}
		rest = rest[:slash]
	}
}

// lookupHost looks a host up by its name in lower case, without allocation.
func (t *Table) lookupHost(host string) *hostRoutes {
	if routes, found := t.hosts[host]; found {
		return routes
	}
	if len(host) > maxHostLength {
		return nil
	}
	var buffer [maxHostLength]byte
	lower := buffer[:len(host)]
	for index := range len(host) {
		lower[index] = lowerByte(host[index])
	}
	return t.hosts[string(lower)]
}

func lowerByte(letter byte) byte {
	if 'A' <= letter && letter <= 'Z' {
		return letter + ('a' - 'A')
	}
	return letter
}

// withoutPort removes the port from a host. Colons inside the brackets of an IPv6 address are kept.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}
