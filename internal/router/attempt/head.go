package attempt

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/protocol"
)

const (
	// maxHeadSize is the maximum size of the status line and header of a response, in bytes. It is the size of a
	// connection's read buffer.
	maxHeadSize = 8 << 10
	// maxInterimResponses is the maximum number of 1xx responses before the final one.
	maxInterimResponses = 4
	// maxLengthDigits is the maximum number of digits of a Content-Length.
	maxLengthDigits = 15
	// unknownLength is the length of a body without Content-Length.
	unknownLength = -1
)

// Field is one header line of a response, with its name in canonical form.
type Field struct {
	Name  string
	Value string
}

// head is the parsed status line and header of a response.
type head struct {
	status           int
	fields           []Field // end-to-end headers
	length           int64   // of the body, or unknownLength
	chunked          bool
	close            bool // the connection closes after this response
	id               string
	hasID            bool
	signed           bool
	encoded          bool
	notExecuted      bool
	stream           bool
	load             string
	retryAfterValue  string        // of the Retry-After header
	keepAlive        time.Duration // idle timeout announced by the instance; 0: none
	connectionTokens string        // comma-separated values of the Connection headers
}

// readHead reads the head of the next final response, skipping interim ones.
func readHead(r *bufio.Reader, method string) (*head, error) {
	for range maxInterimResponses + 1 {
		text, err := readHeadText(r)
		if err != nil {
			return nil, err
		}
		h, err := parseHead(text, method)
		if err != nil {
			return nil, err
		}
		if h.status >= 200 {
			return h, nil
		}
		if h.status == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrMalformed, "protocol switch")
		}
	}
	return nil, errors.Wrap(ErrMalformed, "too many interim responses")
}

var headTerminator = []byte("\r\n\r\n")

// readHeadText reads a head up to the empty line, which it consumes but does not return.
func readHeadText(r *bufio.Reader) (string, error) {
	searched := 0
	for {
		waiting, err := r.Peek(max(r.Buffered(), searched+1))
		if err == bufio.ErrBufferFull {
			return "", errors.Wrap(ErrMalformed, "status line and header exceed the size limit")
		}
		if err != nil {
			return "", err
		}
		waiting, _ = r.Peek(r.Buffered())
		from := max(0, searched-len(headTerminator)+1)
		if end := bytes.Index(waiting[from:], headTerminator); end >= 0 {
			text := string(waiting[:from+end])
			r.Discard(from + end + len(headTerminator))
			return text, nil
		}
		searched = len(waiting)
	}
}

// parseHead parses the text of a head. Anything ambiguous is an error.
func parseHead(text, method string) (*head, error) {
	line, rest, _ := strings.Cut(text, "\r\n")
	h := &head{length: unknownLength}
	if err := h.parseStatusLine(line); err != nil {
		return nil, err
	}
	h.fields = make([]Field, 0, strings.Count(rest, "\n")+1)
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := h.parseLine(line); err != nil {
			return nil, err
		}
	}
	h.removeConnectionFields()
	return h, h.resolveFraming(method)
}

// parseStatusLine parses a line such as "HTTP/1.1 200 OK".
func (h *head) parseStatusLine(line string) error {
	const versionLength = len("HTTP/1.1 ")
	if len(line) < versionLength+3 || !strings.HasPrefix(line, "HTTP/1.") {
		return errors.Wrap(ErrMalformed, "status line")
	}
	switch line[:versionLength] {
	case "HTTP/1.0 ":
		h.close = true
	case "HTTP/1.1 ":
	default:
		return errors.Wrap(ErrMalformed, "version")
	}
	code, reason := line[versionLength:versionLength+3], line[versionLength+3:]
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || reason != "" && reason[0] != ' ' {
		return errors.Wrap(ErrMalformed, "status")
	}
	h.status = status
	return nil
}

// parseLine parses one header line.
func (h *head) parseLine(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !validName(name) || !validValue(value) {
		return errors.Wrap(ErrMalformed, "header line")
	}
	name = textproto.CanonicalMIMEHeaderKey(name)
	return h.setField(name, textproto.TrimString(value))
}

