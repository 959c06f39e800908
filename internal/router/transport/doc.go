// Package transport carries messages between routers over TCP.
//
// A message has a kind and a body (MessagePack, encoded by the caller). A call waits for a response; a send does not.
// All messages to one peer share a connection that is dialed on first use and closed after an idle timeout. An idle
// connection generates no traffic, because probes are sent only while calls are waiting for a response.
//
// A call may reach its handler twice: if an existing connection breaks before the response arrives, the call is retried
// once on a new connection. Handlers must therefore be idempotent.
package transport
