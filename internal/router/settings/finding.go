package settings

import "strings"

// Finding is a fault or a warning about one key of the file.
type Finding struct {
	// Key is the path of the key, such as "listen.control".
	Key string
	// Problem describes what is wrong with its value.
	Problem string
}

// String returns key and problem on one line.
func (f Finding) String() string { return f.Key + ": " + f.Problem }

// ValidationError is the error of a file that cannot be used. It lists all faults that were found.
type ValidationError struct {
	Faults []Finding
}

// Error returns the faults on one line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return "settings: " + strings.Join(lines, "; ")
}
