// Package routes decides which pool a call belongs to: a table matched on host, path, method and class, and the split
// of a route over pools by weight. It must never know app nodes, connections or load, keep state about calls, do I/O,
// or fail on any input from a client. It is no access control either: a route only chooses a pool, and the application
// has to reject what a client is not permitted to do.
//
// # Order
//
// The order of entries in the file has no meaning. Of the entries that match a call, the first by these rules is
// chosen:
//
//  1. host: an exact name, then *.domain, then any. The * of *.yard.example matches exactly one label, so that each host
//     has one wildcard domain.
//  2. path: the longer prefix.
//  3. method: entries that name methods, then those for any. HEAD is not GET.
//  4. class: entries that name the class, then those for any.
//
// Two entries that are equal in all four and match a common call are rejected, as is an entry to which the others leave
// no call. Therefore exactly one entry comes first for every call that any entry matches.
//
// # Host
//
// Hosts are compared without case (RFC 9110, section 4.2.3), port and trailing dot, since clients may write these in
// any way and mean the same host.
//
// # Path
//
// The raw path up to the question mark is matched by whole segments: /booking matches /booking, /booking/ and
// /booking/x, never /bookings. Nothing is decoded or normalized, since the app node gets the path unchanged and
// interprets it by its own rules; path confusion attacks exploit differences between two interpretations. So:
//
//   - %2F is three characters of a segment and not a slash, and %6F is not an o. A path that encodes a prefix
//     differently does not match it.
//   - // is an empty segment. //booking and /x//booking do not begin with /booking; /booking//x is below it.
//   - . and .. are ordinary segments: /booking/../office is below /booking. Clients resolve them before they send a
//     request (RFC 3986, section 5.2.4); a client that does not gets the pool of the path as written.
//   - Case matters.
//
// A prefix that has an empty segment, a . or .. segment, or a character that is not allowed in a path is rejected by
// Compile and NewClaim.
//
// # Search
//
// There is one trie of segments for each host, one for each wildcard domain and one for any host; chains of nodes
// without branches or entries are merged. A match descends at most three of them, as far as the path follows known
// prefixes, and keeps the last entry found. The alternative considered was a map of whole prefixes for each host, with
// one lookup for each prefix length of that host, from the longest down. Both were measured with the benchmark in the
// tests (ns per match, minimum of fifteen rounds on a shared Xeon):
//
//	                     10 routes   1,000   10,000
//	trie, 64 hot routes         92      91       92
//	      all at random         98     106      145
//	      deep paths            89      86       97
//	maps, 64 hot routes        137     149      149
//	      all at random        133     173      186
//	      deep paths           228     233      247
//
// The number of steps does not depend on the size of the table; with random routes, the time grows because of cache
// misses. With a Go map in each node a random match took 196 ns at 10,000 routes, which is why the trie is stored in
// two slices. The maps pay for every prefix length of any route of the host, the trie only for the segments that it
// shares with the path, so that a long route slows down no calls but its own. Hence the trie. A match allocates
// nothing.
//
// # Incremental changes
//
// A Table is built as a whole. A Tree changes by one claim at a time and shares the rest with its previous version. The
// alternative considered was a radix tree of bytes, hashicorp's go-immutable-radix/v2 2.1.0, keyed by host and path and
// without matching methods and classes. Measured in one run with the table (ratio to the table's time, minimum of six
// rounds, on a fully loaded machine):
//
//	                        10 routes   1,000   10,000
//	radix, 64 hot routes         2.0     1.3      3.1
//	       all at random         1.4     2.2      2.5
//	       deep paths            1.3     3.2      2.2
//
// and a change of it took 4 to 8 us. More than twice the table's time per call is too much, so a Tree is a trie too,
// with persistent child maps.
//
// # Splits
//
// A route over several pools uses weighted rendezvous hashing: each pool's name and the call's key give a uniform u,
// and the pool with the smallest -ln(u)/weight wins. The common alternative, ranges on a line, moves keys between pools
// whose weights have not changed when one in the middle grows; here, a growing weight only takes keys from the others.
// For other changes, no stateless method does better at one without doing worse at another (Moulton and Jiang,
// Maximally consistent sampling and the Jaccard index of probability distributions, 2018). The same key gets the same
// pool on every route with the same pools and weights, so that a client does not get a canary on one path and the old
// release on the next.
package routes

import "strings"

// Rule is one route as configured. Empty fields match everything.
type Rule struct {
	Name    string   // for display; unique unless empty
	Host    string   // a host, or with *.yard.example all hosts that have one label before that domain
	Prefix  string   // whole segments of the path, with the leading slash
	Methods []string // nil: every method; an empty list is an error
	Class   string
	Shares  []Share
}

// Share is a pool's part of the calls that a route matches.
type Share struct {
	Pool   string
	Weight float64 // relative to the others' weights; 0: no calls at present
}

// None is returned in place of an entry's index if no entry matches.
const None = -1

// Table is a validated set of routes. It is immutable and safe for concurrent use.
type Table struct {
	entries []entry // in the order of the rules
	order   []int   // indexes of entries by precedence, for Describe and Explain
	trie    *trie
}

// hostKind is how an entry matches the host; the lower takes precedence. The values are also the trie's root nodes.
type hostKind int32

const (
	exactHost    = hostKind(hostRoot)
	wildcardHost = hostKind(domainRoot)
	anyHost      = hostKind(anyHostRoot)
)

// entry is a validated rule with its host and prefix in normalized form.
type entry struct {
	Rule
	kind   hostKind
	domain string // lower case, without the wildcard label
	shares []share
}

// maxHostLength is the length of the longest host name (RFC 1035, section 2.3.4, without the root's dot and the length
// octets).
const maxHostLength = 253

// Match returns the index of the entry for a call, or None. host is the value of the Host field, path the path as the
// client sent it (see PathOf). Pool returns the entry's pool for the call.
func (t *Table) Match(host, path, method, class string) int {
	n := t.trie.nodes
	if n[hostRoot].hasChildren || n[domainRoot].hasChildren {
		var buf [maxHostLength]byte // avoids the allocation of a string
		name := normalizeHost(&buf, host)
		if at := t.trie.hostNode(hostRoot, name); at != 0 {
			if e := t.trie.lookup(at, path, method, class); e != None {
				return e
			}
		}
		if at := t.trie.hostNode(domainRoot, parentDomain(name)); at != 0 {
			if e := t.trie.lookup(at, path, method, class); e != None {
				return e
			}
		}
	}
	return t.trie.lookup(anyHostRoot, path, method, class)
}

// normalizeHost writes the host name of a Host field to buf in lower case, without the port and the trailing dot. It
// returns nil if the name is too long.
func normalizeHost(buf *[maxHostLength]byte, host string) []byte {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > len(buf) {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buf[i] = c
	}
	return buf[:len(host)]
}

// parentDomain returns a host name without its first label; nil if it has no dot or begins with one.
func parentDomain(name []byte) []byte {
	for i, c := range name {
		if c == '.' {
			if i == 0 {
				break
			}
			return name[i+1:]
		}
	}
	return nil
}

// PathOf returns the path of a request target (RFC 9112, section 3.2) as it was sent. Forms without a path, such as
// "*", are returned unchanged, and an absolute URI without one gives ""; both match only entries without a prefix.
func PathOf(target string) string {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	if strings.HasPrefix(target, "/") {
		return target
	}
	if i := strings.Index(target, "://"); i >= 0 {
		target = target[i+3:]
		if i = strings.IndexByte(target, '/'); i < 0 {
			return ""
		}
		return target[i:]
	}
	return target
}
