package loadreports

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/protocol"
)

// figures holds the fields of an instance's load report that other routers need.
type figures struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Queued   int
	Running  int
	KVUsed   int64
	KVTotal  int64
}

// message is a batch of the reports that one router has polled.
type message struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Origin is the node that polled.
	Origin string
	// Epoch is a random number that identifies a process of the node.
	Epoch uint64
	// Sequence increases with each message of an epoch.
	Sequence uint64
	Reports  []figures
}

// figuresOf copies the fields that other routers need from a report.
func figuresOf(id string, report *protocol.Report) figures {
	return figures{ID: id, Queued: report.Queued, Running: report.Running, KVUsed: report.KVUsed, KVTotal: report.KVTotal}
}

// report returns a report with the figures; its other fields are zero.
func (f *figures) report() *protocol.Report {
	return &protocol.Report{Queued: f.Queued, Running: f.Running, KVUsed: f.KVUsed, KVTotal: f.KVTotal}
}

func (m *message) encode() ([]byte, error) {
	body, err := msgpack.Marshal(m)
	return body, errors.Wrap(err, "load reports: encode message")
}

func decode(body []byte) (*message, error) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "load reports: decode message")
	}
	return &m, nil
}
