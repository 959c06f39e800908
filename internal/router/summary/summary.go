// Package summary formats and parses the log lines in which routers report result code counts. Each line holds the counts
// since the previous line of the same router, so the lines of any part of a log can be summed.
package summary

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pewterrudder/internal/router/resultcode"
)

// Message is the log message of a summary line.
const Message = "result codes"

// Fields of a summary line.
const (
	// FieldCodes holds the counts, as code:count pairs separated by spaces.
	FieldCodes = "codes"
	// FieldSucceeded holds the number of 2xx responses in the same period.
	FieldSucceeded = "succeeded"
	// FieldNode holds the name of the router.
	FieldNode = "node"
)

// Counts holds the number of requests per result code.
type Counts map[resultcode.Code]uint64

// Diff returns the increase from earlier to now. Codes whose count did not increase are omitted.
func Diff(earlier, now Counts) Counts {
	changes := Counts{}
	for code, count := range now {
		if count > earlier[code] {
			changes[code] = count - earlier[code]
		}
	}
	return changes
}

// Codes returns the codes in ascending order.
func (c Counts) Codes() []resultcode.Code { return slices.Sorted(maps.Keys(c)) }

// Format returns the counts as the value of FieldCodes.
func Format(counts Counts) string {
	parts := make([]string, 0, len(counts))
	for _, code := range counts.Codes() {
		parts = append(parts, fmt.Sprintf("%d:%d", int(code), counts[code]))
	}
	return strings.Join(parts, " ")
}

// Parse parses the output of Format.
func Parse(value string) (Counts, error) {
	counts := Counts{}
	for _, part := range strings.Fields(value) {
		code, count, found := strings.Cut(part, ":")
		number, codeErr := strconv.Atoi(code)
		amount, countErr := strconv.ParseUint(count, 10, 64)
		if err := cmp.Or(codeErr, countErr); !found || err != nil {
			return nil, fmt.Errorf("%q is not code:count", part)
		}
		counts[resultcode.Code(number)] += amount
	}
	return counts, nil
}
