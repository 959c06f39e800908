package config

import (
	"encoding/json"
	"io"
)

// recordingDecoder is a JSON decoder that also returns the text of the value it read last.
type recordingDecoder struct {
	*json.Decoder
	source       io.Reader
	buffer       []byte // text passed to the decoder that may still be needed
	bufferOffset int64  // offset of buffer in the input
}

func newRecordingDecoder(from io.Reader) *recordingDecoder {
	s := &recordingDecoder{source: from}
	s.Decoder = json.NewDecoder(s)
	return s
}

// Read passes data from the source to the decoder. It drops what lies before InputOffset: a value that is being decoded
// begins behind that offset.
func (s *recordingDecoder) Read(p []byte) (int, error) {
	gone := s.InputOffset() - s.bufferOffset
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[gone:])]
	s.bufferOffset += gone
	n, err := s.source.Read(p)
	s.buffer = append(s.buffer, p[:n]...)
	return n, err
}

// textSince returns the text from offset begin to InputOffset. It is valid until the next read. The separator in front
// of a value may be missing.
func (s *recordingDecoder) textSince(begin int64) []byte {
	return s.buffer[max(begin-s.bufferOffset, 0) : s.InputOffset()-s.bufferOffset]
}
