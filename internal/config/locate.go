package config

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
)

// readApart reads a file but for the list at settings.tenants, which is most of it where there are many: the text has null in
// its place, and the list is read on the way, so that its text is never held whole. A fault is the list's own. Where the list
// is not there, or a key on the way may be meant more than once, since encoding/json takes keys in other cases too, the text
// is the whole file; so is one that is malformed, for whoever reads the text to find where, and a pipe's.
func readApart(path string) (text []byte, list Tenants, apart bool, fault, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, list, false, nil, err
	}
	defer file.Close()
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() { // a pipe can be read once
		text, err = io.ReadAll(file)
		return text, list, false, nil, err
	}
	l := locator{in: newStream(bufio.NewReaderSize(file, readBytes))}
	parts := []io.Reader{io.NewSectionReader(file, 0, wholeFile)}
	if apart = l.within("settings", "tenants") == nil && l.to > 0; apart {
		parts = []io.Reader{io.NewSectionReader(file, 0, l.from), strings.NewReader("null"), io.NewSectionReader(file, l.to, wholeFile-l.to)}
	} else {
		l.list, l.fault = Tenants{}, nil
	}
	text, err = io.ReadAll(io.MultiReader(parts...))
	return text, l.list, apart, l.fault, err
}

const (
	readBytes = 64 << 10 // at a time: 300 reads for 300,000 tenants
	wholeFile = 1 << 62  // more than any has
)

// locator looks for a list on the way down through objects, and reads it.
type locator struct {
	in       *stream
	list     Tenants
	fault    error
	from, to int64 // where the list lies; none: 0
}

var errUnclear = errors.New("no such key, or more than one")

func (l *locator) within(path ...string) error {
	if begin, err := l.in.Token(); err != nil {
		return err
	} else if begin != json.Delim('{') {
		return errUnclear
	}
	for seen := false; l.in.More(); {
		key, err := l.in.Token()
		if err != nil {
			return err
		}
		switch {
		case !strings.EqualFold(key.(string), path[0]):
			err = l.in.Decode(&named{})
		case seen || key != path[0]:
			err = errUnclear
		case len(path) > 1:
			seen, err = true, l.within(path[1:]...)
		default:
			seen, err = true, l.tenants()
		}
		if err != nil {
			return err
		}
	}
	_, err := l.in.Token()
	return err
}

func (l *locator) tenants() error {
	begin, err := l.in.Token()
	if err != nil {
		return err
	}
	if begin != json.Delim('[') {
		return errUnclear
	}
	l.from = l.in.InputOffset() - 1
	l.fault, err = l.list.read(l.in)
	l.to = l.in.InputOffset()
	return err
}
