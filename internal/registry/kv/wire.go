package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// number is an int64 or uint64 as the gateway writes it, in quotes; bare ones are read too. What is left out is 0.
type number string

func (n *number) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	if len(raw) > 1 && raw[0] == '"' {
		raw = raw[1 : len(raw)-1]
	}
	if len(raw) > 20 {
		return errors.New("a number of more than 20 digits")
	}
	*n = number(raw)
	return nil
}

func (n number) signed() (int64, error) {
	if n == "" {
		return 0, nil
	}
	v, err := strconv.ParseInt(string(n), 10, 64)
	if err != nil || v < 0 {
		return 0, fmt.Errorf("%q is no revision", string(n))
	}
	return v, nil
}

func (n number) unsigned() (uint64, error) {
	if n == "" {
		return 0, nil
	}
	return strconv.ParseUint(string(n), 10, 64)
}

// origin tells one history from another: what every answer says of who gave it and when.
type origin struct {
	cluster, term uint64
	revision      int64
}

type header struct {
	Cluster  number `json:"cluster_id"`
	Revision number `json:"revision"`
	Term     number `json:"raft_term"`
}

func (h header) origin() (o origin, err error) {
	if o.cluster, err = h.Cluster.unsigned(); err != nil {
		return o, fmt.Errorf("header: cluster_id: %w", err)
	}
	if o.term, err = h.Term.unsigned(); err != nil {
		return o, fmt.Errorf("header: raft_term: %w", err)
	}
	o.revision, err = h.Revision.signed()
	return o, err
}

type pair struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Mod   number `json:"mod_revision"`
}

// Codes of gRPC that the gateway passes on.
const codeOutOfRange = 11

type fault struct {
	Code    int    `json:"code"`
	GRPC    int    `json:"grpc_code"`
	Message string `json:"message"`
}

type rangeQuery struct {
	Key      []byte `json:"key"`
	End      []byte `json:"range_end,omitempty"` // none: the one key
	Limit    string `json:"limit"`
	Revision string `json:"revision,omitempty"`
	Newer    string `json:"min_mod_revision,omitempty"`
	// KeysOnly leaves the values out, CountOnly the keys too.
	KeysOnly  bool `json:"keys_only,omitempty"`
	CountOnly bool `json:"count_only,omitempty"`
}

type rangeAnswer struct {
	Header *header `json:"header"`
	Pairs  []pair  `json:"kvs"`
	More   bool    `json:"more"`
	Count  number  `json:"count"`
}

type watchQuery struct {
	Create struct {
		Key      []byte `json:"key"`
		End      []byte `json:"range_end"`
		Start    string `json:"start_revision"`
		Notes    bool   `json:"progress_notify"`
		Fragment bool   `json:"fragment"`
	} `json:"create_request"`
}

