package prefixagreement

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/commonprefix"
)

// reportRequest is a router's report to the coordinator.
type reportRequest struct {
	Router  string                     `msgpack:"r"`
	Version commonprefix.ReportVersion `msgpack:"v"`
	Report  commonprefix.Report        `msgpack:"c"`
}

// reportResponse tells the sender of a report whether the receiver is the coordinator.
type reportResponse struct {
	IsCoordinator bool `msgpack:"c"`
}

func encode(value any) ([]byte, error) {
	encoded, err := msgpack.Marshal(value)
	return encoded, errors.Wrap(err, "prefix agreement: encode message")
}

func decode(encoded []byte, value any) error {
	return errors.Wrap(msgpack.Unmarshal(encoded, value), "prefix agreement: decode message")
}
