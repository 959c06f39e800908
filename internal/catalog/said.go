package catalog

// said is what is said of one name, by the files and by the store.
type said[T any] struct {
	key  string
	file *T   // nil: the files do not say
	told *T   // the store's last good value; nil: it does not say
	at   word // of told
}

// wanted is what the name is to be; nil: nobody says.
func (s *said[T]) wanted() *T {
	if s.told != nil {
		return s.told
	}
	return s.file
}

// tell has the store say something else of a name from now on; nil: nothing.
func (s *said[T]) tell(c *Catalog, value *T, at word) {
	c.count(s.key, s.at, at)
	s.told, s.at = value, at
}
