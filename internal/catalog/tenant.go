package catalog

import (
	"pewterrudder/internal/config"
	"pewterrudder/internal/tenants"
)

// A tenant's word lies in the table, those of the files with revision 0; here is only what the files grant to those of whom
// the store speaks as well.

// granted is what the files say of a tenant, with the mark that their reading leaves in the table in place of a sum.
type granted struct {
	tenants.Terms
	mark uint32
}

func (c *Catalog) putTenant(key, name string, value []byte, now word) error {
	quota, share, err := config.DecodeTenant(value, name)
	if err != nil {
		return err
	}
	revision, sum, ok := c.tenants.At(name)
	if ok && revision == 0 {
		had, _ := c.tenants.Find(name)
		c.under[name] = granted{had.Terms, sum}
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
	if g, ok := c.under[name]; ok {
		c.tenants.Put(name, g.Terms, 0, g.mark)
		delete(c.under, name)
		return
	}
	c.tenants.Delete(name)
}

// Grant takes what the files say of a tenant.
func (c *Catalog) Grant(name string, t tenants.Terms, mark uint32) {
	if revision, _, ok := c.tenants.At(name); ok && revision > 0 {
		c.under[name] = granted{t, mark}
		return
	}
	c.tenants.Put(name, t, 0, mark)
}

// Revoke takes back what the files said of a tenant.
func (c *Catalog) Revoke(name string) {
	if revision, _, ok := c.tenants.At(name); ok && revision > 0 {
		delete(c.under, name)
		return
	}
	c.tenants.Delete(name)
}
