package routing

import (
	"fmt"
	"testing"

	"pewterrudder/internal/router/document"
)

func largeConfiguration() *document.Configuration {
	configuration := &document.Configuration{Generation: 1}
	for index := range 350 {
		configuration.Routes = append(configuration.Routes, document.Route{
			Name: fmt.Sprint("r-", index), Hostname: fmt.Sprintf("host%d.example", index%20), PathPrefix: fmt.Sprintf("/prefix%d/", index),
			Kind: document.KindStreaming, TimeoutMs: 15000, Split: []document.Share{{Backend: "a", Weight: 90}, {Backend: "b", Weight: 10}},
		})
	}
	for index := range 60 {
		configuration.Tenants = append(configuration.Tenants, document.Tenant{
			Name: fmt.Sprint("t-", index), APIKeys: []string{fmt.Sprint("first-", index), fmt.Sprint("second-", index)},
		})
	}
	return configuration
}

func BenchmarkBuild350Routes(b *testing.B) {
	configuration := largeConfiguration()
	b.ReportAllocs()
	for b.Loop() {
		Build(configuration, Options{})
	}
}

func BenchmarkLookup(b *testing.B) {
	table := Build(largeConfiguration(), Options{})
	b.ReportAllocs()
	for b.Loop() {
		if table.Lookup("host7.example:8080", "/prefix47/one/two/three") == nil {
			b.Fatal("no route")
		}
	}
}
