//go:build race

package cluster

// idleFleetSizes are the fleet sizes of TestIdleTraffic. The largest, 410, is left out: it takes minutes under the race
// detector, which finds nothing there that it doesn't find with 92.
var idleFleetSizes = []int{9, 92}
