package front

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFraming checks the framing of a sequence of requests, split into two reads at every position and read byte by byte.
func TestFraming(t *testing.T) {
	plain := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	sized := "POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\n" + "GET / HTTP/1.1\r\nHost: hid\r\n\r\n!"
	chunked := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "5;a=b\r\n\r\n\r\n\n\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n"
	bare := "GET / HTTP/1.1\nHost: a\n\n"
	twice := "POST / HTTP/1.1\r\ncontent-length: 3\r\nTRANSFER-ENCODING: chunked\r\n\r\n"
	whole := plain + sized + "\r\n" + chunked + bare + sized + twice + plain
	sizes := []int{len(plain), len(sized) - 30, len("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), len(bare),
		len(sized) - 30, len(twice)}
	check := func(f *framingTracker) {
		t.Helper()
		assert.Equal(t, f.pendingHeads(), len(sizes))
		for i, size := range sizes {
			assert.Equal(t, f.popHead(), headFraming{size: size, ambiguous: i == len(sizes)-1})
		}
		assert.Equal(t, f.popHead(), headFraming{ambiguous: true}, "requests after an ambiguous head must be ambiguous")
	}
	for at := range whole {
		var f framingTracker
		f.observe([]byte(whole[:at]))
		f.observe([]byte(whole[at:]))
		check(&f)
	}
	var f framingTracker
	for i := range whole {
		f.observe([]byte{whole[i]})
	}
	check(&f)
}

func TestFramingOutOfSync(t *testing.T) {
	plain := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, first := range []string{
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("a", chunkLineLimit+1),
	} {
		var f framingTracker
		f.observe([]byte(first))
		f.observe([]byte(plain))
		f.popHead()
		assert.Assert(t, f.popHead().ambiguous, first)
	}
}

func TestPartialHead(t *testing.T) {
	var f framingTracker
	assert.Assert(t, !f.partialHead())
	f.observe([]byte("\r\n"))
	assert.Assert(t, !f.partialHead())
	f.observe([]byte("GET / HTTP/1.1\r\n"))
	assert.Assert(t, f.partialHead())
	f.observe([]byte("\r\n"))
	assert.Assert(t, !f.partialHead())
	assert.Equal(t, f.pendingHeads(), 1)
}
