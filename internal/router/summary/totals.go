package summary

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"pewterrudder/internal/router/resultcode"
)

// maxLineBytes is the maximum length of a log line. Reading fails at a longer one.
const maxLineBytes = 1 << 20

// Totals holds the sums over the summary lines of one or more logs.
type Totals struct {
	// Lines is the number of summary lines.
	Lines int
	// Codes are the counts of all routers together.
	Codes Counts
	// Succeeded is the number of 2xx responses.
	Succeeded uint64
	// Nodes holds the counts per router name.
	Nodes map[string]Counts
}

// NewTotals returns totals without any lines.
func NewTotals() *Totals { return &Totals{Codes: Counts{}, Nodes: map[string]Counts{}} }

// Read adds the summary lines of a log and skips all other lines.
func (t *Totals) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if strings.Contains(lines.Text(), Message) {
			t.addLine(lines.Text())
		}
	}
	return lines.Err()
}

// addLine adds a line if it is a summary line.
func (t *Totals) addLine(line string) {
	fields := parseLine(line)
	if fields["msg"] != Message {
		return
	}
	counts, err := Parse(fields[FieldCodes])
	if err != nil || len(counts) == 0 {
		return // a truncated line
	}
	t.Lines++
	t.addCounts(fields[FieldNode], counts)
	if succeeded, err := strconv.ParseUint(fields[FieldSucceeded], 10, 64); err == nil {
		t.Succeeded += succeeded
	}
}

// addCounts adds counts of one router.
func (t *Totals) addCounts(node string, counts Counts) {
	if t.Nodes[node] == nil {
		t.Nodes[node] = Counts{}
	}
	for code, count := range counts {
		t.Codes[code] += count
		t.Nodes[node][code] += count
	}
}

// Routers returns the number of routers that have responded with the code.
func (t *Totals) Routers(code resultcode.Code) int {
	routers := 0
	for _, counts := range t.Nodes {
		if counts[code] > 0 {
			routers++
		}
	}
	return routers
}
