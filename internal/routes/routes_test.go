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

// agree has a table, the other search, the explanation and the twin answer one call.
func agree(t interface{ Fatalf(string, ...any) }, table *Table, other *byLength, rules []Rule, c call) {
	want, tie := scan(rules, c)
	got := table.Match(c.host, c.path, c.method, c.class)
	if got != want || tie {
		t.Fatalf("%+v: %d, the twin has %d (tie: %v) in\n%s", c, got, want, tie, table.Describe())
	}
	if got := other.Match(c.host, c.path, c.method, c.class); got != want {
		t.Fatalf("%+v: by length %d, the twin has %d", c, got, want)
	}
	x := table.Explain(c.host, c.path, c.method, c.class)
	if x.Entry != want || len(x.Passed)+min(want+1, 1) != len(rules) {
		t.Fatalf("%+v: explained as\n%s, the twin has %d", c, x, want)
	}
}

func TestATableMatchesAsAScanInTheDocumentedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		var table *Table
		crowded := rapid.Bool().Draw(t, "crowded")         // so that one host and prefix has more than a few
		for range rapid.IntRange(1, 40).Draw(t, "tries") { // those that make no table are left out
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
		other := newByLength(table)
		for range 60 {
			host, path := rapid.SampledFrom(askHosts).Draw(t, "host"), rapid.SampledFrom(askPaths).Draw(t, "path")
			if crowded {
				host, path = "a.x", "/a/7"
			}
			agree(t, table, other, rules, call{host, path, rapid.SampledFrom(askMethods).Draw(t, "method"),
				rapid.SampledFrom([]string{"read", "book", "bulk", ""}).Draw(t, "class")})
		}
	})
}

