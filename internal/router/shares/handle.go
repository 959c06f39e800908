package shares

import (
	"context"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/configlease"
)

// errNoPart says that a request asks for nothing that this version knows.
var errNoPart = errors.New("request without a known part")

// HandleRequest answers a message of another router.
func (s *Shares) HandleRequest(ctx context.Context, data []byte) ([]byte, error) {
	message, err := decodeRequest(data)
	if err != nil {
		return nil, err
	}
	if message.Relay != nil {
		return s.passOn(ctx, *message.Relay)
	}
	return s.respond(message)
}

// respond answers a message that is meant for this router.
func (s *Shares) respond(message request) ([]byte, error) {
	reply, err := s.handle(message)
	if err != nil {
		return nil, err
	}
	return encodeResponse(reply)
}

func (s *Shares) handle(message request) (response, error) {
	now := s.now()
	switch {
	case message.Lease != nil:
		s.refreshGrantors()
		granted := s.role.grant(now, *message.Lease)
		if message.Lease.Release {
			s.wakeLease()
		}
		return response{Lease: &granted}, nil
	case message.Exchange != nil:
		result, ok := s.role.report(now, s.rules(), *message.Exchange)
		if ok {
			result.Confirmation = s.confirmation()
			return response{Answer: &result}, nil
		}
		return response{Coordinator: s.role.holder(now, s.options.Address)}, nil
	case message.Lookup:
		return response{Coordinator: s.role.holder(now, s.options.Address)}, nil
	default:
		return response{}, errNoPart
	}
}

// confirmation is what the coordinator adds to its answers; nil: nothing.
func (s *Shares) confirmation() *configlease.Confirmation {
	if s.options.Confirmations == nil {
		return nil
	}
	told, ok := s.options.Confirmations.Tell()
	if !ok {
		return nil
	}
	return &told
}

// call sends a message to a router, which may be this one.
func (s *Shares) call(ctx context.Context, address string, message request) (response, error) {
	if address == s.options.Address {
		return s.handle(message)
	}
	data, err := encodeRequest(message)
	if err != nil {
		return response{}, err
	}
	reply, err := s.deliver(ctx, address, data)
	if err != nil {
		return response{}, err
	}
	return decodeResponse(reply)
}
