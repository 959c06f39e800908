package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/settings"
)

// engineConfiguration is testConfiguration with a backend whose instances cache prompt prefixes.
var engineConfiguration = strings.Replace(testConfiguration, `"backends":[]`,
	`"backends":[{"name":"b","tls":false,"engine":{"slots":16,"kv_capacity":100000,"models":[{"name":"m"}]}}]`, 1)

func TestRoutersAgreeOnCommonPrefixes(t *testing.T) {
	nodes, _ := startRouters(t, 3, func(s *settings.Settings) { s.CommonPrefixes = true })
	postUntilOK(t, nodes[0], protocol.PathConfigPut, engineConfiguration)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			if found := n.prefixStatus(); found.Version == 0 {
				return poll.Continue("%s: %+v", n.Settings().Node, found)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	for _, n := range nodes {
		assert.Assert(t, n.prefixStatus().Enabled)
		assert.Equal(t, n.prefixes.Set().Seed, nodes[0].prefixes.Set().Seed)
		assert.Equal(t, n.store.Current().State.Generation, int64(7), "the generation of the operator's configuration must not change")
	}
}

func TestCommonPrefixesAreOffByDefault(t *testing.T) {
	n, _ := startSingleRouter(t)
	postUntilOK(t, n, protocol.PathConfigPut, engineConfiguration)
	assert.Assert(t, !n.prefixStatus().Enabled)
	assert.Equal(t, len(n.store.Current().State.Prefixes), 0)
}
