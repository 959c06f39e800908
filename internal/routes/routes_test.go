package routes

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pewterrudder/internal/lab/walks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { walks.Main(m, 0, 0) }

// checkMatch compares the answers of a table, its lengthTable, its explanation and the reference for one call.
func checkMatch(t interface{ Fatalf(string, ...any) }, table *Table, other *lengthTable, rules []Rule, c call) {
	want, tie := referenceMatch(rules, c)
	got := table.Match(c.host, c.path, c.method, c.class)
	if got != want || tie {
		t.Fatalf("%+v: %d, the reference has %d (tie: %v) in\n%s", c, got, want, tie, table.Describe())
	}
	if got := other.Match(c.host, c.path, c.method, c.class); got != want {
		t.Fatalf("%+v: lengthTable has %d, the reference %d", c, got, want)
	}
	x := table.Explain(c.host, c.path, c.method, c.class)
	if x.Entry != want || len(x.Skipped)+min(want+1, 1) != len(rules) {
		t.Fatalf("%+v: explained as\n%s, the reference has %d", c, x, want)
	}
}

func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		var table *Table
		crowded := rapid.Bool().Draw(t, "crowded")         // many entries with one host and prefix
		for range rapid.IntRange(1, 40).Draw(t, "tries") { // rules that would be rejected are left out
			r := drawRule(t)
			if crowded {
				if r.Host, r.Prefix = "a.x", "/a"; len(r.Methods) > 1 {
					r.Methods = r.Methods[:1]
				}
			}
			next := append(slices.Clip(rules), r)
			if made, err := Compile(next, []string{"p"}, nil); err == nil {
				rules, table = next, made
			}
		}
		if table == nil {
			return
		}
		other := newLengthTable(table)
		for range 60 {
			host, path := rapid.SampledFrom(callHosts).Draw(t, "host"), rapid.SampledFrom(callPaths).Draw(t, "path")
			if crowded {
				host, path = "a.x", "/a/7"
			}
			checkMatch(t, table, other, rules, call{host, path, rapid.SampledFrom(callMethods).Draw(t, "method"),
				rapid.SampledFrom([]string{"read", "book", "bulk", ""}).Draw(t, "class")})
		}
	})
}

// Compares Compile with an enumeration of all calls over a small vocabulary: a set of rules must be rejected if and
// only if two of them tie for some call or one of them gets no call.
func TestCompileRejectsExactlyTiesAndUnreachableRules(t *testing.T) {
	faults, total := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		host := rapid.SampledFrom(ruleHosts).Draw(t, "the host")
		prefix := rapid.SampledFrom(rulePrefixes).Draw(t, "the prefix")
		for range rapid.IntRange(1, 5).Draw(t, "rules") {
			r := drawRule(t)
			if rapid.IntRange(0, 3).Draw(t, "elsewhere") > 0 {
				r.Host, r.Prefix = host, prefix
			}
			rules = append(rules, r)
		}
		known, asked := ruleClasses, ruleClasses
		if rapid.Bool().Draw(t, "classes unknown") {
			known, asked = nil, []string{"read", "book", "bulk"}
		}
		wins, tied := make([]int, len(rules)), false
		forEachCall(asked, func(c call) {
			best, tie := referenceMatch(rules, c)
			if tied = tied || tie; best != None {
				wins[best]++
			}
		})
		_, err := Compile(rules, []string{"p"}, known)
		if at := tied || slices.Contains(wins, 0); at != (err != nil) {
			t.Fatalf("%+v: %v; ties: %v, calls: %v", rules, err, tied, wins)
		}
		if total++; err != nil {
			faults++
		}
	})
	if faults < total/10 || faults > total*9/10 {
		t.Errorf("%d of %d sets were rejected: too uneven to show anything", faults, total)
	}
}

