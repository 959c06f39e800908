package sockets

import (
	"bytes"
	"fmt"
	"math/rand/v2"
)

// An answer's body begins with a line that names the request and the answer's number, and goes on with noise from a
// place that the number gives. So a client can tell what is its own, whole and in order.

// noise is what bodies are cut from; shared, never written.
var noise = func() []byte {
	b := make([]byte, 1<<20)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := 0; i+8 <= len(b); i += 8 {
		v := rng.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return b
}()

// firstLine is the length of the line that names an answer.
const firstLine = 16 + 1 + 16 + 1

func nameOf(ask, answer uint64) []byte { return fmt.Appendf(nil, "%016x %016x\n", ask, answer) }

// bodySize is the size of an answer's body; none is shorter than its name.
func bodySize(bytes float64) int { return max(firstLine, int(bytes)) }

// pieces gives a stretch of a body, in pieces that stand in the noise.
func pieces(ask, answer uint64, from, to int, each func(piece []byte)) {
	if from < firstLine {
		end := min(to, firstLine)
		each(nameOf(ask, answer)[from:end])
		from = end
	}
	for from < to {
		at := (from + int(answer*7919%uint64(len(noise)))) % len(noise)
		n := min(to-from, len(noise)-at)
		each(noise[at : at+n])
		from += n
	}
}

// check says whether a stretch of a body is what it must be.
func check(ask, answer uint64, from int, got []byte) bool {
	same := true
	pieces(ask, answer, from, from+len(got), func(piece []byte) {
		same = same && bytes.Equal(piece, got[:len(piece)])
		got = got[len(piece):]
	})
	return same
}
