package catalog

import (
	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

// A tenant's word lies in the table, those of the files with revision 0; here is only what the files grant to those of whom
// the store speaks as well.

func (c *Catalog) putTenant(key, name string, value []byte, now word) error {
	quota, share, err := config.DecodeTenant(value, name)
	if err != nil {
		return err
	}
	revision, sum, ok := c.tenants.At(name)
	if ok && revision == 0 {
		had, _ := c.tenants.Find(name)
		c.under[name] = had.Terms
	}
	c.count(key, word{revision, sum}, now)
	c.tenants.Put(name, tenants.Terms{Quota: quota, Share: share}, now.revision, now.sum)
	return nil
}

func (c *Catalog) removeTenant(key, name string) {
	revision, sum, _ := c.tenants.At(name)
	if revision == 0 {
		return // the files'
	}
	c.count(key, word{revision, sum}, word{})
	if terms, ok := c.under[name]; ok {
		c.tenants.Put(name, terms, 0, 0)
		delete(c.under, name)
		return
	}
	c.tenants.Delete(name)
}

// Granted forgets what the files granted to tenants of whom the store speaks: they are read again, and say so by Grant.
func (c *Catalog) Granted() { clear(c.under) }

// Grant takes what the files grant to a tenant of whom the store speaks.
func (c *Catalog) Grant(name string, t tenants.Terms) { c.under[name] = t }
