package sockets

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"pewterrudder/internal/config"
	"pewterrudder/internal/lab/fleet/relay"
	"pewterrudder/internal/lab/world"
)

// Balancers that are peers: each pair has a relay for packets and two for streams, one for each that may call.

// at loopback addresses of their own.
const (
	atPeer     = 106
	atPeerLine = 107
)

// pair are the lines between two balancers, a before b; There of the packets is from a to b.
type pair struct {
	a, b    int
	packets *relay.Packets
	calls   [2]*relay.Stream // by a, and by b
}

func (p *pair) close() {
	if p.packets != nil {
		p.packets.Close()
	}
	for _, s := range p.calls {
		if s != nil {
			s.Close()
		}
	}
}

// introduce gives each balancer an address for its peers, and each pair its lines.
func (g *rig) introduce() error {
	n := len(g.r.seats)
	key := base64.StdEncoding.EncodeToString([]byte("of the rig alone"))
	for i, s := range g.r.seats {
		at, err := freeAddress(address(atPeer, i))
		if err != nil {
			return err
		}
		s.peers = &config.Peers{Address: at, Site: "rig", Keys: []string{key}, Seeds: []string{}, Least: 0.25, Most: 4, Subset: g.r.sc.Balancers.Subset, Via: map[string]config.Via{}}
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			p := &pair{a: a, b: b}
			g.pairs = append(g.pairs, p)
			one, other := g.r.seats[a].peers, g.r.seats[b].peers
			var err error
			g.lines++
			if p.packets, err = relay.NewPackets(address(atPeerLine, a), one.Address, other.Address, g.r.src.Number(fmt.Sprintf("lines/%d", g.lines))); err != nil {
				return err
			}
			if p.calls[0], err = g.line(address(atPeerLine, a), other.Address); err == nil {
				p.calls[1], err = g.line(address(atPeerLine, b), one.Address)
			}
			if err != nil {
				return err
			}
			one.Via[other.Address] = config.Via{Packets: p.packets.Near(), Streams: p.calls[0].Address()}
			other.Via[one.Address] = config.Via{Packets: p.packets.Far(), Streams: p.calls[1].Address()}
		}
	}
	for i, s := range g.r.seats { // three know the rest, and each other
		for k := range min(3, n) {
			if k != i {
				s.peers.Seeds = append(s.peers.Seeds, g.r.seats[k].peers.Address)
			}
		}
	}
	return nil
}

// freeAddress finds a port that is free for packets and for streams.
func freeAddress(at net.IP) (string, error) {
	var err error
	for range 20 {
		var packets *net.UDPConn
		if packets, err = net.ListenUDP("udp4", &net.UDPAddr{IP: at}); err != nil {
			return "", err
		}
		lis, wrong := net.ListenTCP("tcp4", &net.TCPAddr{IP: at, Port: packets.LocalAddr().(*net.UDPAddr).Port})
		packets.Close()
		if err = wrong; err == nil {
			lis.Close()
			return lis.Addr().String(), nil
		}
	}
	return "", err
}

// between puts a fault on the lines from the balancers that it hits to all others, or on all lines where it hits all.
func (g *rig) between(e *world.Episode, on bool) {
	if from, to := e.Between(); from != "balancers" || to != "balancers" {
		return
	}
	for _, p := range g.pairs {
		a, b := contains(e.Seats, p.a), contains(e.Seats, p.b)
		if a == b && len(e.Seats) < len(g.r.seats) {
			continue
		}
		bend(e, p.packets, !a, on)
		g.hit(e, p.calls[0], !a, on)
		g.hit(e, p.calls[1], a, on)
	}
}

// odd sums up what packets between balancers did that they were not sent for.
func (g *rig) odd() (all relay.Oddities) {
	for _, p := range g.pairs {
		o := p.packets.Odd()
		all.Doubled, all.Overtaken, all.Replayed = all.Doubled+o.Doubled, all.Overtaken+o.Overtaken, all.Replayed+o.Replayed
	}
	return all
}

// ownSettings writes the settings file of one balancer, where it has anything of its own in it: those of all, its folder, its
// peers.
func (s *seat) ownSettings() error {
	r := s.run
	if r.boxes == nil && s.peers == nil {
		return nil
	}
	sections := map[string]any{}
	if r.flows != "" {
		raw, err := os.ReadFile(r.flows)
		if err == nil {
			err = json.Unmarshal(raw, &sections)
		}
		if err != nil {
			return err
		}
	}
	if r.boxes != nil {
		sections["box"] = map[string]any{"state": r.boxes.folder(s.index)}
		if err := os.MkdirAll(r.boxes.folder(s.index), 0o700); err != nil {
			return err
		}
	}
	if s.peers != nil {
		sections["peers"] = s.peers
	}
	text, err := json.Marshal(sections)
	s.settings = filepath.Join(r.dir, fmt.Sprintf("settings-%d.json", s.index))
	return errors.Join(err, os.WriteFile(s.settings, text, 0o600))
}
