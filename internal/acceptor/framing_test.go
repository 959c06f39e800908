package acceptor

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Headers are found however the input is split, also several in one read and behind bodies that look like headers.
func TestHeadersAreFoundAcrossFragments(t *testing.T) {
	const post = "POST /b HTTP/1.1\r\n"
	for _, c := range []struct {
		text string
		want []bool
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", []bool{false}},
		{"GET / HTTP/1.1\nHost: x\n\nGET / HTTP/1.1\nHost: x\n\n", []bool{false, false}},
		{post + "Content-Length: 3\r\n\r\nabc\r\n" + post + "content-length:1\r\nTRANSFER-ENCODING: chunked\r\n\r\n0\r\n\r\n", []bool{false, true}},
		{post + "Content-Length: 39\r\n\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\nGET" + "GET / HTTP/1.1\r\n\r\n", []bool{false, false}},
		{post + "X-Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + post + "Content-Length: 1\r\n\r\n", []bool{false}},
		{post + "Transfer-Encoding:\r\n chunked\r\nContent-Length:\t5\r\n\r\n", []bool{true}},
		{post + "Content-Length: 5\r\nX:\r\n Transfer-Encoding: chunked\r\n\r\nabcde", []bool{false}},
		{post + "Content-Length: -1\r\n\r\n" + post + "\r\n", []bool{false}},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			var h headerScanner
			for b := []byte(c.text); len(b) > 0; {
				n := 1 + rng.IntN(min(len(b), 40))
				h.scan(b[:n])
				b = b[n:]
			}
			if !slices.Equal(h.framingResults, c.want) {
				t.Fatalf("%q: %v", c.text, h.framingResults)
			}
			for _, want := range c.want {
				if h.nextIsDoubleFramed() != want {
					t.Fatalf("%q: double framed is %v", c.text, !want)
				}
			}
			if !h.nextIsDoubleFramed() {
				t.Fatal("a request whose header was not seen is trusted")
			}
		}
	}
}
