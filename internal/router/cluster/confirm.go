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

// persistTimeout bounds the wait for the disk on behalf of another router, which gives up no later. A disk that hangs
// must not hold the transport's handlers.
const persistTimeout = 500 * time.Millisecond

// ErrNotConfirmed is returned by Confirm if too few replicas acknowledged the record in time.
var ErrNotConfirmed = errors.New("cluster: too few replicas acknowledged the record")

// Confirm returns nil once enough replicas have acknowledged that they hold the current record of a key or a newer one,
// on their disks if it must outlast a restart. Replicas are transport addresses and may include this router's own.
// isQuorum decides whether the replicas that have acknowledged so far suffice.
func (c *Cluster) Confirm(ctx context.Context, id softstate.ID, replicas []string, isQuorum func(hasConfirmed func(string) bool) bool) error {
	record, known := c.Get(id.Kind, id.Key)
	if !known {
		return errors.Wrapf(ErrNotConfirmed, "no record with key %q", id.Key)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan string)
	go c.confirmLocally(ctx, record, answers)
	requestTimer := time.NewTimer(confirmDelay)
	defer requestTimer.Stop()
	confirmed := map[string]bool{}
	for {
		select {
		case <-requestTimer.C:
			c.requestConfirmations(ctx, record, replicas, answers)
		case address := <-answers:
			confirmed[address] = true
			if isQuorum(func(address string) bool { return confirmed[address] }) {
				return nil
			}
		case <-ctx.Done():
			return ErrNotConfirmed
		}
	}
}

// confirmLocally reports this router's own address once the record is on its disk.
func (c *Cluster) confirmLocally(ctx context.Context, record softstate.Record, answers chan<- string) {
	if err := c.persist(ctx, []softstate.Record{record}); err != nil {
		return
	}
	select {
	case answers <- c.View().Self().Address:
	case <-ctx.Done():
	}
}

// requestConfirmations sends a record to all replicas but this router.
func (c *Cluster) requestConfirmations(ctx context.Context, record softstate.Record, replicas []string, answers chan<- string) {
	own := c.View().Self().Address
	body := encode(&pushMessage{Records: []softstate.Record{record}})
	for _, address := range replicas {
		if address != own {
			go c.requestConfirmation(ctx, address, body, answers)
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

// handleConfirm replies once the records are merged and persisted.
func (c *Cluster) handleConfirm(ctx context.Context, body []byte) ([]byte, error) {
	var message pushMessage
	if err := decode(body, &message); err != nil {
		return nil, err
	}
	c.mergeAndWait(message.Records)
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	if err := c.persist(ctx, message.Records); err != nil {
		return nil, err
	}
	return nil, errors.WithStack(c.ctx.Err())
}
