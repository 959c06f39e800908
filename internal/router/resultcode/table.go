package resultcode

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
)

// StatusClientClosedRequest is recorded for a request whose client closed the connection before the response. It is never
// sent.
const StatusClientClosedRequest = 499

// Entry describes one result code.
type Entry struct {
	Code        Code
	Name        string
	Status      int
	Explanation string
}

// Table returns all result codes in ascending order.
func Table() []Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b Entry) int { return cmp.Compare(a.Code, b.Code) })
}

// Lookup returns the description of a code, and whether the code is known.
func Lookup(code Code) (Entry, bool) {
	entry, found := entries[code]
	return entry, found
}

// String returns the name of the code.
func (c Code) String() string { return c.entry().Name }

// Status returns the HTTP status of a response with the code.
func (c Code) Status() int { return c.entry().Status }

// entry returns the description of the code. An unknown code is treated as Internal.
func (c Code) entry() Entry {
	if known, found := entries[c]; found {
		return known
	}
	return entries[Internal]
}

var entries = indexByCode(
	Entry{NoRoute, "no_route", http.StatusNotFound, "No route has this host and path."},
	Entry{MissingKey, "missing_key", http.StatusUnauthorized, "The route asks for an API key and the request has none."},
	Entry{UnknownKey, "unknown_key", http.StatusUnauthorized, "No tenant has this API key."},
	Entry{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body is over the configured limit."},
	Entry{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, "The header is over the configured limit."},
	Entry{MalformedRequest, "malformed_request", http.StatusBadRequest, "The request cannot be read as HTTP/1.1 or has an unusable header field."},
	Entry{QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, "The tenant is over its quota; the request has not run."},
	Entry{NoInstance, "no_instance", http.StatusServiceUnavailable, "No instance of the service is available; the request has not run."},
	Entry{InstanceRejected, "instance_rejected", http.StatusServiceUnavailable, "The instance rejected the request without running it."},
	Entry{RetryBudgetExhausted, "retry_budget_exhausted", http.StatusServiceUnavailable, "An attempt did not run and the retry budget allows no other."},
	Entry{AttemptFailed, "attempt_failed", http.StatusBadGateway, "An attempt failed after it was sent; the request may have run."},
	Entry{TimeoutExceeded, "timeout_exceeded", http.StatusGatewayTimeout, "The route's timeout passed; the request may have run."},
	Entry{DeadlineBeforeRun, "deadline_before_run", http.StatusServiceUnavailable, "The client's deadline passed before the request was sent to an instance."},
	Entry{ClientGone, "client_gone", StatusClientClosedRequest, "The client closed its connection before the answer."},
	Entry{ShuttingDown, "shutting_down", http.StatusServiceUnavailable, "The router is shutting down; the request has not run."},
	Entry{NotReady, "not_ready", http.StatusServiceUnavailable, "The router does not take requests yet or no longer."},
	Entry{RequestReadTimeout, "request_read_timeout", http.StatusRequestTimeout, "The client took too long to send the request; it has not run."},
	Entry{Overloaded, "overloaded", http.StatusServiceUnavailable, "The router has no room for the request; it has not run."},
	Entry{NeverSent, "never_sent", http.StatusServiceUnavailable, "No instance could be reached; the request has not run."},
	Entry{StreamBroken, "stream_broken", http.StatusBadGateway, "The stream of events ended before its last event."},
	Entry{KeysUnconfirmed, "keys_unconfirmed", http.StatusServiceUnavailable, "The router has not been sure for long that no key was taken away; the request has not run."},

	Entry{ConfigurationUnreadable, "configuration_unreadable", http.StatusBadRequest, "The body is not one whole JSON document of the expected types."},
	Entry{FieldInvalid, "field_invalid", http.StatusBadRequest, "A field is missing or has a value outside its range."},
	Entry{UnknownBackend, "unknown_backend", http.StatusBadRequest, "A route names a service that the configuration does not have."},
	Entry{DuplicateName, "duplicate_name", http.StatusBadRequest, "Two items of one list have the same name."},
	Entry{DuplicateRoute, "duplicate_route", http.StatusBadRequest, "Two routes have the same host and path prefix."},
	Entry{ZeroWeight, "zero_weight", http.StatusBadRequest, "The weights of a route's split add up to 0."},
	Entry{ZeroTimeout, "zero_timeout", http.StatusBadRequest, "A route's timeout_ms is not above 0."},
	Entry{GenerationNotAbove, "generation_not_above", http.StatusBadRequest, "The generation is not above the current one."},
	Entry{SharedKey, "shared_key", http.StatusBadRequest, "Two tenants have the same API key."},
	Entry{PatchContradictory, "patch_contradictory", http.StatusBadRequest, "A patch names the same item twice, or both to replace and to remove."},
	Entry{BaseRevisionInvalid, "base_revision_invalid", http.StatusBadRequest, "The header field with the base revision is missing or not a number."},
	Entry{RevisionMismatch, "revision_mismatch", http.StatusPreconditionFailed, "Another revision than the named base is current."},
	Entry{ConfigurationTooLarge, "configuration_too_large", http.StatusRequestEntityTooLarge, "The configuration is larger than the router stores."},
	Entry{OutcomeUnclear, "outcome_unclear", http.StatusServiceUnavailable, "The change was proposed and may or may not take effect; send it again unchanged."},
	Entry{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, "The router knows of no configuration yet."},
	Entry{RegisterUnavailable, "register_unavailable", http.StatusServiceUnavailable, "Too few acceptors of the configuration register answered."},
	Entry{SnapshotDamaged, "snapshot_damaged", http.StatusBadRequest, "The file is no snapshot, is not as it was written, or needs a newer release."},
	Entry{SnapshotOutdated, "snapshot_outdated", http.StatusConflict, "The register is ahead of the snapshot, or holds something else under its revision."},
	Entry{OrderForgotten, "order_forgotten", http.StatusServiceUnavailable, "Orders on this base are remembered no longer; the change was taken or it was not. Read the configuration."},

	Entry{HeartbeatUnreadable, "heartbeat_unreadable", http.StatusBadRequest, "The body of the heartbeat is not a whole JSON document of the expected types."},
	Entry{HeartbeatInvalid, "heartbeat_invalid", http.StatusBadRequest, "A field of the heartbeat is missing or has a value outside its range."},
	Entry{HeartbeatStale, "heartbeat_stale", http.StatusConflict, "A later heartbeat of this instance has been taken already."},
	Entry{InstanceUnknown, "instance_unknown", http.StatusNotFound, "No instance has this id."},
	Entry{CallTooLarge, "call_too_large", http.StatusRequestEntityTooLarge, "The body of the call is over its limit."},
	Entry{HeartbeatNotSpread, "heartbeat_not_spread", http.StatusServiceUnavailable, "That the instance leaves could not be made known to a quorum of the acceptors; it asks another router."},

	Entry{Internal, "internal", http.StatusInternalServerError, "The router failed in a way that it did not foresee."},
	Entry{ClusterUnreachable, "cluster_unreachable", http.StatusServiceUnavailable, "The router reaches too few of the others."},
	Entry{NoSuchCall, "no_such_call", http.StatusNotFound, "The control interface has no such call."},
	Entry{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, "The call exists with another method."},
	Entry{MessageUnreadable, "message_unreadable", http.StatusBadRequest, "A message of another router cannot be decoded."},
)

func indexByCode(list ...Entry) map[Code]Entry {
	table := make(map[Code]Entry, len(list))
	for _, entry := range list {
		if _, taken := table[entry.Code]; taken {
			panic("resultcode: duplicate code: " + entry.Name)
		}
		table[entry.Code] = entry
	}
	return table
}
