package config

import "strings"

// scan walks through JSON without taking it apart: where a value ends is told by quotes and brackets alone. What it passes
// over may be malformed, which is for whoever reads the value to find.
type scan struct {
	text []byte
	i    int
}

func (s *scan) space() {
	for s.i < len(s.text) && (s.text[s.i] == ' ' || s.text[s.i] == '\n' || s.text[s.i] == '\t' || s.text[s.i] == '\r') {
		s.i++
	}
}

// take goes past one character, if it comes next.
func (s *scan) take(c byte) bool {
	if s.space(); s.i == len(s.text) || s.text[s.i] != c {
		return false
	}
	s.i++
	return true
}

// value goes past the next value and says where it lies.
func (s *scan) value() (from, to int, ok bool) {
	s.space()
	from = s.i
	for depth := 0; s.i < len(s.text); {
		switch c := s.text[s.i]; c {
		case '"':
			if !s.quoted() {
				return from, s.i, false
			}
		case '{', '[':
			depth++
			s.i++
		case '}', ']':
			if depth--; depth < 0 {
				return from, s.i, false
			}
			s.i++
		default:
			s.i++
			if depth > 0 {
				continue
			}
			for s.i < len(s.text) && !endsWord[s.text[s.i]] {
				s.i++
			}
		}
		if depth == 0 {
			return from, s.i, true
		}
	}
	return from, s.i, false
}

// endsWord are the characters that end a number or a word.
var endsWord = [256]bool{' ': true, '\n': true, '\t': true, '\r': true, ',': true, ':': true, '"': true, '{': true, '}': true,
	'[': true, ']': true}

// quoted goes past a string.
func (s *scan) quoted() bool {
	for s.i++; s.i < len(s.text); s.i++ {
		switch s.text[s.i] {
		case '\\':
			s.i++
		case '"':
			s.i++
			return true
		}
	}
	s.i = len(s.text)
	return false
}

// members gives the keys of an object as they are written, and where their values lie. False: it is no whole object.
func members(text []byte, each func(key []byte, from, to int)) bool {
	s := scan{text: text}
	if !s.take('{') {
		return false
	}
	for open := !s.take('}'); open; {
		key, end, ok := s.value()
		if !ok || text[key] != '"' || !s.take(':') {
			return false
		}
		from, to, ok := s.value()
		if !ok {
			return false
		}
		each(text[key:end], from, to)
		if open = s.take(','); !open && !s.take('}') {
			return false
		}
	}
	s.space()
	return s.i == len(text)
}

// cut takes the value at a path of keys out of a text and leaves null in its place. Where it is not there, or a key of the path
// may be meant more than once, since encoding/json takes keys in other cases too, nothing is cut.
func cut(text []byte, path ...string) (rest, value []byte, ok bool) {
	from, to := 0, len(text)
	for _, want := range path {
		found, within := 0, text[from:to]
		begin, end := 0, 0
		if !members(within, func(key []byte, a, b int) {
			if name, plain := plainString(key); !plain {
				found += 2 // it may be any
			} else if string(name) == want {
				found, begin, end = found+1, a, b
			} else if strings.EqualFold(string(name), want) {
				found += 2
			}
		}) || found != 1 {
			return text, nil, false
		}
		from, to = from+begin, from+end
	}
	rest = append(make([]byte, 0, len(text)-(to-from)+len("null")), text[:from]...)
	rest = append(append(rest, "null"...), text[to:]...)
	return rest, text[from:to], true
}
