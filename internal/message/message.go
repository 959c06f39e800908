// Package message defines the HTTP form of calls and answers, which the acceptor and the delegation exchange through the
// reducer. The reducer passes them on as opaque values. The package owns no resources and must never make decisions.
package message

import (
	"net/http"

	"pewterrudder/internal/flow"
)

// Call is a client's request as it is sent to an app node.
type Call struct {
	Request            *http.Request // method, target and header
	Body               []byte
	Upload             *flow.Upload // in place of a Body that is too large to be buffered; nil: none
	Trailer            http.Header  // of a chunked upload; complete once its body has been read to the end
	ClientDisconnected func() bool  // reports, without blocking, whether the client has closed its connection; nil: unknown
}

// Answer is an app node's answer for the client.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer *http.Header // complete once the body has been read to the end
	Body    []byte
	Flow    *flow.Flow // in place of a Body that is too large to be buffered; nil: none
}