func TestLargeTableMatchesReference(t *testing.T) {
	rules, calls := generateRules(2000)
	rules = append(rules, Rule{Name: "rest", Shares: []Share{{"p", 1}}})
	table, err := Compile(rules, []string{"p"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	other, rnd := newLengthTable(table), rand.New(rand.NewPCG(1, 2))
	for range 500 {
		c := calls[rnd.IntN(len(calls))]
		if rnd.IntN(2) == 0 {
			c.path = c.path[:1+rnd.IntN(len(c.path))]
		}
		checkMatch(t, table, other, rules, c)
	}
}

func TestPathsAreMatchedWithoutDecoding(t *testing.T) {
	p, longest := []Share{{"p", 1}}, strings.Repeat("x.", 126)+"x"
	table, err := Compile([]Rule{
		{Host: "a.yard.example", Prefix: "/booking", Shares: p}, {Host: "*.yard.example", Prefix: "/booking", Shares: p},
		{Host: "[::1]", Shares: p}, {Host: longest, Shares: p},
	}, []string{"p"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host, target string
		want         int
	}{
		{"a.yard.example", "/booking", 0}, {"a.yard.example", "/booking/", 0}, {"a.yard.example", "/booking?x=/", 0},
		{"a.yard.example", "/booking/../admin", 0}, {"a.yard.example", "/booking//x", 0},
		{"a.yard.example", "http://a.yard.example/booking/x", 0},
		{"a.yard.example", "/bookings", None}, {"a.yard.example", "/booking%2Fx", None},
		{"a.yard.example", "/b%6Foking", None},
		{"a.yard.example", "//booking", None}, {"a.yard.example", "/./booking", None},
		{"a.yard.example", "/x/../booking", None},
		{"a.yard.example", "/Booking", None}, {"a.yard.example", "*", None},
		{"a.yard.example", "http://a.yard.example", None},
		{"A.Yard.Example:8080", "/booking", 0}, {"a.yard.example.", "/booking", 0}, {"a.yard.example.:80", "/booking", 0},
		{"b.yard.example", "/booking", 1}, {"c.b.yard.example", "/booking", None},
		{"yard.example", "/booking", None}, {".yard.example", "/booking", None},
		{"[::1]", "*", 2}, {"[::1]:80", "/", 2}, {"::1", "/", None},
		{longest, "/", 3}, {longest + "x", "/", None}, {"", "/booking", None},
	} {
		if got := table.Match(c.host, PathOf(c.target), "GET", ""); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.host, c.target, got, c.want)
		}
	}
}

func TestCompileErrorsNameTheEntries(t *testing.T) {
	p := []Share{{"p", 1}}
	for want, rules := range map[string][]Rule{
		`routes[1] "b" can never match: routes[0] "a" matches just the same: x, /a, GET|PUT, class read`: {
			{Name: "a", Host: "x", Prefix: "/a", Methods: []string{"GET", "PUT"}, Class: "read", Shares: p},
			{Name: "b", Host: "X", Prefix: "/a", Methods: []string{"PUT", "GET"}, Class: "read", Shares: p}},
		`routes[0] and routes[1] both match PUT, and neither goes first`: {
			{Methods: []string{"PUT"}, Shares: p}, {Prefix: "/", Methods: []string{"GET", "PUT"}, Shares: p}},
		`routes[0] "rest" can never match: routes[1] and routes[2] "b" go before it in each class`: {
			{Name: "rest", Prefix: "/a", Shares: p}, {Prefix: "/a", Class: "read", Shares: p},
			{Name: "b", Prefix: "/a", Class: "book", Shares: p}},
		`routes[0] "a" and routes[1] "a" have the same name`:    {{Name: "a", Host: "x", Shares: p}, {Name: "a", Host: "y", Shares: p}},
		`routes[0]: methods: an empty list`:                     {{Methods: []string{}, Shares: p}},
		`routes[0]: methods: "get"`:                             {{Methods: []string{"get"}, Shares: p}},
		`routes[0]: methods: GET is listed twice`:               {{Methods: []string{"GET", "GET"}, Shares: p}},
		`routes[0]: class: "bulk" can never match`:              {{Class: "bulk", Shares: p}},
		`host: "*" matches every host`:                          {{Host: "*", Shares: p}},
		`host: "*.*.x" has a misplaced *`:                       {{Host: "*.*.x", Shares: p}},
		`host: "a.*.x" has a misplaced *`:                       {{Host: "a.*.x", Shares: p}},
		`host: "a*.x" has '*'`:                                  {{Host: "a*.x", Shares: p}},
		"host: \"\u212a.x\" has":                                {{Host: "\u212a.x", Shares: p}}, // its lower case is an ASCII k
		`host: "x:80" has a port`:                               {{Host: "x:80", Shares: p}},
		`host: "x." has an empty label`:                         {{Host: "x.", Shares: p}},
		`is not an IP address`:                                  {{Host: "[x]", Shares: p}},
		`a label has at most 63`:                                {{Host: strings.Repeat("x", 64), Shares: p}},
		`a host name has at most 253`:                           {{Host: "*." + strings.Repeat("x.", 126), Shares: p}},
		`path: "a" does not begin`:                              {{Prefix: "a", Shares: p}},
		`path: "/a/" has an empty segment`:                      {{Prefix: "/a/", Shares: p}},
		`path: "/a/../b" has a segment ..`:                      {{Prefix: "/a/../b", Shares: p}},
		`path: "/a%2" has a % without`:                          {{Prefix: "/a%2", Shares: p}},
		`path: "/a?" has '?' in it`:                             {{Prefix: "/a?", Shares: p}},
		`routes[0]: leads to no pool`:                           {{}},
		`routes[0]: pool: there is none named "q"`:              {{Shares: []Share{{"q", 1}}}},
		`routes[0]: pool: "p" is listed twice`:                  {{Shares: []Share{{"p", 1}, {"p", 2}}}},
		`routes[0]: weight: -1 of "p"`:                          {{Shares: []Share{{"p", -1}}}},
		`routes[0]: weight: NaN of "p"`:                         {{Shares: []Share{{"p", math.NaN()}}}},
		`routes[0]: weight: all are 0, so that no pool is left`: {{Shares: []Share{{"p", 0}}}},
	} {
		_, err := Compile(rules, []string{"p"}, []string{"read", "book"})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func TestDescribeAndExplain(t *testing.T) {
	methods := []string{"PUT", "POST"}
	table, err := Compile([]Rule{
		{Name: "rest", Shares: []Share{{"all", 1}}},
		{Name: "canary", Host: "*.yard.example", Prefix: "/booking", Shares: []Share{{"old", 95}, {"new", 5}}},
		{Name: "writes", Host: "*.yard.example", Prefix: "/booking", Methods: methods, Shares: []Share{{"old", 1}}},
		{Name: "office", Host: "office.yard.example", Class: "bulk", Shares: []Share{{"all", 1}}},
	}, []string{"all", "old", "new"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := `routes[3] "office": office.yard.example, any path, any method, class bulk -> all
routes[2] "writes": *.yard.example, /booking, POST|PUT, any class -> old
routes[1] "canary": *.yard.example, /booking, any method, any class -> old 95 %, new 5 %
routes[0] "rest": any host, any path, any method, any class -> all
`
	if got := table.Describe(); got != want || table.String() != "4 routes" || methods[0] != "PUT" {
		t.Errorf("%s\n%s, of %v", table, got, methods)
	}
	want = `POST office.yard.example/booking/7, class "read"
  goes by routes[2] "writes": *.yard.example, /booking, POST|PUT, any class -> old
  not by routes[3] "office": the class is not "bulk"
  not by routes[1] "canary": matches too, but names no method
  not by routes[0] "rest": matches too, but is less exact about the host
`
	if got := table.Explain("office.yard.example", "/booking/7", "POST", "read").String(); got != want {
		t.Error(got)
	}
	if got := table.Explain("x", "/", "GET", "read").String(); !strings.HasSuffix(got, "  3 of other hosts or paths\n") {
		t.Error(got)
	}
}

// Chains without branches must be merged into one node. Matching does not depend on it, memory and speed do.
func TestUnbranchedPathsAreOneNode(t *testing.T) {
	p := []Share{{"p", 1}}
	table, err := Compile([]Rule{{Prefix: "/a/b/c/d", Shares: p}, {Prefix: "/a/b/c/d/e/f", Shares: p},
		{Prefix: "/x/y/z", Shares: p}, {Prefix: "/x/y/w", Shares: p}}, []string{"p"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var labels []string
	for _, n := range table.trie.nodes[anyHostRoot+1:] {
		labels = append(labels, n.name+n.tail)
	}
	if want := []string{"a/b/c/d", "e/f", "x/y", "w", "z"}; !slices.Equal(labels, want) {
		t.Errorf("%q, want %q", labels, want)
	}
}

func FuzzTable(f *testing.F) {
	for _, s := range [][5]string{
		{"a.x /a GET read\n*.x /a - -\n- / - -", "a.x", "/a/b", "GET", "read"},
		{"- /a/b/c - -\n- /a POST,PUT -\n- /a - book", "q", "/a/b/cd", "PUT", "book"},
		{"A.X - - -\na.x /%2F - -", "A.x.:80", "/%2F/../", "", ""},
		{"[::1] - - -\n*.y.z /a/b - -", "[::1]:1", "//", "*", "\x00"},
		{"- /a - -\n- /a/b - -\n- /a/b/c/d/e - -", "", "/a/b/c/d/e", "GET", ""},
	} {
		f.Add(s[0], s[1], s[2], s[3], s[4])
	}
	f.Fuzz(func(t *testing.T, text, host, path, method, class string) {
		var rules []Rule
		for line := range strings.Lines(text) {
			w := strings.Fields(line)
			if len(w) != 4 || len(rules) == 50 {
				return
			}
			for i := range w {
				if w[i] == "-" {
					w[i] = ""
				}
			}
			r := Rule{Host: w[0], Prefix: w[1], Class: w[3], Shares: []Share{{"p", 1}}}
			if w[2] != "" {
				r.Methods = strings.Split(w[2], ",")
			}
			rules = append(rules, r)
		}
		path = PathOf(path)
		if PathOf(path) != path && path != "" {
			t.Fatalf("PathOf(%q) changes when applied again: %q", path, PathOf(path))
		}
		table, err := Compile(rules, []string{"p"}, nil)
		if err != nil {
			return
		}
		var buf [maxHostLength]byte // the reference does not normalize host names
		c := call{string(normalizeHost(&buf, host)), path, method, class}
		if want, _ := referenceMatch(rules, c); table.Match(host, path, method, class) != want {
			t.Fatalf("%q %+v: %d, the reference has %d", host, c, table.Match(host, path, method, class), want)
		}
		if len(rules) > 0 { // also try a call made to match the last rule
			r := rules[len(rules)-1]
			c = call{strings.Replace(r.Host, "*", "w", 1), r.Prefix, method, r.Class}
			if want, _ := referenceMatch(rules, c); table.Match(c.host, c.path, c.method, c.class) != want {
				t.Fatalf("%+v: %d, the reference has %d", c, table.Match(c.host, c.path, c.method, c.class), want)
			}
		}
	})
}

func TestTableMatchDoesNotAllocate(t *testing.T) {
	rules, calls := generateRules(1000)
	rules[0].Shares = []Share{{"p", 95}, {"q", 5}}
	table, err := Compile(rules, []string{"p", "q"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	i := 0
	if n := testing.AllocsPerRun(2000, func() {
		c := &calls[i%len(calls)]
		i++
		table.Pool(table.Match(c.host, c.path, c.method, c.class), Key("", c.path, ""))
	}); n != 0 {
		t.Errorf("%v allocations for a call", n)
	}
}
