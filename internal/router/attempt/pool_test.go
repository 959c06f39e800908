package attempt

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// isReset reports whether the error of a read is a connection reset.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

func TestConnectionsAreReused(t *testing.T) {
	s := newRespondingInstance(t, signedResponse(testID, "fine"))
	pool := NewPool(Options{})
	for range 5 {
		assert.Equal(t, mustSucceed(t, pool, s.target), "fine")
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

// TestStaleConnections checks that an idle connection that the instance has closed, reset or written to is detected before
// the next request is written to it.
func TestStaleConnections(t *testing.T) {
	for name, after := range map[string]func(p *peer){
		"closed":                  func(p *peer) { p.Close() },
		"reset":                   func(p *peer) { p.reset() },
		"late duplicate response": func(p *peer) { p.write(signedResponse(testID, "fine")); p.waitClosed() },
		"partial response":        func(p *peer) { p.write("HTTP/1.1 2"); p.waitClosed() },
		"shut down writing":       func(p *peer) { p.Conn.(interface{ CloseWrite() error }).CloseWrite(); p.waitClosed() },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{}, 9)
			s := newFakeInstance(t, func(p *peer) {
				p.read()
				p.write(signedResponse(testID, "fine"))
				time.Sleep(20 * time.Millisecond) // after the complete response
				done <- struct{}{}
				after(p)
			})
			pool := NewPool(Options{})
			assert.Equal(t, mustSucceed(t, pool, s.target), "fine")
			<-done
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, mustSucceed(t, pool, s.target), "fine")
			assert.Equal(t, s.connections.Load(), int64(2))
			assert.Equal(t, pool.Stats().Stale, uint64(1))
		})
	}
}

func TestSurplusBytesEndTheConnection(t *testing.T) {
	s := newFakeInstance(t, func(p *peer) {
		p.read()
		p.write(signedResponse(testID, "fine") + "surplus")
		p.waitClosed()
	})
	pool := NewPool(Options{})
	assert.Equal(t, mustSucceed(t, pool, s.target), "fine")
	assert.Equal(t, pool.Stats().Open, 0)
}

// TestForeignAnswerIsPassedOver checks that a surplus response to an earlier request is skipped.
func TestForeignAnswerIsPassedOver(t *testing.T) {
	s := newRespondingInstance(t, signedResponse("id-0", "not this")+signedResponse(testID, "fine"))
	pool := NewPool(Options{})
	assert.Equal(t, mustSucceed(t, pool, s.target), "fine")
	assert.Equal(t, pool.Stats().Foreign, uint64(1))
	assert.Equal(t, pool.Stats().Open, 0, "the connection must not be reused")
}

func TestConnectionCloseIsObeyed(t *testing.T) {
	s := newRespondingInstance(t, responseText(testID, 200, "fine", signatureLine, "Connection: close"))
	pool := NewPool(Options{})
	assert.Equal(t, mustSucceed(t, pool, s.target), "fine")
	assert.Equal(t, pool.Stats().Open, 0)
}

func TestReuseTime(t *testing.T) {
	pool := NewPool(Options{})
	assert.Equal(t, pool.reuseTime(0), defaultIdleTime)
	assert.Equal(t, pool.reuseTime(time.Second), 500*time.Millisecond)
	assert.Equal(t, pool.reuseTime(2*time.Second), 1500*time.Millisecond)
	assert.Equal(t, pool.reuseTime(8*time.Second), 6*time.Second)
	assert.Assert(t, pool.reuseTime(time.Nanosecond) <= time.Nanosecond)
}

func TestAnnouncedIdleTimeoutIsObeyed(t *testing.T) {
	s := newRespondingInstance(t, responseText(testID, 200, "fine", signatureLine, "Keep-Alive: timeout=1, max=9"))
	pool := NewPool(Options{})
	mustSucceed(t, pool, s.target)
	mustSucceed(t, pool, s.target)
	assert.Equal(t, s.connections.Load(), int64(1))
	time.Sleep(550 * time.Millisecond)
	mustSucceed(t, pool, s.target)
	assert.Equal(t, s.connections.Load(), int64(2))
}

