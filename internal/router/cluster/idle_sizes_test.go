//go:build !race

package cluster

// idleFleetSizes are the fleet sizes of TestIdleTraffic.
var idleFleetSizes = []int{9, 92, 410}
