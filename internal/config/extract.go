package config

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
)

// readExtractingTenants reads a file and decodes the list at settings.tenants while reading, since with many tenants it
// is most of the file and should never be held in memory as text. In the returned text, null stands in place of the
// list. invalid is an error in the list itself.
//
// The text is the whole file, and extracted is false, if there is no such list, if a key on the path occurs more than
// once (encoding/json matches keys in any case), if the file is malformed, so that the decoder of the text reports the
// place, or if the file is a pipe.
func readExtractingTenants(path string) (text []byte, list Tenants, extracted bool, invalid, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, list, false, nil, err
	}
	defer file.Close()
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() { // a pipe can only be read once
		text, err = io.ReadAll(file)
		return text, list, false, nil, err
	}
	l := tenantsExtractor{in: newRecordingDecoder(bufio.NewReaderSize(file, readBufferBytes))}
	parts := []io.Reader{io.NewSectionReader(file, 0, maxFileBytes)}
	if extracted = l.descend("settings", "tenants") == nil && l.end > 0; extracted {
		parts = []io.Reader{io.NewSectionReader(file, 0, l.start), strings.NewReader("null"), io.NewSectionReader(file, l.end, maxFileBytes-l.end)}
	} else {
		l.list, l.invalid = Tenants{}, nil
	}
	text, err = io.ReadAll(io.MultiReader(parts...))
	return text, l.list, extracted, l.invalid, err
}

const (
	readBufferBytes = 64 << 10 // 300 reads for 300,000 tenants
	maxFileBytes    = 1 << 62  // larger than any file
)

// tenantsExtractor descends through nested objects to the list of tenants and decodes it.
type tenantsExtractor struct {
	in         *recordingDecoder
	list       Tenants
	invalid    error
	start, end int64 // offsets of the list in the file; 0 if there is none
}

// errNotExtractable means that the path does not lead to exactly one list.
var errNotExtractable = errors.New("key is missing, ambiguous or not a list")

// descend reads one object, and below it the value at path. It skips all other values.
func (l *tenantsExtractor) descend(path ...string) error {
	if begin, err := l.in.Token(); err != nil {
		return err
	} else if begin != json.Delim('{') {
		return errNotExtractable
	}
	for seen := false; l.in.More(); {
		key, err := l.in.Token()
		if err != nil {
			return err
		}
		switch {
		case !strings.EqualFold(key.(string), path[0]):
			err = l.in.Decode(&ignoredValue{})
		case seen || key != path[0]:
			err = errNotExtractable
		case len(path) > 1:
			seen, err = true, l.descend(path[1:]...)
		default:
			seen, err = true, l.readList()
		}
		if err != nil {
			return err
		}
	}
	_, err := l.in.Token()
	return err
}

// readList decodes the list and records its offsets.
func (l *tenantsExtractor) readList() error {
	begin, err := l.in.Token()
	if err != nil {
		return err
	}
	if begin != json.Delim('[') {
		return errNotExtractable
	}
	l.start = l.in.InputOffset() - 1
	l.invalid, err = l.list.read(l.in)
	l.end = l.in.InputOffset()
	return err
}
