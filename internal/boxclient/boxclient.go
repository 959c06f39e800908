// Package boxclient speaks to a box over its control socket, for rudderctl and the console. It owns the connection and
// what is done about a lost answer: the same request, with the same edit id, is sent again until it is answered or
// patience ends, so that an edit is made once whatever became of the answers. It must never make up an id of its own for
// an edit that has been sent, decide what an operator meant, or write to a terminal.
package boxclient

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pewterrudder/internal/boxd/boxapi"
	"pewterrudder/internal/control"
)

// Patience is how long a request whose answer was lost is sent again: a box that is started anew is back within that.
const Patience = 15 * time.Second

const (
	attemptMost = 10 * time.Second // of one attempt: a disk may be slow, a person is not that patient twice
	waitFirst   = 20 * time.Millisecond
	waitMost    = time.Second
	lineMost    = 2 * boxapi.BodyMost // of the stream: a record is no longer than its edit by more than its keys
)

// Client may be used from any goroutine.
type Client struct {
	path     string
	patience time.Duration
	attempt  time.Duration
	http     *http.Client
}

// New makes a client of the box whose socket lies at a path; it connects when it is first asked something.
func New(path string, patience time.Duration) *Client {
	c := &Client{path: path, patience: patience, attempt: attemptMost}
	c.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", path)
		}}}
	return c
}

// NewID gives an edit an id of its own: 50 random bits, short enough to be typed.
func NewID() string { return strings.ToLower(rand.Text()[:10]) }

// NoBox says that nobody answers at the socket.
type NoBox struct {
	Path string
	Err  error
}

func (n *NoBox) Error() string {
	switch {
	case errors.Is(n.Err, fs.ErrNotExist):
		return fmt.Sprintf("no box: there is no socket at %s", n.Path)
	case errors.Is(n.Err, fs.ErrPermission):
		return fmt.Sprintf("the socket %s is the box's own user's and root's", n.Path)
	case errors.Is(n.Err, syscall.ECONNREFUSED):
		return fmt.Sprintf("the box at %s is not running", n.Path)
	}
	return fmt.Sprintf("no box answers at %s: %v", n.Path, n.Err)
}

func (n *NoBox) Unwrap() error { return n.Err }

// Lost says that an answer did not come: whether the request was carried out is not known.
type Lost struct {
	Tries int
	Err   error
}

func (l *Lost) Error() string {
	return fmt.Sprintf("no answer after %d tries: %v", l.Tries, l.Err)
}

func (l *Lost) Unwrap() error { return l.Err }

func (c *Client) Status(ctx context.Context) (v boxapi.Status, err error) {
	_, err = c.get(ctx, boxapi.PathStatus, nil, &v)
	return v, err
}

// Pools and all below give the revision that the answer rests on, for an edit to be made against.
func (c *Client) Pools(ctx context.Context) (v []boxapi.Pool, revision uint64, err error) {
	revision, err = c.get(ctx, boxapi.PathPools, nil, &v)
	return v, revision, err
}

func (c *Client) Nodes(ctx context.Context) (v []boxapi.Node, revision uint64, err error) {
	revision, err = c.get(ctx, boxapi.PathNodes, nil, &v)
	return v, revision, err
}

func (c *Client) Why(ctx context.Context, node string) (v boxapi.Why, err error) {
	_, err = c.get(ctx, boxapi.PathWhy+url.PathEscape(node), nil, &v)
	return v, err
}

func (c *Client) Roster(ctx context.Context) (v boxapi.Roster, err error) {
	_, err = c.get(ctx, boxapi.PathRoster, nil, &v)
	return v, err
}

func (c *Client) Peers(ctx context.Context) (v boxapi.Peers, err error) {
	_, err = c.get(ctx, boxapi.PathPeers, nil, &v)
	return v, err
}

func (c *Client) Wants(ctx context.Context) (v control.Wants, err error) {
	_, err = c.get(ctx, boxapi.PathWants, nil, &v)
	return v, err
}

// History gives records from a revision on, or the latest so many of them; 0: no bound.
func (c *Client) History(ctx context.Context, from uint64, most int) (v []control.Record, err error) {
	q := url.Values{}
	if from > 0 {
		q.Set("from", strconv.FormatUint(from, 10))
	}
	if most > 0 {
		q.Set("most", strconv.Itoa(most))
	}
	_, err = c.get(ctx, boxapi.PathHistory, q, &v)
	return v, err
}

