package cluster

import (
	"math/rand/v2"
	"time"

	"pewterrudder/internal/router/membership"
)

const (
	// randomExchangeTicks is the number of ticks between exchanges with random members while the fleet is stable.
	randomExchangeTicks = 4
	// reconnectTicks is the number of ticks between attempts to reach failed members and unknown seeds.
	reconnectTicks = 2
	// maxReconnects bounds the addresses that are tried at each attempt.
	maxReconnects = 3
	// unstableSilence is how long a monitored member must be silent for the fleet to count as unstable.
	unstableSilence = 450 * time.Millisecond
	// unstableDuration is how long the fleet counts as unstable after the last sign of instability.
	unstableDuration = 5 * time.Second
	// maxRandomExchanges is the number of running exchanges at which no exchange with a random member is started.
	maxRandomExchanges = 2
	// maxExchanges bounds the exchanges that run at the same time.
	maxExchanges = 6
)

// exchangeSchedule holds the state that decides when to exchange tables with which member.
type exchangeSchedule struct {
	ticks         int
	inProgress    map[string]bool   // by the peer's address
	lastHashes    map[string]uint64 // table hash of each member's previous heartbeat, by node
	unstableUntil time.Time
	failedMembers int
}

func newExchangeSchedule() exchangeSchedule {
	return exchangeSchedule{inProgress: make(map[string]bool), lastHashes: make(map[string]uint64), ticks: rand.IntN(randomExchangeTicks)}
}

// checkTableHash compares the hash in a heartbeat with the local table. While records change, hashes differ all the
// time. A record is taken to be lost if the local table has had neither this hash nor that of the member's previous
// heartbeat, or if the tables differ although both have settled. An exchange also starts with an unknown member, and
// with a suspected one, which learns of the suspicion that way.
func (l *eventLoop) checkTableHash(message heartbeat, suspected bool) {
	previous, known := l.schedule.lastHashes[message.Node]
	l.schedule.lastHashes[message.Node] = message.TableHash
	relation := l.cluster.compareHash(message.TableHash)
	lost := relation == hashUnknown && known && l.cluster.compareHash(previous) == hashUnknown ||
		relation != hashEqual && message.Settled && l.cluster.settled()
	if lost || suspected || !l.detector.Knows(message.Node) {
		delete(l.schedule.lastHashes, message.Node)
		l.startExchange(message.Address)
	}
}

// startScheduledExchanges starts the exchanges that are due: with a random member every randomExchangeTicks, or, while
// the fleet is unstable, every tick and also with a random acceptor; and with failed members every reconnectTicks.
func (l *eventLoop) startScheduledExchanges(now time.Time) {
	l.schedule.ticks++
	l.updateStability(now)
	if l.unstable(now) || l.schedule.ticks%randomExchangeTicks == 0 {
		l.exchangeWithRandom(l.detector.View().Live())
	}
	if l.unstable(now) && l.schedule.ticks%2 == 0 {
		l.exchangeWithRandom(acceptors(l.detector.View()))
	}
	if l.schedule.ticks%reconnectTicks == 0 {
		l.reconnect()
	}
}

func (l *eventLoop) updateStability(now time.Time) {
	failed := len(l.detector.View().Failed())
	if failed != l.schedule.failedMembers || l.detector.SilentMonitored(now, unstableSilence) > 0 {
		l.schedule.unstableUntil = now.Add(unstableDuration)
	}
	l.schedule.failedMembers = failed
}

func (l *eventLoop) unstable(now time.Time) bool { return now.Before(l.schedule.unstableUntil) }

func (l *eventLoop) exchangeWithRandom(members []membership.Member) {
	if len(members) == 0 || len(l.schedule.inProgress) >= maxRandomExchanges {
		return
	}
	member := members[rand.IntN(len(members))]
	if member.Node != l.detector.Self().Member.Node {
		l.startExchange(member.Address)
	}
}

// reconnect tries a few of the failed members and unknown seeds for which this router is responsible.
func (l *eventLoop) reconnect() {
	addresses := l.reconnectAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), maxReconnects)] {
		l.startExchange(address)
	}
}

func (l *eventLoop) reconnectAddresses() []string {
	var list []string
	for _, member := range l.detector.Reconnect() {
		list = append(list, member.Address)
	}
	view := l.detector.View()
	for _, seed := range *l.cluster.seeds.Load() {
		if l.responsibleForSeed(view, seed) {
			list = append(list, seed)
		}
	}
	return list
}

// responsibleForSeed reports whether the seed is not a live member, and this router is one of the two that try to reach
// it.
func (l *eventLoop) responsibleForSeed(view *membership.View, seed string) bool {
	for _, member := range view.Live() {
		if member.Address == seed {
			return false
		}
	}
	if len(view.Live()) == 1 {
		return true
	}
	for _, responsible := range view.Successors(seed, 2) {
		if responsible.Node == view.Self().Node {
			return true
		}
	}
	return false
}

// startExchange exchanges tables with the router at the address, unless an exchange with it is running.
func (l *eventLoop) startExchange(address string) { l.runExchange(address, false) }

// startFreshExchange is startExchange that also asks for large records that the peer received only recently.
func (l *eventLoop) startFreshExchange(address string) { l.runExchange(address, true) }

func (l *eventLoop) runExchange(address string, fresh bool) {
	if l.schedule.inProgress[address] || len(l.schedule.inProgress) >= maxExchanges {
		return
	}
	l.schedule.inProgress[address] = true
	go func() {
		err := l.cluster.exchange(address, fresh)
		l.cluster.post(exchangeDoneEvent{address: address, err: err})
	}()
}

func (l *eventLoop) finishExchange(address string, err error) {
	delete(l.schedule.inProgress, address)
	if err != nil && l.isLive(address) {
		l.schedule.unstableUntil = time.Now().Add(unstableDuration)
	}
}

func (l *eventLoop) isLive(address string) bool {
	for _, member := range l.detector.View().Live() {
		if member.Address == address {
			return true
		}
	}
	return false
}
