package instances

import (
	"cmp"
	"slices"
)

// Registrations returns the registrations of the present instances, ordered by id.
func (t *Table) Registrations() []Registration {
	list := make([]Registration, 0, len(t.entries))
	for _, e := range t.entries {
		if e.present {
			list = append(list, e.registration)
		}
	}
	slices.SortFunc(list, func(a, b Registration) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return list
}
