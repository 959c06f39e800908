package eureka

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unique"
)

const (
	// pieceBytes bounds one instance, and what stands between two: real ones have 1 to 4 KiB.
	pieceBytes = 1 << 20
	// mostDepth of values within each other: real ones have 7.
	mostDepth = 64
)

// meter bounds what a decoder may read: in all, and from one instance to the next.
type meter struct {
	r           io.Reader
	left, piece int64
}

func newMeter(r io.Reader, most int64) *meter { return &meter{r, most, pieceBytes} }

func (m *meter) again() { m.piece = pieceBytes }

func (m *meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		return 0, errors.New("the answer is longer than is read")
	}
	if m.piece <= 0 {
		return 0, fmt.Errorf("an instance has more than %d bytes", pieceBytes)
	}
	n, err := m.r.Read(b[:min(int64(len(b)), m.left, m.piece)])
	m.left -= int64(n)
	m.piece -= int64(n)
	return n, err
}

// head is what an answer says beside its instances.
type head struct {
	hash string
	told bool // a hash code was there
}

var errNoList = errors.New("the answer holds no list of applications")

// canonical gives the one copy of a text that many instances share.
func canonical(s string) string { return unique.Make(s).Value() }

// set enters one plain field.
func (in *instance) set(name, text string) {
	switch name {
	case "instanceId":
		in.id = text
	case "app":
		in.app = canonical(strings.ToUpper(text))
	case "hostName":
		in.host = text
	case "ipAddr":
		in.ip = text
	case "status":
		in.status = statusOf(text)
	case "actionType":
		in.action = canonical(text)
	case "lastUpdatedTimestamp":
		in.updated = number(text)
	case "serviceUpTimestamp":
		in.up = number(text)
	}
}

