// Package days holds days of our own for deployments of the router fleet and plays them: each kind of trouble that a
// deployment may meet, alone, repeated and beside changes of the configuration, and days on which troubles cross. The
// days name no zone and no service, so that they can be played on any site. The program that plays a day is another
// one, given by its path; this package writes the file of the day and reads the report.
package days

import (
	"bytes"
	"io/fs"
	"path"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Slot is the part of a site's days that ours belong to: days with trouble.
const Slot = "trouble"

// Entry is one trouble or one planned work: its kind, its time in seconds from the start of traffic, and its strength.
type Entry map[string]any

// Day is a day in the form of a site file.
type Day struct {
	Name    string  `toml:"name"`
	Slot    string  `toml:"slot"`
	Seed    int     `toml:"seed"`
	Closing Entry   `toml:"closing,omitempty"`
	Plan    []Entry `toml:"plan,omitempty"`
	Faults  []Entry `toml:"faults,omitempty"`
}

// file is the file of a day: one entry of a site file's list.
type file struct {
	Days []Day `toml:"day"`
}

// Encode returns the file of the day.
func (d Day) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := toml.NewEncoder(&buffer).Encode(file{Days: []Day{d}}); err != nil {
		return nil, errors.Wrapf(err, "day %s", d.Name)
	}
	return buffer.Bytes(), nil
}

// Names of what a folder of days holds.
const (
	kindsFile   = "kinds.toml"
	crossFolder = "cross"
)

// Load reads a folder of days: the days of its kinds of trouble, and those on which troubles cross.
func Load(folder fs.FS) ([]Day, error) {
	crossing, err := loadCrossing(folder)
	if err != nil {
		return nil, err
	}
	kinds, err := loadKinds(folder)
	if err != nil {
		return nil, err
	}
	return append(crossing, expand(kinds)...), nil
}

func loadCrossing(folder fs.FS) ([]Day, error) {
	names, err := fs.Glob(folder, path.Join(crossFolder, "*.toml"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var days []Day
	for _, name := range names {
		var content file
		if err := decode(folder, name, &content); err != nil {
			return nil, err
		}
		days = append(days, content.Days...)
	}
	return days, nil
}

func loadKinds(folder fs.FS) ([]Kind, error) {
	var content struct {
		Kinds []Kind `toml:"kind"`
	}
	err := decode(folder, kindsFile, &content)
	return content.Kinds, err
}

// decode reads a TOML file and refuses fields that are not known.
func decode(folder fs.FS, name string, into any) error {
	content, err := fs.ReadFile(folder, name)
	if err != nil {
		return errors.WithStack(err)
	}
	meta, err := toml.Decode(string(content), into)
	if err != nil {
		return errors.Wrap(err, name)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return errors.WithStack(UnknownFieldError{File: name, Field: unknown[0].String()})
	}
	return nil
}

// UnknownFieldError says that a file holds a field that no day has.
type UnknownFieldError struct{ File, Field string }

func (e UnknownFieldError) Error() string { return e.File + ": unknown field " + e.Field }
