// Package peers owns the sockets on which balancers hear of each other: a member of hashicorp/memberlist (SWIM with the
// additions of Lifeguard, Dadgar et al., DSN-W 2018), its keys, and the way back to those that were lost. What it hears it hands
// on as events of internal/fleet/view; what others must know of us it is told. It must never decide what is believed, hold a
// truth of its own, or stand in the way of a call: nothing here waits for it, and it waits for nothing there.
//
// Packets are encrypted and authenticated by the library (AES-GCM, one key of the ring for all), and carry the site's name as their
// label: what has another label or key is counted and goes no further. Each process is a member under the number of its life,
// which no other ever has; its name and stamp are in the member's meta data.
package peers

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/view"
)

const (
	// A death is to be known within 3 s, also where most of a dozen die at once and the rest have to probe them in turn. So each
	// member probes another every 150 ms, and no less often where its probes fail (the library waits up to eight times as long then,
	// and the last of nine deaths was known after 8.7 s). A life that is suspected has a second to say that it runs, twice the
	// pause that a busy machine was seen to make: that, and not rarer probes, keeps a slow machine from losing the others.
	ProbeEvery  = 150 * time.Millisecond
	probeWithin = 100 * time.Millisecond
	probeSlower = 1
	suspicion   = 6 // probe intervals, times the logarithm of the fleet
	gossipEvery = 100 * time.Millisecond
	// exchangeEvery is how often a whole view is exchanged with another. Words of who is there are repeated by the logarithm of those
	// that are known, so that of a dozen that start together one may miss another; it must hear of it before its view is believed.
	exchangeEvery = 4 * time.Second
	// exchangeAmong is how many members exchange as often as that. Among more the pause grows in proportion, since a view does: what whole
	// views take stays at some eight entries a second, a view sent and a view answered each pause. The library's own pause grows by the
	// logarithm, so that the bytes grew as the fleet. Words in packets are repeated the more, the more members there are.
	exchangeAmong = 16
	// passiveProbe is longer than any passive member lives.
	passiveProbe = 24 * time.Hour
	// tickEvery is the pace at which a view lets time pass.
	tickEvery = 500 * time.Millisecond
	// backEvery is the pause between two tries to reach somebody who is lost, where a dozen live; with more it grows, since each
	// of them tries, and one of them is enough.
	backEvery = time.Second
	backMost  = 30 * time.Second
	// lostMost bounds those who are looked for, and lostFor how long.
	lostMost = 64
	lostFor  = 10 * time.Minute
	// leaveWithin bounds the notice at the end.
	leaveWithin = 300 * time.Millisecond
	// dialWithin bounds a stream to a peer, where the options do not.
	dialWithin = 2 * time.Second
	// buffers of packets: the library's own is 2 MB.
	packetBuffer = 256 << 10
)

// Options of Join.
type Options struct {
	Settings config.Peers
	Own      view.Life // its address is that of the settings
	// Post takes an event; it must not wait for the caller's.
	Post func(view.Event)
	// Known has each fact that is held handed over, for a peer that has missed some. It may take a moment.
	Known func() []Known
	Log   func(string)
	// Patience bounds a stream to a peer; 0: two seconds.
	Patience time.Duration
	// Transport carries packets and streams in the place of sockets; nil: sockets.
	Transport memberlist.NodeAwareTransport
	// Passive has it answer and neither probe nor exchange views by itself: one of a crowd that is there to be heard. Ping and Exchange do
	// either once.
	Passive bool
}

// Known is a fact as it goes from one to another as a whole.
type Known struct {
	view.Fact
	AgeMs int64 `json:"age_ms"`
}

// Counts are what came and went.
type Counts struct {
	Unread  uint64 `json:"unread"` // packets and streams that could not be read: another key, another site, noise
	Garbled uint64 `json:"garbled"`
	Tries   uint64 `json:"tries"`   // to reach somebody who is lost
	Packets uint64 `json:"packets"` // that we have sent, and their bytes
	Bytes   uint64 `json:"bytes"`
	Views   uint64 `json:"views_bytes"` // that we have sent in streams, which carry whole views
}

