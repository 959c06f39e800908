package reducer

import (
	"cmp"
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/roster"
)

const (
	// maxEntriesPerEvent bounds the list entries that one event processes, and maxServersPerEvent the servers that one
	// event scans, so that each event takes less than a millisecond. The rest follows in further events, queued behind
	// those that already wait.
	maxEntriesPerEvent = 100
	maxServersPerEvent = 1000
)

func (r *Reducer) openWatch() {
	r.watchID++
	r.watchOpen = true
	r.emit(Watch{r.watchID, r.discoveryAddress, r.listRevision})
}

// watchPause is the delay before a broken watch is reopened, during which nothing is heard from discovery.
func (r *Reducer) watchPause() time.Duration {
	return min(max(r.cfg.Rules.DrainGrace/watchPauseDivisor, minWatchPause), maxWatchPause)
}

// fleetJob is work on the servers that is processed in slices: a list to apply, or an assignment of the servers to
// changed pools.
type fleetJob struct {
	list        List
	kind        brain.UpdateKind
	reassign    bool        // no list: assign the servers to pools again
	adjustment  *adjustment // to commit at the end; nil: none
	epoch       uint64      // of the list, recorded in each server it names
	nextEntry   int         // index into the entries
	serversLeft int         // servers left to scan after all entries are applied, from the end of serverList
	scanning    bool        // the scan has started

	fromSource bool // the entries come from a source of the roster, which turns them into changes
	source     int
	complete   bool
	revision   int64
	entries    []roster.Entry
}

func (r *Reducer) onList(l List, kind brain.UpdateKind) {
	r.listRevision = max(r.listRevision, l.Revision)
	if l.Complete {
		r.listRevision = l.Revision // a complete list replaces everything, including a higher revision
	}
	if kind == brain.UpdateFull {
		// The pools get only the changes; one slice of a full list would make them drop all other servers.
		kind = brain.UpdateChanges
	}
	r.lastListEpoch++
	r.enqueue(&fleetJob{list: l, kind: kind, epoch: r.lastListEpoch})
}

func (r *Reducer) enqueue(job *fleetJob) {
	if r.jobs = append(r.jobs, job); len(r.jobs) == 1 {
		r.runJobSlice()
	}
}

// runJobSlice processes one slice of the first job. The pools are notified of changes only. The pool that asks for the
// list is also notified of an empty update, since that discovery has answered is information by itself.
func (r *Reducer) runJobSlice() {
	job := r.jobs[0]
	moved := r.movedServers[:0]
	sourceDone := true
	if job.fromSource {
		var changes []roster.Change
		changes, sourceDone = r.applySourceSlice(job)
		for i := range changes {
			m, address := memberOf(&changes[i])
			if s := r.applyEntry(&m, address, job.epoch); s != nil {
				moved = append(moved, s)
			}
		}
	}
	for n := maxEntriesPerEvent; n > 0 && job.nextEntry < len(job.list.Members); n-- {
		if s := r.applyEntry(&job.list.Members[job.nextEntry], job.list.Addresses[job.nextEntry], job.epoch); s != nil {
			moved = append(moved, s)
		}
		job.nextEntry++
	}
	for _, s := range moved {
		r.removeDisplaced(s)
	}
	clear(moved)
	r.movedServers = moved[:0]
	if job.nextEntry >= len(job.list.Members) && (job.list.Complete || job.reassign) {
		r.scanServers(job)
	}
	done := sourceDone && job.nextEntry >= len(job.list.Members) && job.serversLeft == 0
	if done {
		r.jobs = slices.Delete(r.jobs, 0, 1)
	}
	kind := job.kind
	job.kind = brain.UpdateChanges // for the remaining slices
	discoveryPool := r.discoveryPool
	if job.reassign || job.adjustment != nil {
		discoveryPool = nil // the update does not come from discovery
	}
	if done {
		r.updateStaleZones(discoveryPool)
	}
	r.notifyChangedPools(discoveryPool, kind)
	if job.adjustment != nil && done {
		r.commitAdjustment(job.adjustment)
	}
	// Without a server every call would only be held, so readiness waits for the first one.
	if !r.readySent && r.readyServers > 0 {
		r.readySent = true
		r.emit(Ready{})
	}
	if job.fromSource && done {
		r.pollRoster()
	}
	if len(r.jobs) > 0 {
		r.emit(StartTimer{0, nextSlice{}})
	} else {
		r.reassignSubsets()
	}
}

// applyEntry applies one list entry. It returns the server if its address is new, so that removeDisplaced must run for
// it.
func (r *Reducer) applyEntry(m *brain.Member, address string, epoch uint64) *server {
	s := r.servers[m.Server]
	if m.State == brain.Gone {
		if s != nil {
			r.removeServer(s)
		}
		return nil
	}
	if s == nil {
		s = &server{id: m.Server, conns: map[uint64]*conn{}, position: len(r.serverList)}
		r.servers[m.Server], r.serverList = s, append(r.serverList, s)
		s.member.State, s.listed.State = brain.Gone, brain.Gone // until updatePools below
	}
	s.listEpoch = epoch
	moved := address != "" && address != s.address
	// Connections to the old address, or to the process before its latest start, are no longer usable.
	if moved || m.Started != s.member.Started {
		r.unindexAddress(s)
		s.address = cmp.Or(address, s.address)
		r.serversByAddress[s.address] = append(r.serversByAddress[s.address], s)
		r.closeServerConns(s)
		moved = true
	}
	was := s.member
	s.listed = *m
	s.listed.Bit = r.zoneBit(m.Zone)
	s.member = r.applyOverride(s.listed)
	if was != s.member {
		r.updatePools(s, was)
	}
	if moved {
		return s
	}
	return nil
}

