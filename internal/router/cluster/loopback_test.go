package cluster

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/softstate"
	"pewterrudder/internal/router/transport"
)

// TestLoopback runs a fleet over real TCP connections: all members must discover each other, and a record must reach
// all.
func TestLoopback(t *testing.T) {
	const size = 24
	log := logrus.New()
	log.SetOutput(io.Discard)
	received := make(chan string, size)
	transports := make([]*transport.Transport, size)
	for i := range transports {
		var err error
		transports[i], err = transport.Listen(transport.Options{Address: "127.0.0.1:0", Log: log})
		assert.NilError(t, err)
	}
	seeds := []string{transports[0].Address(), transports[1].Address(), transports[2].Address()}
	clusters := make([]*Cluster, size)
	for i := range clusters {
		node := fmt.Sprintf("router-%02d", i)
		clusters[i] = New(Options{
			Self:       membership.Member{Node: node, Address: transports[i].Address(), Zone: fmt.Sprintf("zone-%d", i%3)},
			Seeds:      seeds,
			FirstStart: true,
			Transport:  transports[i],
			Log:        log,
		})
		clusters[i].Watch(1, func(softstate.Record) { received <- node })
		clusters[i].Start()
	}
	started := time.Now()
	for _, c := range clusters {
		for len(c.View().Live()) < size {
			assert.Assert(t, time.Since(started) < 5*time.Second, "%d members known", len(c.View().Live()))
			<-time.After(time.Millisecond)
		}
	}
	t.Logf("all know all after %v", time.Since(started))
	published := time.Now()
	clusters[7].Publish(softstate.Record{Kind: 1, Key: "key", Payload: []byte("value")})
	for range clusters {
		<-received
	}
	t.Logf("record at all after %v", time.Since(published))
	for i, c := range clusters {
		c.Stop()
		assert.NilError(t, transports[i].Close())
	}
}
