package capacity

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gonum.org/v1/gonum/stat"

	"pewterrudder/internal/lab/flowrig"
)

const (
	// callsFor is how long each rate lasts, and answerBytes what an answer holds.
	callsFor    = 3 * time.Second
	answerBytes = 200
	// callConns are kept connections that calls go out on by turns: at these rates one is free whenever a call is due.
	callConns = 16
	// calm is the share of the budget that calls may take without the balancer, at 99 %, for what it adds to be told apart from
	// what the machine adds.
	calm = 0.25
)

// callRates are a second; the second is a balancer's share at the coming size.
func callRates(s Site) []int {
	mean := int(s.perBalancer())
	return []int{mean / 2, mean, 2 * mean}
}

// measureCalls sends calls at set moments, to app nodes by themselves and through a balancer by turns.
func measureCalls(ctx context.Context, o *Options, _ *Results) ([]*Slope, error) {
	const x, note = "calls a second", "loopback, one process, 4 app nodes, answers of 200 bytes: no network, no neighbours, no cold connections"
	cpu := &Slope{Name: "calls.cpu", What: "processor time of the balancer", X: x, Unit: "ms/s", Note: note}
	p50 := &Slope{Name: "calls.added_p50", What: "median through the balancer less the median without it", X: x, Unit: "ms", Note: note}
	p99 := &Slope{Name: "calls.added_p99", What: "99 % through the balancer less 99 % without it", X: x, Unit: "ms", Note: note}
	alone := &Slope{Name: "calls.straight_p99", What: "99 % without the balancer", X: x, Unit: "ms", Note: "what this machine adds by itself"}
	refusals := &Slope{Name: "calls.refused", What: "refused by the balancer", X: x, Unit: "calls of 100", Note: "a starved process refuses"}
	all := []*Slope{cpu, p50, p99, alone, refusals}
	nodes, err := flowrig.StartRole("flow", "node", "--addresses", "4")
	if err != nil {
		return all, err
	}
	defer nodes.Stop()
	addrs := strings.Split(nodes.Addr, ",")
	b, err := flowrig.StartBalancer(o.Balancer, flowrig.Setup{Nodes: addrs, Classes: []flowrig.Class{flowrig.Bulk}, MemoryMB: asInstalled,
		Sockets: defaultSockets, Attempts: 2})
	if err != nil {
		return all, err
	}
	defer b.Stop()
	if err := flowrig.Settle(b.Addr, new(flowrig.Stock)); err != nil {
		return all, err
	}
	for _, rate := range callRates(o.Site) {
		straight, _, err := paced(ctx, addrs[0], rate)
		if err != nil {
			return all, err
		}
		before, err := b.CPU()
		if err != nil {
			return all, err
		}
		began := time.Now()
		through, refused, err := paced(ctx, b.Addr, rate)
		if err != nil {
			return all, err
		}
		after, err := b.CPU()
		if err != nil {
			return all, err
		}
		x := float64(rate)
		cpu.add(x, msPerSecond((after-before).Seconds()/time.Since(began).Seconds()))
		p50.add(x, quantile(through, 0.5)-quantile(straight, 0.5))
		p99.add(x, quantile(through, 0.99)-quantile(straight, 0.99))
		alone.add(x, quantile(straight, 0.99))
		refusals.add(x, 100*float64(refused)/float64(len(through)))
	}
	return all, nil
}

func quantile(sorted []float64, q float64) float64 {
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

// paced sends calls at set moments and gives their times from those moments, sorted, in ms: one that waits for a
// connection has waited. A refusal is an answer, and is counted.
func paced(ctx context.Context, addr string, rate int) (sorted []float64, refused int64, err error) {
	n := int(callsFor.Seconds() * float64(rate))
	times, errs := make([]float64, n), make([]error, callConns)
	began := time.Now()
	var all sync.WaitGroup
	var turned atomic.Int64
	for k := range callConns {
		all.Go(func() {
			c, err := flowrig.Dial(addr, 0)
			if err != nil {
				errs[k] = err
				return
			}
			defer c.Close()
			c.Deadline(callsFor + time.Minute)
			for i := k; i < n && ctx.Err() == nil; i += callConns {
				due := began.Add(time.Duration(float64(i) / float64(rate) * float64(time.Second)))
				time.Sleep(time.Until(due))
				ask := flowrig.Ask{Path: flowrig.Path(flowrig.Bulk.Name, answerBytes, uint64(i)), ID: fmt.Sprintf("c-%d-%x-%d", rate, began.UnixNano(), i),
					Class: flowrig.Bulk.Name, Wait: time.Second}
				if errs[k] = c.Send(ask); errs[k] != nil {
					return
				}
				switch a := c.Receive("GET"); {
				case a.Err == nil && a.Status == http.StatusServiceUnavailable && !a.Close:
					turned.Add(1)
				case a.Err != nil || a.Status != http.StatusOK:
					errs[k] = fmt.Errorf("a call of %s: %s", addr, a)
					return
				}
				times[i] = ms(time.Since(due))
			}
		})
	}
	all.Wait()
	slices.Sort(times)
	return times, turned.Load(), errors.Join(append(errs, ctx.Err())...)
}

// added is what the balancer adds to a call at 99 %, at its share of the coming size, where the machine was calm enough to
// see it.
func (r *Results) added(s Site) Amount {
	at := math.Floor(s.perBalancer())
	a, alone := r.point("calls.added_p99", at), r.point("calls.straight_p99", at)
	if a.Known && alone.Known && alone.Value > calm*s.Added {
		return unknown("the machine was busy: without the balancer 99 %% took %s ms", number(alone.Value))
	}
	return a
}
