package attempt

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
)

// newFixedResponseServer starts a server that answers each request with the same bytes, at minimal cost, and returns its
// address.
func newFixedResponseServer(b *testing.B, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFixedResponse(c, []byte(text))
		}
	}()
	return listener.Addr().String()
}

func serveFixedResponse(c net.Conn, text []byte) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if bytes.Equal(line, []byte("\r\n")) {
			c.Write(text)
		}
	}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs f b.N times and reports the CPU time per run, including that of the server.
func measure(b *testing.B, f func()) {
	f()
	b.ReportAllocs()
	before := cpuTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

func benchmarkRequest() *Request {
	request := newRequest()
	request.Method, request.Body = "GET", nil
	request.Header = http.Header{protocol.HeaderRequestID: {testID}, protocol.HeaderDeadlineMs: {"2000"},
		protocol.HeaderModel: {"m"}, protocol.HeaderTokenCount: {"1460,80"}, protocol.HeaderPrefixHash: {"5c1e07a2:800,91bd3f06:410"},
		"User-Agent": {"client"}, "Accept": {"*/*"}}
	request.Tenant, request.Priority = "tenant-a", 1
	return request
}

func benchmarkResponse() string {
	return responseText(testID, 200, strings.Repeat("a", 800), signatureLine, "Content-Type: application/octet-stream",
		"Date: Wed, 02 Dec 2026 05:22:54 GMT", "Versions: 1", "X-Pewterrudder-Load: 1,0,8")
}

func benchmarkStream() string {
	text := streamHead()
	for i := range 90 {
		text += chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("a", 40)))
	}
	return text + "0\r\n\r\n"
}

func BenchmarkRoundTrip(b *testing.B) {
	target := Target{ID: "i-1", Address: newFixedResponseServer(b, benchmarkResponse())}
	pool := NewPool(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := benchmarkRequest()
	measure(b, func() {
		request.Deadline = time.Now().Add(2 * time.Second)
		response, err := pool.RoundTrip(ctx, target, request)
		if err != nil {
			b.Fatal(err)
		}
		response.Close()
	})
}

func BenchmarkRoundTripStream(b *testing.B) {
	target := Target{ID: "i-1", Address: newFixedResponseServer(b, benchmarkStream())}
	pool := NewPool(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := benchmarkRequest()
	measure(b, func() {
		request.Deadline = time.Now().Add(2 * time.Second)
		response, err := pool.RoundTrip(ctx, target, request)
		for err == nil {
			_, err = response.Next()
		}
		if err != io.EOF {
			b.Fatal(err)
		}
		response.Close()
	})
}

// transportRequest builds an equivalent request for net/http's Transport.
func transportRequest(ctx context.Context, address string, request *Request) *http.Request {
	out, _ := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.RequestURI, nil)
	out.Host = request.Host
	out.Header = request.Header.Clone()
	out.Header.Set(protocol.HeaderExpectInstance, "i-1")
	out.Header.Set(protocol.HeaderDeadlineMs, "2000")
	out.Header.Set(protocol.HeaderTenant, request.Tenant)
	out.Header.Set(protocol.HeaderPriority, "1")
	return out
}

func benchmarkTransport(b *testing.B, text string) {
	address := newFixedResponseServer(b, text)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}
	defer transport.CloseIdleConnections()
	request := benchmarkRequest()
	buffer := make([]byte, 4<<10)
	measure(b, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		response, err := transport.RoundTrip(transportRequest(ctx, address, request))
		for err == nil {
			_, err = response.Body.Read(buffer)
		}
		if err != io.EOF {
			b.Fatal(err)
		}
		response.Body.Close()
	})
}

func BenchmarkTransport(b *testing.B)       { benchmarkTransport(b, benchmarkResponse()) }
func BenchmarkTransportStream(b *testing.B) { benchmarkTransport(b, benchmarkStream()) }
