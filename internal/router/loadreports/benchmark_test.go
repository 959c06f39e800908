package loadreports

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

// BenchmarkMessage encodes and decodes the reports that one router polls in a round, and reports bytes and time per
// report.
func BenchmarkMessage(b *testing.B) {
	m := &message{Origin: "edge-riga-a-12", Epoch: 1 << 60, Sequence: 1000}
	for i := range 8 {
		report := &protocol.Report{Queued: 3, Running: 12, KVUsed: 410_000, KVTotal: 1_399_180}
		m.Reports = append(m.Reports, figuresOf(fmt.Sprintf("i-%010x", i), report))
	}
	size := 0
	for b.Loop() {
		body, err := m.encode()
		assert.NilError(b, err)
		size = len(body)
		_, err = decode(body)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(size)/float64(len(m.Reports)), "bytes/report")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(m.Reports)), "ns/report")
}
