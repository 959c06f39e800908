package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
)

const (
	defaultHeaderLimit = 16 << 10
	// deadlineMargin is subtracted from the client's deadline to leave time for the response to travel back. It is at
	// most 1/deadlineMarginDivisor of the client's deadline.
	deadlineMargin        = 10 * time.Millisecond
	deadlineMarginDivisor = 10
)

// call is one client request and the state of serving it.
type call struct {
	server     *Server
	writer     http.ResponseWriter
	incoming   *http.Request
	connection *clientConnection
	arrival    time.Time

	table     *routing.Table
	route     *routing.Route
	tenant    *routing.Tenant
	backend   *routing.Backend
	request   attempt.Request
	selection selection.Request

	reservedBytes int64 // bytes of body memory held

	attempts        int // attempts started
	reached         int // attempts that reached an instance
	possibleRuns    int // instances on which the request may have run
	rejections      int
	retryAfterHint  time.Duration // Retry-After of the last rejection or of the quota; 0: none
	budgetExhausted bool
	lastFailure     *attempt.Response // the last buffered 5xx response of an instance
	headerSent      bool
	// unresumable is set when events were sent but the id of the last one is unknown, so the stream can't be resumed.
	unresumable bool
}

// admit checks whether the request may be forwarded, determines its backend and reads its body. It returns nil if the
// request is admitted.
func (c *call) admit() *resultcode.Error {
	steps := [...]func() *resultcode.Error{c.checkHead, c.findRoute, c.findTenant, c.readBody, c.checkQuota}
	for _, step := range steps {
		if failure := step(); failure != nil {
			return failure
		}
	}
	return nil
}

// checkHead checks the framing, the header size, the target and the request id.
func (c *call) checkHead() *resultcode.Error {
	head := c.connection.popHead()
	if c.table = c.server.dependencies.Table(); c.table == nil {
		return resultcode.New(resultcode.NotReady, "no configuration yet")
	}
	limit := int(c.table.Limits().MaxHeaderBytes)
	if limit <= 0 {
		limit = defaultHeaderLimit
	}
	switch {
	case head.ambiguous:
		c.closeAfterResponse()
		return resultcode.New(resultcode.MalformedRequest, "the body is framed in two ways")
	case head.size > limit:
		c.closeAfterResponse()
		return resultcode.New(resultcode.HeaderTooLarge, "more than %d bytes", limit)
	case !strings.HasPrefix(c.incoming.RequestURI, "/"):
		return resultcode.New(resultcode.MalformedRequest, "the target is not a path")
	}
	ids := c.incoming.Header[protocol.HeaderRequestID]
	if len(ids) != 1 || ids[0] == "" {
		return resultcode.New(resultcode.MalformedRequest, "one %s is needed", protocol.HeaderRequestID)
	}
	c.request.ID = ids[0]
	return nil
}

// findRoute determines the route and the backend, and sets the deadline.
func (c *call) findRoute() *resultcode.Error {
	path, _, _ := strings.Cut(c.incoming.RequestURI, "?")
	if c.route = c.table.Lookup(c.incoming.Host, path); c.route == nil {
		return resultcode.New(resultcode.NoRoute, "")
	}
	name := c.route.ChooseBackend(c.server.dependencies.Random())
	if c.backend = c.table.Backend(name); c.backend == nil {
		return resultcode.New(resultcode.NoInstance, "no service %s", name)
	}
	c.setDeadline()
	return nil
}

// setDeadline sets the request's deadline to the earlier of the client's deadline and the route's timeout.
func (c *call) setDeadline() {
	timeout := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.incoming.Header.Get(protocol.HeaderDeadlineMs), 64); err == nil && ms >= 0 {
		requested := time.Duration(min(ms*float64(time.Millisecond), math.MaxInt64/2))
		timeout = min(timeout, requested-min(deadlineMargin, requested/deadlineMarginDivisor))
	}
	c.request.Deadline = c.arrival.Add(timeout)
}

// findTenant identifies the tenant by the API key. On a route that requires no key, the tenant stays nil.
func (c *call) findTenant() *resultcode.Error {
	if !c.table.RequiresKey(c.route) {
		return nil
	}
	if keysValid := c.server.dependencies.KeysValid; keysValid != nil && !keysValid() {
		return resultcode.New(resultcode.KeysUnconfirmed, "")
	}
	keys := c.incoming.Header[protocol.HeaderAPIKey]
	if len(keys) == 0 {
		return resultcode.New(resultcode.MissingKey, "")
	}
	if len(keys) == 1 {
		c.tenant = c.table.Tenant(keys[0])
	}
	if c.tenant == nil {
		return resultcode.New(resultcode.UnknownKey, "")
	}
	return nil
}

// checkQuota fills in the attempt's request and the selection request, and checks the tenant's quota.
func (c *call) checkQuota() *resultcode.Error {
	c.fillRequest()
	c.fillSelection()
	quota := c.server.dependencies.Quota
	if c.tenant == nil || quota == nil {
		return nil
	}
	ok, wait := quota(time.Now(), c.tenant, c.cost())
	if ok {
		return nil
	}
	c.retryAfterHint = wait
	return resultcode.New(resultcode.QuotaExceeded, "")
}

// cost returns what the request costs in the unit of its tenant's quota: requests or tokens.
func (c *call) cost() int {
	if !c.tenant.CountsTokens {
		return 1
	}
	if tokens := c.selection.PromptTokens + c.selection.OutputTokens; tokens > 0 {
		return tokens
	}
	return int(math.Ceil(c.tenant.PlainTokens))
}

func (c *call) fillRequest() {
	in := c.incoming
	c.request.Method, c.request.RequestURI, c.request.Host = in.Method, in.RequestURI, in.Host
	c.request.Header = in.Header
	c.request.Priority = c.route.Priority
	if c.tenant != nil {
		c.request.Tenant = c.tenant.Name
		c.selection.Tenant = c.tenant.Name
		c.request.Priority = c.tenant.Priority
	}
	c.request.Priority = min(c.request.Priority, lowestPriority)
	c.request.NonRepeatable = !c.route.Repeatable()
}

// lowestPriority is the numerically largest priority that instances support; 0 is the highest.
const lowestPriority = 9

func (c *call) fillSelection() {
	header := c.incoming.Header
	c.selection.Backend = c.backend.Name
	c.selection.Bytes = max(0, int(c.incoming.ContentLength))
	c.selection.Model = header.Get(protocol.HeaderModel)
	c.selection.PromptTokens, c.selection.OutputTokens = parseTokenCount(header.Get(protocol.HeaderTokenCount))
	c.selection.Prefix = prefixcache.ParseHeader(header.Get(protocol.HeaderPrefixHash))
}

// parseTokenCount parses "prompt tokens,maximum output tokens". A missing or invalid count is 0.
func parseTokenCount(value string) (prompt, output int) {
	first, second, _ := strings.Cut(value, ",")
	return parseCount(first), parseCount(second)
}

func parseCount(text string) int {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}

// closeAfterResponse closes the client's connection after the response to this request.
func (c *call) closeAfterResponse() { c.writer.Header().Set("Connection", "close") }