// Compile's verdict is held against all calls there are, for rules of few words: a set is at fault if and only if two
// of it tie for some call or one of it gets none.
func TestAFaultIsWhatNoCallOrNoOrderResolves(t *testing.T) {
	faults, total := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		host := rapid.SampledFrom(someHosts).Draw(t, "the host")
		prefix := rapid.SampledFrom(somePrefixes).Draw(t, "the prefix")
		for range rapid.IntRange(1, 5).Draw(t, "rules") {
			r := drawRule(t)
			if rapid.IntRange(0, 3).Draw(t, "elsewhere") > 0 {
				r.Host, r.Prefix = host, prefix
			}
			rules = append(rules, r)
		}
		known, asked := someClasses, someClasses
		if rapid.Bool().Draw(t, "classes unknown") {
			known, asked = nil, []string{"read", "book", "bulk"}
		}
		wins, tied := make([]int, len(rules)), false
		everyCall(asked, func(c call) {
			best, tie := scan(rules, c)
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
		t.Errorf("%d of %d were at fault: too lopsided to show anything", faults, total)
	}
}

func TestALargeTableMatchesAsTheScan(t *testing.T) {
	rules, calls := mixed(2000)
	rules = append(rules, Rule{Name: "rest", To: []Share{{"p", 1}}})
	table, err := Compile(rules, []string{"p"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	other, rnd := newByLength(table), rand.New(rand.NewPCG(1, 2))
	for range 500 {
		c := calls[rnd.IntN(len(calls))]
		if rnd.IntN(2) == 0 {
			c.path = c.path[:1+rnd.IntN(len(c.path))]
		}
		agree(t, table, other, rules, c)
	}
}

func TestPathsAreTakenAsTheyCame(t *testing.T) {
	p, longest := []Share{{"p", 1}}, strings.Repeat("x.", 126)+"x"
	table, err := Compile([]Rule{
		{Host: "a.yard.example", Prefix: "/booking", To: p}, {Host: "*.yard.example", Prefix: "/booking", To: p},
		{Host: "[::1]", To: p}, {Host: longest, To: p},
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

func TestAFaultNamesTheEntries(t *testing.T) {
	p := []Share{{"p", 1}}
	for want, rules := range map[string][]Rule{
		`routes[1] "b" can never match: routes[0] "a" matches just the same: x, /a, GET|PUT, class read`: {
			{Name: "a", Host: "x", Prefix: "/a", Methods: []string{"GET", "PUT"}, Class: "read", To: p},
			{Name: "b", Host: "X", Prefix: "/a", Methods: []string{"PUT", "GET"}, Class: "read", To: p}},
		`routes[0] and routes[1] both match PUT, and neither goes first`: {
			{Methods: []string{"PUT"}, To: p}, {Prefix: "/", Methods: []string{"GET", "PUT"}, To: p}},
		`routes[0] "rest" can never match: routes[1] and routes[2] "b" go before it in each class`: {
			{Name: "rest", Prefix: "/a", To: p}, {Prefix: "/a", Class: "read", To: p},
			{Name: "b", Prefix: "/a", Class: "book", To: p}},
		`routes[0] "a" and routes[1] "a" have one name`:     {{Name: "a", Host: "x", To: p}, {Name: "a", Host: "y", To: p}},
		`routes[0]: methods: an empty list`:                 {{Methods: []string{}, To: p}},
		`routes[0]: methods: "get"`:                         {{Methods: []string{"get"}, To: p}},
		`routes[0]: methods: GET is there twice`:            {{Methods: []string{"GET", "GET"}, To: p}},
		`routes[0]: class: "bulk" can never match`:          {{Class: "bulk", To: p}},
		`host: "*" is every host`:                           {{Host: "*", To: p}},
		`host: "*.*.x" has a *`:                             {{Host: "*.*.x", To: p}},
		`host: "a.*.x" has a *`:                             {{Host: "a.*.x", To: p}},
		`host: "a*.x" has '*'`:                              {{Host: "a*.x", To: p}},
		"host: \"\u212a.x\" has":                            {{Host: "\u212a.x", To: p}}, // its lower case is an ASCII k
		`host: "x:80" has a port`:                           {{Host: "x:80", To: p}},
		`host: "x." has an empty label`:                     {{Host: "x.", To: p}},
		`is no address`:                                     {{Host: "[x]", To: p}},
		`no label is longer`:                                {{Host: strings.Repeat("x", 64), To: p}},
		`no name is longer`:                                 {{Host: "*." + strings.Repeat("x.", 126), To: p}},
		`path: "a" does not begin`:                          {{Prefix: "a", To: p}},
		`path: "/a/" has an empty segment`:                  {{Prefix: "/a/", To: p}},
		`path: "/a/../b" has a segment ..`:                  {{Prefix: "/a/../b", To: p}},
		`path: "/a%2" has a % without`:                      {{Prefix: "/a%2", To: p}},
		`path: "/a?" has '?' in it`:                         {{Prefix: "/a?", To: p}},
		`routes[0]: leads to no pool`:                       {{}},
		`routes[0]: pool: there is none named "q"`:          {{To: []Share{{"q", 1}}}},
		`routes[0]: pool: "p" is there twice`:               {{To: []Share{{"p", 1}, {"p", 2}}}},
		`routes[0]: weight: -1 of "p"`:                      {{To: []Share{{"p", -1}}}},
		`routes[0]: weight: NaN of "p"`:                     {{To: []Share{{"p", math.NaN()}}}},
		`routes[0]: weight: all are 0, and no pool is left`: {{To: []Share{{"p", 0}}}},
	} {
		_, err := Compile(rules, []string{"p"}, []string{"read", "book"})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func TestWhatPeopleAreTold(t *testing.T) {
	methods := []string{"PUT", "POST"}
	table, err := Compile([]Rule{
		{Name: "rest", To: []Share{{"all", 1}}},
		{Name: "canary", Host: "*.yard.example", Prefix: "/booking", To: []Share{{"old", 95}, {"new", 5}}},
		{Name: "writes", Host: "*.yard.example", Prefix: "/booking", Methods: methods, To: []Share{{"old", 1}}},
		{Name: "office", Host: "office.yard.example", Class: "bulk", To: []Share{{"all", 1}}},
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

// Matching is the same without it; what it saves is memory and steps.
func TestPathsWithoutABranchAreOneStep(t *testing.T) {
	p := []Share{{"p", 1}}
	table, err := Compile([]Rule{{Prefix: "/a/b/c/d", To: p}, {Prefix: "/a/b/c/d/e/f", To: p},
		{Prefix: "/x/y/z", To: p}, {Prefix: "/x/y/w", To: p}}, []string{"p"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var laid []string
	for _, n := range table.trie.nodes[everyHost+1:] {
		laid = append(laid, n.name+n.tail)
	}
	if want := []string{"a/b/c/d", "e/f", "x/y", "w", "z"}; !slices.Equal(laid, want) {
		t.Errorf("%q, want %q", laid, want)
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
			r := Rule{Host: w[0], Prefix: w[1], Class: w[3], To: []Share{{"p", 1}}}
			if w[2] != "" {
				r.Methods = strings.Split(w[2], ",")
			}
			rules = append(rules, r)
		}
		path = PathOf(path)
		if PathOf(path) != path && path != "" {
			t.Fatalf("%q has another path, %q", path, PathOf(path))
		}
		table, err := Compile(rules, []string{"p"}, nil)
		if err != nil {
			return
		}
		var buf [maxHost]byte // the twin takes a name as it is
		c := call{string(fold(&buf, host)), path, method, class}
		if want, _ := scan(rules, c); table.Match(host, path, method, class) != want {
			t.Fatalf("%q %+v: %d, the twin has %d", host, c, table.Match(host, path, method, class), want)
		}
		if len(rules) > 0 { // it was made from calls; ask for one that an entry was made for
			r := rules[len(rules)-1]
			c = call{strings.Replace(r.Host, "*", "w", 1), r.Prefix, method, r.Class}
			if want, _ := scan(rules, c); table.Match(c.host, c.path, c.method, c.class) != want {
				t.Fatalf("%+v: %d, the twin has %d", c, table.Match(c.host, c.path, c.method, c.class), want)
			}
		}
	})
}

func TestAMatchAllocatesNothing(t *testing.T) {
	rules, calls := mixed(1000)
	rules[0].To = []Share{{"p", 95}, {"q", 5}}
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
