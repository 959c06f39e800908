package config

import (
	"fmt"
	"net/url"
)

// Catalog is the key-value store that tells routes, pools and tenants entry by entry, beside what the files say. Off
// unless both are set.
type Catalog struct {
	Addresses []string `json:"addresses"` // of one store: the first that serves is followed
	Prefix    string   `json:"prefix"`    // of the keys PREFIXroutes/NAME, PREFIXpools/NAME and PREFIXtenants/NAME
}

// On says whether there is a store to follow.
func (c *Catalog) On() bool { return len(c.Addresses) > 0 }

func (c *Catalog) check() error {
	switch {
	case !c.On() && c.Prefix != "":
		return fmt.Errorf("catalog.addresses: there are none for the prefix %q", c.Prefix)
	case c.On() && c.Prefix == "":
		return fmt.Errorf("catalog.prefix: a store needs one: not every key is an entry")
	}
	return checkURLs("catalog.", c.Addresses)
}

// checkURLs finds addresses that are none of a store's or a registry's.
func checkURLs(at string, addresses []string) error {
	for i, a := range addresses {
		u, err := url.Parse(a)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("%saddresses[%d]: %q is no URL of the form http://HOST:PORT", at, i, a)
		}
	}
	return nil
}
