package eureka

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pewterrudder/internal/roster"
)

var (
	errSilent     = errors.New("the answer stopped in its middle")
	errLong       = errors.New("the answer took too long to read")
	errGivenUp    = errors.New("no answer in time")
	errSuperseded = errors.New("a later attempt has answered")
)

// refused is an answer other than 200.
type refused struct {
	code  int
	after time.Duration
}

func (r refused) Error() string {
	return "answered " + strconv.Itoa(r.code) + " " + http.StatusText(r.code)
}

// heard is what one attempt has come to. For each attempt one is handed on with over set, unless it was given up.
type heard struct {
	id, address int
	reading     bool // its state, while it is not over
	over        bool
	err         error

	whole   bool // the entries are all
	news    bool
	entries []roster.Entry
	flaw    error
	flaws   int
	delta   bool // a delta did
	broken  bool // a delta was there, and wrong
	none    bool // the address gives no deltas
}

// attempt asks once: for a delta where one will do, and for the whole where that is wrong.
func (c *Client) attempt(ctx context.Context, stop context.CancelCauseFunc, id, address int, delta bool) {
	h := heard{id: id, address: address}
	if delta {
		h.delta = true
		h.err = c.ask(ctx, stop, &h, "/apps/delta", false)
		var r refused
		var w mismatch
		switch {
		case errors.As(h.err, &r) && (r.code == http.StatusForbidden || r.code == http.StatusNotFound ||
			r.code == http.StatusMethodNotAllowed || r.code == http.StatusNotImplemented):
			h.none = true
		case errors.As(h.err, &w):
			h.broken = true
			c.note("%s: %v: asking for the whole list", c.redacted[address], w.error)
		}
	}
	if !delta || h.none || h.broken {
		h.delta, h.err = false, nil
		path := "/apps"
		if c.set.ByApp {
			path += "/" + url.PathEscape(strings.ToUpper(c.set.Apps[0]))
		}
		if delta {
			c.hand(heard{id: id, address: address})
		}
		h.err = c.ask(ctx, stop, &h, path, true)
	}
	if h.err != nil {
		if cause := context.Cause(ctx); cause != nil {
			h.err = cause
		}
		h.over = true
		c.hand(h)
	}
}

// mismatch says that an answer was read whole and is not to be believed.
type mismatch struct{ error }

// ask makes one call, reads its answer into the view and hands it on.
func (c *Client) ask(ctx context.Context, stop context.CancelCauseFunc, h *heard, path string, whole bool) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.set.Addresses[h.address]+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "application/json")
	if c.set.XML {
		req.Header.Set("Accept", "application/xml")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return plain(err)
	}
	defer resp.Body.Close()
	empty := whole && c.set.ByApp && resp.StatusCode == http.StatusNotFound // no instance of it is registered
	if resp.StatusCode != http.StatusOK && !empty {
		return refusal(resp)
	}
	c.hand(heard{id: h.id, address: h.address, reading: true})
	// One answer is read at a time, and has the view meanwhile. Waiting for it is bounded by the other's bounds.
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-c.turn }()
	if h.id < c.newest {
		return errSuperseded
	}
	if !whole && c.basis != h.address {
		return errSuperseded
	}
	quiet := time.AfterFunc(c.set.Silence, func() { stop(errSilent) })
	defer quiet.Stop()
	long := time.AfterFunc(c.set.Longest, func() { stop(errLong) })
	defer long.Stop()
	m := newMeter(reader(func(b []byte) (int, error) {
		n, err := resp.Body.Read(b)
		quiet.Reset(c.set.Silence)
		return n, err
	}), c.set.MostBytes)
	a := c.view.begin(whole, c.set.Now(), skewOf(resp))
	decode := decodeJSON
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind == "application/xml" || kind == "text/xml" {
		decode = decodeXML
	}
	var told head
	if !empty {
		if told, err = decode(m, c.view.keys.wants, a.take); err != nil {
			return err
		}
		if err := a.wrong(told); err != nil {
			return mismatch{err}
		}
		io.CopyN(io.Discard, m, 4<<10) // the end, so that the connection can be used again
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	h.entries, h.news = a.commit()
	h.whole, h.flaw, h.flaws, h.over = whole, a.flaw, a.flaws, true
	c.newest, c.basis = h.id, h.address
	c.hand(*h) // before the next one may read: what is handed on keeps the order of the view
	return nil
}

type reader func([]byte) (int, error)

func (r reader) Read(b []byte) (int, error) { return r(b) }

// plain leaves the address out of an error: it may hold a password.
func plain(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func refusal(resp *http.Response) error {
	io.CopyN(io.Discard, resp.Body, 4<<10)
	r := refused{code: resp.StatusCode}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		r.after = time.Duration(min(s, 3600)) * time.Second
	}
	return r
}

// skewOf is how far the registry's clock is ahead, as far as its Date tells.
func skewOf(resp *http.Response) time.Duration {
	date, err := http.ParseTime(resp.Header.Get("Date"))
	if err != nil {
		return 0
	}
	if skew := time.Until(date); skew > skewFrom || skew < -skewFrom {
		return skew
	}
	return 0
}

func (c *Client) hand(h heard) {
	select {
	case c.heard <- h:
	case <-c.ctx.Done():
	}
}

func (c *Client) note(format string, args ...any) {
	if c.set.Log != nil {
		c.set.Log("eureka: " + fmt.Sprintf(format, args...))
	}
}
