package flowrig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// farMSS is the segment size of a client behind a network. Loopback's 64 KiB segments make the kernel grow its send
// buffer to 2.6 MB at once, which swallows most answers whole and hides what the balancer does with a slow reader.
const farMSS = 1400

// Client is a raw connection to the balancer.
type Client struct {
	nc *net.TCPConn
	br *bufio.Reader
}

// Dial connects. A window above 0 makes it a far and slow client: the socket's receive buffer, set before the
// connect so that the window never was larger, and a network's segment size.
func Dial(addr string, window int) (*Client, error) {
	d := net.Dialer{Timeout: 10 * time.Second}
	if window > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			raw.Control(func(fd uintptr) {
				if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window); err == nil {
					err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, farMSS)
				}
			})
			return err
		}
	}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Client{nc: nc.(*net.TCPConn), br: bufio.NewReader(nc)}, nil
}

// Close leaves.
func (c *Client) Close() { c.nc.Close() }

// Deadline bounds everything that follows on the connection.
func (c *Client) Deadline(d time.Duration) { c.nc.SetDeadline(time.Now().Add(d)) }

// Ask is a request.
type Ask struct {
	Method string // GET if left out
	Path   string
	ID     string
	Class  string
	Wait   time.Duration
	Header string // further lines, each with its CRLF
	Body   []byte // Content-Length is stated where there is one
}

// Head is the request's head as it goes on the wire.
func (a Ask) Head() string {
	method := a.Method
	if method == "" {
		method = "GET"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %dm\r\n%s",
		method, a.Path, a.ID, a.Class, a.Wait.Milliseconds(), a.Header)
	if len(a.Body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.Body))
	}
	return b.String() + "\r\n"
}

// Send writes a request whole.
func (c *Client) Send(a Ask) error {
	_, err := c.nc.Write(append([]byte(a.Head()), a.Body...))
	return err
}

// Write puts bytes on the wire as they are.
func (c *Client) Write(p []byte) (int, error) { return c.nc.Write(p) }

// Answer is what a client made of what came.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Stated  int64 // Content-Length; -1: none
	Chunked bool
	Close   bool // the connection is of no further use
	Length  int64
	Sum     uint64
	Err     error // before the end of the body that the framing proves
}

// Told says whether the client can tell that this is no whole answer: by its status, or by the end of its framing
// missing. A body that is framed by nothing can be cut anywhere without a trace.
func (a Answer) Told() bool { return a.Err != nil || a.Status != http.StatusOK }

func (a Answer) String() string {
	return fmt.Sprintf("%d, %d bytes (stated %d, chunked %v), %v", a.Status, a.Length, a.Stated, a.Chunked, a.Err)
}

// Next reads the head of whatever comes next, an interim answer included.
func (c *Client) Next(method string) (*http.Response, error) {
	return http.ReadResponse(c.br, &http.Request{Method: method})
}

// Response reads the next answer's head, past interim ones; its body is read by the caller.
func (c *Client) Response(method string) (*http.Response, error) {
	for {
		resp, err := c.Next(method)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// Receive reads the next answer to its end.
func (c *Client) Receive(method string) Answer {
	resp, err := c.Response(method)
	if err != nil {
		return Answer{Err: err}
	}
	return Drain(resp, resp.Body)
}

// Drain reads an answer whose head is there to its end, from its body or from what slows it down.
func Drain(resp *http.Response, body io.Reader) Answer {
	sum := newSum()
	n, err := io.Copy(sum, body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, Stated: resp.ContentLength,
		Chunked: len(resp.TransferEncoding) > 0, Close: resp.Close, Length: n, Sum: sum.Sum64(), Err: err}
}

// Slow reads at most so many bytes a second, in small pieces.
type Slow struct {
	R     io.Reader
	Rate  int // bytes a second
	Piece int

	began time.Time
	taken int
}

func (s *Slow) Read(p []byte) (int, error) {
	if s.began.IsZero() {
		s.began = time.Now()
	}
	time.Sleep(time.Until(s.began.Add(time.Duration(float64(s.taken) / float64(s.Rate) * float64(time.Second)))))
	n, err := s.R.Read(p[:min(len(p), s.Piece)])
	s.taken += n
	return n, err
}
