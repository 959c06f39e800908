package catalog

import (
	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

// Tenants are stored in the tenants table, those from the files with revision 0. The catalog itself keeps only the terms
// that the files grant to tenants that the store contains as well.

// putTenant decodes a tenant from the store and puts it into the table.
func (c *Catalog) putTenant(key, name string, value []byte, v version) error {
	quota, share, err := config.DecodeTenant(value, name)
	if err != nil {
		return err
	}
	revision, sum, ok := c.tenants.Version(name)
	if ok && revision == 0 {
		had, _ := c.tenants.Find(name)
		c.fileTerms[name] = had.Terms
	}
	c.updateDigest(key, version{revision, sum}, v)
	c.tenants.Put(name, tenants.Terms{Quota: quota, Share: share}, v.revision, v.sum)
	return nil
}

// removeTenant removes the store's terms of a tenant. Those granted by the files apply again, if there are any.
func (c *Catalog) removeTenant(key, name string) {
	revision, sum, _ := c.tenants.Version(name)
	if revision == 0 {
		return // from the files
	}
	c.updateDigest(key, version{revision, sum}, version{})
	if terms, ok := c.fileTerms[name]; ok {
		c.tenants.Put(name, terms, 0, 0)
		delete(c.fileTerms, name)
		return
	}
	c.tenants.Delete(name)
}

// ClearFileTerms clears the terms that the files granted to tenants in the store. Call it before the files are read
// again; they are then set by SetFileTerms.
func (c *Catalog) ClearFileTerms() { clear(c.fileTerms) }

// SetFileTerms sets the terms that the files grant to a tenant that the store contains as well.
func (c *Catalog) SetFileTerms(name string, t tenants.Terms) { c.fileTerms[name] = t }
