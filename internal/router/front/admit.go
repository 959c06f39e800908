package front

import (
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/attempt"
	"pewterrudder/internal/router/prefixcache"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
)

const (
	defaultBodyLimit   = 4 << 20
	defaultHeaderLimit = 16 << 10
	// clientMargin is taken off the client's deadline, for the way back; it is at most one part in marginShare of it.
	clientMargin = 10 * time.Millisecond
	marginShare  = 10
)

// call is one request of a client and what became of it so far.
type call struct {
	server     *Server
	writer     http.ResponseWriter
	incoming   *http.Request
	connection *clientConnection
	arrival    time.Time

	table   *routing.Table
	route   *routing.Route
	tenant  *routing.Tenant
	backend *routing.Backend
	request attempt.Request
	wish    selection.Request

	reserved int64 // bytes of memory for the body

	tries      int // attempts that were started
	arrivals   int // attempts that reached an instance
	runs       int // instances on which the request may have run
	rejections int
	advice     time.Duration // Retry-After of the last rejection
	noBudget   bool
	failure    *attempt.Response // the last failure that an instance answered, held whole
	headSent   bool
	// unresumable says that events were sent and nobody can tell behind which the stream goes on.
	unresumable bool
}

// admit finds out whether and where the request may go, and reads it whole. Nil: it may.
func (c *call) admit() *resultcode.Error {
	steps := [...]func() *resultcode.Error{c.checkHead, c.findRoute, c.findTenant, c.readBody, c.checkQuota}
	for _, step := range steps {
		if failure := step(); failure != nil {
			return failure
		}
	}
	return nil
}

// checkHead checks what the request must have and must not have.
func (c *call) checkHead() *resultcode.Error {
	head := c.connection.taken()
	if c.table = c.server.dependencies.Table(); c.table == nil {
		return resultcode.New(resultcode.NotReady, "no configuration yet")
	}
	limit := int(c.table.Limits().MaxHeaderBytes)
	if limit <= 0 {
		limit = defaultHeaderLimit
	}
	switch {
	case head.ambiguous:
		c.endConnection()
		return resultcode.New(resultcode.MalformedRequest, "the body is framed in two ways")
	case head.size > limit:
		c.endConnection()
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

// setDeadline takes the earlier of the client's deadline and the route's timeout.
func (c *call) setDeadline() {
	left := c.route.Timeout
	if ms, err := strconv.ParseFloat(c.incoming.Header.Get(protocol.HeaderDeadlineMs), 64); err == nil && ms >= 0 {
		wanted := time.Duration(min(ms*float64(time.Millisecond), math.MaxInt64/2))
		left = min(left, wanted-min(clientMargin, wanted/marginShare))
	}
	c.request.Deadline = c.arrival.Add(left)
}

// findTenant checks the key. A route that needs none gets no tenant.
func (c *call) findTenant() *resultcode.Error {
	if !c.table.RequiresKey(c.route) {
		return nil
	}
	if holds := c.server.dependencies.KeysHold; holds != nil && !holds() {
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

// checkQuota asks whether the tenant may send so much now, and notes what an instance is picked by.
func (c *call) checkQuota() *resultcode.Error {
	c.fillRequest()
	c.fillWish()
	quota := c.server.dependencies.Quota
	if c.tenant == nil || quota == nil {
		return nil
	}
	ok, wait := quota(time.Now(), c.tenant, c.cost())
	if ok {
		return nil
	}
	c.advice = wait
	return resultcode.New(resultcode.QuotaExceeded, "")
}

// cost is what the request counts in the unit of its tenant's quota.
func (c *call) cost() int {
	if !c.tenant.CountsTokens {
		return 1
	}
	if tokens := c.wish.PromptTokens + c.wish.OutputTokens; tokens > 0 {
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
		c.wish.Tenant = c.tenant.Name
		c.request.Priority = c.tenant.Priority
	}
	c.request.Priority = min(c.request.Priority, lowestPriority)
	c.request.Once = !c.route.Repeatable()
}

// lowestPriority is the last rank that an instance knows.
const lowestPriority = 9

func (c *call) fillWish() {
	header := c.incoming.Header
	c.wish.Backend = c.backend.Name
	c.wish.Bytes = max(0, int(c.incoming.ContentLength))
	c.wish.Model = header.Get(protocol.HeaderModel)
	c.wish.PromptTokens, c.wish.OutputTokens = parseTokenCount(header.Get(protocol.HeaderTokenCount))
	c.wish.Prefix = prefixcache.ParseHeader(header.Get(protocol.HeaderPrefixHash))
}

// parseTokenCount reads "prompt,most out".
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

// readBody reads the body whole.
func (c *call) readBody() *resultcode.Error {
	length := c.incoming.ContentLength
	if length == 0 {
		return nil
	}
	limit := int64(c.table.Limits().MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if length > limit {
		return c.bodyTooLarge(limit)
	}
	if !c.reserve(max(length, 0)) {
		return resultcode.New(resultcode.Overloaded, "no memory for the body")
	}
	c.connection.SetReadDeadline(c.request.Deadline)
	body, err := readAll(c.incoming.Body, length, limit)
	c.connection.SetReadDeadline(time.Time{})
	if err != nil {
		return c.unreadableBody(err, limit)
	}
	c.request.Body = body
	if length < 0 && !c.reserve(int64(len(body))) {
		return resultcode.New(resultcode.Overloaded, "no memory for the body")
	}
	return nil
}

// reserve takes memory for the body from what all bodies may take. It is given back when the request has been served.
func (c *call) reserve(size int64) bool {
	if c.server.bodyMemory.Add(size) > c.server.options.BodyMemory {
		c.server.bodyMemory.Add(-size)
		return false
	}
	c.reserved += size
	return true
}

func (c *call) unreadableBody(err error, limit int64) *resultcode.Error {
	c.endConnection()
	switch {
	case errors.Is(err, errBodyLimit):
		return c.bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return resultcode.New(resultcode.RequestReadTimeout, "the body did not come in time")
	}
	return resultcode.Wrap(err, resultcode.MalformedRequest, "the body could not be read")
}

func (c *call) bodyTooLarge(limit int64) *resultcode.Error {
	c.endConnection()
	return resultcode.New(resultcode.BodyTooLarge, "more than %d bytes", limit)
}

// endConnection has the answer be the last on its connection.
func (c *call) endConnection() { c.writer.Header().Set("Connection", "close") }

var errBodyLimit = errors.New("front: a body is over the limit")

// readAll reads a body of the given length, or of unknown length (-1) up to the limit.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		whole := make([]byte, length)
		_, err := io.ReadFull(body, whole)
		return whole, err
	}
	whole, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(whole)) > limit {
		return nil, errBodyLimit
	}
	return whole, err
}
