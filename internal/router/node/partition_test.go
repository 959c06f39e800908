package node

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// partitionLook is how often a process looks which routers it is cut off from.
	partitionLook = 10 * time.Millisecond
	// unackedFor is how long a connection lasts that a cut holds up, as TCP_USER_TIMEOUT has it.
	unackedFor = time.Second
)

// errCutOff ends a connection that a cut has held up for too long.
var errCutOff = errors.New("cut off")

// partition says which routers of a test reach each other: those named on one line of a file, by address, and those on no line. Each process of
// the test reads it again and again.
type partition struct {
	self string
	// groups holds the number of the line that an address stands on.
	groups atomic.Pointer[map[string]int]
	closed chan struct{}
	// followed is the file's content that was taken over last.
	followed string
}

// followPartition reads the file until the partition is closed.
func followPartition(self, path string) *partition {
	p := &partition{self: self, closed: make(chan struct{})}
	p.read(path)
	go func() {
		ticker := time.NewTicker(partitionLook)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				p.read(path)
			case <-p.closed:
				return
			}
		}
	}()
	return p
}

func (p *partition) read(path string) {
	groups := map[string]int{}
	content, _ := os.ReadFile(path) // there is none before the first cut
	for index, line := range strings.Split(string(content), "\n") {
		for _, address := range strings.Fields(line) {
			groups[address] = 1 + index
		}
	}
	p.groups.Store(&groups)
	if followed := string(content); followed != p.followed {
		p.followed = followed
		_ = os.WriteFile(followedPath(path, p.self), content, 0o600) // a test that waits for it fails by itself
	}
}

// followedPath is where the process at an address writes which partition it goes by.
func followedPath(path, address string) string { return path + "." + address }

func (p *partition) isCut(host string) bool {
	groups := *p.groups.Load()
	return groups[host] != groups[p.self]
}

// wait waits while a host is cut off, and returns an error if that lasts for too long.
func (p *partition) wait(ctx context.Context, host string, limit time.Duration) error {
	for deadline := time.Now().Add(limit); p.isCut(host); {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errCutOff
		}
		time.Sleep(partitionLook)
	}
	return nil
}

// dial opens a connection that a cut holds up.
func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if err := p.wait(ctx, host, dialPatience); err != nil {
		return nil, err
	}
	socket, err := (&net.Dialer{Timeout: dialPatience}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &heldConnection{Conn: socket, partition: p, host: host}, nil
}

// dialPatience bounds the time until a connection is open.
const dialPatience = 400 * time.Millisecond

// heldConnection passes nothing on while its other end is cut off.
type heldConnection struct {
	net.Conn
	partition *partition
	host      string
}

// Read implements net.Conn.
func (c *heldConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	return n, c.hold(err)
}

// Write implements net.Conn.
func (c *heldConnection) Write(buffer []byte) (int, error) {
	if err := c.hold(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// hold waits for the end of a cut, and closes the connection if that takes too long.
func (c *heldConnection) hold(err error) error {
	if held := c.partition.wait(context.Background(), c.host, unackedFor); held != nil {
		c.Conn.Close()
		return held
	}
	return err
}

// writePartition writes the file anew, in one step. Each group is a list of addresses.
func writePartition(path string, groups ...[]string) error {
	var text strings.Builder
	for _, group := range groups {
		text.WriteString(strings.Join(group, " ") + "\n")
	}
	next := filepath.Join(filepath.Dir(path), "partition.next")
	if err := os.WriteFile(next, []byte(text.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
