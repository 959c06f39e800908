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
	// partitionPollInterval is the interval at which a process rereads the partition file.
	partitionPollInterval = 10 * time.Millisecond
	// unackedTimeout is how long a connection survives while a partition blocks it, like TCP_USER_TIMEOUT.
	unackedTimeout = time.Second
)

// errPartitioned closes a connection that a partition has blocked for too long.
var errPartitioned = errors.New("blocked by a test partition")

// partition simulates network partitions between the processes of a test, which poll a shared file. Routers whose
// addresses are on the same line of the file reach each other, as do those on no line. A line that begins with oneWay
// names two routers, of which the second receives nothing from the first, whatever the other lines say.
type partition struct {
	self   string
	rules  atomic.Pointer[partitionRules]
	closed chan struct{}
	// applied is the content of the file that was applied last.
	applied string
}

// oneWay begins a line of the file that blocks one direction between two routers.
const oneWay = "one-way"

// partitionRules is the parsed partition file.
type partitionRules struct {
	// groups maps an address to the number of its line, from 1.
	groups map[string]int
	// blocked holds pairs of sender and receiver between which nothing is delivered.
	blocked map[[2]string]bool
}

// isBlocked reports whether nothing is delivered from one address to the other.
func (c *partitionRules) isBlocked(from, to string) bool {
	return c.groups[from] != c.groups[to] || c.blocked[[2]string{from, to}]
}

// parsePartition parses the content of a partition file.
func parsePartition(content string) *partitionRules {
	parsed := &partitionRules{groups: map[string]int{}, blocked: map[[2]string]bool{}}
	for index, line := range strings.Split(content, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == oneWay {
			parsed.blocked[[2]string{fields[1], fields[2]}] = true
			continue
		}
		for _, address := range fields {
			parsed.groups[address] = 1 + index
		}
	}
	return parsed
}

// watchPartition rereads the file until the partition is closed.
func watchPartition(self, path string) *partition {
	p := &partition{self: self, closed: make(chan struct{})}
	p.read(path)
	go func() {
		ticker := time.NewTicker(partitionPollInterval)
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
	content, _ := os.ReadFile(path) // the file does not exist before the first partition
	p.rules.Store(parsePartition(string(content)))
	if text := string(content); text != p.applied {
		p.applied = text
		_ = os.WriteFile(appliedPath(path, p.self), content, 0o600) // on an error, the test that waits for the file times out
	}
}

// appliedPath returns the file to which the process at an address writes the partition that it has applied.
func appliedPath(path, address string) string { return path + "." + address }

// isBlockedTo and isBlockedFrom report whether messages to or from a host are blocked.
func (p *partition) isBlockedTo(host string) bool   { return p.rules.Load().isBlocked(p.self, host) }
func (p *partition) isBlockedFrom(host string) bool { return p.rules.Load().isBlocked(host, p.self) }

// wait waits while isBlocked returns true. It returns errPartitioned after the limit or when the context ends.
func (p *partition) wait(ctx context.Context, isBlocked func() bool, limit time.Duration) error {
	for deadline := time.Now().Add(limit); isBlocked(); {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return errPartitioned
		}
		time.Sleep(partitionPollInterval)
	}
	return nil
}

// dial opens a connection that is subject to the partition.
func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	isBlocked := func() bool { return p.isBlockedTo(host) || p.isBlockedFrom(host) } // the handshake needs both directions
	if err := p.wait(ctx, isBlocked, dialTimeout); err != nil {
		return nil, err
	}
	socket, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{Conn: socket, partition: p, host: host}, nil
}

// dialTimeout bounds the time until a connection is open.
const dialTimeout = 400 * time.Millisecond

// partitionedConn delivers nothing while its remote end is partitioned.
type partitionedConn struct {
	net.Conn
	partition *partition
	host      string
}

// Read implements net.Conn.
func (c *partitionedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	return n, c.awaitUnblocked(c.partition.isBlockedFrom, err)
}

// Write implements net.Conn.
func (c *partitionedConn) Write(buffer []byte) (int, error) {
	if err := c.awaitUnblocked(c.partition.isBlockedTo, nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// awaitUnblocked waits until the remote end is reachable, and closes the connection if that takes longer than
// unackedTimeout.
func (c *partitionedConn) awaitUnblocked(isBlocked func(host string) bool, err error) error {
	waitErr := c.partition.wait(context.Background(), func() bool { return isBlocked(c.host) }, unackedTimeout)
	if waitErr != nil {
		c.Conn.Close()
		return waitErr
	}
	return err
}

// writePartition replaces the file atomically. Each group is a list of addresses.
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
