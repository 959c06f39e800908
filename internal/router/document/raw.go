package document

import "encoding/json"

// original keeps the JSON text that a part of the configuration was decoded from, including fields that the router does
// not know.
type original struct {
	raw json.RawMessage
}

func (o *original) setRaw(raw json.RawMessage) { o.raw = raw }

func (o *original) rawBytes() json.RawMessage { return o.raw }

// part is a pointer to an element of the configuration that decodes its own fields and keeps its JSON text.
type part[T any] interface {
	*T
	read(fields *objectReader)
	setRaw(raw json.RawMessage)
	rawBytes() json.RawMessage
}

// item is a part that is an element of a list and identified by its name.
type item[T any] interface {
	part[T]
	itemName() string
}

func (r *Route) itemName() string   { return r.Name }
func (b *Backend) itemName() string { return b.Name }
func (t *Tenant) itemName() string  { return t.Name }
