package catalog

import (
	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

// A tenant's word lies in the table; here is only what the files grant to those of whom the store speaks as well.

func (c *Catalog) putTenant(key, name string, value []byte, said word) error {
	quota, share, err := config.DecodeTenant(value, name)
	if err != nil {
		return err
	}
	revision, sum, ok := c.tenants.At(name)
	if ok && revision == 0 {
		had, _ := c.tenants.Find(name)
		c.under[name] = had.Terms
	}
	c.count(key, word{revision, sum}, said)
	c.tenants.Put(name, tenants.Terms{Quota: quota, Share: share}, said.revision, said.sum)
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

// Grant takes what the files say of a tenant.
func (c *Catalog) Grant(name string, t tenants.Terms) {
	if revision, _, ok := c.tenants.At(name); ok && revision > 0 {
		c.under[name] = t
		return
	}
	c.tenants.Put(name, t, 0, 0)
}

// Revoke takes back what the files said of a tenant.
func (c *Catalog) Revoke(name string) {
	if revision, _, ok := c.tenants.At(name); ok && revision > 0 {
		delete(c.under, name)
		return
	}
	c.tenants.Delete(name)
}
