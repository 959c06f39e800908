package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Entries are routes, pools and tenants as they are told one by one: each the same object as in its list in a file, under
// a key that gives its name.

// DecodeRoute reads a route; what it matches is for internal/routes to check.
func DecodeRoute(raw []byte, name string) (Route, error) {
	r := Route{Name: name}
	err := decodeEntry(raw, &r)
	return r, errors.Join(err, sameName(r.Name, name))
}

// DecodePool reads and checks a pool.
func DecodePool(raw []byte, name string) (Pool, error) {
	p := Pool{Name: name}
	if err := decodeEntry(raw, &p); err != nil {
		return p, err
	}
	return p, errors.Join(p.check(), sameName(p.Name, name))
}

// DecodeTenant reads and checks what a tenant is granted.
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
	return t.Quota, t.Share, sameName(t.Name, name)
}

func sameName(told, key string) error {
	if told != key {
		return fmt.Errorf("name: %.100q is not that of the key", told)
	}
	return nil
}

// decodeEntry takes one object and nothing behind it; a key that is not known is a slip.
func decodeEntry(raw []byte, to any) error {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if first := bytes.TrimLeft(raw, " \t\r\n"); len(first) == 0 || first[0] != '{' {
		return errors.New("is no object") // null would leave all as it was
	}
	if err := in.Decode(to); err != nil {
		return err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more behind the object")
	}
	return nil
}
