package routing

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"pewterrudder/internal/router/document"
)

var (
	hostGenerator    = rapid.SampledFrom([]string{"a.example", "A.Example", "b.example", "c"})
	segmentGenerator = rapid.SliceOfN(rapid.SampledFrom([]string{"p", "q", "pq", ""}), 0, 4)
	portGenerator    = rapid.SampledFrom([]string{"", ":80", ":8443"})
)

func TestLookupMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration := drawRoutes(t)
		table := Build(configuration, Options{})
		host := hostGenerator.Draw(t, "host") + portGenerator.Draw(t, "port")
		path := drawPath(t) + rapid.SampledFrom([]string{"", "p", "x"}).Draw(t, "rest")
		name := ""
		if route := table.Lookup(host, path); route != nil {
			name = route.Name
		}
		if want := referenceLookup(configuration, host, path); name != want {
			t.Fatalf("%s%s: got %q, want %q", host, path, name, want)
		}
	})
}

func drawRoutes(t *rapid.T) *document.Configuration {
	configuration := &document.Configuration{Generation: 1}
	taken := map[string]bool{}
	for index := range rapid.IntRange(0, 12).Draw(t, "routes") {
		route := document.Route{Name: fmt.Sprint("r-", index), Hostname: hostGenerator.Draw(t, "host"), PathPrefix: drawPath(t)}
		key := strings.ToLower(route.Hostname) + route.PathPrefix
		if !taken[key] {
			configuration.Routes = append(configuration.Routes, route)
		}
		taken[key] = true
	}
	return configuration
}

// drawPath generates a path that begins and ends with a slash.
func drawPath(t *rapid.T) string {
	path := "/"
	for _, segment := range segmentGenerator.Draw(t, "segments") {
		path += segment + "/"
	}
	return path
}

func TestLookupOfUnusualHostsAndPaths(t *testing.T) {
	table := Build(&document.Configuration{Routes: []document.Route{
		{Name: "root", Hostname: "a", PathPrefix: "/"},
		{Name: "six", Hostname: "[::1]", PathPrefix: "/"},
	}}, Options{})
	assert.Equal(t, table.Lookup("a", "/").Name, "root")
	assert.Equal(t, table.Lookup("[::1]", "/x").Name, "six")
	assert.Equal(t, table.Lookup("[::1]:80", "/x").Name, "six")
	for _, request := range []struct{ host, path string }{
		{"a", ""}, {"a", "*"}, {"a", "x/"}, {"", "/"}, {":80", "/"}, {strings.Repeat("A", 300), "/"},
	} {
		assert.Assert(t, table.Lookup(request.host, request.path) == nil, "%v", request)
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	table := Build(&document.Configuration{Routes: []document.Route{{Name: "r", Hostname: "a.example", PathPrefix: "/p/q/"}}}, Options{})
	allocations := testing.AllocsPerRun(100, func() {
		if table.Lookup("A.Example:8443", "/p/q/r/s") == nil || table.Lookup("A.Example", "/p") != nil {
			t.Fatal("wrong route")
		}
	})
	assert.Equal(t, allocations, 0.0)
}

func TestTenantByAPIKey(t *testing.T) {
	configuration := &document.Configuration{Tenants: []document.Tenant{
		{Name: "t", APIKeys: []string{"k", "k", "l"}, Priority: 2, Unit: document.UnitTokens, PlainTokens: 3, PerS: 4, Burst: 5},
		{Name: "u", APIKeys: []string{"m"}},
		{Name: "v"},
	}}
	table := Build(configuration, Options{})
	for _, key := range []string{"k", "l", "m", "K", "", "n"} {
		name := ""
		if tenant := table.Tenant(key); tenant != nil {
			name = tenant.Name
		}
		assert.Equal(t, name, referenceTenant(configuration, key), "key %q", key)
	}
	assert.DeepEqual(t, *table.Tenant("l"), Tenant{Name: "t", Priority: 2, CountsTokens: true, PlainTokens: 3, RatePerSecond: 4, Burst: 5})
	assert.Equal(t, table.Tenant("m").CountsTokens, false)
}

// TestRequiresKey guards against a configuration whose last tenant was removed: it must let no request in, rather than
// all of them.
func TestRequiresKey(t *testing.T) {
	tenants := Options{HasTenants: true}
	cases := []struct {
		name     string
		tenants  []document.Tenant
		options  Options
		required bool
	}{
		{"no list of tenants", nil, Options{}, false},
		{"no list of tenants in a deployment with tenants", nil, tenants, true},
		{"the last tenant was removed", []document.Tenant{}, Options{}, true},
		{"the last tenant was removed in a deployment with tenants", []document.Tenant{}, tenants, true},
		{"a tenant without keys", []document.Tenant{{Name: "t"}}, Options{}, true},
		{"a tenant with a key", []document.Tenant{{Name: "t", APIKeys: []string{"k"}}}, tenants, true},
	}
	for _, test := range cases {
		table := Build(&document.Configuration{Tenants: test.tenants}, test.options)
		assert.Equal(t, table.UsesKeys(), test.required, test.name)
		assert.Equal(t, table.RequiresKey(&Route{}), test.required, test.name)
		assert.Equal(t, table.RequiresKey(&Route{Public: true}), false, test.name)
	}
}

func TestBuildConvertsRoutes(t *testing.T) {
	table := Build(&document.Configuration{Generation: 9, Limits: document.Limits{MaxBodyBytes: 8}, Routes: []document.Route{{
		Name: "r", Hostname: "A", PathPrefix: "/p/", Kind: document.KindStreaming, TimeoutMs: 1500.5, TargetMs: 150, GapAimMs: 200,
		Priority: 3, Retries: 2, Public: true, Sticky: true, Resume: true, Backend: "b",
	}}}, Options{})
	route := *table.Routes()[0]
	route.shares = nil
	assert.Assert(t, fmt.Sprint(route) == fmt.Sprint(Route{
		Name: "r", Hostname: "a", PathPrefix: "/p/", Kind: Streaming, Timeout: 1500500 * time.Microsecond,
		Target: 150 * time.Millisecond, GapAim: 200 * time.Millisecond, Priority: 3, Retries: 2, Public: true, Sticky: true, Resume: true,
	}), "%+v", route)
	assert.Equal(t, table.Generation(), int64(9))
	assert.Equal(t, table.Limits().MaxBodyBytes, document.Integer(8))
}

func TestBuildAdjustsRetriesAndTimeout(t *testing.T) {
	table := Build(&document.Configuration{Routes: []document.Route{{Hostname: "a", PathPrefix: "/", TimeoutMs: 1e300}}}, Options{})
	assert.Equal(t, table.Routes()[0].Retries, 1)
	assert.Equal(t, table.Routes()[0].Timeout, time.Duration(math.MaxInt64))
}

func TestBackends(t *testing.T) {
	engine := &document.Engine{Slots: 4}
	table := Build(&document.Configuration{Backends: []document.Backend{
		{Name: "b", HealthPath: "/h", MaxConns: 7, ColdPerS: 0.5, Protocol: "h1", TLS: true, Engine: engine}, {Name: "a"},
	}}, Options{})
	assert.DeepEqual(t, *table.Backend("b"), Backend{Name: "b", HealthPath: "/h", MaxConnections: 7, ColdPerSecond: 0.5, Protocol: "h1", TLS: true, Engine: engine})
	assert.Equal(t, len(table.Backends()), 2)
	assert.Equal(t, table.Backends()[1], table.Backend("a"))
	assert.Assert(t, table.Backend("c") == nil)
}
