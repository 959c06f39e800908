package brain

import (
	"slices"
	"time"
)

// overdueCheck is the scheduled check of an attempt that may not have ended by the due time.
type overdueCheck struct {
	request *request
	attempt int
	due     time.Duration
}

// overdueChecks is a heap (container/heap) with the earliest due time first. checkOverdue (overdue.go) acts on it.
type overdueChecks []overdueCheck

func (c overdueChecks) Len() int           { return len(c) }
func (c overdueChecks) Less(i, j int) bool { return c[i].due < c[j].due }
func (c overdueChecks) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *overdueChecks) Push(x any)        { *c = append(*c, x.(overdueCheck)) }
func (c *overdueChecks) Pop() any {
	last := (*c)[len(*c)-1]
	*c = slices.Delete(*c, len(*c)-1, len(*c)) // clears the slot, so that the request can be freed
	return last
}
