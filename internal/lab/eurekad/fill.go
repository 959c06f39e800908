package eurekad

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// FillApp is the app that Fill registers.
const FillApp = "NODES"

// ChangedAt is the metadata key under which Churn notes the moment of a change, in Unix ns.
const ChangedAt = "changed-at"

// Fill registers n instances that look like a real client's.
func Fill(r *Registry, n int) {
	for i := range n {
		ip := fmt.Sprintf("10.%d.%d.%d", i>>16&255, i>>8&255, i&255)
		at := "http://" + ip + ":5000/"
		r.Register(&Instance{ID: fmt.Sprintf("node-%05d.site.example:nodes:5000", i), App: FillApp, Host: "node-" + strconv.Itoa(i) + ".site.example",
			IP: ip, VIP: "nodes", SecureVIP: "nodes", Status: "UP", Port: 5000, Plain: true, SecurePort: 443, Renew: 30,
			Lease: 90, Home: at, Page: at + "actuator/info", Health: at + "actuator/health", DataCentre: "MyOwn",
			Metadata: map[string]string{"zone": "zone-" + string(rune('a'+i%3)), "weight": strconv.Itoa(1 + i%4),
				"kind": "m" + strconv.Itoa(i%2), "cell": strconv.Itoa(i % 7), "management.port": "9000"}})
	}
}

// Churn changes so many of n filled instances a second, one after the other, until ctx ends.
func Churn(ctx context.Context, r *Registry, n int, perSecond float64, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.SetMetadata(FillApp, fmt.Sprintf("node-%05d.site.example:nodes:5000", rnd.IntN(n)),
			map[string]string{ChangedAt: strconv.FormatInt(time.Now().UnixNano(), 10)})
	}
}