// scanServers removes servers that a complete list no longer names, or assigns servers to pools again.
func (r *Reducer) scanServers(job *fleetJob) {
	if !job.scanning {
		job.scanning, job.serversLeft = true, len(r.serverList)
	}
	job.serversLeft = min(job.serversLeft, len(r.serverList))
	for n := maxServersPerEvent; n > 0 && job.serversLeft > 0; n-- {
		job.serversLeft--
		// A removed server's position is taken by the last one, which has been scanned already.
		s := r.serverList[job.serversLeft]
		switch {
		case job.reassign:
			if matching, using := r.matchPools(s); !slices.Equal(matching, s.matchingPools) || !slices.Equal(using, s.usingPools) {
				r.updatePools(s, s.member)
				n -= 10 // costs more than a plain check
			}
		case s.listEpoch != job.epoch:
			r.removeServer(s)
			n -= 10
		}
	}
}

// removeDisplaced removes the servers at whose address another server has started since. Discovery may list their
// removal only later, and until then their calls would reach the new server.
func (r *Reducer) removeDisplaced(s *server) {
	if s.removed {
		return
	}
	latest := s
	for _, other := range r.serversByAddress[s.address] {
		if other.member.Started > latest.member.Started {
			latest = other
		}
	}
	for _, other := range slices.Clone(r.serversByAddress[s.address]) {
		if other.member.Started < latest.member.Started {
			r.removeServer(other)
		}
	}
}

// updatePools notifies the pools of a server's change: those that it belongs to now, and those that it has left.
func (r *Reducer) updatePools(s *server, was brain.Member) {
	beforeUsing, beforeMatching := s.usingPools, s.matchingPools
	matching, using := r.matchPools(s)
	s.matchingPools = r.internIndexSet(beforeMatching, matching)
	s.usingPools = s.matchingPools
	if len(using) < len(matching) {
		s.usingPools = r.internIndexSet(beforeUsing, using)
	}
	if was.State == brain.Ready {
		r.readyServers--
		if s.member.State != brain.Ready {
			s.notReadySince = r.now
		}
	}
	if s.member.State == brain.Ready {
		r.readyServers++
	}
	forEachInEither(beforeUsing, s.usingPools, func(i uint16, had, has bool) {
		p := r.pools[i]
		if p.zoneView != nil {
			if !p.zonesStale {
				p.zonesStale, r.staleZonePools = true, append(r.staleZonePools, p)
			}
			if had {
				r.countMember(p.zoneView, s, &was, -1)
			}
			if has {
				r.countMember(p.zoneView, s, &s.member, 1)
			}
		}
		if had && was.State == brain.Ready {
			p.readyMembers--
		}
		if has && s.member.State == brain.Ready {
			p.readyMembers++
		}
		m := s.member
		if !has {
			m.State = brain.Gone
		}
		if len(p.pendingChanges) == 0 {
			r.changedPools = append(r.changedPools, p)
		}
		p.pendingChanges = append(p.pendingChanges, m)
	})
	forEachInEither(beforeMatching, s.matchingPools, func(i uint16, had, has bool) {
		switch p := r.pools[i]; {
		case has && !had:
			p.matchedServers++
		case had && !has:
			p.matchedServers--
			r.freeIfUnused(p)
		}
	})
	if r.subsetSize > 0 && len(beforeUsing) > 0 && len(s.usingPools) == 0 && !s.removed {
		r.closeServerConns(s) // busy connections close after their call
	}
}

// zoneBit returns the bit of a zone. Each zone gets its own bit, up to 62 zones; further ones get 0.
func (r *Reducer) zoneBit(zone string) uint64 {
	bit, ok := r.zoneBits[zone]
	if !ok && len(r.zoneBits) < 62 {
		bit = 1 << len(r.zoneBits)
		r.zoneBits[zone] = bit
	}
	return bit
}

// removeServer removes a server from the state for good: over a long run most servers ever listed are gone.
func (r *Reducer) removeServer(s *server) {
	was := s.member
	s.removed, s.member.State = true, brain.Gone
	r.updatePools(s, was)
	r.unindexAddress(s)
	delete(r.servers, s.id)
	last := r.serverList[len(r.serverList)-1]
	r.serverList[s.position], last.position = last, s.position
	r.serverList[len(r.serverList)-1] = nil
	r.serverList = r.serverList[:len(r.serverList)-1]
	r.closeServerConns(s)
}

func (r *Reducer) unindexAddress(s *server) {
	sameAddress := r.serversByAddress[s.address]
	if i := slices.Index(sameAddress, s); i >= 0 {
		if sameAddress = slices.Delete(sameAddress, i, i+1); len(sameAddress) == 0 {
			delete(r.serversByAddress, s.address)
		} else {
			r.serversByAddress[s.address] = sameAddress
		}
	}
}

// closeServerConns closes a server's connections: idle ones at once, busy and dialing ones when they are done.
func (r *Reducer) closeServerConns(s *server) {
	for len(s.idle) > 0 {
		r.close(s.idle[0])
	}
	for _, cn := range s.conns {
		cn.closeWhenDone = true
	}
}