// setField processes one header. Connection-related headers and the load report are not added to fields.
func (h *head) setField(name, value string) error {
	switch name {
	case "Content-Length":
		return h.setLength(value)
	case "Transfer-Encoding":
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return errors.Wrap(ErrMalformed, "transfer encoding")
		}
		h.chunked = true
		return nil
	case "Connection":
		h.connectionTokens += "," + value
		return nil
	case "Keep-Alive":
		h.keepAlive = parseKeepAlive(value)
		return nil
	case protocol.HeaderLoad:
		h.load = value
		return nil
	case protocol.HeaderRequestID:
		if h.hasID {
			return errors.Wrap(ErrMalformed, "two request ids")
		}
		h.id, h.hasID = value, true
	case protocol.HeaderResponseSignature:
		h.signed = true
	case protocol.HeaderNotExecuted:
		h.notExecuted = true
	case protocol.HeaderRetryAfter:
		h.retryAfterValue = value
	case "Content-Encoding":
		h.encoded = !strings.EqualFold(value, "identity")
	case "Content-Type":
		h.stream = isEventStream(value)
	}
	if !isHopByHop(name) {
		h.fields = append(h.fields, Field{Name: name, Value: value})
	}
	return nil
}

// setLength processes a Content-Length. A second one, a sign or a space in it is an error.
func (h *head) setLength(value string) error {
	if h.length != unknownLength || value == "" || len(value) > maxLengthDigits {
		return errors.Wrap(ErrMalformed, "content length")
	}
	for i := range len(value) {
		if value[i] < '0' || value[i] > '9' {
			return errors.Wrap(ErrMalformed, "content length")
		}
	}
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return errors.Wrap(ErrMalformed, "content length")
	}
	h.length = length
	return nil
}

// resolveFraming determines how the body ends.
func (h *head) resolveFraming(method string) error {
	if h.chunked && (h.length != unknownLength || h.close && h.connectionTokens == "") {
		return errors.Wrap(ErrMalformed, "ambiguous body framing")
	}
	if method == http.MethodHead || h.status < 200 || h.status == http.StatusNoContent || h.status == http.StatusNotModified {
		if h.length != unknownLength && method == http.MethodHead {
			h.fields = append(h.fields, Field{Name: "Content-Length", Value: strconv.FormatInt(h.length, 10)})
		}
		h.length, h.chunked, h.stream = 0, false, false
		return nil
	}
	if h.length == unknownLength && !h.chunked {
		h.close = true
	}
	return nil
}

// removeConnectionFields removes the headers named by Connection and handles its close option.
func (h *head) removeConnectionFields() {
	if h.connectionTokens == "" {
		return
	}
	for token := range strings.SplitSeq(h.connectionTokens, ",") {
		token = textproto.TrimString(token)
		if strings.EqualFold(token, "close") {
			h.close = true
		}
		h.removeField(textproto.CanonicalMIMEHeaderKey(token))
	}
}

func (h *head) removeField(name string) {
	kept := h.fields[:0]
	for _, field := range h.fields {
		if field.Name != name {
			kept = append(kept, field)
		}
	}
	h.fields = kept
}

// retryAfter parses Retry-After in seconds with an optional fraction. It returns 0 if the value is missing, invalid, not
// positive, or an hour or more.
func (h *head) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(h.retryAfterValue, 64)
	if err != nil || !(seconds > 0 && seconds < 3600) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// parseKeepAlive returns the timeout of a Keep-Alive value such as "timeout=5, max=100", at least 1 ns. It returns 0 if
// the timeout is missing, invalid, or a day or more.
func parseKeepAlive(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(textproto.TrimString(part), "=")
		if !strings.EqualFold(textproto.TrimString(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(textproto.TrimString(text), 64)
		if err == nil && seconds >= 0 && seconds < 86400 {
			return max(time.Duration(seconds*float64(time.Second)), time.Nanosecond)
		}
	}
	return 0
}

func isEventStream(value string) bool {
	kind, _, _ := strings.Cut(value, ";")
	return strings.EqualFold(textproto.TrimString(kind), protocol.ContentTypeEventStream)
}

// validName reports whether a header name is a token.
func validName(name string) bool {
	if name == "" {
		return false
	}
	for i := range len(name) {
		if !isTokenChar(name[i]) {
			return false
		}
	}
	return true
}

func isTokenChar(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// validValue reports whether a header value contains no control characters other than tabs.
func validValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
