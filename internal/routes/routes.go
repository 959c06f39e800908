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
	entries     []entry // by their places among the rules
	order       []int   // the same by precedence, for people
	exact, wild map[string]*node
	every       *node // host: any
}

// kind is how exact an entry is about the host; the lower goes first.
type kind uint8

const (
	oneHost kind = iota
	oneLabel
	anyHost
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
	if len(t.exact)+len(t.wild) > 0 {
		var buf [maxHost]byte // a string of it would be an allocation; a look into a map by one is not
		name := fold(&buf, host)
		if n := t.exact[string(name)]; n != nil {
			if e := n.find(path, method, class); e != None {
				return e
			}
		}
		if len(t.wild) > 0 {
			if n := t.wild[string(parent(name))]; n != nil {
				if e := n.find(path, method, class); e != None {
					return e
				}
			}
		}
	}
	if t.every == nil {
		return None
	}
	return t.every.find(path, method, class)
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

// PathOf finds the path in a request's target (RFC 9112, section 3.2), as it was sent. The forms that have none, such as
// "*", stay as they are, and match entries for every path alone.
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
