package brain

import (
	"testing"
	"time"
)

// runColdFleet drives a node whose servers have all just started, for a number of half seconds. It sends a read every
// 20 ms and ends each attempt 60 ms after the send, with the outcome and the reported requests held that end returns.
// It returns the number of attempts in each half second.
func runColdFleet(b *testbed, half int, end func(n int) (Outcome, float64)) []int {
	type pending struct {
		id, server string
		attempt    int
		due        time.Duration
	}
	var open []pending
	sent, attempts, n := make([]int, half), map[string]int{}, 0
	record := func(i int, acts []Action) {
		for _, a := range actionsOf(acts, Send) {
			sent[i]++
			open = append(open, pending{a.ID, a.Server, attempts[a.ID], b.now + 60*ms})
			attempts[a.ID]++
		}
	}
	for i := range half {
		for range 25 {
			b.now += 20 * ms
			for len(open) > 0 && open[0].due <= b.now {
				o := open[0]
				open = open[1:]
				outcome, held := end(n)
				n++
				record(i, b.endAttempt(o.id, o.attempt, o.server, outcome, 60*ms, held))
			}
			record(i, b.handle(&TimerFired{Cookie: cookieQueue}))
			_, acts := b.request(read)
			record(i, acts)
		}
	}
	return sent
}

// coldTestbed has 80 nodes and 12 servers that have just started.
func coldTestbed() *testbed {
	cfg := manyNodesSettings()
	cfg.Classes[read].Late = 0
	cfg.SecondCopies = false
	list := members(12)
	for i := range list {
		list[i].Started = time.Minute // the clock of the testbed starts here
	}
	return newTestbed(cfg, list)
}

// After a full restart no node has ever seen a warm server. A node that needs one to learn the capacity of servers
// refuses all requests until the first server is warm by its age: 8 s here, 17 s after a power loss.
func TestAllColdFleetIsUsedAtOnce(t *testing.T) {
	sent := runColdFleet(coldTestbed(), 8, func(int) (Outcome, float64) { return OK, 0.2 })
	first, late := sent[0]+sent[1]+sent[2]+sent[3], sent[6]+sent[7]
	if first < 20 || late < 45 {
		t.Errorf("sent in each half second, of 25 requests: %v; want at least 20 in the first two seconds and 45 in the last one", sent)
	}
}

// The rate of cold servers rises with answers. It must fall again when attempts fail and the servers report high load.
func TestColdAnswerRateFallsWithoutAnswers(t *testing.T) {
	b := coldTestbed()
	runColdFleet(b, 6, func(int) (Outcome, float64) { return OK, 0.2 })
	open := b.node.answerRate
	runColdFleet(b, 4, func(int) (Outcome, float64) { return ConnectFailed, 5 })
	if b.node.answerRate > open/4 || open < 1 {
		t.Errorf("answer rate %.2f per second after answers, and %.2f after two seconds without", open, b.node.answerRate)
	}
	// If every second attempt is answered and the servers report high load, sends stay near the answers.
	b = coldTestbed()
	sent, total := runColdFleet(b, 6, func(n int) (Outcome, float64) { return []Outcome{OK, ConnectFailed}[n%2], 5 }), 0
	for _, n := range sent[2:] {
		total += n
	}
	if total > 60 { // half of the hundred requests in that time, and a few retries
		t.Errorf("sent to overloaded servers in each half second: %v", sent)
	}
}
