package catalog

// entry holds what the configuration files and the store contain for one key.
type entry[T any] struct {
	key     string
	file    *T      // value from the files; nil: none
	stored  *T      // last valid value from the store; nil: none
	version version // of stored
}

// effective returns the value that applies: the stored one, else the one from the files, or nil.
func (e *entry[T]) effective() *T {
	if e.stored != nil {
		return e.stored
	}
	return e.file
}

// setStored replaces the value from the store and updates the digest; nil removes the value.
func (e *entry[T]) setStored(c *Catalog, value *T, v version) {
	c.updateDigest(e.key, e.version, v)
	e.stored, e.version = value, v
}
