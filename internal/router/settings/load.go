package settings

import (
	"os"
	"strconv"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Load reads and checks the file at path. The error of an invalid file is a *ValidationError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(string(text))
}

// Parse parses and checks the text of a settings file. The error of an invalid text is a *ValidationError.
func Parse(text string) (*Settings, error) {
	var table map[string]any
	if _, err := toml.Decode(text, &table); err != nil {
		return nil, syntaxError(err)
	}
	s := defaults()
	s.warnings = decode(&s, table)
	faults := checkValues(&s)
	faults = append(faults, checkConsistency(&s)...)
	if len(faults) > 0 {
		return nil, &ValidationError{Faults: faults}
	}
	s.warnings = append(s.warnings, findWarnings(&s)...)
	return &s, nil
}

// syntaxError converts a TOML parse error to a *ValidationError that names the line.
func syntaxError(err error) error {
	fault := Finding{Key: "file", Problem: err.Error()}
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		fault = Finding{Key: "line " + strconv.Itoa(parseError.Position.Line), Problem: parseError.Message}
	}
	return &ValidationError{Faults: []Finding{fault}}
}
