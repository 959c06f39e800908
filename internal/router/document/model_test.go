package document

import "strings"

// modelIsValid is a naive reference implementation of Parse's validation: it compares every pair of items.
func modelIsValid(configuration jsonObject) bool {
	routes, backends, tenants := objectList(configuration, "routes"), objectList(configuration, "backends"), objectList(configuration, "tenants")
	for i, route := range routes {
		if route["timeout_ms"].(float64) <= 0 || !modelDestinationsExist(route, backends) {
			return false
		}
		for _, other := range routes[:i] {
			if strings.EqualFold(route["hostname"].(string), other["hostname"].(string)) && route["path_prefix"] == other["path_prefix"] {
				return false
			}
		}
	}
	return !modelSharesKey(tenants)
}

func modelDestinationsExist(route jsonObject, backends []jsonObject) bool {
	if name, direct := route["backend"]; direct {
		return hasName(backends, name)
	}
	sum := 0.0
	for _, share := range objectList(route, "split") {
		if !hasName(backends, share["backend"]) {
			return false
		}
		sum += share["weight"].(float64)
	}
	return sum > 0
}

func modelSharesKey(tenants []jsonObject) bool {
	for i, tenant := range tenants {
		for _, other := range tenants[:i] {
			for _, key := range tenant["api_keys"].([]any) {
				for _, otherKey := range other["api_keys"].([]any) {
					if key == otherKey {
						return true
					}
				}
			}
		}
	}
	return false
}

func hasName(items []jsonObject, name any) bool {
	for _, item := range items {
		if item["name"] == name {
			return true
		}
	}
	return false
}

func objectList(object jsonObject, name string) []jsonObject {
	elements, _ := object[name].([]any)
	list := []jsonObject{}
	for _, element := range elements {
		list = append(list, element.(jsonObject))
	}
	return list
}

// modelPatch is a naive reference implementation of Patch.Apply, which changes one item at a time.
func modelPatch(base, patch jsonObject) jsonObject {
	result := jsonObject{}
	for name, value := range base {
		result[name] = value
	}
	result["generation"] = patch["generation"]
	upsert, _ := patch["upsert"].(jsonObject)
	remove, _ := patch["remove"].(jsonObject)
	for _, list := range []string{"routes", "backends", "tenants", "regions"} {
		items, isThere := base[list].([]any)
		for _, name := range anyList(remove[list]) {
			items = withoutName(items, name)
		}
		for _, item := range anyList(upsert[list]) {
			items = withItem(items, item.(jsonObject))
		}
		if isThere || len(items) > 0 {
			result[list] = append([]any{}, items...)
		}
	}
	return result
}

func anyList(value any) []any {
	list, _ := value.([]any)
	return list
}

func withoutName(items []any, name any) []any {
	rest := []any{}
	for _, item := range items {
		if item.(jsonObject)["name"] != name {
			rest = append(rest, item)
		}
	}
	return rest
}

func withItem(items []any, item jsonObject) []any {
	result := append([]any{}, items...)
	for index := range result {
		if result[index].(jsonObject)["name"] == item["name"] {
			result[index] = item
			return result
		}
	}
	return append(result, item)
}
