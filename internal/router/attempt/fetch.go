package attempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/protocol"
)

// maxFetchedBody is the maximum size of a fetched body, in bytes.
const maxFetchedBody = 256 << 10

// Fetch gets a resource of the instance itself, such as its report, over the connections of the pool. The response to a
// fetch has no request id; a response with an id is a late one to an earlier client request and is skipped.
func (p *Pool) Fetch(ctx context.Context, target Target, path string, deadline time.Time) (status int, body []byte, err error) {
	request := &Request{Method: http.MethodGet, RequestURI: path, Host: target.Address, Priority: NoPriority, Deadline: deadline}
	c, err := p.acquire(ctx, target, request)
	if err != nil {
		return 0, nil, err
	}
	c.socket.SetDeadline(deadline)
	c.stopContextWatch = context.AfterFunc(ctx, c.reset)
	status, body, err = c.fetch(request)
	if err != nil {
		c.discard()
		return 0, nil, errors.Wrapf(c.translateError(ctx, err), "attempt: %s", path)
	}
	return status, body, nil
}

func (c *connection) fetch(request *Request) (status int, body []byte, err error) {
	var text []byte
	text = append(text, request.Method+" "+request.RequestURI+" HTTP/1.1\r\n"...)
	text = appendField(text, "Host", request.Host)
	text = appendField(text, protocol.HeaderExpectInstance, c.target.ID)
	text = append(text, "\r\n"...)
	if _, err := c.socket.Write(text); err != nil {
		return 0, nil, err
	}
	for range maxForeignResponses + 1 {
		h, err := readHead(c.reader, request.Method)
		if err != nil {
			return 0, nil, err
		}
		if h.id == "" {
			return c.readFetched(h)
		}
		c.pool.counters.foreign.Add(1)
		c.tainted = true
		if err := c.skipBody(h); err != nil {
			return 0, nil, err
		}
	}
	return 0, nil, ErrForeignResponse
}

// readFetched reads the body of the response to a fetch and finishes the exchange.
func (c *connection) readFetched(h *head) (status int, body []byte, err error) {
	reader, err := c.bodyReader(h)
	if err != nil {
		return 0, nil, err
	}
	var page bytes.Buffer
	n, err := io.Copy(&page, io.LimitReader(reader, maxFetchedBody+1))
	if err != nil {
		return 0, nil, err
	}
	if n > maxFetchedBody {
		return 0, nil, ErrTooLarge
	}
	if err := c.readTrailer(h); err != nil {
		return 0, nil, err
	}
	c.finishExchange(h)
	return h.status, page.Bytes(), nil
}
