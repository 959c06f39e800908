package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Entries are routes, pools and tenants that are stored one by one in the catalog. Each is the same JSON object as in
// the list of a file, under a key that ends in its name.

// DecodeRoute decodes a route. internal/routes checks what it matches.
func DecodeRoute(raw []byte, name string) (Route, error) {
	r := Route{Name: name}
	err := decodeEntry(raw, &r)
	return r, errors.Join(err, checkName(r.Name, name))
}

// DecodePool decodes and checks a pool.
func DecodePool(raw []byte, name string) (Pool, error) {
	p := Pool{Name: name}
	if err := decodeEntry(raw, &p); err != nil {
		return p, err
	}
	return p, errors.Join(p.check(), checkName(p.Name, name))
}

// DecodeTenant decodes and checks the quota (requests per second) and the share of a tenant.
func DecodeTenant(raw []byte, name string) (quota, share float64, err error) {
	t := struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	}{Name: name}
	if err := decodeEntry(raw, &t); err != nil {
		return 0, 0, err
	}
	switch {
	case t.Quota < 0:
		return 0, 0, fmt.Errorf("quota_per_s: %v is out of range", t.Quota)
	case t.Share < 0:
		return 0, 0, fmt.Errorf("share: %v is out of range", t.Share)
	}
	return t.Quota, t.Share, checkName(t.Name, name)
}

// checkName reports a name in an entry that differs from the one in its key.
func checkName(name, key string) error {
	if name != key {
		return fmt.Errorf("name: %.100q differs from the name in the key", name)
	}
	return nil
}

// decodeEntry decodes exactly one object. Unknown keys and trailing data are errors.
func decodeEntry(raw []byte, to any) error {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if first := bytes.TrimLeft(raw, " \t\r\n"); len(first) == 0 || first[0] != '{' {
		return errors.New("not a JSON object") // Decode would accept null and change nothing
	}
	if err := in.Decode(to); err != nil {
		return err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the object")
	}
	return nil
}
