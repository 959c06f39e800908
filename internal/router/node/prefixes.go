package node

import (
	"context"
	"strconv"

	"pewterrudder/internal/router/commonprefix"
	"pewterrudder/internal/router/configstore"
	"pewterrudder/internal/router/prefixagreement"
	"pewterrudder/internal/router/protocol"
	"pewterrudder/internal/router/routing"
	"pewterrudder/internal/router/selection"
	"pewterrudder/internal/router/settings"
)

// startPrefixes joins the agreement on common prompt prefixes if the settings enable it.
func (n *Node) startPrefixes(ctx context.Context, s *settings.Settings) error {
	if !s.CommonPrefixes {
		return nil
	}
	n.prefixes = prefixagreement.New(prefixagreement.Options{
		Router:      s.Node,
		Lease:       n.shares,
		Register:    n.store,
		Caller:      messageCaller{n.transport, messagePrefixes},
		Log:         n.log,
		Quotas:      n.tenantQuotas,
		Assignments: n.selector.Assignments,
		OnAdopt:     n.selector.SetCommonPrefixes,
	})
	n.transport.Handle(messagePrefixes, n.prefixes.HandleRequest)
	go n.prefixes.Run(ctx)
	return nil
}

// applyPrefixes applies the common prefixes of a chosen state.
func (n *Node) applyPrefixes(chosen *configstore.Chosen) {
	if n.prefixes != nil {
		n.prefixes.Adopt(chosen.State.Prefixes)
	}
}

// updatePrefixQuotas passes the tenants' quotas of a new routing table to the prefix agreement, which divides the cache
// space by them.
func (n *Node) updatePrefixQuotas(table *routing.Table) {
	if n.prefixes != nil {
		n.prefixes.SetQuotas(table.Quotas())
	}
}

// tenantQuotas returns the tenants' quotas in force, nil without a configuration.
func (n *Node) tenantQuotas() commonprefix.Quotas {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	return table.Quotas()
}

// countPrefix counts the prompt prefix of a request. Retries are not counted.
func (n *Node) countPrefix(request *selection.Request) {
	if n.prefixes == nil || len(request.Excluded) > 0 {
		return
	}
	n.prefixes.Count(&commonprefix.Request{
		Tenant:       request.Tenant,
		Backend:      request.Backend,
		Model:        request.Model,
		PromptTokens: request.PromptTokens,
		Prefix:       request.Prefix,
	})
}

// prefixStatus describes the common prefixes for the control API.
func (n *Node) prefixStatus() *protocol.PrefixStatus {
	status := &protocol.PrefixStatus{Tenants: map[string]protocol.TenantPrefixUse{}}
	if n.prefixes == nil {
		return status
	}
	set := n.prefixes.Set()
	status.Enabled, status.Version = true, set.Version
	for _, common := range set.Prefixes {
		status.Prefixes = append(status.Prefixes, protocol.PrefixInfo{
			Key:       strconv.FormatUint(uint64(common.Key), 16),
			Backend:   common.Backend,
			Tenant:    common.Tenant,
			Tokens:    common.Tokens,
			Share:     float64(common.Share) / commonprefix.ShareUnits,
			Instances: n.selector.CommonPrefixHomes(common),
		})
	}
	for tenant, use := range n.selector.CommonPrefixUses() {
		status.Tenants[tenant] = protocol.TenantPrefixUse(use)
	}
	return status
}