// TestUnannouncedIdleTimeout has an instance close idle connections early without announcing a timeout. Once that has been
// detected, a non-repeatable request is sent on a new connection rather than on one that may be closing.
func TestUnannouncedIdleTimeout(t *testing.T) {
	s := newFakeInstance(t, func(p *peer) {
		for {
			p.SetReadDeadline(time.Now().Add(600 * time.Millisecond))
			if p.read() == nil {
				return
			}
			p.write(signedResponse(testID, "fine"))
		}
	})
	pool := NewPool(Options{})
	once := newRequest()
	once.NonRepeatable = true
	once.Deadline = time.Now().Add(10 * time.Second)
	for _, step := range []struct {
		idle        time.Duration
		request     *Request
		connections int64
	}{
		{0, once, 1}, {400 * time.Millisecond, once, 1}, // the early close has not been detected yet
		{700 * time.Millisecond, newRequest(), 2}, // finds the connection closed
		{400 * time.Millisecond, newRequest(), 2}, {400 * time.Millisecond, once, 3}, {200 * time.Millisecond, once, 3},
	} {
		time.Sleep(step.idle)
		step.request.Deadline = time.Now().Add(time.Second)
		_, err := pool.RoundTrip(context.Background(), s.target, step.request)
		assert.NilError(t, err)
		assert.Equal(t, s.connections.Load(), step.connections)
	}
	pool.Sweep(time.Now(), func(string) bool { return true })
	assert.Equal(t, len(pool.hosts), 1)
	pool.Sweep(time.Now(), func(string) bool { return false })
	assert.Equal(t, len(pool.hosts), 0)
}

func TestSweep(t *testing.T) {
	s := newRespondingInstance(t, signedResponse(testID, "fine"))
	pool := NewPool(Options{IdleTime: time.Minute})
	mustSucceed(t, pool, s.target)
	now := time.Now()
	pool.Sweep(now, func(string) bool { return true })
	assert.Equal(t, pool.Stats().Open, 1)
	pool.Sweep(now.Add(2*time.Minute), nil)
	assert.Equal(t, pool.Stats().Open, 0)
	mustSucceed(t, pool, s.target)
	pool.Sweep(now, func(string) bool { return false })
	assert.Equal(t, pool.Stats().Open, 0)
	assert.Equal(t, len(pool.hosts), 0)
}

// TestAddressThatAnotherInstanceTookOver checks that a connection is not reused for another instance at the same address.
func TestAddressThatAnotherInstanceTookOver(t *testing.T) {
	s := newRespondingInstance(t, signedResponse(testID, "fine"))
	pool := NewPool(Options{})
	mustSucceed(t, pool, s.target)
	mustSucceed(t, pool, Target{ID: "i-2", Address: s.target.Address})
	assert.Equal(t, s.connections.Load(), int64(2))
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 9)
	s := newFakeInstance(t, func(p *peer) {
		for p.read() != nil {
			arrived <- struct{}{}
			<-release
			p.write(signedResponse(testID, "fine"))
		}
	})
	target := s.target
	target.MaxConnections = 1
	pool := NewPool(Options{})
	first := make(chan string, 1)
	go func() { first <- mustSucceed(t, pool, target) }()
	<-arrived
	_, err := pool.RoundTrip(context.Background(), target, newRequest())
	assert.Assert(t, errors.Is(checkOutcome(t, err, NeverSent), ErrConnectionLimit))
	close(release)
	assert.Equal(t, <-first, "fine")
	assert.Equal(t, mustSucceed(t, pool, target), "fine")
}

// watchedConnection calls onWatch when only the read deadline is set, which starts the watch of a new connection.
type watchedConnection struct {
	*net.TCPConn
	onWatch func()
}

func (c *watchedConnection) SetReadDeadline(deadline time.Time) error {
	c.onWatch()
	return c.TCPConn.SetReadDeadline(deadline)
}

// TestResetOfANewConnection checks that a non-repeatable request is not written to a new connection that the instance
// resets while it is being watched.
func TestResetOfANewConnection(t *testing.T) {
	watching := make(chan struct{})
	isReset := make(chan struct{})
	s := newFakeInstance(t, func(p *peer) {
		<-watching
		p.reset()
		isReset <- struct{}{}
	})
	onWatch := func() {
		watching <- struct{}{}
		<-isReset
	}
	pool := NewPool(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		connected, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &watchedConnection{TCPConn: connected.(*net.TCPConn), onWatch: onWatch}, nil
	}})
	for range 20 {
		request := newRequest()
		request.NonRepeatable = true
		_, err := pool.RoundTrip(context.Background(), s.target, request)
		checkOutcome(t, err, NeverSent)
	}
	assert.Equal(t, pool.Stats().Open, 0)
}

func TestClosedStreamResetsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	s := newFakeInstance(t, func(p *peer) {
		p.read()
		p.write(streamHead() + chunk("id: 1\ndata: a\n\n"))
		ended <- p.waitClosed()
	})
	pool := NewPool(Options{})
	response, err := pool.RoundTrip(context.Background(), s.target, newRequest())
	assert.NilError(t, err)
	part, err := response.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(part), "id: 1\ndata: a\n\n")
	response.Close()
	assert.Assert(t, isReset(<-ended))
	assert.Equal(t, pool.Stats().Open, 0)
}

// TestCloseAfterConnectionReuse checks that closing a buffered response does not affect its former connection, which
// another attempt may be using.
func TestCloseAfterConnectionReuse(t *testing.T) {
	s := newRespondingInstance(t, signedResponse(testID, "fine"))
	pool := NewPool(Options{})
	response, err := pool.RoundTrip(context.Background(), s.target, newRequest())
	assert.NilError(t, err)
	taken, err := pool.acquire(context.Background(), s.target, newRequest())
	assert.NilError(t, err)
	response.Close()
	assert.Assert(t, !taken.finished)
	assert.Equal(t, len(pool.hosts[hostKey{s.target.ID, s.target.Address}].idle), 0)
}

func TestStreamOfEvents(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "data: c\n\n", "id: 4\nversions: 2\ndata: d\n\n"}
	s := newRespondingInstance(t, streamHead()+chunk(events[0][:5])+chunk(events[0][5:]+events[1]+events[2][:3])+
		chunk(events[2][3:]+events[3])+"0\r\n\r\n")
	pool := NewPool(Options{})
	for range 2 {
		response, err := pool.RoundTrip(context.Background(), s.target, newRequest())
		assert.NilError(t, err)
		var got strings.Builder
		ends := 0
		for err == nil {
			var part []byte
			part, err = response.Next()
			if err == nil && response.EndReceived() {
				ends++
			}
			assert.Assert(t, len(part) == 0 || strings.HasSuffix(string(part), "\n\n") || strings.HasSuffix(string(part), "\r\n\r\n"))
			got.Write(part)
		}
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, ends, 1, "the end must be received together with the last events")
		assert.Equal(t, got.String(), strings.Join(events, ""))
		assert.Equal(t, response.LastEventID(), "4")
		response.Close()
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

func TestEventsWithCarriageReturns(t *testing.T) {
	s := newFakeInstance(t, func(p *peer) {
		p.read()
		p.write(streamHead() + chunk("id: 7\r\ndata: a\r\n\r\nid: 8\r\n"))
		p.waitClosed()
	})
	response, err := roundTripOnce(t, s)
	assert.NilError(t, err)
	defer response.Close()
	part, err := response.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(part), "id: 7\r\ndata: a\r\n\r\n")
	assert.Equal(t, response.LastEventID(), "7")
}

// TestBreakInsideAnEvent checks that only complete events are returned when a stream breaks off within an event.
func TestBreakInsideAnEvent(t *testing.T) {
	s := newFakeInstance(t, func(p *peer) {
		p.read()
		p.write(streamHead() + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	})
	response, err := roundTripOnce(t, s)
	assert.NilError(t, err)
	defer response.Close()
	part, err := response.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(part), "id: 1\ndata: a\n\n")
	part, err = response.Next()
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
	assert.Equal(t, len(part), 0)
	assert.Equal(t, response.LastEventID(), "1")
}

func TestEventOverTheLimit(t *testing.T) {
	s := newFakeInstance(t, func(p *peer) {
		p.read()
		p.write(streamHead() + chunk(strings.Repeat("a", maxEventSize+1)))
		p.waitClosed()
	})
	response, err := roundTripOnce(t, s)
	assert.NilError(t, err)
	defer response.Close()
	_, err = response.Next()
	assert.Equal(t, err, ErrTooLarge)
}
