package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Reload reads the configuration again, as Load does, while the program runs with c. It rejects a file that lacks a key
// which c has, since such a file was truncated or the key was left out by mistake. In a list of objects, each object
// must have the keys that all objects of the list in c have.
func (c *Config) Reload(env func(string) string) (*Config, error) {
	next, err := Load(env)
	if err != nil {
		return nil, err
	}
	var current, updated any
	if err := json.Unmarshal(c.text, &current); err != nil {
		return nil, fmt.Errorf("the current configuration: %w", err)
	}
	if err := json.Unmarshal(next.text, &updated); err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	c.insertTenants(current)
	next.insertTenants(updated)
	if key := missingKey("", current, updated); key != "" {
		return nil, fmt.Errorf("%s is missing", key)
	}
	return next, nil
}

// insertTenants puts the tenants into a decoded text from which they were extracted.
func (c *Config) insertTenants(text any) {
	if c.tenantsExtracted && c.Tenants.present {
		text.(map[string]any)["settings"].(map[string]any)["tenants"] = &c.Tenants
	}
}

// Keep replaces the reloadable parts of c by those of next.
func (c *Config) Keep(next *Config) {
	c.text, c.tenantsExtracted, c.Discovery, c.Raw, c.Settings, c.Brain = next.text, next.tenantsExtracted, next.Discovery, next.Raw, next.Settings, next.Brain
	next.Tenants.release() // the table holds them by now
	c.Tenants = next.Tenants
}

// optionalKeys may be missing after a reload: both are used at startup only, and the seed changes with every start.
var optionalKeys = []string{"known", "seed"}

// missingKey returns the path of a key that current has and updated lacks, or "".
func missingKey(parent string, current, updated any) string {
	switch current := current.(type) {
	case map[string]any:
		updated, ok := updated.(map[string]any)
		if !ok {
			return parent
		}
		for _, key := range slices.Sorted(maps.Keys(current)) {
			path := key
			if parent != "" {
				path = parent + "." + key
			}
			v, ok := updated[key]
			if parent == "" && slices.Contains(optionalKeys, key) {
				continue
			}
			if !ok {
				return path
			}
			if missing := missingKey(path, current[key], v); missing != "" {
				return missing
			}
		}
	case []any:
		return missingListKey(parent, commonKeys(current), updated)
	case *Tenants:
		return missingListKey(parent, current.commonKeys, updated)
	}
	return ""
}

// missingListKey returns the path of the first of the keys that an object of a list lacks, or "". If keys is nil, the
// elements need not be objects.
func missingListKey(parent string, keys []string, updated any) string {
	switch list := updated.(type) {
	case []any:
		for i, v := range list {
			o, ok := v.(map[string]any)
			if keys != nil && !ok {
				return fmt.Sprintf("%s[%d]", parent, i)
			}
			for _, key := range keys {
				if _, ok := o[key]; !ok {
					return fmt.Sprintf("%s[%d].%s", parent, i, key)
				}
			}
		}
	case *Tenants:
		return list.missingKey(parent, keys)
	default:
		return parent
	}
	return ""
}

// commonKeys returns, in order, the keys that all objects of a list have, or nil if the list is empty or has other
// elements.
func commonKeys(list []any) []string {
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
	return keys // check validates the values
}
