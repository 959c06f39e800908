package roster

// maxNodesPerAddress bounds how many nodes at one address are compared with each other. Without a bound, a registry that
// reports the same address for every node would make each change cost as much as the whole list.
const maxNodesPerAddress = 16

// markDirty schedules a node to be resolved at the end of the current call.
func (r *Roster) markDirty(n *node) {
	if !n.dirty {
		n.dirty = true
		r.dirty = append(r.dirty, n)
	}
}

// flush resolves all dirty nodes and returns the resulting changes.
func (r *Roster) flush() (out []Change) {
	for i := 0; i < len(r.dirty); i++ { // updateAddressIndex appends nodes at the same address
		n := r.dirty[i]
		n.deciding = nil
		for rep := n.reports; rep != nil; rep = rep.nextOfNode {
			if rep.entry.State != Gone && (n.deciding == nil || rep.outranks(n.deciding)) && rep.source.standing >= DrainsOnly {
				n.deciding = rep
			}
		}
		if len(r.sources) > 1 {
			r.updateAddressIndex(n)
		}
	}
	r.updateLocalFault() // before resolving, so that there are never more than maxSuspects suspects
	for _, n := range r.dirty {
		out = r.resolve(n, out)
		n.dirty = false
	}
	clear(r.dirty)
	r.dirty = r.dirty[:0]
	if len(r.newSuspects) > 0 {
		r.note("suspects: listed as up, and no connect succeeds: %s; with them %d of %d", joinNames(r.newSuspects), len(r.failing), r.upCount)
		r.newSuspects = r.newSuspects[:0]
	}
	r.updateLocalFault()
	return out
}

// outranks reports whether a report takes precedence over another.
func (rep *report) outranks(o *report) bool {
	if a, b := rep.source.standing, o.source.standing; a != b {
		return a > b
	}
	return rep.source.rank < o.source.rank
}

// updateAddressIndex indexes a node by its address, and marks the nodes at its old and new address dirty. A node without
// a deciding report keeps its old address, because its drains and removals still apply there.
func (r *Roster) updateAddressIndex(n *node) {
	address := n.indexedAddress
	switch {
	case n.deciding != nil:
		address = n.deciding.entry.Address
	case n.reports == nil:
		address = ""
	case address == "": // no source that can decide lists it
		for rep := n.reports; rep != nil; rep = rep.nextOfNode {
			if rep.entry.Address != "" {
				address = rep.entry.Address
			}
		}
	}
	r.markDirtyAt(n.indexedAddress)
	if address == n.indexedAddress {
		return
	}
	if n.indexedAddress != "" {
		for at, first := r.byAddress[n.indexedAddress], true; at != nil; at, first = at.nextAtAddress, false {
			if first && at == n {
				if n.nextAtAddress == nil {
					delete(r.byAddress, n.indexedAddress)
				} else {
					r.byAddress[n.indexedAddress] = n.nextAtAddress
				}
				break
			}
			if at.nextAtAddress == n {
				at.nextAtAddress = n.nextAtAddress
				break
			}
		}
		n.nextAtAddress = nil
	}
	if n.indexedAddress = address; address != "" {
		n.nextAtAddress = r.byAddress[address]
		r.byAddress[address] = n
	}
	r.markDirtyAt(address)
}

// markDirtyAt marks the nodes at an address dirty, up to maxNodesPerAddress.
func (r *Roster) markDirtyAt(address string) {
	if address == "" {
		return
	}
	for n, left := r.byAddress[address], maxNodesPerAddress; n != nil && left > 0; n, left = n.nextAtAddress, left-1 {
		r.markDirty(n)
	}
}

// listedBy reports whether a source lists the node.
func (n *node) listedBy(s *source) bool {
	for rep := n.reports; rep != nil; rep = rep.nextOfNode {
		if rep.source == s && rep.entry.State != Gone {
			return true
		}
	}
	return false
}

// aliasOf reports whether n is the same node as o, listed under an id of lower precedence.
func (n *node) aliasOf(o *node) bool {
	if n.deciding == nil || o.deciding == nil || !o.deciding.outranks(n.deciding) {
		return false
	}
	for rep := n.reports; rep != nil; rep = rep.nextOfNode {
		if rep.entry.State != Gone && o.listedBy(rep.source) {
			return false
		}
	}
	return true
}

// blocksNewWork reports whether a report is a drain or removal that keeps new work from its node.
func (r *Roster) blocksNewWork(rep *report) bool {
	if rep.source.standing == Out {
		return false
	}
	return rep.reportedState() == Draining || rep.entry.State == Gone && !rep.omitted && r.now < rep.holdUntil
}

// mergedState returns the state of a node that results from the reports of all sources.
func (r *Roster) mergedState(n *node) State {
	if n.deciding == nil {
		return Gone
	}
	state := n.deciding.reportedState()
	if n.deciding.source.standing == DrainsOnly {
		state = Draining
	}
	for rep := n.reports; rep != nil; rep = rep.nextOfNode {
		if r.blocksNewWork(rep) {
			state = Draining
		}
	}
	if n.indexedAddress == "" {
		return state
	}
	var up, drained [MaxSources]bool // reports by sources that list the address under other ids only
	for o, left := r.byAddress[n.indexedAddress], maxNodesPerAddress; o != nil && left > 0; o, left = o.nextAtAddress, left-1 {
		if o == n {
			continue
		}
		if n.aliasOf(o) {
			return Gone
		}
		for rep := o.reports; rep != nil; rep = rep.nextOfNode {
			i := rep.source.rank
			switch {
			case n.listedBy(rep.source):
			case r.blocksNewWork(rep):
				drained[i] = true
			case rep.entry.State == Up && rep.source.standing != Out:
				up[i] = true
			}
		}
	}
	for i := range drained {
		if drained[i] && !up[i] {
			state = Draining
		}
	}
	return state
}

// resolve appends a Change to out if the node's state differs from the published one.
func (r *Roster) resolve(n *node, out []Change) []Change {
	state := r.mergedState(n)
	change := Change{}
	if state == Gone {
		change.Entry = n.published.Entry
		n.failures, n.lastOK = 0, 0 // by the time it returns, another process may be at its address
	} else {
		change.Entry = n.deciding.entry
		if n.published.State == Gone || change.Started != n.published.Started || change.Address != n.published.Address ||
			state == Up && !n.countedUp {
			r.clearSuspicion(n) // its sources report something new about it
		}
	}
	change.State = state
	r.setCountedUp(n, state == Up)
	if n.failingPos > 0 && !r.localFault {
		change.Suspect = true
		if !n.onTrial {
			change.State = Draining
		}
	}
	if change.Suspect && !n.published.Suspect {
		r.newSuspects = append(r.newSuspects, n.id)
	}
	if change.Suspect != n.published.Suspect || !change.equal(&n.published.Entry) {
		n.published = change
		out = append(out, change)
	}
	if n.reports == nil {
		delete(r.nodes, n.id)
	}
	return out
}
