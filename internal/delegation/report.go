package delegation

import (
	"strconv"
	"strings"
)

// names gives the other word for each of the settings' columns: app nodes were seen to write the settings'
// own words, and the protocol's example has these. A report that is not understood is a node that decides
// blind, so either is taken.
var names = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// report reads a load report in the order of the settings' columns; nil if it lacks one or is garbled.
func (c *Connections) report(text string) []float64 {
	columns := *c.columns.Load()
	if text == "" || len(columns) == 0 {
		return nil
	}
	values := make([]float64, len(columns))
	for i, column := range columns {
		found := false
		for field := range strings.SplitSeq(text, ",") {
			name, value, _ := strings.Cut(field, "=")
			if name = strings.TrimSpace(name); name != column && name != names[column] {
				continue
			}
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil || !(v >= 0 && v < 1e9) { // NaN fails both
				return nil
			}
			values[i], found = v, true
			break
		}
		if !found {
			return nil
		}
	}
	return values
}
