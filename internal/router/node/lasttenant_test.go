package node

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/resultcode"
	"pewterrudder/internal/router/settings"
)

// lastTenantChanges are the ways in which an operator may take away the last tenant of keysConfiguration(7, "").
var lastTenantChanges = []struct {
	name, path, body string
	contracts        []string
}{
	{"patch", protocol.PathConfigPatch, `{"generation":9,"remove":{"tenants":["t"]}}`, nil},
	{"empty list", protocol.PathConfigPut, replaceTenants(`"tenants":[],`), nil},
	{"no list in a deployment with tenants", protocol.PathConfigPut, replaceTenants(""), []string{"base", "tenants"}},
}

// replaceTenants returns a configuration of generation 9 with the given JSON in place of its tenants.
func replaceTenants(tenants string) string {
	return strings.Replace(keysConfiguration(9, ""), `"tenants":[{"name":"t","api_keys":["kept"]}],`, tenants, 1)
}

// TestRemovalOfLastTenantAdmitsNobody takes the last tenant away, restarts all routers, and adds the tenant again. It
// guards against services that serve any key, or none at all, while there is no tenant.
func TestRemovalOfLastTenantAdmitsNobody(t *testing.T) {
	t.Parallel()
	for _, change := range lastTenantChanges {
		for _, closed := range []bool{false, true} {
			name := change.name
			if closed {
				name += ", with a bound on revocations"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				fleet := startProcesses(t, 3, 3, func(s *settings.Settings) {
					s.Contracts = change.contracts
					s.Bounds.Closed, s.Bounds.RevokeMs = closed, 2000
				})
				fleet.routers[0].mustPutBody(0, keysConfiguration(7, ""))
				fleet.assertServedBy("kept", resultcode.NoInstance)
				fleet.waitFor("the removal of the tenant", func() bool {
					code, _ := fleet.routers[1].send(http.MethodPost, change.path, 7, change.body)
					return code == http.StatusOK
				})
				fleet.assertServedBy("kept", resultcode.UnknownKey)
				fleet.assertAdmitsNobody()
				fleet.restartAll()
				fleet.assertServedBy("kept", resultcode.UnknownKey)
				fleet.assertAdmitsNobody()
				fleet.routers[2].mustPutBody(9, keysConfiguration(11, ""))
				fleet.assertServedBy("kept", resultcode.NoInstance)
			})
		}
	}
}

// assertServedBy waits until every router answers a request with the key by the result code. As there are no instances,
// no_instance means that the request was admitted.
func (fleet *processFleet) assertServedBy(key string, expected resultcode.Code) {
	fleet.t.Helper()
	for _, router := range fleet.routers {
		fleet.waitFor(expected.String()+" at "+router.settings.Node, func() bool {
			return router.requestResult("/a/x", key) == expected.String()
		})
	}
}

// assertAdmitsNobody checks that no router admits a request with a key that no configuration held, and that the public
// route needs none.
func (fleet *processFleet) assertAdmitsNobody() {
	t := fleet.t
	t.Helper()
	for _, router := range fleet.routers {
		for range 10 {
			assert.Equal(t, router.requestResult("/a/x", "never"), resultcode.UnknownKey.String())
		}
		assert.Equal(t, router.requestResult("/open/x", ""), resultcode.NoInstance.String())
	}
}
