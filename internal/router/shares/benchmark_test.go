package shares

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/quota"
)

// BenchmarkExchange encodes a report and its answer, and reports their size for various numbers of tenants.
func BenchmarkExchange(b *testing.B) {
	for _, tenants := range []int{0, 1, 16, 200} {
		b.Run(fmt.Sprintf("%d tenants", tenants), func(b *testing.B) {
			report := quota.DemandReport{Incarnation: 1 << 60, Sequence: 1000, Term: 1 << 40, Routers: 410}
			reply := quota.ShareAnswer{Term: 1 << 40, Sequence: 1000}
			for i := range tenants {
				name := fmt.Sprintf("tenant-%04d", i)
				report.Tenants = append(report.Tenants, quota.TenantDemand{Tenant: name, Asked: 1.5e6, Requests: 200, Balance: 3.3e4, Granted: 2.7e6})
				reply.Shares = append(reply.Shares, quota.TenantShare{Tenant: name, Granted: 2.7e6, Standing: 1.1e4, Ceiling: 4.4e4, Store: 3.1e5, Number: 999})
			}
			size := 0
			for b.Loop() {
				asked, err := encodeRequest(request{Exchange: &exchangeReport{Node: "edge-a-1", Quota: report}})
				assert.NilError(b, err)
				answered, err := encodeResponse(response{Answer: &exchangeAnswer{Quota: reply}})
				assert.NilError(b, err)
				size = len(asked) + len(answered)
			}
			b.ReportMetric(float64(size), "bytes/exchange")
		})
	}
}
