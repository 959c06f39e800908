package brain

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// referenceCounts is a simple reference implementation: a count for every tenant, each decayed at every ranking.
type referenceCounts struct {
	counts []float64
	ranked time.Duration
}

// observe updates the counts after the node has handled an event: a request of the tenant, or another event if tenant
// is -1.
func (p *referenceCounts) observe(n *Node, tenant int) {
	if tenant >= 0 {
		p.counts[tenant]++
	}
	if dt := (n.rankedAt - p.ranked).Seconds(); dt > 0 {
		k := 1 - math.Exp(-dt/3)
		for i := range p.counts {
			p.counts[i] *= 1 - k
		}
	}
	p.ranked = n.rankedAt
}

func (p *referenceCounts) quotaWeight(n *Node, tenant int, quota float64) float64 {
	if tenant < 0 || tenant >= len(p.counts) || quota <= 0 {
		return 1
	}
	seen := p.counts[tenant] / 3 * float64(n.cfg.Nodes)
	over := max(0, 1-quota/max(seen, 1e-9))
	return 1 - over*(1-n.cfg.OverQuotaWorth)
}

// Quota weights of random requests must match the reference implementation over minutes: with few and many tenants, at
// any rate, and when a tenant stops and returns.
func TestQuotaWeightsMatchAllTenantCounts(t *testing.T) {
	partial := 0
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 17))
		cfg := testSettings()
		cfg.Nodes, cfg.OverQuotaWorth = 1+rng.IntN(50), rng.Float64()
		tenants := 1 + rng.IntN(400)
		quotas := make([]float64, tenants)
		for i := range quotas {
			quotas[i] = []float64{0, 0.5, 10, 200}[rng.IntN(4)] * rng.Float64()
		}
		b := newTestbed(cfg, members(4))
		reference := &referenceCounts{counts: make([]float64, tenants), ranked: b.node.rankedAt}
		for step := range 6_000 {
			b.now += time.Duration(rng.ExpFloat64() * float64([]time.Duration{ms, 20 * ms, 100 * ms}[seed%3]))
			if rng.IntN(2_000) == 0 {
				b.now += time.Duration(rng.IntN(200)) * time.Second // a time without requests
			}
			tenant := -1
			if rng.IntN(10) > 0 {
				tenant = int(float64(tenants) * math.Pow(rng.Float64(), 3)) // some tenants send most of the requests
			}
			quota := 0.0
			if tenant >= 0 {
				quota = quotas[tenant]
			}
			id := fmt.Sprint("q", step)
			acts := b.handle(&Request{ID: id, Class: rng.IntN(3), Tenant: tenant, Quota: quota, Deadline: b.now + time.Second})
			reference.observe(b.node, tenant)
			for _, a := range actionsOf(acts, Send) {
				b.endAttempt(id, a.Attempt, a.Server, OK, time.Duration(1+rng.IntN(30))*ms, 1)
				reference.observe(b.node, -1)
			}
			for range 20 {
				i := rng.IntN(tenants+1) - 1
				r := &request{Request: Request{Tenant: i}}
				if i >= 0 {
					r.Quota = quotas[i]
				}
				got, want := b.node.quotaWeight(r), reference.quotaWeight(b.node, i, r.Quota)
				if math.Abs(got-want) > 1e-9 {
					t.Fatalf("seed %d, step %d, tenant %d of %d: quota weight %v, want %v", seed, step, i, tenants, got, want)
				}
				if want < 1 && want > cfg.OverQuotaWorth+1e-3 {
					partial++
				}
			}
		}
	}
	if partial < 1_000 {
		t.Errorf("only %d weights between the bounds: the test cannot tell a wrong weight", partial)
	}
}

// The counts of inactive tenants are dropped, so that the state does not grow with all tenants ever seen.
func TestInactiveTenantsAreForgotten(t *testing.T) {
	var counts arrivalCounts
	now := time.Minute
	for i := range 200_000 {
		now += ms
		counts.add(i, now)
		if kept := len(counts.current) + len(counts.previous); kept > 2*int(tenantRetention/ms)+1 {
			t.Fatalf("%d tenants are kept after %d, at one per millisecond", kept, i+1)
		}
	}
	if got := counts.countAt(199_999, now); got != 1 {
		t.Errorf("the count of the last tenant is %v, want 1", got)
	}
	if got := counts.countAt(0, now); got != 0 {
		t.Errorf("at %v the count of the first tenant is %v, want 0", now, got)
	}
}

// A negative quota counts as unlimited. Settings that contain one are rejected when they are read.
func TestNegativeQuotaIsUnlimited(t *testing.T) {
	b := newTestbed(testSettings(), members(2))
	for range 100 {
		b.seq++
		b.handle(&Request{ID: fmt.Sprint(b.seq), Tenant: 3, Quota: -1, Deadline: b.now + time.Second})
	}
	if got := b.node.quotaWeight(&request{Request: Request{Tenant: 3, Quota: -1}}); got != 1 {
		t.Errorf("with a quota of -1: quota weight %v, want 1", got)
	}
	if got := b.node.quotaWeight(&request{Request: Request{Tenant: 3, Quota: 1}}); got >= 1 {
		t.Errorf("with a quota of 1: quota weight %v, want less than 1", got)
	}
}

// A tenant keeps its number and its count across new settings. Its new quota comes with its next request.
func TestTenantCountsSurviveNewSettings(t *testing.T) {
	b := newTestbed(testSettings(), members(2))
	ask := func(quota float64) float64 {
		b.seq++
		r := Request{ID: fmt.Sprint(b.seq), Tenant: 70_000, Quota: quota, Deadline: b.now + time.Second}
		b.handle(&r)
		return b.node.quotaWeight(&request{Request: r})
	}
	for range 50 {
		ask(5)
	}
	before := ask(5)
	b.handle(&Retuned{Settings: testSettings()})
	if after := ask(5); before >= 1 || after >= before {
		t.Errorf("quota weight %v, and %v after new settings", before, after)
	}
	if got := ask(1_000); got != 1 {
		t.Errorf("with a large quota: quota weight %v, want 1", got)
	}
}