// Export gives the answer as it came.
func (c *Client) Export(ctx context.Context) (v json.RawMessage, err error) {
	_, err = c.get(ctx, boxapi.PathExport, nil, &v)
	return v, err
}

// Edit asks for an edit, against e.Against where that is not 0. It needs an id.
func (c *Client) Edit(ctx context.Context, e control.Edit) (r control.Record, err error) {
	return r, c.post(ctx, boxapi.PathEdits, e.Against, e, &r)
}

func (c *Client) Undo(ctx context.Context, b control.Back) (r control.Record, err error) {
	return r, c.post(ctx, boxapi.PathUndo, 0, b, &r)
}

// Confirm has an edit on trial stay.
func (c *Client) Confirm(ctx context.Context, id string) (r control.Record, err error) {
	return r, c.post(ctx, boxapi.PathConfirm, 0, boxapi.Confirm{ID: id}, &r)
}

func (c *Client) get(ctx context.Context, path string, q url.Values, into any) (revision uint64, err error) {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return c.ask(ctx, http.MethodGet, path, 0, nil, into)
}

func (c *Client) post(ctx context.Context, path string, against uint64, v, into any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = c.ask(ctx, http.MethodPost, path, against, body, into)
	return err
}

// ask sends a request until it is answered. Where nobody has answered the very first connect, there is nothing to wait for.
func (c *Client) ask(ctx context.Context, method, path string, against uint64, body []byte, into any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	sent := false
	for tries, wait := 1, waitFirst; ; tries++ {
		revision, reached, err := c.once(ctx, method, path, against, body, into)
		sent = sent || reached
		var flaw *boxapi.Flaw
		down := errors.As(err, &flaw) && flaw.Code == boxapi.Down
		if err == nil || flaw != nil && !down {
			return revision, err
		}
		if !sent {
			return 0, &NoBox{c.path, bare(err)}
		}
		select {
		case <-time.After(wait):
			wait = min(2*wait, waitMost)
		case <-ctx.Done():
			return 0, &Lost{tries, bare(err)}
		}
	}
}

// bare takes off what net/http says around an error; the request's URL there is none that a person could use.
func bare(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// once is one attempt; reached says that a connect succeeded, after which the request may have been carried out.
func (c *Client) once(ctx context.Context, method, path string, against uint64, body []byte, into any) (rev uint64, reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	resp, err := c.send(ctx, method, path, against, body)
	if err != nil {
		var op *net.OpError
		return 0, !(errors.As(err, &op) && op.Op == "dial"), err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, true, err
	}
	if err := flawOf(resp, b); err != nil {
		return 0, true, err
	}
	if err := json.Unmarshal(b, into); err != nil {
		return 0, true, &boxapi.Flaw{Code: boxapi.Misuse, Text: fmt.Sprintf("the box's answer cannot be read: %v", err)}
	}
	rev, _ = boxapi.Untag(resp.Header.Get("ETag"))
	return rev, true, nil
}

func (c *Client) send(ctx context.Context, method, path string, against uint64, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://box"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if against > 0 {
		req.Header.Set("If-Match", boxapi.Tag(against))
	}
	return c.http.Do(req)
}

func flawOf(resp *http.Response, body []byte) error {
	if resp.StatusCode < 300 {
		return nil
	}
	flaw := new(boxapi.Flaw)
	if json.Unmarshal(body, flaw) != nil || flaw.Code == "" {
		flaw = &boxapi.Flaw{Code: boxapi.Misuse, Text: fmt.Sprintf("the box answers %s: %.200s", resp.Status, body)}
	}
	return flaw
}

// Watch hands on what happens, until hear gives an error, which it then gives, ctx ends or the stream breaks. back is how
// many earlier lines are wanted; with from above 0 all records from that revision on are, in their place.
func (c *Client) Watch(ctx context.Context, back int, from uint64, hear func(boxapi.Happening) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := boxapi.PathWatch + "?back=" + strconv.Itoa(back)
	if from > 0 {
		path += "&from=" + strconv.FormatUint(from, 10)
	}
	resp, err := c.send(ctx, http.MethodGet, path, 0, nil)
	if err != nil {
		return &NoBox{c.path, bare(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, boxapi.BodyMost))
		return flawOf(resp, b)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		var ev boxapi.Happening
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return fmt.Errorf("a line of the stream cannot be read: %w", err)
		}
		if err := hear(ev); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("the stream broke: %w", err)
	}
	return errors.New("the stream has ended")
}
