// Package routes owns the question which pool a call belongs to: a table matched on host, path, method and class, and
// the split of a route over pools by weight. It must never know an app node, a connection or a load, keep anything of
// the calls it has seen, do I/O, or fail on what a client sends. It is no guard either: a route chooses a pool, and
// whoever may not do something has to be turned away by the application.
//
// # Order
//
// The file's order has no meaning. Of the entries that match a call, the first by these rules has it:
//
//  1. host: one by name, then *.domain, then any. *.yard.example stands for exactly one label, so that a host has one
//     domain.
//  2. path: the longer prefix.
//  3. method: those named, then any. HEAD is not GET.
//  4. class: the one named, then any.
//
// Two entries equal in all four that share a call would tie, and so they are refused, as is an entry to which the
// others leave no call. With that the order is total wherever it is asked.
//
// # Host
//
// Compared without case (RFC 9110, section 4.2.3), without the port and without the root's dot at the end. A client
// may write either, and all of them mean one machine.
//
// # Path
//
// The raw path, up to the question mark, whole segments at a time: /booking matches /booking, /booking/ and
// /booking/x, never /bookings. Nothing is decoded or cleaned up, since the app node gets the path as it came and reads
// it by rules of its own; two readings of one path are what confusion attacks live on. So:
//
//   - %2F is three letters of a segment and no slash; %6F is no o. What writes a prefix otherwise does not match it.
//   - // is an empty segment. //booking and /x//booking begin otherwise than /booking; /booking//x is below it.
//   - . and .. are segments like others: /booking/../office is below /booking. Clients resolve them before they ask
//     (RFC 3986, section 5.2.4), and whoever does not still gets the pool that its letters say.
//   - Case counts.
//
// A prefix with an empty segment, a . or .., or a letter that no path may have is refused at the start.
//
// # How it is searched
//
// One trie of segments for each host, one for each domain, one for any host; nodes without a branch are joined. A call
// walks down three of them at most, no further than there are prefixes for its path, and keeps the last entry met. The
// other way weighed keeps a map of whole prefixes for each host, and asks it once for each length that the host has,
// from the longest down. Both were measured with the benchmark of the tests (ns for a match, the least of fifteen
// rounds on a Xeon that others used too):
//
//	                     10 routes   1,000   10,000
//	trie, 64 hot routes         92      91       92
//	      all at random         98     106      145
//	      deep paths            89      86       97
//	maps, 64 hot routes        137     149      149
//	      all at random        133     173      186
//	      deep paths           228     233      247
//
// The steps are the same at every size; what is left to grow where all routes are asked at random are misses of the
// processor's caches. With a Go map in each node they were 196 ns at 10,000, which is why the trie lies in two slices.
// The maps pay for every length that any route of the host has, the trie for the segments that it shares with the path,
// and so one long route slows down none but its own calls. The trie it is. Nothing is allocated for a match.
//
// # One by one
//
// A Table is made whole. A Tree changes by one claim at a time and shares the rest with the tree before. It was weighed
// against a radix tree of bytes, hashicorp's go-immutable-radix/v2 2.1.0, with a key of host and path and no look at
// methods and classes yet, in one run beside the table (ratio of the least of six rounds, on a machine in full use):
//
//	                        10 routes   1,000   10,000
//	radix, 64 hot routes         2.0     1.3      3.1
//	       all at random         1.4     2.2      2.5
//	       deep paths            1.3     3.2      2.2
//
// and a change of it took 4 to 8 us. More than twice a table's time is more than a call may pay for changes, and so the
// trie it is here too, with ways on that share.
//
// # Splits
//
// A route over several pools draws by weighted rendezvous: each pool's name and the call's key give a uniform u, and
// the pool with the smallest -ln(u)/weight wins. Slots on a line, the usual way, move keys between pools whose weights
// have not changed when one in the middle grows; here a weight that grows takes keys from the others and gives none.
// For other changes no way without memory does better at one without doing worse at another (Moulton and Jiang,
// Maximally consistent sampling and the Jaccard index of probability distributions, 2018). The same key draws alike on
// every route with the same pools, so a client does not meet a canary on one path and the old release on the next.
package routes

import "strings"

// Rule is one route as it is written down. Empty fields match everything.
type Rule struct {
	Name    string   // for people, and unlike any other's where it is given
	Host    string   // one host, or all with one label before a domain: *.yard.example
	Prefix  string   // whole segments of the path, from its first slash
	Methods []string // nil: every method; a list that holds none is a fault
	Class   string
	To      []Share
}

// Share is a pool's part of what a route matches.
type Share struct {
	Pool   string
	Weight float64 // in relation to the others'; 0: none now
}

// None stands for an entry where none matches.
const None = -1

// Table is a set of routes that has been checked. It never changes, and may be read from everywhere at once.
type Table struct {
	entries []entry // by their places among the rules
	order   []int   // the same by precedence, for people
	trie    *trie
}

// kind is how exact an entry is about the host; the lower goes first. They are the trie's first nodes, too.
type kind int32

const (
	oneHost  = kind(hosts)
	oneLabel = kind(domains)
	anyHost  = kind(everyHost)
)

// entry is a rule with its host and prefix in the form that is compared.
type entry struct {
	Rule
	kind   kind
	domain string // lower case, without the wildcard label
	shares []share
}

// maxHost is the length of the longest name (RFC 1035, section 2.3.4, less the root's dot and the octets of lengths).
const maxHost = 253

// Match says which entry a call goes by, or None. host is the Host field's value, path the path as the client sent it
// (PathOf finds it in a request's target). The entry's pool for the call is Pool's to tell.
func (t *Table) Match(host, path, method, class string) int {
	n := t.trie.nodes
	if n[hosts].kids || n[domains].kids {
		var buf [maxHost]byte // a string of it would be an allocation
		name := fold(&buf, host)
		if at := t.trie.host(hosts, name); at != 0 {
			if e := t.trie.find(at, path, method, class); e != None {
				return e
			}
		}
		if at := t.trie.host(domains, parent(name)); at != 0 {
			if e := t.trie.find(at, path, method, class); e != None {
				return e
			}
		}
	}
	return t.trie.find(everyHost, path, method, class)
}

// fold writes a Host field's name in lower case, without the port and without the root's dot. What is longer than a
// name can be is no name.
func fold(buf *[maxHost]byte, host string) []byte {
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

// parent takes the first label off a name; nothing is left where there is none.
func parent(name []byte) []byte {
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

// PathOf finds the path in a request's target (RFC 9112, section 3.2), as it was sent. The forms that have none,
// such as "*", stay as they are, and match entries for every path alone.
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
