package configstore

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxDocumentSize bounds an uncompressed document, in bytes, so that a small payload cannot expand beyond a router's
// memory.
const maxDocumentSize = 32 << 20

// errDocumentTooLarge is returned for a document larger than maxDocumentSize.
var errDocumentTooLarge = errors.New("configstore: document exceeds the maximum size")

// compressorPool reuses writers, which allocate large tables.
var compressorPool = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	return writer
}}

// compress deflates a document. Documents are very repetitive, and are sent between zones several times for each
// change.
func compress(document []byte) ([]byte, error) {
	if len(document) > maxDocumentSize {
		return nil, errDocumentTooLarge
	}
	var compressed bytes.Buffer
	writer := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(writer)
	writer.Reset(&compressed)
	if _, err := writer.Write(document); err != nil {
		return nil, errors.Wrap(err, "configstore: compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "configstore: compress")
	}
	return compressed.Bytes(), nil
}

// decompress inflates a document of at most maxDocumentSize bytes.
func decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "configstore: decompress")
	}
	if len(document) > maxDocumentSize {
		return nil, errDocumentTooLarge
	}
	return document, nil
}
