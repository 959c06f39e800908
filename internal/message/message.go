// Package message holds the HTTP form of a call and of an answer, as the acceptor and the delegation hand them to
// each other past the reducer, which carries them without a look. It owns nothing and must never decide anything.
package message

import (
	"net/http"

	"pewterrudder/internal/flow"
)

// Call is a client's request as it goes to an app node.
type Call struct {
	Request *http.Request // method, target and header
	Body    []byte
	Upload  *flow.Upload // in place of Body, where that is too large to be held
	Trailer http.Header  // of an upload in chunks: filled by the time its body has come to its end
	Left    func() bool  // whether the client has closed its connection; nil: nobody knows. It waits for nothing
}

// Answer is an app node's answer for the client.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer *http.Header // filled by the time the body has come to its end
	Body    []byte
	Flow    *flow.Flow // in place of Body, where that is too large to be held
}
