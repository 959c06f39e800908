package cluster

import (
	"context"
	"time"

	"pewterrudder/internal/router/softstate"
)

const (
	// exchangeTimeout bounds the calls of an exchange that carry no records, and the direct notification of a member.
	exchangeTimeout = 450 * time.Millisecond
	// transferTimeout bounds the calls that carry records.
	transferTimeout = 4 * time.Second
	// maxPulls bounds the number of pull requests in one exchange.
	maxPulls = 16
)

// exchange compares this router's table with a peer's, and each side merges the records of which the other holds a
// newer version. If fresh is set, the peer also sends large records that it received only recently.
func (c *Cluster) exchange(address string, fresh bool) error {
	answer, err := c.requestDigest(address)
	if err != nil || len(answer.Differing) == 0 {
		return err
	}
	for range maxPulls {
		request := c.differingPullRequest(answer)
		request.Fresh = fresh
		more, err := c.pull(address, request)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// pullTable merges the whole table of a peer. A joining router uses it.
func (c *Cluster) pullTable(address string) error {
	for range maxPulls {
		more, err := c.pull(address, c.fullPullRequest())
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (c *Cluster) requestDigest(address string) (*digestAnswer, error) {
	body := encode(c.digestRequest())
	ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
	defer cancel()
	result, err := c.messenger.Call(ctx, address, kindDigest, body)
	if err != nil {
		return nil, err
	}
	var answer digestAnswer
	return &answer, decode(result, &answer)
}

func (c *Cluster) digestRequest() *digestRequest {
	sender := c.heartbeat()
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return &digestRequest{Sender: sender, Kinds: c.table.Digest()}
}

// heartbeat returns the heartbeat of this router.
func (c *Cluster) heartbeat() heartbeat {
	self := c.View().Self()
	return heartbeat{
		Node:        self.Node,
		Address:     self.Address,
		Incarnation: self.Incarnation,
		TableHash:   c.tableHash(),
		Settled:     c.settled(),
	}
}

func (c *Cluster) differingPullRequest(answer *digestAnswer) *pullRequest {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	buckets := c.table.DifferingBuckets(answer.Differing)
	return &pullRequest{Buckets: buckets, Summaries: c.table.Summaries(buckets)}
}

func (c *Cluster) fullPullRequest() *pullRequest {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return &pullRequest{All: true, Summaries: c.table.Summaries(c.table.AllBuckets())}
}

// pull merges the records that are newer at the peer and sends those that the peer requests. more reports that the
// answer was cut short by the size limit.
func (c *Cluster) pull(address string, request *pullRequest) (more bool, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, transferTimeout)
	defer cancel()
	result, err := c.messenger.Call(ctx, address, kindPull, encode(request))
	if err != nil {
		return false, err
	}
	var answer pullAnswer
	if err := decode(result, &answer); err != nil {
		return false, err
	}
	c.mergeAndWait(answer.Records)
	return answer.More, c.push(ctx, address, answer.Wanted)
}

// mergeAndWait passes received records to the event loop and waits until they are merged.
func (c *Cluster) mergeAndWait(records []softstate.Record) {
	if len(records) == 0 {
		return
	}
	done := make(chan struct{})
	c.post(mergeEvent{records: records, done: done})
	select {
	case <-done:
	case <-c.ctx.Done():
	}
}

// push sends the records that a peer requested.
func (c *Cluster) push(ctx context.Context, address string, wanted []softstate.ID) error {
	c.tableMu.RLock()
	records := c.withoutFreshLargeLocked(c.table.Select(wanted))
	c.tableMu.RUnlock()
	for len(records) > 0 {
		count := countFitting(records)
		body := encode(&pushMessage{Records: records[:count]})
		if _, err := c.messenger.Call(ctx, address, kindPush, body); err != nil {
			return err
		}
		records = records[count:]
	}
	return nil
}
