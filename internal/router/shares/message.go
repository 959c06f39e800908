package shares

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/configlease"
	"pewterrudder/internal/router/lease"
	"pewterrudder/internal/router/quota"
	"pewterrudder/internal/router/retrybudget"
)

// protocolVersion is the version of the messages. Fields may be added under the same version.
const protocolVersion = 2

// request is any message from one router to another. One of its parts is set.
type request struct {
	Version  int            `msgpack:"version"`
	Lease    *lease.Request `msgpack:"lease,omitempty"`
	Exchange *exchange      `msgpack:"exchange,omitempty"`
	Lookup   bool           `msgpack:"find_coordinator,omitempty"`
	Relay    *relayed       `msgpack:"relay,omitempty"`
}

// exchange is a router's report to the coordinator.
type exchange struct {
	Node  string             `msgpack:"node"`
	Quota quota.DemandReport `msgpack:"quota"`
	Retry retrybudget.Report `msgpack:"retry"`
}

// response answers a request.
type response struct {
	Version int             `msgpack:"version"`
	Lease   *lease.Response `msgpack:"lease,omitempty"`
	Answer  *answer         `msgpack:"answer,omitempty"`
	// Coordinator is the address of the coordinator as far as it is known; set when the answer isn't.
	Coordinator string `msgpack:"coordinator,omitempty"`
}

// answer is the coordinator's answer to a report.
type answer struct {
	Quota quota.ShareAnswer  `msgpack:"quota"`
	Retry retrybudget.Answer `msgpack:"retry"`
	// Confirmation says how new the coordinator's configuration is, if it is asked for.
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
