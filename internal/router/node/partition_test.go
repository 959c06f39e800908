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

// partition says which routers of a test reach each other: those named on one line of a file, by address, and those on no line. A line
// that begins with oneWay names two of which the second hears nothing of the first, whatever else the file says. Each process of the test
// reads it again and again.
type partition struct {
	self   string
	cuts   atomic.Pointer[cuts]
	closed chan struct{}
	// followed is the file's content that was taken over last.
	followed string
}

// oneWay begins a line of the file that cuts one direction between two routers.
const oneWay = "one-way"

// cuts are what the file says.
type cuts struct {
	// groups holds the number of the line that an address stands on.
	groups map[string]int
	// silenced holds pairs of addresses of which the second hears nothing of the first.
	silenced map[[2]string]bool
}

// isCut tells whether nothing comes from one address to the other.
func (c *cuts) isCut(from, to string) bool {
	return c.groups[from] != c.groups[to] || c.silenced[[2]string{from, to}]
}

// parseCuts reads the file's content.
func parseCuts(content string) *cuts {
	parsed := &cuts{groups: map[string]int{}, silenced: map[[2]string]bool{}}
	for index, line := range strings.Split(content, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == oneWay {
			parsed.silenced[[2]string{fields[1], fields[2]}] = true
			continue
		}
		for _, address := range fields {
			parsed.groups[address] = 1 + index
		}
	}
	return parsed
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
	content, _ := os.ReadFile(path) // there is none before the first cut
	p.cuts.Store(parseCuts(string(content)))
	if followed := string(content); followed != p.followed {
		p.followed = followed
		_ = os.WriteFile(followedPath(path, p.self), content, 0o600) // a test that waits for it fails by itself
	}
}

// followedPath is where the process at an address writes which partition it goes by.
func followedPath(path, address string) string { return path + "." + address }

// isHeld tells whether what this router sends to a host doesn't arrive, and the same for what comes from there.
func (p *partition) isHeldTo(host string) bool   { return p.cuts.Load().isCut(p.self, host) }
func (p *partition) isHeldFrom(host string) bool { return p.cuts.Load().isCut(host, p.self) }

// wait waits while something is held, and returns an error if that lasts for too long.
func (p *partition) wait(ctx context.Context, isHeld func() bool, limit time.Duration) error {
	for deadline := time.Now().Add(limit); isHeld(); {
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
	isHeld := func() bool { return p.isHeldTo(host) || p.isHeldFrom(host) } // it takes an answer
	if err := p.wait(ctx, isHeld, dialPatience); err != nil {
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
	return n, c.hold(c.partition.isHeldFrom, err)
}

// Write implements net.Conn.
func (c *heldConnection) Write(buffer []byte) (int, error) {
	if err := c.hold(c.partition.isHeldTo, nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// hold waits for the end of a cut, and closes the connection if that takes too long.
func (c *heldConnection) hold(isHeld func(host string) bool, err error) error {
	held := c.partition.wait(context.Background(), func() bool { return isHeld(c.host) }, unackedFor)
	if held != nil {
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
