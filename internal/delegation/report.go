package delegation

import (
	"strconv"
	"strings"
)

// columnAliases maps the column names of the settings to the short ones of the protocol's example. App nodes have been
// seen to send the settings' names. Both are accepted, because without a readable report decisions about the app node
// lack its load.
var columnAliases = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// parseReport returns the values of a load report in the order of the settings' columns, or nil if a column is missing
// or a value is malformed.
func (c *Connections) parseReport(text string) []float64 {
	columns := *c.columns.Load()
	if text == "" || len(columns) == 0 {
		return nil
	}
	values := make([]float64, len(columns))
	for i, column := range columns {
		found := false
		for field := range strings.SplitSeq(text, ",") {
			name, value, _ := strings.Cut(field, "=")
			if name = strings.TrimSpace(name); name != column && name != columnAliases[column] {
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
