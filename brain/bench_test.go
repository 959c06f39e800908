package brain

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures a request with its outcome, by the size of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := newTestbed(testSettings(), members(size))
			for b.Loop() {
				t.now += 20 * ms
				id, acts := t.request(read)
				for _, a := range actionsOf(acts, Send) {
					t.endAttempt(id, 0, a.Server, OK, 20*ms, 1)
				}
			}
		})
	}
}

// BenchmarkRerank measures a ranking, by the size of the fleet.
func BenchmarkRerank(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := newTestbed(testSettings(), members(size))
			for b.Loop() {
				t.now += rankInterval
				t.node.rerank()
			}
		})
	}
}

// BenchmarkRequestOfTenants measures a request, including occasional rankings, with 300,000 tenants.
func BenchmarkRequestOfTenants(b *testing.B) {
	t := newTestbed(testSettings(), members(100))
	for i := 0; b.Loop(); i++ {
		t.now += 4 * ms
		id := fmt.Sprint(i)
		acts := t.handle(&Request{ID: id, Class: read, Tenant: i * 7919 % 300_000, Quota: 5, Deadline: t.now + time.Second})
		for _, a := range actionsOf(acts, Send) {
			t.endAttempt(id, 0, a.Server, OK, 20*ms, 1)
		}
	}
}

// BenchmarkOverdueCheckAmongOpenRequests measures an overdue check by the number of open requests, which it must hardly
// depend on. The checks come from two classes with different aims, so that their due times interleave.
func BenchmarkOverdueCheckAmongOpenRequests(b *testing.B) {
	for _, open := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			n, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			r := &request{attempts: []attempt{{ended: true}}}
			step := time.Second / time.Duration(open) // the longer aim of one second spans this many checks
			for i := range open {
				n.scheduleCheck(overdueCheck{r, 0, time.Duration(i) * step})
			}
			for i := 0; b.Loop(); i++ {
				at := time.Duration(i) * step
				n.scheduleCheck(overdueCheck{r, 0, at + time.Second/time.Duration(1+i%2)})
				heap.Pop(&n.checks)
			}
		})
	}
}
