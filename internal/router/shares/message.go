package shares

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/configlease"
	"pewterrudder/internal/router/lease"
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/retrybudget"
)

// protocolVersion is the version of the messages. Adding a field does not need a new version.
const protocolVersion = 2

// request is a message from one router to another. Besides the version, exactly one field is set.
type request struct {
	Version         int             `msgpack:"version"`
	Lease           *lease.Request  `msgpack:"lease,omitempty"`
	Exchange        *exchangeReport `msgpack:"exchange,omitempty"`
	FindCoordinator bool            `msgpack:"find_coordinator,omitempty"`
	Relay           *relayRequest   `msgpack:"relay,omitempty"`
}

// exchangeReport is a router's periodic report to the coordinator.
type exchangeReport struct {
	Node  string             `msgpack:"node"`
	Quota quota.DemandReport `msgpack:"quota"`
	Retry retrybudget.Report `msgpack:"retry"`
}

// response is the answer to a request.
type response struct {
	Version int             `msgpack:"version"`
	Lease   *lease.Response `msgpack:"lease,omitempty"`
	Answer  *exchangeAnswer `msgpack:"answer,omitempty"`
	// Coordinator is the coordinator's address as far as the responder knows it. It is set only where Lease and Answer are not.
	Coordinator string `msgpack:"coordinator,omitempty"`
}

// exchangeAnswer is the coordinator's answer to a report.
type exchangeAnswer struct {
	Quota quota.ShareAnswer  `msgpack:"quota"`
	Retry retrybudget.Answer `msgpack:"retry"`
	// Confirmation says when the coordinator's configuration was last known to be the newest; nil if the coordinator has none.
	Confirmation *configlease.Confirmation `msgpack:"confirmation,omitempty"`
}

func encodeRequest(message request) ([]byte, error) {
	message.Version = protocolVersion
	data, err := msgpack.Marshal(&message)
	return data, errors.Wrap(err, "encode request")
}

func decodeRequest(data []byte) (request, error) {
	var message request
	if err := msgpack.Unmarshal(data, &message); err != nil {
		return request{}, errors.Wrap(err, "decode request")
	}
	return message, checkVersion(message.Version)
}

func encodeResponse(message response) ([]byte, error) {
	message.Version = protocolVersion
	data, err := msgpack.Marshal(&message)
	return data, errors.Wrap(err, "encode response")
}

func decodeResponse(data []byte) (response, error) {
	var message response
	if err := msgpack.Unmarshal(data, &message); err != nil {
		return response{}, errors.Wrap(err, "decode response")
	}
	return message, checkVersion(message.Version)
}

func checkVersion(version int) error {
	if version != protocolVersion {
		return errors.Errorf("message of version %d, not %d", version, protocolVersion)
	}
	return nil
}