func number(text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (in *instance) setPort(name, text, enabled string) {
	n := int(number(text))
	on := !strings.EqualFold(enabled, "false")
	if name == "securePort" {
		in.securePort, in.secure = n, on && enabled != ""
		return
	}
	in.port, in.plain = n, on
}

func (in *instance) setMeta(want func(string) bool, key, text string) {
	if !want(key) {
		return
	}
	if in.meta == nil {
		in.meta = map[string]string{}
	}
	in.meta[canonical(key)] = canonical(text)
}

func (in *instance) setAmazon(key, text string) {
	switch key {
	case amazonZone:
		in.zone = canonical(text)
	case amazonID:
		in.amazonID = text
	}
}

func fresh(app string) *instance { return &instance{app: app, status: unknown} }

// decodeJSON hands on one instance after the other. What the published server's JSON makes of its XML is read as well: a
// single object where there is a list, numbers and truths as text, "$" for text beside "@" for attributes.
func decodeJSON(m *meter, want func(string) bool, each func(*instance) error) (head, error) {
	d := &jsonReader{dec: json.NewDecoder(m), m: m, want: want, each: each}
	found := false
	err := d.object(func(key string) error {
		switch key {
		case "applications":
			return d.oneOrMore(func() error {
				found = true
				return d.fields(func(key string) error {
					switch key {
					case "apps__hashcode":
						text, err := d.text()
						d.head.hash, d.head.told = text, true
						return err
					case "application":
						return d.oneOrMore(d.application)
					}
					return d.skip()
				})
			})
		case "application":
			return d.oneOrMore(func() error { found = true; return d.application() })
		}
		return d.skip()
	})
	if err == nil && !found {
		err = errNoList
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return d.head, err
}

type jsonReader struct {
	dec  *json.Decoder
	m    *meter
	want func(string) bool
	each func(*instance) error
	head head
}

// object reads a whole object, field by field.
func (d *jsonReader) object(field func(key string) error) error {
	t, err := d.dec.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return d.rest(t)
	}
	return d.fields(field)
}

// fields reads on in an object whose brace has been read, to its end.
func (d *jsonReader) fields(field func(key string) error) error {
	for d.dec.More() {
		t, err := d.dec.Token()
		if err != nil {
			return err
		}
		key, ok := t.(string)
		if !ok {
			return fmt.Errorf("%v where a name is expected", t)
		}
		if err := field(key); err != nil {
			return err
		}
	}
	_, err := d.dec.Token()
	return err
}

// oneOrMore reads a list of objects, or one that stands alone, each from behind its brace. Anything else is passed over.
func (d *jsonReader) oneOrMore(one func() error) error {
	t, err := d.dec.Token()
	switch {
	case err != nil:
		return err
	case t == json.Delim('{'):
		return one()
	case t != json.Delim('['):
		return nil // null, or "" for an empty list
	}
	for d.dec.More() {
		t, err := d.dec.Token()
		if err != nil {
			return err
		}
		if t == json.Delim('{') {
			err = one()
		} else {
			err = d.rest(t)
		}
		if err != nil {
			return err
		}
	}
	_, err = d.dec.Token()
	return err
}

func (d *jsonReader) application() error {
	name := ""
	return d.fields(func(key string) error {
		switch key {
		case "name":
			text, err := d.text()
			name = canonical(strings.ToUpper(text))
			return err
		case "instance":
			return d.instances(name)
		}
		return d.skip()
	})
}

// instances reads a list of instances, or one that stands alone.
func (d *jsonReader) instances(app string) error {
	t, err := d.dec.Token()
	if err != nil {
		return err
	}
	if t == json.Delim('{') { // put together again, so that one instance is read in one way
		d.m.again()
		var raw map[string]json.RawMessage
		err := d.fields(func(key string) error {
			if raw == nil {
				raw = map[string]json.RawMessage{}
			}
			var v json.RawMessage
			err := d.dec.Decode(&v)
			raw[key] = v
			return err
		})
		if err != nil {
			return err
		}
		whole, err := json.Marshal(raw)
		if err != nil {
			return err
		}
		var w wireInstance
		if err := json.Unmarshal(whole, &w); err != nil {
			return err
		}
		return d.each(w.instance(app, d.want))
	}
	if t != json.Delim('[') {
		return nil
	}
	for d.dec.More() {
		d.m.again()
		var w *wireInstance
		err := d.dec.Decode(&w)
		var wrong *json.UnmarshalTypeError
		switch {
		case errors.As(err, &wrong), err == nil && w == nil: // no object: passed over
		case err != nil:
			return err
		default:
			if err := d.each(w.instance(app, d.want)); err != nil {
				return err
			}
		}
	}
	_, err = d.dec.Token()
	return err
}

// wireInstance is an instance in JSON.
type wireInstance struct {
	ID      plainValue `json:"instanceId"`
	App     plainValue `json:"app"`
	Host    plainValue `json:"hostName"`
	IP      plainValue `json:"ipAddr"`
	Status  plainValue `json:"status"`
	Action  plainValue `json:"actionType"`
	Updated plainValue `json:"lastUpdatedTimestamp"`
	Port    wirePort   `json:"port"`
	Secure  wirePort   `json:"securePort"`
	Lease   lenient[struct {
		Up plainValue `json:"serviceUpTimestamp"`
	}] `json:"leaseInfo"`
	Centre lenient[struct {
		Metadata lenient[map[string]plainValue] `json:"metadata"`
	}] `json:"dataCenterInfo"`
	Metadata lenient[map[string]plainValue] `json:"metadata"`
}

func (w *wireInstance) instance(app string, want func(string) bool) *instance {
	in := fresh(app)
	if w.App != "" {
		in.set("app", string(w.App))
	}
	in.id, in.host, in.ip, in.status = string(w.ID), string(w.Host), string(w.IP), statusOf(string(w.Status))
	in.action = canonical(string(w.Action))
	in.updated, in.up = number(string(w.Updated)), number(string(w.Lease.value.Up))
	if w.Port.there {
		in.setPort("port", string(w.Port.number), string(w.Port.enabled))
	}
	if w.Secure.there {
		in.setPort("securePort", string(w.Secure.number), string(w.Secure.enabled))
	}
	for key, v := range w.Metadata.value {
		in.setMeta(want, key, string(v))
	}
	for key, v := range w.Centre.value.Metadata.value {
		in.setAmazon(key, string(v))
	}
	return in
}

// lenient passes over what is no object where one is expected.
type lenient[T any] struct{ value T }

func (l *lenient[T]) UnmarshalJSON(b []byte) error {
	if b[0] != '{' {
		return nil
	}
	return json.Unmarshal(b, &l.value)
}

// plainValue is a text, a number or a truth, or the object that has it under "$"; anything else is no text.
type plainValue string

func (p *plainValue) UnmarshalJSON(b []byte) error {
	switch b[0] {
	case '"':
		for _, c := range b {
			if c == '\\' || c >= 0x80 {
				return json.Unmarshal(b, (*string)(p))
			}
		}
		*p = plainValue(b[1 : len(b)-1])
	case '{':
		var v struct {
			Text plainValue `json:"$"`
		}
		err := json.Unmarshal(b, &v)
		*p = v.Text
		return err
	case '[', 'n':
		*p = ""
	default:
		*p = plainValue(b)
	}
	return nil
}

type wirePort struct {
	there           bool
	number, enabled plainValue
}

func (w *wirePort) UnmarshalJSON(b []byte) error {
	w.there = true
	if b[0] != '{' {
		w.enabled = "true"
		return w.number.UnmarshalJSON(b)
	}
	var v struct {
		Number  plainValue `json:"$"`
		Enabled plainValue `json:"@enabled"`
	}
	err := json.Unmarshal(b, &v)
	w.number, w.enabled = v.Number, v.Enabled
	return err
}

// text reads a plain value.
func (d *jsonReader) text() (string, error) {
	var v plainValue
	err := d.dec.Decode(&v)
	return string(v), err
}

// skip passes over a value, piece by piece.
func (d *jsonReader) skip() error {
	t, err := d.dec.Token()
	if err != nil {
		return err
	}
	return d.rest(t)
}

// rest passes over what is left of a value whose first token has been read.
func (d *jsonReader) rest(t json.Token) error {
	for depth := 0; ; {
		switch t {
		case json.Delim('{'), json.Delim('['):
			if depth++; depth > mostDepth {
				return fmt.Errorf("values lie more than %d deep", mostDepth)
			}
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth <= 0 {
			return nil
		}
		var err error
		if t, err = d.dec.Token(); err != nil {
			return err
		}
	}
}

// decodeXML does the same with XML.
func decodeXML(m *meter, want func(string) bool, each func(*instance) error) (head, error) {
	d := &xmlReader{dec: xml.NewDecoder(m), m: m, want: want, each: each}
	for {
		t, err := d.dec.Token()
		if err == io.EOF {
			return d.head, errNoList
		}
		if err != nil {
			return d.head, err
		}
		root, ok := t.(xml.StartElement)
		if !ok {
			continue
		}
		switch root.Name.Local {
		case "applications":
			return d.head, d.children(func(e xml.StartElement) error {
				switch e.Name.Local {
				case "apps__hashcode":
					text, err := d.text()
					d.head.hash, d.head.told = text, true
					return err
				case "application":
					return d.application()
				}
				return d.dec.Skip()
			})
		case "application":
			return d.head, d.application()
		}
		return d.head, errNoList
	}
}

type xmlReader struct {
	dec  *xml.Decoder
	m    *meter
	want func(string) bool
	each func(*instance) error
	head head
}

// children reads the elements within one whose start has been read, to its end.
func (d *xmlReader) children(child func(xml.StartElement) error) error {
	for {
		t, err := d.dec.Token()
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			if err := child(t); err != nil {
				return err
			}
		case xml.EndElement:
			return nil
		}
	}
}

func (d *xmlReader) text() (string, error) {
	text := ""
	for {
		t, err := d.dec.Token()
		if err == io.EOF {
			return text, io.ErrUnexpectedEOF
		}
		if err != nil {
			return text, err
		}
		switch t := t.(type) {
		case xml.CharData:
			text += string(t)
		case xml.StartElement:
			if err := d.dec.Skip(); err != nil {
				return text, err
			}
		case xml.EndElement:
			return strings.TrimSpace(text), nil
		}
	}
}

func (d *xmlReader) application() error {
	name := ""
	return d.children(func(e xml.StartElement) error {
		switch e.Name.Local {
		case "name":
			text, err := d.text()
			name = canonical(strings.ToUpper(text))
			return err
		case "instance":
			return d.instance(name)
		}
		return d.dec.Skip()
	})
}

func (d *xmlReader) instance(app string) error {
	d.m.again()
	in := fresh(app)
	err := d.children(func(e xml.StartElement) error {
		name := e.Name.Local
		switch name {
		case "port", "securePort":
			enabled := "true"
			for _, a := range e.Attr {
				if a.Name.Local == "enabled" {
					enabled = a.Value
				}
			}
			text, err := d.text()
			in.setPort(name, text, enabled)
			return err
		case "metadata":
			return d.children(func(e xml.StartElement) error {
				text, err := d.text()
				in.setMeta(d.want, e.Name.Local, text)
				return err
			})
		case "leaseInfo":
			return d.children(func(e xml.StartElement) error {
				text, err := d.text()
				if e.Name.Local == "serviceUpTimestamp" {
					in.set(e.Name.Local, text)
				}
				return err
			})
		case "dataCenterInfo":
			return d.children(func(e xml.StartElement) error {
				if e.Name.Local != "metadata" {
					return d.dec.Skip()
				}
				return d.children(func(e xml.StartElement) error {
					text, err := d.text()
					in.setAmazon(e.Name.Local, text)
					return err
				})
			})
		}
		text, err := d.text()
		in.set(name, text)
		return err
	})
	if err != nil {
		return err
	}
	return d.each(in)
}
