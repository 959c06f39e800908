package config

import (
	"encoding/json"
	"io"
)

// stream is a decoder that also shows the text of what it read last.
type stream struct {
	*json.Decoder
	from io.Reader
	kept []byte // what the decoder was given and is not done with
	at   int64  // where that begins
}

func newStream(from io.Reader) *stream {
	s := &stream{from: from}
	s.Decoder = json.NewDecoder(s)
	return s
}

// Read gives the decoder more. What lies before its offset is never asked for again: a value that it is in the midst of begins
// behind it.
func (s *stream) Read(p []byte) (int, error) {
	gone := s.InputOffset() - s.at
	s.kept = s.kept[:copy(s.kept, s.kept[gone:])]
	s.at += gone
	n, err := s.from.Read(p)
	s.kept = append(s.kept, p[:n]...)
	return n, err
}

// since is the text from an offset to the present one, for as long as nothing else is read. What parts a value from the one
// before may lack.
func (s *stream) since(begin int64) []byte {
	return s.kept[max(begin-s.at, 0) : s.InputOffset()-s.at]
}
