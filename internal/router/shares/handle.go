package shares

import (
	"context"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/configlease"
)

// errUnknownRequest refuses a request none of whose fields this version knows.
var errUnknownRequest = errors.New("request of unknown kind")

// HandleRequest answers an encoded request of another router.
func (s *Shares) HandleRequest(ctx context.Context, data []byte) ([]byte, error) {
	message, err := decodeRequest(data)
	if err != nil {
		return nil, err
	}
	if message.Relay != nil {
		return s.handleRelay(ctx, *message.Relay)
	}
	return s.respond(message)
}

// respond handles a request that is addressed to this router and encodes the response.
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
		granted := s.coordination.handleLeaseRequest(now, *message.Lease)
		if message.Lease.Release {
			s.wakeLease()
		}
		return response{Lease: &granted}, nil
	case message.Exchange != nil:
		result, ok := s.coordination.handleReport(now, s.coordinatorRules(), *message.Exchange)
		if ok {
			result.Confirmation = s.currentConfirmation()
			return response{Answer: &result}, nil
		}
		return response{Coordinator: s.coordination.coordinatorAddress(now, s.options.Address)}, nil
	case message.FindCoordinator:
		return response{Coordinator: s.coordination.coordinatorAddress(now, s.options.Address)}, nil
	default:
		return response{}, errUnknownRequest
	}
}

// currentConfirmation returns the confirmation of the configuration that the coordinator adds to its answers, or nil if there
// is none.
func (s *Shares) currentConfirmation() *configlease.Confirmation {
	if s.options.Confirmations == nil {
		return nil
	}
	confirmation, ok := s.options.Confirmations.Latest()
	if !ok {
		return nil
	}
	return &confirmation
}

// call sends a request to a router, which may be this one, and waits for the response.
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
