package configstore

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestCompressionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "document")
		compressed, err := compress(document)
		assert.NilError(t, err)
		decompressed, err := decompress(compressed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(document, decompressed))
	})
}

func TestRepetitiveDocumentCompressesWell(t *testing.T) {
	document := []byte(strings.Repeat(`{"name":"r-1","hostname":"a.example","path_prefix":"/x/"},`, 200))
	compressed, err := compress(document)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed) < len(document)/8, "%d of %d bytes", len(compressed), len(document))
}

func TestDecompressInvalidInput(t *testing.T) {
	_, err := decompress([]byte{0xff, 0xff, 0xff})
	assert.ErrorContains(t, err, "decompress")
	compressed, err := compress(make([]byte, 1000))
	assert.NilError(t, err)
	_, err = decompress(compressed[:len(compressed)-3])
	assert.ErrorContains(t, err, "decompress")
}

func TestDocumentSizeLimit(t *testing.T) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	assert.NilError(t, err)
	block := make([]byte, 1<<20)
	for range maxDocumentSize>>20 + 1 {
		_, err := writer.Write(block)
		assert.NilError(t, err)
	}
	assert.NilError(t, writer.Close())
	_, err = decompress(compressed.Bytes())
	assert.Equal(t, err, errDocumentTooLarge)
	_, err = compress(make([]byte, maxDocumentSize+1))
	assert.Equal(t, err, errDocumentTooLarge)
}
