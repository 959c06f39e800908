package brain

import (
	"slices"
	"time"
)

// wait is for the answer of an attempt.
type wait struct {
	r   *request
	i   int
	due time.Duration
}

// waits is a heap (container/heap): the first due on top. What to do about it is not known here.
type waits []wait

func (w waits) Len() int           { return len(w) }
func (w waits) Less(i, j int) bool { return w[i].due < w[j].due }
func (w waits) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waits) Push(x any)        { *w = append(*w, x.(wait)) }
func (w *waits) Pop() any {
	last := (*w)[len(*w)-1]
	*w = slices.Delete(*w, len(*w)-1, len(*w)) // which forgets its request
	return last
}
