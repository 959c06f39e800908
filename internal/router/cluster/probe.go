package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/transport"
)

const (
	pingTimeout      = 300 * time.Millisecond
	pingOtherTimeout = 400 * time.Millisecond
	// maxHelpers is the number of members that are asked for an indirect ping of a silent one.
	maxHelpers = 3
)

// probe pings a silent member directly and through other members.
func (c *Cluster) probe(member membership.Member) {
	go c.ping(member, member.Address, kindPing, nil, pingTimeout)
	body := encode(&pingOther{Address: member.Address})
	for _, helper := range c.pickHelpers(member.Node) {
		go c.ping(member, helper.Address, kindPingOther, body, pingOtherTimeout)
	}
}

func (c *Cluster) ping(member membership.Member, address string, kind transport.Kind, body []byte, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	result, err := c.messenger.Call(ctx, address, kind, body)
	if err != nil {
		return
	}
	var answer pingAnswer
	if decode(result, &answer) == nil {
		c.post(aliveEvent{node: member.Node, incarnation: answer.Incarnation})
	}
}

// pickHelpers picks live members at random. Acceptors of the configuration register come first: a member that they can
// reach still has access to the register.
func (c *Cluster) pickHelpers(silentNode string) []membership.Member {
	view := c.View()
	var list []membership.Member
	for _, candidates := range [][]membership.Member{acceptors(view), view.Live()} {
		for _, i := range rand.Perm(len(candidates)) {
			member := candidates[i]
			if member.Node == silentNode || member.Node == view.Self().Node || contains(list, member.Node) {
				continue
			}
			if len(list) == maxHelpers {
				return list
			}
			list = append(list, member)
		}
	}
	return list
}

func acceptors(view *membership.View) []membership.Member {
	var list []membership.Member
	for _, member := range view.Live() {
		if member.AcceptorID != "" {
			list = append(list, member)
		}
	}
	return list
}

func contains(members []membership.Member, node string) bool {
	for _, member := range members {
		if member.Node == node {
			return true
		}
	}
	return false
}