// Peers is a member. Make it with Join, give it back with Close.
type Peers struct {
	o      Options
	list   *memberlist.Memberlist
	ring   *memberlist.Keyring
	queue  memberlist.TransmitLimitedQueue
	ended  chan struct{}
	closed chan struct{}   // the sockets
	alive  context.Context // until Close
	end    context.CancelFunc
	once   sync.Once
	work   sync.WaitGroup

	unread, garbled, tries, packets, bytes, views atomic.Uint64

	mu  sync.Mutex
	own view.Life
	// leaving is said to the others in place of anything else.
	leaving bool
	lost    map[string]time.Time // addresses that were here and are not
}

// Keys reads the settings' keys; the first is what we send with.
func Keys(texts []string) (keys [][]byte, err error) {
	for i, t := range texts {
		key, err := base64.StdEncoding.DecodeString(t)
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			return nil, fmt.Errorf("peers.keys[%d]: 16, 24 or 32 bytes in base64 are wanted: %w", i, err)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, errors.New("peers.keys: at least one is needed")
	}
	return keys, nil
}

// Join opens the sockets and looks for the seeds. That nobody is found is no error: they may come.
func Join(o Options) (*Peers, error) {
	keys, err := Keys(o.Settings.Keys)
	if err != nil {
		return nil, err
	}
	host, text, err := net.SplitHostPort(o.Settings.Address)
	port, wrong := strconv.Atoi(text)
	if err != nil || wrong != nil || net.ParseIP(host) == nil {
		return nil, fmt.Errorf("peers.address: %q is no IP address and port", o.Settings.Address)
	}
	o.Own.Address = o.Settings.Address
	if o.Patience == 0 {
		o.Patience = dialWithin
	}
	p := &Peers{o: o, own: o.Own, ended: make(chan struct{}), closed: make(chan struct{}), lost: map[string]time.Time{}}
	p.alive, p.end = context.WithCancel(context.Background())
	if p.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, fmt.Errorf("peers.keys: %w", err)
	}
	c := p.memberConfig(host, port)
	bare := o.Transport
	if bare == nil {
		if bare, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: c.Logger}); err != nil {
			return nil, fmt.Errorf("peers.address: %w", err)
		}
	}
	counting := &transport{NodeAwareTransport: bare, peers: p, incoming: make(chan net.Conn)}
	c.Transport = counting
	p.queue.RetransmitMult = 2
	p.queue.NumNodes = func() int {
		if p.list == nil {
			return 1
		}
		return p.list.NumMembers()
	}
	if p.list, err = memberlist.Create(c); err != nil {
		p.end()
		bare.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.work.Go(counting.forwardStreams)
	p.work.Go(p.tick)
	p.work.Go(p.seek)
	if !o.Passive {
		p.work.Go(p.exchange)
	}
	return p, nil
}

// memberConfig is the library's configuration, without the transport.
func (p *Peers) memberConfig(host string, port int) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Keyring = p.o.Own.ID, p.o.Settings.Site, p.ring
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = host, port, host, port
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = ProbeEvery, probeWithin, gossipEvery
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = suspicion, 1, probeSlower
	c.PushPullInterval, c.TCPTimeout = 0, p.o.Patience // see exchange
	if p.o.Passive {
		c.ProbeInterval = passiveProbe
	}
	c.EnableCompression = false // packets are small, and its tables are not
	c.DNSConfigPath = ""
	c.Logger = log.New((*notes)(p), "", 0)
	c.Delegate, c.Events = (*delegate)(p), (*events)(p)
	return c
}

// Raise takes another stamp, which the others hear.
func (p *Peers) Raise(stamp uint64) {
	p.mu.Lock()
	p.own.Stamp = max(p.own.Stamp, stamp)
	p.mu.Unlock()
	p.work.Go(func() { p.list.UpdateNode(leaveWithin) }) // it waits until the word is out
}

// Say hands a fact of ours to the others.
func (p *Peers) Say(f view.Fact) {
	text, err := json.Marshal(Known{Fact: f})
	if err != nil {
		return
	}
	p.queue.QueueBroadcast(&broadcast{f.Kind + " " + f.Key, text})
}

