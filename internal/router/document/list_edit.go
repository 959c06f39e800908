package document

import (
	"encoding/json"

	"pewterrudder/internal/router/resultcode"
)

// listEdit holds the changes that a patch makes to one list of items.
type listEdit[T any, P item[T]] struct {
	upsert []T
	remove []string
}

// decodeListEdit decodes a patch's changes to one list.
func decodeListEdit[T any, P item[T]](list string, upsert map[string]json.RawMessage, remove map[string][]string) (listEdit[T, P], error) {
	items, err := decodeItems[T, P](list, upsert[list], nil)
	if err != nil {
		return listEdit[T, P]{}, err
	}
	change := listEdit[T, P]{upsert: items, remove: remove[list]}
	return change, change.checkNoConflicts(list)
}

// checkNoConflicts rejects an edit that names an item twice, since its result would be ambiguous.
func (e listEdit[T, P]) checkNoConflicts(list string) error {
	seen := make(map[string]struct{}, len(e.upsert))
	for index := range e.upsert {
		name := P(&e.upsert[index]).itemName()
		if _, taken := seen[name]; taken {
			return resultcode.New(resultcode.PatchContradictory, "%s: %q is upserted twice", list, name)
		}
		seen[name] = struct{}{}
	}
	for _, name := range e.remove {
		if _, taken := seen[name]; taken {
			return resultcode.New(resultcode.PatchContradictory, "%s: %q is both upserted and removed", list, name)
		}
	}
	return nil
}

// apply returns the edited list. Replaced items keep their position; new ones are appended in their order. An absent
// list stays absent unless items are added.
func (e listEdit[T, P]) apply(base []T) []T {
	if len(e.upsert) == 0 && (len(e.remove) == 0 || base == nil) {
		return base
	}
	pending := e.upsertIndexes()
	removed := e.removedNames()
	result := make([]T, 0, len(base)+len(e.upsert))
	for index := range base {
		name := P(&base[index]).itemName()
		if removed[name] {
			continue
		}
		if replacement, found := pending[name]; found {
			result = append(result, e.upsert[replacement])
			delete(pending, name)
			continue
		}
		result = append(result, base[index])
	}
	return e.appendNew(result, pending)
}

func (e listEdit[T, P]) upsertIndexes() map[string]int {
	pending := make(map[string]int, len(e.upsert))
	for index := range e.upsert {
		pending[P(&e.upsert[index]).itemName()] = index
	}
	return pending
}

func (e listEdit[T, P]) removedNames() map[string]bool {
	removed := make(map[string]bool, len(e.remove))
	for _, name := range e.remove {
		removed[name] = true
	}
	return removed
}

func (e listEdit[T, P]) appendNew(result []T, pending map[string]int) []T {
	for index := range e.upsert {
		if _, isNew := pending[P(&e.upsert[index]).itemName()]; isNew {
			result = append(result, e.upsert[index])
		}
	}
	return result
}
