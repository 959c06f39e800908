package document

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// member is one field of a JSON object.
type member struct {
	name  []byte
	value json.RawMessage
}

// Estimates for the initial capacity of a list of members.
const (
	typicalMembers     = 16 // members of an object
	typicalMemberBytes = 20 // bytes of a member
)

// splitObject splits a JSON object into its members, in their order. The text must be valid JSON; the values share its
// memory.
func splitObject(valid []byte) ([]member, error) {
	cursor := cursor{text: valid}
	if !cursor.enter('{') {
		return nil, errors.New("not an object")
	}
	members := make([]member, 0, min(typicalMembers, 1+len(valid)/typicalMemberBytes))
	for !cursor.atEnd('}') {
		name, err := decodeName(cursor.value())
		if err != nil {
			return nil, err
		}
		cursor.skip(':')
		members = append(members, member{name, cursor.value()})
	}
	return members, nil
}

// splitList splits a JSON array into its elements. The text must be valid JSON; the elements share its memory.
func splitList(valid []byte) ([]json.RawMessage, error) {
	cursor := cursor{text: valid}
	if !cursor.enter('[') {
		return nil, errors.New("not a list")
	}
	elements := []json.RawMessage{}
	for !cursor.atEnd(']') {
		elements = append(elements, cursor.value())
	}
	return elements, nil
}

// decodeName returns a member's name without its quotes. It shares the text's memory if the name is ASCII without
// escapes.
func decodeName(quoted []byte) ([]byte, error) {
	if isUnescapedASCII(quoted) {
		return quoted[1 : len(quoted)-1], nil
	}
	name, err := decodeString(quoted)
	return []byte(name), err
}

// cursor scans valid JSON.
type cursor struct {
	text     []byte
	position int
}

// enter skips the opening bracket of an object or array, and reports whether it was the next byte.
func (c *cursor) enter(bracket byte) bool {
	c.skipSpace()
	if c.done() || c.text[c.position] != bracket {
		return false
	}
	c.position++
	return true
}

// atEnd skips a comma and reports whether the object or array ends here.
func (c *cursor) atEnd(bracket byte) bool {
	c.skip(',')
	return c.done() || c.text[c.position] == bracket
}

// skip skips white space and the separator, if it comes next.
func (c *cursor) skip(separator byte) {
	c.skipSpace()
	if !c.done() && c.text[c.position] == separator {
		c.position++
		c.skipSpace()
	}
}

func (c *cursor) done() bool { return c.position >= len(c.text) }

func (c *cursor) skipSpace() {
	for !c.done() && isSpace(c.text[c.position]) {
		c.position++
	}
}

// value skips the next value and returns its text.
func (c *cursor) value() json.RawMessage {
	c.skipSpace()
	start := c.position
	depth := 0
	for !c.done() {
		switch char := c.text[c.position]; {
		case char == '"':
			c.skipString()
			if depth == 0 {
				return c.text[start:c.position]
			}
			continue
		case char == '{' || char == '[':
			depth++
		case depth == 0 && endsLiteral(char):
			return c.text[start:c.position]
		case char == '}' || char == ']':
			depth--
			if depth == 0 {
				c.position++
				return c.text[start:c.position]
			}
		}
		c.position++
	}
	return c.text[start:c.position]
}

// skipString skips a quoted string.
func (c *cursor) skipString() {
	c.position++
	for !c.done() {
		switch c.text[c.position] {
		case '"':
			c.position++
			return
		case '\\':
			c.position++ // the escaped byte is skipped below
		}
		c.position++
	}
}

func isSpace(char byte) bool {
	return char == ' ' || char == '\n' || char == '\t' || char == '\r'
}

func endsLiteral(char byte) bool {
	return char == ',' || char == '}' || char == ']' || char == ':' || isSpace(char)
}
