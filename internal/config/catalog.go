package config

import (
	"fmt"
	"net/url"
)

// Catalog configures the key-value store that holds routes, pools and tenants as single entries, in addition to those
// in the files. It is off unless both fields are set.
type Catalog struct {
	Addresses []string `json:"addresses"` // of one store: the first that answers is watched
	Prefix    string   `json:"prefix"`    // of the keys: PREFIXroutes/NAME, PREFIXpools/NAME and PREFIXtenants/NAME
}

// On reports whether a store is configured.
func (c *Catalog) On() bool { return len(c.Addresses) > 0 }

func (c *Catalog) check() error {
	switch {
	case !c.On() && c.Prefix != "":
		return fmt.Errorf("catalog.addresses: there are none, but a prefix %q is set", c.Prefix)
	case c.On() && c.Prefix == "":
		return fmt.Errorf("catalog.prefix: a store needs one, as it may hold other keys")
	}
	return checkURLs("catalog.", c.Addresses)
}

// checkURLs reports addresses that are not HTTP URLs of a store or registry.
func checkURLs(keyPrefix string, addresses []string) error {
	for i, a := range addresses {
		u, err := url.Parse(a)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("%saddresses[%d]: %q is no URL of the form http://HOST:PORT", keyPrefix, i, a)
		}
	}
	return nil
}
