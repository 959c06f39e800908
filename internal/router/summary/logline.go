package summary

import (
	"strconv"
	"strings"
)

// parseLine parses a log line of key=value fields separated by spaces; values with spaces are quoted. Parsing stops at
// the first malformed field.
func parseLine(line string) map[string]string {
	fields := map[string]string{}
	for rest := strings.TrimSpace(line); rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, next, readable := cutValue(after)
		if !readable {
			break
		}
		fields[strings.TrimSpace(key)] = value
		rest = next
	}
	return fields
}

// cutValue splits the value off the start of a text.
func cutValue(text string) (value, rest string, readable bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, _ = strconv.Unquote(quoted) // QuotedPrefix has checked the syntax
	return value, text[len(quoted):], true
}
