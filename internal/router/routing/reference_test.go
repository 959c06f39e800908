package routing

import (
	"strings"

	"pewterrudder/internal/router/document"
)

// referenceLookup returns the name of a request's route by a linear search, "" if there is none.
func referenceLookup(configuration *document.Configuration, host, path string) string {
	host = strings.ToLower(host)
	if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	best, name := -1, ""
	for _, route := range configuration.Routes {
		matches := strings.ToLower(route.Hostname) == host && strings.HasPrefix(path, route.PathPrefix)
		if matches && len(route.PathPrefix) > best {
			best, name = len(route.PathPrefix), route.Name
		}
	}
	return name
}

// referenceTenant returns the name of a key's tenant by a linear search, "" if there is none.
func referenceTenant(configuration *document.Configuration, key string) string {
	for _, tenant := range configuration.Tenants {
		for _, own := range tenant.APIKeys {
			if own == key {
				return tenant.Name
			}
		}
	}
	return ""
}
