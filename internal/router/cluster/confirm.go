package cluster

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/softstate"
)

// confirmDelay gives the relay tree time to deliver a record to the replicas first. A replica that received it through
// Confirm instead would relay it to the fleet a second time.
const confirmDelay = 40 * time.Millisecond

// ErrNotConfirmed is returned by Confirm if too few replicas acknowledged the record in time.
var ErrNotConfirmed = errors.New("cluster: too few replicas acknowledged the record")

// Confirm returns nil once enough replicas have acknowledged that they hold the current record of a key or a newer one.
// Replicas are transport addresses and may include this router's own. isQuorum decides whether the replicas that have
// acknowledged so far suffice.
func (c *Cluster) Confirm(ctx context.Context, id softstate.ID, replicas []string, isQuorum func(hasConfirmed func(string) bool) bool) error {
	record, known := c.Get(id.Kind, id.Key)
	if !known {
		return errors.Wrapf(ErrNotConfirmed, "no record with key %q", id.Key)
	}
	own := c.View().Self().Address
	confirmed := map[string]bool{own: true}
	hasConfirmed := func(address string) bool { return confirmed[address] }
	if isQuorum(hasConfirmed) {
		return nil
	}
	if !sleep(ctx, confirmDelay) {
		return ErrNotConfirmed
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan string)
	body := encode(&pushMessage{Records: []softstate.Record{record}})
	for _, address := range replicas {
		if address != own {
			go c.requestConfirmation(ctx, address, body, answers)
		}
	}
	for {
		select {
		case address := <-answers:
			confirmed[address] = true
		case <-ctx.Done():
			return ErrNotConfirmed
		}
		if isQuorum(hasConfirmed) {
			return nil
		}
	}
}

// requestConfirmation sends a record to a replica and reports the replica's address once it has acknowledged the
// record.
func (c *Cluster) requestConfirmation(ctx context.Context, address string, body []byte, answers chan<- string) {
	if _, err := c.messenger.Call(ctx, address, kindConfirm, body); err != nil {
		return
	}
	select {
	case answers <- address:
	case <-ctx.Done():
	}
}

// handleConfirm replies once the records are merged.
func (c *Cluster) handleConfirm(_ context.Context, body []byte) ([]byte, error) {
	var message pushMessage
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	c.mergeAndWait(message.Records)
	return nil, errors.WithStack(c.ctx.Err())
}

// sleep pauses and reports whether the pause ended before the context.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