type watchAnswer struct {
	Result *struct {
		Header    header `json:"header"`
		Created   bool   `json:"created"`
		Canceled  bool   `json:"canceled"`
		Compacted number `json:"compact_revision"`
		Reason    string `json:"cancel_reason"`
		Fragment  bool   `json:"fragment"`
		Events    []struct {
			Type string `json:"type"`
			Pair pair   `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *fault `json:"error"`
}

// page is a checked answer to a range: its keys ascend, lie within what was asked for, and are as many as it says.
type page struct {
	origin  origin
	records []Record
	more    bool
	bytes   int // of the answer
}

// readPage reads an answer to a range that starts at a key, and the number of keys from there on. A page that says less
// than it counts, or in another order, is a fault: half a list must never pass for the whole. Where only some keys were
// asked for, the count is of all, as etcd has it.
func readPage(raw []byte, from, end string, some bool) (page, int64, error) {
	p, count, err := readPart(raw, from, end)
	if err != nil {
		return page{}, 0, err
	}
	switch n := int64(len(p.records)); {
	case !some && !p.more && count != n:
		return page{}, 0, fmt.Errorf("range: %d keys where %d are counted", n, count)
	case p.more && (n == 0 || count <= n):
		return page{}, 0, fmt.Errorf("range: more is said of %d keys, %d counted", n, count)
	}
	return p, count, nil
}

func readPart(raw []byte, from, end string) (p page, count int64, err error) {
	var in rangeAnswer
	if err := json.Unmarshal(raw, &in); err != nil {
		return p, 0, fmt.Errorf("range: %w", err)
	}
	if in.Header == nil {
		return p, 0, errors.New("range: no header")
	}
	if p.origin, err = in.Header.origin(); err != nil {
		return p, 0, fmt.Errorf("range: %w", err)
	}
	if p.origin.revision == 0 {
		return p, 0, errors.New("range: no revision")
	}
	p.more, p.records = in.More, make([]Record, 0, len(in.Pairs))
	for i := range in.Pairs {
		kv := &in.Pairs[i]
		mod, err := kv.Mod.signed()
		key := string(kv.Key)
		switch {
		case err != nil:
			return p, 0, fmt.Errorf("range: kvs[%d]: %w", i, err)
		case key < from || key >= end:
			return p, 0, fmt.Errorf("range: kvs[%d]: key %.80q was not asked for, or not in its place", i, key)
		case mod == 0:
			return p, 0, fmt.Errorf("range: kvs[%d]: no mod_revision", i)
		}
		p.records = append(p.records, Record{Key: key, Value: kv.Value, Revision: mod})
		from = key + "\x00"
	}
	if count, err = in.Count.signed(); err != nil {
		return p, 0, fmt.Errorf("range: count: %w", err)
	}
	return p, count, nil
}

// message is a checked answer of a watch.
type message struct {
	origin    origin
	created   bool
	canceled  bool
	compacted bool
	fragment  bool
	reason    string
	events    []Record
}

// readMessage reads one line of a watch of the keys from one to before another.
func readMessage(raw []byte, from, end string) (message, error) {
	var in watchAnswer
	if err := json.Unmarshal(raw, &in); err != nil {
		return message{}, fmt.Errorf("watch: %w", err)
	}
	if in.Error != nil {
		return message{}, fmt.Errorf("watch: the store says %.200q", in.Error.Message)
	}
	if in.Result == nil {
		return message{}, errors.New("watch: an answer without a result")
	}
	r := in.Result
	o, err := r.Header.origin()
	if err != nil {
		return message{}, fmt.Errorf("watch: %w", err)
	}
	at, err := r.Compacted.signed()
	if err != nil {
		return message{}, fmt.Errorf("watch: compact_revision: %w", err)
	}
	m := message{origin: o, created: r.Created, canceled: r.Canceled, compacted: at > 0, fragment: r.Fragment, reason: r.Reason}
	if o.revision == 0 && !m.canceled {
		return message{}, errors.New("watch: no revision")
	}
	last := int64(1)
	for i := range r.Events {
		e := &r.Events[i]
		mod, err := e.Pair.Mod.signed()
		key := string(e.Pair.Key)
		switch {
		case err != nil:
			return message{}, fmt.Errorf("watch: events[%d]: %w", i, err)
		case key < from || key >= end:
			return message{}, fmt.Errorf("watch: events[%d]: key %.80q was not asked for", i, key)
		case mod < last:
			return message{}, fmt.Errorf("watch: events[%d]: revision %d after %d", i, mod, last)
		case mod > o.revision:
			return message{}, fmt.Errorf("watch: events[%d]: revision %d lies ahead of the store's, %d", i, mod, o.revision)
		case e.Type != "" && e.Type != "PUT" && e.Type != "DELETE":
			return message{}, fmt.Errorf("watch: events[%d]: unknown type %.40q", i, e.Type)
		}
		last = mod
		m.events = append(m.events, Record{Key: key, Value: e.Pair.Value, Revision: mod, Deleted: e.Type == "DELETE"})
	}
	return m, nil
}
