package flowrig

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports below the kernel's own choice (ip_local_port_range): one of its own, given back, may be some connection's the next
// moment, before a balancer that was told of it listens there.
const (
	firstPort    = 12000
	lastPort     = 32000
	portAttempts = 100
)

// reservations hold the ports that this process has handed out: a UDP socket on the same port, which no other process can bind
// until this one ends. Balancers share a listening port with their next version (SO_REUSEPORT), so that two that were told of the
// same port would take each other's connections without an error.
var reservations struct {
	sync.Mutex
	held []net.PacketConn
}

// FreeAddr is a loopback address that nobody listens on and that nobody else is handed, here or in another process that asks
// for one.
func FreeAddr() (string, error) {
	var err error
	for range portAttempts {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		if err = reserve(addr); err == nil {
			return addr, nil
		}
	}
	return "", errors.Wrap(err, "no free port")
}

// reserve takes an address for this process, if nobody has reserved it or listens there.
func reserve(addr string) error {
	reservation, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		reservation.Close()
		return err
	}
	listener.Close()
	reservations.Lock()
	defer reservations.Unlock()
	reservations.held = append(reservations.held, reservation)
	return nil
}
