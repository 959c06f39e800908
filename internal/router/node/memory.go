package node

import (
	"math"
	"runtime/metrics"

	"pewterrudder/internal/router/status"
)

// Names of the runtime metrics. Reading them does not stop the world.
const (
	metricHeap       = "/memory/classes/heap/objects:bytes"
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricLimit      = "/gc/gomemlimit:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// readMemory returns the memory use and the number of goroutines of this process. A limit of zero means that there is
// none.
func readMemory() status.Memory {
	samples := []metrics.Sample{
		{Name: metricHeap}, {Name: metricTotal}, {Name: metricReleased}, {Name: metricLimit}, {Name: metricGoroutines},
	}
	metrics.Read(samples)
	value := func(index int) uint64 {
		if samples[index].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return samples[index].Value.Uint64()
	}
	memory := status.Memory{Heap: value(0), Total: value(1) - value(2), Limit: value(3), Goroutines: value(4)}
	if memory.Limit == math.MaxInt64 {
		memory.Limit = 0
	}
	return memory
}
