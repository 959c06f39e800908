package configstore

import (
	"context"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/casregister"
)

// HandleRequest handles an encoded request of another router's store and returns the encoded response.
func (store *Store) HandleRequest(ctx context.Context, request []byte) ([]byte, error) {
	if store.ctx.Err() != nil {
		return nil, ErrClosed
	}
	var message envelope
	if err := decodeMessage(request, &message); err != nil {
		return nil, err
	}
	answer, err := store.serve(ctx, message)
	if err != nil {
		return nil, err
	}
	return encodeMessage(&answer)
}

func (store *Store) serve(ctx context.Context, message envelope) (response, error) {
	switch {
	case message.Register != nil:
		return store.serveRegister(ctx, *message.Register)
	case message.ChosenBallot != nil:
		return response{}, store.handleChosenBallot(*message.ChosenBallot)
	case message.KnownStateQuery:
		return store.serveKnownState(), nil
	default:
		return response{}, errors.New("configstore: empty request")
	}
}

func (store *Store) serveRegister(ctx context.Context, request casregister.Request) (response, error) {
	if store.acceptor == nil {
		return otherIdentityResponse(request, "", false), nil
	}
	reply, err := store.acceptor.submit(ctx, request)
	if identityErr := new(casregister.WrongAcceptorError); errors.As(err, &identityErr) {
		return otherIdentityResponse(request, identityErr.Actual, store.options.Self.Volatile), nil
	}
	if errors.Is(err, errDiskUnavailable) {
		return response{Unavailable: true}, nil
	}
	if err != nil {
		return response{}, err
	}
	reply.IsVolatile = store.options.Self.Volatile
	return response{Reply: &reply}, nil
}

// otherIdentityResponse answers a request for an acceptor that is not in this process. actual is the identity of the
// one that is, empty if there is none.
func otherIdentityResponse(request casregister.Request, actual casregister.AcceptorID, isVolatile bool) response {
	return response{Reply: &casregister.Reply{
		Verdict:    casregister.WrongAcceptor,
		From:       actual,
		Ballot:     request.Ballot,
		IsVolatile: isVolatile,
	}}
}

func (store *Store) serveKnownState() response {
	answer := response{}
	if current := store.Current(); current != nil {
		answer.Chosen = current.Encode()
	}
	if start := store.startingSet(); !start.IsZero() {
		answer.NewestSet = &start
	}
	return answer
}

// handleChosenBallot adopts the accepted state if its ballot is the one that another router reports as chosen.
// Otherwise this router may have missed a state, and resolve reads the register unless the state arrives soon.
func (store *Store) handleChosenBallot(ballot casregister.Ballot) error {
	if store.acceptor == nil {
		return nil
	}
	accepted := store.acceptor.accepted()
	if ballot.IsZero() {
		return nil
	}
	if accepted.Ballot != ballot {
		store.recordChosenBallot(ballot)
		return nil
	}
	_, err := store.adoptRegisterState(accepted)
	return err
}