// Rekey puts other keys in force, the first of which we send with from now on. Those that are not among them are no longer read.
func (p *Peers) Rekey(texts []string) error {
	keys, err := Keys(texts)
	if err != nil {
		return err
	}
	wanted := map[string]bool{}
	for _, k := range keys {
		wanted[string(k)] = true
		if err := p.ring.AddKey(k); err != nil {
			return err
		}
	}
	if err := p.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, k := range p.ring.GetKeys() {
		if !wanted[string(k)] {
			if err := p.ring.RemoveKey(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Counts are those until now.
func (p *Peers) Counts() Counts {
	return Counts{Unread: p.unread.Load(), Garbled: p.garbled.Load(), Tries: p.tries.Load(), Packets: p.packets.Load(), Bytes: p.bytes.Load(), Views: p.views.Load()}
}

// Close says that we leave, for a moment, and closes the sockets.
func (p *Peers) Close() {
	p.once.Do(func() {
		p.mu.Lock()
		p.leaving = true
		p.mu.Unlock()
		p.list.UpdateNode(leaveWithin / 2) // the library does not tell a notice from a loss
		p.list.Leave(leaveWithin / 2)
		close(p.ended)
		p.end() // streams that are under way end with it: nobody's silence holds up our end
		p.list.Shutdown()
		close(p.closed)
		p.work.Wait()
	})
}

func (p *Peers) tick() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-t.C:
			p.o.Post(view.Event{Kind: view.Tick})
		}
	}
}

// rest waits for about so long, so that not all do the same at once; false: the member has ended meanwhile.
func (p *Peers) rest(about time.Duration) bool {
	timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(about)))
	defer timer.Stop()
	select {
	case <-p.ended:
		return false
	case <-timer.C:
		return true
	}
}

// ExchangePause is the pause between two exchanges of a member among so many, itself counted.
func ExchangePause(members int) time.Duration {
	return exchangeEvery * time.Duration(max(members, exchangeAmong)) / exchangeAmong
}

// exchange exchanges whole views with another, again and again.
func (p *Peers) exchange() {
	for {
		if !p.rest(ExchangePause(p.list.NumMembers())) {
			return
		}
		others := slices.DeleteFunc(p.list.Members(), func(m *memberlist.Node) bool { return m.Name == p.o.Own.ID })
		if len(others) > 0 {
			p.Exchange(others[rand.IntN(len(others))].Address())
		}
	}
}

// Exchange exchanges whole views with whoever is at an address.
func (p *Peers) Exchange(at string) error {
	_, err := p.list.Join([]string{at})
	return err
}

// Ping asks a member for a sign of life.
func (p *Peers) Ping(id, at string) error {
	to, err := net.ResolveUDPAddr("udp", at)
	if err == nil {
		_, err = p.list.Ping(id, to)
	}
	return err
}

// seek looks for the seeds and for who was lost, one at a time, for as long as there is one that is not here. After a cut nobody
// else brings the halves together.
func (p *Peers) seek() {
	first := true
	for {
		pause := min(backMost, backEvery*time.Duration(1+p.list.NumMembers()/12))
		if first { // all that start at once do not ask at once
			pause = 200 * time.Millisecond
		}
		if !p.rest(pause) {
			return
		}
		if to := p.missing(); to != "" {
			p.tries.Add(1)
			first = false
			if p.Exchange(to) == nil {
				p.found(to)
			}
		}
	}
}

// missing is somebody who is not here, by chance.
func (p *Peers) missing() string {
	here := map[string]bool{p.o.Settings.Address: true}
	for _, m := range p.list.Members() {
		here[m.Address()] = true
	}
	var all []string
	p.mu.Lock()
	for at, since := range p.lost {
		switch {
		case here[at] || time.Since(since) > lostFor:
			delete(p.lost, at)
		default:
			all = append(all, at)
		}
	}
	p.mu.Unlock()
	for _, at := range p.o.Settings.Seeds {
		if !here[at] {
			all = append(all, at)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

func (p *Peers) found(at string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lost, at)
}
