package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Reload reads the configuration again, as Load does, for a program that runs by this one. Nothing is taken of a file that
// lacks a key which the one in force has: it was cut off, or written by a slip. In a list of objects the keys that all of
// them have are those that each has to have.
func (c *Config) Reload(env func(string) string) (*Config, error) {
	next, err := Load(env)
	if err != nil {
		return nil, err
	}
	var had, has any
	if err := json.Unmarshal(c.text, &had); err != nil {
		return nil, fmt.Errorf("the configuration in force: %w", err)
	}
	if err := json.Unmarshal(next.text, &has); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c.graft(had)
	next.graft(has)
	if key := lacks("", had, has); key != "" {
		return nil, fmt.Errorf("%s is missing", key)
	}
	return next, nil
}

// graft puts the tenants where the text has none.
func (c *Config) graft(text any) {
	if c.apart && c.Tenants.told {
		text.(map[string]any)["settings"].(map[string]any)["tenants"] = &c.Tenants
	}
}

// Keep takes over what is in force of a configuration that was read again.
func (c *Config) Keep(next *Config) {
	c.text, c.apart, c.Discovery, c.Raw, c.Settings, c.Brain = next.text, next.apart, next.Discovery, next.Raw, next.Settings, next.Brain
	next.Tenants.release() // they are in the table
	c.Tenants = next.Tenants
}

// free are the keys that may come and go: a list in hand is for a start, and a seed is new with each.
var free = []string{"known", "seed"}

// lacks names a key that one value has and the other has not; "": none.
func lacks(at string, had, has any) string {
	switch had := had.(type) {
	case map[string]any:
		has, ok := has.(map[string]any)
		if !ok {
			return at
		}
		for _, key := range slices.Sorted(maps.Keys(had)) {
			path := key
			if at != "" {
				path = at + "." + key
			}
			v, ok := has[key]
			if at == "" && slices.Contains(free, key) {
				continue
			}
			if !ok {
				return path
			}
			if missing := lacks(path, had[key], v); missing != "" {
				return missing
			}
		}
	case []any:
		return lacksOfAll(at, shared(had), has)
	case *Tenants:
		return lacksOfAll(at, had.keys, has)
	}
	return ""
}

// lacksOfAll names a key of those given that an object of a list has not; nil: they need be no objects.
func lacksOfAll(at string, keys []string, has any) string {
	switch list := has.(type) {
	case []any:
		for i, v := range list {
			o, ok := v.(map[string]any)
			if keys != nil && !ok {
				return fmt.Sprintf("%s[%d]", at, i)
			}
			for _, key := range keys {
				if _, ok := o[key]; !ok {
					return fmt.Sprintf("%s[%d].%s", at, i, key)
				}
			}
		}
	case *Tenants:
		return list.lacks(at, keys)
	default:
		return at
	}
	return ""
}

// shared are the keys that all objects of a list have, in order; nil: they are no objects.
func shared(list []any) []string {
	var common map[string]any
	for i, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(o)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := o[key]; return !ok })
	}
	if common == nil {
		return nil
	}
	keys := slices.AppendSeq([]string{}, maps.Keys(common))
	slices.Sort(keys)
	return keys // what they hold is for the checks
}
