package cluster

import (
	"context"

	"pewterrudder/internal/router/softstate"
)

// maxAnswerBytes bounds the total payload of the records in one message, unless a single record exceeds it.
const maxAnswerBytes = 4 << 20

func (c *Cluster) registerHandlers() {
	c.messenger.HandleInline(kindHeartbeat, c.handleHeartbeat)
	c.messenger.HandleInline(kindRelay, c.handleRelay)
	c.messenger.HandleInline(kindDigest, c.handleDigest)
	c.messenger.HandleInline(kindPull, c.handlePull)
	c.messenger.HandleInline(kindPush, c.handlePush)
	c.messenger.HandleInline(kindPing, c.handlePing)
	c.messenger.Handle(kindPingOther, c.handlePingOther)
	c.messenger.Handle(kindConfirm, c.handleConfirm)
}

func (c *Cluster) handleHeartbeat(_ context.Context, body []byte) ([]byte, error) {
	var message heartbeat
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	c.post(heartbeatEvent{heartbeat: message})
	return nil, nil
}

// handleRelay acknowledges the records as soon as they are queued for the event loop.
func (c *Cluster) handleRelay(_ context.Context, body []byte) ([]byte, error) {
	var message relayMessage
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	c.post(relayEvent{sender: message.Sender, groups: message.Groups})
	return nil, nil
}

func (c *Cluster) handleDigest(_ context.Context, body []byte) ([]byte, error) {
	var request digestRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	c.post(heartbeatEvent{heartbeat: request.Sender, fromDigest: true})
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	return encode(&digestAnswer{
		Incarnation: c.View().Self().Incarnation,
		Differing:   c.table.BucketHashes(c.table.DifferingKinds(request.Kinds)),
	}), nil
}

func (c *Cluster) handlePull(_ context.Context, body []byte) ([]byte, error) {
	var request pullRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	return encode(c.answerPull(&request)), nil
}

func (c *Cluster) answerPull(request *pullRequest) *pullAnswer {
	c.tableMu.RLock()
	defer c.tableMu.RUnlock()
	buckets := request.Buckets
	if request.All {
		buckets = c.table.AllBuckets()
	}
	newer, wanted := c.table.Difference(buckets, request.Summaries)
	if !request.All && !request.Fresh {
		newer = c.withoutFreshLargeLocked(newer)
	}
	count := countFitting(newer)
	return &pullAnswer{Records: newer[:count], Wanted: wanted, More: count < len(newer)}
}

// countFitting returns how many of the first records fit into one message: at least one, if there are any.
func countFitting(records []softstate.Record) int {
	size := 0
	for i, record := range records {
		size += len(record.Payload)
		if i > 0 && size > maxAnswerBytes {
			return i
		}
	}
	return len(records)
}

func (c *Cluster) handlePush(_ context.Context, body []byte) ([]byte, error) {
	var message pushMessage
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	c.post(mergeEvent{records: message.Records})
	return nil, nil
}

func (c *Cluster) handlePing(context.Context, []byte) ([]byte, error) {
	return encode(&pingAnswer{Incarnation: c.View().Self().Incarnation}), nil
}

// handlePingOther pings another member on behalf of one of its monitors.
func (c *Cluster) handlePingOther(ctx context.Context, body []byte) ([]byte, error) {
	var request pingOther
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return c.messenger.Call(ctx, request.Address, kindPing, nil)
}
